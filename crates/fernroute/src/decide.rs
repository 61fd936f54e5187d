//! All decisions of a balancer; the interface that it acts through, `Host`, is defined in `host.rs`.
//!
//! How it is called: `Balancer::new` with a host, the clock, a seed and the terms; then one method for each
//! thing that happens (`rpc_arrived`, `tx_ended`, `timer`, `list_begins` …), each with the clock. It acts at
//! once, by calling the host. The same calls in the same order lead to the same acts.
//!
//! The design: a breaker for each upstream, fed by this balancer's own outcomes, and a random draw among
//! closed upstreams weighted by reported headroom. Mechanisms beside it, six at most (`docs/design.md`):
//!  1. early opening on a run of bad outcomes, where calls are too few to fill a window;
//!  2. crowding discount: an upstream that holds more than its part of what this balancer has out, or
//!     by its reports, draws less, and nothing that news say would be late;
//!  3. fleet guard: troubles that most upstreams share open no breakers;
//!  4. nearness: upstreams of the own zone draw more while they have headroom;
//!  5. admission: under overload the least gain is exhausted first, at the first tier;
//!  6. circle: a balancer of few calls draws among its own part of the upstreams, by its number; a key, where
//!     upstreams do less work for one that they know, by its hash and what each kind of upstream takes.

use crate::host::{Host, InvalidSetting, Outcome, Settings, Time, Timer, SECOND};
use crate::records::{fade, hash, mean, Bucket, Following, Gate, Id, Method, Purse, Rpc, Sent, Times, Tx};
use crate::settings::{Idempotency, MethodPolicy, ValidatedSettings};
use nanorand::{Rng, WyRand};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

// ---------------------------------------------------------------------------------------------- breaker

#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
enum State {
    #[default]
    Closed,
    Open(Time),
    HalfOpen,
}

/// What one outcome says of the upstream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Good,
    Slow,
    Failed,
    /// Failed, and by itself: nothing below it answers for a connection or for silence.
    Dead,
}

#[derive(Default)]
struct Breaker {
    state: State,
    /// The last outcomes while closed; `WINDOW` at most, emptied at each change of state.
    window: VecDeque<Verdict>,
    /// Counts changes of state: what was sent before the last one is no evidence about the present state.
    epoch: u32,
    trials_out: u32,
    trials_good: u32,
    /// Bad outcomes since the last good one.
    run: u32,
    /// Openings without a calm spell between them.
    openings: u32,
    closed_at: Time,
}

/// The design's window, minimum and half shares.
const WINDOW: usize = 50;
const MINIMUM: usize = 20;
const SHARE: f64 = 0.5;
/// The article's three trials.
const TRIALS: u32 = 3;
/// The design's start value; a fault of a few seconds costs one opening.
const OPEN_FOR: Time = 5 * SECOND;
/// A flapping upstream passes its trials: each opening within this time of the last doubles, twice at most.
const CALM: Time = 10 * SECOND;
const MOST_DOUBLINGS: u32 = 2;
/// Bad outcomes in a row that open where a window cannot fill within a fault: three in a row by chance need
/// a bad share that would be a trouble of its own.
const EARLY_RUN: u32 = 3;

impl Breaker {
    fn change(&mut self, state: State) {
        self.state = state;
        self.window.clear();
        self.epoch += 1;
        (self.trials_out, self.trials_good, self.run) = (0, 0, 0);
    }

    /// Takes the state that the clock asks for, and tells whether a transmission may pass.
    fn passes(&mut self, now: Time) -> bool {
        if let State::Open(until) = self.state {
            if now < until {
                return false;
            }
            self.change(State::HalfOpen);
        }
        self.state == State::Closed || self.trials_out + self.trials_good < TRIALS
    }

    /// Takes one verdict of the present epoch; tells whether the upstream should open.
    fn judge(&mut self, verdict: Verdict, now: Time) -> bool {
        if self.state == State::HalfOpen {
            if verdict != Verdict::Good {
                return true;
            }
            self.trials_good += 1;
            if self.trials_good >= TRIALS {
                self.change(State::Closed);
                self.closed_at = now;
            }
            return false;
        }
        if self.window.len() == WINDOW {
            self.window.pop_front();
        }
        self.window.push_back(verdict);
        self.run = if verdict == Verdict::Dead { self.run + 1 } else { 0 };
        let share = |slow| {
            let these = |v: &&Verdict| **v != Verdict::Good && (**v == Verdict::Slow) == slow;
            self.window.iter().filter(these).count() as f64 / self.window.len() as f64
        };
        let full = self.window.len() >= MINIMUM;
        // Guards against swallowed or dead upstreams below the first tier, where twenty calls take too long.
        full && (share(false) >= SHARE || share(true) >= SHARE) || self.run >= EARLY_RUN
    }

    fn open(&mut self, now: Time, rng: &mut WyRand) {
        let again = self.state == State::HalfOpen || now < self.closed_at + CALM;
        self.openings = if again { (self.openings + 1).min(MOST_DOUBLINGS) } else { 0 };
        let length = (OPEN_FOR << self.openings) as f64;
        // The design's jitter: up to a fifth either way.
        let length = length * (0.8 + 0.4 * rng.generate::<f64>());
        self.change(State::Open(now + length as Time));
    }
}

// ------------------------------------------------------------------------------------ upstreams, their list

#[derive(Default)]
struct Upstream {
    zone: String,
    cell: String,
    kind: String,
    /// Its last start as told, and as it counts; 0 is long ago.
    told: Time,
    started: Time,
    /// Told that it drains or is gone. One that is gone leaves the table with its last transmission.
    leaving: bool,
    gone: bool,
    /// Named by the full list that is being read.
    seen: bool,
    breaker: Breaker,
    /// Latest reported utilisation.
    utilisation: Option<f64>,
    /// What it held beside this balancer's own by its latest report and by the usual one; when that came.
    others: Option<(f64, f64, Time)>,
    /// How long it takes of late for one RPC that it holds, against the usual, and as of when.
    pace: Option<(f64, Time)>,
    /// When each transmission that is out was sent; emptied by outcomes.
    out: Vec<Time>,
    /// When transmissions failed, and of which method where that says nothing of others; at most as many
    /// as the window holds, and a restart empties it.
    scars: VecDeque<(Time, Option<Id>)>,
    /// Cold budget: nothing before this.
    cold_next: Time,
    /// What the fleet grants of trials to it.
    tried: Bucket,
}

/// How long a failure counts as held: as the design's open duration.
const SCAR: Time = OPEN_FOR;

