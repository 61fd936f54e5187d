//! Calls on upstreams. Nothing here sends twice, follows a redirect or gives up by itself.

use super::outbound::{AttemptProgress, AttemptState, CURRENT_ATTEMPT};
use super::upstream_connections::{ConnectionTable, IdlePool};
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

/// A call that brought no whole answer, and how far it had come.
#[derive(Debug)]
pub struct UpstreamError {
    pub progress: AttemptProgress,
    why: String,
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?})", self.why, self.progress)
    }
}

/// What all calls share: the bounds on connections and answers.
pub struct Client {
    connections: Rc<ConnectionTable>,
    connect_time_out: Duration,
    rest: Duration,
    idle: Duration,
    most_body: usize,
}

/// A connection rests for this long after an answer. Guards against what comes some milliseconds late behind an answer, a
/// second one say: the RPC that was written by then would take it for its own.
const REST: Duration = Duration::from_millis(6);

/// The way to one upstream, with connections of its own. Those that stand idle are closed with it: an upstream that
/// comes to the address of another gets none that was made for the other.
pub struct UpstreamClient {
    pub address: SocketAddr,
    kept: awc::Client,
    fresh: awc::Client,
    most_body: usize,
}

/// One call's parts.
pub struct UpstreamRequest {
    pub method: Method,
    pub uri: String,
    pub headers: HeaderMap,
    pub body: Body,
    /// On a connection of its own, closed after the answer. A kept one may end as the call is written, and then
    /// nobody knows whether it has run.
    pub new_connection: bool,
}

impl Client {
    /// `keep` is how long the other side leaves an idle connection open; it is used for less. At `most` so many
    /// connections are open, and answers have bodies of `most_body`.
    pub fn new(connect_time_out: Duration, keep: Duration, most: usize, most_body: usize) -> Self {
        // A call written as the other side closes ends as a reset that may have run: a fifth and a second
        // are far more than a call takes to cross.
        let idle = (keep * 4 / 5).min(keep.saturating_sub(Duration::from_secs(1)));
        let connections = Rc::new(ConnectionTable::new(most, most_body));
        Client { connections, connect_time_out, rest: REST, idle, most_body }
    }

    /// For one that is asked again at once, and whose answers are read for what they say.
    pub fn without_reuse_delay(self) -> Self {
        Client { rest: Duration::ZERO, ..self }
    }

    pub fn upstream(&self, address: SocketAddr) -> UpstreamClient {
        let idle_pool = IdlePool::new(&self.connections, self.rest, self.idle);
        let (kept, fresh) = (self.pool(address, Some(idle_pool)), self.pool(address, None));
        UpstreamClient { address, kept, fresh, most_body: self.most_body }
    }

