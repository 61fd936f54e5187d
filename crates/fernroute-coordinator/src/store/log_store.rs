//! Raft's log, its vote and other single values, in one redb file.

use super::{
    read_error, write_error, ReplicaIdentity, ReplicaPosition, StateMachine, StorageResult, StoreError,
};
use crate::RaftTypes;
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftLogReader, StorageError, StoredMembership, Vote,
};
use redb::{
    Database, Key, ReadOnlyTable, ReadTransaction, ReadableDatabase as _, ReadableTable as _,
    TableDefinition, TableError, Value,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::ops::{Bound, RangeBounds};
use std::path::Path;
use std::rc::Rc;

/// The file in a replica's folder.
const FILE_NAME: &str = "ledger.redb";

/// Entries of the log as JSON, by index.
const LOG_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");

/// Single values as JSON, by key.
const VALUES_TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("notes");

/// Keys of the single values.
const IDENTITY_KEY: &str = "own";
const VOTE_KEY: &str = "vote";
const COMMITTED_KEY: &str = "committed";
const PURGED_KEY: &str = "purged";
pub(super) const SNAPSHOT_KEY: &str = "snapshot";

/// Once a message to a replica has this length, further entries are left for the next one. Guards against a replica that
/// never catches up: raft allows a message no more time than a heartbeat interval, and repeats it at the same length.
const MAX_MESSAGE_BYTES: usize = 64 << 10;

/// The file of one replica.
#[derive(Clone)]
pub struct LogStore {
    database: Rc<Database>,
}

impl LogStore {
    /// Opens the folder, or creates it with a new identity.
    ///
    /// # Errors
    /// Where the folder cannot be used or belongs to another cluster.
    pub fn open(folder: &Path, cluster: &str) -> Result<(Self, ReplicaIdentity), StoreError> {
        std::fs::create_dir_all(folder)
            .map_err(|source| StoreError::CreateFolder { folder: folder.to_owned(), source })?;
        let database = Database::create(folder.join(FILE_NAME))
            .map_err(|source| StoreError::OpenDatabase { folder: folder.to_owned(), source })?;
        let store = LogStore { database: Rc::new(database) };
        let identity = store
            .identity(cluster)
            .map_err(|source| StoreError::Identity { folder: folder.to_owned(), source: Box::new(source) })?;
        if identity.cluster != cluster {
            return Err(StoreError::OtherCluster {
                folder: folder.to_owned(),
                found: identity.cluster,
                expected: cluster.to_owned(),
            });
        }
        Ok((store, identity))
    }

    /// The stored identity; a new one of this cluster where none is stored.
    fn identity(&self, cluster: &str) -> StorageResult<ReplicaIdentity> {
        if let Some(stored) = self.read_value(IDENTITY_KEY)? {
            return Ok(stored);
        }
        let identity = ReplicaIdentity { cluster: cluster.to_owned(), id: rand::random::<u64>() >> 1 };
        self.write_value(IDENTITY_KEY, &identity)?;
        Ok(identity)
    }

    /// The replica's position by what is stored; none where it never belonged to a ledger.
    ///
    /// # Errors
    /// Where the disk cannot be read.
    pub fn position(&self) -> Result<Option<ReplicaPosition>, StoreError> {
        let vote: Option<Vote<u64>> = self.read_value(VOTE_KEY)?;
        let snapshot: Option<StateMachine> = self.read_value(SNAPSHOT_KEY)?;
        let purged: Option<LogId<u64>> = self.read_value(PURGED_KEY)?;
        let last_applied = snapshot.and_then(|snapshot| snapshot.last_applied);
        let last = self.last_log_id()?.max(purged).max(last_applied);
        if vote.is_none() && last.is_none() {
            return Ok(None);
        }
        Ok(Some(ReplicaPosition::new(&vote.unwrap_or_default(), last.as_ref())))
    }

    /// The voters of the last membership on this disk: their names by identifier.
    ///
    /// # Errors
    /// Where the disk cannot be read.
    pub fn voters(&self) -> Result<BTreeMap<u64, String>, StoreError> {
        let membership = self.last_membership()?;
        let voters: BTreeSet<u64> = membership.voter_ids().collect();
        let nodes = membership.nodes().filter(|(id, _)| voters.contains(id));
        Ok(nodes.map(|(id, node)| (*id, node.addr.clone())).collect())
    }

    fn last_membership(&self) -> StorageResult<StoredMembership<u64, BasicNode>> {
        let snapshot: Option<StateMachine> = self.read_value(SNAPSHOT_KEY)?;
        let mut last = snapshot.map(|snapshot| snapshot.membership).unwrap_or_default();
        for entry in self.read_log(.., usize::MAX)? {
            if let EntryPayload::Membership(membership) = entry.payload {
                last = StoredMembership::new(Some(entry.log_id), membership);
            }
        }
        Ok(last)
    }

    pub(super) fn read_value<T: DeserializeOwned>(&self, key: &str) -> StorageResult<Option<T>> {
        let stored = self.read_bytes(key)?;
        stored.map(|bytes| serde_json::from_slice(&bytes).map_err(read_error)).transpose()
    }

    pub(super) fn read_bytes(&self, key: &str) -> StorageResult<Option<Vec<u8>>> {
        let read = self.database.begin_read().map_err(read_error)?;
        let Some(table) = open_if_exists(&read, VALUES_TABLE)? else { return Ok(None) };
        Ok(table.get(key).map_err(read_error)?.map(|bytes| bytes.value().to_vec()))
    }

    fn write_value<T: Serialize>(&self, key: &str, value: &T) -> StorageResult<()> {
        self.write_bytes(key, &serde_json::to_vec(value).map_err(write_error)?)
    }

    pub(super) fn write_bytes(&self, key: &str, bytes: &[u8]) -> StorageResult<()> {
        let write = self.database.begin_write().map_err(write_error)?;
        write.open_table(VALUES_TABLE).map_err(write_error)?.insert(key, bytes).map_err(write_error)?;
        write.commit().map_err(write_error)
    }

    /// The first entries of a range, up to and including the one that makes them longer than `max_bytes`.
    fn read_log(
        &self,
        range: impl RangeBounds<u64>,
        max_bytes: usize,
    ) -> StorageResult<Vec<Entry<RaftTypes>>> {
        let read = self.database.begin_read().map_err(read_error)?;
        let Some(table) = open_if_exists(&read, LOG_TABLE)? else { return Ok(Vec::new()) };
        let mut entries = Vec::new();
        let mut read_bytes = 0;
        for row in table.range::<u64>(range).map_err(read_error)? {
            let (_, entry) = row.map_err(read_error)?;
            read_bytes += entry.value().len();
            entries.push(serde_json::from_slice(entry.value()).map_err(read_error)?);
            if read_bytes > max_bytes {
                break;
            }
        }
        Ok(entries)
    }

    fn last_log_id(&self) -> StorageResult<Option<LogId<u64>>> {
        let read = self.database.begin_read().map_err(read_error)?;
        let Some(table) = open_if_exists(&read, LOG_TABLE)? else { return Ok(None) };
        let Some((_, entry)) = table.last().map_err(read_error)? else { return Ok(None) };
        let entry: Entry<RaftTypes> = serde_json::from_slice(entry.value()).map_err(read_error)?;
        Ok(Some(entry.log_id))
    }

    /// Removes entries of the log and stores up to where it is purged, in one transaction.
    fn remove_log(&self, range: impl RangeBounds<u64>, purged: Option<&LogId<u64>>) -> StorageResult<()> {
        let write = self.database.begin_write().map_err(write_error)?;
        write
            .open_table(LOG_TABLE)
            .map_err(write_error)?
            .retain_in(range, |_, _| false)
            .map_err(write_error)?;
        if let Some(purged) = purged {
            let bytes = serde_json::to_vec(purged).map_err(write_error)?;
            let mut values = write.open_table(VALUES_TABLE).map_err(write_error)?;
            values.insert(PURGED_KEY, bytes.as_slice()).map_err(write_error)?;
        }
        write.commit().map_err(write_error)
    }
}

/// A table; none where nothing has been written to it yet.
fn open_if_exists<K: Key + 'static, V: Value + 'static>(
    read: &ReadTransaction,
    definition: TableDefinition<'_, K, V>,
) -> StorageResult<Option<ReadOnlyTable<K, V>>> {
    match read.open_table(definition) {
        Ok(table) => Ok(Some(table)),
        Err(TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(read_error(error)),
    }
}

impl RaftLogReader<RaftTypes> for LogStore {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<RaftTypes>>, StorageError<u64>> {
        self.read_log((range.start_bound().cloned(), range.end_bound().cloned()), usize::MAX)
    }

    async fn limited_get_log_entries(
        &mut self,
        start: u64,
        end: u64,
    ) -> Result<Vec<Entry<RaftTypes>>, StorageError<u64>> {
        self.read_log(start..end, MAX_MESSAGE_BYTES)
    }
}

impl RaftLogStorage<RaftTypes> for LogStore {
    type LogReader = LogStore;

    async fn get_log_state(&mut self) -> Result<LogState<RaftTypes>, StorageError<u64>> {
        let purged: Option<LogId<u64>> = self.read_value(PURGED_KEY)?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: self.last_log_id()?.or(purged) })
    }

    async fn get_log_reader(&mut self) -> LogStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        self.write_value(VOTE_KEY, vote)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        self.read_value(VOTE_KEY)
    }

    async fn save_committed(&mut self, committed: Option<LogId<u64>>) -> Result<(), StorageError<u64>> {
        self.write_value(COMMITTED_KEY, &committed)
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<u64>>, StorageError<u64>> {
        Ok(self.read_value::<Option<LogId<u64>>>(COMMITTED_KEY)?.flatten())
    }

    async fn append<I>(&mut self, entries: I, flushed: LogFlushed<RaftTypes>) -> Result<(), StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let write = self.database.begin_write().map_err(write_error)?;
        {
            let mut table = write.open_table(LOG_TABLE).map_err(write_error)?;
            for entry in entries {
                let bytes = serde_json::to_vec(&entry).map_err(write_error)?;
                table.insert(entry.log_id.index, bytes.as_slice()).map_err(write_error)?;
            }
        }
        write.commit().map_err(write_error)?;
        flushed.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, first: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.remove_log(first.index.., None)
    }

    async fn purge(&mut self, last: LogId<u64>) -> Result<(), StorageError<u64>> {
        self.remove_log((Bound::Unbounded, Bound::Included(last.index)), Some(&last))
    }
}
