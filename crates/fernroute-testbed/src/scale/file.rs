//! The file of a scale run: TOML, checked whole; a file that will not do is told in one line, with its place.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// A file as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// How often balancers beat.
    #[serde(default = "beat")]
    pub beat_ms: u64,
    /// How many tenants' budgets the ledger has, and the size of each: RPCs a second over all balancers.
    #[serde(default = "one")]
    pub budgets: usize,
    #[serde(default = "whole")]
    pub whole: f64,
    #[serde(default = "floors")]
    pub floors: f64,
    /// Hollow balancers that share a process, at the most.
    #[serde(default = "ten")]
    pub per_process: usize,
    /// How many of all balancers are real, at full size; all others are hollow.
    pub real: usize,
    /// How often operators ask each balancer for its figures.
    #[serde(default = "ten_seconds")]
    pub operators_s: f64,
    /// After the start, until anything is measured; and how long it is measured.
    #[serde(default = "ten_seconds")]
    pub settle_s: f64,
    #[serde(default = "measure")]
    pub measure_s: f64,
    /// The zone of each steward.
    #[serde(rename = "stewards")]
    pub coordinators: Vec<String>,
    pub load: Load,
    pub region: Vec<Region>,
    pub service: Vec<Service>,
    #[serde(default)]
    pub fault: Vec<Fault>,
    #[serde(default)]
    pub changes: Option<Changes>,
}

fn beat() -> u64 {
    250
}
fn one() -> usize {
    1
}
fn ten() -> usize {
    10
}
fn whole() -> f64 {
    400.0
}
fn floors() -> f64 {
    0.2
}
fn ten_seconds() -> f64 {
    10.0
}
fn measure() -> f64 {
    20.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// RPCs a second at each real balancer, of no tenant.
    pub rate: f64,
    /// One real balancer and one upstream directly also get so many times that, for as long as is measured.
    #[serde(default)]
    pub times: Option<f64>,
    /// What tenants ask for, in parts of the whole of each budget; beyond 1 some is refused.
    #[serde(default)]
    pub tenants: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    pub name: String,
    pub zones: Vec<String>,
}

/// Services that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: String,
    /// How many there are: the first is called `NAME`, the others `NAME-1` and so on.
    #[serde(default = "one")]
    pub count: usize,
    /// Upstreams of each, and balancers, one beside each upstream.
    pub size: usize,
    /// Names of those whose upstreams its balancers choose among; `NAME` of some that are alike means the one of the same
    /// number, wrapped round.
    pub calls: Vec<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    LeaderKilled,
    #[serde(rename = "steward_lost")]
    CoordinatorLost,
    ZoneLost,
    TenthRestarted,
    #[serde(rename = "steward_restarted")]
    CoordinatorRestarted,
    RegionsCut,
    BalancerSilent,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Kind::LeaderKilled => "leader_killed",
            Kind::CoordinatorLost => "steward_lost",
            Kind::ZoneLost => "zone_lost",
            Kind::TenthRestarted => "tenth_restarted",
            Kind::CoordinatorRestarted => "steward_restarted",
            Kind::RegionsCut => "regions_cut",
            Kind::BalancerSilent => "balancer_silent",
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    /// How long it lasts, where it is one that lasts.
    #[serde(default = "three_seconds")]
    pub for_s: f64,
    /// The zone that is lost.
    #[serde(default)]
    pub zone: Option<String>,
}

fn three_seconds() -> f64 {
    3.0
}

/// Changes of configuration while it is measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    pub count: usize,
    pub every_s: f64,
}

/// A service of one's own size or more is made smaller by a factor; of smaller ones there are fewer.
const LARGE: usize = 20;

fn scaled(count: usize, factor: f64) -> usize {
    ((count as f64 * factor).round() as usize).max(1)
}

