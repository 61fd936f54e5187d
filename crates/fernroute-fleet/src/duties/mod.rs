//! Duties that at most one balancer holds at a time, under a lease with a fencing token.
//!
//! - [`table`]: the replicated state: who holds which duty, under which term. Terms only increase and are
//!   never reused.
//! - [`leader`]: the state that the coordinators' leader keeps in addition, and which terms it grants or ends
//!   next.
//! - [`holder`]: a member's side: which duties it may act on, and until when by its own clock.
//! - [`fence`]: for receivers of a holder's orders: refuses every term below the highest one seen.
//! - [`placement`]: which member gets a duty that nobody holds.
//!
//! No I/O and no clock. What is guaranteed, and why, is in `docs/duties.md`.

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

/// The fencing token of a lease. Increases over all duties; 0 is before the first.
pub type Term = u64;

/// Terms by the name of the duty.
pub type DutyTerms = BTreeMap<String, Term>;

/// The highest number of duties of a fleet.
pub const MAX_DUTIES: usize = 4_096;

/// The longest note of a holder, in characters.
pub const MAX_NOTE_CHARS: usize = 200;

/// A holder stops early by one part in so many of the lease, in addition to the allowance for clock drift.
const HOLD_MARGIN_DIVISOR: Time = 8;

/// For how long a holder acts on a lease, counted from when it sent its heartbeat: the lease without the
/// margin.
pub fn hold_duration(lease: &Lease) -> Time {
    lease.duration - lease.duration / HOLD_MARGIN_DIVISOR
}

/// One process of one member. A restarted member is another candidate under the same identity: what its
/// former process held has to expire, since that process's orders may still be in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// The member.
    pub identity: MemberId,
    /// Drawn at random by each process at its start.
    pub incarnation: u64,
}

/// The part of a member's heartbeat that concerns duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyReport {
    /// The process that reports.
    pub incarnation: u64,
    /// Whether it may be given duties.
    pub eligible: bool,
    /// Terms that it will never act on again.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub released: DutyTerms,
    /// The number of its latest heartbeat that was answered. Guards against duties at a member whose
    /// heartbeats arrive while no reply reaches it.
    #[serde(default)]
    #[serde(rename = "answered")]
    pub last_answered: u64,
    /// The highest term that it knows of. Guards against reuse of terms after all coordinators have lost
    /// their disks.
    #[serde(default)]
    #[serde(rename = "highest")]
    pub highest_term: Term,
}

/// The part of a reply to a heartbeat that concerns duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyAssignments {
    /// All duties that the member holds, with their terms.
    pub terms: DutyTerms,
    /// How long it may act on them, from when the heartbeat was sent, by the member's clock.
    #[serde(rename = "holds_for")]
    pub hold_duration: Time,
    /// Released duties that the leader has recorded, so that they need not be reported again.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    #[serde(rename = "over")]
    pub acknowledged: BTreeSet<String>,
}

/// Why a member no longer holds a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// It drains or ends, and released the duty itself.
    Drained,
    /// No reply has renewed its lease for longer than the lease can be believed.
    #[serde(rename = "lapsed")]
    Expired,
    /// Its heartbeats arrive, but no reply reaches it.
    #[serde(rename = "unanswered")]
    Unresponsive,
    /// An operator had it released.
    Operator,
    /// The coordinators' configuration does not name the duty any more.
    Removed,
}

impl fmt::Display for EndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EndReason::Drained => "the holder is draining",
            EndReason::Expired => "its lease has expired",
            EndReason::Unresponsive => "no reply reaches the holder",
            EndReason::Operator => "released by an operator",
            EndReason::Removed => "the duty is no longer configured",
        })
    }
}
