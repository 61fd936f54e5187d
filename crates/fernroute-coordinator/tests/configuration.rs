//! Rollout of configuration to balancers while coordinators are killed, partitioned, restarted, or have a
//! full disk.

mod common;

use common::balancer::Balancer;
use common::configuration::{
    content, fetch, get, history, put, put_directly, wait_until_active, wait_until_known, wait_until_served,
    write_file,
};
use common::{run, wait_until, Coordinators};
use fernroute_coordinator::store::{LogStore, StateMachineStore};
use fernroute_coordinator::RaftTypes;
use fernroute_fleet::configuration::register::{ConfigurationPut, HistoryEntry};
use fernroute_fleet::configuration::{content_hash, FetchReply, Scope, Version};
use fernroute_fleet::ledger::Entry;
use fernroute_test_support::link::Link;
use openraft::storage::{RaftLogStorage as _, RaftSnapshotBuilder as _, RaftStateMachine as _};
use openraft::{BasicNode, CommittedLeaderId, EntryPayload, LogId, Membership, Vote};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

/// Guards against a change that reaches balancers outside of its scope, against followers that do not serve it, and
/// against a notification to a member of a version that does not support configuration.
#[test]
fn a_change_reaches_the_balancers_of_its_scope_and_every_coordinator_serves_it() {
    run(async {
        let coordinators = Coordinators::launch("reach", "shop", 3).await;
        let web = [
            Balancer::new(&coordinators, 1, "n0", "web", "a", 0),
            Balancer::new(&coordinators, 2, "n1", "web", "b", 1),
        ];
        let api = [Balancer::new(&coordinators, 3, "n2", "api", "a", 2)];
        let old = Balancer::without_configuration(&coordinators, 4, "n3");
        wait_until(|| async {
            web.iter().chain(&api).chain([&old]).all(|balancer| balancer.state.heartbeats.get() > 0)
        })
        .await;
        assert_eq!(put(&coordinators, "all", &content(1), &["--wait", "30"]).await, 1);
        assert_eq!(put(&coordinators, "service/web/zone/a", &content(2), &["--wait", "30"]).await, 2);
        assert_eq!(put(&coordinators, "balancer/n2", &content(3), &["--wait", "30"]).await, 3);
        assert_eq!(web.each_ref().map(Balancer::active_version), [2, 1]);
        assert_eq!(web[0].contents(), [content(1), content(2)]);
        assert_eq!(api[0].contents(), [content(1), content(3)]);
        for index in 0..3 {
            wait_until_served(&coordinators, index, 2, &[content(1), content(2)]).await;
            assert_eq!(fetch(&coordinators, index, 4).await, Ok(FetchReply::Behind));
        }
        // The member of the older version gets grants, and no notification.
        assert!(old.active_version() == 0);
        wait_until(|| async { old.state.allocated.get() > 0 }).await;
        let output = coordinators.command(&["configuration", "status"]).await;
        assert!(
            output
                .stdout
                .contains("3 in force, 0 on its way, 0 refused, 0 ahead, 0 not heard of, 1 follow none"),
            "{output:?}"
        );
    });
}

/// Guards against a change that is lost with the leader that entered it, or that no balancer is notified of.
#[test]
fn a_leader_killed_between_entry_and_notification_loses_no_change() {
    run(async {
        let mut coordinators = Coordinators::launch("notice", "shop", 3).await;
        let balancers = [
            Balancer::new(&coordinators, 1, "n0", "web", "a", 0),
            Balancer::new(&coordinators, 2, "n1", "web", "b", 1),
        ];
        wait_until_known(&balancers).await;
        for balancer in &balancers {
            balancer.state.is_paused.set(true);
        }
        let version = put(&coordinators, "service/web", &content(7), &[]).await;
        let leader = coordinators.leader(None).await;
        coordinators.processes[leader].kill();
        coordinators.leader(Some(leader)).await;
        assert!(balancers.iter().all(|balancer| balancer.active_version() == 0));
        for balancer in &balancers {
            balancer.state.is_paused.set(false);
        }
        wait_until_active(&balancers, version).await;
        assert_eq!(balancers[0].contents(), [content(7)]);
        let output = get(&coordinators, "service/web").await;
        assert!(output.code == 0 && output.stdout == content(7), "{output:?}");
        assert!(output.stderr.contains("version 1, by ann"), "{output:?}");
        assert_eq!(history(&coordinators).await.len(), 1);
        coordinators.processes[leader].start();
        wait_until_served(&coordinators, leader, 1, &[content(7)]).await;
    });
}

