//! `fernroute-coordinator configuration` at real stewards: what it prints, what it refuses, and how it ends.

mod common;

use common::balancer::Balancer;
use common::operator::{content, get, history, put, until_beats, until_in_force, write};
use common::{run, said, until, Stewards};
use fernroute_coordinator::configuration::ConfigurationStatus;
use fernroute_fleet::configuration::rollout::RolloutState;
use fernroute_fleet::configuration::Scope;
use fernroute_test_support::link::Link;
use std::process::Command;

/// One line, and the code of a refusal.
fn is_refused((code, out, why): &(i32, String, String), what: &str) {
    assert!(*code == 2 && out.is_empty() && why.contains(what), "{what}: {code} {out}{why}");
    assert_eq!(why.lines().count(), 1, "{why}");
}

/// Guards against a change by somebody who has not seen the latest one, which would be undone unseen.
#[test]
fn two_operators_at_once_one_wins_and_the_other_is_told_by_whom() {
    run(async {
        let mut stewards = Stewards::new("two", "shop", 3);
        stewards.start();
        stewards.leader(None).await;
        put(&stewards, "service/web", &content(1), &["--who", "bob"]).await;
        let file = write(&stewards, "late.toml", &content(2));
        let words = ["configuration", "put", &file, "--scope", "service/web", "--from"];
        let late = stewards.command(&[&words[..], &["0"]].concat()).await;
        is_refused(&late, "service/web: version 1, by bob, 20");
        assert!(late.2.trim_end().ends_with("the file was made from version 0"), "{}", late.2);
        for n in 1..=5_u64 {
            let files = [10, 20].map(|m| write(&stewards, &format!("{m}.toml"), &content(m + n)));
            let from = n.to_string();
            let words =
                |m: usize| ["configuration", "put", &files[m], "--scope", "service/web", "--from", &from];
            let (one, two) = (words(0), words(1));
            let both = futures_util::join!(stewards.command(&one), stewards.command(&two));
            let (wins, loses) = if both.0 .0 == 0 { both } else { (both.1, both.0) };
            assert_eq!((wins.0, wins.1), (0, format!("version {}\n", n + 1)), "{}", wins.2);
            is_refused(&loses, &format!("service/web: version {}, by ann", n + 1));
        }
        assert_eq!(history(&stewards).await.len(), 6);
    });
}

/// Guards against a word that is entered twice, or told as refused, because its answer was lost; and against one that comes
/// late and lands over a newer one.
#[test]
fn a_put_whose_answer_is_lost_is_known_again_and_one_that_comes_late_is_refused() {
    run(async {
        let mut stewards = Stewards::new("lost", "shop", 1);
        stewards.start();
        stewards.leader(None).await;
        let link = Link::to(stewards.places[0].address).await.expect("a link");
        let file = write(&stewards, "part.toml", &content(1));
        let command = |who: &str| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
            command.args(["configuration", "put", &file, "--scope", "all", "--who", who, "--at"]);
            command.arg(link.address.to_string());
            command
        };
        link.catch("/-/configuration/put");
        let let_go = async {
            until(|| async { link.has_caught() }).await;
            link.let_go().await.expect("it is answered");
        };
        let (ended, ()) = futures_util::join!(said(command("ann")), let_go);
        assert_eq!((ended.0, ended.1.as_str()), (0, "version 1\n"), "{}", ended.2);
        assert_eq!(history(&stewards).await.len(), 1);
        link.catch("/-/configuration/put");
        let overtake = async {
            until(|| async { link.has_caught() }).await;
            assert_eq!(put(&stewards, "all", &content(2), &["--who", "bob"]).await, 2);
            link.let_go().await.expect("it is answered");
        };
        let (late, ()) = futures_util::join!(said(command("ann")), overtake);
        is_refused(&late, "all: version 2, by bob");
        let lines = history(&stewards).await;
        assert!(lines.len() == 2 && get(&stewards, "all").await.1 == content(2), "{lines:?}");
    });
}

