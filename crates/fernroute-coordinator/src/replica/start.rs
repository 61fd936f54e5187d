//! The start of raft, once the disk is known not to be stale.

use super::{Replica, ReplicaError, POLL_INTERVAL};
use crate::Raft;
use openraft::{Config, SnapshotPolicy};
use std::sync::Arc;
use std::time::Duration;

/// Two lost heartbeats do not start an election.
const HEARTBEAT_INTERVAL_MS: u64 = 50;

/// Replicas refuse to vote until the maximum has passed since the leader's last message, and two simultaneous candidates
/// may both fail: several rounds must fit into a grant lease of the default duration.
const ELECTION_TIMEOUT_MIN_MS: u64 = 160;
const ELECTION_TIMEOUT_MAX_MS: u64 = 320;

/// A large fleet makes this many changes in some seconds.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 2_000;

/// A chunk is about four times as long once it is encoded as JSON.
const SNAPSHOT_CHUNK_BYTES: u64 = 128 << 10;
const SNAPSHOT_CHUNK_TIMEOUT_MS: u64 = 2_000;

/// The pause before a rejected disk is checked again.
const DISK_CHECK_BACKOFF: Duration = POLL_INTERVAL.saturating_mul(4);

impl Replica {
    /// Starts raft: from here on the replica votes, stores entries and may be elected. Guards against a disk that was
    /// restored from an older copy: such a replica has lost votes and entries, and would vote a second time in the same
    /// term. Its former position is known to the replicas that led or were candidates, and have run since.
    ///
    /// # Errors
    /// Where the disk cannot be read, or raft does not start.
    pub async fn start(&self) -> Result<(), ReplicaError> {
        while let Some(rejection) = self.check_disk().await? {
            let previous = self.disk_rejection.replace(Some(rejection.clone()));
            if previous.as_ref() != Some(&rejection) {
                tracing::warn!(error = %rejection, "raft not started");
            }
            actix_rt::time::sleep(DISK_CHECK_BACKOFF).await;
        }
        let config = Arc::new(self.raft_config().validate()?);
        let (network, log_store) = (self.peers.clone(), self.log_store.clone());
        let raft =
            Raft::new(self.identity.id, config, network, log_store, self.state_machine.clone()).await?;
        let _ = self.raft.set(raft);
        self.disk_rejection.replace(None);
        Ok(())
    }

    fn raft_config(&self) -> Config {
        Config {
            cluster_name: self.config.cluster.clone(),
            heartbeat_interval: HEARTBEAT_INTERVAL_MS,
            election_timeout_min: ELECTION_TIMEOUT_MIN_MS,
            election_timeout_max: ELECTION_TIMEOUT_MAX_MS,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_INTERVAL_ENTRIES),
            snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
            install_snapshot_timeout: SNAPSHOT_CHUNK_TIMEOUT_MS,
            ..Config::default()
        }
    }
}