/// Guards against a change that is entered twice, or reported as lost, because the leader was killed while it
/// was entered.
#[test]
fn changes_are_entered_once_and_in_order_while_leaders_are_killed() {
    run(async {
        let mut coordinators = Coordinators::new("once", "shop", 3);
        coordinators.start();
        let balancers = [Balancer::new(&coordinators, 1, "n0", "web", "a", 0)];
        wait_until_known(&balancers).await;
        for number in 1..=6 {
            let leader = coordinators.leader(None).await;
            let content = content(number);
            if number % 2 == 0 {
                let kill = async {
                    // Whichever step of the entry the kill interrupts, the result is the same.
                    actix_rt::time::sleep(Duration::from_millis(10 * number)).await;
                    coordinators.processes[leader].kill();
                };
                let (version, ()) = futures_util::join!(put(&coordinators, "all", &content, &[]), kill);
                assert_eq!(version, number);
                coordinators.processes[leader].start();
            } else {
                assert_eq!(put(&coordinators, "all", &content, &[]).await, number);
            }
        }
        wait_until_active(&balancers, 6).await;
        assert!(balancers[0].activated_in_order() && balancers[0].contents() == [content(6)]);
        let entries = history(&coordinators).await;
        assert!(
            versions_and_bases(&entries).eq((1..=6).map(|version| (version, version - 1))),
            "{entries:?}"
        );
    });
}

/// Guards against a change that is activated after the one that reverts it.
#[test]
fn a_change_that_reverts_a_pending_one_is_the_last_that_each_balancer_activates() {
    run(async {
        let coordinators = Coordinators::launch("undo", "shop", 3).await;
        let balancers = [
            Balancer::new(&coordinators, 1, "n0", "web", "a", 0),
            Balancer::new(&coordinators, 2, "n1", "web", "b", 1),
        ];
        put(&coordinators, "service/web", &content(1), &[]).await;
        wait_until_active(&balancers, 1).await;
        balancers[1].state.is_paused.set(true);
        put(&coordinators, "service/web", &content(2), &[]).await;
        wait_until_active(&balancers[..1], 2).await;
        put(&coordinators, "service/web", &content(1), &[]).await;
        balancers[1].state.is_paused.set(false);
        wait_until_active(&balancers, 3).await;
        assert_eq!(*balancers[0].state.activated.borrow(), [1, 2, 3]);
        assert_eq!(*balancers[1].state.activated.borrow(), [1, 3]);
        assert!(balancers.iter().all(|balancer| balancer.contents() == [content(1)]));
        // An empty content clears the scope.
        put(&coordinators, "service/web", "", &["--wait", "30"]).await;
        assert!(balancers
            .iter()
            .all(|balancer| balancer.active_version() == 4 && balancer.contents().is_empty()));
    });
}

/// Guards against changes that overtake each other, and against balancers that do not catch up.
#[test]
fn a_hundred_changes_in_ten_seconds_are_activated_in_order_and_the_history_is_complete() {
    run(async {
        const CHANGES: u64 = 100;
        let coordinators = Coordinators::launch("many", "shop", 3).await;
        let leader = coordinators.leader(None).await;
        let balancers = [
            Balancer::new(&coordinators, 1, "n0", "web", "a", 0),
            Balancer::new(&coordinators, 2, "n1", "web", "b", 1),
            Balancer::new(&coordinators, 3, "n2", "web", "b", 2),
        ];
        wait_until_known(&balancers).await;
        let mut interval = actix_rt::time::interval(Duration::from_millis(100));
        for number in 1..=CHANGES {
            interval.tick().await;
            let version =
                put_directly(&coordinators, leader, &Scope::All, number - 1, &content(number)).await;
            assert_eq!(version, number);
        }
        wait_until_active(&balancers, CHANGES).await;
        for balancer in &balancers {
            assert!(balancer.activated_in_order() && balancer.contents() == [content(CHANGES)]);
        }
        let entries = history(&coordinators).await;
        assert!(versions_and_bases(&entries).eq((1..=CHANGES).map(|version| (version, version - 1))));
    });
}

