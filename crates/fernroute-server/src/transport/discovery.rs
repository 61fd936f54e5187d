//! The watch on discovery: long-polls the endpoint list and passes on each answer.
//!
//! Whatever happens to a poll, the next one starts so early that all delays that can add up (a poll without an answer, a
//! connection that is not established, a list that stalls or arrives slowly, an implausible list) sum to less than the six
//! seconds after which a change counts as announced. The sums are in `docs/endings.md`.

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

/// How long discovery may hold a poll until the list changes. Short, since for this long an agent that has failed looks like
/// one without changes.
const POLL_WAIT: Duration = Duration::from_millis(1500);

/// The same for the first poll, and for one after a failure, which only asks whether the agent is up: a failed agent is
/// detected sooner.
const PROBE_WAIT: Duration = Duration::from_millis(100);

/// An agent that is up answers immediately after the wait; this allows for a busy machine.
const ANSWER_GRACE: Duration = Duration::from_millis(700);

/// An answer of which nothing more is received for this long has failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// After this long in which an answer is being received, another poll starts beside it: changes made after the first answer
/// began are in the other one.
const SLOW_ANSWER: Duration = Duration::from_secs(1);

/// A connection within the balancer's machine is established immediately. If not, for example because the accept queue is
/// full, the kernel retries only after a second, so another connection is opened beside it.
const SLOW_CONNECT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Limit for receiving one answer: a list that takes longer is out of date when it is complete.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Limit for concurrent polls. Guards against adding load to a discovery service that is slow because it is overloaded.
const MAX_POLLS: usize = 3;

/// An implausible list that the repeated poll confirms within this time is accepted.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(6);

const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a failed poll, if polls are not started by the decisions, and before a repeated poll. Well below the 200 ms
/// in which a watch must continue, and below any grace period for upstreams that leave.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Limit for an answer, in bytes: a list of about ten thousand upstreams.
const MAX_LIST_BYTES: usize = 4 << 20;

pub struct DiscoveryWatch {
    client: Client,
    agent: SocketAddr,
    agent_client: RefCell<Rc<UpstreamClient>>,
}

/// A poll in progress.
struct Poll {
    answer: LocalBoxFuture<'static, Result<List, String>>,
    attempt: Rc<AttemptState>,
    wait: Duration,
    started: Instant,
    /// When it was first seen to have a connection, and to have received bytes of an answer.
    connected: Option<Instant>,
    answered: Option<Instant>,
}

impl Poll {
    fn update(&mut self) {
        let now = Instant::now();
        if self.attempt.progress() >= AttemptProgress::Connected {
            self.connected.get_or_insert(now);
        }
        if self.attempt.last_received_at().is_some() {
            self.answered.get_or_insert(now);
        }
    }

    /// Judged by progress. The time limit for establishing the connection is the client's.
    fn has_failed(&self) -> bool {
        let stalls = self.attempt.last_received_at().is_some_and(|last| last.elapsed() >= STALL_TIMEOUT);
        match (self.answered, self.connected) {
            (Some(from), _) => stalls || from.elapsed() >= ANSWER_TIMEOUT,
            (None, Some(from)) => from.elapsed() >= self.wait + ANSWER_GRACE,
            (None, None) => false,
        }
    }

    /// The answer may still arrive, but a new poll may bring newer information, or bring it sooner.
    fn is_slow(&self) -> bool {
        match (self.answered, self.connected) {
            (Some(from), _) => from.elapsed() >= SLOW_ANSWER,
            (None, Some(_)) => false,
            (None, None) => self.started.elapsed() >= SLOW_CONNECT,
        }
    }
}

/// The polls in progress, the latest last.
struct Polls<'a> {
    watch: &'a DiscoveryWatch,
    in_progress: Vec<Poll>,
    /// When the latest poll started.
    last_started: Instant,
}

impl Polls<'_> {
    fn poll(&mut self, version: Option<u64>, wait: Duration) {
        self.in_progress.push(self.watch.poll(version, wait));
        self.last_started = Instant::now();
    }

    /// The next complete list. It may belong to an earlier poll; then it is relative to the version known when that poll
    /// started. If the future is dropped, the polls stay in progress.
    async fn next(&mut self, version: Option<u64>, wait: Duration) -> Result<List, String> {
        if self.in_progress.is_empty() {
            self.poll(version, wait);
        }
        loop {
            let answers = select_all(self.in_progress.iter_mut().map(|poll| &mut poll.answer));
            let ended = timeout(CHECK_INTERVAL, answers).await.ok().map(|(answer, n, _)| (answer, n));
            self.in_progress.iter_mut().for_each(Poll::update);
            let mut failed = None;
            match ended {
                Some((Ok(list), n)) => {
                    // Earlier polls have no newer information.
                    self.in_progress.drain(..=n);
                    return Ok(list);
                }
                Some((Err(reason), n)) => {
                    self.in_progress.remove(n);
                    failed = Some(reason);
                }
                None => {}
            }
            let before = self.in_progress.len();
            self.in_progress.retain(|poll| !poll.has_failed());
            if self.in_progress.len() < before {
                failed = failed.or(Some("no answer in time".to_owned()));
            }
            // A remaining poll without a connection does not count.
            if let Some(reason) =
                failed.filter(|_| self.in_progress.iter().all(|poll| poll.connected.is_none()))
            {
                self.in_progress.clear();
                return Err(reason);
            }
            let is_slow = self.in_progress.last().is_some_and(Poll::is_slow)
                && self.last_started.elapsed() >= SLOW_CONNECT;
            if is_slow && self.in_progress.len() < MAX_POLLS {
                self.watch.abandon_connections();
                self.poll(version, wait);
            }
        }
    }

    /// The same after an implausible list. If no answer arrives in time, or the poll fails, the departures in that list are
    /// accepted: they were announced.
    async fn answer(
        &mut self,
        version: Option<u64>,
        wait: Duration,
        implausible: Option<List>,
        on_update: impl Fn(Option<List>),
    ) -> Result<List, String> {
        let Some(departures) = implausible else { return self.next(version, wait).await };
        let in_time = timeout(RETRY_PAUSE, self.next(version, wait)).await;
        if let Ok(Ok(list)) = in_time {
            return Ok(list);
        }
        on_update(Some(departures));
        match in_time {
            Ok(failed) => failed,
            Err(_) => self.next(version, wait).await,
        }
    }
}

