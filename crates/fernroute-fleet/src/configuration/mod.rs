//! Configuration for all balancers of a fleet: versioned entries in the replicated log, and who goes by which of them.
//!
//! An entry is a part of a balancer's file, for a [`Scope`]: all of the fleet, a service, a service in one zone, or one
//! balancer. What concerns a balancer is laid over its own file from the widest scope to the narrowest. Versions count up
//! over all scopes, so that the highest one that concerns a balancer says all about what it should go by.
//!
//! - [`register`]: what is replicated: the latest entry of each scope, and a history without contents.
//! - [`follower`]: a balancer's side: what is in force, what it was told of, when it asks for it.
//! - [`standing`]: how far the members are, for `status`.
//!
//! Why an older one never lands over a newer, and none by half, stands in `docs/fleet-configuration-design.md`.

pub mod follower;
pub mod register;
pub mod standing;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// Counts up with each entry, over all scopes. 0 is before the first.
pub type Version = u64;

/// The longest content of an entry: a long file of many methods and tenants.
pub const MOST_CONTENT: usize = 64 << 10;

/// The longest name of a service, a zone, a balancer or an operator.
pub const MOST_NAME: usize = 64;

/// The longest reason of a refusal that is told on, in characters.
pub const MOST_REASON: usize = 200;

/// What a service, a zone or a balancer may be called in a scope: a line of a log or a table takes it as it is.
pub fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MOST_NAME
        && text.trim() == text
        && !text.chars().any(|c| c == '/' || c.is_control())
}

/// In one line of so many characters at the most.
pub fn tidy(text: &str, most: usize) -> String {
    text.chars().take(most).map(|c| if c.is_control() { ' ' } else { c }).collect()
}

/// Where a steward hands out what concerns a balancer.
pub const FETCH: &str = "/-/configuration/fetch";

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
            let text = tidy(text, MOST_REASON);
            return Err(format!(
                "{text}: a name is empty, longer than {MOST_NAME}, or has blanks about it or control characters"
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
                tidy(text, MOST_REASON)
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
pub struct Place {
    pub name: String,
    pub service: String,
    #[serde(default)]
    pub zone: String,
}

impl Place {
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
pub struct Part {
    pub scope: Scope,
    pub version: Version,
    /// Of the content, as [`hash`] makes it.
    pub hash: String,
    /// Part of a balancer's file; empty where the scope says nothing any more.
    pub content: String,
}

/// SHA-256, in hexadecimal digits.
pub fn hash(content: &str) -> String {
    Sha256::digest(content.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// SHA-256 of all that concerns a balancer as of one version, without the contents: two that say the same are the same
/// whole. Guards against parts of one version laid over parts of another, whatever became of a part in between.
pub fn whole<'a>(place: &Place, version: Version, parts: impl IntoIterator<Item = &'a Part>) -> String {
    let mut text = format!("{}\n{}\n{}\n{version}\n", place.name, place.service, place.zone);
    for part in parts {
        text.push_str(&format!("{} {} {}\n", part.scope, part.version, part.hash));
    }
    hash(&text)
}

/// What a balancer says in its beats of the configuration that it goes by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub service: String,
    #[serde(default)]
    pub zone: String,
    /// The highest version that concerns it and is applied; 0 for its own file alone.
    pub in_force: Version,
    /// A version that it was told of and can't go by, and why.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<(Version, String)>,
}

/// A balancer asks any steward for what concerns it and is newer than what it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    pub place: Place,
    /// It has all parts up to this one; 0 for none, and then it takes the answer for all there is.
    pub have: Version,
    /// It was told of this one: a steward that does not know it yet is behind.
    pub want: Version,
}

/// A steward's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fetched {
    /// The highest version that concerns the balancer, and the parts above what it has, from the widest to the narrowest.
    /// The [`whole`] is of these and of those that it has.
    Parts { version: Version, whole: String, parts: Vec<Part> },
    /// This steward has not applied that far: another one, or later.
    Behind,
}
