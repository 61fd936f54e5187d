//! Single cases of duties: which member gets one, when and why a term ends, and what the table refuses.

mod duties_simulation;

use duties_simulation::{Flaw, Simulation, DUTIES, LEASE, MEMBERS};
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
    table.apply(&DutyEntry::Names(names)).expect("the names are valid");
    table
}

fn grant_term(table: &mut DutyTable, duty: &str, identity: u64) -> u64 {
    let transition = DutyTransition {
        base_version: table.version(),
        grants: vec![grant(duty, identity)],
        ..DutyTransition::default()
    };
    table.apply(&DutyEntry::Transition(transition)).expect("the duty is free");
    table.holder(duty).expect("the duty was granted").term
}

fn end_term(table: &mut DutyTable, duty: &str, term: u64) -> Result<(), DutyError> {
    let end = DutyEnd { duty: duty.to_owned(), term, reason: EndReason::Expired };
    table.apply(&DutyEntry::Transition(DutyTransition {
        base_version: table.version(),
        ends: vec![end],
        ..DutyTransition::default()
    }))
}

/// Guards against two holders or a reused term after a repeated or an outdated transition.
#[test]
fn the_table_grants_each_term_once_and_each_duty_to_one_candidate() {
    let mut table = table(&["a", "b"]);
    let first = grant_term(&mut table, "a", 1);
    let version = table.version();
    let repeated =
        DutyTransition { base_version: version, grants: vec![grant("a", 2)], ..DutyTransition::default() };
    assert_eq!(
        table.apply(&DutyEntry::Transition(repeated.clone())),
        Err(DutyError::AlreadyHeld("a".to_owned()))
    );
    let late = DutyTransition { base_version: version - 1, ..repeated };
    assert_eq!(table.apply(&DutyEntry::Transition(late)), Err(DutyError::OutOfDate));
    assert!(matches!(end_term(&mut table, "a", first + 1), Err(DutyError::Stale(_))));
    assert_eq!(table.version(), version, "a refused transition changes nothing");
    end_term(&mut table, "a", first).expect("the duty is held under this term");
    assert!(matches!(end_term(&mut table, "a", first), Err(DutyError::Stale(_))));
    let second = grant_term(&mut table, "b", 1);
    let third = grant_term(&mut table, "a", 1);
    assert!(first < second && second < third);
    let unknown = DutyTransition {
        base_version: table.version(),
        grants: vec![grant("c", 1)],
        ..DutyTransition::default()
    };
    assert_eq!(table.apply(&DutyEntry::Transition(unknown)), Err(DutyError::UnknownDuty("c".to_owned())));
}

/// Guards against reuse of a term after a duty was removed and added again, and after a snapshot.
#[test]
fn terms_increase_through_removal_snapshots_and_lost_disks() {
    let mut table = table(&["a"]);
    let first = grant_term(&mut table, "a", 1);
    table.apply(&DutyEntry::Names(BTreeSet::new())).expect("an empty set of names is valid");
    assert!(table.holder("a").is_some(), "it is dropped with its holder");
    end_term(&mut table, "a", first).expect("the duty is held");
    assert!(table.duties().is_empty());
    table.apply(&DutyEntry::Names(BTreeSet::from(["a".to_owned()]))).expect("the name is valid");
    let snapshot = serde_json::to_string(&table).expect("valid JSON");
    let mut table: DutyTable = serde_json::from_str(&snapshot).expect("a table");
    assert!(grant_term(&mut table, "a", 2) > first);
    // After all disks were lost a member still reports the highest term.
    let mut new_table = DutyTable::default();
    new_table.apply(&DutyEntry::Names(BTreeSet::from(["a".to_owned()]))).expect("the name is valid");
    let transition = DutyTransition {
        grants: vec![grant("a", 3)],
        min_term_exclusive: 41,
        base_version: new_table.version(),
        ..DutyTransition::default()
    };
    new_table.apply(&DutyEntry::Transition(transition)).expect("the duty is free");
    assert_eq!(new_table.holder("a").map(|holder| holder.term), Some(42));
}

