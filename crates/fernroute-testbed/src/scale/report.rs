//! What a run says in the end: one object of JSON, and lines for people. What was not measured is `null`, never 0.

use super::changes::ChangeStats;
use super::faults::FaultResult;
use super::figures::Figures;
use super::load::{LoadStats, Phase, Times};
use serde::Serialize;
use std::collections::BTreeMap;

/// Milliseconds that a balancer adds to a call: its times less those of the direct way in the same run, quantile by quantile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct AddedLatency {
    pub p50: Option<f64>,
    pub p99: Option<f64>,
}

impl AddedLatency {
    fn of(balancer: Option<&Times>, direct: Option<&Times>) -> Self {
        let (Some(balancer), Some(direct)) = (balancer, direct) else { return AddedLatency::default() };
        // A quantile needs some beyond it.
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

/// Hollow and real balancers of one run, side by side: what a hollow one spends for what a real one spends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct HollowComparison {
    pub bytes: Option<f64>,
    pub messages: Option<f64>,
    /// Told, and no proof: a real one serves callers beside.
    pub processor: Option<f64>,
}

impl HollowComparison {
    pub fn of(hollow: &Figures, real: &Figures) -> Self {
        let part = |a: Option<f64>, b: Option<f64>| Some(a? / b.filter(|b| *b > 0.0)?);
        HollowComparison {
            bytes: part(hollow.bytes_per_s, real.bytes_per_s),
            messages: part(hollow.messages_per_s, real.messages_per_s),
            processor: part(hollow.processor_percent, real.processor_percent),
        }
    }

    /// Within a tenth of each other; none where one of them was not there.
    pub fn holds(&self) -> Option<bool> {
        let near = |part: f64| (0.9..=1.0 / 0.9).contains(&part);
        Some(near(self.bytes?) && near(self.messages?))
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub name: String,
    pub factor: f64,
    /// How many balancers of either kind ran.
    pub hollow: usize,
    pub real: usize,
    /// What one balancer costs for control: the hollow ones', where there are some; else the real ones' with their RPCs.
    pub balancer: Figures,
    #[serde(rename = "steward_leader")]
    pub coordinator_leader: Figures,
    #[serde(rename = "steward_follower")]
    pub coordinator_follower: Figures,
    pub balancer_real: Figures,
    pub discovery: Figures,
    pub alike: HollowComparison,
    pub changes: ChangeStats,
    /// At the mean rate; the others by what went on meanwhile.
    pub added_ms: AddedLatency,
    pub added_ms_during: BTreeMap<String, AddedLatency>,
    pub rpcs: Option<u64>,
    pub refused: Option<u64>,
    pub crossed: Option<u64>,
    pub sent_late: Option<u64>,
    pub beyond_whole: Option<u64>,
    pub lost: Option<u64>,
    pub faults: Vec<FaultResult>,
    /// Why the machine did not keep the load, if it did not.
    pub not_kept: Option<String>,
}

impl Report {
    /// 3 where the figures say nothing, 1 where something was lost, beyond the whole, never settled or never in force.
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
        let of = |what: Option<f64>| what.map_or("-".to_owned(), |what| format!("{what:.2}"));
        println!(
            "{:<18} {:>9} {:>9} {:>12} {:>12} {:>14}",
            "each", "processor", "memory", "bytes/s", "messages/s", "worst second"
        );
        for (role, f) in [
            ("hollow balancer", &self.balancer),
            ("real balancer", &self.balancer_real),
            ("leading steward", &self.coordinator_leader),
            ("following steward", &self.coordinator_follower),
            ("discovery", &self.discovery),
        ] {
            println!(
                "{role:<18} {:>8}% {:>6} kB {:>12} {:>12} {:>14}",
                of(f.processor_percent),
                f.memory_kb.map_or("-".to_owned(), |kb| kb.to_string()),
                of(f.bytes_per_s),
                of(f.messages_per_s),
                of(f.worst_second_bytes)
            );
        }
        match self.alike.holds() {
            None => println!("hollow like real: not measured, one of them was not there"),
            Some(holds) => println!(
                "hollow like real: bytes {}, messages {}, processor {} of a real one's{}",
                of(self.alike.bytes),
                of(self.alike.messages),
                of(self.alike.processor),
                if holds { "" } else { ": MORE THAN A TENTH APART, figures of hollow ones are no proof" }
            ),
        }
        println!(
            "added at the mean rate: {} ms (half), {} ms (99 in 100)",
            of(self.added_ms.p50),
            of(self.added_ms.p99)
        );
        for (during, added) in &self.added_ms_during {
            println!("  {during}: {} ms, {} ms", of(added.p50), of(added.p99));
        }
        if let Some(made) = self.changes.made {
            let everywhere = self.changes.in_force_everywhere.unwrap_or(0);
            println!(
                "changes: {everywhere} of {made} in force everywhere, the slowest after {} s",
                of(self.changes.slowest_s)
            );
        }
        for f in &self.faults {
            println!(
                "{}: settled after {} s, worst second {} bytes, stewards {}% of a processor",
                f.kind,
                of(f.settled_s),
                of(f.worst_second_bytes),
                of(f.worst_second_processor_percent)
            );
        }
        let count = |n: Option<u64>| n.map_or("not measured".to_owned(), |n| n.to_string());
        println!("lost: {}; seconds beyond the whole: {}", count(self.lost), count(self.beyond_whole));
        if let Some(why) = &self.not_kept {
            println!("INVALID: {why}");
        }
    }
}
