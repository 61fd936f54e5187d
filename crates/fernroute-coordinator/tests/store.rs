//! What a steward keeps on its disk.

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
const NOTES: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("notes");

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("fernroute-store-{name}-{}", std::process::id()))
}

fn put(index: u64, base: u64, content: &str) -> openraft::Entry<RaftTypes> {
    let content = content.to_owned();
    let (hash, who) = (content_hash(&content), "ann".to_owned());
    let put = ConfigurationPut {
        scope: Scope::All,
        base_version: base,
        content_hash: hash,
        content,
        author: who,
        entered_at_ms: 1,
        min_version_exclusive: 0,
    };
    let log_id = LogId::new(CommittedLeaderId::new(1, 1), index);
    openraft::Entry { log_id, payload: EntryPayload::Normal(Entry::Configuration(put)) }
}

fn book(folder: &Path) -> StateMachineStore {
    let (disk, _) = LogStore::open(folder, "c").expect("it opens");
    StateMachineStore::open(disk).expect("it is read")
}

/// Guards against a word whose fate is not told, and a register that a snapshot leaves out.
#[test]
fn applying_tells_the_version_or_why_not_and_a_snapshot_keeps_it() {
    let folder = folder("snapshot");
    actix_rt::System::new().block_on(async {
        let mut kept = book(&folder);
        let told = kept
            .apply([put(1, 0, "a = 1"), put(2, 0, "a = 2"), put(3, 1, "a = 3")])
            .await
            .expect("it applies");
        assert_eq!((&told[0], &told[2]), (&Ok(1), &Ok(2)));
        let why = told[1].as_ref().expect_err("it did not start from the latest");
        assert_eq!((why.latest, why.why.as_str()), (Some(1), "the scope is at version 1"));
        kept.build_snapshot().await.expect("it is kept");
        drop(kept);
        let kept = book(&folder);
        let kept = kept.kept.borrow();
        assert_eq!(kept.register.entry(&Scope::All).map(|part| part.content.as_str()), Some("a = 3"));
        assert_eq!((kept.register.version(), kept.register.history().count()), (2, 2));
    });
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a steward that does not start on the disk that the version before left.
#[test]
fn a_disk_of_a_version_that_knew_no_configuration_opens_with_an_empty_register() {
    let folder = folder("before");
    actix_rt::System::new().block_on(async {
        let mut kept = book(&folder);
        kept.apply([put(1, 0, "a = 1")]).await.expect("it applies");
        kept.build_snapshot().await.expect("it is kept");
        drop(kept);
        // As it was written before.
        let file = Database::create(folder.join("ledger.redb")).expect("it opens");
        let read = file.begin_read().expect("it reads").open_table(NOTES).expect("it is there");
        let bytes = read.get("snapshot").expect("it reads").expect("it is there").value().to_vec();
        let mut note: serde_json::Value = serde_json::from_slice(&bytes).expect("it is JSON");
        note.as_object_mut().and_then(|note| note.remove("register")).expect("it was there");
        let write = file.begin_write().expect("it writes");
        let bytes = serde_json::to_vec(&note).expect("it is JSON");
        write
            .open_table(NOTES)
            .expect("it is there")
            .insert("snapshot", bytes.as_slice())
            .expect("it is written");
        write.commit().expect("it is kept");
        drop((read, file));
        let mut kept = book(&folder);
        assert_eq!(kept.kept.borrow().register.version(), 0);
        assert_eq!(kept.applied_state().await.expect("it is told").0.map(|at| at.index), Some(1));
        assert_eq!(kept.apply([put(2, 0, "a = 2")]).await.expect("it applies"), [Ok(1)]);
    });
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a message of many long entries, which does not get to another steward in the time that it has, and is
/// sent again as long as it was.
#[test]
fn what_goes_to_another_steward_at_once_is_some_entries_or_one_long_one() {
    let folder = folder("some");
    actix_rt::System::new().block_on(async {
        drop(book(&folder));
        let file = Database::create(folder.join("ledger.redb")).expect("it opens");
        let write = file.begin_write().expect("it writes");
        {
            let mut log = write.open_table(LOG).expect("it is there");
            // Five short ones, a long one, three of half that length, and short ones.
            let lengths = [10, 10, 10, 10, 10, 65_000, 30_000, 30_000, 30_000, 10, 10];
            for (index, length) in (0..).zip(lengths) {
                let bytes = serde_json::to_vec(&put(index, 0, &"x".repeat(length))).expect("it is JSON");
                log.insert(index, bytes.as_slice()).expect("it is written");
            }
        }
        write.commit().expect("it is kept");
        drop(file);
        let (mut disk, _) = LogStore::open(&folder, "c").expect("it opens");
        let mut places = Vec::new();
        let mut next = 0;
        while next < 11 {
            let some = disk.limited_get_log_entries(next, 11).await.expect("it reads");
            assert!(some.iter().map(|entry| entry.log_id.index).eq(next..next + some.len() as u64));
            next += some.len() as u64;
            places.push(next);
        }
        assert_eq!(places, [6, 9, 11]);
        assert_eq!(disk.limited_get_log_entries(5, 6).await.expect("it reads").len(), 1);
        assert_eq!(disk.try_get_log_entries(0..11).await.expect("it reads").len(), 11);
    });
    let _ = std::fs::remove_dir_all(&folder);
}
