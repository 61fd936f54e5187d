//! Regression figures of simulated scenarios, as lines of text that are compared with a file. They depend only on the
//! balancer's decisions and the simulator, so a change without an effect on behaviour leaves every line unchanged.

use crate::policy::Variant;
use crate::run::run;
use crate::scenario::Scenario;
use rayon::prelude::*;
use std::path::{Path, PathBuf};

/// The seeds of each scenario's runs.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// One run: a scenario with one variant and one seed.
struct Play {
    file: String,
    scenario: Scenario,
    variant: Variant,
    seed: u64,
}

/// Returns the figures of all scenarios in a folder, one line per run, ordered by file, variant and seed.
pub fn figures_of_folder(folder: &Path) -> Result<Vec<String>, String> {
    let mut plays = Vec::new();
    for path in scenario_files(folder)? {
        plays.extend(plays_of(&path)?);
    }
    Ok(plays.par_iter().map(line).collect())
}

/// Returns the lines that differ, as `- expected` and `+ found`.
pub fn differences(expected: &[String], found: &[String]) -> Vec<String> {
    let missing = expected.iter().filter(|line| !found.contains(line)).map(|line| format!("- {line}"));
    let new = found.iter().filter(|line| !expected.contains(line)).map(|line| format!("+ {line}"));
    missing.chain(new).collect()
}

fn scenario_files(folder: &Path) -> Result<Vec<PathBuf>, String> {
    let unreadable = |error: std::io::Error| format!("{}: {error}", folder.display());
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(unreadable)? {
        files.push(entry.map_err(unreadable)?.path());
    }
    files.retain(|path| path.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    Ok(files)
}

/// The runs of a scenario. Those with tenants also run with budgets shared by the fleet.
fn plays_of(path: &Path) -> Result<Vec<Play>, String> {
    let scenario = Scenario::read(path)?;
    let file = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    let variants: &[Variant] = if scenario.tenant.is_empty() {
        &[Variant::Fernroute]
    } else {
        &[Variant::Fernroute, Variant::Fleet]
    };
    let mut plays = Vec::new();
    for variant in variants {
        for seed in SEEDS {
            plays.push(Play { file: file.clone(), scenario: scenario.clone(), variant: *variant, seed });
        }
    }
    Ok(plays)
}

fn line(play: &Play) -> String {
    let Play { file, scenario, variant, seed } = play;
    let result = run(scenario, *variant, *seed);
    let (metrics, ends) = (&result.metrics, &result.metrics.ends);
    let methods: Vec<String> =
        metrics.methods.iter().map(|m| format!("{}:{}/{}", m.name, m.served, m.offered)).collect();
    let tenants: Vec<String> =
        metrics.tenants.iter().map(|t| format!("{}:{:?}", t.name, t.utilization())).collect();
    format!(
        "{file} {} seed={seed} service={:?} worst_ten={:?} methods={} tenants={} median={} p99={} arrived={} completed={} \
         rejected={} failed={} abandoned={} lost={} open={} attempts={} time_in_system={} violations={}",
        variant.name(),
        metrics.service(),
        metrics.worst_ten(),
        methods.join(","),
        tenants.join(","),
        metrics.latencies.value_at_quantile(0.5),
        metrics.latencies.value_at_quantile(0.99),
        ends.arrived,
        ends.completed,
        ends.exhausted,
        ends.errored,
        ends.abandoned,
        ends.lost,
        ends.open,
        metrics.attempts,
        metrics.time_in_system,
        result.violations.len(),
    )
}
