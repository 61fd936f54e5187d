//! A fleet's ledger while coordinators are killed, suspended, restarted and replaced, and while disks are lost or full.

mod common;

use common::{
    heartbeat_until, nearly_all_allocated, only_guarantees, program, run, run_command, wait_until,
    CoordinatorProcess, Coordinators, TestMember, GUARANTEED,
};
use fernroute_coordinator::http::MAX_HEARTBEAT_BYTES;
use fernroute_coordinator::replica::Status;
use fernroute_fleet::message::HEARTBEAT_PATH;

fn reset_lapses(members: &mut [TestMember]) {
    for member in members {
        member.longest_lapse = 0;
    }
}

/// Guards against grants that expire because a leader was killed, and against a ledger that loses grants.
#[test]
fn grants_do_not_expire_when_the_leader_is_killed() {
    run(async {
        let mut coordinators = Coordinators::new("leader", "c", 3);
        coordinators.start();
        let mut members = [TestMember::new("n0", 1, 150_000), TestMember::new("n1", 2, 50_000)];
        heartbeat_until(&coordinators, &mut members, |members| {
            nearly_all_allocated(members) && members[0].allocated() > members[1].allocated()
        })
        .await;
        for _ in 0..2 {
            let leader = coordinators.leader(None).await;
            let epoch = coordinators.status(leader).await.expect("a status").epoch;
            coordinators.processes[leader].kill();
            reset_lapses(&mut members);
            let next = coordinators.leader(Some(leader)).await;
            heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
            // It is logged once, instead of for each message that fails.
            let log_line = format!("coordinator s{leader} is unreachable");
            wait_until(|| async { coordinators.processes[next].process().log_contains(&log_line) }).await;
            assert!(coordinators.processes[next].process().log_count(&log_line) == 1);
            assert!(members.iter().all(|member| member.longest_lapse == 0), "a grant expired");
            let status = coordinators.status(next).await.expect("a status");
            assert!(status.epoch >= epoch && status.members.len() == 2, "{status:?}");
            // The killed coordinator restarts with its disk.
            coordinators.processes[leader].start();
            coordinators.wait_for_state(leader, "follower").await;
        }
    });
}

/// Guards against a minority that grants, and against guarantees that expire together with the quotas. Each coordinator
/// is suspended and resumed.
#[test]
fn without_a_majority_members_keep_only_their_guarantees_until_it_is_restored() {
    run(async {
        let mut coordinators = Coordinators::new("minority", "c", 3);
        coordinators.start();
        let mut members = [TestMember::new("n0", 1, 150_000), TestMember::new("n1", 2, 150_000)];
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        let leader = coordinators.leader(None).await;
        let followers: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
        for follower in &followers {
            coordinators.processes[*follower].process().pause();
        }
        // Without a majority the leader replies to no member.
        heartbeat_until(&coordinators, &mut members, only_guarantees).await;
        coordinators.processes[leader].process().pause();
        for follower in &followers {
            coordinators.processes[*follower].process().resume();
        }
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        // The former leader resumes, and learns that it has been replaced.
        coordinators.processes[leader].process().resume();
        coordinators.wait_for_state(leader, "follower").await;
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
    });
}

/// Guards against a coordinator that votes twice because its vote was lost with its disk, and against one that uses the
/// disk of another cluster.
#[test]
fn a_coordinator_without_its_disk_or_with_one_of_another_cluster_has_no_vote() {
    run(async {
        let mut coordinators = Coordinators::new("disk", "c", 3);
        coordinators.start();
        let mut members = [TestMember::new("n0", 1, 150_000)];
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        let leader = coordinators.leader(None).await;
        let lost = (leader + 1) % 3;
        let id = coordinators.status(lost).await.expect("a status").id;
        coordinators.processes[lost].restart_without_disk();
        coordinators.wait_for_state(lost, "blank").await;
        assert_ne!(coordinators.status(lost).await.expect("a status").id, id);
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        // The coordinator without its disk does not vote, so that there is no majority.
        coordinators.processes[leader].kill();
        heartbeat_until(&coordinators, &mut members, |members| members[0].allocated() == GUARANTEED).await;
        assert!(coordinators.status(lost).await.is_some_and(|status| status.state == "blank"));
        coordinators.processes[leader].start();
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        // A start with the disk of another cluster fails.
        let other = Coordinators::new("other", "d", 1);
        let restarted = &mut coordinators.processes[lost];
        restarted.kill();
        restarted.replace_in_config("\"c\"", "\"d\"");
        restarted.start();
        assert_eq!(restarted.process().wait_for_exit().await, Some(2));
        // Its last log line may be read after its exit has been noticed.
        wait_until(|| async { restarted.process().log_contains("belongs to the cluster c, not to d") }).await;
        drop(other);
    });
}

