//! Real processes on loopback: the same scenario, the same referee.

mod common;

use common::{decode, Folder};
use fernroute_testbed::live::{run, Report};
use fernroute_testbed::metrics::RunMetrics;
use fernroute_testbed::scenario::Scenario;
use std::time::Duration;

/// Two tiers, and room enough that a slow machine changes no verdict.
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

fn played(name: &str, faults: &str) -> Report {
    let folder = Folder::new(name);
    let program = [env!("CARGO_BIN_EXE_fernroute-testbed").to_owned(), "balancer".to_owned()];
    let coordinator = [env!("CARGO_BIN_EXE_fernroute-testbed").to_owned(), "steward".to_owned()];
    let report = run(&scenario_with(faults), 1, &program, &coordinator, &folder.0).expect("it plays");
    let ends = report.metrics.ends;
    assert!(ends.arrived == ends.sum() && ends.completed > 200, "{ends:?}");
    assert_eq!(report.violations, [], "{name}");
    report
}

#[test]
fn a_calm_run_serves_all_that_is_asked() {
    let report = played("calm", "");
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
    let report = played("troubled", faults);
    // Most is served all the same, and something was in the way.
    assert!((0.5..0.9999).contains(&report.metrics.service()), "{}", report.metrics.service());
}

#[test]
fn a_vanished_machine_is_silent_and_comes_back() {
    let report = played(
        "vanish",
        "[[fault]]\nkind = \"vanish\"\nat_s = 1\nfor_s = 1.5\ntier = \"core\"\npart = 0.34\n",
    );
    assert!(report.metrics.service() > 0.5, "{}", report.metrics.service());
}

#[test]
fn a_program_that_does_not_serve_is_named() {
    let folder = Folder::new("none");
    for (word, what) in
        [("/nonexistent/balancer", "/nonexistent/balancer"), ("true", "it ended before it said")]
    {
        let why = run(&scenario_with(""), 1, &[word.to_owned()], &[], &folder.0).err().expect(word);
        assert!(why.contains(what), "{why}");
    }
}

#[test]
fn a_load_that_was_not_kept_makes_the_result_invalid() {
    let report = |sent_late| Report {
        metrics: RunMetrics::new(&scenario_with("")),
        violations: Vec::new(),
        cold_starts: Vec::new(),
        requests: 1000,
        sent_late,
        max_delay: Duration::from_millis(80),
    };
    assert_eq!(report(10).invalid_reason(), None);
    let why = report(11).invalid_reason().expect("it is invalid");
    assert!(why.contains("11 of 1000") && why.contains("80 ms"), "{why}");
}

/// Guards against a fleet that is judged in virtual time alone: real stewards and balancers play the scenario's own file.
#[test]
fn a_fleet_keeps_its_budgets_through_the_loss_of_a_leader_a_cut_and_a_balancer() {
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
    let report = run(&scenario, 1, &program, &coordinator, &folder.0).expect("it plays");
    assert_eq!(report.violations, []);
    let ends = report.metrics.ends;
    // Of some 1,560 that come a part is beyond the budgets; with even parts lost for good it would be far less.
    assert!(ends.completed > 700, "{ends:?}");
    // Without stewards there is nothing for such a fault to act on.
    let text = "[[fault]]\nkind = \"leader_loss\"\nat_s = 1\nfor_s = 1\n";
    let again = Folder::new("live-none");
    let why = run(&scenario_with(text), 1, &program, &coordinator, &again.0).err().expect("it can't");
    assert!(why.contains("fleet.stewards"), "{why}");
}
