//! A link between two processes that goes wrong: whoever is to meet trouble on the way connects to it instead.
//!
//! Messages are passed whole, as they come; what is in the way holds for open connections and for new ones. Nothing is
//! dropped on the way but by [`Link::refuse_connections`] and [`LinkMode::ResetMidMessage`], as on a network: what waits comes late.

use crate::http::{parse_message, Connection, Message};
use crate::Traffic;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

/// What one direction does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    #[default]
    Forward,
    /// Connections stay open and nothing comes through: a cut of this direction alone, where the other passes.
    Stall,
    /// Each message waits so long.
    Delay(Duration),
    /// So many bytes at a time, with this wait between them.
    Throttle(usize, Duration),
    /// Half of the next message, then both sides are reset.
    ResetMidMessage,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

/// Requests that passed, kept to be delivered again: the last ones.
const KEPT: usize = 64;

pub struct Link {
    /// Where to connect instead.
    pub address: SocketAddr,
    target: Cell<SocketAddr>,
    there: Cell<LinkMode>,
    back: Cell<LinkMode>,
    refuses: Cell<bool>,
    changed: Notify,
    /// Emptied as connections end, and when they are cut.
    open: RefCell<Vec<AbortHandle>>,
    /// The next request whose head holds this text is held back.
    hold_filter: RefCell<Option<String>>,
    held: RefCell<Option<Message>>,
    passed: RefCell<VecDeque<Message>>,
    traffic: Cell<Traffic>,
}

impl Link {
    pub async fn start(target: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Rc::new(Link {
            address: listener.local_addr()?,
            target: Cell::new(target),
            there: Cell::default(),
            back: Cell::default(),
            refuses: Cell::default(),
            changed: Notify::new(),
            open: RefCell::default(),
            hold_filter: RefCell::default(),
            held: RefCell::default(),
            passed: RefCell::default(),
            traffic: Cell::default(),
        });
        let serving = Rc::clone(&link);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if serving.refuses.get() {
                    reset(stream);
                    continue;
                }
                let task = spawn_local(Rc::clone(&serving).join(stream));
                let mut open = serving.open.borrow_mut();
                open.retain(|task| !task.is_finished());
                open.push(task.abort_handle());
            }
        });
        Ok(link)
    }

    /// What came into the link since it was made, both ways together.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// The other side has started again elsewhere.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(target);
    }

    pub fn set_modes(&self, there: LinkMode, back: LinkMode) {
        self.there.set(there);
        self.back.set(back);
        self.changed.notify_waiters();
    }

    /// Open connections end and new ones are reset, until [`Link::restore`].
    pub fn refuse_connections(&self) {
        self.refuses.set(true);
        self.open.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    pub fn restore(&self) {
        self.refuses.set(false);
        self.set_modes(LinkMode::Forward, LinkMode::Forward);
    }

    /// Holds back the next request whose head holds this text: its caller hears nothing.
    pub fn hold_next(&self, text: &str) {
        self.hold_filter.replace(Some(text.to_owned()));
    }

    pub fn has_held(&self) -> bool {
        self.held.borrow().is_some()
    }

    /// Delivers what was held back, late; its answer, if there is one.
    pub async fn release_held(&self) -> io::Result<Option<Message>> {
        let held = self.held.take();
        match held {
            Some(message) => self.deliver(&message).await,
            None => Ok(None),
        }
    }

    /// Delivers once more the request that passed so many before the last one with this text in its head.
    pub async fn replay(&self, text: &str, before: usize) -> io::Result<Option<Message>> {
        let message =
            self.passed.borrow().iter().rev().filter(|m| m.head.contains(text)).nth(before).cloned();
        match message {
            Some(message) => self.deliver(&message).await,
            None => Ok(None),
        }
    }

    async fn deliver(&self, message: &Message) -> io::Result<Option<Message>> {
        let mut connection = Connection::new(TcpStream::connect(self.target.get()).await?);
        connection.write(&message.to_bytes()).await?;
        connection.read().await
    }

    async fn join(self: Rc<Self>, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target.get()).await else { return reset(near) };
        // Only makes it quicker.
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        // A reset of either side takes the other with it.
        let _ = (near.set_zero_linger(), far.set_zero_linger());
        let (near_reads, near_writes) = near.into_split();
        let (far_reads, far_writes) = far.into_split();
        let there = self.pump(Direction::There, near_reads, far_writes);
        let back = self.pump(Direction::Back, far_reads, near_writes);
        // The end of one way is not the end of the other: an answer may still come.
        let _ = tokio::join!(there, back);
    }

    async fn pump(
        &self,
        direction: Direction,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut heard = Vec::new();
        loop {
            while let Some((message, length)) = parse_message(&heard)? {
                self.traffic.set(self.traffic.get() + Traffic { bytes: 0, messages: 1 });
                let bytes: Vec<u8> = heard.drain(..length).collect();
                if direction == Direction::There {
                    if self.should_hold(&message) {
                        self.held.replace(Some(message));
                        // Nothing more of this connection gets through, and nothing of it is answered.
                        return std::future::pending().await;
                    }
                    let mut passed = self.passed.borrow_mut();
                    if passed.len() == KEPT {
                        passed.pop_front();
                    }
                    passed.push_back(message);
                }
                self.pass(direction, &bytes, &mut to).await?;
            }
            let came = from.read_buf(&mut heard).await?;
            self.traffic.set(self.traffic.get() + Traffic { bytes: came as u64, messages: 0 });
            if came == 0 {
                self.clear(direction).await;
                to.write_all(&heard).await?;
                return to.shutdown().await;
            }
        }
    }

    fn should_hold(&self, message: &Message) -> bool {
        let mut hold_filter = self.hold_filter.borrow_mut();
        hold_filter.take_if(|text| message.head.contains(text.as_str())).is_some()
    }

    fn way(&self, direction: Direction) -> LinkMode {
        match direction {
            Direction::There => self.there.get(),
            Direction::Back => self.back.get(),
        }
    }

    /// Waits for as long as nothing comes through.
    async fn clear(&self, direction: Direction) {
        loop {
            let changed = self.changed.notified();
            if self.way(direction) != LinkMode::Stall {
                return;
            }
            changed.await;
        }
    }

    async fn pass(&self, direction: Direction, bytes: &[u8], to: &mut OwnedWriteHalf) -> io::Result<()> {
        self.clear(direction).await;
        match self.way(direction) {
            LinkMode::Forward | LinkMode::Stall => to.write_all(bytes).await,
            LinkMode::Delay(time) => {
                tokio::time::sleep(time).await;
                // It may have been cut meanwhile.
                self.clear(direction).await;
                to.write_all(bytes).await
            }
            LinkMode::Throttle(most, pause) => {
                for piece in bytes.chunks(most.max(1)) {
                    self.clear(direction).await;
                    to.write_all(piece).await?;
                    tokio::time::sleep(pause).await;
                }
                Ok(())
            }
            LinkMode::ResetMidMessage => {
                to.write_all(&bytes[..bytes.len() / 2]).await?;
                // Once only: whoever tries again gets through.
                match direction {
                    Direction::There => self.there.set(LinkMode::Forward),
                    Direction::Back => self.back.set(LinkMode::Forward),
                }
                let ends: Vec<AbortHandle> = self.open.borrow_mut().drain(..).collect();
                ends.iter().for_each(AbortHandle::abort);
                std::future::pending().await
            }
        }
    }
}

fn reset(stream: TcpStream) {
    // Without it the other side sees an orderly end.
    let _ = stream.set_zero_linger();
}
