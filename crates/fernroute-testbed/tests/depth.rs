//! Many tiers one below another.

mod common;

use common::folder;
use fernroute_testbed::experiment::depth::{transmissions, with_errors};
use fernroute_testbed::player::Variant;
use fernroute_testbed::run::run;
use fernroute_testbed::scenario::Scenario;

/// Guards against further transmissions that multiply from tier to tier, and against a deadline that is not handed down.
#[test]
fn errors_at_the_last_of_thirteen_tiers_do_not_multiply() {
    let mut scenario = Scenario::read(&folder().join("thirteen-deep.toml")).expect("the scenario will do");
    scenario.seconds = 12.0;
    for (share, most) in [(0.0, 1.1), (0.05, 1.5)] {
        let result = run(&with_errors(&scenario, share), Variant::Fernroute, 1);
        let books = &result.books;
        assert_eq!((books.tiers.len(), books.ends.arrived), (13, books.ends.sum()));
        assert_eq!(result.breaches, []);
        assert!(books.tiers[0].rpcs > 500, "{:?}", books.tiers[0]);
        let at_last = transmissions(books, 12);
        assert!((0.8..most).contains(&at_last), "{at_last} with {share}");
        // Each tier has less left than the one above it.
        let left = |tier: usize| books.tiers[tier].left / u128::from(books.tiers[tier].rpcs);
        assert!((1..13).all(|tier| left(tier) < left(tier - 1)), "{:?}", books.tiers);
        let sum: u64 = books.tiers.iter().map(|t| t.transmissions).sum();
        assert_eq!(sum, books.transmissions);
    }
}
