//! The rule on cold upstreams: compares what all balancers together sent to one with what the settings allow.

use crate::scenario::{seconds, Rules};
use fernroute::Time;
use std::collections::{BTreeSet, VecDeque};

/// Parameters of the rule.
pub struct ColdRule {
    cold_from: f64,
    warm_within: f64,
    multiple: f64,
    window: Time,
}

impl ColdRule {
    pub fn new(r: &Rules) -> Self {
        ColdRule {
            cold_from: r.cold_from,
            warm_within: seconds(r.warm_within_s) as f64,
            multiple: r.cold_multiple,
            window: seconds(r.cold_window_s),
        }
    }

    fn warmth(&self, age: Time) -> f64 {
        (self.cold_from + (1.0 - self.cold_from) * age as f64 / self.warm_within).min(1.0)
    }
}

/// The overload threshold: the allowed work plus the operators' margin for chance (two standard deviations and two RPCs).
pub fn fall_threshold(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// The window in which a cold upstream came closest to the overload threshold, or passed it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdWindow {
    pub upstream: usize,
    pub at: Time,
    /// Work that the settings allow in that window, in RPCs of mean work.
    pub allowed: f64,
    /// Work received, in RPCs of mean work; `rpcs` is the number of RPCs.
    pub work: f64,
    pub rpcs: usize,
    /// Share of the work that came from balancers that had been told of the start.
    pub informed_share: f64,
    /// The largest excess of RPCs, whatever their work, over the allowed work in any window so far; at least 0.
    pub excess: f64,
}

impl ColdWindow {
    /// Work relative to the overload threshold: above 1 the upstream fails.
    pub fn load_ratio(&self) -> f64 {
        self.work / fall_threshold(self.allowed)
    }

    pub fn fell(&self) -> bool {
        self.load_ratio() > 1.0
    }

    /// Whether the overload counts as a violation: over two thirds of the work came from balancers told of the start.
    pub fn is_violation(&self) -> bool {
        self.fell() && self.informed_share > 2.0 / 3.0
    }
}

struct AttemptRecord {
    at: Time,
    work: f64,
    told: bool,
}

/// An upstream since its last start.
pub struct ColdStart {
    started: Time,
    /// Capacity when warm, in RPCs of mean work per second.
    rate: f64,
    cold: bool,
    /// What it was sent in the last window, while cold.
    attempts: VecDeque<AttemptRecord>,
    /// Balancers that have been told of this start.
    told: BTreeSet<usize>,
    pub worst: Option<ColdWindow>,
}

impl ColdStart {
    pub fn new(started: Time, rate: f64, cold: bool) -> Self {
        ColdStart { started, rate, cold, attempts: VecDeque::new(), told: BTreeSet::new(), worst: None }
    }

    pub fn endpoint_ready(&mut self, balancer: usize) {
        if self.cold {
            self.told.insert(balancer);
        }
    }

    /// Records an attempt. Returns the window of the first overload; nothing is recorded after it.
    pub fn sent(
        &mut self,
        rule: &ColdRule,
        at: Time,
        upstream: usize,
        balancer: usize,
        work: f64,
    ) -> Option<ColdWindow> {
        if !self.cold || self.worst.is_some_and(|worst| worst.fell()) {
            return None;
        }
        if rule.warmth(at - self.started) >= 1.0 {
            (self.cold, self.attempts, self.told) = (false, VecDeque::new(), BTreeSet::new());
            return None;
        }
        let begin = at.saturating_sub(rule.window);
        let middle = rule.warmth((begin.max(self.started) + at) / 2 - self.started);
        self.attempts.push_back(AttemptRecord { at, work, told: self.told.contains(&balancer) });
        while self.attempts.front().is_some_and(|sent| sent.at <= begin) {
            self.attempts.pop_front();
        }
        let work: f64 = self.attempts.iter().map(|sent| sent.work).sum();
        let told: f64 = self.attempts.iter().filter(|sent| sent.told).map(|sent| sent.work).sum();
        let allowed = rule.multiple * self.rate * middle * rule.window as f64 / seconds(1.0) as f64;
        let before = self.worst.map_or(0.0, |worst| worst.excess);
        let beyond = before.max(self.attempts.len() as f64 - allowed);
        let now = ColdWindow {
            upstream,
            at,
            allowed,
            work,
            rpcs: self.attempts.len(),
            informed_share: told / work.max(f64::MIN_POSITIVE),
            excess: beyond,
        };
        self.worst.iter_mut().for_each(|worst| worst.excess = beyond);
        if self.worst.is_none_or(|worst| now.load_ratio() > worst.load_ratio()) {
            self.worst = Some(now);
        }
        Some(now).filter(ColdWindow::fell)
    }
}
