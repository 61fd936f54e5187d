//! One upstream: its location, its state in the endpoint list, and what this balancer has observed of it.

use crate::budgets::TokenBucket;
use crate::circuit_breaker::{CircuitBreaker, INITIAL_OPEN_TIME, WINDOW_SIZE};
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
    mean: f64,
    reported_at: Time,
}

/// Latency per queued RPC, relative to the mean of the method.
#[derive(Clone, Copy)]
struct RelativeLatency {
    ratio: f64,
    updated_at: Time,
}

struct RecentFailure {
    failed_at: Time,
    /// The method that the failure concerns; none if it concerns all.
    method: Option<Rc<str>>,
}

/// The time for which a failure counts as load.
const FAILURE_RETENTION: Time = INITIAL_OPEN_TIME;

/// The time constant for the difference between the latest report and the mean of reports: about the latency of some responses.
const LATEST_REPORT_TIME_CONSTANT: f64 = 0.2 * SECOND as f64;
/// The time constant for the difference between one upstream and the mean of all.
const DIFFERENCE_TIME_CONSTANT: f64 = 10.0 * SECOND as f64;

/// See the module's documentation.
#[derive(Default)]
pub(crate) struct Upstream {
    zone: String,
    cell: String,
    kind: String,
    /// The start of its process by the endpoint list; 0 means long ago.
    reported_start: Time,
    /// The start that slow start counts from: limited to the near future.
    started_at: Time,
    draining: bool,
    /// Whether it has left the endpoint list; it leaves the table once no attempt to it is in flight.
    removed: bool,
    /// Whether the snapshot that is being read has named it.
    in_snapshot: bool,
    breaker: CircuitBreaker,
    /// From the latest load report.
    utilisation: Option<f64>,
    load_of_others: Option<LoadOfOthers>,
    relative_latency: Option<RelativeLatency>,
    /// The send times of attempts in flight.
    in_flight_sent_at: Vec<Time>,
    /// At most as many as the breaker's window; cleared by a restart.
    recent_failures: VecDeque<RecentFailure>,
    /// In slow start, the earliest time of the next attempt.
    next_slow_start_send_at: Time,
    /// Tokens for half-open trials to it, where the fleet grants these.
    trial_tokens: TokenBucket,
}

impl Upstream {
    /// Upstreams of one kind have about the same capacity.
    pub(crate) fn kind(&self) -> &str {
        &self.kind
    }

    pub(crate) fn zone(&self) -> &str {
        &self.zone
    }

    pub(crate) fn cell(&self) -> &str {
        &self.cell
    }

    /// Whether the endpoint list has reported this start already.
    pub(crate) fn has_reported_start(&self, reported_start: Time) -> bool {
        self.reported_start == reported_start
    }

    /// The start that slow start counts from.
    pub(crate) fn started_at(&self) -> Time {
        self.started_at
    }

    /// The endpoint list names it as ready.
    pub(crate) fn set_ready(&mut self, zone: &str, cell: &str, kind: &str) {
        (self.in_snapshot, self.draining, self.removed) = (true, false, false);
        (self.zone, self.cell, self.kind) = (zone.to_owned(), cell.to_owned(), kind.to_owned());
    }

    /// A new process has started under this name: what was observed of the old one is dropped.
    pub(crate) fn restart(&mut self, reported_start: Time, started_at: Time, first_send_at: Time) {
        (self.reported_start, self.started_at) = (reported_start, started_at);
        self.next_slow_start_send_at = first_send_at;
        self.discard_reports();
        self.relative_latency = None;
        self.breaker.reset();
        self.recent_failures.clear();
    }

    /// The endpoint list names it as draining: no new attempt is sent from now on, whatever grace period it has.
    pub(crate) fn set_draining(&mut self) {
        (self.in_snapshot, self.draining) = (true, true);
    }

    /// The endpoint list no longer names it.
    pub(crate) fn set_removed(&mut self) {
        (self.draining, self.removed) = (true, true);
    }

    /// A snapshot begins.
    pub(crate) fn snapshot_started(&mut self) {
        self.in_snapshot = false;
    }

    /// Whether the snapshot has named it.
    pub(crate) fn is_in_snapshot(&self) -> bool {
        self.in_snapshot
    }

    /// Whether it is draining or removed.
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

    pub(crate) fn breaker(&self) -> &CircuitBreaker {
        &self.breaker
    }

    pub(crate) fn breaker_mut(&mut self) -> &mut CircuitBreaker {
        &mut self.breaker
    }

    /// Tokens for half-open trials to it, where the fleet grants these.
    pub(crate) fn trial_tokens_mut(&mut self) -> &mut TokenBucket {
        &mut self.trial_tokens
    }

    /// The share of its capacity that it has at this time.
    pub(crate) fn slow_start_weight(&self, rule: &SlowStartRule, now: Time) -> f64 {
        slow_start_weight(rule, self.started_at, now)
    }

