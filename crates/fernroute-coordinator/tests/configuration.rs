//! Real stewards on loopback that hand out what balancers go by, and balancers played by the parts that decide in real
//! ones: what happens as stewards are killed, cut off, full and started again.

mod common;

use common::balancer::Balancer;
use common::operator::{
    content, enter, fetch, get, history, put, until_beats, until_hands_out, until_in_force, write,
};
use common::{run, until, Place, Stewards};
use fernroute_coordinator::store::{LogStore, StateMachineStore};
use fernroute_coordinator::RaftTypes;
use fernroute_fleet::configuration::register::ConfigurationPut;
use fernroute_fleet::configuration::{content_hash, FetchReply, Scope, Version};
use fernroute_fleet::ledger::Entry;
use fernroute_test_support::link::Link;
use openraft::storage::{RaftLogStorage as _, RaftSnapshotBuilder as _, RaftStateMachine as _};
use openraft::{BasicNode, CommittedLeaderId, EntryPayload, LogId, Membership, Vote};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

/// Guards against a change that goes to whom it does not concern, or not to whom it does; against a leader that is the only
/// one to hand it out; and against a member of an older version that is told of what it does not know.
#[test]
fn a_change_is_in_force_at_whom_it_concerns_and_every_steward_hands_it_out() {
    run(async {
        let mut stewards = Stewards::new("reach", "shop", 3);
        stewards.start();
        stewards.leader(None).await;
        let web = [
            Balancer::new(&stewards, 1, "n0", "web", "a", 0),
            Balancer::new(&stewards, 2, "n1", "web", "b", 1),
        ];
        let api = [Balancer::new(&stewards, 3, "n2", "api", "a", 2)];
        let old = Balancer::new(&stewards, 4, "n3", "", "", 0);
        until(|| async { web.iter().chain(&api).chain([&old]).all(|b| b.view.beats.get() > 0) }).await;
        assert_eq!(put(&stewards, "all", &content(1), &["--wait", "30"]).await, 1);
        assert_eq!(put(&stewards, "service/web/zone/a", &content(2), &["--wait", "30"]).await, 2);
        assert_eq!(put(&stewards, "balancer/n2", &content(3), &["--wait", "30"]).await, 3);
        assert_eq!(web.each_ref().map(Balancer::in_force), [2, 1]);
        assert_eq!(web[0].says(), [content(1), content(2)]);
        assert_eq!(api[0].says(), [content(1), content(3)]);
        for n in 0..3 {
            until_hands_out(&stewards, n, 2, &[content(1), content(2)]).await;
            assert_eq!(fetch(&stewards, n, 4).await, Ok(FetchReply::Behind));
        }
        // It is told of nothing, and has its grants.
        assert!(old.in_force() == 0);
        until(|| async { old.view.holds.get() > 0 }).await;
        let (_, said, _) = stewards.command(&["configuration", "status"]).await;
        assert!(
            said.contains("3 in force, 0 on its way, 0 refused, 0 ahead, 0 not heard of, 1 follow none"),
            "{said}"
        );
    });
}

/// Guards against a change that is lost with the leader that entered it, or that nobody is told of any more.
#[test]
fn a_leader_killed_between_entry_and_notice_loses_nothing() {
    run(async {
        let mut stewards = Stewards::new("notice", "shop", 3);
        stewards.start();
        stewards.leader(None).await;
        let balancers = [
            Balancer::new(&stewards, 1, "n0", "web", "a", 0),
            Balancer::new(&stewards, 2, "n1", "web", "b", 1),
        ];
        until_beats(&balancers).await;
        balancers.iter().for_each(|b| b.view.pauses.set(true));
        let version = put(&stewards, "service/web", &content(7), &[]).await;
        let leader = stewards.leader(None).await;
        stewards.places[leader].process().kill();
        stewards.leader(Some(leader)).await;
        assert!(balancers.iter().all(|b| b.in_force() == 0));
        balancers.iter().for_each(|b| b.view.pauses.set(false));
        until_in_force(&balancers, version).await;
        assert_eq!(balancers[0].says(), [content(7)]);
        let (code, said, told) = get(&stewards, "service/web").await;
        assert!(code == 0 && said == content(7) && told.contains("version 1, by ann"), "{said}{told}");
        assert_eq!(history(&stewards).await.len(), 1);
        stewards.places[leader].start();
        until_hands_out(&stewards, leader, 1, &[content(7)]).await;
    });
}