impl Upstream {
    /// What this upstream holds of this balancer's transmissions: those out, the overdue ones twice, and
    /// those that failed a moment ago; one may turn away one method unseen and serve the others.
    fn held(&self, now: Time, late: Time, method: &Id) -> f64 {
        let overdue = self.out.iter().filter(|sent| **sent + late < now).count();
        let scars =
            self.scars.iter().filter(|(at, m)| at + SCAR > now && m.as_ref().is_none_or(|m| m == method));
        (self.out.len() + overdue + scars.count()) as f64
    }
}

// ------------------------------------------------------------------------------------------------- methods

/// A method of which nothing is known yet.
fn method(promise: &MethodPolicy) -> Method {
    // Before anything completed: a fifth and a half of the soft deadline.
    let expected = promise.soft.unwrap_or(SECOND) as f64;
    let times = Times { mean: expected * 0.2, late: expected * 0.5, each: expected * 0.2, whole_try: 0 };
    Method { promise: promise.clone(), times: Cell::new(times) }
}

/// About the time of an answer: shorter is noise, longer keeps the gate open into a trouble.
const ANSWERS_FOR: f64 = 1.5 * SECOND as f64;

pub struct Balancer<H: Host> {
    host: H,
    rng: WyRand,
    now: Time,
    /// What the terms say; replaced whole by new ones.
    agreed: ValidatedSettings,
    methods: Vec<Rc<Method>>,
    purse: Purse,
    /// Emptied by the list: an upstream that is gone leaves with its last transmission.
    upstreams: BTreeMap<Id, Upstream>,
    /// Emptied by final answers: an answered RPC leaves with its last transmission.
    rpcs: BTreeMap<Id, Rpc>,
    list: Following,
    gate: Gate,
    /// Retry budget: further transmissions that may be made now.
    spare: f64,
    /// How often the keys of each part of the circle came of late, and as of when.
    keys: Vec<f64>,
    keys_at: Time,
    /// What upstreams of one kind take against the others, as a logarithm; emptied by the list.
    kinds: BTreeMap<String, f64>,
    /// How busy the upstreams it uses report to be of late, if any has reported.
    busy: Option<f64>,
    /// What they report to hold beside this balancer's own, likewise.
    crowd: Option<f64>,
    /// Transmissions a second, and those turned away of them; when that was last brought up to date, and when
    /// the first one was.
    rate: f64,
    turned: f64,
    rate_at: Time,
    rate_from: Option<Time>,
}

/// Long enough to ride out bursts.
const RATE_MEMORY: f64 = 10.0 * SECOND as f64;

/// What a report says of the moment holds for some answers; what sets an upstream apart, for long.
const SOON: f64 = 0.2 * SECOND as f64;
const LONG: f64 = 10.0 * SECOND as f64;

impl<H: Host> Balancer<H> {
    pub fn new(host: H, now: Time, seed: u64, terms: &Settings) -> Result<Self, InvalidSetting> {
        let mut balancer = Balancer {
            host,
            rng: WyRand::new_seed(seed),
            now,
            agreed: ValidatedSettings::default(),
            methods: Vec::new(),
            purse: Purse::default(),
            upstreams: BTreeMap::new(),
            rpcs: BTreeMap::new(),
            list: Following::default(),
            gate: Gate { calm: f64::INFINITY, ..Gate::default() },
            spare: MOST_SPARE,
            keys: vec![0.0; KEY_PARTS],
            keys_at: now,
            kinds: BTreeMap::new(),
            busy: None,
            crowd: None,
            rate: 0.0,
            turned: 0.0,
            rate_at: now,
            rate_from: None,
        };
        balancer.update_settings(now, terms)?;
        Ok(balancer)
    }

    /// Takes new terms, whole or not at all. Open RPCs keep the method that they were taken under; breakers,
    /// reports, starts and what was learnt under the same name stay. Guards against an effect, a group or a
    /// deadline that changes under an RPC which may have run.
    pub fn update_settings(&mut self, now: Time, terms: &Settings) -> Result<(), InvalidSetting> {
        let agreed = ValidatedSettings::read(terms)?;
        self.now = now;
        let told_otherwise = agreed.report != self.agreed.report;
        let known = |promise: &MethodPolicy| {
            let method = method(promise);
            let before = self.methods.iter().find(|m| m.promise.name == promise.name);
            before.into_iter().for_each(|before| method.times.set(before.times.get()));
            Rc::new(method)
        };
        let methods = agreed.methods.iter().map(known).collect();
        self.purse.agree(now, &agreed.tenants, agreed.instances);
        (self.methods, self.agreed) = (methods, agreed);
        if told_otherwise {
            // What stood at one place of a report may stand for something else from now on.
            self.upstreams.values_mut().for_each(|u| (u.utilisation, u.others) = (None, None));
            (self.busy, self.crowd) = (None, None);
        }
        self.draw_circle();
        if !self.list.following {
            self.ask_later(self.list.failures);
        }
        Ok(())
    }

    /// What the fleet grants from now on, in place of even parts of tenants' shares: two rates a second, each
    /// until a time; and of transmissions beyond the first and trials, where it divides these; whole or not.
    pub fn set_budget_rates(
        &mut self,
        now: Time,
        of: &[(&str, [(f64, Time); 2])],
    ) -> Result<(), InvalidSetting> {
        self.now = now;
        self.purse.grant(now, of)
    }

    /// How often a transmission beyond the first would have been of use, since the start.
    pub fn retries_wanted(&self) -> u64 {
        self.purse.wished
    }

    /// Whether upstreams report what they hold, or what waits there.
    fn counted(&self) -> bool {
        let [_, held, waiting] = self.agreed.report;
        held.or(waiting).is_some()
    }

    // ---------------------------------------------------------------------------------- following the list

    /// Asks again after a spread-out wait, in time to have asked; two leave room in the 6 s of being told.
    fn ask_later(&mut self, failures: u32) {
        if let Some(within) = self.agreed.ask_within {
            // At start a twentieth of it: enough to spread a fleet that starts at once; doubled by failures.
            let most = ((within / 20) << failures.min(3)).min(5 * SECOND / 4) as f64;
            let wait = (most * (0.5 + 0.5 * self.rng.generate::<f64>())) as Time;
            self.set_ask(wait);
        }
    }

    /// Guards against calls that multiply in a long failure of the list: one is pending.
    fn set_ask(&mut self, wait: Time) {
        self.list.asks += 1;
        self.host.set_timer(wait.max(1), Timer::EndpointPoll(self.list.asks));
    }

    pub fn watch_failed(&mut self, now: Time) {
        self.now = now;
        self.list.following = false;
        self.list.failures += 1;
        self.ask_later(self.list.failures);
    }

    pub fn snapshot_started(&mut self, now: Time, full: bool) {
        self.now = now;
        self.list.reading_full = full;
        self.upstreams.values_mut().for_each(|u| u.seen = false);
    }

