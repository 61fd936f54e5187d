//! The output, errors and exit codes of `fernroute-coordinator configuration`.

mod common;

use common::balancer::Balancer;
use common::configuration::{content, get, history, put, wait_until_active, wait_until_known, write_file};
use common::{program, run, run_command, wait_until, CommandOutput, Coordinators};
use fernroute_coordinator::configuration::ConfigurationStatus;
use fernroute_fleet::configuration::rollout::RolloutState;
use fernroute_fleet::configuration::Scope;
use fernroute_test_support::link::Link;

/// Asserts exit code 2 and an error of one line that contains this text.
fn assert_rejected(output: &CommandOutput, expected: &str) {
    assert!(
        output.code == 2 && output.stdout.is_empty() && output.stderr.contains(expected),
        "{expected}: {output:?}"
    );
    assert_eq!(output.stderr.lines().count(), 1, "{output:?}");
}

/// Guards against a change that is based on an older version, and would silently revert the latest one.
#[test]
fn of_two_concurrent_puts_one_is_rejected_and_names_the_author_of_the_other() {
    run(async {
        let coordinators = Coordinators::launch("two", "shop", 3).await;
        put(&coordinators, "service/web", &content(1), &["--who", "bob"]).await;

        let file = write_file(&coordinators, "late.toml", &content(2));
        let arguments = ["configuration", "put", &file, "--scope", "service/web", "--from", "0"];
        let late = coordinators.command(&arguments).await;

        assert_rejected(&late, "service/web: version 1, by bob, 20");
        assert!(late.stderr.trim_end().ends_with("the file is based on version 0"), "{late:?}");
        for version in 1..=5_u64 {
            let files = [10, 20].map(|retry_after| {
                let name = format!("{retry_after}.toml");
                write_file(&coordinators, &name, &content(retry_after + version))
            });
            let base = version.to_string();
            let arguments = files
                .each_ref()
                .map(|file| ["configuration", "put", file, "--scope", "service/web", "--from", &base]);
            let (first, second) =
                futures_util::join!(coordinators.command(&arguments[0]), coordinators.command(&arguments[1]));
            let (entered, rejected) = if first.code == 0 { (first, second) } else { (second, first) };
            let expected = format!("version {}\n", version + 1);
            assert_eq!((entered.code, &entered.stdout), (0, &expected), "{entered:?}");
            assert_rejected(&rejected, &format!("service/web: version {}, by ann", version + 1));
        }
        assert_eq!(history(&coordinators).await.len(), 6);
    });
}

/// Guards against a change that is entered twice or reported as rejected because its reply was lost, and against a
/// delayed change that overwrites a newer one.
#[test]
fn a_put_with_a_lost_reply_is_recognized_and_a_delayed_one_is_rejected() {
    run(async {
        let coordinators = Coordinators::launch("lost", "shop", 1).await;
        let link = Link::start(coordinators.processes[0].address).await.expect("a link");
        let file = write_file(&coordinators, "part.toml", &content(1));
        let put_by_link = || {
            let mut command =
                program(&["configuration", "put", &file, "--scope", "all", "--who", "ann", "--at"]);
            command.arg(link.address.to_string());
            run_command(command)
        };

        link.hold_next("/-/configuration/put");
        let release = async {
            wait_until(|| async { link.has_held() }).await;
            link.release_held().await.expect("a reply");
        };
        let (output, ()) = futures_util::join!(put_by_link(), release);
        assert_eq!((output.code, output.stdout.as_str()), (0, "version 1\n"), "{output:?}");
        assert_eq!(history(&coordinators).await.len(), 1);

        link.hold_next("/-/configuration/put");
        let overtake_and_release = async {
            wait_until(|| async { link.has_held() }).await;
            assert_eq!(put(&coordinators, "all", &content(2), &["--who", "bob"]).await, 2);
            link.release_held().await.expect("a reply");
        };
        let (delayed, ()) = futures_util::join!(put_by_link(), overtake_and_release);
        assert_rejected(&delayed, "all: version 2, by bob");
        let entries = history(&coordinators).await;
        let latest = get(&coordinators, "all").await.stdout;
        assert!(entries.len() == 2 && latest == content(2), "{entries:?}");
    });
}

/// A cluster with three balancers that follow its configuration, and one of an older version that does not.
struct Fleet {
    coordinators: Coordinators,
    balancers: [Balancer; 3],
    old_balancer: [Balancer; 1],
}

impl Fleet {
    async fn new(test: &str) -> Self {
        let coordinators = Coordinators::launch(test, "shop", 3).await;
        let balancers = [
            Balancer::new(&coordinators, 1, "n0", "web", "a", 0),
            Balancer::new(&coordinators, 2, "n1", "web", "b", 1),
            Balancer::new(&coordinators, 3, "n2", "web", "b", 2),
        ];
        let old_balancer = [Balancer::without_configuration(&coordinators, 4, "n3")];
        wait_until_known(&balancers).await;
        wait_until_known(&old_balancer).await;
        put(&coordinators, "all", &content(1), &["--wait"]).await;
        Fleet { coordinators, balancers, old_balancer }
    }

