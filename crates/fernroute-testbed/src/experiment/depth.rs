//! What a chain of many tiers adds to an RPC when part of the last tier's answers are errors.

use super::Estimate;
use crate::metrics::RunMetrics;
use crate::policy::Variant;
use crate::run;
use crate::scenario::{FaultKind, Scenario};
use rayon::prelude::*;
use std::fmt::Write as _;

/// Shares of errors among the last tier's answers.
const ERRORS: [f64; 3] = [0.0, 0.01, 0.05];

/// Returns the scenario with this share of errors at its last tier.
pub fn with_errors(scenario: &Scenario, share: f64) -> Scenario {
    let mut scenario = scenario.clone();
    let last = scenario.tier.len() - 1;
    let errors: Vec<usize> = (0..scenario.fault.len())
        .filter(|i| {
            scenario.fault[*i].kind == FaultKind::FastErrors && scenario.tier_of(&scenario.fault[*i]) == last
        })
        .collect();
    errors.into_iter().for_each(|i| scenario.fault[i].size = share);
    scenario
}

/// Mean in milliseconds of a sum in tenths of a millisecond.
fn mean_ms(sum: u128, count: u64) -> f64 {
    sum as f64 / (count as f64).max(1.0) / 10.0
}

/// Attempts in one tier for each RPC of a caller.
pub fn attempts_per_rpc(metrics: &RunMetrics, tier: usize) -> f64 {
    metrics.tiers[tier].attempts as f64 / (metrics.tiers[0].rpcs as f64).max(1.0)
}

fn number(of: &[RunMetrics], value: impl Fn(&RunMetrics) -> f64) -> String {
    let e = Estimate::of(&of.iter().map(value).collect::<Vec<f64>>());
    if e.half_width.is_finite() {
        format!("{:.3} ± {:.3}", e.mean, e.half_width)
    } else {
        format!("{:.3}", e.mean)
    }
}

/// Formats two Markdown tables: the whole chain, and each tier at the highest share of errors.
pub fn table(scenario: &Scenario, seeds: u64) -> String {
    let last = scenario.tier.len() - 1;
    let work = |tier: usize| scenario.method[0].work_ms * scenario.tier[tier].work;
    let all_work: f64 = (0..=last).map(work).sum();
    let mut out = format!(
        "{} tiers, {seeds} seeds, 95% intervals (Student's t); {all_work:.1} ms of work over all tiers.\n\n\
         | errors at the last tier | transmissions there for each try of a caller | of the RPCs that come there, answered whole | \
         service | answered after, ms | added to the work, ms | added by each hop, ms | of the deadline left there, ms | the least \
         left, ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        last + 1
    );
    let mut worst: Vec<RunMetrics> = Vec::new();
    for share in ERRORS {
        let of = with_errors(scenario, share);
        let metrics = (1..=seeds).into_par_iter().map(|seed| run::run(&of, Variant::Fernroute, seed).metrics);
        let metrics: Vec<RunMetrics> = metrics.collect();
        let took = |b: &RunMetrics| mean_ms(b.tiers[0].total_latency, b.tiers[0].completed);
        // Writing to a `String` does not fail.
        let _ = writeln!(
            out,
            "| {:.0}% | {} | {} | {} | {} | {} | {} | {} | {} |",
            share * 100.0,
            number(&metrics, |b| attempts_per_rpc(b, last)),
            number(&metrics, |b| b.tiers[last].completed as f64 / (b.tiers[last].rpcs as f64).max(1.0)),
            number(&metrics, RunMetrics::service),
            number(&metrics, took),
            number(&metrics, |b| took(b) - all_work),
            number(&metrics, |b| (took(b) - all_work) / (last + 1) as f64),
            number(&metrics, |b| mean_ms(b.tiers[last].total_time_left, b.tiers[last].rpcs)),
            number(&metrics, |b| b.tiers[last].min_time_left.unwrap_or(0) as f64 / 10.0),
        );
        worst = metrics;
    }
    let most = ERRORS[ERRORS.len() - 1] * 100.0;
    let _ = write!(
        out,
        "\nWith {most:.0}% of errors, tier by tier:\n\n| tier | transmissions for each try of a caller | for each RPC of its own | \
         answered after, ms | of the deadline left, ms |\n| --- | --- | --- | --- | --- |\n"
    );
    for tier in 0..=last {
        let of = |b: &RunMetrics| b.tiers[tier];
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} | {} |",
            scenario.tier[tier].name,
            number(&worst, |b| attempts_per_rpc(b, tier)),
            number(&worst, |b| of(b).attempts as f64 / (of(b).rpcs as f64).max(1.0)),
            number(&worst, |b| mean_ms(of(b).total_latency, of(b).completed)),
            number(&worst, |b| mean_ms(of(b).total_time_left, of(b).rpcs)),
        );
    }
    out
}
