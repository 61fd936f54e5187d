//! An RPC as received from a caller.

use super::names;
use crate::memory::rpc::RpcMemory;
use crate::memory::window::Window;
use crate::transport::inbound::CallerConnection;
use crate::transport::input_gate::InputGate;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, Payload, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use fernroute::Time;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// A body of up to this size is buffered whole, so that it can be sent again. Larger ones are streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// Longer ids are rejected, so that an id's header line stays of a reasonable length.
const MAX_ID_BYTES: usize = 128;
/// Longer deadlines are rejected: no valid RPC takes more than a day.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// A method from the settings, and the form of its RPCs.
#[derive(Debug)]
pub struct MethodSpec {
    pub name: String,
    verb: Method,
    /// Whether its RPCs carry an idempotency key.
    keyed: bool,
}

impl MethodSpec {
    /// `effect` is the setting for the effect of repeated RPCs.
    pub fn new(name: String, effect: &str) -> Self {
        let verb = if effect == "retriable" { Method::GET } else { Method::POST };
        MethodSpec { name, verb, keyed: effect == "deduped" }
    }
}

#[derive(Debug)]
pub struct Request {
    pub id: Rc<str>,
    /// The method's name in the settings.
    pub method: String,
    pub tenant: String,
    /// The cache key; empty if there is none.
    pub key: String,
    pub time_left: Time,
    /// It must not run more than once.
    pub run_once: bool,
    verb: Method,
    uri: Uri,
    /// End-to-end headers without the deadline, which each attempt sets itself. A map would take several times as much memory.
    headers: Vec<(HeaderName, HeaderValue)>,
    pub body: Bytes,
    /// A streamed body; None if `body` is complete.
    pub upload: Option<Rc<Upload>>,
    /// The memory of the RPC; None if it did not come from a caller.
    pub memory: Option<Rc<RpcMemory>>,
}

/// How long a caller waits.
#[derive(Clone, Copy, Debug)]
pub struct CallerTime {
    /// When the head of its request was received.
    pub received_at: Instant,
    /// How long it waits for the answer from its last byte on.
    pub left: Duration,
}

/// A streamed body.
pub struct Upload {
    /// Its beginning, kept until more of it has been forwarded.
    start: RefCell<Bytes>,
    /// The memory that is reserved for the beginning.
    start_memory: Cell<usize>,
    /// The memory for the parts that are being forwarded.
    pub window: Rc<Window>,
    /// The part that has not been received yet.
    pub payload: RefCell<Payload>,
    /// Allows the library to read more of it.
    pub input: Rc<InputGate>,
    /// The connection that it comes on.
    caller: Weak<CallerConnection>,
    /// The last byte was sent after this moment. The caller's time counts from the last byte, which may have been sent long
    /// before it is read.
    last_byte_after: Cell<Instant>,
    /// How long the caller waits for the answer.
    time_left: Duration,
    /// The body's declared length, if any.
    pub length: Option<u64>,
    /// Some of it has been forwarded and is no longer in memory.
    consumed: Cell<bool>,
    /// When its last byte was received.
    pub completed_at: Cell<Option<Time>>,
    /// The caller broke it off, stopped sending, or sent too much.
    pub failed: Cell<bool>,
    pub too_large: Cell<bool>,
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload").field("length", &self.length).finish_non_exhaustive()
    }
}

impl Upload {
    /// `caller` is the connection that the body comes on, and `received_at` when its head was received.
    pub fn new(
        payload: Payload,
        length: Option<u64>,
        caller: &Rc<CallerConnection>,
        window: Rc<Window>,
        time: CallerTime,
    ) -> Self {
        Upload {
            caller: Rc::downgrade(caller),
            last_byte_after: Cell::new(time.received_at),
            time_left: time.left,
            input: Rc::clone(caller.input_gate()),
            start: RefCell::default(),
            start_memory: Cell::new(0),
            window,
            payload: RefCell::new(payload),
            length,
            consumed: Cell::new(false),
            completed_at: Cell::new(None),
            failed: Cell::new(false),
            too_large: Cell::new(false),
        }
    }

    /// Sets the beginning of the body, for which `memory` bytes are reserved.
    pub fn with_start(mut self, start: Bytes, memory: usize) -> Self {
        self.start = RefCell::new(start);
        self.start_memory = Cell::new(memory);
        self
    }

    /// The beginning of the body.
    pub fn start(&self) -> Bytes {
        self.start.borrow().clone()
    }

    /// Some of the body after its beginning is forwarded: it can't be sent again, so the beginning is no longer kept.
    pub fn consume(&self) {
        if !self.consumed.replace(true) {
            self.start.take();
            self.window.release_kept(self.start_memory.take());
        }
    }

    /// More of the body was found to be missing when everything that had been received was passed on.
    pub fn found_incomplete(&self) {
        self.advance_last_byte(self.input.drained_at());
    }

