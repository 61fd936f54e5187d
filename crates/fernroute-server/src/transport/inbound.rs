//! One connection of a caller: whether it is between RPCs, and its end when it may be closed.

use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// What the server knows of a connection.
#[derive(Debug)]
pub struct Visit {
    /// RPCs whose answer is not made yet.
    open: Cell<u32>,
    /// Bytes have come of an RPC that is not whole yet.
    partial: Cell<bool>,
    pub last: Cell<Instant>,
    ending: Cell<bool>,
    pub wake: Notify,
}

impl Visit {
    pub fn new() -> Rc<Self> {
        Rc::new(Visit {
            open: Cell::new(0),
            partial: Cell::new(false),
            last: Cell::new(Instant::now()),
            ending: Cell::new(false),
            wake: Notify::new(),
        })
    }

    pub fn is_idle(&self) -> bool {
        self.open.get() == 0 && !self.partial.get()
    }

    /// Closes the connection as soon as nothing is open on it and nothing more has come.
    pub fn end(&self) {
        self.ending.set(true);
        self.wake.notify_one();
    }

    /// A message has come whole; what is returned is held until its answer is made.
    pub fn taken(self: &Rc<Self>) -> Stay {
        self.partial.set(false);
        self.open.set(self.open.get() + 1);
        Stay(Rc::clone(self))
    }
}

/// Held while the answer to a message is made.
pub struct Stay(Rc<Visit>);

impl Drop for Stay {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.last.set(Instant::now());
    }
}

#[derive(Debug)]
pub struct Inbound {
    stream: TcpStream,
    pub visit: Rc<Visit>,
}

impl Inbound {
    pub fn new(stream: TcpStream, visit: Rc<Visit>) -> Self {
        Inbound { stream, visit }
    }
}

impl AsyncRead for Inbound {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let visit = &self.visit;
        match &read {
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                visit.partial.set(true);
                visit.last.set(Instant::now());
            }
            // Nothing is waiting in the socket, so nothing is lost by ending here.
            Poll::Pending if visit.ending.get() && visit.is_idle() => return Poll::Ready(Ok(())),
            _ => {}
        }
        read
    }
}

impl AsyncWrite for Inbound {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for Inbound {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
