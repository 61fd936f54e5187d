//! Real balancers and real stewards on loopback, a load that one tenant's budget divides, and faults between them.

use fernroute_test_support::caller::{rpc_head, send};
use fernroute_test_support::http::read_message;
use fernroute_test_support::link::LinkMode;
use fernroute_test_support::process::Process;
use fernroute_test_support::wait_until;
use fernroute_testbed::processes::{limit_violation, Fleet, FleetConfig, UpstreamBehavior};
use std::future::Future;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// RPCs a second over all balancers.
const LIMIT: usize = 120;
const BALANCERS: usize = 3;

/// Twice the whole for so long is beyond what may have been saved up.
const LONG: Duration = Duration::from_secs(9);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let end = LocalSet::new().block_on(&runtime, async { timeout(Duration::from_secs(100), test).await });
    end.expect("the test ends");
}

async fn start(name: &str, coordinators: usize) -> Fleet {
    start_with(name, FleetConfig::new(coordinators, BALANCERS, LIMIT)).await
}

async fn start_with(name: &str, config: FleetConfig) -> Fleet {
    let folder = std::env::temp_dir().join(format!("fernroute-fleet-{name}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_fernroute-testbed"));
    Fleet::start(program, folder, config).await.expect("it starts")
}

fn end(fleet: &Fleet) {
    assert_eq!(fleet.violation(), None);
}

/// Guards against a budget that lies idle at balancers that nobody asks, and at one that is dead.
#[test]
fn the_whole_goes_where_it_is_asked_for_and_a_killed_balancers_part_to_the_others() {
    run(async {
        let mut fleet = start("killed", 1).await;
        // An even part would be 40.
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        fleet.set_rates(&[2, 150, 2]);
        fleet.wait_until_limit_used().await;
        fleet.balancers[1].kill();
        fleet.set_rates(&[2, 0, 150]);
        fleet.wait_until_limit_used().await;
        // It starts again, finds who it was, and has its part.
        fleet.start_balancer(1).await.expect("it serves");
        fleet.set_rates(&[2, 150, 2]);
        fleet.wait_until_limit_used().await;
        end(&fleet);
    });
}

/// Guards against a balancer that stood still for longer than its share and spends it as it goes on.
#[test]
fn a_stopped_balancer_goes_on_with_its_floor() {
    run(async {
        let fleet = start("stopped", 1).await;
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        fleet.balancers[0].pause();
        fleet.set_rates(&[20, 150, 2]);
        sleep(Duration::from_millis(500)).await;
        fleet.wait_until_limit_used().await;
        // It goes on and hears nothing: were its share still its own, ten seconds would be far beyond the whole.
        fleet.balancer_links[0].iter().for_each(|link| link.refuse_connections());
        fleet.balancers[0].resume();
        fleet.set_rates(&[150, 150, 2]);
        sleep(LONG).await;
        assert_eq!(fleet.violation(), None);
        fleet.balancer_links[0].iter().for_each(|link| link.restore());
        fleet.set_rates(&[2, 150, 2]);
        fleet.wait_until_limit_used().await;
        end(&fleet);
    });
}

/// The leading steward is killed, and a balancer cut off from all of them one way: what it holds ends, the others have it,
/// and RPCs go on.
#[test]
fn a_killed_leader_and_a_balancer_that_hears_nothing_break_no_budget() {
    run(async {
        let fleet = start("leader", 3).await;
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        let leader = fleet.leader().await;
        fleet.coordinators[leader].kill();
        let from = Instant::now();
        while from.elapsed() < Duration::from_secs(3) {
            sleep(Duration::from_millis(100)).await;
            // Its share never ended: far more than floors are runs in each second, a slow machine's too.
            assert!(fleet.executions.count_within(Duration::from_secs(1)) * 10 >= LIMIT * 4, "it lapsed");
        }
        // Heard, and hearing nothing.
        fleet.balancer_links[0].iter().for_each(|link| link.set_modes(LinkMode::Forward, LinkMode::Stall));
        fleet.set_rates(&[150, 150, 2]);
        wait_until(|| fleet.balancers[0].log_contains("no grant from the fleet")).await;
        sleep(LONG).await;
        fleet.set_rates(&[0, 150, 2]);
        // Its part is kept for it while it is heard; once it is cut off both ways the others have it.
        fleet.balancer_links[0].iter().for_each(|link| link.refuse_connections());
        fleet.wait_until_limit_used().await;
        fleet.balancer_links[0].iter().for_each(|link| link.restore());
        fleet.set_rates(&[150, 0, 2]);
        fleet.wait_until_limit_used().await;
        end(&fleet);
    });
}

