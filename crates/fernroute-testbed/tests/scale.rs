//! Scale runs: validation of plan files, runs rejected before the start, the fit of figures, and a small
//! run with real processes.

mod common;

use common::Folder;
use fernroute_testbed::scale::file::Plan;
use fernroute_testbed::scale::fit::{fit_all, table, Fit, LinearFit};
use fernroute_testbed::scale::layout::{Layout, MAX_PROCESSES};
use fernroute_testbed::scale::limit::LimitChecker;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

const SMALL: &str = r#"name = "test"
real = 1
per_process = 4
settle_s = 1
measure_s = 3
whole = 30
stewards = ["n", "n", "s"]
[load]
rate = 10
tenants = 2
[[region]]
name = "north"
zones = ["n"]
[[region]]
name = "south"
zones = ["s"]
[[service]]
name = "front"
count = 2
size = 4
calls = ["front"]
"#;

fn shipped(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab/scale").join(name)
}

fn scale(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fernroute-testbed"));
    command.arg("scale").args(arguments).output().expect("the command runs")
}

fn parse_error(text: &str) -> String {
    Plan::parse(text).expect_err("an invalid plan")
}

/// Guards against a run of an unintended plan, and against errors without a position in the file.
#[test]
fn every_error_in_a_plan_file_is_reported_with_its_line() {
    Plan::parse(SMALL).expect("a valid plan");
    for (old, new, expected) in [
        ("whole = 30", "whole = \"much\"", "line 6"),
        ("whole = 30", "hole = 30", "line 6: unknown field"),
        ("whole = 30", "whole = 0", "line 6: whole: 0 is not between"),
        ("real = 1", "real = 9", "line 2: real: 9 of 8 balancers"),
        ("\"n\", \"n\", \"s\"", "\"n\", \"n\"", "line 7: stewards: 2, and not"),
        ("\"n\", \"n\", \"s\"", "\"n\", \"n\", \"x\"", "line 7: stewards: unknown zone x"),
        ("rate = 10", "rate = -1", "line 9: load.rate: -1"),
        ("zones = [\"s\"]", "zones = [\"n\"]", "line 16: region[1].zones: n is listed twice"),
        ("size = 4", "size = 0", "line 20: service[0].size: 0"),
        ("calls = [\"front\"]", "calls = [\"back\"]", "line 21: service[0].calls: unknown service back"),
        ("calls = [\"front\"]\n", "calls = []\n", "line 21: service[0].calls: must not be empty"),
        (
            "calls = [\"front\"]\n",
            "calls = [\"front\"]\n[[fault]]\nkind = \"zone_lost\"\n",
            "line 22: fault[0]: a zone",
        ),
        (
            "calls = [\"front\"]\n",
            "calls = [\"front\"]\n[[fault]]\nkind = \"zone_lost\"\nzone = \"x\"\n",
            "line 24: fault[0].zone: unknown zone",
        ),
    ] {
        let error = parse_error(&SMALL.replacen(old, new, 1));
        assert!(error.contains(expected) && !error.contains('\n'), "{expected}: {error}");
    }
    let both = parse_error(&SMALL.replace("whole = 30", "whole = 0").replace("rate = 10", "rate = -1"));
    assert!(both.contains("whole") && both.contains("load.rate"), "{both}");
}

/// Guards against an invalid file that is taken for a failed run.
#[test]
fn an_invalid_file_or_too_large_a_run_ends_with_one_line_and_code_2_before_the_start() {
    let folder = Folder::new("scale-bad");
    std::fs::create_dir_all(&folder.0).expect("the folder is created");
    let file = folder.0.join("run.toml");
    let path = file.display().to_string();
    let assert_rejected = |text: &str, arguments: &[&str], expected: &str| {
        std::fs::write(&file, text).expect("the file is written");
        let all = [&[path.as_str()], arguments].concat();
        let out = scale(&all);
        let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!((out.status.code(), stderr.lines().count()), (Some(2), 1), "{stderr}");
        assert!(stderr.contains(expected) && out.stdout.is_empty(), "{stderr}");
    };
    assert_rejected("name = 3\n", &[], "run.toml: line 1");
    assert_rejected(&SMALL.replace("rate = 10", "rate = -1"), &[], "run.toml: line 9: load.rate");
    assert_rejected(SMALL, &["--factor", "0"], "--factor");
    let many = SMALL.replace("count = 2", "count = 2000").replace("per_process = 4", "per_process = 1");
    assert_rejected(&many, &[], &format!("{MAX_PROCESSES} at the most"));
    let out = scale(&["/nonexistent/run.toml"]);
    assert_eq!(out.status.code(), Some(2));
}

