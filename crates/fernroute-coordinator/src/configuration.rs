//! Configuration of the fleet's balancers: the leader commits an operator's change, and every replica serves what it has
//! applied.

use crate::replica::{now, Replica};
use crate::{ApplyFailure, Raft};
use fernroute_config::{layers, ConfigError};
use fernroute_fleet::configuration::register::{ConfigurationPut, HistoryEntry, Register};
use fernroute_fleet::configuration::rollout::{MemberRollout, RolloutSummary};
use fernroute_fleet::configuration::{
    content_hash, FetchReply, FetchRequest, Scope, ScopeEntry, Version, MAX_CONTENT_BYTES, MAX_NAME_BYTES,
};
use fernroute_fleet::ledger::Entry;
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The path of a [`PutRequest`].
pub const PUT_PATH: &str = "/-/configuration/put";
/// The path that answers with the [`LatestEntry`] entry of a scope.
pub const GET_PATH: &str = "/-/configuration/get";
/// The path that answers with the history of a scope, or of all.
pub const HISTORY_PATH: &str = "/-/configuration/history";
/// The path that answers with the [`ConfigurationStatus`].
pub const STATUS_PATH: &str = "/-/configuration/status";

/// How long a majority may take to commit an entry. One that takes longer may still be committed later.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// An operator's change of one scope, as a request to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The scope that is changed.
    pub scope: Scope,
    /// The scope's version that the change is made from; 0 where there was none.
    #[serde(rename = "base")]
    pub base_version: Version,
    /// The hash of the content, as the operator's command made it.
    #[serde(rename = "hash")]
    pub content_hash: String,
    /// The new content.
    pub content: String,
    /// Who makes the change.
    #[serde(rename = "who")]
    pub author: String,
}

/// Why a request to the leader was not carried out, or is not known to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestError {
    /// Another replica leads; its address, where it is known.
    #[serde(rename = "elsewhere")]
    NotLeader(Option<String>),
    /// The change was made from another version than the scope's latest entry; none where the scope has none.
    OutOfDate(Option<Box<HistoryEntry>>),
    /// The request cannot be carried out, and why.
    #[serde(rename = "refused")]
    Rejected(String),
    /// The entry may be committed already, or later. The request can safely be repeated, since it names its base version.
    Unknown(String),
}

/// A scope's latest entry, and the change that made it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatestEntry {
    /// None for a scope that was never changed.
    #[serde(rename = "part")]
    pub entry: Option<ScopeEntry>,
    /// None where it is older than the history.
    #[serde(rename = "line")]
    pub change: Option<HistoryEntry>,
}

/// A scope's latest entry without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeStatus {
    /// The scope.
    pub scope: Scope,
    /// The entry's version.
    pub version: Version,
    /// The hash of its content.
    #[serde(rename = "hash")]
    pub content_hash: String,
    /// The length of its content; 0 for a scope that was emptied.
    pub bytes: usize,
}

/// How far the rollout of the fleet's configuration is, as its leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// The cluster's name.
    pub cluster: String,
    /// The leader's name.
    pub leader: String,
    /// The version of the last entry, whichever scope it is for.
    pub version: Version,
    /// Whether the leader has led for longer than a quota's lease, so that a member without a heartbeat since then is
    /// unreachable. Before that, its first heartbeat to this leader may still be to come.
    #[serde(rename = "settled")]
    pub is_reachability_known: bool,
    /// All scopes that were ever changed.
    pub scopes: Vec<ScopeStatus>,
    /// How many members are in which state.
    pub summary: RolloutSummary,
    /// All members, by their names.
    pub members: Vec<MemberRollout>,
}

/// Why a content does not load as part of a balancer's file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ContentError {
    /// It has faults by itself.
    #[error("{}", one_line(.0))]
    Faulty(Vec<ConfigError>),
    /// It has faults together with the entries of wider scopes.
    #[error("merged with {}: {}", .scopes.join(", "), one_line(.faults))]
    FaultyOver {
        /// The wider scopes, the widest first.
        scopes: Vec<String>,
        /// The faults of all entries together.
        faults: Vec<ConfigError>,
    },
}

