//! HTTP client for upstreams. It never retries, follows redirects or gives up on its own.

use super::outbound::{AttemptProgress, AttemptState, CURRENT_ATTEMPT, READ_BYTES};
use super::upstream_connections::{ConnectionTable, IdlePool};
use crate::memory::answer::HeldAnswer;
use crate::memory::SMALL_MESSAGE_BYTES;
use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, CONTENT_LENGTH};
use actix_http::{Method, ResponseHead, Uri};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, StreamExt as _};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use std::{fmt, io};
use tokio::time::timeout_at;

/// A request that got no complete answer, and how far the attempt had come.
#[derive(Debug)]
pub struct UpstreamError {
    pub progress: AttemptProgress,
    reason: String,
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?})", self.reason, self.progress)
    }
}

/// Settings and connection table shared by the clients of all upstreams.
pub struct Client {
    connections: Rc<ConnectionTable>,
    connect_timeout: Duration,
    reuse_delay: Duration,
    keep_alive: Duration,
    max_body: usize,
}

/// After an answer a connection is not reused for this long. Guards against data that arrives some milliseconds after the
/// answer, for example a duplicate of it: the next RPC on the connection would take it for its own answer.
const REUSE_DELAY: Duration = Duration::from_millis(6);

/// Client for one upstream, with connections of its own. Its idle connections are closed with it: an upstream that takes
/// over the address of another never gets a connection that was opened to the other.
pub struct UpstreamClient {
    pub address: SocketAddr,
    pooled: awc::Client,
    unpooled: awc::Client,
    max_body: usize,
}

/// A request to an upstream.
pub struct UpstreamRequest {
    pub method: Method,
    pub uri: String,
    pub headers: HeaderMap,
    pub body: Body,
    /// Sends on a connection opened for this request and closed after the answer. A pooled connection may be closed by the
    /// upstream while the request is being written, and then it is unknown whether the request has run.
    pub new_connection: bool,
}

impl Client {
    /// `keep_alive` is how long an upstream leaves an idle connection open; connections are reused for a shorter time. At
    /// most `max_connections` connections are open. Answer bodies are limited to `max_body` bytes.
    pub fn new(
        connect_timeout: Duration,
        keep_alive: Duration,
        max_connections: usize,
        max_body: usize,
    ) -> Self {
        // A request written while the upstream closes the connection ends in a reset, and may have run. The margin of a
        // fifth, and at least one second, is much longer than a request takes to arrive.
        let reuse_limit = (keep_alive * 4 / 5).min(keep_alive.saturating_sub(Duration::from_secs(1)));
        let connections = Rc::new(ConnectionTable::new(max_connections, max_body));
        Client { connections, connect_timeout, reuse_delay: REUSE_DELAY, keep_alive: reuse_limit, max_body }
    }

    /// Reuses connections at once. For a server that is polled continuously and whose answers identify themselves.
    pub fn without_reuse_delay(self) -> Self {
        Client { reuse_delay: Duration::ZERO, ..self }
    }

    pub fn upstream(&self, address: SocketAddr) -> UpstreamClient {
        let idle_pool = IdlePool::new(&self.connections, self.reuse_delay, self.keep_alive);
        let (pooled, unpooled) = (self.pool(address, Some(idle_pool)), self.pool(address, None));
        UpstreamClient { address, pooled, unpooled, max_body: self.max_body }
    }

    /// Connections are kept in `idle_pool`, or not at all; the pool of `awc` never gets a reusable one.
    fn pool(&self, address: SocketAddr, idle_pool: Option<Rc<IdlePool>>) -> awc::Client {
        let connections = Rc::clone(&self.connections);
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let (connections, idle_pool) = (Rc::clone(&connections), idle_pool.clone());
            async move {
                if !CURRENT_ATTEMPT.try_with(|attempt| attempt.may_start()).unwrap_or(true) {
                    // Fails before a connection is taken from the pool or opened.
                    return Err(ConnectError::Io(io::Error::other(
                        "attempt cancelled before it had a connection",
                    )));
                }
                let stream = match &idle_pool {
                    Some(idle_pool) => idle_pool.connect(address).await,
                    None => connections.connect(address, Weak::new()).await,
                };
                Ok(Connection::new(info.request().clone(), stream.map_err(ConnectError::Io)?))
            }
        });
        let connector = awc::Connector::new()
            .connector(connect)
            .timeout(self.connect_timeout)
            .limit(0)
            .conn_keep_alive(self.keep_alive)
            .conn_lifetime(Duration::from_secs(365 * 24 * 3600));
        awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish()
    }

    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    pub fn set_max_connections(&self, max: usize) {
        self.connections.set_max_connections(max);
    }

    pub fn sweep(&self) {
        self.connections.sweep(self.keep_alive);
    }
}

