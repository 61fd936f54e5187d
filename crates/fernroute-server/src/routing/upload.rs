//! A body that is sent on while it comes: what is there of it first, then the rest as the upstream takes it.

use super::switchboard::Switchboard;
use super::windows::Window;
use crate::protocol::request::{Request, Upload, MOST_BODY};
use crate::transport::outbound::AttemptState;
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use futures_util::Stream as _;
use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// A caller that sends nothing more for so long has stopped: the poorest line brings something each second.
const CALLER: Duration = Duration::from_millis(2500);

/// An upstream that takes nothing for so long will not: its slot is full, or it stands still. The caller is told then,
/// well before it gives up by itself.
const UPSTREAM: Duration = Duration::from_secs(5);

pub struct Sent {
    board: Rc<Switchboard>,
    rpc: Rc<str>,
    attempt: Rc<AttemptState>,
    first: Bytes,
    upload: Rc<Upload>,
    passed: u64,
    window: Window,
    /// Comes due where nothing moves; whom it waits for.
    stalled: Pin<Box<Sleep>>,
    for_caller: bool,
}

impl Sent {
    pub fn new(
        board: &Rc<Switchboard>,
        request: &Request,
        upload: &Rc<Upload>,
        attempt: &Rc<AttemptState>,
    ) -> Self {
        Sent {
            board: Rc::clone(board),
            rpc: Rc::clone(&request.id),
            attempt: Rc::clone(attempt),
            first: request.body.clone(),
            upload: Rc::clone(upload),
            passed: 0,
            window: board.windows.open(),
            stalled: Box::pin(sleep(UPSTREAM)),
            for_caller: false,
        }
    }

    /// Nothing moves until this one does something; an error once it has had its time.
    fn wait(&mut self, cx: &mut Context<'_>, for_caller: bool) -> Poll<Option<Result<Bytes, io::Error>>> {
        if std::mem::replace(&mut self.for_caller, for_caller) != for_caller {
            self.moved(for_caller);
        }
        std::task::ready!(self.stalled.as_mut().poll(cx));
        self.upload.broken.set(for_caller);
        let who = if for_caller { "the caller sends" } else { "the upstream takes" };
        Poll::Ready(Some(Err(io::Error::new(io::ErrorKind::TimedOut, format!("{who} nothing more")))))
    }

    fn moved(&mut self, for_caller: bool) {
        let time = if for_caller { CALLER } else { UPSTREAM };
        self.stalled.as_mut().reset(Instant::now() + time);
    }

    fn pass(&mut self, bytes: Bytes) -> Poll<Option<Result<Bytes, io::Error>>> {
        self.moved(self.for_caller);
        self.passed += bytes.len() as u64;
        if self.passed > MOST_BODY {
            self.upload.broken.set(true);
            self.upload.too_large.set(true);
            return Poll::Ready(Some(Err(io::Error::other("a body too large"))));
        }
        if self.upload.length == Some(self.passed) {
            self.finish();
        }
        Poll::Ready(Some(Ok(bytes)))
    }

    /// The last byte has come; once what is passed on is written it may run.
    fn finish(&mut self) {
        self.attempt.body_incomplete.set(false);
        self.board.whole(&self.rpc);
    }
}

impl MessageBody for Sent {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.upload.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        match self.attempt.poll_write_capacity(cx, self.window.piece()) {
            Poll::Pending => return self.wait(cx, false),
            Poll::Ready(Err(why)) => return Poll::Ready(Some(Err(why))),
            Poll::Ready(Ok(())) => {}
        }
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            return self.pass(first);
        }
        if self.upload.length == Some(self.passed) {
            return Poll::Ready(None);
        }
        let next = Pin::new(&mut *self.upload.coming.borrow_mut()).poll_next(cx);
        match next {
            Poll::Pending => self.wait(cx, true),
            Poll::Ready(Some(Ok(more))) => {
                self.upload.gone.set(true);
                self.pass(more)
            }
            Poll::Ready(None) if self.upload.length.is_none() => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(_) => {
                self.upload.broken.set(true);
                Poll::Ready(Some(Err(io::Error::other("the caller broke off"))))
            }
        }
    }
}
