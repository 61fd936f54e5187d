//! A connection to an upstream during one attempt: how far the attempt has come, and where its answer ends.

use super::framing::Framing;
use super::inbound::CallerConnection;
use super::presence::Presence;
use super::upstream_connections::UpstreamConnection;
use crate::memory::answer::{AnswerMemory, HeldAnswer};
use crate::memory::budget::OutOfMemory;
use crate::memory::window::Window;
use actix_rt::net::{ActixStream, Ready};
use bytes::BytesMut;
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::io::poll_read_buf;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptProgress {
    #[default]
    NotStarted,
    Connected,
    /// The last byte of the request has been written: from here on the RPC may have run.
    RequestWritten,
    AnswerStarted,
}

/// The state of one attempt, updated by the connection that carries it.
#[derive(Debug, Default)]
pub struct AttemptState {
    progress: Cell<AttemptProgress>,
    /// The upstream closed the connection during this attempt.
    upstream_closed: Cell<bool>,
    /// The close was also the proper end of the answer.
    closed_at_answer_end: Cell<bool>,
    /// When the first byte of the request was written.
    started_at: Cell<Option<Instant>>,
    last_received_at: Cell<Option<Instant>>,
    /// The attempt was not sent, or not completely, for a reason on this side: no connection available, cancelled, or past
    /// its write deadline.
    pub(super) held_back: Cell<bool>,
    connection: RefCell<Option<Rc<UpstreamConnection>>>,
    /// The attempt was cancelled, or its upstream has left the endpoint list: it must not start any more.
    start_prevented: Cell<bool>,
    /// No byte of the request is written after this time.
    write_deadline: Cell<Option<Instant>>,
    /// The connection of the caller whose RPC this is; `None` for the balancer's own requests.
    caller: Option<Weak<CallerConnection>>,
    /// What was known of the caller when the first byte was to be written.
    caller_presence: Cell<Presence>,
    /// More of the body is to come: the last byte has not been written.
    pub body_incomplete: Cell<bool>,
    /// The upstream answered before it had received the whole body.
    pub answered_early: Cell<bool>,
    /// The memory for the answer; `None` for the balancer's own requests, whose answers are not limited.
    answer_memory: OnceCell<AnswerMemory>,
    /// Number of attempts whose last byte has been written, over all attempts.
    written_attempts: Rc<Cell<u64>>,
}

tokio::task_local! {
    /// The attempt of the running task: tells a pooled connection which attempt it carries.
    pub static CURRENT_ATTEMPT: Rc<AttemptState>;
}

impl AttemptState {
    /// An attempt for an RPC of `caller`. Counted in `written_attempts` once its last byte has been written.
    pub fn new(caller: Option<Weak<CallerConnection>>, written_attempts: &Rc<Cell<u64>>) -> Rc<Self> {
        Rc::new(AttemptState {
            caller,
            written_attempts: Rc::clone(written_attempts),
            ..AttemptState::default()
        })
    }

    pub fn progress(&self) -> AttemptProgress {
        self.progress.get()
    }

    /// Reserves the answer in `memory`. Called once, before the attempt begins.
    pub fn set_answer_memory(&self, memory: AnswerMemory) {
        let _ = self.answer_memory.set(memory);
    }

    /// Reserves memory to hold `bytes` of the answer before it is passed on. None where answers are not limited.
    ///
    /// # Errors
    /// When there is no room.
    pub fn try_hold_answer(&self, bytes: usize) -> Result<Option<HeldAnswer>, OutOfMemory> {
        let Some(memory) = self.answer_memory.get() else { return Ok(None) };
        memory.try_hold(bytes).map(Some).ok_or(OutOfMemory)
    }

    /// The window for a streamed answer, once there is memory for it.
    ///
    /// # Errors
    /// When others need the memory that the attempt holds meanwhile, or it has none.
    pub async fn answer_window(&self) -> Result<Rc<Window>, OutOfMemory> {
        self.answer_memory.get().ok_or(OutOfMemory)?.window().await
    }

    /// Limits how many bytes of the answer are read at a time.
    pub fn set_read_limit(&self, bytes: usize) {
        if let Some(connection) = &*self.connection.borrow() {
            connection.read_limit.set(bytes);
        }
    }

