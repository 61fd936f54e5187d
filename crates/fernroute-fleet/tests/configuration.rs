//! Single cases of a fleet's configuration: which version the leader notifies members of, what it reports on them,
//! and which version they have active.

mod configuration_simulation;

use configuration_simulation::fixtures::{change, heartbeat, ledger_and_leader, parse_scope, report};
use configuration_simulation::{scope, target, Flaw, Simulation, BALANCERS, GUARANTEED_LEASE, QUOTA_LEASE};
use fernroute_fleet::configuration::register::{PutError, Register};
use fernroute_fleet::configuration::rollout::{MemberRollout, RolloutState, RolloutSummary};
use fernroute_fleet::configuration::{ConfigurationReport, Scope, Version};
use fernroute_fleet::leader::Leader;
use fernroute_fleet::message::{Heartbeat, HeartbeatReply};

/// Guards against a notice that is lost for good, and against a notice to a member whose version does not support
/// configuration.
#[test]
fn each_reply_names_the_wanted_version_until_it_is_reported() {
    let (ledger, mut leader) = ledger_and_leader();
    let mut register = Register::default();
    let mut notified = |number, report: Option<ConfigurationReport>, register: &Register| {
        let heartbeat = heartbeat(number, report);
        leader.on_heartbeat(10, &heartbeat, &ledger).expect("a heartbeat");
        leader.reply(&heartbeat, &ledger, register).expect("a reply").configuration
    };
    assert_eq!(notified(1, Some(report(0)), &register), None);
    change(&mut register, parse_scope("all"), "c = 1");
    change(&mut register, parse_scope("service/search"), "c = 2");
    assert_eq!(notified(2, Some(report(0)), &register), Some(1));
    assert_eq!(notified(3, Some(report(0)), &register), Some(1));
    assert_eq!(notified(4, None, &register), None);
    assert_eq!(
        notified(
            5,
            Some(ConfigurationReport { rejected: Some((1, "no".to_owned())), ..report(0) }),
            &register
        ),
        Some(1)
    );
    assert_eq!(notified(6, Some(report(1)), &register), None);
    // A member whose version does not support configuration, and the reply to it.
    let mut json = serde_json::to_value(heartbeat(7, None)).expect("a heartbeat");
    assert!(json.as_object_mut().expect("an object").remove("configuration").is_none());
    assert_eq!(serde_json::from_value::<Heartbeat>(json).expect("a heartbeat"), heartbeat(7, None));
    leader.on_heartbeat(10, &heartbeat(7, None), &ledger).expect("a heartbeat");
    let reply = leader.reply(&heartbeat(7, None), &ledger, &register).expect("a reply");
    let json = serde_json::to_string(&reply).expect("a reply");
    assert!(!json.contains("configuration"), "{json}");
    assert_eq!(serde_json::from_str::<HeartbeatReply>(&json).expect("a reply"), reply);
}

