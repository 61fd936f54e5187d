//! Real balancers and coordinators on loopback under faults, with a load divided by one tenant's budget.

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

/// RPCs per second over all balancers.
const LIMIT: usize = 120;
const BALANCERS: usize = 3;

/// Long enough that a load of twice the limit exceeds what may have been saved up.
const OVERLOAD_DURATION: Duration = Duration::from_secs(9);

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
    Fleet::start(program, folder, config).await.expect("the process starts")
}

fn assert_no_violation(fleet: &Fleet) {
    assert_eq!(fleet.violation(), None);
}

/// Guards against a budget that stays unused at idle or dead balancers.
#[test]
fn budget_follows_demand_and_a_killed_balancers_share_goes_to_the_others() {
    run(async {
        let mut fleet = start("killed", 1).await;
        // An equal share would be 40.
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        fleet.set_rates(&[2, 150, 2]);
        fleet.wait_until_limit_used().await;
        fleet.balancers[1].kill();
        fleet.set_rates(&[2, 0, 150]);
        fleet.wait_until_limit_used().await;
        // It restarts, keeps its identity and gets its share.
        fleet.start_balancer(1).await.expect("the balancer starts");
        fleet.set_rates(&[2, 150, 2]);
        fleet.wait_until_limit_used().await;
        assert_no_violation(&fleet);
    });
}

/// Guards against a balancer that was stopped for longer than its share is valid and spends it when it
/// continues.
#[test]
fn a_stopped_balancer_continues_with_its_floor() {
    run(async {
        let fleet = start("stopped", 1).await;
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        fleet.balancers[0].pause();
        fleet.set_rates(&[20, 150, 2]);
        sleep(Duration::from_millis(500)).await;
        fleet.wait_until_limit_used().await;
        // It continues without a connection: if its share were still valid, ten seconds would exceed the
        // limit by far.
        fleet.balancer_links[0].iter().for_each(|link| link.refuse_connections());
        fleet.balancers[0].resume();
        fleet.set_rates(&[150, 150, 2]);
        sleep(OVERLOAD_DURATION).await;
        assert_eq!(fleet.violation(), None);
        fleet.balancer_links[0].iter().for_each(|link| link.restore());
        fleet.set_rates(&[2, 150, 2]);
        fleet.wait_until_limit_used().await;
        assert_no_violation(&fleet);
    });
}

/// Guards against RPCs failing, or a budget being exceeded, after the leader is killed and one balancer
/// gets no answers from any coordinator: what that balancer holds expires and goes to the others.
#[test]
fn a_killed_leader_and_a_balancer_without_answers_exceed_no_budget() {
    run(async {
        let fleet = start("leader", 3).await;
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        let leader = fleet.leader().await;
        fleet.coordinators[leader].kill();
        let from = Instant::now();
        while from.elapsed() < Duration::from_secs(3) {
            sleep(Duration::from_millis(100)).await;
            // Its share did not expire: each second executes far more than the floors allow, on a slow
            // machine too.
            assert!(
                fleet.executions.count_within(Duration::from_secs(1)) * 10 >= LIMIT * 4,
                "the share expired"
            );
        }
        // Its requests arrive but it gets no answers.
        fleet.balancer_links[0].iter().for_each(|link| link.set_modes(LinkMode::Forward, LinkMode::Stall));
        fleet.set_rates(&[150, 150, 2]);
        wait_until(|| fleet.balancers[0].log_contains("no grant from the fleet")).await;
        sleep(OVERLOAD_DURATION).await;
        fleet.set_rates(&[0, 150, 2]);
        // Its share is reserved while its heartbeats arrive; once both directions are cut the others get
        // it.
        fleet.balancer_links[0].iter().for_each(|link| link.refuse_connections());
        fleet.wait_until_limit_used().await;
        fleet.balancer_links[0].iter().for_each(|link| link.restore());
        fleet.set_rates(&[150, 0, 2]);
        fleet.wait_until_limit_used().await;
        assert_no_violation(&fleet);
    });
}

/// Guards against an upgrade in which the new process has no budget, or both processes together exceed
/// the grant of one.
#[test]
fn old_and_new_process_of_a_balancer_share_one_grant() {
    run(async {
        let mut fleet = start("upgrade", 1).await;
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        for _ in 0..2 {
            let old = fleet.upgrade(0).await.expect("the balancer starts");
            let from = Instant::now();
            while from.elapsed() < Duration::from_secs(2) {
                sleep(Duration::from_millis(100)).await;
                // At least half of its share, whichever process has it; a slow machine executes somewhat
                // less.
                let executions = fleet.executions.count_within(Duration::from_secs(1));
                assert!(executions * 10 >= LIMIT * 2, "{executions}: {:?}", fleet.balancers[0].log());
            }
            wait_until(|| !old.is_running()).await;
            fleet.wait_until_limit_used().await;
        }
        // The next process is killed during its start while the old one still has a caller: the old one
        // gets the whole grant back.
        let mut open_connection = send(fleet.addresses[0], rpc_head("GET", "/look", "")).await;
        assert!(read_message(&mut open_connection).await.is_some());
        let old = fleet.upgrade(0).await.expect("the balancer starts");
        fleet.balancers[0].kill();
        wait_until(|| old.log_contains("serving again")).await;
        fleet.wait_until_limit_used().await;
        assert_no_violation(&fleet);
    });
}

