//! What upstreams answer, and what callers are answered.

use super::load::{self, Gauges};
use super::names;
use super::request::Unfit;
use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Response, ResponseHead, StatusCode};
use bytes::Bytes;
use fernroute::{Outcome, Time};

/// The most bytes that the body of an answer holds. Some upstreams answer with more than the 64 KiB that are agreed;
/// a few score such answers at once still fit into the least memory that a balancer has.
pub const MOST_ANSWER: usize = 1 << 20;

/// A whole answer of an upstream.
#[derive(Debug)]
pub struct Answer {
    pub outcome: Outcome,
    /// The load report, in the order of the terms; empty where there is none.
    pub loads: Vec<f64>,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn decode(head: ResponseHead, body: Bytes, gauges: &Gauges) -> Self {
        let declined = head.headers.get(names::DECLINED).is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Completed,
            // Without the mark it may be the word of something behind the upstream, which may have run it.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Exhausted,
            _ => Outcome::Errored,
        };
        let report = head.headers.get(names::LOAD).and_then(|v| v.to_str().ok());
        let loads = report.map(|text| load::decode(text, gauges)).unwrap_or_default();
        let mut headers = head.headers;
        names::keep_end_to_end(&mut headers, &[names::LOAD, names::DECLINED]);
        Answer { outcome, loads, headers, body }
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

    pub fn encode(self) -> Response<BoxBody> {
        match self {
            Final::Completed(answer) => {
                let mut response = Response::with_body(StatusCode::OK, BoxBody::new(answer.body));
                *response.headers_mut() = answer.headers;
                response
            }
            Final::Exhausted(stay_away) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "exhausted\n");
                if stay_away > 0 {
                    if let Ok(value) = HeaderValue::from_str(&fernroute_terms::seconds(stay_away)) {
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
