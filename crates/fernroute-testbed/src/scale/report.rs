//! Report of a scale run, as a JSON object and as text. What was not measured is `null`, never 0.

use super::changes::ChangeStats;
use super::faults::FaultResult;
use super::figures::Figures;
use super::load::{LoadStats, Phase, Times};
use serde::Serialize;
use std::collections::BTreeMap;

/// Latency in ms added by a balancer: its quantiles minus those of the direct stream in the same run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct AddedLatency {
    pub p50: Option<f64>,
    pub p99: Option<f64>,
}

impl AddedLatency {
    fn of(balancer: Option<&Times>, direct: Option<&Times>) -> Self {
        let (Some(balancer), Some(direct)) = (balancer, direct) else { return AddedLatency::default() };
        // A quantile needs enough samples beyond it.
        let at = |quantile: f64, least: u64| {
            let enough = balancer.len() >= least && direct.len() >= least;
            let ms = |times: &Times| times.value_at_quantile(quantile) as f64 / 1000.0;
            enough.then(|| ms(balancer) - ms(direct))
        };
        AddedLatency { p50: at(0.5, 20), p99: at(0.99, 1000) }
    }

    pub fn during(stats: &LoadStats, phase: Phase) -> Self {
        AddedLatency::of(stats.times.get(&(phase, true)), stats.times.get(&(phase, false)))
    }
}

/// Costs of a hollow balancer relative to a real one of the same run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct HollowComparison {
    pub bytes: Option<f64>,
    pub messages: Option<f64>,
    /// For information only: a real balancer also serves callers.
    pub processor: Option<f64>,
}

impl HollowComparison {
    pub fn of(hollow: &Figures, real: &Figures) -> Self {
        let ratio = |a: Option<f64>, b: Option<f64>| Some(a? / b.filter(|b| *b > 0.0)?);
        HollowComparison {
            bytes: ratio(hollow.bytes_per_s, real.bytes_per_s),
            messages: ratio(hollow.messages_per_s, real.messages_per_s),
            processor: ratio(hollow.processor_percent, real.processor_percent),
        }
    }

    /// Whether both are within 10% of each other; `None` if one kind was absent.
    pub fn holds(&self) -> Option<bool> {
        let near = |ratio: f64| (0.9..=1.0 / 0.9).contains(&ratio);
        Some(near(self.bytes?) && near(self.messages?))
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub name: String,
    pub factor: f64,
    /// Number of balancers of each kind.
    pub hollow: usize,
    pub real: usize,
    /// Control cost of one balancer: of the hollow ones if there are any, otherwise of the real ones
    /// with their RPCs.
    pub balancer: Figures,
    #[serde(rename = "steward_leader")]
    pub coordinator_leader: Figures,
    #[serde(rename = "steward_follower")]
    pub coordinator_follower: Figures,
    pub balancer_real: Figures,
    pub discovery: Figures,
    pub alike: HollowComparison,
    pub changes: ChangeStats,
    /// At the mean rate, and by phase.
    pub added_ms: AddedLatency,
    pub added_ms_during: BTreeMap<String, AddedLatency>,
    pub rpcs: Option<u64>,
    pub refused: Option<u64>,
    pub crossed: Option<u64>,
    pub sent_late: Option<u64>,
    pub beyond_whole: Option<u64>,
    pub lost: Option<u64>,
    pub faults: Vec<FaultResult>,
    /// The reason why the load was not sustained, if it was not.
    pub not_kept: Option<String>,
}

impl Report {
    /// Exit code: 3 for an invalid run; 1 if RPCs were lost, a limit was exceeded, the fleet did not
    /// settle or a change did not become active.
    pub fn exit_code(&self) -> u8 {
        let minority_write = |fault: &FaultResult| fault.entered_without_majority == Some(true);
        let unsettled = self.faults.iter().any(|fault| fault.settled_s.is_none() || minority_write(fault));
        let broken = self.lost.unwrap_or(0) > 0 || self.beyond_whole.unwrap_or(0) > 0 || unsettled;
        let broken = broken || self.changes.has_incomplete();
        match (broken, &self.not_kept) {
            (true, _) => 1,
            (false, Some(_)) => 3,
            (false, None) => 0,
        }
    }

    pub fn print(&self) {
        println!(
            "{}, factor {}: {} hollow and {} real balancers",
            self.name, self.factor, self.hollow, self.real
        );
        let format_value = |what: Option<f64>| what.map_or("-".to_owned(), |what| format!("{what:.2}"));
        println!(
            "{:<21} {:>9} {:>9} {:>12} {:>12} {:>14}",
            "each", "processor", "memory", "bytes/s", "messages/s", "worst second"
        );
        for (role, f) in [
            ("hollow balancer", &self.balancer),
            ("real balancer", &self.balancer_real),
            ("coordinator, leader", &self.coordinator_leader),
            ("coordinator, follower", &self.coordinator_follower),
            ("discovery", &self.discovery),
        ] {
            println!(
                "{role:<21} {:>8}% {:>6} kB {:>12} {:>12} {:>14}",
                format_value(f.processor_percent),
                f.memory_kb.map_or("-".to_owned(), |kb| kb.to_string()),
                format_value(f.bytes_per_s),
                format_value(f.messages_per_s),
                format_value(f.worst_second_bytes)
            );
        }
        match self.alike.holds() {
            None => println!("hollow compared with real: not measured, one kind was absent"),
            Some(holds) => println!(
                "hollow compared with real: bytes {}, messages {}, processor {} of a real balancer's{}",
                format_value(self.alike.bytes),
                format_value(self.alike.messages),
                format_value(self.alike.processor),
                if holds {
                    ""
                } else {
                    ": MORE THAN 10% APART, figures of hollow balancers are not representative"
                }
            ),
        }
        println!(
            "added latency at the mean rate: {} ms (median), {} ms (99th percentile)",
            format_value(self.added_ms.p50),
            format_value(self.added_ms.p99)
        );
        for (during, added) in &self.added_ms_during {
            println!("  {during}: {} ms, {} ms", format_value(added.p50), format_value(added.p99));
        }
        if let Some(made) = self.changes.made {
            let everywhere = self.changes.in_force_everywhere.unwrap_or(0);
            println!(
                "changes: {everywhere} of {made} active everywhere, the slowest after {} s",
                format_value(self.changes.slowest_s)
            );
        }
        for f in &self.faults {
            println!(
                "{}: settled after {} s, worst second {} bytes, coordinators {}% of a processor",
                f.kind,
                format_value(f.settled_s),
                format_value(f.worst_second_bytes),
                format_value(f.worst_second_processor_percent)
            );
        }
        let count = |n: Option<u64>| n.map_or("not measured".to_owned(), |n| n.to_string());
        println!("lost: {}; seconds over the limit: {}", count(self.lost), count(self.beyond_whole));
        if let Some(why) = &self.not_kept {
            println!("INVALID: {why}");
        }
    }
}
