//! Regression test of the decisions: all scenarios give the figures in `lab/figures.txt`. `make figures` runs the same
//! comparison and prints the lines that differ.

use fernroute_testbed::experiment::figures;
use std::path::Path;

#[test]
fn all_simulated_scenarios_give_the_expected_figures() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab");
    let expected =
        std::fs::read_to_string(root.join("figures.txt")).expect("the file of figures is readable");
    let expected: Vec<String> = expected.lines().map(str::to_owned).collect();
    let found = figures::figures_of_folder(&root.join("scenarios")).expect("valid scenarios");
    assert_eq!(found.len(), 87);
    assert_eq!(figures::differences(&expected, &found), Vec::<String>::new());
}
