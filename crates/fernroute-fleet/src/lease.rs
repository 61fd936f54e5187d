//! How long a promise holds: for its holder by the holder's clock, for the ledger by the leader's.

use fernroute::Time;
use serde::{Deserialize, Serialize};

/// A promise that ends by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder counts it from when it asked, by its own clock.
    pub length: Time,
    /// The bound on how far the rate of any clock is off, in millionths: a second of a clock is between 1 - drift and
    /// 1 + drift seconds.
    pub drift: u32,
}

const MILLION: u64 = 1_000_000;

/// Clocks are read in whole ticks: the reading of an earlier moment and that of a later one are each up to one short.
const TICKS: Time = 2;

impl Lease {
    /// When the holder of a promise that it asked for at `asked` stops to believe in it.
    pub fn until(&self, asked: Time) -> Time {
        asked.saturating_add(self.length)
    }

    /// For so long after the leader last heard of the holder, by the leader's own clock, the holder may believe in it.
    ///
    /// The holder asked before the leader heard of it. It counts `length` of its clock, which is at most
    /// `length / (1 - drift)` of time, and in that time the leader's clock counts at most
    /// `length * (1 + drift) / (1 - drift)`.
    pub fn lapse(&self) -> Time {
        let (slow, fast) =
            (MILLION - u64::from(self.drift).min(MILLION / 2), MILLION + u64::from(self.drift));
        let most = u128::from(self.length) * u128::from(fast);
        most.div_ceil(u128::from(slow)) as Time + TICKS
    }
}
