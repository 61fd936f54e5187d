//! Follows the endpoint list: by a watch, or by polls until one is established.
//!
//! A failed watch schedules a poll after a backoff with jitter. Only one poll is pending at a time: polls are numbered, and the
//! timer of an earlier poll does nothing.

use crate::host::{Host, Time, Timer, SECOND};
use nanorand::{Rng, WyRand};

/// See the module's documentation.
#[derive(Default)]
pub(crate) struct EndpointWatch {
    polls: u32,
    is_established: bool,
    consecutive_failures: u32,
    in_full_snapshot: bool,
}

/// Short enough for two polls within the time in which the list must be known.
const MAX_BACKOFF: Time = 5 * SECOND / 4;

impl EndpointWatch {
    /// Whether updates of the endpoint list arrive.
    pub(crate) fn is_established(&self) -> bool {
        self.is_established
    }

    /// The watch or a poll has failed.
    pub(crate) fn failed(&mut self) {
        self.is_established = false;
        self.consecutive_failures += 1;
    }

    /// An update of the list begins: a full snapshot, or changes.
    pub(crate) fn snapshot_started(&mut self, is_full: bool) {
        self.in_full_snapshot = is_full;
    }

    /// Whether the present update is a full snapshot.
    pub(crate) fn is_full_snapshot(&self) -> bool {
        self.in_full_snapshot
    }

    /// A current update is complete.
    pub(crate) fn established(&mut self) {
        (self.is_established, self.consecutive_failures) = (true, 0);
    }

    /// Schedules the next poll within a twentieth of `poll_within`, which spreads the polls of balancers that start at the same
    /// time. Each failure doubles the backoff, up to a limit. Does nothing where the list is not polled.
    pub(crate) fn schedule_poll(
        &mut self,
        host: &mut impl Host,
        rng: &mut WyRand,
        poll_within: Option<Time>,
    ) {
        let Some(poll_within) = poll_within else { return };
        let backoff = ((poll_within / 20) << self.consecutive_failures.min(3)).min(MAX_BACKOFF) as f64;
        let wait = (backoff * (0.5 + 0.5 * rng.generate::<f64>())) as Time;
        self.set_poll_timer(host, wait);
    }

    /// Sets the timer of the next poll, which replaces the pending one: polls must not multiply while the list is unavailable.
    pub(crate) fn set_poll_timer(&mut self, host: &mut impl Host, wait: Time) {
        self.polls += 1;
        host.set_timer(wait.max(1), Timer::EndpointPoll(self.polls));
    }

    /// Whether this is the latest poll, and no watch has been established since.
    pub(crate) fn is_due(&self, poll: u32) -> bool {
        !self.is_established && poll == self.polls
    }
}
