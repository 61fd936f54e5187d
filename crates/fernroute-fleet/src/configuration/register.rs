//! The replicated configuration: the latest entry of each scope, and a history without contents.
//!
//! The register is a deterministic state machine: each coordinator applies the same entries in the same order
//! and reaches the same state. The coordinator's replica calls [`Register::apply`] for each committed
//! [`ConfigurationPut`], and answers balancers with [`Register::fetch`]; the leader reads
//! [`Register::version_for`].
//!
//! Invariants: versions increase over all scopes, an entry replaces only the version that its operator
//! started from, and all contents together stay within a bound. An entry that would break them is refused and
//! changes nothing.

use super::{
    bundle_hash, content_hash, FetchReply, FetchRequest, Scope, ScopeEntry, Target, Version,
    MAX_CONTENT_BYTES, MAX_NAME_BYTES,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Enough for some thousand balancers and their services.
const MAX_SCOPES: usize = 10_000;

/// The limit of all contents together: each coordinator holds them in memory, and sends them in one snapshot
/// to one that has restarted.
const MAX_TOTAL_BYTES: usize = 16 << 20;

/// How far a version may be above the last one. Guards against a member that reports the highest possible
/// number.
const MAX_VERSION_STEP: Version = 1_000_000;

/// More than the largest fleet's changes of one day.
const MAX_HISTORY_ENTRIES: usize = 4_000;

/// An operator's change of one scope, as an entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationPut {
    /// The scope to change.
    pub scope: Scope,
    /// The scope's version that the operator started from; 0 where there was none.
    #[serde(rename = "base")]
    pub base_version: Version,
    /// The [`content_hash`] of the content.
    #[serde(rename = "hash")]
    pub content_hash: String,
    /// Part of a balancer's file; empty to clear the scope.
    pub content: String,
    /// The operator's name.
    #[serde(rename = "who")]
    pub author: String,
    /// Unix time in milliseconds, by the coordinator that entered it.
    #[serde(rename = "when_ms")]
    pub entered_at_ms: u64,
    /// The new version is above this one and above the register's last: the highest that any member reported
    /// ([`crate::leader::Leader::highest_reported_version`]), or one less than another region's version of
    /// this entry.
    #[serde(default)]
    #[serde(rename = "above")]
    pub min_version_exclusive: Version,
}

impl ConfigurationPut {
    fn has_valid_author(&self) -> bool {
        let is_named = !self.author.trim().is_empty() && self.author.len() <= MAX_NAME_BYTES;
        is_named && !self.author.chars().any(char::is_control)
    }

    /// Guards against a scope that cannot be read again from the stored register, which would end a
    /// coordinator's next start.
    fn has_valid_scope(&self) -> bool {
        self.scope.to_string().parse().as_ref() == Ok(&self.scope)
    }
}

/// A past change, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The change's version.
    pub version: Version,
    /// The scope that it changed.
    pub scope: Scope,
    /// The scope's version before.
    #[serde(rename = "base")]
    pub base_version: Version,
    /// The [`content_hash`] of the content.
    #[serde(rename = "hash")]
    pub content_hash: String,
    /// The content's length.
    pub bytes: usize,
    /// The operator's name.
    #[serde(rename = "who")]
    pub author: String,
    /// Unix time in milliseconds, by the coordinator that entered it.
    #[serde(rename = "when_ms")]
    pub entered_at_ms: u64,
}

/// Why the register refused a change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The scope is at this version: the operator did not start from the latest.
    #[error("the scope is at version {0}")]
    OutOfDate(Version),
    /// The content does not match its hash.
    #[error("the content does not match its hash")]
    HashMismatch,
    /// The content is longer than [`MAX_CONTENT_BYTES`].
    #[error("the content is longer than {} bytes", MAX_CONTENT_BYTES)]
    TooLong,
    /// The operator's name, or a name in the scope, is not valid.
    #[error("a name is not valid")]
    InvalidName,
    /// The register has as many scopes, or as much content, as it may have.
    #[error("too many scopes, or too much content")]
    LimitReached,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// The version of the last change in any scope.
    version: Version,
    /// The latest entry of each scope. A cleared scope keeps its entry, since its version still counts.
    #[serde(rename = "parts")]
    entries: BTreeMap<Scope, ScopeEntry>,
    /// The latest changes, oldest first; at most [`MAX_HISTORY_ENTRIES`].
    history: VecDeque<HistoryEntry>,
}