    /// An error if the connection ended before the answer did: the HTTP library takes a truncated chunked body for complete.
    pub fn check_complete(&self) -> io::Result<()> {
        if self.upstream_closed.get() && !self.closed_at_answer_end.get() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// When bytes were last received.
    pub fn last_received_at(&self) -> Option<Instant> {
        self.last_received_at.get()
    }

    pub fn held_back(&self) -> bool {
        self.held_back.get()
    }

    /// Prevents the first byte from being written. Guards against a connection that is established late: by then the caller
    /// may have disconnected, or its upstream may have been told to drain.
    pub fn prevent_start(&self) {
        self.start_prevented.set(true);
    }

    /// After `remaining` no byte of the request is written, neither the first nor the last. Guards against a repeat that
    /// arrives completely at its upstream when upstreams no longer deduplicate it, because its connection was established
    /// late or accepted a long body slowly.
    pub fn set_write_deadline(&self, remaining: Duration) {
        self.write_deadline.set(Some(Instant::now() + remaining));
    }

    fn is_before_write_deadline(&self) -> bool {
        self.write_deadline.get().is_none_or(|by| Instant::now() < by)
    }

    /// An error if the write deadline has passed before the last byte was written; the last byte is then never written.
    fn check_write_deadline(&self) -> io::Result<()> {
        if self.progress() >= AttemptProgress::RequestWritten || self.is_before_write_deadline() {
            return Ok(());
        }
        self.held_back.set(true);
        Err(io::Error::other("write deadline passed before the last byte of the request"))
    }

    /// What was known of the caller when the attempt was to begin. It has begun only if the caller was connected.
    pub fn caller_presence(&self) -> Presence {
        self.caller_presence.get()
    }

    /// Whether the first byte may be written now. Examines the caller's socket itself, because its close event may be
    /// handled one event-loop turn later, and turns can be long. Nothing begins for a caller that may have been gone for long.
    pub(super) fn may_start(&self) -> bool {
        if let Some(caller) = &self.caller {
            let connection = caller.upgrade();
            let presence = connection.as_ref().map_or(Presence::Disconnected, |c| c.presence_for_attempt());
            if presence == Presence::Disconnected {
                connection.iter().for_each(|connection| connection.handle_disconnect());
            }
            self.caller_presence.set(presence);
        }
        let may_start = self.is_before_write_deadline()
            && !self.start_prevented.get()
            && self.caller_presence.get() == Presence::Connected;
        self.held_back.set(self.held_back.get() || !may_start);
        may_start
    }

    /// Gives the connection back to its pool, or closes it if more of this answer could still arrive. Guards against a
    /// duplicate of the answer, or other data, that the next RPC would take for its own answer.
    pub fn release_connection(&self) {
        let Some(connection) = self.connection.take() else { return };
        // Taken from the library, whose own pool would use it for the next RPC at once.
        let Some(stream) = connection.stream.take() else { return };
        // The whole request has been written and the whole answer received.
        let is_complete = connection.reusable.get() && connection.unsent.borrow().is_empty();
        if let Some(pool) = connection.pool.upgrade().filter(|_| is_complete) {
            pool.put_back(stream, self.started_at.get().map_or(Duration::ZERO, |at| at.elapsed()));
        }
    }

    /// Writes bytes that the socket has not accepted yet. Ready once at most `window` bytes are left. An error if the
    /// upstream answers or closes the connection meanwhile.
    pub fn poll_write_capacity(&self, cx: &mut Context<'_>, window: usize) -> Poll<io::Result<()>> {
        let Some(connection) = self.connection.borrow().clone() else { return Poll::Ready(Ok(())) };
        let mut peek_buffer = [MaybeUninit::uninit(); 1];
        let mut peek_buffer = ReadBuf::uninit(&mut peek_buffer);
        if connection.with(|stream| stream.get_mut().poll_peek(cx, &mut peek_buffer)).is_ready() {
            self.answered_early.set(true);
            return Poll::Ready(Err(io::Error::other(
                "the upstream answered or closed the connection before the end of the request body",
            )));
        }
        self.check_write_deadline()?;
        match connection.write_unsent(cx) {
            Poll::Pending if connection.unsent.borrow().len() > window => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }

    fn advance_to(&self, progress: AttemptProgress) {
        if self.progress.get() < AttemptProgress::RequestWritten
            && progress >= AttemptProgress::RequestWritten
        {
            self.written_attempts.set(self.written_attempts.get() + 1);
        }
        self.progress.set(self.progress.get().max(progress));
    }
}

/// The stream that the HTTP client library reads from and writes to.
#[derive(Debug)]
pub struct OutboundStream {
    connection: Rc<UpstreamConnection>,
    framing: Framing,
    /// Received bytes that have not been passed on; the first `ready` of them belong to the answer.
    received: BytesMut,
    ready: usize,
}

/// The read size of the library, in bytes.
pub(super) const READ_BYTES: usize = 8 * 1024;

impl OutboundStream {
    /// On an idle connection.
    pub(super) fn reusing(connection: Rc<UpstreamConnection>) -> Self {
        connection.idle_since.set(None);
        OutboundStream::new(connection)
    }

    pub(super) fn new(connection: Rc<UpstreamConnection>) -> Self {
        OutboundStream { connection, framing: Framing::default(), received: BytesMut::new(), ready: 0 }
    }

    /// Reads from the socket; 0 bytes at the end of the connection.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.received.reserve(READ_BYTES);
        let (connection, received) = (Rc::clone(&self.connection), &mut self.received);
        let mut stream = connection.stream.borrow_mut();
        match stream.as_mut() {
            Some(stream) => poll_read_buf(Pin::new(stream), cx, received),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Reads until bytes of the answer are available, and looks for its end.
    fn poll_answer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.ready == 0 {
            if std::task::ready!(self.poll_receive(cx))? == 0 {
                // The library takes a truncated chunked answer for a complete one, so the end is recorded here.
                let closed_at_answer_end = self.framing.ends_with_connection();
                self.update_attempt(|attempt| {
                    attempt.upstream_closed.set(true);
                    attempt.closed_at_answer_end.set(closed_at_answer_end);
                });
                let end =
                    if self.framing.is_open_ended() { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof) };
                return Poll::Ready(end.map_err(io::Error::from));
            }
            self.update_attempt(|attempt| {
                attempt.last_received_at.set(Some(Instant::now()));
                attempt.advance_to(AttemptProgress::AnswerStarted);
            });
            self.ready = self.framing.answer_bytes(&mut self.received, self.connection.max_body)?;
        }
        // Bytes after a complete answer belong to no answer, so the connection is not reused. Nor is it where only the
        // library finds the end.
        let has_excess = self.framing.is_complete()
            && (self.received.len() > self.ready
                || matches!(self.poll_receive(cx), Poll::Ready(Ok(_) | Err(_))));
        self.connection.reusable.set(self.framing.is_complete() && !has_excess && !self.framing.closes());
        Poll::Ready(Ok(()))
    }

    /// Whether the attempt of the running task may still write.
    fn check_write_deadline(&self) -> io::Result<()> {
        CURRENT_ATTEMPT.try_with(|attempt| attempt.check_write_deadline()).unwrap_or(Ok(()))
    }

    /// Updates the attempt of the running task, if it uses this connection.
    fn update_attempt(&self, update: impl FnOnce(&AttemptState)) {
        let _ = CURRENT_ATTEMPT.try_with(|attempt| {
            if attempt
                .connection
                .borrow()
                .as_ref()
                .is_some_and(|connection| Rc::ptr_eq(connection, &self.connection))
            {
                update(attempt);
            }
        });
    }
}

/// Closes the connection, whoever else refers to it: an attempt that is given up must end here.
impl Drop for OutboundStream {
    fn drop(&mut self) {
        self.connection.stream.take();
    }
}

impl AsyncRead for OutboundStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ready == 0 {
            if self.framing.is_complete() {
                // The library's pool checks whether the connection is still open. After its release the stream is gone.
                return self.connection.with(|stream| stream.poll_read(cx, buf));
            }
            std::task::ready!(self.poll_answer(cx))?;
        }
        let n = self.ready.min(buf.remaining()).min(self.connection.read_limit.get());
        buf.put_slice(&self.received.split_to(n));
        self.ready -= n;
        if self.ready == 0 && self.framing.is_complete() {
            // Frees the buffer: an idle connection uses no memory for it.
            self.received = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for OutboundStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let may_not_start = CURRENT_ATTEMPT.try_with(|attempt| {
            if attempt.progress() < AttemptProgress::Connected && !attempt.may_start() {
                return true;
            }
            if attempt.progress() < AttemptProgress::Connected {
                attempt.started_at.set(Some(Instant::now()));
            }
            attempt.connection.replace(Some(Rc::clone(&self.connection)));
            attempt.advance_to(AttemptProgress::Connected);
            false
        });
        if may_not_start.unwrap_or(false) {
            return Poll::Ready(Err(io::Error::other("attempt cancelled before its first byte")));
        }
        self.check_write_deadline()?;
        if let Poll::Ready(result) = self.connection.write_unsent(cx) {
            result?;
            let written = self.connection.with(|stream| stream.poll_write(cx, buf));
            let n = if let Poll::Ready(n) = written { n? } else { 0 };
            self.connection.unsent.borrow_mut().extend_from_slice(&buf[n..]);
        } else {
            self.connection.unsent.borrow_mut().extend_from_slice(buf);
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Checked only if bytes are left, so that a request that was written completely in time does not count as unsent.
        if !self.connection.unsent.borrow().is_empty() {
            self.check_write_deadline()?;
        }
        std::task::ready!(self.connection.write_unsent(cx))?;
        self.update_attempt(|attempt| {
            if !attempt.body_incomplete.get() {
                attempt.advance_to(AttemptProgress::RequestWritten);
            }
        });
        self.connection.with(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.with(|stream| stream.poll_shutdown(cx))
    }
}

impl ActixStream for OutboundStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.connection.with(|stream| ActixStream::poll_read_ready(&*stream, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.connection.with(|stream| ActixStream::poll_write_ready(&*stream, cx))
    }
}
