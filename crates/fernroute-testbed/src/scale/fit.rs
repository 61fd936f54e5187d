//! Growth of each figure with the number of balancers: a linear and a power-law fit, each with a 95%
//! confidence interval, over at least four sizes.

use serde_json::Value;
use statrs::distribution::{ContinuousCDF as _, StudentsT};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;

/// Least number of different sizes.
pub const MIN_SIZES: usize = 4;

/// A figure with a larger exponent is reported as growing faster than the fleet.
pub const MAX_EXPONENT: f64 = 1.1;

/// Extrapolation is limited to this multiple of the largest measured size.
pub const MAX_EXTRAPOLATION: f64 = 4.0;

const ROLES: [&str; 5] = ["balancer", "balancer_real", "steward_leader", "steward_follower", "discovery"];
const FIGURES: [&str; 5] =
    ["processor_percent", "memory_kb", "bytes_per_s", "messages_per_s", "worst_second_bytes"];

/// A value and the half-width of its 95% confidence interval; NaN for two points, which leave no degrees
/// of freedom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    pub half_width: f64,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    pub slope: Estimate,
    intercept: f64,
    /// Inputs of the prediction interval: number of points, mean and sum of squares of x, residual
    /// variance, and quantile.
    count: f64,
    mean_x: f64,
    sum_sq_x: f64,
    residual_variance: f64,
    quantile: f64,
}

impl LinearFit {
    /// `None` if all points have the same x.
    pub fn through(points: &[(f64, f64)]) -> Option<LinearFit> {
        let count = points.len() as f64;
        let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(&|p| p.0), mean(&|p| p.1));
        let sum_sq_x: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if sum_sq_x <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / sum_sq_x;
        let intercept = mean_y - slope * mean_x;
        let residual_variance: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let residual_variance = residual_variance / (count - 2.0);
        let quantile = StudentsT::new(0.0, 1.0, count - 2.0).map_or(f64::NAN, |t| t.inverse_cdf(0.975));
        let half_width = quantile * (residual_variance / sum_sq_x).sqrt();
        Some(LinearFit {
            slope: Estimate { value: slope, half_width },
            intercept,
            count,
            mean_x,
            sum_sq_x,
            residual_variance,
            quantile,
        })
    }

    /// Prediction interval of one more run of this size.
    pub fn predict(&self, x: f64) -> Estimate {
        let variance_factor = 1.0 + 1.0 / self.count + (x - self.mean_x).powi(2) / self.sum_sq_x;
        Estimate {
            value: self.intercept + self.slope.value * x,
            half_width: self.quantile * (self.residual_variance * variance_factor).sqrt(),
        }
    }
}

/// Fits of one figure over all sizes.
#[derive(Clone, Debug)]
pub struct Fit {
    pub figure: String,
    /// Number of balancers and measured value.
    pub points: Vec<(f64, f64)>,
    pub line: Option<LinearFit>,
    /// Exponent of the power law; `None` if any value is not positive.
    pub exponent: Option<Estimate>,
}

impl Fit {
    pub fn new(figure: &str, points: Vec<(f64, f64)>) -> Self {
        let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
        let positive = points.iter().all(|(x, y)| *x > 0.0 && *y > 0.0);
        let exponent = LinearFit::through(&logs).filter(|_| positive).map(|line| line.slope);
        Fit { figure: figure.to_owned(), line: LinearFit::through(&points), exponent, points }
    }

    pub fn exceeds_max_exponent(&self) -> bool {
        self.exponent.is_some_and(|exponent| exponent.value > MAX_EXPONENT)
    }
}

/// Reads the JSON reports of runs.
pub fn read_reports(paths: &[impl AsRef<Path>]) -> Result<Vec<Value>, String> {
    let read_one = |path: &Path| {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
    };
    paths.iter().map(|path| read_one(path.as_ref())).collect()
}

fn size(run: &Value) -> Option<f64> {
    Some(run.get("hollow")?.as_f64()? + run.get("real")?.as_f64()?)
}

