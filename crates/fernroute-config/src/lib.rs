//! The TOML configuration file of a balancer, for self-hosted installations. It has this project's names and units, and
//! yields the same settings as the platform's JSON files. All errors are reported together, each with its line and path.
//!
//! `fields` is the schema, `reader` reads a text against it, `value` decodes single values, `consistency` checks across keys;
//! [`layers`] merges the layers of a fleet's configuration over a file.
#![warn(missing_docs, clippy::unwrap_used, clippy::expect_used)]

mod consistency;
mod fields;
mod fleet;
pub mod layers;
mod path;
mod reader;
mod value;

pub use fleet::FleetConfig;

use fernroute::Settings;
use fields::{field, LISTS};
use path::{entry_index, pattern};
use reader::Reader;
use std::fmt;
use std::net::SocketAddr;

/// With fewer, the program's own descriptors leave no room for callers and upstreams.
pub const MIN_DESCRIPTORS: usize = 64;
/// The default number of descriptors: the common limit of a process.
pub const DEFAULT_DESCRIPTORS: usize = 1024;

/// The minimum memory of a balancer, in megabytes.
pub const MIN_MEMORY_MB: usize = 16;
/// The default memory of a balancer, in megabytes.
pub const DEFAULT_MEMORY_MB: usize = 192;
/// The maximum memory of a balancer, in megabytes: more than any machine has.
pub const MAX_MEMORY_MB: usize = 1 << 20;

/// The contents of a file without errors.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerConfig {
    /// The balancer's name.
    pub name: String,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address for operators, if there is one.
    pub ops: Option<SocketAddr>,
    /// The seed of random numbers; `None` stands for a new one at each start.
    pub seed: Option<u64>,
    /// How many file descriptors the process may have open.
    pub descriptors: usize,
    /// How much memory the process may use, in megabytes.
    pub memory_mb: usize,
    /// The upstreams to use until discovery has replied.
    pub upstreams: Vec<Upstream>,
    /// The fleet that the balancer is a member of, if any.
    pub fleet: Option<FleetConfig>,
    /// The settings of the decisions.
    pub settings: Settings,
}

/// An upstream that is known before discovery has replied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The same id as in discovery.
    pub id: String,
    /// The address on which it serves.
    pub address: SocketAddr,
    /// The zone; empty for none.
    pub zone: String,
    /// The cell; empty for none.
    pub cell: String,
    /// The kind of machine; empty for none.
    pub kind: String,
}

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// The line, counted from 1.
    pub line: usize,
    /// The path of the key (`method[0].name`); empty for the whole file.
    pub path: String,
    /// What is wrong with the value.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let colon = if self.path.is_empty() { "" } else { ": " };
        write!(f, "line {}: {}{colon}{}", self.line, self.path, self.reason)
    }
}

/// Decodes and validates the text of a file.
///
/// # Errors
/// All errors, in the order of their lines.
pub fn decode(text: &str) -> Result<BalancerConfig, Vec<ConfigError>> {
    Reader::read(text).map(|reader| balancer_config(&reader))
}

/// The contents of a file without errors: all required keys are there, and all values are valid.
fn balancer_config(reader: &Reader<'_>) -> BalancerConfig {
    let text = |path: &str| reader.value(path).map(|value| value.text.clone());
    let number = |path: &str| text(path).and_then(|text| text.parse().ok());
    BalancerConfig {
        name: text("name").unwrap_or_default(),
        listen: address(reader, "listen"),
        discovery: address(reader, "discovery"),
        ops: text("ops").and_then(|text| text.parse().ok()),
        seed: text("seed").and_then(|text| u64::from_str_radix(&text, 16).ok()),
        descriptors: number("descriptors").unwrap_or(DEFAULT_DESCRIPTORS),
        memory_mb: number("memory_mb").unwrap_or(DEFAULT_MEMORY_MB),
        fleet: fleet::fleet_config(&reader.values),
        upstreams: (0..reader.entry_lines("upstream").len()).map(|index| upstream(reader, index)).collect(),
        settings: settings(reader),
    }
}

fn address(reader: &Reader<'_>, path: &str) -> SocketAddr {
    let address = reader.value(path).and_then(|value| value.text.parse().ok());
    address.unwrap_or(SocketAddr::from(([0; 4], 0)))
}

fn upstream(reader: &Reader<'_>, index: usize) -> Upstream {
    let path = |key: &str| format!("upstream.{index}.{key}");
    let text = |key: &str| reader.value(&path(key)).map(|value| value.text.clone()).unwrap_or_default();
    Upstream {
        id: text("id"),
        address: address(reader, &path("address")),
        zone: text("zone"),
        cell: text("cell"),
        kind: text("kind"),
    }
}

fn settings(reader: &Reader<'_>) -> Settings {
    let mut settings = Settings::new();
    for (path, value) in &reader.values {
        let setting = field(&pattern(path)).map_or("", |field| field.setting);
        if !setting.is_empty() {
            let index = entry_index(path).unwrap_or("#");
            settings.insert(setting.replace('#', index), value.text.clone());
        }
    }
    for list in &LISTS {
        if let Some(name) = list.setting {
            settings.insert(format!("{name}.count"), reader.entry_lines(list.key).len().to_string());
        }
    }
    settings
}
