//! Connections to upstreams: the table of all connections and the pools of idle ones.

use super::outbound::{OutboundStream, CURRENT_ATTEMPT, READ_BYTES};
use super::{peek, set_nodelay};
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

/// Idle connections to one upstream, the longest idle first. A connection leaves the pool when it is reused or closed; all
/// of them are closed with the client of the upstream.
#[derive(Debug)]
pub struct IdlePool {
    connections: Rc<ConnectionTable>,
    idle: RefCell<VecDeque<Rc<UpstreamConnection>>>,
    /// A connection is not reused for `reuse_delay` after an answer, and is closed after `keep_alive`.
    reuse_delay: Duration,
    keep_alive: Duration,
    /// Moving average of the time from an RPC's first byte to the last byte of its answer, in seconds.
    mean_rpc_seconds: Cell<f64>,
}

/// If RPCs take at least this many times the reuse delay, they wait for a delayed idle connection: the wait adds little to
/// their time, and upstreams accept a limited number of connections. Faster RPCs open another connection meanwhile.
const WAIT_RPC_RATIO: f64 = 2.0;

impl IdlePool {
    pub fn new(connections: &Rc<ConnectionTable>, reuse_delay: Duration, keep_alive: Duration) -> Rc<Self> {
        Rc::new(IdlePool {
            connections: Rc::clone(connections),
            idle: RefCell::default(),
            reuse_delay,
            keep_alive,
            mean_rpc_seconds: Cell::new(0.0),
        })
    }

    /// Adds a connection after an answer that took `took`.
    pub(super) fn put_back(self: &Rc<Self>, stream: TcpStream, took: Duration) {
        /// Weight of a new value: averages over about ten answers.
        const WEIGHT: f64 = 0.1;
        self.mean_rpc_seconds
            .set(self.mean_rpc_seconds.get() + WEIGHT * (took.as_secs_f64() - self.mean_rpc_seconds.get()));
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.stream.borrow().is_some());
        let connection = self.connections.insert(stream, Rc::downgrade(self));
        connection.idle_since.set(Some(Instant::now()));
        idle.push_back(connection);
    }

    /// The longest idle connection that is still usable, and its remaining reuse delay. Closes those that were idle too long.
    fn take(&self) -> Option<(Rc<UpstreamConnection>, Duration)> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop_front() {
            // The stream is gone if the connection was closed to make room for another.
            let age = connection.idle_since.get().map_or(self.keep_alive, |since| since.elapsed());
            if age < self.keep_alive && connection.stream.borrow().is_some() {
                return Some((connection, self.reuse_delay.saturating_sub(age)));
            }
        }
        None
    }

    /// Returns an idle connection, or opens one. If the reuse delay of the idle one is not over, waits for it; where that
    /// takes long in comparison with an RPC, opens a new connection meanwhile and returns whichever is ready first.
    pub async fn connect(self: &Rc<Self>, address: SocketAddr) -> io::Result<OutboundStream> {
        while let Some((connection, left)) = self.take() {
            let is_wait_short =
                self.mean_rpc_seconds.get() >= WAIT_RPC_RATIO * self.reuse_delay.as_secs_f64();
            if left.is_zero() || is_wait_short {
                if !left.is_zero() {
                    sleep(left).await;
                }
                if connection.is_quiet() {
                    return Ok(OutboundStream::reusing(connection));
                }
                continue;
            }
            let (delay_over, new) =
                (pin!(sleep(left)), pin!(self.connections.connect(address, Rc::downgrade(self))));
            return match select(delay_over, new).await {
                Either::Left((_, _)) if connection.is_quiet() => Ok(OutboundStream::reusing(connection)),
                Either::Left((_, new)) => new.await,
                Either::Right((Ok(new), _)) => {
                    self.idle.borrow_mut().push_front(connection);
                    Ok(new)
                }
                Either::Right((Err(error), delay_over)) => {
                    delay_over.await;
                    if connection.is_quiet() {
                        return Ok(OutboundStream::reusing(connection));
                    }
                    Err(error)
                }
            };
        }
        self.connections.connect(address, Rc::downgrade(self)).await
    }
}

/// A connection in the table. Taking the stream out closes it.
#[derive(Debug)]
pub(super) struct UpstreamConnection {
    pub(super) stream: RefCell<Option<TcpStream>>,
    /// Bytes that the socket has not accepted yet. `awc` may stop flushing a long body before its end, so `poll_write`
    /// accepts everything at once, and flushing writes it out.
    pub(super) unsent: RefCell<BytesMut>,
    pub(super) idle_since: Cell<Option<Instant>>,
    /// The answer is complete, nothing has followed it, and the answer does not announce that the connection closes.
    pub(super) reusable: Cell<bool>,
    /// The pool to which the connection returns after an answer, if any.
    pub(super) pool: Weak<IdlePool>,
    pub(super) max_body: u64,
    /// How many bytes of an answer the library reads at a time.
    pub(super) read_limit: Cell<usize>,
}

