//! The rule on cold upstreams: what all balancers together sent one, against what the settings allow it.

use crate::scenario::{seconds, Rules};
use fernroute::Time;
use std::collections::{BTreeSet, VecDeque};

/// The figures of the rule.
pub struct ColdRule {
    from: f64,
    within: f64,
    multiple: f64,
    window: Time,
}

impl ColdRule {
    pub fn new(r: &Rules) -> Self {
        ColdRule {
            from: r.cold_from,
            within: seconds(r.warm_within_s) as f64,
            multiple: r.cold_multiple,
            window: seconds(r.cold_window_s),
        }
    }

    fn warmth(&self, age: Time) -> f64 {
        (self.from + (1.0 - self.from) * age as f64 / self.within).min(1.0)
    }
}

/// More than this falls: what is allowed, and what the operators put down to chance.
pub fn fall_threshold(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// The window in which a cold upstream came nearest to its fall, or fell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdWindow {
    pub upstream: usize,
    pub at: Time,
    /// RPCs of mean work that the settings allow in that window.
    pub allowed: f64,
    /// What came: in RPCs of mean work, and in RPCs.
    pub work: f64,
    pub rpcs: usize,
    /// The part of the work that came from balancers which had been told of the start.
    pub informed_share: f64,
    /// By how many RPCs, whatever their work, any window up to now came beyond what is allowed in it; none is 0.
    pub excess: f64,
}

impl ColdWindow {
    /// One is the bound; more is a fall.
    pub fn load_ratio(&self) -> f64 {
        self.work / fall_threshold(self.allowed)
    }

    pub fn fell(&self) -> bool {
        self.load_ratio() > 1.0
    }

    /// Whether the fall counts against the balancers: over two thirds came from those that knew.
    pub fn is_violation(&self) -> bool {
        self.fell() && self.informed_share > 2.0 / 3.0
    }
}

struct Sent {
    at: Time,
    work: f64,
    told: bool,
}

/// One upstream since its last start.
pub struct ColdStart {
    started: Time,
    /// What it can do when warm, RPCs of mean work a second.
    rate: f64,
    cold: bool,
    /// What it was sent while it is cold; the last window of it.
    sends: VecDeque<Sent>,
    /// Which balancers have been told of this start.
    told: BTreeSet<usize>,
    pub worst: Option<ColdWindow>,
}

impl ColdStart {
    pub fn new(started: Time, rate: f64, cold: bool) -> Self {
        ColdStart { started, rate, cold, sends: VecDeque::new(), told: BTreeSet::new(), worst: None }
    }

    pub fn endpoint_ready(&mut self, balancer: usize) {
        if self.cold {
            self.told.insert(balancer);
        }
    }

    /// Takes one more; tells of its first fall, after which nothing is counted.
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
            (self.cold, self.sends, self.told) = (false, VecDeque::new(), BTreeSet::new());
            return None;
        }
        let begin = at.saturating_sub(rule.window);
        let middle = rule.warmth((begin.max(self.started) + at) / 2 - self.started);
        self.sends.push_back(Sent { at, work, told: self.told.contains(&balancer) });
        while self.sends.front().is_some_and(|sent| sent.at <= begin) {
            self.sends.pop_front();
        }
        let work: f64 = self.sends.iter().map(|sent| sent.work).sum();
        let told: f64 = self.sends.iter().filter(|sent| sent.told).map(|sent| sent.work).sum();
        let allowed = rule.multiple * self.rate * middle * rule.window as f64 / seconds(1.0) as f64;
        let before = self.worst.map_or(0.0, |worst| worst.excess);
        let beyond = before.max(self.sends.len() as f64 - allowed);
        let now = ColdWindow {
            upstream,
            at,
            allowed,
            work,
            rpcs: self.sends.len(),
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
