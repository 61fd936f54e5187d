//! The configuration of a balancer process: its name, addresses, limits, settings and last endpoint list. Read from the
//! platform's JSON file or from an operator's TOML file.

use crate::protocol::list::{self, Entry, List, State};
use crate::protocol::settings;
use fernroute::action_queue::ActionQueue;
use fernroute::{Balancer, InvalidSetting, Settings};
use fernroute_config::{BalancerConfig, ConfigError, FleetConfig, MAX_MEMORY_MB, MIN_DESCRIPTORS};
use fernroute_config::{DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB};
use serde::Deserialize;
use serde_json::Value;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// One layer of the fleet's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layer {
    /// The name of the layer's scope, for error messages.
    pub scope: String,
    /// TOML in the format of an operator's file.
    pub text: String,
}

/// Why a balancer's file can't be used.
#[derive(Debug, Error)]
pub enum InstanceConfigError {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The text of the file is invalid.
    #[error("{}: {source}", .path.display())]
    Decode {
        /// The file.
        path: PathBuf,
        /// Why the text is invalid.
        source: DecodeError,
    },
    /// `$NODE_OPS` is no valid address.
    #[error("$NODE_OPS: {value}: {source}")]
    OpsVariable {
        /// The value of the variable.
        value: String,
        /// Why it is no valid address.
        source: AddrParseError,
    },
    /// Operators and callers have the same address.
    #[error("ops and listen have the same address: {0}")]
    SameAddress(SocketAddr),
}

/// Why the text of a balancer's file is invalid.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The platform's file is not the expected JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// All errors in an operator's file.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Toml(Vec<ConfigError>),
    /// There are fewer descriptors than a process needs.
    #[error("limits.sockets is less than {MIN_DESCRIPTORS}")]
    Descriptors,
    /// The memory is out of range.
    #[error("limits.memory_mb is not between 1 and {MAX_MEMORY_MB}")]
    Memory,
    /// The last endpoint list can't be read.
    #[error("known is not a valid list of upstreams")]
    EndpointList,
    /// The seed is no valid hexadecimal number.
    #[error("seed: {0}")]
    Seed(#[source] ParseIntError),
}

/// A setting that the decisions reject; the message has its path in the platform's file.
#[derive(Debug, Error)]
#[error("settings: {} {}", .0.reason, fernroute_settings::path_for_setting(&.0.setting))]
pub struct SettingError(#[source] pub InvalidSetting);

/// For programs that report errors as text.
impl From<InstanceConfigError> for String {
    fn from(error: InstanceConfigError) -> Self {
        error.to_string()
    }
}

/// For programs that report errors as text.
impl From<SettingError> for String {
    fn from(error: SettingError) -> Self {
        error.to_string()
    }
}

/// The configuration of a balancer process.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// The balancer's name in logs and in its fleet.
    pub name: String,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address of discovery, which serves the endpoint list.
    pub discovery: SocketAddr,
    /// The address for operators, if there is one.
    pub ops: Option<SocketAddr>,
    /// The seed of the decisions' random numbers.
    pub seed: u64,
    /// How many file descriptors the balancer may have open.
    pub descriptors: usize,
    /// How much memory the balancer may use, in bytes.
    pub memory_bytes: usize,
    /// The last endpoint list of this balancer, if there is one.
    pub endpoint_list: Option<List>,
    /// Discovery's version of that list, from which only changes are requested; `None` requests the whole list.
    pub list_version: Option<u64>,
    /// The fleet that the balancer is a member of. The platform's files contain none.
    pub fleet: Option<FleetConfig>,
    /// The settings of the decisions.
    pub settings: Settings,
}

/// The platform's JSON file.
#[derive(Deserialize)]
struct RawJsonConfig {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    ops: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawLimits {
    #[serde(rename = "sockets")]
    descriptors: usize,
    #[serde(rename = "memory_mb")]
    memory_megabytes: f64,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits { descriptors: DEFAULT_DESCRIPTORS, memory_megabytes: DEFAULT_MEMORY_MB as f64 }
    }
}

impl RawLimits {
    fn check(&self) -> Result<(), DecodeError> {
        if self.descriptors < MIN_DESCRIPTORS {
            return Err(DecodeError::Descriptors);
        }
        if !(1.0..=MAX_MEMORY_MB as f64).contains(&self.memory_megabytes) {
            return Err(DecodeError::Memory);
        }
        Ok(())
    }
}

