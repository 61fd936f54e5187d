//! Callers' connections: accepts them, bounds them, ends them.

use super::inbound::{CallerConnection, InboundStream};
use super::without_delay;
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
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Connections that have stood idle for this long are closed. Long: callers go on using those that they have while
/// this balancer ends, when no new ones come to it, and the idlest go anyway when room is needed.
const IDLE: Duration = Duration::from_secs(60);

/// Those that have not asked for anything yet: callers connect when they have something to ask.
const SILENT: Duration = Duration::from_secs(2);

/// From its first byte on an RPC has this long to come whole, and an answer to be taken. Guards against callers that
/// hold connections with half an RPC, which are never between RPCs and so would never make room.
const COMING: Duration = Duration::from_millis(2500);

/// Where room is wanted and nobody is idle, half a message goes of which nothing more has come for so long. Whoever writes
/// slowly pauses as long, and there is nobody better to send away; a crowd with half a message each would keep others out.
const PAUSED: Duration = Duration::from_millis(50);

/// So often somebody is looked for whose room may be had, while there is none.
const LOOK: Duration = Duration::from_millis(20);

/// So many descriptors are left to others where this process gets no more: the watch, operators, connections to upstreams.
const SPARE: usize = 8;

/// Who takes nothing of an answer for this long is not there any more. A caller on a poor line takes a little each second.
const STUCK: Duration = Duration::from_secs(10);

/// After the last answer what still comes is read and dropped for this long: closing on unread bytes would reset
/// the connection, and the caller might never see the answer.
const LINGER: Duration = Duration::from_secs(1);

const TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// How the bytes of a connection become messages and answers.
fn protocol<H, F>(
    handle: H,
) -> impl ServiceFactory<(InboundStream, Option<SocketAddr>), Config = (), Error: Display, InitError: Debug>
where
    H: Fn(Request, Rc<CallerConnection>) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    HttpService::<InboundStream, _, BoxBody>::build()
        .keep_alive(KeepAlive::Os)
        // No time-out of the library's ends an RPC or words an answer.
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER)
        // A caller that closes has gone away: its RPC is dropped, and with it told as abandoned.
        .h1_allow_half_closed(false)
        .on_connect_ext(|io: &InboundStream, data| {
            data.insert(Rc::clone(&io.connection));
        })
        .h1(fn_service(move |request: Request| {
            let visit = request.conn_data::<Rc<CallerConnection>>().map_or_else(Rc::default, Rc::clone);
            let answer = handle(request, visit);
            async move { Ok::<_, Infallible>(answer.await) }
        }))
}

pub struct Server {
    listener: RefCell<Option<TcpListener>>,
    /// Emptied as connections end.
    visits: RefCell<Vec<Rc<CallerConnection>>>,
    most: Cell<usize>,
    left: Notify,
    ending: Cell<bool>,
    /// Who comes is taken in; else the machine keeps callers waiting, for this process or another.
    accepting: Cell<bool>,
    accepts: Notify,
    closed: Cell<bool>,
}

impl Server {
    /// Without a listener it waits for one.
    pub fn new(listener: Option<TcpListener>, most: usize) -> Rc<Self> {
        Rc::new(Server {
            listener: RefCell::new(listener),
            visits: RefCell::default(),
            most: Cell::new(most),
            left: Notify::new(),
            ending: Cell::new(false),
            accepting: Cell::new(true),
            accepts: Notify::new(),
            closed: Cell::new(false),
        })
    }

