//! What a steward keeps on its disk: the log, its vote, the last snapshot, and who it is. Everything is synced before it
//! is said to be kept; a write that fails ends the part of the library that asked for it, and the steward votes no more.

// The library's own error, which its traits ask for.
#![allow(clippy::result_large_err)]

use crate::{Applied, ApplyFailure, RaftTypes};
use fernroute_fleet::configuration::register::{PutError, Register};
use fernroute_fleet::configuration::MAX_CONTENT_BYTES;
use fernroute_fleet::duties::table::DutyTable;
use fernroute_fleet::ledger::{Entry as Command, Ledger};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage, RaftStateMachine, Snapshot};
use openraft::{
    AnyError, BasicNode, Entry, EntryPayload, ErrorSubject, ErrorVerb, LogId, OptionalSend, RaftLogReader,
    RaftSnapshotBuilder, SnapshotMeta, StorageError, StorageIOError, StoredMembership, Vote,
};
use redb::{Database, ReadableDatabase as _, ReadableTable as _, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::io::Cursor;
use std::ops::{Bound, RangeBounds};
use std::path::Path;
use std::rc::Rc;

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const NOTES: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("notes");

/// What goes to another steward in one message, one long entry at the least. Guards against a steward that never catches
/// up: the library gives each message no longer than the pause between heartbeats, and sends it again as long as it was.
const AT_ONCE: usize = 64 << 10;

/// ReplicaInfo this steward is: drawn when its folder was made, and never had by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    pub cluster: String,
    pub id: u64,
}

/// How far a steward went, as far as anybody knows: its vote's term and whom it is for; its last entry's term, leader and
/// place. It only grows: whoever takes entries back has voted in a later term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaPosition {
    vote: (u64, u64),
    entry: (u64, u64, u64),
}

impl ReplicaPosition {
    pub fn new(vote: &Vote<u64>, entry: Option<&LogId<u64>>) -> Self {
        let entry =
            entry.map_or_else(Default::default, |at| (at.leader_id.term, at.leader_id.node_id, at.index + 1));
        ReplicaPosition { vote: (vote.leader_id.term, vote.leader_id.node_id), entry }
    }
}

type Bad = StorageError<u64>;

fn broken(verb: ErrorVerb, why: impl ToString) -> Bad {
    tracing::error!("the disk: {}", why.to_string());
    let why = AnyError::error(why.to_string());
    StorageIOError::<u64>::new(ErrorSubject::Store, verb, why).into()
}

fn unread(why: impl ToString) -> Bad {
    broken(ErrorVerb::Read, why)
}

fn unwritten(why: impl ToString) -> Bad {
    broken(ErrorVerb::Write, why)
}

/// The file of one steward.
#[derive(Clone)]
pub struct LogStore {
    file: Rc<Database>,
}

impl LogStore {
    /// Opens what is in the folder, or begins it; tells who this steward is.
    pub fn open(folder: &Path, cluster: &str) -> Result<(Self, ReplicaIdentity), String> {
        let trouble = |why: String| format!("{}: {why}", folder.display());
        std::fs::create_dir_all(folder).map_err(|e| trouble(e.to_string()))?;
        let file = Database::create(folder.join("ledger.redb")).map_err(|e| trouble(e.to_string()))?;
        let disk = LogStore { file: Rc::new(file) };
        let found: Option<ReplicaIdentity> = disk.note("own").map_err(|e| trouble(e.to_string()))?;
        let own = match found {
            Some(own) if own.cluster == cluster => own,
            Some(own) => {
                return Err(trouble(format!("it is of the cluster {}, not of {cluster}", own.cluster)))
            }
            None => {
                let own = ReplicaIdentity { cluster: cluster.to_owned(), id: rand::random::<u64>() >> 1 };
                disk.set_note("own", &own).map_err(|e| trouble(e.to_string()))?;
                own
            }
        };
        Ok((disk, own))
    }

    /// How far it went by what is kept; none where it never was of a ledger's processes.
    pub fn mark(&self) -> Result<Option<ReplicaPosition>, String> {
        let read = || -> Result<Option<ReplicaPosition>, Bad> {
            let vote: Option<Vote<u64>> = self.note("vote")?;
            let kept: Option<StateMachine> = self.note("snapshot")?;
            let purged: Option<LogId<u64>> = self.note("purged")?;
            let last = self.last()?.max(purged).max(kept.and_then(|kept| kept.applied));
            Ok((vote.is_some() || last.is_some())
                .then(|| ReplicaPosition::new(&vote.unwrap_or_default(), last.as_ref())))
        };
        read().map_err(|e| e.to_string())
    }

    /// The ledger's processes as this disk last knew them, by their ids: their names.
    pub fn stewards(&self) -> Result<BTreeMap<u64, String>, String> {
        let read = || -> Result<StoredMembership<u64, BasicNode>, Bad> {
            let kept: Option<StateMachine> = self.note("snapshot")?;
            let mut last = kept.map(|kept| kept.membership).unwrap_or_default();
            for entry in self.log(..)? {
                if let EntryPayload::Membership(membership) = entry.payload {
                    last = StoredMembership::new(Some(entry.log_id), membership);
                }
            }
            Ok(last)
        };
        let last = read().map_err(|e| e.to_string())?;
        let voters: BTreeSet<u64> = last.voter_ids().collect();
        let nodes = last.nodes().filter(|(id, _)| voters.contains(id));
        Ok(nodes.map(|(id, node)| (*id, node.addr.clone())).collect())
    }

