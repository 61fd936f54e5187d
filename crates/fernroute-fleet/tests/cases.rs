//! The hard cases one by one, in virtual time.

mod world;

use fernroute_fleet::message::RejectReason;
use fernroute_fleet::MilliUnits;
use world::{Flaw, World, BUDGET, FLOOR, FLOORS, MOST, SHARES, WHOLE};

/// A second.
const SECOND: u64 = 10_000;

/// Members that ask for this much each, after they have divided.
fn fleet(wants: &[MilliUnits]) -> World {
    let mut world = World::new(Flaw::None);
    for (n, wants) in wants.iter().enumerate() {
        world.start(&format!("n{n}"), None, 300 * (n as i64 % 7 - 3), *wants);
    }
    world.calm(2 * SECOND);
    world
}

/// Everybody but these is heard for this long; the promise is checked at each beat.
fn without(world: &mut World, silent: &[usize], time: u64) {
    for _ in 0..time / 2_500 {
        for n in (0..world.processes.len()).filter(|n| !silent.contains(n)) {
            world.round(n);
            world.check().expect("the promise");
        }
        world.settle();
        world.pass(2_500);
        world.check().expect("the promise");
    }
}

fn near_all(amount: MilliUnits) -> bool {
    amount * 20 >= WHOLE * 19 && amount <= WHOLE
}

#[test]
fn demand_decides_and_floors_stay() {
    let world = fleet(&[0, 0, 5_000, 100]);
    assert!(near_all(world.spent()), "{}", world.spent());
    assert!(world.holds(2) > WHOLE / 2 && world.holds(3) >= 100 && world.holds(0) >= FLOOR);
}

/// Noise of a tenth in what is asked for enters nothing.
#[test]
fn noise_moves_nothing() {
    let mut world = fleet(&[300, 300, 300]);
    let epoch = world.ledger.epoch();
    for n in 0..40u64 {
        for m in 0..3 {
            world.process(m).wants = 270 + (n * 7 + m as u64 * 13) % 60;
            world.round(m);
        }
        world.pass(2_500);
    }
    assert_eq!(world.ledger.epoch(), epoch);
}

/// A holder that is stopped for longer than its lease and goes on looks at its clock before it spends.
#[test]
fn a_stopped_holder_finds_its_share_over_and_its_floor_still_there() {
    let mut world = fleet(&[900, 900]);
    let before = world.holds(0);
    world.process(0).stopped = true;
    without(&mut world, &[0], SHARES.expires_after() + SECOND);
    assert!(before > 2 * FLOOR && world.holds(0) == FLOOR && near_all(world.holds(1) + FLOOR));
    world.process(0).stopped = false;
    world.check().expect("the promise");
    world.calm(2 * SECOND);
    assert!(world.holds(0) > WHOLE / 3 && near_all(world.spent()));
    // For longer than its floor, too.
    world.process(0).stopped = true;
    without(&mut world, &[0], FLOORS.expires_after() + SECOND);
    assert_eq!((world.holds(0), world.ledger.allocations().len()), (0, 1));
    world.process(0).stopped = false;
    world.calm(2 * SECOND);
    assert!(near_all(world.spent()) && world.holds(0) > WHOLE / 3);
}

/// Cut off one way: it is heard, and hears nothing. What it holds ends by its own clock, and the ledger keeps it for it.
#[test]
fn a_holder_that_is_heard_and_hears_nothing_spends_its_floor() {
    let mut world = fleet(&[900, 900]);
    let last = world.leaders() - 1;
    for _ in 0..20 {
        world.ask(0, last);
        world.network.clear();
        world.round(1);
        world.check().expect("the promise");
        world.pass(2_500);
    }
    assert_eq!(world.holds(0), FLOOR);
    assert!(world.ledger.total_allocated(BUDGET) <= WHOLE);
    world.calm(SECOND);
    assert!(near_all(world.spent()));
}

/// Half of the fleet cut off: it keeps its shares to the end of the lease, and the other half has them a moment later.
#[test]
fn half_cut_off_falls_back_to_its_floors_and_the_rest_goes_to_the_others() {
    let mut world = fleet(&[400, 400, 400, 400]);
    without(&mut world, &[0, 1], SHARES.expires_after() + SECOND);
    assert_eq!((world.holds(0), world.holds(1)), (FLOOR, FLOOR));
    assert!(near_all(world.spent()), "{}", world.spent());
    world.calm(2 * SECOND);
    assert!(world.holds(0) > 200 && near_all(world.spent()));
}

