//! Estimates how much of a budget a member could use, from its recent requests.
//!
//! The balancer's dispatcher counts each request in a [`DemandMeter`]; its fleet task reports the result in
//! heartbeats.
//!
//! Two rates are kept. The long one is precise to a few percent while the demand is steady. Where the short
//! one differs from it by more than chance explains, the demand has changed, and the long one starts again
//! from the short one. Guards against a new division for each burst of requests, and against quotas sized by
//! one.

use crate::MilliUnits;
use fernroute::host::SECOND;
use fernroute::Time;

const SHORT_TIME_CONSTANT: f64 = SECOND as f64;
const LONG_TIME_CONSTANT: f64 = 10.0 * SECOND as f64;

/// A lower bound of the observed part of the time constant. Guards against an unbounded rate right after the
/// start.
const MIN_OBSERVED_FRACTION: f64 = 0.05;

/// How far the two rates may differ, in standard deviations: a smaller number is exceeded by chance too
/// often, since the rates are compared several times a second.
const MAX_DEVIATIONS: f64 = 3.0;

/// A rate from an exponentially decaying count.
#[derive(Clone, Debug)]
struct DecayingRate {
    /// In ticks, as [`Time`].
    time_constant: f64,
    count: f64,
    counted_at: Time,
    started_at: Time,
}

impl DecayingRate {
    fn new(now: Time, time_constant: f64) -> Self {
        DecayingRate { time_constant, count: 0.0, counted_at: now, started_at: now }
    }

    fn count(&mut self, now: Time) {
        self.count = self.decayed_count(now) + 1.0;
        self.counted_at = now;
    }

    fn decayed_count(&self, now: Time) -> f64 {
        self.count * (-(now.saturating_sub(self.counted_at) as f64) / self.time_constant).exp()
    }

    /// Per second; corrected for the time before the start, in which nothing was counted.
    fn per_second(&self, now: Time) -> f64 {
        let observed = 1.0 - (-(now.saturating_sub(self.started_at) as f64) / self.time_constant).exp();
        let observed = observed.max(MIN_OBSERVED_FRACTION);
        self.decayed_count(now) * SECOND as f64 / (self.time_constant * observed)
    }

    /// Starts again as if `per_second` had been observed for `observed_ticks`.
    fn restart(&mut self, now: Time, per_second: f64, observed_ticks: f64) {
        let observed = 1.0 - (-observed_ticks / self.time_constant).exp();
        self.started_at = now - observed_ticks as Time;
        self.count = per_second * self.time_constant / SECOND as f64 * observed;
        self.counted_at = now;
    }
}

/// Estimates the demand for one budget.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    short: DecayingRate,
    long: DecayingRate,
}

impl DemandMeter {
    /// A meter that starts at `now`.
    pub fn new(now: Time) -> Self {
        DemandMeter {
            short: DecayingRate::new(now, SHORT_TIME_CONSTANT),
            long: DecayingRate::new(now, LONG_TIME_CONSTANT),
        }
    }

    /// Counts one request.
    pub fn count(&mut self, now: Time) {
        self.short.count(now);
        self.long.count(now);
    }

    /// The demand per second.
    pub fn demand(&mut self, now: Time) -> MilliUnits {
        let (short, long) = (self.short.per_second(now), self.long.per_second(now));
        // The standard deviation of a count that decays over one second, at this rate.
        let deviation = (long.max(1.0) / 2.0).sqrt();
        if (short - long).abs() <= MAX_DEVIATIONS * deviation {
            return (long * 1000.0) as MilliUnits;
        }
        let observed_ticks = SHORT_TIME_CONSTANT.min(now.saturating_sub(self.short.started_at) as f64);
        self.long.restart(now, short, observed_ticks);
        (short * 1000.0) as MilliUnits
    }
}
