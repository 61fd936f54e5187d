//! Model of one upstream: slots, cores, warm-up, faults and load reports. It has no I/O and no clock of its own.

use crate::scenario::{self, seconds, Choke};
use fernroute::Time;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Finishes the RPCs that it has; discovery lists it as draining.
    Draining,
    /// The process is gone: connections are refused.
    Dead,
    /// The machine is gone: packets get no answer.
    Silent,
}

impl State {
    pub fn serves(self) -> bool {
        matches!(self, State::Up | State::Draining)
    }
}

/// How long reports are kept, in seconds: as long as a fault may delay them.
pub const REPORT_RETENTION_S: f64 = 60.0;

/// An attempt at its upstream.
#[derive(Clone, Debug)]
pub struct Job {
    pub rpc: Rc<str>,
    pub attempt: usize,
    /// The balancer that sent it.
    pub node: usize,
    pub method: usize,
    /// Work on one core over all tiers, and calls to each tier, as drawn for the request.
    pub work: Time,
    pub calls: Rc<[u32]>,
    pub hard: Time,
    /// Remaining calls to the tier below.
    pub calls_left: u32,
    /// The caller has given up.
    pub cancelled: bool,
}

/// The effect of an active fault on an upstream.
#[derive(Clone, Copy, Debug)]
pub enum FaultEffect {
    Slow(f64),
    Errors(f64),
    Hang,
}

pub struct Upstream {
    pub name: Rc<str>,
    pub tier: usize,
    pub zone: usize,
    pub cell: usize,
    pub cores: usize,
    pub slots: usize,
    pub queue: usize,
    pub speed: f64,
    pub state: State,
    pub started: Time,
    pub cold: bool,
    /// Increases with each termination, so that pending events of an earlier process are ignored.
    pub incarnation: u32,
    /// The upstream's own balancer for the tier below.
    pub balancer: Option<usize>,
    pub fault_effects: BTreeMap<usize, FaultEffect>,
    pub paused_until: Time,
    /// Jobs that occupy a slot; `waiting` ones wait for a slot, `ready` ones for a core.
    pub occupied_slots: usize,
    pub waiting: VecDeque<u64>,
    pub ready: VecDeque<u64>,
    pub busy: usize,
    /// Core time used up to `as_of`; `used_at_report` is the value at the last report.
    pub used: u128,
    pub used_at_report: u128,
    pub as_of: Time,
    /// Past reports, for up to [`REPORT_RETENTION_S`].
    pub reports: VecDeque<(Time, f64)>,
    pub choked: bool,
    overloaded_for: Time,
    idle_for: Time,
}

impl Upstream {
    pub fn new(
        name: Rc<str>,
        tier: usize,
        of: &scenario::Tier,
        at: (usize, usize),
        speed: f64,
        now: Time,
    ) -> Self {
        Upstream {
            name,
            tier,
            zone: at.0,
            cell: at.1,
            cores: of.cores,
            slots: of.slots,
            queue: of.queue,
            speed,
            state: State::Up,
            started: now,
            cold: now > 0,
            incarnation: 0,
            balancer: None,
            fault_effects: BTreeMap::new(),
            paused_until: 0,
            occupied_slots: 0,
            waiting: VecDeque::new(),
            ready: VecDeque::new(),
            busy: 0,
            used: 0,
            used_at_report: 0,
            as_of: now,
            reports: VecDeque::new(),
            choked: false,
            overloaded_for: 0,
            idle_for: 0,
        }
    }

    /// Restarts cold and without any jobs; active faults remain.
    pub fn restart(&mut self, now: Time) {
        let fault_effects = std::mem::take(&mut self.fault_effects);
        self.terminate(now);
        (self.fault_effects, self.state, self.started, self.cold) = (fault_effects, State::Up, now, true);
    }

    /// Drops all jobs and reports.
    pub fn terminate(&mut self, now: Time) {
        self.account(now);
        self.incarnation += 1;
        (self.occupied_slots, self.busy, self.choked, self.overloaded_for, self.idle_for) =
            (0, 0, false, 0, 0);
        self.waiting.clear();
        self.ready.clear();
        self.reports.clear();
    }

    pub fn account(&mut self, now: Time) {
        self.used += self.busy as u128 * (now - self.as_of) as u128;
        self.as_of = now;
    }

    pub fn is_hanging(&self) -> bool {
        self.fault_effects.values().any(|a| matches!(a, FaultEffect::Hang))
    }

    pub fn error_share(&self) -> f64 {
        let of = |a: &FaultEffect| if let FaultEffect::Errors(share) = a { *share } else { 0.0 };
        self.fault_effects.values().map(of).fold(0.0, f64::max)
    }

    pub fn warmth(&self, now: Time, from: f64, within: Time) -> f64 {
        if !self.cold {
            return 1.0;
        }
        (from + (1.0 - from) * (now - self.started) as f64 / within.max(1) as f64).min(1.0)
    }

    /// Time that a core needs for this work if it starts now.
    pub fn service_time(&self, work: f64, warmth: f64, choke: Option<&Choke>) -> Time {
        let slow = |a: &FaultEffect| if let FaultEffect::Slow(times) = a { *times } else { 1.0 };
        let slower: f64 = self.fault_effects.values().map(slow).product();
        let choked = if self.choked { choke.map_or(1.0, |c| c.slower) } else { 1.0 };
        (work * slower * choked / (self.speed * warmth)).round().max(1.0) as Time
    }

    /// Adds a load report and updates whether the upstream is choked.
    pub fn report(&mut self, now: Time, period: Time, choke: Option<&Choke>) {
        self.account(now);
        let used = (self.used - self.used_at_report) as f64 / (period as f64 * self.cores as f64);
        self.used_at_report = self.used;
        self.reports.push_back((now, used.min(1.0)));
        while self.reports.len() > 1 && self.reports[1].0 + seconds(REPORT_RETENTION_S) < now {
            self.reports.pop_front();
        }
        let Some(c) = choke else { return };
        let in_progress = (self.occupied_slots + self.waiting.len()) as f64;
        self.overloaded_for =
            if in_progress > c.at * self.cores as f64 { self.overloaded_for + period } else { 0 };
        self.idle_for = if used < c.below { self.idle_for + period } else { 0 };
        if self.overloaded_for > seconds(c.over_s) {
            self.choked = true;
        } else if self.choked && self.idle_for >= seconds(c.rest_s) {
            self.choked = false;
        }
    }

    /// The newest report that is at least `late` old; NaN before the first one.
    pub fn reported(&self, now: Time, late: Time) -> f64 {
        let old = self.reports.iter().rev().find(|(at, _)| at + late <= now);
        old.map_or(f64::NAN, |(_, used)| *used)
    }
}
