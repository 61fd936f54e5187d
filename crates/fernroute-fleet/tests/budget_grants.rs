//! Single cases of budget grants in virtual time, with faults of members, leaders and the network.

mod budget_simulation;

use budget_simulation::{
    Flaw, Simulation, BUDGET, GUARANTEED, GUARANTEED_LEASE, HEARTBEAT_INTERVAL, LIMIT, MAX_MEMBERS,
    QUOTA_LEASE,
};
use fernroute_fleet::message::RejectReason;
use fernroute_fleet::MilliUnits;

/// In ticks of a tenth of a millisecond.
const SECOND: u64 = 10_000;

/// A fleet of members with these demands, after the budget has been divided among them.
fn divided_fleet(demands: &[MilliUnits]) -> Simulation {
    let mut simulation = Simulation::new(Flaw::None);
    for (index, demand) in demands.iter().enumerate() {
        simulation.start(&format!("n{index}"), None, 300 * (index as i64 % 7 - 3), *demand);
    }
    simulation.run_undisturbed(2 * SECOND);
    simulation
}

/// All but the silent members exchange heartbeats and replies for this long; the limit is checked at each.
fn run_without(simulation: &mut Simulation, silent: &[usize], duration: u64) {
    for _ in 0..duration / HEARTBEAT_INTERVAL {
        for index in 0..simulation.processes.len() {
            if !silent.contains(&index) {
                simulation.exchange(index);
                simulation.check_limit().expect("the limit holds");
            }
        }
        simulation.enter_all();
        simulation.advance(HEARTBEAT_INTERVAL);
        simulation.check_limit().expect("the limit holds");
    }
}

fn is_nearly_limit(amount: MilliUnits) -> bool {
    amount * 20 >= LIMIT * 19 && amount <= LIMIT
}

#[test]
fn quotas_follow_demand_and_guaranteed_amounts_stay() {
    let simulation = divided_fleet(&[0, 0, 5_000, 100]);
    assert!(is_nearly_limit(simulation.total_allocated()), "{}", simulation.total_allocated());
    assert!(
        simulation.allocated(2) > LIMIT / 2
            && simulation.allocated(3) >= 100
            && simulation.allocated(0) >= GUARANTEED
    );
}

/// Guards against a transition for each small variation of demand: here about a tenth.
#[test]
fn noise_in_demand_changes_no_grant() {
    let mut simulation = divided_fleet(&[300, 300, 300]);
    let epoch = simulation.ledger.epoch();
    for round in 0..40u64 {
        for index in 0..3 {
            simulation.process(index).demand = 270 + (round * 7 + index as u64 * 13) % 60;
            simulation.exchange(index);
        }
        simulation.advance(HEARTBEAT_INTERVAL);
    }
    assert_eq!(simulation.ledger.epoch(), epoch);
}

/// Guards against a member that spends on after it was stopped for longer than its lease.
#[test]
fn a_stopped_member_finds_its_quota_expired_and_its_guaranteed_amount_valid() {
    let mut simulation = divided_fleet(&[900, 900]);
    let before = simulation.allocated(0);
    simulation.process(0).stopped = true;
    run_without(&mut simulation, &[0], QUOTA_LEASE.expires_after() + SECOND);
    assert!(
        before > 2 * GUARANTEED
            && simulation.allocated(0) == GUARANTEED
            && is_nearly_limit(simulation.allocated(1) + GUARANTEED)
    );
    simulation.process(0).stopped = false;
    simulation.check_limit().expect("the limit holds");
    simulation.run_undisturbed(2 * SECOND);
    assert!(simulation.allocated(0) > LIMIT / 3 && is_nearly_limit(simulation.total_allocated()));
    // The same when it is stopped for longer than the guaranteed lease.
    simulation.process(0).stopped = true;
    run_without(&mut simulation, &[0], GUARANTEED_LEASE.expires_after() + SECOND);
    assert_eq!((simulation.allocated(0), simulation.ledger.allocations().len()), (0, 1));
    simulation.process(0).stopped = false;
    simulation.run_undisturbed(2 * SECOND);
    assert!(is_nearly_limit(simulation.total_allocated()) && simulation.allocated(0) > LIMIT / 3);
}