/// Guards against a word that is entered twice, or taken for lost, because a leader went while it was entered.
#[test]
fn words_under_which_leaders_are_killed_are_entered_once_each_and_in_order() {
    run(async {
        let mut stewards = Stewards::new("once", "shop", 3);
        stewards.start();
        let balancers = [Balancer::new(&stewards, 1, "n0", "web", "a", 0)];
        until_beats(&balancers).await;
        for n in 1..=6 {
            let leader = stewards.leader(None).await;
            let part = content(n);
            if n % 2 == 0 {
                let kill = async {
                    // Somewhere in it: the verdict is the same wherever.
                    actix_rt::time::sleep(Duration::from_millis(10 * n)).await;
                    stewards.places[leader].process().kill();
                };
                let (version, ()) = futures_util::join!(put(&stewards, "all", &part, &[]), kill);
                assert_eq!(version, n);
                stewards.places[leader].start();
            } else {
                assert_eq!(put(&stewards, "all", &part, &[]).await, n);
            }
        }
        until_in_force(&balancers, 6).await;
        assert!(balancers[0].is_in_order() && balancers[0].says() == [content(6)]);
        let lines = history(&stewards).await;
        assert!(
            lines.iter().map(|line| (line.version, line.base_version)).eq((1..=6).map(|n| (n, n - 1))),
            "{lines:?}"
        );
    });
}

/// Guards against a change that lands after the one that undid it.
#[test]
fn a_change_that_undoes_one_on_its_way_is_the_last_word_everywhere() {
    run(async {
        let mut stewards = Stewards::new("undo", "shop", 3);
        stewards.start();
        stewards.leader(None).await;
        let balancers = [
            Balancer::new(&stewards, 1, "n0", "web", "a", 0),
            Balancer::new(&stewards, 2, "n1", "web", "b", 1),
        ];
        put(&stewards, "service/web", &content(1), &[]).await;
        until_in_force(&balancers, 1).await;
        balancers[1].view.pauses.set(true);
        put(&stewards, "service/web", &content(2), &[]).await;
        until_in_force(&balancers[..1], 2).await;
        put(&stewards, "service/web", &content(1), &[]).await;
        balancers[1].view.pauses.set(false);
        until_in_force(&balancers, 3).await;
        assert_eq!(*balancers[0].view.applied.borrow(), [1, 2, 3]);
        assert_eq!(*balancers[1].view.applied.borrow(), [1, 3]);
        assert!(balancers.iter().all(|b| b.says() == [content(1)]));
        // A scope that says nothing any more.
        put(&stewards, "service/web", "", &["--wait", "30"]).await;
        assert!(balancers.iter().all(|b| b.in_force() == 4 && b.says().is_empty()));
    });
}

/// Guards against changes that overtake each other, and against a fleet that falls behind for good.
#[test]
fn a_change_every_tenth_of_a_second_for_ten_seconds_lands_in_order_and_the_history_is_whole() {
    run(async {
        const MANY: u64 = 100;
        let mut stewards = Stewards::new("many", "shop", 3);
        stewards.start();
        let leader = stewards.leader(None).await;
        let balancers = [
            Balancer::new(&stewards, 1, "n0", "web", "a", 0),
            Balancer::new(&stewards, 2, "n1", "web", "b", 1),
            Balancer::new(&stewards, 3, "n2", "web", "b", 2),
        ];
        until_beats(&balancers).await;
        let mut tick = actix_rt::time::interval(Duration::from_millis(100));
        for n in 1..=MANY {
            tick.tick().await;
            assert_eq!(enter(&stewards, leader, &Scope::All, n - 1, &content(n)).await, n);
        }
        until_in_force(&balancers, MANY).await;
        for balancer in &balancers {
            assert!(balancer.is_in_order() && balancer.says() == [content(MANY)]);
        }
        let lines = history(&stewards).await;
        assert!(lines
            .iter()
            .map(|line| (line.version, line.base_version))
            .eq((1..=MANY).map(|n| (n, n - 1))));
    });
}

