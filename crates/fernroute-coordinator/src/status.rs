//! What a steward says of itself and the ledger, for people.

use crate::replica::Replica;
use fernroute_fleet::MILLI_UNITS_PER_UNIT;
use openraft::BasicNode;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A member of the fleet, for people.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub epoch: u64,
    /// What it may hold at the most, a second, by budget.
    pub holds: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetStatus {
    pub whole: f64,
    pub floor: f64,
    pub held: f64,
}

/// One of the ledger's processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaStatus {
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
    pub stewards: Vec<ReplicaStatus>,
    /// Messages that it could not read, since its start.
    pub unread: u64,
    /// ReplicaInfo leads, by its name.
    pub leader: Option<String>,
    pub term: u64,
    pub epoch: u64,
    pub budgets: BTreeMap<String, BudgetStatus>,
    pub members: Vec<MemberStatus>,
}

impl Replica {
    pub(crate) fn members(&self) -> Vec<ReplicaStatus> {
        let Some(metrics) = self.metrics() else { return Vec::new() };
        let membership = metrics.membership_config.membership();
        let voters: BTreeSet<u64> = membership.voter_ids().collect();
        let line = |(id, node): (&u64, &BasicNode)| ReplicaStatus {
            name: node.addr.clone(),
            id: *id,
            votes: voters.contains(id),
        };
        membership.nodes().map(line).collect()
    }

    pub fn status(&self) -> Status {
        let (metrics, trouble, stewards) =
            (self.metrics(), self.fault().map(|fault| fault.to_string()), self.members());
        let leader = metrics.as_ref().and_then(|m| m.current_leader);
        let leader = leader.and_then(|leader| Some(stewards.iter().find(|s| s.id == leader)?.name.clone()));
        let state = match &metrics {
            None => "waiting".to_owned(),
            Some(_) if trouble.is_some() => "stopped".to_owned(),
            Some(_) if self.info().is_uninitialized => "blank".to_owned(),
            Some(metrics) => format!("{:?}", metrics.state).to_lowercase(),
        };
        self.ledger(|ledger| Status {
            cluster: self.terms.cluster.clone(),
            steward: self.terms.name.clone(),
            id: self.identity.id,
            state,
            trouble,
            stewards,
            unread: self.unreadable_messages.get(),
            leader,
            term: metrics.as_ref().map_or(0, |m| m.current_term),
            epoch: ledger.epoch(),
            budgets: ledger
                .budgets()
                .iter()
                .map(|(name, b)| {
                    let of = |units: u64| units as f64 / MILLI_UNITS_PER_UNIT;
                    let line = BudgetStatus {
                        whole: of(b.limit),
                        floor: of(b.guaranteed),
                        held: of(ledger.total_allocated(name)),
                    };
                    (name.clone(), line)
                })
                .collect(),
            members: ledger
                .allocations()
                .values()
                .map(|holder| MemberStatus {
                    name: holder.name.clone(),
                    epoch: holder.latest_grant().epoch,
                    holds: ledger
                        .budgets()
                        .keys()
                        .map(|name| (name.clone(), holder.max_allocated(name) as f64 / MILLI_UNITS_PER_UNIT))
                        .collect(),
                })
                .collect(),
        })
    }
}
