//! The decisions of a fleet of balancers: budgets that all members share, duties that one member holds at a
//! time, and configuration that all members follow.
//!
//! No I/O and no clock: the caller passes the time in, in tenths of a millisecond of its own clock, which
//! also counts while its process is stopped. The coordinators replicate [`ledger::Ledger`],
//! [`duties::table::DutyTable`] and [`configuration::register::Register`]; their leader decides the next
//! changes; balancers are members.
//!
//! - [`ledger`]: the replicated state of the budgets. It refuses whatever would let all members together hold
//!   more than a budget's limit.
//! - [`leader`]: the state that the coordinators' leader keeps of members, and the ledger transitions that it
//!   decides on.
//! - [`member`]: a balancer's side: the grant that it holds, and when that expires.
//! - [`duties`]: work that at most one member does at a time, under a lease with a fencing token.
//! - [`configuration`]: versioned entries of configuration, and which balancer uses which.
//! - [`division`]: how one budget is divided. [`demand`]: what a member could use of it.
//! - [`lease`]: how long a grant or a duty may be used, by whose clock. [`message`]: what members and leader
//!   exchange.
//!
//! Why the grants of a budget never sum to more than its limit is in `docs/fleet.md`.

#![warn(missing_docs, clippy::unwrap_used, clippy::expect_used)]

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

/// Thousandths of a budget's unit: integers, so that sums are exact.
pub type MilliUnits = u64;

/// The number of [`MilliUnits`] in one unit.
pub const MILLI_UNITS_PER_UNIT: f64 = 1000.0;

/// Amounts by the name of the budget; a budget that is not named has none.
pub type BudgetAmounts = BTreeMap<String, MilliUnits>;

/// Identifies a member: drawn at random by each, and kept for as long as it is the same balancer.
pub type MemberId = u64;