impl Plan {
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Plan::parse(&text).map_err(|why| format!("{}: {why}", path.display()))
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let plan: Plan = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            format!("line {line}: {}", e.message().replace('\n', " "))
        })?;
        let faults = plan.faults();
        if faults.is_empty() {
            return Ok(plan);
        }
        let told = faults.iter().map(|(place, why)| format!("line {}: {place}: {why}", line(text, place)));
        Err(told.collect::<Vec<String>>().join("; "))
    }

    fn faults(&self) -> Vec<(String, String)> {
        let mut faults: Vec<(String, String)> = Vec::new();
        let mut within = |place: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                faults.push((place.to_owned(), format!("{value} is not between {least} and {most}")));
            }
        };
        within("beat_ms", self.beat_ms as f64, 50.0, 10_000.0);
        within("budgets", self.budgets as f64, 1.0, 1_000.0);
        within("whole", self.whole, 0.001, 1e9);
        within("floors", self.floors, 0.0, 1.0);
        within("per_process", self.per_process as f64, 1.0, 200.0);
        within("operators_s", self.operators_s, 0.1, 3_600.0);
        within("settle_s", self.settle_s, 0.0, 3_600.0);
        within("measure_s", self.measure_s, 1.0, 3_600.0);
        within("load.rate", self.load.rate, 0.0, 100_000.0);
        within("load.times", self.load.times.unwrap_or(1.0), 1.0, 100.0);
        within("load.tenants", self.load.tenants, 0.0, 100.0);
        for (n, s) in self.service.iter().enumerate() {
            within(&format!("service[{n}].count"), s.count as f64, 1.0, 10_000.0);
            within(&format!("service[{n}].size"), s.size as f64, 1.0, 10_000.0);
        }
        for (n, f) in self.fault.iter().enumerate() {
            within(&format!("fault[{n}].for_s"), f.for_s, 0.0, 600.0);
        }
        if let Some(changes) = &self.changes {
            within("changes.count", changes.count as f64, 1.0, 100_000.0);
            within("changes.every_s", changes.every_s, 0.01, 600.0);
        }
        let mut ask =
            |holds: bool, place: String, why: String| faults.extend((!holds).then_some((place, why)));
        let all: usize = self.service.iter().map(|s| s.count * s.size).sum();
        ask(self.real <= all, "real".to_owned(), format!("{} of {all} balancers", self.real));
        let count = self.coordinators.len();
        ask(matches!(count, 1 | 3 | 5 | 7), "stewards".to_owned(), format!("{count}, and not 1, 3, 5 or 7"));
        let mut zones = BTreeSet::new();
        for (n, region) in self.region.iter().enumerate() {
            ask(!region.zones.is_empty(), format!("region[{n}].zones"), "none is named".to_owned());
            for zone in &region.zones {
                let plain = !zone.is_empty() && zone.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
                ask(plain, format!("region[{n}].zones"), format!("\"{zone}\" is no plain word"));
                ask(zones.insert(zone), format!("region[{n}].zones"), format!("{zone} is there twice"));
            }
        }
        for zone in &self.coordinators {
            ask(zones.contains(zone), "stewards".to_owned(), format!("no zone is called {zone}"));
        }
        let mut names = BTreeSet::new();
        for (n, s) in self.service.iter().enumerate() {
            let plain = !s.name.is_empty() && s.name.chars().all(|c| c.is_ascii_alphanumeric());
            ask(plain, format!("service[{n}].name"), format!("\"{}\" is no plain word", s.name));
            ask(names.insert(&s.name), format!("service[{n}].name"), format!("{} is there twice", s.name));
            ask(!s.calls.is_empty(), format!("service[{n}].calls"), "none is named".to_owned());
            for called in &s.calls {
                let known = self.service.iter().any(|other| other.name == *called);
                ask(known, format!("service[{n}].calls"), format!("no service is called {called}"));
            }
        }
        for (n, f) in self.fault.iter().enumerate() {
            let needs = f.kind == Kind::ZoneLost;
            let known = f.zone.as_ref().is_some_and(|zone| zones.contains(zone));
            ask(needs == f.zone.is_some(), format!("fault[{n}]"), "a zone belongs to zone_lost".to_owned());
            ask(!needs || known, format!("fault[{n}].zone"), "no such zone".to_owned());
            let apart = f.kind != Kind::RegionsCut || self.region.len() > 1;
            ask(apart, format!("fault[{n}].kind"), "there is one region".to_owned());
            let several = !matches!(f.kind, Kind::CoordinatorLost) || count > 1;
            ask(several, format!("fault[{n}].kind"), "there is one steward".to_owned());
            let silent = f.kind != Kind::BalancerSilent || self.real > 0;
            ask(silent, format!("fault[{n}].kind"), "there is no real balancer".to_owned());
        }
        faults
    }

    /// All of it so many times as large: services, budgets, real balancers. Stewards, zones and rates stay.
    pub fn scaled_by(mut self, factor: f64) -> Self {
        for service in &mut self.service {
            if service.size >= LARGE {
                service.size = scaled(service.size, factor);
            } else {
                service.count = scaled(service.count, factor);
            }
        }
        if self.real > 0 {
            self.real = scaled(self.real, factor);
        }
        self.whole *= factor;
        self
    }

    /// The region of each zone, by its number.
    pub fn regions(&self) -> BTreeMap<&str, usize> {
        let zones = self.region.iter().enumerate();
        zones.flat_map(|(n, region)| region.zones.iter().map(move |zone| (zone.as_str(), n))).collect()
    }
}

/// The line of a place such as `service[2].size`: that of its key, or of the table that it would stand in.
fn line(text: &str, place: &str) -> usize {
    let (table, key) = place.rsplit_once('.').unwrap_or(match place.ends_with(']') {
        true => (place, ""),
        false => ("", place),
    });
    let (name, nth) = match table.split_once('[') {
        Some((name, nth)) => (name, nth.trim_end_matches(']').parse().unwrap_or(0)),
        None => (table, 0),
    };
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    let is_header = |line: &str| {
        let inner = line.trim_start_matches('[').split(']').next().unwrap_or("").trim();
        line.starts_with('[') && inner == name
    };
    let begin = if name.is_empty() {
        0
    } else {
        lines.iter().enumerate().filter(|(_, l)| is_header(l)).nth(nth).map_or(0, |(n, _)| n)
    };
    let skip = usize::from(!name.is_empty());
    let of_table = lines[begin..].iter().skip(skip).take_while(|l| !l.starts_with('['));
    let is_key = |l: &&str| l.split('=').next().is_some_and(|k| k.trim() == key) && l.contains('=');
    of_table.into_iter().position(is_key).map_or(begin, |n| begin + skip + n) + 1
}
