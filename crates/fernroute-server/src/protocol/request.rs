//! An RPC as a caller sends it.

use super::names;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use fernroute::Time;
use std::net::SocketAddr;
use std::rc::Rc;

/// The most bytes that a body holds.
pub const MOST_BODY: usize = 64 * 1024;

/// Longer ids and deadlines are no caller's of ours: a day, and what a header line may reasonably hold.
const MOST_ID: usize = 128;
const MOST_MS: u64 = 24 * 3600 * 1000;

/// A method as the terms name it, and how an RPC of it is sent.
#[derive(Debug)]
pub struct Shape {
    pub name: String,
    verb: Method,
    keyed: bool,
}

impl Shape {
    /// `effect` is the terms' word for what repeats do.
    pub fn new(name: String, effect: &str) -> Self {
        let verb = if effect == "retriable" { Method::GET } else { Method::POST };
        Shape { name, verb, keyed: effect == "deduped" }
    }
}

#[derive(Debug)]
pub struct Request {
    pub id: Rc<str>,
    /// What the RPC asks for, by the name in the terms.
    pub method: String,
    pub tenant: String,
    pub time_left: Time,
    /// It must never run twice.
    pub once: bool,
    verb: Method,
    uri: Uri,
    /// End-to-end headers, the deadline left out: each transmission has one of its own.
    headers: HeaderMap,
    pub body: Bytes,
}

/// Why a message is not an RPC, as the status that says so.
#[derive(Debug, PartialEq, Eq)]
pub struct Unfit(pub StatusCode, pub &'static str);

impl Request {
    /// Reads the head of a message. What says anything twice, or differs from the shape of its method, is no RPC:
    /// upstreams could read it in another way.
    pub fn decode(head: &RequestHead, shapes: &[Shape]) -> Result<Self, Unfit> {
        let bad = |why| Unfit(StatusCode::BAD_REQUEST, why);
        let path = head.uri.path();
        let first = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or("");
        let shape = shapes.iter().find(|s| s.name == first);
        let shape = shape.ok_or(Unfit(StatusCode::NOT_FOUND, "no such path"))?;
        if head.method != Method::GET && head.method != Method::POST {
            return Err(Unfit(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
        }
        let one = |name: &str| {
            let mut all = head.headers.get_all(name);
            let one = all.next().and_then(|v| v.to_str().ok()).map(str::trim);
            one.filter(|one| !one.is_empty() && all.next().is_none())
        };
        let id = one(names::ID).filter(|id| id.len() <= MOST_ID);
        let id = id.filter(|id| id.bytes().all(|b| b.is_ascii_graphic())).ok_or(bad("bad or missing id"))?;
        let method = one(names::METHOD).filter(|m| *m == first).ok_or(bad("bad or missing method"))?;
        let ms = one(names::DEADLINE).filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()));
        let ms = ms.and_then(|text| text.parse::<u64>().ok()).filter(|ms| *ms <= MOST_MS);
        let ms = ms.ok_or(bad("bad or missing deadline"))?;
        if head.method != shape.verb {
            return Err(bad("not the method's verb"));
        }
        if head.headers.contains_key(names::KEY) != shape.keyed || shape.keyed && one(names::KEY).is_none() {
            return Err(bad("a key that the method has not, or the other way round"));
        }
        let bodied = head.headers.get(CONTENT_LENGTH).is_some_and(|n| n.as_bytes() != b"0");
        if shape.verb == Method::GET && (bodied || head.headers.contains_key(TRANSFER_ENCODING)) {
            return Err(bad("a body where there is none"));
        }
        let mut headers = head.headers.clone();
        names::keep_end_to_end(&mut headers, &[names::DEADLINE]);
        Ok(Request {
            id: Rc::from(id),
            method: method.to_owned(),
            tenant: one(names::TENANT).unwrap_or("").to_owned(),
            time_left: ms * 10,
            once: shape.verb == Method::POST && !shape.keyed,
            verb: head.method.clone(),
            uri: head.uri.clone(),
            headers,
            body: Bytes::new(),
        })
    }

    /// What goes to an upstream at this address that is given this long: the verb, the address, the headers.
    pub fn encode(&self, address: SocketAddr, time_left: Time) -> (Method, String, HeaderMap) {
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut headers = self.headers.clone();
        headers.insert(HeaderName::from_static(names::DEADLINE), HeaderValue::from(time_left / 10));
        (self.verb.clone(), format!("http://{address}{path}"), headers)
    }
}
