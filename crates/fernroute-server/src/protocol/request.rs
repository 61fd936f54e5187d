//! An RPC as a caller sends it.

use super::names;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
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

#[derive(Debug)]
pub struct Request {
    pub id: Rc<str>,
    /// What the RPC asks for, by the name in the terms.
    pub method: String,
    pub tenant: String,
    pub time_left: Time,
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
    /// Reads the head of a message; `methods` are the names that the terms know.
    pub fn decode(head: &RequestHead, methods: &[String]) -> Result<Self, Unfit> {
        let bad = |why| Unfit(StatusCode::BAD_REQUEST, why);
        let first = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or("");
        if !methods.iter().any(|m| m == first) {
            return Err(Unfit(StatusCode::NOT_FOUND, "no such path"));
        }
        if head.method != Method::GET && head.method != Method::POST {
            return Err(Unfit(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
        }
        let one = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        let id = one(names::ID).filter(|id| !id.is_empty() && id.len() <= MOST_ID);
        let id = id.filter(|id| id.bytes().all(|b| b.is_ascii_graphic())).ok_or(bad("bad or missing id"))?;
        let method = one(names::METHOD).filter(|m| *m == first).ok_or(bad("bad or missing method"))?;
        let ms = one(names::DEADLINE).and_then(|text| text.parse::<u64>().ok()).filter(|ms| *ms <= MOST_MS);
        let ms = ms.ok_or(bad("bad or missing deadline"))?;
        let mut headers = head.headers.clone();
        names::keep_end_to_end(&mut headers, &[names::DEADLINE]);
        Ok(Request {
            id: Rc::from(id),
            method: method.to_owned(),
            tenant: one(names::TENANT).unwrap_or("").to_owned(),
            time_left: ms * 10,
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
