//! The open RPCs of this balancer, with their deadlines and attempts.

use crate::attempts::Attempt;
use crate::hash_ring::KeyPlacement;
use crate::host::{Outcome, Time, SECOND};
use crate::latency::Method;
use std::rc::Rc;

/// The identifier of an RPC or an upstream, as the host names it.
pub(crate) type Id = Rc<str>;

/// An open RPC.
pub(crate) struct Rpc {
    /// The method as the settings had it when the RPC arrived.
    pub(crate) method: Rc<Method>,
    /// The placement of its key, where upstreams cache keys.
    pub(crate) key: Option<KeyPlacement>,
    /// The time of its arrival; for one that is forwarded while it is received, that of its last byte once this has come.
    pub(crate) arrived_at: Time,
    /// A response by this time is in time; equals the hard deadline where there is no soft deadline.
    pub(crate) soft_deadline: Time,
    /// The time until which the caller waits.
    pub(crate) hard_deadline: Time,
    /// A response after this time has no value.
    pub(crate) response_deadline: Time,
    /// Whether it has its final answer.
    pub(crate) answered: bool,
    /// Whether it waits until an upstream may take it.
    pub(crate) queued: bool,
    /// Whether its caller is still sending it: no upstream can work on it yet.
    pub(crate) receiving: bool,
    /// Whether no further attempt may be sent, whatever its method allows.
    pub(crate) attempts_forbidden: bool,
    /// In the order of sending.
    pub(crate) attempts: Vec<Attempt>,
}

impl Rpc {
    /// Whether an attempt is in flight. There is no hedging, so only the last attempt can be.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts.last().is_some_and(Attempt::is_in_flight)
    }

    /// The first attempt that may have run at its upstream, or may still run.
    pub(crate) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.outcome.is_some_and(Outcome::never_ran))
    }

    /// Moves all deadlines by the time between the first and the last byte, which was sent at `sent_at`.
    pub(crate) fn restart_deadlines(&mut self, sent_at: Time) {
        let delay = sent_at.saturating_sub(self.arrived_at);
        self.arrived_at += delay;
        self.soft_deadline += delay;
        self.hard_deadline += delay;
        self.response_deadline += delay;
    }

    /// The time by which the last byte of the next attempt must have left, where an earlier one may have run and upstreams recognize
    /// repeats only within the deduplication window. A repeat that is complete at its upstream after the window would run a second
    /// time.
    pub(crate) fn write_deadline(&self, tick: Time) -> Option<Time> {
        /// The last byte arrives later than it leaves, by the latency between zones and the time that a busy receiver takes. Both
        /// may have been shorter for the first attempt.
        const DELIVERY_MARGIN: Time = SECOND / 50;
        let policy = &self.method.policy;
        let first = self.first_that_may_have_run().filter(|_| policy.idempotency.is_deduped())?;
        Some((first.sent_at + policy.dedup_window).saturating_sub(DELIVERY_MARGIN.max(2 * tick)))
    }
}