#[test]
fn a_members_rollout_state_is_from_its_last_report_if_it_is_reachable() {
    let (ledger, mut leader) = ledger_and_leader();
    let mut register = Register::default();
    change(&mut register, parse_scope("all"), "c = 1");
    change(&mut register, parse_scope("all"), "c = 2");
    let rollout = |leader: &Leader, now| leader.configuration_states(now, &ledger, &register).remove(0);
    let state = |leader: &Leader, now| rollout(leader, now).state;
    // A new leader has no report yet, and the wanted version is derived from the report.
    let unreachable = MemberRollout::new("b0", 0, None, false);
    assert_eq!((rollout(&leader, 5), state(&leader, 5)), (unreachable, RolloutState::Unreachable));
    let mut received_at = 100;
    let mut number = 10;
    let mut receive = |leader: &mut Leader, report: Option<ConfigurationReport>| {
        (received_at, number) = (received_at + 100, number + 1);
        leader.on_heartbeat(received_at, &heartbeat(number, report), &ledger).expect("a heartbeat");
        received_at
    };
    let rejected =
        |version| Some(ConfigurationReport { rejected: Some((version, "no\nkey".to_owned())), ..report(0) });
    let now = receive(&mut leader, Some(report(0)));
    assert_eq!(state(&leader, now), RolloutState::Pending);
    let now = receive(&mut leader, rejected(1));
    assert_eq!(state(&leader, now), RolloutState::Pending, "an older version was rejected");
    let now = receive(&mut leader, rejected(2));
    assert_eq!(state(&leader, now), RolloutState::Rejected);
    assert_eq!(rollout(&leader, now).rejected, Some((2, "no key".to_owned())));
    let now = receive(&mut leader, Some(report(2)));
    let active = rollout(&leader, now);
    assert_eq!((active.state, active.wanted, active.active), (RolloutState::Active, 2, 2));
    assert_eq!((active.service.as_str(), active.zone.as_str()), ("cart", "east"));
    let now = receive(&mut leader, Some(report(7)));
    assert_eq!((state(&leader, now), leader.highest_reported_version()), (RolloutState::Ahead, 7));
    // A member stops reporting: it was downgraded, or follows no configuration any more.
    let now = receive(&mut leader, None);
    assert_eq!((state(&leader, now), leader.highest_reported_version()), (RolloutState::NotFollowing, 0));
    // Names that no scope can have, or that would break the lines of a table.
    for service in ["", "a/b", "a\nb", &"s".repeat(65)] {
        let now =
            receive(&mut leader, Some(ConfigurationReport { service: service.to_owned(), ..report(2) }));
        assert_eq!(state(&leader, now), RolloutState::NotFollowing);
    }
    let now = receive(&mut leader, Some(ConfigurationReport { zone: String::new(), ..report(2) }));
    assert_eq!(state(&leader, now), RolloutState::Active);
    // Silent for longer than the quota lease.
    assert_eq!(state(&leader, now + QUOTA_LEASE.expires_after()), RolloutState::Active);
    assert_eq!(state(&leader, now + QUOTA_LEASE.expires_after() + 1), RolloutState::Unreachable);
    // A member that leaves is still listed until its removal is entered.
    let last = Heartbeat { leaving: true, ..heartbeat(99, Some(report(2))) };
    leader.on_heartbeat(now, &last, &ledger).expect("a heartbeat");
    assert_eq!(state(&leader, now), RolloutState::Unreachable);
}

/// Guards against an overtaken heartbeat that restores an older state, and against a state that is not updated after a
/// restarted process has begun to number its heartbeats anew.
#[test]
fn an_overtaken_report_is_ignored_and_one_of_a_restarted_process_is_used() {
    let (ledger, mut leader) = ledger_and_leader();
    let register = Register::default();
    let active = |leader: &Leader, now| leader.configuration_states(now, &ledger, &register)[0].active;
    leader.on_heartbeat(100, &heartbeat(1_000, Some(report(5))), &ledger).expect("a heartbeat");
    leader.on_heartbeat(110, &heartbeat(999, Some(report(4))), &ledger).expect("a heartbeat");
    assert_eq!(active(&leader, 110), 5);
    for n in 0..20 {
        leader.on_heartbeat(120 + n * 2_500, &heartbeat(n, Some(report(6))), &ledger).expect("a heartbeat");
    }
    assert_eq!(active(&leader, 50_000), 6);
}

#[test]
fn a_summary_counts_each_member_once_and_is_complete_where_all_reachable_ones_are_active() {
    let member = |state| MemberRollout { state, ..MemberRollout::new("b", 1, None, true) };
    let all = [
        RolloutState::Active,
        RolloutState::Active,
        RolloutState::Pending,
        RolloutState::Rejected,
        RolloutState::Ahead,
        RolloutState::Unreachable,
        RolloutState::NotFollowing,
    ]
    .map(member);
    let summary = RolloutSummary::new(&all);
    let expected =
        RolloutSummary { active: 2, pending: 1, rejected: 1, ahead: 1, unreachable: 1, not_following: 1 };
    assert_eq!((summary, summary.is_complete()), (expected, false));
    assert!(RolloutSummary::new(&[
        member(RolloutState::Active),
        member(RolloutState::Unreachable),
        member(RolloutState::NotFollowing)
    ])
    .is_complete());
    for state in [RolloutState::Pending, RolloutState::Rejected, RolloutState::Ahead] {
        assert!(!RolloutSummary::new(&[member(RolloutState::Active), member(state)]).is_complete());
    }
}

