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

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a ledger that gives away what a holder with the slowest clock still believes in.
    #[test]
    fn the_ledger_waits_longer_than_the_slowest_holder_whatever_its_own_clock() {
        for length in [1, 9_999, 15_000, 36_000_000] {
            for drift in [0, 1, 200, 10_000] {
                let lease = Lease { length, drift };
                let off = f64::from(drift) / 1e6;
                let holder = length as f64 / (1.0 - off);
                assert!(lease.lapse() as f64 / (1.0 + off) >= holder, "{lease:?}");
                assert!(lease.lapse() <= length + length / 40 + 3, "{lease:?}");
            }
        }
        assert_eq!(Lease { length: 5, drift: 0 }.until(7), 12);
    }
}
