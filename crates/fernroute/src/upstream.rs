//! One upstream: where it runs, the state that the endpoint list reports, and what this balancer has seen of it.

use crate::budgets::TokenBucket;
use crate::circuit_breaker::{CircuitBreaker, OPEN_FOR, WINDOW};
use crate::host::{Time, SECOND};
use crate::latency::Method;
use crate::settings::SlowStartRule;
use crate::slow_start::slow_start_weight;
use crate::statistics::decay;
use std::collections::VecDeque;
use std::rc::Rc;

/// The load that an upstream has from other balancers, by its reports.
#[derive(Clone, Copy)]
struct LoadOfOthers {
    latest: f64,
    /// A moving mean of the reports.
    usual: f64,
    reported_at: Time,
}

/// Latency per queued RPC against the usual one of the method.
#[derive(Clone, Copy)]
struct RelativeLatency {
    ratio: f64,
    updated_at: Time,
}

struct RecentFailure {
    failed_at: Time,
    /// The method, where the failure says nothing about others.
    method: Option<Rc<str>>,
}

/// How long a failure counts as load.
const FAILURE_COUNTS_FOR: Time = OPEN_FOR;

/// The time constant of what the latest report says against the usual one: some responses long.
const LATEST_REPORT_MEMORY: f64 = 0.2 * SECOND as f64;
/// The time constant of what sets one upstream apart from others.
const DIFFERENCE_MEMORY: f64 = 10.0 * SECOND as f64;

/// See the module's description.
#[derive(Default)]
pub(crate) struct Upstream {
    zone: String,
    cell: String,
    kind: String,
    /// The start of its process, as the endpoint list reports it; 0 is long ago.
    reported_start: Time,
    /// The start as it counts here: not far in the future.
    started_at: Time,
    draining: bool,
    /// It leaves the table with its last attempt.
    removed: bool,
    /// Named by the full snapshot that is being read.
    in_snapshot: bool,
    breaker: CircuitBreaker,
    /// By the latest load report.
    utilisation: Option<f64>,
    load_of_others: Option<LoadOfOthers>,
    relative_latency: Option<RelativeLatency>,
    /// When each attempt in flight was sent; emptied by outcomes.
    in_flight_sent_at: Vec<Time>,
    /// At most as many as the breaker's window; emptied by a restart.
    recent_failures: VecDeque<RecentFailure>,
    /// While it warms up, no attempt before this.
    next_slow_start_send_at: Time,
    /// The fleet's grant of half-open trials to it.
    trial_tokens: TokenBucket,
}

impl Upstream {
    /// The kind of upstream: those of one kind have about the same capacity.
    pub(crate) fn kind(&self) -> &str {
        &self.kind
    }

    /// The zone that it runs in.
    pub(crate) fn zone(&self) -> &str {
        &self.zone
    }

    /// The cell that it belongs to.
    pub(crate) fn cell(&self) -> &str {
        &self.cell
    }

    /// Whether the endpoint list reports this start already.
    pub(crate) fn has_reported_start(&self, reported_start: Time) -> bool {
        self.reported_start == reported_start
    }

    /// The start of its process as it counts here.
    pub(crate) fn started_at(&self) -> Time {
        self.started_at
    }

    /// The endpoint list names it as in use.
    pub(crate) fn set_ready(&mut self, zone: &str, cell: &str, kind: &str) {
        (self.in_snapshot, self.draining, self.removed) = (true, false, false);
        (self.zone, self.cell, self.kind) = (zone.to_owned(), cell.to_owned(), kind.to_owned());
    }

    /// A new process runs under its name: nothing learnt of the old one applies, and attempts in flight went to the old one.
    pub(crate) fn restart(&mut self, reported_start: Time, started_at: Time, first_send_at: Time) {
        (self.reported_start, self.started_at) = (reported_start, started_at);
        self.next_slow_start_send_at = first_send_at;
        self.discard_reports();
        self.relative_latency = None;
        self.breaker.reset();
        self.recent_failures.clear();
    }

    /// The endpoint list names it as draining: nothing new is sent at once, without use of a grace period.
    pub(crate) fn set_draining(&mut self) {
        (self.in_snapshot, self.draining) = (true, true);
    }

    /// It has left the endpoint list.
    pub(crate) fn set_removed(&mut self) {
        (self.draining, self.removed) = (true, true);
    }

    /// A snapshot begins, which has not named it yet.
    pub(crate) fn snapshot_started(&mut self) {
        self.in_snapshot = false;
    }

    /// Whether the snapshot has named it.
    pub(crate) fn is_in_snapshot(&self) -> bool {
        self.in_snapshot
    }

    /// Whether it drains or is removed.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether it has left the endpoint list.
    pub(crate) fn is_removed(&self) -> bool {
        self.removed
    }