/// Guards against an upgrade in which the new process has nothing, or both together have more than one may.
#[test]
fn an_old_and_a_new_process_of_a_balancer_spend_one_grant_between_them() {
    run(async {
        let mut fleet = start("upgrade", 1).await;
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        for _ in 0..2 {
            let old = fleet.upgrade(0).await.expect("it serves");
            let from = Instant::now();
            while from.elapsed() < Duration::from_secs(2) {
                sleep(Duration::from_millis(100)).await;
                // Half of its share at the least, whichever process has it; a slow machine runs some less.
                let executions = fleet.executions.count_within(Duration::from_secs(1));
                assert!(executions * 10 >= LIMIT * 2, "{executions}: {:?}", fleet.balancers[0].log());
            }
            wait_until(|| !old.is_running()).await;
            fleet.wait_until_limit_used().await;
        }
        // The next one dies as it comes, while the old one still has a caller: the old one has all again.
        let mut kept = send(fleet.addresses[0], rpc_head("GET", "/look", "")).await;
        assert!(read_message(&mut kept).await.is_some());
        let old = fleet.upgrade(0).await.expect("it serves");
        fleet.balancers[0].kill();
        wait_until(|| old.log_contains("serving again")).await;
        fleet.wait_until_limit_used().await;
        end(&fleet);
    });
}

/// Guards against a leader that grants while it leads no more: it is cut off with half of the balancers and with no other steward.
#[test]
fn half_of_the_fleet_cut_off_with_a_minority_of_coordinators_spends_its_floors_alone() {
    run(async {
        let fleet = start_with("apart", FleetConfig::new(3, 4, LIMIT)).await;
        fleet.set_rates(&[100, 100, 100, 100]);
        fleet.wait_until_limit_used().await;
        let leader = fleet.leader().await;
        fleet.partition(&[leader], &[0, 1]);
        // The others have a leader of their own, and in time all that the two held but their floors.
        wait_until(|| fleet.balancers[0].log_contains("no grant from the fleet")).await;
        fleet.set_rates(&[20, 20, 100, 100]);
        fleet.wait_until_limit_used().await;
        // Both halves ask for far more than the whole.
        fleet.set_rates(&[100, 100, 100, 100]);
        sleep(LONG).await;
        assert_eq!(fleet.violation(), None);
        fleet.heal();
        fleet.set_rates(&[150, 0, 0, 2]);
        fleet.wait_until_limit_used().await;
        end(&fleet);
    });
}

