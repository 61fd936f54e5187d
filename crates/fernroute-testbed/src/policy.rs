//! Whoever decides in a run: the real balancer, or a plain rule to compare it with. Baselines never enter the program.

use crate::scenario::{seconds, zone_name, Effect, Group, Scenario};
use crate::trace::EndpointState;
use fernroute::action_queue::ActionQueue;
use fernroute::{Balancer, Host as _, Outcome, Time, Timer};
use fernroute_server::protocol::settings;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::rc::Rc;

/// One line of a list.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    pub name: Rc<str>,
    pub zone: usize,
    pub cell: usize,
    pub started: Time,
    pub told: EndpointState,
}

pub trait Policy {
    fn update_endpoints(&mut self, now: Time, full: bool, entries: &[EndpointUpdate]);
    fn rpc_arrived(&mut self, now: Time, rpc: &str, method: &str, tenant: &str, time_left: Time);
    #[allow(clippy::too_many_arguments)]
    fn attempt_ended(
        &mut self,
        now: Time,
        rpc: &str,
        attempt: usize,
        end: Outcome,
        took: Time,
        over: bool,
        load: f64,
    );
    fn rpc_abandoned(&mut self, now: Time, rpc: &str);
    fn timer_fired(&mut self, now: Time, timer: &Timer);
    /// What the fleet grants; a plain rule knows of no tenants.
    fn set_budget_rates(&mut self, _: Time, _: &[(&str, [(f64, Time); 2])]) {}
}

impl Policy for Balancer<ActionQueue> {
    fn update_endpoints(&mut self, now: Time, full: bool, entries: &[EndpointUpdate]) {
        self.snapshot_started(now, full);
        for e in entries {
            match e.told {
                EndpointState::Ready => {
                    self.upstream_ready(&e.name, &zone_name(e.zone), &e.cell.to_string(), "", e.started)
                }
                EndpointState::Drains => self.upstream_draining(&e.name),
                EndpointState::Gone => self.upstream_removed(&e.name),
            }
        }
        self.snapshot_completed(true);
    }
    fn rpc_arrived(&mut self, now: Time, rpc: &str, method: &str, tenant: &str, time_left: Time) {
        Balancer::rpc_arrived(self, now, rpc, method, tenant, "", time_left);
    }
    fn set_budget_rates(&mut self, now: Time, of: &[(&str, [(f64, Time); 2])]) {
        if let Err(bad) = Balancer::set_budget_rates(self, now, of) {
            unreachable!("the grants of a run name its tenants: {bad}");
        }
    }
    fn attempt_ended(
        &mut self,
        now: Time,
        rpc: &str,
        attempt: usize,
        end: Outcome,
        took: Time,
        over: bool,
        load: f64,
    ) {
        Balancer::attempt_ended(self, now, rpc, attempt, end, took, over, &[load]);
    }
    fn rpc_abandoned(&mut self, now: Time, rpc: &str) {
        Balancer::rpc_abandoned(self, now, rpc);
    }
    fn timer_fired(&mut self, now: Time, timer: &Timer) {
        Balancer::timer_fired(self, now, timer);
    }
}

/// How a run's balancers decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Variant {
    Fernroute,
    /// The same, with tenants' shares divided by the fleet.
    Fleet,
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
}

impl Variant {
    pub const ALL: [Variant; 6] = [
        Variant::Fernroute,
        Variant::Fleet,
        Variant::Random,
        Variant::RoundRobin,
        Variant::LeastOutstanding,
        Variant::TwoChoices,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Variant::Fernroute => "fernroute",
            Variant::Fleet => "fleet",
            Variant::Random => "random",
            Variant::RoundRobin => "round-robin",
            Variant::LeastOutstanding => "least-outstanding",
            Variant::TwoChoices => "two-choices",
        }
    }

    pub fn from_name(name: &str) -> Result<Self, String> {
        let known = || Variant::ALL.map(Variant::name).join(", ");
        let found = Variant::ALL.into_iter().find(|v| v.name() == name);
        found.ok_or_else(|| format!("there is no variant {name}; there are {}", known()))
    }
}