    /// Runs `put --wait` for the service of the three balancers.
    async fn put_and_wait(&self, content: String, wait_s: &str) -> CommandOutput {
        let file = write_file(&self.coordinators, "part.toml", &content);
        let arguments = ["configuration", "put", &file, "--scope", "service/web", "--wait", wait_s];
        self.coordinators.command(&arguments).await
    }

    async fn status_table(&self) -> String {
        self.coordinators.command(&["configuration", "status"]).await.stdout
    }

    async fn a_rejection_is_reported_when_nothing_is_pending(&self) {
        self.balancers[1].state.rejected_text.replace(Some("retry_after_s = 2".to_owned()));

        let output = self.put_and_wait(content(2), "30").await;

        assert_eq!((output.code, output.stdout.as_str()), (1, "version 2\n"), "{output:?}");
        assert_eq!(
            output.stderr,
            "fernroute-coordinator: version 2 is in force at 2 of 3; refused by n1: retry_after_s = 2 is not allowed here\n"
        );
        let table = self.status_table().await;
        let line = |name: &str| table.lines().find(|line| line.starts_with(name)).unwrap_or_default();
        assert!(line("n1").ends_with("refused: retry_after_s = 2 is not allowed here"), "{table}");
        assert!(line("n0").ends_with("in force") && line("n3").ends_with("follows none"), "{table}");
        assert!(line("service/web").contains(" 2 "), "{table}");
    }

    async fn a_paused_member_is_pending_until_the_wait_is_over(&self) {
        self.balancers[2].state.is_paused.set(true);
        for (version, wait_s) in [(3, "0"), (4, "0.5")] {
            let output = self.put_and_wait(content(version), wait_s).await;

            assert_eq!((output.code, &output.stdout), (1, &format!("version {version}\n")), "{output:?}");
            assert!(
                output.stderr.lines().count() == 1
                    && output.stderr.contains("; on its way to ")
                    && output.stderr.contains("n2"),
                "{output:?}"
            );
        }
        wait_until_active(&self.balancers[..2], 4).await;
    }

    async fn an_unreachable_member_is_not_waited_for(&self) {
        wait_until(|| async {
            let table = self.status_table().await;
            table.lines().any(|line| line.starts_with("n2") && line.ends_with("not heard of"))
        })
        .await;

        let output = self.put_and_wait(content(5), "30").await;

        let expected = "version 5\nin force at 2 of 2; not heard of: n2\n";
        assert!(output.code == 0 && output.stdout == expected, "{output:?}");
    }

    async fn the_status_as_json_has_each_member_and_scope(&self) {
        let output = self.coordinators.command(&["configuration", "status", "--json"]).await;

        let status: ConfigurationStatus = serde_json::from_str(&output.stdout).expect("JSON");
        let members = status
            .members
            .iter()
            .map(|member| (member.name.as_str(), member.state, member.wanted, member.active));
        assert_eq!(
            members.collect::<Vec<_>>(),
            [
                ("n0", RolloutState::Active, 5, 5),
                ("n1", RolloutState::Active, 5, 5),
                ("n2", RolloutState::Unreachable, 5, 2),
                ("n3", RolloutState::NotFollowing, 0, 0),
            ]
        );
        assert!(output.code == 0 && status.is_reachability_known, "{output:?}");
        assert!(status.cluster == "shop" && status.version == 5, "{output:?}");
        let scopes = status.scopes.iter().map(|scope| (&scope.scope, scope.version));
        assert!(scopes.eq([(&Scope::All, 1), (&Scope::Service("web".to_owned()), 5)]));
    }

    /// A new leader has received no heartbeat yet, so that no member counts as active.
    async fn members_are_pending_right_after_an_election(&self) {
        for balancer in self.balancers.iter().chain(&self.old_balancer) {
            balancer.state.is_paused.set(true);
        }
        let leader = self.coordinators.leader(None).await;
        self.coordinators.processes[leader].kill();
        self.coordinators.leader(Some(leader)).await;

        let output = self.put_and_wait(content(6), "0.2").await;

        assert!(
            output.code == 1 && output.stderr.contains("in force at 0 of 4; on its way to n0, n1, n2, n3"),
            "{output:?}"
        );
    }
}

/// Guards against `put --wait` that succeeds before the rollout is complete, and against a status that hides
/// members.
#[test]
fn put_and_status_name_the_members_where_a_rollout_is_not_complete() {
    run(async {
        let fleet = Fleet::new("wait").await;
        fleet.a_rejection_is_reported_when_nothing_is_pending().await;
        fleet.a_paused_member_is_pending_until_the_wait_is_over().await;
        fleet.an_unreachable_member_is_not_waited_for().await;
        fleet.the_status_as_json_has_each_member_and_scope().await;
        fleet.members_are_pending_right_after_an_election().await;
    });
}

