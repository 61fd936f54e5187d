//! How long a promise holds: for its holder by the holder's clock, for the ledger by the leader's.

use fernroute::Time;
use serde::{Deserialize, Serialize};

/// A promise that ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder counts it from when it asked, by its own clock.
    #[serde(rename = "length")]
    pub duration: Time,
    /// The bound on how far the rate of any clock is off, in millionths: a second of a clock is between 1 - drift_ppm and
    /// 1 + drift_ppm seconds.
    #[serde(rename = "drift")]
    pub drift_ppm: u32,
}

const MILLION: u64 = 1_000_000;

/// Clocks are read in whole ticks: the reading of an earlier moment and that of a later one are each up to one short.
const TICKS: Time = 2;

impl Lease {
    /// When the holder of a promise that it asked for at `asked` stops to believe in it.
    pub fn expires_at(&self, asked: Time) -> Time {
        asked.saturating_add(self.duration)
    }

    /// For so long after the leader last heard of the holder, by the leader's own clock, the holder may believe in it.
    ///
    /// The holder asked before the leader heard of it. It counts `duration` of its clock, which is at most
    /// `duration / (1 - drift_ppm)` of time, and in that time the leader's clock counts at most
    /// `duration * (1 + drift_ppm) / (1 - drift_ppm)`.
    pub fn expires_after(&self) -> Time {
        let (slow, fast) =
            (MILLION - u64::from(self.drift_ppm).min(MILLION / 2), MILLION + u64::from(self.drift_ppm));
        let most = u128::from(self.duration) * u128::from(fast);
        most.div_ceil(u128::from(slow)) as Time + TICKS
    }
}
