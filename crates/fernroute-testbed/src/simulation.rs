//! Discrete-event simulation of a fleet in virtual time. Events due at the same instant happen in the order of scheduling.

use crate::demand::{
    balancer_seed, fault_targets, rng_stream, Arrivals, RequestSpec, DRAINED_EXIT_DELAY_S, SIMULATION_STREAM,
};
use crate::fleet::Fleet;
use crate::metrics::RunMetrics;
use crate::policy::{BalancerPosition, EndpointUpdate, Policy, PolicyFactory};
use crate::scenario::{millis, seconds, Fault, FaultKind, Scenario};
use crate::trace::{EndpointState, Event, FinalAnswer, Observer};
use crate::upstream::{FaultEffect, Job, State, Upstream, REPORT_RETENTION_S};
use fernroute::action_queue::{Action, ActionQueue};
use fernroute::{Outcome, Time, Timer};
use fernroute_fleet::message::{Heartbeat, HeartbeatReply};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

/// A scheduled event.
#[derive(Debug)]
enum ScheduledEvent {
    Arrival,
    Retry { request: u64 },
    AttemptArrives { node: usize, upstream: usize, incarnation: u32, job: Box<Job> },
    CoreDone { upstream: usize, incarnation: u32, job: u64 },
    AttemptEnds { node: usize, rpc: Rc<str>, attempt: usize, outcome: Outcome, load: f64 },
    AttemptAbandoned { node: usize, rpc: Rc<str>, attempt: usize, outcome: Outcome },
    Timer { node: usize, timer: Timer },
    CallerLeaves { node: usize, rpc: Rc<str> },
    Heartbeat { node: usize },
    HeartbeatArrives { node: usize, heartbeat: Box<Heartbeat> },
    HeartbeatReply { node: usize, reply: Box<HeartbeatReply> },
    CommitTransition,
    DiscoveryUpdate { node: usize, upstream: usize, incarnation: u32, told: EndpointState },
    Report { upstream: usize },
    PauseEnds { upstream: usize, incarnation: u32 },
    FaultBegins(usize),
    FaultStep(usize, usize),
    FaultEnds(usize),
    Retire { upstream: usize, incarnation: u32 },
}

/// Who waits for the final answer of an RPC.
enum Origin {
    Caller { request: u64 },
    Call { upstream: usize, incarnation: u32, job: u64 },
}

struct OutstandingAttempt {
    upstream: usize,
    sent: Time,
}

struct OpenRpc {
    origin: Origin,
    method: usize,
    hard: Time,
    arrived: Time,
    work: Time,
    calls: Rc<[u32]>,
    answered: bool,
    attempts_made: usize,
    outstanding: BTreeMap<usize, OutstandingAttempt>,
}

struct BalancerNode {
    tier: usize,
    zone: usize,
    alive: bool,
    policy: Box<dyn Policy>,
    actions: ActionQueue,
    /// Entries are removed once the final answer is sent and all attempts have ended.
    open: BTreeMap<Rc<str>, OpenRpc>,
}

/// A caller's request with its progress.
struct Request {
    spec: RequestSpec,
    arrived: Time,
    attempts: u32,
}

pub struct Simulation<'a> {
    scenario: &'a Scenario,
    make_policy: &'a PolicyFactory<'a>,
    observer: &'a mut dyn Observer,
    seed: u64,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// Entries are removed as events happen.
    scheduled: BTreeMap<u64, ScheduledEvent>,
    events_scheduled: u64,
    nodes: Vec<BalancerNode>,
    /// The balancers of the first tier, by number.
    first_tier: Vec<usize>,
    upstreams: Vec<Upstream>,
    by_name: BTreeMap<Rc<str>, usize>,
    /// Entries are removed when the upstream answers or terminates.
    jobs: BTreeMap<u64, (usize, Job)>,
    jobs_made: u64,
    /// Entries are removed by the last answer to a request.
    requests: BTreeMap<u64, Request>,
    requests_made: u64,
    calls_made: u64,
    arrivals: Arrivals,
    rng: ChaCha8Rng,
    reports_late: BTreeMap<usize, Time>,
    list_down_until: Time,
    /// The targets of each active fault; removed when the fault ends.
    targets: BTreeMap<usize, Vec<usize>>,
    end: Time,
    /// The coordinators and the members of the first tier, for variants with a fleet.
    fleet: Option<Fleet>,
    /// Positions in the first tier that reach no coordinator, by fault; removed when the fault ends.
    partitioned: BTreeMap<usize, Vec<usize>>,
    pub metrics: RunMetrics,
    /// The largest number of events, jobs and requests held at once.
    pub max_held: usize,
}

impl<'a> Simulation<'a> {
    pub fn new(
        scenario: &'a Scenario,
        seed: u64,
        make_policy: &'a PolicyFactory<'a>,
        fleet: bool,
        observer: &'a mut dyn Observer,
    ) -> Self {
        let mut simulation = Simulation {
            scenario,
            make_policy,
            observer,
            seed,
            now: 0,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            events_scheduled: 0,
            nodes: Vec::new(),
            first_tier: Vec::new(),
            upstreams: Vec::new(),
            by_name: BTreeMap::new(),
            jobs: BTreeMap::new(),
            jobs_made: 0,
            requests: BTreeMap::new(),
            requests_made: 0,
            calls_made: 0,
            arrivals: Arrivals::new(scenario, seed),
            rng: rng_stream(seed, SIMULATION_STREAM),
            reports_late: BTreeMap::new(),
            list_down_until: 0,
            targets: BTreeMap::new(),
            end: seconds(scenario.seconds),
            fleet: fleet.then(|| Fleet::new(scenario)),
            partitioned: BTreeMap::new(),
            metrics: RunMetrics::new(scenario),
            max_held: 0,
        };
        for (tier, of) in scenario.tier.iter().enumerate() {
            for place in 0..of.upstreams {
                simulation.new_upstream(tier, place % of.zones, place / of.cell);
            }
        }
        for upstream in 0..simulation.upstreams.len() {
            simulation.new_balancer_of(upstream);
        }
        for number in 0..scenario.tier[0].balancers {
            let node = simulation.new_node(0, number, number % scenario.tier[0].zones);
            simulation.first_tier.push(node);
        }
        for (i, fault) in scenario.fault.iter().enumerate() {
            simulation.schedule(seconds(fault.at_s), ScheduledEvent::FaultBegins(i));
        }
        simulation.next_arrival();
        simulation
    }

