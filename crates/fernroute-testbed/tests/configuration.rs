//! Configuration of a fleet of real balancers and real stewards on loopback: what reaches whom, through all that goes wrong.

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
    Fleet::start(program, folder, config).await.expect("it starts")
}

/// `look` stays known: the load asks it.
fn methods(names: &[&str]) -> String {
    let method =
        |name: &&str| format!("[[method]]\nname = \"{name}\"\neffect = \"retriable\"\nhard_ms = 3000\n");
    ["look"].iter().chain(names).map(method).collect()
}

async fn until_answers(fleet: &Fleet, n: usize, method: &str, status: u16) {
    while fleet.request_status(n, method).await != Some(status) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// No balancer went back, and none answered wrongly.
fn end(fleet: &Fleet) {
    for n in ALL {
        let applied = fleet.applied_versions(n);
        assert!(applied.is_sorted_by(|one, next| one < next), "b{n}: {applied:?}");
    }
    assert_eq!(fleet.violation(), None);
}

/// Guards against a change that stops on its way, and against one that is undone there and still lands last.
#[test]
fn a_change_reaches_all_and_one_that_undoes_it_on_its_way_lands_last() {
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
            let undone = fleet.put_configuration(SHOP, &methods(&["new"])).await;
            fleet.wait_until_active(undone, &ALL).await;
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
        end(&fleet);
    });
}

/// Guards against a balancer that goes on with what was replaced while it stood still, or takes each step of it.
#[test]
fn a_balancer_stopped_over_two_changes_has_only_the_last() {
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
        // It may have asked for the second as it was stopped; then it was told of the third.
        assert_eq!(fleet.applied_versions(0).last(), Some(&third));
        end(&fleet);
    });
}

/// Guards against one balancer's own file that holds up a whole fleet, and against a part of a change there.
#[test]
fn a_change_that_loads_everywhere_but_on_one_is_refused_there_alone_and_the_next_heals_it() {
    run(async {
        let mut fleet = start("one", 3).await;
        // Two files say within what time a list is to be asked for, where it must be.
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
        let (version, why) = member.rejected.expect("its reason");
        assert!(version == second && why.contains("list.ask_within_s: is required"), "{version} {why}");
        assert_eq!(member.active, first);
        let answers = (fleet.request_status(1, "first").await, fleet.request_status(1, "second").await);
        assert_eq!(answers, (Some(200), Some(404)));
        assert_eq!(fleet.request_status(2, "second").await, Some(200));
        let third = fleet.put_configuration(SHOP, &methods(&["third"])).await;
        fleet.wait_until_active(third, &ALL).await;
        assert_eq!(fleet.request_status(1, "third").await, Some(200));
        assert_eq!(fleet.balancers[1].log_count("was rejected"), 1);
        end(&fleet);
    });
}

/// Guards against a notice that is lost for ever, and against a balancer that is cut off and holds up others.
#[test]
fn a_balancer_cut_off_one_way_or_the_other_has_it_once_it_hears() {
    run(async {
        let fleet = start("cut", 3).await;
        fleet.set_rates(&[20, 20, 20]);
        let ways = [(LinkMode::Forward, LinkMode::Stall), (LinkMode::Stall, LinkMode::Forward)];
        for (n, (there, back)) in ways.into_iter().enumerate() {
            fleet.balancer_links[0].iter().for_each(|link| link.set_modes(there, back));
            let name = format!("m{n}");
            let version = fleet.put_configuration(SHOP, &methods(&[&name])).await;
            fleet.wait_until_active(version, &[1, 2]).await;
            // It serves on by what it has.
            assert_eq!(fleet.request_status(0, &name).await, Some(404));
            assert_eq!(fleet.request_status(1, &name).await, Some(200));
            fleet.balancer_links[0].iter().for_each(|link| link.restore());
            fleet.wait_until_active(version, &ALL).await;
            assert_eq!(fleet.request_status(0, &name).await, Some(200));
        }
        end(&fleet);
    });
}

