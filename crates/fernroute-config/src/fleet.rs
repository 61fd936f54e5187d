//! What a file says of the fleet that its balancer is of.

use crate::Values;
use fernroute::Time;
use fernroute_fleet::configuration::{is_name, MAX_NAME_BYTES};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The fleet that the balancer is of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    pub cluster: String,
    pub stewards: Vec<SocketAddr>,
    /// How often they are asked.
    pub beat: Time,
    /// What is divided beside tenants' shares, by the names that the ledger has for it.
    pub divides: Vec<&'static str>,
    /// The service whose configuration it goes by, if it goes by the fleet's.
    pub service: Option<String>,
    /// Where it keeps that; beside the file that says who it is where none is named.
    pub folder: Option<PathBuf>,
    /// How long a start waits for the stewards' word of it at the most.
    pub wait: Time,
}

/// Six to a share of the usual length.
const USUAL_BEAT: Time = 2_500;

/// Some beats and a fetch; a start is ready within ten seconds, whatever else it waits for.
const USUAL_WAIT: Time = 20_000;
const LONGEST_WAIT: Time = 50_000;

const KEYS: [&str; 7] = [
    "fleet.cluster",
    "fleet.stewards",
    "fleet.beat_ms",
    "fleet.divides",
    "fleet.service",
    "fleet.folder",
    "fleet.wait_ms",
];

/// What is fine by itself and does not go together: line, place, why.
pub(crate) fn agree(values: &Values, has: impl Fn(&str) -> bool) -> Vec<(usize, String, String)> {
    let of = |place: &str| values.get(place).cloned();
    let mut found = Vec::new();
    let mut note = |line: usize, place: &str, why: String| found.push((line, place.to_owned(), why));
    let Some(line) = KEYS.iter().find_map(|place| Some(of(place)?.1)) else { return found };
    for needed in ["fleet.cluster", "fleet.stewards"] {
        if !has(needed) {
            note(line, needed, "is missing, where there is a fleet".to_owned());
        }
    }
    let (all, line) = of("fleet.stewards").unwrap_or_default();
    let all: Vec<&str> = all.split(',').filter(|at| !at.is_empty()).collect();
    if values.contains_key("fleet.stewards") && all.is_empty() {
        note(line, "fleet.stewards", "names none".to_owned());
    }
    if let Some((n, at)) = all.iter().enumerate().find(|(n, at)| all[..*n].contains(at)) {
        note(line, &format!("fleet.stewards.{n}"), format!("{at} is there already"));
    }
    for (place, least, most) in [("fleet.beat_ms", 100, 100_000), ("fleet.wait_ms", 0, LONGEST_WAIT)] {
        let Some((text, line)) = of(place) else { continue };
        match text.parse::<Time>() {
            Ok(time) if (least..=most).contains(&time) => {}
            time => {
                let told = time.map_or(text, |time| (time as f64 / 10.0).to_string());
                note(line, place, format!("{told} is not between {} and {}", least / 10, most / 10));
            }
        }
    }
    if !has("fleet.service") {
        for place in ["fleet.folder", "fleet.wait_ms"] {
            let why = "is for a balancer that goes by the configuration of a service: fleet.service";
            of(place).into_iter().for_each(|(_, line)| note(line, place, why.to_owned()));
        }
        return found;
    }
    // What a scope can't name no entry could ever concern.
    for place in ["fleet.service", "place.zone", "name"] {
        if let Some((text, line)) = of(place).filter(|(text, _)| !is_name(text)) {
            note(
                line,
                place,
                format!("no scope can name {text:?}: it is longer than {MAX_NAME_BYTES}, or has a / in it"),
            );
        }
    }
    found
}

pub(crate) fn plan(values: &Values) -> Option<Fleet> {
    let text = |place: &str| values.get(place).map(|(text, _)| text.clone());
    let time = |place: &str, usual| text(place).and_then(|time| time.parse().ok()).unwrap_or(usual);
    let (cluster, stewards) = text("fleet.cluster").zip(text("fleet.stewards"))?;
    let divides = text("fleet.divides").unwrap_or_default();
    Some(Fleet {
        cluster,
        stewards: stewards.split(',').filter_map(|at| at.parse().ok()).collect(),
        divides: [("further", fernroute::RETRY_BUDGET), ("trials", fernroute::TRIAL_BUDGET)]
            .into_iter()
            .filter(|(word, _)| divides.split(',').any(|divided| divided == *word))
            .map(|(_, name)| name)
            .collect(),
        beat: time("fleet.beat_ms", USUAL_BEAT),
        service: text("fleet.service"),
        folder: text("fleet.folder").map(PathBuf::from),
        wait: time("fleet.wait_ms", USUAL_WAIT),
    })
}
