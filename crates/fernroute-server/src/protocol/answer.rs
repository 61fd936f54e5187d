//! What upstreams answer, and what callers are answered.

use super::load::{self, Gauges};
use super::names;
use super::request::Unfit;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Response, ResponseHead, StatusCode};
use bytes::Bytes;
use fernroute::{Outcome, Time};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The most bytes that the body of an answer holds. Longer ones have no end.
pub const MOST_ANSWER: usize = 32 << 20;

/// A whole answer of an upstream.
#[derive(Debug)]
pub struct Answer {
    pub outcome: Outcome,
    /// The load report, in the order of the terms; empty where there is none.
    pub loads: Vec<f64>,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What follows `body` as it comes; none where that is all.
    pub flow: Option<Flow>,
}

/// An answer that broke off: its caller has to see that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Cut {}

type AtEnd = Box<dyn FnOnce(bool)>;

/// The body of an answer that is handed on while it comes.
pub struct Flow {
    pub coming: mpsc::Receiver<Result<Bytes, Cut>>,
    /// What it says to be in all, if it does.
    pub length: Option<u64>,
    first: Bytes,
    at_end: Vec<AtEnd>,
}

impl fmt::Debug for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Flow").field("length", &self.length).finish_non_exhaustive()
    }
}

impl Flow {
    pub fn new(coming: mpsc::Receiver<Result<Bytes, Cut>>, length: Option<u64>) -> Self {
        Flow { coming, length, first: Bytes::new(), at_end: Vec::new() }
    }

    fn end(&mut self, whole: bool) {
        self.at_end.drain(..).for_each(|at_end| at_end(whole));
    }
}

impl MessageBody for Flow {
    type Error = Cut;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        let next = std::task::ready!(self.coming.poll_recv(cx));
        match next {
            Some(Ok(_)) => {}
            None => self.end(true),
            Some(Err(Cut)) => self.end(false),
        }
        Poll::Ready(next)
    }
}

impl Answer {
    /// One that has gone to its caller already.
    pub fn handed_on(loads: Vec<f64>) -> Self {
        Answer {
            outcome: Outcome::Completed,
            loads,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            flow: None,
        }
    }

    pub fn decode(head: ResponseHead, body: Bytes, gauges: &Gauges) -> Self {
        let declined = head.headers.get(names::DECLINED).is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Completed,
            // Without the mark it may be the word of something behind the upstream, which may have run it.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Rejected,
            _ => Outcome::Failed,
        };
        let report = head.headers.get(names::LOAD).and_then(|v| v.to_str().ok());
        let loads = report.map(|text| load::decode(text, gauges)).unwrap_or_default();
        let mut headers = head.headers;
        names::keep_end_to_end(&mut headers, &[names::LOAD, names::DECLINED]);
        Answer { outcome, loads, headers, body, flow: None }
    }
}

/// The final answer of an RPC.
#[derive(Debug)]
pub enum Final {
    Completed(Answer),
    /// Asking again does no harm, after this time.
    Exhausted(Time),
    Errored,
}

fn plain(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    Response::build(status).content_type("text/plain").body(text).map_into_boxed_body()
}

impl Final {
    /// For the log.
    pub fn word(&self) -> &'static str {
        match self {
            Final::Completed(_) => "completed",
            Final::Exhausted(_) => "exhausted",
            Final::Errored => "errored",
        }
    }

    /// Has this called with whether the answer was handed on whole, where that is not known yet; gives it back where
    /// all of it is there. Dropped uncalled, the caller has gone.
    pub fn at_end<F: FnOnce(bool) + 'static>(&mut self, at_end: F) -> Option<F> {
        match self {
            Final::Completed(Answer { flow: Some(flow), .. }) => {
                flow.at_end.push(Box::new(at_end));
                None
            }
            _ => Some(at_end),
        }
    }

    pub fn encode(self) -> Response<BoxBody> {
        match self {
            Final::Completed(answer) => {
                let body = match answer.flow {
                    Some(flow) => BoxBody::new(Flow { first: answer.body, ..flow }),
                    None => BoxBody::new(answer.body),
                };
                let mut response = Response::with_body(StatusCode::OK, body);
                *response.headers_mut() = answer.headers;
                response
            }
            Final::Exhausted(stay_away) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "exhausted\n");
                if stay_away > 0 {
                    if let Ok(value) = HeaderValue::from_str(&fernroute_settings::format_seconds(stay_away)) {
                        response.headers_mut().insert(RETRY_AFTER, value);
                    }
                }
                response
            }
            Final::Errored => plain(StatusCode::BAD_GATEWAY, "errored\n"),
        }
    }
}

/// The answer to a message that is no RPC; the last one on its connection.
pub fn unfit(unfit: &Unfit) -> Response<BoxBody> {
    let mut response = plain(unfit.0, unfit.1);
    response.head_mut().set_connection_type(ConnectionType::Close);
    if unfit.0 == StatusCode::METHOD_NOT_ALLOWED {
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

/// For what went wrong in here: it promises nothing.
pub fn broken() -> Response<BoxBody> {
    plain(StatusCode::INTERNAL_SERVER_ERROR, "errored\n")
}
