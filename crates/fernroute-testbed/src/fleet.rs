//! The fleet of a run in virtual time: stewards as one ledger with one leader, and the members of the first tier. All
//! read one clock here; clocks that differ are the fleet crate's own tests'.

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
    /// What each tenant asks for here.
    asked: Vec<DemandMeter>,
}

/// What a tenant has here: two rates, each until a time.
pub type Granted = (String, [(f64, Time); 2]);

pub struct Fleet {
    names: Vec<String>,
    ledger: Ledger,
    leader: Option<Leader>,
    entering: Option<LedgerTransition>,
    shares: Lease,
    floors: Lease,
    most: usize,
    /// By node; one that has died is not heard of any more.
    members: BTreeMap<usize, Balancer>,
}

impl Fleet {
    pub fn new(scenario: &Scenario) -> Self {
        let f = &scenario.fleet;
        let most = scenario.tier[0].balancers;
        let lease = |length| Lease { duration: length, drift_ppm: f.drift_ppm };
        let (shares, floors) = (lease(millis(f.shares_for_ms)), lease(seconds(f.floors_for_s)));
        let mut ledger = Ledger::default();
        let budgets =
            scenario.tenant.iter().map(|t| (t.name.clone(), Budget::new(t.rate, f.floors, most))).collect();
        if let Err(why) = ledger.apply(&Entry::Budgets(budgets)) {
            unreachable!("budgets are always taken: {why:?}");
        }
        let leader = Some(Leader::new(0, &ledger, shares, floors, most));
        let names = scenario.tenant.iter().map(|t| t.name.clone()).collect();
        Fleet { names, ledger, leader, entering: None, shares, floors, most, members: BTreeMap::new() }
    }

    /// A balancer that starts again finds the identity that the one before it left.
    pub fn join(&mut self, node: usize, number: usize, now: Time) {
        let identity = number as u64 + 1;
        self.members.retain(|_, b| b.member.identity() != identity);
        let member = Member::new(&format!("b{number}"), identity, now << 16);
        let asked = self.names.iter().map(|_| DemandMeter::new(now)).collect();
        self.members.insert(node, Balancer { member, asked });
    }

    pub fn asked(&mut self, node: usize, now: Time, tenant: usize) {
        self.members.get_mut(&node).into_iter().for_each(|b| b.asked[tenant].count(now));
    }

    pub fn beat(&mut self, node: usize, now: Time) -> Option<Heartbeat> {
        let b = self.members.get_mut(&node)?;
        let wants = b.asked.iter_mut().map(|meter| meter.demand(now));
        let wants: BudgetAmounts = self.names.iter().cloned().zip(wants).collect();
        Some(b.member.heartbeat(now, wants))
    }

    pub fn hear(&mut self, now: Time, beat: &Heartbeat) -> Option<HeartbeatReply> {
        let leader = self.leader.as_mut()?;
        leader.on_heartbeat(now, beat, &self.ledger).ok()?;
        if self.entering.is_none() {
            self.entering = leader.next_transition(now, &self.ledger);
        }
        leader.reply(beat, &self.ledger, &Register::default()).ok()
    }

    /// What was due a moment ago is entered.
    pub fn enter(&mut self, now: Time) {
        let Some(leader) = &mut self.leader else { return };
        if let Some(step) = self.entering.take() {
            if let Err(why) = self.ledger.apply(&Entry::Transition(step)) {
                unreachable!("one leader, and nobody else enters anything: {why:?}");
            }
            leader.transition_done();
            self.entering = leader.next_transition(now, &self.ledger);
        }
    }

    pub fn told(&mut self, node: usize, now: Time, answer: &HeartbeatReply) -> Option<Vec<Granted>> {
        let member = &mut self.members.get_mut(&node)?.member;
        if matches!(member.on_reply(now, answer), ReplyStatus::Stale | ReplyStatus::OlderEpoch) {
            return None;
        }
        Some(self.names.iter().map(|name| (name.clone(), member.rates(name))).collect())
    }

    /// No steward answers any more.
    pub fn down(&mut self) {
        (self.leader, self.entering) = (None, None);
    }

    /// They are back, and another one leads.
    pub fn up(&mut self, now: Time) {
        self.leader = Some(Leader::new(now, &self.ledger, self.shares, self.floors, self.most));
    }
}
