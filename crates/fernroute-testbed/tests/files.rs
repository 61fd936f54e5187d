//! Invalid scenario and experiment files, and result folders that already have contents.

mod common;

use common::Folder;
use fernroute_testbed::scenario::Scenario;
use std::path::Path;
use std::process::{Command, Output};

const GOOD: &str = r#"name = "good"
seconds = 5
load = { rate = 20 }
[[method]]
name = "look"
effect = "retriable"
share = 1
work_ms = 5
soft_ms = 100
hard_ms = 200
[[tier]]
name = "only"
upstreams = 2
balancers = 1
cores = 1
slots = 4
"#;

#[test]
fn errors_in_a_scenario_are_reported_with_their_place() {
    assert!(Scenario::decode(GOOD).is_ok());
    for (old, new, place) in [
        ("seconds = 5", "seconds = -5", "seconds: -5"),
        ("seconds = 5", "seconds = nan", "seconds: NaN"),
        ("seconds = 5", "seconds = 5\ncolour = 1", "line 3: unknown field `colour`"),
        ("rate = 20", "rate = -1", "load.rate: -1"),
        ("\"retriable\"", "\"perhaps\"", "line 6: unknown variant `perhaps`"),
        ("share = 1", "share = 0", "the sum of share"),
        ("hard_ms = 200", "hard_ms = 50", "method[0].hard_ms"),
        ("upstreams = 2", "upstreams = 0", "tier[0].upstreams"),
        ("balancers = 1", "balancers = 0", "tier[0].balancers"),
        ("slots = 4", "slots = 0", "tier[0].slots"),
        ("slots = 4", "slots = 4\n[[fault]]\nkind = \"slow\"\nat_s = 1\nfor_s = 1\nsize = 0.5", "fault[0].size: 0.5"),
        ("slots = 4", "slots = 4\n[[fault]]\nkind = \"slow\"\nat_s = 9\nfor_s = 1\nsize = 2", "fault[0].at_s: 9"),
        ("slots = 4", "slots = 4\n[[fault]]\nkind = \"quake\"\nat_s = 1\nfor_s = 1", "unknown variant `quake`"),
        (
            "slots = 4",
            "slots = 4\n[[fault]]\nkind = \"hang\"\nat_s = 1\nfor_s = 1\ntier = \"none\"",
            "fault[0].tier: there is no tier none",
        ),
        ("[[tier]]", "[[method]]\nname = \"look\"\neffect = \"retriable\"\nshare = 1\nwork_ms = 1\nsoft_ms = 1\nhard_ms = 1\n[[tier]]", "method[1].name: look appears twice"),
        ("name = \"good\"", "name = ", "line 1:"),
    ] {
        assert!(GOOD.contains(old), "{old}");
        let why = Scenario::decode(&GOOD.replacen(old, new, 1)).expect_err(place);
        assert!(why.contains(place) && !why.contains('\n'), "{place}: {why}");
    }
}

fn testbed(words: &[&Path]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fernroute-testbed")).args(words).output().expect("the program runs")
}

fn assert_rejected(output: &Output, what: &str) {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(
        text.contains(what) && text.trim_end().lines().count() == 1 && output.stdout.is_empty(),
        "{text}"
    );
}

#[test]
fn the_program_reports_errors_in_one_line_and_writes_nothing() {
    let folder = Folder::new("bad");
    let good = folder.put("good.toml", GOOD);
    let bad = folder.put("bad.toml", &GOOD.replace("rate = 20", "rate = 0"));
    assert!(testbed(&[Path::new("check"), &good]).status.success());
    assert_rejected(&testbed(&[Path::new("check"), &good, &bad]).without_stdout(), "bad.toml: load.rate");
    assert_rejected(&testbed(&[Path::new("run"), &folder.0.join("none.toml")]), "none.toml");
    assert_rejected(
        &testbed(&[Path::new("run"), &good, Path::new("--variant"), Path::new("best")]),
        "there is no variant best",
    );
    let out = folder.0.join("out");
    let page = |variants: &str, seeds: &str| {
        format!("name = \"e\"\nscenarios = [\"good.toml\"]\nvariants = [{variants}]\nseeds = [{seeds}]\n")
    };
    for (text, what) in [
        (page("\"best\"", "1"), "there is no variant best"),
        (page("\"random\"", ""), "at least one"),
        (page("\"random\"", "1, 1"), "twice"),
        (page("\"random\"", "1").replace("good", "none"), "none.toml"),
        (page("\"random\"", "1").replace("seeds", "seed"), "unknown field"),
    ] {
        let file = folder.put("e.toml", &text);
        assert_rejected(&testbed(&[Path::new("experiment"), &file, Path::new("--out"), &out]), what);
        assert!(!out.exists(), "{what}");
    }
}

trait WithoutStdout {
    fn without_stdout(self) -> Output;
}

impl WithoutStdout for Output {
    /// `check` reports valid files before the first invalid one.
    fn without_stdout(mut self) -> Output {
        self.stdout.clear();
        self
    }
}

#[test]
fn an_experiment_writes_reproducible_results_and_never_overwrites_them() {
    let folder = Folder::new("good");
    folder.put("good.toml", GOOD);
    let file = folder.put(
        "e.toml",
        "name = \"e\"\nscenarios = [\"good.toml\"]\nvariants = [\"fernroute\", \"random\"]\nseeds = [1, 2, 3]\n",
    );
    let (out, again) = (folder.0.join("out"), folder.0.join("again"));
    assert!(testbed(&[Path::new("experiment"), &file, Path::new("--out"), &out]).status.success());
    assert_rejected(
        &testbed(&[Path::new("experiment"), &file, Path::new("--out"), &out]),
        "the folder is not empty",
    );
    assert!(testbed(&[Path::new("experiment"), &file, Path::new("--out"), &again]).status.success());
    let text = |folder: &Path, name: &str| std::fs::read_to_string(folder.join(name)).expect(name);
    for name in ["results.csv", "comparison.svg", "good-course.svg", "good-times.svg"] {
        assert_eq!(text(&out, name), text(&again, name), "{name}");
    }
    let results = text(&out, "results.csv");
    assert_eq!(results.lines().count(), 7, "{results}");
    // Two upstreams that are mostly idle: the variants do not differ measurably.
    assert!(text(&out, "README.md").contains("no difference shown"), "{}", text(&out, "README.md"));
    let manifest: serde_json::Value = serde_json::from_str(&text(&out, "manifest.json")).expect("valid JSON");
    assert_eq!(manifest["seeds"], serde_json::json!([1, 2, 3]));
    assert_eq!(manifest["scenarios"][0], GOOD);
}