/// Where a balancer of a run stands.
#[derive(Clone, Copy, Debug)]
pub struct BalancerPosition {
    pub tier: usize,
    pub number: usize,
    pub instances: usize,
    pub zone: usize,
}

/// Makes the balancers of a run.
pub type PolicyFactory<'a> =
    dyn Fn(&Scenario, BalancerPosition, ActionQueue, Time, u64) -> Box<dyn Policy> + 'a;

impl Variant {
    pub fn policy(
        self,
        scenario: &Scenario,
        post: BalancerPosition,
        desk: ActionQueue,
        now: Time,
        seed: u64,
    ) -> Box<dyn Policy> {
        if !matches!(self, Variant::Fernroute | Variant::Fleet) {
            return Box::new(Baseline::new(scenario, self, desk, seed));
        }
        let terms = settings::decode(&scenario.settings(post));
        match Balancer::new(desk, now, seed, &terms) {
            Ok(balancer) => Box::new(balancer),
            Err(missing) => unreachable!("a scenario that was checked gives all terms: {missing}"),
        }
    }
}

struct Known {
    entry: EndpointUpdate,
    out: usize,
}

struct Rpc {
    method: usize,
    hard: Time,
    /// Where each transmission went, when, and how it ended.
    txs: Vec<(Rc<str>, Time, Option<Outcome>)>,
}

/// Sends each RPC by one rule, and again as the methods allow, for as long as there is time.
pub struct Baseline {
    rule: Variant,
    host: ActionQueue,
    rng: ChaCha8Rng,
    methods: Vec<(String, Effect, Group, Time)>,
    most: usize,
    turn: usize,
    /// Emptied by the list.
    upstreams: BTreeMap<Rc<str>, Known>,
    /// Emptied by final answers.
    rpcs: BTreeMap<Rc<str>, Rpc>,
}

impl Baseline {
    pub fn new(scenario: &Scenario, rule: Variant, host: ActionQueue, seed: u64) -> Self {
        let method = |m: &crate::scenario::Method| (m.name.clone(), m.effect, m.group, seconds(m.window_s));
        Baseline {
            rule,
            host,
            rng: ChaCha8Rng::seed_from_u64(seed),
            methods: scenario.method.iter().map(method).collect(),
            most: scenario.rules.max_transmissions,
            turn: seed as usize % 1000,
            upstreams: BTreeMap::new(),
            rpcs: BTreeMap::new(),
        }
    }

    fn pick(&mut self, now: Time, rpc: &Rpc) -> Option<Rc<str>> {
        let (_, effect, group, window) = &self.methods[rpc.method];
        let first = rpc.txs.iter().find(|(_, _, end)| !end.is_some_and(Outcome::never_ran));
        let first = first.map(|(name, sent, _)| (self.upstreams.get(name).map(|k| k.entry.clone()), *sent));
        let fits = |e: &EndpointUpdate| match (&first, effect) {
            (None, _) | (_, Effect::Retriable) => true,
            (_, Effect::NonRetriable) => false,
            (Some((before, sent)), Effect::Deduped) => {
                let same = before.as_ref().is_some_and(|b| match group {
                    Group::All => true,
                    Group::Zone => b.zone == e.zone,
                    Group::Cell => b.cell == e.cell,
                });
                same && now < sent + window
            }
        };
        let usable = |k: &&Known| k.entry.told == EndpointState::Ready && fits(&k.entry);
        let all: Vec<&Known> = self.upstreams.values().filter(usable).collect();
        if all.is_empty() {
            return None;
        }
        let any = self.rng.random_range(0..all.len());
        let chosen = match self.rule {
            Variant::RoundRobin => {
                self.turn += 1;
                all[self.turn % all.len()]
            }
            Variant::TwoChoices => {
                let other = all[self.rng.random_range(0..all.len())];
                if other.out < all[any].out {
                    other
                } else {
                    all[any]
                }
            }
            Variant::LeastOutstanding => {
                // Ties by chance: all balancers would turn to the same one.
                let turned = all[any..].iter().chain(&all[..any]);
                turned.min_by_key(|k| k.out).copied().unwrap_or(all[any])
            }
            Variant::Random | Variant::Fernroute | Variant::Fleet => all[any],
        };
        Some(Rc::clone(&chosen.entry.name))
    }