/// The leader goes in the middle of a division: one has accepted less, and nobody has more yet.
#[test]
fn a_new_leader_gives_nobody_what_an_old_holder_may_still_hold() {
    let mut world = fleet(&[900, 0]);
    let last = world.leaders() - 1;
    world.process(0).wants = 0;
    world.process(1).wants = 900;
    // Each is heard; less is offered to the first, which does not hear of it.
    world.ask(0, last);
    world.ask(1, last);
    world.network.clear();
    world.settle();
    let held = world.holds(0);
    world.elect(0);
    for _ in 0..SHARES.expires_after() / 2_500 {
        world.round(1);
        world.check().expect("the promise");
        assert!(world.holds(1) + held <= WHOLE);
        world.pass(2_500);
    }
    without(&mut world, &[0], SECOND);
    assert!(near_all(world.spent()));
}

/// No grant lapses and none changes while a leader is followed by another within less than a lease.
#[test]
fn a_change_of_leaders_moves_nothing() {
    let mut world = fleet(&[100, 300, 800]);
    let before: Vec<MilliUnits> = (0..3).map(|n| world.holds(n)).collect();
    for _ in 0..10 {
        world.pass(SECOND);
        world.elect(-500);
        // One is late to find the new leader.
        without(&mut world, &[0], 2_500);
        world.calm(2_500);
        assert_eq!((0..3).map(|n| world.holds(n)).collect::<Vec<_>>(), before);
    }
}

#[test]
fn without_any_steward_shares_end_and_floors_stay_and_then_end() {
    let mut world = fleet(&[600, 600]);
    world.pass(SHARES.expires_after());
    assert_eq!((world.holds(0), world.holds(1)), (FLOOR, FLOOR));
    world.pass(FLOORS.expires_after());
    assert_eq!(world.spent(), 0);
    world.elect(0);
    world.calm(2 * SECOND);
    assert!(near_all(world.spent()));
}

/// Two strangers under one name do not get two grants; what the first leaves, the second has.
#[test]
fn a_stranger_under_a_name_gets_nothing_while_the_name_is_held() {
    let mut world = fleet(&[900]);
    let stranger = world.start("n0", None, 0, 900);
    world.calm(SECOND);
    assert_eq!((world.holds(stranger), world.refusals.contains(&RejectReason::NameTaken)), (0, true));
    world.kill(0);
    without(&mut world, &[0], FLOORS.expires_after() + SECOND);
    assert!(near_all(world.holds(stranger)));
    // One that leaves makes room at once.
    let next = world.start("n0", None, 0, 900);
    world.leave(stranger);
    world.deliver(0, world.leaders() - 1);
    world.calm(SECOND);
    assert!(near_all(world.holds(next)));
}

/// A balancer that starts again where it left its identity has its grant with its first beats.
#[test]
fn a_process_that_finds_its_identity_goes_on_where_the_one_before_it_ended() {
    let mut world = fleet(&[900, 300]);
    let (identity, held) = (world.identity(0), world.holds(0));
    world.kill(0);
    let again = world.start("n0", Some(identity), 0, 900);
    assert_eq!(world.holds(again), 0);
    world.round(again);
    assert_eq!(world.holds(again), held);
    world.check().expect("the promise");
}

/// Old and new process of one balancer hold one grant between them, whatever is offered meanwhile; and each may die.
#[test]
fn an_upgrade_spends_one_grant_between_two() {
    for dies in [None, Some(false), Some(true)] {
        let mut world = fleet(&[900, 300]);
        let held = world.holds(0);
        let new = world.upgrade(0).expect("it holds alone");
        assert!(world.holds(0) + world.holds(new) <= held && world.holds(new) >= held / 2 - 1);
        world.process(1).wants = 3_000;
        without(&mut world, &[0], SECOND);
        match dies {
            None => world.end_old(0),
            Some(false) => world.kill(0),
            Some(true) => world.kill(new),
        }
        world.check().expect("the promise");
        world.calm(2 * SECOND);
        world.check().expect("the promise");
        assert!(near_all(world.spent()), "{dies:?} {}", world.spent());
    }
}

