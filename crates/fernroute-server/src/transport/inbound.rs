//! A caller's connection: whether a request is open on it, and when it may be closed.

use super::input_gate::{InputGate, Permission};
use super::peek;
use super::read_ahead::ReadAhead;
use crate::memory::budget::MemoryBudget;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use futures_util::FutureExt as _;
use rustix::io::Errno;
use rustix::net::sockopt::socket_recv_buffer_size;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, Interest, ReadBuf};
use tokio::sync::Notify;
use tokio_util::io::poll_read_buf;

/// The HTTP library reads until nothing is left. After this many bytes it yields, so that other connections get their turn
/// and what was read is handled.
const MAX_READ_PER_TURN: usize = 16 * 1024;

/// The first request follows its connection in much less than this, even on a busy machine.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(200);

/// How long the result of a disconnect check is reused. An attempt must not begin more than 100 ms after its caller has
/// disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The largest send buffer of a caller's socket, the default of Linux.
const MAX_SEND_BUFFER_BYTES: usize = 4 << 20;

/// State of a caller's connection, shared by the server, the stream and the open requests.
#[derive(Debug)]
pub struct CallerConnection {
    /// `None` once it is closed, or only the server uses it.
    pub(super) stream: RefCell<Option<TcpStream>>,
    /// How much the library may read.
    input_gate: Rc<InputGate>,
    /// What has been read and the library may not have yet.
    read_ahead: RefCell<ReadAhead>,
    /// Number of RPCs whose answer is not ready yet.
    open_requests: Cell<u32>,
    /// A head has been received, and its body is being received.
    receiving_body: Cell<bool>,
    /// Bytes of an incomplete request have been received.
    partial_request: Cell<bool>,
    /// Bytes of an answer have not been sent, because the caller has not read enough.
    unsent_answer: Cell<bool>,
    /// A request has been received, valid or not.
    received_request: Cell<bool>,
    /// Since when it has been idle, or receiving a request.
    state_since: Cell<Instant>,
    /// When bytes were last received.
    last_received_at: Cell<Instant>,
    /// Bytes read in the current turn of the library.
    read_in_turn: Cell<usize>,
    /// The library's last read found the socket empty.
    input_drained: Cell<bool>,
    /// When the caller was last found to be connected.
    last_connected_at: Cell<Option<Instant>>,
    close_when_idle: Cell<bool>,
    /// It is to be closed to make room for another.
    evicted: Cell<bool>,
    /// The time for receiving a request has expired.
    request_expired: Cell<bool>,
    /// It is closed after the current answer: later bytes are not read as a request.
    close_after_answer: Cell<bool>,
    /// It is closed now, even if the library still waits for something.
    force_closed: Cell<bool>,
    pub wake: Notify,
    /// Signals that it is evicted, so the server need not wait for the caller to read the last answer.
    pub eviction: Notify,
}

impl Default for CallerConnection {
    fn default() -> Self {
        CallerConnection {
            stream: RefCell::default(),
            input_gate: InputGate::new(None),
            read_ahead: RefCell::default(),
            open_requests: Cell::new(0),
            receiving_body: Cell::new(false),
            partial_request: Cell::new(false),
            unsent_answer: Cell::new(false),
            received_request: Cell::new(false),
            state_since: Cell::new(Instant::now()),
            last_received_at: Cell::new(Instant::now()),
            read_in_turn: Cell::new(0),
            input_drained: Cell::new(false),
            last_connected_at: Cell::new(None),
            close_when_idle: Cell::new(false),
            evicted: Cell::new(false),
            request_expired: Cell::new(false),
            close_after_answer: Cell::new(false),
            force_closed: Cell::new(false),
            wake: Notify::new(),
            eviction: Notify::new(),
        }
    }
}