/// Four balancers that have the first change active.
fn converged_fleet() -> Simulation {
    let mut simulation = Simulation::new(Flaw::None);
    simulation.change(Scope::All, "c = 1");
    simulation.run_undisturbed();
    assert_converged(&mut simulation);
    simulation
}

fn assert_converged(simulation: &mut Simulation) {
    simulation.check().expect("the invariants hold");
    simulation.check_converged().expect("all have converged");
}

fn applied_contents(simulation: &Simulation, index: usize) -> Vec<String> {
    simulation.balancers[index].as_ref().expect("the process runs").applied_contents.clone()
}

#[test]
fn after_a_change_of_leaders_the_next_one_sends_the_notice() {
    let mut simulation = converged_fleet();
    simulation.change(Scope::All, "c = 2");
    simulation.elect(1);
    assert!(simulation.rollouts().iter().all(|rollout| rollout.state == RolloutState::Unreachable));
    for index in 0..BALANCERS {
        simulation.start_exchange(index);
    }
    assert!(simulation.rollouts().iter().all(|rollout| rollout.state == RolloutState::Pending));
    simulation.run_undisturbed();
    assert_converged(&mut simulation);
    assert!((0..BALANCERS).all(|index| applied_contents(&simulation, index) == ["c = 2"]));
}

#[test]
fn a_balancer_that_was_stopped_during_two_changes_applies_the_second() {
    let mut simulation = converged_fleet();
    for n in 2..=3 {
        simulation.change(Scope::All, &format!("c = {n}"));
        for index in 1..BALANCERS {
            simulation.exchange(index);
        }
        simulation.now += QUOTA_LEASE.expires_after() + 1;
        for index in 1..BALANCERS {
            simulation.exchange(index);
        }
        simulation.check().expect("the invariants hold");
    }
    assert_eq!(simulation.rollouts()[0].state, RolloutState::Unreachable);
    assert_eq!(applied_contents(&simulation, 0), ["c = 1"]);
    for index in (0..BALANCERS).cycle().take(2 * BALANCERS) {
        simulation.exchange(index);
    }
    assert_converged(&mut simulation);
    assert_eq!(
        (applied_contents(&simulation, 0), simulation.rollouts()[0].state),
        (vec!["c = 3".to_owned()], RolloutState::Active)
    );
}

#[test]
fn of_two_concurrent_changes_the_second_is_refused() {
    let mut simulation = converged_fleet();
    simulation.put(Scope::All, "c = 2", true);
    simulation.put(Scope::All, "c = 3", true);
    assert_eq!(simulation.enter(1), Ok(2));
    assert_eq!(simulation.enter(0), Err(PutError::OutOfDate(2)));
    simulation.run_undisturbed();
    assert_converged(&mut simulation);
    assert!((0..BALANCERS).all(|index| applied_contents(&simulation, index) == ["c = 3"]));
}

#[test]
fn a_change_that_does_not_load_on_one_balancer_is_rejected_there_and_reported() {
    let mut simulation = converged_fleet();
    simulation.change(Scope::All, "c = 2 # not b2");
    simulation.run_undisturbed();
    assert_converged(&mut simulation);
    assert_eq!(applied_contents(&simulation, 2), ["c = 1"]);
    let rollout = &simulation.rollouts()[2];
    assert_eq!(
        (rollout.name.as_str(), rollout.state, rollout.active, rollout.wanted),
        ("b2", RolloutState::Rejected, 1, 2)
    );
    assert_eq!(RolloutSummary::new(&simulation.rollouts()).active, BALANCERS - 1);
    // After a restart it uses its stored copy, and rejects the change again.
    simulation.crash(2);
    simulation.run_undisturbed();
    assert_converged(&mut simulation);
    assert_eq!(applied_contents(&simulation, 2), ["c = 1"]);
}