    pub fn upstream_ready(&mut self, id: &str, zone: &str, cell: &str, kind: &str, started: Time) {
        let now = self.now;
        // All balancers hear of a start at once: a random phase keeps their first sends apart.
        let (told, known) = (started, self.upstreams.get(id).is_some_and(|u| u.told == started));
        // Guards against a start in the far future: an upstream cold, and its reports out, for good.
        let started = started.min(now + self.agreed.cold.warm_within as Time);
        let gap = if known { None } else { self.cold_gap(started) };
        let phase = gap.map_or(0, |gap| (gap * self.rng.generate::<f64>()) as Time);
        let u = self.upstreams.entry(Id::from(id)).or_default();
        (u.seen, u.leaving, u.gone) = (true, false, false);
        (u.zone, u.cell, u.kind) = (zone.to_owned(), cell.to_owned(), kind.to_owned());
        if !known {
            // A process that restarted is a new upstream to the breaker; what is out was the old one's.
            (u.told, u.started, u.cold_next) = (told, started, now + phase);
            (u.utilisation, u.others, u.pace) = (None, None, None);
            u.breaker = Breaker { epoch: u.breaker.epoch + 1, ..Breaker::default() };
            u.scars.clear();
        }
    }

    pub fn upstream_draining(&mut self, id: &str) {
        if let Some(u) = self.upstreams.get_mut(id) {
            (u.seen, u.leaving) = (true, true);
        }
    }

    pub fn upstream_removed(&mut self, id: &str) {
        self.upstream_draining(id);
        self.upstreams.get_mut(id).into_iter().for_each(|u| u.gone = true);
    }

    /// `fresh` is false for the list that an instance held before and is handed at its start.
    pub fn snapshot_complete(&mut self, fresh: bool) {
        if self.list.reading_full {
            // An upstream that a full list leaves out is gone.
            for u in self.upstreams.values_mut().filter(|u| !u.seen) {
                (u.leaving, u.gone) = (true, true);
            }
        }
        self.upstreams.retain(|_, u| !u.gone || !u.out.is_empty());
        self.kinds.retain(|kind, _| self.upstreams.values().any(|u| u.kind == *kind));
        self.draw_circle();
        if fresh {
            (self.list.following, self.list.failures) = (true, 0);
        }
    }

    /// Orders the upstreams from this balancer's place on: one of its own zone, one of the others, and so on.
    /// Guards against a jam that runs along the circle, from one to the same few others at all balancers:
    /// some share a circle, and the next have another.
    fn draw_circle(&mut self) {
        /// Enough to cover a circle evenly, few enough that there are many circles.
        const SHARED: usize = 16;
        /// Its multiples spread evenly over a circle, whichever of the numbers share a zone.
        const GOLDEN_SECTION: f64 = 0.618_033_988_749_895;
        let number = self.agreed.number;
        let (which, place) = ((number / SHARED) as u64, (number as f64 * GOLDEN_SECTION).fract());
        self.list.order = self.circle(which, place, true, |_| 0.0);
    }

    /// An order of all upstreams; those of larger size come early in more of the orders, in proportion. Near
    /// and far ones in turn, where zones count.
    fn circle(&self, which: u64, place: f64, zones: bool, size: impl Fn(&Upstream) -> f64) -> Vec<Id> {
        let usable = self.upstreams.iter().filter(|(_, u)| !u.leaving);
        let in_order = |near: bool| {
            let part = usable.clone().filter(|(_, u)| (zones && u.zone == self.agreed.zone) == near);
            let at = |(id, u): (_, &Upstream)| {
                let share = hash((which, id)) as f64 / u64::MAX as f64;
                (-(-share).ln_1p() / size(u).exp(), Id::clone(id))
            };
            let mut part: Vec<(f64, Id)> = part.map(at).collect();
            part.sort_by(|a, b| a.0.total_cmp(&b.0));
            let start = (part.len() as f64 * place) as usize;
            part.rotate_left(start);
            part
        };
        let (near, far) = (in_order(true), in_order(false));
        let turns = (0..near.len().max(far.len())).flat_map(|i| [near.get(i), far.get(i)]);
        turns.flatten().map(|(_, id)| Id::clone(id)).collect()
    }

    /// How many upstreams this balancer spreads over. Guards against knowing nothing of any of hundreds.
    fn reach(&self) -> usize {
        /// Each is used about once in this time: reports are about as old, and older ones mislead.
        const FRESH: f64 = 1.0;
        /// Enough that one bad upstream or two are not missed, few enough to learn of.
        const LEAST: f64 = 6.0;
        // Counts tell more of each one, and with it which of many is empty.
        let least = if self.counted() { 2.0 * LEAST } else { LEAST };
        ((self.rate * FRESH).max(least) as usize).min(self.list.order.len().max(1))
    }

    // ----------------------------------------------------------------------------------------- cold budget

    /// The share of its capacity that an upstream has at the least, by the time since its start.
    fn warmth(&self, started: Time) -> f64 {
        if started == 0 {
            return 1.0;
        }
        let age = self.now.saturating_sub(started) as f64;
        (self.agreed.cold.from + (1.0 - self.agreed.cold.from) * age / self.agreed.cold.warm_within).min(1.0)
    }

    /// How many upstreams the list names, and how many of them are avoided now.
    pub fn upstream_counts(&self) -> (usize, usize) {
        let listed = || self.upstreams.values().filter(|u| !u.gone);
        (listed().count(), listed().filter(|u| u.leaving || u.breaker.state != State::Closed).count())
    }

    /// How many upstreams are in use, warm or cold.
    fn ready(&self) -> f64 {
        self.list.order.len().max(1) as f64
    }

    /// The least time between two sends of this balancer to an upstream that is still cold.
    fn cold_gap(&self, started: Time) -> Option<f64> {
        /// All balancers together stay at this share of the budget if each does; the rest is for chance.
        const SAFETY: f64 = 0.6;
        let warmth = self.warmth(started);
        if warmth >= 1.0 {
            return None;
        }
        // What a warm upstream gets of this balancer, over how busy that keeps it, is its part of the
        // capacity; the number of balancers cancels out, and so does how few each of them uses.
        // Guards against the fall of cold upstreams among many that are full or dead: what these turn away is
        // sent again elsewhere, and taken for what an upstream does it would show each one twice as large.
        // Guards against the fall of a cold upstream by keys: they lead to any of all upstreams, and one that
        // is cold has met none, which makes for two to three times the work.
        let (reach, met) =
            if self.agreed.warm_keys { (self.ready(), 0.33) } else { (self.reach() as f64, 1.0) };
        let busy = self.busy.unwrap_or(1.0);
        // A balancer that has sent nothing yet takes the budget for one send in a window by all balancers.
        let least = 1.0 / (self.agreed.cold.window / SECOND as f64 * self.agreed.instances);
        let part = ((self.rate - self.turned).max(0.0) / reach / busy.clamp(0.3, 1.0)).max(least);
        Some(SECOND as f64 / (SAFETY * met * self.agreed.cold.multiple * warmth * part))
    }

