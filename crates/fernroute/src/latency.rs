//! Latency estimates of each method, and the soft deadlines of RPCs.

use crate::host::{Time, SECOND};
use crate::settings::{MethodPolicy, ValidatedSettings};
use std::cell::Cell;

/// Moving estimates of the latency of one method's attempts, in [`Time`] units.
#[derive(Clone, Copy)]
pub(crate) struct LatencyEstimate {
    /// The mean of completed attempts.
    pub(crate) mean: f64,
    /// The 95th percentile of all attempts; never less than the mean.
    pub(crate) p95: f64,
    /// The mean latency of completed attempts, divided by the number of RPCs that the upstream was estimated to have in flight.
    pub(crate) per_queued: f64,
    /// The longest time-out that a caller has given.
    longest_caller_timeout: Time,
}

impl LatencyEstimate {
    /// The estimates before any attempt has completed.
    fn initial(policy: &MethodPolicy) -> Self {
        let expected = policy.soft_deadline.unwrap_or(SECOND) as f64;
        LatencyEstimate {
            mean: expected * 0.2,
            p95: expected * 0.5,
            per_queued: expected * 0.2,
            longest_caller_timeout: 0,
        }
    }

    /// Records an attempt that has ended; returns its latency per queued RPC relative to the mean.
    fn record(&mut self, latency: f64, estimated_queue: f64, completed: bool) -> f64 {
        /// An attempt that is in flight for longer than this quantile counts as overdue.
        const QUANTILE: f64 = 0.95;
        /// Adapts to a change of load within some thirty attempts.
        const STEP: f64 = 0.03;
        let per_queued = latency / (1.0 + estimated_queue);
        if completed {
            self.mean += STEP * (latency - self.mean);
            self.per_queued += STEP * (per_queued - self.per_queued);
        }
        let step = if latency > self.p95 { QUANTILE } else { QUANTILE - 1.0 };
        if completed || latency > self.p95 {
            self.p95 *= 1.0 + STEP * step;
        }
        self.p95 = self.p95.max(self.mean);
        (per_queued / self.per_queued.max(1.0)).clamp(0.2, 10.0)
    }
}

/// A method with its policy and its recent latency.
pub(crate) struct Method {
    pub(crate) policy: MethodPolicy,
    latency: Cell<LatencyEstimate>,
}

impl Method {
    /// Creates a method that takes over the estimates of `previous`, the method of that name in earlier settings.
    pub(crate) fn new(policy: &MethodPolicy, previous: Option<&Method>) -> Self {
        let latency = previous.map_or_else(|| LatencyEstimate::initial(policy), Method::latency);
        Method { policy: policy.clone(), latency: Cell::new(latency) }
    }

    pub(crate) fn latency(&self) -> LatencyEstimate {
        self.latency.get()
    }

    /// Records an attempt that has ended; returns its latency per queued RPC relative to the mean.
    pub(crate) fn record_attempt(&self, latency: Time, estimated_queue: f64, completed: bool) -> f64 {
        let mut estimate = self.latency.get();
        let relative_latency = estimate.record(latency as f64, estimated_queue, completed);
        self.latency.set(estimate);
        relative_latency
    }

    /// The soft deadline of an RPC that arrives now. A caller's own retries share one soft deadline, and each has a shorter
    /// time-out: what remains of the soft deadline follows from how much shorter than the longest time-out it is.
    pub(crate) fn soft_deadline(
        &self,
        now: Time,
        caller_timeout: Time,
        settings: &ValidatedSettings,
    ) -> Time {
        let mut estimate = self.latency.get();
        estimate.longest_caller_timeout = estimate.longest_caller_timeout.max(caller_timeout);
        self.latency.set(estimate);
        let is_cut = caller_timeout + 2 * settings.tick < estimate.longest_caller_timeout;
        match (self.policy.soft_deadline, self.policy.hard_deadline) {
            (Some(soft), Some(hard)) if settings.tier == 0 && is_cut => {
                now.max((now + caller_timeout + soft).saturating_sub(hard)).min(now + caller_timeout)
            }
            (Some(soft), _) if settings.tier == 0 => now + soft.min(caller_timeout),
            _ => now + caller_timeout,
        }
    }
}
