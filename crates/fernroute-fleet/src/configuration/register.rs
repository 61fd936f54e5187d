//! What is replicated of the configuration: a deterministic state machine, the same at every steward that applies the
//! same entries. It trusts no entry.

use super::{hash, whole, Fetch, Fetched, Part, Place, Scope, Version, MOST_CONTENT, MOST_NAME};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Scopes at the most: some thousand balancers' own and their services.
const MOST_SCOPES: usize = 10_000;

/// Of all contents together: each steward holds them, and sends them to one that has come back in one piece.
const MOST_BYTES: usize = 16 << 20;

/// How far an entry's version may be above the last one: more entries than were ever lost with a register. Guards against
/// a member that reports the last number there is.
const MOST_AHEAD: Version = 1_000_000;

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
    /// Its version is above this one, whatever the register's last was: the highest that any member reported
    /// ([`crate::leader::Leader::reported`]), or one less than another region's version of this entry.
    #[serde(default)]
    pub above: Version,
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
    /// No name, too long a one, or one that a line can't take.
    BadName,
    /// As many scopes, or as much content, as there may be.
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
        let who = !put.who.trim().is_empty() && put.who.len() <= MOST_NAME;
        // A scope that can't be read again from what is kept would end a steward's next start.
        let scope = put.scope.to_string().parse().as_ref() == Ok(&put.scope);
        if !who || put.who.chars().any(char::is_control) || !scope {
            return Err(NotEntered::BadName);
        }
        if hash(&put.content) != put.hash {
            return Err(NotEntered::Spoilt);
        }
        let others = self.parts.values().filter(|part| part.scope != put.scope);
        let bytes: usize = others.map(|part| part.content.len()).sum();
        // What empties a scope always fits.
        let fits = put.content.is_empty() || bytes + put.content.len() <= MOST_BYTES;
        if at == 0 && self.parts.len() >= MOST_SCOPES || !fits {
            return Err(NotEntered::Full);
        }
        let above = put.above.clamp(self.version, self.version.saturating_add(MOST_AHEAD));
        let version = above.checked_add(1).ok_or(NotEntered::Full)?;
        self.version = version;
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
        let parts: Vec<&Part> = scopes.iter().filter_map(|scope| self.parts.get(scope)).collect();
        let version = self.concerns(&fetch.place);
        let whole = whole(&fetch.place, version, parts.iter().copied());
        let parts = parts.into_iter().filter(|part| part.version > fetch.have).cloned().collect();
        Fetched::Parts { version, whole, parts }
    }
}