    /// Whether it has left the endpoint list and no attempt to it is in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.removed && self.in_flight_sent_at.is_empty()
    }

    /// Its circuit breaker.
    pub(crate) fn breaker(&self) -> &CircuitBreaker {
        &self.breaker
    }

    /// Its circuit breaker.
    pub(crate) fn breaker_mut(&mut self) -> &mut CircuitBreaker {
        &mut self.breaker
    }

    /// The fleet's grant of half-open trials to it.
    pub(crate) fn trial_tokens_mut(&mut self) -> &mut TokenBucket {
        &mut self.trial_tokens
    }

    /// The share of its capacity that it has by the time since its start.
    pub(crate) fn slow_start_weight(&self, rule: &SlowStartRule, now: Time) -> f64 {
        slow_start_weight(rule, self.started_at, now)
    }

    /// Whether it takes an attempt now: it is not draining, and slow start does not ask for a pause.
    pub(crate) fn accepts_attempts(&self, rule: &SlowStartRule, now: Time) -> bool {
        let is_paused = now < self.next_slow_start_send_at && self.slow_start_weight(rule, now) < 1.0;
        !self.draining && !is_paused
    }

    /// Sets the earliest moment of the next attempt while it warms up.
    pub(crate) fn delay_next_send(&mut self, next_send_at: Time) {
        self.next_slow_start_send_at = next_send_at;
    }

    /// Counts an attempt that is sent now.
    pub(crate) fn attempt_started(&mut self, now: Time) {
        self.in_flight_sent_at.push(now);
    }

    /// Counts the end of an attempt that was sent at this moment.
    pub(crate) fn attempt_ended(&mut self, sent_at: Time) {
        if let Some(index) = self.in_flight_sent_at.iter().position(|sent| *sent == sent_at) {
            self.in_flight_sent_at.swap_remove(index);
        }
    }

    /// How many attempts of this balancer are in flight to it.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight_sent_at.len()
    }

    /// Remembers a failure: of one method alone, or of all.
    pub(crate) fn record_failure(&mut self, failed_at: Time, method: Option<Rc<str>>) {
        if self.recent_failures.len() == WINDOW {
            self.recent_failures.pop_front();
        }
        self.recent_failures.push_back(RecentFailure { failed_at, method });
    }

    /// The share of its capacity that it uses, by its latest report.
    pub(crate) fn utilisation(&self) -> Option<f64> {
        self.utilisation
    }

    /// Takes the utilisation of a load report.
    pub(crate) fn record_utilisation(&mut self, utilisation: f64) {
        self.utilisation = Some(utilisation);
    }

    /// Takes the load of other balancers from a load report; `mean_of_all` stands for its usual load before the first one.
    pub(crate) fn record_load_of_others(&mut self, load: f64, mean_of_all: f64, now: Time) {
        /// Follows a change within a handful of reports.
        const STEP: f64 = 0.2;
        let usual = self.load_of_others.map_or(mean_of_all, |others| others.usual);
        let usual = usual + STEP * (load - usual);
        self.load_of_others = Some(LoadOfOthers { latest: load, usual, reported_at: now });
    }

    /// Whether it has reported its load within this time.
    pub(crate) fn has_load_report_within(&self, age: Time, now: Time) -> bool {
        self.load_of_others.is_some_and(|others| now < others.reported_at + age)
    }

    /// Drops what load reports have said.
    pub(crate) fn discard_reports(&mut self) {
        (self.utilisation, self.load_of_others) = (None, None);
    }

    /// Attempts of this balancer that count as load: those in flight, overdue ones twice, and recent failures. A failure
    /// may concern one method alone: an upstream may reject one and serve the others.
    fn in_flight_load(&self, method: &Method, now: Time) -> f64 {
        let overdue_after = method.latency().p95 as Time;
        let overdue = self.in_flight_sent_at.iter().filter(|sent_at| **sent_at + overdue_after < now).count();
        let concerns = |failed: &Rc<str>| *failed == method.policy.name;
        let failures = self.recent_failures.iter().filter(|failure| {
            failure.failed_at + FAILURE_COUNTS_FOR > now && failure.method.as_ref().is_none_or(concerns)
        });
        (self.in_flight_sent_at.len() + overdue + failures.count()) as f64
    }

    /// RPCs in flight to it, by its reports and by this balancer's own attempts. Guards against reports that are seconds
    /// old and pass for the present: their weight decays to the mean of all upstreams.
    pub(crate) fn estimated_queue(&self, method: &Method, mean_load_of_others: f64, now: Time) -> f64 {
        let difference = self.load_of_others.map_or(0.0, |others| {
            let age = now - others.reported_at;
            (others.usual - mean_load_of_others) * decay(age, DIFFERENCE_MEMORY)
                + (others.latest - others.usual) * decay(age, LATEST_REPORT_MEMORY)
        });
        self.in_flight_load(method, now) + mean_load_of_others + difference
    }

    /// Its latency per queued RPC against the usual one; 1 where upstreams report no counts to divide by.
    pub(crate) fn relative_latency(&self, has_counts: bool, now: Time) -> f64 {
        let known = self.relative_latency.filter(|_| has_counts);
        known
            .map_or(1.0, |known| 1.0 + (known.ratio - 1.0) * decay(now - known.updated_at, DIFFERENCE_MEMORY))
    }

    /// Takes the relative latency of an attempt. One that did not complete shows no more than a lower bound.
    pub(crate) fn record_relative_latency(
        &mut self,
        ratio: f64,
        completed: bool,
        has_counts: bool,
        now: Time,
    ) {
        /// Small, as the draw raises the chance of single RPCs to a high power.
        const STEP: f64 = 0.1;
        let previous = self.relative_latency(has_counts, now);
        if completed || ratio > previous {
            let ratio = previous + STEP * (ratio - previous);
            self.relative_latency = Some(RelativeLatency { ratio, updated_at: now });
        }
    }
}
