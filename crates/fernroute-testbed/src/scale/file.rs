//! The plan file of a scale run: TOML, checked completely. An invalid file gives a one-line error with
//! the position.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Contents of a plan file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Heartbeat interval of balancers.
    #[serde(default = "beat")]
    pub beat_ms: u64,
    /// Number of tenant budgets, and the limit of each in RPCs per second over all balancers.
    #[serde(default = "one")]
    pub budgets: usize,
    #[serde(default = "whole")]
    pub whole: f64,
    #[serde(default = "floors")]
    pub floors: f64,
    /// Most hollow balancers in one process.
    #[serde(default = "ten")]
    pub per_process: usize,
    /// Number of real balancers at full size; all others are hollow.
    pub real: usize,
    /// Interval at which each balancer's metrics are polled.
    #[serde(default = "ten_seconds")]
    pub operators_s: f64,
    /// Time from the start until measuring begins, and the duration of measuring.
    #[serde(default = "ten_seconds")]
    pub settle_s: f64,
    #[serde(default = "measure")]
    pub measure_s: f64,
    /// The zone of each coordinator.
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
    /// RPCs per second at each real balancer, without a tenant.
    pub rate: f64,
    /// Rate multiplier for one real balancer and one direct upstream, for another measuring period.
    #[serde(default)]
    pub times: Option<f64>,
    /// Rate of each tenant as a multiple of its limit; above 1 some RPCs are rejected.
    #[serde(default)]
    pub tenants: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    pub name: String,
    pub zones: Vec<String>,
}

/// A group of identical services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub name: String,
    /// Number of services: the first is called `NAME`, the others `NAME-1` and so on.
    #[serde(default = "one")]
    pub count: usize,
    /// Upstreams of each service, and its balancers, one beside each upstream.
    pub size: usize,
    /// Names of the groups whose upstreams its balancers use. Service n calls service n of the group,
    /// modulo the size of the group.
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
    /// Duration of a lasting fault.
    #[serde(default = "three_seconds")]
    pub for_s: f64,
    /// The zone to lose.
    #[serde(default)]
    pub zone: Option<String>,
}

fn three_seconds() -> f64 {
    3.0
}

/// Configuration changes during the run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    pub count: usize,
    pub every_s: f64,
}

/// From this size a service is scaled in size; of smaller services there are fewer.
const MIN_SCALED_SIZE: usize = 20;

fn scaled(count: usize, factor: f64) -> usize {
    ((count as f64 * factor).round() as usize).max(1)
}

