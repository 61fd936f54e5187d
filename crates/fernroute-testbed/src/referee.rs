//! Judges the four rules from what happened alone. It knows nothing of how balancers decide.

pub mod cold;

use crate::scenario::{millis, seconds, Effect, Group, Scenario};
use crate::trace::{EndpointState, Event, FinalAnswer, Observer};
use cold::{ColdRule, ColdStart, ColdWindow};
use fernroute::{Outcome, Time};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// A rule that was broken, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub at: Time,
    pub rule: Rule,
    pub description: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One whole final answer before the hard deadline, nothing after.
    OneAnswer,
    /// No effect twice.
    NoSecondEffect,
    /// Nothing new past the grace after a drain was told.
    DrainsKept,
    /// Cold upstreams are not pushed over.
    ColdSpared,
    /// What is sent on for a tenant stays within its budget.
    WithinBudget,
}

struct Tx {
    upstream: usize,
    sent: Time,
    ran: bool,
    end: Option<Outcome>,
}

struct Rpc {
    balancer: usize,
    method: usize,
    tenant: Option<usize>,
    hard: Time,
    answered: bool,
    left: bool,
    txs: Vec<Tx>,
}

struct Upstream {
    zone: usize,
    cell: usize,
    cold: ColdStart,
}

/// What was sent on of one tenant's RPCs in the last seconds; time empties it.
struct Spent {
    name: String,
    rate: f64,
    sends: VecDeque<Time>,
}

/// In windows of so many seconds what was sent on for a tenant is held against its budget.
const WINDOWS: [f64; 2] = [1.0, 10.0];

/// Of a budget that is a rate, balancers may save up what they leave: for so long, in seconds, and some RPCs each.
const SAVED: f64 = 2.0;
const BUNCH: f64 = 4.0;

pub struct Referee {
    tenants: Vec<Spent>,
    bunch: f64,
    effects: Vec<(Effect, Group, Time)>,
    grace: Time,
    slack: Time,
    cold: ColdRule,
    /// Emptied by final answers and the ends of transmissions.
    rpcs: BTreeMap<Rc<str>, Rpc>,
    /// One for each upstream of the run; a warm one keeps no sends.
    upstreams: BTreeMap<usize, Upstream>,
    /// What a balancer was told last of an upstream that leaves, and when; emptied with the balancer.
    leaving: BTreeMap<(usize, usize), Time>,
    pub violations: Vec<Violation>,
    /// Of each cold start that was sent anything, the worst window; whole at the end.
    pub cold_starts: Vec<ColdWindow>,
}

/// More say no more; a balancer that breaks a rule with each RPC fills no memory.
const MAX_VIOLATIONS: usize = 100;

impl Referee {
    pub fn new(scenario: &Scenario) -> Self {
        let r = &scenario.rules;
        let spent = |t: &crate::scenario::Tenant| Spent {
            name: t.name.clone(),
            rate: t.rate,
            sends: VecDeque::new(),
        };
        Referee {
            tenants: scenario.tenant.iter().map(spent).collect(),
            bunch: BUNCH * scenario.tier[0].balancers as f64,
            effects: scenario.method.iter().map(|m| (m.effect, m.group, seconds(m.window_s))).collect(),
            grace: millis(r.drain_grace_ms),
            slack: millis(r.answer_slack_ms),
            cold: ColdRule::new(r),
            rpcs: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            leaving: BTreeMap::new(),
            violations: Vec::new(),
            cold_starts: Vec::new(),
        }
    }

