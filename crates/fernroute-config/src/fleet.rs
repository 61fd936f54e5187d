//! What a file says of the fleet that its balancer is a member of.

use crate::consistency::Conflict;
use crate::reader::Values;
use fernroute::Time;
use fernroute_fleet::configuration::{is_name, MAX_NAME_BYTES};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The fleet that the balancer is a member of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The cluster's name, the same at all coordinators and members.
    pub cluster: String,
    /// Where the coordinators are; the file's key is `stewards`.
    pub coordinators: Vec<SocketAddr>,
    /// How often heartbeats are sent; the file's key is `beat_ms`.
    pub heartbeat_interval: Time,
    /// What is divided beside tenants' rates, by the names that the ledger has for it.
    pub shared_budgets: Vec<&'static str>,
    /// The service whose configuration it follows, if it follows the fleet's.
    pub service: Option<String>,
    /// Where it caches that configuration; beside the file with its identity where none is named.
    pub cache_dir: Option<PathBuf>,
    /// How long a start waits for the coordinators' word of the configuration.
    pub startup_wait: Time,
}

/// Eight heartbeats to a lease of the default length.
const DEFAULT_HEARTBEAT_INTERVAL: Time = 2_500;
const HEARTBEAT_INTERVALS: RangeInclusive<Time> = 100..=100_000;

/// Some heartbeats and a fetch; a start has to be ready within ten seconds, whatever else it waits for.
const DEFAULT_START_WAIT: Time = 20_000;
const START_WAITS: RangeInclusive<Time> = 0..=50_000;

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

/// What is fine by itself and does not go together; `has` says whether the file has something at a place, usable or not.
pub(crate) fn conflicts(values: &Values, has: impl Fn(&str) -> bool) -> Vec<Conflict> {
    let Some(line) = KEYS.iter().find_map(|key| Some(values.get(*key)?.line)) else { return Vec::new() };
    let mut conflicts = Vec::new();
    for key in ["fleet.cluster", "fleet.stewards"] {
        if !has(key) {
            conflicts.push(Conflict::new(line, key, "is missing, where there is a fleet"));
        }
    }
    conflicts.extend(address_conflicts(values));
    conflicts.extend(out_of_range(values, "fleet.beat_ms", &HEARTBEAT_INTERVALS));
    conflicts.extend(out_of_range(values, "fleet.wait_ms", &START_WAITS));
    if has("fleet.service") {
        conflicts.extend(unscopable_names(values));
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
        conflicts.push(Conflict::new(value.line, "fleet.stewards", "names none"));
    }
    let repeated = addresses.iter().enumerate().find(|(n, address)| addresses[..*n].contains(address));
    if let Some((n, address)) = repeated {
        let place = format!("fleet.stewards.{n}");
        conflicts.push(Conflict::new(value.line, place, format!("{address} is there already")));
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
    let why = "is for a balancer that goes by the configuration of a service: fleet.service";
    let keys = ["fleet.folder", "fleet.wait_ms"].into_iter();
    keys.filter_map(|key| Some(Conflict::new(values.get(key)?.line, key, why))).collect()
}

/// No configuration could ever be entered for a name that no scope can have.
fn unscopable_names(values: &Values) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    for key in ["fleet.service", "place.zone", "name"] {
        let Some(value) = values.get(key).filter(|value| !is_name(&value.text)) else { continue };
        let why = format!(
            "no scope can name {:?}: it is longer than {MAX_NAME_BYTES}, or has a / in it",
            value.text
        );
        conflicts.push(Conflict::new(value.line, key, why));
    }
    conflicts
}

/// The fleet of a file without faults, if it names one.
pub(crate) fn fleet(values: &Values) -> Option<FleetConfig> {
    let text = |key: &str| values.get(key).map(|value| value.text.clone());
    let time = |key: &str, default: Time| text(key).and_then(|time| time.parse().ok()).unwrap_or(default);
    Some(FleetConfig {
        cluster: text("fleet.cluster")?,
        coordinators: text("fleet.stewards")?.split(',').filter_map(|address| address.parse().ok()).collect(),
        heartbeat_interval: time("fleet.beat_ms", DEFAULT_HEARTBEAT_INTERVAL),
        shared_budgets: divided_budgets(&text("fleet.divides").unwrap_or_default()),
        service: text("fleet.service"),
        cache_dir: text("fleet.folder").map(PathBuf::from),
        startup_wait: time("fleet.wait_ms", DEFAULT_START_WAIT),
    })
}

/// The ledger's names of the budgets that a file calls by these words.
fn divided_budgets(words: &str) -> Vec<&'static str> {
    let names = [("further", fernroute::RETRY_BUDGET), ("trials", fernroute::TRIAL_BUDGET)];
    let named = names.into_iter().filter(|(word, _)| words.split(',').any(|divided| divided == *word));
    named.map(|(_, name)| name).collect()
}
