//! Snapshots of the state machine: its JSON, with the metadata that raft asks for.

use super::log_store::SNAPSHOT_KEY;
use super::{read_error, write_error, StateMachineStore, StorageResult};
use crate::RaftTypes;
use openraft::storage::Snapshot;
use openraft::{BasicNode, LogId, RaftSnapshotBuilder, SnapshotMeta, StorageError, StoredMembership};
use serde::Deserialize;
use std::io::Cursor;

/// The fields of a stored snapshot that raft's metadata needs. Guards against a leader that decodes and encodes a long
/// snapshot for each replica that needs it, and is considered dead meanwhile.
#[derive(Deserialize)]
struct SnapshotHeader {
    #[serde(rename = "applied")]
    last_applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
}

impl SnapshotHeader {
    fn into_snapshot(self, bytes: Vec<u8>) -> Snapshot<RaftTypes> {
        let snapshot_id = self.last_applied.map_or(String::new(), |applied| applied.to_string());
        let meta =
            SnapshotMeta { last_log_id: self.last_applied, last_membership: self.membership, snapshot_id };
        Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) }
    }
}

impl StateMachineStore {
    /// The last snapshot on the disk.
    pub(super) fn stored_snapshot(&self) -> StorageResult<Option<Snapshot<RaftTypes>>> {
        let Some(bytes) = self.log_store.read_bytes(SNAPSHOT_KEY)? else { return Ok(None) };
        let header: SnapshotHeader = serde_json::from_slice(&bytes).map_err(read_error)?;
        Ok(Some(header.into_snapshot(bytes)))
    }
}

impl RaftSnapshotBuilder<RaftTypes> for StateMachineStore {
    async fn build_snapshot(&mut self) -> Result<Snapshot<RaftTypes>, StorageError<u64>> {
        let (header, bytes) = {
            let state = self.state.borrow();
            let membership = state.membership.clone();
            let header = SnapshotHeader { last_applied: state.last_applied, membership };
            (header, serde_json::to_vec(&*state).map_err(write_error)?)
        };
        self.log_store.write_bytes(SNAPSHOT_KEY, &bytes)?;
        Ok(header.into_snapshot(bytes))
    }
}
