//! What each role costs, a line for each second: processor from `/proc`, bytes and messages from where connections end.

use fernroute_test_support::Traffic;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fs;
use std::ops::AddAssign;

/// What was spent in some time.
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

/// One second of a run, or nearly.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    pub seconds: f64,
    pub hollow: Cost,
    pub real: Cost,
    pub coordinators: Vec<Cost>,
    pub discovery: Cost,
    /// The steward that most was said to.
    pub leader: usize,
}

/// Means of one process of a role; what was not measured is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    pub processor_percent: Option<f64>,
    pub memory_kb: Option<u64>,
    pub bytes_per_s: Option<f64>,
    pub messages_per_s: Option<f64>,
    /// Bytes in the worst second of the whole run, faults and all.
    pub worst_second_bytes: Option<f64>,
}

/// Of `count` processes of a role; `of` is what they spent together.
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

/// Processor time of a process since its start, over all its threads; 0 once it is gone.
pub fn cpu_ns(id: u32) -> u64 {
    let Ok(threads) = fs::read_dir(format!("/proc/{id}/task")) else { return 0 };
    let of = |thread: fs::DirEntry| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    threads.filter_map(Result::ok).filter_map(of).sum()
}

/// The machine's memory.
pub fn machine_kb() -> Result<u64, String> {
    let text = fs::read_to_string("/proc/meminfo").map_err(|e| format!("/proc/meminfo: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .ok_or("/proc/meminfo: no total".to_owned())
}

/// Processor time by process since the last look.
#[derive(Debug, Default)]
pub struct CpuTimes(BTreeMap<u32, u64>);

impl CpuTimes {
    /// A process that is new has spent all of it since.
    pub fn since_last(&mut self, id: u32) -> u64 {
        let now = cpu_ns(id);
        let before = self.0.insert(id, now).unwrap_or(0);
        now.saturating_sub(before)
    }
}
