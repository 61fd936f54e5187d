//! Duties by single cases: who gets one, when it ends and why, and what the table refuses.

mod duties_world;

use duties_world::{Flaw, World, DUTIES, LEASE, MEMBERS};
use fernroute_fleet::duties::fence::{Fence, StaleTerm};
use fernroute_fleet::duties::holder::{Event, MemberDuties, StopReason};
use fernroute_fleet::duties::leader::Leader;
use fernroute_fleet::duties::placement::choose;
use fernroute_fleet::duties::table::{
    DutyEnd, DutyEntry, DutyError, DutyGrant, DutyNote, DutyTable, DutyTransition,
};
use fernroute_fleet::duties::{
    hold_duration, Candidate, DutyAssignments, DutyReport, EndReason, MAX_DUTIES, MAX_NOTE_CHARS,
};
use fernroute_fleet::message::{Heartbeat, HeartbeatReply};
use fernroute_fleet::BudgetAmounts;
use std::collections::{BTreeMap, BTreeSet};

fn candidate(identity: u64) -> Candidate {
    Candidate { identity, incarnation: 7 }
}

fn grant(duty: &str, identity: u64) -> DutyGrant {
    DutyGrant { duty: duty.to_owned(), candidate: candidate(identity), name: format!("n{identity}") }
}

fn table(duties: &[&str]) -> DutyTable {
    let mut table = DutyTable::default();
    let names = duties.iter().map(|name| (*name).to_owned()).collect();
    table.apply(&DutyEntry::Names(names)).expect("they will do");
    table
}

fn give(table: &mut DutyTable, duty: &str, identity: u64) -> u64 {
    let change = DutyTransition {
        base_version: table.version(),
        grants: vec![grant(duty, identity)],
        ..DutyTransition::default()
    };
    table.apply(&DutyEntry::Transition(change)).expect("nobody holds it");
    table.holder(duty).expect("somebody does").term
}

fn take(table: &mut DutyTable, duty: &str, term: u64) -> Result<(), DutyError> {
    let end = DutyEnd { duty: duty.to_owned(), term, reason: EndReason::Expired };
    table.apply(&DutyEntry::Transition(DutyTransition {
        base_version: table.version(),
        ends: vec![end],
        ..DutyTransition::default()
    }))
}

/// Guards against a table that two proposals, or an old one, bring to two holders or an old term.
#[test]
fn the_table_gives_each_term_once_and_each_duty_to_one() {
    let mut table = table(&["a", "b"]);
    let first = give(&mut table, "a", 1);
    let version = table.version();
    let again =
        DutyTransition { base_version: version, grants: vec![grant("a", 2)], ..DutyTransition::default() };
    assert_eq!(
        table.apply(&DutyEntry::Transition(again.clone())),
        Err(DutyError::AlreadyHeld("a".to_owned()))
    );
    let late = DutyTransition { base_version: version - 1, ..again };
    assert_eq!(table.apply(&DutyEntry::Transition(late)), Err(DutyError::OutOfDate));
    assert!(matches!(take(&mut table, "a", first + 1), Err(DutyError::Stale(_))));
    assert_eq!(table.version(), version, "what is refused changes nothing");
    take(&mut table, "a", first).expect("it is held under this term");
    assert!(matches!(take(&mut table, "a", first), Err(DutyError::Stale(_))));
    let second = give(&mut table, "b", 1);
    let third = give(&mut table, "a", 1);
    assert!(first < second && second < third);
    let unknown = DutyTransition {
        base_version: table.version(),
        grants: vec![grant("c", 1)],
        ..DutyTransition::default()
    };
    assert_eq!(table.apply(&DutyEntry::Transition(unknown)), Err(DutyError::UnknownDuty("c".to_owned())));
}

/// Guards against a term that begins anew with a duty that was taken out of the files and put in again, or with a snapshot.
#[test]
fn terms_grow_over_removal_snapshots_and_lost_disks() {
    let mut table = table(&["a"]);
    let first = give(&mut table, "a", 1);
    table.apply(&DutyEntry::Names(BTreeSet::new())).expect("none will do");
    assert!(table.holder("a").is_some(), "it goes with its holder");
    take(&mut table, "a", first).expect("it is held");
    assert!(table.duties().is_empty());
    table.apply(&DutyEntry::Names(BTreeSet::from(["a".to_owned()]))).expect("it will do");
    let kept = serde_json::to_string(&table).expect("it is JSON");
    let mut table: DutyTable = serde_json::from_str(&kept).expect("a table");
    assert!(give(&mut table, "a", 2) > first);
    // All disks are lost; a member still knows the highest term.
    let mut new = DutyTable::default();
    new.apply(&DutyEntry::Names(BTreeSet::from(["a".to_owned()]))).expect("it will do");
    let change = DutyTransition {
        grants: vec![grant("a", 3)],
        min_term_exclusive: 41,
        base_version: new.version(),
        ..DutyTransition::default()
    };
    new.apply(&DutyEntry::Transition(change)).expect("nobody holds it");
    assert_eq!(new.holder("a").map(|holder| holder.term), Some(42));
}