/// Guards against `put --wait` that says done where it is not, and against a status that hides who is missing.
#[test]
fn who_refuses_or_is_on_its_way_is_named_by_put_and_by_status() {
    run(async {
        let mut stewards = Stewards::new("wait", "shop", 3);
        stewards.start();
        stewards.leader(None).await;
        let balancers = [
            Balancer::new(&stewards, 1, "n0", "web", "a", 0),
            Balancer::new(&stewards, 2, "n1", "web", "b", 1),
            Balancer::new(&stewards, 3, "n2", "web", "b", 2),
        ];
        let old = [Balancer::new(&stewards, 4, "n3", "", "", 0)];
        until_beats(&balancers).await;
        until_beats(&old).await;
        put(&stewards, "all", &content(1), &["--wait"]).await;
        let put_for = |content: String, wait: &'static str| {
            let (file, stewards) = (write(&stewards, "part.toml", &content), &stewards);
            async move {
                let words = ["configuration", "put", &file, "--scope", "service/web", "--wait", wait];
                stewards.command(&words).await
            }
        };
        // One will not have it: that is said as soon as nobody else is on the way.
        balancers[1].view.refuses.replace(Some("retry_after_s = 2".to_owned()));
        let (code, out, why) = put_for(content(2), "30").await;
        assert_eq!((code, out.as_str()), (1, "version 2\n"), "{why}");
        assert_eq!(
            why,
            "fernroute-coordinator: version 2 is in force at 2 of 3; refused by n1: retry_after_s = 2 will not do here\n"
        );
        let (_, out, _) = stewards.command(&["configuration", "status"]).await;
        let line = |name: &str| out.lines().find(|line| line.starts_with(name)).unwrap_or_default();
        assert!(line("n1").ends_with("refused: retry_after_s = 2 will not do here"), "{out}");
        assert!(line("n0").ends_with("in force") && line("n3").ends_with("follows none"), "{out}");
        assert!(line("service/web").contains(" 2 "), "{out}");
        // One does not come: time is over, at once or after a while.
        balancers[2].view.pauses.set(true);
        for (n, wait) in [(3, "0"), (4, "0.5")] {
            let (code, out, why) = put_for(content(n), wait).await;
            assert_eq!((code, out), (1, format!("version {n}\n")), "{why}");
            assert!(
                why.lines().count() == 1 && why.contains("; on its way to ") && why.contains("n2"),
                "{why}"
            );
        }
        until_in_force(&balancers[..2], 4).await;
        // It is not heard of any more, and not waited for.
        until(|| async {
            let (_, out, _) = stewards.command(&["configuration", "status"]).await;
            out.lines().any(|line| line.starts_with("n2") && line.ends_with("not heard of"))
        })
        .await;
        let (code, out, why) = put_for(content(5), "30").await;
        assert!(code == 0 && out == "version 5\nin force at 2 of 2; not heard of: n2\n", "{out}{why}");
        let (code, out, _) = stewards.command(&["configuration", "status", "--json"]).await;
        let all: ConfigurationStatus = serde_json::from_str(&out).expect("it is JSON");
        let standing = all.members.iter().map(|m| (m.name.as_str(), m.state, m.wanted, m.active));
        assert_eq!(
            standing.collect::<Vec<_>>(),
            [
                ("n0", RolloutState::Active, 5, 5),
                ("n1", RolloutState::Active, 5, 5),
                ("n2", RolloutState::Unreachable, 5, 2),
                ("n3", RolloutState::NotFollowing, 0, 0),
            ]
        );
        assert!(code == 0 && all.settled && all.cluster == "shop" && all.version == 5, "{out}");
        assert!(all
            .scopes
            .iter()
            .map(|s| (&s.scope, s.version))
            .eq([(&Scope::All, 1), (&Scope::Service("web".to_owned()), 5)]));
        // Just elected, a leader has heard of nobody: that is not taken for in force.
        balancers.iter().chain(&old).for_each(|b| b.view.pauses.set(true));
        let leader = stewards.leader(None).await;
        stewards.places[leader].process().kill();
        stewards.leader(Some(leader)).await;
        let (code, _, why) = put_for(content(6), "0.2").await;
        assert!(
            code == 1 && why.contains("in force at 0 of 4; on its way to n0, n1, n2, n3"),
            "{code} {why}"
        );
    });
}

