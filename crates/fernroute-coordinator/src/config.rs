//! A coordinator's configuration file: TOML in, [`CoordinatorConfig`] out. The file is validated as a whole;
//! all faults of it are reported together, in one line.

use fernroute::Time;
use fernroute_fleet::configuration::is_valid_name;
use fernroute_fleet::duties::MAX_DUTIES;
use fernroute_fleet::lease::Lease;
use fernroute_fleet::ledger::Budget;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const TICKS_PER_MS: f64 = 10.0;
const TICKS_PER_SECOND: f64 = 10_000.0;
const MS_PER_SECOND: f64 = 1000.0;

const MAX_MEMBERS: usize = 10_000;
const MIN_LEASE_MS: f64 = 300.0;
const MAX_LEASE_MS: f64 = 60_000.0;
const MIN_HEARTBEAT_MS: f64 = 10.0;
const MAX_HEARTBEAT_MS: f64 = 10_000.0;
const MIN_HEARTBEATS_PER_GRANT_LEASE: f64 = 3.0;
const MIN_HEARTBEATS_PER_DUTY_LEASE: f64 = 4.0;
const MAX_GUARANTEE_LEASE_S: f64 = 86_400.0;
const MAX_DRIFT_PPM: u32 = 100_000;
const MIN_BUDGET_PER_S: f64 = 0.001;
const MAX_BUDGET_PER_S: f64 = 1e9;

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file's text is no valid configuration.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with its text.
        source: InvalidConfig,
    },
}

/// Why a text is no valid configuration.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    /// It is not valid TOML, a key is unknown, or a value has another type.
    #[error("line {line}: {}", source.message().replace('\n', " "))]
    Syntax {
        /// The line, counted from 1; 0 where the parser gives no position.
        line: usize,
        /// The parser's error.
        source: toml::de::Error,
    },
    /// Values that contradict each other or are out of range.
    #[error("{}", joined(.0))]
    Values(Vec<ConfigFault>),
}

/// One value of the file that is out of range or contradicts another.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct ConfigFault {
    /// The key as the file writes it, with the index of its table: `budget[0].whole`.
    pub key: String,
    /// What is wrong with its value.
    pub problem: String,
}

fn joined(faults: &[ConfigFault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// The file as it is written: its keys, and what the parser expects, are the operators' interface.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    cluster: String,
    name: String,
    folder: PathBuf,
    #[serde(default = "default_members", rename = "members")]
    max_members: usize,
    #[serde(default = "default_grant_lease_ms", rename = "shares_ms")]
    grant_lease_ms: f64,
    /// How long a holder may act on a duty after its last heartbeat; the grant lease where it is absent.
    #[serde(rename = "duties_ms")]
    duty_lease_ms: Option<f64>,
    /// The longest heartbeat interval of any balancer.
    #[serde(default = "default_heartbeat_ms", rename = "beat_ms")]
    heartbeat_ms: f64,
    #[serde(default = "default_guarantee_lease_s", rename = "floors_s")]
    guarantee_lease_s: f64,
    #[serde(default = "default_drift_ppm")]
    drift_ppm: u32,
    #[serde(rename = "steward")]
    coordinators: Vec<CoordinatorAddress>,
    #[serde(default, rename = "budget")]
    budgets: Vec<RawBudget>,
    #[serde(default, rename = "duty")]
    duties: Vec<RawDuty>,
}

/// A duty: work that one balancer of the fleet does at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a [[duty]] table")]
struct RawDuty {
    name: String,
}

/// A budget that the fleet shares.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a [[budget]] table")]
struct RawBudget {
    name: String,
    /// Units per second over the fleet.
    #[serde(rename = "whole")]
    limit_per_s: f64,
    /// The fraction of the limit that is guaranteed to all members together.
    #[serde(default = "default_guaranteed_fraction", rename = "floors")]
    guaranteed_fraction: f64,
}

fn default_members() -> usize {
    1000
}

/// Eight heartbeats of the default interval: some may be lost, and there is time to elect a leader.
fn default_grant_lease_ms() -> f64 {
    2000.0
}

fn default_heartbeat_ms() -> f64 {
    250.0
}

fn default_guarantee_lease_s() -> f64 {
    60.0
}

/// Machine clocks drift by some tens of ppm; a clock over this bound is broken.
fn default_drift_ppm() -> u32 {
    1000
}

fn default_guaranteed_fraction() -> f64 {
    0.2
}

/// Name and address of one coordinator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "a [[steward]] table")]
pub struct CoordinatorAddress {
    /// Its name, unique within the cluster.
    pub name: String,
    /// The address that members, operators and the other coordinators reach it at.
    pub address: SocketAddr,
}

/// A validated configuration of one coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// The cluster's name.
    pub cluster: String,
    /// This coordinator's name.
    pub name: String,
    /// This coordinator's address.
    pub address: SocketAddr,
    /// The folder of its log, votes and snapshots.
    pub folder: PathBuf,
    /// The largest number of members that the fleet may have.
    pub max_members: usize,
    /// The lease of what is granted to a member beyond its guarantee.
    pub grant_lease: Lease,
    /// The lease of a member's guarantee.
    pub guarantee_lease: Lease,
    /// All coordinators of the cluster, this one included, in the file's order.
    pub coordinators: Vec<CoordinatorAddress>,
    /// The budgets, by name.
    pub budgets: BTreeMap<String, Budget>,
    /// The names of the duties.
    pub duties: BTreeSet<String>,
    /// The lease of a duty.
    pub duty_lease: Lease,
}

