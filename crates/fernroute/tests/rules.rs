//! Property test: a plain model of the four rules checks a balancer on generated sequences of events. The model must allow each
//! action, and each RPC must get exactly one final answer, in time.

mod common;

use common::{settings, upstream, START};
use fernroute::host::{Host, Outcome, Time, Timer, SECOND};
use fernroute::Balancer;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

const UPSTREAMS: usize = 6;
const MAX_ATTEMPTS: usize = 4;
const DEDUP_WINDOW: Time = 3000;
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
struct ModelAttempt {
    upstream: usize,
    at: Time,
    times_out_at: Time,
    outcome: Option<Outcome>,
}

struct ModelRpc {
    method: usize,
    hard_deadline: Time,
    answered: bool,
    attempts: Vec<ModelAttempt>,
}

/// All events so far. Nothing is removed, and each check scans all of it.
#[derive(Default)]
struct Model {
    now: Time,
    rpcs: BTreeMap<String, ModelRpc>,
    /// By upstream: the start of its process, when that was reported, and since when it has been draining or removed.
    upstreams: BTreeMap<usize, (Time, Time, Option<Time>)>,
    /// The time and upstream of every attempt.
    attempts: Vec<(Time, usize)>,
    timers: Vec<(Time, Timer)>,
    /// Cancelled attempts whose outcome has not been reported.
    cancelled: Vec<(String, usize)>,
}

impl Model {
    fn number(id: &str) -> usize {
        (0..UPSTREAMS).find(|n| upstream(*n).0 == id).expect("an upstream that an update has named")
    }

    fn may_have_run(rpc: &ModelRpc) -> Option<&ModelAttempt> {
        rpc.attempts.iter().find(|s| s.outcome.is_none_or(|o| !o.never_ran()))
    }

    fn check_send(&self, rpc: &ModelRpc, to: usize) {
        assert!(!rpc.answered, "rule 1: sent after the final answer");
        assert!(self.now < rpc.hard_deadline, "rule 1: sent after the hard deadline");
        assert!(rpc.attempts.len() < MAX_ATTEMPTS, "more attempts than allowed");
        let (started, reported_at, leaving_since) =
            self.upstreams.get(&to).expect("rule 3: sent to an unknown upstream");
        assert!(leaving_since.is_none(), "rule 3: sent to an upstream that is draining or removed");
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
            assert!(in_group, "rule 2: a repeat outside the deduplication scope");
            assert!(
                rpc.method == 0 || self.now < first.at + DEDUP_WINDOW,
                "rule 2: a repeat after the deduplication window"
            );
        }
        self.check_slow_start(to, *started, *reported_at);
    }

    /// Rule 4 for one of two balancers: at most its half of the budget in each window, plus one that may exceed it by chance.
    fn check_slow_start(&self, to: usize, started: Time, reported_at: Time) {
        let window = 2 * SECOND;
        let age = self.now.saturating_sub(started) as f64 / 100_000.0;
        if started == 0 || age >= 1.0 {
            return;
        }
        let weight = 0.2 + 0.8 * age;
        // An upper bound for the capacity of a warm upstream: its part of all attempts, over the lowest utilisation.
        let recent = self.attempts.iter().filter(|(at, _)| at + 10 * SECOND > self.now).count() as f64;
        let ready =
            self.upstreams.values().filter(|(_, _, leaving_since)| leaving_since.is_none()).count().max(1)
                as f64;
        // The rate of attempts decays over ten seconds, so that earlier attempts may still count.
        let counted_attempts = self.attempts.len().min((recent * 3.0) as usize + 1) as f64;
        let capacity = (counted_attempts / 10.0 / ready / 0.3).max(0.25);
        let budget = 3.0 * weight * capacity * 2.0;
        let since = reported_at.max(self.now.saturating_sub(window));
        let sent = self.attempts.iter().filter(|(at, n)| *n == to && *at > since).count() as f64;
        assert!(sent <= budget + 1.0, "rule 4: {sent} attempts in a window with a budget of {budget}");
    }
}

#[derive(Clone, Default)]
struct Checker(Rc<RefCell<Model>>);

