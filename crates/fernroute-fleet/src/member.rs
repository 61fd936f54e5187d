//! A balancer's side: what it holds of each budget, and until when by its own clock.

use crate::message::{Grant, Heartbeat, HeartbeatReply};
use crate::{BudgetAmounts, MemberId, MilliUnits, MILLI_UNITS_PER_UNIT};
use fernroute::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Beats that are not answered yet, at the most: an answer to an older one would find its time over.
const MOST_OPEN: usize = 16;

/// A permille of what a member holds, in thousandths: during an upgrade two processes hold it between them.
const ALL: u64 = 1000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    name: String,
    identity: MemberId,
    /// Of the last beat.
    number: u64,
    /// When each beat left that may still be answered; `MOST_OPEN` at most.
    open: BTreeMap<u64, Time>,
    grant: Grant,
    shares_until: Time,
    floors_until: Time,
    /// What this process may use of it, in thousandths.
    permille: u64,
    /// The grant that is held together with the process before this one, for as long as that one may hold its permille.
    before: Option<Grant>,
}

/// What an old process hands to a new one of the same balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHandover {
    pub identity: MemberId,
    pub grant: Grant,
    /// How much longer its two parts hold, from when it was handed over.
    #[serde(rename = "shares_for")]
    pub quotas_valid_for: Time,
    #[serde(rename = "floors_for")]
    pub guaranteed_valid_for: Time,
    #[serde(rename = "part")]
    permille: u64,
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// It holds, for longer than before.
    Extended,
    /// It is another grant.
    NewGrant,
    /// It answers nothing that this process asked, or something that it asked too long ago.
    Stale,
    /// It is older than what this process goes by.
    OlderEpoch,
}

impl Member {
    /// `first` is what beats are counted from: a process that goes on under an identity counts from where no beat of the
    /// process before it was counted, by the time say.
    pub fn new(name: &str, identity: MemberId, first: u64) -> Self {
        Member {
            name: name.to_owned(),
            identity,
            number: first,
            open: BTreeMap::new(),
            grant: Grant::default(),
            shares_until: 0,
            floors_until: 0,
            permille: ALL,
            before: None,
        }
    }

    pub fn identity(&self) -> MemberId {
        self.identity
    }

    /// Of the grant that it goes by, and never goes behind; with another process, of the one that both began with. Guards
    /// against a ledger that takes a smaller grant for accepted while the process before this one still holds half of
    /// the larger.
    pub fn epoch(&self) -> u64 {
        self.before.as_ref().unwrap_or(&self.grant).epoch
    }

    /// The next beat; it leaves now.
    pub fn heartbeat(&mut self, now: Time, wants: BudgetAmounts) -> Heartbeat {
        self.number += 1;
        if self.open.len() == MOST_OPEN {
            self.open.pop_first();
        }
        self.open.insert(self.number, now);
        Heartbeat {
            name: self.name.clone(),
            identity: self.identity,
            number: self.number,
            epoch: self.epoch(),
            demand: wants,
            leaving: false,
            configuration: None,
            duties: None,
        }
    }

    /// The last one: from here on this process spends nothing, and its identity is nobody's any more. Guards against
    /// a word of leaving that comes late, when another process goes on under the same identity.
    pub fn leave(mut self) -> Heartbeat {
        Heartbeat { leaving: true, ..self.heartbeat(0, BudgetAmounts::new()) }
    }