/// Guards against a steward that hands out an older version for the latest, and a balancer that stays with such a one.
#[test]
fn a_steward_that_lags_says_so_and_another_one_serves() {
    run(async {
        let mut stewards = Stewards::new("lag", "shop", 3);
        // The others reach the third one by a link.
        let link = Link::to(stewards.places[2].address).await.expect("a link");
        let mut addresses = stewards.addresses();
        addresses[2] = link.address;
        stewards.places[..2].iter().for_each(|place| place.name("shop", &addresses));
        stewards.start();
        if stewards.leader(None).await == 2 {
            stewards.places[2].process().kill();
            stewards.leader(Some(2)).await;
            stewards.places[2].start();
        }
        assert_eq!(put(&stewards, "all", &content(1), &[]).await, 1);
        until_hands_out(&stewards, 2, 1, &[content(1)]).await;
        link.refuse();
        assert_eq!(put(&stewards, "all", &content(2), &[]).await, 2);
        assert_eq!(fetch(&stewards, 2, 2).await, Ok(FetchReply::Behind));
        let balancers = [Balancer::new(&stewards, 1, "n0", "web", "a", 2)];
        until_in_force(&balancers, 2).await;
        assert!(balancers[0].view.behind.get() > 0 && *balancers[0].view.applied.borrow() == [2]);
        assert_eq!(fetch(&stewards, 2, 2).await, Ok(FetchReply::Behind));
        link.mend();
        until_hands_out(&stewards, 2, 2, &[content(2)]).await;
    });
}

/// Guards against half of a change, and against one that is said to be entered and is not, where a disk can't be written.
#[test]
fn a_put_at_a_leader_that_cannot_write_is_entered_by_another_or_by_none() {
    run(async {
        let mut stewards = Stewards::new("full", "shop", 3);
        stewards.start();
        let full = stewards.leader(None).await;
        let balancers = [Balancer::new(&stewards, 1, "n0", "web", "a", full)];
        // Until it is a member `--wait` has nobody to wait for.
        until_beats(&balancers).await;
        put(&stewards, "all", &content(1), &["--wait", "30"]).await;
        stewards.places[full].process().fill_disk().expect("it has a limit");
        let version = put(&stewards, "all", &content(2), &["--wait", "30"]).await;
        assert_eq!((version, balancers[0].says()), (2, vec![content(2)]));
        assert_eq!(history(&stewards).await.len(), 2);
        stewards.until_state(full, "stopped").await;
        let why = fetch(&stewards, full, 1).await.expect_err("its disk is in trouble");
        assert!(why.contains("503") && why.contains("takes no part"), "{why}");
        stewards.places[full].process().kill();
        stewards.places[full].start();
        until_hands_out(&stewards, full, 2, &[content(2)]).await;
    });
}

/// The same with nobody else to enter it.
#[test]
fn a_put_at_the_only_steward_whose_disk_is_full_is_refused_or_not_known_and_never_half() {
    run(async {
        let mut stewards = Stewards::new("alone", "shop", 1);
        stewards.start();
        stewards.leader(None).await;
        put(&stewards, "all", &content(1), &[]).await;
        stewards.places[0].process().fill_disk().expect("it has a limit");
        let file = write(&stewards, "part.toml", &content(2));
        let (code, said, why) =
            stewards.command(&["configuration", "put", &file, "--scope", "all", "--from", "1"]).await;
        assert!(said.is_empty() && why.lines().count() == 1, "{said}{why}");
        stewards.places[0].process().kill();
        stewards.places[0].start();
        let lines = history(&stewards).await;
        // Its library may have met the full disk before the word came, by a write of its own: then it was refused.
        match code {
            1 => assert!(why.contains("not known whether it is entered"), "{why}"),
            2 => assert!(why.contains("takes no part") && lines.len() == 1, "{why}"),
            _ => panic!("{code}: {why}"),
        }
        let (_, said, _) = get(&stewards, "all").await;
        assert_eq!(said, content(lines.len() as u64));
        assert_eq!(put(&stewards, "all", &content(3), &[]).await, lines.len() as u64 + 1);
    });
}