impl Host for Checker {
    fn start_attempt(&mut self, rpc: &str, upstream: &str, timeout: Time, _: Option<Time>) {
        let mut model = self.0.borrow_mut();
        let (to, at) = (Model::number(upstream), model.now);
        model.check_send(&model.rpcs[rpc], to);
        model.attempts.push((at, to));
        let rpc_state = model.rpcs.get_mut(rpc).expect("the RPC is known");
        assert!(at + timeout <= rpc_state.hard_deadline, "rule 1: a time-out past the hard deadline");
        rpc_state.attempts.push(ModelAttempt { upstream: to, at, times_out_at: at + timeout, outcome: None });
    }
    fn cancel_attempt(&mut self, rpc: &str, attempt: usize) {
        let mut model = self.0.borrow_mut();
        assert!(attempt < model.rpcs[rpc].attempts.len(), "cancelled an attempt that was never sent");
        model.cancelled.push((rpc.to_owned(), attempt));
    }
    fn reject(&mut self, rpc: &str, _retry_after: Time) {
        let mut model = self.0.borrow_mut();
        let rpc_state = model.rpcs.get_mut(rpc).expect("the RPC is known");
        assert!(!rpc_state.answered, "rule 1: two final answers");
        let harmless = matches!(rpc_state.method, 0 | 4) || Model::may_have_run(rpc_state).is_none();
        assert!(harmless, "rule 2: rejected an RPC that may have run");
        rpc_state.answered = true;
    }
    fn fail(&mut self, rpc: &str) {
        let mut model = self.0.borrow_mut();
        let rpc_state = model.rpcs.get_mut(rpc).expect("the RPC is known");
        assert!(!rpc_state.answered, "rule 1: two final answers");
        rpc_state.answered = true;
    }
    fn set_timer(&mut self, after: Time, timer: Timer) {
        let mut model = self.0.borrow_mut();
        let at = model.now + after;
        model.timers.push((at, timer));
    }
    fn watch_endpoints(&mut self) {}
    fn log(&mut self, _line: &str) {}
}

struct Simulation {
    balancer: Balancer<Checker>,
    model: Rc<RefCell<Model>>,
    next_rpc: usize,
}

impl Simulation {
    fn new() -> Self {
        let checker = Checker::default();
        checker.0.borrow_mut().now = START;
        let model = checker.0.clone();
        let balancer = Balancer::new(checker, START, 3, &settings(&[])).expect("the settings are valid");
        let mut simulation = Simulation { balancer, model, next_rpc: 0 };
        // At first only a cached list, which does not name all upstreams.
        simulation.update_list(true, false, &[(0, 0), (1, 0), (2, 0), (3, 0)]);
        simulation
    }

    fn update_list(&mut self, full: bool, is_current: bool, ready: &[(usize, Time)]) {
        let now = self.model.borrow().now;
        if full {
            for (_, _, leaving_since) in self.model.borrow_mut().upstreams.values_mut() {
                *leaving_since = leaving_since.or(Some(now));
            }
        }
        for (n, started) in ready {
            let mut model = self.model.borrow_mut();
            let reported_at = model.upstreams.get(n).filter(|was| was.0 == *started).map_or(now, |was| was.1);
            model.upstreams.insert(*n, (*started, reported_at, None));
        }
        self.balancer.snapshot_started(now, full);
        for (n, started) in ready {
            let (id, zone, cell) = upstream(*n);
            self.balancer.upstream_ready(&id, zone, &cell, "", *started);
        }
        self.balancer.snapshot_completed(is_current);
    }

    fn drain_or_remove(&mut self, n: usize, is_removed: bool) {
        let now = self.model.borrow().now;
        let known = match self.model.borrow_mut().upstreams.get_mut(&n) {
            Some((_, _, leaving_since)) => {
                *leaving_since = leaving_since.or(Some(now));
                true
            }
            None => false,
        };
        self.balancer.snapshot_started(now, false);
        if is_removed || !known {
            self.balancer.upstream_removed(&upstream(n).0);
        } else {
            self.balancer.upstream_draining(&upstream(n).0);
        }
        self.balancer.snapshot_completed(true);
    }

    fn end_attempt(&mut self, id: &str, n: usize, outcome: Outcome) {
        let (now, latency, answered) = {
            let mut model = self.model.borrow_mut();
            let now = model.now;
            let rpc_state = model.rpcs.get_mut(id).expect("the RPC is known");
            rpc_state.attempts[n].outcome = Some(outcome);
            rpc_state.answered |= outcome == Outcome::Completed;
            (now, now - rpc_state.attempts[n].at, rpc_state.answered)
        };
        self.balancer.attempt_ended(now, id, n, outcome, latency, answered, &[0.4 + 0.1 * (n as f64)]);
    }

