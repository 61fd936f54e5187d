//! Files for installations of one's own: TOML, with this project's names and units, checked whole. All faults are found at
//! once, each with its line and place. A file becomes the same settings as the platform's own files.
//!
//! `fields` lists the keys, `reader` reads a text by them, `value` one value, `consistency` what has to go together;
//! [`layers`] lays a fleet's entries over a file.
#![warn(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod consistency;
mod fields;
mod fleet;
pub mod layers;
mod place;
mod reader;
mod value;

pub use fleet::FleetConfig;

use fernroute::Settings;
use fields::{field, LISTS};
use place::{entry_number, pattern};
use reader::Reader;
use std::fmt;
use std::net::SocketAddr;

/// Below this there is no room for clients and upstreams beside the program's own descriptors.
pub const MIN_DESCRIPTORS: usize = 64;
/// The number of descriptors where the file says none: what a process commonly gets.
pub const DEFAULT_DESCRIPTORS: usize = 1024;

/// The least memory that a balancer may be given.
pub const MIN_MEMORY_MB: usize = 16;
/// The memory that it takes where the file says none.
pub const DEFAULT_MEMORY_MB: usize = 192;
/// More memory than any machine has.
pub const MAX_MEMORY_MB: usize = 1 << 20;

/// A file without faults.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerConfig {
    /// The balancer's name.
    pub name: String,
    /// Where it serves clients.
    pub listen: SocketAddr,
    /// Where the discovery service is.
    pub discovery: SocketAddr,
    /// Where operators are answered, if anywhere.
    pub ops: Option<SocketAddr>,
    /// The seed of random numbers; each start has another where the file names none.
    pub seed: Option<u64>,
    /// The descriptors that the process may hold.
    pub descriptors: usize,
    /// The memory that the process may hold.
    pub memory_mb: usize,
    /// The upstreams that are known at a start.
    pub upstreams: Vec<Upstream>,
    /// The fleet that the balancer is a member of, if it is of one.
    pub fleet: Option<FleetConfig>,
    /// The settings of the decisions.
    pub settings: Settings,
}

/// An upstream that is known before discovery has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its id, by which discovery names it too.
    pub id: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// The zone that it is in.
    pub zone: String,
    /// The cell that it is in; empty for none.
    pub cell: String,
    /// The kind of machine that it runs on; empty for none.
    pub kind: String,
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// The line, counted from 1.
    pub line: usize,
    /// The place as people write it (`method[0].name`); empty for the whole file.
    pub path: String,
    /// What is wrong there.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let colon = if self.path.is_empty() { "" } else { ": " };
        write!(f, "line {}: {}{colon}{}", self.line, self.path, self.reason)
    }
}

/// Reads a file, or says all that is wrong with it in the order of its lines.
pub fn decode(text: &str) -> Result<BalancerConfig, Vec<ConfigError>> {
    Reader::read(text).map(|reader| plan(&reader))
}

/// The plan of a file without faults: what the file has to say is there, and can be read.
fn plan(reader: &Reader<'_>) -> BalancerConfig {
    let text = |place: &str| reader.value(place).map(|value| value.text.clone());
    let number = |place: &str| text(place).and_then(|text| text.parse().ok());
    BalancerConfig {
        name: text("name").unwrap_or_default(),
        listen: address(reader, "listen"),
        discovery: address(reader, "discovery"),
        ops: text("ops").and_then(|text| text.parse().ok()),
        seed: text("seed").and_then(|text| u64::from_str_radix(&text, 16).ok()),
        descriptors: number("descriptors").unwrap_or(DEFAULT_DESCRIPTORS),
        memory_mb: number("memory_mb").unwrap_or(DEFAULT_MEMORY_MB),
        fleet: fleet::fleet(&reader.values),
        upstreams: (0..reader.entry_lines("upstream").len()).map(|number| upstream(reader, number)).collect(),
        settings: settings(reader),
    }
}

fn address(reader: &Reader<'_>, place: &str) -> SocketAddr {
    let address = reader.value(place).and_then(|value| value.text.parse().ok());
    address.unwrap_or(SocketAddr::from(([0; 4], 0)))
}

fn upstream(reader: &Reader<'_>, number: usize) -> Upstream {
    let place = |key: &str| format!("upstream.{number}.{key}");
    let text = |key: &str| reader.value(&place(key)).map(|value| value.text.clone()).unwrap_or_default();
    Upstream {
        id: text("id"),
        address: address(reader, &place("address")),
        zone: text("zone"),
        cell: text("cell"),
        kind: text("kind"),
    }
}

fn settings(reader: &Reader<'_>) -> Settings {
    let mut settings = Settings::new();
    for (place, value) in &reader.values {
        let setting = field(&pattern(place)).map_or("", |field| field.setting);
        if !setting.is_empty() {
            let number = entry_number(place).unwrap_or("#");
            settings.insert(setting.replace('#', number), value.text.clone());
        }
    }
    for list in &LISTS {
        if let Some(name) = list.setting {
            settings.insert(format!("{name}.count"), reader.entry_lines(list.key).len().to_string());
        }
    }
    settings
}
