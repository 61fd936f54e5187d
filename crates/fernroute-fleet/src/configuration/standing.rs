//! How far the members are with the configuration that concerns them, as the leader knows it.

use super::{Report, Version};
use serde::{Deserialize, Serialize};

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It goes by the version that concerns it.
    InForce,
    /// It was told of it with each answer, or will be with the next.
    OnItsWay,
    /// It can't go by it, and says why.
    Refused,
    /// It goes by a version that this register does not have: of one that was lost with all stewards' disks.
    Ahead,
    /// No beat for longer than a share is held, or none yet since this leader was elected.
    NotHeardOf,
    /// It is heard of and says nothing of a configuration: it follows none, or is of a version that knows of none.
    FollowsNone,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStanding {
    pub name: String,
    /// Empty where nothing was reported; so are the others.
    pub service: String,
    pub zone: String,
    /// The highest version that concerns it.
    pub wanted: Version,
    /// The version that it goes by, as it last said.
    pub in_force: Version,
    /// The version that it last refused, and why; an older one than the wanted one may stand here.
    pub refused: Option<(Version, String)>,
    pub standing: Standing,
}

impl MemberStanding {
    /// `report` is the last one, if the last beat had any; `heard` says whether that was lately.
    pub fn new(name: &str, wanted: Version, report: Option<&Report>, heard: bool) -> Self {
        let standing = match report {
            _ if !heard => Standing::NotHeardOf,
            None => Standing::FollowsNone,
            Some(report) if report.in_force == wanted => Standing::InForce,
            Some(report) if report.in_force > wanted => Standing::Ahead,
            // What was refused before the wanted one says nothing of that.
            Some(Report { refused: Some((version, _)), .. }) if *version == wanted => Standing::Refused,
            Some(_) => Standing::OnItsWay,
        };
        let report = report.cloned().unwrap_or_default();
        let Report { service, zone, in_force, refused } = report;
        MemberStanding { name: name.to_owned(), service, zone, wanted, in_force, refused, standing }
    }
}

/// How many members stand where.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    pub in_force: usize,
    pub on_its_way: usize,
    pub refused: usize,
    pub ahead: usize,
    pub not_heard_of: usize,
    pub follows_none: usize,
}

impl Summary {
    pub fn new<'a>(members: impl IntoIterator<Item = &'a MemberStanding>) -> Self {
        let mut summary = Summary::default();
        for member in members {
            *match member.standing {
                Standing::InForce => &mut summary.in_force,
                Standing::OnItsWay => &mut summary.on_its_way,
                Standing::Refused => &mut summary.refused,
                Standing::Ahead => &mut summary.ahead,
                Standing::NotHeardOf => &mut summary.not_heard_of,
                Standing::FollowsNone => &mut summary.follows_none,
            } += 1;
        }
        summary
    }

    /// Whether whoever is heard of and follows any goes by what concerns it.
    pub fn is_in_force(&self) -> bool {
        self.on_its_way + self.refused + self.ahead == 0
    }
}