/// Guards against a change that was entered and that nobody is told of any more, since who entered it is dead.
#[test]
fn a_leader_killed_between_entry_and_notice_leaves_a_change_that_reaches_all() {
    run(async {
        let mut fleet = start("leader", 3).await;
        for n in 0..3 {
            let leader = fleet.leader().await;
            // No balancer hears of it from this leader.
            fleet.balancer_links.iter().for_each(|links| links[leader].refuse_connections());
            let name = format!("m{n}");
            let version = fleet.put_configuration(SHOP, &methods(&[&name])).await;
            fleet.coordinators[leader].kill();
            fleet.balancer_links.iter().for_each(|links| links[leader].restore());
            fleet.wait_until_active(version, &ALL).await;
            for n in ALL {
                assert_eq!(fleet.request_status(n, &name).await, Some(200));
            }
            fleet.start_coordinator(leader).expect("it starts");
        }
        end(&fleet);
    });
}

/// Guards against a start that needs stewards, and one that goes by a damaged copy.
#[test]
fn with_all_coordinators_down_a_start_goes_by_its_copy_and_by_its_file_where_that_is_damaged() {
    run(async {
        let mut fleet = start("down", 3).await;
        let version = fleet.put_configuration(SHOP, &methods(&["kept"])).await;
        fleet.wait_until_active(version, &ALL).await;
        fleet.coordinators.iter().for_each(Process::kill);
        let copy = fleet.cached_configuration(1);
        fleet.balancers[1].kill();
        std::fs::write(&copy, &std::fs::read(&copy).expect("it is kept")[..100]).expect("a file");
        for (n, method) in [(0, "kept"), (1, "look")] {
            let from = Instant::now();
            fleet.restart_without_load(n).await.expect("it serves");
            // Two seconds for the stewards; the rest is a busy machine's.
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
            fleet.start_coordinator(n).expect("it starts");
        }
        fleet.wait_until_active(version, &ALL).await;
        until_answers(&fleet, 1, "kept", 200).await;
        assert_eq!(fleet.balancers[0].log_count(&format!("configuration {version} is in force")), 1);
    });
}

/// Guards against a balancer that does not take a change, or ends, since its disk is full.
#[test]
fn a_full_disk_keeps_nobody_from_a_change_and_the_copy_of_before_stays_whole() {
    run(async {
        let mut fleet = start("full", 1).await;
        let first = fleet.put_configuration(SHOP, &methods(&["first"])).await;
        fleet.wait_until_active(first, &ALL).await;
        fleet.restart_ignoring_limits(0).await.expect("it serves");
        fleet.balancers[0].fill_disk().expect("a limit");
        let before = std::fs::read(fleet.cached_configuration(0)).expect("it is kept");
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
        assert_eq!(std::fs::read(fleet.cached_configuration(0)).expect("it is kept"), before);
        // With room again it is told what it missed, before it serves.
        fleet.restart_without_load(0).await.expect("it serves");
        assert_eq!(fleet.request_status(0, "third").await, Some(200));
        fleet.wait_until_active(last, &ALL).await;
    });
}

/// Guards against RPCs that a change ends or loses, against SIGHUP that takes a change away, and against a change that lands over
/// a newer one where they come one upon the other.
#[test]
fn a_change_each_tenth_of_a_second_under_load_loses_no_rpc_and_the_last_one_stands() {
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
        let zone = (1..=n).rev().find(|n| n % 3 == 2).expect("one");
        for balancer in ALL {
            assert_eq!(fleet.request_status(balancer, &format!("m{zone}")).await, Some(200));
            assert!(!fleet.balancers[balancer].log_contains("nothing has changed"));
        }
        // As many as are asked still run, each one served; the last ones' answers are on their way for a moment.
        fleet.wait_until_rate(60).await;
        fleet.set_rates(&[0; 3]);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(fleet.unanswered.get(), 0);
        end(&fleet);
    });
}
