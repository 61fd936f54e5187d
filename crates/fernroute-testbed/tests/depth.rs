//! A chain of many tiers.

mod common;

use common::folder;
use fernroute_testbed::experiment::depth::{attempts_per_rpc, with_errors};
use fernroute_testbed::policy::Variant;
use fernroute_testbed::run::run;
use fernroute_testbed::scenario::Scenario;

/// Guards against retries that multiply from tier to tier, and against a deadline that is not passed on.
#[test]
fn errors_at_the_last_of_thirteen_tiers_do_not_multiply() {
    let mut scenario = Scenario::read(&folder().join("thirteen-deep.toml")).expect("a valid scenario");
    scenario.seconds = 12.0;
    for (share, max) in [(0.0, 1.1), (0.05, 1.5)] {
        let result = run(&with_errors(&scenario, share), Variant::Fernroute, 1);
        let metrics = &result.metrics;
        assert_eq!((metrics.tiers.len(), metrics.ends.arrived), (13, metrics.ends.sum()));
        assert_eq!(result.violations, []);
        assert!(metrics.tiers[0].rpcs > 500, "{:?}", metrics.tiers[0]);
        let at_last = attempts_per_rpc(metrics, 12);
        assert!((0.8..max).contains(&at_last), "{at_last} with {share}");
        // Each tier has less time left than the one above it.
        let left = |tier: usize| metrics.tiers[tier].total_time_left / u128::from(metrics.tiers[tier].rpcs);
        assert!((1..13).all(|tier| left(tier) < left(tier - 1)), "{:?}", metrics.tiers);
        let sum: u64 = metrics.tiers.iter().map(|t| t.attempts).sum();
        assert_eq!(sum, metrics.attempts);
    }
}
