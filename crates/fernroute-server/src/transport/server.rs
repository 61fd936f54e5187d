//! The server for callers: accepts connections, limits their number and closes them.

use super::inbound::CallerConnection;
use super::inbound_stream::InboundStream;
use super::set_nodelay;
use crate::memory::budget::MemoryBudget;
use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{fn_service, Service, ServiceFactory};
use futures_util::future::{select, Either};
use rustix::io::Errno;
use rustix::net::SocketFlags;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::fmt::{Debug, Display};
use std::future::{ready, Future};
use std::net::SocketAddr;
use std::os::fd::{AsFd as _, OwnedFd};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Idle connections are closed after this long. Long, because callers keep using their connections while this balancer shuts
/// down and gets no new ones, and the longest idle ones are closed anyway when room is needed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The same before the first request: callers connect when they have one.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for receiving a request, from its first byte; each part of a body restarts it. Guards against callers that
/// hold connections with incomplete requests, which are never idle and so would never make room.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);

/// When room is needed and no connection is idle, a connection with an incomplete request is evicted if nothing more of it
/// has been received for this long. This can hit a slow caller that pauses, but only if nothing better can be evicted;
/// otherwise a crowd of callers with incomplete requests would keep others out.
const STALL_TIME: Duration = Duration::from_millis(50);

/// How often the search for a connection to evict is repeated while there is no room.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);

/// Descriptors left for others when this process runs out of them: discovery, operators and connections to upstreams.
const SPARE_DESCRIPTORS: usize = 8;

/// A caller that reads nothing of its answer for this long is given up. One on a slow link reads a little every second.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// After the last answer, input is read and discarded for this long: closing a socket with unread bytes would reset the
/// connection, and the caller might lose the answer.
const LINGER: Duration = Duration::from_secs(1);

const REQUEST_TIMEOUT_ANSWER: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Nothing of the request has been forwarded, so a retry does no harm.
const NO_MEMORY_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The library collects this much of an answer before it writes. With a part of an answer it fits into the buffer that each
/// connection has from its start.
const WRITE_BUFFER_BYTES: usize = 4 * 1024;

/// The HTTP service for callers' connections.
fn http_service<H, F>(
    handle: H,
) -> impl ServiceFactory<(InboundStream, Option<SocketAddr>), Config = (), Error: Display, InitError: Debug>
where
    H: Fn(Request, Rc<CallerConnection>) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    HttpService::<InboundStream, _, BoxBody>::build()
        .keep_alive(KeepAlive::Os)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        // Requests and answers are not limited or answered by the library's own time-outs.
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER)
        // A caller that closes its side has disconnected: its RPC is dropped, and thereby reported as abandoned.
        .h1_allow_half_closed(false)
        .on_connect_ext(|io: &InboundStream, data| {
            data.insert(Rc::clone(&io.connection));
        })
        .h1(fn_service(move |request: Request| {
            let connection = request.conn_data::<Rc<CallerConnection>>().map_or_else(Rc::default, Rc::clone);
            let answer = handle(request, connection);
            async move { Ok::<_, Infallible>(answer.await) }
        }))
}

pub struct Server {
    memory: Rc<MemoryBudget>,
    listener: RefCell<Option<TcpListener>>,
    /// Open connections; each is removed when it ends.
    connections: RefCell<Vec<Rc<CallerConnection>>>,
    max_connections: Cell<usize>,
    ended: Notify,
    closing_idle: Cell<bool>,
    /// Whether new connections are accepted. If not, callers wait in the kernel's queue, for this process or another.
    accepting: Cell<bool>,
    accept_changed: Notify,
    closed: Cell<bool>,
}

impl Server {
    /// Without a listener, waits for [`Server::listen`]. What is read from callers is reserved in `memory`.
    pub fn new(listener: Option<TcpListener>, max_connections: usize, memory: &Rc<MemoryBudget>) -> Rc<Self> {
        Rc::new(Server {
            memory: Rc::clone(memory),
            listener: RefCell::new(listener),
            connections: RefCell::default(),
            max_connections: Cell::new(max_connections),
            ended: Notify::new(),
            closing_idle: Cell::new(false),
            accepting: Cell::new(true),
            accept_changed: Notify::new(),
            closed: Cell::new(false),
        })
    }

