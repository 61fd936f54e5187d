//! A caller's connection: whether a request is open on it, and when it may be closed.

use super::head_boundary::HeadBoundary;
use super::input_gate::InputGate;
use super::read_ahead::ReadAhead;
use crate::memory::budget::MemoryBudget;
use actix_rt::net::TcpStream;
use rustix::net::sockopt::socket_recv_buffer_size;
use rustix::net::RecvFlags;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead as _, AsyncReadExt as _, ReadBuf};
use tokio::sync::Notify;
use tokio_util::io::poll_read_buf;

/// The first request follows its connection in much less than this, even on a busy machine.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(200);

/// The largest send buffer of a caller's socket, the default of Linux.
const MAX_SEND_BUFFER_BYTES: usize = 4 << 20;

/// State of a caller's connection, shared by the server, the stream and the open requests.
#[derive(Debug)]
pub struct CallerConnection {
    /// `None` once it is closed, or only the server uses it.
    pub(super) stream: RefCell<Option<TcpStream>>,
    /// How much the library may read.
    pub(super) input_gate: Rc<InputGate>,
    /// What has been read and the library may not have yet.
    read_ahead: RefCell<ReadAhead>,
    /// The search for the end of the head that is being received.
    head_boundary: Cell<HeadBoundary>,
    /// Number of RPCs whose answer is not ready yet.
    open_requests: Cell<u32>,
    /// A head has been received, and its body is being received.
    receiving_body: Cell<bool>,
    /// Bytes of an incomplete request have been received.
    pub(super) partial_request: Cell<bool>,
    /// Bytes of an answer have not been sent, because the caller has not read enough.
    pub(super) unsent_answer: Cell<bool>,
    /// A request has been received, valid or not.
    received_request: Cell<bool>,
    /// Since when it has been idle, or receiving a request.
    pub(super) state_since: Cell<Instant>,
    /// When bytes were last received.
    pub(super) last_received_at: Cell<Instant>,
    /// Bytes read in the current turn of the library.
    pub(super) read_in_turn: Cell<usize>,
    /// The library's last read found the socket empty.
    pub(super) input_drained: Cell<bool>,
    /// When the caller was last seen to be connected; `None` if it may have disconnected before its connection was accepted.
    pub(super) last_seen_at: Cell<Option<Instant>>,
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
            head_boundary: Cell::default(),
            open_requests: Cell::new(0),
            receiving_body: Cell::new(false),
            partial_request: Cell::new(false),
            unsent_answer: Cell::new(false),
            received_request: Cell::new(false),
            state_since: Cell::new(Instant::now()),
            last_received_at: Cell::new(Instant::now()),
            read_in_turn: Cell::new(0),
            input_drained: Cell::new(false),
            last_seen_at: Cell::new(None),
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
    /// What is read from the connection is reserved in `budget`. `connected_at` is when its caller is known to have connected,
    /// if it is.
    pub fn new(stream: TcpStream, budget: &Rc<MemoryBudget>, connected_at: Option<Instant>) -> Rc<Self> {
        Rc::new(CallerConnection {
            stream: RefCell::new(Some(stream)),
            last_seen_at: Cell::new(connected_at),
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
    pub(super) fn is_between_requests(&self) -> bool {
        self.open_requests.get() == 0 && !self.receiving_body.get() && !self.unsent_answer.get()
    }

    /// An RPC on it has no answer yet.
    pub(super) fn has_open_request(&self) -> bool {
        self.open_requests.get() > 0
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

    pub(super) fn may_close(&self) -> bool {
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
    pub(super) fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
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

    /// Takes back what the library has been given behind the end of the current head; `before` bytes of `buf` are older.
    pub(super) fn keep_one_head(&self, buf: &mut ReadBuf<'_>, before: usize) {
        let mut boundary = self.head_boundary.get();
        let end = boundary.find(&buf.filled()[before..]);
        self.head_boundary.set(boundary);
        let Some(end) = end else { return };
        let rest = &buf.filled()[before + end..];
        if !rest.is_empty() {
            self.read_ahead.borrow_mut().put_back(rest);
        }
        buf.set_filled(before + end);
        self.input_gate.close();
    }

    /// Reads what the library may not have yet, to see whether the caller has closed the connection behind it.
    pub(super) fn poll_read_ahead(&self, cx: &mut Context<'_>) {
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
                    if self.has_open_request() {
                        self.handle_disconnect();
                    }
                    break;
                }
                Poll::Pending => break,
            }
        }
        read_ahead.trim();
    }

    /// The same at once, for a check of the caller. The library's task is woken by the event for these bytes.
    pub(super) fn read_ahead_now(&self) {
        let Some(budget) = self.input_gate.budget() else { return };
        let stream = self.stream.borrow();
        let Some(stream) = &*stream else { return };
        let mut read_ahead = self.read_ahead.borrow_mut();
        while let Some(block) = read_ahead.block(budget) {
            let length = block.len();
            block.resize(ReadAhead::BLOCK_BYTES, 0);
            let received = rustix::net::recv(stream, &mut block[length..], RecvFlags::DONTWAIT);
            let received = received.map_or(0, |(_, bytes)| bytes);
            block.truncate(length + received);
            if received == 0 {
                break;
            }
            self.last_received_at.set(Instant::now());
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

    pub(super) fn with<T>(
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