    // ------------------------------------------------------------------------------------------------ clock

    fn schedule(&mut self, at: Time, scheduled: ScheduledEvent) {
        self.events_scheduled += 1;
        self.queue.push(Reverse((at.max(self.now), self.events_scheduled)));
        self.scheduled.insert(self.events_scheduled, scheduled);
    }

    fn record(&mut self, event: &Event) {
        self.observer.observe(self.now, event);
    }

    /// Runs until the last RPC that may still be answered has ended.
    pub fn run(mut self) -> (RunMetrics, usize) {
        let longest = self.scenario.longest_hard_deadline();
        let tries = u64::from(self.scenario.load.retries) + 1;
        let last = self.end + tries * (longest + millis(self.scenario.rules.max_stay_away_ms)) + seconds(1.0);
        while let Some(Reverse((at, place))) = self.queue.pop() {
            if at > last {
                break;
            }
            self.now = at;
            let held_now = self.scheduled.len() + self.jobs.len() + self.requests.len();
            self.max_held = self.max_held.max(held_now);
            if let Some(scheduled) = self.scheduled.remove(&place) {
                self.process(scheduled);
            }
        }
        let open: usize = self.nodes.iter().map(|n| n.open.values().filter(|o| !o.answered).count()).sum();
        self.metrics.ends.open = open as u64;
        (self.metrics, self.max_held)
    }