    fn count_send(&mut self, id: &str) {
        self.rate_from = self.rate_from.or(Some(self.now));
        let kept = fade(self.now - self.rate_at, RATE_MEMORY);
        (self.rate, self.turned) = (self.rate * kept + SECOND as f64 / RATE_MEMORY, self.turned * kept);
        self.rate_at = self.now;
        let started = self.upstreams.get(id).map_or(0, |u| u.started);
        if let Some(gap) = self.cold_gap(started) {
            self.upstreams.get_mut(id).into_iter().for_each(|u| u.cold_next = self.now + gap as Time);
        }
    }

    // ------------------------------------------------------------------------------------------------ pick

    /// Rules 2, 3 and 4, and nothing else: whether this RPC may go to this upstream now.
    fn may_send(&self, rpc: &Rpc, id: &str) -> bool {
        let Some(u) = self.upstreams.get(id) else { return false };
        let most = rpc.is_out() || rpc.txs.len() >= self.agreed.max_tx;
        // Told that it drains or is gone: nothing new at once, the grace is left unused.
        let shut = u.leaving || (self.now < u.cold_next && self.warmth(u.started) < 1.0);
        if rpc.done || self.now >= rpc.hard || most || shut {
            return false;
        }
        let m = &rpc.method.promise;
        let Some(first) = rpc.may_have_run() else { return true };
        let in_window = rpc.written_by(self.agreed.tick).is_none_or(|by| self.now < by);
        match m.repeat {
            Idempotency::Idempotent => true,
            Idempotency::DedupedEverywhere => in_window,
            Idempotency::DedupedInZone => in_window && u.zone == first.zone,
            Idempotency::DedupedInCell => in_window && u.cell == first.cell,
            Idempotency::NotIdempotent => false,
        }
    }

    /// What an upstream holds, by its reports and by what this balancer has out there. Guards against reports
    /// that are seconds old and pass for what is: their weight fades.
    fn ahead(&self, u: &Upstream, m: &Method) -> f64 {
        let (now, crowd) = (self.now, self.crowd.unwrap_or(0.0));
        let told = u.others.map_or(0.0, |(n, usual, at)| {
            (usual - crowd) * fade(now - at, LONG) + (n - usual) * fade(now - at, SOON)
        });
        u.held(now, m.times.get().late as Time, &m.promise.name) + crowd + told
    }

    /// How long an RPC takes there against the usual, for each that it holds; known where that is counted.
    fn pace(&self, u: &Upstream) -> f64 {
        let pace = u.pace.filter(|_| self.counted());
        pace.map_or(1.0, |(pace, at)| 1.0 + (pace - 1.0) * fade(self.now - at, LONG))
    }

    /// A draw among the upstreams that the rules and the breakers allow, weighted by reported headroom.
    fn pick(&mut self, rpc: &Rpc) -> Option<Id> {
        /// The design's floor, well under one half: a full upstream still gets news of itself now and then.
        const FLOOR: f64 = 0.05;
        /// Own-zone upstreams weigh up to this much more, by what it costs to leave the zone: the headroom
        /// still outweighs it when they are nearly full.
        const NEAR: f64 = 8.0;
        const PER_CROSSING: f64 = 250.0;
        /// What the place after a key's own weighs, and so on: there the key is met anew.
        const AWAY: f64 = 0.03;
        /// So many places beyond its own are looked at for a key, near and far.
        const BEYOND: usize = 4;
        /// Steep enough that the draw keeps off a crowded upstream as long as others have room; twice as
        /// steep where counts tell which one is empty.
        const CROWDED: i32 = 8;
        let (now, counted) = (self.now, self.counted());
        let crowded = if counted { 2 * CROWDED } else { CROWDED };
        let cost = Some(self.agreed.crossing).filter(|cost| *cost > 0.0);
        let nearness = cost.map_or(NEAR, |cost| (PER_CROSSING * cost).clamp(1.0, NEAR));
        let steady = rpc.method.promise.repeat == Idempotency::NotIdempotent;
        // A key that few ask for has one place for all zones: in each it would have to be met anew.
        let rare = rpc.key.is_some() && rpc.places <= 1;
        let (order, reach) = match rpc.key {
            Some(key) => {
                let size = |u: &Upstream| self.kinds.get(&u.kind).copied().unwrap_or(0.0);
                (self.circle(key, 0.0, !rare, size), 2 * (rpc.places + BEYOND))
            }
            None => (self.list.order.clone(), self.reach()),
        };
        // Closed upstreams from this balancer's place on, as many as it spreads over; the others it passed.
        let (mut near, mut shut): (Vec<Id>, Vec<Id>) = (Vec::new(), Vec::new());
        for id in order {
            if near.len() >= reach {
                break;
            }
            if !self.may_send(rpc, &id) {
                continue;
            }
            let Some(u) = self.upstreams.get_mut(&id) else { continue };
            // A trial is a risk for an RPC that gets one chance; where this one has been is the last resort.
            let passes = u.breaker.passes(now);
            if u.breaker.state != State::Closed && !self.purse.may_try(now, &mut u.tried) {
                continue;
            }
            let open = !passes || steady && u.breaker.state == State::HalfOpen;
            let list = if open || rpc.txs.iter().any(|t| t.upstream == id) { &mut shut } else { &mut near };
            list.push(id);
        }
        // Nothing closed: an answer from an open upstream beats none at all.
        let ids = if near.is_empty() { shut } else { near };
        let us: Vec<&Upstream> = ids.iter().filter_map(|id| self.upstreams.get(id)).collect();
        let holds = |u: &&Upstream| (1.0 + self.ahead(u, &rpc.method)) * self.pace(u) - 1.0;
        let held: Vec<f64> = us.iter().map(holds).collect();
        let part = if counted { 0.0 } else { mean(held.iter().copied()).unwrap_or(0.0) };
        let usual = 1.0 - mean(us.iter().filter_map(|u| u.utilisation)).unwrap_or(0.0);
        // Guards against starved successors: cold ones lack the weight, also where all stand in one zone.
        let zoned = !rare && us.iter().any(|u| u.zone != self.agreed.zone);
        let weigh = |(u, held): (&&Upstream, &f64)| {
            let warmth = self.warmth(u.started);
            let weight = u.utilisation.map_or(usual, |used| 1.0 - used).max(FLOOR) * warmth;
            // Not while it is cold: the callers near a zone that comes back would all crowd it.
            let near = zoned && u.zone == self.agreed.zone && warmth >= 1.0;
            let weight = if near { weight * nearness } else { weight };
            // Guards against upstreams that swallow RPCs, stand still, are crowded by what no report shows
            // or fail fast and so look idle: who holds more draws less. What is overdue counts twice, what
            // failed for a while as if it were out. Being against the mean, shared troubles cancel out.
            weight * ((1.0 + part) / (1.0 + held.max(part))).powi(crowded)
        };
        let mut weights: Vec<f64> = us.iter().zip(&held).map(weigh).collect();
        let mut passed = [0, 0];
        for (weight, u) in weights.iter_mut().zip(&us).filter(|_| rpc.key.is_some()) {
            let rank = &mut passed[usize::from(!rare && u.zone == self.agreed.zone)];
            *rank += 1;
            *weight *= AWAY.powi((*rank - rpc.places.min(*rank)) as i32);
        }
        let mut left = self.rng.generate::<f64>() * weights.iter().sum::<f64>();
        let drawn = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        ids.get(drawn.unwrap_or(ids.len().saturating_sub(1))).cloned()
    }