    /// Accepts connections until shutdown. Each one has a task of its own, so that a panic ends only that connection.
    pub async fn run<H, F>(self: Rc<Self>, handle: H)
    where
        H: Fn(Request, Rc<CallerConnection>) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        let Ok(service) = http_service(handle).new_service(()).await else {
            tracing::error!("cannot start the HTTP service for callers");
            return self.close();
        };
        let service = Rc::new(service);
        let mut failing = false;
        // Whether the kernel's queue has been empty since this task last waited for something else: who is in it has just connected.
        let is_queue_fresh = Cell::new(false);
        loop {
            let connected_at = || is_queue_fresh.get().then(Instant::now);
            if self.closed.get() {
                for stream in self.queued_connections() {
                    self.spawn_connection(&service, stream, connected_at());
                }
                return self.close();
            }
            if !self.accepting.get() || self.listener.borrow().is_none() {
                is_queue_fresh.set(false);
                self.accept_changed.notified().await;
                continue;
            }
            let stream = std::future::poll_fn(|cx| match &*self.listener.borrow() {
                Some(listener) => {
                    let accepted = listener.poll_accept(cx);
                    is_queue_fresh.set(is_queue_fresh.get() || accepted.is_pending());
                    accepted.map(Some)
                }
                None => std::task::Poll::Ready(None),
            });
            let accepted = match select(pin!(stream), pin!(self.accept_changed.notified())).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => continue,
            };
            match accepted {
                None => {}
                Some(Ok((stream, _))) => {
                    failing = false;
                    let connected_at = connected_at();
                    let has_waited = self.make_room().await;
                    is_queue_fresh.set(is_queue_fresh.get() && !has_waited);
                    self.spawn_connection(&service, stream, connected_at);
                }
                Some(Err(error)) => {
                    // Logged once for a series of failures: there can be a hundred a second.
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!("accept: {error}");
                    }
                    self.handle_accept_error(&error);
                    is_queue_fresh.set(false);
                    actix_rt::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// The connections in the kernel's accept queue, as far as there is room. Asks the kernel directly, because the readiness
    /// event may not have been handled yet.
    fn queued_connections(&self) -> Vec<TcpStream> {
        let listener = self.listener.borrow();
        let Some(listener) = listener.as_ref().filter(|_| self.accepting.get()) else { return Vec::new() };
        let room = self.max_connections.get().saturating_sub(self.connections());
        let next = || {
            let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
            let stream = rustix::net::accept_with(listener, flags).ok()?;
            TcpStream::from_std(std::net::TcpStream::from(stream)).ok()
        };
        std::iter::from_fn(next).take(room).collect()
    }

    /// Registers a connection in the same turn in which it is accepted, so that shutdown waits for it, and starts its task.
    fn spawn_connection<S>(self: &Rc<Self>, service: &Rc<S>, stream: TcpStream, connected_at: Option<Instant>)
    where
        S: Service<(InboundStream, Option<SocketAddr>)> + 'static,
        S::Error: Display,
    {
        set_nodelay(&stream);
        let connection = self.insert(stream, connected_at);
        actix_rt::spawn(Rc::clone(self).serve_connection(Rc::clone(service), connection));
    }

    /// Serves one connection until it ends.
    async fn serve_connection<S>(self: Rc<Self>, service: Rc<S>, connection: Rc<CallerConnection>)
    where
        S: Service<(InboundStream, Option<SocketAddr>)>,
        S::Error: Display,
    {
        let _remove = RemoveOnDrop { server: &self, connection: &connection };
        let may_have_unread_input = {
            let mut exchange =
                pin!(service.call((InboundStream { connection: Rc::clone(&connection) }, None)));
            loop {
                match select(exchange, pin!(connection.wake.notified())).await {
                    Either::Left((Ok(_), _)) => break connection.closes_after_answer(),
                    Either::Left((Err(error), _)) => {
                        tracing::debug!("caller's connection failed: {error}");
                        break true;
                    }
                    Either::Right(_) if connection.is_force_closed() => break true,
                    Either::Right((_, unfinished)) if connection.has_expired_request() => {
                        exchange = match select(unfinished, ready(())).await {
                            Either::Left((result, _)) => {
                                break result.is_err() || connection.closes_after_answer()
                            }
                            Either::Right((_, unfinished)) => unfinished,
                        };
                        connection.close_if_expired();
                    }
                    Either::Right((_, unfinished)) => exchange = unfinished,
                }
            }
        };
        let Some(mut stream) = connection.stream.take().filter(|_| may_have_unread_input) else { return };
        if connection.is_force_closed() && !connection.closes_after_answer() {
            let answer =
                if connection.is_refused_for_memory() { NO_MEMORY_ANSWER } else { REQUEST_TIMEOUT_ANSWER };
            // The answer is short enough for the socket to accept it at once.
            let _ = stream.try_write(answer);
        }
        connection.force_close();
        let drain = pin!(async {
            let _ = stream.shutdown().await;
            let mut buffer = [0; 4096];
            while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
        });
        // Ends early if the connection is evicted.
        let _ = select(drain, pin!(timeout(LINGER, connection.eviction.notified()))).await;
    }

    fn insert(&self, stream: TcpStream, connected_at: Option<Instant>) -> Rc<CallerConnection> {
        let connection = CallerConnection::new(stream, &self.memory, connected_at);
        if self.closing_idle.get() {
            connection.close_when_idle();
        }
        self.connections.borrow_mut().push(Rc::clone(&connection));
        connection
    }

    /// Waits for room for an accepted connection. At the limit, evicts the longest idle connection, or the first to become
    /// idle. During shutdown there is always room for connections already in the queue. Returns whether it had to wait.
    async fn make_room(&self) -> bool {
        let mut has_waited = false;
        while self.connections.borrow().len() >= self.max_connections.get() && !self.closed.get() {
            self.evict_idle(1);
            let _ = timeout(EVICTION_INTERVAL, self.ended.notified()).await;
            has_waited = true;
        }
        has_waited
    }

    /// Handles a failed accept. If this process has no descriptors left, its limit for connections was too high, and is
    /// lowered. Guards against callers that leave no descriptors for discovery and upstreams.
    fn handle_accept_error(&self, error: &std::io::Error) {
        if error.raw_os_error() == Some(Errno::MFILE.raw_os_error()) {
            let max_connections = self.connections().saturating_sub(SPARE_DESCRIPTORS).max(1);
            tracing::warn!("out of file descriptors, callers' connections are limited to {max_connections}");
            self.set_max_connections(max_connections);
        } else {
            self.evict_idle(1);
        }
    }

    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Sets the limit, and closes idle connections beyond it.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        self.evict_idle(self.connections().saturating_sub(max_connections));
        self.ended.notify_waiters();
    }