    fn process(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Arrival => {
                self.arrive();
                self.next_arrival();
            }
            ScheduledEvent::Retry { request } => self.send_request(request, None),
            ScheduledEvent::AttemptArrives { node, upstream, incarnation, job } => {
                self.attempt_arrives(node, upstream, incarnation, *job)
            }
            ScheduledEvent::CoreDone { upstream, incarnation, job } => {
                self.core_done(upstream, incarnation, job)
            }
            ScheduledEvent::AttemptEnds { node, rpc, attempt, outcome, load } => {
                self.attempt_ended(node, &rpc, attempt, outcome, load)
            }
            ScheduledEvent::AttemptAbandoned { node, rpc, attempt, outcome } => {
                self.abandon_attempt(node, &rpc, attempt, outcome)
            }
            ScheduledEvent::Timer { node, timer } => {
                let now = self.now;
                self.decide(node, |p| p.timer_fired(now, &timer));
            }
            ScheduledEvent::CallerLeaves { node, rpc } => self.caller_leaves(node, &rpc),
            ScheduledEvent::Heartbeat { node } => self.send_heartbeat(node),
            ScheduledEvent::HeartbeatArrives { node, heartbeat } => self.heartbeat_arrives(node, &heartbeat),
            ScheduledEvent::HeartbeatReply { node, reply } => self.heartbeat_reply(node, &reply),
            ScheduledEvent::CommitTransition => self.commit_transition(),
            ScheduledEvent::DiscoveryUpdate { node, upstream, incarnation, told } => {
                self.deliver_update(node, upstream, incarnation, told)
            }
            ScheduledEvent::Report { upstream } => self.report(upstream),
            ScheduledEvent::PauseEnds { upstream, incarnation }
                if self.upstreams[upstream].incarnation == incarnation =>
            {
                self.start_ready_jobs(upstream)
            }
            ScheduledEvent::PauseEnds { .. } => {}
            ScheduledEvent::FaultBegins(i) => self.fault_begins(i),
            ScheduledEvent::FaultStep(i, n) => self.fault_step(i, n),
            ScheduledEvent::FaultEnds(i) => self.fault_ends(i),
            ScheduledEvent::Retire { upstream, incarnation }
                if self.upstreams[upstream].incarnation == incarnation =>
            {
                self.kill_upstream(upstream, State::Dead);
                self.announce(upstream, EndpointState::Gone, millis(self.scenario.discovery.late_ms));
            }
            ScheduledEvent::Retire { .. } => {}
        }
    }

    // ------------------------------------------------------------------------------------------------ fleet

    fn new_upstream(&mut self, tier: usize, zone: usize, cell: usize) -> usize {
        let of = &self.scenario.tier[tier];
        let number = self.upstreams.len();
        let name: Rc<str> = Rc::from(format!("{}-{number}", of.name));
        let speed = 1.0 + of.unlike * (2.0 * self.rng.random::<f64>() - 1.0);
        self.upstreams.push(Upstream::new(Rc::clone(&name), tier, of, (zone, cell), speed, self.now));
        self.by_name.insert(name, number);
        self.record_start(number);
        // The reports of different upstreams are not synchronized.
        let phase = (millis(of.report_ms) as f64 * self.rng.random::<f64>()) as Time;
        self.schedule(self.now + phase.max(1), ScheduledEvent::Report { upstream: number });
        number
    }

    fn record_start(&mut self, number: usize) {
        let u = &self.upstreams[number];
        let rate = self.scenario.warm_rate(u.tier, u.speed);
        let (zone, cell, cold) = (u.zone, u.cell, u.cold);
        self.record(&Event::Started { upstream: number, zone, cell, rate, cold });
    }

    /// Starts the balancer of an upstream if there is a tier below.
    fn new_balancer_of(&mut self, upstream: usize) {
        let (tier, zone) = (self.upstreams[upstream].tier + 1, self.upstreams[upstream].zone);
        if tier < self.scenario.tier.len() {
            let node = self.new_node(tier, upstream, zone);
            self.upstreams[upstream].balancer = Some(node);
        }
    }

    fn new_node(&mut self, tier: usize, number: usize, zone: usize) -> usize {
        let (actions, instances) = (ActionQueue::default(), self.scenario.balancer_count(tier));
        let position = BalancerPosition { tier, number, instances, zone };
        let seed = balancer_seed(self.seed, self.nodes.len());
        let policy = (self.make_policy)(self.scenario, position, actions.clone(), self.now, seed);
        let node = self.nodes.len();
        self.nodes.push(BalancerNode { tier, zone, alive: true, policy, actions, open: BTreeMap::new() });
        let known = (0..self.upstreams.len()).filter(|n| self.upstreams[*n].tier == tier);
        let known: Vec<usize> = known.filter(|n| self.upstreams[*n].state == State::Up).collect();
        known.iter().for_each(|n| {
            self.record(&Event::Heard { balancer: node, upstream: *n, told: EndpointState::Ready })
        });
        let entries: Vec<EndpointUpdate> =
            known.iter().map(|n| self.entry(*n, EndpointState::Ready)).collect();
        let now = self.now;
        self.decide(node, |p| p.update_endpoints(now, true, &entries));
        if let Some(fleet) = self.fleet.as_mut().filter(|_| tier == 0) {
            fleet.join(node, number, now);
            // A member has no budget before its first grant. The heartbeats of different members are not synchronized.
            self.decide(node, |p| p.set_budget_rates(now, &[]));
            let phase = (millis(self.scenario.fleet.beat_ms) as f64 * self.rng.random::<f64>()) as Time;
            self.schedule(now + phase, ScheduledEvent::Heartbeat { node });
        }
        node
    }

    // -------------------------------------------------------------------------------------- budgets of the fleet

    fn send_heartbeat(&mut self, node: usize) {
        let Some(fleet) = self.fleet.as_mut().filter(|_| self.nodes[node].alive) else { return };
        let Some(heartbeat) = fleet.heartbeat(node, self.now) else { return };
        let delay = self.delay(0, 0);
        if !self.is_partitioned(node) {
            self.schedule(
                self.now + delay,
                ScheduledEvent::HeartbeatArrives { node, heartbeat: Box::new(heartbeat) },
            );
        }
        if self.now < self.end + seconds(REPORT_RETENTION_S) {
            self.schedule(self.now + millis(self.scenario.fleet.beat_ms), ScheduledEvent::Heartbeat { node });
        }
    }

    fn heartbeat_arrives(&mut self, node: usize, heartbeat: &Heartbeat) {
        let now = self.now;
        let reply = self.fleet.as_mut().and_then(|fleet| fleet.on_heartbeat(now, heartbeat));
        let confirm = millis(self.scenario.fleet.confirm_ms);
        self.schedule(now + confirm, ScheduledEvent::CommitTransition);
        let Some(reply) = reply else { return };
        let delay = self.delay(0, 0);
        self.schedule(now + confirm + delay, ScheduledEvent::HeartbeatReply { node, reply: Box::new(reply) });
    }

    fn is_partitioned(&self, node: usize) -> bool {
        self.partitioned.values().flatten().any(|place| self.first_tier[*place] == node)
    }

    fn heartbeat_reply(&mut self, node: usize, reply: &HeartbeatReply) {
        let now = self.now;
        if self.is_partitioned(node) {
            return;
        }
        let Some(fleet) = self.fleet.as_mut().filter(|_| self.nodes[node].alive) else { return };
        let Some(shares) = fleet.on_reply(node, now, reply) else { return };
        let shares: Vec<(&str, [(f64, Time); 2])> =
            shares.iter().map(|(name, of)| (name.as_str(), *of)).collect();
        self.decide(node, |p| p.set_budget_rates(now, &shares));
    }

    fn commit_transition(&mut self) {
        let now = self.now;
        self.fleet.iter_mut().for_each(|fleet| fleet.commit_transition(now));
    }

    fn entry(&self, upstream: usize, told: EndpointState) -> EndpointUpdate {
        let u = &self.upstreams[upstream];
        let started = if u.cold { u.started } else { 0 };
        EndpointUpdate { name: Rc::clone(&u.name), zone: u.zone, cell: u.cell, started, state: told }
    }

    /// Schedules a discovery update to each balancer of the tier, with a delay and spread. Updates due in an outage of
    /// discovery are delivered after it.
    fn announce(&mut self, upstream: usize, told: EndpointState, late: Time) {
        let (tier, incarnation) = (self.upstreams[upstream].tier, self.upstreams[upstream].incarnation);
        let spread = millis(self.scenario.discovery.spread_ms);
        let from = (self.now + late).max(self.list_down_until);
        for node in 0..self.nodes.len() {
            if self.nodes[node].alive && self.nodes[node].tier == tier {
                let wait = (spread as f64 * self.rng.random::<f64>()) as Time;
                self.schedule(
                    from + wait,
                    ScheduledEvent::DiscoveryUpdate { node, upstream, incarnation, told },
                );
            }
        }
    }

    fn deliver_update(&mut self, node: usize, upstream: usize, incarnation: u32, told: EndpointState) {
        // An update superseded by a later start or end is dropped.
        if !self.nodes[node].alive || self.upstreams[upstream].incarnation != incarnation {
            return;
        }
        if self.now < self.list_down_until {
            let at = self.list_down_until;
            return self.schedule(at, ScheduledEvent::DiscoveryUpdate { node, upstream, incarnation, told });
        }
        self.record(&Event::Heard { balancer: node, upstream, told });
        let (now, entry) = (self.now, [self.entry(upstream, told)]);
        self.decide(node, |p| p.update_endpoints(now, false, &entry));
    }

    fn report(&mut self, upstream: usize) {
        let of = &self.scenario.tier[self.upstreams[upstream].tier];
        let period = millis(of.report_ms);
        let u = &mut self.upstreams[upstream];
        u.report(self.now, period, of.choke.as_ref());
        if self.now < self.end + seconds(REPORT_RETENTION_S) {
            self.schedule(self.now + period, ScheduledEvent::Report { upstream });
        }
    }

    /// The load report that an answer of this upstream carries now.
    fn load(&self, upstream: usize) -> f64 {
        let u = &self.upstreams[upstream];
        let late = millis(self.scenario.tier[u.tier].report_late_ms);
        u.reported(self.now, late + self.reports_late.values().sum::<Time>())
    }

    fn delay(&mut self, a: usize, b: usize) -> Time {
        let n = &self.scenario.network;
        let ms = if a == b { n.same_zone_ms } else { n.cross_zone_ms };
        millis(ms * (1.0 + n.jitter * self.rng.random::<f64>()))
    }

    // ------------------------------------------------------------------------------------------------- load

    fn next_arrival(&mut self) {
        if let Some(at) = self.arrivals.next(self.scenario) {
            self.schedule(at, ScheduledEvent::Arrival);
        }
    }

    fn arrive(&mut self) {
        let number = self.requests_made;
        self.requests_made += 1;
        let spec = RequestSpec::generate(self.scenario, self.seed, number);
        let (method, balancer) = (spec.method, spec.balancer);
        self.requests.insert(number, Request { spec, arrived: self.now, attempts: 0 });
        self.metrics.record_offered(self.now, method, self.scenario.method[method].gain);
        self.send_request(number, Some(balancer));
    }

    fn send_request(&mut self, number: u64, balancer: Option<usize>) {
        let any = self.rng.random_range(0..self.first_tier.len());
        let Some(request) = self.requests.get_mut(&number) else { return };
        let m = &self.scenario.method[request.spec.method];
        let hard = request.arrived + millis(m.hard_ms);
        if hard <= self.now {
            return self.fail_request(number);
        }
        let rpc: Rc<str> = Rc::from(format!("r{number}.{}", request.attempts));
        request.attempts += 1;
        let spec = request.spec.clone();
        let leaves = spec.leaves_after.map(|share| (millis(m.hard_ms) as f64 * share) as Time);
        let mut node = self.first_tier[balancer.unwrap_or(any)];
        if !self.nodes[node].alive {
            // The front end sends it to another balancer after a refused connection.
            let alive: Vec<usize> =
                self.first_tier.iter().copied().filter(|n| self.nodes[*n].alive).collect();
            if alive.is_empty() {
                return self.fail_request(number);
            }
            node = alive[self.rng.random_range(0..alive.len())];
        }
        if let Some(after) = leaves {
            self.schedule(self.now + after, ScheduledEvent::CallerLeaves { node, rpc: Rc::clone(&rpc) });
        }
        if let Some((fleet, tenant)) = self.fleet.as_mut().zip(spec.tenant) {
            fleet.record_demand(node, self.now, tenant);
        }
        let origin = Origin::Caller { request: number };
        self.deliver(node, rpc, origin, spec.method, spec.tenant, hard, spec.work, spec.calls);
    }

    /// Delivers an RPC to a balancer.
    #[allow(clippy::too_many_arguments)]
    fn deliver(
        &mut self,
        node: usize,
        rpc: Rc<str>,
        origin: Origin,
        method: usize,
        tenant: Option<usize>,
        hard: Time,
        work: Time,
        calls: Rc<[u32]>,
    ) {
        self.metrics.ends.arrived += 1;
        let tier = self.nodes[node].tier;
        self.metrics.tiers[tier].record_arrival(hard - self.now);
        let (arrived, outstanding) = (self.now, BTreeMap::new());
        let open = OpenRpc {
            origin,
            method,
            hard,
            arrived,
            work,
            calls,
            answered: false,
            attempts_made: 0,
            outstanding,
        };
        self.nodes[node].open.insert(Rc::clone(&rpc), open);
        self.record(&Event::Arrived { rpc: Rc::clone(&rpc), balancer: node, method, hard, tenant });
        let (now, scenario) = (self.now, self.scenario);
        let tenant_name = tenant.map_or("", |tenant| scenario.tenant[tenant].name.as_str());
        self.decide(node, |p| {
            p.rpc_arrived(now, &rpc, &scenario.method[method].name, tenant_name, hard - now)
        });
    }

    // -------------------------------------------------------------------------------------------- balancers

    /// Calls a balancer, then executes the actions that it queued.
    fn decide(&mut self, node: usize, call: impl FnOnce(&mut dyn Policy)) {
        if !self.nodes[node].alive {
            return;
        }
        call(&mut *self.nodes[node].policy);
        while let Some(action) = self.nodes[node].actions.pop() {
            match action {
                Action::StartAttempt { rpc, upstream, timeout: time_out, .. } => {
                    self.start_attempt(node, &rpc, &upstream, time_out)
                }
                Action::CancelAttempt { rpc, attempt } => {
                    let outcome = Outcome::Cancelled;
                    self.schedule(self.now, ScheduledEvent::AttemptAbandoned { node, rpc, attempt, outcome });
                }
                Action::Reject { rpc, retry_after } => {
                    self.answer(node, &rpc, FinalAnswer::Exhausted, retry_after)
                }
                Action::Fail { rpc } => self.answer(node, &rpc, FinalAnswer::Errored, 0),
                Action::SetTimer { after, timer } => {
                    self.schedule(self.now + after, ScheduledEvent::Timer { node, timer })
                }
                // Updates are pushed to all balancers without a watch.
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    fn start_attempt(&mut self, node: usize, rpc: &Rc<str>, to: &Rc<str>, time_out: Time) {
        let Some(upstream) = self.by_name.get(to).copied() else { return };
        let Some(attempt) = self.nodes[node].open.get_mut(rpc).map(|open| {
            open.attempts_made += 1;
            open.attempts_made - 1
        }) else {
            // Recorded all the same: the referee knows that the RPC is not open.
            return self.record(&Event::Sent {
                rpc: Rc::clone(rpc),
                attempt: 0,
                balancer: node,
                upstream,
                work: 1.0,
            });
        };
        self.metrics.attempts += 1;
        self.metrics.tiers[self.nodes[node].tier].attempts += 1;
        let work = self.nodes[node].open.get(rpc).map_or(1.0, |open| self.scenario.in_mean_rpcs(open.work));
        self.record(&Event::Sent { rpc: Rc::clone(rpc), attempt, balancer: node, upstream, work });
        let delay = self.delay(self.nodes[node].zone, self.upstreams[upstream].zone);
        let (now, incarnation) = (self.now, self.upstreams[upstream].incarnation);
        let tier = self.upstreams[upstream].tier;
        let Some(open) = self.nodes[node].open.get_mut(rpc) else { return };
        open.outstanding.insert(attempt, OutstandingAttempt { upstream, sent: now });
        let left = open.calls.get(tier + 1).copied().unwrap_or(0);
        let job = Job {
            rpc: Rc::clone(rpc),
            attempt,
            node,
            method: open.method,
            work: open.work,
            calls: Rc::clone(&open.calls),
            hard: open.hard,
            calls_left: left,
            cancelled: false,
        };
        self.schedule(
            now + delay,
            ScheduledEvent::AttemptArrives { node, upstream, incarnation, job: Box::new(job) },
        );
        let outcome = Outcome::TimedOut;
        self.schedule(
            now + time_out,
            ScheduledEvent::AttemptAbandoned { node, rpc: Rc::clone(rpc), attempt, outcome },
        );
    }

    /// Ends an attempt that its balancer abandons, if it is still outstanding.
    fn abandon_attempt(&mut self, node: usize, rpc: &Rc<str>, attempt: usize, outcome: Outcome) {
        let out = self.nodes[node].open.get(rpc).and_then(|open| open.outstanding.get(&attempt));
        let Some(upstream) = out.map(|out| out.upstream) else { return };
        let void =
            |job: &&mut (usize, Job)| job.0 == upstream && job.1.attempt == attempt && job.1.rpc == *rpc;
        if let Some((_, job)) = self.jobs.values_mut().find(void) {
            job.cancelled = true;
        }
        self.attempt_ended(node, rpc, attempt, outcome, f64::NAN);
    }

    fn attempt_ended(&mut self, node: usize, rpc: &Rc<str>, attempt: usize, outcome: Outcome, load: f64) {
        let Some(open) = self.nodes[node].open.get_mut(rpc) else { return };
        let Some(out) = open.outstanding.remove(&attempt) else { return };
        let (took, answered) = (self.now - out.sent, open.answered);
        self.record(&Event::Ended { rpc: Rc::clone(rpc), attempt, outcome });
        // There is no answer to a caller that has left.
        if outcome == Outcome::Completed && !answered {
            self.answer(node, rpc, FinalAnswer::Completed, 0);
        }
        let over = self.nodes[node].open.get(rpc).is_none_or(|open| open.answered);
        let now = self.now;
        self.decide(node, |p| p.attempt_ended(now, rpc, attempt, outcome, took, over, load));
        self.remove_if_finished(node, rpc);
    }

    fn remove_if_finished(&mut self, node: usize, rpc: &Rc<str>) {
        let open = &mut self.nodes[node].open;
        if open.get(rpc).is_some_and(|o| o.answered && o.outstanding.is_empty()) {
            open.remove(rpc);
        }
    }

    fn answer(&mut self, node: usize, rpc: &Rc<str>, last: FinalAnswer, retry_after: Time) {
        self.record(&Event::Answered { rpc: Rc::clone(rpc), last });
        let tier = self.nodes[node].tier;
        let Some(open) = self.nodes[node].open.get_mut(rpc).filter(|open| !open.answered) else { return };
        open.answered = true;
        let arrived = open.arrived;
        let ends = &mut self.metrics.ends;
        match last {
            FinalAnswer::Completed => {
                ends.completed += 1;
                self.metrics.tiers[tier].record_completion(self.now - arrived);
            }
            FinalAnswer::Exhausted => ends.exhausted += 1,
            FinalAnswer::Errored => ends.errored += 1,
        }
        match open.origin {
            Origin::Caller { request } => {
                self.metrics.time_in_system += u128::from(self.now - arrived);
                self.caller_answered(request, last, retry_after);
            }
            Origin::Call { upstream, incarnation, job } => self.call_done(upstream, incarnation, job, last),
        }
        self.remove_if_finished(node, rpc);
    }

    fn caller_answered(&mut self, number: u64, last: FinalAnswer, retry_after: Time) {
        let Some(request) = self.requests.get(&number) else { return };
        let (asked, method, tenant) = (request.arrived, request.spec.method, request.spec.tenant);
        let m = &self.scenario.method[method];
        match last {
            FinalAnswer::Completed => {
                self.requests.remove(&number);
                self.metrics.record_tenant(asked, tenant, true);
                self.metrics.record_completed(asked, self.now, method, m.gain, millis(m.soft_ms));
            }
            FinalAnswer::Exhausted if request.attempts <= self.scenario.load.retries => {
                let wait = if retry_after > 0 { retry_after } else { millis(self.scenario.load.backoff_ms) };
                self.schedule(self.now + wait.max(1), ScheduledEvent::Retry { request: number });
            }
            FinalAnswer::Exhausted => {
                self.requests.remove(&number);
                self.metrics.record_tenant(asked, tenant, false);
                self.metrics.record_exhausted(asked);
            }
            FinalAnswer::Errored => self.fail_request(number),
        }
    }

    fn fail_request(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.metrics.record_tenant(request.arrived, request.spec.tenant, false);
            self.metrics.record_errored(request.arrived);
        }
    }

    fn caller_leaves(&mut self, node: usize, rpc: &Rc<str>) {
        let Some(open) = self.nodes[node].open.get_mut(rpc).filter(|open| !open.answered) else { return };
        open.answered = true;
        if let Origin::Caller { request } = open.origin {
            self.fail_request(request);
        }
        self.metrics.ends.abandoned += 1;
        self.record(&Event::CallerLeft { rpc: Rc::clone(rpc) });
        let now = self.now;
        self.decide(node, |p| p.rpc_abandoned(now, rpc));
        self.remove_if_finished(node, rpc);
    }

    /// Kills a balancer; the RPCs that it holds are lost.
    fn kill_balancer(&mut self, node: usize) {
        self.record(&Event::BalancerDied { balancer: node });
        self.nodes[node].alive = false;
        for (_, open) in std::mem::take(&mut self.nodes[node].open) {
            if !open.answered {
                self.metrics.ends.lost += 1;
                if let Origin::Caller { request } = open.origin {
                    self.fail_request(request);
                }
            }
        }
    }

    // -------------------------------------------------------------------------------------------- upstreams

    fn attempt_arrives(&mut self, node: usize, upstream: usize, incarnation: u32, job: Job) {
        let back = self.delay(self.upstreams[upstream].zone, self.nodes[node].zone);
        let u = &self.upstreams[upstream];
        let (rpc, attempt) = (Rc::clone(&job.rpc), job.attempt);
        let load = self.load(upstream);
        let ends = |outcome, load| ScheduledEvent::AttemptEnds { node, rpc, attempt, outcome, load };
        let at = self.now + back;
        if u.state == State::Silent {
            return;
        }
        if u.state == State::Dead || u.incarnation != incarnation {
            // The addressed process is gone or has been replaced by a new one: the connection is refused.
            return self.schedule(at, ends(Outcome::ConnectFailed, f64::NAN));
        }
        if u.is_hanging() {
            return self.record(&Event::Ran { rpc: job.rpc, attempt });
        }
        let errors = u.error_share();
        if errors > 0.0 && self.rng.random::<f64>() < errors {
            self.record(&Event::Ran { rpc: job.rpc, attempt });
            return self.schedule(at, ends(Outcome::Failed, load));
        }
        if u.occupied_slots >= u.slots && u.waiting.len() >= u.queue {
            return self.schedule(at, ends(Outcome::Rejected, load));
        }
        self.record(&Event::Ran { rpc: Rc::clone(&job.rpc), attempt });
        let number = self.jobs_made;
        self.jobs_made += 1;
        self.jobs.insert(number, (upstream, job));
        let u = &mut self.upstreams[upstream];
        if u.occupied_slots < u.slots {
            u.occupied_slots += 1;
            u.ready.push_back(number);
            self.start_ready_jobs(upstream);
        } else {
            u.waiting.push_back(number);
        }
    }

    /// Assigns ready jobs to free cores.
    fn start_ready_jobs(&mut self, upstream: usize) {
        let of = &self.scenario.tier[self.upstreams[upstream].tier];
        let rules = &self.scenario.rules;
        loop {
            let u = &mut self.upstreams[upstream];
            if u.busy >= u.cores || u.ready.is_empty() {
                return;
            }
            if self.now < u.paused_until {
                let (at, incarnation) = (u.paused_until, u.incarnation);
                return self.schedule(at, ScheduledEvent::PauseEnds { upstream, incarnation });
            }
            let Some(job) = u.ready.pop_front() else { return };
            let work = self.jobs.get(&job).map_or(0.0, |(_, j)| j.work as f64 * of.work);
            u.account(self.now);
            u.busy += 1;
            let warmth = u.warmth(self.now, rules.cold_from, seconds(rules.warm_within_s));
            let (at, incarnation) =
                (self.now + u.service_time(work, warmth, of.choke.as_ref()), u.incarnation);
            self.schedule(at, ScheduledEvent::CoreDone { upstream, incarnation, job });
        }
    }

    fn core_done(&mut self, upstream: usize, incarnation: u32, job: u64) {
        let u = &mut self.upstreams[upstream];
        if u.incarnation != incarnation {
            return;
        }
        if self.now < u.paused_until {
            let at = u.paused_until;
            return self.schedule(at, ScheduledEvent::CoreDone { upstream, incarnation, job });
        }
        u.account(self.now);
        u.busy -= 1;
        self.next_call(upstream, job);
        self.start_ready_jobs(upstream);
    }

    /// Makes the next sequential call to the tier below, or answers after the last one.
    fn next_call(&mut self, upstream: usize, number: u64) {
        let Some((_, job)) = self.jobs.get_mut(&number) else { return };
        let node = self.upstreams[upstream].balancer;
        let Some(node) = node.filter(|_| job.calls_left > 0 && self.now < job.hard && !job.cancelled) else {
            let outcome = if job.calls_left > 0 { Outcome::Failed } else { Outcome::Completed };
            return self.finish_job(upstream, number, outcome);
        };
        job.calls_left -= 1;
        let (method, hard, work, calls) = (job.method, job.hard, job.work, Rc::clone(&job.calls));
        self.calls_made += 1;
        let rpc = Rc::from(format!("c{}", self.calls_made));
        let origin =
            Origin::Call { upstream, incarnation: self.upstreams[upstream].incarnation, job: number };
        self.deliver(node, rpc, origin, method, None, hard, work, calls);
    }

    fn call_done(&mut self, upstream: usize, incarnation: u32, job: u64, last: FinalAnswer) {
        if self.upstreams[upstream].incarnation != incarnation {
            return;
        }
        match last {
            FinalAnswer::Completed => self.next_call(upstream, job),
            // A failed call fails the job.
            FinalAnswer::Exhausted | FinalAnswer::Errored => self.finish_job(upstream, job, Outcome::Failed),
        }
    }

    fn finish_job(&mut self, upstream: usize, number: u64, outcome: Outcome) {
        let Some((_, job)) = self.jobs.remove(&number) else { return };
        let of = &self.scenario.tier[self.upstreams[upstream].tier];
        let (load, zone) = (self.load(upstream), self.upstreams[upstream].zone);
        let back = self.delay(zone, self.nodes[job.node].zone);
        let (node, rpc, attempt) = (job.node, job.rpc, job.attempt);
        self.schedule(self.now + back, ScheduledEvent::AttemptEnds { node, rpc, attempt, outcome, load });
        let u = &mut self.upstreams[upstream];
        u.occupied_slots -= 1;
        while u.occupied_slots < u.slots {
            let Some(next) = u.waiting.pop_front() else { break };
            let over = |j: &Job| of.drops && (j.cancelled || j.hard <= self.now);
            if self.jobs.get(&next).is_none_or(|(_, j)| over(j)) {
                self.jobs.remove(&next);
                continue;
            }
            u.occupied_slots += 1;
            u.ready.push_back(next);
        }
        self.start_ready_jobs(upstream);
    }

    /// Kills a process or a machine together with its own balancer.
    fn kill_upstream(&mut self, upstream: usize, state: State) {
        let silent = state == State::Silent;
        let gone: Vec<u64> = self.jobs.iter().filter(|(_, (u, _))| *u == upstream).map(|(n, _)| *n).collect();
        for number in gone {
            let Some((_, job)) = self.jobs.remove(&number) else { continue };
            if !silent {
                let back = self.delay(self.upstreams[upstream].zone, self.nodes[job.node].zone);
                let (node, rpc, attempt, outcome) = (job.node, job.rpc, job.attempt, Outcome::Reset);
                self.schedule(
                    self.now + back,
                    ScheduledEvent::AttemptEnds { node, rpc, attempt, outcome, load: f64::NAN },
                );
            }
        }
        let u = &mut self.upstreams[upstream];
        u.terminate(self.now);
        u.state = state;
        if let Some(node) = u.balancer.take() {
            self.kill_balancer(node);
        }
    }

    fn restart_upstream(&mut self, upstream: usize) {
        self.upstreams[upstream].restart(self.now);
        self.record_start(upstream);
        self.new_balancer_of(upstream);
        self.announce(upstream, EndpointState::Ready, millis(self.scenario.discovery.late_ms));
    }

    // ----------------------------------------------------------------------------------------------- faults

    fn fault_begins(&mut self, i: usize) {
        let fault = &self.scenario.fault[i];
        let tier = self.scenario.tier_of(fault);
        let up = |n: &usize| self.upstreams[*n].tier == tier && self.upstreams[*n].state == State::Up;
        let all = (0..self.upstreams.len()).filter(up).map(|n| (n, self.upstreams[n].zone)).collect();
        let all = fault_targets(fault, i, self.seed, all);
        let steps = match fault.kind {
            FaultKind::Replace => all.len(),
            FaultKind::BalancerRestart => self.first_tier.len(),
            FaultKind::Flap | FaultKind::Pauses => (fault.for_s / fault.every_s).ceil() as usize,
            _ => 0,
        };
        let apart = match fault.kind {
            FaultKind::Flap | FaultKind::Pauses => fault.every_s,
            _ => fault.for_s / steps.max(1) as f64,
        };
        for n in 0..steps {
            self.schedule(self.now + seconds(apart * n as f64), ScheduledEvent::FaultStep(i, n));
        }
        self.schedule(self.now + seconds(fault.for_s), ScheduledEvent::FaultEnds(i));
        for n in &all {
            self.apply_fault(i, fault, *n);
        }
        match fault.kind {
            FaultKind::ReportsLate => {
                self.reports_late.insert(i, seconds(fault.size));
            }
            FaultKind::ListDown => {
                self.list_down_until = self.list_down_until.max(self.now + seconds(fault.for_s))
            }
            FaultKind::StewardsDown => self.fleet.iter_mut().for_each(Fleet::stop_coordinators),
            FaultKind::LeaderLoss => {
                let now = self.now;
                self.fleet.iter_mut().for_each(|fleet| fleet.start_coordinators(now));
            }
            FaultKind::FleetCut => {
                let places = (0..self.first_tier.len()).map(|n| (n, 0)).collect();
                self.partitioned.insert(i, fault_targets(fault, i, self.seed, places));
                return;
            }
            FaultKind::BalancerLoss => {
                let living = (0..self.first_tier.len()).filter(|n| self.nodes[self.first_tier[*n]].alive);
                let targets = fault_targets(fault, i, self.seed, living.map(|n| (n, 0)).collect());
                targets.iter().for_each(|n| self.kill_balancer(self.first_tier[*n]));
                self.targets.insert(i, targets);
                return;
            }
            _ => {}
        }
        self.targets.insert(i, all);
    }

    fn apply_fault(&mut self, i: usize, fault: &Fault, upstream: usize) {
        let d = &self.scenario.discovery;
        match fault.kind {
            FaultKind::Crash => {
                self.kill_upstream(upstream, State::Dead);
                self.announce(upstream, EndpointState::Gone, millis(d.late_ms));
            }
            FaultKind::Vanish | FaultKind::ZoneLoss => {
                self.kill_upstream(upstream, State::Silent);
                self.announce(upstream, EndpointState::Gone, millis(d.gone_late_ms));
            }
            FaultKind::Drain => {
                self.upstreams[upstream].state = State::Draining;
                self.announce(upstream, EndpointState::Drains, millis(d.late_ms));
            }
            FaultKind::Slow => {
                self.upstreams[upstream].fault_effects.insert(i, FaultEffect::Slow(fault.size));
            }
            FaultKind::FastErrors => {
                self.upstreams[upstream].fault_effects.insert(i, FaultEffect::Errors(fault.size));
            }
            FaultKind::Hang => {
                self.upstreams[upstream].fault_effects.insert(i, FaultEffect::Hang);
            }
            _ => {}
        }
    }

    fn fault_step(&mut self, i: usize, n: usize) {
        let fault = &self.scenario.fault[i];
        let d = &self.scenario.discovery;
        let targets = self.targets.get(&i).cloned().unwrap_or_default();
        match fault.kind {
            FaultKind::Replace => {
                let old = targets[n];
                if self.upstreams[old].state != State::Up {
                    return;
                }
                self.upstreams[old].state = State::Draining;
                self.announce(old, EndpointState::Drains, millis(d.late_ms));
                let incarnation = self.upstreams[old].incarnation;
                self.schedule(
                    self.now + millis(d.late_ms) + seconds(DRAINED_EXIT_DELAY_S),
                    ScheduledEvent::Retire { upstream: old, incarnation },
                );
                // The replacement takes the zone and the cell of the old one.
                let (tier, zone, cell) = {
                    let u = &self.upstreams[old];
                    (u.tier, u.zone, u.cell)
                };
                let new = self.new_upstream(tier, zone, cell);
                self.new_balancer_of(new);
                self.announce(new, EndpointState::Ready, millis(d.late_ms));
            }
            FaultKind::Flap => {
                for u in targets {
                    if n.is_multiple_of(2) && self.upstreams[u].state.serves() {
                        self.kill_upstream(u, State::Dead);
                        self.announce(u, EndpointState::Gone, millis(d.late_ms));
                    } else if !n.is_multiple_of(2) && self.upstreams[u].state == State::Dead {
                        self.restart_upstream(u);
                    }
                }
            }
            FaultKind::Pauses => {
                let until = self.now + seconds(fault.size);
                for u in targets {
                    self.upstreams[u].paused_until = self.upstreams[u].paused_until.max(until);
                }
            }
            FaultKind::BalancerRestart => {
                let old = self.first_tier[n];
                self.kill_balancer(old);
                let node = self.new_node(0, n, self.nodes[old].zone);
                self.first_tier[n] = node;
            }
            _ => {}
        }
    }

    fn fault_ends(&mut self, i: usize) {
        let fault = &self.scenario.fault[i];
        self.reports_late.remove(&i);
        self.partitioned.remove(&i);
        let now = self.now;
        match fault.kind {
            FaultKind::StewardsDown => self.fleet.iter_mut().for_each(|fleet| fleet.start_coordinators(now)),
            FaultKind::BalancerLoss => {
                for n in self.targets.remove(&i).unwrap_or_default() {
                    self.first_tier[n] = self.new_node(0, n, n % self.scenario.tier[0].zones);
                }
            }
            _ => {}
        }
        for n in self.targets.remove(&i).unwrap_or_default() {
            self.upstreams[n].fault_effects.remove(&i);
            match fault.kind {
                FaultKind::Crash | FaultKind::Vanish | FaultKind::ZoneLoss | FaultKind::Flap
                    if !self.upstreams[n].state.serves() =>
                {
                    self.restart_upstream(n);
                }
                FaultKind::Drain if self.upstreams[n].state == State::Draining => {
                    self.upstreams[n].state = State::Up;
                    self.announce(n, EndpointState::Ready, millis(self.scenario.discovery.late_ms));
                }
                _ => {}
            }
        }
    }
}