/// A member's heartbeats arrive and the replies to it are lost: its quota expires by its own clock, and the ledger
/// keeps the grant reserved.
#[test]
fn a_member_that_receives_no_reply_spends_its_guaranteed_amount() {
    let mut simulation = divided_fleet(&[900, 900]);
    let last = simulation.last_leader();
    for _ in 0..20 {
        simulation.request_reply(0, last);
        simulation.network.clear();
        simulation.exchange(1);
        simulation.check_limit().expect("the limit holds");
        simulation.advance(HEARTBEAT_INTERVAL);
    }
    assert_eq!(simulation.allocated(0), GUARANTEED);
    assert!(simulation.ledger.total_allocated(BUDGET) <= LIMIT);
    simulation.run_undisturbed(SECOND);
    assert!(is_nearly_limit(simulation.total_allocated()));
}

/// The unreachable half keeps its quotas until the lease expires, and the other half gets them soon after.
#[test]
fn an_unreachable_half_keeps_its_guaranteed_amounts_and_the_rest_goes_to_the_others() {
    let mut simulation = divided_fleet(&[400, 400, 400, 400]);
    run_without(&mut simulation, &[0, 1], QUOTA_LEASE.expires_after() + SECOND);
    assert_eq!((simulation.allocated(0), simulation.allocated(1)), (GUARANTEED, GUARANTEED));
    assert!(is_nearly_limit(simulation.total_allocated()), "{}", simulation.total_allocated());
    simulation.run_undisturbed(2 * SECOND);
    assert!(simulation.allocated(0) > 200 && is_nearly_limit(simulation.total_allocated()));
}

/// The leader is replaced after it has offered a smaller grant, and before it offers a larger one to another member.
#[test]
fn a_new_leader_grants_nothing_that_another_member_may_still_hold() {
    let mut simulation = divided_fleet(&[900, 0]);
    let last = simulation.last_leader();
    simulation.process(0).demand = 0;
    simulation.process(1).demand = 900;
    // Both heartbeats arrive; the first member is offered less, and does not receive the offer.
    simulation.request_reply(0, last);
    simulation.request_reply(1, last);
    simulation.network.clear();
    simulation.enter_all();
    let allocated_before = simulation.allocated(0);
    simulation.elect(0);
    for _ in 0..QUOTA_LEASE.expires_after() / HEARTBEAT_INTERVAL {
        simulation.exchange(1);
        simulation.check_limit().expect("the limit holds");
        assert!(simulation.allocated(1) + allocated_before <= LIMIT);
        simulation.advance(HEARTBEAT_INTERVAL);
    }
    run_without(&mut simulation, &[0], SECOND);
    assert!(is_nearly_limit(simulation.total_allocated()));
}

/// No grant expires or changes while leaders replace each other within less than a lease.
#[test]
fn a_change_of_leaders_changes_no_grant() {
    let mut simulation = divided_fleet(&[100, 300, 800]);
    let before: Vec<MilliUnits> = (0..3).map(|index| simulation.allocated(index)).collect();
    for _ in 0..10 {
        simulation.advance(SECOND);
        simulation.elect(-500);
        // One member is late to find the new leader.
        run_without(&mut simulation, &[0], 2_500);
        simulation.run_undisturbed(2_500);
        assert_eq!((0..3).map(|index| simulation.allocated(index)).collect::<Vec<_>>(), before);
    }
}

#[test]
fn without_any_coordinator_quotas_expire_first_and_guaranteed_amounts_later() {
    let mut simulation = divided_fleet(&[600, 600]);
    simulation.advance(QUOTA_LEASE.expires_after());
    assert_eq!((simulation.allocated(0), simulation.allocated(1)), (GUARANTEED, GUARANTEED));
    simulation.advance(GUARANTEED_LEASE.expires_after());
    assert_eq!(simulation.total_allocated(), 0);
    simulation.elect(0);
    simulation.run_undisturbed(2 * SECOND);
    assert!(is_nearly_limit(simulation.total_allocated()));
}