    // -------------------------------------------------------------------------------------------- transmit

    fn send(&mut self, rpc_id: &Id) -> Sent {
        /// News enough to give an RPC up for. Guards against a balancer of few RPCs that learns of a jam,
        /// sends nothing from then on, and never learns that it has passed.
        const NEWS: Time = 2 * SECOND;
        // Taken out for the pick, which looks at all upstreams while it reads this one RPC.
        let Some(rpc) = self.rpcs.remove(rpc_id) else { return Sent::Nowhere };
        let id = self.pick(&rpc);
        let news = |u: &&Upstream| u.others.is_some_and(|(_, _, at)| self.now < at + NEWS);
        // Guards against work for answers that come too late, which crowds upstreams until they turn slow.
        let late = id.as_ref().and_then(|id| self.upstreams.get(id)).filter(news).is_some_and(|u| {
            let each = rpc.method.times.get().each * self.pace(u);
            self.now as f64 + (1.0 + self.ahead(u, &rpc.method)) * each >= rpc.until as f64
        });
        self.rpcs.insert(rpc_id.clone(), rpc);
        match id {
            Some(_) if late => Sent::Late,
            Some(id) if self.transmit(rpc_id, &id) => Sent::Out,
            _ => Sent::Nowhere,
        }
    }

    /// The only place that sends. Every rule is checked here, whatever the caller has checked before.
    fn transmit(&mut self, rpc_id: &Id, id: &Id) -> bool {
        let Some(rpc) = self.rpcs.get(rpc_id).filter(|rpc| self.may_send(rpc, id)) else { return false };
        let time_out = self.time_out(rpc);
        let ahead = self.upstreams.get(id).map_or(0.0, |u| self.ahead(u, &rpc.method));
        self.count_send(id);
        let (rpc, u) = (self.rpcs.get_mut(rpc_id), self.upstreams.get_mut(id));
        let (Some(rpc), Some(u)) = (rpc, u) else { return false };
        let trial = u.breaker.state == State::HalfOpen;
        u.breaker.trials_out += u32::from(trial);
        if u.breaker.state != State::Closed {
            self.purse.tried(self.now, &mut u.tried);
        }
        u.out.push(self.now);
        rpc.waiting = false;
        let written_by = rpc.written_by(self.agreed.tick);
        rpc.txs.push(Tx {
            upstream: id.clone(),
            zone: u.zone.clone(),
            cell: u.cell.clone(),
            sent: self.now,
            epoch: u.breaker.epoch,
            trial,
            ahead,
            end: None,
        });
        self.host.start_attempt(rpc_id, id, time_out, written_by);
        true
    }

    /// The article's time-out of one transmission, where another may follow it in time; else what is left.
    /// Guards against upstreams that serve most RPCs and never answer some: no breaker opens on those.
    fn time_out(&self, rpc: &Rpc) -> Time {
        /// Times what few exceed: of a thousand calm answers five take so long; the least that leaves room.
        const MOST: f64 = 2.5;
        const LEAST: f64 = 1.5;
        /// Busier upstreams are slow because they are: giving up on them wastes what they have done.
        const CALM: f64 = 0.6;
        let (m, times) = (&rpc.method.promise, rpc.method.times.get());
        // The start value of the mark takes some hundred answers to wear off, that of the mean some thirty.
        let late = times.late.min(2.2 * times.mean);
        let cut = (rpc.until as f64 - self.now as f64 - 1.5 * times.mean).min(MOST * late);
        let calm = self.busy.is_none_or(|busy| busy < CALM) && cut >= LEAST * late;
        let follows = m.repeat != Idempotency::NotIdempotent
            && rpc.txs.len() + 1 < self.agreed.max_tx
            && self.spare >= 2.0
            && self.purse.may_repeat(self.now);
        (if follows && calm { cut as Time } else { Time::MAX }).min(rpc.hard - self.now)
    }

    // ----------------------------------------------------------------------------- further transmissions

    /// Sends once more if that may help, within the maximum, the time left and the retry budget.
    fn send_further(&mut self, rpc_id: &Id) -> bool {
        /// Guards against a budget run dry where upstreams turn much away, which costs them next to nothing.
        const TURNED_AWAY: f64 = 0.1;
        let Some(rpc) = self.rpcs.get(rpc_id) else { return false };
        let mean = rpc.method.times.get().mean;
        let cost = if rpc.may_have_run().is_none() { TURNED_AWAY } else { 1.0 };
        // The operators' way: only if the time left exceeds the time that it is expected to take.
        if self.spare < cost || self.now as f64 + mean > rpc.until as f64 || !self.purse.wish(self.now) {
            return false;
        }
        let sent = self.send(rpc_id) == Sent::Out;
        self.spare -= if sent { cost } else { 0.0 };
        self.purse.repeated(self.now, sent);
        sent
    }

