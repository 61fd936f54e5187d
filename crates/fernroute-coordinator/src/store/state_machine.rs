//! The state after the committed entries: ledger, configuration register and duties.

use super::log_store::SNAPSHOT_KEY;
use super::{read_error, LogStore, StoreError};
use crate::{ApplyFailure, ApplyResult, RaftTypes};
use fernroute_fleet::configuration::register::{PutError, Register};
use fernroute_fleet::configuration::MAX_CONTENT_BYTES;
use fernroute_fleet::duties::table::DutyTable;
use fernroute_fleet::ledger::{Entry as Command, Ledger};
use openraft::storage::{RaftStateMachine, Snapshot};
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, OptionalSend, SnapshotMeta, StorageError, StoredMembership,
};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io::Cursor;
use std::rc::Rc;

/// The state of the ledger after the last applied entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StateMachine {
    /// Budgets and what members hold of them.
    pub ledger: Ledger,
    /// The fleet's configuration; absent on a disk of an earlier version.
    #[serde(default)]
    pub register: Register,
    /// Duties and their holders; absent on a disk of an earlier version.
    #[serde(default)]
    pub duties: DutyTable,
    #[serde(rename = "applied")]
    pub(super) last_applied: Option<LogId<u64>>,
    pub(super) membership: StoredMembership<u64, BasicNode>,
}

impl StateMachine {
    fn apply(&mut self, entry: Entry<RaftTypes>) -> ApplyResult {
        self.last_applied = Some(entry.log_id);
        match entry.payload {
            EntryPayload::Blank => Ok(0),
            EntryPayload::Normal(command) => self.apply_command(command),
            EntryPayload::Membership(membership) => {
                self.membership = StoredMembership::new(Some(entry.log_id), membership);
                Ok(0)
            }
        }
    }

    fn apply_command(&mut self, command: Command) -> ApplyResult {
        let failure = |reason: String| ApplyFailure { reason, latest_version: None };
        match command {
            Command::Configuration(put) => self.register.apply(&put).map_err(put_failure),
            Command::Duties(entry) => {
                self.duties.apply(&entry).map_err(|error| failure(error.to_string()))?;
                Ok(0)
            }
            entry => {
                self.ledger.apply(&entry).map_err(|error| failure(format!("{error:?}")))?;
                Ok(0)
            }
        }
    }
}

fn put_failure(error: PutError) -> ApplyFailure {
    let latest_version = match error {
        PutError::OutOfDate(latest) => Some(latest),
        _ => None,
    };
    let reason = match error {
        PutError::OutOfDate(latest) => format!("the scope is at version {latest}"),
        PutError::HashMismatch => "the content does not match its hash".to_owned(),
        PutError::TooLong => format!("the content is longer than {MAX_CONTENT_BYTES} bytes"),
        PutError::InvalidName => "the author's name or a name in the scope is not valid".to_owned(),
        PutError::LimitReached => "too many scopes, or too much content".to_owned(),
    };
    ApplyFailure { reason, latest_version }
}

/// The state machine of this process. It is held in memory; the disk has its last snapshot and the log after that.
#[derive(Clone)]
pub struct StateMachineStore {
    pub(super) log_store: LogStore,
    /// The state; written by raft alone, as it applies entries or installs a snapshot.
    pub state: Rc<RefCell<StateMachine>>,
}

impl StateMachineStore {
    /// Restores the state machine from the last snapshot, or starts an empty one.
    ///
    /// # Errors
    /// Where the disk cannot be read.
    pub fn open(log_store: LogStore) -> Result<Self, StoreError> {
        let state: Option<StateMachine> = log_store.read_value(SNAPSHOT_KEY)?;
        Ok(StateMachineStore { log_store, state: Rc::new(RefCell::new(state.unwrap_or_default())) })
    }
}

impl RaftStateMachine<RaftTypes> for StateMachineStore {
    type SnapshotBuilder = StateMachineStore;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), StorageError<u64>> {
        let state = self.state.borrow();
        Ok((state.last_applied, state.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<ApplyResult>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut state = self.state.borrow_mut();
        Ok(entries.into_iter().map(|entry| state.apply(entry)).collect())
    }

    async fn get_snapshot_builder(&mut self) -> StateMachineStore {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        _: &SnapshotMeta<u64, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let state: StateMachine = serde_json::from_slice(snapshot.get_ref()).map_err(read_error)?;
        self.log_store.write_bytes(SNAPSHOT_KEY, snapshot.get_ref())?;
        self.state.replace(state);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<RaftTypes>>, StorageError<u64>> {
        self.stored_snapshot()
    }
}