/// Guards against a factor that changes the kind of a run, and against a shipped file that misses its
/// target size.
#[test]
fn the_shipped_plan_has_full_size_and_a_factor_scales_all_of_it() {
    let layout = |factor: f64| {
        Layout::new(Plan::read(&shipped("whole.toml")).expect("a valid plan").scaled_by(factor))
    };
    let whole = layout(1.0);
    assert_eq!((whole.services.len(), whole.members.len(), whole.zones.len()), (190, 1200, 7));
    for zone in &whole.zones {
        let there = whole.members.iter().filter(|m| m.zone == *zone).count();
        assert!((171..=172).contains(&there), "{zone}: {there}");
    }
    assert_eq!(whole.rejection_reason(24 << 20), None);
    // More than half of the machine's memory.
    let error = whole.rejection_reason(8 << 20).expect("too much memory");
    assert!(error.contains("half of this machine's memory is 4194 MB"), "{error}");
    for (factor, all) in [(0.125, 150.0), (0.25, 300.0), (0.5, 600.0)] {
        let part = layout(factor);
        let there = part.members.len() as f64;
        assert!((there / all - 1.0).abs() < 0.05, "{factor}: {there}");
        assert!((part.plan.whole / (4000.0 * factor) - 1.0).abs() < 1e-9);
        assert_eq!(part.zones, whole.zones);
    }
    // Hollow balancers of one process are in one zone, and each is listed once.
    for layout in [whole, layout(0.125)] {
        let mut all: Vec<usize> = layout.hollow.concat();
        all.sort_unstable();
        let hollow = |n: &usize| !layout.members[*n].real;
        assert_eq!(all, (0..layout.members.len()).filter(hollow).collect::<Vec<usize>>());
        for process in &layout.hollow {
            assert!(process.iter().all(|m| layout.members[*m].zone == layout.members[process[0]].zone));
        }
    }
}

/// Guards against an exceeded limit that is not detected, and against a kept one that is reported as
/// exceeded.
#[test]
fn executions_beyond_the_limit_are_detected_and_saved_up_tokens_are_allowed() {
    let ran = |each_ms: u64, count: u64| {
        let mut checker = LimitChecker::new(10.0, 2);
        (0..count).for_each(|n| checker.record("t0", Duration::from_millis(n * each_ms)));
        checker.violations()
    };
    assert_eq!(ran(100, 1000), 0);
    // Thirty at once: two seconds of saved-up tokens and one of the current second.
    assert_eq!((ran(0, 32), ran(0, 33)), (0, 1));
    // A third over the limit is within the bound of one second and beyond that of ten.
    assert_eq!(ran(75, 100), 0);
    assert!(ran(75, 1000) > 50);
}

/// Guards against confidence intervals narrower than the points justify.
#[test]
fn linear_and_power_law_fits_have_correct_intervals() {
    let near = |value: f64, should: f64| (value - should).abs() < 1e-3;
    // Calculated by hand: y = 1.4 + 0.6 x, residuals 0.4, -1.2, 1.2, -0.4; with two degrees of freedom t
    // is 4.303.
    let line = LinearFit::through(&[(1.0, 2.4), (2.0, 1.4), (3.0, 4.4), (4.0, 3.4)]).expect("a line");
    assert!(
        near(line.slope.value, 0.6) && near(line.slope.half_width, 4.302_65 * (1.6f64 / 5.0).sqrt()),
        "{line:?}"
    );
    let there = line.predict(2.5);
    assert!(near(there.value, 2.9) && near(there.half_width, 4.302_65 * (1.6f64 * 1.25).sqrt()), "{there:?}");
    let fit_of = |exponent: f64| {
        let points = [150.0, 300.0, 600.0, 1200.0].map(|n: f64| (n, 0.01 * n.powf(exponent)));
        Fit::new("made", points.to_vec())
    };
    for (exponent, too_fast) in [(0.0, false), (1.0, false), (1.09, false), (1.2, true), (2.0, true)] {
        let fit = fit_of(exponent);
        let found = fit.exponent.expect("an exponent");
        assert!(near(found.value, exponent) && found.half_width < 1e-3, "{found:?}");
        assert_eq!(fit.exceeds_max_exponent(), too_fast, "{exponent}");
    }
    // Zero has no power law, and points at one x have no line.
    assert_eq!(Fit::new("made", vec![(1.0, 0.0), (2.0, 1.0), (3.0, 2.0), (4.0, 3.0)]).exponent, None);
    assert_eq!(LinearFit::through(&[(1.0, 2.0), (1.0, 3.0), (1.0, 4.0)]), None);
}

