//! Attempts of an RPC: the rules for each one, and the verdict on the upstream that follows from its outcome.

use crate::circuit_breaker::Verdict;
use crate::host::{Outcome, Time};
use crate::rpcs::{Id, Rpc};
use crate::settings::{Idempotency, ValidatedSettings};
use crate::upstream::Upstream;

/// One attempt of an RPC.
#[derive(Clone)]
pub(crate) struct Attempt {
    /// The upstream that it was sent to, and the zone and cell of that upstream at that time.
    pub(crate) upstream: Id,
    pub(crate) zone: String,
    pub(crate) cell: String,
    pub(crate) sent_at: Time,
    /// The epoch of the upstream's breaker when it was sent.
    pub(crate) breaker_epoch: u32,
    /// Whether it is a half-open trial.
    pub(crate) is_trial: bool,
    /// How many RPCs the upstream was estimated to have in flight when it was sent.
    pub(crate) estimated_queue: f64,
    /// How it ended; none while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// Whether an attempt was sent, or the reason why not.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendResult {
    Sent,
    /// No upstream may take the RPC now.
    NoUpstream,
    /// The response would come too late.
    TooLate,
}

/// Whether the rules permit an attempt of this RPC to this upstream now: the RPC is open and has attempts left, the upstream
/// accepts attempts, and where an earlier attempt may have run, the method's idempotency allows a repeat there.
pub(crate) fn is_permitted(rpc: &Rpc, upstream: &Upstream, settings: &ValidatedSettings, now: Time) -> bool {
    let is_exhausted = rpc.is_in_flight() || rpc.attempts.len() >= settings.max_attempts;
    let is_over = rpc.answered || rpc.attempts_forbidden || now >= rpc.hard_deadline;
    if is_over || is_exhausted || !upstream.accepts_attempts(&settings.slow_start, now) {
        return false;
    }
    let Some(first) = rpc.first_that_may_have_run() else { return true };
    let in_window = rpc.write_deadline(settings.tick).is_none_or(|write_deadline| now < write_deadline);
    match rpc.method.policy.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::DedupedEverywhere => in_window,
        Idempotency::DedupedInZone => in_window && upstream.zone() == first.zone,
        Idempotency::DedupedInCell => in_window && upstream.cell() == first.cell,
        Idempotency::NotIdempotent => false,
    }
}

/// The time-out of the next attempt: short where a retry may follow in time, else all that remains until the hard deadline. The
/// short time-out is for upstreams that serve most RPCs and never answer some, on which no breaker trips.
pub(crate) fn attempt_timeout(
    rpc: &Rpc,
    utilisation: Option<f64>,
    retry_may_follow: bool,
    now: Time,
) -> Time {
    /// As multiples of the 95th percentile: few attempts take longer than the maximum without a fault; the minimum leaves time for
    /// slow ones.
    const MAX_P95_FACTOR: f64 = 2.5;
    const MIN_P95_FACTOR: f64 = 1.5;
    /// Upstreams that are busier are slow because of their load: a time-out would waste the work done.
    const MAX_UTILISATION: f64 = 0.6;
    let latency = rpc.method.latency();
    // The initial value of the percentile affects some hundred attempts, that of the mean some thirty.
    let p95 = latency.p95.min(2.2 * latency.mean);
    let until_retry = rpc.response_deadline as f64 - now as f64 - 1.5 * latency.mean;
    let short = until_retry.min(MAX_P95_FACTOR * p95);
    let is_lightly_loaded = utilisation.is_none_or(|utilisation| utilisation < MAX_UTILISATION);
    let is_short = retry_may_follow && is_lightly_loaded && short >= MIN_P95_FACTOR * p95;
    (if is_short { short as Time } else { Time::MAX }).min(rpc.hard_deadline - now)
}

/// The verdict on the upstream of an attempt, by the outcome, its latency and the mean latency of its method; none where the
/// outcome is no evidence.
pub(crate) fn verdict(outcome: Outcome, latency: Time, mean_latency: f64) -> Option<Verdict> {
    /// The multiple of the mean from which an attempt is slow. Four soft deadlines would lie past
    /// the hard deadline.
    const SLOW_FACTOR: f64 = 3.0;
    /// An error within this share of the mean latency did not come from a dependency.
    const IMMEDIATE_SHARE: f64 = 0.3;
    let is_slow = latency as f64 > SLOW_FACTOR * mean_latency;
    match outcome {
        Outcome::Completed if is_slow => Some(Verdict::Slow),
        Outcome::Completed => Some(Verdict::Success),
        // Cancelled by this balancer, or timed out because the caller had little time left: only slowness is evidence.
        Outcome::Cancelled | Outcome::TimedOut if !is_slow => None,
        Outcome::NotSent => None,
        Outcome::Failed if (latency as f64) >= IMMEDIATE_SHARE * mean_latency => Some(Verdict::Failure),
        Outcome::Rejected | Outcome::Unknown => Some(Verdict::Failure),
        // No response, no connection, a broken connection, or an immediate error.
        _ => Some(Verdict::UpstreamFailure),
    }
}
