//! A member's side of the duties: which ones it may act on, and until when by its own clock.
//!
//! The balancer's duties task adds [`MemberDuties::report`] to each heartbeat, passes each reply to
//! [`MemberDuties::on_reply`], and calls [`MemberDuties::term`] before each act, whose order carries the
//! term.
//!
//! A duty is acquired by a reply that names a term which has not been released here, and is lost
//!
//! - when its lease expires by the member's clock; a later reply may renew it under the same term,
//! - when a reply does not name it, or names another term: that term is released,
//! - when the member drains, through [`MemberDuties::release_all`]: that term is released.
//!
//! Invariant: the member never acts again on a term that it has reported as released.

use super::{DutyAssignments, DutyReport, DutyTerms, Term};
use fernroute::Time;
use std::collections::BTreeMap;

/// A reply to an older heartbeat would bring a lease that has expired.
const MAX_UNANSWERED_HEARTBEATS: usize = 16;

/// The lease of a duty that this member may act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldLease {
    term: Term,
    expires_at: Time,
}

/// A change of what this member may act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The member acts on the duty from now on.
    Acquired {
        /// The duty's name.
        duty: String,
        /// The term of its orders.
        term: Term,
    },
    /// The member no longer acts on the duty.
    Lost {
        /// The duty's name.
        duty: String,
        /// The term that it acted under.
        term: Term,
        /// Why it stopped.
        reason: StopReason,
    },
}

/// Why a member stopped to act on a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// No reply renewed the lease in time; a later one may, under the same term.
    LeaseExpired,
    /// A reply does not name it any more.
    Revoked,
    /// The member released it: it drains, or another process replaces it.
    Released,
}

/// The duties of one process of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberDuties {
    incarnation: u64,
    eligible: bool,
    held: BTreeMap<String, HeldLease>,
    /// The latest released term of each duty.
    released: DutyTerms,
    highest_term: Term,
    /// When each heartbeat that may still be answered was sent; at most [`MAX_UNANSWERED_HEARTBEATS`].
    unanswered: BTreeMap<u64, Time>,
    /// The number of the latest heartbeat that was answered.
    last_answered: u64,
}

impl MemberDuties {
    /// `incarnation` is drawn at random by each process.
    pub fn new(incarnation: u64) -> Self {
        MemberDuties {
            incarnation,
            eligible: true,
            held: BTreeMap::new(),
            released: DutyTerms::new(),
            highest_term: 0,
            unanswered: BTreeMap::new(),
            last_answered: 0,
        }
    }

    /// The report of the heartbeat with this number, which is sent at `now`.
    pub fn report(&mut self, now: Time, heartbeat_number: u64) -> DutyReport {
        if self.unanswered.len() == MAX_UNANSWERED_HEARTBEATS {
            self.unanswered.pop_first();
        }
        self.unanswered.insert(heartbeat_number, now);
        DutyReport {
            incarnation: self.incarnation,
            eligible: self.eligible,
            released: self.released.clone(),
            last_answered: self.last_answered,
            highest_term: self.highest_term,
        }
    }

    /// The term to act under at `now`; none where the member may not act on the duty.
    pub fn term(&self, now: Time, duty: &str) -> Option<Term> {
        self.held.get(duty).filter(|lease| now < lease.expires_at).map(|lease| lease.term)
    }

    /// The duties held as of the last [`MemberDuties::expire`]: name, term, and when the lease expires.
    pub fn held(&self) -> impl Iterator<Item = (&str, Term, Time)> {
        self.held.iter().map(|(duty, lease)| (duty.as_str(), lease.term, lease.expires_at))
    }

    /// Applies the reply to the heartbeat with this number; `assignments` is none where the reply has no part
    /// on duties. Leases count from when the heartbeat was sent. A reply that was overtaken changes nothing.
    pub fn on_reply(
        &mut self,
        now: Time,
        heartbeat_number: u64,
        assignments: Option<&DutyAssignments>,
    ) -> Vec<Event> {
        let mut events = self.expire(now);
        let sent_at = self.unanswered.remove(&heartbeat_number);
        let Some(sent_at) = sent_at.filter(|_| heartbeat_number > self.last_answered) else {
            return events;
        };
        self.last_answered = heartbeat_number;
        let no_assignments = DutyAssignments::default();
        let assignments = assignments.unwrap_or(&no_assignments);
        self.drop_revoked(&assignments.terms, &mut events);
        self.released.retain(|duty, _| !assignments.acknowledged.contains(duty));
        let expires_at = sent_at.saturating_add(assignments.hold_duration);
        for (duty, term) in &assignments.terms {
            self.accept(now, duty, HeldLease { term: *term, expires_at }, &mut events);
        }
        events
    }

    /// Accepts or renews one lease, unless its term has been released or it has expired already.
    fn accept(&mut self, now: Time, duty: &str, lease: HeldLease, events: &mut Vec<Event>) {
        let term = lease.term;
        self.highest_term = self.highest_term.max(term);
        if !self.eligible {
            // It was granted before the leader received the report that this member drains.
            self.released.insert(duty.to_owned(), term);
        }
        let is_released = self.released.get(duty).is_some_and(|released| term <= *released);
        if is_released || now >= lease.expires_at {
            return;
        }
        if self.held.insert(duty.to_owned(), lease).is_none() {
            events.push(Event::Acquired { duty: duty.to_owned(), term });
        }
    }

    /// Releases each held duty that the assigned terms do not name under its term.
    fn drop_revoked(&mut self, assigned: &DutyTerms, events: &mut Vec<Event>) {
        for (duty, term) in self.remove_held(|duty, lease| assigned.get(duty) != Some(&lease.term)) {
            self.released.insert(duty.clone(), term);
            events.push(Event::Lost { duty, term, reason: StopReason::Revoked });
        }
    }

    /// Drops the duties whose leases have expired by `now`.
    pub fn expire(&mut self, now: Time) -> Vec<Event> {
        let mut events = Vec::new();
        for (duty, term) in self.remove_held(|_, lease| now >= lease.expires_at) {
            events.push(Event::Lost { duty, term, reason: StopReason::LeaseExpired });
        }
        events
    }

    /// Removes the held duties that match, in the order of their names.
    fn remove_held(&mut self, matches: impl Fn(&str, &HeldLease) -> bool) -> DutyTerms {
        let mut removed = DutyTerms::new();
        self.held.retain(|duty, lease| {
            let is_removed = matches(duty, lease);
            if is_removed {
                removed.insert(duty.clone(), lease.term);
            }
            !is_removed
        });
        removed
    }

    /// Releases all duties, and accepts none until [`MemberDuties::resume`]: the member drains or is about to
    /// end. The next heartbeat reports the release, and should be sent at once.
    pub fn release_all(&mut self) -> Vec<Event> {
        self.eligible = false;
        let mut events = Vec::new();
        for (duty, lease) in std::mem::take(&mut self.held) {
            self.released.insert(duty.clone(), lease.term);
            events.push(Event::Lost { duty, term: lease.term, reason: StopReason::Released });
        }
        events
    }

    /// Makes the member eligible for duties again.
    pub fn resume(&mut self) {
        self.eligible = true;
    }
}