/// Guards against a slope from two runs, and against predictions for sizes far beyond the measured ones.
#[test]
fn a_fit_needs_four_sizes_and_names_figures_that_grow_too_fast() {
    let run = |n: f64| {
        serde_json::json!({"hollow": n - 12.0, "real": 12, "steward_leader":
            {"processor_percent": 1e-4 * n * n, "bytes_per_s": 2000.0 * n, "memory_kb": null},
            "faults": [{"kind": "zone_lost", "settled_s": 2.0 + n / 1000.0}]})
    };
    let runs: Vec<Value> = [150.0, 300.0, 600.0, 1200.0].map(run).to_vec();
    assert!(fit_all(&runs[1..]).is_err_and(|error| error.contains("3 sizes, 4 are needed")));
    let twice = [&runs[1..], &runs[1..]].concat();
    assert!(fit_all(&twice).is_err());
    let all = fit_all(&runs).expect("four sizes");
    let names: Vec<&str> = all.iter().map(|fit| fit.figure.as_str()).collect();
    let measured =
        ["steward_leader.processor_percent", "steward_leader.bytes_per_s", "faults.zone_lost.settled_s"];
    assert_eq!(names, measured);
    let text = table(&all, Some(4800.0)).expect("a prediction for four times the size");
    let flagged: Vec<&str> = text.lines().filter(|line| line.contains("grows faster")).collect();
    assert!(matches!(flagged[..], [line] if line.starts_with("steward_leader.processor_percent")), "{text}");
    assert!(text.contains("| steward_leader.bytes_per_s ") && text.contains("9600000 ± 0"), "{text}");
    assert!(table(&all, Some(4801.0)).is_err_and(|error| error.contains("1200 were measured")));
}

/// Forty hollow and four real balancers, three coordinators, every fault, and the JSON report. Checks
/// only counts and states, no times.
#[test]
fn the_shipped_small_run_loses_no_rpc_settles_after_each_fault_and_reports_its_figures() {
    let folder = Folder::new("scale-small");
    let (file, json) = (shipped("small.toml").display().to_string(), folder.0.join("out.json"));
    let out = scale(&[&file, "--json", &json.display().to_string()]);
    let output = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    // A busy machine may not sustain the load: this is reported (code 3) and is no failure here.
    assert!(matches!(out.status.code(), Some(0 | 3)), "{output}");
    let text = std::fs::read_to_string(&json).unwrap_or_else(|e| panic!("{e}: {output}"));
    let report: Value = serde_json::from_str(&text).expect("a JSON object");
    assert_eq!((&report["hollow"], &report["real"]), (&Value::from(40), &Value::from(4)));
    assert_eq!((&report["lost"], &report["beyond_whole"]), (&Value::from(0), &Value::from(0)), "{output}");
    assert!(report["rpcs"].as_u64().is_some_and(|rpcs| rpcs > 500), "{output}");
    for role in ["balancer", "balancer_real", "steward_leader", "steward_follower", "discovery"] {
        for figure in
            ["processor_percent", "memory_kb", "bytes_per_s", "messages_per_s", "worst_second_bytes"]
        {
            assert!(
                report[role][figure].as_f64().is_some_and(|value| value > 0.0),
                "{role} {figure}: {output}"
            );
        }
    }
    let changes = &report["changes"];
    assert_eq!(
        (&changes["made"], &changes["in_force_everywhere"]),
        (&Value::from(4), &Value::from(4)),
        "{output}"
    );
    let faults = report["faults"].as_array().expect("a list");
    let kinds: Vec<&str> = faults.iter().filter_map(|fault| fault["kind"].as_str()).collect();
    let all = [
        "leader_killed",
        "steward_lost",
        "zone_lost",
        "tenth_restarted",
        "steward_restarted",
        "regions_cut",
        "balancer_silent",
    ];
    assert_eq!(kinds, all);
    for fault in faults {
        assert!(fault["settled_s"].is_number(), "{output}");
    }
    // One change on each side of the partition: one is accepted and becomes active everywhere, the other
    // is never accepted.
    let cut = &faults[5];
    assert!(cut["change_in_force_s"].is_number() && cut["entered_without_majority"] == false, "{output}");
}

/// Hollow balancers and as many real ones without load: messages and bytes, counted at their
/// connections, must match.
#[test]
fn a_hollow_balancer_has_the_traffic_of_a_real_one() {
    let folder = Folder::new("scale-alike");
    // The shipped file with a shorter measuring period.
    let text = std::fs::read_to_string(shipped("alike.toml")).expect("the shipped file exists");
    let file = folder.put("alike.toml", &text.replace("measure_s = 60", "measure_s = 10"));
    let json = folder.0.join("out.json");
    let out = scale(&[&file.display().to_string(), "--json", &json.display().to_string()]);
    let output = String::from_utf8_lossy(&out.stdout) + String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(0), "{output}");
    let text = std::fs::read_to_string(&json).unwrap_or_else(|e| panic!("{e}: {output}"));
    let report: Value = serde_json::from_str(&text).expect("a JSON object");
    assert_eq!((&report["hollow"], &report["real"]), (&Value::from(12), &Value::from(12)));
    for figure in ["bytes", "messages"] {
        let part = report["alike"][figure].as_f64().expect("both kinds ran");
        assert!((0.9..=1.0 / 0.9).contains(&part), "{output}");
    }
    // No load and no changes: values that were not measured are null, not 0.
    for figure in ["made", "in_force_everywhere", "slowest_s"] {
        assert_eq!(report["changes"][figure], Value::Null);
    }
    for figure in ["lost", "rpcs"] {
        assert_eq!(report[figure], Value::Null);
    }
    assert_eq!(report["added_ms"]["p50"], Value::Null);
}
