//! The replicated record of what each member may hold of each budget.
//!
//! The ledger is a deterministic state machine: each coordinator applies the same entries in the same order
//! and reaches the same state. The coordinator's replica calls [`Ledger::apply`] for each committed entry;
//! the leader reads it.
//!
//! An [`Allocation`] has one accepted grant and at most one offered grant:
//!
//! - [`LedgerTransition::offers`] records an offer. From then on the member may hold either grant.
//! - [`LedgerTransition::accepted`] replaces the accepted grant: the member has reported the offer's epoch.
//! - [`LedgerTransition::expired`] clears the quotas of both: the quota lease has run out by the leader's
//!   clock.
//! - [`LedgerTransition::removed`] ends the allocation: the member left, or its guaranteed lease has run out.
//!
//! Invariant: no transition raises what all members may hold of a budget above its limit. An entry that would
//! is refused and changes nothing.

use crate::configuration::register::ConfigurationPut;
use crate::duties;
use crate::message::Grant;
use crate::{BudgetAmounts, MemberId, MilliUnits, MILLI_UNITS_PER_UNIT};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A rate that all members share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// For all members together, per second.
    #[serde(rename = "whole")]
    pub limit: MilliUnits,
    /// For each member, per second, whatever its demand and whichever members are unreachable.
    #[serde(rename = "floor")]
    pub guaranteed: MilliUnits,
}

impl Budget {
    /// `limit` is in units per second; `guaranteed_fraction` is the part of it that `max_members` members
    /// share as their guaranteed amounts.
    pub fn new(limit: f64, guaranteed_fraction: f64, max_members: usize) -> Self {
        let limit = (limit * MILLI_UNITS_PER_UNIT).round() as MilliUnits;
        let guaranteed = (limit as f64 * guaranteed_fraction / max_members as f64) as MilliUnits;
        Budget { limit, guaranteed }
    }
}

/// What one member may hold: the grant that it has accepted, and the one that it has been offered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// The member's name.
    pub name: String,
    /// The latest grant that the member is known to use.
    pub accepted: Grant,
    /// At most one at a time: the next is offered once this one is accepted or has expired.
    pub offered: Option<Grant>,
}

impl Allocation {
    /// The latest grant that the member may use.
    pub fn latest_grant(&self) -> &Grant {
        self.offered.as_ref().unwrap_or(&self.accepted)
    }

    /// The upper bound of what the member may hold of a budget, whichever of the two grants it uses.
    pub fn max_allocated(&self, budget: &str) -> MilliUnits {
        let max_amount = |part: fn(&Grant) -> &BudgetAmounts| {
            let amount = |grant: &Grant| part(grant).get(budget).copied().unwrap_or(0);
            amount(&self.accepted).max(self.offered.as_ref().map_or(0, amount))
        };
        max_amount(|grant| &grant.guaranteed).saturating_add(max_amount(|grant| &grant.quotas))
    }

    /// The budgets that either grant names.
    fn budget_names(&self) -> BTreeSet<&str> {
        let grants = [Some(&self.accepted), self.offered.as_ref()];
        let amounts = grants.into_iter().flatten().flat_map(|grant| [&grant.guaranteed, &grant.quotas]);
        amounts.flat_map(|amounts| amounts.keys().map(String::as_str)).collect()
    }

    /// Clears the quotas under a new epoch, so that any earlier grant is older should the member return. The
    /// guaranteed amounts may come from either grant, so the larger one counts.
    fn expire_quotas(&mut self, epoch: u64) {
        let offered = self.offered.take().map(|offered| offered.guaranteed).unwrap_or_default();
        for (budget, offered_amount) in offered {
            let guaranteed = self.accepted.guaranteed.entry(budget).or_insert(0);
            *guaranteed = offered_amount.max(*guaranteed);
        }
        self.accepted.quotas.clear();
        self.accepted.epoch = epoch;
    }
}

/// The amounts of a new grant. Stored as the pair `[guaranteed, quotas]`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(BudgetAmounts, BudgetAmounts)", into = "(BudgetAmounts, BudgetAmounts)")]
pub struct Offer {
    /// Held for the guaranteed lease.
    pub guaranteed: BudgetAmounts,
    /// Held for the quota lease, in addition.
    pub quotas: BudgetAmounts,
}