#[test]
fn names_and_notes_have_bounds_and_a_note_needs_the_term() {
    let mut table = DutyTable::default();
    let many = |count: usize| DutyEntry::Names((0..count).map(|n| format!("d{n}")).collect());
    assert_eq!(table.apply(&many(MAX_DUTIES + 1)), Err(DutyError::TooMany));
    const { assert!(MAX_DUTIES >= 1_024) };
    table.apply(&many(1_024)).expect("so many may be");
    let bad = DutyEntry::Names(BTreeSet::from(["a/b".to_owned()]));
    assert_eq!(table.apply(&bad), Err(DutyError::UnknownDuty("a/b".to_owned())));
    let term = give(&mut table, "d0", 1);
    let note =
        |term| DutyEntry::Note(DutyNote { duty: "d0".to_owned(), term, text: "x\n".repeat(MAX_NOTE_CHARS) });
    assert!(matches!(table.apply(&note(term - 1)), Err(DutyError::Stale(_))));
    table.apply(&note(term)).expect("it is the holder's");
    let text = &table.holder("d0").expect("it is held").note;
    assert!(text.chars().count() == MAX_NOTE_CHARS && !text.contains('\n'));
}

#[test]
fn a_fence_follows_no_lower_term_than_the_highest() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit("a", 3), Ok(()));
    assert_eq!(fence.admit("a", 3), Ok(()));
    assert_eq!(fence.admit("b", 1), Ok(()));
    assert_eq!(fence.admit("a", 2), Err(StaleTerm { given: 2, highest_term: 3 }));
    assert_eq!((fence.highest("a"), fence.highest("b"), fence.highest("c")), (3, 1, 0));
}

/// Guards against duties that all sit on one member, and against a placement that moves for no reason.
#[test]
fn duties_are_spread_and_the_same_members_get_the_same_ones() {
    let place = |members: u64| {
        let mut held: BTreeMap<Candidate, usize> = (1..=members).map(|n| (candidate(n), 0)).collect();
        let mut placed = Vec::new();
        for n in 0..50 {
            let chosen = choose(&format!("d{n}"), &held).expect("somebody is there");
            held.entry(chosen).and_modify(|count| *count += 1);
            placed.push(chosen);
        }
        (placed, held)
    };
    let (placed, held) = place(12);
    assert_eq!(place(12).0, placed);
    assert!(held.values().all(|count| (4..=5).contains(count)), "{held:?}");
    // Where there are more members than duties none has two.
    let (placed, _) = place(1_200);
    assert_eq!(placed.iter().collect::<BTreeSet<_>>().len(), 50);
    assert_eq!(choose("d0", &BTreeMap::new()), None);
}

/// Guards against a holder that believes for as long as the stewards do.
#[test]
fn a_holder_stops_a_margin_before_the_lease_can_be_given_away() {
    let margin = LEASE.duration - hold_duration(&LEASE);
    assert_eq!(margin, LEASE.duration / 8);
    let drift = f64::from(LEASE.drift_ppm) / 1e6;
    let slowest_holder = hold_duration(&LEASE) as f64 / (1.0 - drift);
    let fastest_leader = LEASE.expires_after() as f64 / (1.0 + drift);
    assert!(fastest_leader - slowest_holder >= margin as f64);
}

