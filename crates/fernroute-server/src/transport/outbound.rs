//! One connection to an upstream: how far a transmission on it has come, and where its answer ends.

use super::framing::Framing;
use super::inbound::CallerConnection;
use super::upstream_connections::UpstreamConnection;
use actix_rt::net::{ActixStream, Ready};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_util::io::poll_read_buf;

/// How far a transmission has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptProgress {
    #[default]
    NotStarted,
    Connected,
    /// The last byte is out: from here on it may have run.
    RequestWritten,
    AnswerStarted,
}

/// How far one attempt has come, kept by the connection that carries it.
#[derive(Debug, Default)]
pub struct AttemptState {
    progress: Cell<AttemptProgress>,
    /// The upstream ended the connection while it carried this transmission.
    cut: Cell<bool>,
    /// That end was the answer's, too.
    to_the_end: Cell<bool>,
    /// When its first byte was written.
    begun_at: Cell<Option<Instant>>,
    last_received_at: Cell<Option<Instant>>,
    /// It never left, for want of connections here.
    pub(super) held_back: Cell<bool>,
    connection: RefCell<Option<Rc<UpstreamConnection>>>,
    /// Called off, or its upstream has left the list: it does not begin any more.
    barred: Cell<bool>,
    /// No byte of it leaves after this.
    written_by: Cell<Option<Instant>>,
    /// Whose RPC it carries; none for calls of the balancer's own.
    caller: Option<Weak<CallerConnection>>,
    /// Whose caller was gone before its first byte.
    unwanted: Cell<bool>,
    /// More of the body is to come: the last byte is not out.
    pub body_incomplete: Cell<bool>,
    /// The upstream answered before it had the whole body.
    pub answered_early: Cell<bool>,
    /// Counts transmissions whose last byte is out.
    written: Rc<Cell<u64>>,
}

tokio::task_local! {
    /// The transmission that the running task makes: tells a pooled connection whom it serves.
    pub static CURRENT_ATTEMPT: Rc<AttemptState>;
}

impl AttemptState {
    /// Of an RPC of this caller's, counted there.
    pub fn new(caller: Option<Weak<CallerConnection>>, written: &Rc<Cell<u64>>) -> Rc<Self> {
        Rc::new(AttemptState { caller, written: Rc::clone(written), ..AttemptState::default() })
    }

    pub fn progress(&self) -> AttemptProgress {
        self.progress.get()
    }

    /// Whether the answer that the library takes for whole is: it takes one in chunks that is cut short for one.
    pub fn check_complete(&self) -> io::Result<()> {
        if self.cut.get() && !self.to_the_end.get() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// When something came last.
    pub fn last_received_at(&self) -> Option<Instant> {
        self.last_received_at.get()
    }

    pub fn held_back(&self) -> bool {
        self.held_back.get()
    }

    /// From here on its first byte does not leave. Guards against a connection that comes up late: its caller may have
    /// gone by then, or its upstream have been told to drain.
    pub fn prevent_start(&self) {
        self.barred.set(true);
    }

    /// In so long no byte leaves any more, neither the first nor the last. Guards against a repeat that is whole at its upstream
    /// when repeats are not dropped any more: on a connection that comes up late, or that takes a long body slowly.
    pub fn set_write_deadline(&self, left: Duration) {
        self.written_by.set(Some(Instant::now() + left));
    }

    fn is_in_time(&self) -> bool {
        self.written_by.get().is_none_or(|by| Instant::now() < by)
    }

    /// Whether what is left of it may still be written; an error where its time is over, and then its last byte never leaves.
    fn may_go_on(&self) -> io::Result<()> {
        if self.progress() >= AttemptProgress::RequestWritten || self.is_in_time() {
            return Ok(());
        }
        self.held_back.set(true);
        Err(io::Error::other("called off before its last byte"))
    }

    /// It was not begun, since its caller has left.
    pub fn is_caller_gone(&self) -> bool {
        self.unwanted.get()
    }

    /// Whether its first byte may leave now. The caller's own socket is asked: whatever else would tell of its end may be a
    /// turn away, and turns may be long.
    pub(super) fn may_start(&self) -> bool {
        if let Some(caller) = &self.caller {
            let visit = caller.upgrade();
            if visit.as_ref().is_none_or(|visit| visit.has_disconnected_cached()) {
                self.unwanted.set(true);
                visit.iter().for_each(|visit| visit.handle_disconnect());
            }
        }
        let may = self.is_in_time() && !self.barred.get() && !self.unwanted.get();
        self.held_back.set(self.held_back.get() || !may);
        may
    }

    /// The connection, if it is kept, stands idle from now on; one that may still bring something of this
    /// answer is closed. Guards against a second copy or noise that the next RPC would take for its answer.
    pub fn release_connection(&self) {
        let Some(connection) = self.connection.take() else { return };
        // Out of the library's hands, whose pool would give it to the next RPC at once.
        let Some(stream) = connection.stream.take() else { return };
        // All of the RPC is out and all of the answer is in.
        let is_done = connection.reusable.get() && connection.left.borrow().is_empty();
        if let Some(home) = connection.home.upgrade().filter(|_| is_done) {
            home.put_back(stream, self.begun_at.get().map_or(Duration::ZERO, |at| at.elapsed()));
        }
    }

    /// Writes on what the connection has not taken yet: ready once no more than `window` of it is left. An answer that
    /// comes meanwhile, or an end, is an error.
    pub fn poll_write_capacity(&self, cx: &mut Context<'_>, window: usize) -> Poll<io::Result<()>> {
        let Some(connection) = self.connection.borrow().clone() else { return Poll::Ready(Ok(())) };
        let mut peeked = [MaybeUninit::uninit(); 1];
        let mut peeked = ReadBuf::uninit(&mut peeked);
        if connection.with(|stream| stream.get_mut().poll_peek(cx, &mut peeked)).is_ready() {
            self.answered_early.set(true);
            return Poll::Ready(Err(io::Error::other("an answer before the whole body")));
        }
        self.may_go_on()?;
        match connection.write_left(cx) {
            Poll::Pending if connection.left.borrow().len() > window => Poll::Pending,
            Poll::Ready(Err(why)) => Poll::Ready(Err(why)),
            _ => Poll::Ready(Ok(())),
        }
    }

    fn advance_to(&self, progress: AttemptProgress) {
        if self.progress.get() < AttemptProgress::RequestWritten
            && progress >= AttemptProgress::RequestWritten
        {
            self.written.set(self.written.get() + 1);
        }
        self.progress.set(self.progress.get().max(progress));
    }
}

/// The stream that the client library reads and writes.
#[derive(Debug)]
pub struct OutboundStream {
    connection: Rc<UpstreamConnection>,
    framing: Framing,
    /// What has come and is not handed on yet; the first `ready` bytes are the answer's.
    heard: BytesMut,
    ready: usize,
}

/// As much as the library reads at once.
const HEAR: usize = 8 * 1024;

impl OutboundStream {
    /// On a connection that stood idle.
    pub(super) fn of(connection: Rc<UpstreamConnection>) -> Self {
        connection.idle_since.set(None);
        OutboundStream::new(connection)
    }