/// Guards against a register that is forgotten over a restart of all, and against entries so long that a steward never gets
/// them in the time that a message between stewards has.
#[test]
fn long_entries_are_kept_by_all_and_outlive_a_restart_of_all_stewards() {
    run(async {
        let mut stewards = Stewards::new("again", "shop", 3);
        stewards.start();
        let leader = stewards.leader(None).await;
        // One steward gets most of them at once.
        let late = (leader + 1) % 3;
        stewards.places[late].process().stop();
        for n in 0..20 {
            let scope = Scope::Service(format!("s{n}"));
            assert_eq!(enter(&stewards, leader, &scope, 0, &long(n)).await, n + 1);
        }
        assert_eq!(enter(&stewards, leader, &Scope::All, 0, &content(9)).await, 21);
        stewards.places[late].process().go_on();
        for n in 0..3 {
            until_hands_out(&stewards, n, 21, &[content(9)]).await;
        }
        let before = history(&stewards).await;
        stewards.places.iter().for_each(|place| place.process().kill());
        stewards.start();
        assert!(history(&stewards).await == before && before.len() == 21);
        for n in 0..3 {
            until_hands_out(&stewards, n, 21, &[content(9)]).await;
        }
        let (code, said, _) = get(&stewards, "service/s19").await;
        assert!(code == 0 && said == long(19));
        assert_eq!(put(&stewards, "all", &content(10), &[]).await, 22);
    });
}

/// Guards against a register that a steward does not get with the snapshot, where the log of what was entered is gone, and
/// against a snapshot that is longer than can be handed on: 1 MB of contents, and 2,000 lines of history.
#[test]
fn the_register_is_handed_as_a_snapshot_to_stewards_that_are_taken_in() {
    run(async {
        let mut stewards = Stewards::new("taken", "shop", 3);
        let mut entries: Vec<Entry> =
            (0..20).map(|n| entered(Scope::Service(format!("s{n}")), 0, long(n))).collect();
        entries.extend((20..2000).map(|n| entered(Scope::All, if n == 20 { 0 } else { n }, content(n))));
        before(&stewards.places[0].disk.folder, entries).await;
        stewards.start();
        stewards.leader(None).await;
        stewards.until_state(1, "blank").await;
        stewards.until_state(2, "blank").await;
        assert_eq!(fetch(&stewards, 1, 1).await, Ok(FetchReply::Behind));
        let (code, said) = stewards.change(0);
        assert_eq!(code, Some(0), "{said}");
        // What is entered after the last change of who has a vote is at all: so is that change.
        assert_eq!(put(&stewards, "all", &content(2), &[]).await, 2001);
        for n in 0..3 {
            until_hands_out(&stewards, n, 2001, &[content(2)]).await;
        }
        // They can do without the first one from here on, and start again with what they were handed.
        stewards.places.iter().for_each(|place| place.process().kill());
        stewards.places[1..].iter_mut().for_each(Place::start);
        assert_eq!(history(&stewards).await.len(), 2001);
        let (code, said, why) = get(&stewards, "service/s19").await;
        assert!(code == 0 && said == long(19), "{why}");
        assert_eq!(put(&stewards, "all", &content(1), &[]).await, 2002);
    });
}

/// A content of some 60 kB.
fn long(n: u64) -> String {
    format!("# {}\n{}", "x".repeat(60_000), content(n))
}

fn entered(scope: Scope, base: Version, content: String) -> Entry {
    let (hash, who) = (content_hash(&content), "ann".to_owned());
    Entry::Configuration(ConfigurationPut {
        scope,
        base_version: base,
        content_hash: hash,
        content,
        author: who,
        entered_at_ms: 1,
        min_version_exclusive: 0,
    })
}

/// A disk of a steward that was alone, entered these, and keeps a snapshot and no log of them.
async fn before(folder: &Path, entries: Vec<Entry>) {
    let (mut disk, own) = LogStore::open(folder, "shop").expect("it opens");
    let mut book = StateMachineStore::open(disk.clone()).expect("it is read");
    let nodes = BTreeMap::from([(own.id, BasicNode::new("s0"))]);
    let alone = Membership::new(vec![BTreeSet::from([own.id])], nodes);
    let payloads =
        [EntryPayload::Membership(alone)].into_iter().chain(entries.into_iter().map(EntryPayload::Normal));
    let at = |index: usize| LogId::new(CommittedLeaderId::new(1, own.id), index as u64);
    let log = payloads.enumerate().map(|(index, payload)| openraft::Entry { log_id: at(index), payload });
    let log: Vec<openraft::Entry<RaftTypes>> = log.collect();
    let last = at(log.len() - 1);
    let told = book.apply(log).await.expect("it applies");
    assert!(told.iter().all(Result::is_ok));
    book.build_snapshot().await.expect("it is kept");
    disk.purge(last).await.expect("it is kept");
    disk.save_vote(&Vote::new_committed(1, own.id)).await.expect("it is kept");
}