    /// Connections are kept in `idle_pool`, or nowhere; the library's own pool gets none that it could use again.
    fn pool(&self, address: SocketAddr, idle_pool: Option<Rc<IdlePool>>) -> awc::Client {
        let for_new = Rc::clone(&self.connections);
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let (connections, idle_pool) = (Rc::clone(&for_new), idle_pool.clone());
            async move {
                if !CURRENT_ATTEMPT.try_with(|attempt| attempt.may_start()).unwrap_or(true) {
                    // No connection is taken or made for it.
                    return Err(ConnectError::Io(io::Error::other("called off before it was connected")));
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
            .timeout(self.connect_time_out)
            .limit(0)
            .conn_keep_alive(self.idle)
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

    pub fn set_max_connections(&self, most: usize) {
        self.connections.set_max_connections(most);
    }

    pub fn sweep(&self) {
        self.connections.sweep(self.idle);
    }
}

/// What goes with a call: bytes that are there, or a body that still comes.
pub enum Body {
    Buffered(Bytes),
    Stream(BoxBody),
}

/// How much of an answer comes before it is handed on: all, if it is no more than this. A longer one is handed on as it
/// comes from here on.
const HELD: usize = 64 * 1024;

/// One that says to be longer need not be waited for so long: its first bytes are what its caller waits for. A moment
/// still tells most that are spoilt.
const HELD_FOR: Duration = Duration::from_millis(200);

/// One that does not say how long it is, is most likely short.
const UNSAID_FOR: Duration = Duration::from_secs(1);

/// An answer's head, and what there is of its body.
pub struct UpstreamAnswer {
    pub head: ResponseHead,
    pub body_start: Bytes,
    /// None where `first` is all.
    pub remaining: Option<AnswerStream>,
}

/// The part of an answer that still comes.
pub struct AnswerStream {
    response: ClientResponse,
    /// What it says to be in all, if it does.
    pub content_length: Option<u64>,
    left: usize,
    /// Its end or what broke it, met behind bytes that were handed on first.
    met: Option<Result<(), String>>,
    attempt: Rc<AttemptState>,
}

impl UpstreamAnswer {
    /// All of it.
    pub async fn collect(self) -> Result<(ResponseHead, Bytes), String> {
        let Some(mut rest) = self.remaining else { return Ok((self.head, self.body_start)) };
        let mut body = BytesMut::from(&self.body_start[..]);
        while let Some(more) = rest.next(HELD).await? {
            body.extend_from_slice(&more);
        }
        Ok((self.head, body.freeze()))
    }
}

impl AnswerStream {
    /// The next bytes, all that are there up to about `some`; none at its whole end. Many small pieces that are there
    /// come as one.
    pub async fn next(&mut self, some: usize) -> Result<Option<Bytes>, String> {
        let attempt = Rc::clone(&self.attempt);
        let response = &mut self.response;
        let mut met = self.met.take();
        let next = CURRENT_ATTEMPT.scope(Rc::clone(&attempt), async move {
            let mut piece = BytesMut::new();
            while met.is_none() && piece.len() < some / 2 {
                let more = if piece.is_empty() {
                    Some(response.next().await)
                } else {
                    response.next().now_or_never()
                };
                match more {
                    Some(Some(Ok(more))) => piece.extend_from_slice(&more),
                    Some(Some(Err(why))) => met = Some(Err(why.to_string())),
                    Some(None) => met = Some(attempt.check_complete().map_err(|e| e.to_string())),
                    None => break,
                }
            }
            (piece, met)
        });
        let (piece, met) = next.await;
        if met.is_some() {
            // In the turn in which the end was met, though what came with it is still to be handed on. Guards against the
            // library's pool, which has the connection from then on: another RPC would be sent on it, lose it as it is put back
            // here later, and leave its answer to the one after that.
            self.attempt.release_connection();
        }
        if piece.is_empty() {
            return met.unwrap_or(Ok(())).map(|()| None);
        }
        self.met = met;
        self.left = self.left.checked_sub(piece.len()).ok_or("a body without end")?;
        Ok(Some(piece.freeze()))
    }
}

impl UpstreamClient {
    /// The whole answer, or its beginning. Dropping the future, or the rest, closes the connection.
    pub async fn send(
        &self,
        call: UpstreamRequest,
        attempt: &Rc<AttemptState>,
    ) -> Result<UpstreamAnswer, UpstreamError> {
        let result = CURRENT_ATTEMPT.scope(Rc::clone(attempt), self.answer(call, attempt)).await;
        if !result.as_ref().is_ok_and(|answered| answered.remaining.is_some()) {
            attempt.release_connection();
        }
        result.map_err(|why| UpstreamError { progress: attempt.progress(), why })
    }

    async fn answer(
        &self,
        call: UpstreamRequest,
        attempt: &Rc<AttemptState>,
    ) -> Result<UpstreamAnswer, String> {
        let request = if call.new_connection {
            self.fresh.request(call.method.clone(), call.uri).force_close()
        } else {
            self.kept.request(call.method.clone(), call.uri)
        };
        let mut request = request.no_decompress();
        *request.headers_mut() = call.headers;
        let sent = match call.body {
            // No body at all, or one of stated length, be it none.
            Body::Buffered(body) if call.method == Method::GET && body.is_empty() => request.send(),
            Body::Buffered(body) => request.send_body(body),
            Body::Stream(body) => {
                attempt.body_incomplete.set(true);
                request.send_body(body)
            }
        };
        let mut response = sent.await.map_err(|e| e.to_string())?;
        let mut head = ResponseHead::new(response.status());
        head.headers = response.headers().clone();
        let length =
            head.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
        let wait = if length.is_some_and(|n| n > HELD as u64) { HELD_FOR } else { UNSAID_FOR };
        let is_short = length.is_some_and(|n| n <= HELD as u64);
        let mut first = BytesMut::new();
        let mut until: Option<Instant> = None;
        loop {
            let next = match until {
                Some(until) if !is_short => match timeout_at(until.into(), response.next()).await {
                    Ok(next) => next,
                    Err(_) => break,
                },
                _ => response.next().await,
            };
            match next {
                Some(chunk) => first.extend_from_slice(&chunk.map_err(|e| e.to_string())?),
                None => {
                    attempt.check_complete().map_err(|e| e.to_string())?;
                    return Ok(UpstreamAnswer { head, body_start: first.freeze(), remaining: None });
                }
            }
            until = until.or_else(|| Some(Instant::now() + wait));
            if first.len() > HELD.min(self.most_body) {
                break;
            }
        }
        let left = self.most_body.checked_sub(first.len()).ok_or("a body too large")?;
        let rest =
            AnswerStream { response, content_length: length, left, met: None, attempt: Rc::clone(attempt) };
        Ok(UpstreamAnswer { head, body_start: first.freeze(), remaining: Some(rest) })
    }
}
