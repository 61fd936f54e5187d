//! Shared configuration of a fleet of real balancers and coordinators on loopback: which balancer
//! receives which version under faults.

use fernroute_fleet::configuration::rollout::RolloutState;
use fernroute_test_support::link::LinkMode;
use fernroute_test_support::process::Process;
use fernroute_test_support::wait_until;
use fernroute_testbed::processes::{Fleet, FleetConfig};
use std::future::Future;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const ALL: [usize; 3] = [0, 1, 2];
const SHOP: &str = "service/shop";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let end = LocalSet::new().block_on(&runtime, async { timeout(Duration::from_secs(100), test).await });
    end.expect("the test ends");
}

async fn start(name: &str, coordinators: usize) -> Fleet {
    let folder = std::env::temp_dir().join(format!("fernroute-conf-{name}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_fernroute-testbed"));
    let config =
        FleetConfig { follows_configuration: true, ..FleetConfig::new(coordinators, ALL.len(), 120) };
    Fleet::start(program, folder, config).await.expect("the process starts")
}

/// Includes `look`, which the load uses.
fn methods(names: &[&str]) -> String {
    let method =
        |name: &&str| format!("[[method]]\nname = \"{name}\"\neffect = \"retriable\"\nhard_ms = 3000\n");
    ["look"].iter().chain(names).map(method).collect()
}