#[test]
fn a_change_that_reverts_a_pending_one_becomes_active_everywhere() {
    let mut simulation = converged_fleet();
    simulation.change(Scope::All, "c = 2");
    simulation.exchange(0);
    simulation.start_exchange(1);
    simulation.change(Scope::All, "c = 1");
    simulation.run_undisturbed();
    assert_converged(&mut simulation);
    assert!((0..BALANCERS).all(|index| applied_contents(&simulation, index) == ["c = 1"]));
    assert!(simulation.rollouts().iter().all(|rollout| rollout.active == 3));
}

/// The balancer's heartbeats arrive, and the replies to it are lost.
#[test]
fn a_balancer_that_no_reply_reaches_is_pending() {
    let mut simulation = converged_fleet();
    simulation.change(Scope::All, "c = 2");
    for _ in 0..5 {
        simulation.send_heartbeat(0);
        simulation.deliver(0, simulation.leader);
        simulation.network.clear();
        simulation.now += 2_500;
    }
    assert_eq!(
        (simulation.rollouts()[0].state, applied_contents(&simulation, 0)),
        (RolloutState::Pending, vec!["c = 1".to_owned()])
    );
    simulation.run_undisturbed();
    assert_converged(&mut simulation);
}

/// Guards against a coordinator that serves older entries because it has not applied the wanted version yet.
#[test]
fn a_coordinator_that_is_behind_serves_nothing_older() {
    let mut simulation = converged_fleet();
    simulation.change(scope(3), "c = 2");
    let concerned = (0..BALANCERS)
        .find(|n| target(*n, 0).scopes().contains(&scope(3)))
        .expect("the scope concerns a balancer");
    simulation.start_exchange(concerned);
    let behind = (simulation.leader + 1) % 3;
    simulation.deliver(0, behind);
    simulation.deliver(0, behind);
    simulation.apply(concerned);
    assert_eq!(applied_contents(&simulation, concerned), ["c = 1"]);
    simulation.check().expect("the invariants hold");
    simulation.catch_up(behind, 9);
    simulation.now += 2_000;
    simulation.request_fetch(concerned);
    simulation.deliver(0, behind);
    simulation.deliver(0, behind);
    simulation.apply(concerned);
    assert_eq!(applied_contents(&simulation, concerned), ["c = 1", "c = 2"]);
}

#[test]
fn a_balancer_that_crashes_before_storing_restarts_with_its_older_copy_and_follows_again() {
    let mut simulation = converged_fleet();
    simulation.change(Scope::All, "c = 2");
    simulation.start_exchange(0);
    simulation.deliver(0, simulation.leader);
    simulation.deliver(0, simulation.leader);
    simulation.apply(0);
    assert_eq!(applied_contents(&simulation, 0), ["c = 2"]);
    simulation.crash(0);
    simulation.start(0, 0);
    assert_eq!(applied_contents(&simulation, 0), ["c = 1"]);
    // It uses the stored copy while no coordinator is reachable, and the latest version afterwards.
    simulation.now += 10 * GUARANTEED_LEASE.expires_after();
    simulation.check().expect("the invariants hold");
    simulation.run_undisturbed();
    assert_converged(&mut simulation);
    assert_eq!(applied_contents(&simulation, 0), ["c = 2"]);
}

#[test]
fn after_a_hundred_changes_in_ten_seconds_the_last_is_active_everywhere() {
    let mut simulation = converged_fleet();
    for n in 0..100 {
        let version = simulation.change(scope(n % 10), &format!("c = {n}"));
        for index in (0..BALANCERS).filter(|index| n % (index + 1) == 0) {
            simulation.exchange(index);
        }
        simulation.now += 1_000;
        simulation.check().expect("the invariants hold");
        assert_eq!(version, n as Version + 2);
    }
    simulation.run_undisturbed();
    assert_converged(&mut simulation);
}