/// Guards against two grants under one name. The second member gets a grant once the first one's has expired.
#[test]
fn another_member_of_the_same_name_gets_nothing_while_the_first_may_hold_a_grant() {
    let mut simulation = divided_fleet(&[900]);
    let namesake = simulation.start("n0", None, 0, 900);
    simulation.run_undisturbed(SECOND);
    assert_eq!(
        (simulation.allocated(namesake), simulation.rejections.contains(&RejectReason::NameTaken)),
        (0, true)
    );
    simulation.kill(0);
    run_without(&mut simulation, &[0], GUARANTEED_LEASE.expires_after() + SECOND);
    assert!(is_nearly_limit(simulation.allocated(namesake)));
    // A member that leaves frees its grant at once.
    let third = simulation.start("n0", None, 0, 900);
    simulation.leave(namesake);
    simulation.deliver(0, simulation.last_leader());
    simulation.run_undisturbed(SECOND);
    assert!(is_nearly_limit(simulation.allocated(third)));
}

/// Guards against a restarted balancer that has to wait until the grant of its former process expires.
#[test]
fn a_restarted_process_with_its_stored_identity_gets_its_grant_back() {
    let mut simulation = divided_fleet(&[900, 300]);
    let (identity, allocated_before) = (simulation.identity(0), simulation.allocated(0));
    simulation.kill(0);
    let restarted = simulation.start("n0", Some(identity), 0, 900);
    assert_eq!(simulation.allocated(restarted), 0);
    simulation.exchange(restarted);
    assert_eq!(simulation.allocated(restarted), allocated_before);
    simulation.check_limit().expect("the limit holds");
}

/// Which of two processes of a balancer is killed.
#[derive(Clone, Copy, Debug)]
enum KilledProcess {
    Predecessor,
    Successor,
}

/// Guards against two processes of one balancer that spend more than its grant, whatever is offered during the
/// upgrade and whichever of the two ends first.
#[test]
fn a_predecessor_and_its_successor_spend_one_grant() {
    for killed in [None, Some(KilledProcess::Predecessor), Some(KilledProcess::Successor)] {
        let mut simulation = divided_fleet(&[900, 300]);
        let allocated_before = simulation.allocated(0);
        let successor = simulation.upgrade(0).expect("the grant is not shared yet");
        assert!(
            simulation.allocated(0) + simulation.allocated(successor) <= allocated_before
                && simulation.allocated(successor) >= allocated_before / 2 - 1
        );
        simulation.process(1).demand = 3_000;
        run_without(&mut simulation, &[0], SECOND);
        match killed {
            None => simulation.end_predecessor(0),
            Some(KilledProcess::Predecessor) => simulation.kill(0),
            Some(KilledProcess::Successor) => simulation.kill(successor),
        }
        simulation.check_limit().expect("the limit holds");
        simulation.run_undisturbed(2 * SECOND);
        simulation.check_limit().expect("the limit holds");
        assert!(is_nearly_limit(simulation.total_allocated()), "{killed:?} {}", simulation.total_allocated());
    }
}

#[test]
fn after_a_lower_limit_the_granted_total_shrinks_to_it_and_never_grows() {
    let mut simulation = divided_fleet(&[900, 900, 900]);
    simulation.set_limit(600);
    let mut previous_total = simulation.ledger.total_allocated(BUDGET);
    for n in 0..40 {
        simulation.exchange(n % 2);
        let total = simulation.ledger.total_allocated(BUDGET);
        assert!(total <= previous_total);
        previous_total = total;
        simulation.check_limit().expect("the limit holds");
        simulation.advance(1_250);
    }
    // The third member stayed silent: its quota has expired.
    assert!(
        simulation.total_allocated() <= 600 && simulation.total_allocated() * 20 >= 600 * 19,
        "{}",
        simulation.total_allocated()
    );
}

/// Guards against leases that are renewed by old messages, also through a leader that has been replaced.
#[test]
fn late_repeated_and_reordered_messages_renew_nothing_that_has_expired() {
    let mut simulation = divided_fleet(&[900, 100]);
    let last = simulation.last_leader();
    for _ in 0..6 {
        simulation.request_reply(0, last);
    }
    let late = simulation.network.clone();
    simulation.network.clear();
    simulation.elect(0);
    simulation.process(0).stopped = true;
    simulation.process(1).demand = 3_000;
    run_without(&mut simulation, &[0], QUOTA_LEASE.expires_after() + SECOND);
    simulation.process(0).stopped = false;
    for packet in late.iter().rev().chain(&late) {
        simulation.network.push(packet.clone());
        simulation.deliver(simulation.network.len() - 1, last);
        simulation.check_limit().expect("the limit holds");
    }
    assert_eq!(simulation.allocated(0), GUARANTEED);
}

