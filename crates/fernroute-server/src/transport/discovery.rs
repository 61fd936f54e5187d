//! The watch on discovery: one call after another, each answer handed on.
//!
//! Whatever becomes of a call, what discovery has is asked for again so early that all that may lie between
//! (a silent call, a connection that does not come up, a list that stalls or trickles, one that is doubted)
//! sums to less than the six seconds after which it counts as told. The sums stand in `docs/endings.md`.

use super::client::{Body, Client, UpstreamClient, UpstreamRequest};
use super::outbound::{AttemptProgress, AttemptState};
use crate::protocol::list::{self, List};
use crate::protocol::names;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::future::{select_all, LocalBoxFuture};
use futures_util::FutureExt as _;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// How long a call may wait for news. Short, since for so long a silent agent looks like one with no news.
const WAIT: Duration = Duration::from_millis(1500);

/// The first call, and one after a failure, asks whether the agent is there (again): it finds out sooner if
/// not.
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// An agent that is up answers at once after that: a little more is for a busy machine.
const GRACE: Duration = Duration::from_millis(700);

/// A list that says nothing more for so long has ended.
const STALL: Duration = Duration::from_secs(1);

/// One that takes longer is heard out, with another call beside it: what changed as it began is in the
/// other's answer.
const BESIDE: Duration = Duration::from_secs(1);

/// On the balancer's own machine a connection is up at once. One that is not, for want of room in a queue
/// say, is tried again by its machine after a second only: another one is made beside it.
const CONNECT: Duration = Duration::from_millis(500);
const CONNECT_LONGEST: Duration = Duration::from_millis(1500);

/// Whatever trickles in, what it says is old by then.
const LONGEST: Duration = Duration::from_secs(5);

/// So many calls are out at the most. Guards against a discovery that is slow since it has too much to do,
/// and gets more to do for it.
const MOST_CALLS: usize = 3;

/// What is told again within this time is no slip of discovery's.
const DOUBT: Duration = Duration::from_secs(6);

const LOOK: Duration = Duration::from_millis(100);

/// After a call that brought nothing, where news come unasked, or brought what must be asked for again: well
/// within the 200 ms in which a watch must go on, and within any grace for upstreams that leave.
const PAUSE: Duration = Duration::from_millis(50);

/// A list of some ten thousand upstreams.
const MOST_LIST: usize = 4 << 20;

pub struct DiscoveryWatch {
    client: Client,
    agent: SocketAddr,
    agent_client: RefCell<Rc<UpstreamClient>>,
}

/// A call that is out.
struct Asking {
    answer: LocalBoxFuture<'static, Result<List, String>>,
    attempt: Rc<AttemptState>,
    wait: Duration,
    begun: Instant,
    /// Since when it is seen to have a connection, and to be answered.
    connected: Option<Instant>,
    answered: Option<Instant>,
}

impl Asking {
    fn look(&mut self) {
        let now = Instant::now();
        if self.attempt.progress() >= AttemptProgress::Connected {
            self.connected.get_or_insert(now);
        }
        if self.attempt.last_received_at().is_some() {
            self.answered.get_or_insert(now);
        }
    }

    /// Judged by progress; the client has a time-out of its own for the connection.
    fn is_silent(&self) -> bool {
        let stalls = self.attempt.last_received_at().is_some_and(|last| last.elapsed() >= STALL);
        match (self.answered, self.connected) {
            (Some(from), _) => stalls || from.elapsed() >= LONGEST,
            (None, Some(from)) => from.elapsed() >= self.wait + GRACE,
            (None, None) => false,
        }
    }

    /// It may come whole yet, but who asks now may know more, or sooner.
    fn is_late(&self) -> bool {
        match (self.answered, self.connected) {
            (Some(from), _) => from.elapsed() >= BESIDE,
            (None, Some(_)) => false,
            (None, None) => self.begun.elapsed() >= CONNECT,
        }
    }
}

/// The calls that are out, the latest last.
struct Calls<'a> {
    watch: &'a DiscoveryWatch,
    out: Vec<Asking>,
    begun: Instant,
}

impl Calls<'_> {
    fn ask(&mut self, version: Option<u64>, wait: Duration) {
        self.out.push(self.watch.ask(version, wait));
        self.begun = Instant::now();
    }

    /// The next list that comes whole. It may be of a call that was out already: then it is the next answer
    /// to what was known as that one began. Dropped, the calls stay out.
    async fn next(&mut self, version: Option<u64>, wait: Duration) -> Result<List, String> {
        if self.out.is_empty() {
            self.ask(version, wait);
        }
        loop {
            let answers = select_all(self.out.iter_mut().map(|asking| &mut asking.answer));
            let ended = timeout(LOOK, answers).await.ok().map(|(answer, n, _)| (answer, n));
            self.out.iter_mut().for_each(Asking::look);
            let mut failed = None;
            match ended {
                Some((Ok(list), n)) => {
                    // Who was asked before it knows no more.
                    self.out.drain(..=n);
                    return Ok(list);
                }
                Some((Err(why), n)) => {
                    self.out.remove(n);
                    failed = Some(why);
                }
                None => {}
            }
            let before = self.out.len();
            self.out.retain(|asking| !asking.is_silent());
            if self.out.len() < before {
                failed = failed.or(Some("silent".to_owned()));
            }
            // One that has no connection yet is no better than none.
            if let Some(why) = failed.filter(|_| self.out.iter().all(|asking| asking.connected.is_none())) {
                self.out.clear();
                return Err(why);
            }
            let is_late = self.out.last().is_some_and(Asking::is_late) && self.begun.elapsed() >= CONNECT;
            if is_late && self.out.len() < MOST_CALLS {
                self.watch.leave_connections();
                self.ask(version, wait);
            }
        }
    }

    /// The same after a list that was doubted: told is told, and where no answer comes in time those count
    /// that leave by it.
    async fn answer(
        &mut self,
        version: Option<u64>,
        wait: Duration,
        doubted: Option<List>,
        news: impl Fn(Option<List>),
    ) -> Result<List, String> {
        let Some(leaving) = doubted else { return self.next(version, wait).await };
        let early = timeout(PAUSE, self.next(version, wait)).await;
        if let Ok(Ok(list)) = early {
            return Ok(list);
        }
        news(Some(leaving));
        match early {
            Ok(failed) => failed,
            Err(_) => self.next(version, wait).await,
        }
    }
}