/// Guards against a leader that keeps granting after it lost its majority: it is cut off with half of
/// the balancers and without another coordinator.
#[test]
fn half_of_the_fleet_partitioned_with_a_minority_of_coordinators_spends_only_its_floors() {
    run(async {
        let fleet = start_with("apart", FleetConfig::new(3, 4, LIMIT)).await;
        fleet.set_rates(&[100, 100, 100, 100]);
        fleet.wait_until_limit_used().await;
        let leader = fleet.leader().await;
        fleet.partition(&[leader], &[0, 1]);
        // The others elect a leader, which in time regains all that the two balancers held except their
        // floors.
        wait_until(|| fleet.balancers[0].log_contains("no grant from the fleet")).await;
        fleet.set_rates(&[20, 20, 100, 100]);
        fleet.wait_until_limit_used().await;
        // Both halves request far more than the limit.
        fleet.set_rates(&[100, 100, 100, 100]);
        sleep(OVERLOAD_DURATION).await;
        assert_eq!(fleet.violation(), None);
        fleet.heal();
        fleet.set_rates(&[150, 0, 0, 2]);
        fleet.wait_until_limit_used().await;
        assert_no_violation(&fleet);
    });
}

/// Waits until the ledger allocates at least this much to a balancer.
async fn wait_for_allocation(fleet: &Fleet, balancer: usize, min: f64) {
    let name = format!("b{balancer}");
    loop {
        let status = fleet.status(fleet.leader().await).await;
        let members = status.iter().flat_map(|status| &status.members).filter(|m| m.name == name);
        if members.filter_map(|m| m.allocated.get("acme")).any(|allocated| *allocated >= min) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a new leader that grants again what its predecessor had granted to others and not
/// recorded as returned.
#[test]
fn a_leader_killed_during_a_division_causes_no_double_grant() {
    run(async {
        let mut fleet = start("division", 3).await;
        fleet.set_rates(&[150, 2, 2]);
        wait_for_allocation(&fleet, 0, LIMIT as f64 * 0.8).await;
        for busy in [1, 2, 0] {
            let leader = fleet.leader().await;
            let before = fleet.status(leader).await.expect("the coordinator answers").epoch;
            let rates: Vec<u64> = (0..BALANCERS).map(|n| if n == busy { 150 } else { 60 }).collect();
            fleet.set_rates(&rates);
            // The first step of the division is committed; the balancers have not accepted the
            // reductions yet, or only just.
            while fleet.status(leader).await.is_none_or(|status| status.epoch == before) {
                sleep(Duration::from_millis(2)).await;
            }
            fleet.coordinators[leader].kill();
            fleet.wait_until_limit_used().await;
            fleet.start_coordinator(leader).expect("the process starts");
            // Moves the load so that the next division differs a lot from this one.
            let rates: Vec<u64> = (0..BALANCERS).map(|n| if n == busy { 150 } else { 2 }).collect();
            fleet.set_rates(&rates);
            wait_for_allocation(&fleet, busy, LIMIT as f64 * 0.8).await;
            fleet.wait_until_limit_used().await;
        }
        assert_no_violation(&fleet);
    });
}

/// Guards against two balancers with the same name: the second would get a share of its own.
#[test]
fn a_second_balancer_with_the_same_name_gets_no_grant() {
    run(async {
        let fleet = start("stranger", 1).await;
        fleet.set_rates(&[150, 2, 2]);
        fleet.wait_until_limit_used().await;
        let (impostor, at) = fleet.start_impostor(0).await.expect("the balancer starts");
        wait_until(|| impostor.log_contains("NameTaken")).await;
        for _ in 0..20 {
            let asked = rpc_head("GET", "/look", "Req-Owner: acme\r\nConnection: close\r\n");
            let answer = read_message(&mut send(at, asked).await).await.expect("an answer");
            assert_eq!(answer.status(), 503);
        }
        fleet.wait_until_limit_used().await;
        // The name is free once the first balancer has ended and its holdings have expired.
        fleet.balancers[0].kill();
        wait_until(|| impostor.log_contains("of the fleet c")).await;
        assert_no_violation(&fleet);
    });
}

/// Guards against RPCs that wait for coordinators, and against a burst when the coordinators are back.
#[test]
fn without_coordinators_rpcs_continue_within_the_floors_and_do_not_burst_afterwards() {
    run(async {
        let mut fleet = start("none", 3).await;
        fleet.set_rates(&[150, 20, 20]);
        fleet.wait_until_limit_used().await;
        fleet.coordinators.iter().for_each(Process::kill);
        // The floors are a tenth of the limit, divided by three balancers.
        let floors = LIMIT / 10;
        wait_until(|| fleet.executions.count_within(Duration::from_secs(1)) <= 2 * floors).await;
        sleep(Duration::from_secs(2)).await;
        let executions = fleet.executions.count_within(Duration::from_secs(1));
        assert!((floors / 2..=2 * floors).contains(&executions), "{executions}");
        for n in 0..3 {
            fleet.start_coordinator(n).expect("the process starts");
        }
        fleet.wait_until_limit_used().await;
        assert_no_violation(&fleet);
    });
}

/// Guards against retries that are within each balancer's limit but beyond the fleet's, and against a
/// retry budget that stays at balancers without retries.
#[test]
fn retries_stay_within_the_fleet_limit_and_go_where_they_are_needed() {
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
        // All upstreams reject every second attempt: without a limit there would be nearly as many
        // retries as RPCs.
        fleet.behaviors.iter().for_each(|behavior| behavior.set(UpstreamBehavior::RejectsHalf));
        let recent_retries =
            || fleet.retry_times().iter().filter(|at| at.elapsed() < Duration::from_secs(1)).count();
        wait_until(|| recent_retries() as f64 >= RETRY_LIMIT * 0.7).await;
        fleet.set_rates(&[2, 2, 100]);
        sleep(Duration::from_secs(2)).await;
        wait_until(|| recent_retries() as f64 >= RETRY_LIMIT * 0.7).await;
        fleet.set_rates(&[100, 100, 100]);
        sleep(OVERLOAD_DURATION).await;
        assert_eq!(limit_violation(&fleet.retry_times(), RETRY_LIMIT, BALANCERS), None);
        // A balancer that starts without a coordinator has no retry budget, for RPCs without a tenant
        // either.
        fleet.set_rates(&[0; BALANCERS]);
        fleet.coordinators[0].kill();
        fleet.balancers[0].kill();
        fleet.start_balancer(0).await.expect("the balancer starts");
        sleep(Duration::from_secs(1)).await;
        let (before, attempts) = (fleet.retry_times().len(), fleet.attempts.borrow().len());
        for _ in 0..20 {
            let asked = rpc_head("GET", "/look", "Connection: close\r\n");
            read_message(&mut send(fleet.addresses[0], asked).await).await.expect("an answer");
        }
        assert!(fleet.attempts.borrow().len() > attempts + 5, "each RPC is still sent once");
        assert_eq!(fleet.retry_times().len(), before);
        assert_no_violation(&fleet);
    });
}