/// Guards against a coordinator that terminates because of an invalid message.
#[test]
fn invalid_messages_are_rejected_with_a_reason_and_counted() {
    run(async {
        let coordinators = Coordinators::launch("noise", "c", 1).await;
        let leader = coordinators.leader(None).await;
        let coordinator = &coordinators.processes[leader];
        let CoordinatorProcess { name, address, .. } = coordinator;
        assert_eq!(name, "s0");
        let request = |path: &str, body: &str| {
            let length = body.len();
            format!("POST {path} HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
        };
        let envelope = |cluster: &str, version: u32, message: &str| {
            format!(r#"{{"cluster":"{cluster}","version":{version},"to":0,"message":{message},"more":1}}"#)
        };
        let heartbeat = r#"{"name":"n","identity":1,"number":1,"epoch":0,"wants":{"acme":-5}}"#;
        for (path, body, status, expected) in [
            (HEARTBEAT_PATH, "no json".to_owned(), 400, "expected"),
            (HEARTBEAT_PATH, envelope("c", 2, "{}"), 400, "unsupported protocol version 2, expected 1"),
            (HEARTBEAT_PATH, envelope("other", 1, "{}"), 409, "this coordinator belongs to the cluster c"),
            (HEARTBEAT_PATH, envelope("c", 1, "{}"), 400, "name"),
            (HEARTBEAT_PATH, envelope("c", 1, heartbeat), 400, "invalid"),
            (HEARTBEAT_PATH, "x".repeat(MAX_HEARTBEAT_BYTES + 1), 413, "longer than"),
            ("/-/vote", envelope("c", 1, "{}"), 409, "this coordinator has the identifier"),
            ("/-/none", String::new(), 404, "no such path"),
        ] {
            let reply = fernroute_test_support::caller::send_and_read(*address, request(path, &body)).await;
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            assert!(reply.status() == status && text.contains(expected), "{path}: {} {text}", reply.status());
        }
        let mut members = [TestMember::new("n0", 1, 150_000)];
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        // Five messages were unreadable; those for another cluster or coordinator do not count.
        assert_eq!(coordinators.status(leader).await.expect("a status").unreadable_messages, 5);
        let output = run_command(program(&["status", &address.to_string()])).await;
        for expected in ["s0 is leader, s0 leads", "acme", "200.000", "n0"] {
            assert!(output.stdout.contains(expected), "{output:?}");
        }
        assert!(coordinator.process().is_running());
    });
}

/// Starts the first coordinator alone, and adds the others. These are rejected until the leader's file names them and
/// they run.
async fn grow_from_one_to_three(coordinators: &mut Coordinators, members: &mut [TestMember]) {
    let all = coordinators.addresses();
    coordinators.processes[0].write_config("c", &all[..1]);
    coordinators.processes[0].start();
    heartbeat_until(coordinators, members, nearly_all_allocated).await;
    // The leader's own file has to name the new coordinators first.
    let output = coordinators.change(1);
    assert!(output.code == 2 && output.text().contains("the file of the leader s0 names s0"), "{output:?}");
    // With the new file it still leads alone.
    coordinators.processes[0].kill();
    coordinators.processes[0].write_config("c", &all);
    coordinators.processes[0].start();
    coordinators.leader(None).await;
    let output = coordinators.change(0);
    assert!(output.code == 2 && output.text().contains("s0: s1: "), "{output:?}");
    coordinators.processes[1].start();
    coordinators.processes[2].start();
    coordinators.wait_for_state(1, "blank").await;
    coordinators.wait_for_state(2, "blank").await;
    let output = coordinators.change(2);
    assert!(output.code == 0 && output.text().contains("added: s1, s2"), "{output:?}");
    heartbeat_until(coordinators, members, nearly_all_allocated).await;
}

/// Guards against grants that expire while a cluster grows from one coordinator, or replaces a lost one.
#[test]
fn a_cluster_grows_from_one_to_three_and_replaces_a_lost_coordinator() {
    run(async {
        let mut coordinators = Coordinators::new("grow", "c", 3);
        let mut members = [TestMember::new("n0", 1, 150_000), TestMember::new("n1", 2, 50_000)];
        grow_from_one_to_three(&mut coordinators, &mut members).await;
        // The first coordinator loses its disk, and restarts with another identity.
        coordinators.processes[0].kill();
        coordinators.processes[0].disk.wipe().expect("an empty disk");
        reset_lapses(&mut members);
        coordinators.leader(Some(0)).await;
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        assert!(members.iter().all(|member| member.longest_lapse == 0), "a grant expired");
        coordinators.processes[0].start();
        coordinators.wait_for_state(0, "blank").await;
        let output = coordinators.change(0);
        assert!(output.code == 0 && output.text().contains("added: s0"), "{output:?}");
        // The new coordinator votes: without its vote there would be no majority now.
        coordinators.processes[1].kill();
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        let leader = coordinators.leader(Some(1)).await;
        let status = coordinators.status(leader).await.expect("a status");
        assert!(
            status.replicas.len() == 3 && status.replicas.iter().all(|coordinator| coordinator.is_voter),
            "{status:?}"
        );
    });
}

/// Copies the disk of a follower, lets the follower store more entries, and restarts it with the copy.
async fn restart_with_stale_disk(
    coordinators: &mut Coordinators,
    members: &mut [TestMember; 2],
    follower: usize,
) {
    coordinators.processes[follower].kill();
    let copy_folder = coordinators.folder.join("copy");
    let copy = coordinators.processes[follower].disk.copy(copy_folder).expect("a copy");
    coordinators.processes[follower].start();
    coordinators.wait_for_state(follower, "follower").await;
    let epoch = coordinators.status(follower).await.expect("a status").epoch;
    (members[0].demand, members[1].demand) = (50_000, 150_000);
    heartbeat_until(coordinators, members, |members| {
        nearly_all_allocated(members) && members[1].allocated() > members[0].allocated()
    })
    .await;
    let has_stored_more = |status: Status| status.epoch > epoch;
    wait_until(|| async { coordinators.status(follower).await.is_some_and(has_stored_more) }).await;
    coordinators.processes[follower].kill();
    coordinators.processes[follower].disk.replace_with(&copy).expect("the copy");
    coordinators.processes[follower].start();
}

/// Guards against a coordinator that votes or acknowledges entries a second time because its disk was restored from an
/// older copy.
#[test]
fn a_coordinator_with_a_stale_copy_of_its_disk_takes_no_part_until_it_is_replaced() {
    run(async {
        let mut coordinators = Coordinators::new("older", "c", 3);
        coordinators.start();
        let mut members = [TestMember::new("n0", 1, 150_000), TestMember::new("n1", 2, 50_000)];
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        let leader = coordinators.leader(None).await;
        let (stale, other) = ((leader + 1) % 3, (leader + 2) % 3);
        restart_with_stale_disk(&mut coordinators, &mut members, stale).await;
        coordinators.wait_for_state(stale, "waiting").await;
        let reports_stale_disk =
            |status: &Status| status.fault.as_ref().is_some_and(|fault| fault.contains("the disk is stale"));
        wait_until(|| async {
            coordinators.status(stale).await.is_some_and(|status| reports_stale_disk(&status))
        })
        .await;
        // The coordinator with the stale disk does not vote, so that there is no majority.
        coordinators.processes[other].kill();
        heartbeat_until(&coordinators, &mut members, only_guarantees).await;
        assert!(coordinators.status(stale).await.is_some_and(|status| reports_stale_disk(&status)));
        coordinators.processes[other].start();
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        // After a restart without its disk it can be added again.
        coordinators.processes[stale].restart_without_disk();
        coordinators.wait_for_state(stale, "blank").await;
        let output = coordinators.change(stale);
        assert!(output.code == 0, "{output:?}");
        coordinators.wait_for_state(stale, "follower").await;
    });
}

/// Guards against a coordinator that continues as if its writes had succeeded, and against one that blocks the cluster.
#[test]
fn a_coordinator_that_cannot_write_stops_with_a_fault_and_restarts_with_its_state() {
    run(async {
        let mut coordinators = Coordinators::new("full", "c", 3);
        coordinators.start();
        let mut members = [TestMember::new("n0", 1, 150_000), TestMember::new("n1", 2, 50_000)];
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
        let full = coordinators.leader(None).await;
        coordinators.processes[full].process().fill_disk().expect("a full disk");
        (members[0].demand, members[1].demand) = (50_000, 150_000);
        let next = coordinators.leader(Some(full)).await;
        heartbeat_until(&coordinators, &mut members, |members| {
            nearly_all_allocated(members) && members[1].allocated() > members[0].allocated()
        })
        .await;
        let status = coordinators.status(full).await.expect("a status");
        assert!(status.state == "stopped" && status.fault.is_some(), "{status:?}");
        assert!(coordinators.processes[full].process().log_contains("storage error: "));
        // After a restart with free space it has its state and votes again.
        coordinators.processes[full].kill();
        coordinators.processes[full].start();
        coordinators.wait_for_state(full, "follower").await;
        coordinators.processes[next].kill();
        heartbeat_until(&coordinators, &mut members, nearly_all_allocated).await;
    });
}

/// Guards against limits on the number of members or the length of a status that a large fleet exceeds.
#[test]
fn a_thousand_members_join_at_once_and_are_in_the_status() {
    const MEMBERS: usize = 1_024;
    run(async {
        let mut coordinators = Coordinators::new("many", "c", 1);
        coordinators.processes[0].replace_in_config("members = 10", &format!("members = {MEMBERS}"));
        coordinators.start();
        coordinators.leader(None).await;
        let mut members: Vec<TestMember> =
            (0..MEMBERS).map(|n| TestMember::new(&format!("n{n}"), n as u64 + 1, 150)).collect();
        // All members at once, as after a restart of the whole fleet.
        for _ in 0..3 {
            let addresses = coordinators.addresses();
            let heartbeats =
                members.iter_mut().map(|member| member.send_heartbeat(&coordinators.peers, &addresses));
            futures_util::future::join_all(heartbeats).await;
        }
        wait_until(|| async {
            coordinators.status(0).await.is_some_and(|status| status.members.len() == MEMBERS)
        })
        .await;
        let status = coordinators.status(0).await.expect("a status");
        assert!(status.budgets["acme"].allocated <= status.budgets["acme"].limit, "{:?}", status.budgets);
    });
}
