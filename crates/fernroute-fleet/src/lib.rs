//! The decisions of a fleet: who may spend how much of what all balancers share. No I/O and no clock: time is passed in,
//! in tenths of a millisecond of the caller's own clock, which counts while its process stands still.
//!
//! - [`ledger`]: what is replicated: who is a member, and what each may hold at the most. It refuses whatever would let
//!   all together hold more than the whole, whoever asks for it.
//! - [`leader`]: what only the leader of the ledger's processes knows: when it heard of whom, and what each asked for.
//!   It decides what to enter next, and what a member is told.
//! - [`member`]: a balancer's side: what it holds, and until when.
//! - [`duties`]: what one member alone does at a time, under a lease with a fencing token.
//! - [`configuration`]: versioned entries of configuration, and who goes by which.
//! - [`division`]: who should get how much. [`demand`]: what a member could use. [`lease`]: how long who believes what. [`message`]: what they say.
//!
//! The argument why budgets never sum to more than the whole stands in `docs/fleet.md`.

pub mod configuration;
pub mod demand;
pub mod division;
pub mod duties;
pub mod leader;
pub mod lease;
pub mod ledger;
pub mod member;
pub mod message;
mod offers;

use std::collections::BTreeMap;

/// Thousandths of a budget's unit: whole numbers, so that sums are exact.
pub type MilliUnits = u64;

/// Of them make one unit.
pub const MILLI_UNITS_PER_UNIT: f64 = 1000.0;

/// Amounts by the name of the budget; one that is not named is none.
pub type BudgetAmounts = BTreeMap<String, MilliUnits>;

/// Tells members apart: drawn at random by each, and kept for as long as it is the same balancer.
pub type MemberId = u64;
