//! The ledger: what each member may hold at the most. A deterministic state machine, the same at every process that
//! applies the same entries. It trusts no entry: one that would let all together hold more than the whole is refused.

use crate::configuration::register::Put;
use crate::duties;
use crate::message::Grant;
use crate::{Identity, Shares, Units, UNIT};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What all members share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// A second, over all members.
    pub whole: Units,
    /// Each member's own, whatever it asks for and whoever is out of reach.
    pub floor: Units,
}

impl Budget {
    /// `whole` in units a second; `floors` is the part of it that the floors of so many members together are.
    pub fn new(whole: f64, floors: f64, members: usize) -> Self {
        let whole = (whole * UNIT).round() as Units;
        Budget { whole, floor: (whole as f64 * floors / members as f64) as Units }
    }
}

/// What has been granted to a member: what it said that it goes by, and what it was offered since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    pub name: String,
    pub accepted: Grant,
    /// One at a time: the next is offered once this one is accepted or has lapsed.
    pub offered: Option<Grant>,
}

impl Holder {
    /// The latest that it may go by.
    pub fn latest(&self) -> &Grant {
        self.offered.as_ref().unwrap_or(&self.accepted)
    }

    /// The most that it may hold of a budget, whichever of the two it goes by.
    pub fn holds(&self, budget: &str) -> Units {
        let most = |of: fn(&Grant) -> &Shares| {
            let amount = |grant: &Grant| of(grant).get(budget).copied().unwrap_or(0);
            amount(&self.accepted).max(self.offered.as_ref().map_or(0, amount))
        };
        most(|grant| &grant.floors).saturating_add(most(|grant| &grant.shares))
    }
}

/// One change of who holds what. It is applied whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The epoch that it was decided at; at any other it is out of date.
    pub base: u64,
    pub joins: Vec<(Identity, String)>,
    /// These said that they go by this epoch.
    pub accepted: Vec<(Identity, u64)>,
    /// What these held beside their floors has lapsed.
    pub lapsed: Vec<Identity>,
    /// These hold nothing any more: they left, or their floors have lapsed too.
    pub gone: Vec<Identity>,
    /// What these are offered from now on, floors and shares.
    pub offers: BTreeMap<Identity, (Shares, Shares)>,
}

impl Step {
    pub fn is_empty(&self) -> bool {
        self.joins.is_empty()
            && self.accepted.is_empty()
            && self.lapsed.is_empty()
            && self.gone.is_empty()
            && self.offers.is_empty()
    }
}

/// What is replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The budgets from now on. One that is made smaller is so at once for all that is granted from then on; what is
    /// held beyond it comes back as members accept less, or lapse.
    Budgets(BTreeMap<String, Budget>),
    Step(Step),
    /// Of the register beside the ledger; nothing of the ledger's.
    Configuration(Put),
    /// Of the table of duties beside the ledger; nothing of the ledger's.
    Duties(duties::table::Entry),
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Decided at an epoch that is not this one.
    OutOfDate,
    /// All together would hold more than the whole of this budget.
    Beyond(String),
    /// It speaks of a member that is not there.
    Unknown(Identity),
    /// A member of this name or identity is there.
    Taken(String),
    /// A member that has not accepted its last offer is offered another.
    Unanswered(Identity),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    epoch: u64,
    budgets: BTreeMap<String, Budget>,
    /// Emptied by `Step::gone`.
    holders: BTreeMap<Identity, Holder>,
}

impl Ledger {
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn budgets(&self) -> &BTreeMap<String, Budget> {
        &self.budgets
    }

    pub fn holders(&self) -> &BTreeMap<Identity, Holder> {
        &self.holders
    }

    pub fn named(&self, name: &str) -> Option<Identity> {
        self.holders.iter().find(|(_, holder)| holder.name == name).map(|(identity, _)| *identity)
    }

    /// The most that all may hold together now.
    pub fn held(&self, budget: &str) -> Units {
        self.holders.values().map(|holder| holder.holds(budget)).sum()
    }

    /// The same of each budget that anybody holds anything of. It takes as long as what is held is long.
    pub fn held_of_each(&self) -> BTreeMap<&str, Units> {
        let mut held = BTreeMap::new();
        for holder in self.holders.values() {
            let grants = [Some(&holder.accepted), holder.offered.as_ref()];
            let names = grants.into_iter().flatten().flat_map(|g| g.floors.keys().chain(g.shares.keys()));
            for name in names.collect::<BTreeSet<_>>() {
                *held.entry(name.as_str()).or_insert(0) += holder.holds(name);
            }
        }
        held
    }

    /// Takes one entry, whole or not at all.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), Refused> {
        let mut next = self.clone();
        match entry {
            Entry::Budgets(budgets) => next.budgets.clone_from(budgets),
            // The ledger's epoch is of who holds what alone.
            Entry::Configuration(_) | Entry::Duties(_) => return Ok(()),
            Entry::Step(step) => {
                if step.base != self.epoch {
                    return Err(Refused::OutOfDate);
                }
                next.step(step)?;
                // What was held before may be beyond a whole that was made smaller; it may not grow.
                let names =
                    step.offers.values().flat_map(|(floors, shares)| floors.keys().chain(shares.keys()));
                let (before, after) = (self.held_of_each(), next.held_of_each());
                let of = |held: &BTreeMap<&str, Units>, name: &str| held.get(name).copied().unwrap_or(0);
                for name in names.collect::<BTreeSet<_>>() {
                    let whole = self.budgets.get(name).map_or(0, |budget| budget.whole);
                    if of(&after, name) > whole.max(of(&before, name)) {
                        return Err(Refused::Beyond(name.clone()));
                    }
                }
            }
        }
        next.epoch += 1;
        *self = next;
        Ok(())
    }

    fn step(&mut self, step: &Step) -> Result<(), Refused> {
        let epoch = self.epoch + 1;
        for identity in &step.gone {
            self.holders.remove(identity).ok_or(Refused::Unknown(*identity))?;
        }
        for (identity, name) in &step.joins {
            if self.holders.contains_key(identity) || self.named(name).is_some() {
                return Err(Refused::Taken(name.clone()));
            }
            let holder = Holder { name: name.clone(), accepted: Grant::default(), offered: None };
            self.holders.insert(*identity, holder);
        }
        for (identity, accepted) in &step.accepted {
            let holder = self.holders.get_mut(identity).ok_or(Refused::Unknown(*identity))?;
            // An older word, or one that speaks of nothing that was offered, changes nothing.
            if let Some(offered) = holder.offered.take_if(|offered| offered.epoch == *accepted) {
                holder.accepted = offered;
            }
        }
        for identity in &step.lapsed {
            let holder = self.holders.get_mut(identity).ok_or(Refused::Unknown(*identity))?;
            // Under a new epoch: should it come back, what it has is older. Its floors it may have from either.
            let floors = &mut holder.accepted.floors;
            for (name, floor) in holder.offered.take().map(|offered| offered.floors).unwrap_or_default() {
                let held = floors.entry(name).or_insert(0);
                *held = floor.max(*held);
            }
            holder.accepted.shares.clear();
            holder.accepted.epoch = epoch;
        }
        for (identity, (floors, shares)) in &step.offers {
            let holder = self.holders.get_mut(identity).ok_or(Refused::Unknown(*identity))?;
            if holder.offered.is_some() {
                return Err(Refused::Unanswered(*identity));
            }
            holder.offered = Some(Grant { epoch, floors: floors.clone(), shares: shares.clone() });
        }
        Ok(())
    }
}
