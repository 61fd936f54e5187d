//! Live runs: the simulator's scenarios and referee with real processes on loopback.

mod common;

use common::{decode, Folder};
use fernroute_testbed::live::{run, Report};
use fernroute_testbed::metrics::RunMetrics;
use fernroute_testbed::scenario::Scenario;
use std::time::Duration;

/// Two tiers with enough capacity that a slow machine does not change the result.
fn scenario_with(faults: &str) -> Scenario {
    let method = |name: &str, effect: &str| {
        format!(
            "[[method]]\nname = \"{name}\"\neffect = \"{effect}\"\nshare = 1\nwork_ms = 10\nsoft_ms = 1500\nhard_ms = 3000\n"
        )
    };
    decode(&format!(
        "name = \"live\"\nseconds = 4\nload = {{ rate = 40, retries = 2 }}\n\
         discovery = {{ late_ms = 200, gone_late_ms = 600, spread_ms = 100 }}\n{}{}{}\n\
         [[tier]]\nname = \"front\"\nupstreams = 3\nbalancers = 2\ncores = 2\nslots = 40\nqueue = 10\ncell = 1\n\
         [[tier]]\nname = \"core\"\nupstreams = 3\ncores = 2\nslots = 40\nqueue = 10\n{faults}",
        method("look", "retriable"),
        method("put", "deduped"),
        method("pay", "non_retriable"),
    ))
}

fn run_scenario(name: &str, faults: &str) -> Report {
    let folder = Folder::new(name);
    let program = [env!("CARGO_BIN_EXE_fernroute-testbed").to_owned(), "balancer".to_owned()];
    let coordinator = [env!("CARGO_BIN_EXE_fernroute-testbed").to_owned(), "steward".to_owned()];
    let report =
        run(&scenario_with(faults), 1, &program, &coordinator, &folder.0).expect("the run completes");
    let ends = report.metrics.ends;
    assert!(ends.arrived == ends.sum() && ends.completed > 200, "{ends:?}");
    assert_eq!(report.violations, [], "{name}");
    report
}

#[test]
fn a_run_without_faults_serves_the_load() {
    let report = run_scenario("calm", "");
    assert!(report.metrics.service() > 0.97, "{}", report.metrics.service());
    assert_eq!(report.metrics.ends.lost, 0);
}

#[test]
fn crashes_hangs_replacements_and_restarts_break_no_rule() {
    let faults = "[[fault]]\nkind = \"replace\"\nat_s = 0.5\nfor_s = 1\npart = 0.7\n\
        [[fault]]\nkind = \"crash\"\nat_s = 1\nfor_s = 1\ntier = \"core\"\npart = 0.4\n\
        [[fault]]\nkind = \"hang\"\nat_s = 1.5\nfor_s = 1\ntier = \"core\"\npart = 0.4\n\
        [[fault]]\nkind = \"fast_errors\"\nat_s = 2\nfor_s = 1\npart = 0.4\nsize = 0.5\n\
        [[fault]]\nkind = \"balancer_restart\"\nat_s = 2.5\nfor_s = 0.5\n";
    let report = run_scenario("troubled", faults);
    // Most requests are served, but the faults had an effect.
    assert!((0.5..0.9999).contains(&report.metrics.service()), "{}", report.metrics.service());
}

#[test]
fn a_vanished_machine_is_silent_and_returns() {
    let report = run_scenario(
        "vanish",
        "[[fault]]\nkind = \"vanish\"\nat_s = 1\nfor_s = 1.5\ntier = \"core\"\npart = 0.34\n",
    );
    assert!(report.metrics.service() > 0.5, "{}", report.metrics.service());
}

#[test]
fn a_program_that_does_not_start_is_named_in_the_error() {
    let folder = Folder::new("none");
    for (word, what) in
        [("/nonexistent/balancer", "/nonexistent/balancer"), ("true", "process ended before it logged")]
    {
        let error = run(&scenario_with(""), 1, &[word.to_owned()], &[], &folder.0).err().expect(word);
        assert!(error.contains(what), "{error}");
    }
}

#[test]
fn a_load_that_was_not_sustained_makes_the_result_invalid() {
    let report = |sent_late| Report {
        metrics: RunMetrics::new(&scenario_with("")),
        violations: Vec::new(),
        cold_starts: Vec::new(),
        requests: 1000,
        sent_late,
        max_delay: Duration::from_millis(80),
    };
    assert_eq!(report(10).invalid_reason(), None);
    let error = report(11).invalid_reason().expect("an invalid result");
    assert!(error.contains("11 of 1000") && error.contains("80 ms"), "{error}");
}

/// Guards against fleets that are tested only in the simulator: real coordinators and balancers run the
/// scenario.
#[test]
fn a_fleet_keeps_its_budgets_through_loss_of_leader_partition_and_balancer_loss() {
    let folder = Folder::new("live-fleet");
    let own = env!("CARGO_BIN_EXE_fernroute-testbed");
    let [program, coordinator] = ["balancer", "steward"].map(|role| [own.to_owned(), role.to_owned()]);
    let scenario = decode(
        "name = \"fleet\"\nseconds = 12\nload = { rate = 130 }\n\
         discovery = { late_ms = 200, gone_late_ms = 600, spread_ms = 100 }\n\
         [fleet]\nstewards = 3\nbeat_ms = 200\nshares_for_ms = 2000\nfloors_for_s = 8\n\
         [[tenant]]\nname = \"acme\"\nrate = 60\nshare = 80\nbusiest = 3\n\
         [[tenant]]\nname = \"zenith\"\nrate = 60\nshare = 50\n\
         [[method]]\nname = \"look\"\neffect = \"retriable\"\nshare = 1\nwork_ms = 2\nsoft_ms = 1500\nhard_ms = 3000\n\
         [[method]]\nname = \"put\"\neffect = \"deduped\"\nshare = 1\nwork_ms = 2\nsoft_ms = 1500\nhard_ms = 3000\n\
         [[tier]]\nname = \"only\"\nupstreams = 4\nbalancers = 4\ncores = 2\nslots = 40\nqueue = 10\n\
         [[fault]]\nkind = \"leader_loss\"\nat_s = 3\nfor_s = 2\n\
         [[fault]]\nkind = \"fleet_cut\"\nat_s = 4\nfor_s = 4\npart = 0.5\n\
         [[fault]]\nkind = \"balancer_loss\"\nat_s = 7\nfor_s = 3\npart = 0.25\n",
    );
    let report = run(&scenario, 1, &program, &coordinator, &folder.0).expect("the run completes");
    assert_eq!(report.violations, []);
    let ends = report.metrics.ends;
    // Of about 1,560 RPCs some exceed the budgets; with shares lost for good far fewer would complete.
    assert!(ends.completed > 700, "{ends:?}");
    // Such a fault needs coordinators to act on.
    let text = "[[fault]]\nkind = \"leader_loss\"\nat_s = 1\nfor_s = 1\n";
    let again = Folder::new("live-none");
    let error = run(&scenario_with(text), 1, &program, &coordinator, &again.0)
        .err()
        .expect("a fault without coordinators fails");
    assert!(error.contains("fleet.stewards"), "{error}");
}