    /// Sets whether new connections are accepted here. Open ones are not affected.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.set(accepting);
        self.accept_changed.notify_one();
    }

    /// Accepts connections on this listener from now on.
    pub fn listen(&self, listener: TcpListener) {
        if !self.closed.get() {
            self.listener.replace(Some(listener));
            self.accept_changed.notify_one();
        }
    }

    /// A duplicate of the listening socket, for another process of this balancer; `None` once it is closed.
    pub fn listener(&self) -> Option<OwnedFd> {
        self.listener.borrow().as_ref().and_then(|listener| listener.as_fd().try_clone_to_owned().ok())
    }

    /// Evicts `count` connections, in this order: those that are about to be closed, which count as evicted; the longest
    /// idle; those with a stalled incomplete request; those that have just connected or become idle.
    fn evict_idle(&self, count: usize) {
        let connections = self.connections.borrow();
        let may_evict = |c: &&Rc<CallerConnection>| {
            c.is_force_closed() || c.is_idle() || c.has_stalled_request(STALL_TIME)
        };
        let mut candidates: Vec<&Rc<CallerConnection>> = connections.iter().filter(may_evict).collect();
        let eviction_class = |c: &Rc<CallerConnection>| match () {
            () if c.is_being_closed() => 0,
            () if c.has_partial_request() => 2,
            () if c.state_since().elapsed() >= STALL_TIME => 1,
            () => 3,
        };
        candidates.sort_by_cached_key(|c| (eviction_class(c), c.state_since()));
        // A request may have arrived that has not been read yet.
        let evictable = candidates.iter().filter(|c| c.is_force_closed() || !c.has_unread_input());
        evictable.take(count).for_each(|connection| connection.evict());
    }

    /// Closes connections whose time has expired. With `closing`, also closes idle ones, now and as they become idle, until
    /// a later call withdraws it.
    pub fn sweep(&self, closing: bool) {
        let changed = self.closing_idle.replace(closing) != closing;
        for connection in self.connections.borrow().iter() {
            if changed {
                connection.set_close_when_idle(closing);
            }
            let has_lasted = |time| connection.state_since().elapsed() >= time;
            let is_request_late = connection.has_partial_request() && has_lasted(REQUEST_TIMEOUT);
            // The caller reads nothing, or the library reads nothing more.
            let is_stuck = connection.is_write_blocked() && has_lasted(WRITE_TIMEOUT)
                || connection.has_partial_request() && has_lasted(2 * REQUEST_TIMEOUT)
                || connection.is_closing() && has_lasted(IDLE_TIMEOUT + REQUEST_TIMEOUT);
            if connection.has_disconnected_unread() {
                connection.handle_disconnect();
            } else if is_stuck {
                connection.force_close();
            } else if is_request_late {
                // The library gets a turn first: the rest of the request may be in the socket.
                connection.expire_partial_request();
            } else if self.closing_idle.get() && connection.is_idle() {
                // Repeated for a connection that was too new to be closed.
                connection.close_when_idle();
            } else if connection.is_idle()
                && has_lasted(if connection.has_sent_request() {
                    IDLE_TIMEOUT
                } else {
                    FIRST_REQUEST_TIMEOUT
                })
            {
                connection.close_when_idle();
            }
        }
    }

    /// Accepts the connections that are in the kernel's queue, then no more. Closes idle connections, and the others after
    /// their answer. Returns when no connection is left.
    pub async fn shut_down(&self) {
        self.closing_idle.set(true);
        // By then callers that were connecting are in the queue, and the accepting task has had a turn.
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        self.closed.set(true);
        self.accept_changed.notify_one();
        self.connections.borrow().iter().for_each(|connection| connection.close_when_idle());
        loop {
            let ended = self.ended.notified();
            if self.listener.borrow().is_none() && self.connections.borrow().is_empty() {
                return;
            }
            ended.await;
        }
    }

    /// Ends the accepting task.
    fn close(&self) {
        self.listener.replace(None);
        self.ended.notify_waiters();
    }
}