impl From<(BudgetAmounts, BudgetAmounts)> for Offer {
    fn from((guaranteed, quotas): (BudgetAmounts, BudgetAmounts)) -> Self {
        Offer { guaranteed, quotas }
    }
}

impl From<Offer> for (BudgetAmounts, BudgetAmounts) {
    fn from(offer: Offer) -> Self {
        (offer.guaranteed, offer.quotas)
    }
}

/// One change of allocations. It is applied completely or not at all, in the order removed, joined, accepted,
/// expired, offers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerTransition {
    /// The ledger's epoch that it was decided at; at any other epoch it is out of date.
    #[serde(rename = "base")]
    pub base_epoch: u64,
    /// New members and their names.
    #[serde(rename = "joins")]
    pub joined: Vec<(MemberId, String)>,
    /// Members that have reported the epoch of their offer.
    pub accepted: Vec<(MemberId, u64)>,
    /// Members whose quotas have expired.
    #[serde(rename = "lapsed")]
    pub expired: Vec<MemberId>,
    /// Members that hold nothing any more: they left, or their guaranteed amounts have expired.
    #[serde(rename = "gone")]
    pub removed: Vec<MemberId>,
    /// New offers.
    pub offers: BTreeMap<MemberId, Offer>,
}

impl LedgerTransition {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty()
            && self.accepted.is_empty()
            && self.expired.is_empty()
            && self.removed.is_empty()
            && self.offers.is_empty()
    }

    /// The budgets that its offers name.
    fn offered_budgets(&self) -> BTreeSet<&str> {
        let amounts = self.offers.values().flat_map(|offer| [&offer.guaranteed, &offer.quotas]);
        amounts.flat_map(|amounts| amounts.keys().map(String::as_str)).collect()
    }
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Replaces the budgets. A lower limit applies to each later offer at once. What members hold above it is
    /// freed as they accept smaller grants, or as their leases expire.
    Budgets(BTreeMap<String, Budget>),
    /// Changes allocations.
    #[serde(rename = "Step")]
    Transition(LedgerTransition),
    /// Changes the configuration register; the ledger ignores it.
    Configuration(ConfigurationPut),
    /// Changes the table of duties; the ledger ignores it.
    Duties(duties::table::DutyEntry),
}

/// Why the ledger refused an entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The transition was decided at another epoch.
    #[error("decided at another epoch of the ledger")]
    OutOfDate,
    /// All members together would hold more than the limit of this budget.
    #[error("{0}: more than the budget's limit")]
    LimitExceeded(String),
    /// The transition names a member that the ledger does not have.
    #[error("{0}: no such member")]
    UnknownMember(MemberId),
    /// A member of this name, or of the same identity, exists.
    #[error("{0}: name or identity in use")]
    NameTaken(String),
    /// The member has not accepted its last offer.
    #[error("{0}: an offer is pending")]
    OfferPending(MemberId),
}

/// The replicated state: the budgets, and each member's allocation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Counts applied changes of budgets and allocations.
    epoch: u64,
    budgets: BTreeMap<String, Budget>,
    /// Emptied by [`LedgerTransition::removed`].
    #[serde(rename = "holders")]
    allocations: BTreeMap<MemberId, Allocation>,
}

impl Ledger {
    /// The number of changes applied so far.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The budgets by name.
    pub fn budgets(&self) -> &BTreeMap<String, Budget> {
        &self.budgets
    }

    /// The allocation of each member.
    pub fn allocations(&self) -> &BTreeMap<MemberId, Allocation> {
        &self.allocations
    }

    /// The member of this name.
    pub fn member_named(&self, name: &str) -> Option<MemberId> {
        let mut allocations = self.allocations.iter();
        allocations.find(|(_, allocation)| allocation.name == name).map(|(identity, _)| *identity)
    }

    /// The upper bound of what all members together may hold of a budget now.
    pub fn total_allocated(&self, budget: &str) -> MilliUnits {
        self.allocations.values().map(|allocation| allocation.max_allocated(budget)).sum()
    }

