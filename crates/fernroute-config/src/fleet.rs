//! The `[fleet]` table: the fleet that the balancer is a member of.

use crate::consistency::Conflict;
use crate::reader::Values;
use fernroute::Time;
use fernroute_fleet::configuration::{is_valid_name, MAX_NAME_BYTES};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The fleet that the balancer is a member of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The name of the cluster, the same for all coordinators and members.
    pub cluster: String,
    /// The addresses of the coordinators; the key in the file is `stewards`.
    pub coordinators: Vec<SocketAddr>,
    /// The interval between heartbeats; the key in the file is `beat_ms`.
    pub heartbeat_interval: Time,
    /// The ledger's names of the budgets that are shared in addition to the tenants' rates; the key in the file is
    /// `divides`.
    pub shared_budgets: Vec<&'static str>,
    /// The service whose configuration the balancer follows; `None` where it does not follow the fleet's configuration.
    pub service: Option<String>,
    /// The directory in which that configuration is cached; `None` stands for that of the identity file. The key in the
    /// file is `folder`.
    pub cache_dir: Option<PathBuf>,
    /// How long a start waits for the newest configuration from the coordinators; the key in the file is `wait_ms`.
    pub startup_wait: Time,
}

/// A lease of the default length lasts for eight heartbeats.
const DEFAULT_HEARTBEAT_INTERVAL: Time = 2_500;
const HEARTBEAT_INTERVALS: RangeInclusive<Time> = 100..=100_000;

/// Long enough for several heartbeats and a fetch, and short enough for a start that must be ready within ten seconds
/// although it waits for other things, too.
const DEFAULT_STARTUP_WAIT: Time = 20_000;
const STARTUP_WAITS: RangeInclusive<Time> = 0..=50_000;

/// Units of [`Time`] in a millisecond.
const TIME_PER_MILLISECOND: Time = 10;

const KEYS: [&str; 7] = [
    "fleet.cluster",
    "fleet.stewards",
    "fleet.beat_ms",
    "fleet.divides",
    "fleet.service",
    "fleet.folder",
    "fleet.wait_ms",
];

/// Values of the table that are valid by themselves but not together. `has` tells whether the file has a key, also one with
/// an invalid value.
pub(crate) fn conflicts(values: &Values, has: impl Fn(&str) -> bool) -> Vec<Conflict> {
    let Some(line) = KEYS.iter().find_map(|key| Some(values.get(*key)?.line)) else { return Vec::new() };
    let mut conflicts = Vec::new();
    for key in ["fleet.cluster", "fleet.stewards"] {
        if !has(key) {
            conflicts.push(Conflict::new(line, key, "is required in [fleet]"));
        }
    }
    conflicts.extend(address_conflicts(values));
    conflicts.extend(out_of_range(values, "fleet.beat_ms", &HEARTBEAT_INTERVALS));
    conflicts.extend(out_of_range(values, "fleet.wait_ms", &STARTUP_WAITS));
    if has("fleet.service") {
        conflicts.extend(invalid_scope_names(values));
    } else {
        conflicts.extend(keys_without_service(values));
    }
    conflicts
}

fn address_conflicts(values: &Values) -> Vec<Conflict> {
    let Some(value) = values.get("fleet.stewards") else { return Vec::new() };
    let addresses: Vec<&str> = value.text.split(',').filter(|address| !address.is_empty()).collect();
    let mut conflicts = Vec::new();
    if addresses.is_empty() {
        conflicts.push(Conflict::new(value.line, "fleet.stewards", "must not be empty"));
    }
    let repeated = addresses.iter().enumerate().find(|(n, address)| addresses[..*n].contains(address));
    if let Some((n, address)) = repeated {
        let path = format!("fleet.stewards.{n}");
        conflicts.push(Conflict::new(value.line, path, format!("{address} is listed twice")));
    }
    conflicts
}

fn out_of_range(values: &Values, key: &str, range: &RangeInclusive<Time>) -> Option<Conflict> {
    let value = values.get(key)?;
    let time = value.text.parse::<Time>();
    if time.as_ref().is_ok_and(|time| range.contains(time)) {
        return None;
    }
    let milliseconds = |time: Time| time as f64 / TIME_PER_MILLISECOND as f64;
    let shown = time.map_or_else(|_| value.text.clone(), |time| milliseconds(time).to_string());
    let (min, max) = (range.start() / TIME_PER_MILLISECOND, range.end() / TIME_PER_MILLISECOND);
    Some(Conflict::new(value.line, key, format!("{shown} is not between {min} and {max}")))
}

fn keys_without_service(values: &Values) -> Vec<Conflict> {
    let reason = "is only allowed together with fleet.service";
    let keys = ["fleet.folder", "fleet.wait_ms"].into_iter();
    keys.filter_map(|key| Some(Conflict::new(values.get(key)?.line, key, reason))).collect()
}

/// Names that no scope can contain: no configuration could be stored for them.
fn invalid_scope_names(values: &Values) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    for key in ["fleet.service", "place.zone", "name"] {
        let Some(value) = values.get(key).filter(|value| !is_valid_name(&value.text)) else { continue };
        let reason = format!(
            "{:?} is no valid scope name: it is longer than {MAX_NAME_BYTES} bytes, or contains a /",
            value.text
        );
        conflicts.push(Conflict::new(value.line, key, reason));
    }
    conflicts
}

/// The fleet in a file without errors; `None` where it has no `[fleet]` table.
pub(crate) fn fleet_config(values: &Values) -> Option<FleetConfig> {
    let text = |key: &str| values.get(key).map(|value| value.text.clone());
    let time = |key: &str, default: Time| text(key).and_then(|time| time.parse().ok()).unwrap_or(default);
    Some(FleetConfig {
        cluster: text("fleet.cluster")?,
        coordinators: text("fleet.stewards")?.split(',').filter_map(|address| address.parse().ok()).collect(),
        heartbeat_interval: time("fleet.beat_ms", DEFAULT_HEARTBEAT_INTERVAL),
        shared_budgets: shared_budgets(&text("fleet.divides").unwrap_or_default()),
        service: text("fleet.service"),
        cache_dir: text("fleet.folder").map(PathBuf::from),
        startup_wait: time("fleet.wait_ms", DEFAULT_STARTUP_WAIT),
    })
}

/// The ledger's names of the budgets with these names in the file, which are separated by commas.
fn shared_budgets(words: &str) -> Vec<&'static str> {
    let names = [("further", fernroute::RETRY_BUDGET), ("trials", fernroute::TRIAL_BUDGET)];
    let listed = names.into_iter().filter(|(word, _)| words.split(',').any(|listed| listed == *word));
    listed.map(|(_, name)| name).collect()
}
