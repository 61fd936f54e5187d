//! Operators' calls and their replies.

use super::names;
use actix_http::{Method, StatusCode, Uri};
use fernroute::Time;
use serde::Serialize;
use std::collections::BTreeMap;

/// A longer head is rejected.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_HEADERS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Ready,
    Metrics,
    Drain,
    Resume,
}

impl Call {
    const ALL: [(&'static str, Method, Call); 4] = [
        (names::READY_PATH, Method::GET, Call::Ready),
        ("/-/metrics", Method::GET, Call::Metrics),
        ("/-/drain", Method::POST, Call::Drain),
        ("/-/resume", Method::POST, Call::Resume),
    ];

    /// Decodes the call at the start of `bytes`. None while its head is incomplete; an error status if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Result<Call, StatusCode>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => {}
            Ok(httparse::Status::Partial) if bytes.len() <= MAX_HEAD_BYTES => return None,
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                return Some(Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            Err(_) => return Some(Err(StatusCode::BAD_REQUEST)),
        }
        let target = head.path.and_then(|target| target.parse::<Uri>().ok());
        let (Some(verb), Some(target)) = (head.method, target) else {
            return Some(Err(StatusCode::BAD_REQUEST));
        };
        let entry = Call::ALL.iter().find(|(path, ..)| *path == target.path());
        Some(match entry {
            None => Err(StatusCode::NOT_FOUND),
            Some((_, method, call)) if *method == *verb => Ok(*call),
            Some(_) => Err(StatusCode::METHOD_NOT_ALLOWED),
        })
    }
}

/// The numbers of RPCs of one method by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ends {
    #[serde(rename = "succeeded")]
    pub completed: u64,
    #[serde(rename = "declined")]
    pub exhausted: u64,
    #[serde(rename = "aborted")]
    pub errored: u64,
}

/// The balancer's metrics; counts are since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Metrics {
    #[serde(rename = "results")]
    pub ends: BTreeMap<String, Ends>,
    /// Accepted RPCs.
    pub taken: u64,
    /// Accepted RPCs whose caller disconnected before the end.
    pub left: u64,
    /// RPCs that are accepted and not ended.
    pub outstanding: usize,
    /// Attempts whose last byte is written.
    #[serde(rename = "forwards")]
    pub attempts: u64,
    /// Upstreams on the list.
    #[serde(rename = "discovered")]
    pub listed: usize,
    /// Listed upstreams that currently get no RPCs.
    #[serde(rename = "ejected")]
    pub avoided: usize,
    /// The memory that messages hold.
    pub memory: MemoryStatus,
    /// Present if the balancer belongs to a fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetStatus>,
}

/// The memory that the heads and bodies of messages hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemoryStatus {
    pub limit_bytes: usize,
    pub held_bytes: usize,
    /// The most that was held at a time since the start.
    pub peak_bytes: usize,
    /// How many RPCs wait for memory.
    pub waiting: usize,
}

/// The exchange between a balancer and its fleet's coordinators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// Messages sent, whether answered or not.
    pub beats: u64,
    pub fetches: u64,
    /// Bytes of messages and replies, without their heads.
    pub sent_bytes: u64,
    pub received_bytes: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub configuration: Option<ConfigurationStatus>,
    /// The duties that this balancer holds.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub duties: BTreeMap<String, HeldDuty>,
}

/// A duty that this balancer holds, under a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HeldDuty {
    pub term: u64,
    /// When the lease expires.
    #[serde(skip)]
    pub until: Time,
}

/// The state of the fleet's configuration at a balancer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfigurationStatus {
    /// The version in force; 0 if only the balancer's own file is.
    pub in_force: u64,
    /// The latest version announced by a coordinator; 0 if none.
    pub told: u64,
    /// The version that was rejected, with the reason.
    pub refused: Option<(u64, String)>,
    /// Whether the configuration in force is stored on disk.
    pub kept: bool,
}

/// A reply to an operator, the last on its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: StatusCode,
    pub content_type: &'static str,
    pub body: String,
}

impl Reply {
    pub fn plain(status: StatusCode, text: &str) -> Self {
        Reply { status, content_type: "text/plain", body: format!("{text}\n") }
    }

    pub fn metrics(metrics: &Metrics) -> Self {
        serde_json::to_string(metrics).map_or_else(
            |error| Reply::plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
            |body| Reply { status: StatusCode::OK, content_type: "application/json", body },
        )
    }

    pub fn encode(&self) -> Vec<u8> {
        let reason = self.status.canonical_reason().unwrap_or("");
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
            self.status.as_u16(),
            self.content_type,
            self.body.len(),
            self.body
        )
        .into_bytes()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against calls mistaken for others, and against invalid heads that end the process or keep a connection
    /// waiting.
    #[test]
    fn calls_are_decoded_and_invalid_ones_get_the_matching_status() {
        let decode = |text: &str| Call::decode(text.as_bytes());
        let cases = [
            ("GET /-/ready HTTP/1.1\r\n\r\n", Ok(Call::Ready)),
            ("GET /-/metrics?all HTTP/1.0\r\nHost: a\r\n\r\n", Ok(Call::Metrics)),
            ("GET http://a:1/-/metrics HTTP/1.1\r\n\r\n", Ok(Call::Metrics)),
            ("POST /-/drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", Ok(Call::Drain)),
            ("POST /-/resume HTTP/1.1\r\n\r\n", Ok(Call::Resume)),
            ("GET /-/drain HTTP/1.1\r\n\r\n", Err(405)),
            ("POST /-/ready HTTP/1.1\r\n\r\n", Err(405)),
            ("BREW /-/metrics HTTP/1.1\r\n\r\n", Err(405)),
            ("GET /-/metrics/ HTTP/1.1\r\n\r\n", Err(404)),
            ("GET / HTTP/1.1\r\n\r\n", Err(404)),
            ("GET * HTTP/1.1\r\n\r\n", Err(404)),
            ("GET \u{1}\r\n\r\n", Err(400)),
            ("GET /-/ready HTTP/9.9\r\n\r\n", Err(400)),
            ("nonsense\r\n\r\n", Err(400)),
        ];
        for (text, what) in cases {
            assert_eq!(decode(text).map(|d| d.map_err(|status| status.as_u16())), Some(what), "{text}");
        }
        let whole = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        for end in 0..whole.len() {
            assert_eq!(decode(&whole[..end]), None, "{end}");
        }
        let long = format!("GET /-/ready HTTP/1.1\r\nA: {}", "a".repeat(MAX_HEAD_BYTES));
        let many = "GET /-/ready HTTP/1.1\r\n".to_owned() + &"A: a\r\n".repeat(MAX_HEADERS + 1) + "\r\n";
        for text in [long.clone(), long + "\r\n\r\n", many] {
            assert_eq!(decode(&text), Some(Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)));
        }
    }
}