async fn wait_for_status(fleet: &Fleet, n: usize, method: &str, status: u16) {
    while fleet.request_status(n, method).await != Some(status) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Versions were applied in ascending order everywhere, and no answer was unexpected.
fn assert_ordered_and_valid(fleet: &Fleet) {
    for n in ALL {
        let applied = fleet.applied_versions(n);
        assert!(applied.is_sorted_by(|one, next| one < next), "b{n}: {applied:?}");
    }
    assert_eq!(fleet.violation(), None);
}

/// Guards against a change that does not reach all balancers, and against a superseded change that is
/// applied last.
#[test]
fn a_change_reaches_all_balancers_and_a_later_one_that_reverts_it_wins() {
    run(async {
        let fleet = start("all", 3).await;
        fleet.set_rates(&[20, 20, 20]);
        for n in ALL {
            assert_eq!(fleet.request_status(n, "new").await, Some(404));
        }
        let first = fleet.put_configuration(SHOP, &methods(&["new"])).await;
        fleet.wait_until_active(first, &ALL).await;
        for n in ALL {
            assert_eq!(fleet.request_status(n, "new").await, Some(200));
        }
        for round in 0..5 {
            fleet.put_configuration("all", &methods(&["wrong"])).await;
            fleet.put_configuration(SHOP, &methods(&["wrong"])).await;
            fleet.put_configuration("balancer/b1", &methods(&[&format!("own{round}")])).await;
            let reverted = fleet.put_configuration(SHOP, &methods(&["new"])).await;
            fleet.wait_until_active(reverted, &ALL).await;
            assert_eq!(fleet.request_status(0, "new").await, Some(200));
            assert_eq!(
                (fleet.request_status(2, "wrong").await, fleet.request_status(1, "new").await),
                (Some(404), Some(404))
            );
            assert_eq!(fleet.request_status(1, &format!("own{round}")).await, Some(200));
        }
        let configuration_status = fleet.configuration_status().await;
        assert!(
            configuration_status.members.iter().all(|member| member.state == RolloutState::Active),
            "{configuration_status:?}"
        );
        assert_ordered_and_valid(&fleet);
    });
}

/// Guards against a balancer that keeps or applies a version that was superseded while it was stopped.
#[test]
fn a_balancer_stopped_during_two_changes_ends_with_the_last() {
    run(async {
        let fleet = start("stopped", 3).await;
        let first = fleet.put_configuration(SHOP, &methods(&["first"])).await;
        fleet.wait_until_active(first, &ALL).await;
        fleet.balancers[0].pause();
        let second = fleet.put_configuration(SHOP, &methods(&["second"])).await;
        fleet.wait_until_active(second, &[1, 2]).await;
        let third = fleet.put_configuration(SHOP, &methods(&["third"])).await;
        fleet.wait_until_active(third, &[1, 2]).await;
        fleet.balancers[0].resume();
        fleet.wait_until_active(third, &ALL).await;
        let answers = (fleet.request_status(0, "second").await, fleet.request_status(0, "third").await);
        assert_eq!(answers, (Some(404), Some(200)));
        // It may have requested the second version before it was stopped; the reply then has the third.
        assert_eq!(fleet.applied_versions(0).last(), Some(&third));
        assert_ordered_and_valid(&fleet);
    });
}

/// Guards against a balancer whose own file conflicts with a change and so blocks the fleet, and against
/// such a change applied there in part.
#[test]
fn a_change_invalid_on_one_balancer_is_rejected_there_only_until_the_next_change() {
    run(async {
        let mut fleet = start("one", 3).await;
        // Two balancers set the polling interval that the list mode `ask` requires.
        for n in [0, 2] {
            fleet.edit_file(n, "[rules]", "[list]\nask_within_s = 2\n[rules]");
            fleet.reload(n);
            wait_until(|| fleet.balancers[n].log_contains("reloaded")).await;
        }
        let first = fleet.put_configuration(SHOP, &methods(&["first"])).await;
        fleet.wait_until_active(first, &ALL).await;
        let second =
            fleet.put_configuration(SHOP, &(methods(&["second"]) + "[list]\nmode = \"ask\"\n")).await;
        fleet.wait_until_active(second, &[0, 2]).await;
        let member = fleet.wait_for_rollout(1, |member| member.state == RolloutState::Rejected).await;
        let (version, why) = member.rejected.expect("a reason");
        assert!(version == second && why.contains("list.ask_within_s: is required"), "{version} {why}");
        assert_eq!(member.active, first);
        let answers = (fleet.request_status(1, "first").await, fleet.request_status(1, "second").await);
        assert_eq!(answers, (Some(200), Some(404)));
        assert_eq!(fleet.request_status(2, "second").await, Some(200));
        let third = fleet.put_configuration(SHOP, &methods(&["third"])).await;
        fleet.wait_until_active(third, &ALL).await;
        assert_eq!(fleet.request_status(1, "third").await, Some(200));
        assert_eq!(fleet.balancers[1].log_count("was rejected"), 1);
        assert_ordered_and_valid(&fleet);
    });
}

/// Guards against a lost notification that is never repeated, and against a disconnected balancer that
/// blocks the others.
#[test]
fn a_balancer_cut_off_in_one_direction_catches_up_after_reconnecting() {
    run(async {
        let fleet = start("cut", 3).await;
        fleet.set_rates(&[20, 20, 20]);
        let ways = [(LinkMode::Forward, LinkMode::Stall), (LinkMode::Stall, LinkMode::Forward)];
        for (n, (there, back)) in ways.into_iter().enumerate() {
            fleet.balancer_links[0].iter().for_each(|link| link.set_modes(there, back));
            let name = format!("m{n}");
            let version = fleet.put_configuration(SHOP, &methods(&[&name])).await;
            fleet.wait_until_active(version, &[1, 2]).await;
            // It continues to serve with its current version.
            assert_eq!(fleet.request_status(0, &name).await, Some(404));
            assert_eq!(fleet.request_status(1, &name).await, Some(200));
            fleet.balancer_links[0].iter().for_each(|link| link.restore());
            fleet.wait_until_active(version, &ALL).await;
            assert_eq!(fleet.request_status(0, &name).await, Some(200));
        }
        assert_ordered_and_valid(&fleet);
    });
}

/// Guards against a committed change that no balancer is notified of, since the leader that committed it
/// was killed.
#[test]
fn a_change_reaches_all_balancers_after_its_leader_is_killed_before_notifying() {
    run(async {
        let mut fleet = start("leader", 3).await;
        for n in 0..3 {
            let leader = fleet.leader().await;
            // No balancer is notified by this leader.
            fleet.balancer_links.iter().for_each(|links| links[leader].refuse_connections());
            let name = format!("m{n}");
            let version = fleet.put_configuration(SHOP, &methods(&[&name])).await;
            fleet.coordinators[leader].kill();
            fleet.balancer_links.iter().for_each(|links| links[leader].restore());
            fleet.wait_until_active(version, &ALL).await;
            for n in ALL {
                assert_eq!(fleet.request_status(n, &name).await, Some(200));
            }
            fleet.start_coordinator(leader).expect("the process starts");
        }
        assert_ordered_and_valid(&fleet);
    });
}

/// Guards against a start that requires coordinators, and against one that uses a damaged cache.
#[test]
fn without_coordinators_a_start_uses_the_cache_or_the_file_if_the_cache_is_damaged() {
    run(async {
        let mut fleet = start("down", 3).await;
        let version = fleet.put_configuration(SHOP, &methods(&["kept"])).await;
        fleet.wait_until_active(version, &ALL).await;
        fleet.coordinators.iter().for_each(Process::kill);
        let cache = fleet.cached_configuration(1);
        fleet.balancers[1].kill();
        std::fs::write(&cache, &std::fs::read(&cache).expect("a cached configuration")[..100])
            .expect("the file is written");
        for (n, method) in [(0, "kept"), (1, "look")] {
            let from = Instant::now();
            fleet.restart_without_load(n).await.expect("the balancer starts");
            // Two seconds of waiting for the coordinators; the rest allows for a busy machine.
            assert!(from.elapsed() < Duration::from_secs(8), "{:?}", from.elapsed());
            assert_eq!(fleet.request_status(n, method).await.map(|status| status == 404), Some(false));
        }
        assert_eq!(fleet.request_status(1, "kept").await, Some(404));
        assert!(
            fleet.balancers[1].log_contains("cached configuration ignored: damaged"),
            "{:?}",
            fleet.balancers[1].log()
        );
        for n in ALL {
            fleet.start_coordinator(n).expect("the process starts");
        }
        fleet.wait_until_active(version, &ALL).await;
        wait_for_status(&fleet, 1, "kept", 200).await;
        assert_eq!(fleet.balancers[0].log_count(&format!("configuration {version} is in force")), 1);
    });
}

/// Guards against a balancer that does not apply a change, or exits, because its disk is full.
#[test]
fn a_full_disk_blocks_no_change_and_keeps_the_previous_cache_intact() {
    run(async {
        let mut fleet = start("full", 1).await;
        let first = fleet.put_configuration(SHOP, &methods(&["first"])).await;
        fleet.wait_until_active(first, &ALL).await;
        fleet.restart_ignoring_limits(0).await.expect("the balancer starts");
        fleet.balancers[0].fill_disk().expect("the limit is set");
        let before = std::fs::read(fleet.cached_configuration(0)).expect("a cached configuration");
        let mut last = first;
        for name in ["second", "third"] {
            last = fleet.put_configuration(SHOP, &methods(&[name])).await;
            fleet.wait_until_active(last, &ALL).await;
            assert_eq!(fleet.request_status(0, name).await, Some(200));
        }
        assert_eq!(
            fleet.balancers[0].log_count("in force but not cached"),
            1,
            "{:?}",
            fleet.balancers[0].log()
        );
        assert_eq!(std::fs::read(fleet.cached_configuration(0)).expect("a cached configuration"), before);
        // With free space again it fetches the missed changes before it serves.
        fleet.restart_without_load(0).await.expect("the balancer starts");
        assert_eq!(fleet.request_status(0, "third").await, Some(200));
        fleet.wait_until_active(last, &ALL).await;
    });
}

/// Guards against RPCs that a change fails or loses, against SIGHUP that reverts a change, and against
/// an older change that is applied over a newer one when changes come in quick succession.
#[test]
fn a_change_every_100_ms_under_load_loses_no_rpc_and_the_last_one_wins() {
    run(async {
        let mut fleet = start("many", 3).await;
        fleet.set_rates(&[30, 30, 30]);
        fleet.wait_until_rate(60).await;
        let (from, mut n, mut last) = (Instant::now(), 0, 0);
        while from.elapsed() < Duration::from_secs(10) {
            n += 1;
            let scope = [SHOP, "all", "service/shop/zone/a"][n % 3];
            last = fleet
                .put_configuration(scope, &(methods(&[&format!("m{n}")]) + "[limits]\ncancel = true\n"))
                .await;
            if n % 7 == 0 {
                fleet.edit_file(n % 3, "warm_within_s = 10", "warm_within_s = 10 # again");
                fleet.reload(n % 3);
            }
            sleep(Duration::from_millis(100)).await;
        }
        fleet.wait_until_active(last, &ALL).await;
        let zone = (1..=n).rev().find(|n| n % 3 == 2).expect("a zone version");
        for balancer in ALL {
            assert_eq!(fleet.request_status(balancer, &format!("m{zone}")).await, Some(200));
            assert!(!fleet.balancers[balancer].log_contains("nothing has changed"));
        }
        // All RPCs are still served at the full rate; wait a moment for the last answers.
        fleet.wait_until_rate(60).await;
        fleet.set_rates(&[0; 3]);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(fleet.unanswered.get(), 0);
        assert_ordered_and_valid(&fleet);
    });
}