impl UpstreamConnection {
    /// Nothing has been received on it, and the upstream has not closed it.
    fn is_quiet(&self) -> bool {
        self.stream.borrow().as_ref().is_some_and(|stream| peek(stream) == Err(Errno::AGAIN))
    }

    pub(super) fn with<T>(
        &self,
        operation: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some(stream) => operation(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    pub(super) fn write_unsent(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut unsent = self.unsent.borrow_mut();
        while !unsent.is_empty() {
            match std::task::ready!(self.with(|stream| stream.poll_write(cx, &unsent)))? {
                0 => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                n => unsent.advance(n),
            }
        }
        // Frees the buffer: an idle connection uses no memory for it.
        *unsent = BytesMut::new();
        Poll::Ready(Ok(()))
    }
}

/// All connections to upstreams. Closed ones are removed.
#[derive(Debug)]
pub struct ConnectionTable {
    all: RefCell<Vec<Weak<UpstreamConnection>>>,
    /// Number of connections that are being opened.
    opening: Cell<usize>,
    max_connections: Cell<usize>,
    /// Limit for the body of an answer, in bytes.
    max_body: u64,
}

impl ConnectionTable {
    pub fn new(max_connections: usize, max_body: usize) -> Self {
        ConnectionTable {
            all: RefCell::default(),
            opening: Cell::new(0),
            max_connections: Cell::new(max_connections),
            max_body: max_body as u64,
        }
    }

    /// Opens a connection. At the limit it closes the longest idle one, or fails if there is none. `pool` is the pool to
    /// which the connection returns; a dangling reference means that it is closed after the answer.
    pub async fn connect(&self, address: SocketAddr, pool: Weak<IdlePool>) -> io::Result<OutboundStream> {
        /// ENFILE, EMFILE, EADDRNOTAVAIL: no descriptors left on this machine or in this process, or no local port.
        const LOCAL_LIMIT_ERRORS: [i32; 3] = [23, 24, 99];
        let mark_held_back = || CURRENT_ATTEMPT.try_with(|attempt| attempt.held_back.set(true));
        if !self.make_room() {
            let _ = mark_held_back();
            return Err(io::Error::other(
                "connection limit reached, all connections to upstreams are in use",
            ));
        }
        self.opening.set(self.opening.get() + 1);
        let guard = OpeningGuard(&self.opening);
        let stream = TcpStream::connect(address).await;
        drop(guard);
        let stream = stream.inspect_err(|error| {
            if error.raw_os_error().is_some_and(|code| LOCAL_LIMIT_ERRORS.contains(&code)) {
                let _ = mark_held_back();
            }
        })?;
        set_nodelay(&stream);
        Ok(OutboundStream::new(self.insert(stream, pool)))
    }

    fn insert(&self, stream: TcpStream, pool: Weak<IdlePool>) -> Rc<UpstreamConnection> {
        let connection = Rc::new(UpstreamConnection {
            stream: RefCell::new(Some(stream)),
            unsent: RefCell::default(),
            idle_since: Cell::new(None),
            reusable: Cell::new(false),
            pool,
            max_body: self.max_body,
            read_limit: Cell::new(READ_BYTES),
        });
        self.all.borrow_mut().push(Rc::downgrade(&connection));
        connection
    }

    /// Number of connections, including those that are being opened.
    pub fn count(&self) -> usize {
        self.all
            .borrow()
            .iter()
            .filter(|connection| connection.upgrade().is_some_and(|s| s.stream.borrow().is_some()))
            .count()
            + self.opening.get()
    }

    /// Sets the limit, and closes idle connections beyond it.
    pub fn set_max_connections(&self, max: usize) {
        self.max_connections.set(max);
        while self.count() > max && self.close_longest_idle() {}
    }

    fn make_room(&self) -> bool {
        self.remove_closed();
        if self.all.borrow().len() + self.opening.get() < self.max_connections.get() {
            return true;
        }
        self.close_longest_idle()
    }

    fn close_longest_idle(&self) -> bool {
        let all = self.all.borrow();
        let idle = all.iter().filter_map(Weak::upgrade).filter(|s| s.idle_since.get().is_some());
        let oldest = idle.filter(|s| s.stream.borrow().is_some()).min_by_key(|s| s.idle_since.get());
        oldest.is_some_and(|s| s.stream.take().is_some())
    }

    /// Closes connections that have been idle for `keep_alive`. A pool examines a connection only when it needs one to the
    /// same address: without this, connections closed by upstreams would hold descriptors indefinitely.
    pub fn sweep(&self, keep_alive: Duration) {
        for connection in self.all.borrow().iter().filter_map(Weak::upgrade) {
            if connection.idle_since.get().is_some_and(|since| since.elapsed() >= keep_alive) {
                connection.stream.take();
            }
        }
        self.remove_closed();
    }

    fn remove_closed(&self) {
        self.all
            .borrow_mut()
            .retain(|connection| connection.upgrade().is_some_and(|s| s.stream.borrow().is_some()));
    }
}

/// Counts a connection that is being opened, until it is open or has failed.
struct OpeningGuard<'a>(&'a Cell<usize>);

impl Drop for OpeningGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
