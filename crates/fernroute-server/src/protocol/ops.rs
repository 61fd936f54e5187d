//! Operators' calls, and what they are answered.

use super::names;
use actix_http::{Method, StatusCode, Uri};
use fernroute::Time;
use serde::Serialize;
use std::collections::BTreeMap;

/// Longer heads are no operator's of ours.
pub const MOST_HEAD: usize = 8 * 1024;
const MOST_HEADERS: usize = 64;

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

    /// The call that begins with these bytes, once its head is whole; else the status that says what is wrong.
    pub fn decode(bytes: &[u8]) -> Option<Result<Call, StatusCode>> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        match head.parse(bytes) {
            Ok(httparse::Status::Complete(length)) if length <= MOST_HEAD => {}
            Ok(httparse::Status::Partial) if bytes.len() <= MOST_HEAD => return None,
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                return Some(Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            Err(_) => return Some(Err(StatusCode::BAD_REQUEST)),
        }
        let target = head.path.and_then(|target| target.parse::<Uri>().ok());
        let (Some(verb), Some(target)) = (head.method, target) else {
            return Some(Err(StatusCode::BAD_REQUEST));
        };
        let known = Call::ALL.iter().find(|(path, ..)| *path == target.path());
        Some(match known {
            None => Err(StatusCode::NOT_FOUND),
            Some((_, right, call)) if *right == *verb => Ok(*call),
            Some(_) => Err(StatusCode::METHOD_NOT_ALLOWED),
        })
    }
}

/// How many RPCs of one method ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ends {
    #[serde(rename = "succeeded")]
    pub completed: u64,
    #[serde(rename = "declined")]
    pub exhausted: u64,
    #[serde(rename = "aborted")]
    pub errored: u64,
}

/// What the balancer tells of itself; counts are since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Figures {
    #[serde(rename = "results")]
    pub ends: BTreeMap<String, Ends>,
    /// RPCs that were taken, and those of them whose caller went before the end.
    pub taken: u64,
    pub left: u64,
    /// RPCs that are taken and not ended.
    pub outstanding: usize,
    /// Transmissions whose last byte is out.
    #[serde(rename = "forwards")]
    pub transmissions: u64,
    /// Upstreams that the list names, and those of them that get nothing now.
    #[serde(rename = "discovered")]
    pub listed: usize,
    #[serde(rename = "ejected")]
    pub avoided: usize,
    /// Where it is of a fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Control>,
}

/// What a balancer and its fleet's stewards told each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Control {
    /// Messages that left, answered or not.
    pub beats: u64,
    pub fetches: u64,
    /// Of the messages and the answers, without their heads.
    pub sent_bytes: u64,
    pub received_bytes: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Followed>,
    /// The duties that this balancer holds.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub duties: BTreeMap<String, HeldDuty>,
}

/// A duty that this balancer holds, under a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HeldDuty {
    pub term: u64,
    /// From then on it does not.
    #[serde(skip)]
    pub until: Time,
}

/// The fleet's configuration, as a balancer goes by it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Followed {
    /// Versions; 0 for its own file alone, and where it was told of none.
    pub in_force: u64,
    pub told: u64,
    /// The one that it can't go by, and why.
    pub refused: Option<(u64, String)>,
    /// Whether the disk has what is in force.
    pub kept: bool,
}

/// An answer to an operator, the last on its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: StatusCode,
    pub kind: &'static str,
    pub body: String,
}

impl Reply {
    pub fn plain(status: StatusCode, text: &str) -> Self {
        Reply { status, kind: "text/plain", body: format!("{text}\n") }
    }

    pub fn figures(figures: &Figures) -> Self {
        serde_json::to_string(figures).map_or_else(
            |why| Reply::plain(StatusCode::INTERNAL_SERVER_ERROR, &why.to_string()),
            |body| Reply { status: StatusCode::OK, kind: "application/json", body },
        )
    }

    pub fn encode(&self) -> Vec<u8> {
        let reason = self.status.canonical_reason().unwrap_or("");
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
            self.status.as_u16(),
            self.kind,
            self.body.len(),
            self.body
        )
        .into_bytes()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a call that is taken for another, and against heads that end the program or hold a place.
    #[test]
    fn calls_are_told_apart_and_what_is_none_is_told_why() {
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
        let long = format!("GET /-/ready HTTP/1.1\r\nA: {}", "a".repeat(MOST_HEAD));
        let many = "GET /-/ready HTTP/1.1\r\n".to_owned() + &"A: a\r\n".repeat(MOST_HEADERS + 1) + "\r\n";
        for text in [long.clone(), long + "\r\n\r\n", many] {
            assert_eq!(decode(&text), Some(Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)));
        }
    }
}
