//! An RPC as a caller sends it.

use super::names;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, Payload, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use fernroute::Time;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// A body of up to so many bytes is held whole, and may be sent again.
pub const MOST_HELD: usize = 64 * 1024;

/// The most bytes that a body holds.
pub const MOST_BODY: u64 = 32 << 20;

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
    /// The key that it bears; none is empty.
    pub key: String,
    pub time_left: Time,
    /// It must never run twice.
    pub once: bool,
    verb: Method,
    uri: Uri,
    /// End-to-end headers, the deadline left out: each transmission has one of its own.
    headers: HeaderMap,
    pub body: Bytes,
    /// What follows `body` as it comes; none where that is all.
    pub upload: Option<Rc<Upload>>,
}

/// The part of a body that still comes.
pub struct Upload {
    pub coming: RefCell<Payload>,
    /// What the body says to be in all, if it does.
    pub length: Option<u64>,
    /// Something of it has been sent on, and is not held any more.
    pub gone: Cell<bool>,
    /// Its last byte has come, at this moment.
    pub whole_at: Cell<Option<Time>>,
    /// Its caller broke it off, or stopped to send, or sends too much.
    pub broken: Cell<bool>,
    pub too_large: Cell<bool>,
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload").field("length", &self.length).finish_non_exhaustive()
    }
}

impl Upload {
    pub fn new(coming: Payload, length: Option<u64>) -> Rc<Self> {
        Rc::new(Upload {
            coming: RefCell::new(coming),
            length,
            gone: Cell::new(false),
            whole_at: Cell::new(None),
            broken: Cell::new(false),
            too_large: Cell::new(false),
        })
    }
}

/// Why a message is not an RPC, as the status that says so.
#[derive(Debug, PartialEq, Eq)]
pub struct Unfit(pub StatusCode, pub &'static str);

/// One that is safe to repeat has no body; it may come in chunks, of which there is none.
pub const BODIED: Unfit = Unfit(StatusCode::BAD_REQUEST, "a body where there is none");

/// The key among a request's further figures, `name=value,name=value`.
fn key(extra: &str) -> &str {
    extra.split(',').find_map(|part| part.trim().strip_prefix("key=")).unwrap_or("")
}

impl Request {
    pub fn takes_body(&self) -> bool {
        self.verb != Method::GET
    }

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
        if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(bad("two readings of its length"));
        }
        let bodied = head.headers.get(CONTENT_LENGTH).is_some_and(|n| n.as_bytes() != b"0");
        if shape.verb == Method::GET && bodied {
            return Err(BODIED);
        }
        let mut headers = head.headers.clone();
        names::keep_end_to_end(&mut headers, &[names::DEADLINE]);
        Ok(Request {
            id: Rc::from(id),
            method: method.to_owned(),
            tenant: one(names::TENANT).unwrap_or("").to_owned(),
            key: key(one(names::EXTRA).unwrap_or("")).to_owned(),
            time_left: ms * 10,
            once: shape.verb == Method::POST && !shape.keyed,
            verb: head.method.clone(),
            uri: head.uri.clone(),
            headers,
            body: Bytes::new(),
            upload: None,
        })
    }

    /// Whether its last byte has come.
    pub fn is_whole(&self) -> bool {
        self.upload.as_ref().is_none_or(|upload| upload.whole_at.get().is_some())
    }

    /// What goes to an upstream at this address that is given this long: the verb, the address, the headers.
    pub fn encode(&self, address: SocketAddr, time_left: Time) -> (Method, String, HeaderMap) {
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut headers = self.headers.clone();
        headers.insert(HeaderName::from_static(names::DEADLINE), HeaderValue::from(time_left / 10));
        (self.verb.clone(), format!("http://{address}{path}"), headers)
    }
}
