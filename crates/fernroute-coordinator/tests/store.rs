//! A coordinator's storage: the log, and the snapshot of the state machine.

use fernroute_coordinator::store::{LogStore, StateMachineStore};
use fernroute_coordinator::RaftTypes;
use fernroute_fleet::configuration::register::ConfigurationPut;
use fernroute_fleet::configuration::{content_hash, Scope};
use fernroute_fleet::ledger::Entry;
use openraft::storage::{RaftSnapshotBuilder as _, RaftStateMachine as _};
use openraft::{CommittedLeaderId, EntryPayload, LogId, RaftLogReader as _};
use redb::{Database, ReadableDatabase as _, TableDefinition};
use std::path::{Path, PathBuf};

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const VALUES: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("notes");

fn test_folder(test: &str) -> PathBuf {
    std::env::temp_dir().join(format!("fernroute-store-{test}-{}", std::process::id()))
}

fn put_entry(index: u64, base_version: u64, content: &str) -> openraft::Entry<RaftTypes> {
    let put = ConfigurationPut {
        scope: Scope::All,
        base_version,
        content_hash: content_hash(content),
        content: content.to_owned(),
        author: "ann".to_owned(),
        entered_at_ms: 1,
        min_version_exclusive: 0,
    };
    let log_id = LogId::new(CommittedLeaderId::new(1, 1), index);
    openraft::Entry { log_id, payload: EntryPayload::Normal(Entry::Configuration(put)) }
}

fn open_state_machine(folder: &Path) -> StateMachineStore {
    let (log, _) = LogStore::open(folder, "c").expect("the store opens");
    StateMachineStore::open(log).expect("the read succeeds")
}

/// Guards against an entry without a result, and against a snapshot without the register.
#[test]
fn applying_returns_the_version_or_the_rejection_and_a_snapshot_restores_it() {
    let folder = test_folder("snapshot");
    actix_rt::System::new().block_on(async {
        let mut store = open_state_machine(&folder);
        let results = store
            .apply([put_entry(1, 0, "a = 1"), put_entry(2, 0, "a = 2"), put_entry(3, 1, "a = 3")])
            .await
            .expect("the entries apply");
        assert_eq!((&results[0], &results[2]), (&Ok(1), &Ok(2)));
        let rejection = results[1].as_ref().expect_err("its base is not the latest version");
        assert_eq!(
            (rejection.latest_version, rejection.reason.as_str()),
            (Some(1), "the scope is at version 1")
        );
        store.build_snapshot().await.expect("the write succeeds");
        drop(store);
        let store = open_state_machine(&folder);
        let state = store.state.borrow();
        assert_eq!(state.register.entry(&Scope::All).map(|entry| entry.content.as_str()), Some("a = 3"));
        assert_eq!((state.register.version(), state.register.history().count()), (2, 2));
    });
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a coordinator that does not start with a disk that an older program version wrote.
#[test]
fn a_disk_of_a_version_without_configuration_opens_with_an_empty_register() {
    let folder = test_folder("older");
    actix_rt::System::new().block_on(async {
        let mut store = open_state_machine(&folder);
        store.apply([put_entry(1, 0, "a = 1")]).await.expect("the entries apply");
        store.build_snapshot().await.expect("the write succeeds");
        drop(store);
        // The snapshot of the older version has no register.
        let database = Database::create(folder.join("ledger.redb")).expect("the store opens");
        let table =
            database.begin_read().expect("the table is readable").open_table(VALUES).expect("it exists");
        let bytes =
            table.get("snapshot").expect("the table is readable").expect("it exists").value().to_vec();
        let mut snapshot: serde_json::Value = serde_json::from_slice(&bytes).expect("valid JSON");
        snapshot.as_object_mut().and_then(|fields| fields.remove("register")).expect("a register");
        let transaction = database.begin_write().expect("a write transaction");
        let bytes = serde_json::to_vec(&snapshot).expect("valid JSON");
        transaction
            .open_table(VALUES)
            .expect("it exists")
            .insert("snapshot", bytes.as_slice())
            .expect("the write succeeds");
        transaction.commit().expect("the write succeeds");
        drop((table, database));
        let mut store = open_state_machine(&folder);
        assert_eq!(store.state.borrow().register.version(), 0);
        assert_eq!(
            store.applied_state().await.expect("the read succeeds").0.map(|log_id| log_id.index),
            Some(1)
        );
        assert_eq!(store.apply([put_entry(2, 0, "a = 2")]).await.expect("the entries apply"), [Ok(1)]);
    });
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a message with so many long entries that it exceeds its time-out whenever it is sent.
#[test]
fn a_message_to_another_coordinator_has_a_few_entries_or_one_long_one() {
    let folder = test_folder("message");
    actix_rt::System::new().block_on(async {
        drop(open_state_machine(&folder));
        let database = Database::create(folder.join("ledger.redb")).expect("the store opens");
        let transaction = database.begin_write().expect("a write transaction");
        {
            let mut log = transaction.open_table(LOG).expect("it exists");
            // Five short entries, a long one, three of half that length, and two short ones.
            let lengths = [10, 10, 10, 10, 10, 65_000, 30_000, 30_000, 30_000, 10, 10];
            for (index, length) in (0..).zip(lengths) {
                let bytes =
                    serde_json::to_vec(&put_entry(index, 0, &"x".repeat(length))).expect("valid JSON");
                log.insert(index, bytes.as_slice()).expect("the write succeeds");
            }
        }
        transaction.commit().expect("the write succeeds");
        drop(database);
        let (mut log, _) = LogStore::open(&folder, "c").expect("the store opens");
        let mut ends = Vec::new();
        let mut next = 0;
        while next < 11 {
            let entries = log.limited_get_log_entries(next, 11).await.expect("the table is readable");
            assert!(entries.iter().map(|entry| entry.log_id.index).eq(next..next + entries.len() as u64));
            next += entries.len() as u64;
            ends.push(next);
        }
        assert_eq!(ends, [6, 9, 11]);
        assert_eq!(log.limited_get_log_entries(5, 6).await.expect("the table is readable").len(), 1);
        assert_eq!(log.try_get_log_entries(0..11).await.expect("the table is readable").len(), 11);
    });
    let _ = std::fs::remove_dir_all(&folder);
}
