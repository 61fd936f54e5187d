//! The rollout state of the configuration at each member, as the leader knows it.
//!
//! [`crate::leader::Leader::configuration_states`] makes a [`MemberRollout`] of each member; the
//! coordinator's `status` shows them and their [`RolloutSummary`].

use super::{ConfigurationReport, Version};
use serde::{Deserialize, Serialize};

/// The state of a rollout at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The version that concerns it is active.
    #[serde(rename = "in_force")]
    Active,
    /// An older version is active; replies to its heartbeats name the wanted one.
    #[serde(rename = "on_its_way")]
    Pending,
    /// It has rejected the wanted version, and reported why.
    #[serde(rename = "refused")]
    Rejected,
    /// Its active version is not in this register: it is from one that was lost with all coordinators' disks.
    Ahead,
    /// No heartbeat for longer than the quota lease, or none yet since this leader was elected.
    #[serde(rename = "not_heard_of")]
    Unreachable,
    /// Its heartbeats report no configuration: it follows none, or its version does not support it.
    #[serde(rename = "follows_none")]
    NotFollowing,
}

/// The rollout at one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRollout {
    /// The member's name.
    pub name: String,
    /// The member's service; empty without a report.
    pub service: String,
    /// The member's zone; empty without a report.
    pub zone: String,
    /// The highest version that concerns it; 0 without a report.
    pub wanted: Version,
    /// The version that it last reported as active; 0 without a report.
    #[serde(rename = "in_force")]
    pub active: Version,
    /// The version that it last rejected, and why; it may be older than the wanted one.
    #[serde(rename = "refused")]
    pub rejected: Option<(Version, String)>,
    /// The member's rollout state.
    #[serde(rename = "standing")]
    pub state: RolloutState,
}

impl MemberRollout {
    /// `report` is the one of the member's last heartbeat, if that had one.
    pub fn new(
        name: &str,
        wanted: Version,
        report: Option<&ConfigurationReport>,
        is_reachable: bool,
    ) -> Self {
        let state = if is_reachable { reported_state(wanted, report) } else { RolloutState::Unreachable };
        let report = report.cloned().unwrap_or_default();
        let ConfigurationReport { service, zone, active, rejected } = report;
        MemberRollout { name: name.to_owned(), service, zone, wanted, active, rejected, state }
    }
}

/// The state of a reachable member.
fn reported_state(wanted: Version, report: Option<&ConfigurationReport>) -> RolloutState {
    let Some(report) = report else { return RolloutState::NotFollowing };
    if report.active == wanted {
        return RolloutState::Active;
    }
    if report.active > wanted {
        return RolloutState::Ahead;
    }
    match report.rejected {
        Some((rejected, _)) if rejected == wanted => RolloutState::Rejected,
        _ => RolloutState::Pending,
    }
}

/// The number of members in each [`RolloutState`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutSummary {
    /// In [`RolloutState::Active`].
    #[serde(rename = "in_force")]
    pub active: usize,
    /// In [`RolloutState::Pending`].
    #[serde(rename = "on_its_way")]
    pub pending: usize,
    /// In [`RolloutState::Rejected`].
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// In [`RolloutState::Ahead`].
    pub ahead: usize,
    /// In [`RolloutState::Unreachable`].
    #[serde(rename = "not_heard_of")]
    pub unreachable: usize,
    /// In [`RolloutState::NotFollowing`].
    #[serde(rename = "follows_none")]
    pub not_following: usize,
}

impl RolloutSummary {
    /// Counts each member once.
    pub fn new<'a>(members: impl IntoIterator<Item = &'a MemberRollout>) -> Self {
        let mut summary = RolloutSummary::default();
        for member in members {
            *summary.count_mut(member.state) += 1;
        }
        summary
    }

    fn count_mut(&mut self, state: RolloutState) -> &mut usize {
        match state {
            RolloutState::Active => &mut self.active,
            RolloutState::Pending => &mut self.pending,
            RolloutState::Rejected => &mut self.rejected,
            RolloutState::Ahead => &mut self.ahead,
            RolloutState::Unreachable => &mut self.unreachable,
            RolloutState::NotFollowing => &mut self.not_following,
        }
    }

    /// Whether the wanted version is active at every reachable member that follows a configuration.
    pub fn is_complete(&self) -> bool {
        self.pending + self.rejected + self.ahead == 0
    }
}
