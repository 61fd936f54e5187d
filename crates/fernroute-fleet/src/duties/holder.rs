//! A member's side: which duties it may act on now, and until when by its own clock. Whoever acts asks [`MemberDuties::term`] at each
//! act, and sends the term with it.

use super::{DutyAssignments, DutyReport, DutyTerms, Term};
use fernroute::Time;
use std::collections::BTreeMap;

/// Heartbeats that are not answered yet, at the most: an answer to an older one would find its time over.
const MOST_OPEN: usize = 16;

/// A duty that this member may act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    term: Term,
    /// From this moment on it does not act.
    until: Time,
}

/// What became of a duty at this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It acts on it from now on.
    Acquired { duty: String, term: Term },
    /// It acts on it no more.
    Lost { duty: String, term: Term, reason: StopReason },
}

/// Why a member stopped to act on a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It heard nothing for as long as it may act; should it be told so again, it goes on under the same term.
    LeaseExpired,
    /// The stewards' answer names it no more.
    Revoked,
    /// It gave it up: it drains, or another process goes on in its place.
    Released,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDuties {
    incarnation: u64,
    eligible: bool,
    held: BTreeMap<String, Held>,
    /// Terms that it will never act on again: the latest of each duty.
    released: DutyTerms,
    highest: Term,
    /// When each heartbeat left that may still be answered; `MOST_OPEN` at most.
    open: BTreeMap<u64, Time>,
    /// The latest heartbeat that was answered.
    answered: u64,
}

impl MemberDuties {
    /// `incarnation` is drawn at random by each process.
    pub fn new(incarnation: u64) -> Self {
        MemberDuties {
            incarnation,
            eligible: true,
            held: BTreeMap::new(),
            released: DutyTerms::new(),
            highest: 0,
            open: BTreeMap::new(),
            answered: 0,
        }
    }

    /// The report of the heartbeat with this number, which leaves now.
    pub fn report(&mut self, now: Time, number: u64) -> DutyReport {
        if self.open.len() == MOST_OPEN {
            self.open.pop_first();
        }
        self.open.insert(number, now);
        DutyReport {
            incarnation: self.incarnation,
            eligible: self.eligible,
            released: self.released.clone(),
            last_answered: self.answered,
            highest_term: self.highest,
        }
    }

    /// The term to act under now; none where it does not hold the duty, or not any more.
    pub fn term(&self, now: Time, duty: &str) -> Option<Term> {
        self.held.get(duty).filter(|held| now < held.until).map(|held| held.term)
    }

    /// What it holds as of the last look: the duty, its term, and when it stops to act on it.
    pub fn held(&self) -> impl Iterator<Item = (&str, Term, Time)> {
        self.held.iter().map(|(duty, held)| (duty.as_str(), held.term, held.until))
    }

    /// Takes the answer to the heartbeat with this number; none where it says nothing of duties. Its time counts from when the
    /// heartbeat left. An answer that was overtaken changes nothing.
    pub fn on_reply(&mut self, now: Time, number: u64, told: Option<&DutyAssignments>) -> Vec<Event> {
        let mut events = self.expire(now);
        let asked = self.open.remove(&number).filter(|_| number > self.answered);
        let Some(asked) = asked else { return events };
        self.answered = number;
        let nothing = DutyAssignments::default();
        let told = told.unwrap_or(&nothing);
        let until = asked.saturating_add(told.hold_duration);
        self.drop_what_is_not_told(told, &mut events);
        self.released.retain(|duty, _| !told.acknowledged.contains(duty));
        for (duty, term) in &told.terms {
            self.highest = self.highest.max(*term);
            if !self.eligible {
                // It was given before the stewards heard that this member drains.
                self.released.insert(duty.clone(), *term);
            }
            let is_over = self.released.get(duty).is_some_and(|released| term <= released);
            if is_over || now >= until {
                continue;
            }
            let before = self.held.insert(duty.clone(), Held { term: *term, until });
            if before.is_none() {
                events.push(Event::Acquired { duty: duty.clone(), term: *term });
            }
        }
        events
    }

    fn drop_what_is_not_told(&mut self, told: &DutyAssignments, events: &mut Vec<Event>) {
        let gone: Vec<(String, Term)> = self
            .held
            .iter()
            .filter(|(duty, held)| told.terms.get(*duty) != Some(&held.term))
            .map(|(duty, held)| (duty.clone(), held.term))
            .collect();
        for (duty, term) in gone {
            self.held.remove(&duty);
            self.released.insert(duty.clone(), term);
            events.push(Event::Lost { duty, term, reason: StopReason::Revoked });
        }
    }

    /// What has ended by the clock since the last look.
    pub fn expire(&mut self, now: Time) -> Vec<Event> {
        let over: Vec<(String, Term)> = self
            .held
            .iter()
            .filter(|(_, held)| now >= held.until)
            .map(|(duty, held)| (duty.clone(), held.term))
            .collect();
        let mut events = Vec::new();
        for (duty, term) in over {
            self.held.remove(&duty);
            events.push(Event::Lost { duty, term, reason: StopReason::LeaseExpired });
        }
        events
    }

    /// It drains, or is about to end: it gives up what it holds, and takes nothing until [`MemberDuties::resume`]. The next heartbeat
    /// says so, and is best sent at once.
    pub fn release_all(&mut self) -> Vec<Event> {
        self.eligible = false;
        let mut events = Vec::new();
        for (duty, held) in std::mem::take(&mut self.held) {
            self.released.insert(duty.clone(), held.term);
            events.push(Event::Lost { duty, term: held.term, reason: StopReason::Released });
        }
        events
    }

    /// It may be given duties again.
    pub fn resume(&mut self) {
        self.eligible = true;
    }
}
