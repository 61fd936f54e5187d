//! What a replica reports of itself and the ledger to operators.

use crate::replica::Replica;
use fernroute_fleet::ledger::{Allocation, Ledger};
use fernroute_fleet::MILLI_UNITS_PER_UNIT;
use openraft::BasicNode;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A member of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: String,
    /// The ledger's epoch at its latest grant.
    pub epoch: u64,
    /// The largest amount that it may hold of each budget, in units a second.
    #[serde(rename = "holds")]
    pub allocated: BTreeMap<String, f64>,
}

/// A budget, in units a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// The limit of all members together.
    #[serde(rename = "whole")]
    pub limit: f64,
    /// What each member is guaranteed.
    #[serde(rename = "floor")]
    pub guaranteed: f64,
    /// What all members together may hold.
    #[serde(rename = "held")]
    pub allocated: f64,
}

/// A member of the ledger's raft cluster.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its name in the configuration.
    pub name: String,
    /// Its identifier among raft's nodes.
    pub id: u64,
    /// Whether it is a voter; a learner is being added.
    #[serde(rename = "votes")]
    pub is_voter: bool,
}

/// One replica, and the ledger as that replica knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The cluster of the ledger.
    pub cluster: String,
    /// The name of the replica that reports.
    #[serde(rename = "steward")]
    pub replica: String,
    /// The identifier of that replica.
    pub id: u64,
    /// leader, follower, candidate, learner, blank, waiting (until its disk is known not to be stale), or stopped.
    pub state: String,
    /// Why the replica takes no part in the cluster, if it takes none.
    #[serde(rename = "trouble")]
    pub fault: Option<String>,
    /// The members of the raft cluster.
    #[serde(rename = "stewards")]
    pub replicas: Vec<ReplicaStatus>,
    /// Messages that the replica could not read, since its start.
    #[serde(rename = "unread")]
    pub unreadable_messages: u64,
    /// The leader's name.
    pub leader: Option<String>,
    /// Raft's current term.
    pub term: u64,
    /// The ledger's epoch.
    pub epoch: u64,
    /// Budgets by name.
    pub budgets: BTreeMap<String, BudgetStatus>,
    /// The members of the fleet.
    pub members: Vec<MemberStatus>,
}

impl Replica {
    /// The members of the raft cluster, as this replica knows them.
    pub(crate) fn members(&self) -> Vec<ReplicaStatus> {
        let Some(metrics) = self.metrics() else { return Vec::new() };
        let membership = metrics.membership_config.membership();
        let voters: BTreeSet<u64> = membership.voter_ids().collect();
        let replica_status = |(id, node): (&u64, &BasicNode)| ReplicaStatus {
            name: node.addr.clone(),
            id: *id,
            is_voter: voters.contains(id),
        };
        membership.nodes().map(replica_status).collect()
    }

    /// What this replica reports of itself and the ledger.
    pub fn status(&self) -> Status {
        let metrics = self.metrics();
        let fault = self.fault().map(|fault| fault.to_string());
        let replicas = self.members();
        let leader_id = metrics.as_ref().and_then(|metrics| metrics.current_leader);
        let leader = replicas.iter().find(|replica| Some(replica.id) == leader_id);
        let leader = leader.map(|leader| leader.name.clone());
        let state = match &metrics {
            None => "waiting".to_owned(),
            Some(_) if fault.is_some() => "stopped".to_owned(),
            Some(_) if self.info().is_uninitialized => "blank".to_owned(),
            Some(metrics) => format!("{:?}", metrics.state).to_lowercase(),
        };
        self.ledger(|ledger| Status {
            cluster: self.config.cluster.clone(),
            replica: self.config.name.clone(),
            id: self.identity.id,
            state,
            fault,
            leader,
            replicas,
            unreadable_messages: self.unreadable_messages.get(),
            term: metrics.as_ref().map_or(0, |metrics| metrics.current_term),
            epoch: ledger.epoch(),
            budgets: budget_statuses(ledger),
            members: ledger.allocations().values().map(|member| member_status(ledger, member)).collect(),
        })
    }
}

fn units(milli_units: u64) -> f64 {
    milli_units as f64 / MILLI_UNITS_PER_UNIT
}

fn budget_statuses(ledger: &Ledger) -> BTreeMap<String, BudgetStatus> {
    let mut statuses = BTreeMap::new();
    for (name, budget) in ledger.budgets() {
        let status = BudgetStatus {
            limit: units(budget.limit),
            guaranteed: units(budget.guaranteed),
            allocated: units(ledger.total_allocated(name)),
        };
        statuses.insert(name.clone(), status);
    }
    statuses
}

fn member_status(ledger: &Ledger, member: &Allocation) -> MemberStatus {
    let budgets = ledger.budgets().keys();
    MemberStatus {
        name: member.name.clone(),
        epoch: member.latest_grant().epoch,
        allocated: budgets.map(|name| (name.clone(), units(member.max_allocated(name)))).collect(),
    }
}