    /// Takes what a finished transmission says of how long the method takes, and the upstream against others.
    fn learn_times(&mut self, tx: &Tx, m: &Method, took: Time, completed: bool) {
        /// What few exceed: a transmission out for longer counts as overdue.
        const QUANTILE: f64 = 0.95;
        /// A step of a thirtieth follows a change of load within some thirty answers.
        const STEP: f64 = 0.03;
        /// An upstream is met seldom; a larger step would be the chance of single RPCs to a high power.
        const PACE_STEP: f64 = 0.1;
        let (mut t, took) = (m.times.get(), took as f64);
        let each = took / (1.0 + tx.ahead);
        if completed {
            t.mean += STEP * (took - t.mean);
            t.each += STEP * (each - t.each);
        }
        let step = if took > t.late { QUANTILE } else { QUANTILE - 1.0 };
        t.late *= if completed || took > t.late { 1.0 + STEP * step } else { 1.0 };
        t.late = t.late.max(t.mean);
        m.times.set(t);
        // Guards against upstreams that hold few RPCs and take long for each: old ones, crowded ones.
        let pace = (each / t.each.max(1.0)).clamp(0.2, 10.0);
        let Some(u) = self.upstreams.get(&tx.upstream).filter(|u| tx.sent >= u.started) else { return };
        let was = self.pace(u);
        let pace = Some((was + PACE_STEP * (pace - was), self.now)).filter(|_| completed || pace > was);
        self.upstreams.get_mut(&tx.upstream).into_iter().for_each(|u| u.pace = pace.or(u.pace));
    }

    // ------------------------------------------------------------------------------------------- admission

    /// What an RPC is worth, as a share of the highest gain, by its method's gain and tenant share; none if
    /// what is beyond the share is refused.
    fn value(&mut self, gain: f64, tenant: &str) -> Option<f64> {
        let within = self.purse.spend(self.now, tenant);
        let over = (!self.agreed.refuse_over_share).then_some(gain * self.agreed.over_share_gain);
        Some(gain).filter(|_| within).or(over)
    }

    /// Until when an answer counts as in time. A client's tries share one soft deadline, so what is left
    /// of it for a later try is told by how far the client has cut its time.
    fn soft_deadline(&self, m: &Method, time_left: Time) -> Time {
        let (now, tick) = (self.now, self.agreed.tick);
        let mut times = m.times.get();
        times.whole_try = times.whole_try.max(time_left);
        m.times.set(times);
        match (m.promise.soft, m.promise.hard) {
            (Some(soft), Some(hard)) if self.agreed.tier == 0 && time_left + 2 * tick < times.whole_try => {
                now.max((now + time_left + soft).saturating_sub(hard)).min(now + time_left)
            }
            (Some(soft), _) if self.agreed.tier == 0 => now + soft.min(time_left),
            _ => now + time_left,
        }
    }

    /// Whether an RPC of this value is taken on now: by Little's law the open RPCs over the rate of answers
    /// is the time that the next answer takes, and that must leave room before the soft deadline.
    /// Guards against overload, where all would be answered too late.
    fn admits(&mut self, value: f64) -> bool {
        /// The part of the soft deadline that answers may take on average: chance about doubles it.
        const ROOM: f64 = 0.8;
        /// Times the calm answer time: beyond it upstreams are crowded and turn slow. A fifth of it at the
        /// least, where counts tell a jam late.
        const STRETCH: f64 = 4.0;
        /// Guards against shutting on slowness that shedding does not cure.
        const KEPT: f64 = 0.8;
        /// Guards against shutting altogether: with nothing open there are no answers to learn from.
        const FEW: f64 = 4.0;
        let Some(soft) = self.methods.iter().filter_map(|m| m.promise.soft).max() else { return true };
        // Guards against shedding by chance: where counts are reported, and say that there is room, there is.
        let room = self.counted() && self.busy.is_some_and(|busy| busy < 0.5);
        // Nothing is known of the rate of answers for half a soft deadline after the first.
        if room || self.agreed.tier > 0 || self.gate.from.is_none_or(|from| self.now < from + soft / 2) {
            return true;
        }
        // Those past the soft deadline may be swallowed; merely late they count as no answers either.
        let open = self.rpcs.values().filter(|r| !r.done && self.now < r.arrived + soft).count() as f64;
        let memory = self.memory();
        let kept = fade(self.now - self.gate.open_at, (memory - ANSWERS_FOR).max(1.0));
        let open = open + (self.gate.open - open) * kept;
        (self.gate.open, self.gate.open_at) = (open, self.now);
        let steadier = ANSWERS_FOR / memory;
        let target = (ROOM * soft as f64).min(STRETCH * (0.2 + 0.8 * steadier) * self.gate.calm);
        let limit = self.answer_rate().max(KEPT * (0.4 + 0.6 * steadier) * self.gate.best * self.ready())
            * target
            / SECOND as f64;
        // Open RPCs scatter by the root of their mean with nothing wrong; by less over a longer time.
        let limit = limit.max(FEW * steadier);
        let limit = limit + (limit * steadier).sqrt();
        // What is worth nothing stops at half the limit, two thirds of the highest gain at the limit. A small
        // balancer tells a jam late: where upstreams are two thirds busy, it starts at a fifth.
        let full = ((self.busy.unwrap_or(0.0) - 0.65) / 0.2).clamp(0.0, 1.0);
        let least = 0.5 - 0.4 * full * (1.0 - steadier);
        open < limit * (least + (1.0 - least) * (1.5 * value).min(1.0))
    }

    /// How long answers are kept for: guards against a gate that in a balancer of few RPCs sees only chance.
    fn memory(&self) -> f64 {
        /// A dozen answers tell the rate to a third.
        const DOZEN: f64 = 12.0;
        /// Longer would sleep through a burst.
        const MOST: f64 = 6.0 * SECOND as f64;
        // Guards against a busy balancer that takes itself for a small one in its first seconds.
        let seen = 1.0 - fade(self.now - self.rate_from.unwrap_or(self.now), RATE_MEMORY);
        (DOZEN * SECOND as f64 / (self.rate / seen.max(0.05)).max(0.1)).clamp(ANSWERS_FOR, MOST)
    }

    /// Answers a second; the time before the first one counts for nothing.
    fn answer_rate(&self) -> f64 {
        let (g, memory) = (&self.gate, self.memory());
        let seen = 1.0 - fade(self.now - g.from.unwrap_or(self.now), memory);
        g.answers * fade(self.now - g.at, memory) * SECOND as f64 / memory / seen.max(0.01)
    }