impl DiscoveryWatch {
    pub fn new(agent: SocketAddr) -> Self {
        // The calls that may be out, and one connection that is dying.
        let client = Client::new(CONNECT_LONGEST, Duration::from_secs(10), MOST_CALLS + 1, MOST_LIST);
        let client = client.without_reuse_delay();
        DiscoveryWatch { agent_client: RefCell::new(Rc::new(client.upstream(agent))), agent, client }
    }

    /// Those that are kept are used no more. Guards against an agent that is back while the connections to
    /// what it was before are as silent as that, one after another.
    fn leave_connections(&self) {
        self.agent_client.replace(Rc::new(self.client.upstream(self.agent)));
    }

    fn ask(&self, version: Option<u64>, wait: Duration) -> Asking {
        let query = version.map_or(String::new(), |v| format!("?index={v}&wait={}", wait.as_millis()));
        let call = UpstreamRequest {
            method: Method::GET,
            uri: format!("http://{}{}{query}", self.agent, names::LIST_PATH),
            headers: HeaderMap::new(),
            body: Body::Buffered(Bytes::new()),
            new_connection: false,
        };
        let attempt = Rc::<AttemptState>::default();
        let (agent_client, carried) = (Rc::clone(&self.agent_client.borrow()), Rc::clone(&attempt));
        let answer = async move {
            let answered = agent_client.send(call, &carried).await.map_err(|broken| broken.to_string())?;
            let (head, body) = answered.collect().await?;
            if head.status != StatusCode::OK {
                return Err(format!("status {}", head.status.as_u16()));
            }
            let value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
            list::decode(&value).ok_or("not a list".to_owned())
        };
        // The whole list is there at once.
        let wait = if version.is_some() { wait } else { Duration::ZERO };
        let answer = answer.boxed_local();
        Asking { answer, attempt, wait, begun: Instant::now(), connected: None, answered: None }
    }

    /// Follows the list from this version on, for as long as the program runs. Where discovery answers only
    /// those who ask, each watch waits for `begin`: it is the decisions' to say when. Guards against a fleet
    /// that all asks at once, is turned away, and asks again at once.
    pub async fn run(self, mut version: Option<u64>, begin: Option<Rc<Notify>>, news: impl Fn(Option<List>)) {
        let mut calls = Calls { watch: &self, out: Vec::new(), begun: Instant::now() };
        let (mut failing, mut answers) = (false, false);
        // When a list was doubted last: the next one is the answer to it, and is believed. Guards against a
        // doubt that is raised again and again where the calls between fail.
        let mut asked_again: Option<Instant> = None;
        // That answer did not come, and was asked for once more.
        let mut once_more = false;
        // Who leaves by the list that is doubted.
        let mut doubted: Option<List> = None;
        loop {
            if let Some(begin) = &begin {
                begin.notified().await;
            }
            loop {
                let wait = if answers { WAIT } else { SHORT_WAIT };
                match calls.answer(version, wait, doubted.take(), &news).await {
                    Ok(list) => {
                        let is_second = asked_again.take().is_some_and(|at| at.elapsed() < DOUBT);
                        let doubt = list.reason_to_confirm(version).filter(|_| !is_second);
                        if let Some(why) = doubt {
                            tracing::warn!("list {}: {why}, the whole list is asked for", list.version);
                            doubted = list.departures(version);
                            (version, asked_again, once_more) = (None, Some(Instant::now()), false);
                            // What is out asks for changes only.
                            calls.out.clear();
                            actix_rt::time::sleep(PAUSE).await;
                            continue;
                        }
                        if failing {
                            tracing::info!("discovery answers again, list {}", list.version);
                        }
                        (failing, answers) = (false, true);
                        version = Some(list.version);
                        news(Some(list));
                        self.client.sweep();
                    }
                    Err(why) => {
                        if !failing {
                            tracing::warn!("discovery: {why}");
                        }
                        (failing, answers) = (true, false);
                        self.leave_connections();
                        // It did answer a moment ago: no outage that a fleet has to be spread over.
                        if asked_again.is_some() && !once_more {
                            once_more = true;
                            actix_rt::time::sleep(PAUSE).await;
                            continue;
                        }
                        break;
                    }
                }
            }
            match &begin {
                // What was asked for while the watch was on has been had.
                Some(begin) => drop(begin.notified().now_or_never()),
                None => actix_rt::time::sleep(PAUSE).await,
            }
            news(None);
        }
    }
}