/// Fits every figure that was measured at enough sizes.
pub fn fit_all(runs: &[Value]) -> Result<Vec<Fit>, String> {
    let sizes: Option<Vec<f64>> = runs.iter().map(size).collect();
    let sizes = sizes.ok_or("a file has no fields hollow and real: not a report of a scale run")?;
    let different: BTreeSet<u64> = sizes.iter().map(|n| *n as u64).collect();
    if different.len() < MIN_SIZES {
        return Err(format!("{} sizes, {MIN_SIZES} are needed", different.len()));
    }
    let mut names: Vec<String> = Vec::new();
    for role in ROLES {
        names.extend(FIGURES.iter().map(|figure| format!("{role}.{figure}")));
    }
    names.extend(["added_ms.p50", "added_ms.p99", "changes.slowest_s"].map(str::to_owned));
    let kinds = runs.iter().filter_map(|run| run.get("faults")?.as_array()).flatten();
    let kinds: BTreeSet<&str> = kinds.filter_map(|fault| fault.get("kind")?.as_str()).collect();
    for kind in kinds {
        for of in ["settled_s", "worst_second_bytes", "worst_second_processor_percent"] {
            names.push(format!("faults.{kind}.{of}"));
        }
    }
    let mut all = Vec::new();
    for name in names {
        let value = |run: &Value| lookup(run, &name);
        let points = runs.iter().zip(&sizes).filter_map(|(run, size)| Some((*size, value(run)?)));
        let points: Vec<(f64, f64)> = points.collect();
        let sizes_with_value: BTreeSet<u64> = points.iter().map(|p| p.0 as u64).collect();
        if sizes_with_value.len() >= MIN_SIZES {
            all.push(Fit::new(&name, points));
        }
    }
    Ok(all)
}

/// Looks up a value by a dotted path; in a list a key selects the entry of that kind.
fn lookup(run: &Value, name: &str) -> Option<f64> {
    let mut at = run;
    for key in name.split('.') {
        at = match at {
            Value::Array(list) => list.iter().find(|one| one.get("kind").is_some_and(|kind| kind == key))?,
            item => item.get(key)?,
        };
    }
    at.as_f64()
}

/// A Markdown table, followed by the figures that grow too fast. `at` adds predictions for this number
/// of balancers.
pub fn table(fits: &[Fit], at: Option<f64>) -> Result<String, String> {
    let largest = fits.iter().flat_map(|fit| &fit.points).map(|p| p.0).fold(0.0, f64::max);
    if let Some(at) = at.filter(|at| !(*at > 0.0 && *at <= largest * MAX_EXTRAPOLATION)) {
        return Err(format!(
            "--at {at}: {largest} were measured, at most four times as many can be predicted"
        ));
    }
    let extra_column = |at: f64| format!(" at {at}, predicted |");
    let mut out = format!(
        "| figure | measured, by balancers | per 100 more (95%) | power (95%) |{}\n| --- | --- | --- | --- |{}\n",
        at.map_or(String::new(), extra_column),
        at.map_or("", |_| " --- |")
    );
    for fit in fits {
        let points: Vec<String> =
            fit.points.iter().map(|(x, y)| format!("{x}: {}", three_digits(*y))).collect();
        let line = fit.line.map(|line| Estimate {
            value: line.slope.value * 100.0,
            half_width: line.slope.half_width * 100.0,
        });
        let mark = if fit.exceeds_max_exponent() { " **above 1.1**" } else { "" };
        let (line, exponent) = (format_estimate(line), format_estimate(fit.exponent));
        let _ = write!(out, "| {} | {} | {line} | {exponent}{mark} |", fit.figure, points.join(", "));
        if let Some(at) = at {
            let _ = write!(out, " {} |", format_estimate(fit.line.map(|line| line.predict(at))));
        }
        out.push('\n');
    }
    for fit in fits.iter().filter(|fit| fit.exceeds_max_exponent()) {
        let _ = writeln!(
            out,
            "\n{} grows faster than the fleet: power {}.",
            fit.figure,
            format_estimate(fit.exponent)
        );
    }
    Ok(out)
}

fn format_estimate(what: Option<Estimate>) -> String {
    what.map_or("-".to_owned(), |w| format!("{} ± {}", three_digits(w.value), three_digits(w.half_width)))
}

/// Formats to three significant digits, or all digits before the decimal point.
fn three_digits(value: f64) -> String {
    let digits = if value == 0.0 { 0 } else { (2 - value.abs().log10().floor() as i32).max(0) as usize };
    format!("{value:.digits$}")
}