    pub(super) fn new(connection: Rc<UpstreamConnection>) -> Self {
        OutboundStream { connection, framing: Framing::default(), heard: BytesMut::new(), ready: 0 }
    }

    /// Takes in what has come; 0 bytes at the end of the connection.
    fn hear(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.heard.reserve(HEAR);
        let (connection, heard) = (Rc::clone(&self.connection), &mut self.heard);
        let mut stream = connection.stream.borrow_mut();
        match stream.as_mut() {
            Some(stream) => poll_read_buf(Pin::new(stream), cx, heard),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        }
    }

    /// Waits for more of the answer, and finds its end.
    fn listen(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.ready == 0 {
            if std::task::ready!(self.hear(cx))? == 0 {
                // The library takes an answer in chunks that is cut short for a whole one.
                let to_the_end = self.framing.ends_with_connection();
                self.note(|attempt| {
                    attempt.cut.set(true);
                    attempt.to_the_end.set(to_the_end);
                });
                let end =
                    if self.framing.is_open_ended() { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof) };
                return Poll::Ready(end.map_err(io::Error::from));
            }
            self.note(|attempt| {
                attempt.last_received_at.set(Some(Instant::now()));
                attempt.advance_to(AttemptProgress::AnswerStarted);
            });
            self.ready = self.framing.count(&mut self.heard, self.connection.most_body)?;
        }
        // Whatever is behind a whole answer belongs to no other; nor does what is behind one whose end the
        // library finds.
        let more = self.framing.is_whole()
            && (self.heard.len() > self.ready || matches!(self.hear(cx), Poll::Ready(Ok(_) | Err(_))));
        self.connection.reusable.set(self.framing.is_whole() && !more && !self.framing.closes());
        Poll::Ready(Ok(()))
    }

    /// Whether the transmission of the running task may still write.
    fn may_go_on(&self) -> io::Result<()> {
        CURRENT_ATTEMPT.try_with(|attempt| attempt.may_go_on()).unwrap_or(Ok(()))
    }

    /// The transmission of the running task, once it has this connection.
    fn note(&self, act: impl FnOnce(&AttemptState)) {
        let _ = CURRENT_ATTEMPT.try_with(|attempt| {
            if attempt
                .connection
                .borrow()
                .as_ref()
                .is_some_and(|connection| Rc::ptr_eq(connection, &self.connection))
            {
                act(attempt);
            }
        });
    }
}

/// Whoever else still knows of the connection, it is closed: a transmission that is given up must end there.
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
            if self.framing.is_whole() {
                // The library's pool asks whether it is still good; once put back it is not there any more.
                return self.connection.with(|stream| stream.poll_read(cx, buf));
            }
            std::task::ready!(self.listen(cx))?;
        }
        let n = self.ready.min(buf.remaining());
        buf.put_slice(&self.heard.split_to(n));
        self.ready -= n;
        if self.ready == 0 && self.framing.is_whole() {
            // An idle connection keeps no memory for it.
            self.heard = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for OutboundStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let barred = CURRENT_ATTEMPT.try_with(|attempt| {
            if attempt.progress() < AttemptProgress::Connected && !attempt.may_start() {
                return true;
            }
            if attempt.progress() < AttemptProgress::Connected {
                attempt.begun_at.set(Some(Instant::now()));
            }
            attempt.connection.replace(Some(Rc::clone(&self.connection)));
            attempt.advance_to(AttemptProgress::Connected);
            false
        });
        if barred.unwrap_or(false) {
            return Poll::Ready(Err(io::Error::other("called off before its first byte")));
        }
        self.may_go_on()?;
        if let Poll::Ready(result) = self.connection.write_left(cx) {
            result?;
            let written = self.connection.with(|stream| stream.poll_write(cx, buf));
            let n = if let Poll::Ready(n) = written { n? } else { 0 };
            self.connection.left.borrow_mut().extend_from_slice(&buf[n..]);
        } else {
            self.connection.left.borrow_mut().extend_from_slice(buf);
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Where all has left there is nothing to bar: guards against an attempt that is whole and passes for one that is not.
        if !self.connection.left.borrow().is_empty() {
            self.may_go_on()?;
        }
        std::task::ready!(self.connection.write_left(cx))?;
        self.note(|attempt| {
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