#[test]
fn names_and_notes_are_bounded_and_a_note_needs_the_term() {
    let mut table = DutyTable::default();
    let names = |count: usize| DutyEntry::Names((0..count).map(|n| format!("d{n}")).collect());
    assert_eq!(table.apply(&names(MAX_DUTIES + 1)), Err(DutyError::TooMany));
    const { assert!(MAX_DUTIES >= 1_024) };
    table.apply(&names(1_024)).expect("the number of names is allowed");
    let invalid = DutyEntry::Names(BTreeSet::from(["a/b".to_owned()]));
    assert_eq!(table.apply(&invalid), Err(DutyError::UnknownDuty("a/b".to_owned())));
    let term = grant_term(&mut table, "d0", 1);
    let note =
        |term| DutyEntry::Note(DutyNote { duty: "d0".to_owned(), term, text: "x\n".repeat(MAX_NOTE_CHARS) });
    assert!(matches!(table.apply(&note(term - 1)), Err(DutyError::Stale(_))));
    table.apply(&note(term)).expect("the term is the holder's");
    let text = &table.holder("d0").expect("the duty is held").note;
    assert!(text.chars().count() == MAX_NOTE_CHARS && !text.contains('\n'));
}

#[test]
fn a_fence_admits_no_term_below_the_highest() {
    let mut fence = Fence::default();
    assert_eq!(fence.admit("a", 3), Ok(()));
    assert_eq!(fence.admit("a", 3), Ok(()));
    assert_eq!(fence.admit("b", 1), Ok(()));
    assert_eq!(fence.admit("a", 2), Err(StaleTerm { term: 2, highest_term: 3 }));
    assert_eq!((fence.highest_term("a"), fence.highest_term("b"), fence.highest_term("c")), (3, 1, 0));
}

/// Guards against duties that are all held by one member, and against a placement that changes without need.
#[test]
fn duties_are_spread_and_the_same_members_get_the_same_ones() {
    let place = |members: u64| {
        let mut duty_counts: BTreeMap<Candidate, usize> =
            (1..=members).map(|identity| (candidate(identity), 0)).collect();
        let mut placed = Vec::new();
        for duty in 0..50 {
            let chosen = choose(&format!("d{duty}"), &duty_counts).expect("there is a candidate");
            duty_counts.entry(chosen).and_modify(|count| *count += 1);
            placed.push(chosen);
        }
        (placed, duty_counts)
    };
    let (placed, duty_counts) = place(12);
    assert_eq!(place(12).0, placed);
    assert!(duty_counts.values().all(|count| (4..=5).contains(count)), "{duty_counts:?}");
    // With more members than duties no member has two.
    let (placed, _) = place(1_200);
    assert_eq!(placed.iter().collect::<BTreeSet<_>>().len(), 50);
    assert_eq!(choose("d0", &BTreeMap::new()), None);
}

/// Guards against a holder that still acts when the leader may grant the duty again.
#[test]
fn a_holder_stops_a_margin_before_the_duty_can_be_granted_again() {
    let margin = LEASE.duration - hold_duration(&LEASE);
    assert_eq!(margin, LEASE.duration / 8);
    let drift = f64::from(LEASE.drift_ppm) / 1e6;
    let slowest_holder = hold_duration(&LEASE) as f64 / (1.0 - drift);
    let fastest_leader = LEASE.expires_after() as f64 / (1.0 + drift);
    assert!(fastest_leader - slowest_holder >= margin as f64);
}

/// Guards against a reply that was overtaken, is late, or answers no heartbeat.
#[test]
fn a_lease_counts_from_when_its_heartbeat_was_sent() {
    let assignments = |terms: &[(&str, u64)]| DutyAssignments {
        terms: terms.iter().map(|(duty, term)| ((*duty).to_owned(), *term)).collect(),
        hold_duration: 100,
        acknowledged: BTreeSet::new(),
    };
    let mut duties = MemberDuties::new(1);
    duties.report(1_000, 1);
    duties.report(1_050, 2);
    let acquired = Event::Acquired { duty: "a".to_owned(), term: 5 };
    assert_eq!(duties.on_reply(1_060, 1, Some(&assignments(&[("a", 5)]))), vec![acquired]);
    assert_eq!((duties.term(1_099, "a"), duties.term(1_100, "a")), (Some(5), None));
    assert_eq!(duties.on_reply(1_070, 2, Some(&assignments(&[("a", 5)]))), vec![]);
    assert_eq!(duties.term(1_149, "a"), Some(5));
    // A repeated reply, and one to a heartbeat that was not sent.
    assert_eq!(duties.on_reply(1_071, 1, None), vec![]);
    assert_eq!(duties.on_reply(1_071, 9, None), vec![]);
    assert_eq!(duties.term(1_149, "a"), Some(5));
    let lost = |reason| Event::Lost { duty: "a".to_owned(), term: 5, reason };
    assert_eq!(duties.expire(1_150), vec![lost(StopReason::LeaseExpired)]);
    // The same term in a reply that is late, and in one that is on time.
    duties.report(1_200, 3);
    assert_eq!(duties.on_reply(1_300, 3, Some(&assignments(&[("a", 5)]))), vec![]);
    duties.report(1_300, 4);
    assert_eq!(duties.on_reply(1_310, 4, Some(&assignments(&[("a", 5)]))).len(), 1);
    // A reply without the duty ends the term, and the member reports it as released.
    duties.report(1_320, 5);
    assert_eq!(duties.on_reply(1_330, 5, None), vec![lost(StopReason::Revoked)]);
    assert_eq!(duties.report(1_340, 6).released, BTreeMap::from([("a".to_owned(), 5)]));
    assert_eq!(
        duties.on_reply(1_350, 6, Some(&assignments(&[("a", 5)]))),
        vec![],
        "a released term is never used again"
    );
    duties.report(1_360, 7);
    let acknowledgement =
        DutyAssignments { acknowledged: BTreeSet::from(["a".to_owned()]), ..assignments(&[]) };
    assert_eq!(duties.on_reply(1_370, 7, Some(&acknowledgement)), vec![]);
    assert!(duties.report(1_380, 8).released.is_empty(), "the leader has recorded it");
}

