//! Thousands of schedules by chance, with clocks that drift at the stated bound, shrunk to the shortest where one breaks the
//! promise: no two holders at once, no term twice, no order of an older holder after one of a newer. The same ones every run.

mod duties_world;

use duties_world::{Flaw, World, DUTIES, MEMBERS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

const SCHEDULES: u32 = 2_000;

#[derive(Clone, Debug)]
enum Op {
    Pass(u64),
    Beat(usize),
    DeliverBeat(usize),
    DeliverAnswer(usize),
    Lose(usize),
    Double(usize),
    Decide,
    Enter,
    Elect(bool),
    RestartStewards,
    Round,
    /// This one stands still for longer than a lease.
    StandStill(usize),
    Release(usize),
    Drain(usize),
    Resume(usize),
    Restart(usize),
    Order(usize),
    DeliverOrder(usize),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let member = || 0usize..MEMBERS;
    let many = || 0usize..64;
    let op = prop_oneof![
        10 => (200u64..6_000).prop_map(Op::Pass),
        2 => (6_000u64..30_000).prop_map(Op::Pass),
        6 => member().prop_map(Op::Beat),
        6 => many().prop_map(Op::DeliverBeat),
        6 => many().prop_map(Op::DeliverAnswer),
        2 => many().prop_map(Op::Lose),
        2 => many().prop_map(Op::Double),
        6 => Just(Op::Decide),
        6 => Just(Op::Enter),
        2 => any::<bool>().prop_map(Op::Elect),
        1 => Just(Op::RestartStewards),
        12 => Just(Op::Round),
        1 => member().prop_map(Op::StandStill),
        2 => (0usize..DUTIES.len()).prop_map(Op::Release),
        2 => member().prop_map(Op::Drain),
        3 => member().prop_map(Op::Resume),
        2 => member().prop_map(Op::Restart),
        4 => member().prop_map(Op::Order),
        4 => member().prop_map(Op::DeliverOrder),
    ];
    prop::collection::vec(op, 40..160)
}

fn play(ops: &[Op], flaw: Flaw) -> Result<usize, String> {
    let mut world = World::new(flaw);
    for op in ops {
        match *op {
            Op::Pass(time) => world.pass(time)?,
            Op::Beat(n) => world.beat(n),
            Op::DeliverBeat(which) => world.deliver_beat(which),
            Op::DeliverAnswer(which) => world.deliver_answer(which)?,
            Op::Lose(which) => world.lose(which),
            Op::Double(which) => world.double(which),
            Op::Decide => world.decide(),
            Op::Enter => world.enter(),
            Op::Elect(entered) => world.elect(entered),
            Op::RestartStewards => world.restart_stewards(),
            Op::Round => world.round()?,
            Op::StandStill(n) => world.stand_still(n)?,
            Op::Release(duty) => world.release(duty),
            Op::Drain(n) => world.drain(n),
            Op::Resume(n) => world.resume(n),
            Op::Restart(n) => world.restart(n),
            Op::Order(n) => world.order(n),
            Op::DeliverOrder(n) => world.deliver_order(n)?,
        }
    }
    Ok(world.seen)
}

/// What the first schedule that fails says, shrunk; none where all hold. With how often a holder was seen to act.
fn first_failure(flaw: Flaw) -> (Option<String>, usize) {
    let config = Config { cases: SCHEDULES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let seen = std::cell::Cell::new(0);
    let result = runner.run(&ops(), |ops| match play(&ops, flaw) {
        Ok(times) => {
            seen.set(seen.get() + times);
            Ok(())
        }
        Err(why) => Err(TestCaseError::fail(why)),
    });
    let failure = match result {
        Ok(()) => None,
        Err(TestError::Fail(why, ops)) => Some(format!("{why}: {ops:?}")),
        Err(TestError::Abort(why)) => panic!("{why}"),
    };
    (failure, seen.get())
}

#[test]
fn no_schedule_makes_two_holders_or_uses_a_term_twice() {
    let (failure, seen) = first_failure(Flaw::None);
    assert_eq!(failure, None);
    assert!(seen > 100_000, "holders were seen to act {seen} times");
}

fn is_caught(flaw: Flaw, by: &str) {
    let (failure, _) = first_failure(flaw);
    let why = failure.unwrap_or_else(|| panic!("{flaw:?} is not caught"));
    assert!(why.contains(by), "{flaw:?} is caught otherwise: {why}");
}

#[test]
fn a_lease_without_a_margin_is_caught() {
    is_caught(Flaw::NoMargin, "act on it at once");
}

#[test]
fn a_term_that_is_used_again_after_a_snapshot_is_caught() {
    is_caught(Flaw::TermReused, "is used twice");
}

#[test]
fn a_token_that_nobody_looks_at_is_caught() {
    is_caught(Flaw::TokenIgnored, "was followed after");
}

#[test]
fn a_time_of_day_in_place_of_a_duration_is_caught() {
    is_caught(Flaw::WallClock, "act on it at once");
}