    fn broken(&mut self, at: Time, rule: Rule, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { at, rule, description: what });
        }
    }

    /// At the end of the run: what has no answer yet never gets one.
    pub fn finish(&mut self, at: Time) {
        for (id, rpc) in std::mem::take(&mut self.rpcs) {
            if !rpc.answered && !rpc.left {
                self.broken(at, Rule::OneAnswer, format!("RPC {id} was never answered"));
            }
        }
        let last = std::mem::take(&mut self.upstreams);
        self.cold_starts.extend(last.values().filter_map(|u| u.cold.worst));
    }

    fn sent(&mut self, at: Time, id: &Rc<str>, n: usize, balancer: usize, upstream: usize, work: f64) {
        if self.leaving.get(&(balancer, upstream)).is_some_and(|told| at > told + self.grace) {
            let what = format!(
                "RPC {id} to upstream {upstream} by balancer {balancer}, which was told that it leaves"
            );
            self.broken(at, Rule::DrainsKept, what);
        }
        self.count_cold(at, balancer, upstream, work);
        if n == 0 {
            self.count_tenant(at, id);
        }
        let place = |u: &Upstream, group: Group| match group {
            Group::All => 0,
            Group::Zone => u.zone,
            Group::Cell => u.cell,
        };
        let groups = |group: Group, a: usize, b: usize| {
            let of = |n: usize| self.upstreams.get(&n).map(|u| place(u, group));
            of(a) == of(b)
        };
        let Some(rpc) = self.rpcs.get(id) else {
            return self.broken(at, Rule::OneAnswer, format!("RPC {id} was sent, which is not open"));
        };
        let first = rpc.txs.iter().find(|t| t.ran || !t.end.is_some_and(Outcome::never_ran));
        let (effect, group, window) = self.effects[rpc.method];
        let wrong = first.and_then(|first| match effect {
            Effect::Retriable => None,
            Effect::NonRetriable => Some("that may have run".to_owned()),
            Effect::Deduped if !groups(group, first.upstream, upstream) => {
                Some("out of its group".to_owned())
            }
            Effect::Deduped => (at > first.sent + window).then(|| "past its window".to_owned()),
        });
        let late = rpc.answered || rpc.left;
        if let Some(wrong) = wrong {
            self.broken(at, Rule::NoSecondEffect, format!("RPC {id} was sent again {wrong}"));
        }
        if late {
            self.broken(at, Rule::OneAnswer, format!("RPC {id} was sent after its end"));
        }
        if let Some(rpc) = self.rpcs.get_mut(id) {
            if rpc.txs.len() != n {
                let what = format!("RPC {id}: transmission {n} came as number {}", rpc.txs.len());
                rpc.txs.push(Tx { upstream, sent: at, ran: false, end: None });
                return self.broken(at, Rule::OneAnswer, what);
            }
            rpc.txs.push(Tx { upstream, sent: at, ran: false, end: None });
        }
    }

    /// What all balancers together sent on for its tenant of late.
    fn count_tenant(&mut self, at: Time, id: &Rc<str>) {
        let tenant = self.rpcs.get(id).and_then(|rpc| rpc.tenant);
        let Some(of) = tenant.and_then(|tenant| self.tenants.get_mut(tenant)) else { return };
        of.sends.push_back(at);
        let longest = seconds(WINDOWS.into_iter().fold(0.0, f64::max));
        while of.sends.front().is_some_and(|sent| sent + longest <= at) {
            of.sends.pop_front();
        }
        let beyond = WINDOWS.into_iter().find_map(|window| {
            let begin = at.saturating_sub(seconds(window));
            let sent = of.sends.len() - of.sends.partition_point(|sent| *sent <= begin);
            let most = of.rate * (window + SAVED) + self.bunch;
            (sent as f64 > most)
                .then(|| format!("{sent} RPCs of {} in {window} s, at most {most:.0} may be", of.name))
        });
        if let Some(what) = beyond {
            // Told once for all of them.
            of.sends.clear();
            self.broken(at, Rule::WithinBudget, what);
        }
    }

    /// All that the fleet sent it in the last window, against what it could do in that time. The rule is broken by
    /// those that knew of its start.
    fn count_cold(&mut self, at: Time, balancer: usize, upstream: usize, work: f64) {
        let Some(u) = self.upstreams.get_mut(&upstream) else { return };
        let Some(fall) =
            u.cold.sent(&self.cold, at, upstream, balancer, work).filter(ColdWindow::is_violation)
        else {
            return;
        };
        let what = format!(
            "upstream {upstream} got {} RPCs, of mean work {:.1}, in a window; {:.1} are allowed, {:.1} are borne",
            fall.rpcs,
            fall.work,
            fall.allowed,
            cold::fall_threshold(fall.allowed)
        );
        self.broken(at, Rule::ColdSpared, what);
    }

    fn answered(&mut self, at: Time, id: &Rc<str>, last: FinalAnswer) {
        let Some(rpc) = self.rpcs.get_mut(id) else {
            return self.broken(at, Rule::OneAnswer, format!("RPC {id} was answered, which is not open"));
        };
        let (twice, late) = (rpc.answered, at > rpc.hard + self.slack);
        rpc.answered = true;
        // An exhaustion reply says that asking again does no harm, to whichever upstream that then goes.
        let may_have_run = rpc.txs.iter().any(|t| t.ran || !t.end.is_some_and(Outcome::never_ran));
        let harmless = match self.effects[rpc.method] {
            (Effect::Retriable, ..) | (Effect::Deduped, Group::All, _) => true,
            _ => !may_have_run,
        };
        if twice {
            self.broken(at, Rule::OneAnswer, format!("RPC {id} was answered twice"));
        }
        if late {
            self.broken(at, Rule::OneAnswer, format!("RPC {id} was answered after its hard deadline"));
        }
        if last == FinalAnswer::Exhausted && !harmless {
            self.broken(at, Rule::NoSecondEffect, format!("RPC {id} was exhausted and may have run"));
        }
        self.forget(id);
    }

    fn forget(&mut self, id: &Rc<str>) {
        let over = |r: &Rpc| (r.answered || r.left) && r.txs.iter().all(|t| t.end.is_some());
        if self.rpcs.get(id).is_some_and(over) {
            self.rpcs.remove(id);
        }
    }
}