/// Guards against a duty that a draining member keeps or is granted.
#[test]
fn a_draining_member_releases_its_duties_at_once_and_gets_none() {
    let mut simulation = Simulation::new(Flaw::None);
    run_until_granted(&mut simulation);
    let (first, term) = simulation.holder("planner").expect("the duty is held");
    simulation.drain(first);
    assert!(simulation.holder("planner").is_none());
    simulation.exchange().expect("the invariants hold");
    simulation.exchange().expect("the invariants hold");
    let (second, next_term) = simulation.holder("planner").expect("another member holds the duty at once");
    assert!(second != first && next_term > term);
    assert!(DUTIES.iter().all(|duty| simulation.holder(duty).is_some_and(|(member, _)| member != first)));
    let previous_holder = simulation.table().duties()["planner"].previous_holder.clone();
    assert_eq!(previous_holder, Some((format!("n{first}"), EndReason::Drained)));
}

/// Runs until each duty has a holder.
fn run_until_granted(simulation: &mut Simulation) {
    for _ in 0..8 {
        simulation.advance(2_000).expect("the invariants hold");
        simulation.exchange().expect("the invariants hold");
    }
    assert!(DUTIES.iter().all(|duty| simulation.holder(duty).is_some()));
    let holders: BTreeSet<usize> =
        DUTIES.iter().filter_map(|duty| simulation.holder(duty)).map(|(member, _)| member).collect();
    assert_eq!(holders.len(), DUTIES.len().min(MEMBERS), "duties are spread");
}

#[test]
fn a_duty_that_an_operator_releases_is_granted_to_another_member() {
    let mut simulation = Simulation::new(Flaw::None);
    run_until_granted(&mut simulation);
    let (first, term) = simulation.holder("sweep").expect("the duty is held");
    simulation.release(2);
    for _ in 0..3 {
        simulation.advance(2_000).expect("the invariants hold");
        simulation.exchange().expect("the invariants hold");
    }
    let (second, next_term) = simulation.holder("sweep").expect("another member holds the duty");
    assert!(second != first && next_term > term);
    assert_eq!(
        simulation.table().duties()["sweep"].previous_holder,
        Some((format!("n{first}"), EndReason::Operator))
    );
}