#[test]
fn a_member_that_joins_and_leaves_each_second_leaves_the_others_their_quotas() {
    let mut simulation = divided_fleet(&[300, 300, 300]);
    for n in 0..20 {
        let guest = simulation.start(&format!("guest{n}"), None, 0, 900);
        run_without(&mut simulation, &[], SECOND);
        assert!(simulation.allocated(0) + simulation.allocated(1) + simulation.allocated(2) > LIMIT / 2);
        simulation.leave(guest);
        simulation.deliver(0, simulation.last_leader());
        simulation.enter_all();
    }
}

/// Guards against one member that takes the budget from the others, and against an unbounded number of members or
/// length of a name.
#[test]
fn a_demand_without_bound_gets_an_even_share_and_names_and_members_are_bounded() {
    let mut simulation = divided_fleet(&[MilliUnits::MAX, 400, 400]);
    assert!(
        (0..3).all(|index| (390..=410).contains(&simulation.allocated(index))),
        "{}",
        simulation.total_allocated()
    );
    let long = simulation.start(&"n".repeat(65), None, 0, 0);
    simulation.exchange(long);
    assert_eq!(
        (simulation.rejections.pop(), simulation.allocated(long)),
        (Some(RejectReason::InvalidName), 0)
    );
    for n in 3..MAX_MEMBERS {
        simulation.start(&format!("n{n}"), None, 0, 0);
    }
    simulation.run_undisturbed(SECOND);
    let surplus = simulation.start("surplus", None, 0, 0);
    simulation.exchange(surplus);
    assert_eq!(simulation.rejections.pop(), Some(RejectReason::Full));
}

#[test]
fn the_limit_holds_with_clocks_at_both_ends_of_the_drift_bound() {
    for (member_ppm, leader_ppm) in [(-1000, 1000), (1000, -1000), (-1000, -1000), (1000, 1000)] {
        let mut simulation = Simulation::new(Flaw::None);
        simulation.elect(leader_ppm);
        simulation.start("n0", None, member_ppm, 900);
        simulation.start("n1", None, -member_ppm, 900);
        simulation.run_undisturbed(2 * SECOND);
        simulation.process(0).stopped = true;
        for _ in 0..(QUOTA_LEASE.expires_after() + SECOND) / 100 {
            simulation.exchange(1);
            simulation.check_limit().expect("the limit holds");
            simulation.advance(100);
        }
        assert!(is_nearly_limit(simulation.total_allocated()));
    }
}

/// Guards against guaranteed amounts that are reserved for members that never spend them.
#[test]
fn a_member_that_does_not_name_a_budget_has_no_part_in_it() {
    let mut simulation = divided_fleet(&[400, 400, 400]);
    simulation.process(0).names_budget = false;
    run_without(&mut simulation, &[], 2 * SECOND);
    assert_eq!(simulation.allocated(0), 0);
    assert!(
        is_nearly_limit(simulation.allocated(1) + simulation.allocated(2)),
        "{}",
        simulation.total_allocated()
    );
    let allocation = &simulation.ledger.allocations()[&simulation.identity(0)];
    assert!(
        allocation.latest_grant().guaranteed.is_empty() && allocation.latest_grant().quotas.is_empty(),
        "{allocation:?}"
    );
    // A silent member keeps its guaranteed amount; a new leader knows its budgets from its grant.
    simulation.process(1).stopped = true;
    run_without(&mut simulation, &[1], QUOTA_LEASE.expires_after() + SECOND);
    simulation.elect(0);
    run_without(&mut simulation, &[1], SECOND);
    assert_eq!((simulation.allocated(0), simulation.allocated(1)), (0, GUARANTEED));
    assert!(is_nearly_limit(simulation.total_allocated()));
    // The first member names the budget again.
    simulation.process(1).stopped = false;
    simulation.process(0).names_budget = true;
    run_without(&mut simulation, &[], 2 * SECOND);
    assert!(
        (0..3).all(|index| simulation.allocated(index) > LIMIT / 4)
            && is_nearly_limit(simulation.total_allocated()),
        "{}",
        simulation.total_allocated()
    );
}

