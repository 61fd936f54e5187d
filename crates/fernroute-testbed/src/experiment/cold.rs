//! How close cold upstreams come to overload, with fleets of several sizes, even and uneven traffic, and many seeds. Load
//! and upstream capacity stay constant, so that with more balancers each one has a smaller share.

use crate::policy::Variant;
use crate::referee::cold::{fall_threshold, ColdWindow};
use crate::run;
use crate::scenario::{Scenario, Tenant};
use rayon::prelude::*;
use serde::Deserialize;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// An experiment file. Paths of scenarios are relative to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExperimentFile {
    #[serde(rename = "name")]
    _name: String,
    scenarios: Vec<PathBuf>,
    fleets: Vec<(usize, f64)>,
    seeds: u64,
}

pub struct Experiment {
    pub scenarios: Vec<Scenario>,
    /// Number of balancers, and the load of the busiest one as a multiple of the mean.
    pub fleets: Vec<(usize, f64)>,
    pub seeds: u64,
}

/// The results of one scenario with one fleet, over all seeds.
pub struct Row {
    pub scenario: String,
    pub balancers: usize,
    pub busiest: f64,
    pub seeds: u64,
    /// Cold starts that received an RPC.
    pub starts: usize,
    /// Cold starts that ended in overload; `violating` counts those of them that break the rule.
    pub fell: usize,
    pub violating: usize,
    /// Overloads with more RPCs than allowed. The others were caused by one or two heavy RPCs, which no balancer can predict.
    pub fell_by_count: usize,
    /// Violations of other rules, over all runs.
    pub other_violations: usize,
    /// 99th percentile of the work relative to the overload threshold.
    pub p99_load_ratio: f64,
    pub worst: ColdWindow,
    pub service: f64,
}

impl Experiment {
    pub fn read(path: &Path) -> Result<Self, String> {
        let error_at = |why: String| format!("{}: {}", path.display(), why.replace('\n', " "));
        let text = std::fs::read_to_string(path).map_err(|e| error_at(e.to_string()))?;
        let file: ExperimentFile = toml::from_str(&text).map_err(|e| error_at(e.message().to_owned()))?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let scenarios = file.scenarios.iter().map(|file| Scenario::read(&folder.join(file)));
        let scenarios = scenarios.collect::<Result<Vec<Scenario>, String>>()?;
        let fleets = file.fleets;
        if scenarios.is_empty() || fleets.is_empty() || file.seeds == 0 {
            return Err(error_at("scenarios, fleets and seeds: at least one of each is required".to_owned()));
        }
        if let Some((n, times)) =
            fleets.iter().find(|(n, times)| *n == 0 || !(0.0..=*n as f64).contains(times))
        {
            return Err(error_at(format!(
                "fleets: one of {n} balancers cannot have {times} times the mean load"
            )));
        }
        Ok(Experiment { scenarios, fleets, seeds: file.seeds })
    }

    /// Executes all runs. The order of the rows is deterministic.
    pub fn run(&self) -> Vec<Row> {
        let fleets =
            |s: &Scenario| self.fleets.iter().map(|of| with_balancers(s, *of)).collect::<Vec<Scenario>>();
        let scenarios: Vec<Scenario> = self.scenarios.iter().flat_map(fleets).collect();
        scenarios.iter().map(|scenario| run_scenario(scenario, self.seeds)).collect()
    }
}

/// Returns the scenario with this number of balancers, one of which gets `busiest` times the mean load.
pub fn with_balancers(scenario: &Scenario, (balancers, busiest): (usize, f64)) -> Scenario {
    /// A budget that is never exhausted.
    const ENDLESS: f64 = 1e6;
    let mut scenario = scenario.clone();
    scenario.tier[0].balancers = balancers;
    scenario.tenant = match busiest {
        1.0 => Vec::new(),
        _ => vec![Tenant { name: "all".to_owned(), rate: ENDLESS, share: 1.0, busiest }],
    };
    scenario
}

pub fn run_scenario(scenario: &Scenario, seeds: u64) -> Row {
    let runs = (1..=seeds).into_par_iter().map(|seed| run::run(scenario, Variant::Fernroute, seed));
    let runs: Vec<run::RunResult> = runs.collect();
    let mut starts: Vec<ColdWindow> = runs.iter().flat_map(|r| r.cold_starts.iter().copied()).collect();
    starts.sort_by(|a, b| a.load_ratio().total_cmp(&b.load_ratio()));
    let at = |q: f64| starts.get((starts.len() as f64 * q) as usize).copied().unwrap_or_default();
    let broken = starts.iter().filter(|w| w.is_violation()).count();
    Row {
        scenario: scenario.name.clone(),
        balancers: scenario.tier[0].balancers,
        busiest: scenario.tenant.first().map_or(1.0, |t| t.busiest),
        seeds,
        starts: starts.len(),
        fell: starts.iter().filter(|w| w.fell()).count(),
        violating: broken,
        fell_by_count: starts.iter().filter(|w| w.fell() && w.rpcs as f64 > w.allowed).count(),
        other_violations: runs.iter().map(|r| r.violations.len()).sum::<usize>() - broken,
        p99_load_ratio: at(0.99).load_ratio(),
        worst: starts.last().copied().unwrap_or_default(),
        service: runs.iter().map(|r| r.metrics.service()).sum::<f64>() / runs.len() as f64,
    }
}

/// Formats the rows as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::from(
        "| scenario | balancers | traffic | cold starts | fell | with more than N RPCs | rule broken | others broken | 99 in 100 stay under, of the \
         bound | worst window | service |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for r in rows {
        let traffic = if r.busiest == 1.0 { "even".to_owned() } else { format!("one at {}", r.busiest) };
        let w = &r.worst;
        // Writing to a `String` does not fail.
        let _ = writeln!(
            out,
            "| {} | {} | {traffic} | {} | {} | {} | {} | {} | {:.2} | {:.1} of {:.1} (N {:.1}, {} RPCs) | {:.3} |",
            r.scenario,
            r.balancers,
            r.starts,
            r.fell,
            r.fell_by_count,
            r.violating,
            r.other_violations,
            r.p99_load_ratio,
            w.work,
            fall_threshold(w.allowed),
            w.allowed,
            w.rpcs,
            r.service
        );
    }
    out
}
