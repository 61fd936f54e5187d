//! A slow, plain model of the four rules runs beside the module on generated days; each act must be one
//! that the model allows, and each RPC must end once, in time.

mod common;

use common::{terms, upstream, START};
use fernroute::host::{Host, Outcome, Time, Timer, SECOND};
use fernroute::Balancer;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

const UPSTREAMS: usize = 6;
const MAX_TX: usize = 4;
const WINDOW: Time = 3000;
const OUTCOMES: [Outcome; 8] = [
    Outcome::Completed,
    Outcome::Failed,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::NotSent,
    Outcome::Unknown,
];

#[derive(Default)]
struct Sent {
    upstream: usize,
    at: Time,
    until: Time,
    outcome: Option<Outcome>,
}

struct Taken {
    method: usize,
    hard: Time,
    ended: bool,
    sent: Vec<Sent>,
}

/// All that ever happened, kept for good; every question is answered by reading it through.
#[derive(Default)]
struct Model {
    now: Time,
    rpcs: BTreeMap<String, Taken>,
    /// By upstream: its start, when that was told, and since when it drains or is gone.
    named: BTreeMap<usize, (Time, Time, Option<Time>)>,
    /// Every transmission: when and where.
    all: Vec<(Time, usize)>,
    timers: Vec<(Time, Timer)>,
    /// Calls that an answered RPC's transmissions still owe an outcome for.
    cancelled: Vec<(String, usize)>,
}

impl Model {
    fn number(id: &str) -> usize {
        (0..UPSTREAMS).find(|n| upstream(*n).0 == id).expect("an upstream that a list has named")
    }

    fn may_have_run(rpc: &Taken) -> Option<&Sent> {
        rpc.sent.iter().find(|s| s.outcome.is_none_or(|o| !o.never_ran()))
    }

    fn check_send(&self, rpc: &Taken, to: usize) {
        assert!(!rpc.ended, "rule 1: sent after the final answer");
        assert!(self.now < rpc.hard, "rule 1: sent after the hard deadline");
        assert!(rpc.sent.len() < MAX_TX, "more transmissions than allowed");
        let (started, told, leaving) = self.named.get(&to).expect("rule 3: never named");
        assert!(leaving.is_none(), "rule 3: sent to one that drains or is gone");
        if let Some(first) = Self::may_have_run(rpc) {
            let (_, zone, cell) = upstream(to);
            let (_, first_zone, first_cell) = upstream(first.upstream);
            let in_group = match rpc.method {
                0 => true,
                1 => cell == first_cell,
                3 => zone == first_zone,
                4 => true,
                _ => false,
            };
            assert!(in_group, "rule 2: a repeat outside the group");
            assert!(rpc.method == 0 || self.now < first.at + WINDOW, "rule 2: a repeat after the window");
        }
        self.check_cold(to, *started, *told);
    }

    /// Rule 4 for one of two balancers: no window holds more than its half of the budget, and one for chance.
    fn check_cold(&self, to: usize, started: Time, told: Time) {
        let window = 2 * SECOND;
        let age = self.now.saturating_sub(started) as f64 / 100_000.0;
        if started == 0 || age >= 1.0 {
            return;
        }
        let warmth = 0.2 + 0.8 * age;
        // What warm upstreams can take is at most their part of all sends over the least utilisation.
        let recent = self.all.iter().filter(|(at, _)| at + 10 * SECOND > self.now).count() as f64;
        let ready = self.named.values().filter(|(_, _, leaving)| leaving.is_none()).count().max(1) as f64;
        // Sends fade over ten seconds, so those of before weigh at most as much again.
        let weighed = self.all.len().min((recent * 3.0) as usize + 1) as f64;
        let part = (weighed / 10.0 / ready / 0.3).max(0.25);
        let budget = 3.0 * warmth * part * 2.0;
        let since = told.max(self.now.saturating_sub(window));
        let sent = self.all.iter().filter(|(at, n)| *n == to && *at > since).count() as f64;
        assert!(sent <= budget + 1.0, "rule 4: {sent} in a window of {budget}");
    }
}

#[derive(Clone, Default)]
struct Checker(Rc<RefCell<Model>>);

