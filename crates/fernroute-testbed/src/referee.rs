//! Checks the rules against the recorded events alone, independently of the balancers' decisions.

pub mod cold;

use crate::scenario::{millis, seconds, Effect, Group, Scenario};
use crate::trace::{EndpointState, Event, FinalAnswer, Observer};
use cold::{ColdRule, ColdStart, ColdWindow};
use fernroute::{Outcome, Time};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub at: Time,
    pub rule: Rule,
    pub description: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one complete final answer before the hard deadline, and nothing after it.
    OneAnswer,
    /// No effect happens twice.
    NoSecondEffect,
    /// No new attempt to a draining upstream after the grace period that follows the update.
    DrainsKept,
    /// Cold upstreams are not overloaded.
    ColdSpared,
    /// The RPCs forwarded for a tenant stay within its budget.
    WithinBudget,
}

struct Attempt {
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
    caller_left: bool,
    attempts: Vec<Attempt>,
}

struct Upstream {
    zone: usize,
    cell: usize,
    cold: ColdStart,
}

/// The forwarded RPCs of one tenant in the longest window; older ones are removed.
struct TenantRecord {
    name: String,
    rate: f64,
    sent_at: VecDeque<Time>,
}

/// Windows in seconds over which the forwarded RPCs of a tenant are compared with its budget.
const BUDGET_WINDOWS_S: [f64; 2] = [1.0, 10.0];

/// Balancers may accumulate unused budget: over this many seconds, and `BURST_PER_BALANCER` RPCs each.
const ACCUMULATION_S: f64 = 2.0;
const BURST_PER_BALANCER: f64 = 4.0;

pub struct Referee {
    tenants: Vec<TenantRecord>,
    burst: f64,
    effects: Vec<(Effect, Group, Time)>,
    drain_grace: Time,
    answer_slack: Time,
    cold: ColdRule,
    /// Entries are removed once the RPC is answered and all attempts have ended.
    rpcs: BTreeMap<Rc<str>, Rpc>,
    /// All upstreams of the run; a warm one keeps no record of attempts.
    upstreams: BTreeMap<usize, Upstream>,
    /// When a balancer was first told that an upstream leaves, by balancer and upstream; removed with the balancer.
    leaving: BTreeMap<(usize, usize), Time>,
    pub violations: Vec<Violation>,
    /// The worst window of each cold start that received an RPC; complete after [`Referee::finish`].
    pub cold_starts: Vec<ColdWindow>,
}

/// Limits memory if a balancer breaks a rule with each RPC.
const MAX_VIOLATIONS: usize = 100;

impl Referee {
    pub fn new(scenario: &Scenario) -> Self {
        let r = &scenario.rules;
        let record = |t: &crate::scenario::Tenant| TenantRecord {
            name: t.name.clone(),
            rate: t.rate,
            sent_at: VecDeque::new(),
        };
        Referee {
            tenants: scenario.tenant.iter().map(record).collect(),
            burst: BURST_PER_BALANCER * scenario.tier[0].balancers as f64,
            effects: scenario.method.iter().map(|m| (m.effect, m.group, seconds(m.window_s))).collect(),
            drain_grace: millis(r.drain_grace_ms),
            answer_slack: millis(r.answer_slack_ms),
            cold: ColdRule::new(r),
            rpcs: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            leaving: BTreeMap::new(),
            violations: Vec::new(),
            cold_starts: Vec::new(),
        }
    }

