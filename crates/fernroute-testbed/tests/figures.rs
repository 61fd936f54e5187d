//! Regression test of the decisions: all scenarios give the figures in `lab/figures.txt`. `make figures` runs the same
//! comparison and prints the lines that differ.

use fernroute_testbed::experiment::figures;
use std::path::Path;

#[test]
fn all_scenarios_in_virtual_time_give_the_very_same_figures() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab");
    let expected = std::fs::read_to_string(root.join("figures.txt")).expect("the figures are there");
    let expected: Vec<String> = expected.lines().map(str::to_owned).collect();
    let found = figures::figures_of_folder(&root.join("scenarios")).expect("the scenarios are read");
    assert_eq!(found.len(), 87);
    assert_eq!(figures::differences(&expected, &found), Vec::<String>::new());
}
