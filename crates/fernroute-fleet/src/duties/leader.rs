//! The state that the coordinators' leader keeps of candidates in addition to the table of duties, and which
//! terms it grants or ends next.
//!
//! The coordinator's replica makes a [`Leader`] at the start of each leadership, passes it every heartbeat,
//! enters what [`Leader::next_transition`] returns, and calls [`Leader::transition_done`] once the outcome is
//! known. A new leader treats that moment as the last heartbeat and confirmation of every holder, since the
//! leader before it may have replied until then.
//!
//! Transitions of a duty, and what proves each safe:
//!
//! - A held duty ends once its holder has reported the term as released, or once its lease cannot be believed
//!   any more: [`Lease::expires_after`] the heartbeat of the last reply that confirmed the term.
//! - To take a duty from its holder, replies stop confirming its term, so that one of the two follows.
//! - A free duty is granted to an eligible candidate by [`crate::duties::placement`].
//!
//! The caller sends assignments only after it has confirmed that it still led when the heartbeat arrived, and
//! has applied all entries before. Guards against a lease from a deposed leader.

use super::placement::choose;
use super::table::{DutyEnd, DutyGrant, DutyHolder, DutyTable, DutyTransition};
use super::{hold_duration, Candidate, DutyAssignments, DutyReport, DutyTerms, EndReason, Term};
use crate::lease::Lease;
use crate::message::Heartbeat;
use fernroute::Time;
use std::collections::{BTreeMap, BTreeSet};

/// The latest report of a candidate, and the heartbeat that brought it.
#[derive(Clone, Debug)]
struct ReceivedReport {
    heartbeat_number: u64,
    report: DutyReport,
}

/// What the leader knows of one candidate. Times are by its own clock, and the start of its leadership at
/// first.
#[derive(Clone, Debug)]
struct CandidateState {
    name: String,
    last_heartbeat_at: Time,
    /// When a heartbeat last showed that a further reply had reached the candidate.
    last_responsive_at: Time,
    /// None before the first heartbeat.
    latest: Option<ReceivedReport>,
}

impl CandidateState {
    fn new(name: &str, now: Time) -> Self {
        CandidateState {
            name: name.to_owned(),
            last_heartbeat_at: now,
            last_responsive_at: now,
            latest: None,
        }
    }

    /// An overtaken heartbeat does not replace a later report.
    fn on_heartbeat(&mut self, now: Time, heartbeat_number: u64, report: &DutyReport) {
        self.last_heartbeat_at = now;
        if let Some(previous) = &self.latest {
            if heartbeat_number <= previous.heartbeat_number {
                return;
            }
            if report.last_answered > previous.report.last_answered {
                self.last_responsive_at = now;
            }
        }
        self.latest = Some(ReceivedReport { heartbeat_number, report: report.clone() });
    }

    fn report(&self) -> Option<&DutyReport> {
        self.latest.as_ref().map(|latest| &latest.report)
    }

    /// Whether it may be given a duty: its report says so, and a reply has reached it.
    fn is_eligible(&self) -> bool {
        self.report().is_some_and(|report| report.eligible && report.last_answered > 0)
    }

    /// The term of a duty that it has reported as released.
    fn released_term(&self, duty: &str) -> Option<Term> {
        self.report().and_then(|report| report.released.get(duty).copied())
    }
}

/// For how long a holder has had a duty, and for how long it still may.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// When its lease expires unless a reply renews it, from now.
    pub expires_in: Time,
    /// For how long it has held the duty.
    pub held_for: Time,
    /// The duty was granted before this leadership, so it is held for longer than `held_for`.
    pub is_lower_bound: bool,
}

/// A term that was granted in this leadership.
#[derive(Clone, Copy, Debug)]
struct GrantedTerm {
    term: Term,
    granted_at: Time,
}

