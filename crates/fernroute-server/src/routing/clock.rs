//! The balancer's clock: Unix time read once at start, advanced by the monotonic clock.

use fernroute::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Time,
    started: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: tenths(unix), started: Instant::now() }
    }

    pub fn now(&self) -> Time {
        self.started_at + tenths(self.started.elapsed())
    }
}

/// Whole tenths of a millisecond, rounded down.
pub fn tenths(time: Duration) -> Time {
    (time.as_micros() / 100) as Time
}

pub fn duration(time: Time) -> Duration {
    Duration::from_micros(time.saturating_mul(100))
}
