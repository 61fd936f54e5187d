//! The ledger: what each member may hold at the most. A deterministic state machine, the same at every process that
//! applies the same entries. It trusts no entry: one that would let all together hold more than the limit is refused.

use crate::configuration::register::ConfigurationPut;
use crate::duties;
use crate::message::Grant;
use crate::{BudgetAmounts, MemberId, MilliUnits, MILLI_UNITS_PER_UNIT};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What all members share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// A second, over all members.
    #[serde(rename = "whole")]
    pub limit: MilliUnits,
    /// Each member's own, whatever it asks for and whoever is out of reach.
    #[serde(rename = "floor")]
    pub guaranteed: MilliUnits,
}

impl Budget {
    /// `limit` in units a second; `floors` is the part of it that the floors of so many members together are.
    pub fn new(limit: f64, floors: f64, members: usize) -> Self {
        let limit = (limit * MILLI_UNITS_PER_UNIT).round() as MilliUnits;
        Budget { limit, guaranteed: (limit as f64 * floors / members as f64) as MilliUnits }
    }
}

/// What has been granted to a member: what it said that it goes by, and what it was offered since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    pub name: String,
    pub accepted: Grant,
    /// One at a time: the next is offered once this one is accepted or has expired.
    pub offered: Option<Grant>,
}

impl Allocation {
    /// The latest that it may go by.
    pub fn latest_grant(&self) -> &Grant {
        self.offered.as_ref().unwrap_or(&self.accepted)
    }

    /// The most that it may hold of a budget, whichever of the two it goes by.
    pub fn max_allocated(&self, budget: &str) -> MilliUnits {
        let most = |of: fn(&Grant) -> &BudgetAmounts| {
            let amount = |grant: &Grant| of(grant).get(budget).copied().unwrap_or(0);
            amount(&self.accepted).max(self.offered.as_ref().map_or(0, amount))
        };
        most(|grant| &grant.guaranteed).saturating_add(most(|grant| &grant.quotas))
    }
}

/// One change of who holds what. It is applied whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerTransition {
    /// The epoch that it was decided at; at any other it is out of date.
    #[serde(rename = "base")]
    pub base_epoch: u64,
    #[serde(rename = "joins")]
    pub joined: Vec<(MemberId, String)>,
    /// These said that they go by this epoch.
    pub accepted: Vec<(MemberId, u64)>,
    /// What these held beside their floors has expired.
    #[serde(rename = "lapsed")]
    pub expired: Vec<MemberId>,
    /// These hold nothing any more: they left, or their floors have expired too.
    #[serde(rename = "gone")]
    pub removed: Vec<MemberId>,
    /// What these are offered from now on, floors and shares.
    pub offers: BTreeMap<MemberId, (BudgetAmounts, BudgetAmounts)>,
}

impl LedgerTransition {
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty()
            && self.accepted.is_empty()
            && self.expired.is_empty()
            && self.removed.is_empty()
            && self.offers.is_empty()
    }
}

/// What is replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The budgets from now on. One that is made smaller is so at once for all that is granted from then on; what is
    /// held beyond it comes back as members accept less, or lapse.
    Budgets(BTreeMap<String, Budget>),
    #[serde(rename = "Step")]
    Transition(LedgerTransition),
    /// Of the register beside the ledger; nothing of the ledger's.
    Configuration(ConfigurationPut),
    /// Of the table of duties beside the ledger; nothing of the ledger's.
    Duties(duties::table::DutyEntry),
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// Decided at an epoch that is not this one.
    OutOfDate,
    /// All together would hold more than the limit of this budget.
    LimitExceeded(String),
    /// It speaks of a member that is not there.
    UnknownMember(MemberId),
    /// A member of this name or identity is there.
    NameTaken(String),
    /// A member that has not accepted its last offer is offered another.
    OfferPending(MemberId),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    epoch: u64,
    budgets: BTreeMap<String, Budget>,
    /// Emptied by `LedgerTransition::removed`.
    #[serde(rename = "holders")]
    allocations: BTreeMap<MemberId, Allocation>,
}

impl Ledger {
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn budgets(&self) -> &BTreeMap<String, Budget> {
        &self.budgets
    }

    pub fn allocations(&self) -> &BTreeMap<MemberId, Allocation> {
        &self.allocations
    }

