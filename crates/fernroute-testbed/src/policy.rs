//! Load-balancing policies of a run: the real balancer, and baselines to compare it with. Baselines are not part of the
//! shipped program.

use crate::scenario::{seconds, zone_name, Effect, Group, Scenario};
use crate::trace::EndpointState;
use fernroute::action_queue::ActionQueue;
use fernroute::{Balancer, Host as _, Outcome, Time, Timer};
use fernroute_server::protocol::settings;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::rc::Rc;

/// An endpoint in a discovery update.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    pub name: Rc<str>,
    pub zone: usize,
    pub cell: usize,
    pub started: Time,
    pub state: EndpointState,
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
    /// Applies budgets granted by the fleet. Baselines ignore tenants.
    fn set_budget_rates(&mut self, _: Time, _: &[(&str, [(f64, Time); 2])]) {}
}

impl Policy for Balancer<ActionQueue> {
    fn update_endpoints(&mut self, now: Time, full: bool, entries: &[EndpointUpdate]) {
        self.snapshot_started(now, full);
        for e in entries {
            match e.state {
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
        if let Err(error) = Balancer::set_budget_rates(self, now, of) {
            unreachable!("grants only name tenants of the scenario: {error}");
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

/// The policy that the balancers of a run use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Variant {
    Fernroute,
    /// The real balancer, with tenants' budgets divided by the fleet.
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

/// The position of a balancer in the scenario.
#[derive(Clone, Copy, Debug)]
pub struct BalancerPosition {
    pub tier: usize,
    pub number: usize,
    pub instances: usize,
    pub zone: usize,
}

/// Creates the policies of a run.
pub type PolicyFactory<'a> =
    dyn Fn(&Scenario, BalancerPosition, ActionQueue, Time, u64) -> Box<dyn Policy> + 'a;

impl Variant {
    pub fn policy(
        self,
        scenario: &Scenario,
        position: BalancerPosition,
        actions: ActionQueue,
        now: Time,
        seed: u64,
    ) -> Box<dyn Policy> {
        if !matches!(self, Variant::Fernroute | Variant::Fleet) {
            return Box::new(Baseline::new(scenario, self, actions, seed));
        }
        let settings = settings::decode(&scenario.settings(position));
        match Balancer::new(actions, now, seed, &settings) {
            Ok(balancer) => Box::new(balancer),
            Err(missing) => unreachable!("a validated scenario has all settings: {missing}"),
        }
    }
}

struct KnownEndpoint {
    entry: EndpointUpdate,
    outstanding: usize,
}

struct Rpc {
    method: usize,
    hard: Time,
    /// Upstream, start and outcome of each attempt.
    attempts: Vec<(Rc<str>, Time, Option<Outcome>)>,
}

/// Selects upstreams by one simple rule, and retries as the methods allow until the hard deadline.
pub struct Baseline {
    variant: Variant,
    host: ActionQueue,
    rng: ChaCha8Rng,
    methods: Vec<(String, Effect, Group, Time)>,
    max_attempts: usize,
    next_index: usize,
    /// Entries are removed by discovery updates.
    upstreams: BTreeMap<Rc<str>, KnownEndpoint>,
    /// Entries are removed by final answers.
    rpcs: BTreeMap<Rc<str>, Rpc>,
}

impl Baseline {
    pub fn new(scenario: &Scenario, variant: Variant, host: ActionQueue, seed: u64) -> Self {
        let method = |m: &crate::scenario::Method| (m.name.clone(), m.effect, m.group, seconds(m.window_s));
        Baseline {
            variant,
            host,
            rng: ChaCha8Rng::seed_from_u64(seed),
            methods: scenario.method.iter().map(method).collect(),
            max_attempts: scenario.rules.max_transmissions,
            next_index: seed as usize % 1000,
            upstreams: BTreeMap::new(),
            rpcs: BTreeMap::new(),
        }
    }

    fn select_upstream(&mut self, now: Time, rpc: &Rpc) -> Option<Rc<str>> {
        let (_, effect, group, window) = &self.methods[rpc.method];
        let first = rpc.attempts.iter().find(|(_, _, end)| !end.is_some_and(Outcome::never_ran));
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
        let usable = |k: &&KnownEndpoint| k.entry.state == EndpointState::Ready && fits(&k.entry);
        let all: Vec<&KnownEndpoint> = self.upstreams.values().filter(usable).collect();
        if all.is_empty() {
            return None;
        }
        let any = self.rng.random_range(0..all.len());
        let chosen = match self.variant {
            Variant::RoundRobin => {
                self.next_index += 1;
                all[self.next_index % all.len()]
            }
            Variant::TwoChoices => {
                let other = all[self.rng.random_range(0..all.len())];
                if other.outstanding < all[any].outstanding {
                    other
                } else {
                    all[any]
                }
            }
            Variant::LeastOutstanding => {
                // Breaks ties at random; otherwise all balancers would choose the same upstream.
                let rotated = all[any..].iter().chain(&all[..any]);
                rotated.min_by_key(|k| k.outstanding).copied().unwrap_or(all[any])
            }
            Variant::Random | Variant::Fernroute | Variant::Fleet => all[any],
        };
        Some(Rc::clone(&chosen.entry.name))
    }

    fn send(&mut self, now: Time, id: &str) -> bool {
        let Some((id, rpc)) = self.rpcs.remove_entry(id) else { return false };
        let to = if rpc.attempts.len() < self.max_attempts && now < rpc.hard {
            self.select_upstream(now, &rpc)
        } else {
            None
        };
        let (hard, rpc) = (rpc.hard, self.rpcs.entry(Rc::clone(&id)).or_insert(rpc));
        let Some(to) = to else { return false };
        rpc.attempts.push((Rc::clone(&to), now, None));
        self.upstreams.get_mut(&to).into_iter().for_each(|k| k.outstanding += 1);
        self.host.start_attempt(&id, &to, hard - now, None);
        true
    }

    fn finish(&mut self, id: &str) {
        let Some(rpc) = self.rpcs.remove(id) else { return };
        let (_, effect, group, _) = self.methods[rpc.method];
        let safe_to_retry = effect == Effect::Retriable || effect == Effect::Deduped && group == Group::All;
        if safe_to_retry || rpc.attempts.iter().all(|(_, _, end)| end.is_some_and(Outcome::never_ran)) {
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
            if entry.state == EndpointState::Gone {
                self.upstreams.remove(&entry.name);
                continue;
            }
            let outstanding = self.upstreams.get(&entry.name).map_or(0, |k| k.outstanding);
            self.upstreams
                .insert(Rc::clone(&entry.name), KnownEndpoint { entry: entry.clone(), outstanding });
        }
    }

    fn rpc_arrived(&mut self, now: Time, rpc: &str, method: &str, _: &str, time_left: Time) {
        let Some(method) = self.methods.iter().position(|m| m.0 == method) else {
            return self.host.reject(rpc, 0);
        };
        self.rpcs.insert(Rc::from(rpc), Rpc { method, hard: now + time_left, attempts: Vec::new() });
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
        if let Some((to, _, ended)) = open.attempts.get_mut(attempt) {
            *ended = Some(end);
            let known = self.upstreams.get_mut(to);
            known.into_iter().for_each(|k| k.outstanding = k.outstanding.saturating_sub(1));
        }
        if over {
            self.rpcs.remove(rpc);
        } else if !self.send(now, rpc) {
            self.finish(rpc);
        }
    }

    fn rpc_abandoned(&mut self, _: Time, rpc: &str) {
        let Some(open) = self.rpcs.remove(rpc) else { return };
        for (n, (to, _, end)) in open.attempts.iter().enumerate() {
            if end.is_none() {
                self.upstreams
                    .get_mut(to)
                    .into_iter()
                    .for_each(|k| k.outstanding = k.outstanding.saturating_sub(1));
                self.host.cancel_attempt(rpc, n);
            }
        }
    }

    fn timer_fired(&mut self, _: Time, _: &Timer) {}
}