    fn send(&mut self, now: Time, id: &str) -> bool {
        let Some((id, rpc)) = self.rpcs.remove_entry(id) else { return false };
        let to = if rpc.txs.len() < self.most && now < rpc.hard { self.pick(now, &rpc) } else { None };
        let (hard, rpc) = (rpc.hard, self.rpcs.entry(Rc::clone(&id)).or_insert(rpc));
        let Some(to) = to else { return false };
        rpc.txs.push((Rc::clone(&to), now, None));
        self.upstreams.get_mut(&to).into_iter().for_each(|k| k.out += 1);
        self.host.start_attempt(&id, &to, hard - now, None);
        true
    }

    fn finish(&mut self, id: &str) {
        let Some(rpc) = self.rpcs.remove(id) else { return };
        let (_, effect, group, _) = self.methods[rpc.method];
        let harmless = effect == Effect::Retriable || effect == Effect::Deduped && group == Group::All;
        if harmless || rpc.txs.iter().all(|(_, _, end)| end.is_some_and(Outcome::never_ran)) {
            self.host.reject(id, 0);
        } else {
            self.host.fail(id);
        }
    }
}

impl Policy for Baseline {
    fn update_endpoints(&mut self, _: Time, full: bool, entries: &[EndpointUpdate]) {
        if full {
            self.upstreams.retain(|name, _| entries.iter().any(|e| e.name == *name));
        }
        for entry in entries {
            if entry.told == EndpointState::Gone {
                self.upstreams.remove(&entry.name);
                continue;
            }
            let out = self.upstreams.get(&entry.name).map_or(0, |k| k.out);
            self.upstreams.insert(Rc::clone(&entry.name), Known { entry: entry.clone(), out });
        }
    }

    fn rpc_arrived(&mut self, now: Time, rpc: &str, method: &str, _: &str, time_left: Time) {
        let Some(method) = self.methods.iter().position(|m| m.0 == method) else {
            return self.host.reject(rpc, 0);
        };
        self.rpcs.insert(Rc::from(rpc), Rpc { method, hard: now + time_left, txs: Vec::new() });
        if !self.send(now, rpc) {
            self.finish(rpc);
        }
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        rpc: &str,
        attempt: usize,
        end: Outcome,
        _: Time,
        over: bool,
        _: f64,
    ) {
        let Some(open) = self.rpcs.get_mut(rpc) else { return };
        if let Some((to, _, ended)) = open.txs.get_mut(attempt) {
            *ended = Some(end);
            let known = self.upstreams.get_mut(to);
            known.into_iter().for_each(|k| k.out = k.out.saturating_sub(1));
        }
        if over {
            self.rpcs.remove(rpc);
        } else if !self.send(now, rpc) {
            self.finish(rpc);
        }
    }

    fn rpc_abandoned(&mut self, _: Time, rpc: &str) {
        let Some(open) = self.rpcs.remove(rpc) else { return };
        for (n, (to, _, end)) in open.txs.iter().enumerate() {
            if end.is_none() {
                self.upstreams.get_mut(to).into_iter().for_each(|k| k.out = k.out.saturating_sub(1));
                self.host.cancel_attempt(rpc, n);
            }
        }
    }

    fn timer_fired(&mut self, _: Time, _: &Timer) {}
}
