//! Experiments: scenarios × variants × seeds. Variants are paired by seed: with equal seeds, all get the same demand.

pub mod cold;
pub mod depth;
pub mod figures;

use crate::policy::Variant;
use crate::referee::Rule;
use crate::run::{self, RunResult};
use crate::scenario::Scenario;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF as _, StudentsT};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// An experiment file. Paths of scenarios are relative to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentFile {
    pub name: String,
    pub scenarios: Vec<PathBuf>,
    /// The others are compared with the first one.
    pub variants: Vec<String>,
    pub seeds: Vec<u64>,
}

pub struct Experiment {
    pub name: String,
    pub scenarios: Vec<(Scenario, String)>,
    pub variants: Vec<Variant>,
    pub seeds: Vec<u64>,
}

impl Experiment {
    pub fn read(path: &Path) -> Result<Self, String> {
        let error_at = |why: String| format!("{}: {}", path.display(), why.replace('\n', " "));
        let text = std::fs::read_to_string(path).map_err(|e| error_at(e.to_string()))?;
        let file: ExperimentFile = toml::from_str(&text).map_err(|e| error_at(e.message().to_owned()))?;
        if file.scenarios.is_empty() || file.variants.is_empty() || file.seeds.is_empty() {
            return Err(error_at(
                "scenarios, variants and seeds: at least one of each is required".to_owned(),
            ));
        }
        if file.seeds.iter().collect::<BTreeSet<_>>().len() < file.seeds.len() {
            return Err(error_at("seeds: one appears twice".to_owned()));
        }
        let variants: Result<Vec<Variant>, String> =
            file.variants.iter().map(|v| Variant::from_name(v)).collect();
        let folder = path.parent().unwrap_or(Path::new(""));
        let mut scenarios: Vec<(Scenario, String)> = Vec::new();
        for scenario_file in &file.scenarios {
            let path = folder.join(scenario_file);
            let (scenario, text) = Scenario::read_with_text(&path)?;
            if scenarios.iter().any(|(other, _)| other.name == scenario.name) {
                return Err(error_at(format!("scenarios: {} appears twice", scenario.name)));
            }
            scenarios.push((scenario, text));
        }
        Ok(Experiment {
            name: file.name,
            scenarios,
            variants: variants.map_err(error_at)?,
            seeds: file.seeds,
        })
    }

    /// Executes all runs in parallel. The order of the rows is deterministic.
    pub fn run(&self) -> Vec<Row> {
        let all: Vec<(usize, Variant, u64)> = (0..self.scenarios.len())
            .flat_map(|s| self.variants.iter().map(move |v| (s, *v)))
            .flat_map(|(s, v)| self.seeds.iter().map(move |seed| (s, v, *seed)))
            .collect();
        let run_one = |(s, variant, seed): (usize, Variant, u64)| {
            let scenario = &self.scenarios[s].0;
            Row::of(scenario, variant, seed, &run::run(scenario, variant, seed))
        };
        all.into_par_iter().map(run_one).collect()
    }
}

/// The results of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub scenario: String,
    pub variant: Variant,
    pub seed: u64,
    pub service: f64,
    pub worst_ten: f64,
    /// Mean utilization of the tenants' budgets, in scenarios with tenants.
    pub utilization: Option<f64>,
    pub requests: u64,
    pub attempts: u64,
    pub exhausted: u64,
    pub errored: u64,
    pub late: u64,
    pub lost: u64,
    pub never_answered: u64,
    /// Served relative to offered requests, by method.
    pub methods: Vec<(String, f64)>,
    /// In milliseconds.
    pub p50: f64,
    pub p99: f64,
    /// Latencies in milliseconds at the percentiles 1 to 99 and 99.9, for the chart.
    pub latency_percentiles: Vec<(f64, f64)>,
    /// Served and offered gain of each second.
    pub service_by_second: Vec<(f64, f64)>,
    pub violations: BTreeMap<Rule, usize>,
}

impl Row {
    fn of(scenario: &Scenario, variant: Variant, seed: u64, run: &RunResult) -> Self {
        let metrics = &run.metrics;
        let at = |q: f64| metrics.latencies.value_at_quantile(q) as f64 / 10.0;
        let mut violations = BTreeMap::new();
        for violation in &run.violations {
            *violations.entry(violation.rule).or_insert(0) += 1;
        }
        let sum = |what: fn(&crate::metrics::SecondMetrics) -> u64| metrics.seconds.iter().map(what).sum();
        let share = |m: &crate::metrics::MethodMetrics| {
            (m.name.clone(), m.served as f64 / (m.offered as f64).max(1.0))
        };
        Row {
            scenario: scenario.name.clone(),
            variant,
            seed,
            service: metrics.service(),
            worst_ten: metrics.worst_ten(),
            utilization: metrics.utilization(),
            requests: metrics.methods.iter().map(|m| m.offered).sum(),
            attempts: metrics.attempts,
            exhausted: sum(|s| s.exhausted),
            errored: sum(|s| s.errored),
            late: sum(|s| s.late),
            lost: metrics.ends.lost,
            never_answered: metrics.ends.open,
            methods: metrics.methods.iter().map(share).collect(),
            p50: at(0.5),
            p99: at(0.99),
            latency_percentiles: (1..=99).map(f64::from).chain([99.9]).map(|p| (p, at(p / 100.0))).collect(),
            service_by_second: metrics.seconds.iter().map(|s| (s.served, s.offered)).collect(),
            violations,
        }
    }
}

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub mean: f64,
    /// Half width of the interval; NaN for a single value.
    pub half_width: f64,
}

