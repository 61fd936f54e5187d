//! Calls on upstreams. Nothing here sends twice, follows a redirect or gives up by itself.

use super::outbound::{Course, Reached, Seats, COURSE};
use actix_http::header::HeaderMap;
use actix_http::{Method, ResponseHead, Uri};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use bytes::Bytes;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A call that brought no whole answer, and how far it had come.
#[derive(Debug)]
pub struct Broken {
    pub reached: Reached,
    why: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:?})", self.why, self.reached)
    }
}

/// What all calls share: the bounds on connections and answers.
pub struct Client {
    seats: Rc<Seats>,
    connect_time_out: Duration,
    idle: Duration,
    most_body: usize,
}

/// The way to one upstream, with connections of its own. Those that stand idle are closed with it: an upstream that
/// comes to the address of another gets none that was made for the other.
pub struct Line {
    pub address: SocketAddr,
    kept: awc::Client,
    fresh: awc::Client,
    most_body: usize,
}

/// One call's parts.
pub struct Call {
    pub verb: Method,
    pub uri: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// On a connection of its own, closed after the answer. A kept one may end as the call is written, and then
    /// nobody knows whether it has run.
    pub fresh: bool,
}

impl Client {
    /// `keep` is how long the other side leaves an idle connection open; it is used for less. At `most` so many
    /// connections are open, and answers have bodies of `most_body`.
    pub fn new(connect_time_out: Duration, keep: Duration, most: usize, most_body: usize) -> Self {
        // A call written as the other side closes ends as a reset that may have run: a fifth and a second
        // are far more than a call takes to cross.
        let idle = (keep * 4 / 5).min(keep.saturating_sub(Duration::from_secs(1)));
        Client { seats: Rc::new(Seats::new(most, most_body)), connect_time_out, idle, most_body }
    }

    pub fn line(&self, address: SocketAddr) -> Line {
        let (kept, fresh) = (self.pool(address), self.pool(address));
        Line { address, kept, fresh, most_body: self.most_body }
    }

    fn pool(&self, address: SocketAddr) -> awc::Client {
        let for_new = Rc::clone(&self.seats);
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let seats = Rc::clone(&for_new);
            async move {
                let stream = seats.connect(address).await.map_err(ConnectError::Io)?;
                Ok(Connection::new(info.request().clone(), stream))
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
        self.seats.count()
    }

    pub fn set_most(&self, most: usize) {
        self.seats.set_most(most);
    }

    pub fn sweep(&self) {
        self.seats.sweep(self.idle);
    }
}

impl Line {
    /// The whole answer. Dropping the future closes the connection.
    pub async fn call(&self, call: Call, course: &Rc<Course>) -> Result<(ResponseHead, Bytes), Broken> {
        let result = COURSE.scope(Rc::clone(course), self.answer(call, course)).await;
        course.over();
        result.map_err(|why| Broken { reached: course.reached(), why })
    }

    async fn answer(&self, call: Call, course: &Course) -> Result<(ResponseHead, Bytes), String> {
        let request = if call.fresh {
            self.fresh.request(call.verb.clone(), call.uri).force_close()
        } else {
            self.kept.request(call.verb.clone(), call.uri)
        };
        let mut request = request.no_decompress();
        // No body at all, or one of stated length, be it none.
        let bare = call.verb == Method::GET && call.body.is_empty();
        *request.headers_mut() = call.headers;
        let sent = if bare { request.send() } else { request.send_body(call.body) };
        let mut response = sent.await.map_err(|e| e.to_string())?;
        let body = response.body().limit(self.most_body).await.map_err(|e| e.to_string())?;
        let mut head = ResponseHead::new(response.status());
        head.headers = response.headers().clone();
        if course.cut() {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).to_string());
        }
        Ok((head, body))
    }
}
