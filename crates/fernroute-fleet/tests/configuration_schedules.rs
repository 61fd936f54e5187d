//! Configuration under thousands of random schedules, drawn from a fixed seed. A schedule that breaks an invariant is
//! shrunk to a minimal one.

mod configuration_simulation;

use configuration_simulation::{scope, Flaw, Simulation, BALANCERS, COORDINATORS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    /// Some contents are empty, some do not load on one balancer.
    Put {
        scope: usize,
        is_from_latest: bool,
        kind: usize,
    },
    Enter(usize),
    /// A put that is based on the latest version and entered at once.
    Change {
        scope: usize,
        kind: usize,
    },
    CatchUp(usize, usize),
    Elect(usize),
    Exchange(usize),
    /// The request of the balancer stays in the network.
    StartExchange(usize),
    SendHeartbeat(usize),
    RequestFetch(usize),
    TimeOut(usize),
    Apply(usize),
    Store(usize),
    Crash(usize),
    Start {
        balancer: usize,
        moves: usize,
    },
    LoseDisk(usize),
    DamageDisk(usize),
    ChangeOwnFile(usize),
    /// Delivers a message to the leader, or to another coordinator.
    Deliver(usize, usize),
    /// The same; then all balancers apply what they have fetched.
    DeliverAndApply(usize, usize),
    Lose(usize),
    Repeat(usize),
}

fn schedules() -> impl Strategy<Value = Vec<Event>> {
    let balancer = || 0usize..BALANCERS;
    let coordinator = || 0usize..COORDINATORS;
    let any_index = || 0usize..64;
    let event = prop_oneof![
        6 => (1u64..6_000).prop_map(Event::Advance),
        1 => (6_000u64..60_000).prop_map(Event::Advance),
        4 => (any_index(), any::<bool>(), any_index()).prop_map(|(scope, is_from_latest, kind)| Event::Put { scope, is_from_latest, kind }),
        6 => any_index().prop_map(Event::Enter),
        8 => (any_index(), any_index()).prop_map(|(scope, kind)| Event::Change { scope, kind }),
        6 => (coordinator(), 1usize..4).prop_map(|(coordinator, entries)| Event::CatchUp(coordinator, entries)),
        2 => coordinator().prop_map(Event::Elect),
        6 => balancer().prop_map(Event::Exchange),
        5 => balancer().prop_map(Event::StartExchange),
        8 => balancer().prop_map(Event::SendHeartbeat),
        8 => balancer().prop_map(Event::RequestFetch),
        3 => balancer().prop_map(Event::TimeOut),
        8 => balancer().prop_map(Event::Apply),
        5 => balancer().prop_map(Event::Store),
        2 => balancer().prop_map(Event::Crash),
        3 => (balancer(), 0usize..2).prop_map(|(balancer, moves)| Event::Start { balancer, moves }),
        1 => balancer().prop_map(Event::LoseDisk),
        1 => balancer().prop_map(Event::DamageDisk),
        1 => balancer().prop_map(Event::ChangeOwnFile),
        20 => (any_index(), any_index()).prop_map(|(packet, coordinator)| Event::Deliver(packet, coordinator)),
        10 => (any_index(), any_index()).prop_map(|(packet, coordinator)| Event::DeliverAndApply(packet, coordinator)),
        3 => any_index().prop_map(Event::Lose),
        4 => any_index().prop_map(Event::Repeat),
    ];
    prop::collection::vec(event, 1..120)
}

/// A content of a random kind, with a number so that no two are alike.
fn content(kind: usize, number: usize) -> String {
    match kind % 12 {
        0 => String::new(),
        1 => format!("c = {number} # not b{}", kind / 12 % BALANCERS),
        _ => format!("c = {number}"),
    }
}