    /// Accepts until the end; each connection is a task of its own, so that a panic ends there.
    pub async fn run<H, F>(self: Rc<Self>, handle: H)
    where
        H: Fn(Request, Rc<CallerConnection>) -> F + Clone + 'static,
        F: Future<Output = Response<BoxBody>> + 'static,
    {
        let Ok(service) = protocol(handle).new_service(()).await else {
            tracing::error!("the server did not start");
            return self.close();
        };
        let service = Rc::new(service);
        let mut failing = false;
        loop {
            if self.closed.get() {
                for stream in self.last_of_queue() {
                    self.take_in(&service, stream);
                }
                return self.close();
            }
            if !self.accepting.get() || self.listener.borrow().is_none() {
                self.accepts.notified().await;
                continue;
            }
            let stream = std::future::poll_fn(|cx| match &*self.listener.borrow() {
                Some(listener) => listener.poll_accept(cx).map(Some),
                None => std::task::Poll::Ready(None),
            });
            let accepted = match select(pin!(stream), pin!(self.accepts.notified())).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => continue,
            };
            match accepted {
                None => {}
                Some(Ok((stream, _))) => {
                    failing = false;
                    self.make_room().await;
                    self.take_in(&service, stream);
                }
                Some(Err(why)) => {
                    // Said once of a row: it may be tried a hundred times a second.
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!("accept: {why}");
                    }
                    self.give_up_some(&why);
                    actix_rt::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// What the machine has accepted already, as far as there is room. Asked of the machine itself: the event that tells
    /// of it may not have been read yet.
    fn last_of_queue(&self) -> Vec<TcpStream> {
        let listener = self.listener.borrow();
        let Some(listener) = listener.as_ref().filter(|_| self.accepting.get()) else { return Vec::new() };
        let room = self.most.get().saturating_sub(self.connections());
        let next = || {
            let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
            let stream = rustix::net::accept_with(listener, flags).ok()?;
            TcpStream::from_std(std::net::TcpStream::from(stream)).ok()
        };
        std::iter::from_fn(next).take(room).collect()
    }

    /// A connection stands in the table from the turn on in which it is accepted: the program does not end over it.
    fn take_in<S>(self: &Rc<Self>, service: &Rc<S>, stream: TcpStream)
    where
        S: Service<(InboundStream, Option<SocketAddr>)> + 'static,
        S::Error: Display,
    {
        without_delay(&stream);
        let visit = self.enter(stream);
        actix_rt::spawn(Rc::clone(self).host(Rc::clone(service), visit));
    }

    /// One connection, from its start to its end.
    async fn host<S>(self: Rc<Self>, service: Rc<S>, visit: Rc<CallerConnection>)
    where
        S: Service<(InboundStream, Option<SocketAddr>)>,
        S::Error: Display,
    {
        let _leave = Leave { server: &self, visit: &visit };
        let unread = {
            let mut connection = pin!(service.call((InboundStream { connection: Rc::clone(&visit) }, None)));
            loop {
                match select(connection, pin!(visit.wake.notified())).await {
                    Either::Left((Ok(_), _)) => break visit.closes_after_answer(),
                    Either::Left((Err(why), _)) => {
                        tracing::debug!("connection ended: {why}");
                        break true;
                    }
                    Either::Right(_) if visit.is_force_closed() => break true,
                    Either::Right((_, same)) if visit.is_partial_expired() => {
                        connection = match select(same, ready(())).await {
                            Either::Left((ended, _)) => break ended.is_err() || visit.closes_after_answer(),
                            Either::Right((_, same)) => same,
                        };
                        visit.close_if_expired();
                    }
                    Either::Right((_, same)) => connection = same,
                }
            }
        };
        let Some(mut stream) = visit.stream.take().filter(|_| unread) else { return };
        if visit.is_force_closed() && !visit.closes_after_answer() {
            // So short that the socket takes it at once.
            let _ = stream.try_write(TOO_SLOW);
        }
        visit.force_close();
        let part = pin!(async {
            let _ = stream.shutdown().await;
            let mut rest = [0; 4096];
            while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
        });
        // Or until its room is wanted.
        let _ = select(part, pin!(timeout(LINGER, visit.eviction.notified()))).await;
    }

    fn enter(&self, stream: TcpStream) -> Rc<CallerConnection> {
        let visit = CallerConnection::new(stream);
        if self.ending.get() {
            visit.close_when_idle();
        }
        self.visits.borrow_mut().push(Rc::clone(&visit));
        visit
    }

    /// For one that has come: waits while the connections are at their most. The longest idle one goes, also where it becomes
    /// idle meanwhile. At the end there is room for who is there.
    async fn make_room(&self) {
        while self.visits.borrow().len() >= self.most.get() && !self.closed.get() {
            self.end_idlest(1);
            let _ = timeout(LOOK, self.left.notified()).await;
        }
    }

    /// The machine grants no connection more. Where this process has as many descriptors as it may, it was told of more than
    /// that: callers get fewer from now on. Guards against callers that leave none to the watch and to upstreams.
    fn give_up_some(&self, why: &std::io::Error) {
        if why.raw_os_error() == Some(Errno::MFILE.raw_os_error()) {
            let most = self.connections().saturating_sub(SPARE).max(1);
            tracing::warn!("no descriptors are left, callers get {most} at the most");
            self.set_max_connections(most);
        } else {
            self.end_idlest(1);
        }
    }

    pub fn connections(&self) -> usize {
        self.visits.borrow().len()
    }

    /// From now on there are this many at the most; idle ones beyond that go now.
    pub fn set_max_connections(&self, most: usize) {
        self.most.set(most);
        self.end_idlest(self.connections().saturating_sub(most));
        self.left.notify_waiters();
    }

    /// Whether who comes is taken in here; who is here stays.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.set(accepting);
        self.accepts.notify_one();
    }

    /// Callers come here from now on.
    pub fn listen(&self, listener: TcpListener) {
        if !self.closed.get() {
            self.listener.replace(Some(listener));
            self.accepts.notify_one();
        }
    }

    /// The socket at which callers come, for another process of this balancer; none once it is closed.
    pub fn listener(&self) -> Option<OwnedFd> {
        self.listener.borrow().as_ref().and_then(|listener| listener.as_fd().try_clone_to_owned().ok())
    }

    /// So many go. Those that are about to be closed go first, and are none the less counted; then those that have been idle
    /// longest; then those that pause in half a message; then those that have just come and say nothing yet.
    fn end_idlest(&self, count: usize) {
        let visits = self.visits.borrow();
        let may_go =
            |v: &&Rc<CallerConnection>| v.is_force_closed() || v.is_idle() || v.has_stalled_request(PAUSED);
        let mut those: Vec<&Rc<CallerConnection>> = visits.iter().filter(may_go).collect();
        let place = |v: &Rc<CallerConnection>| match () {
            () if v.is_being_closed() => 0,
            () if v.has_partial_request() => 2,
            () if v.state_since().elapsed() >= PAUSED => 1,
            () => 3,
        };
        those.sort_by_cached_key(|v| (place(v), v.state_since()));
        // An RPC may have come on one that was accepted in this turn.
        let those = those.iter().filter(|v| v.is_force_closed() || !v.has_unread_input());
        those.take(count).for_each(|visit| visit.evict());
    }

    /// `ending`: connections that are idle go, and those that become idle, until it is said otherwise.
    pub fn sweep(&self, ending: bool) {
        let changed = self.ending.replace(ending) != ending;
        for visit in self.visits.borrow().iter() {
            if changed {
                visit.set_close_when_idle(ending);
            }
            let for_long = |time| visit.state_since().elapsed() >= time;
            let late = visit.has_partial_request() && for_long(COMING);
            // Who takes nothing, or whom the library does not read from any more.
            let stuck = visit.is_write_blocked() && for_long(STUCK)
                || visit.has_partial_request() && for_long(2 * COMING)
                || visit.is_closing() && for_long(IDLE + COMING);
            if visit.has_disconnected_unread() {
                visit.handle_disconnect();
            } else if stuck {
                visit.force_close();
            } else if late {
                // The library has its turn first: the rest may lie in the socket.
                visit.expire_partial_request();
            } else if self.ending.get() && visit.is_idle() {
                // One that was too new to go.
                visit.close_when_idle();
            } else if visit.is_idle() && for_long(if visit.has_sent_request() { IDLE } else { SILENT }) {
                visit.close_when_idle();
            }
        }
    }

    /// Takes in what the machine has accepted already, then nothing new; idle connections are closed, and the
    /// others after their answer. Returns once none is left.
    pub async fn shut_down(&self) {
        self.ending.set(true);
        // Callers that were on their way are in the queue by then, and the accepting task has had its turn.
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        self.closed.set(true);
        self.accepts.notify_one();
        self.visits.borrow().iter().for_each(|visit| visit.close_when_idle());
        loop {
            let left = self.left.notified();
            if self.listener.borrow().is_none() && self.visits.borrow().is_empty() {
                return;
            }
            left.await;
        }
    }

    /// The accepting task's last turn.
    fn close(&self) {
        self.listener.replace(None);
        self.left.notify_waiters();
    }
}

/// Takes the connection off the table, whichever way it ends.
struct Leave<'a> {
    server: &'a Server,
    visit: &'a Rc<CallerConnection>,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.server.visits.borrow_mut().retain(|v| !Rc::ptr_eq(v, self.visit));
        self.server.left.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use actix_http::StatusCode;
    use std::os::fd::OwnedFd;
    use std::os::unix::net::UnixStream;

