//! The state that the coordinators' leader keeps of members in addition to the ledger, and the transitions that
//! it decides on.
//!
//! The coordinator's replica makes a [`Leader`] at the start of each leadership, passes it every heartbeat,
//! enters what [`Leader::next_transition`] returns, and calls [`Leader::transition_done`] once the outcome is
//! known. A new leader treats that moment as the last heartbeat of every member, since the leader before it
//! may have replied until then.
//!
//! Transitions of a member, and what proves each safe:
//!
//! - joined: no other member, and no other candidate, has the name.
//! - accepted: a heartbeat has reported the epoch of the pending offer.
//! - expired: silent for longer than the quota lease can be believed, by [`Lease::expires_after`].
//! - removed: a heartbeat has reported that it leaves, or it is silent for longer than the guaranteed lease
//!   can be believed.
//!
//! The caller sends a [`Leader::reply`] only after it has confirmed that it still led when the heartbeat
//! arrived, and has applied all entries before. Guards against a grant from a deposed leader.

use crate::configuration::register::Register;
use crate::configuration::rollout::MemberRollout;
use crate::configuration::{is_valid_name, sanitize, ConfigurationReport, Target, Version, MAX_REASON_CHARS};
use crate::lease::Lease;
use crate::ledger::{Allocation, Entry, Ledger, LedgerTransition, Offer};
use crate::message::{Grant, Heartbeat, HeartbeatReply, RejectReason};
use crate::offers::{plan_offers, MemberDemand};
use crate::{BudgetAmounts, MemberId};
use fernroute::Time;
use std::collections::BTreeMap;

/// The longest name of a member.
const MAX_MEMBER_NAME_BYTES: usize = 64;

/// The heartbeat that carried a configuration report.
#[derive(Clone, Copy, Debug, Default)]
struct ReportOrigin {
    heartbeat_number: u64,
    received_at: Time,
}

/// What the leader knows of one member, or of a candidate that is to join.
#[derive(Clone, Debug)]
struct MemberState {
    name: String,
    /// By this leader's clock; the start of its leadership before the first heartbeat.
    last_heartbeat_at: Time,
    /// The demand of the last heartbeat; none before the first.
    demand: Option<BudgetAmounts>,
    /// The highest epoch that it has reported.
    epoch: u64,
    leaving: bool,
    /// The configuration report of the latest heartbeat, if that had one.
    report: Option<ConfigurationReport>,
    report_origin: ReportOrigin,
}

impl MemberState {
    fn new(name: &str, now: Time) -> Self {
        MemberState {
            name: name.to_owned(),
            last_heartbeat_at: now,
            demand: None,
            epoch: 0,
            leaving: false,
            report: None,
            report_origin: ReportOrigin::default(),
        }
    }

    fn silence(&self, now: Time) -> Time {
        now.saturating_sub(self.last_heartbeat_at)
    }

    /// A leaving member never returns, so a heartbeat after its last is late and changes nothing.
    fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat, quota_lease: Lease) {
        if self.leaving {
            return;
        }
        self.last_heartbeat_at = now;
        self.demand = Some(heartbeat.demand.clone());
        self.epoch = self.epoch.max(heartbeat.epoch);
        self.leaving = heartbeat.leaving;
        self.update_report(now, heartbeat, quota_lease.expires_after());
    }

    /// An overtaken heartbeat does not replace a later report. A lower number after `max_silence` without any
    /// report is from a restarted process that numbers its heartbeats anew.
    fn update_report(&mut self, now: Time, heartbeat: &Heartbeat, max_silence: Time) {
        let previous = self.report_origin;
        let is_overtaken = heartbeat.number < previous.heartbeat_number;
        if is_overtaken && now.saturating_sub(previous.received_at) <= max_silence {
            return;
        }
        self.report_origin = ReportOrigin { heartbeat_number: heartbeat.number, received_at: now };
        self.report = heartbeat.configuration.clone().filter(has_valid_names);
        // Guards against a member's text that breaks the table of `status`, or is too long for it.
        if let Some((_, reason)) = self.report.as_mut().and_then(|report| report.rejected.as_mut()) {
            *reason = sanitize(reason, MAX_REASON_CHARS);
        }
    }
}

/// The state of one leadership.
#[derive(Clone, Debug)]
pub struct Leader {
    quota_lease: Lease,
    guaranteed_lease: Lease,
    /// The number of members whose guaranteed amounts together fit into each budget's limit.
    max_members: usize,
    leader_since: Time,
    /// Members and candidates; [`Leader::remove_expired`] empties it.
    members: BTreeMap<MemberId, MemberState>,
    /// The transition that is being entered, until its outcome is known.
    pending_transition: Option<LedgerTransition>,
}

