//! What a steward says of itself and the ledger, for people.

use crate::keep::Keeper;
use fernroute_fleet::UNIT;
use openraft::BasicNode;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A member of the fleet, for people.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberLine {
    pub name: String,
    pub epoch: u64,
    /// What it may hold at the most, a second, by budget.
    pub holds: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetLine {
    pub whole: f64,
    pub floor: f64,
    pub held: f64,
}

/// One of the ledger's processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StewardLine {
    pub name: String,
    pub id: u64,
    /// One that has no vote is being taken in.
    pub votes: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub cluster: String,
    pub steward: String,
    pub id: u64,
    /// leader, follower, candidate, learner, blank, waiting (until it is known that its disk is no older one), or stopped.
    pub state: String,
    /// Why it takes no part, if it takes none.
    pub trouble: Option<String>,
    /// Of the ledger, as this one knows them.
    pub stewards: Vec<StewardLine>,
    /// Messages that it could not read, since its start.
    pub unread: u64,
    /// Who leads, by its name.
    pub leader: Option<String>,
    pub term: u64,
    pub epoch: u64,
    pub budgets: BTreeMap<String, BudgetLine>,
    pub members: Vec<MemberLine>,
}

impl Keeper {
    pub(crate) fn stewards(&self) -> Vec<StewardLine> {
        let Some(metrics) = self.metrics() else { return Vec::new() };
        let membership = metrics.membership_config.membership();
        let voters: BTreeSet<u64> = membership.voter_ids().collect();
        let line = |(id, node): (&u64, &BasicNode)| StewardLine {
            name: node.addr.clone(),
            id: *id,
            votes: voters.contains(id),
        };
        membership.nodes().map(line).collect()
    }

    pub fn status(&self) -> Status {
        let (metrics, trouble, stewards) = (self.metrics(), self.trouble(), self.stewards());
        let leader = metrics.as_ref().and_then(|m| m.current_leader);
        let leader = leader.and_then(|leader| Some(stewards.iter().find(|s| s.id == leader)?.name.clone()));
        let state = match &metrics {
            None => "waiting".to_owned(),
            Some(_) if trouble.is_some() => "stopped".to_owned(),
            Some(_) if self.who().blank => "blank".to_owned(),
            Some(metrics) => format!("{:?}", metrics.state).to_lowercase(),
        };
        self.ledger(|ledger| Status {
            cluster: self.terms.cluster.clone(),
            steward: self.terms.name.clone(),
            id: self.own.id,
            state,
            trouble,
            stewards,
            unread: self.unread.get(),
            leader,
            term: metrics.as_ref().map_or(0, |m| m.current_term),
            epoch: ledger.epoch(),
            budgets: ledger
                .budgets()
                .iter()
                .map(|(name, b)| {
                    let of = |units: u64| units as f64 / UNIT;
                    let line =
                        BudgetLine { whole: of(b.whole), floor: of(b.floor), held: of(ledger.held(name)) };
                    (name.clone(), line)
                })
                .collect(),
            members: ledger
                .holders()
                .values()
                .map(|holder| MemberLine {
                    name: holder.name.clone(),
                    epoch: holder.latest().epoch,
                    holds: ledger
                        .budgets()
                        .keys()
                        .map(|name| (name.clone(), holder.holds(name) as f64 / UNIT))
                        .collect(),
                })
                .collect(),
        })
    }
}