impl DiscoveryWatch {
    pub fn new(agent: SocketAddr) -> Self {
        // The concurrent polls, and one connection that is being closed.
        let client = Client::new(CONNECT_TIMEOUT, Duration::from_secs(10), MAX_POLLS + 1, MAX_LIST_BYTES);
        let client = client.without_reuse_delay();
        DiscoveryWatch { agent_client: RefCell::new(Rc::new(client.upstream(agent))), agent, client }
    }

    /// Abandons the pooled connections. Guards against an agent that has restarted while the connections to the previous one
    /// fail silently, one after another.
    fn abandon_connections(&self) {
        self.agent_client.replace(Rc::new(self.client.upstream(self.agent)));
    }

    fn poll(&self, version: Option<u64>, wait: Duration) -> Poll {
        let query = version.map_or(String::new(), |v| format!("?index={v}&wait={}", wait.as_millis()));
        let request = UpstreamRequest {
            method: Method::GET,
            uri: format!("http://{}{}{query}", self.agent, names::LIST_PATH),
            headers: HeaderMap::new(),
            body: Body::Buffered(Bytes::new()),
            new_connection: false,
        };
        let attempt = Rc::<AttemptState>::default();
        let (agent_client, polled_attempt) = (Rc::clone(&self.agent_client.borrow()), Rc::clone(&attempt));
        let answer = async move {
            let answer =
                agent_client.send(request, &polled_attempt).await.map_err(|error| error.to_string())?;
            let (head, body) = answer.collect().await?;
            if head.status != StatusCode::OK {
                return Err(format!("HTTP status {}", head.status.as_u16()));
            }
            let value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
            list::decode(&value).ok_or("invalid endpoint list".to_owned())
        };
        // A request for the whole list is answered without a wait.
        let wait = if version.is_some() { wait } else { Duration::ZERO };
        let answer = answer.boxed_local();
        Poll { answer, attempt, wait, started: Instant::now(), connected: None, answered: None }
    }

    /// Follows the list from `version` on, for as long as the program runs. If `start_signal` is given, each series of polls
    /// waits for it, because the decisions choose the time. Guards against a fleet whose members all poll at once, are
    /// refused, and poll again at once.
    pub async fn run(
        self,
        mut version: Option<u64>,
        start_signal: Option<Rc<Notify>>,
        on_update: impl Fn(Option<List>),
    ) {
        let mut polls = Polls { watch: &self, in_progress: Vec::new(), last_started: Instant::now() };
        let (mut failing, mut is_up) = (false, false);
        // When the last implausible list came. The list after it is the answer to the repeated poll, and is accepted. Guards
        // against rejecting lists indefinitely while the polls in between fail.
        let mut repeated_at: Option<Instant> = None;
        // Whether that repeated poll failed and has been sent once more.
        let mut repeat_retried = false;
        // The departures in the implausible list.
        let mut departures: Option<List> = None;
        loop {
            if let Some(start_signal) = &start_signal {
                start_signal.notified().await;
            }
            loop {
                let wait = if is_up { POLL_WAIT } else { PROBE_WAIT };
                match polls.answer(version, wait, departures.take(), &on_update).await {
                    Ok(list) => {
                        let is_confirmed =
                            repeated_at.take().is_some_and(|at| at.elapsed() < CONFIRMATION_PERIOD);
                        let implausible = list.reason_to_confirm(version).filter(|_| !is_confirmed);
                        if let Some(reason) = implausible {
                            tracing::warn!(
                                "endpoint list {} is implausible: {reason}; requesting the whole list",
                                list.version
                            );
                            departures = list.departures(version);
                            (version, repeated_at, repeat_retried) = (None, Some(Instant::now()), false);
                            // Polls in progress ask for changes only.
                            polls.in_progress.clear();
                            actix_rt::time::sleep(RETRY_PAUSE).await;
                            continue;
                        }
                        if failing {
                            tracing::info!("discovery answers again, endpoint list version {}", list.version);
                        }
                        (failing, is_up) = (false, true);
                        version = Some(list.version);
                        on_update(Some(list));
                        self.client.sweep();
                    }
                    Err(reason) => {
                        if !failing {
                            tracing::warn!("discovery poll failed: {reason}");
                        }
                        (failing, is_up) = (true, false);
                        self.abandon_connections();
                        // Discovery answered a moment ago, so this is no outage over which a fleet must spread its polls.
                        if repeated_at.is_some() && !repeat_retried {
                            repeat_retried = true;
                            actix_rt::time::sleep(RETRY_PAUSE).await;
                            continue;
                        }
                        break;
                    }
                }
            }
            match &start_signal {
                // Discards a signal that came during the polls: what it asked for has been received.
                Some(start_signal) => drop(start_signal.notified().now_or_never()),
                None => actix_rt::time::sleep(RETRY_PAUSE).await,
            }
            on_update(None);
        }
    }
}
