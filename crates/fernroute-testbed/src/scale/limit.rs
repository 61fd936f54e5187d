//! Checks at the upstreams that all balancers together keep each tenant's limit.

use std::collections::BTreeMap;
use std::time::Duration;

/// Resolution of the counts.
const SLOT: Duration = Duration::from_millis(50);
const SLOTS_PER_SECOND: usize = 20;

/// Window lengths in seconds.
const WINDOWS_S: [usize; 2] = [1, 10];

/// Tokens that may be saved up, in seconds of the limit.
const BURST_S: usize = 2;

#[derive(Clone, Debug, Default)]
pub struct LimitChecker {
    limit: f64,
    /// Extra RPCs: each balancer may have started a few.
    allowance: usize,
    /// Executions in each slot since the start. Grows for as long as a run lasts.
    executed: BTreeMap<String, Vec<u32>>,
}

impl LimitChecker {
    pub fn new(limit: f64, allowance: usize) -> Self {
        LimitChecker { limit, allowance, executed: BTreeMap::new() }
    }

    pub fn record(&mut self, tenant: &str, at: Duration) {
        let slot = (at.as_millis() / SLOT.as_millis()) as usize;
        if !self.executed.contains_key(tenant) {
            self.executed.insert(tenant.to_owned(), Vec::new());
        }
        let Some(slots) = self.executed.get_mut(tenant) else { return };
        if slots.len() <= slot {
            slots.resize(slot + 1, 0);
        }
        slots[slot] += 1;
    }

    /// Number of seconds in which a window over its limit ended.
    pub fn violations(&self) -> u64 {
        let exceeded = |slots: &Vec<u32>| {
            let mut seconds = std::collections::BTreeSet::new();
            for window in WINDOWS_S {
                let max = (self.limit * (window + BURST_S) as f64) as u64 + self.allowance as u64;
                let mut sum = 0u64;
                for (end, executed) in slots.iter().enumerate() {
                    sum += u64::from(*executed);
                    if end >= window * SLOTS_PER_SECOND {
                        sum -= u64::from(slots[end - window * SLOTS_PER_SECOND]);
                    }
                    if sum > max {
                        seconds.insert(end / SLOTS_PER_SECOND);
                    }
                }
            }
            seconds.len() as u64
        };
        self.executed.values().map(exceeded).sum()
    }
}