impl Register {
    /// Applies one change completely and returns its version, or refuses it and stays unchanged.
    pub fn apply(&mut self, put: &ConfigurationPut) -> Result<Version, PutError> {
        self.check(put)?;
        let version = self.next_version(put).ok_or(PutError::LimitReached)?;
        self.version = version;
        self.record(put, version);
        let entry = ScopeEntry {
            scope: put.scope.clone(),
            version,
            content_hash: put.content_hash.clone(),
            content: put.content.clone(),
        };
        self.entries.insert(put.scope.clone(), entry);
        Ok(version)
    }

    fn check(&self, put: &ConfigurationPut) -> Result<(), PutError> {
        let latest_version = self.latest_version(&put.scope);
        if latest_version != put.base_version {
            return Err(PutError::OutOfDate(latest_version));
        }
        if put.content.len() > MAX_CONTENT_BYTES {
            return Err(PutError::TooLong);
        }
        if !put.has_valid_author() || !put.has_valid_scope() {
            return Err(PutError::InvalidName);
        }
        if content_hash(&put.content) != put.content_hash {
            return Err(PutError::HashMismatch);
        }
        let is_new_scope = latest_version == 0;
        if is_new_scope && self.entries.len() >= MAX_SCOPES || !self.has_space_for(put) {
            return Err(PutError::LimitReached);
        }
        Ok(())
    }

    /// Clearing a scope always fits.
    fn has_space_for(&self, put: &ConfigurationPut) -> bool {
        let others = self.entries.values().filter(|entry| entry.scope != put.scope);
        let other_bytes: usize = others.map(|entry| entry.content.len()).sum();
        put.content.is_empty() || other_bytes + put.content.len() <= MAX_TOTAL_BYTES
    }

    /// None where no higher number is left.
    fn next_version(&self, put: &ConfigurationPut) -> Option<Version> {
        let highest_base = self.version.saturating_add(MAX_VERSION_STEP);
        put.min_version_exclusive.clamp(self.version, highest_base).checked_add(1)
    }

    fn record(&mut self, put: &ConfigurationPut, version: Version) {
        self.history.push_back(HistoryEntry {
            version,
            scope: put.scope.clone(),
            base_version: put.base_version,
            content_hash: put.content_hash.clone(),
            bytes: put.content.len(),
            author: put.author.clone(),
            entered_at_ms: put.entered_at_ms,
        });
        if self.history.len() > MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
    }

    /// The version of the last change in any scope; 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The version of a scope's latest entry; 0 where there is none.
    pub fn latest_version(&self, scope: &Scope) -> Version {
        self.entries.get(scope).map_or(0, |entry| entry.version)
    }

    /// The latest entry of a scope.
    pub fn entry(&self, scope: &Scope) -> Option<&ScopeEntry> {
        self.entries.get(scope)
    }

    /// The latest entry of each scope, from the widest scope to the narrowest.
    pub fn entries(&self) -> impl Iterator<Item = &ScopeEntry> {
        self.entries.values()
    }

    /// The latest changes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// The version that a balancer should have active: the highest that concerns it.
    pub fn version_for(&self, target: &Target) -> Version {
        target.scopes().iter().map(|scope| self.latest_version(scope)).max().unwrap_or(0)
    }

    /// The reply to a balancer's request.
    pub fn fetch(&self, request: &FetchRequest) -> FetchReply {
        if self.version < request.wanted_version {
            return FetchReply::Behind;
        }
        let scopes = request.target.scopes();
        let bundle: Vec<&ScopeEntry> = scopes.iter().filter_map(|scope| self.entries.get(scope)).collect();
        let version = self.version_for(&request.target);
        let bundle_hash = bundle_hash(&request.target, version, bundle.iter().copied());
        let newer = bundle.into_iter().filter(|entry| entry.version > request.known_version);
        FetchReply::Entries { version, bundle_hash, entries: newer.cloned().collect() }
    }
}
