//! One connection of a caller: whether it is between RPCs, and its end when it may be closed.

use super::peek;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use futures_util::FutureExt as _;
use rustix::io::Errno;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::sync::Notify;

/// The library reads until nothing is left: after so many bytes the others have their turn, and what came is used.
const TURN: usize = 16 * 1024;

/// A message follows its connection in far less than that, on a busy machine too.
const NEW: Duration = Duration::from_millis(200);

/// Who was there so short a time ago need not be looked for again: an attempt may begin a tenth of a second after its caller
/// left, no later.
const LOOKED: Duration = Duration::from_millis(20);

/// What the server knows of a connection.
#[derive(Debug)]
pub struct CallerConnection {
    /// None once it is closed, or the server alone has it.
    pub(super) stream: RefCell<Option<TcpStream>>,
    /// RPCs whose answer is not made yet.
    open: Cell<u32>,
    /// Bytes have come of an RPC that is not whole yet.
    partial: Cell<bool>,
    /// Bytes of an answer wait for the caller to take them.
    unsent: Cell<bool>,
    /// It has brought an RPC, or what passes for one.
    asked: Cell<bool>,
    /// Since when it has been idle, or an RPC has been coming.
    since: Cell<Instant>,
    /// When something came last.
    heard_at: Cell<Instant>,
    /// Bytes that were read in this turn of the library.
    turn: Cell<usize>,
    /// The library has read all that was there when it last wanted to.
    drained: Cell<bool>,
    /// When its caller was last seen to be there.
    seen_at: Cell<Option<Instant>>,
    close_when_idle: Cell<bool>,
    /// Its room is wanted by another.
    wanted: Cell<bool>,
    /// Half a message has had its time.
    late: Cell<bool>,
    /// The last answer is made: nothing that comes is read as an RPC any more.
    last: Cell<bool>,
    /// The library is done with it, whatever it thinks.
    done: Cell<bool>,
    pub wake: Notify,
    /// Its room is wanted: it need not wait for the caller to read the last answer.
    pub eviction: Notify,
}

impl Default for CallerConnection {
    fn default() -> Self {
        CallerConnection {
            stream: RefCell::default(),
            open: Cell::new(0),
            partial: Cell::new(false),
            unsent: Cell::new(false),
            asked: Cell::new(false),
            since: Cell::new(Instant::now()),
            heard_at: Cell::new(Instant::now()),
            turn: Cell::new(0),
            drained: Cell::new(false),
            seen_at: Cell::new(None),
            close_when_idle: Cell::new(false),
            wanted: Cell::new(false),
            late: Cell::new(false),
            last: Cell::new(false),
            done: Cell::new(false),
            wake: Notify::new(),
            eviction: Notify::new(),
        }
    }
}

impl CallerConnection {
    pub fn new(stream: TcpStream) -> Rc<Self> {
        Rc::new(CallerConnection { stream: RefCell::new(Some(stream)), ..CallerConnection::default() })
    }

    pub fn is_idle(&self) -> bool {
        self.open.get() == 0 && !self.partial.get() && !self.unsent.get()
    }

    /// It takes nothing of an answer that is there for it; `since` tells for how long.
    pub fn is_write_blocked(&self) -> bool {
        self.unsent.get()
    }

    /// More of a body has come.
    pub fn record_progress(&self) {
        self.late.set(false);
        self.since.set(Instant::now());
    }

    pub fn has_partial_request(&self) -> bool {
        self.open.get() == 0 && self.partial.get() && !self.unsent.get()
    }

    pub fn is_closing(&self) -> bool {
        self.close_when_idle.get() && self.is_idle()
    }

    /// Half a message has come, and nothing more of it for so long.
    pub fn has_stalled_request(&self, time: Duration) -> bool {
        self.has_partial_request() && self.heard_at.get().elapsed() >= time
    }

    /// Its room is wanted already, or it is about to be closed anyway.
    pub fn is_being_closed(&self) -> bool {
        self.wanted.get() || self.done.get()
    }

    pub fn has_sent_request(&self) -> bool {
        self.asked.get()
    }

    pub fn state_since(&self) -> Instant {
        self.since.get()
    }

    pub fn closes_after_answer(&self) -> bool {
        self.last.get()
    }

    pub fn is_force_closed(&self) -> bool {
        self.done.get()
    }

    /// Closes the connection as soon as nothing is open on it and nothing more has come.
    pub fn close_when_idle(&self) {
        self.set_close_when_idle(true);
    }

    /// The same, or takes it back.
    pub fn set_close_when_idle(&self, ending: bool) {
        self.close_when_idle.set(ending);
        self.wake.notify_one();
    }

    /// The same at once, and without waiting for the caller to read the last answer: its room is wanted. Of half a message
    /// the rest is not waited for.
    pub fn evict(&self) {
        self.wanted.set(true);
        if self.has_partial_request() {
            self.expire_partial_request();
        } else {
            self.close_when_idle();
        }
        self.eviction.notify_one();
    }

    /// Half a message has had its time: closes it, unless the rest has come by now.
    pub fn expire_partial_request(&self) {
        self.late.set(true);
        self.wake.notify_one();
    }

    pub fn is_partial_expired(&self) -> bool {
        self.late.get()
    }