#[test]
fn a_whole_made_smaller_comes_back_as_members_hear_of_it_and_never_grows() {
    let mut world = fleet(&[900, 900, 900]);
    world.whole_is(600);
    let mut held = world.ledger.total_allocated(BUDGET);
    for n in 0..40 {
        world.round(n % 2);
        let now = world.ledger.total_allocated(BUDGET);
        assert!(now <= held);
        held = now;
        world.check().expect("the promise");
        world.pass(1_250);
    }
    // The third was never heard of again: what it held beyond its floor has lapsed.
    assert!(world.spent() <= 600 && world.spent() * 20 >= 600 * 19, "{}", world.spent());
}

/// Messages late, twice and out of order, at a leader that is none any more too.
#[test]
fn late_double_and_overtaken_messages_bring_nothing_that_has_lapsed() {
    let mut world = fleet(&[900, 100]);
    let last = world.leaders() - 1;
    (0..6).for_each(|_| world.ask(0, last));
    let late = world.network.clone();
    world.network.clear();
    world.elect(0);
    world.process(0).stopped = true;
    world.process(1).wants = 3_000;
    without(&mut world, &[0], SHARES.expires_after() + SECOND);
    world.process(0).stopped = false;
    for packet in late.iter().rev().chain(&late) {
        world.network.push(packet.clone());
        world.deliver(world.network.len() - 1, last);
        world.check().expect("the promise");
    }
    assert_eq!(world.holds(0), FLOOR);
}

#[test]
fn one_that_comes_and_goes_every_second_moves_only_its_own() {
    let mut world = fleet(&[300, 300, 300]);
    for n in 0..20 {
        let guest = world.start(&format!("guest{n}"), None, 0, 900);
        without(&mut world, &[], SECOND);
        assert!(world.holds(0) + world.holds(1) + world.holds(2) > WHOLE / 2);
        world.leave(guest);
        world.deliver(0, world.leaders() - 1);
        world.settle();
    }
}

/// Its influence ends at an even part of the whole where others want theirs; a name too long, and one too many, get none.
#[test]
fn absurd_demand_gets_an_even_part_at_the_most() {
    let mut world = fleet(&[MilliUnits::MAX, 400, 400]);
    assert!((0..3).all(|n| world.holds(n) >= 390 && world.holds(n) <= 410), "{}", world.spent());
    let long = world.start(&"n".repeat(65), None, 0, 0);
    world.round(long);
    assert_eq!((world.refusals.pop(), world.holds(long)), (Some(RejectReason::InvalidName), 0));
    for n in 3..MOST {
        world.start(&format!("n{n}"), None, 0, 0);
    }
    world.calm(SECOND);
    let many = world.start("many", None, 0, 0);
    world.round(many);
    assert_eq!(world.refusals.pop(), Some(RejectReason::Full));
}

#[test]
fn clocks_at_both_ends_of_the_bound_keep_the_promise() {
    for (holder, leader) in [(-1000, 1000), (1000, -1000), (-1000, -1000), (1000, 1000)] {
        let mut world = World::new(Flaw::None);
        world.elect(leader);
        world.start("n0", None, holder, 900);
        world.start("n1", None, -holder, 900);
        world.calm(2 * SECOND);
        world.process(0).stopped = true;
        for _ in 0..(SHARES.expires_after() + SECOND) / 100 {
            world.round(1);
            world.check().expect("the promise");
            world.pass(100);
        }
        assert!(near_all(world.spent()));
    }
}

/// Guards against floors that lie with members that never spend of them.
#[test]
fn who_does_not_name_a_budget_has_no_part_in_it_and_the_others_have_all_of_it() {
    let mut world = fleet(&[400, 400, 400]);
    world.process(0).names = false;
    without(&mut world, &[], 2 * SECOND);
    assert_eq!(world.holds(0), 0);
    assert!(near_all(world.holds(1) + world.holds(2)), "{}", world.spent());
    let holder = &world.ledger.allocations()[&world.identity(0)];
    assert!(
        holder.latest_grant().guaranteed.is_empty() && holder.latest_grant().quotas.is_empty(),
        "{holder:?}"
    );
    // One that is silent keeps its floor whatever it named last; a new leader knows of it by what it holds.
    world.process(1).stopped = true;
    without(&mut world, &[1], SHARES.expires_after() + SECOND);
    world.elect(0);
    without(&mut world, &[1], SECOND);
    assert_eq!((world.holds(0), world.holds(1)), (0, FLOOR));
    assert!(near_all(world.spent()));
    // It names it again.
    world.process(1).stopped = false;
    world.process(0).names = true;
    without(&mut world, &[], 2 * SECOND);
    assert!((0..3).all(|n| world.holds(n) > WHOLE / 4) && near_all(world.spent()), "{}", world.spent());
}