/// One coordinator with one entry, for all balancers.
async fn with_one_entry(test: &str) -> Coordinators {
    let coordinators = Coordinators::launch(test, "shop", 1).await;
    put(&coordinators, "all", "[list]\nmode = \"ask\"\nask_within_s = 5\n", &[]).await;
    coordinators
}

async fn assert_still_one_entry(coordinators: &Coordinators) {
    let output = coordinators.command(&["configuration", "history"]).await;
    assert!(
        output.code == 0 && output.stdout.lines().count() == 2 && history(coordinators).await.len() == 1,
        "{output:?}"
    );
}

/// Guards against a content that balancers cannot load.
#[test]
fn invalid_contents_are_rejected_by_check_and_put_in_one_line() {
    run(async {
        let coordinators = with_one_entry("refused").await;
        let part = |name: &str, content: &str| write_file(&coordinators, name, content);
        for (file, expected) in [
            (part("a.toml", "[limits\n"), "line 1"),
            (part("b.toml", "[limits]\nretry_after_s = 1\nretry_before_s = 2\n"), "limits.retry_before_s"),
            (part("c.toml", "name = \"x\"\n"), "name: belongs in each balancer's own file"),
            (part("d.toml", "[limits]\ntransmissions = 0\n"), "limits.transmissions"),
            (part("e.toml", "[limits]\nconnect_ms = 5\n"), "limits.connect_ms: needs a restart"),
            (part("long.toml", &format!("# {}\n", "x".repeat(70_000))), "the limit is 65536"),
            (part("none.toml", "") + "x", "No such file"),
        ] {
            let checked = run_command(program(&["configuration", "check", &file])).await;
            assert_rejected(&checked, expected);
            let put = coordinators.command(&["configuration", "put", &file, "--scope", "all"]).await;
            assert_rejected(&put, expected);
        }

        let valid = part("good.toml", &content(1));
        let output = run_command(program(&["configuration", "check", &valid])).await;
        assert!(output.code == 0 && output.stdout.contains("good.toml: valid: 27 bytes, "), "{output:?}");
        assert_still_one_entry(&coordinators).await;
    });
}

/// Guards against invalid arguments that are accepted or misread.
#[test]
fn invalid_arguments_are_rejected_in_one_line() {
    run(async {
        let coordinators = with_one_entry("arguments").await;
        let file = write_file(&coordinators, "good.toml", &content(1));
        let too_long = "x".repeat(65);
        for (options, expected) in [
            (&["--scope", "everybody"][..], "expected one of all, service/S"),
            (&["--scope", "service/"], "a name is empty"),
            (&["--scope", "all", "--from", "x"], "from"),
            (&["--scope", "all", "--who", ""], "name is empty"),
            (&["--scope", "all", "--who", &too_long], "longer than 64"),
            (&["--scope", "all", "--wait", "-1"], "--wait"),
            (&["--scope", "all", "--from", "7"], "all: version 1, by ann"),
            (&["--scope", "service/x", "--from", "7"], "service/x"),
            (&[], "--scope"),
        ] {
            let arguments = [&["configuration", "put", &file], options].concat();
            assert_rejected(&coordinators.command(&arguments).await, expected);
        }
        for (arguments, expected) in [
            (
                &["configuration", "get", "--scope", "service/none"][..],
                "service/none: the scope has no entry",
            ),
            (&["configuration", "get"], "--scope"),
            (&["configuration", "status", "more"], "more"),
            (&["configuration", "history", "--scope", "x"], "not a scope"),
            (&["configuration", "undo"], "undo"),
        ] {
            assert_rejected(&coordinators.command(arguments).await, expected);
        }
        assert_still_one_entry(&coordinators).await;
        let arguments = ["configuration", "history", "--scope", "service/x", "--json"];
        assert_eq!(coordinators.command(&arguments).await.stdout, "[]\n");
    });
}

/// Guards against a command that succeeds or hangs where no coordinator is reachable.
#[test]
fn commands_without_a_reachable_coordinator_are_rejected_in_one_line() {
    run(async {
        let coordinators = with_one_entry("unreachable").await;
        let file = write_file(&coordinators, "good.toml", &content(1));
        for arguments in
            [&["status"][..], &["history"], &["get", "--scope", "all"], &["put", &file, "--scope", "all"]]
        {
            let mut without_address = program(&["configuration"]);
            without_address.args(arguments).env("USER", "ann");
            assert_rejected(&run_command(without_address).await, "--at");
            let mut unreachable = program(&["configuration"]);
            unreachable.args(arguments).args(["--at", "127.0.0.1:1"]).env("USER", "ann");
            assert_rejected(&run_command(unreachable).await, "127.0.0.1:1");
        }
        assert_still_one_entry(&coordinators).await;
    });
}
