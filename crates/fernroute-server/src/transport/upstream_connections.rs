//! Connections to upstreams: how many there are, who has them, and those that stand idle.

use super::outbound::{OutboundStream, CURRENT_ATTEMPT};
use super::{peek, without_delay};
use actix_rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use futures_util::future::{select, Either};
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::AsyncWrite;
use tokio::time::sleep;

/// Connections to one upstream that stand idle, the longest idle first. Emptied as they are used, by their ends, and with
/// the line to the upstream.
#[derive(Debug)]
pub struct IdlePool {
    connections: Rc<ConnectionTable>,
    idle: RefCell<VecDeque<Rc<UpstreamConnection>>>,
    /// They rest for so long first, and are used for so long.
    rest: Duration,
    keep: Duration,
    /// How long an RPC takes of late from its first byte to its answer's last, in seconds.
    usual: Cell<f64>,
}

/// Where RPCs take so many rests, one is waited out for the connection that is there: it costs them little beside, and upstreams
/// hold only so many connections. Where they are quicker a new one is made beside it.
const LONG: f64 = 2.0;

impl IdlePool {
    pub fn new(connections: &Rc<ConnectionTable>, rest: Duration, keep: Duration) -> Rc<Self> {
        Rc::new(IdlePool {
            connections: Rc::clone(connections),
            idle: RefCell::default(),
            rest,
            keep,
            usual: Cell::new(0.0),
        })
    }

    /// After an answer that took so long.
    pub(super) fn put_back(self: &Rc<Self>, stream: TcpStream, took: Duration) {
        /// Some ten answers.
        const RECENT: f64 = 0.1;
        self.usual.set(self.usual.get() + RECENT * (took.as_secs_f64() - self.usual.get()));
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.stream.borrow().is_some());
        let connection = self.connections.enter(stream, Rc::downgrade(self));
        connection.idle_since.set(Some(Instant::now()));
        idle.push_back(connection);
    }

    /// The longest idle one that may be used, and how long it still rests; those that were kept too long are closed.
    fn take(&self) -> Option<(Rc<UpstreamConnection>, Duration)> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop_front() {
            // One that was closed to make room may be among them.
            let age = connection.idle_since.get().map_or(self.keep, |since| since.elapsed());
            if age < self.keep && connection.stream.borrow().is_some() {
                return Some((connection, self.rest.saturating_sub(age)));
            }
        }
        None
    }

    /// An idle connection, or a new one. One that rests is waited for; where that is long against what an RPC takes, beside a
    /// new one that is made.
    pub async fn connect(self: &Rc<Self>, address: SocketAddr) -> io::Result<OutboundStream> {
        while let Some((connection, left)) = self.take() {
            let is_waited_out = self.usual.get() >= LONG * self.rest.as_secs_f64();
            if left.is_zero() || is_waited_out {
                if !left.is_zero() {
                    sleep(left).await;
                }
                if connection.is_quiet() {
                    return Ok(OutboundStream::of(connection));
                }
                continue;
            }
            let (rested, new) =
                (pin!(sleep(left)), pin!(self.connections.connect(address, Rc::downgrade(self))));
            return match select(rested, new).await {
                Either::Left((_, _)) if connection.is_quiet() => Ok(OutboundStream::of(connection)),
                Either::Left((_, new)) => new.await,
                Either::Right((Ok(new), _)) => {
                    self.idle.borrow_mut().push_front(connection);
                    Ok(new)
                }
                Either::Right((Err(why), rested)) => {
                    rested.await;
                    if connection.is_quiet() {
                        return Ok(OutboundStream::of(connection));
                    }
                    Err(why)
                }
            };
        }
        self.connections.connect(address, Rc::downgrade(self)).await
    }
}

/// A connection's place in the table; it is closed by taking the stream out.
#[derive(Debug)]
pub(super) struct UpstreamConnection {
    pub(super) stream: RefCell<Option<TcpStream>>,
    /// What the socket has not taken yet. The library may stop flushing a long body before its end, so all
    /// of it is taken here at once; flushing then writes it out.
    pub(super) left: RefCell<BytesMut>,
    pub(super) idle_since: Cell<Option<Instant>>,
    /// The answer on it has come whole, nothing behind it, and it says nothing of an end.
    pub(super) reusable: Cell<bool>,
    /// Where it stands between two RPCs, if it is kept.
    pub(super) home: Weak<IdlePool>,
    pub(super) most_body: u64,
}

