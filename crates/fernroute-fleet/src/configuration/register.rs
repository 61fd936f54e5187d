//! What is replicated of the configuration: a deterministic state machine, the same at every steward that applies the
//! same entries. It trusts no entry.

use super::{
    bundle_hash, content_hash, FetchReply, FetchRequest, Scope, ScopeEntry, Target, Version,
    MAX_CONTENT_BYTES, MAX_NAME_BYTES,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Scopes at the most: some thousand balancers' own and their services.
const MOST_SCOPES: usize = 10_000;

/// Of all contents together: each steward holds them, and sends them to one that has come back in one piece.
const MOST_BYTES: usize = 16 << 20;

/// How far an entry's version may be min_version_exclusive the last one: more entries than were ever lost with a register. Guards against
/// a member that reports the last number there is.
const MOST_AHEAD: Version = 1_000_000;

/// Lines of history: more than a day's changes of the largest fleet, without contents.
const MOST_HISTORY: usize = 4_000;

/// An operator's word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationPut {
    pub scope: Scope,
    /// The scope's version that the operator started from; 0 where there was none.
    #[serde(rename = "base")]
    pub base_version: Version,
    #[serde(rename = "hash")]
    pub content_hash: String,
    pub content: String,
    #[serde(rename = "who")]
    pub author: String,
    /// Unix time in milliseconds, by the steward that entered it.
    #[serde(rename = "when_ms")]
    pub entered_at_ms: u64,
    /// Its version is min_version_exclusive this one, whatever the register's last was: the highest that any member reported
    /// ([`crate::leader::Leader::reported`]), or one less than another region's version of this entry.
    #[serde(default)]
    #[serde(rename = "above")]
    pub min_version_exclusive: Version,
}

/// A line of history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    pub version: Version,
    pub scope: Scope,
    #[serde(rename = "base")]
    pub base_version: Version,
    #[serde(rename = "hash")]
    pub content_hash: String,
    pub bytes: usize,
    #[serde(rename = "who")]
    pub author: String,
    #[serde(rename = "when_ms")]
    pub entered_at_ms: u64,
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutError {
    /// The scope is at this version: the operator did not start from the latest.
    OutOfDate(Version),
    /// The content is not what the content_hash says.
    HashMismatch,
    TooLong,
    /// No name, too long a one, or one that a line can't take.
    InvalidName,
    /// As many scopes, or as much content, as there may be.
    LimitReached,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    version: Version,
    /// The latest of each scope. A scope that says nothing any more keeps its place: its version still counts.
    #[serde(rename = "parts")]
    entries: BTreeMap<Scope, ScopeEntry>,
    /// The last lines, oldest first.
    history: VecDeque<HistoryEntry>,
}

impl Register {
    /// Takes one entry, whole or not at all; its version.
    pub fn apply(&mut self, put: &ConfigurationPut) -> Result<Version, PutError> {
        let at = self.latest_version(&put.scope);
        if at != put.base_version {
            return Err(PutError::OutOfDate(at));
        }
        if put.content.len() > MAX_CONTENT_BYTES {
            return Err(PutError::TooLong);
        }
        let author = !put.author.trim().is_empty() && put.author.len() <= MAX_NAME_BYTES;
        // A scope that can't be read again from what is kept would end a steward's next start.
        let scope = put.scope.to_string().parse().as_ref() == Ok(&put.scope);
        if !author || put.author.chars().any(char::is_control) || !scope {
            return Err(PutError::InvalidName);
        }
        if content_hash(&put.content) != put.content_hash {
            return Err(PutError::HashMismatch);
        }
        let others = self.entries.values().filter(|part| part.scope != put.scope);
        let bytes: usize = others.map(|part| part.content.len()).sum();
        // What empties a scope always fits.
        let fits = put.content.is_empty() || bytes + put.content.len() <= MOST_BYTES;
        if at == 0 && self.entries.len() >= MOST_SCOPES || !fits {
            return Err(PutError::LimitReached);
        }
        let min_version_exclusive =
            put.min_version_exclusive.clamp(self.version, self.version.saturating_add(MOST_AHEAD));
        let version = min_version_exclusive.checked_add(1).ok_or(PutError::LimitReached)?;
        self.version = version;
        let (scope, content_hash, content) =
            (put.scope.clone(), put.content_hash.clone(), put.content.clone());
        self.history.push_back(HistoryEntry {
            version,
            scope: scope.clone(),
            base_version: put.base_version,
            content_hash: content_hash.clone(),
            bytes: content.len(),
            author: put.author.clone(),
            entered_at_ms: put.entered_at_ms,
        });
        if self.history.len() > MOST_HISTORY {
            self.history.pop_front();
        }
        self.entries.insert(scope.clone(), ScopeEntry { scope, version, content_hash, content });
        Ok(version)
    }

    /// Of the last entry, whomever it concerns.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Of a scope's latest entry.
    pub fn latest_version(&self, scope: &Scope) -> Version {
        self.entries.get(scope).map_or(0, |part| part.version)
    }

    pub fn entry(&self, scope: &Scope) -> Option<&ScopeEntry> {
        self.entries.get(scope)
    }

    pub fn entries(&self) -> impl Iterator<Item = &ScopeEntry> {
        self.entries.values()
    }

    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// What a balancer that stands here should go by: the highest version that concerns it.
    pub fn version_for(&self, place: &Target) -> Version {
        place.scopes().iter().map(|scope| self.latest_version(scope)).max().unwrap_or(0)
    }

    /// What a balancer asked for.
    pub fn fetch(&self, fetch: &FetchRequest) -> FetchReply {
        if self.version < fetch.wanted_version {
            return FetchReply::Behind;
        }
        let scopes = fetch.target.scopes();
        let entries: Vec<&ScopeEntry> = scopes.iter().filter_map(|scope| self.entries.get(scope)).collect();
        let version = self.version_for(&fetch.target);
        let whole = bundle_hash(&fetch.target, version, entries.iter().copied());
        let entries =
            entries.into_iter().filter(|part| part.version > fetch.known_version).cloned().collect();
        FetchReply::Entries { version, bundle_hash: whole, entries }
    }
}
