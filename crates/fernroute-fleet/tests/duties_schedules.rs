//! Duties under thousands of random schedules, drawn from a fixed seed, with clocks that drift at the stated bound. A
//! schedule that breaks an invariant is shrunk to a minimal one. The invariants: a duty never has two holders at once,
//! no term is used twice, and no order of an older term is followed after one of a newer term.

mod duties_simulation;

use duties_simulation::{Flaw, Simulation, DUTIES, MEMBERS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

const SCHEDULES: u32 = 2_000;

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    SendHeartbeat(usize),
    DeliverHeartbeat(usize),
    DeliverReply(usize),
    Lose(usize),
    Repeat(usize),
    Decide,
    Enter,
    Elect(bool),
    RestartCoordinators,
    Exchange,
    StopForALease(usize),
    Release(usize),
    Drain(usize),
    Resume(usize),
    Restart(usize),
    SendOrders(usize),
    DeliverOrder(usize),
}

fn schedules() -> impl Strategy<Value = Vec<Event>> {
    let member = || 0usize..MEMBERS;
    let any_index = || 0usize..64;
    let event = prop_oneof![
        10 => (200u64..6_000).prop_map(Event::Advance),
        2 => (6_000u64..30_000).prop_map(Event::Advance),
        6 => member().prop_map(Event::SendHeartbeat),
        6 => any_index().prop_map(Event::DeliverHeartbeat),
        6 => any_index().prop_map(Event::DeliverReply),
        2 => any_index().prop_map(Event::Lose),
        2 => any_index().prop_map(Event::Repeat),
        6 => Just(Event::Decide),
        6 => Just(Event::Enter),
        2 => any::<bool>().prop_map(Event::Elect),
        1 => Just(Event::RestartCoordinators),
        12 => Just(Event::Exchange),
        1 => member().prop_map(Event::StopForALease),
        2 => (0usize..DUTIES.len()).prop_map(Event::Release),
        2 => member().prop_map(Event::Drain),
        3 => member().prop_map(Event::Resume),
        2 => member().prop_map(Event::Restart),
        4 => member().prop_map(Event::SendOrders),
        4 => member().prop_map(Event::DeliverOrder),
    ];
    prop::collection::vec(event, 40..160)
}

/// Returns how often a holder was observed, or the invariant that was broken.
fn play(schedule: &[Event], flaw: Flaw) -> Result<usize, String> {
    let mut simulation = Simulation::new(flaw);
    for event in schedule {
        match *event {
            Event::Advance(duration) => simulation.advance(duration)?,
            Event::SendHeartbeat(member) => simulation.send_heartbeat(member),
            Event::DeliverHeartbeat(number) => simulation.deliver_heartbeat(number),
            Event::DeliverReply(number) => simulation.deliver_reply(number)?,
            Event::Lose(number) => simulation.lose(number),
            Event::Repeat(number) => simulation.repeat(number),
            Event::Decide => simulation.decide(),
            Event::Enter => simulation.enter(),
            Event::Elect(is_entered) => simulation.elect(is_entered),
            Event::RestartCoordinators => simulation.restart_coordinators(),
            Event::Exchange => simulation.exchange()?,
            Event::StopForALease(member) => simulation.stop_for_a_lease(member)?,
            Event::Release(duty) => simulation.release(duty),
            Event::Drain(member) => simulation.drain(member),
            Event::Resume(member) => simulation.resume(member),
            Event::Restart(member) => simulation.restart(member),
            Event::SendOrders(member) => simulation.send_orders(member),
            Event::DeliverOrder(member) => simulation.deliver_order(member)?,
        }
    }
    Ok(simulation.observed_holders)
}

struct Outcome {
    /// The invariant that the first failing schedule broke, and that schedule, shrunk.
    failure: Option<String>,
    observed_holders: usize,
}

fn run(flaw: Flaw) -> Outcome {
    let config = Config { cases: SCHEDULES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let observed_holders = std::cell::Cell::new(0);
    let result = runner.run(&schedules(), |schedule| match play(&schedule, flaw) {
        Ok(count) => {
            observed_holders.set(observed_holders.get() + count);
            Ok(())
        }
        Err(violation) => Err(TestCaseError::fail(violation)),
    });
    let failure = match result {
        Ok(()) => None,
        Err(TestError::Fail(reason, schedule)) => Some(format!("{reason}: {schedule:?}")),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    };
    Outcome { failure, observed_holders: observed_holders.get() }
}

#[test]
fn no_schedule_makes_two_holders_or_uses_a_term_twice() {
    let Outcome { failure, observed_holders } = run(Flaw::None);
    assert_eq!(failure, None);
    assert!(observed_holders > 100_000, "holders were observed {observed_holders} times");
}

fn assert_detected(flaw: Flaw, violation: &str) {
    let failure = run(flaw).failure.unwrap_or_else(|| panic!("{flaw:?} is not detected"));
    assert!(failure.contains(violation), "{flaw:?} is detected by another violation: {failure}");
}

#[test]
fn a_lease_without_a_margin_is_detected() {
    assert_detected(Flaw::NoMargin, "act on it at once");
}

#[test]
fn a_term_that_is_used_again_after_a_snapshot_is_detected() {
    assert_detected(Flaw::TermReused, "is used twice");
}

#[test]
fn receivers_that_ignore_the_fencing_token_are_detected() {
    assert_detected(Flaw::TokenIgnored, "was followed after");
}

#[test]
fn a_time_of_day_in_place_of_a_duration_is_detected() {
    assert_detected(Flaw::WallClock, "act on it at once");
}
