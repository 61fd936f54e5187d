//! What is replicated of the configuration: a deterministic state machine, the same at every steward that applies the
//! same entries. It trusts no entry.

use super::{hash, Fetch, Fetched, Part, Place, Scope, Version, MOST_CONTENT, MOST_NAME};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Scopes at the most: some thousand balancers' own and their services.
const MOST_SCOPES: usize = 10_000;

/// Lines of history: more than a day's changes of the largest fleet, without contents.
const MOST_HISTORY: usize = 4_000;

/// An operator's word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    pub scope: Scope,
    /// The scope's version that the operator started from; 0 where there was none.
    pub base: Version,
    pub hash: String,
    pub content: String,
    pub who: String,
    /// Unix time in milliseconds, by the steward that entered it.
    pub when_ms: u64,
}

/// A line of history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    pub version: Version,
    pub scope: Scope,
    pub base: Version,
    pub hash: String,
    pub bytes: usize,
    pub who: String,
    pub when_ms: u64,
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotEntered {
    /// The scope is at this version: the operator did not start from the latest.
    OutOfDate(Version),
    /// The content is not what the hash says.
    Spoilt,
    TooLong,
    /// No name, or too long a one.
    BadName,
    Full,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    version: Version,
    /// The latest of each scope. A scope that says nothing any more keeps its place: its version still counts.
    parts: BTreeMap<Scope, Part>,
    /// The last lines, oldest first.
    history: VecDeque<Line>,
}

impl Register {
    /// Takes one entry, whole or not at all; its version.
    pub fn apply(&mut self, put: &Put) -> Result<Version, NotEntered> {
        let at = self.latest(&put.scope);
        if at != put.base {
            return Err(NotEntered::OutOfDate(at));
        }
        if put.content.len() > MOST_CONTENT {
            return Err(NotEntered::TooLong);
        }
        if put.who.is_empty() || put.who.len() > MOST_NAME {
            return Err(NotEntered::BadName);
        }
        if hash(&put.content) != put.hash {
            return Err(NotEntered::Spoilt);
        }
        if at == 0 && self.parts.len() >= MOST_SCOPES {
            return Err(NotEntered::Full);
        }
        self.version += 1;
        let version = self.version;
        let (scope, hash, content) = (put.scope.clone(), put.hash.clone(), put.content.clone());
        self.history.push_back(Line {
            version,
            scope: scope.clone(),
            base: put.base,
            hash: hash.clone(),
            bytes: content.len(),
            who: put.who.clone(),
            when_ms: put.when_ms,
        });
        if self.history.len() > MOST_HISTORY {
            self.history.pop_front();
        }
        self.parts.insert(scope.clone(), Part { scope, version, hash, content });
        Ok(version)
    }

    /// Of the last entry, whomever it concerns.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Of a scope's latest entry.
    pub fn latest(&self, scope: &Scope) -> Version {
        self.parts.get(scope).map_or(0, |part| part.version)
    }

    pub fn part(&self, scope: &Scope) -> Option<&Part> {
        self.parts.get(scope)
    }

    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.values()
    }

    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Line> {
        self.history.iter()
    }

    /// What a balancer that stands here should go by: the highest version that concerns it.
    pub fn concerns(&self, place: &Place) -> Version {
        place.scopes().iter().map(|scope| self.latest(scope)).max().unwrap_or(0)
    }

    /// What a balancer asked for.
    pub fn fetch(&self, fetch: &Fetch) -> Fetched {
        if self.version < fetch.want {
            return Fetched::Behind;
        }
        let scopes = fetch.place.scopes();
        let parts = scopes.iter().filter_map(|scope| self.parts.get(scope));
        let parts = parts.filter(|part| part.version > fetch.have).cloned().collect();
        Fetched::Parts { version: self.concerns(&fetch.place), parts }
    }
}
