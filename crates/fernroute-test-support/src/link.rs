//! A proxy that injects network faults between two processes: the client connects to the link instead of the target.
//!
//! Messages are forwarded one by one, each complete. A fault applies to open and to new connections. Only
//! [`Link::refuse_connections`] and [`LinkMode::ResetMidMessage`] lose data; otherwise, as on a network, it arrives late.

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

/// How one direction of the link treats messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    #[default]
    Forward,
    /// Connections stay open and nothing is forwarded: a one-way partition if the other direction forwards.
    Stall,
    /// Delays each message by this time.
    Delay(Duration),
    /// Forwards at most this many bytes at a time, with this pause between them.
    Throttle(usize, Duration),
    /// Forwards half of the next message, then resets all connections of the link.
    ResetMidMessage,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// How many forwarded requests are kept for [`Link::replay`].
const REPLAY_CAPACITY: usize = 64;

pub struct Link {
    /// The address to connect to instead of the target.
    pub address: SocketAddr,
    target: Cell<SocketAddr>,
    to_target: Cell<LinkMode>,
    to_caller: Cell<LinkMode>,
    refusing: Cell<bool>,
    changed: Notify,
    /// Tasks of open connections. Finished ones are removed at the next accept, all of them when connections are reset.
    connections: RefCell<Vec<AbortHandle>>,
    /// The next request whose head contains this text is held back.
    hold_filter: RefCell<Option<String>>,
    held: RefCell<Option<Message>>,
    forwarded: RefCell<VecDeque<Message>>,
    traffic: Cell<Traffic>,
}

