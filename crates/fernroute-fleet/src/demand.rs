//! What a member could use of a budget, told by what was asked of it lately.

use crate::MilliUnits;
use fernroute::host::SECOND;
use fernroute::Time;

/// A rate, from counts that fade.
#[derive(Clone, Debug)]
struct Rate {
    memory: f64,
    count: f64,
    at: Time,
    /// How much of its memory it has seen, against all of it, is told by when it began.
    begun: Time,
}

impl Rate {
    fn count(&mut self, now: Time) {
        self.count = self.kept(now) + 1.0;
        self.at = now;
    }

    fn kept(&self, now: Time) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / self.memory).exp()
    }

    /// A second; the time before it began counts for nothing.
    fn rate(&self, now: Time) -> f64 {
        let seen = 1.0 - (-(now.saturating_sub(self.begun) as f64) / self.memory).exp();
        self.kept(now) * SECOND as f64 / (self.memory * seen.max(0.05))
    }
}

/// Tells a change within about a second, and a steady rate to a few percent: two memories, of which the long one starts
/// anew from the short one where they differ by more than chance would have them. Guards against a division anew for
/// each bunch of RPCs, and against shares sized by one.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    short: Rate,
    long: Rate,
}

const SHORT: f64 = SECOND as f64;
const LONG: f64 = 10.0 * SECOND as f64;

impl DemandMeter {
    pub fn new(now: Time) -> Self {
        let rate = |memory| Rate { memory, count: 0.0, at: now, begun: now };
        DemandMeter { short: rate(SHORT), long: rate(LONG) }
    }

    pub fn count(&mut self, now: Time) {
        self.short.count(now);
        self.long.count(now);
    }

    /// A second, in thousandths.
    pub fn demand(&mut self, now: Time) -> MilliUnits {
        /// In standard deviations: less comes by chance too often with several looks a second.
        const SURE: f64 = 3.0;
        let (short, long) = (self.short.rate(now), self.long.rate(now));
        // Of a count that fades over a second, at this rate.
        let chance = (long.max(1.0) / 2.0).sqrt();
        if (short - long).abs() <= SURE * chance {
            return (long * 1000.0) as MilliUnits;
        }
        // As if the short memory's second were all that was seen.
        let seen = SHORT.min(now.saturating_sub(self.short.begun) as f64);
        self.long.begun = now - seen as Time;
        (self.long.count, self.long.at) = (short * LONG / SECOND as f64 * (1.0 - (-seen / LONG).exp()), now);
        (short * 1000.0) as MilliUnits
    }
}
