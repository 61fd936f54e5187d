//! How this balancer keeps up with the endpoint list: a watch, or polls until one is established.
//!
//! A failed watch schedules a poll after a backoff with jitter; one poll is pending at a time, and each is numbered, so that the
//! timer of an earlier one does nothing.

use crate::host::{Host, Time, Timer, SECOND};
use nanorand::{Rng, WyRand};

/// See the module's description.
#[derive(Default)]
pub(crate) struct EndpointWatch {
    polls: u32,
    is_established: bool,
    consecutive_failures: u32,
    in_full_snapshot: bool,
}

/// Two polls fit into the time within which the list must be known.
const MAX_BACKOFF: Time = 5 * SECOND / 4;

impl EndpointWatch {
    /// Whether events of the endpoint list arrive.
    pub(crate) fn is_established(&self) -> bool {
        self.is_established
    }

    /// The watch, or the poll for it, has failed.
    pub(crate) fn failed(&mut self) {
        self.is_established = false;
        self.consecutive_failures += 1;
    }

    /// A snapshot of the list begins: of all upstreams, or of changes.
    pub(crate) fn snapshot_started(&mut self, is_full: bool) {
        self.in_full_snapshot = is_full;
    }

    /// Whether the present snapshot is one of all upstreams.
    pub(crate) fn is_full_snapshot(&self) -> bool {
        self.in_full_snapshot
    }

    /// A snapshot from the list's source is complete.
    pub(crate) fn established(&mut self) {
        (self.is_established, self.consecutive_failures) = (true, 0);
    }

    /// Schedules the next poll, within a twentieth of the time that the list allows: enough to spread a fleet that starts at
    /// once. Failures double it. Does nothing where the list is not polled.
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

    /// Sets the timer of the next poll. Guards against polls that multiply in a long failure of the list: one is pending.
    pub(crate) fn set_poll_timer(&mut self, host: &mut impl Host, wait: Time) {
        self.polls += 1;
        host.set_timer(wait.max(1), Timer::EndpointPoll(self.polls));
    }

    /// Whether the timer of this poll is the latest one, and the poll still of use.
    pub(crate) fn is_due(&self, poll: u32) -> bool {
        !self.is_established && poll == self.polls
    }
}