    fn note<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, Bad> {
        let found = self.note_bytes(name)?;
        found.map(|bytes| serde_json::from_slice(&bytes).map_err(unread)).transpose()
    }

    fn note_bytes(&self, name: &str) -> Result<Option<Vec<u8>>, Bad> {
        let read = self.file.begin_read().map_err(unread)?;
        let table = match read.open_table(NOTES) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(why) => return Err(unread(why)),
        };
        Ok(table.get(name).map_err(unread)?.map(|bytes| bytes.value().to_vec()))
    }

    fn set_note<T: Serialize>(&self, name: &str, value: &T) -> Result<(), Bad> {
        self.set_note_bytes(name, &serde_json::to_vec(value).map_err(unwritten)?)
    }

    fn set_note_bytes(&self, name: &str, bytes: &[u8]) -> Result<(), Bad> {
        let write = self.file.begin_write().map_err(unwritten)?;
        write.open_table(NOTES).map_err(unwritten)?.insert(name, bytes).map_err(unwritten)?;
        write.commit().map_err(unwritten)
    }

    fn log(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<RaftTypes>>, Bad> {
        self.some_log(range, usize::MAX)
    }

    /// The first of these, until they are more than so many bytes together.
    fn some_log(&self, range: impl RangeBounds<u64>, most: usize) -> Result<Vec<Entry<RaftTypes>>, Bad> {
        let read = self.file.begin_read().map_err(unread)?;
        let table = match read.open_table(LOG) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            Err(why) => return Err(unread(why)),
        };
        let (mut entries, mut bytes) = (Vec::new(), 0);
        for entry in table.range::<u64>(range).map_err(unread)? {
            let entry = entry.map_err(unread)?.1;
            bytes += entry.value().len();
            entries.push(serde_json::from_slice(entry.value()).map_err(unread)?);
            if bytes > most {
                break;
            }
        }
        Ok(entries)
    }

    fn last(&self) -> Result<Option<LogId<u64>>, Bad> {
        let read = self.file.begin_read().map_err(unread)?;
        let table = match read.open_table(LOG) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(why) => return Err(unread(why)),
        };
        let last = table.last().map_err(unread)?;
        let entry =
            last.map(|(_, bytes)| serde_json::from_slice::<Entry<RaftTypes>>(bytes.value()).map_err(unread));
        Ok(entry.transpose()?.map(|entry| entry.log_id))
    }

    /// Takes these out of the log, with what else is to be noted, at once.
    fn remove(&self, range: impl RangeBounds<u64>, purged: Option<&LogId<u64>>) -> Result<(), Bad> {
        let write = self.file.begin_write().map_err(unwritten)?;
        write.open_table(LOG).map_err(unwritten)?.retain_in(range, |_, _| false).map_err(unwritten)?;
        if let Some(purged) = purged {
            let bytes = serde_json::to_vec(purged).map_err(unwritten)?;
            write
                .open_table(NOTES)
                .map_err(unwritten)?
                .insert("purged", bytes.as_slice())
                .map_err(unwritten)?;
        }
        write.commit().map_err(unwritten)
    }
}

impl RaftLogReader<RaftTypes> for LogStore {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<RaftTypes>>, Bad> {
        self.log((range.start_bound().cloned(), range.end_bound().cloned()))
    }

    async fn limited_get_log_entries(&mut self, start: u64, end: u64) -> Result<Vec<Entry<RaftTypes>>, Bad> {
        self.some_log(start..end, AT_ONCE)
    }
}

impl RaftLogStorage<RaftTypes> for LogStore {
    type LogReader = LogStore;

    async fn get_log_state(&mut self) -> Result<LogState<RaftTypes>, Bad> {
        let purged: Option<LogId<u64>> = self.note("purged")?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: self.last()?.or(purged) })
    }

    async fn get_log_reader(&mut self) -> LogStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), Bad> {
        self.set_note("vote", vote)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, Bad> {
        self.note("vote")
    }

    async fn save_committed(&mut self, committed: Option<LogId<u64>>) -> Result<(), Bad> {
        self.set_note("committed", &committed)
    }

    async fn read_committed(&mut self) -> Result<Option<LogId<u64>>, Bad> {
        Ok(self.note::<Option<LogId<u64>>>("committed")?.flatten())
    }

    async fn append<I>(&mut self, entries: I, kept: LogFlushed<RaftTypes>) -> Result<(), Bad>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let write = self.file.begin_write().map_err(unwritten)?;
        {
            let mut table = write.open_table(LOG).map_err(unwritten)?;
            for entry in entries {
                let bytes = serde_json::to_vec(&entry).map_err(unwritten)?;
                table.insert(entry.log_id.index, bytes.as_slice()).map_err(unwritten)?;
            }
        }
        write.commit().map_err(unwritten)?;
        kept.log_io_completed(Ok(()));
        Ok(())
    }

    async fn truncate(&mut self, from: LogId<u64>) -> Result<(), Bad> {
        self.remove(from.index.., None)
    }

    async fn purge(&mut self, upto: LogId<u64>) -> Result<(), Bad> {
        self.remove((Bound::Unbounded, Bound::Included(upto.index)), Some(&upto))
    }
}

