//! Three real stewards on loopback, and members that beat: what happens as stewards are killed, stopped and come back.

mod common;

use common::{beat_until, near_all, run, until, Asks, Stewards, WHOLE};
use fernroute_coordinator::http::MAX_HEARTBEAT_BYTES;
use fernroute_coordinator::replica::Status;
use fernroute_fleet::message::HEARTBEAT_PATH;
use std::process::Command;

/// Guards against grants that lapse because a leader was killed, and against a ledger that forgets them.
#[test]
fn a_killed_leader_is_followed_by_another_and_no_grant_lapses() {
    run(async {
        let mut stewards = Stewards::new("leader", "c", 3);
        stewards.start();
        let mut members = [Asks::new("n0", 1, 150_000), Asks::new("n1", 2, 50_000)];
        beat_until(&stewards, &mut members, |m| near_all(m) && m[0].holds() > m[1].holds()).await;
        for _ in 0..2 {
            let leader = stewards.leader(None).await;
            let epoch = stewards.status(leader).await.expect("its word").epoch;
            stewards.places[leader].process().kill();
            members.iter_mut().for_each(|m| m.bare = 0);
            let next = stewards.leader(Some(leader)).await;
            beat_until(&stewards, &mut members, near_all).await;
            // Told once, not at each message that fails.
            let lost = format!("steward s{leader} is not reached");
            until(|| async { stewards.places[next].process().says(&lost) }).await;
            assert!(stewards.places[next].process().times(&lost) == 1);
            assert!(members.iter().all(|m| m.bare == 0), "a share lapsed");
            let status = stewards.status(next).await.expect("its word");
            assert!(status.epoch >= epoch && status.members.len() == 2, "{status:?}");
            // It comes back with its disk.
            stewards.places[leader].start();
            until(|| async { stewards.status(leader).await.is_some_and(|s| s.state == "follower") }).await;
        }
    });
}

/// Guards against a minority that grants, and against floors that end with the shares. All are stopped and go on.
#[test]
fn without_a_majority_shares_end_floors_stay_and_all_comes_back() {
    run(async {
        let mut stewards = Stewards::new("minority", "c", 3);
        stewards.start();
        let mut members = [Asks::new("n0", 1, 150_000), Asks::new("n1", 2, 150_000)];
        beat_until(&stewards, &mut members, near_all).await;
        let leader = stewards.leader(None).await;
        let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
        others.iter().for_each(|n| stewards.places[*n].process().stop());
        // The leader alone answers nobody: what is held is the floor, a tenth of the whole by ten members.
        beat_until(&stewards, &mut members, |m| m.iter().all(|m| m.holds() == WHOLE / 100)).await;
        stewards.places[leader].process().stop();
        others.iter().for_each(|n| stewards.places[*n].process().go_on());
        beat_until(&stewards, &mut members, near_all).await;
        // The old leader goes on where it stopped, and finds that it leads no more.
        stewards.places[leader].process().go_on();
        until(|| async { stewards.status(leader).await.is_some_and(|s| s.state == "follower") }).await;
        beat_until(&stewards, &mut members, near_all).await;
    });
}

/// Guards against a steward that votes a second time because it has lost what it voted, or speaks for another cluster.
#[test]
fn a_steward_without_its_disk_or_with_anothers_has_no_vote() {
    run(async {
        let mut stewards = Stewards::new("disk", "c", 3);
        stewards.start();
        let mut members = [Asks::new("n0", 1, 150_000)];
        beat_until(&stewards, &mut members, near_all).await;
        let leader = stewards.leader(None).await;
        let lost = (leader + 1) % 3;
        let id = stewards.status(lost).await.expect("its word").id;
        stewards.places[lost].process().kill();
        stewards.places[lost].disk.wipe().expect("it is gone");
        stewards.places[lost].start();
        until(|| async { stewards.status(lost).await.is_some_and(|s| s.state == "blank") }).await;
        assert_ne!(stewards.status(lost).await.expect("its word").id, id);
        beat_until(&stewards, &mut members, near_all).await;
        // With it alone there is no majority, and it gives its vote to nobody.
        stewards.places[leader].process().kill();
        beat_until(&stewards, &mut members, |m| m[0].holds() == WHOLE / 100).await;
        assert!(stewards.status(lost).await.is_some_and(|s| s.state == "blank"));
        stewards.places[leader].start();
        beat_until(&stewards, &mut members, near_all).await;
        // Another cluster's disk ends the start, and says why.
        let other = Stewards::new("other", "d", 1);
        let place = &mut stewards.places[lost];
        place.process().kill();
        let text = std::fs::read_to_string(&place.page).expect("its file").replace("\"c\"", "\"d\"");
        std::fs::write(&place.page, text).expect("a file");
        place.start();
        assert_eq!(place.process().ends().await, Some(2));
        // Its last line may be read after its end is known.
        until(|| async { place.process().says("of the cluster c, not of d") }).await;
        drop(other);
    });
}