    /// One that comes after the soft deadline counts for nothing.
    fn count_answer(&mut self, m: &Method, arrived: Time) {
        let (took, memory, soft) = (self.now - arrived, self.memory(), m.promise.soft);
        let Some(took) = Some(took).filter(|took| soft.is_none_or(|soft| *took <= soft)) else { return };
        let (g, took) = (&mut self.gate, took as f64);
        g.from = g.from.or(Some(self.now));
        let age = g.from.map_or(0, |from| self.now - from);
        // Guards against quick first answers that pass for the calm time: a score after half a second tell it
        // to a sixth. Then some twenty seconds of answers to believe that what was slow is the usual.
        if age > SECOND / 2 {
            g.seen += 1.0;
            g.mean += (took - g.mean) * g.seen.recip().max(0.02);
        }
        if g.seen >= 20.0 {
            g.calm = if g.mean < g.calm { g.mean } else { g.calm + 0.001 * (g.mean - g.calm) };
        }
        g.answers = g.answers * fade(self.now - g.at, memory) + 1.0;
        g.best *= (1.0 - (self.now - g.at) as f64 / (12.0 * SECOND as f64)).max(0.0);
        g.at = self.now;
        if age > 2 * SECOND {
            // Guards against a limit from before the fleet shrank, and against a best that is chance: the
            // rate is kept for each upstream, and one root is taken off.
            let rate = self.answer_rate();
            let counted = (rate * memory / SECOND as f64).max(1.0);
            let rate = rate * (1.0 - counted.sqrt().recip()) / self.ready();
            self.gate.best = self.gate.best.max(rate);
        }
    }

    // ----------------------------------------------------------------------------------------------- RPCs

    pub fn rpc_arrived(&mut self, now: Time, id: &str, method: &str, tenant: &str, key: &str, left: Time) {
        self.now = now;
        /// Further transmissions an RPC earns: all tiers together then stay under twice the work.
        const EARNED: f64 = 0.1;
        self.spare = (self.spare + EARNED).min(MOST_SPARE);
        let id = Id::from(id);
        let Some(method) = self.methods.iter().find(|m| *m.promise.name == *method).cloned() else {
            // A method that the terms do not name: nothing is known of it but that it was not sent.
            return self.host.reject(&id, 0);
        };
        let (soft, hard) = (self.soft_deadline(&method, left), now + left);
        let (gain, late_gain) = (method.promise.gain, method.promise.late_gain);
        let late = if soft as f64 <= now as f64 + method.times.get().mean { late_gain } else { 1.0 };
        let value = self.value(gain, tenant);
        let admitted = value.is_some_and(|value| self.admits(value * late));
        let until = if late_gain > 0.0 { hard } else { soft };
        let (key, places) = self.count_key(key);
        let (done, waiting, txs) = (false, false, Vec::new());
        let rpc = Rpc { method, key, places, arrived: now, soft, hard, until, done, waiting, txs };
        self.rpcs.insert(id.clone(), rpc);
        if admitted {
            self.send_or_hold(&id);
        } else {
            self.finish(&id);
        }
    }

    /// The key on the circle, and how many places it has there: more by what part of this balancer's RPCs it
    /// makes up. Guards against a key that many ask for and one upstream that serves it.
    fn count_key(&mut self, key: &str) -> (Option<u64>, usize) {
        /// As long as upstreams remember a key, or about.
        const MEMORY: f64 = 20.0 * SECOND as f64;
        /// Its share of the near upstreams twice over: shares are uneven, and so are upstreams.
        const ROOMY: f64 = 2.0;
        if !self.agreed.warm_keys || key.is_empty() {
            return (None, 1);
        }
        let key = hash(key);
        let kept = fade(self.now - self.keys_at, MEMORY);
        self.keys.iter_mut().for_each(|n| *n *= kept);
        self.keys_at = self.now;
        let all: f64 = self.keys.iter().sum();
        let n = &mut self.keys[(key % KEY_PARTS as u64) as usize];
        // One that came once came by chance.
        let share = (*n - 1.0).max(0.0) / all.max(1.0);
        *n += 1.0;
        let near = self.upstreams.values().filter(|u| u.zone == self.agreed.zone).count();
        (Some(key), 1 + (ROOMY * share * near as f64) as usize)
    }

    /// Where nothing may be sent to just now, as when all upstreams are cold, looks again shortly.
    fn send_or_hold(&mut self, id: &Id) {
        /// Short against any deadline here, long against a tick.
        const LOOK: Time = SECOND / 40;
        let sent = self.send(id);
        let Some(rpc) = self.rpcs.get_mut(id).filter(|_| sent != Sent::Out) else { return };
        let mean = rpc.method.times.get().mean as Time;
        if sent == Sent::Nowhere && self.now + LOOK + mean < rpc.soft {
            rpc.waiting = true;
            self.host.set_timer(LOOK, Timer::Queued(Rc::clone(id)));
        } else {
            self.finish(id);
        }
    }

    /// The final answer of an RPC that this balancer gives up: exhausted where that is harmless.
    fn finish(&mut self, id: &Id) {
        let Some(rpc) = self.rpcs.get(id).filter(|rpc| !rpc.done) else { return };
        let repeatable =
            matches!(rpc.method.promise.repeat, Idempotency::Idempotent | Idempotency::DedupedEverywhere);
        if repeatable || rpc.may_have_run().is_none() {
            // Early enough that another try can still be in time, and spread; else for as long as may be.
            let room = rpc.soft.saturating_sub(self.now) as f64 - 1.5 * rpc.method.times.get().mean;
            let most = self.agreed.max_stay_away as f64;
            let spread = 0.5 + 0.5 * self.rng.generate::<f64>();
            let stay_away = if room > 0.0 { room.min(most) * spread } else { most };
            self.host.reject(id, stay_away as Time);
        } else {
            self.host.fail(id);
        }
        self.close(id);
    }

