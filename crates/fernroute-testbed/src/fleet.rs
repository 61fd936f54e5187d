//! The fleet of a simulated run: the coordinators as one ledger with one leader, and the members of the first tier. All
//! share one clock; the tests of the fleet crate cover clock drift.

use crate::scenario::{millis, seconds, Scenario};
use fernroute::Time;
use fernroute_fleet::configuration::register::Register;
use fernroute_fleet::demand::DemandMeter;
use fernroute_fleet::leader::Leader;
use fernroute_fleet::lease::Lease;
use fernroute_fleet::ledger::{Budget, Entry, Ledger, LedgerTransition};
use fernroute_fleet::member::{Member, ReplyStatus};
use fernroute_fleet::message::{Heartbeat, HeartbeatReply};
use fernroute_fleet::BudgetAmounts;
use std::collections::BTreeMap;

struct Balancer {
    member: Member,
    /// Demand of each tenant at this balancer.
    demand: Vec<DemandMeter>,
}

/// A tenant's budget at a balancer: two rates with their expiry times.
pub type BudgetGrant = (String, [(f64, Time); 2]);

pub struct Fleet {
    tenants: Vec<String>,
    ledger: Ledger,
    leader: Option<Leader>,
    pending: Option<LedgerTransition>,
    shares: Lease,
    floors: Lease,
    max_members: usize,
    /// Members by balancer index; a dead one sends no heartbeats.
    members: BTreeMap<usize, Balancer>,
}

impl Fleet {
    pub fn new(scenario: &Scenario) -> Self {
        let f = &scenario.fleet;
        let max_members = scenario.tier[0].balancers;
        let lease = |length| Lease { duration: length, drift_ppm: f.drift_ppm };
        let (shares, floors) = (lease(millis(f.shares_for_ms)), lease(seconds(f.floors_for_s)));
        let mut ledger = Ledger::default();
        let budgets = scenario
            .tenant
            .iter()
            .map(|t| (t.name.clone(), Budget::new(t.rate, f.floors, max_members)))
            .collect();
        if let Err(why) = ledger.apply(&Entry::Budgets(budgets)) {
            unreachable!("a new ledger accepts any budgets: {why:?}");
        }
        let leader = Some(Leader::new(0, &ledger, shares, floors, max_members));
        let tenants = scenario.tenant.iter().map(|t| t.name.clone()).collect();
        Fleet {
            tenants,
            ledger,
            leader,
            pending: None,
            shares,
            floors,
            max_members,
            members: BTreeMap::new(),
        }
    }

    /// Adds a member. A restarted balancer keeps the identity of its predecessor.
    pub fn join(&mut self, node: usize, number: usize, now: Time) {
        let identity = number as u64 + 1;
        self.members.retain(|_, b| b.member.identity() != identity);
        let member = Member::new(&format!("b{number}"), identity, now << 16);
        let demand = self.tenants.iter().map(|_| DemandMeter::new(now)).collect();
        self.members.insert(node, Balancer { member, demand });
    }

    pub fn record_demand(&mut self, node: usize, now: Time, tenant: usize) {
        self.members.get_mut(&node).into_iter().for_each(|b| b.demand[tenant].count(now));
    }

    pub fn heartbeat(&mut self, node: usize, now: Time) -> Option<Heartbeat> {
        let b = self.members.get_mut(&node)?;
        let demands = b.demand.iter_mut().map(|meter| meter.demand(now));
        let demands: BudgetAmounts = self.tenants.iter().cloned().zip(demands).collect();
        Some(b.member.heartbeat(now, demands))
    }

    pub fn on_heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
        let leader = self.leader.as_mut()?;
        leader.on_heartbeat(now, heartbeat, &self.ledger).ok()?;
        if self.pending.is_none() {
            self.pending = leader.next_transition(now, &self.ledger);
        }
        leader.reply(heartbeat, &self.ledger, &Register::default()).ok()
    }

    /// Applies the pending transition and prepares the next one.
    pub fn commit_transition(&mut self, now: Time) {
        let Some(leader) = &mut self.leader else { return };
        if let Some(step) = self.pending.take() {
            if let Err(why) = self.ledger.apply(&Entry::Transition(step)) {
                unreachable!("the only leader made this transition: {why:?}");
            }
            leader.transition_done();
            self.pending = leader.next_transition(now, &self.ledger);
        }
    }

    pub fn on_reply(&mut self, node: usize, now: Time, reply: &HeartbeatReply) -> Option<Vec<BudgetGrant>> {
        let member = &mut self.members.get_mut(&node)?.member;
        if matches!(member.on_reply(now, reply), ReplyStatus::Stale | ReplyStatus::OlderEpoch) {
            return None;
        }
        Some(self.tenants.iter().map(|name| (name.clone(), member.rates(name))).collect())
    }

    /// Stops all coordinators.
    pub fn stop_coordinators(&mut self) {
        (self.leader, self.pending) = (None, None);
    }

    /// Restarts the coordinators under a new leader.
    pub fn start_coordinators(&mut self, now: Time) {
        self.leader = Some(Leader::new(now, &self.ledger, self.shares, self.floors, self.max_members));
    }
}