/// The ledger as it is applied, and as of which entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StateMachine {
    pub ledger: Ledger,
    /// A disk of a version before has none.
    #[serde(default)]
    pub register: Register,
    /// A disk of a version before has none.
    #[serde(default)]
    pub duties: DutyTable,
    applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
}

fn not_put(why: PutError) -> ApplyFailure {
    let latest = match why {
        PutError::OutOfDate(latest) => Some(latest),
        _ => None,
    };
    let why = match why {
        PutError::OutOfDate(latest) => format!("the scope is at version {latest}"),
        PutError::HashMismatch => "its content is not what its hash says".to_owned(),
        PutError::TooLong => format!("it is longer than {MAX_CONTENT_BYTES} bytes"),
        PutError::InvalidName => "the operator's name is empty, or too long".to_owned(),
        PutError::LimitReached => "there are as many scopes as may be".to_owned(),
    };
    ApplyFailure { why, latest }
}

/// The ledger of this process. It is in memory; what the disk has of it is the last snapshot and the log since.
#[derive(Clone)]
pub struct StateMachineStore {
    disk: LogStore,
    pub kept: Rc<RefCell<StateMachine>>,
}

impl StateMachineStore {
    pub fn open(disk: LogStore) -> Result<Self, String> {
        let kept: Option<StateMachine> = disk.note("snapshot").map_err(|e| e.to_string())?;
        Ok(StateMachineStore { disk, kept: Rc::new(RefCell::new(kept.unwrap_or_default())) })
    }
}

/// What a snapshot says of itself. Guards against a leader that reads and writes all of a long one again for each steward
/// that needs it, and is taken for dead meanwhile.
#[derive(Deserialize)]
struct Head {
    applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
}

fn snapshot(head: Head, bytes: Vec<u8>) -> Snapshot<RaftTypes> {
    let snapshot_id = head.applied.map_or(String::new(), |applied| applied.to_string());
    let meta = SnapshotMeta { last_log_id: head.applied, last_membership: head.membership, snapshot_id };
    Snapshot { meta, snapshot: Box::new(Cursor::new(bytes)) }
}

impl RaftSnapshotBuilder<RaftTypes> for StateMachineStore {
    async fn build_snapshot(&mut self) -> Result<Snapshot<RaftTypes>, Bad> {
        let (head, bytes) = {
            let kept = self.kept.borrow();
            let head = Head { applied: kept.applied, membership: kept.membership.clone() };
            (head, serde_json::to_vec(&*kept).map_err(unwritten)?)
        };
        self.disk.set_note_bytes("snapshot", &bytes)?;
        Ok(snapshot(head, bytes))
    }
}

impl RaftStateMachine<RaftTypes> for StateMachineStore {
    type SnapshotBuilder = StateMachineStore;

    async fn applied_state(&mut self) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), Bad> {
        let kept = self.kept.borrow();
        Ok((kept.applied, kept.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Applied>, Bad>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut kept = self.kept.borrow_mut();
        let apply = |entry: Entry<RaftTypes>| {
            kept.applied = Some(entry.log_id);
            match entry.payload {
                EntryPayload::Blank => Ok(0),
                EntryPayload::Normal(Command::Configuration(put)) => {
                    kept.register.apply(&put).map_err(not_put)
                }
                EntryPayload::Normal(Command::Duties(entry)) => kept
                    .duties
                    .apply(&entry)
                    .map(|()| 0)
                    .map_err(|why| ApplyFailure { why: why.to_string(), latest: None }),
                EntryPayload::Normal(entry) => kept
                    .ledger
                    .apply(&entry)
                    .map(|()| 0)
                    .map_err(|why| ApplyFailure { why: format!("{why:?}"), latest: None }),
                EntryPayload::Membership(membership) => {
                    kept.membership = StoredMembership::new(Some(entry.log_id), membership);
                    Ok(0)
                }
            }
        };
        Ok(entries.into_iter().map(apply).collect())
    }

    async fn get_snapshot_builder(&mut self) -> StateMachineStore {
        self.clone()
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, Bad> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        _: &SnapshotMeta<u64, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), Bad> {
        let kept: StateMachine = serde_json::from_slice(snapshot.get_ref()).map_err(unread)?;
        self.disk.set_note_bytes("snapshot", snapshot.get_ref())?;
        self.kept.replace(kept);
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<RaftTypes>>, Bad> {
        let bytes = self.disk.note_bytes("snapshot")?;
        let read = |bytes: Vec<u8>| Ok(snapshot(serde_json::from_slice(&bytes).map_err(unread)?, bytes));
        bytes.map(read).transpose()
    }
}