    /// The library has had its turn since then.
    pub fn close_if_expired(&self) {
        if self.late.replace(false) && self.has_partial_request() && !self.has_unread_input() {
            self.force_close();
        }
    }

    fn may_close(&self) -> bool {
        self.close_when_idle.get() && self.is_idle() && !self.is_new()
    }

    /// Its first message is on its way: who connects has something to ask, and loses it where the connection ends unasked.
    fn is_new(&self) -> bool {
        !self.asked.get() && !self.wanted.get() && self.since.get().elapsed() < NEW
    }

    /// Closes it now, whatever the library waits for.
    pub fn force_close(&self) {
        self.done.set(true);
        self.wake.notify_one();
    }

    /// The answer that is made now is the last; what follows the message is not read. Guards against the rest
    /// of a message that was turned away being read as an RPC.
    pub fn close_after_answer(&self) {
        self.last.set(true);
    }

    /// Closed here is closed.
    fn peek(&self) -> Result<usize, Errno> {
        self.stream.borrow().as_ref().map_or(Ok(0), peek)
    }

    /// Whether its caller has closed it, or ended its sending; also where bytes lie before the end that nobody reads on, as
    /// of a body whose upstream is full, or of messages behind an open RPC.
    pub fn has_disconnected(&self) -> bool {
        let left = match self.peek() {
            Ok(0) => true,
            Ok(_) => self.is_told_of_end(),
            Err(why) => [Errno::CONNRESET, Errno::PIPE, Errno::TIMEDOUT].contains(&why),
        };
        self.seen_at.set((!left).then(Instant::now));
        left
    }

    /// The same for an attempt that is about to begin. Guards against one that nobody waits for: the event that tells of the
    /// end may be a turn away, or lie behind what is not read.
    pub fn has_disconnected_cached(&self) -> bool {
        self.seen_at.get().is_none_or(|at| at.elapsed() >= LOOKED) && self.has_disconnected()
    }

    /// The same for one with an open RPC that the library does not read on. Guards against work for who has left long ago.
    pub fn has_disconnected_unread(&self) -> bool {
        self.open.get() > 0 && !self.drained.get() && self.has_disconnected()
    }

    /// The event of its end has come, whatever lies unread before that.
    fn is_told_of_end(&self) -> bool {
        let stream = self.stream.borrow();
        let ready = stream.as_ref().and_then(|stream| stream.ready(Interest::READABLE).now_or_never());
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Its caller has left: what is open on it ends with it. The library may never come to the end itself.
    pub fn handle_disconnect(&self) {
        self.close_after_answer();
        self.force_close();
    }

    /// Whether there is more to read. Guards against the end of an idle connection on which the next RPC has come.
    pub(super) fn has_unread_input(&self) -> bool {
        self.peek().is_ok_and(|bytes| bytes > 0)
    }

    /// A message has come whole; what is returned is held until its answer is made.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.partial.set(false);
        self.late.set(false);
        self.asked.set(true);
        self.open.set(self.open.get() + 1);
        RequestGuard(Rc::clone(self))
    }

    fn with<T>(&self, act: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some(stream) => act(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

/// Held while the answer to a message is made.
pub struct RequestGuard(Rc<CallerConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.since.set(Instant::now());
    }
}

/// The stream that the server library reads and writes.
#[derive(Debug)]
pub struct InboundStream {
    pub connection: Rc<CallerConnection>,
}

impl AsyncRead for InboundStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let connection = &self.connection;
        if connection.closes_after_answer() {
            return Poll::Pending;
        }
        if connection.turn.get() >= TURN {
            connection.turn.set(0);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = connection.with(|stream| stream.poll_read(cx, buf));
        match &read {
            Poll::Ready(_) => connection.turn.set(connection.turn.get() + buf.filled().len() - before),
            Poll::Pending => connection.turn.set(0),
        }
        connection.drained.set(read.is_pending());
        match &read {
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                if connection.is_idle() {
                    connection.since.set(Instant::now());
                }
                connection.heard_at.set(Instant::now());
                connection.partial.set(true);
            }
            // Its event is still to come, and with it the next turn.
            Poll::Pending if connection.may_close() && connection.has_unread_input() => {}
            // Nothing is waiting in the socket, so nothing is lost by ending here.
            Poll::Pending if connection.may_close() => return Poll::Ready(Ok(())),
            _ => {}
        }
        read
    }
}

impl AsyncWrite for InboundStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.connection.with(|stream| stream.poll_write(cx, buf));
        if !self.connection.unsent.replace(true) || written.is_ready() {
            self.connection.record_progress();
        }
        written
    }

    /// The library flushes once it has written all that it has.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = self.connection.with(|stream| stream.poll_flush(cx));
        if self.connection.unsent.replace(false) {
            // Whoever waits for it to be idle may go on.
            self.connection.wake.notify_one();
        }
        if self.connection.closes_after_answer() && flushed.is_ready() {
            self.connection.force_close();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.with(|stream| stream.poll_shutdown(cx))
    }
}

impl ActixStream for InboundStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.connection.with(|stream| ActixStream::poll_read_ready(&*stream, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.connection.with(|stream| ActixStream::poll_write_ready(&*stream, cx))
    }
}