/// Guards against trials by all balancers at once: an upstream with open circuit breakers gets only the
/// granted trials, and returns to use once there are some.
#[test]
fn an_open_upstream_is_tried_at_the_rate_allowed_for_the_fleet() {
    run(async {
        let config =
            FleetConfig { upstreams: 4, trial_limit: Some(0.001), ..FleetConfig::new(1, BALANCERS, LIMIT) };
        let mut fleet = start_with("trials", config).await;
        fleet.set_rates(&[30, 30, 30]);
        fleet.wait_until_rate(80).await;
        fleet.behaviors[3].set(UpstreamBehavior::Fails);
        wait_until(|| fleet.balancers.iter().all(|b| b.log_contains("-> Open"))).await;
        sleep(Duration::from_millis(200)).await;
        // It is healthy again, but no balancer may test it; without the limit each would within seven
        // seconds.
        fleet.behaviors[3].set(UpstreamBehavior::Healthy);
        let from = Instant::now();
        sleep(OVERLOAD_DURATION).await;
        let trial_count =
            |from: Instant| fleet.attempts.borrow().iter().filter(|c| c.upstream == 3 && c.at > from).count();
        assert_eq!(trial_count(from), 0);
        // The limit is raised: after three successful trials each balancer uses it again.
        fleet.coordinators[0].kill();
        fleet.config.trial_limit = Some(9.0);
        fleet.start_coordinator(0).expect("the process starts");
        wait_until(|| fleet.balancers.iter().all(|b| b.log_contains("HalfOpen -> Closed"))).await;
        assert_no_violation(&fleet);
    });
}
