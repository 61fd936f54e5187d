//! Policies with deliberate faults: the referee reports each with the right rule and time.

mod common;

use common::small;
use fernroute::action_queue::ActionQueue;
use fernroute::{Host as _, Outcome, Time, Timer};
use fernroute_testbed::policy::{EndpointUpdate, Policy, Variant};
use fernroute_testbed::referee::{Rule, Violation};
use fernroute_testbed::run::{run, run_with_policy, NoObserver};
use fernroute_testbed::scenario::{seconds, Scenario};
use fernroute_testbed::trace::EndpointState;
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Misbehavior {
    None,
    AnswersTwice,
    RetriesWhatMayHaveRun,
    ExhaustsWhatMayHaveRun,
    LeavesTheGroup,
    SendsToDraining,
    OverloadsColdUpstreams,
    NeverAnswers,
    AnswersLate,
    SendsAfterItsAnswer,
}

/// Sends each RPC once, to the next upstream, and fails those that do not complete, apart from its deliberate fault.
struct FaultyPolicy {
    how: Misbehavior,
    host: ActionQueue,
    upstreams: BTreeMap<Rc<str>, EndpointUpdate>,
    /// Method, hard deadline, and the upstreams tried so far.
    rpcs: BTreeMap<String, (String, Time, Vec<Rc<str>>)>,
    next_index: usize,
}

impl FaultyPolicy {
    fn next(&mut self, not: &[Rc<str>]) -> Option<Rc<str>> {
        self.next_index += 1;
        let drains = self.how == Misbehavior::SendsToDraining;
        let usable = |e: &&EndpointUpdate| {
            e.state == EndpointState::Ready || drains && e.state == EndpointState::Drains
        };
        let all: Vec<&EndpointUpdate> =
            self.upstreams.values().filter(usable).filter(|e| !not.contains(&e.name)).collect();
        let cold = all.iter().find(|e| self.how == Misbehavior::OverloadsColdUpstreams && e.started > 0);
        let next = cold.or_else(|| all.get(self.next_index % all.len().max(1)));
        next.map(|e| Rc::clone(&e.name))
    }

    fn send(&mut self, now: Time, rpc: &str) -> bool {
        let Some((_, hard, before)) = self.rpcs.get(rpc).cloned() else { return false };
        let Some(to) = self.next(&before) else { return false };
        self.rpcs.get_mut(rpc).into_iter().for_each(|r| r.2.push(Rc::clone(&to)));
        let extra_time = if self.how == Misbehavior::AnswersLate { 2 * seconds(1.0) } else { 0 };
        self.host.start_attempt(rpc, &to, (hard - now).max(1) + extra_time, None);
        true
    }
}

impl Policy for FaultyPolicy {
    fn update_endpoints(&mut self, _: Time, _: bool, entries: &[EndpointUpdate]) {
        for e in entries {
            self.upstreams.insert(Rc::clone(&e.name), e.clone());
        }
        self.upstreams.retain(|_, e| e.state != EndpointState::Gone);
    }
    fn rpc_arrived(&mut self, now: Time, rpc: &str, method: &str, _: &str, time_left: Time) {
        self.rpcs.insert(rpc.to_owned(), (method.to_owned(), now + time_left, Vec::new()));
        if !self.send(now, rpc) {
            self.rpcs.remove(rpc);
            self.host.reject(rpc, 0);
        }
    }
    fn attempt_ended(&mut self, now: Time, rpc: &str, _: usize, end: Outcome, _: Time, over: bool, _: f64) {
        let Some((method, _, before)) = self.rpcs.get(rpc).cloned() else { return };
        let ran = !end.never_ran();
        let retry = match self.how {
            Misbehavior::SendsAfterItsAnswer => over && before.len() < 2,
            Misbehavior::RetriesWhatMayHaveRun => !over && ran && method == "pay" && before.len() < 2,
            Misbehavior::LeavesTheGroup => !over && ran && method == "put" && before.len() < 3,
            _ => false,
        };
        if retry && self.send(now, rpc) {
            return;
        }
        match self.how {
            Misbehavior::AnswersTwice if over => self.host.fail(rpc),
            Misbehavior::ExhaustsWhatMayHaveRun if !over && ran => {
                self.rpcs.remove(rpc);
                return self.host.reject(rpc, 0);
            }
            Misbehavior::NeverAnswers if !over => {
                self.rpcs.remove(rpc);
                return;
            }
            _ => {}
        }
        if self.rpcs.remove(rpc).is_some() && !over {
            self.host.fail(rpc);
        }
    }
    fn rpc_abandoned(&mut self, _: Time, rpc: &str) {
        self.rpcs.remove(rpc);
    }
    fn timer_fired(&mut self, _: Time, _: &Timer) {}
}