/// Removes the connection from the table, however its task ends.
struct RemoveOnDrop<'a> {
    server: &'a Server,
    connection: &'a Rc<CallerConnection>,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        self.server.connections.borrow_mut().retain(|c| !Rc::ptr_eq(c, self.connection));
        self.server.ended.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use actix_http::StatusCode;
    use std::os::fd::OwnedFd;
    use std::os::unix::net::UnixStream;

    /// Guards against closing an accepted connection unserved because its socket rejects `TCP_NODELAY`, which only reduces
    /// latency. A Unix socket rejects all options of TCP.
    #[test]
    fn a_connection_without_tcp_nodelay_is_served() {
        actix_rt::Runtime::new().expect("start a runtime").block_on(async {
            let (server_end, caller_end) = UnixStream::pair().expect("create a socket pair");
            server_end.set_nonblocking(true).expect("set non-blocking");
            let stream = TcpStream::from_std(std::net::TcpStream::from(OwnedFd::from(server_end)))
                .expect("register the stream");
            assert!(stream.set_nodelay(true).is_err());
            let handle = |_, connection: Rc<CallerConnection>| async move {
                let _guard = connection.begin_request();
                Response::new(StatusCode::IM_A_TEAPOT).set_body(BoxBody::new(""))
            };
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
            let service = http_service(handle).new_service(()).await;
            let Ok(service) = service else { panic!("cannot start the HTTP service for callers") };
            let memory = MemoryBudget::new(1 << 20, 1);
            Server::new(Some(listener), 1, &memory).spawn_connection(&Rc::new(service), stream, None);
            caller_end.set_nonblocking(true).expect("set non-blocking");
            let mut caller_end = tokio::net::UnixStream::from_std(caller_end).expect("register the stream");
            caller_end.write_all(b"GET / HTTP/1.1\r\nHost: n0\r\n\r\n").await.expect("write the request");
            let mut answer = [0; 12];
            caller_end.read_exact(&mut answer).await.expect("read the answer");
            assert_eq!(&answer, b"HTTP/1.1 418");
        });
    }
}
