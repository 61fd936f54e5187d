//! What only the leader of the ledger's processes knows, and decides: when it heard of whom by its own clock, what each
//! asked for, and what to enter next. It is made anew with each leadership, and then knows nothing: it takes every member
//! for heard of at that moment, since the leader before it may have answered until then.
//!
//! The caller answers a beat with [`Leader::answer`] only once it is certain that it still led after the beat came, and
//! has applied all that was entered before: a leader that is none any more must promise nothing.

use crate::configuration::register::Register;
use crate::configuration::rollout::MemberRollout;
use crate::configuration::{is_name, sanitize, ConfigurationReport, Target, Version, MAX_REASON_CHARS};
use crate::division::divide;
use crate::lease::Lease;
use crate::ledger::{Allocation, Budget, Entry, Ledger, LedgerTransition};
use crate::message::{Grant, Heartbeat, HeartbeatReply, RejectReason};
use crate::{BudgetAmounts, MemberId, MilliUnits};
use fernroute::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A name longer than this is none that a person gave.
const MOST_NAME: usize = 64;

/// What the leader knows of one member.
#[derive(Clone, Debug)]
struct Known {
    /// The last beat, by this leader's clock; its leadership's begin before there was one.
    heard: Time,
    /// What the last beat asked for; none before there was one.
    wants: Option<BudgetAmounts>,
    /// The epoch that it goes by.
    epoch: u64,
    leaves: bool,
    /// What the last beat said of the configuration, if it said anything; by its number and when it came.
    report: Option<ConfigurationReport>,
    reported: (u64, Time),
}

impl Known {
    fn new(heard: Time) -> Self {
        Known { heard, wants: None, epoch: 0, leaves: false, report: None, reported: (0, 0) }
    }

    /// A beat that was overtaken says nothing of what is in force now. One that is numbered lower and comes when no other
    /// has come for long is of a machine that began to count anew.
    fn report(&mut self, now: Time, beat: &Heartbeat, lapse: Time) {
        let (number, at) = self.reported;
        if beat.number < number && now.saturating_sub(at) <= lapse {
            return;
        }
        self.reported = (beat.number, now);
        self.report = beat
            .configuration
            .clone()
            .filter(|report| is_name(&report.service) && (report.zone.is_empty() || is_name(&report.zone)));
        // Guards against a table of `status` that a member's own words break, and against long ones.
        if let Some((_, why)) = self.report.iter_mut().find_map(|report| report.rejected.as_mut()) {
            *why = sanitize(why, MAX_REASON_CHARS);
        }
    }
}

#[derive(Clone, Debug)]
pub struct Leader {
    shares: Lease,
    floors: Lease,
    /// Members at the most, so that all their floors fit into each whole.
    most: usize,
    begun: Time,
    /// Members and those who would be; emptied as they go, and of those who would be as they are not heard of.
    known: BTreeMap<MemberId, (String, Known)>,
    /// What is being entered, until it is known to be applied, or never to be.
    entering: Option<LedgerTransition>,
}

impl Leader {
    pub fn new(now: Time, ledger: &Ledger, shares: Lease, floors: Lease, most: usize) -> Self {
        let known = |(identity, holder): (&MemberId, &Allocation)| {
            (*identity, (holder.name.clone(), Known::new(now)))
        };
        let known = ledger.allocations().iter().map(known).collect();
        Leader { shares, floors, most, begun: now, known, entering: None }
    }