impl Estimate {
    pub fn of(values: &[f64]) -> Self {
        let n = values.len() as f64;
        let mean = values.iter().sum::<f64>() / n;
        let var = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let half =
            StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::NAN, |t| t.inverse_cdf(0.975) * (var / n).sqrt());
        Estimate { mean, half_width: if values.len() < 2 { f64::NAN } else { half } }
    }

    /// Whether the interval excludes zero.
    pub fn is_significant(self) -> bool {
        self.half_width.is_finite() && self.mean.abs() > self.half_width
    }
}

/// The results of one variant on one scenario, over all seeds.
#[derive(Clone, Debug)]
pub struct Summary {
    pub scenario: String,
    pub variant: Variant,
    pub service: Estimate,
    pub worst_ten: Estimate,
    pub utilization: Option<Estimate>,
    /// Budget utilization of the first variant minus that of this one, paired by seed.
    pub utilization_lead: Option<Estimate>,
    /// Service of the first variant minus that of this one, paired by seed; `None` for the first.
    pub service_lead: Option<Estimate>,
    pub p99: f64,
    pub violations: BTreeMap<Rule, usize>,
}

pub fn summarise(rows: &[Row]) -> Vec<Summary> {
    let mut groups: Vec<(String, Variant)> = Vec::new();
    for row in rows {
        let group = (row.scenario.clone(), row.variant);
        if !groups.contains(&group) {
            groups.push(group);
        }
    }
    let of = |scenario: &str, variant: Variant| -> Vec<&Row> {
        rows.iter().filter(|r| r.scenario == scenario && r.variant == variant).collect()
    };
    let baseline = rows.first().map(|r| r.variant);
    let summary = |(scenario, variant): (String, Variant)| {
        let these = of(&scenario, variant);
        let values = |what: fn(&Row) -> f64| these.iter().map(|r| what(r)).collect::<Vec<f64>>();
        let paired = |what: fn(&Row) -> Option<f64>| {
            let base = of(&scenario, baseline.filter(|baseline| *baseline != variant)?);
            let pairs = these.iter().filter_map(|r| Some((base.iter().find(|b| b.seed == r.seed)?, r)));
            let differences: Option<Vec<f64>> = pairs.map(|(b, r)| Some(what(b)? - what(r)?)).collect();
            Some(Estimate::of(&differences?))
        };
        let used: Option<Vec<f64>> = these.iter().map(|r| r.utilization).collect();
        let mut violations = BTreeMap::new();
        for rule in these.iter().flat_map(|r| r.violations.keys()) {
            *violations.entry(*rule).or_insert(0) += 1;
        }
        Summary {
            service: Estimate::of(&values(|r| r.service)),
            worst_ten: Estimate::of(&values(|r| r.worst_ten)),
            p99: Estimate::of(&values(|r| r.p99)).mean,
            service_lead: paired(|r| Some(r.service)),
            utilization: used.map(|utilization| Estimate::of(&utilization)),
            utilization_lead: paired(|r| r.utilization),
            violations,
            scenario,
            variant,
        }
    };
    groups.into_iter().map(summary).collect()
}