/// The state of one leadership.
#[derive(Clone, Debug)]
pub struct Leader {
    lease: Lease,
    leader_since: Time,
    /// [`Leader::remove_expired`] empties it.
    candidates: BTreeMap<Candidate, CandidateState>,
    /// The transition that is being entered, until its outcome is known.
    pending_transition: Option<DutyTransition>,
    /// Terms that replies do not confirm any more, so that they end. Emptied as they end.
    releasing: BTreeMap<(String, Term), EndReason>,
    /// When the heartbeat of the last reply that confirmed a term arrived. Emptied as terms end.
    confirmed_at: BTreeMap<(String, Term), Time>,
    /// Emptied as terms end.
    granted: BTreeMap<String, GrantedTerm>,
}

impl Leader {
    /// A leader elected at `now`, by its own clock.
    pub fn new(now: Time, table: &DutyTable, lease: Lease) -> Self {
        let mut leader = Leader {
            lease,
            leader_since: now,
            candidates: BTreeMap::new(),
            pending_transition: None,
            releasing: BTreeMap::new(),
            confirmed_at: BTreeMap::new(),
            granted: BTreeMap::new(),
        };
        leader.remove_expired(now, table);
        leader
    }

    /// Records a heartbeat. One without a report on duties is from a member that takes none.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) {
        let Some(report) = &heartbeat.duties else { return };
        let candidate = self.candidates.entry(sender(heartbeat, report));
        let candidate = candidate.or_insert_with(|| CandidateState::new(&heartbeat.name, now));
        candidate.on_heartbeat(now, heartbeat.number, report);
    }

    /// The part of the reply to a heartbeat that concerns duties; none where there is nothing to confirm or
    /// acknowledge.
    pub fn assignments_for(&mut self, heartbeat: &Heartbeat, table: &DutyTable) -> Option<DutyAssignments> {
        let report = heartbeat.duties.as_ref()?;
        let candidate = sender(heartbeat, report);
        let terms = self.confirmable_terms(candidate, table);
        // The answered heartbeat arrived no later than the candidate's latest one.
        let last_heartbeat_at = self.candidates.get(&candidate).map(|state| state.last_heartbeat_at);
        for (duty, term) in &terms {
            self.confirmed_at.insert((duty.clone(), *term), last_heartbeat_at.unwrap_or(self.leader_since));
        }
        let acknowledged = ended_terms(&report.released, table);
        if terms.is_empty() && acknowledged.is_empty() {
            return None;
        }
        Some(DutyAssignments { terms, hold_duration: hold_duration(&self.lease), acknowledged })
    }

    /// The terms that the candidate holds and is to keep. Guards against a renewed lease of a term whose end is
    /// being entered.
    fn confirmable_terms(&self, candidate: Candidate, table: &DutyTable) -> DutyTerms {
        let mut terms = DutyTerms::new();
        for (name, duty) in table.duties() {
            let Some(holder) = &duty.holder else { continue };
            if holder.candidate != candidate || duty.removed {
                continue;
            }
            let mut ends = self.pending_transition.iter().flat_map(|transition| &transition.ends);
            let is_ending = ends.any(|end| end.duty == *name);
            if !is_ending && !self.releasing.contains_key(&(name.clone(), holder.term)) {
                terms.insert(name.clone(), holder.term);
            }
        }
        terms
    }

    /// Takes a duty from its holder at an operator's request; returns that holder.
    pub fn release(&mut self, duty: &str, table: &DutyTable) -> Option<DutyHolder> {
        let holder = table.holder(duty)?;
        self.releasing.insert((duty.to_owned(), holder.term), EndReason::Operator);
        Some(holder.clone())
    }

    /// The transition to enter now, if any. There is none until [`Leader::transition_done`] has been called
    /// for the last.
    pub fn next_transition(&mut self, now: Time, table: &DutyTable) -> Option<DutyTransition> {
        if self.pending_transition.is_some() {
            return None;
        }
        self.remove_expired(now, table);
        self.release_unresponsive(now, table);
        let ends = self.ends(now, table);
        let grants = self.grants(now, table, &ends);
        let reports = self.candidates.values().filter_map(CandidateState::report);
        let min_term_exclusive = reports.map(|report| report.highest_term).max().unwrap_or(0);
        let transition = DutyTransition { base_version: table.version(), ends, grants, min_term_exclusive };
        if transition.is_empty() {
            return None;
        }
        self.pending_transition = Some(transition.clone());
        Some(transition)
    }

    /// The pending transition was applied, was refused, or never will be applied: the table shows which.
    pub fn transition_done(&mut self, now: Time, table: &DutyTable) {
        let Some(transition) = self.pending_transition.take() else { return };
        for grant in &transition.grants {
            let holder = table.holder(&grant.duty).filter(|holder| holder.candidate == grant.candidate);
            if let Some(holder) = holder {
                let granted = GrantedTerm { term: holder.term, granted_at: now };
                self.granted.insert(grant.duty.clone(), granted);
            }
        }
        let is_held = |duty: &str, term: Term| table.holder(duty).is_some_and(|holder| holder.term == term);
        self.releasing.retain(|(duty, term), _| is_held(duty, *term));
        self.confirmed_at.retain(|(duty, term), _| is_held(duty, *term));
        self.granted.retain(|duty, granted| is_held(duty, granted.term));
    }

    /// The tenure of a duty's holder.
    pub fn tenure(&self, now: Time, duty: &str, holder: &DutyHolder) -> Tenure {
        let granted_at = self.granted_at(duty, holder.term);
        let unconfirmed_for = now.saturating_sub(self.last_confirmed_at(now, duty, holder.term));
        Tenure {
            expires_in: self.lease.expires_after().saturating_sub(unconfirmed_for),
            held_for: now.saturating_sub(granted_at.unwrap_or(self.leader_since)),
            is_lower_bound: granted_at.is_none(),
        }
    }

    /// When the term was granted; none where that was before this leadership.
    fn granted_at(&self, duty: &str, term: Term) -> Option<Time> {
        let granted = self.granted.get(duty).filter(|granted| granted.term == term);
        granted.map(|granted| granted.granted_at)
    }

    /// The moment that the holder's lease counts from at the latest. A term without a confirmation counts
    /// from its grant, or from the start of this leadership.
    fn last_confirmed_at(&self, now: Time, duty: &str, term: Term) -> Time {
        let confirmed_at = self.confirmed_at.get(&(duty.to_owned(), term)).copied();
        confirmed_at.or(self.granted_at(duty, term)).unwrap_or(self.leader_since).min(now)
    }

    /// Whether a moment is within the last half of a lease.
    fn is_recent(&self, now: Time, moment: Time) -> bool {
        now.saturating_sub(moment) <= self.lease.duration / 2
    }

    /// Lets the terms of holders expire whose heartbeats arrive while no reply reaches them.
    fn release_unresponsive(&mut self, now: Time, table: &DutyTable) {
        for (name, duty) in table.duties() {
            let Some(holder) = &duty.holder else { continue };
            let Some(state) = self.candidates.get(&holder.candidate) else { continue };
            let sends_heartbeats = self.is_recent(now, state.last_heartbeat_at);
            if sends_heartbeats && !self.is_recent(now, state.last_responsive_at) {
                let held_term = (name.clone(), holder.term);
                self.releasing.entry(held_term).or_insert(EndReason::Unresponsive);
            }
        }
    }

    /// The terms that have been released or have expired.
    fn ends(&self, now: Time, table: &DutyTable) -> Vec<DutyEnd> {
        let mut ends = Vec::new();
        for (name, duty) in table.duties() {
            let Some(holder) = &duty.holder else { continue };
            let Some(state) = self.candidates.get(&holder.candidate) else { continue };
            let requested = self.releasing.get(&(name.clone(), holder.term)).copied();
            let requested = requested.or(duty.removed.then_some(EndReason::Removed));
            let unconfirmed_for = now.saturating_sub(self.last_confirmed_at(now, name, holder.term));
            let reason = if state.released_term(name).is_some_and(|term| term >= holder.term) {
                requested.unwrap_or(EndReason::Drained)
            } else if unconfirmed_for > self.lease.expires_after() {
                requested.unwrap_or(EndReason::Expired)
            } else {
                continue;
            };
            ends.push(DutyEnd { duty: name.clone(), term: holder.term, reason });
        }
        ends
    }

    /// A new holder for each duty that is free, or is so after `ends`.
    fn grants(&self, now: Time, table: &DutyTable, ends: &[DutyEnd]) -> Vec<DutyGrant> {
        // Guards against duties that all go to the members whose heartbeats reach a new leader first.
        if now.saturating_sub(self.leader_since) < self.lease.duration / 3 {
            return Vec::new();
        }
        let ending: BTreeMap<&str, EndReason> =
            ends.iter().map(|end| (end.duty.as_str(), end.reason)).collect();
        let mut duty_counts = self.eligible_with_duty_counts(now, table, &ending);
        let mut grants = Vec::new();
        for (name, duty) in table.duties() {
            let end_reason = ending.get(name.as_str());
            if duty.removed || duty.holder.is_some() && end_reason.is_none() {
                continue;
            }
            let is_taken = matches!(end_reason, Some(EndReason::Operator | EndReason::Unresponsive));
            let avoided = duty.holder.as_ref().filter(|_| is_taken).map(|holder| holder.candidate);
            let Some(candidate) = choose_avoiding(name, &mut duty_counts, avoided) else { continue };
            let Some(state) = self.candidates.get(&candidate) else { continue };
            duty_counts.entry(candidate).and_modify(|count| *count += 1);
            grants.push(DutyGrant { duty: name.clone(), candidate, name: state.name.clone() });
        }
        grants
    }

    /// The candidates that may be given a duty, each with the number of duties that it holds after the ends.
    /// Their last heartbeats are recent: guards against a duty for a member that has just died.
    fn eligible_with_duty_counts(
        &self,
        now: Time,
        table: &DutyTable,
        ending: &BTreeMap<&str, EndReason>,
    ) -> BTreeMap<Candidate, usize> {
        let mut duty_counts = BTreeMap::new();
        for (candidate, state) in &self.candidates {
            let sends_heartbeats = self.is_recent(now, state.last_heartbeat_at);
            if state.is_eligible() && sends_heartbeats && self.is_recent(now, state.last_responsive_at) {
                duty_counts.insert(*candidate, 0);
            }
        }
        for (name, duty) in table.duties() {
            let holder = duty.holder.as_ref().filter(|_| !ending.contains_key(name.as_str()));
            if let Some(count) = holder.and_then(|holder| duty_counts.get_mut(&holder.candidate)) {
                *count += 1;
            }
        }
        duty_counts
    }

    /// Removes candidates that hold nothing and have been silent for the lease; adds holders that it lacks.
    fn remove_expired(&mut self, now: Time, table: &DutyTable) {
        let max_silence = self.lease.expires_after();
        let holders = table.duties().values().filter_map(|duty| duty.holder.as_ref());
        let holders: BTreeMap<Candidate, &str> =
            holders.map(|holder| (holder.candidate, holder.name.as_str())).collect();
        self.candidates.retain(|candidate, state| {
            holders.contains_key(candidate) || now.saturating_sub(state.last_heartbeat_at) <= max_silence
        });
        for (candidate, name) in holders {
            let state = self.candidates.entry(candidate);
            state.or_insert_with(|| CandidateState::new(name, now));
        }
    }
}

/// The process that sent a heartbeat.
fn sender(heartbeat: &Heartbeat, report: &DutyReport) -> Candidate {
    Candidate { identity: heartbeat.identity, incarnation: report.incarnation }
}

/// The released duties whose terms the table does not have any more.
fn ended_terms(released: &DutyTerms, table: &DutyTable) -> BTreeSet<String> {
    let is_ended = |duty: &str, term: Term| table.holder(duty).is_none_or(|holder| holder.term != term);
    let ended = released.iter().filter(|(duty, term)| is_ended(duty, **term));
    ended.map(|(duty, _)| duty.clone()).collect()
}

/// A candidate for the duty; the avoided one only where there is no other.
fn choose_avoiding(
    duty: &str,
    duty_counts: &mut BTreeMap<Candidate, usize>,
    avoided: Option<Candidate>,
) -> Option<Candidate> {
    let avoided = avoided.filter(|_| duty_counts.len() > 1);
    let removed = avoided.and_then(|avoided| duty_counts.remove_entry(&avoided));
    let chosen = choose(duty, duty_counts);
    duty_counts.extend(removed);
    chosen
}
