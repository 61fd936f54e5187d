//! The rate of this balancer's attempts, as a decaying count.

use crate::host::{Outcome, Time, SECOND};
use crate::statistics::decay;

/// The time constant of the decay, long enough to average over bursts.
const TIME_CONSTANT: f64 = 10.0 * SECOND as f64;

/// Attempts per second, and those of them that were rejected.
pub(crate) struct SendRate {
    sent_per_second: f64,
    rejected_per_second: f64,
    updated_at: Time,
    first_sent_at: Option<Time>,
}

impl SendRate {
    /// Counts from `now` on.
    pub(crate) fn new(now: Time) -> Self {
        SendRate { sent_per_second: 0.0, rejected_per_second: 0.0, updated_at: now, first_sent_at: None }
    }

    /// Counts an attempt that is sent now.
    pub(crate) fn record_sent(&mut self, now: Time) {
        self.first_sent_at = self.first_sent_at.or(Some(now));
        let remaining = decay(now - self.updated_at, TIME_CONSTANT);
        self.sent_per_second = self.sent_per_second * remaining + SECOND as f64 / TIME_CONSTANT;
        self.rejected_per_second *= remaining;
        self.updated_at = now;
    }

    /// Counts an attempt that has ended as rejected, if the upstream never ran it.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        if outcome.never_ran() {
            self.rejected_per_second += SECOND as f64 / TIME_CONSTANT;
        }
    }

    /// Attempts per second as of the latest one.
    pub(crate) fn sent_per_second(&self) -> f64 {
        self.sent_per_second
    }

    /// Attempts per second that were not rejected.
    pub(crate) fn accepted_per_second(&self) -> f64 {
        (self.sent_per_second - self.rejected_per_second).max(0.0)
    }

    /// Attempts per second, corrected for the short time since the first one: a busy balancer must not count as one of few RPCs in
    /// its first seconds.
    pub(crate) fn corrected_per_second(&self, now: Time) -> f64 {
        let observed = 1.0 - decay(now - self.first_sent_at.unwrap_or(now), TIME_CONSTANT);
        self.sent_per_second / observed.max(0.05)
    }
}
