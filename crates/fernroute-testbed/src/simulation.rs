//! A fleet in virtual time. Events that fall on one instant happen in the order in which they were set down.

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

/// What is set down to happen.
#[derive(Debug)]
enum Due {
    Arrival,
    Try { request: u64 },
    Reach { node: usize, upstream: usize, life: u32, job: Box<Job> },
    CoreDone { upstream: usize, life: u32, job: u64 },
    Back { node: usize, rpc: Rc<str>, attempt: usize, outcome: Outcome, load: f64 },
    Stopped { node: usize, rpc: Rc<str>, attempt: usize, outcome: Outcome },
    Timer { node: usize, timer: Timer },
    Leave { node: usize, rpc: Rc<str> },
    Beat { node: usize },
    BeatThere { node: usize, beat: Box<Heartbeat> },
    BeatBack { node: usize, answer: Box<HeartbeatReply> },
    Enter,
    Tell { node: usize, upstream: usize, life: u32, told: EndpointState },
    Report { upstream: usize },
    Wake { upstream: usize, life: u32 },
    FaultBegins(usize),
    FaultStep(usize, usize),
    FaultEnds(usize),
    Retire { upstream: usize, life: u32 },
}

/// Who waits for an RPC's final answer.
enum Origin {
    Caller { request: u64 },
    Call { upstream: usize, life: u32, job: u64 },
}

struct Out {
    upstream: usize,
    sent: Time,
}

struct Open {
    origin: Origin,
    method: usize,
    hard: Time,
    arrived: Time,
    work: Time,
    calls: Rc<[u32]>,
    answered: bool,
    made: usize,
    out: BTreeMap<usize, Out>,
}

struct Node {
    tier: usize,
    zone: usize,
    alive: bool,
    player: Box<dyn Policy>,
    desk: ActionQueue,
    /// Emptied by final answers and the ends of transmissions.
    open: BTreeMap<Rc<str>, Open>,
}

/// What a caller wants, and how far it has come.
struct Request {
    want: RequestSpec,
    asked: Time,
    tries: u32,
}

pub struct Simulation<'a> {
    scenario: &'a Scenario,
    make: &'a PolicyFactory<'a>,
    witness: &'a mut dyn Observer,
    seed: u64,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// Emptied as events happen.
    due: BTreeMap<u64, Due>,
    count: u64,
    nodes: Vec<Node>,
    /// The balancers of the first tier, by their number.
    first: Vec<usize>,
    upstreams: Vec<Upstream>,
    by_name: BTreeMap<Rc<str>, usize>,
    /// Emptied as upstreams answer or end.
    jobs: BTreeMap<u64, (usize, Job)>,
    jobs_made: u64,
    /// Emptied by the last answer to a request.
    requests: BTreeMap<u64, Request>,
    requests_made: u64,
    calls_made: u64,
    arrivals: Arrivals,
    chance: ChaCha8Rng,
    reports_late: BTreeMap<usize, Time>,
    list_down_until: Time,
    /// Whom each fault has hit; emptied by its end.
    victims: BTreeMap<usize, Vec<usize>>,
    end: Time,
    /// The stewards and members of the first tier, where the variant has them.
    fleet: Option<Fleet>,
    /// Places of the first tier that reach no steward, by fault; emptied by its end.
    cut_off: BTreeMap<usize, Vec<usize>>,
    pub metrics: RunMetrics,
    /// The most events, jobs and requests that were held at a time.
    pub max_held: usize,
}

impl<'a> Simulation<'a> {
    pub fn new(
        scenario: &'a Scenario,
        seed: u64,
        make: &'a PolicyFactory<'a>,
        fleet: bool,
        witness: &'a mut dyn Observer,
    ) -> Self {
        let mut world = Simulation {
            scenario,
            make,
            witness,
            seed,
            now: 0,
            queue: BinaryHeap::new(),
            due: BTreeMap::new(),
            count: 0,
            nodes: Vec::new(),
            first: Vec::new(),
            upstreams: Vec::new(),
            by_name: BTreeMap::new(),
            jobs: BTreeMap::new(),
            jobs_made: 0,
            requests: BTreeMap::new(),
            requests_made: 0,
            calls_made: 0,
            arrivals: Arrivals::new(scenario, seed),
            chance: rng_stream(seed, SIMULATION_STREAM),
            reports_late: BTreeMap::new(),
            list_down_until: 0,
            victims: BTreeMap::new(),
            end: seconds(scenario.seconds),
            fleet: fleet.then(|| Fleet::new(scenario)),
            cut_off: BTreeMap::new(),
            metrics: RunMetrics::new(scenario),
            max_held: 0,
        };
        for (tier, of) in scenario.tier.iter().enumerate() {
            for place in 0..of.upstreams {
                world.new_upstream(tier, place % of.zones, place / of.cell);
            }
        }
        for upstream in 0..world.upstreams.len() {
            world.new_balancer_of(upstream);
        }
        for number in 0..scenario.tier[0].balancers {
            let node = world.new_node(0, number, number % scenario.tier[0].zones);
            world.first.push(node);
        }
        for (i, fault) in scenario.fault.iter().enumerate() {
            world.set(seconds(fault.at_s), Due::FaultBegins(i));
        }
        world.next_arrival();
        world
    }