    /// Notes a beat. An error is an answer, too.
    pub fn on_heartbeat(&mut self, now: Time, beat: &Heartbeat, ledger: &Ledger) -> Result<(), RejectReason> {
        if beat.name.is_empty() || beat.name.len() > MOST_NAME {
            return Err(RejectReason::InvalidName);
        }
        if !ledger.allocations().contains_key(&beat.identity) {
            if beat.leaving {
                return Ok(());
            }
            let other = |(identity, (name, _)): (&MemberId, &(String, Known))| {
                *identity != beat.identity && *name == beat.name
            };
            if self.known.iter().any(other) {
                return Err(RejectReason::NameTaken);
            }
            if self.known.len() >= self.most && !self.known.contains_key(&beat.identity) {
                return Err(RejectReason::Full);
            }
        }
        let new = || (beat.name.clone(), Known::new(now));
        let (_, known) = self.known.entry(beat.identity).or_insert_with(new);
        // One that says it leaves never comes again: what still comes is late.
        if !known.leaves {
            known.heard = now;
            known.wants = Some(beat.demand.clone());
            known.epoch = known.epoch.max(beat.epoch);
            known.leaves = beat.leaving;
            known.report(now, beat, self.shares.expires_after());
        }
        Ok(())
    }

    /// What the member of this beat may be told now. The version of the configuration that concerns it is told for as long
    /// as its beats report another one, and nothing is noted of that: guards against a notice that is lost for ever.
    pub fn reply(
        &self,
        beat: &Heartbeat,
        ledger: &Ledger,
        register: &Register,
    ) -> Result<HeartbeatReply, RejectReason> {
        let holder = ledger.allocations().get(&beat.identity).ok_or(RejectReason::RetryLater)?;
        // Guards against a promise to a member whose lapse is being entered.
        let ends = |step: &LedgerTransition| {
            step.expired.contains(&beat.identity) || step.removed.contains(&beat.identity)
        };
        if beat.leaving || self.entering.as_ref().is_some_and(ends) {
            return Err(RejectReason::RetryLater);
        }
        let (shares_for, floors_for) = (self.shares.duration, self.floors.duration);
        let concerns = beat.configuration.as_ref().and_then(|report| {
            let version = register.version_for(&place(&beat.name, report));
            (version != report.active).then_some(version)
        });
        Ok(HeartbeatReply {
            identity: beat.identity,
            number: beat.number,
            grant: holder.latest_grant().clone(),
            quotas_valid_for: shares_for,
            guaranteed_valid_for: floors_for,
            configuration: concerns,
            duties: None,
        })
    }

    /// How far each member is with the configuration, as of now.
    pub fn configuration_states(
        &self,
        now: Time,
        ledger: &Ledger,
        register: &Register,
    ) -> Vec<MemberRollout> {
        let standing = |(identity, holder): (&MemberId, &Allocation)| {
            let known = self.known.get(identity).map(|(_, known)| known);
            // A new leader takes all for heard of, since what they hold was promised; of their configuration it has heard
            // nothing before their first beat.
            let heard = known.is_some_and(|known| {
                let silent = now.saturating_sub(known.heard);
                known.wants.is_some() && !known.leaves && silent <= self.shares.expires_after()
            });
            let report = known.and_then(|known| known.report.as_ref());
            let wanted = report.map_or(0, |report| register.version_for(&place(&holder.name, report)));
            MemberRollout::new(&holder.name, wanted, report, heard)
        };
        ledger.allocations().iter().map(standing).collect()
    }

    /// The highest version that any member said it goes by, or refused: [`crate::configuration::register::Put::above`]
    /// is to be this. Guards against numbers that are given twice, where a register was lost with all stewards' disks and
    /// balancers still go by what it said.
    pub fn highest_reported_version(&self) -> Version {
        let reports = self.known.values().filter_map(|(_, known)| known.report.as_ref());
        let highest = |report: &ConfigurationReport| {
            report.active.max(report.rejected.as_ref().map_or(0, |(version, _)| *version))
        };
        reports.map(highest).max().unwrap_or(0)
    }

