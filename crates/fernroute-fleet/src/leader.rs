//! What only the leader of the ledger's processes knows, and decides: when it heard of whom by its own clock, what each
//! asked for, and what to enter next. It is made anew with each leadership, and then knows nothing: it takes every member
//! for heard of at that moment, since the leader before it may have answered until then.
//!
//! The caller answers a beat with [`Leader::answer`] only once it is certain that it still led after the beat came, and
//! has applied all that was entered before: a leader that is none any more must promise nothing.

use crate::configuration::register::Register;
use crate::configuration::standing::MemberStanding;
use crate::configuration::{is_name, tidy, Place, Report, Version, MOST_REASON};
use crate::division::divide;
use crate::lease::Lease;
use crate::ledger::{Budget, Entry, Holder, Ledger, Step};
use crate::message::{Answer, Beat, Grant, Refusal};
use crate::{Identity, Shares, Units};
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
    wants: Option<Shares>,
    /// The epoch that it goes by.
    epoch: u64,
    leaves: bool,
    /// What the last beat said of the configuration, if it said anything; by its number and when it came.
    report: Option<Report>,
    reported: (u64, Time),
}

impl Known {
    fn new(heard: Time) -> Self {
        Known { heard, wants: None, epoch: 0, leaves: false, report: None, reported: (0, 0) }
    }