impl CoordinatorConfig {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// The file cannot be read, or [`CoordinatorConfig::decode`] rejects its text.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
        CoordinatorConfig::decode(&text)
            .map_err(|source| ConfigError::Invalid { path: path.to_owned(), source })
    }

    /// Parses and validates a file's text.
    ///
    /// # Errors
    /// The first syntax error, or all values that are out of range.
    pub fn decode(text: &str) -> Result<Self, InvalidConfig> {
        let raw: RawConfig = toml::from_str(text).map_err(|source| {
            let line = source.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            InvalidConfig::Syntax { line, source }
        })?;
        let faults = raw.faults();
        if !faults.is_empty() {
            return Err(InvalidConfig::Values(faults));
        }
        let Some(address) = raw.own_address() else {
            let problem = "no [[steward]] has this name".to_owned();
            return Err(InvalidConfig::Values(vec![ConfigFault { key: "name".to_owned(), problem }]));
        };
        Ok(raw.into_config(address))
    }
}

impl RawConfig {
    fn own_address(&self) -> Option<SocketAddr> {
        let own = self.coordinators.iter().find(|coordinator| coordinator.name == self.name);
        own.map(|coordinator| coordinator.address)
    }

    fn into_config(self, address: SocketAddr) -> CoordinatorConfig {
        let lease = |ticks: f64| Lease { duration: ticks.round() as Time, drift_ppm: self.drift_ppm };
        let duty_lease_ms = self.duty_lease_ms.unwrap_or(self.grant_lease_ms);
        let budget = |raw: RawBudget| {
            let budget = Budget::new(raw.limit_per_s, raw.guaranteed_fraction, self.max_members);
            (raw.name, budget)
        };
        CoordinatorConfig {
            address,
            grant_lease: lease(self.grant_lease_ms * TICKS_PER_MS),
            guarantee_lease: lease(self.guarantee_lease_s * TICKS_PER_SECOND),
            duty_lease: lease(duty_lease_ms * TICKS_PER_MS),
            budgets: self.budgets.into_iter().map(budget).collect(),
            duties: self.duties.into_iter().map(|duty| duty.name).collect(),
            cluster: self.cluster,
            name: self.name,
            folder: self.folder,
            max_members: self.max_members,
            coordinators: self.coordinators,
        }
    }

    /// All values that are out of range, in the order of the file's keys.
    fn faults(&self) -> Vec<ConfigFault> {
        let mut faults = FaultList::default();
        self.check_fleet(&mut faults);
        self.check_leases(&mut faults);
        self.check_coordinators(&mut faults);
        self.check_budgets(&mut faults);
        self.check_duty_lease(&mut faults);
        self.check_duties(&mut faults);
        faults.0
    }

    fn check_fleet(&self, faults: &mut FaultList) {
        faults.require(!self.cluster.trim().is_empty(), "cluster", "is empty");
        faults.require(
            (1..=MAX_MEMBERS).contains(&self.max_members),
            "members",
            format!("{} is not between 1 and {MAX_MEMBERS}", self.max_members),
        );
    }

