//! Which grants the leader offers, so that each budget is divided by demand and its limit holds.
//!
//! [`crate::leader`] calls [`plan_offers`] with the ledger as it will be, and enters the result as
//! [`crate::ledger::LedgerTransition::offers`]. A smaller grant frees its difference only once it is
//! accepted, so moving a quota from one member to another takes two transitions.
//!
//! A member is offered amounts only of the budgets that its demand names. Guards against work, messages and
//! entries that grow with the product of budgets and members.

use crate::division::divide;
use crate::ledger::{Allocation, Budget, Ledger, Offer};
use crate::message::Grant;
use crate::{BudgetAmounts, MemberId, MilliUnits};
use std::collections::{BTreeMap, BTreeSet};

/// An increase waits while less than one part in so many of it is free. Guards against a
/// transition for each small amount that is freed.
const MIN_INCREASE_DIVISOR: MilliUnits = 8;

/// A member as the leader sees it when budgets are divided.
pub(crate) struct MemberDemand<'a> {
    pub identity: MemberId,
    pub allocation: &'a Allocation,
    /// Its last heartbeat is within the quota lease and it is not leaving; others are offered nothing.
    pub is_reachable: bool,
    /// The demand of its last heartbeat; none before its first to this leader.
    pub demand: Option<&'a BudgetAmounts>,
}

impl MemberDemand<'_> {
    /// The budgets that it is offered amounts of: those that its demand names, or those of its latest grant
    /// while its demand is not known.
    fn budget_names(&self) -> BTreeSet<&str> {
        let latest = self.allocation.latest_grant();
        match self.demand {
            Some(demand) => demand.keys().map(String::as_str).collect(),
            None => latest.guaranteed.keys().chain(latest.quotas.keys()).map(String::as_str).collect(),
        }
    }

    /// Whether the budget exists and stays in its grant: an unreachable member keeps what it has.
    fn keeps(&self, budgets: &BTreeMap<String, Budget>, name: &String) -> bool {
        let is_named = self.demand.is_none_or(|demand| demand.contains_key(name));
        budgets.contains_key(name) && (!self.is_reachable || is_named)
    }

    /// The accepted grant without the budgets that it does not keep; none where it keeps all, or has a
    /// pending offer.
    fn offer_without_unused(&self, budgets: &BTreeMap<String, Budget>) -> Option<Offer> {
        let Grant { guaranteed, quotas, .. } = &self.allocation.accepted;
        let keeps_all = guaranteed.keys().chain(quotas.keys()).all(|name| self.keeps(budgets, name));
        if self.allocation.offered.is_some() || keeps_all {
            return None;
        }
        let kept = |amounts: &BudgetAmounts| {
            let kept = amounts.iter().filter(|(name, _)| self.keeps(budgets, name));
            kept.map(|(name, amount)| (name.clone(), *amount)).collect()
        };
        Some(Offer { guaranteed: kept(guaranteed), quotas: kept(quotas) })
    }

    fn latest_offer(&self) -> Offer {
        let Grant { guaranteed, quotas, .. } = self.allocation.latest_grant().clone();
        Offer { guaranteed, quotas }
    }
}

/// The offers to those members whose grant is to change. While `is_demand_known` is false quotas stay as they
/// are.
pub(crate) fn plan_offers(
    ledger: &Ledger,
    members: &[MemberDemand],
    is_demand_known: bool,
) -> BTreeMap<MemberId, Offer> {
    let mut offers = BTreeMap::new();
    let mut members_by_budget: BTreeMap<&str, Vec<&MemberDemand>> = BTreeMap::new();
    for member in members {
        if let Some(offer) = member.offer_without_unused(ledger.budgets()) {
            offers.insert(member.identity, offer);
        }
        for name in member.budget_names() {
            members_by_budget.entry(name).or_default().push(member);
        }
    }
    let total_allocated = ledger.total_allocated_by_budget();
    for (name, budget) in ledger.budgets() {
        let Some(members) = members_by_budget.get(name.as_str()) else { continue };
        let total_allocated = total_allocated.get(name.as_str()).copied().unwrap_or(0);
        let division = BudgetDivision { name, budget, members, total_allocated };
        for BudgetOffer { member, amounts } in division.offers(is_demand_known) {
            let offer = offers.entry(member.identity).or_insert_with(|| member.latest_offer());
            offer.guaranteed.insert(name.clone(), amounts.guaranteed);
            offer.quotas.insert(name.clone(), amounts.quota);
        }
    }
    offers
}