/// Guards against an answer that was overtaken, came after its time, or answers another question.
#[test]
fn a_holder_counts_from_when_it_asked() {
    let told = |terms: &[(&str, u64)]| DutyAssignments {
        terms: terms.iter().map(|(duty, term)| ((*duty).to_owned(), *term)).collect(),
        hold_duration: 100,
        acknowledged: BTreeSet::new(),
    };
    let mut duties = MemberDuties::new(1);
    duties.report(1_000, 1);
    duties.report(1_050, 2);
    let begins = Event::Acquired { duty: "a".to_owned(), term: 5 };
    assert_eq!(duties.on_reply(1_060, 1, Some(&told(&[("a", 5)]))), vec![begins]);
    assert_eq!((duties.term(1_099, "a"), duties.term(1_100, "a")), (Some(5), None));
    assert_eq!(duties.on_reply(1_070, 2, Some(&told(&[("a", 5)]))), vec![]);
    assert_eq!(duties.term(1_149, "a"), Some(5));
    // Again, and one that nobody asked.
    assert_eq!(duties.on_reply(1_071, 1, None), vec![]);
    assert_eq!(duties.on_reply(1_071, 9, None), vec![]);
    assert_eq!(duties.term(1_149, "a"), Some(5));
    let stops = |reason| Event::Lost { duty: "a".to_owned(), term: 5, reason };
    assert_eq!(duties.expire(1_150), vec![stops(StopReason::LeaseExpired)]);
    // The same term again, in an answer whose time is over, and in one that is not.
    duties.report(1_200, 3);
    assert_eq!(duties.on_reply(1_300, 3, Some(&told(&[("a", 5)]))), vec![]);
    duties.report(1_300, 4);
    assert_eq!(duties.on_reply(1_310, 4, Some(&told(&[("a", 5)]))).len(), 1);
    // It is not told any more: what it says from then on is that it is over.
    duties.report(1_320, 5);
    assert_eq!(duties.on_reply(1_330, 5, None), vec![stops(StopReason::Revoked)]);
    assert_eq!(duties.report(1_340, 6).released, BTreeMap::from([("a".to_owned(), 5)]));
    assert_eq!(duties.on_reply(1_350, 6, Some(&told(&[("a", 5)]))), vec![], "that term is over for good");
    duties.report(1_360, 7);
    let over = DutyAssignments { acknowledged: BTreeSet::from(["a".to_owned()]), ..told(&[]) };
    assert_eq!(duties.on_reply(1_370, 7, Some(&over)), vec![]);
    assert!(duties.report(1_380, 8).released.is_empty(), "the stewards know it");
}

/// Guards against a duty that is given to a member that drains, and kept by it.
#[test]
fn a_member_that_drains_hands_over_at_once_and_takes_nothing() {
    let mut world = World::new(Flaw::None);
    settle(&mut world);
    let (first, term) = world.holder("planner").expect("it is held");
    world.drain(first);
    assert!(world.holder("planner").is_none());
    world.round().expect("it holds");
    world.round().expect("it holds");
    let (second, next) = world.holder("planner").expect("it goes on at once");
    assert!(second != first && next > term);
    assert!(DUTIES.iter().all(|duty| world.holder(duty).is_some_and(|(n, _)| n != first)));
    let before = world.table().duties()["planner"].previous_holder.clone();
    assert_eq!(before, Some((format!("n{first}"), EndReason::Drained)));
}

/// Everybody knows everybody, and each duty has a holder.
fn settle(world: &mut World) {
    for _ in 0..8 {
        world.pass(2_000).expect("it holds");
        world.round().expect("it holds");
    }
    assert!(DUTIES.iter().all(|duty| world.holder(duty).is_some()));
    let holders: BTreeSet<usize> =
        DUTIES.iter().filter_map(|duty| world.holder(duty)).map(|(n, _)| n).collect();
    assert_eq!(holders.len(), DUTIES.len().min(MEMBERS), "spread");
}

#[test]
fn a_duty_that_an_operator_releases_goes_to_another_member() {
    let mut world = World::new(Flaw::None);
    settle(&mut world);
    let (first, term) = world.holder("sweep").expect("it is held");
    world.release(2);
    for _ in 0..3 {
        world.pass(2_000).expect("it holds");
        world.round().expect("it holds");
    }
    let (second, next) = world.holder("sweep").expect("it goes on");
    assert!(second != first && next > term);
    assert_eq!(
        world.table().duties()["sweep"].previous_holder,
        Some((format!("n{first}"), EndReason::Operator))
    );
}

fn beat(number: u64, duties: Option<DutyReport>) -> Heartbeat {
    Heartbeat {
        name: "n1".to_owned(),
        identity: 1,
        number,
        epoch: 0,
        demand: BudgetAmounts::new(),
        leaving: false,
        configuration: None,
        duties,
    }
}