fn heartbeat(number: u64, duties: Option<DutyReport>) -> Heartbeat {
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

/// Guards against a duty that is granted to a member whose version does not support duties, and against messages that
/// such a member or coordinator cannot read.
#[test]
fn members_and_coordinators_without_support_for_duties_are_understood() {
    let table = table(&["a"]);
    let mut leader = Leader::new(0, &table, LEASE);
    for number in 1..10 {
        leader.on_heartbeat(number * 2_000, &heartbeat(number, None));
        assert_eq!(leader.assignments_for(&heartbeat(number, None), &table), None);
        assert_eq!(leader.next_transition(number * 2_000, &table), None);
    }
    let old_heartbeat = r#"{"name":"n1","identity":1,"number":3,"epoch":0,"wants":{}}"#;
    assert_eq!(serde_json::from_str::<Heartbeat>(old_heartbeat).expect("valid JSON"), heartbeat(3, None));
    assert!(!serde_json::to_string(&heartbeat(3, None)).expect("valid JSON").contains("duties"));
    let old_reply = r#"{"identity":1,"number":3,"grant":{"epoch":0,"floors":{},"shares":{}},"shares_for":1,"floors_for":1}"#;
    assert_eq!(serde_json::from_str::<HeartbeatReply>(old_reply).expect("valid JSON").duties, None);
    // After a reply without duties a member holds none.
    let mut duties = MemberDuties::new(1);
    duties.report(0, 1);
    let assignments = DutyAssignments {
        terms: BTreeMap::from([("a".to_owned(), 1)]),
        hold_duration: 100,
        acknowledged: BTreeSet::new(),
    };
    duties.on_reply(1, 1, Some(&assignments));
    duties.report(2, 2);
    duties.on_reply(3, 2, None);
    assert_eq!(duties.term(4, "a"), None);
}

/// Guards against a member that is granted duties since its heartbeats arrive, and acts on none since no
/// reply reaches it.
#[test]
fn a_member_that_no_reply_reaches_loses_its_duties_and_gets_none() {
    let mut table = table(&["a"]);
    let mut leader = Leader::new(0, &table, LEASE);
    let report = |last_answered| {
        Some(DutyReport { incarnation: 7, eligible: true, last_answered, ..DutyReport::default() })
    };
    const INTERVAL: u64 = 2_000;
    let mut now = 0;
    let mut number = 0;
    let mut exchange = |leader: &mut Leader, table: &mut DutyTable, last_answered: Option<u64>| {
        (now, number) = (now + INTERVAL, number + 1);
        let heartbeat = self::heartbeat(number, report(last_answered.unwrap_or(number - 1)));
        leader.on_heartbeat(now, &heartbeat);
        let assignments = leader.assignments_for(&heartbeat, table);
        if let Some(transition) = leader.next_transition(now, table) {
            table.apply(&DutyEntry::Transition(transition)).expect("the transition is up to date");
            leader.transition_done(now, table);
        }
        assignments
    };
    for _ in 0..6 {
        exchange(&mut leader, &mut table, None);
    }
    assert!(table.holder("a").is_some());
    for _ in 0..18 {
        exchange(&mut leader, &mut table, Some(5));
    }
    assert_eq!(table.holder("a"), None);
    assert_eq!(table.duties()["a"].previous_holder, Some(("n1".to_owned(), EndReason::Unresponsive)));
    for _ in 0..20 {
        assert_eq!(exchange(&mut leader, &mut table, Some(5)), None);
    }
    assert_eq!(table.holder("a"), None);
}

/// Guards against traffic that grows with the number of members while nothing changes: long heartbeats and replies, and
/// entries of the log.
#[test]
fn twelve_hundred_members_and_fifty_duties_cause_little_traffic_while_nothing_changes() {
    const MEMBER_COUNT: u64 = 1_200;
    let names: Vec<String> = (0..50).map(|n| format!("d{n}")).collect();
    let mut table = table(&names.iter().map(String::as_str).collect::<Vec<_>>());
    let mut leader = Leader::new(0, &table, LEASE);
    let (mut entries, mut report_bytes, mut reply_bytes) = (0, 0, 0);
    for round in 1..=40_u64 {
        let now = round * 2_500;
        for identity in 1..=MEMBER_COUNT {
            let duties = DutyReport {
                incarnation: u64::MAX >> 1,
                eligible: true,
                last_answered: round - 1,
                ..DutyReport::default()
            };
            let heartbeat =
                Heartbeat { identity, name: format!("n{identity}"), ..self::heartbeat(round, Some(duties)) };
            leader.on_heartbeat(now, &heartbeat);
            let without_report = Heartbeat { duties: None, ..heartbeat.clone() };
            let length = |heartbeat: &Heartbeat| serde_json::to_string(heartbeat).expect("valid JSON").len();
            report_bytes = length(&heartbeat) - length(&without_report);
            reply_bytes += leader
                .assignments_for(&heartbeat, &table)
                .map_or(0, |assignments| serde_json::to_string(&assignments).expect("JSON").len());
        }
        if let Some(transition) = leader.next_transition(now, &table) {
            table.apply(&DutyEntry::Transition(transition)).expect("the transition is up to date");
            leader.transition_done(now, &table);
            entries += 1;
        }
    }
    assert!(table.duties().values().all(|duty| duty.holder.is_some()));
    println!(
        "{report_bytes} bytes more in a heartbeat, {reply_bytes} bytes in all replies, {entries} entries"
    );
    assert!(report_bytes <= 100, "{report_bytes} bytes more in a heartbeat");
    assert_eq!(entries, 1, "one entry grants all duties");
}
