//! The messages between members and coordinators, whatever transport carries them.
//!
//! The balancer's fleet task sends a [`Heartbeat`] in an [`Envelope`] to any coordinator. The leader's
//! replica answers with a [`HeartbeatReply`], or with a [`HeartbeatError`]. Unknown fields are ignored, so
//! that versions can differ.

use crate::configuration::{ConfigurationReport, Version};
use crate::duties;
use crate::{BudgetAmounts, MemberId};
use fernroute::Time;
use serde::{Deserialize, Serialize};

/// A member's periodic report and request for a grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The member's name.
    pub name: String,
    /// The member's identity.
    pub identity: MemberId,
    /// Increases with each heartbeat; the reply repeats it.
    pub number: u64,
    /// The epoch of the grant that the member uses; it never uses an older one again.
    pub epoch: u64,
    /// What the member could use of each budget, per second.
    #[serde(rename = "wants")]
    pub demand: BudgetAmounts,
    /// The member spends nothing from here on, and does not return.
    #[serde(default)]
    #[serde(rename = "leaves")]
    pub leaving: bool,
    /// The configuration that it uses; none where it follows none or its version does not support it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<ConfigurationReport>,
    /// Its duties; none where its version does not support them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<duties::DutyReport>,
}

/// What a member may hold, as of one epoch of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The ledger's epoch at which it was offered.
    pub epoch: u64,
    /// Amounts that are valid for the long lease.
    #[serde(rename = "floors")]
    pub guaranteed: BudgetAmounts,
    /// Amounts that are valid for the short lease, in addition to the guaranteed ones.
    #[serde(rename = "shares")]
    pub quotas: BudgetAmounts,
}

/// The leader's reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The member that it is for.
    pub identity: MemberId,
    /// The number of the heartbeat that it answers.
    pub number: u64,
    /// The member's latest grant.
    pub grant: Grant,
    /// How long the quotas are valid, from when the heartbeat was sent, by the member's clock.
    #[serde(rename = "shares_for")]
    pub quotas_valid_for: Time,
    /// How long the guaranteed amounts are valid; likewise.
    #[serde(rename = "floors_for")]
    pub guaranteed_valid_for: Time,
    /// The configuration version that concerns the member, where it reported another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Version>,
    /// The member's duties; none where there is nothing to report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub duties: Option<duties::DutyAssignments>,
}

/// The version of the messages between coordinators and from members; messages of any other are rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// The path at which a coordinator receives heartbeats.
pub const HEARTBEAT_PATH: &str = "/-/beat";

/// The frame of every message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope<M> {
    /// The cluster's name. Guards against a message from another cluster.
    pub cluster: String,
    /// The sender's [`PROTOCOL_VERSION`].
    pub version: u32,
    /// The coordinator that it is for; 0 for any.
    #[serde(rename = "to")]
    pub recipient: u64,
    /// The message itself.
    pub message: M,
}

/// Why a coordinator has no reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeartbeatError {
    /// Another coordinator leads; its address, where that is known.
    #[serde(rename = "elsewhere")]
    NotLeader(Option<String>),
    /// The leader has rejected the heartbeat.
    #[serde(rename = "refused")]
    Rejected(RejectReason),
}

/// Why the leader gives no grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// Another member has this name, and may still hold a grant.
    NameTaken,
    /// The ledger has as many members as it may have.
    Full,
    /// A transition that concerns this member is being entered; a later heartbeat gets the reply.
    #[serde(rename = "later")]
    RetryLater,
    /// The name is empty or too long.
    #[serde(rename = "bad_name")]
    InvalidName,
}
