//! Attempts of an RPC: the rules that each one must keep, and what its outcome says of the upstream.

use crate::circuit_breaker::Verdict;
use crate::host::{Outcome, Time};
use crate::rpcs::{Id, Rpc};
use crate::settings::{Idempotency, ValidatedSettings};
use crate::upstream::Upstream;

/// One attempt of a rpc.
#[derive(Clone)]
pub(crate) struct Attempt {
    /// Where it was sent, and the zone and cell of that upstream then.
    pub(crate) upstream: Id,
    pub(crate) zone: String,
    pub(crate) cell: String,
    /// When it was sent.
    pub(crate) sent_at: Time,
    /// The epoch of the upstream's breaker then.
    pub(crate) breaker_epoch: u32,
    /// Whether it is a trial of a half-open breaker.
    pub(crate) is_trial: bool,
    /// How many RPCs the upstream was estimated to have in flight then.
    pub(crate) estimated_queue: f64,
    /// How it ended; none while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether it has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// Whether an attempt was sent; if not, why.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendResult {
    /// It was sent.
    Sent,
    /// No upstream may get it now.
    NoUpstream,
    /// Its response would come too late.
    TooLate,
}

/// Whether the rules permit an attempt of this RPC to this upstream now: the RPC is open and has attempts left, the
/// upstream accepts some, and where an earlier attempt may have run, the method's idempotency allows a repeat there.
pub(crate) fn is_permitted(rpc: &Rpc, upstream: &Upstream, settings: &ValidatedSettings, now: Time) -> bool {
    let is_exhausted = rpc.is_in_flight() || rpc.attempts.len() >= settings.max_attempts;
    let is_over = rpc.answered || now >= rpc.hard_deadline;
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

/// The time-out of the next attempt: short where a retry may follow in time, else what remains of the RPC's time. Guards
/// against upstreams that serve most RPCs and never answer some: no breaker trips on those.
pub(crate) fn attempt_timeout(
    rpc: &Rpc,
    utilisation: Option<f64>,
    retry_may_follow: bool,
    now: Time,
) -> Time {
    /// Multiples of the 95th percentile: few attempts take so long without a fault; the least that leaves time for slow ones.
    const MAX_P95_FACTOR: f64 = 2.5;
    const MIN_P95_FACTOR: f64 = 1.5;
    /// Busier upstreams are slow because they are busy: a time-out would waste what they have done.
    const MAX_UTILISATION: f64 = 0.6;
    let latency = rpc.method.latency();
    // The initial value of the percentile takes some hundred attempts to wear off, that of the mean some thirty.
    let p95 = latency.p95.min(2.2 * latency.mean);
    let until_retry = rpc.response_deadline as f64 - now as f64 - 1.5 * latency.mean;
    let short = until_retry.min(MAX_P95_FACTOR * p95);
    let is_calm = utilisation.is_none_or(|utilisation| utilisation < MAX_UTILISATION);
    let is_short = retry_may_follow && is_calm && short >= MIN_P95_FACTOR * p95;
    (if is_short { short as Time } else { Time::MAX }).min(rpc.hard_deadline - now)
}

/// What the outcome of an attempt says of its upstream, by its latency and the mean latency of its method; none where it says
/// nothing.
pub(crate) fn verdict(outcome: Outcome, latency: Time, mean_latency: f64) -> Option<Verdict> {
    /// Slow is more than this many means: four soft deadlines would lie past the hard one.
    const SLOW_FACTOR: f64 = 3.0;
    /// An error that comes in less than this part of the mean was not waited for at a dependency.
    const IMMEDIATE_SHARE: f64 = 0.3;
    let is_slow = latency as f64 > SLOW_FACTOR * mean_latency;
    match outcome {
        Outcome::Completed if is_slow => Some(Verdict::Slow),
        Outcome::Completed => Some(Verdict::Success),
        // Cancelled by this balancer, or cut to the caller's remaining time: only slowness is evidence.
        Outcome::Cancelled | Outcome::TimedOut if !is_slow => None,
        Outcome::NotSent => None,
        Outcome::Failed if (latency as f64) >= IMMEDIATE_SHARE * mean_latency => Some(Verdict::Failure),
        Outcome::Rejected | Outcome::Unknown => Some(Verdict::Failure),
        // Silence, no connection, a broken one, or an immediate error.
        _ => Some(Verdict::UpstreamFailure),
    }
}