/// The body of a request: complete in memory, or streamed.
pub enum Body {
    Buffered(Bytes),
    Stream(BoxBody),
}

/// Answers up to this size are received completely before they are passed on. Longer ones are streamed after this many
/// bytes.
const MAX_BUFFERED_ANSWER: usize = 64 * 1024;

/// How long the first bytes of an answer whose stated length is above `MAX_BUFFERED_ANSWER` are held back. Its caller waits
/// for them, so the time is short; it is still enough to detect most broken answers.
const LONG_ANSWER_HOLD: Duration = Duration::from_millis(200);

/// The same for an answer that states no length, which is most likely short.
const UNKNOWN_LENGTH_HOLD: Duration = Duration::from_secs(1);

/// The head of an answer and the part of its body received so far.
pub struct UpstreamAnswer {
    pub head: ResponseHead,
    pub body_start: Bytes,
    /// `None` if `body_start` is the whole body.
    pub remaining: Option<AnswerStream>,
    /// The memory for `body_start`, if it needs any.
    pub memory: Option<HeldAnswer>,
}

/// The part of an answer's body that is still to be received.
pub struct AnswerStream {
    response: ClientResponse,
    /// Length of the whole body, if stated.
    pub content_length: Option<u64>,
    remaining_limit: usize,
    /// The end of the body, or the error, if it was found behind bytes that had to be returned first.
    end: Option<Result<(), String>>,
    attempt: Rc<AttemptState>,
}

impl UpstreamAnswer {
    /// Receives the rest of the body.
    pub async fn collect(self) -> Result<(ResponseHead, Bytes), String> {
        let Some(mut remaining) = self.remaining else { return Ok((self.head, self.body_start)) };
        let mut body = BytesMut::from(&self.body_start[..]);
        while let Some(more) = remaining.next(MAX_BUFFERED_ANSWER).await? {
            body.extend_from_slice(&more);
        }
        Ok((self.head, body.freeze()))
    }
}

impl AnswerStream {
    /// The next bytes: all that are available, up to `limit`; `None` at the end of a complete body. Small chunks that
    /// are available together are returned as one.
    pub async fn next(&mut self, limit: usize) -> Result<Option<Bytes>, String> {
        let attempt = Rc::clone(&self.attempt);
        let response = &mut self.response;
        let mut end = self.end.take();
        // Twice this much is at most what is taken below.
        attempt.set_read_limit(limit / 2);
        let receive = CURRENT_ATTEMPT.scope(Rc::clone(&attempt), async move {
            let mut chunk = BytesMut::with_capacity(limit);
            while end.is_none() && chunk.len() < limit / 2 {
                let more = if chunk.is_empty() {
                    Some(response.next().await)
                } else {
                    response.next().now_or_never()
                };
                match more {
                    Some(Some(Ok(more))) => chunk.extend_from_slice(&more),
                    Some(Some(Err(reason))) => end = Some(Err(reason.to_string())),
                    Some(None) => end = Some(attempt.check_complete().map_err(|e| e.to_string())),
                    None => break,
                }
            }
            (chunk, end)
        });
        let (chunk, end) = receive.await;
        if end.is_some() {
            // Released in the turn in which the end is found, even if the last bytes are still to be returned. From then on
            // the connection is in the pool of `awc`, which could send another RPC on it: that RPC would lose the
            // connection when it is put back here later, and leave its answer to the RPC after it.
            self.attempt.release_connection();
        }
        if chunk.is_empty() {
            return end.unwrap_or(Ok(())).map(|()| None);
        }
        self.end = end;
        self.remaining_limit =
            self.remaining_limit.checked_sub(chunk.len()).ok_or("answer body exceeds the limit")?;
        Ok(Some(chunk.freeze()))
    }
}

