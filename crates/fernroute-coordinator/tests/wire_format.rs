//! The JSON between coordinators, and from them to operators: fixed texts must survive decoding and encoding unchanged.

use fernroute_coordinator::configuration::{
    ConfigurationStatus, LatestEntry, PutRequest, RequestError, ScopeStatus,
};
use fernroute_coordinator::duties::{DutiesStatus, PendingRelease};
use fernroute_coordinator::peers::ReplicaInfo;
use fernroute_coordinator::replica::Status;
use fernroute_coordinator::store::{ReplicaIdentity, ReplicaPosition, StateMachine};
use fernroute_coordinator::{ApplyResult, RaftTypes};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Asserts that the text decodes as this type and encodes to the same text.
fn assert_unchanged<T: Serialize + DeserializeOwned>(text: &str) {
    let value: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"));
    assert_eq!(serde_json::to_string(&value).expect("the write succeeds"), text);
}

const VOTE: &str = r#"{"leader_id":{"term":3,"node_id":42},"committed":true}"#;

fn log_id(index: u64) -> String {
    format!(r#"{{"leader_id":{{"term":3,"node_id":42}},"index":{index}}}"#)
}

#[test]
fn raft_messages_keep_their_keys() {
    let entries = [
        r#""Blank""#,
        r#"{"Normal":{"Budgets":{"acme":{"whole":200000,"floor":40}}}}"#,
        r#"{"Normal":{"Step":{"base":1,"joins":[[7,"n0"]],"accepted":[],"lapsed":[],"gone":[],"offers":{}}}}"#,
        r#"{"Normal":{"Configuration":{"scope":"all","base":0,"hash":"a1","content":"","who":"ann","when_ms":1,"above":0}}}"#,
        r#"{"Normal":{"Duties":{"Names":["sweep"]}}}"#,
        r#"{"Membership":{"configs":[[42,43]],"nodes":{"42":{"addr":"s0"},"43":{"addr":"s1"}}}}"#,
    ];
    let entries: Vec<String> = (5..)
        .zip(entries)
        .map(|(index, payload)| format!(r#"{{"log_id":{},"payload":{payload}}}"#, log_id(index)))
        .collect();
    assert_unchanged::<AppendEntriesRequest<RaftTypes>>(&format!(
        r#"{{"vote":{VOTE},"prev_log_id":{},"entries":[{}],"leader_commit":{}}}"#,
        log_id(4),
        entries.join(","),
        log_id(5)
    ));
    assert_unchanged::<AppendEntriesResponse<u64>>(r#""Success""#);
    assert_unchanged::<VoteRequest<u64>>(&format!(r#"{{"vote":{VOTE},"last_log_id":{}}}"#, log_id(4)));
    assert_unchanged::<VoteResponse<u64>>(&format!(
        r#"{{"vote":{VOTE},"vote_granted":true,"last_log_id":{}}}"#,
        log_id(4)
    ));
    assert_unchanged::<InstallSnapshotRequest<RaftTypes>>(&format!(
        r#"{{"vote":{VOTE},"meta":{{"last_log_id":{},"last_membership":{{"log_id":null,"membership":{{"configs":[],"nodes":{{}}}}}},"snapshot_id":"3-42-4"}},"offset":0,"data":[123,125],"done":true}}"#,
        log_id(4)
    ));
    assert_unchanged::<InstallSnapshotResponse<u64>>(&format!(r#"{{"vote":{VOTE}}}"#));
}

#[test]
fn replica_info_and_replicated_state_keep_their_keys() {
    assert_unchanged::<ReplicaInfo>(
        r#"{"cluster":"shop","name":"s0","id":42,"blank":false,"heard":{"43":{"vote":[3,42],"entry":[3,42,5]}}}"#,
    );
    assert_unchanged::<ReplicaIdentity>(r#"{"cluster":"shop","id":42}"#);
    assert_unchanged::<ReplicaPosition>(r#"{"vote":[3,42],"entry":[3,42,5]}"#);
    assert_unchanged::<StateMachine>(&format!(
        r#"{{"ledger":{{"epoch":0,"budgets":{{}},"holders":{{}}}},"register":{{"version":0,"parts":{{}},"history":[]}},"duties":{{"version":0,"highest":0,"duties":{{}}}},"applied":{},"membership":{{"log_id":null,"membership":{{"configs":[],"nodes":{{}}}}}}}}"#,
        log_id(4)
    ));
}

#[test]
fn operators_requests_and_their_replies_keep_their_keys() {
    let line = r#"{"version":1,"scope":"all","base":0,"hash":"a1","bytes":6,"who":"ann","when_ms":1}"#;
    assert_unchanged::<PutRequest>(
        r#"{"scope":"service/web","base":0,"hash":"a1","content":"a = 1\n","who":"ann"}"#,
    );
    for reply in [
        r#"{"Ok":7}"#.to_owned(),
        r#"{"Err":{"elsewhere":"127.0.0.1:7001"}}"#.to_owned(),
        r#"{"Err":{"elsewhere":null}}"#.to_owned(),
        format!(r#"{{"Err":{{"out_of_date":{line}}}}}"#),
        r#"{"Err":{"out_of_date":null}}"#.to_owned(),
        r#"{"Err":{"refused":"why"}}"#.to_owned(),
        r#"{"Err":{"unknown":"why"}}"#.to_owned(),
    ] {
        assert_unchanged::<Result<u64, RequestError>>(&reply);
    }
    assert_unchanged::<ApplyResult>(r#"{"Ok":7}"#);
    assert_unchanged::<ApplyResult>(r#"{"Err":{"why":"the scope is at version 1","latest":1}}"#);
    assert_unchanged::<LatestEntry>(&format!(
        r#"{{"part":{{"scope":"all","version":1,"hash":"a1","content":"a = 1\n"}},"line":{line}}}"#
    ));
    assert_unchanged::<PendingRelease>(r#"{"holder":"n0","term":4,"lapses_after_ms":1500}"#);
}

#[test]
fn status_reports_keep_their_keys() {
    assert_unchanged::<ScopeStatus>(r#"{"scope":"all","version":1,"hash":"a1","bytes":6}"#);
    assert_unchanged::<ConfigurationStatus>(
        r#"{"cluster":"shop","leader":"s0","version":2,"settled":true,"scopes":[{"scope":"all","version":1,"hash":"a1","bytes":6}],"summary":{"in_force":1,"on_its_way":0,"refused":0,"ahead":0,"not_heard_of":0,"follows_none":0},"members":[{"name":"n0","service":"web","zone":"a","wanted":2,"in_force":2,"refused":null,"standing":"in_force"}]}"#,
    );
    assert_unchanged::<DutiesStatus>(
        r#"{"cluster":"shop","leader":"s0","highest_term":6,"ended":{"drained":1,"lapsed":2},"duties":[{"duty":"sweep","holder":{"name":"n0","term":5,"held_for_s":1.5,"at_least":true,"left_s":0.5,"note":"half way"},"before":["n1","operator"]},{"duty":"tidy","holder":null,"before":null}]}"#,
    );
    assert_unchanged::<Status>(
        r#"{"cluster":"shop","steward":"s0","id":42,"state":"leader","trouble":null,"stewards":[{"name":"s0","id":42,"votes":true}],"unread":1,"leader":"s0","term":3,"epoch":8,"budgets":{"acme":{"whole":200.0,"floor":2.0,"held":104.0}},"members":[{"name":"n0","epoch":6,"holds":{"acme":92.0}}]}"#,
    );
}

#[test]
fn request_paths_are_unchanged() {
    use fernroute_coordinator::{configuration, duties, peers};
    assert_eq!(
        [
            peers::APPEND_PATH,
            peers::VOTE_PATH,
            peers::SNAPSHOT_PATH,
            peers::INFO_PATH,
            peers::STATUS_PATH,
            peers::CHANGE_PATH
        ],
        ["/-/append", "/-/vote", "/-/snapshot", "/-/who", "/-/status", "/-/change"]
    );
    assert_eq!(
        [
            configuration::PUT_PATH,
            configuration::GET_PATH,
            configuration::HISTORY_PATH,
            configuration::STATUS_PATH
        ],
        [
            "/-/configuration/put",
            "/-/configuration/get",
            "/-/configuration/history",
            "/-/configuration/status"
        ]
    );
    assert_eq!(
        [duties::STATUS_PATH, duties::RELEASE_PATH, duties::NOTE_PATH],
        ["/-/duties/status", "/-/duties/release", "/-/duties/note"]
    );
}