    fn report(&mut self, at: Time, rule: Rule, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { at, rule, description: what });
        }
    }

    /// Ends the run: RPCs that are still open were never answered.
    pub fn finish(&mut self, at: Time) {
        for (id, rpc) in std::mem::take(&mut self.rpcs) {
            if !rpc.answered && !rpc.caller_left {
                self.report(at, Rule::OneAnswer, format!("RPC {id} was never answered"));
            }
        }
        let last = std::mem::take(&mut self.upstreams);
        self.cold_starts.extend(last.values().filter_map(|u| u.cold.worst));
    }

    fn attempt_sent(
        &mut self,
        at: Time,
        id: &Rc<str>,
        n: usize,
        balancer: usize,
        upstream: usize,
        work: f64,
    ) {
        if self.leaving.get(&(balancer, upstream)).is_some_and(|told| at > told + self.drain_grace) {
            let what = format!(
                "RPC {id} to upstream {upstream} by balancer {balancer}, which had been told that it leaves"
            );
            self.report(at, Rule::DrainsKept, what);
        }
        self.check_cold_start(at, balancer, upstream, work);
        if n == 0 {
            self.check_budget(at, id);
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
            return self.report(
                at,
                Rule::OneAnswer,
                format!("an attempt was sent for RPC {id}, which is not open"),
            );
        };
        let first = rpc.attempts.iter().find(|t| t.ran || !t.end.is_some_and(Outcome::never_ran));
        let (effect, group, window) = self.effects[rpc.method];
        let wrong = first.and_then(|first| match effect {
            Effect::Retriable => None,
            Effect::NonRetriable => Some("although it may have run".to_owned()),
            Effect::Deduped if !groups(group, first.upstream, upstream) => {
                Some("outside its group".to_owned())
            }
            Effect::Deduped => (at > first.sent + window).then(|| "after its window".to_owned()),
        });
        let late = rpc.answered || rpc.caller_left;
        if let Some(wrong) = wrong {
            self.report(at, Rule::NoSecondEffect, format!("RPC {id} was retried {wrong}"));
        }
        if late {
            self.report(at, Rule::OneAnswer, format!("an attempt was sent for RPC {id} after its end"));
        }
        if let Some(rpc) = self.rpcs.get_mut(id) {
            if rpc.attempts.len() != n {
                let what = format!("RPC {id}: attempt {n} was sent as number {}", rpc.attempts.len());
                rpc.attempts.push(Attempt { upstream, sent: at, ran: false, end: None });
                return self.report(at, Rule::OneAnswer, what);
            }
            rpc.attempts.push(Attempt { upstream, sent: at, ran: false, end: None });
        }
    }

    /// Checks what all balancers together forwarded for the RPC's tenant in each window.
    fn check_budget(&mut self, at: Time, id: &Rc<str>) {
        let tenant = self.rpcs.get(id).and_then(|rpc| rpc.tenant);
        let Some(of) = tenant.and_then(|tenant| self.tenants.get_mut(tenant)) else { return };
        of.sent_at.push_back(at);
        let longest = seconds(BUDGET_WINDOWS_S.into_iter().fold(0.0, f64::max));
        while of.sent_at.front().is_some_and(|sent| sent + longest <= at) {
            of.sent_at.pop_front();
        }
        let beyond = BUDGET_WINDOWS_S.into_iter().find_map(|window| {
            let begin = at.saturating_sub(seconds(window));
            let sent = of.sent_at.len() - of.sent_at.partition_point(|sent| *sent <= begin);
            let most = of.rate * (window + ACCUMULATION_S) + self.burst;
            (sent as f64 > most)
                .then(|| format!("{sent} RPCs of {} in {window} s, at most {most:.0} are allowed", of.name))
        });
        if let Some(what) = beyond {
            // Reported once for all of them.
            of.sent_at.clear();
            self.report(at, Rule::WithinBudget, what);
        }
    }

    /// Compares what the fleet sent a cold upstream in the last window with its capacity in that time. Only balancers that
    /// had been told of the start can break the rule.
    fn check_cold_start(&mut self, at: Time, balancer: usize, upstream: usize, work: f64) {
        let Some(u) = self.upstreams.get_mut(&upstream) else { return };
        let Some(overload) =
            u.cold.sent(&self.cold, at, upstream, balancer, work).filter(ColdWindow::is_violation)
        else {
            return;
        };
        let what = format!(
            "upstream {upstream} received {} RPCs, {:.1} in RPCs of mean work, in a window; {:.1} are allowed, the threshold is {:.1}",
            overload.rpcs,
            overload.work,
            overload.allowed,
            cold::fall_threshold(overload.allowed)
        );
        self.report(at, Rule::ColdSpared, what);
    }

    fn answered(&mut self, at: Time, id: &Rc<str>, last: FinalAnswer) {
        let Some(rpc) = self.rpcs.get_mut(id) else {
            return self.report(
                at,
                Rule::OneAnswer,
                format!("an answer was sent for RPC {id}, which is not open"),
            );
        };
        let (twice, late) = (rpc.answered, at > rpc.hard + self.answer_slack);
        rpc.answered = true;
        // `Exhausted` tells the caller that a retry is safe, whichever upstream it goes to.
        let may_have_run = rpc.attempts.iter().any(|t| t.ran || !t.end.is_some_and(Outcome::never_ran));
        let harmless = match self.effects[rpc.method] {
            (Effect::Retriable, ..) | (Effect::Deduped, Group::All, _) => true,
            _ => !may_have_run,
        };
        if twice {
            self.report(at, Rule::OneAnswer, format!("RPC {id} was answered twice"));
        }
        if late {
            self.report(at, Rule::OneAnswer, format!("RPC {id} was answered after its hard deadline"));
        }
        if last == FinalAnswer::Exhausted && !harmless {
            self.report(
                at,
                Rule::NoSecondEffect,
                format!("RPC {id} was answered as exhausted although it may have run"),
            );
        }
        self.remove_if_finished(id);
    }

    fn remove_if_finished(&mut self, id: &Rc<str>) {
        let over = |r: &Rpc| (r.answered || r.caller_left) && r.attempts.iter().all(|t| t.end.is_some());
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
                let new = Rpc {
                    balancer,
                    method,
                    tenant,
                    hard,
                    answered: false,
                    caller_left: false,
                    attempts: Vec::new(),
                };
                self.rpcs.insert(Rc::clone(rpc), new);
            }
            Event::Sent { rpc, attempt, balancer, upstream, work } => {
                self.attempt_sent(at, rpc, *attempt, *balancer, *upstream, *work)
            }
            Event::Ran { rpc, attempt } => {
                let attempt = self.rpcs.get_mut(rpc).and_then(|r| r.attempts.get_mut(*attempt));
                attempt.into_iter().for_each(|t| t.ran = true);
            }
            Event::Ended { rpc, attempt, outcome } => {
                let attempt = self.rpcs.get_mut(rpc).and_then(|r| r.attempts.get_mut(*attempt));
                attempt.into_iter().for_each(|t| t.end = Some(*outcome));
                self.remove_if_finished(rpc);
            }
            Event::Answered { rpc, last } => self.answered(at, rpc, *last),
            Event::CallerLeft { rpc } => {
                self.rpcs.get_mut(rpc).into_iter().for_each(|r| r.caller_left = true);
                self.remove_if_finished(rpc);
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
                // The RPCs that it held are retried by their callers.
                self.rpcs.retain(|_, rpc| rpc.balancer != *balancer);
                self.leaving.retain(|(b, _), _| b != balancer);
            }
        }
    }
}
