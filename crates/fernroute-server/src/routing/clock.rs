//! The balancer's clock: Unix time read once at start, carried on by a clock that only goes forward.

use fernroute::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Time,
    since: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: tenths(unix), since: Instant::now() }
    }

    pub fn now(&self) -> Time {
        self.started + tenths(self.since.elapsed())
    }
}

/// Whole tenths of a millisecond, rounded down.
pub fn tenths(time: Duration) -> Time {
    (time.as_micros() / 100) as Time
}

pub fn duration(time: Time) -> Duration {
    Duration::from_micros(time.saturating_mul(100))
}
