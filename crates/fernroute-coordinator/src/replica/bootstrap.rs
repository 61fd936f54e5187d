//! The creation of a new ledger, by the first replica of the configuration.

use super::{IdentifyError, Replica, INFO_TIMEOUT};
use crate::Raft;
use openraft::BasicNode;
use std::collections::BTreeMap;
use std::time::Duration;

impl Replica {
    /// Creates a ledger where there is none. Only the first replica of the configuration does so, once all replicas are
    /// reachable and uninitialized, and the grants of a former ledger have expired. Guards against two ledgers of one
    /// fleet, and against a new ledger that grants again what members still hold from one that was lost with all its
    /// disks. With `at_once` it does not wait for grants to expire.
    pub async fn bootstrap(&self, at_once: bool) {
        let Some(raft) = self.raft() else { return };
        let is_first = self.config.coordinators.first().is_some_and(|first| first.name == self.config.name);
        if !is_first || !self.info().is_uninitialized {
            return;
        }
        if !at_once {
            let wait = Duration::from_micros(self.config.guarantee_lease.expires_after() * 100);
            tracing::info!(wait_s = wait.as_secs(), "waiting for grants of a former ledger to expire");
            actix_rt::time::sleep(wait).await;
        }
        loop {
            match self.uninitialized_replicas().await {
                Ok(Some(replicas)) => return self.initialize(raft, replicas).await,
                Ok(None) => {
                    return tracing::error!(
                        "ledger not created: another replica has one, and this disk is empty; add this replica with `change`"
                    )
                }
                Err(error) => tracing::debug!(%error, "not all replicas are reachable"),
            }
            actix_rt::time::sleep(INFO_TIMEOUT).await;
        }
    }

    async fn initialize(&self, raft: &Raft, replicas: BTreeMap<u64, BasicNode>) {
        match raft.initialize(replicas).await {
            Ok(()) => tracing::info!(cluster = self.config.cluster, "created a new ledger"),
            Err(error) => tracing::error!(%error, "ledger not created"),
        }
    }

    /// All replicas of the configuration by their identifiers; none where one of them belongs to a ledger already.
    async fn uninitialized_replicas(&self) -> Result<Option<BTreeMap<u64, BasicNode>>, IdentifyError> {
        let mut replicas = BTreeMap::from([(self.identity.id, BasicNode::new(&self.config.name))]);
        for configured in self.config.coordinators.iter().filter(|other| other.name != self.config.name) {
            let info = self.identify(configured).await?;
            if !info.is_uninitialized {
                return Ok(None);
            }
            replicas.insert(info.id, BasicNode::new(&configured.name));
        }
        Ok(Some(replicas))
    }
}
