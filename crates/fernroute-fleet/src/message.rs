//! What members and the leader say to each other, whatever carries it. Fields that are not known are passed over.

use crate::configuration::{Report, Version};
use crate::duties;
use crate::{Identity, Shares};
use fernroute::Time;
use serde::{Deserialize, Serialize};

/// A member says that it is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    pub name: String,
    pub identity: Identity,
    /// Counts up; the answer to it says it again.
    pub number: u64,
    /// Of the grant that it goes by: it never goes by an older one again.
    pub epoch: u64,
    /// What it could use of each budget, a second.
    pub wants: Shares,
    /// It spends nothing any more, and comes no more.
    #[serde(default)]
    pub leaves: bool,
    /// The configuration that it goes by; none where it follows none, or is of a version that knows of none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Report>,
    /// Whether it takes duties; none where it is of a version that knows of none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<duties::Report>,
}

/// What a member may hold, as of one epoch of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub epoch: u64,
    /// Held for the long lease.
    pub floors: Shares,
    /// Held beside the floors for the short one.
    pub shares: Shares,
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub identity: Identity,
    /// The number of the beat that it answers.
    pub number: u64,
    pub grant: Grant,
    /// For how long the grant's two parts hold, from when the beat left, by the member's clock.
    pub shares_for: Time,
    pub floors_for: Time,
    /// The version that concerns it, where it reported another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Version>,
    /// The duties that it holds; none where it holds none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<duties::Told>,
}

/// Of the messages between stewards and from members. Another one is refused by name.
pub const VERSION: u32 = 1;

/// Where a steward takes beats.
pub const BEAT: &str = "/-/beat";

/// What every message stands in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope<M> {
    pub cluster: String,
    pub version: u32,
    /// The steward that it is for; 0 for whichever it reaches.
    pub to: u64,
    pub message: M,
}

/// Why a beat is not answered by the steward that it reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unanswered {
    /// Another one leads; its address, where it is known.
    Elsewhere(Option<String>),
    Refused(Refusal),
}

/// Why a beat gets no grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Another member has this name, and may still hold something.
    NameTaken,
    /// As many members as the ledger may have are there.
    Full,
    /// What is being entered now concerns this member: it is told again shortly.
    Later,
    /// Longer than a name may be, or empty.
    BadName,
}
