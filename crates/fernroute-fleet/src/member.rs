//! A balancer's side of the budgets: the grant that it uses, and when its two parts expire by its own clock.
//!
//! The balancer's fleet task sends what [`Member::heartbeat`] returns and passes each reply to
//! [`Member::on_reply`]. A member holds nothing before its first grant. A grant's lifetime counts from when
//! the answered heartbeat was sent, so a late reply adds little and a repeated one nothing; a grant of an
//! older epoch is never used again.
//!
//! During an upgrade two processes of one balancer share its grant: [`Member::hand_over`] gives half of it to
//! the successor, which [`Member::take_over`] starts. Until [`Member::own_whole_grant`] the successor reports
//! the epoch that both started with and uses no more than that grant, since the predecessor may still use its
//! half of it. [`Member::resume_after_handover`] gives the whole back to the predecessor when the successor
//! has ended.

use crate::message::{Grant, Heartbeat, HeartbeatReply};
use crate::{BudgetAmounts, MemberId, MilliUnits, MILLI_UNITS_PER_UNIT};
use fernroute::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A reply to an older heartbeat would bring a grant that has expired.
const MAX_UNANSWERED_HEARTBEATS: usize = 16;

/// The whole grant, in thousandths.
const WHOLE_PERMILLE: u64 = 1000;

/// One process of a balancer that takes part in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    name: String,
    identity: MemberId,
    last_heartbeat_number: u64,
    /// When each heartbeat that may still be answered was sent; at most [`MAX_UNANSWERED_HEARTBEATS`].
    unanswered: BTreeMap<u64, Time>,
    grant: Grant,
    quotas_expire_at: Time,
    guaranteed_expires_at: Time,
    /// The part of the grant that this process may use, in thousandths.
    permille: u64,
    /// The grant at take-over, while the predecessor may still use its part of it.
    shared_grant: Option<Grant>,
}

/// What a process passes to its successor of the same balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberHandover {
    /// The identity that the successor continues.
    pub identity: MemberId,
    /// The grant that both processes use a part of.
    pub grant: Grant,
    /// How much longer the quotas are valid, from the hand-over.
    #[serde(rename = "shares_for")]
    pub quotas_valid_for: Time,
    /// How much longer the guaranteed amounts are valid, from the hand-over.
    #[serde(rename = "floors_for")]
    pub guaranteed_valid_for: Time,
    /// The successor's part of the grant, in thousandths.
    #[serde(rename = "part")]
    permille: u64,
}

/// What a reply changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// The same grant, valid for longer.
    Extended,
    /// A new grant.
    NewGrant,
    /// It answers no heartbeat that is unanswered here, or what it grants has expired.
    Stale,
    /// Its grant is older than the one in use.
    OlderEpoch,
}

impl Member {
    /// `first_number` is the number before the first heartbeat's. A process that continues an identity starts
    /// above all numbers of the process before it, for instance by the time of day.
    pub fn new(name: &str, identity: MemberId, first_number: u64) -> Self {
        Member {
            name: name.to_owned(),
            identity,
            last_heartbeat_number: first_number,
            unanswered: BTreeMap::new(),
            grant: Grant::default(),
            quotas_expire_at: 0,
            guaranteed_expires_at: 0,
            permille: WHOLE_PERMILLE,
            shared_grant: None,
        }
    }

    /// The identity that its heartbeats carry.
    pub fn identity(&self) -> MemberId {
        self.identity
    }

    /// The epoch to report. While a grant is shared with the predecessor it is that grant's. Guards against a
    /// ledger that considers a smaller grant accepted while the predecessor still uses half of the larger one.
    pub fn epoch(&self) -> u64 {
        self.shared_grant.as_ref().unwrap_or(&self.grant).epoch
    }

    /// The next heartbeat, to be sent at `now`. `demand` is what the balancer could use of each budget, per
    /// second.
    pub fn heartbeat(&mut self, now: Time, demand: BudgetAmounts) -> Heartbeat {
        self.last_heartbeat_number += 1;
        if self.unanswered.len() == MAX_UNANSWERED_HEARTBEATS {
            self.unanswered.pop_first();
        }
        self.unanswered.insert(self.last_heartbeat_number, now);
        Heartbeat {
            name: self.name.clone(),
            identity: self.identity,
            number: self.last_heartbeat_number,
            epoch: self.epoch(),
            demand,
            leaving: false,
            configuration: None,
            duties: None,
        }
    }

    /// The last heartbeat: the process spends nothing from here on. It consumes the member, since the
    /// identity must not be used again. Guards against a late notice of leaving that removes a successor
    /// under the same identity.
    pub fn leave(mut self) -> Heartbeat {
        Heartbeat { leaving: true, ..self.heartbeat(0, BudgetAmounts::new()) }
    }