impl InstanceConfig {
    /// Reads a balancer's file: an operator's TOML file if its name ends in `.toml`, else the platform's JSON file.
    ///
    /// # Errors
    /// When the file can't be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, InstanceConfigError> {
        InstanceConfig::from_text(path, &InstanceConfig::read_text(path)?, &[])
    }

    /// Reads the text of a balancer's file.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn read_text(path: &Path) -> Result<String, InstanceConfigError> {
        std::fs::read_to_string(path)
            .map_err(|source| InstanceConfigError::Read { path: path.to_owned(), source })
    }

    /// Decodes the text of a balancer's file, with the layers of the fleet's configuration merged over it.
    ///
    /// # Errors
    /// When the text, a layer or `$NODE_OPS` is invalid.
    pub fn from_text(path: &Path, text: &str, layers: &[Layer]) -> Result<Self, InstanceConfigError> {
        let is_toml = path.extension().is_some_and(|extension| extension == "toml");
        let decoded = if is_toml {
            InstanceConfig::decode_toml_with_layers(text, layers)
        } else {
            InstanceConfig::decode_json(text)
        };
        let instance =
            decoded.map_err(|source| InstanceConfigError::Decode { path: path.to_owned(), source })?;
        instance.with_ops_variable(std::env::var("NODE_OPS").ok().as_deref())
    }

    /// Overrides the file's address for operators by that of `$NODE_OPS`, which tools set for a single start.
    fn with_ops_variable(mut self, value: Option<&str>) -> Result<Self, InstanceConfigError> {
        if let Some(value) = value.filter(|value| !value.is_empty()) {
            let address = value.parse();
            self.ops =
                Some(address.map_err(|source| InstanceConfigError::OpsVariable {
                    value: value.to_owned(),
                    source,
                })?);
        }
        if self.ops == Some(self.listen) && self.listen.port() != 0 {
            return Err(InstanceConfigError::SameAddress(self.listen));
        }
        Ok(self)
    }

    /// Decodes the text of an operator's file.
    ///
    /// # Errors
    /// All errors in the text.
    pub fn decode_toml(text: &str) -> Result<Self, DecodeError> {
        InstanceConfig::decode_toml_with_layers(text, &[])
    }

    /// Decodes the text of an operator's file with the layers of the fleet's configuration merged over it, the widest scope
    /// first.
    ///
    /// # Errors
    /// All errors in the text and the layers.
    pub fn decode_toml_with_layers(text: &str, layers: &[Layer]) -> Result<Self, DecodeError> {
        let config = if layers.is_empty() {
            fernroute_config::decode(text)
        } else {
            let layers: Vec<(&str, &str)> =
                layers.iter().map(|layer| (&*layer.scope, &*layer.text)).collect();
            fernroute_config::layers::load(text, &layers)
        };
        Ok(InstanceConfig::from_balancer_config(config.map_err(DecodeError::Toml)?))
    }

    fn from_balancer_config(config: BalancerConfig) -> Self {
        let entries: Vec<Entry> = config.upstreams.into_iter().map(ready_entry).collect();
        let endpoint_list = (!entries.is_empty()).then_some(List { version: 0, full: true, entries });
        InstanceConfig {
            name: config.name,
            listen: config.listen,
            discovery: config.discovery,
            ops: config.ops,
            seed: config.seed.unwrap_or_else(seed_from_clock),
            descriptors: config.descriptors,
            memory_bytes: config.memory_mb << 20,
            endpoint_list,
            list_version: None,
            fleet: config.fleet,
            settings: config.settings,
        }
    }

    /// Decodes the text of the platform's file.
    ///
    /// # Errors
    /// The first error in the text.
    pub fn decode_json(text: &str) -> Result<Self, DecodeError> {
        let raw: RawJsonConfig = serde_json::from_str(text)?;
        raw.limits.check()?;
        let endpoint_list = match raw.known {
            Value::Null => None,
            known => Some(list::decode(&known).ok_or(DecodeError::EndpointList)?),
        };
        Ok(InstanceConfig {
            name: raw.name,
            listen: raw.listen,
            discovery: raw.discovery,
            ops: raw.ops,
            seed: u64::from_str_radix(&raw.seed, 16).map_err(DecodeError::Seed)?,
            descriptors: raw.limits.descriptors,
            memory_bytes: (raw.limits.memory_megabytes * (1 << 20) as f64) as usize,
            list_version: endpoint_list.as_ref().map(|list| list.version),
            endpoint_list,
            fleet: None,
            settings: settings::decode(&raw.settings),
        })
    }

    /// The names of the values that differ in `new` and that a running balancer can't adopt. The seed is only used at a start,
    /// and the endpoint list in a file is older than the one that a running balancer has.
    pub fn changes_needing_restart(&self, new: &InstanceConfig) -> Vec<String> {
        let values = [
            (self.name != new.name, "name"),
            (self.listen != new.listen, "listen"),
            (self.ops != new.ops, "ops"),
            (self.fleet != new.fleet, "fleet"),
            (self.memory_bytes != new.memory_bytes, "limits.memory_mb"),
            (self.descriptors != new.descriptors, "limits.sockets"),
        ];
        let changed = values.into_iter().filter(|(differs, _)| *differs);
        let mut names: Vec<String> = changed.map(|(_, name)| name.to_owned()).collect();
        // These are fixed for an upstream's connections when it is first listed.
        for setting in ["limits.connect_time_out", "limits.keep_alive"] {
            if self.settings.get(setting) != new.settings.get(setting) {
                names.push(format!("settings.{}", fernroute_settings::path_for_setting(setting)));
            }
        }
        names
    }

    /// Checks that a balancer can start with these settings.
    ///
    /// # Errors
    /// The first setting that the decisions reject.
    pub fn check(&self) -> Result<(), SettingError> {
        let balancer = Balancer::new(ActionQueue::default(), 0, self.seed, &self.settings);
        balancer.map(drop).map_err(SettingError)
    }
}

fn ready_entry(upstream: fernroute_config::Upstream) -> Entry {
    Entry {
        id: upstream.id,
        state: State::Ready,
        address: Some(upstream.address),
        zone: upstream.zone,
        cell: upstream.cell,
        kind: upstream.kind,
        started_ms: 0,
    }
}

/// A different seed for each start.
fn seed_from_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}
