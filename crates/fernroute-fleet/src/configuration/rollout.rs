//! How far the members are with the configuration that concerns them, as the leader knows it.

use super::{ConfigurationReport, Version};
use serde::{Deserialize, Serialize};

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// It goes by the version that concerns it.
    #[serde(rename = "in_force")]
    Active,
    /// It was told of it with each answer, or will be with the next.
    #[serde(rename = "on_its_way")]
    Pending,
    /// It can't go by it, and says why.
    #[serde(rename = "refused")]
    Rejected,
    /// It goes by a version that this register does not have: of one that was lost with all stewards' disks.
    Ahead,
    /// No beat for longer than a share is held, or none yet since this leader was elected.
    #[serde(rename = "not_heard_of")]
    Unreachable,
    /// It is heard of and says nothing of a configuration: it follows none, or is of a version that knows of none.
    #[serde(rename = "follows_none")]
    NotFollowing,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRollout {
    pub name: String,
    /// Empty where nothing was reported; so are the others.
    pub service: String,
    pub zone: String,
    /// The highest version that concerns it.
    pub wanted: Version,
    /// The version that it goes by, as it last said.
    #[serde(rename = "in_force")]
    pub active: Version,
    /// The version that it last rejected, and why; an older one than the wanted one may stand here.
    #[serde(rename = "refused")]
    pub rejected: Option<(Version, String)>,
    #[serde(rename = "standing")]
    pub state: RolloutState,
}

impl MemberRollout {
    /// `report` is the last one, if the last beat had any; `heard` says whether that was lately.
    pub fn new(name: &str, wanted: Version, report: Option<&ConfigurationReport>, heard: bool) -> Self {
        let state = match report {
            _ if !heard => RolloutState::Unreachable,
            None => RolloutState::NotFollowing,
            Some(report) if report.active == wanted => RolloutState::Active,
            Some(report) if report.active > wanted => RolloutState::Ahead,
            // What was rejected before the wanted one says nothing of that.
            Some(ConfigurationReport { rejected: Some((version, _)), .. }) if *version == wanted => {
                RolloutState::Rejected
            }
            Some(_) => RolloutState::Pending,
        };
        let report = report.cloned().unwrap_or_default();
        let ConfigurationReport { service, zone, active, rejected } = report;
        MemberRollout { name: name.to_owned(), service, zone, wanted, active, rejected, state }
    }
}

/// How many members stand where.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutSummary {
    #[serde(rename = "in_force")]
    pub active: usize,
    #[serde(rename = "on_its_way")]
    pub pending: usize,
    #[serde(rename = "refused")]
    pub rejected: usize,
    pub ahead: usize,
    #[serde(rename = "not_heard_of")]
    pub unreachable: usize,
    #[serde(rename = "follows_none")]
    pub not_following: usize,
}

impl RolloutSummary {
    pub fn new<'a>(members: impl IntoIterator<Item = &'a MemberRollout>) -> Self {
        let mut summary = RolloutSummary::default();
        for member in members {
            *match member.state {
                RolloutState::Active => &mut summary.active,
                RolloutState::Pending => &mut summary.pending,
                RolloutState::Rejected => &mut summary.rejected,
                RolloutState::Ahead => &mut summary.ahead,
                RolloutState::Unreachable => &mut summary.unreachable,
                RolloutState::NotFollowing => &mut summary.not_following,
            } += 1;
        }
        summary
    }

    /// Whether whoever is heard of and follows any goes by what concerns it.
    pub fn is_complete(&self) -> bool {
        self.pending + self.rejected + self.ahead == 0
    }
}
