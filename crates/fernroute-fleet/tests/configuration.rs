//! Configuration in a fleet, case by case: what the leader tells its members and says of them, and what they go by.

mod configuration_world;

use configuration_world::parts::{beat, change, led, of, report};
use configuration_world::{place, scope, Flaw, World, BALANCERS, FLOORS, SHARES};
use fernroute_fleet::configuration::register::{PutError, Register};
use fernroute_fleet::configuration::rollout::{MemberRollout, RolloutState, RolloutSummary};
use fernroute_fleet::configuration::{ConfigurationReport, Scope, Version};
use fernroute_fleet::leader::Leader;
use fernroute_fleet::message::{Heartbeat, HeartbeatReply};

/// Guards against a notice that is lost for ever, and against words to a member that knows none of this.
#[test]
fn a_version_is_told_with_each_answer_until_it_is_reported() {
    let (ledger, mut leader) = led();
    let mut register = Register::default();
    let mut told = |number, report: Option<ConfigurationReport>, register: &Register| {
        let beat = beat(number, report);
        leader.on_heartbeat(10, &beat, &ledger).expect("a beat");
        leader.reply(&beat, &ledger, register).expect("it is answered").configuration
    };
    assert_eq!(told(1, Some(report(0)), &register), None);
    change(&mut register, of("all"), "c = 1");
    change(&mut register, of("service/search"), "c = 2");
    assert_eq!(told(2, Some(report(0)), &register), Some(1));
    assert_eq!(told(3, Some(report(0)), &register), Some(1));
    assert_eq!(told(4, None, &register), None);
    assert_eq!(
        told(5, Some(ConfigurationReport { rejected: Some((1, "no".to_owned())), ..report(0) }), &register),
        Some(1)
    );
    assert_eq!(told(6, Some(report(1)), &register), None);
    // A member of before this was known, and an answer to it.
    let mut json = serde_json::to_value(beat(7, None)).expect("a beat");
    assert!(json.as_object_mut().expect("an object").remove("configuration").is_none());
    assert_eq!(serde_json::from_value::<Heartbeat>(json).expect("a beat"), beat(7, None));
    leader.on_heartbeat(10, &beat(7, None), &ledger).expect("a beat");
    let answer = leader.reply(&beat(7, None), &ledger, &register).expect("it is answered");
    let json = serde_json::to_string(&answer).expect("an answer");
    assert!(!json.contains("configuration"), "{json}");
    assert_eq!(serde_json::from_str::<HeartbeatReply>(&json).expect("an answer"), answer);
}

#[test]
fn a_members_standing_is_what_it_last_said_if_that_was_lately() {
    let (ledger, mut leader) = led();
    let mut register = Register::default();
    change(&mut register, of("all"), "c = 1");
    change(&mut register, of("all"), "c = 2");
    let at = |leader: &Leader, now| leader.configuration_states(now, &ledger, &register).remove(0);
    let is = |leader: &Leader, now| at(leader, now).state;
    // A new leader has heard nothing yet; what is wanted depends on where the member stands.
    let nothing = MemberRollout::new("b0", 0, None, false);
    assert_eq!((at(&leader, 5), is(&leader, 5)), (nothing, RolloutState::Unreachable));
    let mut now = 100;
    let mut number = 10;
    let mut hear = |leader: &mut Leader, report: Option<ConfigurationReport>| {
        (now, number) = (now + 100, number + 1);
        leader.on_heartbeat(now, &beat(number, report), &ledger).expect("a beat");
        now
    };
    let refused =
        |version| Some(ConfigurationReport { rejected: Some((version, "no\nkey".to_owned())), ..report(0) });
    let t = hear(&mut leader, Some(report(0)));
    assert_eq!(is(&leader, t), RolloutState::Pending);
    let t = hear(&mut leader, refused(1));
    assert_eq!(is(&leader, t), RolloutState::Pending, "an older one was refused");
    let t = hear(&mut leader, refused(2));
    assert_eq!(is(&leader, t), RolloutState::Rejected);
    assert_eq!(at(&leader, t).rejected, Some((2, "no key".to_owned())));
    let t = hear(&mut leader, Some(report(2)));
    let line = at(&leader, t);
    assert_eq!((line.state, line.wanted, line.active), (RolloutState::Active, 2, 2));
    assert_eq!((line.service.as_str(), line.zone.as_str()), ("cart", "east"));
    let t = hear(&mut leader, Some(report(7)));
    assert_eq!((is(&leader, t), leader.highest_reported_version()), (RolloutState::Ahead, 7));
    // It has reported, and is of an older version now, or follows none any more.
    let t = hear(&mut leader, None);
    assert_eq!((is(&leader, t), leader.highest_reported_version()), (RolloutState::NotFollowing, 0));
    // Names that nobody could have given a scope, and what would break a table.
    for service in ["", "a/b", "a\nb", &"s".repeat(65)] {
        let t = hear(&mut leader, Some(ConfigurationReport { service: service.to_owned(), ..report(2) }));
        assert_eq!(is(&leader, t), RolloutState::NotFollowing);
    }
    let t = hear(&mut leader, Some(ConfigurationReport { zone: String::new(), ..report(2) }));
    assert_eq!(is(&leader, t), RolloutState::Active);
    // Silent for longer than a share is held.
    assert_eq!(is(&leader, t + SHARES.expires_after()), RolloutState::Active);
    assert_eq!(is(&leader, t + SHARES.expires_after() + 1), RolloutState::Unreachable);
    // It says that it leaves, and is still a member until that is entered.
    let last = Heartbeat { leaving: true, ..beat(99, Some(report(2))) };
    leader.on_heartbeat(t, &last, &ledger).expect("a beat");
    assert_eq!(is(&leader, t), RolloutState::Unreachable);
}