/// Guards against grants and transitions whose length grows with the number of all budgets: each member names one of
/// fifty.
#[test]
fn grants_hold_only_named_budgets_and_each_budget_is_nearly_used_up() {
    use fernroute_fleet::configuration::register::Register;
    use fernroute_fleet::leader::Leader;
    use fernroute_fleet::ledger::{Budget, Entry, Ledger};
    use fernroute_fleet::member::Member;
    use fernroute_fleet::BudgetAmounts;

    const SERVICES: usize = 50;
    const MEMBERS: usize = 200;
    let names: Vec<String> = (0..SERVICES).map(|n| format!("service{n}")).collect();
    let budget = Budget { limit: 1_000, guaranteed: 5 };
    let mut ledger = Ledger::default();
    let budgets = names.iter().map(|name| (name.clone(), budget.clone())).collect();
    ledger.apply(&Entry::Budgets(budgets)).expect("budgets are accepted");
    let mut leader = Leader::new(0, &ledger, QUOTA_LEASE, GUARANTEED_LEASE, MEMBERS);
    let mut members: Vec<Member> =
        (0..MEMBERS).map(|n| Member::new(&format!("n{n}"), n as u64 + 1, 0)).collect();
    for round in 0..8 {
        let now = 10 + round * 2_500;
        for (index, member) in members.iter_mut().enumerate() {
            let heartbeat =
                member.heartbeat(now, BudgetAmounts::from([(names[index % SERVICES].clone(), 900)]));
            leader.on_heartbeat(now, &heartbeat, &ledger).expect("there is room for the member");
            if let Ok(reply) = leader.reply(&heartbeat, &ledger, &Register::default()) {
                member.on_reply(now, &reply);
                assert!(reply.grant.guaranteed.len() <= 1 && reply.grant.quotas.len() <= 1);
            }
        }
        while let Some(transition) = leader.next_transition(now, &ledger) {
            ledger.apply(&Entry::Transition(transition)).expect("the transition is up to date");
            leader.transition_done();
        }
    }
    for name in &names {
        let total: MilliUnits = members.iter().map(|member| member.allocated(20_000, name)).sum();
        assert!((950..=1_000).contains(&total) && ledger.total_allocated(name) <= 1_000, "{name}: {total}");
    }
}

/// Guards against one transition per member that joins: many joins share a transition.
#[test]
fn a_thousand_members_at_once_get_their_grants_in_few_transitions() {
    use fernroute_fleet::configuration::register::Register;
    use fernroute_fleet::leader::Leader;
    use fernroute_fleet::ledger::{Budget, Entry, Ledger};
    use fernroute_fleet::member::Member;
    use fernroute_fleet::BudgetAmounts;

    const MEMBERS: usize = 1_000;
    let mut ledger = Ledger::default();
    let budget = Budget { limit: 1_000_000, guaranteed: 50 };
    ledger.apply(&Entry::Budgets([(BUDGET.to_owned(), budget)].into())).expect("budgets are accepted");
    let mut leader = Leader::new(0, &ledger, QUOTA_LEASE, GUARANTEED_LEASE, MEMBERS);
    let mut members: Vec<Member> =
        (0..MEMBERS).map(|n| Member::new(&format!("n{n}"), n as u64 + 1, 0)).collect();
    let mut transitions = 0;
    for round in 0..6 {
        let now = 10 + round * 2_500;
        for (index, member) in members.iter_mut().enumerate() {
            let demand =
                BudgetAmounts::from([(BUDGET.to_owned(), if index % 10 == 0 { 5_000 } else { 500 })]);
            let heartbeat = member.heartbeat(now, demand);
            leader.on_heartbeat(now, &heartbeat, &ledger).expect("there is room for the member");
            if let Ok(reply) = leader.reply(&heartbeat, &ledger, &Register::default()) {
                member.on_reply(now, &reply);
            }
        }
        while let Some(transition) = leader.next_transition(now, &ledger) {
            ledger.apply(&Entry::Transition(transition)).expect("the transition is up to date");
            leader.transition_done();
            transitions += 1;
        }
        let total: u64 = members.iter().map(|member| member.allocated(now, BUDGET)).sum();
        assert!(total <= 1_000_000);
    }
    let total: u64 = members.iter().map(|member| member.allocated(15_000, BUDGET)).sum();
    assert!((950_000..=1_000_000).contains(&total) && transitions <= 10, "{total} {transitions}");
}
