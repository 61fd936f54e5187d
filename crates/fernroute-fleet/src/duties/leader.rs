//! What only the leader of the stewards knows of duties: when it heard of which candidate by its own clock, and what each
//! reported. It decides who gets or loses a duty next. It is made anew with each leadership, and takes every holder for heard of
//! at that moment, since the leader before it may have answered until then.
//!
//! As with budgets, the caller answers a heartbeat only once it is certain that it still led after the heartbeat came, and has
//! applied all that was entered before.

use super::placement::choose;
use super::table::{DutyEnd, DutyGrant, DutyHolder, DutyTable, DutyTransition};
use super::{hold_duration, Candidate, DutyAssignments, DutyReport, EndReason, Term};
use crate::lease::Lease;
use crate::message::Heartbeat;
use fernroute::Time;
use std::collections::BTreeMap;

/// What the leader knows of one candidate.
#[derive(Clone, Debug)]
struct Known {
    name: String,
    /// The last heartbeat, by this leader's clock; its leadership's begin before there was one.
    heard: Time,
    /// When it was last known to hear what it is answered, by this leader's clock; likewise.
    hears: Time,
    /// What the latest heartbeat said, and its number; none before there was one.
    report: Option<(u64, DutyReport)>,
}

impl Known {
    fn new(name: &str, now: Time) -> Self {
        Known { name: name.to_owned(), heard: now, hears: now, report: None }
    }

    /// A heartbeat that was overtaken says nothing of what is so now.
    fn on_heartbeat(&mut self, now: Time, number: u64, report: &DutyReport) {
        self.heard = now;
        let before = self.report.as_ref().map(|(number, report)| (*number, report.last_answered));
        if before.is_some_and(|(before, _)| number <= before) {
            return;
        }
        if before.is_some_and(|(_, answered)| report.last_answered > answered) {
            self.hears = now;
        }
        self.report = Some((number, report.clone()));
    }

    /// It may be given a duty, and has heard an answer: a member that has just come has heard none.
    fn is_eligible(&self) -> bool {
        self.report.as_ref().is_some_and(|(_, report)| report.eligible && report.last_answered > 0)
    }
}

/// How a duty stands, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Until its holder loses it unless it is heard of.
    pub expires_in: Time,
    /// For how long it has been held. Of a holder of before this leadership it is known to be so long at the least.
    pub held_for: Time,
    pub is_lower_bound: bool,
}

#[derive(Clone, Debug)]
pub struct Leader {
    lease: Lease,
    begun: Time,
    /// Emptied as candidates that hold nothing are not heard of any more.
    known: BTreeMap<Candidate, Known>,
    /// What is being entered, until it is known to be applied, or never to be.
    entering: Option<DutyTransition>,
    /// These are to end, and why: their holders are not told any more that they hold them. Emptied as they end.
    releasing: BTreeMap<(String, Term), EndReason>,
    /// When a holder was last told that it holds a term; this leadership's begin before that. As long as the list of duties.
    told: BTreeMap<(String, Term), Time>,
    /// When terms were given in this leadership. As long as the list of duties.
    granted: BTreeMap<String, (Term, Time)>,
}

impl Leader {
    pub fn new(now: Time, table: &DutyTable, lease: Lease) -> Self {
        let mut leader = Leader {
            lease,
            begun: now,
            known: BTreeMap::new(),
            entering: None,
            releasing: BTreeMap::new(),
            told: BTreeMap::new(),
            granted: BTreeMap::new(),
        };
        leader.forget(now, table);
        leader
    }

    /// Notes a heartbeat. One that says nothing of duties is of a member that takes none.
    pub fn on_heartbeat(&mut self, now: Time, beat: &Heartbeat) {
        let Some(report) = &beat.duties else { return };
        let candidate = Candidate { identity: beat.identity, incarnation: report.incarnation };
        let known = self.known.entry(candidate).or_insert_with(|| Known::new(&beat.name, now));
        known.on_heartbeat(now, beat.number, report);
    }