impl CallerConnection {
    /// What is read from the connection is reserved in `budget`.
    pub fn new(stream: TcpStream, budget: &Rc<MemoryBudget>) -> Rc<Self> {
        Rc::new(CallerConnection {
            stream: RefCell::new(Some(stream)),
            input_gate: InputGate::new(Some(budget)),
            ..CallerConnection::default()
        })
    }

    /// Limits how much the library reads from the connection.
    pub fn input_gate(&self) -> &Rc<InputGate> {
        &self.input_gate
    }

    /// There was no memory for the head that was being received.
    pub fn is_refused_for_memory(&self) -> bool {
        self.input_gate.is_refused()
    }

    /// The head of a request has been received.
    pub fn begin_body(&self) {
        self.receiving_body.set(true);
        self.input_gate.begin_request();
    }

    /// No request is open: all that has been read since the last one belongs to the next head.
    fn is_between_requests(&self) -> bool {
        self.open_requests.get() == 0 && !self.receiving_body.get() && !self.unsent_answer.get()
    }

    pub fn is_idle(&self) -> bool {
        self.open_requests.get() == 0 && !self.partial_request.get() && !self.unsent_answer.get()
    }

    /// Bytes of an answer wait for the caller to read them; `state_since` is the time of the last progress.
    pub fn is_write_blocked(&self) -> bool {
        self.unsent_answer.get()
    }

    /// Records that more of a body has been received, or of an answer sent.
    pub fn record_progress(&self) {
        self.request_expired.set(false);
        self.state_since.set(Instant::now());
    }

    pub fn has_partial_request(&self) -> bool {
        self.open_requests.get() == 0 && self.partial_request.get() && !self.unsent_answer.get()
    }

    pub fn is_closing(&self) -> bool {
        self.close_when_idle.get() && self.is_idle()
    }

    /// A request has been received in part, and nothing more of it for `time`.
    pub fn has_stalled_request(&self, time: Duration) -> bool {
        self.has_partial_request() && self.last_received_at.get().elapsed() >= time
    }

    /// It is evicted or closed already.
    pub fn is_being_closed(&self) -> bool {
        self.evicted.get() || self.force_closed.get()
    }

    pub fn has_sent_request(&self) -> bool {
        self.received_request.get()
    }

    pub fn state_since(&self) -> Instant {
        self.state_since.get()
    }

    pub fn closes_after_answer(&self) -> bool {
        self.close_after_answer.get()
    }

    pub fn is_force_closed(&self) -> bool {
        self.force_closed.get()
    }

    /// Closes the connection as soon as no request is open on it and no more bytes have arrived.
    pub fn close_when_idle(&self) {
        self.set_close_when_idle(true);
    }

    /// Sets or withdraws the order to close the connection when it is idle.
    pub fn set_close_when_idle(&self, close: bool) {
        self.close_when_idle.set(close);
        self.wake.notify_one();
    }

    /// Closes the connection to make room for another: as soon as it is idle, and without waiting for the caller to read the
    /// last answer or to send the rest of an incomplete request.
    pub fn evict(&self) {
        self.evicted.set(true);
        if self.has_partial_request() {
            self.expire_partial_request();
        } else {
            self.close_when_idle();
        }
        self.eviction.notify_one();
    }

    /// The time for receiving a request has expired: closes the connection, unless the rest has arrived.
    pub fn expire_partial_request(&self) {
        self.request_expired.set(true);
        self.wake.notify_one();
    }

    pub fn has_expired_request(&self) -> bool {
        self.request_expired.get()
    }

    /// Closes an expired connection. Called after the library had a chance to read the rest of the request.
    pub fn close_if_expired(&self) {
        if self.request_expired.replace(false) && self.has_partial_request() && !self.has_unread_input() {
            self.force_close();
        }
    }

    fn may_close(&self) -> bool {
        self.close_when_idle.get() && self.is_idle() && !self.expects_first_request()
    }