    /// [`Ledger::total_allocated`] of each budget that any grant names, in one pass over all grants.
    pub fn total_allocated_by_budget(&self) -> BTreeMap<&str, MilliUnits> {
        let mut totals = BTreeMap::new();
        for allocation in self.allocations.values() {
            for budget in allocation.budget_names() {
                *totals.entry(budget).or_insert(0) += allocation.max_allocated(budget);
            }
        }
        totals
    }

    /// Applies one entry completely, or refuses it and stays unchanged.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), ApplyError> {
        let mut next = match entry {
            Entry::Budgets(budgets) => Ledger { budgets: budgets.clone(), ..self.clone() },
            Entry::Transition(transition) => self.after_transition(transition)?,
            Entry::Configuration(_) | Entry::Duties(_) => return Ok(()),
        };
        next.epoch += 1;
        *self = next;
        Ok(())
    }

    /// The ledger with the transition's changes, still at the epoch before it.
    fn after_transition(&self, transition: &LedgerTransition) -> Result<Ledger, ApplyError> {
        if transition.base_epoch != self.epoch {
            return Err(ApplyError::OutOfDate);
        }
        let mut next = self.clone();
        next.remove_members(&transition.removed)?;
        next.add_members(&transition.joined)?;
        next.accept_offers(&transition.accepted)?;
        next.expire_quotas(&transition.expired)?;
        next.record_offers(&transition.offers)?;
        self.check_limits(&next, transition)?;
        Ok(next)
    }

    fn allocation_mut(&mut self, identity: MemberId) -> Result<&mut Allocation, ApplyError> {
        self.allocations.get_mut(&identity).ok_or(ApplyError::UnknownMember(identity))
    }

    fn remove_members(&mut self, removed: &[MemberId]) -> Result<(), ApplyError> {
        for identity in removed {
            self.allocations.remove(identity).ok_or(ApplyError::UnknownMember(*identity))?;
        }
        Ok(())
    }

    fn add_members(&mut self, joined: &[(MemberId, String)]) -> Result<(), ApplyError> {
        for (identity, name) in joined {
            if self.allocations.contains_key(identity) || self.member_named(name).is_some() {
                return Err(ApplyError::NameTaken(name.clone()));
            }
            let allocation = Allocation { name: name.clone(), accepted: Grant::default(), offered: None };
            self.allocations.insert(*identity, allocation);
        }
        Ok(())
    }

    /// An epoch that is not the pending offer's changes nothing: the report is late.
    fn accept_offers(&mut self, accepted: &[(MemberId, u64)]) -> Result<(), ApplyError> {
        for (identity, epoch) in accepted {
            let allocation = self.allocation_mut(*identity)?;
            if let Some(offered) = allocation.offered.take_if(|offered| offered.epoch == *epoch) {
                allocation.accepted = offered;
            }
        }
        Ok(())
    }

    fn expire_quotas(&mut self, expired: &[MemberId]) -> Result<(), ApplyError> {
        let epoch = self.epoch + 1;
        for identity in expired {
            self.allocation_mut(*identity)?.expire_quotas(epoch);
        }
        Ok(())
    }

    fn record_offers(&mut self, offers: &BTreeMap<MemberId, Offer>) -> Result<(), ApplyError> {
        let epoch = self.epoch + 1;
        for (identity, Offer { guaranteed, quotas }) in offers {
            let allocation = self.allocation_mut(*identity)?;
            if allocation.offered.is_some() {
                return Err(ApplyError::OfferPending(*identity));
            }
            let grant = Grant { epoch, guaranteed: guaranteed.clone(), quotas: quotas.clone() };
            allocation.offered = Some(grant);
        }
        Ok(())
    }

    /// After a limit was lowered members may hold more than it; that amount may not grow.
    fn check_limits(&self, next: &Ledger, transition: &LedgerTransition) -> Result<(), ApplyError> {
        let (before, after) = (self.total_allocated_by_budget(), next.total_allocated_by_budget());
        for budget in transition.offered_budgets() {
            let limit = self.budgets.get(budget).map_or(0, |budget| budget.limit);
            let total_before = before.get(budget).copied().unwrap_or(0);
            let total_after = after.get(budget).copied().unwrap_or(0);
            if total_after > limit.max(total_before) {
                return Err(ApplyError::LimitExceeded(budget.to_owned()));
            }
        }
        Ok(())
    }
}