/// A member's two amounts of one budget.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Amounts {
    guaranteed: MilliUnits,
    quota: MilliUnits,
}

impl Amounts {
    fn total(self) -> MilliUnits {
        self.guaranteed + self.quota
    }

    /// Reduced, quota first, so that it exceeds `allocated` by at most `free`; none where too little of the
    /// increase is free.
    fn limited_to(self, allocated: MilliUnits, free: MilliUnits) -> Option<Amounts> {
        let increase = self.total().saturating_sub(allocated);
        let missing = increase.saturating_sub(free);
        if missing > 0 && (increase - missing) * MIN_INCREASE_DIVISOR < increase {
            return None;
        }
        Some(Amounts {
            guaranteed: self.guaranteed.saturating_sub(missing.saturating_sub(self.quota)),
            quota: self.quota.saturating_sub(missing),
        })
    }
}

/// New amounts of one budget for one member.
struct BudgetOffer<'a> {
    member: &'a MemberDemand<'a>,
    amounts: Amounts,
}

/// One budget, and the members that are offered amounts of it.
struct BudgetDivision<'a> {
    name: &'a str,
    budget: &'a Budget,
    members: &'a [&'a MemberDemand<'a>],
    /// By all members, also those that do not name the budget any more.
    total_allocated: MilliUnits,
}

impl<'a> BudgetDivision<'a> {
    fn amount(&self, amounts: &BudgetAmounts) -> MilliUnits {
        amounts.get(self.name).copied().unwrap_or(0)
    }

    fn latest_amounts(&self, member: &MemberDemand) -> Amounts {
        let latest = member.allocation.latest_grant();
        Amounts { guaranteed: self.amount(&latest.guaranteed), quota: self.amount(&latest.quotas) }
    }

    /// What each member is guaranteed: less than the budget says where there are more members than its limit
    /// allows.
    fn guaranteed(&self) -> MilliUnits {
        let member_count = self.members.len() as MilliUnits;
        let total = self.budget.guaranteed.saturating_mul(member_count).min(self.budget.limit);
        total / member_count.max(1)
    }

    /// The quota that each reachable member should have once all transitions are accepted.
    fn target_quotas(&self, reachable: &[&MemberDemand], guaranteed: MilliUnits) -> Vec<MilliUnits> {
        let current: Vec<MilliUnits> =
            reachable.iter().map(|member| self.latest_amounts(member).quota).collect();
        let mut demands = current.clone();
        for (demand, member) in demands.iter_mut().zip(reachable) {
            if let Some(reported) = member.demand {
                *demand = self.amount(reported).min(self.budget.limit).saturating_sub(guaranteed);
            }
        }
        let shareable = self.budget.limit - guaranteed * self.members.len() as MilliUnits;
        divide(shareable, &demands, &current)
    }

    /// The amounts that are to change now: increases only as far as they are free.
    fn offers(&self, is_demand_known: bool) -> Vec<BudgetOffer<'a>> {
        let guaranteed = self.guaranteed();
        let reachable: Vec<&MemberDemand> =
            self.members.iter().copied().filter(|member| member.is_reachable).collect();
        let targets = is_demand_known.then(|| self.target_quotas(&reachable, guaranteed));
        let mut free = self.budget.limit.saturating_sub(self.total_allocated);
        let mut offers = Vec::new();
        for (index, member) in reachable.into_iter().enumerate() {
            let current = self.latest_amounts(member);
            let quota = targets.as_ref().map_or(current.quota, |targets| targets[index]);
            let target = Amounts { guaranteed, quota };
            if member.allocation.offered.is_some() || target == current {
                continue;
            }
            let allocated = member.allocation.max_allocated(self.name);
            let Some(amounts) = target.limited_to(allocated, free) else { continue };
            free -= amounts.total().saturating_sub(allocated).min(free);
            if amounts != current {
                offers.push(BudgetOffer { member, amounts });
            }
        }
        offers
    }
}
