//! What the balancers of a fleet go by: the leader enters it, every steward hands it out.

use crate::replica::{now, Replica};
use crate::{ApplyFailure, Raft};
use fernroute_config::layers;
use fernroute_fleet::configuration::register::{ConfigurationPut, HistoryEntry, Register};
use fernroute_fleet::configuration::rollout::{MemberRollout, RolloutSummary};
use fernroute_fleet::configuration::{
    content_hash, FetchReply, FetchRequest, Scope, ScopeEntry, Version, MAX_CONTENT_BYTES, MAX_NAME_BYTES,
};
use fernroute_fleet::ledger::Entry;
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub const PUT: &str = "/-/configuration/put";
pub const GET: &str = "/-/configuration/get";
pub const HISTORY: &str = "/-/configuration/history";
pub const STATUS: &str = "/-/configuration/status";

/// How long a majority may take to keep an entry. What is not known by then may still be entered.
const KEPT_WITHIN: Duration = Duration::from_secs(2);

/// An operator's word, on its way to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    pub scope: Scope,
    /// The scope's version that the operator started from; 0 where there was none.
    pub base: Version,
    pub hash: String,
    pub content: String,
    pub who: String,
}

/// Why an operator's word was not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestError {
    /// Another steward leads; its address, where it is known.
    Elsewhere(Option<String>),
    /// The scope's latest entry is another one than the operator started from; none where it has none.
    OutOfDate(Option<Box<HistoryEntry>>),
    Refused(String),
    /// It may be entered yet, or may be entered already: the same word again does no harm, since it names its base.
    Unknown(String),
}

/// A scope's latest entry, and who made it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latest {
    pub part: Option<ScopeEntry>,
    /// None where it is older than the history.
    pub line: Option<HistoryEntry>,
}

/// A scope's latest entry, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeStatus {
    pub scope: Scope,
    pub version: Version,
    pub hash: String,
    /// 0 where it says nothing any more.
    pub bytes: usize,
}

/// How far the fleet is, as its leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    pub cluster: String,
    pub leader: String,
    /// Of the last entry, whomever it concerns.
    pub version: Version,
    /// It has led for longer than a share holds: whoever it has not heard of by then is silent. Before, a member that is
    /// not heard of may be one that has not come yet.
    pub settled: bool,
    pub scopes: Vec<ScopeStatus>,
    pub summary: RolloutSummary,
    pub members: Vec<MemberRollout>,
}

impl Replica {
    pub(crate) fn register<T>(&self, read: impl FnOnce(&Register) -> T) -> T {
        read(&self.state_machine.kept.borrow().register)
    }

    /// While this steward leads for certain, and has applied all that was entered before.
    pub(crate) async fn leads(&self) -> Result<&Raft, RequestError> {
        self.update_leadership();
        let leads = self.leadership.borrow().is_some();
        let Some(raft) = self.raft().filter(|_| leads) else {
            return Err(RequestError::Elsewhere(self.leader_address()));
        };
        match raft.ensure_linearizable().await {
            Ok(_) => Ok(raft),
            Err(_) => Err(RequestError::Elsewhere(self.leader_address())),
        }
    }

    /// Enters an operator's word, whole or not at all; its version.
    pub async fn put(&self, wish: PutRequest) -> Result<Version, RequestError> {
        let raft = self.leads().await?;
        self.register(|register| fits(register, &wish))?;
        let when_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        let PutRequest { scope, base, hash, content, who } = wish;
        let told = format!("{scope} by {who}");
        // Numbers that members go by of a register that was lost are not given again.
        let above =
            self.leadership.borrow().as_ref().map_or(0, |leading| leading.budgets.highest_reported_version());
        let put = ConfigurationPut {
            scope: scope.clone(),
            base_version: base,
            content_hash: hash,
            content,
            author: who,
            entered_at_ms: when_ms,
            min_version_exclusive: above,
        };
        let unknown = |why: String| {
            tracing::warn!("configuration of {told}: not known to be entered: {why}");
            Err(RequestError::Unknown(why))
        };
        let written =
            match tokio::time::timeout(KEPT_WITHIN, raft.client_write(Entry::Configuration(put))).await {
                Err(_) => return unknown("a majority of the stewards has not kept it yet".to_owned()),
                Ok(Err(why)) => return unknown(why.to_string()),
                Ok(Ok(written)) => written,
            };
        match written.data {
            Ok(version) => {
                tracing::info!("configuration of {told}: version {version}");
                Ok(version)
            }
            // Another one came between.
            Err(ApplyFailure { latest: Some(_), .. }) => {
                Err(self.register(|register| RequestError::OutOfDate(line(register, &scope).map(Box::new))))
            }
            Err(refused) => Err(RequestError::Refused(refused.why)),
        }
    }