impl Observer for Referee {
    fn observe(&mut self, at: Time, event: &Event) {
        match event {
            Event::Arrived { rpc, balancer, method, hard, tenant } => {
                let (balancer, method, hard, tenant) = (*balancer, *method, *hard, *tenant);
                let new =
                    Rpc { balancer, method, tenant, hard, answered: false, left: false, txs: Vec::new() };
                self.rpcs.insert(Rc::clone(rpc), new);
            }
            Event::Sent { rpc, attempt, balancer, upstream, work } => {
                self.sent(at, rpc, *attempt, *balancer, *upstream, *work)
            }
            Event::Ran { rpc, attempt } => {
                let attempt = self.rpcs.get_mut(rpc).and_then(|r| r.txs.get_mut(*attempt));
                attempt.into_iter().for_each(|t| t.ran = true);
            }
            Event::Ended { rpc, attempt, outcome } => {
                let attempt = self.rpcs.get_mut(rpc).and_then(|r| r.txs.get_mut(*attempt));
                attempt.into_iter().for_each(|t| t.end = Some(*outcome));
                self.forget(rpc);
            }
            Event::Answered { rpc, last } => self.answered(at, rpc, *last),
            Event::CallerLeft { rpc } => {
                self.rpcs.get_mut(rpc).into_iter().for_each(|r| r.left = true);
                self.forget(rpc);
            }
            Event::Heard { balancer, upstream, told: EndpointState::Ready } => {
                self.leaving.remove(&(*balancer, *upstream));
                self.upstreams.get_mut(upstream).into_iter().for_each(|u| u.cold.endpoint_ready(*balancer));
            }
            Event::Heard { balancer, upstream, .. } => {
                self.leaving.entry((*balancer, *upstream)).or_insert(at);
            }
            Event::Started { upstream, zone, cell, rate, cold } => {
                let new = Upstream { zone: *zone, cell: *cell, cold: ColdStart::new(at, *rate, *cold) };
                let old = self.upstreams.insert(*upstream, new);
                self.cold_starts.extend(old.and_then(|u| u.cold.worst));
            }
            Event::BalancerDied { balancer } => {
                // What it held is its callers' to ask again.
                self.rpcs.retain(|_, rpc| rpc.balancer != *balancer);
                self.leaving.retain(|(b, _), _| b != balancer);
            }
        }
    }
}