    /// Guards against a connection that the machine has accepted being closed unserved because its socket grants
    /// no option that only makes it quicker: a local socket knows none of TCP's.
    #[test]
    fn a_connection_that_cannot_be_hurried_is_served_all_the_same() {
        actix_rt::Runtime::new().expect("a runtime").block_on(async {
            let (ours, theirs) = UnixStream::pair().expect("a pair");
            ours.set_nonblocking(true).expect("it does not block");
            let stream =
                TcpStream::from_std(std::net::TcpStream::from(OwnedFd::from(ours))).expect("a stream");
            assert!(stream.set_nodelay(true).is_err());
            let handle = |_, visit: Rc<CallerConnection>| async move {
                let _guard = visit.begin_request();
                Response::new(StatusCode::IM_A_TEAPOT).set_body(BoxBody::new(""))
            };
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let service = protocol(handle).new_service(()).await;
            let Ok(service) = service else { panic!("the server did not start") };
            Server::new(Some(listener), 1).take_in(&Rc::new(service), stream);
            theirs.set_nonblocking(true).expect("it does not block");
            let mut theirs = tokio::net::UnixStream::from_std(theirs).expect("a stream");
            theirs.write_all(b"GET / HTTP/1.1\r\nHost: n0\r\n\r\n").await.expect("it is written");
            let mut answer = [0; 12];
            theirs.read_exact(&mut answer).await.expect("it is answered");
            assert_eq!(&answer, b"HTTP/1.1 418");
        });
    }
}