/// Until the ledger has so much with this balancer.
async fn until_holds(fleet: &Fleet, balancer: usize, least: f64) {
    let name = format!("b{balancer}");
    loop {
        let status = fleet.status(fleet.leader().await).await;
        let members = status.iter().flat_map(|status| &status.members).filter(|m| m.name == name);
        if members.filter_map(|m| m.allocated.get("acme")).any(|allocated| *allocated >= least) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a new leader that grants again what the one before it had granted to others and not entered as taken back.
#[test]
fn a_leader_killed_in_the_middle_of_a_division_leaves_nothing_that_is_granted_twice() {
    run(async {
        let mut fleet = start("division", 3).await;
        fleet.set_rates(&[150, 2, 2]);
        until_holds(&fleet, 0, LIMIT as f64 * 0.8).await;
        for busy in [1, 2, 0] {
            let leader = fleet.leader().await;
            let before = fleet.status(leader).await.expect("its word").epoch;
            let rates: Vec<u64> = (0..BALANCERS).map(|n| if n == busy { 150 } else { 60 }).collect();
            fleet.set_rates(&rates);
            // The first step of the division is entered; what it takes back is not accepted yet, or just now.
            while fleet.status(leader).await.is_none_or(|status| status.epoch == before) {
                sleep(Duration::from_millis(2)).await;
            }
            fleet.coordinators[leader].kill();
            fleet.wait_until_limit_used().await;
            fleet.start_coordinator(leader).expect("it starts");
            // The next division is far from this one.
            let rates: Vec<u64> = (0..BALANCERS).map(|n| if n == busy { 150 } else { 2 }).collect();
            fleet.set_rates(&rates);
            until_holds(&fleet, busy, LIMIT as f64 * 0.8).await;
            fleet.wait_until_limit_used().await;
        }
        end(&fleet);
    });
}

/// Guards against a name that two balancers have: the second would have a part of its own.
#[test]
fn a_stranger_under_the_name_of_another_balancer_gets_nothing() {
    run(async {
        let fleet = start("stranger", 1).await;
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        let (stranger, at) = fleet.start_impostor(0).await.expect("it serves");
        wait_until(|| stranger.log_contains("NameTaken")).await;
        for _ in 0..20 {
            let asked = rpc_head("GET", "/look", "Req-Owner: acme\r\nConnection: close\r\n");
            let answer = read_message(&mut send(at, asked).await).await.expect("an answer");
            assert_eq!(answer.status(), 503);
        }
        fleet.wait_until_limit_used().await;
        // Once the other one has ended, and what it held has lapsed, the name is free.
        fleet.balancers[0].kill();
        wait_until(|| stranger.log_contains("of the fleet c")).await;
        end(&fleet);
    });
}

/// Guards against RPCs that wait for stewards, and against a jump when these come back.
#[test]
fn without_any_coordinator_rpcs_go_on_within_the_floors_and_nothing_jumps_when_they_are_back() {
    run(async {
        let mut fleet = start("none", 3).await;
        fleet.set_rates(&[150, 20, 20]);
        fleet.wait_until_limit_used().await;
        fleet.coordinators.iter().for_each(Process::kill);
        // The floors are a tenth of the whole, a third of that each.
        let floors = LIMIT / 10;
        wait_until(|| fleet.executions.count_within(Duration::from_secs(1)) <= 2 * floors).await;
        sleep(Duration::from_secs(2)).await;
        let executions = fleet.executions.count_within(Duration::from_secs(1));
        assert!((floors / 2..=2 * floors).contains(&executions), "{executions}");
        for n in 0..3 {
            fleet.start_coordinator(n).expect("it starts");
        }
        fleet.wait_until_limit_used().await;
        end(&fleet);
    });
}

/// Guards against retries that are within each balancer's bounds and beyond what all upstreams can bear; and against a budget
/// that lies at balancers which have nothing to send again.
#[test]
fn transmissions_beyond_the_first_are_within_one_whole_and_go_where_they_are_of_use() {
    run(async {
        const RETRY_LIMIT: f64 = 24.0;
        let config = FleetConfig {
            upstreams: 4,
            retry_limit: Some(RETRY_LIMIT),
            ..FleetConfig::new(1, BALANCERS, LIMIT)
        };
        let mut fleet = start_with("further", config).await;
        fleet.set_rates(&[100, 2, 2]);
        fleet.wait_until_rate(90).await;
        // All turn every second away: there would be nearly as many further transmissions as RPCs.
        fleet.behaviors.iter().for_each(|behavior| behavior.set(UpstreamBehavior::RejectsHalf));
        let lately = || fleet.retry_times().iter().filter(|at| at.elapsed() < Duration::from_secs(1)).count();
        wait_until(|| lately() as f64 >= RETRY_LIMIT * 0.7).await;
        fleet.set_rates(&[2, 2, 100]);
        sleep(Duration::from_secs(2)).await;
        wait_until(|| lately() as f64 >= RETRY_LIMIT * 0.7).await;
        fleet.set_rates(&[100, 100, 100]);
        sleep(LONG).await;
        assert_eq!(limit_violation(&fleet.retry_times(), RETRY_LIMIT, BALANCERS), None);
        // One that starts and reaches no steward has none, for RPCs of no tenant either.
        fleet.set_rates(&[0; BALANCERS]);
        fleet.coordinators[0].kill();
        fleet.balancers[0].kill();
        fleet.start_balancer(0).await.expect("it serves");
        sleep(Duration::from_secs(1)).await;
        let (before, attempts) = (fleet.retry_times().len(), fleet.attempts.borrow().len());
        for _ in 0..20 {
            let asked = rpc_head("GET", "/look", "Connection: close\r\n");
            read_message(&mut send(fleet.addresses[0], asked).await).await.expect("an answer");
        }
        assert!(fleet.attempts.borrow().len() > attempts + 5, "they are sent once");
        assert_eq!(fleet.retry_times().len(), before);
        end(&fleet);
    });
}

/// Guards against trials by all balancers at once: an upstream that is out of use gets what is granted for it, and it is back once
/// there is some.
#[test]
fn an_upstream_out_of_use_is_tried_as_often_as_the_whole_fleet_may() {
    run(async {
        let config =
            FleetConfig { upstreams: 4, trial_limit: Some(0.001), ..FleetConfig::new(1, BALANCERS, LIMIT) };
        let mut fleet = start_with("trials", config).await;
        fleet.set_rates(&[30, 30, 30]);
        fleet.wait_until_rate(80).await;
        fleet.behaviors[3].set(UpstreamBehavior::Fails);
        wait_until(|| fleet.balancers.iter().all(|b| b.log_contains("-> Open"))).await;
        sleep(Duration::from_millis(200)).await;
        // It is well again, and nobody may find out: each balancer alone would try it within seven seconds.
        fleet.behaviors[3].set(UpstreamBehavior::Healthy);
        let from = Instant::now();
        sleep(LONG).await;
        let tried =
            |from: Instant| fleet.attempts.borrow().iter().filter(|c| c.upstream == 3 && c.at > from).count();
        assert_eq!(tried(from), 0);
        // The whole is made larger: three good trials of each, and it has its part again.
        fleet.coordinators[0].kill();
        fleet.config.trial_limit = Some(9.0);
        fleet.start_coordinator(0).expect("it starts");
        wait_until(|| fleet.balancers.iter().all(|b| b.log_contains("HalfOpen -> Closed"))).await;
        end(&fleet);
    });
}