/// The summary as a Markdown table.
pub fn table(summaries: &[Summary], seeds: usize) -> String {
    let first = summaries.first().map_or("", |s| s.variant.name());
    // Scenarios with tenants have additional columns for budget utilization.
    let tenants = summaries.iter().any(|s| s.utilization.is_some());
    let (head, line) = match tenants {
        true => ("| of tenants' wholes in use | ahead in that by ", " --- | --- |"),
        false => ("", ""),
    };
    let mut out = format!(
        "| scenario | variant | service | worst 10 s | 99 in 100 answered within, ms | {first} is ahead by {head}| rules broken, \
         runs of {seeds} |\n| --- | --- | --- | --- | --- | --- |{line} --- |\n"
    );
    let number = |e: Estimate| match e.half_width.is_finite() {
        true => format!("{:.3} ± {:.3}", e.mean, e.half_width),
        false => format!("{:.3}", e.mean),
    };
    for s in summaries {
        let ahead = |of: Option<Estimate>| match of {
            None => String::new(),
            Some(a) if !a.half_width.is_finite() => format!("{:+.3}, one seed", a.mean),
            Some(a) if a.is_significant() => format!("{:+.3} ± {:.3}", a.mean, a.half_width),
            Some(a) => format!("no difference shown ({:+.3} ± {:.3})", a.mean, a.half_width),
        };
        let used = match tenants {
            true => {
                format!("{} | {} | ", s.utilization.map_or(String::new(), number), ahead(s.utilization_lead))
            }
            false => String::new(),
        };
        let ahead = ahead(s.service_lead);
        let broken: Vec<String> = s.violations.iter().map(|(rule, n)| format!("{rule:?} {n}")).collect();
        let (service, worst) = (number(s.service), number(s.worst_ten));
        let broken = if broken.is_empty() { "none".to_owned() } else { broken.join(", ") };
        // Writing to a `String` does not fail.
        let _ = writeln!(
            out,
            "| {} | {} | {service} | {worst} | {:.0} | {ahead} | {used}{broken} |",
            s.scenario,
            s.variant.name(),
            s.p99
        );
    }
    out
}

/// The data needed to reproduce the results.
#[derive(Serialize)]
struct Manifest<'a> {
    experiment: &'a str,
    version: &'a str,
    command: &'a str,
    variants: Vec<&'a str>,
    seeds: &'a [u64],
    scenarios: Vec<&'a str>,
}

/// Writes all results to a new or empty folder.
pub fn write(experiment: &Experiment, rows: &[Row], folder: &Path, command: &str) -> Result<(), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", folder.display());
    create_empty_folder(folder)?;
    let write_file = |name: &str, text: &str| std::fs::write(folder.join(name), text).map_err(io_error);
    let mut csv = csv::Writer::from_writer(Vec::new());
    let csv_error = |e: csv::Error| e.to_string();
    let head = "scenario,variant,seed,service,worst_ten,requests,transmissions,exhausted,errored,late,lost,\
                never_answered,p50_ms,p99_ms,rules_broken,methods,used";
    csv.write_record(head.split(',')).map_err(csv_error)?;
    for r in rows {
        let broken: Vec<String> = r.violations.iter().map(|(rule, n)| format!("{rule:?}={n}")).collect();
        let methods: Vec<String> =
            r.methods.iter().map(|(name, share)| format!("{name}={share:.4}")).collect();
        let numbers = [r.requests, r.attempts, r.exhausted, r.errored, r.late, r.lost, r.never_answered];
        let mut line = vec![r.scenario.clone(), r.variant.name().to_owned(), r.seed.to_string()];
        line.extend([format!("{:.6}", r.service), format!("{:.6}", r.worst_ten)]);
        line.extend(numbers.map(|n| n.to_string()));
        line.extend([format!("{:.1}", r.p50), format!("{:.1}", r.p99), broken.join(" "), methods.join(" ")]);
        line.push(r.utilization.map_or(String::new(), |used| format!("{used:.6}")));
        csv.write_record(line).map_err(csv_error)?;
    }
    let csv = csv.into_inner().map_err(|e| e.to_string())?;
    write_file("results.csv", &String::from_utf8_lossy(&csv))?;
    let summaries = summarise(rows);
    let mut text = format!(
        "# {}\n\nSimulated figures: fleets in virtual time, {} seeds for each line, 95% intervals (Student's t), variants paired by \
         seed.\nTo make them again: `{command}`.\n\n",
        experiment.name,
        experiment.seeds.len()
    );
    text.push_str(&table(&summaries, experiment.seeds.len()));
    text.push_str("\n![comparison](comparison.svg)\n");
    for (scenario, _) in &experiment.scenarios {
        let name = &scenario.name;
        let _ = write!(text, "\n## {name}\n\n![course]({name}-course.svg)\n![times]({name}-times.svg)\n");
    }
    write_file("README.md", &text)?;
    let manifest = Manifest {
        experiment: &experiment.name,
        version: env!("CARGO_PKG_VERSION"),
        command,
        variants: experiment.variants.iter().map(|v| v.name()).collect(),
        seeds: &experiment.seeds,
        scenarios: experiment.scenarios.iter().map(|(_, text)| text.as_str()).collect(),
    };
    write_file("manifest.json", &serde_json::to_string_pretty(&manifest).map_err(|e| e.to_string())?)?;
    crate::charts::draw(experiment, rows, &summaries, folder)
}

/// Creates the folder. Fails if it has any contents, so that results are never overwritten.
pub fn create_empty_folder(folder: &Path) -> Result<(), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(io_error)?;
    match std::fs::read_dir(folder).map_err(io_error)?.next() {
        None => Ok(()),
        Some(_) => Err(format!("{}: the folder is not empty", folder.display())),
    }
}
