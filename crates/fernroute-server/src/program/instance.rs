//! What a balancer is started with: its name and addresses, its limits, its settings, the endpoint list it had last. Read
//! from the platform's JSON file or from an operator's TOML file.

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
    /// The name of the scope that it belongs to, for error messages.
    pub scope: String,
    /// Settings in the syntax of an operator's file.
    pub text: String,
}

/// A balancer's file can't be used.
#[derive(Debug, Error)]
pub enum InstanceConfigError {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: io::Error,
    },
    /// The file's text can't be used.
    #[error("{}: {source}", .path.display())]
    Decode {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: DecodeError,
    },
    /// The operators' address in the environment is none.
    #[error("$NODE_OPS: {value}: {source}")]
    OpsVariable {
        /// The variable's value.
        value: String,
        /// Why it is no address.
        source: AddrParseError,
    },
    /// Operators and callers can't share an address.
    #[error("ops and listen are both {0}")]
    SameAddress(SocketAddr),
}

/// A balancer's file does not have the expected content.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The platform's file is not the expected JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// All faults of an operator's file.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Faults(Vec<ConfigError>),
    /// Fewer descriptors than a process needs.
    #[error("limits.sockets is under {MIN_DESCRIPTORS}")]
    Descriptors,
    /// Memory out of range.
    #[error("limits.memory_mb is not between 1 and {MAX_MEMORY_MB}")]
    Memory,
    /// The endpoint list of before can't be read.
    #[error("known is not a list of upstreams")]
    EndpointList,
    /// The seed is no hexadecimal number.
    #[error("seed: {0}")]
    Seed(#[source] ParseIntError),
}

/// A setting that the decisions reject, by its path in the file.
#[derive(Debug, Error)]
#[error("settings: {} {}", .0.reason, fernroute_settings::path_for_setting(&.0.setting))]
pub struct SettingError(#[source] pub InvalidSetting);

/// For programs that report their errors as text.
impl From<InstanceConfigError> for String {
    fn from(error: InstanceConfigError) -> Self {
        error.to_string()
    }
}

/// For programs that report their errors as text.
impl From<SettingError> for String {
    fn from(error: SettingError) -> Self {
        error.to_string()
    }
}

/// What a balancer is started with.
#[derive(Clone, Debug)]
pub struct InstanceConfig {
    /// The name of the balancer, in logs and in its fleet.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where discovery serves the endpoint list.
    pub discovery: SocketAddr,
    /// Where operators connect, if anywhere.
    pub ops: Option<SocketAddr>,
    /// The seed of the decisions' random numbers.
    pub seed: u64,
    /// How many file descriptors the balancer may have open.
    pub descriptors: usize,
    /// How much memory it may use, in bytes.
    pub memory_bytes: usize,
    /// The endpoint list that this balancer had last, if it ever had one.
    pub endpoint_list: Option<List>,
    /// Discovery's version of that list, after which changes are enough; `None` asks for the whole list.
    pub list_version: Option<u64>,
    /// The fleet whose ledger divides the shared budgets. The platform's files name none.
    pub fleet: Option<FleetConfig>,
    /// The settings of the decisions.
    pub settings: Settings,
}

/// The platform's file as it is written.
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
    /// Reads a balancer's file; one that ends in `.toml` is an operator's.
    ///
    /// # Errors
    /// When the file can't be read, or not be used.
    pub fn read(path: &Path) -> Result<Self, InstanceConfigError> {
        InstanceConfig::from_text(path, &InstanceConfig::read_text(path)?, &[])
    }

    /// The text of a balancer's file.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn read_text(path: &Path) -> Result<String, InstanceConfigError> {
        std::fs::read_to_string(path)
            .map_err(|source| InstanceConfigError::Read { path: path.to_owned(), source })
    }

    /// Decodes the text of a balancer's file, with the layers of the fleet's configuration applied over it.
    ///
    /// # Errors
    /// When the text, a layer or the environment can't be used.
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

    /// An operators' address from the environment overrides the file's: a tool sets it for one start.
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
    /// With all faults of the text.
    pub fn decode_toml(text: &str) -> Result<Self, DecodeError> {
        InstanceConfig::decode_toml_with_layers(text, &[])
    }

    /// Decodes the text of an operator's file with the layers of the fleet's configuration over it, the widest scope first.
    ///
    /// # Errors
    /// With all faults of the text and the layers.
    pub fn decode_toml_with_layers(text: &str, layers: &[Layer]) -> Result<Self, DecodeError> {
        let config = if layers.is_empty() {
            fernroute_config::decode(text)
        } else {
            let layers: Vec<(&str, &str)> =
                layers.iter().map(|layer| (&*layer.scope, &*layer.text)).collect();
            fernroute_config::layers::load(text, &layers)
        };
        Ok(InstanceConfig::from_balancer_config(config.map_err(DecodeError::Faults)?))
    }

    fn from_balancer_config(config: BalancerConfig) -> Self {
        let entries: Vec<Entry> = config.upstreams.into_iter().map(ready_entry).collect();
        let known = (!entries.is_empty()).then_some(List { version: 0, full: true, entries });
        InstanceConfig {
            name: config.name,
            listen: config.listen,
            discovery: config.discovery,
            ops: config.ops,
            seed: config.seed.unwrap_or_else(seed_from_clock),
            descriptors: config.descriptors,
            memory_bytes: config.memory_mb << 20,
            endpoint_list: known,
            list_version: None,
            fleet: config.fleet,
            settings: config.settings,
        }
    }

    /// Decodes the text of the platform's file.
    ///
    /// # Errors
    /// With the first fault of the text.
    pub fn decode_json(text: &str) -> Result<Self, DecodeError> {
        let raw: RawJsonConfig = serde_json::from_str(text)?;
        raw.limits.check()?;
        let known = match raw.known {
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
            list_version: known.as_ref().map(|known| known.version),
            endpoint_list: known,
            fleet: None,
            settings: settings::decode(&raw.settings),
        })
    }

    /// The names of the values in `new` that differ and that a running balancer can't adopt. The seed counts at a start
    /// alone, and the list in a file is older than the one that a running balancer has.
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
        // An upstream's connections are made with these when it is first listed.
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
    /// With the first setting that the decisions reject.
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

/// Another one with each start.
fn seed_from_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64
}
