//! Whether all balancers together ran no more of a tenant than its whole, as upstreams see it.

use std::collections::BTreeMap;
use std::time::Duration;

/// A part of a second.
const SLOT: Duration = Duration::from_millis(50);
const SLOTS_PER_SECOND: usize = 20;

/// Windows of one second and of ten.
const WINDOWS_S: [usize; 2] = [1, 10];

/// What may be saved up, in seconds of the whole.
const BURST_S: usize = 2;

#[derive(Clone, Debug, Default)]
pub struct LimitChecker {
    limit: f64,
    /// Some that may run beside it: each balancer may have begun a few.
    allowance: usize,
    /// How many ran in each part of a second since the start. One number for each part for as long as a run lasts.
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

    /// Seconds in which a window began that held more than may be.
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