    /// What is to be entered now, if anything. Until [`Leader::entered`] is called there is nothing more.
    pub fn next_transition(&mut self, now: Time, ledger: &Ledger) -> Option<LedgerTransition> {
        if self.entering.is_some() {
            return None;
        }
        self.forget(now, ledger);
        let mut step = LedgerTransition { base_epoch: ledger.epoch(), ..LedgerTransition::default() };
        for (identity, (name, known)) in &self.known {
            let Some(holder) = ledger.allocations().get(identity) else {
                step.joined.push((*identity, name.clone()));
                continue;
            };
            let silent = now.saturating_sub(known.heard);
            if known.leaves || silent > self.floors.expires_after() {
                step.removed.push(*identity);
            } else if holder.offered.as_ref().is_some_and(|offered| offered.epoch == known.epoch) {
                step.accepted.push((*identity, known.epoch));
            } else if silent > self.shares.expires_after() && holds_shares(holder) {
                step.expired.push(*identity);
            }
        }
        // What the members would hold after that is divided.
        let mut after = ledger.clone();
        let entry = Entry::Transition(step.clone());
        if !step.is_empty() && after.apply(&entry).is_err() {
            return None;
        }
        step.offers = self.divide(now, &after);
        if step.is_empty() {
            return None;
        }
        self.entering = Some(step.clone());
        Some(step)
    }

    /// The step has been applied, or refused, or will never be: the ledger says which.
    pub fn transition_done(&mut self) {
        self.entering = None;
    }

    /// Who would be a member and is not heard of any more, and members that the ledger has let go.
    fn forget(&mut self, now: Time, ledger: &Ledger) {
        let lapse = self.shares.expires_after();
        self.known.retain(|identity, (_, known)| {
            let member = ledger.allocations().contains_key(identity);
            member || !known.leaves && now.saturating_sub(known.heard) <= lapse
        });
        for (identity, holder) in ledger.allocations() {
            self.known.entry(*identity).or_insert_with(|| (holder.name.clone(), Known::new(now)));
        }
    }

    /// Offers to those whose share is to be another. Who is offered less frees it by accepting; what is free is offered
    /// to who is short, so it takes two rounds.
    ///
    /// A member has parts of those budgets alone that it names: what there is to divide, to say and to enter grows with
    /// what members name, and not with all budgets for each member.
    fn divide(&self, now: Time, ledger: &Ledger) -> BTreeMap<MemberId, (BudgetAmounts, BudgetAmounts)> {
        let mut offers: BTreeMap<MemberId, (BudgetAmounts, BudgetAmounts)> = BTreeMap::new();
        let mut sharers: BTreeMap<&str, Vec<Sharer>> = BTreeMap::new();
        for (identity, holder) in ledger.allocations() {
            let known = self.known.get(identity).map(|(_, known)| known);
            // Who is silent for longer than a share may be held gets none until it is heard of again.
            let reached = known.filter(|known| {
                !known.leaves && now.saturating_sub(known.heard) <= self.shares.expires_after()
            });
            // Of whom a new leader has not heard yet it is known only what it has.
            let wants = known.and_then(|known| known.wants.as_ref());
            let names = |name: &str| wants.is_none_or(|wants| wants.contains_key(name));
            // A budget that is no more is not offered any more, and one that is not named is not to a member that hears.
            let kept =
                |name: &String| ledger.budgets().contains_key(name) && (reached.is_none() || names(name));
            let had = |grant: &Grant| grant.guaranteed.keys().chain(grant.quotas.keys()).all(kept);
            if holder.offered.is_none() && !had(&holder.accepted) {
                let kept = |of: &BudgetAmounts| {
                    let kept = of.iter().filter(|(name, _)| kept(name));
                    kept.map(|(name, amount)| (name.clone(), *amount)).collect()
                };
                offers.insert(*identity, (kept(&holder.accepted.guaranteed), kept(&holder.accepted.quotas)));
            }
            let latest = holder.latest_grant();
            let of: BTreeSet<&String> = match wants {
                Some(wants) => wants.keys().collect(),
                None => latest.guaranteed.keys().chain(latest.quotas.keys()).collect(),
            };
            for name in of {
                let sharer = Sharer { identity: *identity, holder, reached: reached.is_some(), wants };
                sharers.entry(name).or_default().push(sharer);
            }
        }
        let held = ledger.total_allocated_by_budget();
        for (name, budget) in ledger.budgets() {
            let Some(all) = sharers.get(name.as_str()) else { continue };
            let held = held.get(name.as_str()).copied().unwrap_or(0);
            for (identity, floor, share) in self.divide_one(now, all, name, budget, held) {
                let offer = offers.entry(identity).or_insert_with(|| {
                    let latest =
                        ledger.allocations().get(&identity).map(|holder| holder.latest_grant().clone());
                    let latest = latest.unwrap_or_default();
                    (latest.guaranteed, latest.quotas)
                });
                offer.0.insert(name.clone(), floor);
                offer.1.insert(name.clone(), share);
            }
        }
        offers
    }

