//! The change of the set of voters to the replicas of the leader's configuration.

use super::{IdentifyError, Replica};
use crate::config::CoordinatorAddress;
use crate::Raft;
use openraft::error::{ClientWriteError, RaftError};
use openraft::BasicNode;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;

/// How long a new replica may take to receive the ledger.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the set of voters was not changed.
#[derive(Debug, Error)]
pub enum MembershipError {
    /// Another replica leads.
    #[error("not the leader, {leader} is")]
    NotLeader {
        /// The name of the leader.
        leader: String,
    },
    /// No leader is known.
    #[error("no leader is known")]
    NoLeader,
    /// The operator's file and the leader's name different replicas.
    #[error("the file of the leader {leader} names {names}: restart the leader with the new file")]
    DifferentConfig {
        /// The name of the leader.
        leader: String,
        /// The replicas that the leader's file names.
        names: String,
    },
    /// A new replica did not receive the ledger in time.
    #[error("{name}: it did not receive the ledger in time")]
    CatchUpTimeout {
        /// The name of the new replica.
        name: String,
    },
    /// A replica belongs to another ledger of the same cluster.
    #[error("{name}: it belongs to another ledger of the cluster {cluster}")]
    OtherLedger {
        /// The name of that replica.
        name: String,
        /// The cluster of both ledgers.
        cluster: String,
    },
    /// A replica that is not a member yet could not be identified.
    #[error("{name}: {source}")]
    Unidentified {
        /// The name of that replica.
        name: String,
        /// Why it could not be identified.
        source: IdentifyError,
    },
    /// Raft did not accept the change.
    #[error(transparent)]
    Raft(Box<RaftError<u64, ClientWriteError<u64, BasicNode>>>),
}

impl From<RaftError<u64, ClientWriteError<u64, BasicNode>>> for MembershipError {
    fn from(error: RaftError<u64, ClientWriteError<u64, BasicNode>>) -> Self {
        MembershipError::Raft(Box::new(error))
    }
}

/// A replica that is to be a voter.
struct Voter {
    id: u64,
    is_new: bool,
}

impl Replica {
    /// Makes the replicas of this leader's configuration the voters; `names` are those of the operator's file and must be
    /// the same. A new replica, or one that came back with another disk, is added once it has the ledger; one that is
    /// not named any more loses its vote. Returns the names of the added replicas.
    ///
    /// # Errors
    /// Where this replica does not lead, the names differ, a new replica cannot be added, or raft refuses.
    pub async fn change_membership(&self, names: &[String]) -> Result<Vec<String>, MembershipError> {
        self.update_leadership();
        let Some(raft) = self.raft().filter(|_| self.leadership.borrow().is_some()) else {
            return Err(match self.status().leader {
                Some(leader) => MembershipError::NotLeader { leader },
                None => MembershipError::NoLeader,
            });
        };
        self.check_names(names)?;
        let members: BTreeMap<u64, String> =
            self.members().into_iter().map(|member| (member.id, member.name)).collect();
        let mut voters = BTreeSet::new();
        let mut added = Vec::new();
        for configured in &self.config.coordinators {
            let voter = self.voter(raft, &members, configured).await?;
            voters.insert(voter.id);
            if voter.is_new {
                added.push(configured.name.clone());
            }
        }
        raft.change_membership(voters, false).await?;
        tracing::info!(voters = self.configured_names(), added = added.join(", "), "membership changed");
        Ok(added)
    }

    fn check_names(&self, names: &[String]) -> Result<(), MembershipError> {
        let configured: BTreeSet<&str> = self.config.coordinators.iter().map(|s| s.name.as_str()).collect();
        if configured == names.iter().map(String::as_str).collect() {
            return Ok(());
        }
        Err(MembershipError::DifferentConfig {
            leader: self.config.name.clone(),
            names: self.configured_names(),
        })
    }

    fn configured_names(&self) -> String {
        self.config.coordinators.iter().map(|s| s.name.as_str()).collect::<Vec<_>>().join(", ")
    }

    /// The identifier of a configured replica, which receives the ledger first if it is new.
    async fn voter(
        &self,
        raft: &Raft,
        members: &BTreeMap<u64, String>,
        configured: &CoordinatorAddress,
    ) -> Result<Voter, MembershipError> {
        let name = &configured.name;
        if *name == self.config.name {
            return Ok(Voter { id: self.identity.id, is_new: false });
        }
        let info = match self.identify(configured).await {
            Ok(info) => info,
            // A member that is down keeps its vote.
            Err(source) => match members.iter().find(|(_, member)| *member == name) {
                Some((id, _)) => return Ok(Voter { id: *id, is_new: false }),
                None => return Err(MembershipError::Unidentified { name: name.clone(), source }),
            },
        };
        if members.contains_key(&info.id) {
            return Ok(Voter { id: info.id, is_new: false });
        }
        if !info.is_uninitialized {
            let cluster = self.identity.cluster.clone();
            return Err(MembershipError::OtherLedger { name: name.clone(), cluster });
        }
        let learning = raft.add_learner(info.id, BasicNode::new(name), true);
        match actix_rt::time::timeout(CATCH_UP_TIMEOUT, learning).await {
            Ok(learned) => learned?,
            Err(_) => return Err(MembershipError::CatchUpTimeout { name: name.clone() }),
        };
        Ok(Voter { id: info.id, is_new: true })
    }
}