impl Link {
    pub async fn start(target: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Rc::new(Link {
            address: listener.local_addr()?,
            target: Cell::new(target),
            to_target: Cell::default(),
            to_caller: Cell::default(),
            refusing: Cell::default(),
            changed: Notify::new(),
            connections: RefCell::default(),
            hold_filter: RefCell::default(),
            held: RefCell::default(),
            forwarded: RefCell::default(),
            traffic: Cell::default(),
        });
        let server = Rc::clone(&link);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if server.refusing.get() {
                    reset(stream);
                    continue;
                }
                let task = spawn_local(Rc::clone(&server).serve_connection(stream));
                let mut open = server.connections.borrow_mut();
                open.retain(|task| !task.is_finished());
                open.push(task.abort_handle());
            }
        });
        Ok(link)
    }

    /// Traffic received by the link since its start, both directions added up.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Changes the target, for example after it restarted at another address.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(target);
    }

    pub fn set_modes(&self, to_target: LinkMode, to_caller: LinkMode) {
        self.to_target.set(to_target);
        self.to_caller.set(to_caller);
        self.changed.notify_waiters();
    }

    /// Aborts open connections and resets new ones until [`Link::restore`].
    pub fn refuse_connections(&self) {
        self.refusing.set(true);
        self.connections.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    pub fn restore(&self) {
        self.refusing.set(false);
        self.set_modes(LinkMode::Forward, LinkMode::Forward);
    }

    /// Holds back the next request whose head contains this text. Its connection gets no response.
    pub fn hold_next(&self, text: &str) {
        self.hold_filter.replace(Some(text.to_owned()));
    }

    pub fn has_held(&self) -> bool {
        self.held.borrow().is_some()
    }

    /// Delivers the held request on a new connection and returns the response, if there is one.
    pub async fn release_held(&self) -> io::Result<Option<Message>> {
        let held = self.held.take();
        match held {
            Some(message) => self.deliver(&message).await,
            None => Ok(None),
        }
    }

    /// Sends a recorded request again: of those whose head contains this text, the one `before` places before the last.
    pub async fn replay(&self, text: &str, before: usize) -> io::Result<Option<Message>> {
        let message =
            self.forwarded.borrow().iter().rev().filter(|m| m.head.contains(text)).nth(before).cloned();
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

    async fn serve_connection(self: Rc<Self>, caller: TcpStream) {
        let Ok(target) = TcpStream::connect(self.target.get()).await else { return reset(caller) };
        // Affects latency only, so a failure is ignored.
        let _ = (caller.set_nodelay(true), target.set_nodelay(true));
        // With a zero linger time a dropped socket is reset, so that a reset of one side reaches the other.
        let _ = (caller.set_zero_linger(), target.set_zero_linger());
        let (caller_reader, caller_writer) = caller.into_split();
        let (target_reader, target_writer) = target.into_split();
        let to_target = self.pump(Direction::ToTarget, caller_reader, target_writer);
        let to_caller = self.pump(Direction::ToCaller, target_reader, caller_writer);
        // The directions end independently: a response may follow after the request direction is shut down.
        let _ = tokio::join!(to_target, to_caller);
    }

    async fn pump(
        &self,
        direction: Direction,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            while let Some((message, length)) = parse_message(&buffer)? {
                self.traffic.set(self.traffic.get() + Traffic { bytes: 0, messages: 1 });
                let bytes: Vec<u8> = buffer.drain(..length).collect();
                if direction == Direction::ToTarget {
                    if self.should_hold(&message) {
                        self.held.replace(Some(message));
                        // Nothing more is forwarded on this connection, and it gets no response.
                        return std::future::pending().await;
                    }
                    let mut forwarded = self.forwarded.borrow_mut();
                    if forwarded.len() == REPLAY_CAPACITY {
                        forwarded.pop_front();
                    }
                    forwarded.push_back(message);
                }
                self.forward(direction, &bytes, &mut to).await?;
            }
            let received = from.read_buf(&mut buffer).await?;
            self.traffic.set(self.traffic.get() + Traffic { bytes: received as u64, messages: 0 });
            if received == 0 {
                self.wait_while_stalled(direction).await;
                to.write_all(&buffer).await?;
                return to.shutdown().await;
            }
        }
    }

    fn should_hold(&self, message: &Message) -> bool {
        let mut hold_filter = self.hold_filter.borrow_mut();
        hold_filter.take_if(|text| message.head.contains(text.as_str())).is_some()
    }

    fn mode(&self, direction: Direction) -> LinkMode {
        match direction {
            Direction::ToTarget => self.to_target.get(),
            Direction::ToCaller => self.to_caller.get(),
        }
    }

    /// Waits while the direction is stalled.
    async fn wait_while_stalled(&self, direction: Direction) {
        loop {
            let changed = self.changed.notified();
            if self.mode(direction) != LinkMode::Stall {
                return;
            }
            changed.await;
        }
    }

    async fn forward(&self, direction: Direction, bytes: &[u8], to: &mut OwnedWriteHalf) -> io::Result<()> {
        self.wait_while_stalled(direction).await;
        match self.mode(direction) {
            LinkMode::Forward | LinkMode::Stall => to.write_all(bytes).await,
            LinkMode::Delay(time) => {
                tokio::time::sleep(time).await;
                // The direction may have been stalled meanwhile.
                self.wait_while_stalled(direction).await;
                to.write_all(bytes).await
            }
            LinkMode::Throttle(chunk, pause) => {
                for piece in bytes.chunks(chunk.max(1)) {
                    self.wait_while_stalled(direction).await;
                    to.write_all(piece).await?;
                    tokio::time::sleep(pause).await;
                }
                Ok(())
            }
            LinkMode::ResetMidMessage => {
                to.write_all(&bytes[..bytes.len() / 2]).await?;
                // Resets once only, so that a retry succeeds.
                match direction {
                    Direction::ToTarget => self.to_target.set(LinkMode::Forward),
                    Direction::ToCaller => self.to_caller.set(LinkMode::Forward),
                }
                let ends: Vec<AbortHandle> = self.connections.borrow_mut().drain(..).collect();
                ends.iter().for_each(AbortHandle::abort);
                std::future::pending().await
            }
        }
    }
}

fn reset(stream: TcpStream) {
    // With a zero linger time the close sends RST instead of FIN.
    let _ = stream.set_zero_linger();
}