/// Guards against a status that a late beat sets back, and against one that stays as it was for good when a machine has
/// begun to count anew.
#[test]
fn an_overtaken_beat_says_nothing_and_a_machine_that_counts_anew_is_heard() {
    let (ledger, mut leader) = led();
    let register = Register::default();
    let in_force = |leader: &Leader, now| leader.configuration_states(now, &ledger, &register)[0].active;
    leader.on_heartbeat(100, &beat(1_000, Some(report(5))), &ledger).expect("a beat");
    leader.on_heartbeat(110, &beat(999, Some(report(4))), &ledger).expect("a beat");
    assert_eq!(in_force(&leader, 110), 5);
    for n in 0..20 {
        leader.on_heartbeat(120 + n * 2_500, &beat(n, Some(report(6))), &ledger).expect("a beat");
    }
    assert_eq!(in_force(&leader, 50_000), 6);
}

#[test]
fn a_summary_counts_each_once_and_is_in_force_where_all_that_are_heard_of_are() {
    let line = |standing| MemberRollout { state: standing, ..MemberRollout::new("b", 1, None, true) };
    let all = [
        RolloutState::Active,
        RolloutState::Active,
        RolloutState::Pending,
        RolloutState::Rejected,
        RolloutState::Ahead,
        RolloutState::Unreachable,
        RolloutState::NotFollowing,
    ]
    .map(line);
    let summary = RolloutSummary::new(&all);
    let one =
        RolloutSummary { active: 2, pending: 1, rejected: 1, ahead: 1, unreachable: 1, not_following: 1 };
    assert_eq!((summary, summary.is_complete()), (one, false));
    assert!(RolloutSummary::new(&[
        line(RolloutState::Active),
        line(RolloutState::Unreachable),
        line(RolloutState::NotFollowing)
    ])
    .is_complete());
    for standing in [RolloutState::Pending, RolloutState::Rejected, RolloutState::Ahead] {
        assert!(!RolloutSummary::new(&[line(RolloutState::Active), line(standing)]).is_complete());
    }
}

/// Four balancers that go by the first change.
fn fleet() -> World {
    let mut world = World::new(Flaw::None);
    world.change(Scope::All, "c = 1");
    world.calm();
    settled(&mut world);
    world
}

fn settled(world: &mut World) {
    world.check().expect("the promise");
    world.check_settled().expect("all is calm");
}

fn running(world: &World, n: usize) -> Vec<String> {
    world.balancers[n].as_ref().expect("it runs").running.clone()
}

#[test]
fn a_leader_that_goes_between_entry_and_notice_leaves_the_notice_to_the_next() {
    let mut world = fleet();
    world.change(Scope::All, "c = 2");
    world.elect(1);
    assert!(world.standings().iter().all(|line| line.state == RolloutState::Unreachable));
    (0..BALANCERS).for_each(|n| world.begin(n));
    assert!(world.standings().iter().all(|line| line.state == RolloutState::Pending));
    world.calm();
    settled(&mut world);
    assert!((0..BALANCERS).all(|n| running(&world, n) == ["c = 2"]));
}

#[test]
fn a_balancer_that_stood_still_over_two_changes_goes_by_the_second() {
    let mut world = fleet();
    for n in 2..=3 {
        world.change(Scope::All, &format!("c = {n}"));
        (1..BALANCERS).for_each(|n| world.round(n));
        world.now += SHARES.expires_after() + 1;
        (1..BALANCERS).for_each(|n| world.round(n));
        world.check().expect("the promise");
    }
    assert_eq!(world.standings()[0].state, RolloutState::Unreachable);
    assert_eq!(running(&world, 0), ["c = 1"]);
    (0..BALANCERS).cycle().take(2 * BALANCERS).for_each(|n| world.round(n));
    settled(&mut world);
    assert_eq!(
        (running(&world, 0), world.standings()[0].state),
        (vec!["c = 3".to_owned()], RolloutState::Active)
    );
}