impl Replica {
    pub(crate) fn register<T>(&self, read: impl FnOnce(&Register) -> T) -> T {
        read(&self.state_machine.state.borrow().register)
    }

    /// The raft node, once it is certain that this replica leads and has applied all that was committed before.
    pub(crate) async fn confirm_leadership(&self) -> Result<&Raft, RequestError> {
        self.update_leadership();
        let is_leader = self.leadership.borrow().is_some();
        let not_leader = || RequestError::NotLeader(self.leader_address());
        let raft = self.raft().filter(|_| is_leader).ok_or_else(not_leader)?;
        match raft.ensure_linearizable().await {
            Ok(_) => Ok(raft),
            Err(_) => Err(not_leader()),
        }
    }

    /// Commits an operator's change, completely or not at all; its version.
    pub async fn put(&self, request: PutRequest) -> Result<Version, RequestError> {
        let raft = self.confirm_leadership().await?;
        self.register(|register| validate(register, &request))?;
        let scope = request.scope.clone();
        let label = format!("{scope} by {}", request.author);
        let entry = Entry::Configuration(self.to_configuration_put(request));
        let result = match tokio::time::timeout(COMMIT_TIMEOUT, raft.client_write(entry)).await {
            Ok(Ok(written)) => written.data,
            Ok(Err(error)) => return Err(unknown(&label, error.to_string())),
            Err(_) => {
                let reason = "no majority of the coordinators has stored it in time";
                return Err(unknown(&label, reason.to_owned()));
            }
        };
        match result {
            Ok(version) => {
                tracing::info!("configuration of {label}: version {version}");
                Ok(version)
            }
            // Another change of the scope was committed first.
            Err(ApplyFailure { latest_version: Some(_), .. }) => {
                Err(self.register(|register| out_of_date(register, &scope)))
            }
            Err(failure) => Err(RequestError::Rejected(failure.reason)),
        }
    }

    /// Guards against reuse of a version: members may still report versions of a register that was lost.
    fn to_configuration_put(&self, request: PutRequest) -> ConfigurationPut {
        let leadership = self.leadership.borrow();
        let highest_reported =
            leadership.as_ref().map_or(0, |leadership| leadership.budgets.highest_reported_version());
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        ConfigurationPut {
            scope: request.scope,
            base_version: request.base_version,
            content_hash: request.content_hash,
            content: request.content,
            author: request.author,
            entered_at_ms: since_epoch.map_or(0, |duration| duration.as_millis() as u64),
            min_version_exclusive: highest_reported,
        }
    }

    /// The entries for a balancer, as far as this replica has applied them: it need not lead.
    pub fn fetch(&self, request: &FetchRequest) -> FetchReply {
        self.register(|register| register.fetch(request))
    }

    /// The latest entry of a scope.
    pub async fn latest(&self, scope: &Scope) -> Result<LatestEntry, RequestError> {
        self.confirm_leadership().await?;
        Ok(self.register(|register| LatestEntry {
            entry: register.entry(scope).cloned(),
            change: latest_change(register, scope),
        }))
    }

    /// How far the rollout is at each member.
    pub async fn configuration_status(&self) -> Result<ConfigurationStatus, RequestError> {
        self.confirm_leadership().await?;
        let leadership = self.leadership.borrow();
        let Some(leadership) = leadership.as_ref() else { return Err(RequestError::NotLeader(None)) };
        let state = self.state_machine.state.borrow();
        let mut members = leadership.budgets.configuration_states(now(), &state.ledger, &state.register);
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let led_for = now().saturating_sub(self.became_leader_at.get());
        Ok(ConfigurationStatus {
            cluster: self.identity.cluster.clone(),
            leader: self.config.name.clone(),
            version: state.register.version(),
            is_reachability_known: led_for > self.config.grant_lease.expires_after(),
            scopes: state.register.entries().map(scope_status).collect(),
            summary: RolloutSummary::new(&members),
            members,
        })
    }

