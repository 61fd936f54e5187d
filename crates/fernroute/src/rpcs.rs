//! The RPCs that this balancer has open, each with its deadlines and its attempts so far.

use crate::attempts::Attempt;
use crate::hash_ring::KeyPlacement;
use crate::host::{Outcome, Time, SECOND};
use crate::latency::Method;
use std::rc::Rc;

/// The identifier of an RPC or an upstream, as the host names it.
pub(crate) type Id = Rc<str>;

/// See the module's description.
pub(crate) struct Rpc {
    /// As it was when the RPC arrived, whatever later settings say.
    pub(crate) method: Rc<Method>,
    /// Its key, where upstreams do less work for one that they have cached.
    pub(crate) key: Option<KeyPlacement>,
    /// When it arrived, with its last byte once that has come.
    pub(crate) arrived_at: Time,
    /// A response before this is in time; the hard deadline where there is no soft one.
    pub(crate) soft_deadline: Time,
    /// The caller waits until this.
    pub(crate) hard_deadline: Time,
    /// A response after this is worth nothing.
    pub(crate) response_deadline: Time,
    /// It has its final response.
    pub(crate) answered: bool,
    /// It waits until an upstream may take it.
    pub(crate) queued: bool,
    /// In the order in which they were sent.
    pub(crate) attempts: Vec<Attempt>,
}

impl Rpc {
    /// Whether an attempt is in flight. There are no hedged RPCs, so only the last attempt can be.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.last().is_some_and(Attempt::is_in_flight)
    }

    /// The first attempt that may have run, or may still run.
    pub(crate) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran))
    }

    /// Moves all deadlines by the time that the last byte came after the first.
    pub(crate) fn restart_deadlines(&mut self, now: Time) {
        let delay = now - std::mem::replace(&mut self.arrived_at, now);
        self.soft_deadline += delay;
        self.hard_deadline += delay;
        self.response_deadline += delay;
    }

    /// The moment by which the last byte of the next attempt must have left, where an earlier one may have run and upstreams
    /// recognize repeats for a while alone. Guards against a repeat that is complete at its upstream when the deduplication
    /// window is over: it would run a second time.
    pub(crate) fn write_deadline(&self, tick: Time) -> Option<Time> {
        /// The last byte arrives later than it leaves: by a way between zones and a busy turn of the receiver, which the first
        /// attempt may have had less of.
        const DELIVERY: Time = SECOND / 50;
        let policy = &self.method.policy;
        let first = self.first_that_may_have_run().filter(|_| policy.idempotency.is_deduped())?;
        Some((first.sent_at + policy.dedup_window).saturating_sub(DELIVERY.max(2 * tick)))
    }
}