    // ------------------------------------------------------------------------------------------------ clock

    fn set(&mut self, at: Time, due: Due) {
        self.count += 1;
        self.queue.push(Reverse((at.max(self.now), self.count)));
        self.due.insert(self.count, due);
    }

    fn tell(&mut self, event: &Event) {
        self.witness.observe(self.now, event);
    }

    /// Plays to the end of the last RPC that may still be answered.
    pub fn run(mut self) -> (RunMetrics, usize) {
        let longest = self.scenario.longest_hard_deadline();
        let tries = u64::from(self.scenario.load.retries) + 1;
        let last = self.end + tries * (longest + millis(self.scenario.rules.max_stay_away_ms)) + seconds(1.0);
        while let Some(Reverse((at, place))) = self.queue.pop() {
            if at > last {
                break;
            }
            self.now = at;
            let held = self.due.len() + self.jobs.len() + self.requests.len();
            self.max_held = self.max_held.max(held);
            if let Some(due) = self.due.remove(&place) {
                self.happen(due);
            }
        }
        let open: usize = self.nodes.iter().map(|n| n.open.values().filter(|o| !o.answered).count()).sum();
        self.metrics.ends.open = open as u64;
        (self.metrics, self.max_held)
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival => {
                self.arrive();
                self.next_arrival();
            }
            Due::Try { request } => self.ask(request, None),
            Due::Reach { node, upstream, life, job } => self.reach(node, upstream, life, *job),
            Due::CoreDone { upstream, life, job } => self.core_done(upstream, life, job),
            Due::Back { node, rpc, attempt, outcome, load } => self.ended(node, &rpc, attempt, outcome, load),
            Due::Stopped { node, rpc, attempt, outcome } => self.give_up(node, &rpc, attempt, outcome),
            Due::Timer { node, timer } => {
                let now = self.now;
                self.decide(node, |p| p.timer_fired(now, &timer));
            }
            Due::Leave { node, rpc } => self.leave(node, &rpc),
            Due::Beat { node } => self.beat(node),
            Due::BeatThere { node, beat } => self.beat_there(node, &beat),
            Due::BeatBack { node, answer } => self.beat_back(node, &answer),
            Due::Enter => self.enter(),
            Due::Tell { node, upstream, life, told } => self.hear(node, upstream, life, told),
            Due::Report { upstream } => self.report(upstream),
            Due::Wake { upstream, life } if self.upstreams[upstream].incarnation == life => {
                self.work(upstream)
            }
            Due::Wake { .. } => {}
            Due::FaultBegins(i) => self.fault_begins(i),
            Due::FaultStep(i, n) => self.fault_step(i, n),
            Due::FaultEnds(i) => self.fault_ends(i),
            Due::Retire { upstream, life } if self.upstreams[upstream].incarnation == life => {
                self.die(upstream, State::Dead);
                self.announce(upstream, EndpointState::Gone, millis(self.scenario.discovery.late_ms));
            }
            Due::Retire { .. } => {}
        }
    }

    // ------------------------------------------------------------------------------------------------ fleet

    fn new_upstream(&mut self, tier: usize, zone: usize, cell: usize) -> usize {
        let of = &self.scenario.tier[tier];
        let number = self.upstreams.len();
        let name: Rc<str> = Rc::from(format!("{}-{number}", of.name));
        let speed = 1.0 + of.unlike * (2.0 * self.chance.random::<f64>() - 1.0);
        self.upstreams.push(Upstream::new(Rc::clone(&name), tier, of, (zone, cell), speed, self.now));
        self.by_name.insert(name, number);
        self.started(number);
        // Reports of a fleet are not in step.
        let phase = (millis(of.report_ms) as f64 * self.chance.random::<f64>()) as Time;
        self.set(self.now + phase.max(1), Due::Report { upstream: number });
        number
    }

    fn started(&mut self, number: usize) {
        let u = &self.upstreams[number];
        let rate = self.scenario.warm_rate(u.tier, u.speed);
        let (zone, cell, cold) = (u.zone, u.cell, u.cold);
        self.tell(&Event::Started { upstream: number, zone, cell, rate, cold });
    }

    /// The balancer of an upstream's own, where there is a tier below.
    fn new_balancer_of(&mut self, upstream: usize) {
        let (tier, zone) = (self.upstreams[upstream].tier + 1, self.upstreams[upstream].zone);
        if tier < self.scenario.tier.len() {
            let node = self.new_node(tier, upstream, zone);
            self.upstreams[upstream].balancer = Some(node);
        }
    }

    fn new_node(&mut self, tier: usize, number: usize, zone: usize) -> usize {
        let (desk, instances) = (ActionQueue::default(), self.scenario.balancer_count(tier));
        let post = BalancerPosition { tier, number, instances, zone };
        let seed = balancer_seed(self.seed, self.nodes.len());
        let player = (self.make)(self.scenario, post, desk.clone(), self.now, seed);
        let node = self.nodes.len();
        self.nodes.push(Node { tier, zone, alive: true, player, desk, open: BTreeMap::new() });
        let known = (0..self.upstreams.len()).filter(|n| self.upstreams[*n].tier == tier);
        let known: Vec<usize> = known.filter(|n| self.upstreams[*n].state == State::Up).collect();
        known.iter().for_each(|n| {
            self.tell(&Event::Heard { balancer: node, upstream: *n, told: EndpointState::Ready })
        });
        let entries: Vec<EndpointUpdate> =
            known.iter().map(|n| self.entry(*n, EndpointState::Ready)).collect();
        let now = self.now;
        self.decide(node, |p| p.update_endpoints(now, true, &entries));
        if let Some(fleet) = self.fleet.as_mut().filter(|_| tier == 0) {
            fleet.join(node, number, now);
            // Nothing is its own before it is granted; beats of a fleet are not in step.
            self.decide(node, |p| p.set_budget_rates(now, &[]));
            let phase = (millis(self.scenario.fleet.beat_ms) as f64 * self.chance.random::<f64>()) as Time;
            self.set(now + phase, Due::Beat { node });
        }
        node
    }

    // -------------------------------------------------------------------------------------- budgets of the fleet

    fn beat(&mut self, node: usize) {
        let Some(fleet) = self.fleet.as_mut().filter(|_| self.nodes[node].alive) else { return };
        let Some(beat) = fleet.beat(node, self.now) else { return };
        let delay = self.delay(0, 0);
        if !self.is_cut_off(node) {
            self.set(self.now + delay, Due::BeatThere { node, beat: Box::new(beat) });
        }
        if self.now < self.end + seconds(REPORT_RETENTION_S) {
            self.set(self.now + millis(self.scenario.fleet.beat_ms), Due::Beat { node });
        }
    }

    fn beat_there(&mut self, node: usize, beat: &Heartbeat) {
        let now = self.now;
        let answer = self.fleet.as_mut().and_then(|fleet| fleet.hear(now, beat));
        let confirm = millis(self.scenario.fleet.confirm_ms);
        self.set(now + confirm, Due::Enter);
        let Some(answer) = answer else { return };
        let delay = self.delay(0, 0);
        self.set(now + confirm + delay, Due::BeatBack { node, answer: Box::new(answer) });
    }

    fn is_cut_off(&self, node: usize) -> bool {
        self.cut_off.values().flatten().any(|place| self.first[*place] == node)
    }

    fn beat_back(&mut self, node: usize, answer: &HeartbeatReply) {
        let now = self.now;
        if self.is_cut_off(node) {
            return;
        }
        let Some(fleet) = self.fleet.as_mut().filter(|_| self.nodes[node].alive) else { return };
        let Some(shares) = fleet.told(node, now, answer) else { return };
        let shares: Vec<(&str, [(f64, Time); 2])> =
            shares.iter().map(|(name, of)| (name.as_str(), *of)).collect();
        self.decide(node, |p| p.set_budget_rates(now, &shares));
    }

    fn enter(&mut self) {
        let now = self.now;
        self.fleet.iter_mut().for_each(|fleet| fleet.enter(now));
    }

    fn entry(&self, upstream: usize, told: EndpointState) -> EndpointUpdate {
        let u = &self.upstreams[upstream];
        let started = if u.cold { u.started } else { 0 };
        EndpointUpdate { name: Rc::clone(&u.name), zone: u.zone, cell: u.cell, started, told }
    }

    /// Discovery tells each balancer of the tier, late and not all at once; after an outage, all that it held back.
    fn announce(&mut self, upstream: usize, told: EndpointState, late: Time) {
        let (tier, life) = (self.upstreams[upstream].tier, self.upstreams[upstream].incarnation);
        let spread = millis(self.scenario.discovery.spread_ms);
        let from = (self.now + late).max(self.list_down_until);
        for node in 0..self.nodes.len() {
            if self.nodes[node].alive && self.nodes[node].tier == tier {
                let wait = (spread as f64 * self.chance.random::<f64>()) as Time;
                self.set(from + wait, Due::Tell { node, upstream, life, told });
            }
        }
    }

    fn hear(&mut self, node: usize, upstream: usize, life: u32, told: EndpointState) {
        // What is overtaken by a later start or end is not told any more.
        if !self.nodes[node].alive || self.upstreams[upstream].incarnation != life {
            return;
        }
        if self.now < self.list_down_until {
            let at = self.list_down_until;
            return self.set(at, Due::Tell { node, upstream, life, told });
        }
        self.tell(&Event::Heard { balancer: node, upstream, told });
        let (now, entry) = (self.now, [self.entry(upstream, told)]);
        self.decide(node, |p| p.update_endpoints(now, false, &entry));
    }

    fn report(&mut self, upstream: usize) {
        let of = &self.scenario.tier[self.upstreams[upstream].tier];
        let period = millis(of.report_ms);
        let u = &mut self.upstreams[upstream];
        u.report(self.now, period, of.choke.as_ref());
        if self.now < self.end + seconds(REPORT_RETENTION_S) {
            self.set(self.now + period, Due::Report { upstream });
        }
    }

    /// The report that an answer of this upstream carries now.
    fn load(&self, upstream: usize) -> f64 {
        let u = &self.upstreams[upstream];
        let late = millis(self.scenario.tier[u.tier].report_late_ms);
        u.reported(self.now, late + self.reports_late.values().sum::<Time>())
    }

    fn delay(&mut self, a: usize, b: usize) -> Time {
        let n = &self.scenario.network;
        let ms = if a == b { n.same_zone_ms } else { n.cross_zone_ms };
        millis(ms * (1.0 + n.jitter * self.chance.random::<f64>()))
    }

    // ------------------------------------------------------------------------------------------------- load

    fn next_arrival(&mut self) {
        if let Some(at) = self.arrivals.next(self.scenario) {
            self.set(at, Due::Arrival);
        }
    }

    fn arrive(&mut self) {
        let number = self.requests_made;
        self.requests_made += 1;
        let want = RequestSpec::generate(self.scenario, self.seed, number);
        let (method, balancer) = (want.method, want.balancer);
        self.requests.insert(number, Request { want, asked: self.now, tries: 0 });
        self.metrics.record_offered(self.now, method, self.scenario.method[method].gain);
        self.ask(number, Some(balancer));
    }

    fn ask(&mut self, number: u64, balancer: Option<usize>) {
        let any = self.chance.random_range(0..self.first.len());
        let Some(request) = self.requests.get_mut(&number) else { return };
        let m = &self.scenario.method[request.want.method];
        let hard = request.asked + millis(m.hard_ms);
        if hard <= self.now {
            return self.fail(number);
        }
        let rpc: Rc<str> = Rc::from(format!("r{number}.{}", request.tries));
        request.tries += 1;
        let want = request.want.clone();
        let leaves = want.leaves_after.map(|share| (millis(m.hard_ms) as f64 * share) as Time);
        let mut node = self.first[balancer.unwrap_or(any)];
        if !self.nodes[node].alive {
            // Its front deals it to another, after a refused connection.
            let alive: Vec<usize> = self.first.iter().copied().filter(|n| self.nodes[*n].alive).collect();
            if alive.is_empty() {
                return self.fail(number);
            }
            node = alive[self.chance.random_range(0..alive.len())];
        }
        if let Some(after) = leaves {
            self.set(self.now + after, Due::Leave { node, rpc: Rc::clone(&rpc) });
        }
        if let Some((fleet, tenant)) = self.fleet.as_mut().zip(want.tenant) {
            fleet.asked(node, self.now, tenant);
        }
        let origin = Origin::Caller { request: number };
        self.put(node, rpc, origin, want.method, want.tenant, hard, want.work, want.calls);
    }

    /// Puts an RPC before a balancer.
    #[allow(clippy::too_many_arguments)]
    fn put(
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
        let (arrived, out) = (self.now, BTreeMap::new());
        let open = Open { origin, method, hard, arrived, work, calls, answered: false, made: 0, out };
        self.nodes[node].open.insert(Rc::clone(&rpc), open);
        self.tell(&Event::Arrived { rpc: Rc::clone(&rpc), balancer: node, method, hard, tenant });
        let (now, scenario) = (self.now, self.scenario);
        let whom = tenant.map_or("", |tenant| scenario.tenant[tenant].name.as_str());
        self.decide(node, |p| p.rpc_arrived(now, &rpc, &scenario.method[method].name, whom, hard - now));
    }

    // -------------------------------------------------------------------------------------------- balancers

    /// Calls a balancer, then does what it asked for.
    fn decide(&mut self, node: usize, call: impl FnOnce(&mut dyn Policy)) {
        if !self.nodes[node].alive {
            return;
        }
        call(&mut *self.nodes[node].player);
        while let Some(act) = self.nodes[node].desk.pop() {
            match act {
                Action::StartAttempt { rpc, upstream, timeout: time_out, .. } => {
                    self.transmit(node, &rpc, &upstream, time_out)
                }
                Action::CancelAttempt { rpc, attempt } => {
                    let outcome = Outcome::Cancelled;
                    self.set(self.now, Due::Stopped { node, rpc, attempt, outcome });
                }
                Action::Reject { rpc, retry_after } => {
                    self.answer(node, &rpc, FinalAnswer::Exhausted, retry_after)
                }
                Action::Fail { rpc } => self.answer(node, &rpc, FinalAnswer::Errored, 0),
                Action::SetTimer { after, timer } => self.set(self.now + after, Due::Timer { node, timer }),
                // All are told unasked.
                Action::WatchEndpoints | Action::Log(_) => {}
            }
        }
    }

    fn transmit(&mut self, node: usize, rpc: &Rc<str>, to: &Rc<str>, time_out: Time) {
        let Some(upstream) = self.by_name.get(to).copied() else { return };
        let Some(attempt) = self.nodes[node].open.get_mut(rpc).map(|open| {
            open.made += 1;
            open.made - 1
        }) else {
            // The referee is told, who knows that it is not open.
            return self.tell(&Event::Sent {
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
        self.tell(&Event::Sent { rpc: Rc::clone(rpc), attempt, balancer: node, upstream, work });
        let delay = self.delay(self.nodes[node].zone, self.upstreams[upstream].zone);
        let (now, life) = (self.now, self.upstreams[upstream].incarnation);
        let tier = self.upstreams[upstream].tier;
        let Some(open) = self.nodes[node].open.get_mut(rpc) else { return };
        open.out.insert(attempt, Out { upstream, sent: now });
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
        self.set(now + delay, Due::Reach { node, upstream, life, job: Box::new(job) });
        let outcome = Outcome::TimedOut;
        self.set(now + time_out, Due::Stopped { node, rpc: Rc::clone(rpc), attempt, outcome });
    }

    /// A transmission that its balancer gives up, if it is still out.
    fn give_up(&mut self, node: usize, rpc: &Rc<str>, attempt: usize, outcome: Outcome) {
        let out = self.nodes[node].open.get(rpc).and_then(|open| open.out.get(&attempt));
        let Some(upstream) = out.map(|out| out.upstream) else { return };
        let void =
            |job: &&mut (usize, Job)| job.0 == upstream && job.1.attempt == attempt && job.1.rpc == *rpc;
        if let Some((_, job)) = self.jobs.values_mut().find(void) {
            job.cancelled = true;
        }
        self.ended(node, rpc, attempt, outcome, f64::NAN);
    }

    fn ended(&mut self, node: usize, rpc: &Rc<str>, attempt: usize, outcome: Outcome, load: f64) {
        let Some(open) = self.nodes[node].open.get_mut(rpc) else { return };
        let Some(out) = open.out.remove(&attempt) else { return };
        let (took, answered) = (self.now - out.sent, open.answered);
        self.tell(&Event::Ended { rpc: Rc::clone(rpc), attempt, outcome });
        // Whose caller has left has nobody to answer to.
        if outcome == Outcome::Completed && !answered {
            self.answer(node, rpc, FinalAnswer::Completed, 0);
        }
        let over = self.nodes[node].open.get(rpc).is_none_or(|open| open.answered);
        let now = self.now;
        self.decide(node, |p| p.attempt_ended(now, rpc, attempt, outcome, took, over, load));
        self.forget(node, rpc);
    }

    fn forget(&mut self, node: usize, rpc: &Rc<str>) {
        let open = &mut self.nodes[node].open;
        if open.get(rpc).is_some_and(|o| o.answered && o.out.is_empty()) {
            open.remove(rpc);
        }
    }

    fn answer(&mut self, node: usize, rpc: &Rc<str>, last: FinalAnswer, stay_away: Time) {
        self.tell(&Event::Answered { rpc: Rc::clone(rpc), last });
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
                self.told_caller(request, last, stay_away);
            }
            Origin::Call { upstream, life, job } => self.call_done(upstream, life, job, last),
        }
        self.forget(node, rpc);
    }

    fn told_caller(&mut self, number: u64, last: FinalAnswer, stay_away: Time) {
        let Some(request) = self.requests.get(&number) else { return };
        let (asked, method, tenant) = (request.asked, request.want.method, request.want.tenant);
        let m = &self.scenario.method[method];
        match last {
            FinalAnswer::Completed => {
                self.requests.remove(&number);
                self.metrics.record_tenant(asked, tenant, true);
                self.metrics.record_completed(asked, self.now, method, m.gain, millis(m.soft_ms));
            }
            FinalAnswer::Exhausted if request.tries <= self.scenario.load.retries => {
                let wait = if stay_away > 0 { stay_away } else { millis(self.scenario.load.backoff_ms) };
                self.set(self.now + wait.max(1), Due::Try { request: number });
            }
            FinalAnswer::Exhausted => {
                self.requests.remove(&number);
                self.metrics.record_tenant(asked, tenant, false);
                self.metrics.record_exhausted(asked);
            }
            FinalAnswer::Errored => self.fail(number),
        }
    }

    fn fail(&mut self, number: u64) {
        if let Some(request) = self.requests.remove(&number) {
            self.metrics.record_tenant(request.asked, request.want.tenant, false);
            self.metrics.record_errored(request.asked);
        }
    }

    fn leave(&mut self, node: usize, rpc: &Rc<str>) {
        let Some(open) = self.nodes[node].open.get_mut(rpc).filter(|open| !open.answered) else { return };
        open.answered = true;
        if let Origin::Caller { request } = open.origin {
            self.fail(request);
        }
        self.metrics.ends.abandoned += 1;
        self.tell(&Event::CallerLeft { rpc: Rc::clone(rpc) });
        let now = self.now;
        self.decide(node, |p| p.rpc_abandoned(now, rpc));
        self.forget(node, rpc);
    }

    /// A balancer dies with all that it holds.
    fn balancer_dies(&mut self, node: usize) {
        self.tell(&Event::BalancerDied { balancer: node });
        self.nodes[node].alive = false;
        for (_, open) in std::mem::take(&mut self.nodes[node].open) {
            if !open.answered {
                self.metrics.ends.lost += 1;
                if let Origin::Caller { request } = open.origin {
                    self.fail(request);
                }
            }
        }
    }

    // -------------------------------------------------------------------------------------------- upstreams

    fn reach(&mut self, node: usize, upstream: usize, life: u32, job: Job) {
        let back = self.delay(self.upstreams[upstream].zone, self.nodes[node].zone);
        let u = &self.upstreams[upstream];
        let (rpc, attempt) = (Rc::clone(&job.rpc), job.attempt);
        let load = self.load(upstream);
        let say = |outcome, load| Due::Back { node, rpc, attempt, outcome, load };
        let at = self.now + back;
        if u.state == State::Silent {
            return;
        }
        if u.state == State::Dead || u.incarnation != life {
            // The process that it was sent to is gone, or one that has just started in its place: refused.
            return self.set(at, say(Outcome::ConnectFailed, f64::NAN));
        }
        if u.is_hanging() {
            return self.tell(&Event::Ran { rpc: job.rpc, attempt });
        }
        let errors = u.error_share();
        if errors > 0.0 && self.chance.random::<f64>() < errors {
            self.tell(&Event::Ran { rpc: job.rpc, attempt });
            return self.set(at, say(Outcome::Failed, load));
        }
        if u.occupied_slots >= u.slots && u.waiting.len() >= u.queue {
            return self.set(at, say(Outcome::Rejected, load));
        }
        self.tell(&Event::Ran { rpc: Rc::clone(&job.rpc), attempt });
        let number = self.jobs_made;
        self.jobs_made += 1;
        self.jobs.insert(number, (upstream, job));
        let u = &mut self.upstreams[upstream];
        if u.occupied_slots < u.slots {
            u.occupied_slots += 1;
            u.ready.push_back(number);
            self.work(upstream);
        } else {
            u.waiting.push_back(number);
        }
    }

    /// Free cores take what is ready.
    fn work(&mut self, upstream: usize) {
        let of = &self.scenario.tier[self.upstreams[upstream].tier];
        let rules = &self.scenario.rules;
        loop {
            let u = &mut self.upstreams[upstream];
            if u.busy >= u.cores || u.ready.is_empty() {
                return;
            }
            if self.now < u.paused_until {
                let (at, life) = (u.paused_until, u.incarnation);
                return self.set(at, Due::Wake { upstream, life });
            }
            let Some(job) = u.ready.pop_front() else { return };
            let work = self.jobs.get(&job).map_or(0.0, |(_, j)| j.work as f64 * of.work);
            u.account(self.now);
            u.busy += 1;
            let warmth = u.warmth(self.now, rules.cold_from, seconds(rules.warm_within_s));
            let (at, life) = (self.now + u.service_time(work, warmth, of.choke.as_ref()), u.incarnation);
            self.set(at, Due::CoreDone { upstream, life, job });
        }
    }

    fn core_done(&mut self, upstream: usize, life: u32, job: u64) {
        let u = &mut self.upstreams[upstream];
        if u.incarnation != life {
            return;
        }
        if self.now < u.paused_until {
            let at = u.paused_until;
            return self.set(at, Due::CoreDone { upstream, life, job });
        }
        u.account(self.now);
        u.busy -= 1;
        self.next_call(upstream, job);
        self.work(upstream);
    }

    /// One after another, the calls on the tier below; then the answer.
    fn next_call(&mut self, upstream: usize, number: u64) {
        let Some((_, job)) = self.jobs.get_mut(&number) else { return };
        let node = self.upstreams[upstream].balancer;
        let Some(node) = node.filter(|_| job.calls_left > 0 && self.now < job.hard && !job.cancelled) else {
            let outcome = if job.calls_left > 0 { Outcome::Failed } else { Outcome::Completed };
            return self.done(upstream, number, outcome);
        };
        job.calls_left -= 1;
        let (method, hard, work, calls) = (job.method, job.hard, job.work, Rc::clone(&job.calls));
        self.calls_made += 1;
        let rpc = Rc::from(format!("c{}", self.calls_made));
        let origin = Origin::Call { upstream, life: self.upstreams[upstream].incarnation, job: number };
        self.put(node, rpc, origin, method, None, hard, work, calls);
    }

    fn call_done(&mut self, upstream: usize, life: u32, job: u64, last: FinalAnswer) {
        if self.upstreams[upstream].incarnation != life {
            return;
        }
        match last {
            FinalAnswer::Completed => self.next_call(upstream, job),
            // It fails if a call does.
            FinalAnswer::Exhausted | FinalAnswer::Errored => self.done(upstream, job, Outcome::Failed),
        }
    }

    fn done(&mut self, upstream: usize, number: u64, outcome: Outcome) {
        let Some((_, job)) = self.jobs.remove(&number) else { return };
        let of = &self.scenario.tier[self.upstreams[upstream].tier];
        let (load, zone) = (self.load(upstream), self.upstreams[upstream].zone);
        let back = self.delay(zone, self.nodes[job.node].zone);
        let (node, rpc, attempt) = (job.node, job.rpc, job.attempt);
        self.set(self.now + back, Due::Back { node, rpc, attempt, outcome, load });
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
        self.work(upstream);
    }

    /// Ends a process or a machine, and its balancer with it.
    fn die(&mut self, upstream: usize, state: State) {
        let silent = state == State::Silent;
        let gone: Vec<u64> = self.jobs.iter().filter(|(_, (u, _))| *u == upstream).map(|(n, _)| *n).collect();
        for number in gone {
            let Some((_, job)) = self.jobs.remove(&number) else { continue };
            if !silent {
                let back = self.delay(self.upstreams[upstream].zone, self.nodes[job.node].zone);
                let (node, rpc, attempt, outcome) = (job.node, job.rpc, job.attempt, Outcome::Reset);
                self.set(self.now + back, Due::Back { node, rpc, attempt, outcome, load: f64::NAN });
            }
        }
        let u = &mut self.upstreams[upstream];
        u.terminate(self.now);
        u.state = state;
        if let Some(node) = u.balancer.take() {
            self.balancer_dies(node);
        }
    }

    fn revive(&mut self, upstream: usize) {
        self.upstreams[upstream].restart(self.now);
        self.started(upstream);
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
            FaultKind::BalancerRestart => self.first.len(),
            FaultKind::Flap | FaultKind::Pauses => (fault.for_s / fault.every_s).ceil() as usize,
            _ => 0,
        };
        let apart = match fault.kind {
            FaultKind::Flap | FaultKind::Pauses => fault.every_s,
            _ => fault.for_s / steps.max(1) as f64,
        };
        for n in 0..steps {
            self.set(self.now + seconds(apart * n as f64), Due::FaultStep(i, n));
        }
        self.set(self.now + seconds(fault.for_s), Due::FaultEnds(i));
        for n in &all {
            self.afflict(i, fault, *n);
        }
        match fault.kind {
            FaultKind::ReportsLate => {
                self.reports_late.insert(i, seconds(fault.size));
            }
            FaultKind::ListDown => {
                self.list_down_until = self.list_down_until.max(self.now + seconds(fault.for_s))
            }
            FaultKind::StewardsDown => self.fleet.iter_mut().for_each(Fleet::down),
            FaultKind::LeaderLoss => {
                let now = self.now;
                self.fleet.iter_mut().for_each(|fleet| fleet.up(now));
            }
            FaultKind::FleetCut => {
                let places = (0..self.first.len()).map(|n| (n, 0)).collect();
                self.cut_off.insert(i, fault_targets(fault, i, self.seed, places));
                return;
            }
            FaultKind::BalancerLoss => {
                let living = (0..self.first.len()).filter(|n| self.nodes[self.first[*n]].alive);
                let hit = fault_targets(fault, i, self.seed, living.map(|n| (n, 0)).collect());
                hit.iter().for_each(|n| self.balancer_dies(self.first[*n]));
                self.victims.insert(i, hit);
                return;
            }
            _ => {}
        }
        self.victims.insert(i, all);
    }

    fn afflict(&mut self, i: usize, fault: &Fault, upstream: usize) {
        let d = &self.scenario.discovery;
        match fault.kind {
            FaultKind::Crash => {
                self.die(upstream, State::Dead);
                self.announce(upstream, EndpointState::Gone, millis(d.late_ms));
            }
            FaultKind::Vanish | FaultKind::ZoneLoss => {
                self.die(upstream, State::Silent);
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
        let hit = self.victims.get(&i).cloned().unwrap_or_default();
        match fault.kind {
            FaultKind::Replace => {
                let old = hit[n];
                if self.upstreams[old].state != State::Up {
                    return;
                }
                self.upstreams[old].state = State::Draining;
                self.announce(old, EndpointState::Drains, millis(d.late_ms));
                let life = self.upstreams[old].incarnation;
                self.set(
                    self.now + millis(d.late_ms) + seconds(DRAINED_EXIT_DELAY_S),
                    Due::Retire { upstream: old, life },
                );
                // In the place of the old one.
                let (tier, zone, cell) = {
                    let u = &self.upstreams[old];
                    (u.tier, u.zone, u.cell)
                };
                let new = self.new_upstream(tier, zone, cell);
                self.new_balancer_of(new);
                self.announce(new, EndpointState::Ready, millis(d.late_ms));
            }
            FaultKind::Flap => {
                for u in hit {
                    if n.is_multiple_of(2) && self.upstreams[u].state.serves() {
                        self.die(u, State::Dead);
                        self.announce(u, EndpointState::Gone, millis(d.late_ms));
                    } else if !n.is_multiple_of(2) && self.upstreams[u].state == State::Dead {
                        self.revive(u);
                    }
                }
            }
            FaultKind::Pauses => {
                let until = self.now + seconds(fault.size);
                for u in hit {
                    self.upstreams[u].paused_until = self.upstreams[u].paused_until.max(until);
                }
            }
            FaultKind::BalancerRestart => {
                let old = self.first[n];
                self.balancer_dies(old);
                let node = self.new_node(0, n, self.nodes[old].zone);
                self.first[n] = node;
            }
            _ => {}
        }
    }

    fn fault_ends(&mut self, i: usize) {
        let fault = &self.scenario.fault[i];
        self.reports_late.remove(&i);
        self.cut_off.remove(&i);
        let now = self.now;
        match fault.kind {
            FaultKind::StewardsDown => self.fleet.iter_mut().for_each(|fleet| fleet.up(now)),
            FaultKind::BalancerLoss => {
                for n in self.victims.remove(&i).unwrap_or_default() {
                    self.first[n] = self.new_node(0, n, n % self.scenario.tier[0].zones);
                }
            }
            _ => {}
        }
        for n in self.victims.remove(&i).unwrap_or_default() {
            self.upstreams[n].fault_effects.remove(&i);
            match fault.kind {
                FaultKind::Crash | FaultKind::Vanish | FaultKind::ZoneLoss | FaultKind::Flap
                    if !self.upstreams[n].state.serves() =>
                {
                    self.revive(n);
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