    /// What concerns a balancer, as far as this steward has applied: it need not lead.
    pub fn fetch(&self, fetch: &FetchRequest) -> FetchReply {
        self.register(|register| register.fetch(fetch))
    }

    pub async fn latest(&self, scope: &Scope) -> Result<Latest, RequestError> {
        self.leads().await?;
        Ok(self.register(|register| Latest {
            part: register.entry(scope).cloned(),
            line: line(register, scope),
        }))
    }

    pub async fn configuration_status(&self) -> Result<ConfigurationStatus, RequestError> {
        self.leads().await?;
        let leading = self.leadership.borrow();
        let Some(leading) = leading.as_ref() else { return Err(RequestError::Elsewhere(None)) };
        let kept = self.state_machine.kept.borrow();
        let mut members = leading.budgets.configuration_states(now(), &kept.ledger, &kept.register);
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let scope = |part: &ScopeEntry| ScopeStatus {
            scope: part.scope.clone(),
            version: part.version,
            hash: part.content_hash.clone(),
            bytes: part.content.len(),
        };
        Ok(ConfigurationStatus {
            cluster: self.identity.cluster.clone(),
            leader: self.terms.name.clone(),
            version: kept.register.version(),
            settled: now().saturating_sub(self.became_leader_at.get()) > self.terms.shares.expires_after(),
            scopes: kept.register.entries().map(scope).collect(),
            summary: RolloutSummary::new(&members),
            members,
        })
    }

    /// The last lines, oldest first: of one scope, or of all.
    pub async fn history(&self, scope: Option<&Scope>) -> Result<Vec<HistoryEntry>, RequestError> {
        self.leads().await?;
        let of = |line: &&HistoryEntry| scope.is_none_or(|scope| line.scope == *scope);
        Ok(self.register(|register| register.history().filter(of).cloned().collect()))
    }
}

/// Of a scope's latest entry.
fn line(register: &Register, scope: &Scope) -> Option<HistoryEntry> {
    let version = register.latest_version(scope);
    register.history().rev().find(|line| line.version == version).cloned()
}

/// Whether a word may be entered: all that can be known before is said before.
fn fits(register: &Register, wish: &PutRequest) -> Result<(), RequestError> {
    if register.latest_version(&wish.scope) != wish.base {
        return Err(RequestError::OutOfDate(line(register, &wish.scope).map(Box::new)));
    }
    let refused = |why: String| Err(RequestError::Refused(why));
    if wish.who.is_empty() || wish.who.len() > MAX_NAME_BYTES {
        return refused(format!("the operator's name is empty, or longer than {MAX_NAME_BYTES}"));
    }
    if wish.content.len() > MAX_CONTENT_BYTES {
        return refused(format!("it has {} bytes, over {MAX_CONTENT_BYTES}", wish.content.len()));
    }
    if content_hash(&wish.content) != wish.hash {
        return refused("it came otherwise than it was sent: its hash is another".to_owned());
    }
    loads(register, &wish.scope, &wish.content).or_else(refused)
}

/// Whether a content loads: alone, and laid over what the wider scopes say now.
fn loads(register: &Register, scope: &Scope, content: &str) -> Result<(), String> {
    if content.is_empty() {
        return Ok(());
    }
    check(content)?;
    let wider: Vec<&ScopeEntry> = wider(scope).iter().filter_map(|scope| register.entry(scope)).collect();
    let mut parts: Vec<&str> = wider.iter().map(|part| part.content.as_str()).collect();
    parts.push(content);
    let over: Vec<String> = wider.iter().map(|part| part.scope.to_string()).collect();
    let told = |why: String| format!("laid over {}: {why}", over.join(", "));
    let all = layers::lay("", &parts).map_err(|faults| told(one_line(&faults)))?;
    check(&all).map_err(told)
}

/// A balancer's own are laid over its service's too, which its name does not tell.
fn wider(scope: &Scope) -> Vec<Scope> {
    match scope {
        Scope::All => Vec::new(),
        Scope::Service(_) | Scope::Balancer(_) => vec![Scope::All],
        Scope::Zone { service, .. } => vec![Scope::All, Scope::Service(service.clone())],
    }
}

/// Whether a part of a file loads, as a balancer would see it; all that is wrong in one line.
pub fn check(content: &str) -> Result<(), String> {
    layers::check(content).map_err(|faults| one_line(&faults))
}

fn one_line(faults: &[fernroute_config::Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