impl UpstreamConnection {
    /// Nothing has come on it, and it has not ended.
    fn is_quiet(&self) -> bool {
        self.stream.borrow().as_ref().is_some_and(|stream| peek(stream) == Err(Errno::AGAIN))
    }

    pub(super) fn with<T>(
        &self,
        act: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some(stream) => act(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    pub(super) fn write_left(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut left = self.left.borrow_mut();
        while !left.is_empty() {
            match std::task::ready!(self.with(|stream| stream.poll_write(cx, &left)))? {
                0 => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                n => left.advance(n),
            }
        }
        // An idle connection keeps no memory for it.
        *left = BytesMut::new();
        Poll::Ready(Ok(()))
    }
}

/// All connections to upstreams. Emptied as they are closed.
#[derive(Debug)]
pub struct ConnectionTable {
    all: RefCell<Vec<Weak<UpstreamConnection>>>,
    /// How many are being made.
    coming: Cell<usize>,
    most: Cell<usize>,
    /// The longest body of an answer.
    most_body: u64,
}

impl ConnectionTable {
    pub fn new(most: usize, most_body: usize) -> Self {
        ConnectionTable {
            all: RefCell::default(),
            coming: Cell::new(0),
            most: Cell::new(most),
            most_body: most_body as u64,
        }
    }

    /// Connects, if there is room; at the limit the longest idle connection goes. It is kept at `home`, or nowhere.
    pub async fn connect(&self, address: SocketAddr, home: Weak<IdlePool>) -> io::Result<OutboundStream> {
        /// No descriptors left in this process or on this machine, no local port left.
        const OURS: [i32; 3] = [23, 24, 99];
        let hold_back = || CURRENT_ATTEMPT.try_with(|attempt| attempt.held_back.set(true));
        if !self.make_room() {
            let _ = hold_back();
            return Err(io::Error::other("all connections are busy"));
        }
        self.coming.set(self.coming.get() + 1);
        let coming = Coming(&self.coming);
        let stream = TcpStream::connect(address).await;
        drop(coming);
        let stream = stream.inspect_err(|why| {
            if why.raw_os_error().is_some_and(|code| OURS.contains(&code)) {
                let _ = hold_back();
            }
        })?;
        without_delay(&stream);
        Ok(OutboundStream::new(self.enter(stream, home)))
    }

    fn enter(&self, stream: TcpStream, home: Weak<IdlePool>) -> Rc<UpstreamConnection> {
        let connection = Rc::new(UpstreamConnection {
            stream: RefCell::new(Some(stream)),
            left: RefCell::default(),
            idle_since: Cell::new(None),
            reusable: Cell::new(false),
            home,
            most_body: self.most_body,
        });
        self.all.borrow_mut().push(Rc::downgrade(&connection));
        connection
    }

    /// How many there are, those that are being made with them.
    pub fn count(&self) -> usize {
        self.all
            .borrow()
            .iter()
            .filter(|connection| connection.upgrade().is_some_and(|s| s.stream.borrow().is_some()))
            .count()
            + self.coming.get()
    }

    /// From now on there are this many at the most; idle ones beyond that go at once.
    pub fn set_max_connections(&self, most: usize) {
        self.most.set(most);
        while self.count() > most && self.end_idlest() {}
    }

    fn make_room(&self) -> bool {
        self.clear();
        if self.all.borrow().len() + self.coming.get() < self.most.get() {
            return true;
        }
        self.end_idlest()
    }

    fn end_idlest(&self) -> bool {
        let all = self.all.borrow();
        let idle = all.iter().filter_map(Weak::upgrade).filter(|s| s.idle_since.get().is_some());
        let oldest = idle.filter(|s| s.stream.borrow().is_some()).min_by_key(|s| s.idle_since.get());
        oldest.is_some_and(|s| s.stream.take().is_some())
    }

    /// Closes what has stood idle for this long. The pool looks at a connection only when it wants one to
    /// the same address: without this, what upstreams closed would hold descriptors for good.
    pub fn sweep(&self, idle: Duration) {
        for connection in self.all.borrow().iter().filter_map(Weak::upgrade) {
            if connection.idle_since.get().is_some_and(|since| since.elapsed() >= idle) {
                connection.stream.take();
            }
        }
        self.clear();
    }

    fn clear(&self) {
        self.all
            .borrow_mut()
            .retain(|connection| connection.upgrade().is_some_and(|s| s.stream.borrow().is_some()));
    }
}

/// Counts a connection that is being made, until it is made or given up.
struct Coming<'a>(&'a Cell<usize>);

impl Drop for Coming<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
