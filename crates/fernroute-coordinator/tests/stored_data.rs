//! A folder that an earlier program version wrote: the current version opens it, continues from it and reads the same
//! contents.
//!
//! `tests/fixtures/stored/ledger.redb` has a vote, a snapshot, and after it a log with each variant of an entry;
//! `state.json` is the state after all entries, and `log.jsonl` has the log's entries.

mod common;

use common::{run, Coordinators};
use fernroute_coordinator::duties::DutiesStatus;
use fernroute_coordinator::store::{LogStore, StateMachineStore};
use fernroute_fleet::configuration::register::HistoryEntry;
use openraft::storage::{RaftLogStorage as _, RaftSnapshotBuilder as _, RaftStateMachine as _};
use openraft::{RaftLogReader as _, Vote};
use std::path::{Path, PathBuf};

const IDENTITY: u64 = 42;
const LAST_INDEX: u64 = 22;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored").join(name)
}

/// A copy of the fixture folder that a test may write to.
fn copy_of_stored(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("fernroute-stored-{name}-{}", std::process::id()));
    copy_into(&folder);
    folder
}

fn copy_into(folder: &Path) {
    std::fs::create_dir_all(folder).expect("a folder");
    std::fs::copy(fixture("ledger.redb"), folder.join("ledger.redb")).expect("a copy");
}

fn expected_state() -> serde_json::Value {
    serde_json::from_slice(&std::fs::read(fixture("state.json")).expect("the fixture")).expect("JSON")
}

#[test]
fn a_stored_log_vote_and_identity_are_read_and_written_as_they_were() {
    let folder = copy_of_stored("log");
    actix_rt::System::new().block_on(async {
        let (mut log_store, identity) = LogStore::open(&folder, "shop").expect("the store opens");
        assert_eq!(
            serde_json::to_string(&identity).expect("JSON"),
            format!(r#"{{"cluster":"shop","id":{IDENTITY}}}"#)
        );
        let vote: Vote<u64> = log_store.read_vote().await.expect("the read succeeds").expect("it exists");
        assert_eq!((vote.leader_id.term, vote.leader_id.node_id, vote.committed), (3, IDENTITY, true));
        let committed = log_store.read_committed().await.expect("the read succeeds").expect("it exists");
        assert_eq!(committed.index, LAST_INDEX);
        let state = log_store.get_log_state().await.expect("the read succeeds");
        assert_eq!(state.last_log_id.map(|id| id.index), Some(LAST_INDEX));
        assert_eq!(state.last_purged_log_id.map(|id| id.index), Some(4));
        let log = std::fs::read_to_string(fixture("log.jsonl")).expect("the fixture");
        let entries = log_store.try_get_log_entries(0..=LAST_INDEX).await.expect("the read succeeds");
        let entries: Vec<String> =
            entries.iter().map(|entry| serde_json::to_string(entry).expect("JSON")).collect();
        assert_eq!(entries, log.lines().collect::<Vec<_>>());
        let position = log_store.position().expect("the read succeeds").expect("a position");
        assert_eq!(serde_json::to_string(&position).expect("JSON"), r#"{"vote":[3,42],"entry":[3,42,23]}"#);
        assert_eq!(
            log_store.voters().expect("the read succeeds").into_iter().collect::<Vec<_>>(),
            [(IDENTITY, "s0".to_owned())]
        );
    });
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_stored_snapshot_and_the_log_after_it_give_the_same_state() {
    let folder = copy_of_stored("state");
    actix_rt::System::new().block_on(async {
        let (mut log_store, _) = LogStore::open(&folder, "shop").expect("the store opens");
        let mut store = StateMachineStore::open(log_store.clone()).expect("the read succeeds");
        let (applied, membership) = store.applied_state().await.expect("the applied state");
        assert_eq!(
            (applied.map(|id| id.index), membership.voter_ids().collect::<Vec<_>>()),
            (Some(10), vec![IDENTITY])
        );
        let later_entries = log_store.try_get_log_entries(11..=LAST_INDEX).await.expect("the read succeeds");
        let results = store.apply(later_entries).await.expect("the entries apply");
        assert!(results.iter().all(Result::is_ok), "{results:?}");
        assert_eq!(serde_json::to_value(&*store.state.borrow()).expect("JSON"), expected_state());
        // A snapshot of the current version reads the same.
        store.build_snapshot().await.expect("the snapshot is written");
        let reopened = StateMachineStore::open(log_store).expect("the read succeeds");
        assert_eq!(serde_json::to_value(&*reopened.state.borrow()).expect("JSON"), expected_state());
    });
    let _ = std::fs::remove_dir_all(&folder);
}

/// Starts the program itself from the folder: terms, versions and members are the same, and new ones continue them.
#[test]
fn a_coordinator_continues_from_a_stored_folder() {
    run(async {
        let mut coordinators = Coordinators::new("stored", "shop", 1);
        copy_into(&coordinators.processes[0].disk.folder);
        for name in ["compact", "report", "sweep"] {
            coordinators.processes[0]
                .replace_in_config("[[budget]]", &format!("[[duty]]\nname = \"{name}\"\n[[budget]]"));
        }
        coordinators.processes[0].replace_in_config(
            "floors = 0.1\n",
            "floors = 0.1\n[[budget]]\nname = \"transmissions beyond the first\"\nwhole = 50\n",
        );
        coordinators.start();
        coordinators.leader(None).await;
        let status = coordinators.status(0).await.expect("a status");
        assert_eq!((status.id, status.cluster.as_str()), (IDENTITY, "shop"));
        assert!(status.term >= 3 && status.epoch >= 8, "{} {}", status.term, status.epoch);
        let members: Vec<&str> = status.members.iter().map(|member| member.name.as_str()).collect();
        assert_eq!(members, ["n0", "n2"]);
        let output = coordinators.command(&["configuration", "get", "--scope", "all"]).await;
        assert_eq!((output.code, output.stdout.as_str()), (0, "[limits]\nretry_after_s = 3\n"));
        let output = coordinators.command(&["configuration", "history", "--json"]).await;
        let history: Vec<HistoryEntry> = serde_json::from_str(&output.stdout).expect("a history");
        let versions: Vec<u64> = history.iter().map(|entry| entry.version).collect();
        assert_eq!(versions, [1, 2, 7, 8, 9]);
        let output = coordinators.command(&["duties", "status", "--json"]).await;
        let duties: DutiesStatus = serde_json::from_str(&output.stdout).expect("a status");
        assert_eq!((duties.highest_term, duties.duties.len()), (6, 3));
        let holder = duties.duties[0].holder.as_ref().expect("a holder");
        assert_eq!((holder.name.as_str(), holder.term, holder.note.as_str()), ("n2", 6, "begun"));
        let file =
            common::configuration::write_file(&coordinators, "part.toml", "[limits]\nretry_after_s = 5\n");
        let output = coordinators.command(&["configuration", "put", &file, "--scope", "all"]).await;
        assert_eq!(output.stdout, "version 10\n");
        coordinators.wait_for_state(0, "leader").await;
    });
}