/// Fifty services' budgets, of which each member names one: grants and steps are as long as what is named.
#[test]
fn grants_hold_what_is_named_and_each_whole_is_in_use() {
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
    ledger.apply(&Entry::Budgets(budgets)).expect("budgets are taken");
    let mut leader = Leader::new(0, &ledger, SHARES, FLOORS, MEMBERS);
    let mut members: Vec<Member> =
        (0..MEMBERS).map(|n| Member::new(&format!("n{n}"), n as u64 + 1, 0)).collect();
    for round in 0..8 {
        let now = 10 + round * 2_500;
        for (n, member) in members.iter_mut().enumerate() {
            let beat = member.heartbeat(now, BudgetAmounts::from([(names[n % SERVICES].clone(), 900)]));
            leader.on_heartbeat(now, &beat, &ledger).expect("there is room");
            if let Ok(answer) = leader.reply(&beat, &ledger, &Register::default()) {
                member.on_reply(now, &answer);
                assert!(answer.grant.guaranteed.len() <= 1 && answer.grant.quotas.len() <= 1);
            }
        }
        while let Some(step) = leader.next_transition(now, &ledger) {
            ledger.apply(&Entry::Transition(step)).expect("it is up to date");
            leader.transition_done();
        }
    }
    for name in &names {
        let held: MilliUnits = members.iter().map(|member| member.allocated(20_000, name)).sum();
        assert!((950..=1_000).contains(&held) && ledger.total_allocated(name) <= 1_000, "{name}: {held}");
    }
}

/// All at once, each with a name of its own: divided in a few steps, and all of it in use.
#[test]
fn a_thousand_members_at_once_are_divided_in_a_few_steps() {
    use fernroute_fleet::configuration::register::Register;
    use fernroute_fleet::leader::Leader;
    use fernroute_fleet::ledger::{Budget, Entry, Ledger};
    use fernroute_fleet::member::Member;
    use fernroute_fleet::BudgetAmounts;

    const THOUSAND: usize = 1_000;
    let mut ledger = Ledger::default();
    let budget = Budget { limit: 1_000_000, guaranteed: 50 };
    ledger.apply(&Entry::Budgets([(BUDGET.to_owned(), budget)].into())).expect("budgets are taken");
    let mut leader = Leader::new(0, &ledger, SHARES, FLOORS, THOUSAND);
    let mut members: Vec<Member> =
        (0..THOUSAND).map(|n| Member::new(&format!("n{n}"), n as u64 + 1, 0)).collect();
    let mut steps = 0;
    for round in 0..6 {
        let now = 10 + round * 2_500;
        for (n, member) in members.iter_mut().enumerate() {
            let wants = BudgetAmounts::from([(BUDGET.to_owned(), if n % 10 == 0 { 5_000 } else { 500 })]);
            let beat = member.heartbeat(now, wants);
            leader.on_heartbeat(now, &beat, &ledger).expect("there is room");
            if let Ok(answer) = leader.reply(&beat, &ledger, &Register::default()) {
                member.on_reply(now, &answer);
            }
        }
        while let Some(step) = leader.next_transition(now, &ledger) {
            ledger.apply(&Entry::Transition(step)).expect("it is up to date");
            leader.transition_done();
            steps += 1;
        }
        let spent: u64 = members.iter().map(|m| m.allocated(now, BUDGET)).sum();
        assert!(spent <= 1_000_000);
    }
    let held: u64 = members.iter().map(|m| m.allocated(15_000, BUDGET)).sum();
    assert!((950_000..=1_000_000).contains(&held) && steps <= 10, "{held} {steps}");
}
