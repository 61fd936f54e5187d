//! What the decisions keep of RPCs, methods and tenants. Nothing is decided here.

use crate::hash_ring::KeyPlacement;
use crate::host::{Outcome, Time, SECOND};
use crate::latency::Method;
use std::rc::Rc;

pub type Id = Rc<str>;

#[derive(Clone)]
pub struct Tx {
    pub upstream: Id,
    pub zone: String,
    pub cell: String,
    pub sent: Time,
    pub epoch: u32,
    pub trial: bool,
    /// How many the upstream was thought to hold then.
    pub ahead: f64,
    /// How it ended; none while it is out.
    pub end: Option<Outcome>,
}

pub struct Rpc {
    /// As it was when the RPC was taken, whatever the terms say since.
    pub method: Rc<Method>,
    /// Its key, where upstreams do less work for one that they met lately, and how many share that key.
    pub key: Option<KeyPlacement>,
    pub arrived: Time,
    /// Answered in time means before this; the hard deadline where no soft one is told.
    pub soft: Time,
    pub hard: Time,
    /// Until when an answer is worth anything.
    pub until: Time,
    pub done: bool,
    pub waiting: bool,
    pub txs: Vec<Tx>,
}

impl Rpc {
    /// There are no second copies: only the last transmission can be out.
    pub fn is_out(&self) -> bool {
        self.txs.last().is_some_and(|t| t.end.is_none())
    }

    /// The first transmission that may have run, or may still.
    pub fn may_have_run(&self) -> Option<&Tx> {
        self.txs.iter().find(|t| !t.end.is_some_and(Outcome::never_ran))
    }

    /// By when the last byte of a transmission must have left, where one before it may have run and repeats are dropped for a
    /// while alone. Guards against a repeat that is whole at its upstream when the window is over: it would run a second time.
    pub fn written_by(&self, tick: Time) -> Option<Time> {
        /// It arrives later than it leaves: by a way between zones and a busy turn, which the first may have had less of.
        const TRIP: Time = SECOND / 50;
        let policy = &self.method.policy;
        let first = self.may_have_run().filter(|_| policy.idempotency.is_deduped())?;
        Some((first.sent + policy.dedup_window).saturating_sub(TRIP.max(2 * tick)))
    }
}

/// Whether an RPC was sent; if not, because no upstream may get it now, or because it would come too late.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    Out,
    Nowhere,
    Late,
}