/// Guards against a program that fails by what it is sent.
#[test]
fn what_cannot_be_read_is_refused_by_name_and_ends_nothing() {
    run(async {
        let mut stewards = Stewards::new("noise", "c", 1);
        stewards.start();
        let leader = stewards.leader(None).await;
        let place = &stewards.places[leader];
        let (name, at) = (&place.name, place.address);
        assert_eq!(name, "s0");
        let say = |path: &str, body: &str| {
            let length = body.len();
            format!("POST {path} HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}")
        };
        let envelope = |cluster: &str, version: u32, message: &str| {
            format!(r#"{{"cluster":"{cluster}","version":{version},"to":0,"message":{message},"more":1}}"#)
        };
        let beat = r#"{"name":"n","identity":1,"number":1,"epoch":0,"wants":{"acme":-5}}"#;
        for (path, body, status, what) in [
            (HEARTBEAT_PATH, "no json".to_owned(), 400, "expected"),
            (HEARTBEAT_PATH, envelope("c", 2, "{}"), 400, "version 2 is not known here, 1 is"),
            (HEARTBEAT_PATH, envelope("other", 1, "{}"), 409, "this is the cluster c"),
            (HEARTBEAT_PATH, envelope("c", 1, "{}"), 400, "name"),
            (HEARTBEAT_PATH, envelope("c", 1, beat), 400, "invalid"),
            (HEARTBEAT_PATH, "x".repeat(MAX_HEARTBEAT_BYTES + 1), 413, "over"),
            ("/-/vote", envelope("c", 1, "{}"), 409, "this is the steward"),
            ("/-/none", String::new(), 404, "nothing"),
        ] {
            let answer = fernroute_test_support::caller::ask(at, say(path, &body)).await;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(answer.status() == status && text.contains(what), "{path}: {} {text}", answer.status());
        }
        let mut members = [Asks::new("n0", 1, 150_000)];
        beat_until(&stewards, &mut members, near_all).await;
        // Five were no messages; those for another cluster or steward were.
        assert_eq!(stewards.status(leader).await.expect("its word").unread, 5);
        let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
        let said = command.args(["status", &at.to_string()]).output().expect("it runs");
        let text = String::from_utf8_lossy(&said.stdout).into_owned();
        for what in ["s0 is leader, s0 leads", "acme", "200.000", "n0"] {
            assert!(text.contains(what), "{text}");
        }
        assert!(place.process().is_running());
    });
}

/// Guards against a fleet that can't outgrow one steward, or can't get back to three after a loss, without its grants lapsing.
#[test]
fn one_steward_grows_to_three_and_a_lost_one_is_taken_in_anew() {
    run(async {
        let mut stewards = Stewards::new("grow", "c", 3);
        let all = stewards.addresses();
        stewards.places[0].name("c", &all[..1]);
        stewards.places[0].start();
        let mut members = [Asks::new("n0", 1, 150_000), Asks::new("n1", 2, 50_000)];
        beat_until(&stewards, &mut members, near_all).await;
        // The leader's own file has to say so first.
        let (code, why) = stewards.change(1);
        assert!(code == Some(2) && why.contains("which leads, names s0"), "{why}");
        // It goes on alone under the new file, too.
        stewards.places[0].process().kill();
        stewards.places[0].name("c", &all);
        stewards.places[0].start();
        stewards.leader(None).await;
        let (code, why) = stewards.change(0);
        assert!(code == Some(2) && why.contains("s0: s1: "), "{why}");
        stewards.places[1].start();
        stewards.places[2].start();
        stewards.until_state(1, "blank").await;
        stewards.until_state(2, "blank").await;
        let (code, said) = stewards.change(2);
        assert!(code == Some(0) && said.contains("taken in: s1, s2"), "{said}");
        beat_until(&stewards, &mut members, near_all).await;
        // The one that began is lost with its disk: the others go on, and it comes back as another.
        stewards.places[0].process().kill();
        stewards.places[0].disk.wipe().expect("it is gone");
        members.iter_mut().for_each(|m| m.bare = 0);
        stewards.leader(Some(0)).await;
        beat_until(&stewards, &mut members, near_all).await;
        assert!(members.iter().all(|m| m.bare == 0), "a share lapsed");
        stewards.places[0].start();
        stewards.until_state(0, "blank").await;
        let (code, said) = stewards.change(0);
        assert!(code == Some(0) && said.contains("taken in: s0"), "{said}");
        // It counts: without it there would be no majority now.
        stewards.places[1].process().kill();
        beat_until(&stewards, &mut members, near_all).await;
        let leader = stewards.leader(Some(1)).await;
        let status = stewards.status(leader).await.expect("its word");
        assert!(status.stewards.len() == 3 && status.stewards.iter().all(|s| s.votes), "{status:?}");
    });
}

/// Guards against a steward that forgot what it voted and kept, and votes and keeps again.
#[test]
fn a_steward_whose_disk_is_an_older_copy_of_itself_takes_no_part_until_it_is_taken_in_anew() {
    run(async {
        let mut stewards = Stewards::new("older", "c", 3);
        stewards.start();
        let mut members = [Asks::new("n0", 1, 150_000), Asks::new("n1", 2, 50_000)];
        beat_until(&stewards, &mut members, near_all).await;
        let leader = stewards.leader(None).await;
        let (back, other) = ((leader + 1) % 3, (leader + 2) % 3);
        stewards.places[back].process().kill();
        let copy = stewards.places[back].disk.copy(stewards.folder.join("copy")).expect("a copy");
        stewards.places[back].start();
        stewards.until_state(back, "follower").await;
        // Something is entered and kept by it before its disk is set back.
        let epoch = stewards.status(back).await.expect("its word").epoch;
        (members[0].wants, members[1].wants) = (50_000, 150_000);
        beat_until(&stewards, &mut members, |m| near_all(m) && m[1].holds() > m[0].holds()).await;
        until(|| async { stewards.status(back).await.is_some_and(|s| s.epoch > epoch) }).await;
        stewards.places[back].process().kill();
        stewards.places[back].disk.become_like(&copy).expect("it is set back");
        stewards.places[back].start();
        stewards.until_state(back, "waiting").await;
        let says = |s: &Status| s.trouble.as_ref().is_some_and(|why| why.contains("the disk is older than"));
        until(|| async { stewards.status(back).await.is_some_and(|s| says(&s)) }).await;
        // It makes no majority.
        stewards.places[other].process().kill();
        beat_until(&stewards, &mut members, |m| m.iter().all(|m| m.holds() == WHOLE / 100)).await;
        assert!(stewards.status(back).await.is_some_and(|s| says(&s)));
        stewards.places[other].start();
        beat_until(&stewards, &mut members, near_all).await;
        // What it says is to be done brings it back.
        stewards.places[back].process().kill();
        stewards.places[back].disk.wipe().expect("it is gone");
        stewards.places[back].start();
        stewards.until_state(back, "blank").await;
        let (code, said) = stewards.change(back);
        assert!(code == Some(0), "{said}");
        stewards.until_state(back, "follower").await;
    });
}

/// Guards against a steward that goes on as if it had kept what it could not write, and against one that hangs its fleet.
#[test]
fn a_steward_that_cannot_write_stops_and_says_so_and_what_it_had_promised_stays() {
    run(async {
        let mut stewards = Stewards::new("full", "c", 3);
        stewards.start();
        let mut members = [Asks::new("n0", 1, 150_000), Asks::new("n1", 2, 50_000)];
        beat_until(&stewards, &mut members, near_all).await;
        let full = stewards.leader(None).await;
        stewards.places[full].process().fill_disk().expect("it has a limit");
        (members[0].wants, members[1].wants) = (50_000, 150_000);
        let next = stewards.leader(Some(full)).await;
        beat_until(&stewards, &mut members, |m| near_all(m) && m[1].holds() > m[0].holds()).await;
        let status = stewards.status(full).await.expect("its word");
        assert!(status.state == "stopped" && status.trouble.is_some(), "{status:?}");
        assert!(stewards.places[full].process().says("the disk: "));
        // With room again it starts with what it had, and counts.
        stewards.places[full].process().kill();
        stewards.places[full].start();
        stewards.until_state(full, "follower").await;
        stewards.places[next].process().kill();
        beat_until(&stewards, &mut members, near_all).await;
    });
}

/// Guards against a bound on members, or on what a steward answers, that a large fleet meets.
#[test]
fn a_thousand_members_are_taken_in_and_told_of() {
    const MANY: usize = 1_024;
    run(async {
        let mut stewards = Stewards::new("many", "c", 1);
        stewards.places[0].change_page("members = 10", &format!("members = {MANY}"));
        stewards.start();
        stewards.leader(None).await;
        let mut members: Vec<Asks> =
            (0..MANY).map(|n| Asks::new(&format!("n{n}"), n as u64 + 1, 150)).collect();
        // All at once, as after a start of the whole fleet.
        for _ in 0..3 {
            let addresses = stewards.addresses();
            let beats = members.iter_mut().map(|member| member.beat(&stewards.peers, &addresses));
            futures_util::future::join_all(beats).await;
        }
        until(|| async { stewards.status(0).await.is_some_and(|s| s.members.len() == MANY) }).await;
        let status = stewards.status(0).await.expect("its word");
        assert!(status.budgets["acme"].held <= status.budgets["acme"].whole, "{:?}", status.budgets);
    });
}
