//! What members and the leader say to each other, whatever carries it. Fields that are not known are passed over.

use crate::configuration::{ConfigurationReport, Version};
use crate::duties;
use crate::{BudgetAmounts, MemberId};
use fernroute::Time;
use serde::{Deserialize, Serialize};

/// A member says that it is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub name: String,
    pub identity: MemberId,
    /// Counts up; the answer to it says it again.
    pub number: u64,
    /// Of the grant that it goes by: it never goes by an older one again.
    pub epoch: u64,
    /// What it could use of each budget, a second.
    #[serde(rename = "wants")]
    pub demand: BudgetAmounts,
    /// It spends nothing any more, and comes no more.
    #[serde(default)]
    #[serde(rename = "leaves")]
    pub leaving: bool,
    /// The configuration that it goes by; none where it follows none, or is of a version that knows of none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<ConfigurationReport>,
    /// Whether it takes duties; none where it is of a version that knows of none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<duties::DutyReport>,
}

/// What a member may hold, as of one epoch of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub epoch: u64,
    /// Held for the long lease.
    #[serde(rename = "floors")]
    pub guaranteed: BudgetAmounts,
    /// Held beside the guaranteed for the short one.
    #[serde(rename = "shares")]
    pub quotas: BudgetAmounts,
}

/// The leader's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    pub identity: MemberId,
    /// The number of the beat that it answers.
    pub number: u64,
    pub grant: Grant,
    /// For how long the grant's two parts hold, from when the beat left, by the member's clock.
    #[serde(rename = "shares_for")]
    pub quotas_valid_for: Time,
    #[serde(rename = "floors_for")]
    pub guaranteed_valid_for: Time,
    /// The version that concerns it, where it reported another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Version>,
    /// The duties that it holds; none where it holds none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<duties::DutyAssignments>,
}

/// Of the messages between stewards and from members. Another one is refused by name.
pub const PROTOCOL_VERSION: u32 = 1;

/// Where a steward takes beats.
pub const HEARTBEAT_PATH: &str = "/-/beat";

/// What every message stands in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope<M> {
    pub cluster: String,
    pub version: u32,
    /// The steward that it is for; 0 for whichever it reaches.
    #[serde(rename = "to")]
    pub recipient: u64,
    pub message: M,
}

/// Why a beat is not answered by the steward that it reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeartbeatError {
    /// Another one leads; its address, where it is known.
    #[serde(rename = "elsewhere")]
    NotLeader(Option<String>),
    #[serde(rename = "refused")]
    Rejected(RejectReason),
}

/// Why a beat gets no grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// Another member has this name, and may still hold something.
    NameTaken,
    /// As many members as the ledger may have are there.
    Full,
    /// What is being entered now concerns this member: it is told again shortly.
    #[serde(rename = "later")]
    RetryLater,
    /// Longer than a name may be, or empty.
    #[serde(rename = "bad_name")]
    InvalidName,
}
