//! A folder that the program of before left: the new one opens it, goes on from it, and gives back the same contents.
//!
//! `tests/fixtures/stored/ledger.redb` has a vote, a snapshot, and a log with each variant of an entry behind it;
//! `state.json` is the state that all of it comes to, and `log.jsonl` the log's entries.

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

/// A copy of the stored folder that a test may write to.
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
        let (mut disk, own) = LogStore::open(&folder, "shop").expect("it opens");
        assert_eq!(
            serde_json::to_string(&own).expect("JSON"),
            format!(r#"{{"cluster":"shop","id":{IDENTITY}}}"#)
        );
        let vote: Vote<u64> = disk.read_vote().await.expect("it is read").expect("it is there");
        assert_eq!((vote.leader_id.term, vote.leader_id.node_id, vote.committed), (3, IDENTITY, true));
        let committed = disk.read_committed().await.expect("it is read").expect("it is there");
        assert_eq!(committed.index, LAST_INDEX);
        let state = disk.get_log_state().await.expect("it is read");
        assert_eq!(state.last_log_id.map(|id| id.index), Some(LAST_INDEX));
        assert_eq!(state.last_purged_log_id.map(|id| id.index), Some(4));
        let log = std::fs::read_to_string(fixture("log.jsonl")).expect("the fixture");
        let entries = disk.try_get_log_entries(0..=LAST_INDEX).await.expect("it is read");
        let entries: Vec<String> =
            entries.iter().map(|entry| serde_json::to_string(entry).expect("JSON")).collect();
        assert_eq!(entries, log.lines().collect::<Vec<_>>());
        let mark = disk.position().expect("it is read").expect("it was of a ledger");
        assert_eq!(serde_json::to_string(&mark).expect("JSON"), r#"{"vote":[3,42],"entry":[3,42,23]}"#);
        assert_eq!(
            disk.voters().expect("it is read").into_iter().collect::<Vec<_>>(),
            [(IDENTITY, "s0".to_owned())]
        );
    });
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_stored_snapshot_and_the_log_behind_it_come_to_the_same_state() {
    let folder = copy_of_stored("state");
    actix_rt::System::new().block_on(async {
        let (mut disk, _) = LogStore::open(&folder, "shop").expect("it opens");
        let mut book = StateMachineStore::open(disk.clone()).expect("it is read");
        let (applied, membership) = book.applied_state().await.expect("it is told");
        assert_eq!(
            (applied.map(|id| id.index), membership.voter_ids().collect::<Vec<_>>()),
            (Some(10), vec![IDENTITY])
        );
        let behind = disk.try_get_log_entries(11..=LAST_INDEX).await.expect("it is read");
        let results = book.apply(behind).await.expect("it applies");
        assert!(results.iter().all(Result::is_ok), "{results:?}");
        assert_eq!(serde_json::to_value(&*book.state.borrow()).expect("JSON"), expected_state());
        // What is stored from here on reads as before, too.
        book.build_snapshot().await.expect("it is stored");
        let again = StateMachineStore::open(disk).expect("it is read");
        assert_eq!(serde_json::to_value(&*again.state.borrow()).expect("JSON"), expected_state());
    });
    let _ = std::fs::remove_dir_all(&folder);
}

/// The program itself goes on from it: the same terms, versions and members, and the next ones above them.
#[test]
fn a_coordinator_goes_on_from_a_stored_folder() {
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
        let status = coordinators.status(0).await.expect("it answers");
        assert_eq!((status.id, status.cluster.as_str()), (IDENTITY, "shop"));
        assert!(status.term >= 3 && status.epoch >= 8, "{} {}", status.term, status.epoch);
        let members: Vec<&str> = status.members.iter().map(|member| member.name.as_str()).collect();
        assert_eq!(members, ["n0", "n2"]);
        let output = coordinators.command(&["configuration", "get", "--scope", "all"]).await;
        assert_eq!((output.code, output.stdout.as_str()), (0, "[limits]\nretry_after_s = 3\n"));
        let output = coordinators.command(&["configuration", "history", "--json"]).await;
        let history: Vec<HistoryEntry> = serde_json::from_str(&output.stdout).expect("a history");
        let versions: Vec<u64> = history.iter().map(|line| line.version).collect();
        assert_eq!(versions, [1, 2, 7, 8, 9]);
        let output = coordinators.command(&["duties", "status", "--json"]).await;
        let duties: DutiesStatus = serde_json::from_str(&output.stdout).expect("a status");
        assert_eq!((duties.highest_term, duties.duties.len()), (6, 3));
        let holder = duties.duties[0].holder.as_ref().expect("it is held");
        assert_eq!((holder.name.as_str(), holder.term, holder.note.as_str()), ("n2", 6, "begun"));
        let file =
            common::configuration::write_file(&coordinators, "part.toml", "[limits]\nretry_after_s = 5\n");
        let output = coordinators.command(&["configuration", "put", &file, "--scope", "all"]).await;
        assert_eq!(output.stdout, "version 10\n");
        coordinators.wait_for_state(0, "leader").await;
    });
}
