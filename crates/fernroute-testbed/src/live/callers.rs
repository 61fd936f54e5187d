//! Callers: requests, their RPCs and retries, and the outcomes.

use super::Lab;
use crate::demand::RequestSpec;
use crate::scenario::{millis, Effect};
use crate::trace::{Event, FinalAnswer};
use fernroute::Time;
use fernroute_server::routing::clock::{duration, tenths};
use fernroute_test_support::http::Connection;
use rand::RngExt as _;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

impl Lab {
    /// Runs one request of a caller with its retries. `asked` is in scenario time.
    pub(super) async fn request(
        self: Rc<Self>,
        number: u64,
        want: RequestSpec,
        intended: Instant,
        asked: Time,
    ) {
        let m = &self.scenario.method[want.method];
        self.metrics.borrow_mut().record_offered(asked, want.method, m.gain);
        let from = tenths(intended - self.start);
        let hard = from + millis(m.hard_ms);
        let calls = want.calls.iter().map(u32::to_string).collect::<Vec<_>>().join(",");
        for n in 0..=self.scenario.load.retries {
            let count = self.first_tier.borrow().len();
            let position = if n == 0 { want.balancer } else { self.rng.borrow_mut().random_range(0..count) };
            let mut balancer = self.first_tier.borrow()[position];
            if !self.balancer(balancer).alive.get() {
                // The load balancer in front of the first tier picks another live balancer.
                let alive = |n: &usize| self.balancer(*n).alive.get();
                let alive: Vec<usize> = self.first_tier.borrow().iter().copied().filter(alive).collect();
                if alive.is_empty() {
                    break;
                }
                balancer = alive[self.rng.borrow_mut().random_range(0..alive.len())];
            }
            let rpc: Rc<str> = Rc::from(format!("r{number}.{n}"));
            if hard <= self.now() + 10 {
                break;
            }
            let rpc_call = self.send(balancer, &rpc, want.method, want.tenant, hard, want.work, &calls);
            let last = match want.leaves_after {
                None => rpc_call.await,
                Some(share) => {
                    let patience = duration((millis(m.hard_ms) as f64 * share) as Time);
                    // Dropping the call closes its connection.
                    timeout(patience, rpc_call).await.unwrap_or(None)
                }
            };
            let now = asked + self.now().saturating_sub(from);
            match last {
                Some((FinalAnswer::Completed, _)) => {
                    self.metrics.borrow_mut().record_tenant(asked, want.tenant, true);
                    return self.metrics.borrow_mut().record_completed(
                        asked,
                        now,
                        want.method,
                        m.gain,
                        millis(m.soft_ms),
                    );
                }
                Some((FinalAnswer::Exhausted, retry_after)) if n < self.scenario.load.retries => {
                    let backoff = Duration::from_secs_f64(self.scenario.load.backoff_ms / 1000.0);
                    sleep(retry_after.unwrap_or(backoff)).await;
                }
                Some((FinalAnswer::Exhausted, _)) => {
                    self.metrics.borrow_mut().record_tenant(asked, want.tenant, false);
                    return self.metrics.borrow_mut().record_exhausted(asked);
                }
                _ => break,
            }
        }
        self.metrics.borrow_mut().record_tenant(asked, want.tenant, false);
        self.metrics.borrow_mut().record_errored(asked);
    }

    /// Sends an RPC to a balancer. `None` if the connection ended without an answer.
    #[allow(clippy::too_many_arguments)]
    pub(super) async fn send(
        &self,
        number: usize,
        rpc: &Rc<str>,
        method: usize,
        tenant: Option<usize>,
        hard: Time,
        work: Time,
        calls: &str,
    ) -> Option<(FinalAnswer, Option<Duration>)> {
        let (balancer, m) = (self.balancer(number), &self.scenario.method[method]);
        let deadline_ms = hard.saturating_sub(self.now()) / 10;
        let (http_method, key) = match m.effect {
            Effect::Retriable => ("GET", String::new()),
            Effect::Deduped => ("POST", format!("Idempotency-Key: k-{rpc}\r\nContent-Length: 0\r\n")),
            Effect::NonRetriable => ("POST", "Content-Length: 0\r\n".to_owned()),
        };
        let name = &m.name;
        let owner = tenant.map(|tenant| format!("Req-Owner: {}\r\n", self.scenario.tenant[tenant].name));
        let owner = owner.unwrap_or_default();
        let bytes = format!(
            "{http_method} /{name} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {rpc}\r\nReq-Kind: {name}\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
             Lab-Work: {work}\r\nLab-Calls: {calls}\r\n{owner}{key}\r\n"
        );
        self.metrics.borrow_mut().ends.arrived += 1;
        let mut recorder = OutcomeRecorder { lab: self, rpc, last: None, connection_failed: false };
        let idle = balancer.idle.borrow_mut().pop();
        let mut peer = match idle {
            Some(peer) => peer,
            None => {
                let Ok(stream) = TcpStream::connect(balancer.address).await else {
                    recorder.connection_failed = true;
                    return None;
                };
                Connection::new(stream)
            }
        };
        self.open_rpcs.borrow_mut().insert(Rc::clone(rpc), (number, 0));
        self.record(&Event::Arrived {
            rpc: Rc::clone(rpc),
            balancer: number,
            method,
            hard: self.now() + deadline_ms * 10,
            tenant,
        });
        let exchange = async {
            peer.write(bytes.as_bytes()).await.ok()?;
            peer.read().await.ok()?
        };
        // One second past the deadline: a later answer no longer counts.
        let answer_timeout = duration(hard.saturating_sub(self.now())) + Duration::from_secs(1);
        let Ok(Some(message)) = timeout(answer_timeout, exchange).await else {
            recorder.connection_failed = true;
            return None;
        };
        let last = match message.status() {
            // A 200 whose body is not the one made by an upstream for this RPC counts as an error.
            200 if message.body == rpc.as_bytes() => FinalAnswer::Completed,
            429 | 503 => FinalAnswer::Exhausted,
            _ => FinalAnswer::Errored,
        };
        recorder.last = Some(last);
        let retry_after = message.header_number::<f64>("retry-after").filter(|s| s.is_finite() && *s >= 0.0);
        if !message.closes_connection() && balancer.alive.get() {
            balancer.idle.borrow_mut().push(peer);
        }
        Some((last, retry_after.map(Duration::from_secs_f64)))
    }
}

/// Records the outcome of an RPC, also when its caller leaves and the call is dropped.
struct OutcomeRecorder<'a> {
    lab: &'a Lab,
    rpc: &'a Rc<str>,
    last: Option<FinalAnswer>,
    /// Set when the connection ended without an answer.
    connection_failed: bool,
}

impl Drop for OutcomeRecorder<'_> {
    fn drop(&mut self) {
        let open = self.lab.open_rpcs.borrow_mut().remove(self.rpc);
        let ends = &mut self.lab.metrics.borrow_mut().ends;
        let rpc = Rc::clone(self.rpc);
        match self.last {
            Some(last) => {
                match last {
                    FinalAnswer::Completed => ends.completed += 1,
                    FinalAnswer::Exhausted => ends.exhausted += 1,
                    FinalAnswer::Errored => ends.errored += 1,
                }
                self.lab.record(&Event::Answered { rpc, last });
            }
            // The referee reports it as unanswered, unless its balancer has died.
            None if self.connection_failed => ends.lost += 1,
            None => {
                ends.abandoned += 1;
                if open.is_some() {
                    self.lab.record(&Event::CallerLeft { rpc });
                }
            }
        }
    }
}