/// Guards against a coordinator that serves an older version as the latest, and against a balancer that does not turn
/// to another coordinator.
#[test]
fn a_lagging_coordinator_replies_that_it_is_behind_and_another_one_serves() {
    run(async {
        let mut coordinators = Coordinators::new("lag", "shop", 3);
        // The other coordinators reach the third one through a link that can be interrupted.
        let link = Link::start(coordinators.processes[2].address).await.expect("a link");
        let mut addresses = coordinators.addresses();
        addresses[2] = link.address;
        for process in &coordinators.processes[..2] {
            process.write_config("shop", &addresses);
        }
        coordinators.start();
        if coordinators.leader(None).await == 2 {
            coordinators.processes[2].kill();
            coordinators.leader(Some(2)).await;
            coordinators.processes[2].start();
        }
        assert_eq!(put(&coordinators, "all", &content(1), &[]).await, 1);
        wait_until_served(&coordinators, 2, 1, &[content(1)]).await;
        link.refuse_connections();
        assert_eq!(put(&coordinators, "all", &content(2), &[]).await, 2);
        assert_eq!(fetch(&coordinators, 2, 2).await, Ok(FetchReply::Behind));
        let balancers = [Balancer::new(&coordinators, 1, "n0", "web", "a", 2)];
        wait_until_active(&balancers, 2).await;
        assert!(balancers[0].state.behind_replies.get() > 0 && *balancers[0].state.activated.borrow() == [2]);
        assert_eq!(fetch(&coordinators, 2, 2).await, Ok(FetchReply::Behind));
        link.restore();
        wait_until_served(&coordinators, 2, 2, &[content(2)]).await;
    });
}

/// Guards against a partial change, and against one that is wrongly reported as entered, where a disk cannot be written.
#[test]
fn a_put_at_a_leader_with_a_full_disk_is_entered_by_another() {
    run(async {
        let mut coordinators = Coordinators::launch("full", "shop", 3).await;
        let full = coordinators.leader(None).await;
        let balancers = [Balancer::new(&coordinators, 1, "n0", "web", "a", full)];
        // `--wait` waits only for balancers that are members already.
        wait_until_known(&balancers).await;
        put(&coordinators, "all", &content(1), &["--wait", "30"]).await;
        coordinators.processes[full].process().fill_disk().expect("a full disk");
        let version = put(&coordinators, "all", &content(2), &["--wait", "30"]).await;
        assert_eq!((version, balancers[0].contents()), (2, vec![content(2)]));
        assert_eq!(history(&coordinators).await.len(), 2);
        coordinators.wait_for_state(full, "stopped").await;
        let error = fetch(&coordinators, full, 1).await.expect_err("its disk is full");
        assert!(error.contains("503") && error.contains("replica unavailable"), "{error}");
        coordinators.processes[full].kill();
        coordinators.processes[full].start();
        wait_until_served(&coordinators, full, 2, &[content(2)]).await;
    });
}

/// Guards against the same where there is no other coordinator that could enter the change.
#[test]
fn a_put_at_the_only_coordinator_with_a_full_disk_is_rejected_or_unknown_and_never_partial() {
    run(async {
        let mut coordinators = Coordinators::launch("alone", "shop", 1).await;
        put(&coordinators, "all", &content(1), &[]).await;
        coordinators.processes[0].process().fill_disk().expect("a full disk");
        let file = write_file(&coordinators, "part.toml", &content(2));
        let output =
            coordinators.command(&["configuration", "put", &file, "--scope", "all", "--from", "1"]).await;
        assert!(output.stdout.is_empty() && output.stderr.lines().count() == 1, "{output:?}");
        coordinators.processes[0].kill();
        coordinators.processes[0].start();
        let entries = history(&coordinators).await.len();
        // The consensus library may have detected the full disk before the request arrived: then it was rejected.
        match output.code {
            1 => assert!(output.stderr.contains("outcome unknown"), "{output:?}"),
            2 => assert!(output.stderr.contains("replica unavailable") && entries == 1, "{output:?}"),
            _ => panic!("{output:?}"),
        }
        let latest = get(&coordinators, "all").await.stdout;
        assert_eq!(latest, content(entries as u64));
        assert_eq!(put(&coordinators, "all", &content(3), &[]).await, entries as u64 + 1);
    });
}

/// Guards against a register that is lost when all coordinators restart, and against entries so long that a message
/// between coordinators exceeds its time-out.
#[test]
fn long_entries_are_replicated_and_survive_a_restart_of_all_coordinators() {
    run(async {
        let mut coordinators = Coordinators::launch("again", "shop", 3).await;
        let leader = coordinators.leader(None).await;
        // A suspended coordinator receives nearly all entries together once it resumes.
        let lagging = (leader + 1) % 3;
        coordinators.processes[lagging].process().pause();
        for number in 0..20 {
            let scope = Scope::Service(format!("s{number}"));
            let version = put_directly(&coordinators, leader, &scope, 0, &long_content(number)).await;
            assert_eq!(version, number + 1);
        }
        assert_eq!(put_directly(&coordinators, leader, &Scope::All, 0, &content(9)).await, 21);
        coordinators.processes[lagging].process().resume();
        for index in 0..3 {
            wait_until_served(&coordinators, index, 21, &[content(9)]).await;
        }
        let expected = history(&coordinators).await;
        coordinators.kill();
        coordinators.start();
        assert!(history(&coordinators).await == expected && expected.len() == 21);
        for index in 0..3 {
            wait_until_served(&coordinators, index, 21, &[content(9)]).await;
        }
        let output = get(&coordinators, "service/s19").await;
        assert!(output.code == 0 && output.stdout == long_content(19));
        assert_eq!(put(&coordinators, "all", &content(10), &[]).await, 22);
    });
}