    /// Its first request is expected: a caller connects because it has one, and would lose it if the connection were closed.
    fn expects_first_request(&self) -> bool {
        !self.received_request.get()
            && !self.evicted.get()
            && self.state_since.get().elapsed() < FIRST_REQUEST_GRACE
    }

    /// Closes the connection now, even if the library still waits for something.
    pub fn force_close(&self) {
        self.force_closed.set(true);
        self.wake.notify_one();
    }

    /// Closes the connection after the current answer; bytes after the request are not read. Guards against reading the rest
    /// of a rejected request as another RPC.
    pub fn close_after_answer(&self) {
        self.close_after_answer.set(true);
    }

    /// A stream that is gone counts as closed by the caller.
    fn peek(&self) -> Result<usize, Errno> {
        self.stream.borrow().as_ref().map_or(Ok(0), peek)
    }

    /// Whether the caller has closed the connection, or its sending side. Also detects this behind bytes that are not being
    /// read, such as a body whose upstream is slow, or requests behind an open RPC.
    pub fn has_disconnected(&self) -> bool {
        let disconnected = match self.peek() {
            Ok(0) => true,
            Ok(_) => self.is_read_closed(),
            Err(error) => [Errno::CONNRESET, Errno::PIPE, Errno::TIMEDOUT].contains(&error),
        };
        self.last_connected_at.set((!disconnected).then(Instant::now));
        disconnected
    }

    /// The same for an attempt that is about to begin. Guards against an attempt whose caller has disconnected: the close
    /// event may be handled one event-loop turn later, or lie behind unread bytes.
    pub fn has_disconnected_cached(&self) -> bool {
        self.last_connected_at.get().is_none_or(|at| at.elapsed() >= DISCONNECT_CHECK_INTERVAL)
            && self.has_disconnected()
    }

    /// The same for a connection with an open RPC from which the library does not read. Guards against long work for a caller
    /// that has disconnected.
    pub fn has_disconnected_unread(&self) -> bool {
        self.open_requests.get() > 0 && !self.input_drained.get() && self.has_disconnected()
    }

    /// The runtime has received the close event, even if unread bytes precede it.
    fn is_read_closed(&self) -> bool {
        let stream = self.stream.borrow();
        let ready = stream.as_ref().and_then(|stream| stream.ready(Interest::READABLE).now_or_never());
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// The caller has disconnected: ends the connection and everything open on it. The library may never read up to the end.
    pub fn handle_disconnect(&self) {
        self.close_after_answer();
        self.force_close();
    }

    /// Whether there are unread bytes. Guards against closing an idle connection on which the next RPC has arrived.
    pub(super) fn has_unread_input(&self) -> bool {
        !self.read_ahead.borrow().is_empty() || self.peek().is_ok_and(|bytes| bytes > 0)
    }

    /// Reads up to `limit` bytes, first those that have been read ahead.
    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>, limit: usize) -> Poll<io::Result<()>> {
        let mut read_ahead = self.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            read_ahead.take(limit, buf);
            return Poll::Ready(Ok(()));
        }
        let read = self.with(|stream| {
            let mut limited = stream.get_mut().take(limit as u64);
            Pin::new(&mut limited).poll_read(cx, buf)
        });
        if read.is_pending() {
            self.input_gate.record_drained();
        }
        read
    }

    /// How many bytes the caller may have sent that the library has not got: those in the sockets on both sides, and those that
    /// were read ahead.
    pub fn max_bytes_in_flight(&self) -> usize {
        let receive_buffer = match &*self.stream.borrow() {
            Some(stream) => socket_recv_buffer_size(stream).unwrap_or(usize::MAX / 2),
            None => 0,
        };
        receive_buffer + MAX_SEND_BUFFER_BYTES + ReadAhead::MAX_BYTES
    }

    /// Reads what the library may not have yet, to see whether the caller has closed the connection behind it.
    fn poll_read_ahead(&self, cx: &mut Context<'_>) {
        let Some(budget) = self.input_gate.budget() else { return };
        let mut read_ahead = self.read_ahead.borrow_mut();
        while let Some(block) = read_ahead.block(budget) {
            let room = ReadAhead::BLOCK_BYTES - block.len();
            let read = self.with(|stream| {
                let mut limited = stream.get_mut().take(room as u64);
                poll_read_buf(Pin::new(&mut limited), cx, block)
            });
            match read {
                Poll::Ready(Ok(bytes)) if bytes > 0 => self.last_received_at.set(Instant::now()),
                Poll::Ready(_) => {
                    if self.open_requests.get() > 0 {
                        self.handle_disconnect();
                    }
                    break;
                }
                Poll::Pending => break,
            }
        }
        read_ahead.trim();
    }

    /// A request has been received. It counts as open until the returned guard is dropped, when its answer is ready.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.receiving_body.set(false);
        self.partial_request.set(false);
        self.request_expired.set(false);
        self.received_request.set(true);
        self.open_requests.set(self.open_requests.get() + 1);
        RequestGuard(Rc::clone(self))
    }

    /// Its caller is not waited for until the returned guard is dropped: the balancer reads nothing of the request meanwhile.
    pub fn pause_request(self: &Rc<Self>) -> PauseGuard {
        self.open_requests.set(self.open_requests.get() + 1);
        PauseGuard(Rc::clone(self))
    }

    fn with<T>(
        &self,
        operation: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match self.stream.borrow_mut().as_mut() {
            Some(stream) => operation(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }
}

/// Marks a request as open until its answer is ready.
pub struct RequestGuard(Rc<CallerConnection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        self.0.state_since.set(Instant::now());
        self.0.input_gate.end_request();
    }
}