impl Host for Checker {
    fn start_attempt(&mut self, rpc: &str, upstream: &str, time_out: Time, _: Option<Time>) {
        let mut m = self.0.borrow_mut();
        let (to, at) = (Model::number(upstream), m.now);
        m.check_send(&m.rpcs[rpc], to);
        m.all.push((at, to));
        let taken = m.rpcs.get_mut(rpc).expect("taken");
        assert!(at + time_out <= taken.hard, "rule 1: a time-out past the hard deadline");
        taken.sent.push(Sent { upstream: to, at, until: at + time_out, outcome: None });
    }
    fn cancel_attempt(&mut self, rpc: &str, tx: usize) {
        let mut m = self.0.borrow_mut();
        assert!(tx < m.rpcs[rpc].sent.len(), "cancelled what was never sent");
        m.cancelled.push((rpc.to_owned(), tx));
    }
    fn reject(&mut self, rpc: &str, _stay_away: Time) {
        let mut m = self.0.borrow_mut();
        let taken = m.rpcs.get_mut(rpc).expect("taken");
        assert!(!taken.ended, "rule 1: two final answers");
        let harmless = matches!(taken.method, 0 | 4) || Model::may_have_run(taken).is_none();
        assert!(harmless, "rule 2: exhausted what may have run");
        taken.ended = true;
    }
    fn fail(&mut self, rpc: &str) {
        let mut m = self.0.borrow_mut();
        let taken = m.rpcs.get_mut(rpc).expect("taken");
        assert!(!taken.ended, "rule 1: two final answers");
        taken.ended = true;
    }
    fn set_timer(&mut self, after: Time, timer: Timer) {
        let mut m = self.0.borrow_mut();
        let at = m.now + after;
        m.timers.push((at, timer));
    }
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

struct Day {
    b: Balancer<Checker>,
    model: Rc<RefCell<Model>>,
    next: usize,
}

impl Day {
    fn new() -> Self {
        let checker = Checker::default();
        checker.0.borrow_mut().now = START;
        let model = checker.0.clone();
        let b = Balancer::new(checker, START, 3, &terms(&[])).expect("the terms are whole");
        let mut day = Day { b, model, next: 0 };
        // Only the cached list at first, and not all of the fleet.
        day.list(true, false, &[(0, 0), (1, 0), (2, 0), (3, 0)]);
        day
    }

    fn list(&mut self, full: bool, fresh: bool, ready: &[(usize, Time)]) {
        let now = self.model.borrow().now;
        if full {
            for (_, _, leaving) in self.model.borrow_mut().named.values_mut() {
                *leaving = leaving.or(Some(now));
            }
        }
        for (n, started) in ready {
            let mut m = self.model.borrow_mut();
            let told = m.named.get(n).filter(|was| was.0 == *started).map_or(now, |was| was.1);
            m.named.insert(*n, (*started, told, None));
        }
        self.b.snapshot_started(now, full);
        for (n, started) in ready {
            let (id, zone, cell) = upstream(*n);
            self.b.upstream_ready(&id, zone, &cell, "", *started);
        }
        self.b.snapshot_completed(fresh);
    }

    fn leave(&mut self, n: usize, gone: bool) {
        let now = self.model.borrow().now;
        let known = match self.model.borrow_mut().named.get_mut(&n) {
            Some((_, _, leaving)) => {
                *leaving = leaving.or(Some(now));
                true
            }
            None => false,
        };
        self.b.snapshot_started(now, false);
        if gone || !known {
            self.b.upstream_removed(&upstream(n).0);
        } else {
            self.b.upstream_draining(&upstream(n).0);
        }
        self.b.snapshot_completed(true);
    }

    fn end(&mut self, id: &str, n: usize, outcome: Outcome) {
        let (now, took, ended) = {
            let mut m = self.model.borrow_mut();
            let now = m.now;
            let taken = m.rpcs.get_mut(id).expect("taken");
            taken.sent[n].outcome = Some(outcome);
            taken.ended |= outcome == Outcome::Completed;
            (now, now - taken.sent[n].at, taken.ended)
        };
        self.b.attempt_ended(now, id, n, outcome, took, ended, &[0.4 + 0.1 * (n as f64)]);
    }