    pub fn member_named(&self, name: &str) -> Option<MemberId> {
        self.allocations.iter().find(|(_, holder)| holder.name == name).map(|(identity, _)| *identity)
    }

    /// The most that all may hold together now.
    pub fn total_allocated(&self, budget: &str) -> MilliUnits {
        self.allocations.values().map(|holder| holder.max_allocated(budget)).sum()
    }

    /// The same of each budget that anybody holds anything of. It takes as long as what is held is long.
    pub fn total_allocated_by_budget(&self) -> BTreeMap<&str, MilliUnits> {
        let mut held = BTreeMap::new();
        for holder in self.allocations.values() {
            let grants = [Some(&holder.accepted), holder.offered.as_ref()];
            let names = grants.into_iter().flatten().flat_map(|g| g.guaranteed.keys().chain(g.quotas.keys()));
            for name in names.collect::<BTreeSet<_>>() {
                *held.entry(name.as_str()).or_insert(0) += holder.max_allocated(name);
            }
        }
        held
    }

    /// Takes one entry, whole or not at all.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), ApplyError> {
        let mut next = self.clone();
        match entry {
            Entry::Budgets(budgets) => next.budgets.clone_from(budgets),
            // The ledger's epoch is of who holds what alone.
            Entry::Configuration(_) | Entry::Duties(_) => return Ok(()),
            Entry::Transition(step) => {
                if step.base_epoch != self.epoch {
                    return Err(ApplyError::OutOfDate);
                }
                next.step(step)?;
                // What was held before may be beyond a limit that was made smaller; it may not grow.
                let names =
                    step.offers.values().flat_map(|(floors, shares)| floors.keys().chain(shares.keys()));
                let (before, after) = (self.total_allocated_by_budget(), next.total_allocated_by_budget());
                let of = |held: &BTreeMap<&str, MilliUnits>, name: &str| held.get(name).copied().unwrap_or(0);
                for name in names.collect::<BTreeSet<_>>() {
                    let limit = self.budgets.get(name).map_or(0, |budget| budget.limit);
                    if of(&after, name) > limit.max(of(&before, name)) {
                        return Err(ApplyError::LimitExceeded(name.clone()));
                    }
                }
            }
        }
        next.epoch += 1;
        *self = next;
        Ok(())
    }

    fn step(&mut self, step: &LedgerTransition) -> Result<(), ApplyError> {
        let epoch = self.epoch + 1;
        for identity in &step.removed {
            self.allocations.remove(identity).ok_or(ApplyError::UnknownMember(*identity))?;
        }
        for (identity, name) in &step.joined {
            if self.allocations.contains_key(identity) || self.member_named(name).is_some() {
                return Err(ApplyError::NameTaken(name.clone()));
            }
            let holder = Allocation { name: name.clone(), accepted: Grant::default(), offered: None };
            self.allocations.insert(*identity, holder);
        }
        for (identity, accepted) in &step.accepted {
            let holder = self.allocations.get_mut(identity).ok_or(ApplyError::UnknownMember(*identity))?;
            // An older word, or one that speaks of nothing that was offered, changes nothing.
            if let Some(offered) = holder.offered.take_if(|offered| offered.epoch == *accepted) {
                holder.accepted = offered;
            }
        }
        for identity in &step.expired {
            let holder = self.allocations.get_mut(identity).ok_or(ApplyError::UnknownMember(*identity))?;
            // Under a new epoch: should it come back, what it has is older. Its floors it may have from either.
            let floors = &mut holder.accepted.guaranteed;
            for (name, guaranteed) in
                holder.offered.take().map(|offered| offered.guaranteed).unwrap_or_default()
            {
                let held = floors.entry(name).or_insert(0);
                *held = guaranteed.max(*held);
            }
            holder.accepted.quotas.clear();
            holder.accepted.epoch = epoch;
        }
        for (identity, (floors, shares)) in &step.offers {
            let holder = self.allocations.get_mut(identity).ok_or(ApplyError::UnknownMember(*identity))?;
            if holder.offered.is_some() {
                return Err(ApplyError::OfferPending(*identity));
            }
            holder.offered = Some(Grant { epoch, guaranteed: floors.clone(), quotas: shares.clone() });
        }
        Ok(())
    }
}
