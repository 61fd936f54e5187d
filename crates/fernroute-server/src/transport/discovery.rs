//! The watch on discovery: one call after another, each answer handed on.

use super::client::{Body, Call, Client, Line};
use super::outbound::Course;
use crate::protocol::list::{self, List};
use crate::protocol::names;
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt as _;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// How long a call may wait for news. Short, since what a silent agent has to tell counts as told 2 s after.
const WAIT: Duration = Duration::from_secs(2);

/// An agent that is up answers at once after that: a little more is for a busy machine.
const GRACE: Duration = Duration::from_secs(1);

/// Whatever trickles in, what it says is old by then.
const LONGEST: Duration = Duration::from_secs(10);

const LOOK: Duration = Duration::from_millis(100);

/// After a call that brought nothing, where news come unasked, or brought what must be asked for again: well within
/// the 200 ms in which a watch must go on, and within any grace for upstreams that leave.
const PAUSE: Duration = Duration::from_millis(50);

/// A list of some ten thousand upstreams.
const MOST_LIST: usize = 4 << 20;

pub struct Watch {
    client: Client,
    line: Line,
}

impl Watch {
    pub fn new(agent: SocketAddr) -> Self {
        // Half a second is ages on the balancer's own machine; two connections, of which one is dying.
        let client = Client::new(Duration::from_millis(500), Duration::from_secs(10), 4, MOST_LIST);
        let client = client.without_rest();
        Watch { line: client.line(agent), client }
    }

    async fn ask(&self, version: Option<u64>) -> Result<List, String> {
        let query = version.map_or(String::new(), |v| format!("?index={v}&wait={}", WAIT.as_millis()));
        let call = Call {
            verb: Method::GET,
            uri: format!("http://{}{}{query}", self.line.address, names::LIST_PATH),
            headers: HeaderMap::new(),
            body: Body::Whole(Bytes::new()),
            fresh: false,
        };
        let course = Rc::<Course>::default();
        // The whole list is there at once.
        let wait = if version.is_some() { WAIT } else { Duration::ZERO };
        let mut answer = pin!(async {
            let answered = self.line.call(call, &course).await.map_err(|broken| broken.to_string())?;
            answered.whole().await
        });
        // Judged by progress: a list that trickles comes whole in the end, and is asked for once.
        let from = Instant::now();
        let (head, body) = loop {
            if let Ok(answer) = timeout(LOOK, &mut answer).await {
                break answer?;
            }
            let silent = match course.heard_at() {
                Some(at) => at.elapsed() >= GRACE,
                None => from.elapsed() >= wait + GRACE,
            };
            if silent || from.elapsed() >= LONGEST {
                return Err("silent".to_owned());
            }
        };
        if head.status != StatusCode::OK {
            return Err(format!("status {}", head.status.as_u16()));
        }
        let value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        list::decode(&value).ok_or("not a list".to_owned())
    }

    /// The same after a list that was doubted: told is told, and where no answer comes in time those count that leave by it.
    async fn answer(
        &self,
        version: Option<u64>,
        doubted: Option<List>,
        news: impl Fn(Option<List>),
    ) -> Result<List, String> {
        let Some(leaving) = doubted else { return self.ask(version).await };
        let mut asked = pin!(self.ask(version));
        let early = timeout(PAUSE, &mut asked).await;
        if let Ok(Ok(list)) = early {
            return Ok(list);
        }
        news(Some(leaving));
        match early {
            Ok(failed) => failed,
            Err(_) => asked.await,
        }
    }

    /// Follows the list from this version on, for as long as the program runs. Where discovery answers only
    /// those who ask, each watch waits for `begin`: it is the decisions' to say when. Guards against a fleet
    /// that all asks at once, is turned away, and asks again at once.
    pub async fn run(self, mut version: Option<u64>, begin: Option<Rc<Notify>>, news: impl Fn(Option<List>)) {
        let mut failing = false;
        // The next list is the answer to a doubt: it is believed.
        let mut asked_again = false;
        // Who leaves by the list that is doubted.
        let mut doubted: Option<List> = None;
        loop {
            if let Some(begin) = &begin {
                begin.notified().await;
            }
            loop {
                let answer = self.answer(version, doubted.take(), &news).await;
                match answer {
                    Ok(list) => {
                        let doubt = list.doubtful(version).filter(|_| !asked_again);
                        asked_again = doubt.is_some();
                        if let Some(why) = doubt {
                            tracing::warn!("list {}: {why}, the whole list is asked for", list.version);
                            doubted = list.leaving(version);
                            version = None;
                            actix_rt::time::sleep(PAUSE).await;
                            continue;
                        }
                        if failing {
                            tracing::info!("discovery answers again, list {}", list.version);
                        }
                        failing = false;
                        version = Some(list.version);
                        news(Some(list));
                        self.client.sweep();
                    }
                    Err(why) => {
                        if !failing {
                            tracing::warn!("discovery: {why}");
                        }
                        (failing, asked_again) = (true, false);
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
