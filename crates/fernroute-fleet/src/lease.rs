//! How long a grant or a duty may be used: by its holder's clock, and by the clock of the leader that granted
//! it.
//!
//! The holder stops at [`Lease::expires_at`], counted from when it sent the request. The leader grants the
//! same to another holder only [`Lease::expires_after`] the arrival of the holder's last request. Used by
//! [`crate::leader`] for grants and by [`crate::duties::leader`] for duties.

use fernroute::Time;
use serde::{Deserialize, Serialize};

/// A time-limited right.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Counted by the holder, from when it sent the request, by its own clock.
    #[serde(rename = "length")]
    pub duration: Time,
    /// The bound on the error of any clock's rate, in parts per million.
    #[serde(rename = "drift")]
    pub drift_ppm: u32,
}

const PARTS_PER_MILLION: u64 = 1_000_000;

/// Clocks are read in whole ticks, so the readings of an earlier and a later moment are each up to one tick
/// short.
const ROUNDING_TICKS: Time = 2;

impl Lease {
    /// When the holder of a lease that was requested at `requested_at` stops, by the holder's clock.
    pub fn expires_at(&self, requested_at: Time) -> Time {
        requested_at.saturating_add(self.duration)
    }

    /// For how long after the holder's last request arrived the lease may still be in use, by the leader's
    /// clock.
    ///
    /// The holder sent its request before the leader received it. `duration` of the holder's clock is at most
    /// `duration / (1 - drift_ppm)` of time, in which the leader's clock counts at most
    /// `duration * (1 + drift_ppm) / (1 - drift_ppm)`.
    pub fn expires_after(&self) -> Time {
        let drift_ppm = u64::from(self.drift_ppm);
        let slowest_rate = PARTS_PER_MILLION - drift_ppm.min(PARTS_PER_MILLION / 2);
        let fastest_rate = PARTS_PER_MILLION + drift_ppm;
        let max_duration = u128::from(self.duration) * u128::from(fastest_rate);
        max_duration.div_ceil(u128::from(slowest_rate)) as Time + ROUNDING_TICKS
    }
}