    /// A beat that was overtaken says nothing of what is in force now. One that is numbered lower and comes when no other
    /// has come for long is of a machine that began to count anew.
    fn report(&mut self, now: Time, beat: &Beat, lapse: Time) {
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
        if let Some((_, why)) = self.report.iter_mut().find_map(|report| report.refused.as_mut()) {
            *why = tidy(why, MOST_REASON);
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
    known: BTreeMap<Identity, (String, Known)>,
    /// What is being entered, until it is known to be applied, or never to be.
    entering: Option<Step>,
}

impl Leader {
    pub fn new(now: Time, ledger: &Ledger, shares: Lease, floors: Lease, most: usize) -> Self {
        let known =
            |(identity, holder): (&Identity, &Holder)| (*identity, (holder.name.clone(), Known::new(now)));
        let known = ledger.holders().iter().map(known).collect();
        Leader { shares, floors, most, begun: now, known, entering: None }
    }

    /// Notes a beat. An error is an answer, too.
    pub fn hear(&mut self, now: Time, beat: &Beat, ledger: &Ledger) -> Result<(), Refusal> {
        if beat.name.is_empty() || beat.name.len() > MOST_NAME {
            return Err(Refusal::BadName);
        }
        if !ledger.holders().contains_key(&beat.identity) {
            if beat.leaves {
                return Ok(());
            }
            let other = |(identity, (name, _)): (&Identity, &(String, Known))| {
                *identity != beat.identity && *name == beat.name
            };
            if self.known.iter().any(other) {
                return Err(Refusal::NameTaken);
            }
            if self.known.len() >= self.most && !self.known.contains_key(&beat.identity) {
                return Err(Refusal::Full);
            }
        }
        let new = || (beat.name.clone(), Known::new(now));
        let (_, known) = self.known.entry(beat.identity).or_insert_with(new);
        // One that says it leaves never comes again: what still comes is late.
        if !known.leaves {
            known.heard = now;
            known.wants = Some(beat.wants.clone());
            known.epoch = known.epoch.max(beat.epoch);
            known.leaves = beat.leaves;
            known.report(now, beat, self.shares.lapse());
        }
        Ok(())
    }

    /// What the member of this beat may be told now. The version of the configuration that concerns it is told for as long
    /// as its beats report another one, and nothing is noted of that: guards against a notice that is lost for ever.
    pub fn answer(&self, beat: &Beat, ledger: &Ledger, register: &Register) -> Result<Answer, Refusal> {
        let holder = ledger.holders().get(&beat.identity).ok_or(Refusal::Later)?;
        // Guards against a promise to a member whose lapse is being entered.
        let ends = |step: &Step| step.lapsed.contains(&beat.identity) || step.gone.contains(&beat.identity);
        if beat.leaves || self.entering.as_ref().is_some_and(ends) {
            return Err(Refusal::Later);
        }
        let (shares_for, floors_for) = (self.shares.length, self.floors.length);
        let concerns = beat.configuration.as_ref().and_then(|report| {
            let version = register.concerns(&place(&beat.name, report));
            (version != report.in_force).then_some(version)
        });
        Ok(Answer {
            identity: beat.identity,
            number: beat.number,
            grant: holder.latest().clone(),
            shares_for,
            floors_for,
            configuration: concerns,
            duties: None,
        })
    }

    /// How far each member is with the configuration, as of now.
    pub fn standings(&self, now: Time, ledger: &Ledger, register: &Register) -> Vec<MemberStanding> {
        let standing = |(identity, holder): (&Identity, &Holder)| {
            let known = self.known.get(identity).map(|(_, known)| known);
            // A new leader takes all for heard of, since what they hold was promised; of their configuration it has heard
            // nothing before their first beat.
            let heard = known.is_some_and(|known| {
                let silent = now.saturating_sub(known.heard);
                known.wants.is_some() && !known.leaves && silent <= self.shares.lapse()
            });
            let report = known.and_then(|known| known.report.as_ref());
            let wanted = report.map_or(0, |report| register.concerns(&place(&holder.name, report)));
            MemberStanding::new(&holder.name, wanted, report, heard)
        };
        ledger.holders().iter().map(standing).collect()
    }

    /// The highest version that any member said it goes by, or refused: [`crate::configuration::register::Put::above`]
    /// is to be this. Guards against numbers that are given twice, where a register was lost with all stewards' disks and
    /// balancers still go by what it said.
    pub fn reported(&self) -> Version {
        let reports = self.known.values().filter_map(|(_, known)| known.report.as_ref());
        let highest =
            |report: &Report| report.in_force.max(report.refused.as_ref().map_or(0, |(version, _)| *version));
        reports.map(highest).max().unwrap_or(0)
    }

    /// What is to be entered now, if anything. Until [`Leader::entered`] is called there is nothing more.
    pub fn due(&mut self, now: Time, ledger: &Ledger) -> Option<Step> {
        if self.entering.is_some() {
            return None;
        }
        self.forget(now, ledger);
        let mut step = Step { base: ledger.epoch(), ..Step::default() };
        for (identity, (name, known)) in &self.known {
            let Some(holder) = ledger.holders().get(identity) else {
                step.joins.push((*identity, name.clone()));
                continue;
            };
            let silent = now.saturating_sub(known.heard);
            if known.leaves || silent > self.floors.lapse() {
                step.gone.push(*identity);
            } else if holder.offered.as_ref().is_some_and(|offered| offered.epoch == known.epoch) {
                step.accepted.push((*identity, known.epoch));
            } else if silent > self.shares.lapse() && holds_shares(holder) {
                step.lapsed.push(*identity);
            }
        }
        // What the members would hold after that is divided.
        let mut after = ledger.clone();
        let entry = Entry::Step(step.clone());
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
    pub fn entered(&mut self) {
        self.entering = None;
    }

    /// Who would be a member and is not heard of any more, and members that the ledger has let go.
    fn forget(&mut self, now: Time, ledger: &Ledger) {
        let lapse = self.shares.lapse();
        self.known.retain(|identity, (_, known)| {
            let member = ledger.holders().contains_key(identity);
            member || !known.leaves && now.saturating_sub(known.heard) <= lapse
        });
        for (identity, holder) in ledger.holders() {
            self.known.entry(*identity).or_insert_with(|| (holder.name.clone(), Known::new(now)));
        }
    }

    /// Offers to those whose share is to be another. Who is offered less frees it by accepting; what is free is offered
    /// to who is short, so it takes two rounds.
    ///
    /// A member has parts of those budgets alone that it names: what there is to divide, to say and to enter grows with
    /// what members name, and not with all budgets for each member.
    fn divide(&self, now: Time, ledger: &Ledger) -> BTreeMap<Identity, (Shares, Shares)> {
        let mut offers: BTreeMap<Identity, (Shares, Shares)> = BTreeMap::new();
        let mut sharers: BTreeMap<&str, Vec<Sharer>> = BTreeMap::new();
        for (identity, holder) in ledger.holders() {
            let known = self.known.get(identity).map(|(_, known)| known);
            // Who is silent for longer than a share may be held gets none until it is heard of again.
            let reached =
                known.filter(|known| !known.leaves && now.saturating_sub(known.heard) <= self.shares.lapse());
            // Of whom a new leader has not heard yet it is known only what it has.
            let wants = known.and_then(|known| known.wants.as_ref());
            let names = |name: &str| wants.is_none_or(|wants| wants.contains_key(name));
            // A budget that is no more is not offered any more, and one that is not named is not to a member that hears.
            let kept =
                |name: &String| ledger.budgets().contains_key(name) && (reached.is_none() || names(name));
            let had = |grant: &Grant| grant.floors.keys().chain(grant.shares.keys()).all(kept);
            if holder.offered.is_none() && !had(&holder.accepted) {
                let kept = |of: &Shares| {
                    let kept = of.iter().filter(|(name, _)| kept(name));
                    kept.map(|(name, amount)| (name.clone(), *amount)).collect()
                };
                offers.insert(*identity, (kept(&holder.accepted.floors), kept(&holder.accepted.shares)));
            }
            let latest = holder.latest();
            let of: BTreeSet<&String> = match wants {
                Some(wants) => wants.keys().collect(),
                None => latest.floors.keys().chain(latest.shares.keys()).collect(),
            };
            for name in of {
                let sharer = Sharer { identity: *identity, holder, reached: reached.is_some(), wants };
                sharers.entry(name).or_default().push(sharer);
            }
        }
        let held = ledger.held_of_each();
        for (name, budget) in ledger.budgets() {
            let Some(all) = sharers.get(name.as_str()) else { continue };
            let held = held.get(name.as_str()).copied().unwrap_or(0);
            for (identity, floor, share) in self.divide_one(now, all, name, budget, held) {
                let offer = offers.entry(identity).or_insert_with(|| {
                    let latest = ledger.holders().get(&identity).map(|holder| holder.latest().clone());
                    let latest = latest.unwrap_or_default();
                    (latest.floors, latest.shares)
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
        held: Units,
    ) -> Vec<(Identity, Units, Units)> {
        let amount = |shares: &Shares| shares.get(name).copied().unwrap_or(0);
        let floors = budget.floor.saturating_mul(all.len() as Units).min(budget.whole);
        let floor = floors / (all.len().max(1) as Units);
        let shared: Vec<&Sharer> = all.iter().filter(|sharer| sharer.reached).collect();
        let has: Vec<Units> = shared.iter().map(|sharer| amount(&sharer.holder.latest().shares)).collect();
        let wants = shared.iter().zip(&has).map(|(sharer, has)| {
            sharer.wants.map_or(*has, |wants| amount(wants).min(budget.whole).saturating_sub(floor))
        });
        let wants: Vec<Units> = wants.collect();
        let rest = budget.whole - floor * all.len() as Units;
        // A beat or two after its begin it knows who is there and what they ask for: before that the first to come would
        // get all, and would have to give it back.
        let knows = now.saturating_sub(self.begun) >= self.shares.length / 3;
        let next = if knows { divide(rest, &wants, &has) } else { has.clone() };
        let mut free = budget.whole.saturating_sub(held);
        /// Less than this part of what is missing waits until more is free.
        const FEW: Units = 8;
        let mut offers = Vec::new();
        for (n, sharer) in shared.iter().enumerate() {
            let holder = sharer.holder;
            let has_floor = amount(&holder.latest().floors);
            if holder.offered.is_some() || next[n] == has[n] && has_floor == floor {
                continue;
            }
            let share = next[n];
            // More only as far as it is free; what is less is free once it is accepted.
            let more = (floor + share).saturating_sub(holder.holds(name));
            let short = more.saturating_sub(free);
            // Guards against a step for each crumb that is free.
            if short > 0 && (more - short) * FEW < more {
                continue;
            }
            let (floor, share) =
                (floor.saturating_sub(short.saturating_sub(share)), share.saturating_sub(short));
            free -= (floor + share).saturating_sub(holder.holds(name)).min(free);
            if (floor, share) != (has_floor, has[n]) {
                offers.push((sharer.identity, floor, share));
            }
        }
        offers
    }
}

/// Who has a part in a budget: it names it, or has one as far as a new leader knows.
struct Sharer<'a> {
    identity: Identity,
    holder: &'a Holder,
    reached: bool,
    /// What its last beat asked for; none before there was one.
    wants: Option<&'a Shares>,
}

fn place(name: &str, report: &Report) -> Place {
    Place { name: name.to_owned(), service: report.service.clone(), zone: report.zone.clone() }
}

fn holds_shares(holder: &Holder) -> bool {
    let any = |grant: &Grant| grant.shares.values().any(|share| *share > 0);
    any(&holder.accepted) || holder.offered.as_ref().is_some_and(any)
}