    /// Applies a reply that arrived at `now`.
    pub fn on_reply(&mut self, now: Time, reply: &HeartbeatReply) -> ReplyStatus {
        let sent_at = self.unanswered.remove(&reply.number).filter(|_| reply.identity == self.identity);
        let Some(sent_at) = sent_at else { return ReplyStatus::Stale };
        let has_expired = now >= self.quotas_expire_at.max(self.guaranteed_expires_at);
        if has_expired && self.shared_grant.is_none() {
            // As after a start: a ledger that was set up anew may grant at any epoch.
            self.grant = Grant::default();
        }
        if reply.grant.epoch < self.grant.epoch {
            return ReplyStatus::OlderEpoch;
        }
        let quotas_expire_at = sent_at.saturating_add(reply.quotas_valid_for);
        let guaranteed_expires_at = sent_at.saturating_add(reply.guaranteed_valid_for);
        if now >= quotas_expire_at.max(guaranteed_expires_at) {
            return ReplyStatus::Stale;
        }
        if reply.grant.epoch > self.grant.epoch {
            self.grant = reply.grant.clone();
            self.quotas_expire_at = quotas_expire_at;
            self.guaranteed_expires_at = guaranteed_expires_at;
            return ReplyStatus::NewGrant;
        }
        self.quotas_expire_at = self.quotas_expire_at.max(quotas_expire_at);
        self.guaranteed_expires_at = self.guaranteed_expires_at.max(guaranteed_expires_at);
        ReplyStatus::Extended
    }

    /// What this process may spend of a budget at `now`, per second.
    pub fn allocated(&self, now: Time, budget: &str) -> MilliUnits {
        let (guaranteed, quota) = self.allocated_parts(budget);
        let guaranteed = if now < self.guaranteed_expires_at { guaranteed } else { 0 };
        let quota = if now < self.quotas_expire_at { quota } else { 0 };
        guaranteed + quota
    }

    /// The guaranteed amount and the quota of a budget, whether they have expired or not: for callers that
    /// compare [`Member::expirations`] with the clock at each spending.
    pub fn allocated_parts(&self, budget: &str) -> (MilliUnits, MilliUnits) {
        let usable = |part: fn(&Grant) -> &BudgetAmounts| {
            let amount = |grant: &Grant| part(grant).get(budget).copied().unwrap_or(0);
            let shared_limit = self.shared_grant.as_ref().map_or(MilliUnits::MAX, amount);
            amount(&self.grant).min(shared_limit) * self.permille / WHOLE_PERMILLE
        };
        (usable(|grant| &grant.guaranteed), usable(|grant| &grant.quotas))
    }

    /// [`Member::allocated_parts`] in units per second, each with the time at which it expires.
    pub fn rates(&self, budget: &str) -> [(f64, Time); 2] {
        let (guaranteed, quota) = self.allocated_parts(budget);
        [
            (guaranteed as f64 / MILLI_UNITS_PER_UNIT, self.guaranteed_expires_at),
            (quota as f64 / MILLI_UNITS_PER_UNIT, self.quotas_expire_at),
        ]
    }

    /// When the quotas expire, and when the guaranteed amounts do.
    pub fn expirations(&self) -> (Time, Time) {
        (self.quotas_expire_at, self.guaranteed_expires_at)
    }

    /// Gives half of the grant to a successor process, which continues the identity. This process keeps the
    /// other half until it expires or the process ends, and sends no further heartbeat. None while it shares
    /// the grant with its own predecessor: guards against three processes that hold halves.
    pub fn hand_over(&mut self, now: Time) -> Option<MemberHandover> {
        if self.shared_grant.is_some() {
            return None;
        }
        self.permille /= 2;
        self.unanswered.clear();
        Some(MemberHandover {
            identity: self.identity,
            grant: self.grant.clone(),
            quotas_valid_for: self.quotas_expire_at.saturating_sub(now),
            guaranteed_valid_for: self.guaranteed_expires_at.saturating_sub(now),
            permille: self.permille,
        })
    }

    /// The successor's member. `requested_at` is when it requested the hand-over, by its own clock, so that
    /// its grant expires no later than the predecessor's. `first_number` is as in [`Member::new`].
    pub fn take_over(name: &str, requested_at: Time, first_number: u64, handover: &MemberHandover) -> Self {
        Member {
            quotas_expire_at: requested_at.saturating_add(handover.quotas_valid_for),
            guaranteed_expires_at: requested_at.saturating_add(handover.guaranteed_valid_for),
            grant: handover.grant.clone(),
            permille: handover.permille.min(WHOLE_PERMILLE / 2),
            shared_grant: Some(handover.grant.clone()),
            ..Member::new(name, handover.identity, first_number)
        }
    }

    /// The predecessor has ended, or its half has expired: this process uses the whole grant.
    pub fn own_whole_grant(&mut self) {
        self.permille = WHOLE_PERMILLE;
        self.shared_grant = None;
    }

    /// The successor has ended: this process uses the whole grant again. Its heartbeats count on from
    /// `first_number`, which is above all numbers of the successor's.
    pub fn resume_after_handover(&mut self, first_number: u64) {
        self.permille = WHOLE_PERMILLE;
        self.last_heartbeat_number = first_number;
    }
}