    /// Takes an answer. Its time counts from when its beat left, so a late one brings little, and one that comes twice
    /// brings nothing.
    pub fn on_reply(&mut self, now: Time, answer: &HeartbeatReply) -> ReplyStatus {
        let Some(asked) = self.open.remove(&answer.number).filter(|_| answer.identity == self.identity)
        else {
            return ReplyStatus::Stale;
        };
        if now >= self.shares_until.max(self.floors_until) && self.before.is_none() {
            // Nothing is held any more, as after a start: whatever ledger answers, it may begin at any epoch.
            self.grant = Grant::default();
        }
        if answer.grant.epoch < self.grant.epoch {
            return ReplyStatus::OlderEpoch;
        }
        let (shares, floors) = (
            asked.saturating_add(answer.quotas_valid_for),
            asked.saturating_add(answer.guaranteed_valid_for),
        );
        if now >= shares.max(floors) {
            return ReplyStatus::Stale;
        }
        if answer.grant.epoch > self.grant.epoch {
            self.grant = answer.grant.clone();
            (self.shares_until, self.floors_until) = (shares, floors);
            return ReplyStatus::NewGrant;
        }
        (self.shares_until, self.floors_until) =
            (self.shares_until.max(shares), self.floors_until.max(floors));
        ReplyStatus::Extended
    }

    /// What it may spend of a budget now, a second.
    pub fn allocated(&self, now: Time, budget: &str) -> MilliUnits {
        let (floor, share) = self.allocated_parts(budget);
        let floor = if now < self.floors_until { floor } else { 0 };
        floor + if now < self.shares_until { share } else { 0 }
    }

    /// The same in its two parts, for whoever looks at the clock at each spending: the floor until the one time and the
    /// share beside it until the other.
    pub fn allocated_parts(&self, budget: &str) -> (MilliUnits, MilliUnits) {
        let of = |shares: fn(&Grant) -> &BudgetAmounts| {
            let amount = |grant: &Grant| shares(grant).get(budget).copied().unwrap_or(0);
            let both = self.before.as_ref().map_or(MilliUnits::MAX, amount);
            amount(&self.grant).min(both) * self.permille / ALL
        };
        (of(|grant| &grant.guaranteed), of(|grant| &grant.quotas))
    }

    /// The same in units a second, each with when it ends.
    pub fn rates(&self, budget: &str) -> [(f64, Time); 2] {
        let (floor, share) = self.allocated_parts(budget);
        [
            (floor as f64 / MILLI_UNITS_PER_UNIT, self.floors_until),
            (share as f64 / MILLI_UNITS_PER_UNIT, self.shares_until),
        ]
    }

    /// Until when the shares and the floors hold.
    pub fn expirations(&self) -> (Time, Time) {
        (self.shares_until, self.floors_until)
    }

    /// A successor process of the same balancer goes on under this identity, with half of what is held; this one keeps
    /// the other half until its times are over, or it ends, and sends no beat any more. None while this process itself
    /// shares with the one before it: three would not know when they are two.
    pub fn hand_over(&mut self, now: Time) -> Option<MemberHandover> {
        if self.before.is_some() {
            return None;
        }
        self.permille /= 2;
        self.open.clear();
        Some(MemberHandover {
            identity: self.identity,
            grant: self.grant.clone(),
            quotas_valid_for: self.shares_until.saturating_sub(now),
            guaranteed_valid_for: self.floors_until.saturating_sub(now),
            permille: self.permille,
        })
    }

    /// The successor: `asked` is when it asked for it, by its own clock, before anything was handed over. `first` as in
    /// [`Member::new`].
    pub fn take_over(name: &str, asked: Time, first: u64, handed: &MemberHandover) -> Self {
        Member {
            shares_until: asked.saturating_add(handed.quotas_valid_for),
            floors_until: asked.saturating_add(handed.guaranteed_valid_for),
            grant: handed.grant.clone(),
            permille: handed.permille.min(ALL / 2),
            before: Some(handed.grant.clone()),
            ..Member::new(name, handed.identity, first)
        }
    }

    /// The process before this one has ended, or holds nothing any more.
    pub fn own_whole_grant(&mut self) {
        (self.permille, self.before) = (ALL, None);
    }

    /// The successor has ended: this process goes on, and counts its beats from where that one's were not.
    pub fn resume_after_handover(&mut self, first: u64) {
        (self.permille, self.number) = (ALL, first);
    }
}