/// Marks a request of which nothing is read for the moment.
pub struct PauseGuard(Rc<CallerConnection>);

impl Drop for PauseGuard {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
        self.0.record_progress();
    }
}

/// The stream that the HTTP library reads from and writes to.
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
        if connection.read_in_turn.get() >= MAX_READ_PER_TURN {
            connection.read_in_turn.set(0);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let permission = connection.input_gate.poll_permission(cx, connection.is_between_requests());
        let allowed = match permission {
            Permission::Granted(bytes) => bytes,
            Permission::Wait => {
                connection.input_drained.set(false);
                connection.poll_read_ahead(cx);
                return Poll::Pending;
            }
            Permission::Decode => {
                connection.input_drained.set(false);
                return Poll::Pending;
            }
            Permission::Refused => {
                connection.force_close();
                return Poll::Pending;
            }
        };
        let before = buf.filled().len();
        let read = connection.poll_read(cx, buf, allowed);
        connection.input_gate.record_read(buf.filled().len() - before);
        match &read {
            Poll::Ready(_) => {
                connection.read_in_turn.set(connection.read_in_turn.get() + buf.filled().len() - before)
            }
            Poll::Pending => connection.read_in_turn.set(0),
        }
        connection.input_drained.set(read.is_pending());
        match &read {
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                if connection.is_idle() {
                    connection.state_since.set(Instant::now());
                }
                connection.last_received_at.set(Instant::now());
                connection.partial_request.set(true);
            }
            // The readable event is still to come, and the library reads then.
            Poll::Pending if connection.may_close() && connection.has_unread_input() => {}
            // The socket is empty, so nothing is lost by closing here.
            Poll::Pending if connection.may_close() => return Poll::Ready(Ok(())),
            _ => {}
        }
        read
    }
}

impl AsyncWrite for InboundStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.connection.with(|stream| stream.poll_write(cx, buf));
        if !self.connection.unsent_answer.replace(true) || written.is_ready() {
            self.connection.record_progress();
        }
        written
    }

    /// The library flushes after it has written everything.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = self.connection.with(|stream| stream.poll_flush(cx));
        if self.connection.unsent_answer.replace(false) {
            // Wakes the task that waits for the connection to be idle.
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