/// Guards against a snapshot without the register where the log is purged, and against a snapshot that is too long to
/// be sent: this one has 1 MB of contents and 2,000 entries of history.
#[test]
fn new_coordinators_receive_the_register_as_a_snapshot() {
    run(async {
        let mut coordinators = Coordinators::new("taken", "shop", 3);
        let service = |number: u64| Scope::Service(format!("s{number}"));
        let mut entries: Vec<Entry> =
            (0..20).map(|number| put_entry(service(number), 0, long_content(number))).collect();
        let base = |version: Version| if version == 20 { 0 } else { version };
        entries.extend((20..2000).map(|number| put_entry(Scope::All, base(number), content(number))));
        store_snapshot(&coordinators.processes[0].disk.folder, entries).await;
        coordinators.start();
        coordinators.leader(None).await;
        coordinators.wait_for_state(1, "blank").await;
        coordinators.wait_for_state(2, "blank").await;
        assert_eq!(fetch(&coordinators, 1, 1).await, Ok(FetchReply::Behind));
        let output = coordinators.change(0);
        assert_eq!(output.code, 0, "{output:?}");
        // All coordinators have the entries after the change of voters.
        assert_eq!(put(&coordinators, "all", &content(2), &[]).await, 2001);
        for index in 0..3 {
            wait_until_served(&coordinators, index, 2001, &[content(2)]).await;
        }
        // The two others restart without the first one, with the snapshot that they received.
        coordinators.kill();
        for process in &mut coordinators.processes[1..] {
            process.start();
        }
        assert_eq!(history(&coordinators).await.len(), 2001);
        let output = get(&coordinators, "service/s19").await;
        assert!(output.code == 0 && output.stdout == long_content(19), "{}", output.stderr);
        assert_eq!(put(&coordinators, "all", &content(1), &[]).await, 2002);
    });
}

/// A content of some 60 kB.
fn long_content(number: u64) -> String {
    format!("# {}\n{}", "x".repeat(60_000), content(number))
}

fn versions_and_bases(entries: &[HistoryEntry]) -> impl Iterator<Item = (Version, Version)> + '_ {
    entries.iter().map(|entry| (entry.version, entry.base_version))
}

fn put_entry(scope: Scope, base_version: Version, content: String) -> Entry {
    Entry::Configuration(ConfigurationPut {
        scope,
        base_version,
        content_hash: content_hash(&content),
        content,
        author: "ann".to_owned(),
        entered_at_ms: 1,
        min_version_exclusive: 0,
    })
}

/// Writes the disk of a cluster's only coordinator: a snapshot with these entries, and a purged log.
async fn store_snapshot(folder: &Path, entries: Vec<Entry>) {
    let (mut log_store, identity) = LogStore::open(folder, "shop").expect("the store opens");
    let mut state_machine = StateMachineStore::open(log_store.clone()).expect("the read succeeds");
    let nodes = BTreeMap::from([(identity.id, BasicNode::new("s0"))]);
    let membership = Membership::new(vec![BTreeSet::from([identity.id])], nodes);
    let payloads = [EntryPayload::Membership(membership)]
        .into_iter()
        .chain(entries.into_iter().map(EntryPayload::Normal));
    let log_id = |index: usize| LogId::new(CommittedLeaderId::new(1, identity.id), index as u64);
    let log = payloads.enumerate().map(|(index, payload)| openraft::Entry { log_id: log_id(index), payload });
    let log: Vec<openraft::Entry<RaftTypes>> = log.collect();
    let last = log_id(log.len() - 1);
    let results = state_machine.apply(log).await.expect("the entries apply");
    assert!(results.iter().all(Result::is_ok));
    state_machine.build_snapshot().await.expect("the write succeeds");
    log_store.purge(last).await.expect("the write succeeds");
    log_store.save_vote(&Vote::new_committed(1, identity.id)).await.expect("the write succeeds");
}