    /// Advances the time, with time-outs, outcomes of cancelled attempts and timers when they are due.
    fn advance(&mut self, length: Time) {
        let until = self.model.borrow().now + length;
        loop {
            let cancelled = self.model.borrow_mut().cancelled.pop();
            if let Some((id, n)) = cancelled {
                let open = self.model.borrow().rpcs[&id].attempts[n].outcome.is_none();
                if open {
                    self.end_attempt(&id, n, Outcome::Cancelled);
                }
                continue;
            }
            let (overdue, timer) = {
                let model = self.model.borrow();
                let overdue = model.rpcs.iter().flat_map(|(id, r)| {
                    let in_flight = r.attempts.iter().enumerate().filter(|(_, s)| s.outcome.is_none());
                    in_flight.map(move |(n, s)| (s.times_out_at, id.clone(), n))
                });
                let timer = model.timers.iter().enumerate().map(|(n, (at, _))| (*at, n)).min();
                (overdue.min().filter(|o| o.0 <= until), timer.filter(|t| t.0 <= until))
            };
            match (overdue, timer) {
                (Some((at, id, n)), t) if t.is_none_or(|t| at <= t.0) => {
                    self.model.borrow_mut().now = at;
                    self.end_attempt(&id, n, Outcome::TimedOut);
                }
                (_, Some((at, n))) => {
                    self.model.borrow_mut().now = at;
                    let (_, timer) = self.model.borrow_mut().timers.swap_remove(n);
                    self.balancer.timer_fired(at, &timer);
                }
                _ => break,
            }
        }
        self.model.borrow_mut().now = until;
        let model = self.model.borrow();
        let unanswered = model.rpcs.iter().find(|(_, r)| !r.answered && until >= r.hard_deadline);
        assert!(unanswered.is_none(), "rule 1: no final answer by the hard deadline");
    }

    fn step(&mut self, (kind, a, c): (u8, u16, u16)) {
        let now = self.model.borrow().now;
        let n = usize::from(a) % UPSTREAMS;
        match kind {
            0..=6 => {
                let (id, method) = (format!("r{}", self.next_rpc), usize::from(a) % 5);
                self.next_rpc += 1;
                let hard_deadline = now + 50 + Time::from(c) % (3 * SECOND);
                let rpc_state = ModelRpc { method, hard_deadline, answered: false, attempts: Vec::new() };
                self.model.borrow_mut().rpcs.insert(id.clone(), rpc_state);
                self.balancer.rpc_arrived(now, &id, &format!("m{method}"), "", "", hard_deadline - now);
            }
            7..=12 => {
                let in_flight: Vec<(String, usize)> = {
                    let model = self.model.borrow();
                    let each = model.rpcs.iter().flat_map(|(id, r)| {
                        let in_flight = r.attempts.iter().enumerate().filter(|(_, s)| s.outcome.is_none());
                        in_flight.map(move |(n, _)| (id.clone(), n))
                    });
                    each.collect()
                };
                if let Some((id, n)) = in_flight.get(usize::from(a) % in_flight.len().max(1)) {
                    self.end_attempt(id, *n, OUTCOMES[usize::from(c) % OUTCOMES.len()]);
                }
            }
            13..=15 => self.advance(Time::from(c) % SECOND),
            16 => self.drain_or_remove(n, c % 2 == 0),
            // A restart, perhaps during half-open trials, or a new upstream.
            17 => self.update_list(false, true, &[(n, now - Time::from(c) % 5000)]),
            18 => {
                let listed = [(n, 0), ((n + 1) % UPSTREAMS, 0), ((n + 2) % UPSTREAMS, now - 10)];
                self.update_list(true, true, &listed);
            }
            19 => self.balancer.watch_failed(now),
            _ => {
                // The caller goes, perhaps while an attempt is in flight.
                let open =
                    self.model.borrow().rpcs.iter().find(|(_, r)| !r.answered).map(|(id, _)| id.clone());
                if let Some(id) = open {
                    self.model.borrow_mut().rpcs.get_mut(&id).expect("the RPC is known").answered = true;
                    self.balancer.rpc_abandoned(now, &id);
                }
            }
        }
    }
}

#[test]
fn balancer_keeps_the_rules_of_the_model() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec((0u8..21, any::<u16>(), any::<u16>()), 1..250);
    let run = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut simulation = Simulation::new();
        steps.into_iter().for_each(|step| simulation.step(step));
        // All RPCs must end after the last event.
        simulation.advance(20 * SECOND);
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}
