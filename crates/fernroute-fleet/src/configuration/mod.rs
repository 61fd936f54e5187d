//! Configuration for all balancers of a fleet: versioned entries in the replicated log, and who goes by which of them.
//!
//! An entry is a part of a balancer's file, for a [`Scope`]: all of the fleet, a service, a service in one zone, or one
//! balancer. What concerns a balancer is laid over its own file from the widest scope to the narrowest. Versions count up
//! over all scopes, so that the highest one that concerns a balancer says all about what it should go by.
//!
//! - [`register`]: what is replicated: the latest entry of each scope, and a history without contents.
//! - [`follower`]: a balancer's side: what is in force, what it was told of, when it asks for it.
//! - [`rollout`]: how far the members are, for `status`.
//!
//! Why an older one never lands over a newer, and none by half, stands in `docs/fleet-configuration-design.md`.

pub mod follower;
pub mod register;
pub mod rollout;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// Counts up with each entry, over all scopes. 0 is before the first.
pub type Version = u64;

/// The longest content of an entry: a long file of many methods and tenants.
pub const MAX_CONTENT_BYTES: usize = 64 << 10;

/// The longest name of a service, a zone, a balancer or an operator.
pub const MAX_NAME_BYTES: usize = 64;

/// The longest reason of a refusal that is told on, in characters.
pub const MAX_REASON_CHARS: usize = 200;

/// What a service, a zone or a balancer may be called in a scope: a line of a log or a table takes it as it is.
pub fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.trim() == text
        && !text.chars().any(|c| c == '/' || c.is_control())
}

/// In one line of so many characters at the most.
pub fn sanitize(text: &str, most: usize) -> String {
    text.chars().take(most).map(|c| if c.is_control() { ' ' } else { c }).collect()
}

/// Where a steward hands out what concerns a balancer.
pub const FETCH_PATH: &str = "/-/configuration/fetch";

/// Whose an entry is, from the widest to the narrowest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Scope {
    All,
    Service(String),
    Zone { service: String, zone: String },
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

impl FromStr for Scope {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let words: Vec<&str> = text.split('/').collect();
        if words[1..].iter().any(|word| !is_name(word)) {
            let text = sanitize(text, MAX_REASON_CHARS);
            return Err(format!(
                "{text}: a name is empty, longer than {MAX_NAME_BYTES}, or has blanks about it or control characters"
            ));
        }
        match words[..] {
            ["all"] => Ok(Scope::All),
            ["service", service] => Ok(Scope::Service(service.to_owned())),
            ["service", service, "zone", zone] => {
                Ok(Scope::Zone { service: service.to_owned(), zone: zone.to_owned() })
            }
            ["balancer", name] => Ok(Scope::Balancer(name.to_owned())),
            _ => Err(format!(
                "{}: is none of all, service/S, service/S/zone/Z, balancer/B",
                sanitize(text, MAX_REASON_CHARS)
            )),
        }
    }
}

impl TryFrom<String> for Scope {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<Scope> for String {
    fn from(scope: Scope) -> Self {
        scope.to_string()
    }
}

/// Where a balancer stands in the fleet: what tells which entries concern it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub name: String,
    pub service: String,
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
    pub scope: Scope,
    pub version: Version,
    /// Of the content, as [`content_hash`] makes it.
    #[serde(rename = "hash")]
    pub content_hash: String,
    /// Part of a balancer's file; empty where the scope says nothing any more.
    pub content: String,
}

/// SHA-256, in hexadecimal digits.
pub fn content_hash(content: &str) -> String {
    Sha256::digest(content.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// SHA-256 of all that concerns a balancer as of one version, without the contents: two that say the same are the same
/// bundle_hash. Guards against entries of one version laid over entries of another, whatever became of a part in between.
pub fn bundle_hash<'a>(
    target: &Target,
    version: Version,
    entries: impl IntoIterator<Item = &'a ScopeEntry>,
) -> String {
    let mut text = format!("{}\n{}\n{}\n{version}\n", target.name, target.service, target.zone);
    for part in entries {
        text.push_str(&format!("{} {} {}\n", part.scope, part.version, part.content_hash));
    }
    content_hash(&text)
}

/// What a balancer says in its beats of the configuration that it goes by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationReport {
    pub service: String,
    #[serde(default)]
    pub zone: String,
    /// The highest version that concerns it and is applied; 0 for its own file alone.
    #[serde(rename = "in_force")]
    pub active: Version,
    /// A version that it was told of and can't go by, and why.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "refused")]
    pub rejected: Option<(Version, String)>,
}

/// A balancer asks any steward for what concerns it and is newer than what it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    #[serde(rename = "place")]
    pub target: Target,
    /// It has all entries up to this one; 0 for none, and then it takes the answer for all there is.
    #[serde(rename = "have")]
    pub known_version: Version,
    /// It was told of this one: a steward that does not know it yet is behind.
    #[serde(rename = "want")]
    pub wanted_version: Version,
}

/// A steward's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FetchReply {
    /// The highest version that concerns the balancer, and the entries above what it has, from the widest to the narrowest.
    /// The [`bundle_hash`] is of these and of those that it has.
    #[serde(rename = "parts")]
    Entries {
        version: Version,
        #[serde(rename = "whole")]
        bundle_hash: String,
        #[serde(rename = "parts")]
        entries: Vec<ScopeEntry>,
    },
    /// This steward has not applied that far: another one, or later.
    Behind,
}