#[test]
fn of_two_operators_at_once_the_second_is_told_and_changes_nothing() {
    let mut world = fleet();
    world.put(Scope::All, "c = 2", true);
    world.put(Scope::All, "c = 3", true);
    assert_eq!(world.enter(1), Ok(2));
    assert_eq!(world.enter(0), Err(PutError::OutOfDate(2)));
    world.calm();
    settled(&mut world);
    assert!((0..BALANCERS).all(|n| running(&world, n) == ["c = 3"]));
}

#[test]
fn a_change_that_loads_everywhere_but_on_one_is_refused_there_and_named() {
    let mut world = fleet();
    world.change(Scope::All, "c = 2 # not b2");
    world.calm();
    settled(&mut world);
    assert_eq!(running(&world, 2), ["c = 1"]);
    let line = &world.standings()[2];
    assert_eq!(
        (line.name.as_str(), line.state, line.active, line.wanted),
        ("b2", RolloutState::Rejected, 1, 2)
    );
    assert_eq!(RolloutSummary::new(&world.standings()).active, BALANCERS - 1);
    // It starts again: by its copy, and refuses anew.
    world.crash(2);
    world.calm();
    settled(&mut world);
    assert_eq!(running(&world, 2), ["c = 1"]);
}

#[test]
fn a_change_that_undoes_one_on_its_way_is_in_force_wherever_that_had_come() {
    let mut world = fleet();
    world.change(Scope::All, "c = 2");
    world.round(0);
    world.begin(1);
    world.change(Scope::All, "c = 1");
    world.calm();
    settled(&mut world);
    assert!((0..BALANCERS).all(|n| running(&world, n) == ["c = 1"]));
    assert!(world.standings().iter().all(|line| line.active == 3));
}

/// It is heard, and hears nothing.
#[test]
fn a_balancer_that_is_cut_off_one_way_is_on_its_way() {
    let mut world = fleet();
    world.change(Scope::All, "c = 2");
    for _ in 0..5 {
        world.beat(0);
        world.deliver(0, world.leads);
        world.network.clear();
        world.now += 2_500;
    }
    assert_eq!(
        (world.standings()[0].state, running(&world, 0)),
        (RolloutState::Pending, vec!["c = 1".to_owned()])
    );
    world.calm();
    settled(&mut world);
}

/// Stewards that have not applied it say so; nobody goes by what one of them still has.
#[test]
fn a_steward_that_lags_hands_nothing_older_out() {
    let mut world = fleet();
    world.change(scope(3), "c = 2");
    let whose = (0..BALANCERS).find(|n| place(*n, 0).scopes().contains(&scope(3))).expect("somebody's");
    world.begin(whose);
    let lags = (world.leads + 1) % 3;
    world.deliver(0, lags);
    world.deliver(0, lags);
    world.apply(whose);
    assert_eq!(running(&world, whose), ["c = 1"]);
    world.check().expect("the promise");
    world.catch_up(lags, 9);
    world.now += 2_000;
    world.ask(whose);
    world.deliver(0, lags);
    world.deliver(0, lags);
    world.apply(whose);
    assert_eq!(running(&world, whose), ["c = 1", "c = 2"]);
}

#[test]
fn one_that_ends_between_applying_and_keeping_starts_by_its_copy_and_follows_again() {
    let mut world = fleet();
    world.change(Scope::All, "c = 2");
    world.begin(0);
    world.deliver(0, world.leads);
    world.deliver(0, world.leads);
    world.apply(0);
    assert_eq!(running(&world, 0), ["c = 2"]);
    world.crash(0);
    world.start(0, 0);
    assert_eq!(running(&world, 0), ["c = 1"]);
    // No steward for long: it goes on by the copy; then by the latest.
    world.now += 10 * FLOORS.expires_after();
    world.check().expect("the promise");
    world.calm();
    settled(&mut world);
    assert_eq!(running(&world, 0), ["c = 2"]);
}

#[test]
fn a_hundred_changes_in_ten_seconds_end_with_the_last_everywhere() {
    let mut world = fleet();
    for n in 0..100 {
        let version = world.change(scope(n % 10), &format!("c = {n}"));
        (0..BALANCERS).filter(|b| n % (b + 1) == 0).for_each(|b| world.round(b));
        world.now += 1_000;
        world.check().expect("the promise");
        assert_eq!(version, n as Version + 2);
    }
    world.calm();
    settled(&mut world);
}