impl UpstreamClient {
    /// Returns the whole answer, or its beginning. Dropping the future, or the rest of the answer, closes the connection.
    pub async fn send(
        &self,
        request: UpstreamRequest,
        attempt: &Rc<AttemptState>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let result = CURRENT_ATTEMPT.scope(Rc::clone(attempt), self.receive(request, attempt)).await;
        if !result.as_ref().is_ok_and(|answer| answer.remaining.is_some()) {
            attempt.release_connection();
        }
        result.map_err(|reason| UpstreamError { progress: attempt.progress(), reason })
    }

    async fn receive(
        &self,
        request: UpstreamRequest,
        attempt: &Rc<AttemptState>,
    ) -> Result<UpstreamAnswer, String> {
        let builder = if request.new_connection {
            self.unpooled.request(request.method.clone(), request.uri).force_close()
        } else {
            self.pooled.request(request.method.clone(), request.uri)
        };
        let mut builder = builder.no_decompress();
        *builder.headers_mut() = request.headers;
        let sending = match request.body {
            // A GET with an empty body is sent without a length; any other body states its length, even if that is 0.
            Body::Buffered(body) if request.method == Method::GET && body.is_empty() => builder.send(),
            Body::Buffered(body) => builder.send_body(body),
            Body::Stream(body) => {
                attempt.body_incomplete.set(true);
                builder.send_body(body)
            }
        };
        let mut response = sending.await.map_err(|e| e.to_string())?;
        let mut head = ResponseHead::new(response.status());
        head.headers = response.headers().clone();
        let length =
            head.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
        let hold = if length.is_some_and(|n| n > MAX_BUFFERED_ANSWER as u64) {
            LONG_ANSWER_HOLD
        } else {
            UNKNOWN_LENGTH_HOLD
        };
        let is_short = length.is_some_and(|n| n <= MAX_BUFFERED_ANSWER as u64);
        let mut body_start = BytesMut::new();
        let mut memory = None;
        let mut is_held = false;
        let mut held_until: Option<Instant> = None;
        loop {
            let next = match held_until {
                Some(held_until) if !is_short => match timeout_at(held_until.into(), response.next()).await {
                    Ok(next) => next,
                    Err(_) => break,
                },
                _ => response.next().await,
            };
            match next {
                Some(chunk) => {
                    let chunk = chunk.map_err(|e| e.to_string())?;
                    body_start.extend_from_slice(&chunk);
                    if body_start.len() > SMALL_MESSAGE_BYTES && !is_held {
                        let kept =
                            length.map_or(MAX_BUFFERED_ANSWER, |n| MAX_BUFFERED_ANSWER.min(n as usize));
                        // Without memory the answer is passed on in small parts.
                        let Ok(held) = attempt.try_hold_answer(kept) else { break };
                        (memory, is_held) = (held, true);
                        body_start.reserve((kept + READ_BYTES).saturating_sub(body_start.len()));
                    }
                }
                None => {
                    attempt.check_complete().map_err(|e| e.to_string())?;
                    return Ok(UpstreamAnswer {
                        head,
                        body_start: body_start.freeze(),
                        remaining: None,
                        memory,
                    });
                }
            }
            held_until = held_until.or_else(|| Some(Instant::now() + hold));
            if body_start.len() > MAX_BUFFERED_ANSWER.min(self.max_body) {
                break;
            }
        }
        let remaining_limit =
            self.max_body.checked_sub(body_start.len()).ok_or("answer body exceeds the limit")?;
        let remaining = AnswerStream {
            response,
            content_length: length,
            remaining_limit,
            end: None,
            attempt: Rc::clone(attempt),
        };
        Ok(UpstreamAnswer { head, body_start: body_start.freeze(), remaining: Some(remaining), memory })
    }
}