    /// What the member of this heartbeat may be told now; none where it neither holds nor released anything.
    pub fn assignments_for(&mut self, beat: &Heartbeat, table: &DutyTable) -> Option<DutyAssignments> {
        let report = beat.duties.as_ref()?;
        let candidate = Candidate { identity: beat.identity, incarnation: report.incarnation };
        let mut told =
            DutyAssignments { hold_duration: hold_duration(&self.lease), ..DutyAssignments::default() };
        for (name, duty) in table.duties() {
            let Some(holder) = duty.holder.as_ref().filter(|holder| holder.candidate == candidate) else {
                continue;
            };
            // Guards against a promise to a holder whose lapse is being entered.
            let is_ending = self.entering.iter().flat_map(|change| &change.ends).any(|end| end.duty == *name);
            if !is_ending && !duty.removed && !self.releasing.contains_key(&(name.clone(), holder.term)) {
                told.terms.insert(name.clone(), holder.term);
            }
        }
        // The heartbeat that is answered was heard no later than the latest one.
        let heard = self.known.get(&candidate).map_or(self.begun, |known| known.heard);
        for (duty, term) in &told.terms {
            self.told.insert((duty.clone(), *term), heard);
        }
        for (duty, term) in &report.released {
            if table.holder(duty).is_none_or(|holder| holder.term != *term) {
                told.acknowledged.insert(duty.clone());
            }
        }
        (!told.terms.is_empty() || !told.acknowledged.is_empty()).then_some(told)
    }

    /// An operator wants this duty to go to another member; who holds it.
    pub fn release(&mut self, duty: &str, table: &DutyTable) -> Option<DutyHolder> {
        let holder = table.holder(duty)?;
        self.releasing.insert((duty.to_owned(), holder.term), EndReason::Operator);
        Some(holder.clone())
    }

    /// What is to be entered now, if anything. Until [`Leader::entered`] is called there is nothing more.
    pub fn next_transition(&mut self, now: Time, table: &DutyTable) -> Option<DutyTransition> {
        if self.entering.is_some() {
            return None;
        }
        self.forget(now, table);
        self.release_unanswered(now, table);
        let ends = self.ends(now, table);
        let grants = self.grants(now, table, &ends);
        let above = self.known.values().filter_map(|known| known.report.as_ref());
        let above = above.map(|(_, report)| report.highest_term).max().unwrap_or(0);
        let change =
            DutyTransition { base_version: table.version(), ends, grants, min_term_exclusive: above };
        if change.is_empty() {
            return None;
        }
        self.entering = Some(change.clone());
        Some(change)
    }

    /// The change has been applied, or refused, or will never be: the table says which.
    pub fn transition_done(&mut self, now: Time, table: &DutyTable) {
        let Some(change) = self.entering.take() else { return };
        for grant in &change.grants {
            if let Some(holder) = table.holder(&grant.duty).filter(|h| h.candidate == grant.candidate) {
                self.granted.insert(grant.duty.clone(), (holder.term, now));
            }
        }
        let is_held = |duty: &str, term: Term| table.holder(duty).is_some_and(|holder| holder.term == term);
        self.releasing.retain(|(duty, term), _| is_held(duty, *term));
        self.told.retain(|(duty, term), _| is_held(duty, *term));
        self.granted.retain(|duty, (term, _)| is_held(duty, *term));
    }

    /// How a duty that is held stands.
    pub fn tenure(&self, now: Time, duty: &str, holder: &DutyHolder) -> Tenure {
        let told = self.told_at(now, duty, holder.term);
        let granted = self.granted.get(duty).filter(|(term, _)| *term == holder.term).map(|(_, at)| *at);
        Tenure {
            expires_in: self.lease.expires_after().saturating_sub(now.saturating_sub(told)),
            held_for: now.saturating_sub(granted.unwrap_or(self.begun)),
            is_lower_bound: granted.is_none(),
        }
    }

    /// When the holder may have been told of this term last. One that was given in this leadership and that nobody was told of
    /// yet counts from when it was given.
    fn told_at(&self, now: Time, duty: &str, term: Term) -> Time {
        let told = self.told.get(&(duty.to_owned(), term)).copied();
        let granted = self.granted.get(duty).filter(|(granted, _)| *granted == term).map(|(_, at)| *at);
        told.or(granted).unwrap_or(self.begun).min(now)
    }

    /// Holders that are heard of and hear nothing are told of what they hold no more, so that it lapses.
    fn release_unanswered(&mut self, now: Time, table: &DutyTable) {
        for (name, duty) in table.duties() {
            let Some(holder) = &duty.holder else { continue };
            let Some(known) = self.known.get(&holder.candidate) else { continue };
            let lately = |at: Time| now.saturating_sub(at) <= self.lease.duration / 2;
            if lately(known.heard) && !lately(known.hears) {
                let term = (name.clone(), holder.term);
                self.releasing.entry(term).or_insert(EndReason::Unresponsive);
            }
        }
    }

