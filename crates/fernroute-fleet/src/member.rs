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

#[cfg(test)]
mod tests {
    use super::*;

    fn grant(epoch: u64, floor: Units, share: Units) -> Grant {
        let of = |amount| Shares::from([("acme".to_owned(), amount)]);
        Grant { epoch, floors: of(floor), shares: of(share) }
    }

    fn answer(beat: &Beat, grant: Grant) -> Answer {
        Answer {
            identity: beat.identity,
            number: beat.number,
            grant,
            shares_for: 100,
            floors_for: 1000,
            configuration: None,
        }
    }

    /// Guards against a process that spends what has lapsed because an answer took long, came twice or was overtaken,
    /// or because it stood still itself.
    #[test]
    fn times_count_from_the_asking_and_what_is_late_old_or_double_brings_nothing() {
        let mut m = Member::new("n0", 7, 0);
        assert_eq!(m.holds(0, "acme"), 0);
        let first = m.beat(50, Shares::new());
        let second = m.beat(60, Shares::new());
        assert_eq!(m.hear(140, &answer(&first, grant(3, 2, 8))), Heard::Anew);
        assert_eq!((m.holds(149, "acme"), m.holds(150, "acme"), m.holds(1049, "acme")), (10, 2, 2));
        assert_eq!((m.holds(1050, "acme"), m.holds(149, "other")), (0, 0));
        assert_eq!(m.hear(141, &answer(&first, grant(3, 2, 8))), Heard::Stale);
        assert_eq!(m.hear(142, &answer(&second, grant(2, 2, 90))), Heard::Older);
        assert_eq!(m.until(), (150, 1050));
        let third = m.beat(145, Shares::new());
        assert_eq!((third.epoch, m.hear(146, &answer(&third, grant(3, 2, 8)))), (3, Heard::Longer));
        assert_eq!(m.until(), (245, 1145));
        // Stopped for long, it finds out by its clock; then a ledger that was begun anew may grant again.
        let fourth = m.beat(150, Shares::new());
        assert_eq!(m.hear(5000, &answer(&fourth, grant(4, 2, 90))), Heard::Stale);
        assert_eq!(m.holds(5000, "acme"), 0);
        let anew = m.beat(5000, Shares::new());
        assert_eq!((m.hear(5001, &answer(&anew, grant(1, 2, 8))), m.holds(5001, "acme")), (Heard::Anew, 10));
        // An answer to somebody else.
        let fifth = m.beat(5000, Shares::new());
        assert_eq!(m.hear(5000, &Answer { identity: 8, ..answer(&fifth, grant(9, 9, 9)) }), Heard::Stale);
        for _ in 0..1000 {
            m.beat(5000, Shares::new());
        }
        assert!(m.open.len() <= MOST_OPEN);
        let last = m.leave();
        assert!(last.leaves && last.number == 1007, "{last:?}");
    }

    /// Guards against two processes of one balancer that spend a grant each.
    #[test]
    fn an_old_and_a_new_process_hold_one_grant_between_them() {
        let mut old = Member::new("n0", 7, 0);
        let beat = old.beat(0, Shares::new());
        old.hear(1, &answer(&beat, grant(3, 3, 9)));
        let handed = old.hand_over(2).expect("it holds alone");
        let mut new = Member::take_over("n0", 2, 1 << 32, &handed);
        assert_eq!((new.hand_over(2), new.until()), (None, old.until()));
        assert_eq!((old.holds(2, "acme"), new.holds(2, "acme")), (5, 5));
        let beat = new.beat(3, Shares::new());
        // More than both began with is not used, and less is not said to be accepted, until the old one has ended.
        assert_eq!(new.hear(4, &answer(&beat, grant(4, 4, 20))), Heard::Anew);
        assert_eq!((old.holds(5, "acme"), new.holds(5, "acme"), new.epoch()), (5, 5, 3));
        let beat = new.beat(6, Shares::new());
        assert_eq!(new.hear(7, &answer(&beat, grant(5, 0, 4))), Heard::Anew);
        assert_eq!((new.holds(8, "acme"), new.epoch()), (2, 3));
        new.take_all();
        assert_eq!((new.holds(8, "acme"), new.epoch()), (4, 5));
        // Or the new one ends, and the old one goes on with what it had.
        old.take_back(1 << 33);
        assert_eq!((old.holds(8, "acme"), old.beat(9, Shares::new()).number), (12, (1 << 33) + 1));
    }
}