    fn check_leases(&self, faults: &mut FaultList) {
        let (lease_ms, heartbeat_ms) = (self.grant_lease_ms, self.heartbeat_ms);
        faults.require_lease("shares_ms", lease_ms);
        faults.require(
            (MIN_HEARTBEAT_MS..=MAX_HEARTBEAT_MS).contains(&heartbeat_ms),
            "beat_ms",
            format!("{heartbeat_ms} is not between {MIN_HEARTBEAT_MS} and {MAX_HEARTBEAT_MS}"),
        );
        faults.require(
            lease_ms >= MIN_HEARTBEATS_PER_GRANT_LEASE * heartbeat_ms,
            "shares_ms",
            format!("{lease_ms} is shorter than three heartbeats, beat_ms is {heartbeat_ms}"),
        );
        faults.require(
            (lease_ms / MS_PER_SECOND..=MAX_GUARANTEE_LEASE_S).contains(&self.guarantee_lease_s),
            "floors_s",
            format!("{} is shorter than shares_ms or longer than one day", self.guarantee_lease_s),
        );
        faults.require(
            self.drift_ppm <= MAX_DRIFT_PPM,
            "drift_ppm",
            format!("{} is greater than {MAX_DRIFT_PPM}", self.drift_ppm),
        );
    }

    fn check_coordinators(&self, faults: &mut FaultList) {
        let count = self.coordinators.len();
        faults.require(
            matches!(count, 1 | 3 | 5 | 7),
            "steward",
            format!("{count} entries, expected 1, 3, 5 or 7"),
        );
        faults.require(
            self.own_address().is_some(),
            "name",
            format!("no [[steward]] is named {}", self.name),
        );
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for (index, CoordinatorAddress { name, address }) in self.coordinators.iter().enumerate() {
            let (name_key, address_key) =
                (format!("steward[{index}].name"), format!("steward[{index}].address"));
            faults.require(names.insert(name), &name_key, format!("{name} is a duplicate"));
            faults.require(addresses.insert(address), &address_key, format!("{address} is a duplicate"));
            faults.require(address.port() != 0, &address_key, format!("{address} has no port"));
        }
    }

    fn check_budgets(&self, faults: &mut FaultList) {
        let mut names = BTreeSet::new();
        for (index, budget) in self.budgets.iter().enumerate() {
            faults.require(
                names.insert(&budget.name),
                &format!("budget[{index}].name"),
                format!("{} is a duplicate", budget.name),
            );
            faults.require(
                (MIN_BUDGET_PER_S..=MAX_BUDGET_PER_S).contains(&budget.limit_per_s),
                &format!("budget[{index}].whole"),
                format!("{} is not between 0.001 and 1e9", budget.limit_per_s),
            );
            faults.require(
                (0.0..=1.0).contains(&budget.guaranteed_fraction),
                &format!("budget[{index}].floors"),
                format!("{} is not between 0 and 1", budget.guaranteed_fraction),
            );
        }
    }

    fn check_duty_lease(&self, faults: &mut FaultList) {
        let Some(lease_ms) = self.duty_lease_ms else { return };
        let heartbeat_ms = self.heartbeat_ms;
        faults.require_lease("duties_ms", lease_ms);
        let is_too_short = lease_ms < MIN_HEARTBEATS_PER_DUTY_LEASE * heartbeat_ms;
        faults.require(
            !is_too_short,
            "duties_ms",
            format!("{lease_ms} is shorter than four heartbeats, beat_ms is {heartbeat_ms}"),
        );
    }

    fn check_duties(&self, faults: &mut FaultList) {
        let count = self.duties.len();
        faults.require(count <= MAX_DUTIES, "duty", format!("{count} entries, the limit is {MAX_DUTIES}"));
        let mut names = BTreeSet::new();
        for (index, RawDuty { name }) in self.duties.iter().enumerate() {
            let key = format!("duty[{index}].name");
            faults.require(is_valid_name(name), &key, format!("{name:?} is not a valid name"));
            faults.require(names.insert(name), &key, format!("{name} is a duplicate"));
        }
    }
}

/// Collects faults, so that an operator sees all of them at once.
#[derive(Default)]
struct FaultList(Vec<ConfigFault>);

impl FaultList {
    fn require(&mut self, holds: bool, key: &str, problem: impl Into<String>) {
        if !holds {
            self.0.push(ConfigFault { key: key.to_owned(), problem: problem.into() });
        }
    }

    fn require_lease(&mut self, key: &str, lease_ms: f64) {
        self.require(
            (MIN_LEASE_MS..=MAX_LEASE_MS).contains(&lease_ms),
            key,
            format!("{lease_ms} is not between {MIN_LEASE_MS} and {MAX_LEASE_MS}"),
        );
    }
}