impl Plan {
    pub fn read(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Plan::parse(&text).map_err(|reason| format!("{}: {reason}", path.display()))
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let plan: Plan = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            format!("line {line}: {}", e.message().replace('\n', " "))
        })?;
        let problems = plan.problems();
        if problems.is_empty() {
            return Ok(plan);
        }
        let messages = problems
            .iter()
            .map(|(field, reason)| format!("line {}: {field}: {reason}", line_of(text, field)));
        Err(messages.collect::<Vec<String>>().join("; "))
    }

    fn problems(&self) -> Vec<(String, String)> {
        let mut problems: Vec<(String, String)> = Vec::new();
        let mut check_range = |field: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                problems.push((field.to_owned(), format!("{value} is not between {least} and {most}")));
            }
        };
        check_range("beat_ms", self.beat_ms as f64, 50.0, 10_000.0);
        check_range("budgets", self.budgets as f64, 1.0, 1_000.0);
        check_range("whole", self.whole, 0.001, 1e9);
        check_range("floors", self.floors, 0.0, 1.0);
        check_range("per_process", self.per_process as f64, 1.0, 200.0);
        check_range("operators_s", self.operators_s, 0.1, 3_600.0);
        check_range("settle_s", self.settle_s, 0.0, 3_600.0);
        check_range("measure_s", self.measure_s, 1.0, 3_600.0);
        check_range("load.rate", self.load.rate, 0.0, 100_000.0);
        check_range("load.times", self.load.times.unwrap_or(1.0), 1.0, 100.0);
        check_range("load.tenants", self.load.tenants, 0.0, 100.0);
        for (n, s) in self.service.iter().enumerate() {
            check_range(&format!("service[{n}].count"), s.count as f64, 1.0, 10_000.0);
            check_range(&format!("service[{n}].size"), s.size as f64, 1.0, 10_000.0);
        }
        for (n, f) in self.fault.iter().enumerate() {
            check_range(&format!("fault[{n}].for_s"), f.for_s, 0.0, 600.0);
        }
        if let Some(changes) = &self.changes {
            check_range("changes.count", changes.count as f64, 1.0, 100_000.0);
            check_range("changes.every_s", changes.every_s, 0.01, 600.0);
        }
        let mut check =
            |holds: bool, field: String, reason: String| problems.extend((!holds).then_some((field, reason)));
        let all: usize = self.service.iter().map(|s| s.count * s.size).sum();
        check(self.real <= all, "real".to_owned(), format!("{} of {all} balancers", self.real));
        let count = self.coordinators.len();
        check(
            matches!(count, 1 | 3 | 5 | 7),
            "stewards".to_owned(),
            format!("{count}, and not 1, 3, 5 or 7"),
        );
        let mut zones = BTreeSet::new();
        for (n, region) in self.region.iter().enumerate() {
            check(!region.zones.is_empty(), format!("region[{n}].zones"), "must not be empty".to_owned());
            for zone in &region.zones {
                let valid = !zone.is_empty() && zone.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
                check(
                    valid,
                    format!("region[{n}].zones"),
                    format!("\"{zone}\" may only have ASCII letters, digits and hyphens"),
                );
                check(zones.insert(zone), format!("region[{n}].zones"), format!("{zone} is listed twice"));
            }
        }
        for zone in &self.coordinators {
            check(zones.contains(zone), "stewards".to_owned(), format!("unknown zone {zone}"));
        }
        let mut names = BTreeSet::new();
        for (n, s) in self.service.iter().enumerate() {
            let valid = !s.name.is_empty() && s.name.chars().all(|c| c.is_ascii_alphanumeric());
            check(
                valid,
                format!("service[{n}].name"),
                format!("\"{}\" may only have ASCII letters and digits", s.name),
            );
            check(names.insert(&s.name), format!("service[{n}].name"), format!("{} is listed twice", s.name));
            check(!s.calls.is_empty(), format!("service[{n}].calls"), "must not be empty".to_owned());
            for called in &s.calls {
                let known = self.service.iter().any(|other| other.name == *called);
                check(known, format!("service[{n}].calls"), format!("unknown service {called}"));
            }
        }
        for (n, f) in self.fault.iter().enumerate() {
            let needs = f.kind == Kind::ZoneLost;
            let known = f.zone.as_ref().is_some_and(|zone| zones.contains(zone));
            check(
                needs == f.zone.is_some(),
                format!("fault[{n}]"),
                "a zone is required for zone_lost, and only there".to_owned(),
            );
            check(!needs || known, format!("fault[{n}].zone"), "unknown zone".to_owned());
            let several_regions = f.kind != Kind::RegionsCut || self.region.len() > 1;
            check(several_regions, format!("fault[{n}].kind"), "there is only one region".to_owned());
            let enough = !matches!(f.kind, Kind::CoordinatorLost) || count > 1;
            check(enough, format!("fault[{n}].kind"), "there is only one coordinator".to_owned());
            let has_real = f.kind != Kind::BalancerSilent || self.real > 0;
            check(has_real, format!("fault[{n}].kind"), "there is no real balancer".to_owned());
        }
        problems
    }

    /// Scales services, limits and the number of real balancers. Coordinators, zones and rates stay.
    pub fn scaled_by(mut self, factor: f64) -> Self {
        for service in &mut self.service {
            if service.size >= MIN_SCALED_SIZE {
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

    /// Region number of each zone.
    pub fn regions(&self) -> BTreeMap<&str, usize> {
        let zones = self.region.iter().enumerate();
        zones.flat_map(|(n, region)| region.zones.iter().map(move |zone| (zone.as_str(), n))).collect()
    }
}

/// Line of a field such as `service[2].size`, or of the table that should contain it.
fn line_of(text: &str, field: &str) -> usize {
    let (table, key) = field.rsplit_once('.').unwrap_or(match field.ends_with(']') {
        true => (field, ""),
        false => ("", field),
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
    let start = if name.is_empty() {
        0
    } else {
        lines.iter().enumerate().filter(|(_, l)| is_header(l)).nth(nth).map_or(0, |(n, _)| n)
    };
    let skip = usize::from(!name.is_empty());
    let of_table = lines[start..].iter().skip(skip).take_while(|l| !l.starts_with('['));
    let is_key = |l: &&str| l.split('=').next().is_some_and(|k| k.trim() == key) && l.contains('=');
    of_table.into_iter().position(is_key).map_or(start, |n| start + skip + n) + 1
}
