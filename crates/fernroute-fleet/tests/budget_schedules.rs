//! Budget grants under thousands of random schedules, drawn from a fixed seed. A schedule that exceeds the limit is
//! shrunk to a minimal one.

mod budget_simulation;

use budget_simulation::{Flaw, Process, Simulation, BUDGET, GUARANTEED_LEASE, LIMIT, QUOTA_LEASE};
use fernroute_fleet::MilliUnits;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

/// Processes, messages and leaders are chosen by a number, modulo how many there are.
#[derive(Clone, Debug)]
enum Event {
    Advance(u64),
    AdvanceLong(u64),
    Start {
        name: u8,
        demand: MilliUnits,
        drift_ppm: i64,
    },
    /// The process is killed and restarted, with the identity that it stored or a new one.
    Restart {
        process: usize,
        has_stored_identity: bool,
    },
    Kill(usize),
    Leave(usize),
    Stop(usize),
    Resume(usize),
    Upgrade(usize),
    EndPredecessor(usize),
    SetDemand(usize, MilliUnits),
    /// Whether the heartbeats of the process name the budget from now on.
    NameBudget(usize, bool),
    SetLimit(MilliUnits),
    /// A complete exchange with the last leader, or with a replaced one.
    Exchange(usize, usize),
    /// A heartbeat is delivered and answered; the reply stays in the network.
    RequestReply(usize, usize),
    SendHeartbeat(usize),
    Deliver(usize, usize),
    Lose(usize),
    Repeat(usize),
    ConfirmLeadership(usize),
    SendReplies(usize),
    Enter(usize),
    EnterAll,
    Elect(i64),
}

const MAX_PROCESSES: usize = 8;

fn schedules() -> impl Strategy<Value = Vec<Event>> {
    let process = || 0usize..MAX_PROCESSES;
    let any_index = || 0usize..64;
    let start = (0u8..5, 0u64..2_000, -1000i64..1000);
    let event = prop_oneof![
        14 => (1u64..6_000).prop_map(Event::Advance),
        3 => (6_000u64..22_000).prop_map(Event::AdvanceLong),
        1 => (22_000u64..80_000).prop_map(Event::AdvanceLong),
        2 => start.prop_map(|(name, demand, drift_ppm)| Event::Start { name, demand, drift_ppm }),
        1 => (process(), any::<bool>())
            .prop_map(|(process, has_stored_identity)| Event::Restart { process, has_stored_identity }),
        1 => process().prop_map(Event::Kill),
        1 => process().prop_map(Event::Leave),
        1 => process().prop_map(Event::Stop),
        2 => process().prop_map(Event::Resume),
        1 => process().prop_map(Event::Upgrade),
        1 => process().prop_map(Event::EndPredecessor),
        5 => (process(), any::<bool>())
            .prop_map(|(process, is_high)| Event::SetDemand(process, if is_high { 3_000 } else { 0 })),
        2 => (process(), any::<bool>()).prop_map(|(process, names)| Event::NameBudget(process, names)),
        1 => (400u64..1_600).prop_map(Event::SetLimit),
        24 => (process(), any_index()).prop_map(|(process, leader)| Event::Exchange(process, leader)),
        5 => (process(), any_index()).prop_map(|(process, leader)| Event::RequestReply(process, leader)),
        3 => process().prop_map(Event::SendHeartbeat),
        8 => (any_index(), any_index()).prop_map(|(packet, leader)| Event::Deliver(packet, leader)),
        2 => any_index().prop_map(Event::Lose),
        2 => any_index().prop_map(Event::Repeat),
        4 => any_index().prop_map(Event::ConfirmLeadership),
        4 => any_index().prop_map(Event::SendReplies),
        5 => any_index().prop_map(Event::Enter),
        6 => Just(Event::EnterAll),
        3 => (-1000i64..1000).prop_map(Event::Elect),
    ];
    prop::collection::vec(event, 20..100)
}

