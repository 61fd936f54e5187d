//! Thousands of schedules of changes by chance, shrunk to the shortest where one breaks the promise. The same ones every
//! run.

mod configuration_world;

use configuration_world::{scope, Flaw, World, BALANCERS, STEWARDS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Op {
    Pass(u64),
    /// From the latest version of the scope or not; some contents are empty, some do not load on one balancer.
    Put {
        scope: usize,
        latest: bool,
        kind: usize,
    },
    Enter(usize),
    /// Put from the latest, and entered at once.
    Change {
        scope: usize,
        kind: usize,
    },
    CatchUp(usize, usize),
    Elect(usize),
    Round(usize),
    /// Its beat is answered, and it asks; its question is on its way for as long as it takes.
    Begin(usize),
    Beat(usize),
    Ask(usize),
    TimeOut(usize),
    Apply(usize),
    Keep(usize),
    Crash(usize),
    Start {
        n: usize,
        moved: usize,
    },
    LoseDisk(usize),
    Damage(usize),
    OwnFile(usize),
    /// To the steward that leads, or to another one.
    Deliver(usize, usize),
    /// The same, and whoever has fetched applies it.
    Land(usize, usize),
    Lose(usize),
    Double(usize),
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let n = || 0usize..BALANCERS;
    let steward = || 0usize..STEWARDS;
    let many = || 0usize..64;
    let op = prop_oneof![
        6 => (1u64..6_000).prop_map(Op::Pass),
        1 => (6_000u64..60_000).prop_map(Op::Pass),
        4 => (many(), any::<bool>(), many()).prop_map(|(scope, latest, kind)| Op::Put { scope, latest, kind }),
        6 => many().prop_map(Op::Enter),
        8 => (many(), many()).prop_map(|(scope, kind)| Op::Change { scope, kind }),
        6 => (steward(), 1usize..4).prop_map(|(n, entries)| Op::CatchUp(n, entries)),
        2 => steward().prop_map(Op::Elect),
        6 => n().prop_map(Op::Round),
        5 => n().prop_map(Op::Begin),
        8 => n().prop_map(Op::Beat),
        8 => n().prop_map(Op::Ask),
        3 => n().prop_map(Op::TimeOut),
        8 => n().prop_map(Op::Apply),
        5 => n().prop_map(Op::Keep),
        2 => n().prop_map(Op::Crash),
        3 => (n(), 0usize..2).prop_map(|(n, moved)| Op::Start { n, moved }),
        1 => n().prop_map(Op::LoseDisk),
        1 => n().prop_map(Op::Damage),
        1 => n().prop_map(Op::OwnFile),
        20 => (many(), many()).prop_map(|(n, to)| Op::Deliver(n, to)),
        10 => (many(), many()).prop_map(|(n, to)| Op::Land(n, to)),
        3 => many().prop_map(Op::Lose),
        4 => many().prop_map(Op::Double),
    ];
    prop::collection::vec(op, 1..120)
}

/// Of a kind by chance; each with a number, so that no two are alike.
fn content(kind: usize, number: usize) -> String {
    match kind % 12 {
        0 => String::new(),
        1 => format!("c = {number} # not b{}", kind / 12 % BALANCERS),
        _ => format!("c = {number}"),
    }
}

fn play(world: &mut World, number: usize, op: &Op) {
    let (messages, words) = (world.network.len(), world.puts.len());
    let sent = |n: usize| (messages > 0).then(|| n % messages);
    match op {
        Op::Pass(time) => world.now += time,
        Op::Put { scope: whose, latest, kind } => world.put(scope(*whose), &content(*kind, number), *latest),
        Op::Enter(n) => {
            if words > 0 {
                let _ = world.enter(n % words);
            }
        }
        Op::Change { scope: whose, kind } => {
            world.change(scope(*whose), &content(*kind, number));
        }
        Op::CatchUp(n, entries) => world.catch_up(*n, *entries),
        Op::Elect(n) => world.elect(*n),
        Op::Round(n) => world.round(*n),
        Op::Begin(n) => world.begin(*n),
        Op::Beat(n) => world.beat(*n),
        Op::Ask(n) => world.ask(*n),
        Op::TimeOut(n) => world.time_out(*n),
        Op::Apply(n) => world.apply(*n),
        Op::Keep(n) => world.keep(*n),
        Op::Crash(n) => world.crash(*n),
        Op::Start { n, moved } => {
            if world.balancers[*n].is_none() {
                world.start(*n, *moved);
            }
        }
        Op::LoseDisk(n) => world.disks[*n] = None,
        Op::Damage(n) => world.damage(*n),
        Op::OwnFile(n) => {
            world.balancers[*n].iter_mut().for_each(|process| process.follower.retry_rejected())
        }
        Op::Deliver(n, to) => {
            let to = if to % 3 == 0 { to / 3 % STEWARDS } else { world.leads };
            sent(*n).into_iter().for_each(|n| world.deliver(n, to));
        }
        Op::Land(n, to) => {
            play(world, number, &Op::Deliver(*n, *to));
            (0..BALANCERS).for_each(|n| world.apply(n));
        }
        Op::Lose(n) => sent(*n).into_iter().for_each(|n| drop(world.network.remove(n))),
        Op::Double(n) => sent(*n).into_iter().for_each(|n| world.network.push(world.network[n].clone())),
    }
}

fn keeps(flaw: Flaw, ops: &[Op]) -> Result<(), String> {
    let mut world = World::new(flaw);
    for (n, op) in ops.iter().enumerate() {
        play(&mut world, n, op);
        world.check().map_err(|why| format!("{n}: {op:?}: {why}"))?;
    }
    world.calm();
    world.check()?;
    world.check_settled()
}

fn run(flaw: Flaw) -> Result<(), TestError<Vec<Op>>> {
    let config =
        Config { cases: 5_000, failure_persistence: None, max_shrink_iters: 4_000, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::XorShift));
    runner.run(&ops(), |ops| keeps(flaw, &ops).map_err(TestCaseError::fail))
}

#[test]
fn what_is_in_force_is_whole_and_never_older_and_after_calm_the_latest() {
    if let Err(found) = run(Flaw::None) {
        panic!("{found}");
    }
}

/// Each version that is broken on purpose is caught, and by a schedule that a person can read.
#[test]
fn every_broken_version_is_caught() {
    let flaws = [
        Flaw::OlderOverNewer,
        Flaw::InForceBeforeApplied,
        Flaw::HalfOfAChange,
        Flaw::NoticeLostForEver,
        Flaw::SaysTheCopyIsInForce,
        Flaw::TakesACopyOfAnotherPlace,
        Flaw::SaysTheRefusedIsInForce,
    ];
    let missed = |flaw: &Flaw| match run(*flaw) {
        Err(TestError::Fail(why, ops)) => {
            println!("{flaw:?}: {} events: {ops:?}: {why}", ops.len());
            ops.len() > 20
        }
        _ => true,
    };
    let missed: Vec<Flaw> = flaws.into_iter().filter(missed).collect();
    assert!(missed.is_empty(), "{missed:?}");
}