    /// The last changes of one scope, or of all, the oldest first.
    pub async fn history(&self, scope: Option<&Scope>) -> Result<Vec<HistoryEntry>, RequestError> {
        self.confirm_leadership().await?;
        let is_asked_for = |change: &&HistoryEntry| scope.is_none_or(|scope| change.scope == *scope);
        Ok(self.register(|register| register.history().filter(is_asked_for).cloned().collect()))
    }
}

fn scope_status(entry: &ScopeEntry) -> ScopeStatus {
    ScopeStatus {
        scope: entry.scope.clone(),
        version: entry.version,
        content_hash: entry.content_hash.clone(),
        bytes: entry.content.len(),
    }
}

/// The change that made a scope's latest entry, if the history reaches back to it.
fn latest_change(register: &Register, scope: &Scope) -> Option<HistoryEntry> {
    let version = register.latest_version(scope);
    register.history().rev().find(|change| change.version == version).cloned()
}

fn out_of_date(register: &Register, scope: &Scope) -> RequestError {
    RequestError::OutOfDate(latest_change(register, scope).map(Box::new))
}

fn unknown(label: &str, reason: String) -> RequestError {
    tracing::warn!("configuration of {label}: outcome unknown: {reason}");
    RequestError::Unknown(reason)
}

/// Rejects a change before it is committed, as far as its validity is known by then.
fn validate(register: &Register, request: &PutRequest) -> Result<(), RequestError> {
    if register.latest_version(&request.scope) != request.base_version {
        return Err(out_of_date(register, &request.scope));
    }
    let rejected = |reason: String| Err(RequestError::Rejected(reason));
    if request.author.is_empty() || request.author.len() > MAX_NAME_BYTES {
        return rejected(format!("the author's name is empty or longer than {MAX_NAME_BYTES} bytes"));
    }
    if request.content.len() > MAX_CONTENT_BYTES {
        return rejected(format!(
            "the content has {} bytes, the limit is {MAX_CONTENT_BYTES}",
            request.content.len()
        ));
    }
    if content_hash(&request.content) != request.content_hash {
        return rejected("the content does not match its hash".to_owned());
    }
    check_over_wider(register, &request.scope, &request.content).or_else(|error| rejected(error.to_string()))
}

/// Whether a content loads: by itself, and over the entries of wider scopes.
fn check_over_wider(register: &Register, scope: &Scope, content: &str) -> Result<(), ContentError> {
    if content.is_empty() {
        return Ok(());
    }
    check_content(content)?;
    let wider: Vec<&ScopeEntry> =
        wider_scopes(scope).iter().filter_map(|scope| register.entry(scope)).collect();
    let mut contents: Vec<&str> = wider.iter().map(|entry| entry.content.as_str()).collect();
    contents.push(content);
    let merged = layers::merge_layers("", &contents).and_then(|merged| layers::check(&merged));
    merged.map_err(|faults| ContentError::FaultyOver {
        scopes: wider.iter().map(|entry| entry.scope.to_string()).collect(),
        faults,
    })
}

/// A balancer's own entry is also merged over that of its service, which cannot be derived from the balancer's name.
fn wider_scopes(scope: &Scope) -> Vec<Scope> {
    match scope {
        Scope::All => Vec::new(),
        Scope::Service(_) | Scope::Balancer(_) => vec![Scope::All],
        Scope::Zone { service, .. } => vec![Scope::All, Scope::Service(service.clone())],
    }
}

/// Whether a content loads by itself, as a balancer would load it.
pub fn check_content(content: &str) -> Result<(), ContentError> {
    layers::check(content).map_err(ContentError::Faulty)
}

fn one_line(faults: &[ConfigError]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
