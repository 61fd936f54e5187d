//! Whether all balancers together ran no more of a tenant than its whole, as upstreams see it.

use std::collections::BTreeMap;
use std::time::Duration;

/// A part of a second.
const PART: Duration = Duration::from_millis(50);
const PARTS: usize = 20;

/// Windows of one second and of ten.
const WINDOWS: [usize; 2] = [1, 10];

/// What may be saved up, in seconds of the whole.
const SAVED: usize = 2;

#[derive(Clone, Debug, Default)]
pub struct Whole {
    whole: f64,
    /// Some that may run beside it: each balancer may have begun a few.
    beside: usize,
    /// How many ran in each part of a second since the start. One number for each part for as long as a run lasts.
    ran: BTreeMap<String, Vec<u32>>,
}

impl Whole {
    pub fn new(whole: f64, beside: usize) -> Self {
        Whole { whole, beside, ran: BTreeMap::new() }
    }

    pub fn run(&mut self, tenant: &str, at: Duration) {
        let part = (at.as_millis() / PART.as_millis()) as usize;
        if !self.ran.contains_key(tenant) {
            self.ran.insert(tenant.to_owned(), Vec::new());
        }
        let Some(parts) = self.ran.get_mut(tenant) else { return };
        if parts.len() <= part {
            parts.resize(part + 1, 0);
        }
        parts[part] += 1;
    }

    /// Seconds in which a window began that held more than may be.
    pub fn beyond(&self) -> u64 {
        let beyond = |parts: &Vec<u32>| {
            let mut seconds = std::collections::BTreeSet::new();
            for window in WINDOWS {
                let most = (self.whole * (window + SAVED) as f64) as u64 + self.beside as u64;
                let mut sum = 0u64;
                for (end, ran) in parts.iter().enumerate() {
                    sum += u64::from(*ran);
                    if end >= window * PARTS {
                        sum -= u64::from(parts[end - window * PARTS]);
                    }
                    if sum > most {
                        seconds.insert(end / PARTS);
                    }
                }
            }
            seconds.len() as u64
        };
        self.ran.values().map(beyond).sum()
    }
}