/// The last leader, or one of the two before it.
fn leader_index(simulation: &Simulation, number: usize) -> usize {
    let last_leader = simulation.last_leader();
    last_leader - (number % 3).min(last_leader)
}

fn packet_index(simulation: &Simulation, number: usize) -> Option<usize> {
    let packet_count = simulation.network.len();
    (packet_count > 0).then(|| number % packet_count)
}

fn process_index(simulation: &Simulation, number: usize) -> Option<usize> {
    let process_count = simulation.processes.len();
    (process_count > 0).then(|| number % process_count)
}

fn play(simulation: &mut Simulation, event: &Event) {
    match *event {
        Event::Advance(duration) | Event::AdvanceLong(duration) => simulation.advance(duration),
        Event::Start { name, demand, drift_ppm } => {
            if simulation.processes.len() < MAX_PROCESSES {
                simulation.start(&format!("n{name}"), None, drift_ppm, demand);
            }
        }
        Event::SetLimit(limit) => simulation.set_limit(limit),
        Event::Deliver(packet, leader) => {
            if let Some(packet) = packet_index(simulation, packet) {
                simulation.deliver(packet, leader_index(simulation, leader));
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
        Event::ConfirmLeadership(leader) => simulation.confirm_leadership(leader_index(simulation, leader)),
        Event::SendReplies(leader) => simulation.send_replies(leader_index(simulation, leader)),
        Event::Enter(leader) => simulation.enter(leader_index(simulation, leader)),
        Event::EnterAll => simulation.enter_all(),
        Event::Elect(drift_ppm) => simulation.elect(drift_ppm),
        _ => play_process_event(simulation, event),
    }
}

/// The events that concern one process.
fn play_process_event(simulation: &mut Simulation, event: &Event) {
    let number = match *event {
        Event::Restart { process, .. } => process,
        Event::Kill(process) | Event::Leave(process) | Event::Stop(process) | Event::Resume(process) => {
            process
        }
        Event::Upgrade(process) | Event::EndPredecessor(process) | Event::SendHeartbeat(process) => process,
        Event::SetDemand(process, _) | Event::NameBudget(process, _) => process,
        Event::Exchange(process, _) | Event::RequestReply(process, _) => process,
        _ => return,
    };
    let Some(index) = process_index(simulation, number) else { return };
    match *event {
        Event::Restart { has_stored_identity, .. } => restart(simulation, index, has_stored_identity),
        Event::Kill(_) => simulation.kill(index),
        Event::Leave(_) => leave(simulation, index),
        Event::Upgrade(_) if simulation.processes.len() < MAX_PROCESSES => {
            simulation.upgrade(index);
        }
        Event::EndPredecessor(_) => simulation.end_predecessor(index),
        Event::SendHeartbeat(_) => simulation.send_heartbeat(index),
        Event::Exchange(_, leader) if leader % 4 == 0 => {
            simulation.exchange_with(index, leader_index(simulation, leader));
        }
        Event::Exchange(..) => simulation.exchange(index),
        Event::RequestReply(_, leader) => {
            simulation.request_reply(index, leader_index(simulation, leader));
        }
        _ => set_state(simulation, index, event),
    }
}

/// The events that change a running process's own state.
fn set_state(simulation: &mut Simulation, index: usize, event: &Event) {
    let Some(process) = &mut simulation.processes[index] else { return };
    match *event {
        Event::Stop(_) => process.stopped = true,
        Event::Resume(_) => process.stopped = false,
        Event::SetDemand(_, demand) => process.demand = demand,
        Event::NameBudget(_, names_budget) => process.names_budget = names_budget,
        _ => {}
    }
}

/// A process that takes part in an upgrade has no stored identity of its own.
fn restart(simulation: &mut Simulation, index: usize, has_stored_identity: bool) {
    let Some(process) = &simulation.processes[index] else { return };
    let (name, demand) = (process.name.clone(), process.demand);
    let shares_identity =
        |other: &&Process| other.successor.is_some() || other.member.identity() == process.member.identity();
    let is_alone = simulation.processes.iter().flatten().filter(shares_identity).count() == 1;
    let identity = (has_stored_identity && is_alone).then(|| simulation.identity(index));
    simulation.kill(index);
    simulation.start(&name, identity, 0, demand);
}

/// A process that takes part in an upgrade does not leave.
fn leave(simulation: &mut Simulation, index: usize) {
    let identity = simulation.processes[index].as_ref().map(|process| process.member.identity());
    let running = simulation.processes.iter().flatten();
    if running.filter(|process| Some(process.member.identity()) == identity).count() == 1 {
        simulation.leave(index);
    }
}

fn check_schedule(flaw: Flaw, schedule: &[Event]) -> Result<(), String> {
    let mut simulation = Simulation::new(flaw);
    for (index, demand) in [100, 500, 3_000].into_iter().enumerate() {
        simulation.start(&format!("n{index}"), None, 400 * (index as i64 - 1), demand);
    }
    simulation.run_undisturbed(10_000);
    for (step, event) in schedule.iter().enumerate() {
        let granted_before = simulation.ledger.total_allocated(BUDGET);
        play(&mut simulation, event);
        simulation.check_limit().map_err(|violation| format!("{step}: {event:?}: {violation}"))?;
        let granted = simulation.ledger.total_allocated(BUDGET);
        let limit = simulation.ledger.budgets()[BUDGET].limit;
        if granted > limit.max(granted_before) {
            return Err(format!("{step}: {event:?}: the ledger has granted {granted}, the limit is {limit}"));
        }
    }
    if flaw == Flaw::None && schedule.len().is_multiple_of(4) {
        check_recovery(&mut simulation)?;
    }
    Ok(())
}

/// Once faults have ended nearly all of the budget is allocated again.
fn check_recovery(simulation: &mut Simulation) -> Result<(), String> {
    simulation.network.clear();
    simulation.set_limit(LIMIT);
    simulation.elect(0);
    for index in 0..simulation.processes.len() {
        simulation.end_predecessor(index);
        if let Some(process) = &mut simulation.processes[index] {
            process.stopped = false;
            process.demand = 2 * LIMIT;
            process.names_budget = true;
        }
    }
    simulation.run_undisturbed(GUARANTEED_LEASE.expires_after() + 2 * QUOTA_LEASE.expires_after());
    simulation.check_limit()?;
    let total = simulation.total_allocated();
    let running = simulation.processes.iter().flatten().count();
    if running > 0 && total * 20 < LIMIT * 19 {
        return Err(format!("{running} processes may spend {total} of {LIMIT} after all faults have ended"));
    }
    Ok(())
}

fn run(flaw: Flaw, cases: u32) -> Result<(), TestError<Vec<Event>>> {
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 4_000, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::XorShift));
    runner.run(&schedules(), |schedule| check_schedule(flaw, &schedule).map_err(TestCaseError::fail))
}

#[test]
fn no_schedule_lets_all_together_spend_more_than_the_limit_and_each_recovers() {
    if let Err(failure) = run(Flaw::None, 4_000) {
        panic!("{failure}");
    }
}

#[test]
fn each_flaw_is_detected() {
    let flaws = [
        Flaw::RegrantsQuotasBeforeExpiry,
        Flaw::RegrantsGuaranteedBeforeExpiry,
        Flaw::RemovesMemberOfSameName,
        Flaw::AcceptsOlderEpoch,
        Flaw::AppliesRepeatedReply,
        Flaw::RepliesWithoutLeading,
        Flaw::SuccessorOwnsWholeGrant,
        Flaw::TreatsOfferAsAccepted,
        Flaw::CountsLeaseFromReply,
    ];
    let undetected: Vec<Flaw> = flaws.into_iter().filter(|flaw| run(*flaw, 2_000).is_ok()).collect();
    assert!(undetected.is_empty(), "{undetected:?}");
}