/// Guards against a duty that is given to a member of a version that knows of none, and against one that such a member, or such
/// a steward, can't read the messages of.
#[test]
fn members_and_stewards_of_before_are_understood_and_get_no_duty() {
    let table = table(&["a"]);
    let mut leader = Leader::new(0, &table, LEASE);
    for n in 1..10 {
        leader.on_heartbeat(n * 2_000, &beat(n, None));
        assert_eq!(leader.assignments_for(&beat(n, None), &table), None);
        assert_eq!(leader.next_transition(n * 2_000, &table), None);
    }
    let old = r#"{"name":"n1","identity":1,"number":3,"epoch":0,"wants":{}}"#;
    assert_eq!(serde_json::from_str::<Heartbeat>(old).expect("it is read"), beat(3, None));
    assert!(!serde_json::to_string(&beat(3, None)).expect("it is JSON").contains("duties"));
    let old = r#"{"identity":1,"number":3,"grant":{"epoch":0,"floors":{},"shares":{}},"shares_for":1,"floors_for":1}"#;
    assert_eq!(serde_json::from_str::<HeartbeatReply>(old).expect("it is read").duties, None);
    // A member that gets such an answer holds nothing.
    let mut duties = MemberDuties::new(1);
    duties.report(0, 1);
    let told = DutyAssignments {
        terms: BTreeMap::from([("a".to_owned(), 1)]),
        hold_duration: 100,
        acknowledged: BTreeSet::new(),
    };
    duties.on_reply(1, 1, Some(&told));
    duties.report(2, 2);
    duties.on_reply(3, 2, None);
    assert_eq!(duties.term(4, "a"), None);
}

/// Guards against a member that is given duty after duty, since it is heard of, and acts on none, since it hears nothing.
#[test]
fn a_member_that_hears_nothing_loses_what_it_holds_and_gets_no_more() {
    let mut table = table(&["a"]);
    let mut leader = Leader::new(0, &table, LEASE);
    let report = |answered| {
        Some(DutyReport { incarnation: 7, eligible: true, last_answered: answered, ..DutyReport::default() })
    };
    let step = 2_000;
    let mut now = 0;
    let mut number = 0;
    let mut go = |leader: &mut Leader, table: &mut DutyTable, answered: Option<u64>| {
        (now, number) = (now + step, number + 1);
        let beat = beat(number, report(answered.unwrap_or(number - 1)));
        leader.on_heartbeat(now, &beat);
        let told = leader.assignments_for(&beat, table);
        if let Some(change) = leader.next_transition(now, table) {
            table.apply(&DutyEntry::Transition(change)).expect("it is up to date");
            leader.transition_done(now, table);
        }
        told
    };
    for _ in 0..6 {
        go(&mut leader, &mut table, None);
    }
    assert!(table.holder("a").is_some());
    for _ in 0..18 {
        go(&mut leader, &mut table, Some(5));
    }
    assert_eq!(table.holder("a"), None);
    assert_eq!(table.duties()["a"].previous_holder, Some(("n1".to_owned(), EndReason::Unresponsive)));
    for _ in 0..20 {
        assert_eq!(go(&mut leader, &mut table, Some(5)), None);
    }
    assert_eq!(table.holder("a"), None);
}

/// Guards against a storm: members without a duty say and are told next to nothing, and the log has entries for changes alone.
#[test]
fn twelve_hundred_members_and_fifty_duties_cost_little_where_nothing_changes() {
    const ALL: u64 = 1_200;
    let names: Vec<String> = (0..50).map(|n| format!("d{n}")).collect();
    let mut table = table(&names.iter().map(String::as_str).collect::<Vec<_>>());
    let mut leader = Leader::new(0, &table, LEASE);
    let (mut entries, mut said, mut told) = (0, 0, 0);
    for round in 1..=40_u64 {
        let now = round * 2_500;
        for identity in 1..=ALL {
            let duties = DutyReport {
                incarnation: u64::MAX >> 1,
                eligible: true,
                last_answered: round - 1,
                ..DutyReport::default()
            };
            let beat = Heartbeat { identity, name: format!("n{identity}"), ..beat(round, Some(duties)) };
            leader.on_heartbeat(now, &beat);
            let without = Heartbeat { duties: None, ..beat.clone() };
            let length = |beat: &Heartbeat| serde_json::to_string(beat).expect("it is JSON").len();
            said = length(&beat) - length(&without);
            told += leader
                .assignments_for(&beat, &table)
                .map_or(0, |told| serde_json::to_string(&told).expect("JSON").len());
        }
        if let Some(change) = leader.next_transition(now, &table) {
            table.apply(&DutyEntry::Transition(change)).expect("it is up to date");
            leader.transition_done(now, &table);
            entries += 1;
        }
    }
    assert!(table.duties().values().all(|duty| duty.holder.is_some()));
    println!("{said} bytes more in a heartbeat, {told} bytes told in all, {entries} entries");
    assert!(said <= 100, "{said} bytes more in a heartbeat");
    assert_eq!(entries, 1, "one entry gives all of them out");
}