    fn ends(&self, now: Time, table: &DutyTable) -> Vec<DutyEnd> {
        let mut ends = Vec::new();
        for (name, duty) in table.duties() {
            let Some(holder) = &duty.holder else { continue };
            let Some(known) = self.known.get(&holder.candidate) else { continue };
            let wanted = self.releasing.get(&(name.clone(), holder.term)).copied();
            let wanted = wanted.or(duty.removed.then_some(EndReason::Removed));
            let released = known.report.as_ref().and_then(|(_, report)| report.released.get(name));
            // It lapses so long after its holder was told of it last: by then no answer lets it act on it.
            let has_lapsed =
                now.saturating_sub(self.told_at(now, name, holder.term)) > self.lease.expires_after();
            let reason = if released.is_some_and(|term| *term >= holder.term) {
                wanted.unwrap_or(EndReason::Drained)
            } else if has_lapsed {
                wanted.unwrap_or(EndReason::Expired)
            } else {
                continue;
            };
            ends.push(DutyEnd { duty: name.clone(), term: holder.term, reason });
        }
        ends
    }

    fn grants(&self, now: Time, table: &DutyTable, ends: &[DutyEnd]) -> Vec<DutyGrant> {
        // A heartbeat or two after its begin it knows who is there: before that the first to come would get all.
        if now.saturating_sub(self.begun) < self.lease.duration / 3 {
            return Vec::new();
        }
        let ending: BTreeMap<&str, EndReason> =
            ends.iter().map(|end| (end.duty.as_str(), end.reason)).collect();
        let mut held = self.eligible(now);
        for (name, duty) in table.duties() {
            let holder = duty.holder.as_ref().filter(|_| !ending.contains_key(name.as_str()));
            if let Some(count) = holder.and_then(|holder| held.get_mut(&holder.candidate)) {
                *count += 1;
            }
        }
        let mut grants = Vec::new();
        for (name, duty) in table.duties().iter().filter(|(_, duty)| !duty.removed) {
            if duty.holder.is_some() && !ending.contains_key(name.as_str()) {
                continue;
            }
            let is_taken =
                matches!(ending.get(name.as_str()), Some(EndReason::Operator | EndReason::Unresponsive));
            let before = duty.holder.as_ref().filter(|_| is_taken).map(|holder| holder.candidate);
            let Some(candidate) = choose_another(name, &mut held, before) else { continue };
            let Some(known) = self.known.get(&candidate) else { continue };
            held.entry(candidate).and_modify(|count| *count += 1);
            grants.push(DutyGrant { duty: name.clone(), candidate, name: known.name.clone() });
        }
        grants
    }

    /// Who may be given a duty: who says so, and was heard of within half of a lease. Guards against a duty that is given to
    /// a member that has just died.
    fn eligible(&self, now: Time) -> BTreeMap<Candidate, usize> {
        let is_eligible = |known: &Known| {
            let lately = |at: Time| now.saturating_sub(at) <= self.lease.duration / 2;
            known.is_eligible() && lately(known.heard) && lately(known.hears)
        };
        let eligible = self.known.iter().filter(|(_, known)| is_eligible(known));
        eligible.map(|(candidate, _)| (*candidate, 0)).collect()
    }

    /// Candidates that hold nothing and are not heard of any more. Holders that are not known were heard of by a leader before.
    fn forget(&mut self, now: Time, table: &DutyTable) {
        let lapse = self.lease.expires_after();
        let holders = table.duties().values().filter_map(|duty| duty.holder.as_ref());
        let holders: BTreeMap<Candidate, &str> =
            holders.map(|holder| (holder.candidate, holder.name.as_str())).collect();
        self.known.retain(|candidate, known| {
            holders.contains_key(candidate) || now.saturating_sub(known.heard) <= lapse
        });
        for (candidate, name) in holders {
            self.known.entry(candidate).or_insert_with(|| Known::new(name, now));
        }
    }
}

/// Of a duty that was taken from a member, that member is a candidate only where it is the only one.
fn choose_another(
    duty: &str,
    held: &mut BTreeMap<Candidate, usize>,
    before: Option<Candidate>,
) -> Option<Candidate> {
    let others = before.filter(|_| held.len() > 1).and_then(|before| held.remove_entry(&before));
    let chosen = choose(duty, held);
    held.extend(others);
    chosen
}