    /// Lets time pass; time-outs, called-off transmissions and timers come when they are due.
    fn pass(&mut self, length: Time) {
        let until = self.model.borrow().now + length;
        loop {
            let called_off = self.model.borrow_mut().cancelled.pop();
            if let Some((id, n)) = called_off {
                let open = self.model.borrow().rpcs[&id].sent[n].outcome.is_none();
                if open {
                    self.end(&id, n, Outcome::Cancelled);
                }
                continue;
            }
            let (overdue, timer) = {
                let m = self.model.borrow();
                let overdue = m.rpcs.iter().flat_map(|(id, r)| {
                    let out = r.sent.iter().enumerate().filter(|(_, s)| s.outcome.is_none());
                    out.map(move |(n, s)| (s.until, id.clone(), n))
                });
                let timer = m.timers.iter().enumerate().map(|(n, (at, _))| (*at, n)).min();
                (overdue.min().filter(|o| o.0 <= until), timer.filter(|t| t.0 <= until))
            };
            match (overdue, timer) {
                (Some((at, id, n)), t) if t.is_none_or(|t| at <= t.0) => {
                    self.model.borrow_mut().now = at;
                    self.end(&id, n, Outcome::TimedOut);
                }
                (_, Some((at, n))) => {
                    self.model.borrow_mut().now = at;
                    let (_, timer) = self.model.borrow_mut().timers.swap_remove(n);
                    self.b.timer_fired(at, &timer);
                }
                _ => break,
            }
        }
        self.model.borrow_mut().now = until;
        let m = self.model.borrow();
        let lost = m.rpcs.iter().find(|(_, r)| !r.ended && until >= r.hard);
        assert!(lost.is_none(), "rule 1: no final answer by the hard deadline");
    }

    fn step(&mut self, (kind, a, c): (u8, u16, u16)) {
        let now = self.model.borrow().now;
        let n = usize::from(a) % UPSTREAMS;
        match kind {
            0..=6 => {
                let (id, method) = (format!("r{}", self.next), usize::from(a) % 5);
                self.next += 1;
                let hard = now + 50 + Time::from(c) % (3 * SECOND);
                let taken = Taken { method, hard, ended: false, sent: Vec::new() };
                self.model.borrow_mut().rpcs.insert(id.clone(), taken);
                self.b.rpc_arrived(now, &id, &format!("m{method}"), "", "", hard - now);
            }
            7..=12 => {
                let out: Vec<(String, usize)> = {
                    let m = self.model.borrow();
                    let each = m.rpcs.iter().flat_map(|(id, r)| {
                        let out = r.sent.iter().enumerate().filter(|(_, s)| s.outcome.is_none());
                        out.map(move |(n, _)| (id.clone(), n))
                    });
                    each.collect()
                };
                if let Some((id, n)) = out.get(usize::from(a) % out.len().max(1)) {
                    self.end(id, *n, OUTCOMES[usize::from(c) % OUTCOMES.len()]);
                }
            }
            13..=15 => self.pass(Time::from(c) % SECOND),
            16 => self.leave(n, c % 2 == 0),
            // A restart, perhaps in the middle of its trials, or a newcomer.
            17 => self.list(false, true, &[(n, now - Time::from(c) % 5000)]),
            18 => {
                let kept = [(n, 0), ((n + 1) % UPSTREAMS, 0), ((n + 2) % UPSTREAMS, now - 10)];
                self.list(true, true, &kept);
            }
            19 => self.b.watch_failed(now),
            _ => {
                // The client leaves, perhaps while an answer is under way.
                let open = self.model.borrow().rpcs.iter().find(|(_, r)| !r.ended).map(|(id, _)| id.clone());
                if let Some(id) = open {
                    self.model.borrow_mut().rpcs.get_mut(&id).expect("taken").ended = true;
                    self.b.rpc_abandoned(now, &id);
                }
            }
        }
    }
}

#[test]
fn module_and_model_agree_on_what_is_allowed() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec((0u8..21, any::<u16>(), any::<u16>()), 1..250);
    let run = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut day = Day::new();
        steps.into_iter().for_each(|step| day.step(step));
        // After the last event all that was taken ends.
        day.pass(20 * SECOND);
        Ok(())
    });
    if let Err(trouble) = run {
        panic!("{trouble}");
    }
}