/// `number` is the event's index in the schedule.
fn play(simulation: &mut Simulation, number: usize, event: &Event) {
    match *event {
        Event::Advance(duration) => simulation.now += duration,
        Event::Put { scope: scope_number, is_from_latest, kind } => {
            simulation.put(scope(scope_number), &content(kind, number), is_from_latest);
        }
        Event::Enter(put) => {
            if !simulation.puts.is_empty() {
                let _ = simulation.enter(put % simulation.puts.len());
            }
        }
        Event::Change { scope: scope_number, kind } => {
            simulation.change(scope(scope_number), &content(kind, number));
        }
        Event::CatchUp(coordinator, entries) => simulation.catch_up(coordinator, entries),
        Event::Elect(coordinator) => simulation.elect(coordinator),
        Event::Deliver(packet, coordinator) => deliver(simulation, packet, coordinator),
        Event::DeliverAndApply(packet, coordinator) => {
            deliver(simulation, packet, coordinator);
            for balancer in 0..BALANCERS {
                simulation.apply(balancer);
            }
        }
        Event::Lose(packet) => {
            if let Some(packet) = packet_index(simulation, packet) {
                simulation.network.remove(packet);
            }
        }
        Event::Repeat(packet) => {
            if let Some(packet) = packet_index(simulation, packet) {
                simulation.network.push(simulation.network[packet].clone());
            }
        }
        _ => play_balancer_event(simulation, event),
    }
}

/// The events that concern one balancer.
fn play_balancer_event(simulation: &mut Simulation, event: &Event) {
    match *event {
        Event::Exchange(balancer) => simulation.exchange(balancer),
        Event::StartExchange(balancer) => simulation.start_exchange(balancer),
        Event::SendHeartbeat(balancer) => simulation.send_heartbeat(balancer),
        Event::RequestFetch(balancer) => simulation.request_fetch(balancer),
        Event::TimeOut(balancer) => simulation.time_out(balancer),
        Event::Apply(balancer) => simulation.apply(balancer),
        Event::Store(balancer) => simulation.store(balancer),
        Event::Crash(balancer) => simulation.crash(balancer),
        Event::Start { balancer, moves } if simulation.balancers[balancer].is_none() => {
            simulation.start(balancer, moves);
        }
        Event::LoseDisk(balancer) => simulation.disks[balancer] = None,
        Event::DamageDisk(balancer) => simulation.damage_disk(balancer),
        Event::ChangeOwnFile(balancer) => {
            if let Some(process) = &mut simulation.balancers[balancer] {
                process.follower.retry_rejected();
            }
        }
        _ => {}
    }
}

fn packet_index(simulation: &Simulation, number: usize) -> Option<usize> {
    let packet_count = simulation.network.len();
    (packet_count > 0).then(|| number % packet_count)
}

/// Two of three messages go to the leader.
fn deliver(simulation: &mut Simulation, packet: usize, number: usize) {
    let is_for_any = number.is_multiple_of(3);
    let coordinator = if is_for_any { number / 3 % COORDINATORS } else { simulation.leader };
    if let Some(packet) = packet_index(simulation, packet) {
        simulation.deliver(packet, coordinator);
    }
}

fn check_schedule(flaw: Flaw, schedule: &[Event]) -> Result<(), String> {
    let mut simulation = Simulation::new(flaw);
    for (step, event) in schedule.iter().enumerate() {
        play(&mut simulation, step, event);
        simulation.check().map_err(|violation| format!("{step}: {event:?}: {violation}"))?;
    }
    simulation.run_undisturbed();
    simulation.check()?;
    simulation.check_converged()
}

fn run(flaw: Flaw) -> Result<(), TestError<Vec<Event>>> {
    let config =
        Config { cases: 5_000, failure_persistence: None, max_shrink_iters: 4_000, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::XorShift));
    runner.run(&schedules(), |schedule| check_schedule(flaw, &schedule).map_err(TestCaseError::fail))
}

#[test]
fn the_active_version_is_complete_and_never_decreases_and_converges_to_the_latest() {
    if let Err(failure) = run(Flaw::None) {
        panic!("{failure}");
    }
}

/// Each flaw is detected by a schedule that is short enough to read.
#[test]
fn each_flaw_is_detected_by_a_short_schedule() {
    const MAX_EVENTS: usize = 20;
    let flaws = [
        Flaw::OlderOverNewer,
        Flaw::ActiveBeforeApplied,
        Flaw::PartlyApplied,
        Flaw::NotifiedOnce,
        Flaw::StoredCopyNotApplied,
        Flaw::StoredCopyOfAnotherTarget,
        Flaw::RejectedReportedAsActive,
    ];
    let is_undetected = |flaw: &Flaw| match run(*flaw) {
        Err(TestError::Fail(reason, schedule)) => {
            println!("{flaw:?}: {} events: {schedule:?}: {reason}", schedule.len());
            schedule.len() > MAX_EVENTS
        }
        _ => true,
    };
    let undetected: Vec<Flaw> = flaws.into_iter().filter(is_undetected).collect();
    assert!(undetected.is_empty(), "{undetected:?}");
}
