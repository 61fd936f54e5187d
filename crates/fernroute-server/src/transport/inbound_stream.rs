//! The stream that the HTTP library reads a caller's messages from and writes its answers to.

use super::inbound::CallerConnection;
use super::input_gate::Permission;
use actix_rt::net::{ActixStream, Ready};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The HTTP library reads until nothing is left. After this many bytes it yields, so that other connections get their turn
/// and what was read is handled.
const MAX_READ_PER_TURN: usize = 16 * 1024;

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
        let is_head = connection.is_between_requests();
        let read = connection.poll_read(cx, buf, allowed);
        connection.input_gate.record_read(buf.filled().len() - before);
        if is_head {
            connection.keep_one_head(buf, before);
        }
        match &read {
            Poll::Ready(_) => {
                connection.read_in_turn.set(connection.read_in_turn.get() + buf.filled().len() - before)
            }
            Poll::Pending => connection.read_in_turn.set(0),
        }
        let was_drained = connection.input_drained.replace(read.is_pending());
        match &read {
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                if was_drained {
                    // The window was open: the caller has just sent them.
                    connection.last_seen_at.set(Some(Instant::now()));
                }
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