/// Guards against what will not load, and against a use that is taken for another.
#[test]
fn what_will_not_do_is_refused_in_one_line_and_nothing_is_entered() {
    run(async {
        let mut stewards = Stewards::new("refused", "shop", 1);
        stewards.start();
        stewards.leader(None).await;
        put(&stewards, "all", "[list]\nmode = \"ask\"\nask_within_s = 5\n", &[]).await;
        let part = |name: &str, content: &str| write(&stewards, name, content);
        let good = part("good.toml", &content(1));
        let long = part("long.toml", &format!("# {}\n", "x".repeat(70_000)));
        for (file, what) in [
            (part("a.toml", "[limits\n"), "line 1"),
            (part("b.toml", "[limits]\nretry_after_s = 1\nretry_before_s = 2\n"), "limits.retry_before_s"),
            (part("c.toml", "name = \"x\"\n"), "name: is each balancer's own"),
            (part("d.toml", "[limits]\ntransmissions = 0\n"), "limits.transmissions"),
            (part("e.toml", "[limits]\nconnect_ms = 5\n"), "limits.connect_ms: needs a restart"),
            (long, "over 65536"),
            (part("none.toml", "") + "x", "No such file"),
        ] {
            let mut check = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
            check.args(["configuration", "check", &file]);
            is_refused(&said(check).await, what);
            is_refused(&stewards.command(&["configuration", "put", &file, "--scope", "all"]).await, what);
        }
        let mut check = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
        check.args(["configuration", "check", &good]);
        let (code, out, _) = said(check).await;
        assert!(code == 0 && out.contains("good.toml: will do: 27 bytes, "), "{out}");
        let put = ["configuration", "put", &good];
        let many = "x".repeat(65);
        for (words, what) in [
            (&["--scope", "everybody"][..], "is none of all, service/S"),
            (&["--scope", "service/"], "a name is empty"),
            (&["--scope", "all", "--from", "x"], "from"),
            (&["--scope", "all", "--who", ""], "name is empty"),
            (&["--scope", "all", "--who", &many], "longer than 64"),
            (&["--scope", "all", "--wait", "-1"], "--wait"),
            (&["--scope", "all", "--from", "7"], "all: version 1, by ann"),
            (&["--scope", "service/x", "--from", "7"], "service/x"),
            (&[], "--scope"),
        ] {
            is_refused(&stewards.command(&[&put[..], words].concat()).await, what);
        }
        for (words, what) in [
            (&["configuration", "get", "--scope", "service/none"][..], "service/none: nothing was ever put"),
            (&["configuration", "get"], "--scope"),
            (&["configuration", "status", "more"], "more"),
            (&["configuration", "history", "--scope", "x"], "is none of"),
            (&["configuration", "undo"], "undo"),
        ] {
            is_refused(&stewards.command(words).await, what);
        }
        for words in
            [&["status"][..], &["history"], &["get", "--scope", "all"], &["put", &good, "--scope", "all"]]
        {
            let mut nowhere = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
            nowhere.arg("configuration").args(words).env("USER", "ann");
            is_refused(&said(nowhere).await, "--at");
            let mut dead = Command::new(env!("CARGO_BIN_EXE_fernroute-coordinator"));
            dead.arg("configuration").args(words).args(["--at", "127.0.0.1:1"]).env("USER", "ann");
            is_refused(&said(dead).await, "127.0.0.1:1");
        }
        let (code, out, _) = stewards.command(&["configuration", "history"]).await;
        assert!(code == 0 && out.lines().count() == 2 && history(&stewards).await.len() == 1, "{out}");
        let (_, out, _) =
            stewards.command(&["configuration", "history", "--scope", "service/x", "--json"]).await;
        assert_eq!(out, "[]\n");
    });
}
