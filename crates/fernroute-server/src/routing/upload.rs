//! The body of a streamed request: the buffered beginning first, then the rest as the upstream reads it.

use super::dispatcher::Dispatcher;
use crate::protocol::request::{Request, Upload, MAX_BODY_BYTES};
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

/// How long a caller may pause within a body. Even a very slow connection delivers some data each second.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long an upstream may stop reading a body, because it is full or stalled, if its caller waits as long.
const UPSTREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The caller is answered this much before it stops waiting.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

pub struct UploadBody {
    dispatcher: Rc<Dispatcher>,
    rpc: Rc<str>,
    attempt: Rc<AttemptState>,
    /// What is left of the body's beginning.
    start: Bytes,
    upload: Rc<Upload>,
    bytes_passed: u64,
    /// Expires when no data has moved for the stall timeout.
    stall_timer: Pin<Box<Sleep>>,
    /// Data has moved since the timer was started.
    has_progressed: bool,
    /// Whether the caller, not the upstream, is being waited for.
    waits_for_caller: bool,
}

impl UploadBody {
    pub fn new(
        dispatcher: &Rc<Dispatcher>,
        request: &Request,
        upload: &Rc<Upload>,
        attempt: &Rc<AttemptState>,
    ) -> Self {
        UploadBody {
            dispatcher: Rc::clone(dispatcher),
            rpc: Rc::clone(&request.id),
            attempt: Rc::clone(attempt),
            start: upload.start(),
            upload: Rc::clone(upload),
            bytes_passed: 0,
            stall_timer: Box::pin(sleep(UPSTREAM_STALL_TIMEOUT)),
            has_progressed: true,
            waits_for_caller: false,
        }
    }

    /// Waits for the caller to send or for the upstream to read. Returns an error once the stall timeout has expired.
    fn wait(&mut self, cx: &mut Context<'_>, for_caller: bool) -> Poll<Option<Result<Bytes, io::Error>>> {
        let has_changed = std::mem::replace(&mut self.waits_for_caller, for_caller) != for_caller;
        if has_changed || std::mem::take(&mut self.has_progressed) {
            self.restart_stall_timer(for_caller);
        }
        std::task::ready!(self.stall_timer.as_mut().poll(cx));
        self.upload.failed.set(for_caller);
        let reason =
            if for_caller { "caller stopped sending the body" } else { "upstream stopped reading the body" };
        Poll::Ready(Some(Err(io::Error::new(io::ErrorKind::TimedOut, reason))))
    }

    /// While the upstream does not read, nothing is read from the caller, who may have sent its last byte: the wait ends with
    /// the caller's time.
    fn restart_stall_timer(&mut self, for_caller: bool) {
        let now = Instant::now();
        let expires = if for_caller {
            now + CALLER_STALL_TIMEOUT
        } else {
            self.upload.found_stalled(self.bytes_passed);
            let deadline = Instant::from_std(self.upload.deadline());
            (now + UPSTREAM_STALL_TIMEOUT).min(deadline.checked_sub(ANSWER_MARGIN).unwrap_or(now))
        };
        self.stall_timer.as_mut().reset(expires);
    }

    fn pass(&mut self, bytes: Bytes) -> Poll<Option<Result<Bytes, io::Error>>> {
        self.has_progressed = true;
        self.bytes_passed += bytes.len() as u64;
        if self.bytes_passed > MAX_BODY_BYTES {
            self.upload.failed.set(true);
            self.upload.too_large.set(true);
            return Poll::Ready(Some(Err(io::Error::other("request body too large"))));
        }
        if self.upload.length == Some(self.bytes_passed) {
            self.finish();
        }
        Poll::Ready(Some(Ok(bytes)))
    }

    /// The last byte has been received; once it is written the upstream may run the RPC.
    fn finish(&mut self) {
        self.attempt.body_incomplete.set(false);
        self.dispatcher.request_complete(&self.rpc);
    }
}

impl MessageBody for UploadBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.upload.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        let chunk_size = self.upload.window.chunk_size();
        match self.attempt.poll_write_capacity(cx, chunk_size) {
            Poll::Pending => return self.wait(cx, false),
            Poll::Ready(Err(error)) => return Poll::Ready(Some(Err(error))),
            Poll::Ready(Ok(())) => {}
        }
        if !self.start.is_empty() {
            let length = chunk_size.min(self.start.len());
            let chunk = self.start.split_to(length);
            return self.pass(chunk);
        }
        if self.upload.length == Some(self.bytes_passed) {
            return Poll::Ready(None);
        }
        let next = Pin::new(&mut *self.upload.payload.borrow_mut()).poll_next(cx);
        match next {
            Poll::Pending => {
                self.upload.found_incomplete();
                let passed = self.bytes_passed;
                let rest = self.upload.length.map_or(u64::MAX, |length| length.saturating_sub(passed));
                // What follows the body is another head.
                self.upload.input.allow(chunk_size.min(rest as usize));
                self.wait(cx, true)
            }
            Poll::Ready(Some(Ok(chunk))) => {
                self.upload.consume();
                self.pass(chunk)
            }
            Poll::Ready(None) if self.upload.length.is_none() => {
                self.finish();
                Poll::Ready(None)
            }
            Poll::Ready(_) => {
                self.upload.failed.set(true);
                Poll::Ready(Some(Err(io::Error::other("caller broke off the request body"))))
            }
        }
    }
}