    /// Whether an attempt may be sent now: it is not draining, and the interval of slow start is over.
    pub(crate) fn accepts_attempts(&self, rule: &SlowStartRule, now: Time) -> bool {
        let is_paused = now < self.next_slow_start_send_at && self.slow_start_weight(rule, now) < 1.0;
        !self.draining && !is_paused
    }

    /// Sets the earliest time of the next attempt in slow start.
    pub(crate) fn delay_next_send(&mut self, next_send_at: Time) {
        self.next_slow_start_send_at = next_send_at;
    }

    /// Counts an attempt that is sent now.
    pub(crate) fn attempt_started(&mut self, now: Time) {
        self.in_flight_sent_at.push(now);
    }

    /// Counts the end of an attempt that was sent at this time.
    pub(crate) fn attempt_ended(&mut self, sent_at: Time) {
        if let Some(index) = self.in_flight_sent_at.iter().position(|sent| *sent == sent_at) {
            self.in_flight_sent_at.swap_remove(index);
        }
    }

    /// The number of this balancer's attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight_sent_at.len()
    }

    /// Records a failure that concerns one method, or all where `method` is none.
    pub(crate) fn record_failure(&mut self, failed_at: Time, method: Option<Rc<str>>) {
        if self.recent_failures.len() == WINDOW_SIZE {
            self.recent_failures.pop_front();
        }
        self.recent_failures.push_back(RecentFailure { failed_at, method });
    }

    /// The share of its capacity in use, by its latest report.
    pub(crate) fn utilisation(&self) -> Option<f64> {
        self.utilisation
    }

    pub(crate) fn record_utilisation(&mut self, utilisation: f64) {
        self.utilisation = Some(utilisation);
    }

    /// Records the load from other balancers by a load report. `mean_of_all` is the initial value of its moving mean.
    pub(crate) fn record_load_of_others(&mut self, load: f64, mean_of_all: f64, now: Time) {
        /// Adapts to a change within a handful of reports.
        const STEP: f64 = 0.2;
        let mean = self.load_of_others.map_or(mean_of_all, |others| others.mean);
        let mean = mean + STEP * (load - mean);
        self.load_of_others = Some(LoadOfOthers { latest: load, mean, reported_at: now });
    }

    /// Whether it has reported its load within this time.
    pub(crate) fn has_load_report_within(&self, age: Time, now: Time) -> bool {
        self.load_of_others.is_some_and(|others| now < others.reported_at + age)
    }

    /// Drops the values of load reports.
    pub(crate) fn discard_reports(&mut self) {
        (self.utilisation, self.load_of_others) = (None, None);
    }

    /// This balancer's attempts that count as load: those in flight, with overdue ones counted twice, and recent failures. A
    /// rejection counts only for its method, since an upstream may reject one method and serve others.
    fn in_flight_load(&self, method: &Method, now: Time) -> f64 {
        let overdue_after = method.latency().p95 as Time;
        let overdue = self.in_flight_sent_at.iter().filter(|sent_at| **sent_at + overdue_after < now).count();
        let concerns = |failed: &Rc<str>| *failed == method.policy.name;
        let failures = self.recent_failures.iter().filter(|failure| {
            failure.failed_at + FAILURE_RETENTION > now && failure.method.as_ref().is_none_or(concerns)
        });
        (self.in_flight_sent_at.len() + overdue + failures.count()) as f64
    }

    /// The estimated number of RPCs in flight, by load reports and this balancer's own attempts. With the age of the last report the
    /// estimate decays to the mean of all upstreams, since old reports are no evidence of the present load.
    pub(crate) fn estimated_queue(&self, method: &Method, mean_load_of_others: f64, now: Time) -> f64 {
        let difference = self.load_of_others.map_or(0.0, |others| {
            let age = now - others.reported_at;
            (others.mean - mean_load_of_others) * decay(age, DIFFERENCE_TIME_CONSTANT)
                + (others.latest - others.mean) * decay(age, LATEST_REPORT_TIME_CONSTANT)
        });
        self.in_flight_load(method, now) + mean_load_of_others + difference
    }

    /// Its latency per queued RPC relative to the mean; 1 where upstreams report no counts to divide by.
    pub(crate) fn relative_latency(&self, has_counts: bool, now: Time) -> f64 {
        let known = self.relative_latency.filter(|_| has_counts);
        known.map_or(1.0, |known| {
            1.0 + (known.ratio - 1.0) * decay(now - known.updated_at, DIFFERENCE_TIME_CONSTANT)
        })
    }

    /// Records the relative latency of an attempt. For one that did not complete it is only a lower bound.
    pub(crate) fn record_relative_latency(
        &mut self,
        ratio: f64,
        completed: bool,
        has_counts: bool,
        now: Time,
    ) {
        /// Small, since the weight of an upstream is a high power of this, which amplifies the noise of single RPCs.
        const STEP: f64 = 0.1;
        let previous = self.relative_latency(has_counts, now);
        if completed || ratio > previous {
            let ratio = previous + STEP * (ratio - previous);
            self.relative_latency = Some(RelativeLatency { ratio, updated_at: now });
        }
    }
}