    /// `bytes` have been passed on, and no more can be for the moment. If the rest is more than fits into the sockets on the way,
    /// the last byte has not been sent.
    pub fn found_stalled(&self, bytes: u64) {
        let Some(caller) = self.caller.upgrade() else { return };
        let is_rest_longer = |length: u64| length.saturating_sub(bytes) > caller.max_bytes_in_flight() as u64;
        if self.length.is_some_and(is_rest_longer) {
            self.advance_last_byte(Instant::now());
        }
    }

    fn advance_last_byte(&self, after: Instant) {
        self.last_byte_after.set(self.last_byte_after.get().max(after));
    }

    /// The earliest moment at which the last byte may have been sent.
    pub fn last_byte_after(&self) -> Instant {
        self.last_byte_after.get()
    }

    /// When the caller stops waiting for the answer, if it has sent its last byte as early as it may have.
    pub fn deadline(&self) -> Instant {
        self.last_byte_after.get() + self.time_left
    }

    /// Whether another attempt can send the body from its beginning.
    pub fn can_be_sent(&self) -> bool {
        !self.consumed.get() && !self.failed.get()
    }
}

/// Why a message is not a valid RPC: the response's status and body.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidRequest(pub StatusCode, pub &'static str);

/// A GET request has no body. It may use chunked encoding if it has no chunks.
pub const UNEXPECTED_BODY: InvalidRequest =
    InvalidRequest(StatusCode::BAD_REQUEST, "a body where there is none");

/// The cache key in the further attributes of a request, `name=value,name=value`.
fn key(extra: &str) -> &str {
    extra.split(',').find_map(|part| part.trim().strip_prefix("key=")).unwrap_or("")
}

impl Request {
    pub fn takes_body(&self) -> bool {
        self.verb != Method::GET
    }

    /// Decodes the head of a message. A repeated header, or a head that does not match the form of its method, is rejected:
    /// upstreams could interpret it differently.
    pub fn decode(head: &RequestHead, methods: &[MethodSpec]) -> Result<Self, InvalidRequest> {
        let bad = |reason| InvalidRequest(StatusCode::BAD_REQUEST, reason);
        let path = head.uri.path();
        let first = path.strip_prefix('/').and_then(|path| path.split('/').next()).unwrap_or("");
        let spec = methods.iter().find(|s| s.name == first);
        let spec = spec.ok_or(InvalidRequest(StatusCode::NOT_FOUND, "no such path"))?;
        if head.method != Method::GET && head.method != Method::POST {
            return Err(InvalidRequest(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
        }
        let single = |name: &str| {
            let mut all = head.headers.get_all(name);
            let value = all.next().and_then(|v| v.to_str().ok()).map(str::trim);
            value.filter(|value| !value.is_empty() && all.next().is_none())
        };
        let id = single(names::ID).filter(|id| id.len() <= MAX_ID_BYTES);
        let id = id.filter(|id| id.bytes().all(|b| b.is_ascii_graphic())).ok_or(bad("bad or missing id"))?;
        let method = single(names::METHOD).filter(|m| *m == first).ok_or(bad("bad or missing method"))?;
        let ms = single(names::DEADLINE).filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()));
        let ms = ms.and_then(|text| text.parse::<u64>().ok()).filter(|ms| *ms <= MAX_DEADLINE_MS);
        let ms = ms.ok_or(bad("bad or missing deadline"))?;
        if head.method != spec.verb {
            return Err(bad("not the method's verb"));
        }
        if head.headers.contains_key(names::KEY) != spec.keyed || spec.keyed && single(names::KEY).is_none() {
            return Err(bad("a key that the method has not, or the other way round"));
        }
        if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(bad("two readings of its length"));
        }
        let has_body = head.headers.get(CONTENT_LENGTH).is_some_and(|n| n.as_bytes() != b"0");
        if spec.verb == Method::GET && has_body {
            return Err(UNEXPECTED_BODY);
        }
        let mut headers = head.headers.clone();
        names::keep_end_to_end(&mut headers, &[names::DEADLINE]);
        Ok(Request {
            id: Rc::from(id),
            method: method.to_owned(),
            tenant: single(names::TENANT).unwrap_or("").to_owned(),
            key: key(single(names::EXTRA).unwrap_or("")).to_owned(),
            time_left: ms * 10,
            run_once: spec.verb == Method::POST && !spec.keyed,
            verb: head.method.clone(),
            uri: head.uri.clone(),
            headers: headers.into_iter().collect(),
            body: Bytes::new(),
            upload: None,
            memory: None,
        })
    }

    /// Whether its last byte has been received.
    pub fn is_complete(&self) -> bool {
        self.upload.as_ref().is_none_or(|upload| upload.completed_at.get().is_some())
    }

    /// The verb, URI and headers of an attempt at `address` with `time_left` as its deadline.
    pub fn encode(&self, address: SocketAddr, time_left: Time) -> (Method, String, HeaderMap) {
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut headers = HeaderMap::with_capacity(self.headers.len() + 1);
        for (name, value) in &self.headers {
            headers.append(name.clone(), value.clone());
        }
        headers.insert(HeaderName::from_static(names::DEADLINE), HeaderValue::from(time_left / 10));
        (self.verb.clone(), format!("http://{address}{path}"), headers)
    }
}