    /// After the final answer: calls off what is out, and forgets the RPC once nothing is.
    fn close(&mut self, id: &Id) {
        let Some(rpc) = self.rpcs.get_mut(id) else { return };
        if !std::mem::replace(&mut rpc.done, true) && rpc.is_out() && self.agreed.cancel {
            self.host.cancel_attempt(id, rpc.txs.len() - 1);
        }
        if !rpc.is_out() {
            self.rpcs.remove(id);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn attempt_ended(
        &mut self,
        now: Time,
        id: &str,
        n: usize,
        outcome: Outcome,
        took: Time,
        ended: bool,
        loads: &[f64],
    ) {
        self.now = now;
        let id = Id::from(id);
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let (method, arrived) = (Rc::clone(&rpc.method), rpc.arrived);
        let Some(tx) = rpc.txs.get_mut(n).filter(|t| t.end.is_none()) else { return };
        tx.end = Some(outcome);
        let tx = tx.clone();
        self.turned += if outcome.never_ran() { SECOND as f64 / RATE_MEMORY } else { 0.0 };
        self.learn_times(&tx, &method, took, outcome == Outcome::Completed);
        self.take_report(&tx.upstream, tx.sent, loads);
        self.tx_left(&tx.upstream, tx.sent);
        self.learn_verdict(&tx, &method, outcome, took);
        let Some(rpc) = self.rpcs.get(&id) else { return };
        if ended || rpc.done {
            if !rpc.done {
                self.count_answer(&method, arrived);
            }
            self.close(&id);
        } else if !rpc.is_out() && !self.send_further(&id) {
            self.finish(&id);
        }
    }

    fn tx_left(&mut self, upstream: &Id, sent: Time) {
        let Some(u) = self.upstreams.get_mut(upstream) else { return };
        u.out.iter().position(|s| *s == sent).map(|at| u.out.swap_remove(at));
        if u.gone && u.out.is_empty() {
            self.upstreams.remove(upstream);
        }
    }

    fn take_report(&mut self, upstream: &str, sent: Time, loads: &[f64]) {
        /// Some dozen reports make the mean.
        const RECENT: f64 = 0.08;
        /// What is usual at one upstream: a handful.
        const USUAL: f64 = 0.2;
        /// Some ten reports that differ by a tenth move the size of a kind by a tenth.
        const SIZE: f64 = 0.1;
        const MOST_SIZE: f64 = 1.5;
        let [used, held, waiting] =
            self.agreed.report.map(|i| i.and_then(|i| loads.get(i)).copied().filter(|v| v.is_finite()));
        // A report of before the last start is the old process's.
        let Some(u) = self.upstreams.get_mut(upstream).filter(|u| sent >= u.started) else { return };
        let step = |of: Option<f64>, to: f64| Some(of.map_or(to, |of| of + RECENT * (to - of)));
        let used = used.map(|used| used.clamp(0.0, 1.0));
        if let Some(used) = used {
            u.utilisation = Some(used);
            let usual = self.busy.unwrap_or(used);
            let size = self.kinds.entry(u.kind.clone()).or_insert(0.0);
            // Guards against keys shared out alike among upstreams of which some take half of what others do.
            *size = (*size + SIZE * (usual - used)).clamp(-MOST_SIZE, MOST_SIZE);
            self.busy = step(self.busy, used);
        }
        // What is held counts the one that was answered.
        if let Some(held) = held.or(waiting.map(|n| n + 1.0)) {
            let others = (held - u.out.len() as f64).max(0.0);
            let usual = u.others.map_or(self.crowd.unwrap_or(others), |(_, usual, _)| usual);
            u.others = Some((others, usual + USUAL * (others - usual), self.now));
            self.crowd = step(self.crowd, others);
        }
    }

    fn learn_verdict(&mut self, tx: &Tx, method: &Method, outcome: Outcome, took: Time) {
        /// More than this many means is slow: four soft deadlines would lie past the hard one.
        const SLOW: f64 = 3.0;
        /// Reports are a little noisy; one core of a dozen idle is not full.
        const FULL: f64 = 0.95;
        /// An error that comes in less than this part of the mean was not waited for below.
        const AT_ONCE: f64 = 0.3;
        let mean = method.times.get().mean;
        let slow = took as f64 > SLOW * mean;
        let verdict = match outcome {
            Outcome::Completed if slow => Some(Verdict::Slow),
            Outcome::Completed => Some(Verdict::Good),
            // Called off by this balancer, or cut to what the caller had left: only lateness is evidence.
            Outcome::Cancelled | Outcome::TimedOut if !slow => None,
            Outcome::NotSent => None,
            Outcome::Failed if (took as f64) >= AT_ONCE * mean => Some(Verdict::Failed),
            Outcome::Rejected | Outcome::Unknown => Some(Verdict::Failed),
            // Silence, no connection, a broken one, or an error at once.
            _ => Some(Verdict::Dead),
        };
        let (now, most_open) = (self.now, self.upstreams.len() / 3);
        let opened = self.upstreams.values().filter(|u| u.breaker.state != State::Closed);
        let open = if verdict == Some(Verdict::Good) { 0 } else { opened.count() };
        let Some(u) = self.upstreams.get_mut(&tx.upstream) else { return };
        // Slow and full by its own report: that is no wait for a tier below.
        let swamped = verdict == Some(Verdict::Slow) && u.utilisation.is_some_and(|used| used >= FULL);
        if swamped || matches!(verdict, Some(Verdict::Failed | Verdict::Dead)) {
            if u.scars.len() == WINDOW {
                u.scars.pop_front();
            }
            u.scars.push_back((now, (outcome == Outcome::Rejected).then(|| method.promise.name.clone())));
        }
        if u.breaker.epoch != tx.epoch {
            return;
        }
        u.breaker.trials_out = u.breaker.trials_out.saturating_sub(u32::from(tx.trial));
        let Some(verdict) = verdict else { return };
        let was = u.breaker.state;
        // Guards against closing off the fleet: what most upstreams share is not this one's fault.
        if u.breaker.judge(verdict, now) && (was == State::HalfOpen || open < most_open) {
            u.breaker.open(now, &mut self.rng);
        }
        if u.breaker.state != was {
            self.host.log(&format!("breaker {}: {was:?} -> {:?}", tx.upstream, u.breaker.state));
        }
    }

    pub fn rpc_abandoned(&mut self, now: Time, id: &str) {
        self.now = now;
        self.close(&Id::from(id));
    }

    /// The last byte has come of an RPC that was sent on while it came: its times count from here.
    pub fn rpc_complete(&mut self, now: Time, id: &str) {
        let Some(rpc) = self.rpcs.get_mut(id) else { return };
        let late = now - std::mem::replace(&mut rpc.arrived, now);
        [&mut rpc.soft, &mut rpc.hard, &mut rpc.until].into_iter().for_each(|at| *at += late);
    }

    /// The answer has begun: it is the client's now, and nothing more is sent for it. Guards against a gate
    /// that takes answers which take long to hand on for work that upstreams do not get done.
    pub fn response_started(&mut self, now: Time, id: &str) {
        self.now = now;
        let Some(rpc) = self.rpcs.get_mut(id).filter(|rpc| !rpc.done) else { return };
        rpc.done = true;
        let (method, arrived) = (Rc::clone(&rpc.method), rpc.arrived);
        self.count_answer(&method, arrived);
    }

    pub fn timer(&mut self, now: Time, timer: &Timer) {
        self.now = now;
        match timer {
            Timer::Queued(id) if self.rpcs.get(id).is_some_and(|rpc| rpc.waiting && !rpc.done) => {
                self.send_or_hold(id);
            }
            Timer::EndpointPoll(poll) if !self.list.following && *poll == self.list.asks => {
                self.host.watch_endpoints();
                if let Some(within) = self.agreed.ask_within {
                    // Should no answer come at all.
                    self.set_ask(within / 2);
                }
            }
            _ => {}
        }
    }
}

/// Parts of the circle in which keys are counted: few that are asked for often share one.
const KEY_PARTS: usize = 256;

/// A short trouble may spend what calm has saved up, no more.
const MOST_SPARE: f64 = 10.0;