    /// Floors and shares of one budget that are to be others than they are; `all` have a part in it, and `held` is what
    /// members hold of it together, those too that name it no more.
    fn divide_one(
        &self,
        now: Time,
        all: &[Sharer],
        name: &str,
        budget: &Budget,
        held: MilliUnits,
    ) -> Vec<(MemberId, MilliUnits, MilliUnits)> {
        let amount = |shares: &BudgetAmounts| shares.get(name).copied().unwrap_or(0);
        let floors = budget.guaranteed.saturating_mul(all.len() as MilliUnits).min(budget.limit);
        let floor = floors / (all.len().max(1) as MilliUnits);
        let shared: Vec<&Sharer> = all.iter().filter(|sharer| sharer.reached).collect();
        let has: Vec<MilliUnits> =
            shared.iter().map(|sharer| amount(&sharer.holder.latest_grant().quotas)).collect();
        let wants = shared.iter().zip(&has).map(|(sharer, has)| {
            sharer.wants.map_or(*has, |wants| amount(wants).min(budget.limit).saturating_sub(floor))
        });
        let wants: Vec<MilliUnits> = wants.collect();
        let rest = budget.limit - floor * all.len() as MilliUnits;
        // A beat or two after its begin it knows who is there and what they ask for: before that the first to come would
        // get all, and would have to give it back.
        let knows = now.saturating_sub(self.begun) >= self.shares.duration / 3;
        let next = if knows { divide(rest, &wants, &has) } else { has.clone() };
        let mut free = budget.limit.saturating_sub(held);
        /// Less than this part of what is missing waits until more is free.
        const FEW: MilliUnits = 8;
        let mut offers = Vec::new();
        for (n, sharer) in shared.iter().enumerate() {
            let holder = sharer.holder;
            let has_floor = amount(&holder.latest_grant().guaranteed);
            if holder.offered.is_some() || next[n] == has[n] && has_floor == floor {
                continue;
            }
            let share = next[n];
            // More only as far as it is free; what is less is free once it is accepted.
            let more = (floor + share).saturating_sub(holder.max_allocated(name));
            let short = more.saturating_sub(free);
            // Guards against a step for each crumb that is free.
            if short > 0 && (more - short) * FEW < more {
                continue;
            }
            let (floor, share) =
                (floor.saturating_sub(short.saturating_sub(share)), share.saturating_sub(short));
            free -= (floor + share).saturating_sub(holder.max_allocated(name)).min(free);
            if (floor, share) != (has_floor, has[n]) {
                offers.push((sharer.identity, floor, share));
            }
        }
        offers
    }
}

/// Who has a part in a budget: it names it, or has one as far as a new leader knows.
struct Sharer<'a> {
    identity: MemberId,
    holder: &'a Allocation,
    reached: bool,
    /// What its last beat asked for; none before there was one.
    wants: Option<&'a BudgetAmounts>,
}

fn place(name: &str, report: &ConfigurationReport) -> Target {
    Target { name: name.to_owned(), service: report.service.clone(), zone: report.zone.clone() }
}

fn holds_shares(holder: &Allocation) -> bool {
    let any = |grant: &Grant| grant.quotas.values().any(|share| *share > 0);
    any(&holder.accepted) || holder.offered.as_ref().is_some_and(any)
}
