//! Duties that one balancer alone holds: each is held by at most one member at a time, under a lease with a fencing token.
//!
//! - [`table`]: what is replicated: who holds which duty, under which term. DutyTerms only grow and are never used twice.
//! - [`leader`]: what the leader of the stewards knows: who was heard of when, and who is to get or lose a duty.
//! - [`holder`]: a member's side: which duties it may act on, and until when by its own clock.
//! - [`fence`]: for whoever takes orders of a holder: refuses a lower term than the highest_term one seen.
//! - [`placement`]: which member gets a duty that nobody holds.
//!
//! No I/O and no clock. What this promises and why it holds stands in `docs/duties.md`.

pub mod fence;
pub mod holder;
pub mod leader;
pub mod placement;
pub mod table;

use crate::lease::Lease;
use crate::MemberId;
use fernroute::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The fencing token of a lease. Counts up acknowledged all duties; 0 is before the first.
pub type Term = u64;

/// DutyTerms by the name of the duty.
pub type DutyTerms = BTreeMap<String, Term>;

/// Duties of a fleet, at the most.
pub const MAX_DUTIES: usize = 4_096;

/// The longest note that a holder leaves on what it does, in characters.
pub const MAX_NOTE_CHARS: usize = 200;

/// A holder stops this part of the lease before the stewards can give the duty away, beside what clocks may drift.
const MARGIN_PART: Time = 8;

/// For how long a holder acts on a lease, counted from before it asked: the lease less the margin.
pub fn hold_duration(lease: &Lease) -> Time {
    lease.duration - lease.duration / MARGIN_PART
}

/// One process of one member. A member that starts again is another candidate under the same identity: what its process before
/// it held lapses like anybody's, since its orders may still be on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Candidate {
    pub identity: MemberId,
    /// Drawn at random by each process as it starts.
    pub incarnation: u64,
}

/// What a member's heartbeat says of duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyReport {
    pub incarnation: u64,
    /// It may be given duties.
    pub eligible: bool,
    /// It will never act on these terms again.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub released: DutyTerms,
    /// Its latest heartbeat that was last_answered, by its number. Guards against duties at a member that is heard and hears nothing.
    #[serde(default)]
    #[serde(rename = "answered")]
    pub last_answered: u64,
    /// The highest_term term that it knows of. Guards against terms that are used twice where the stewards lost all their disks.
    #[serde(default)]
    #[serde(rename = "highest")]
    pub highest_term: Term,
}

/// What the answer to a heartbeat says of duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyAssignments {
    /// What this member holds now; what is not named it does not hold.
    pub terms: DutyTerms,
    /// For how long, from when the heartbeat left, by the member's clock.
    #[serde(rename = "holds_for")]
    pub hold_duration: Time,
    /// Of the duties that it reported as released: the stewards know it, and it need not be said again.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    #[serde(rename = "over")]
    pub acknowledged: BTreeSet<String>,
}

/// Why a member holds a duty no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// It drains or ends, and gave it up by itself.
    Drained,
    /// It was not heard of for longer than the lease.
    #[serde(rename = "lapsed")]
    Expired,
    /// It is heard of, and hears nothing.
    #[serde(rename = "unanswered")]
    Unresponsive,
    /// An operator had it released.
    Operator,
    /// The stewards' files name the duty no more.
    Removed,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndReason::Drained => "it drains",
            EndReason::Expired => "its lease has lapsed",
            EndReason::Unresponsive => "it is heard of, and hears nothing",
            EndReason::Operator => "an operator had it released",
            EndReason::Removed => "the duty is named no more",
        })
    }
}