fn violations_of(scenario: &Scenario, how: Misbehavior) -> Vec<Violation> {
    let make = |_: &Scenario, _, host: ActionQueue, _, _| -> Box<dyn Policy> {
        Box::new(FaultyPolicy { how, host, upstreams: BTreeMap::new(), rpcs: BTreeMap::new(), next_index: 0 })
    };
    run_with_policy(scenario, 1, &make, &mut NoObserver).violations
}

const ERRORS: &str = "[[fault]]\nkind = \"fast_errors\"\nat_s = 4\nfor_s = 3\npart = 1\nsize = 0.5\n";
const HANG: &str = "[[fault]]\nkind = \"hang\"\nat_s = 4\nfor_s = 3\npart = 0.5\n";
const DRAIN: &str = "[[fault]]\nkind = \"drain\"\nat_s = 4\nfor_s = 4\npart = 0.5\n";
const RETURN: &str = "[[fault]]\nkind = \"crash\"\nat_s = 2\nfor_s = 3\npart = 0.25\n";

#[test]
fn each_misbehavior_is_reported_with_its_rule_and_time() {
    for (how, faults, rule, from, to) in [
        (Misbehavior::AnswersTwice, "", Rule::OneAnswer, 0.0, 1.0),
        (Misbehavior::SendsAfterItsAnswer, "", Rule::OneAnswer, 0.0, 1.0),
        // The first RPC hangs at 4 s; its deadline is a second later, and the time-out is two seconds too long.
        (Misbehavior::AnswersLate, HANG, Rule::OneAnswer, 7.0, 7.5),
        (Misbehavior::RetriesWhatMayHaveRun, ERRORS, Rule::NoSecondEffect, 4.0, 5.0),
        (Misbehavior::ExhaustsWhatMayHaveRun, ERRORS, Rule::NoSecondEffect, 4.0, 5.0),
        (Misbehavior::LeavesTheGroup, ERRORS, Rule::NoSecondEffect, 4.0, 5.0),
        // Discovery delivers the update a second later; the grace period is 0.3 s.
        (Misbehavior::SendsToDraining, DRAIN, Rule::DrainsKept, 5.3, 6.0),
        // The upstream restarts at 5 s; discovery delivers the update a second later.
        (Misbehavior::OverloadsColdUpstreams, RETURN, Rule::ColdSpared, 6.0, 8.5),
    ] {
        let mut scenario = small(faults);
        scenario.load.rate = if how == Misbehavior::OverloadsColdUpstreams { 300.0 } else { 100.0 };
        let found = violations_of(&scenario, how);
        let first = found.first().unwrap_or_else(|| panic!("{how:?} was not reported"));
        assert!(found.iter().all(|b| b.rule == rule), "{how:?}: {found:?}");
        assert!((seconds(from)..=seconds(to)).contains(&first.at), "{how:?}: {first:?}");
        // In the same scenario, neither the policy without its fault nor the real balancer breaks a rule.
        assert_eq!(violations_of(&small(faults), Misbehavior::None), [], "{how:?}");
        assert_eq!(run(&scenario, Variant::Fernroute, 1).violations, [], "{how:?}");
    }
}

#[test]
fn missing_answers_are_reported_at_the_end() {
    let found = violations_of(&small(ERRORS), Misbehavior::NeverAnswers);
    assert!(found.len() > 20);
    assert!(
        found.iter().all(|b| b.rule == Rule::OneAnswer && b.description.ends_with("was never answered")),
        "{found:?}"
    );
}
