//! A balancer's side: what it holds of each budget, and until when by its own clock.

use crate::message::{Answer, Beat, Grant};
use crate::{Identity, Shares, Units, UNIT};
use fernroute::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Beats that are not answered yet, at the most: an answer to an older one would find its time over.
const MOST_OPEN: usize = 16;

/// A part of what a member holds, in thousandths: during an upgrade two processes hold it between them.
const ALL: u64 = 1000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    name: String,
    identity: Identity,
    /// Of the last beat.
    number: u64,
    /// When each beat left that may still be answered; `MOST_OPEN` at most.
    open: BTreeMap<u64, Time>,
    grant: Grant,
    shares_until: Time,
    floors_until: Time,
    /// What this process may use of it, in thousandths.
    part: u64,
    /// The grant that is held together with the process before this one, for as long as that one may hold its part.
    before: Option<Grant>,
}

/// What an old process hands to a new one of the same balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handed {
    pub identity: Identity,
    pub grant: Grant,
    /// How much longer its two parts hold, from when it was handed over.
    pub shares_for: Time,
    pub floors_for: Time,
    part: u64,
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It holds, for longer than before.
    Longer,
    /// It is another grant.
    Anew,
    /// It answers nothing that this process asked, or something that it asked too long ago.
    Stale,
    /// It is older than what this process goes by.
    Older,
}

impl Member {
    /// `first` is what beats are counted from: a process that goes on under an identity counts from where no beat of the
    /// process before it was counted, by the time say.
    pub fn new(name: &str, identity: Identity, first: u64) -> Self {
        Member {
            name: name.to_owned(),
            identity,
            number: first,
            open: BTreeMap::new(),
            grant: Grant::default(),
            shares_until: 0,
            floors_until: 0,
            part: ALL,
            before: None,
        }
    }

    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Of the grant that it goes by, and never goes behind; with another process, of the one that both began with. Guards
    /// against a ledger that takes a smaller grant for accepted while the process before this one still holds half of
    /// the larger.
    pub fn epoch(&self) -> u64 {
        self.before.as_ref().unwrap_or(&self.grant).epoch
    }

    /// The next beat; it leaves now.
    pub fn beat(&mut self, now: Time, wants: Shares) -> Beat {
        self.number += 1;
        if self.open.len() == MOST_OPEN {
            self.open.pop_first();
        }
        self.open.insert(self.number, now);
        Beat {
            name: self.name.clone(),
            identity: self.identity,
            number: self.number,
            epoch: self.epoch(),
            wants,
            leaves: false,
            configuration: None,
            duties: None,
        }
    }

    /// The last one: from here on this process spends nothing, and its identity is nobody's any more. Guards against
    /// a word of leaving that comes late, when another process goes on under the same identity.
    pub fn leave(mut self) -> Beat {
        Beat { leaves: true, ..self.beat(0, Shares::new()) }
    }

    /// Takes an answer. Its time counts from when its beat left, so a late one brings little, and one that comes twice
    /// brings nothing.
    pub fn hear(&mut self, now: Time, answer: &Answer) -> Heard {
        let Some(asked) = self.open.remove(&answer.number).filter(|_| answer.identity == self.identity)
        else {
            return Heard::Stale;
        };
        if now >= self.shares_until.max(self.floors_until) && self.before.is_none() {
            // Nothing is held any more, as after a start: whatever ledger answers, it may begin at any epoch.
            self.grant = Grant::default();
        }
        if answer.grant.epoch < self.grant.epoch {
            return Heard::Older;
        }
        let (shares, floors) =
            (asked.saturating_add(answer.shares_for), asked.saturating_add(answer.floors_for));
        if now >= shares.max(floors) {
            return Heard::Stale;
        }
        if answer.grant.epoch > self.grant.epoch {
            self.grant = answer.grant.clone();
            (self.shares_until, self.floors_until) = (shares, floors);
            return Heard::Anew;
        }
        (self.shares_until, self.floors_until) =
            (self.shares_until.max(shares), self.floors_until.max(floors));
        Heard::Longer
    }

    /// What it may spend of a budget now, a second.
    pub fn holds(&self, now: Time, budget: &str) -> Units {
        let (floor, share) = self.parts(budget);
        let floor = if now < self.floors_until { floor } else { 0 };
        floor + if now < self.shares_until { share } else { 0 }
    }

    /// The same in its two parts, for whoever looks at the clock at each spending: the floor until the one time and the
    /// share beside it until the other.
    pub fn parts(&self, budget: &str) -> (Units, Units) {
        let of = |shares: fn(&Grant) -> &Shares| {
            let amount = |grant: &Grant| shares(grant).get(budget).copied().unwrap_or(0);
            let both = self.before.as_ref().map_or(Units::MAX, amount);
            amount(&self.grant).min(both) * self.part / ALL
        };
        (of(|grant| &grant.floors), of(|grant| &grant.shares))
    }

    /// The same in units a second, each with when it ends.
    pub fn rates(&self, budget: &str) -> [(f64, Time); 2] {
        let (floor, share) = self.parts(budget);
        [(floor as f64 / UNIT, self.floors_until), (share as f64 / UNIT, self.shares_until)]
    }

    /// Until when the shares and the floors hold.
    pub fn until(&self) -> (Time, Time) {
        (self.shares_until, self.floors_until)
    }

    /// A successor process of the same balancer goes on under this identity, with half of what is held; this one keeps
    /// the other half until its times are over, or it ends, and sends no beat any more. None while this process itself
    /// shares with the one before it: three would not know when they are two.
    pub fn hand_over(&mut self, now: Time) -> Option<Handed> {
        if self.before.is_some() {
            return None;
        }
        self.part /= 2;
        self.open.clear();
        Some(Handed {
            identity: self.identity,
            grant: self.grant.clone(),
            shares_for: self.shares_until.saturating_sub(now),
            floors_for: self.floors_until.saturating_sub(now),
            part: self.part,
        })
    }

    /// The successor: `asked` is when it asked for it, by its own clock, before anything was handed over. `first` as in
    /// [`Member::new`].
    pub fn take_over(name: &str, asked: Time, first: u64, handed: &Handed) -> Self {
        Member {
            shares_until: asked.saturating_add(handed.shares_for),
            floors_until: asked.saturating_add(handed.floors_for),
            grant: handed.grant.clone(),
            part: handed.part.min(ALL / 2),
            before: Some(handed.grant.clone()),
            ..Member::new(name, handed.identity, first)
        }
    }

    /// The process before this one has ended, or holds nothing any more.
    pub fn take_all(&mut self) {
        (self.part, self.before) = (ALL, None);
    }

    /// The successor has ended: this process goes on, and counts its beats from where that one's were not.
    pub fn take_back(&mut self, first: u64) {
        (self.part, self.number) = (ALL, first);
    }
}
