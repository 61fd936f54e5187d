//! Costs of each role, sampled every second: CPU time from `/proc`, bytes and messages from the links.

use fernroute_test_support::Traffic;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs;
use std::ops::AddAssign;

/// Resources used in some period.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub cpu_ns: u64,
    pub counted: Traffic,
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Self) {
        self.cpu_ns += other.cpu_ns;
        self.counted += other.counted;
    }
}

/// Costs of about one second of a run.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    pub seconds: f64,
    pub hollow: Cost,
    pub real: Cost,
    pub coordinators: Vec<Cost>,
    pub discovery: Cost,
    /// The coordinator that received most messages.
    pub leader: usize,
}

/// Means per process of a role; `None` is not measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    pub processor_percent: Option<f64>,
    pub memory_kb: Option<u64>,
    pub bytes_per_s: Option<f64>,
    pub messages_per_s: Option<f64>,
    /// Bytes in the worst second of the whole run, faults included.
    pub worst_second_bytes: Option<f64>,
}

/// Figures per process of `count` processes of a role; `of` gives their total cost.
pub fn summarize(
    seconds: &[Sample],
    all: &[Sample],
    count: usize,
    memory_kb: u64,
    of: impl Fn(&Sample) -> Cost,
) -> Figures {
    let (mut sum, mut time) = (Cost::default(), 0.0);
    for second in seconds {
        sum += of(second);
        time += second.seconds;
    }
    if count == 0 || time == 0.0 {
        return Figures::default();
    }
    let each = 1.0 / (count as f64 * time);
    let bytes = |s: &Sample| of(s).counted.bytes as f64 / s.seconds / count as f64;
    Figures {
        processor_percent: Some(sum.cpu_ns as f64 / 1e7 * each),
        memory_kb: Some(memory_kb / count as u64),
        bytes_per_s: Some(sum.counted.bytes as f64 * each),
        messages_per_s: Some(sum.counted.messages as f64 * each),
        worst_second_bytes: all.iter().map(bytes).max_by(f64::total_cmp),
    }
}

/// CPU time of a process since its start, over all its threads; 0 after it has ended.
pub fn cpu_ns(id: u32) -> u64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else { return 0 };
    let of = |thread: fs::DirEntry| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    threads.filter_map(Result::ok).filter_map(of).sum()
}

/// Total memory of the machine.
pub fn machine_kb() -> Result<u64, String> {
    let text = fs::read_to_string("/proc/meminfo").map_err(|e| format!("/proc/meminfo: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .ok_or("/proc/meminfo: no MemTotal".to_owned())
}

/// CPU time of each process at its last reading.
#[derive(Debug, Default)]
pub struct CpuTimes(BTreeMap<u32, u64>);

impl CpuTimes {
    /// CPU time since the last reading; all of it for a new process.
    pub fn since_last(&mut self, id: u32) -> u64 {
        let now = cpu_ns(id);
        let before = self.0.insert(id, now).unwrap_or(0);
        now.saturating_sub(before)
    }
}