impl Leader {
    /// A leader elected at `now`, by its own clock.
    pub fn new(
        now: Time,
        ledger: &Ledger,
        quota_lease: Lease,
        guaranteed_lease: Lease,
        max_members: usize,
    ) -> Self {
        let mut members = BTreeMap::new();
        for (identity, allocation) in ledger.allocations() {
            members.insert(*identity, MemberState::new(&allocation.name, now));
        }
        Leader {
            quota_lease,
            guaranteed_lease,
            max_members,
            leader_since: now,
            members,
            pending_transition: None,
        }
    }

    /// Records a heartbeat. The error is the reply to a candidate that cannot join.
    pub fn on_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        ledger: &Ledger,
    ) -> Result<(), RejectReason> {
        if heartbeat.name.is_empty() || heartbeat.name.len() > MAX_MEMBER_NAME_BYTES {
            return Err(RejectReason::InvalidName);
        }
        if !ledger.allocations().contains_key(&heartbeat.identity) {
            if heartbeat.leaving {
                return Ok(());
            }
            self.check_candidate(heartbeat)?;
        }
        let member = self.members.entry(heartbeat.identity);
        let member = member.or_insert_with(|| MemberState::new(&heartbeat.name, now));
        member.on_heartbeat(now, heartbeat, self.quota_lease);
        Ok(())
    }

    /// Whether a sender that is no member yet may become one.
    fn check_candidate(&self, heartbeat: &Heartbeat) -> Result<(), RejectReason> {
        let mut others = self.members.iter().filter(|(identity, _)| **identity != heartbeat.identity);
        if others.any(|(_, other)| other.name == heartbeat.name) {
            return Err(RejectReason::NameTaken);
        }
        if self.members.len() >= self.max_members && !self.members.contains_key(&heartbeat.identity) {
            return Err(RejectReason::Full);
        }
        Ok(())
    }

    /// The reply to a heartbeat. The configuration version is repeated for as long as the member's heartbeats
    /// report another one, without a record of earlier notices. Guards against a notice that is lost for
    /// good.
    pub fn reply(
        &self,
        heartbeat: &Heartbeat,
        ledger: &Ledger,
        register: &Register,
    ) -> Result<HeartbeatReply, RejectReason> {
        let allocation = ledger.allocations().get(&heartbeat.identity).ok_or(RejectReason::RetryLater)?;
        if heartbeat.leaving || self.is_being_expired(heartbeat.identity) {
            return Err(RejectReason::RetryLater);
        }
        let configuration = heartbeat.configuration.as_ref().and_then(|report| {
            let version = register.version_for(&report_target(&heartbeat.name, report));
            (version != report.active).then_some(version)
        });
        Ok(HeartbeatReply {
            identity: heartbeat.identity,
            number: heartbeat.number,
            grant: allocation.latest_grant().clone(),
            quotas_valid_for: self.quota_lease.duration,
            guaranteed_valid_for: self.guaranteed_lease.duration,
            configuration,
            duties: None,
        })
    }

    /// Guards against a grant to a member whose expiry or removal is being entered.
    fn is_being_expired(&self, identity: MemberId) -> bool {
        self.pending_transition.as_ref().is_some_and(|transition| {
            transition.expired.contains(&identity) || transition.removed.contains(&identity)
        })
    }

    /// The rollout state of each member's configuration.
    pub fn configuration_states(
        &self,
        now: Time,
        ledger: &Ledger,
        register: &Register,
    ) -> Vec<MemberRollout> {
        let mut states = Vec::new();
        for (identity, allocation) in ledger.allocations() {
            let member = self.members.get(identity);
            // Nothing is known of a member's configuration before its first heartbeat to this leader.
            let is_reachable =
                member.is_some_and(|member| member.demand.is_some() && self.is_reachable(member, now));
            let report = member.and_then(|member| member.report.as_ref());
            let wanted =
                report.map_or(0, |report| register.version_for(&report_target(&allocation.name, report)));
            states.push(MemberRollout::new(&allocation.name, wanted, report, is_reachable));
        }
        states
    }

    /// The highest configuration version that any member reported as active or rejected, for
    /// [`crate::configuration::register::ConfigurationPut::min_version_exclusive`]. Guards against reuse of a
    /// version after the register was lost with all coordinators' disks while balancers still have its
    /// entries active.
    pub fn highest_reported_version(&self) -> Version {
        let reports = self.members.values().filter_map(|member| member.report.as_ref());
        let highest = |report: &ConfigurationReport| {
            report.active.max(report.rejected.as_ref().map_or(0, |(version, _)| *version))
        };
        reports.map(highest).max().unwrap_or(0)
    }

    /// The transition to enter now, if any. There is none until [`Leader::transition_done`] has been called
    /// for the last.
    pub fn next_transition(&mut self, now: Time, ledger: &Ledger) -> Option<LedgerTransition> {
        if self.pending_transition.is_some() {
            return None;
        }
        self.remove_expired(now, ledger);
        let mut transition = self.membership_transition(now, ledger);
        // Offers divide what the members hold after the rest of the transition.
        let mut next_ledger = ledger.clone();
        if !transition.is_empty() {
            next_ledger.apply(&Entry::Transition(transition.clone())).ok()?;
        }
        transition.offers = self.offers(now, &next_ledger);
        if transition.is_empty() {
            return None;
        }
        self.pending_transition = Some(transition.clone());
        Some(transition)
    }

    /// The pending transition was applied, was refused, or never will be applied: the ledger shows which.
    pub fn transition_done(&mut self) {
        self.pending_transition = None;
    }

    /// Removes former members, and candidates that have been silent for the quota lease; adds members that it
    /// lacks.
    fn remove_expired(&mut self, now: Time, ledger: &Ledger) {
        let max_silence = self.quota_lease.expires_after();
        self.members.retain(|identity, member| {
            let is_member = ledger.allocations().contains_key(identity);
            is_member || !member.leaving && member.silence(now) <= max_silence
        });
        for (identity, allocation) in ledger.allocations() {
            let member = self.members.entry(*identity);
            member.or_insert_with(|| MemberState::new(&allocation.name, now));
        }
    }

    /// The members that join, have accepted, expire or are removed; without offers.
    fn membership_transition(&self, now: Time, ledger: &Ledger) -> LedgerTransition {
        let mut transition = LedgerTransition { base_epoch: ledger.epoch(), ..LedgerTransition::default() };
        for (identity, member) in &self.members {
            let Some(allocation) = ledger.allocations().get(identity) else {
                transition.joined.push((*identity, member.name.clone()));
                continue;
            };
            let silence = member.silence(now);
            let offered_epoch = allocation.offered.as_ref().map(|offered| offered.epoch);
            if member.leaving || silence > self.guaranteed_lease.expires_after() {
                transition.removed.push(*identity);
            } else if offered_epoch == Some(member.epoch) {
                transition.accepted.push((*identity, member.epoch));
            } else if silence > self.quota_lease.expires_after() && has_quotas(allocation) {
                transition.expired.push(*identity);
            }
        }
        transition
    }

    fn offers(&self, now: Time, ledger: &Ledger) -> BTreeMap<MemberId, Offer> {
        let mut members = Vec::new();
        for (identity, allocation) in ledger.allocations() {
            let member = self.members.get(identity);
            members.push(MemberDemand {
                identity: *identity,
                allocation,
                is_reachable: member.is_some_and(|member| self.is_reachable(member, now)),
                demand: member.and_then(|member| member.demand.as_ref()),
            });
        }
        // Guards against quotas that all go to the members whose heartbeats reach a new leader first.
        let is_demand_known = now.saturating_sub(self.leader_since) >= self.quota_lease.duration / 3;
        plan_offers(ledger, &members, is_demand_known)
    }

    /// Whether the member may still hold quotas, by the time of its last heartbeat.
    fn is_reachable(&self, member: &MemberState, now: Time) -> bool {
        !member.leaving && member.silence(now) <= self.quota_lease.expires_after()
    }
}

fn has_valid_names(report: &ConfigurationReport) -> bool {
    is_valid_name(&report.service) && (report.zone.is_empty() || is_valid_name(&report.zone))
}

fn report_target(name: &str, report: &ConfigurationReport) -> Target {
    Target { name: name.to_owned(), service: report.service.clone(), zone: report.zone.clone() }
}

fn has_quotas(allocation: &Allocation) -> bool {
    let has_quota = |grant: &Grant| grant.quotas.values().any(|quota| *quota > 0);
    has_quota(&allocation.accepted) || allocation.offered.as_ref().is_some_and(has_quota)
}
