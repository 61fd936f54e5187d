//! Answers of upstreams, and answers to callers.

use super::load::{self, LoadFields};
use super::names;
use super::request::InvalidRequest;
use crate::memory::answer::HeldAnswer;
use crate::memory::window::Window;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Response, ResponseHead, StatusCode};
use bytes::Bytes;
use fernroute::{Outcome, Time};
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A longer answer is taken for an endless one.
pub const MAX_ANSWER_BYTES: usize = 32 << 20;

/// An answer of an upstream.
#[derive(Debug)]
pub struct Answer {
    pub outcome: Outcome,
    /// The load report, in the order of the settings; empty if there is none.
    pub loads: Vec<f64>,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The rest of a streamed body after `body`; None if `body` is complete.
    pub stream: Option<Box<StreamedBody>>,
    /// The memory for `body`, if it needs any.
    pub memory: Option<HeldAnswer>,
}

/// The answer broke off. The caller must be able to detect that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("upstream answer truncated")
    }
}

impl std::error::Error for Truncated {}

type OnEnd = Box<dyn FnOnce(bool)>;

/// The library copies what it gets into its write buffer, which keeps its size, so it gets a body in parts of this size.
const PART_BYTES: usize = 4 * 1024;

/// Received bytes of an answer that wait to be written, with the memory for them.
#[derive(Debug, Default)]
struct PendingBytes {
    bytes: Bytes,
    memory: Option<HeldAnswer>,
}

impl PendingBytes {
    /// The next part. The memory is returned with the last one.
    fn next(&mut self) -> Option<Bytes> {
        if self.bytes.is_empty() {
            return None;
        }
        let part = self.bytes.split_to(PART_BYTES.min(self.bytes.len()));
        if self.bytes.is_empty() {
            self.bytes = Bytes::new();
            self.memory = None;
        }
        Some(part)
    }
}

/// A body that has been received whole.
#[derive(Debug)]
struct WholeBody(PendingBytes);

impl MessageBody for WholeBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.0.bytes.len() as u64)
    }

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        Poll::Ready(self.0.next().map(Ok))
    }
}

/// The body of an answer that is forwarded while it is received.
pub struct StreamedBody {
    pub chunks: mpsc::Receiver<Result<Bytes, Truncated>>,
    /// The declared length, if any.
    pub length: Option<u64>,
    buffered: PendingBytes,
    /// The memory for the chunks.
    _window: Rc<Window>,
    on_end: Vec<OnEnd>,
}

impl fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedBody").field("length", &self.length).finish_non_exhaustive()
    }
}

impl StreamedBody {
    /// `window` is the memory for the chunks.
    pub fn new(
        chunks: mpsc::Receiver<Result<Bytes, Truncated>>,
        length: Option<u64>,
        window: Rc<Window>,
    ) -> Self {
        StreamedBody {
            chunks,
            length,
            buffered: PendingBytes::default(),
            _window: window,
            on_end: Vec::new(),
        }
    }

    fn end(&mut self, complete: bool) {
        self.on_end.drain(..).for_each(|on_end| on_end(complete));
    }
}

impl MessageBody for StreamedBody {
    type Error = Truncated;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        if let Some(part) = self.buffered.next() {
            return Poll::Ready(Some(Ok(part)));
        }
        let next = std::task::ready!(self.chunks.poll_recv(cx));
        match next {
            Some(Ok(chunk)) => {
                self.buffered = PendingBytes { bytes: chunk, memory: None };
                return Poll::Ready(self.buffered.next().map(Ok));
            }
            None => self.end(true),
            Some(Err(Truncated)) => self.end(false),
        }
        Poll::Ready(next)
    }
}

impl Answer {
    /// An answer whose body has already been streamed to the caller.
    pub fn streamed(loads: Vec<f64>) -> Self {
        Answer {
            outcome: Outcome::Completed,
            loads,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            stream: None,
            memory: None,
        }
    }

    pub fn decode(head: ResponseHead, body: Bytes, fields: &LoadFields) -> Self {
        let declined = head.headers.get(names::DECLINED).is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Completed,
            // Without the header the answer may be from behind the upstream, and the RPC may have run.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        let report = head.headers.get(names::LOAD).and_then(|v| v.to_str().ok());
        let loads = report.map(|text| load::decode(text, fields)).unwrap_or_default();
        let mut headers = head.headers;
        names::keep_end_to_end(&mut headers, &[names::LOAD, names::DECLINED]);
        Answer { outcome, loads, headers, body, stream: None, memory: None }
    }
}

/// The final answer of an RPC.
#[derive(Debug)]
pub enum FinalAnswer {
    Completed(Answer),
    /// Safe to retry, after this time.
    Exhausted(Time),
    Errored,
}

fn plain(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    Response::build(status).content_type("text/plain").body(text).map_into_boxed_body()
}

impl FinalAnswer {
    /// The name used in the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Completed(_) => "completed",
            FinalAnswer::Exhausted(_) => "exhausted",
            FinalAnswer::Errored => "errored",
        }
    }

    /// Registers a callback for the end of a streamed answer, called with whether the answer was forwarded completely.
    /// Returns it if the answer is not streamed. It is dropped without a call if the caller disconnects.
    pub fn on_end<F: FnOnce(bool) + 'static>(&mut self, on_end: F) -> Option<F> {
        match self {
            FinalAnswer::Completed(Answer { stream: Some(stream), .. }) => {
                stream.on_end.push(Box::new(on_end));
                None
            }
            _ => Some(on_end),
        }
    }

    pub fn encode(self) -> Response<BoxBody> {
        match self {
            FinalAnswer::Completed(answer) => {
                let pending = PendingBytes { bytes: answer.body, memory: answer.memory };
                let body = match answer.stream {
                    Some(stream) => BoxBody::new(StreamedBody { buffered: pending, ..*stream }),
                    None => BoxBody::new(WholeBody(pending)),
                };
                let mut response = Response::with_body(StatusCode::OK, body);
                *response.headers_mut() = answer.headers;
                response
            }
            FinalAnswer::Exhausted(retry_after) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "exhausted\n");
                if retry_after > 0 {
                    if let Ok(value) = HeaderValue::from_str(&fernroute_settings::format_seconds(retry_after))
                    {
                        response.headers_mut().insert(RETRY_AFTER, value);
                    }
                }
                response
            }
            FinalAnswer::Errored => plain(StatusCode::BAD_GATEWAY, "errored\n"),
        }
    }
}

/// The answer to a message that is not a valid RPC; the last one on its connection.
pub fn invalid_request(error: &InvalidRequest) -> Response<BoxBody> {
    let mut response = plain(error.0, error.1);
    response.head_mut().set_connection_type(ConnectionType::Close);
    if error.0 == StatusCode::METHOD_NOT_ALLOWED {
        response.headers_mut().insert(actix_http::header::ALLOW, HeaderValue::from_static("GET, POST"));
    }
    response
}

pub fn readiness(ready: bool) -> Response<BoxBody> {
    if ready {
        plain(StatusCode::OK, "ready\n")
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// The answer after an internal failure. It does not say whether the RPC ran.
pub fn internal_error() -> Response<BoxBody> {
    plain(StatusCode::INTERNAL_SERVER_ERROR, "errored\n")
}
