//! Configuration for all balancers of a fleet: versioned entries in the replicated log, and which balancer
//! uses which.
//!
//! An entry is a part of a balancer's file, for a [`Scope`]: the whole fleet, a service, a service in one
//! zone, or one balancer. The entries that concern a balancer are merged over its own file from the widest
//! scope to the narrowest. Versions increase over all scopes, so the highest one that concerns a balancer
//! identifies all that it should use.
//!
//! - [`register`]: the replicated state: the latest entry of each scope, and a history without contents.
//! - [`follower`]: a balancer's side: what is active, which version it was notified of, when it fetches that.
//! - [`rollout`]: the rollout state of the members, for `status`.
//!
//! Why an older entry never replaces a newer one, and none is applied in part, is in
//! `docs/fleet-configuration-design.md`.

pub mod follower;
pub mod register;
pub mod rollout;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// The version of an entry; increases over all scopes. 0 is before the first.
pub type Version = u64;

/// The longest content of an entry: a long file of many methods and tenants.
pub const MAX_CONTENT_BYTES: usize = 64 << 10;

/// The longest name of a service, a zone, a balancer or an operator.
pub const MAX_NAME_BYTES: usize = 64;

/// The longest reason of a rejection that is passed on, in characters.
pub const MAX_REASON_CHARS: usize = 200;

/// The path at which a coordinator answers a [`FetchRequest`].
pub const FETCH_PATH: &str = "/-/configuration/fetch";

/// Whether a service, a zone, a balancer or a duty may have this name: it needs no escaping in a scope, a log
/// line or a table.
pub fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.trim() == text
        && !text.chars().any(|character| character == '/' || character.is_control())
}

/// The text in one line, cut after `max_chars` characters.
pub fn sanitize(text: &str, max_chars: usize) -> String {
    let characters = text.chars().take(max_chars);
    characters.map(|character| if character.is_control() { ' ' } else { character }).collect()
}

/// Which balancers an entry concerns, from the widest scope to the narrowest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Scope {
    /// All balancers of the fleet.
    All,
    /// The balancers of this service.
    Service(String),
    /// The balancers of a service in one zone.
    Zone {
        /// The service's name.
        service: String,
        /// The zone's name.
        zone: String,
    },
    /// The balancer of this name.
    Balancer(String),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::All => write!(f, "all"),
            Scope::Service(service) => write!(f, "service/{service}"),
            Scope::Zone { service, zone } => write!(f, "service/{service}/zone/{zone}"),
            Scope::Balancer(name) => write!(f, "balancer/{name}"),
        }
    }
}

/// Why a text is not a [`Scope`]; each variant has the text, sanitized.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScopeError {
    /// A name in it does not pass [`is_valid_name`].
    #[error(
        "{0}: a name is empty, longer than {max_bytes} bytes, or has surrounding white space or control characters",
        max_bytes = MAX_NAME_BYTES
    )]
    InvalidName(String),
    /// It does not have the form of a scope.
    #[error("{0}: not a scope, expected one of all, service/S, service/S/zone/Z, balancer/B")]
    UnknownForm(String),
}

impl FromStr for Scope {
    type Err = ScopeError;

    fn from_str(text: &str) -> Result<Self, ScopeError> {
        let segments: Vec<&str> = text.split('/').collect();
        if segments[1..].iter().any(|segment| !is_valid_name(segment)) {
            return Err(ScopeError::InvalidName(sanitize(text, MAX_REASON_CHARS)));
        }
        match segments[..] {
            ["all"] => Ok(Scope::All),
            ["service", service] => Ok(Scope::Service(service.to_owned())),
            ["service", service, "zone", zone] => {
                Ok(Scope::Zone { service: service.to_owned(), zone: zone.to_owned() })
            }
            ["balancer", name] => Ok(Scope::Balancer(name.to_owned())),
            _ => Err(ScopeError::UnknownForm(sanitize(text, MAX_REASON_CHARS))),
        }
    }
}

impl TryFrom<String> for Scope {
    type Error = ScopeError;

    fn try_from(text: String) -> Result<Self, ScopeError> {
        text.parse()
    }
}

impl From<Scope> for String {
    fn from(scope: Scope) -> Self {
        scope.to_string()
    }
}

/// A balancer's place in the fleet, which decides the entries that concern it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The balancer's name.
    pub name: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its zone; empty where it has none.
    #[serde(default)]
    pub zone: String,
}

impl Target {
    /// The scopes that concern it, from the widest to the narrowest.
    pub fn scopes(&self) -> [Scope; 4] {
        [
            Scope::All,
            Scope::Service(self.service.clone()),
            Scope::Zone { service: self.service.clone(), zone: self.zone.clone() },
            Scope::Balancer(self.name.clone()),
        ]
    }
}

/// The latest entry of a scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeEntry {
    /// The balancers that it concerns.
    pub scope: Scope,
    /// The version of the change that entered it.
    pub version: Version,
    /// The [`content_hash`] of the content.
    #[serde(rename = "hash")]
    pub content_hash: String,
    /// Part of a balancer's file; empty where the scope was cleared.
    pub content: String,
}

/// The SHA-256 of a content, in hexadecimal digits.
pub fn content_hash(content: &str) -> String {
    Sha256::digest(content.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The SHA-256 of all entries that concern a balancer as of one version, by their versions and content
/// hashes. Guards against entries of one version that are combined with entries of another.
pub fn bundle_hash<'a>(
    target: &Target,
    version: Version,
    entries: impl IntoIterator<Item = &'a ScopeEntry>,
) -> String {
    let mut text = format!("{}\n{}\n{}\n{version}\n", target.name, target.service, target.zone);
    for entry in entries {
        text.push_str(&format!("{} {} {}\n", entry.scope, entry.version, entry.content_hash));
    }
    content_hash(&text)
}

/// The part of a balancer's heartbeat that concerns its configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationReport {
    /// The balancer's service.
    pub service: String,
    /// The balancer's zone; empty where it has none.
    #[serde(default)]
    pub zone: String,
    /// The version that is active; 0 for its own file alone.
    #[serde(rename = "in_force")]
    pub active: Version,
    /// A version that it could not apply, and why.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "refused")]
    pub rejected: Option<(Version, String)>,
}

/// A balancer's request for the entries that concern it and are newer than its own, to any coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The balancer.
    #[serde(rename = "place")]
    pub target: Target,
    /// The balancer has all entries up to this version; 0 to get all entries.
    #[serde(rename = "have")]
    pub known_version: Version,
    /// The version that the balancer was notified of; a coordinator that has not applied it is behind.
    #[serde(rename = "want")]
    pub wanted_version: Version,
}

/// A coordinator's reply to a [`FetchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FetchReply {
    /// The entries that the balancer lacks.
    #[serde(rename = "parts")]
    Entries {
        /// The highest version that concerns the balancer.
        version: Version,
        /// The [`bundle_hash`] of these entries and those that the balancer has.
        #[serde(rename = "whole")]
        bundle_hash: String,
        /// The entries above [`FetchRequest::known_version`], from the widest scope to the narrowest.
        #[serde(rename = "parts")]
        entries: Vec<ScopeEntry>,
    },
    /// This coordinator has not applied the wanted version yet: another may have, or this one later.
    Behind,
}
