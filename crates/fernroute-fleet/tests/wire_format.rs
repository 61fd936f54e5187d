//! The JSON of messages between processes and of replicated state, which processes of other versions read and write:
//! fixed texts must survive decoding and encoding unchanged.

use fernroute_fleet::configuration::follower::ConfigurationSnapshot;
use fernroute_fleet::configuration::register::{HistoryEntry, Register};
use fernroute_fleet::configuration::rollout::{MemberRollout, RolloutSummary};
use fernroute_fleet::configuration::{FetchReply, FetchRequest};
use fernroute_fleet::duties::table::DutyTable;
use fernroute_fleet::lease::Lease;
use fernroute_fleet::ledger::{Entry, Ledger};
use fernroute_fleet::member::MemberHandover;
use fernroute_fleet::message::{Envelope, Heartbeat, HeartbeatError, HeartbeatReply};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Asserts that the text decodes as this type and encodes to the same text.
fn assert_unchanged<T: Serialize + DeserializeOwned>(text: &str) {
    let value: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"));
    assert_eq!(serde_json::to_string(&value).expect("serializable"), text);
}

/// Asserts that the text of an older version decodes, and encodes to the newer text.
fn assert_read_as<T: Serialize + DeserializeOwned>(old: &str, new: &str) {
    let value: T = serde_json::from_str(old).unwrap_or_else(|error| panic!("{error}: {old}"));
    assert_eq!(serde_json::to_string(&value).expect("serializable"), new);
}

const HEARTBEAT: &str = r#"{"name":"n0","identity":7,"number":3,"epoch":2,"wants":{"acme":1000},"leaves":true,"configuration":{"service":"web","zone":"a","in_force":4,"refused":[5,"it does not load"]},"duties":{"incarnation":9,"eligible":true,"released":{"sweep":3},"answered":2,"highest":8}}"#;

#[test]
fn a_heartbeat_keeps_its_keys() {
    assert_unchanged::<Heartbeat>(HEARTBEAT);
    assert_unchanged::<Heartbeat>(
        r#"{"name":"n0","identity":7,"number":3,"epoch":0,"wants":{},"leaves":false,"configuration":{"service":"web","zone":"","in_force":0},"duties":{"incarnation":9,"eligible":false,"answered":0,"highest":0}}"#,
    );
    assert_read_as::<Heartbeat>(
        r#"{"name":"n0","identity":7,"number":3,"epoch":0,"wants":{},"unheard_of":1}"#,
        r#"{"name":"n0","identity":7,"number":3,"epoch":0,"wants":{},"leaves":false}"#,
    );
}

#[test]
fn the_envelope_of_a_message_keeps_its_keys() {
    assert_unchanged::<Envelope<Heartbeat>>(&format!(
        r#"{{"cluster":"shop","version":1,"to":0,"message":{HEARTBEAT}}}"#
    ));
    assert_eq!(fernroute_fleet::message::PROTOCOL_VERSION, 1);
    assert_eq!(fernroute_fleet::message::HEARTBEAT_PATH, "/-/beat");
    assert_eq!(fernroute_fleet::configuration::FETCH_PATH, "/-/configuration/fetch");
}

#[test]
fn the_reply_to_a_heartbeat_keeps_its_keys() {
    let reply = r#"{"identity":7,"number":3,"grant":{"epoch":2,"floors":{"acme":40},"shares":{"acme":100}},"shares_for":20000,"floors_for":600000,"configuration":6,"duties":{"terms":{"sweep":4},"holds_for":17500,"over":["compact"]}}"#;
    assert_unchanged::<HeartbeatReply>(reply);
    assert_unchanged::<HeartbeatReply>(
        r#"{"identity":7,"number":3,"grant":{"epoch":0,"floors":{},"shares":{}},"shares_for":20000,"floors_for":600000}"#,
    );
    assert_unchanged::<Result<HeartbeatReply, HeartbeatError>>(&format!(r#"{{"Ok":{reply}}}"#));
    for rejection in [
        r#"{"Err":{"elsewhere":"127.0.0.1:7001"}}"#,
        r#"{"Err":{"elsewhere":null}}"#,
        r#"{"Err":{"refused":"name_taken"}}"#,
        r#"{"Err":{"refused":"full"}}"#,
        r#"{"Err":{"refused":"later"}}"#,
        r#"{"Err":{"refused":"bad_name"}}"#,
    ] {
        assert_unchanged::<Result<HeartbeatReply, HeartbeatError>>(rejection);
    }
}

#[test]
fn a_configuration_fetch_and_its_reply_keep_their_keys() {
    assert_unchanged::<FetchRequest>(
        r#"{"place":{"name":"n0","service":"web","zone":"a"},"have":1,"want":2}"#,
    );
    assert_unchanged::<FetchReply>(
        r#"{"parts":{"version":2,"whole":"f0","parts":[{"scope":"all","version":1,"hash":"a1","content":"a = 1\n"},{"scope":"service/web","version":1,"hash":"a1","content":""},{"scope":"service/web/zone/a","version":2,"hash":"b2","content":"b"},{"scope":"balancer/n0","version":2,"hash":"b2","content":"b"}]}}"#,
    );
    assert_unchanged::<FetchReply>(r#""behind""#);
}

#[test]
fn each_variant_of_a_replicated_entry_keeps_its_keys() {
    for entry in [
        r#"{"Budgets":{"acme":{"whole":200000,"floor":40}}}"#,
        r#"{"Step":{"base":1,"joins":[[7,"n0"]],"accepted":[[7,3]],"lapsed":[8],"gone":[9],"offers":{"7":[{"acme":40},{"acme":100}]}}}"#,
        r#"{"Configuration":{"scope":"service/web","base":0,"hash":"a1","content":"a = 1\n","who":"ann","when_ms":1700000000000,"above":4}}"#,
        r#"{"Duties":{"Names":["compact","sweep"]}}"#,
        r#"{"Duties":{"Change":{"base":1,"ends":[{"duty":"sweep","term":3,"reason":"drained"},{"duty":"a","term":4,"reason":"lapsed"},{"duty":"b","term":5,"reason":"unanswered"},{"duty":"c","term":6,"reason":"operator"},{"duty":"d","term":7,"reason":"removed"}],"grants":[{"duty":"sweep","candidate":{"identity":7,"incarnation":9},"name":"n0"}],"above":3}}}"#,
        r#"{"Duties":{"Note":{"duty":"sweep","term":4,"text":"half way"}}}"#,
    ] {
        assert_unchanged::<Entry>(entry);
    }
}

#[test]
fn the_replicated_state_keeps_its_keys() {
    assert_unchanged::<Ledger>(
        r#"{"epoch":3,"budgets":{"acme":{"whole":200000,"floor":40}},"holders":{"7":{"name":"n0","accepted":{"epoch":2,"floors":{"acme":40},"shares":{"acme":100}},"offered":{"epoch":3,"floors":{"acme":40},"shares":{"acme":50}}},"8":{"name":"n1","accepted":{"epoch":0,"floors":{},"shares":{}},"offered":null}}}"#,
    );
    assert_unchanged::<Register>(
        r#"{"version":2,"parts":{"all":{"scope":"all","version":2,"hash":"b2","content":"b"}},"history":[{"version":1,"scope":"all","base":0,"hash":"a1","bytes":6,"who":"ann","when_ms":1},{"version":2,"scope":"all","base":1,"hash":"b2","bytes":1,"who":"bob","when_ms":2}]}"#,
    );
    assert_unchanged::<DutyTable>(
        r#"{"version":4,"highest":5,"duties":{"compact":{"holder":null,"before":["n1","operator"],"removed":false},"sweep":{"holder":{"candidate":{"identity":7,"incarnation":9},"name":"n0","term":5,"note":"half way"},"before":null,"removed":true}}}"#,
    );
}

#[test]
fn a_stored_snapshot_and_a_handover_keep_their_keys() {
    assert_unchanged::<ConfigurationSnapshot>(
        r#"{"place":{"name":"n0","service":"web","zone":"a"},"version":2,"whole":"f0","parts":{"all":{"scope":"all","version":2,"hash":"b2","content":"b"}}}"#,
    );
    assert_unchanged::<MemberHandover>(
        r#"{"identity":7,"grant":{"epoch":2,"floors":{"acme":40},"shares":{"acme":100}},"shares_for":20000,"floors_for":600000,"part":500}"#,
    );
    assert_unchanged::<Lease>(r#"{"length":20000,"drift":1000}"#);
}

#[test]
fn history_and_rollout_for_operators_keep_their_keys() {
    assert_unchanged::<HistoryEntry>(
        r#"{"version":1,"scope":"all","base":0,"hash":"a1","bytes":6,"who":"ann","when_ms":1}"#,
    );
    for (standing, refused) in [
        ("in_force", "null"),
        ("on_its_way", "null"),
        ("refused", r#"[2,"it does not load"]"#),
        ("ahead", "null"),
        ("not_heard_of", "null"),
        ("follows_none", "null"),
    ] {
        assert_unchanged::<MemberRollout>(&format!(
            r#"{{"name":"n0","service":"web","zone":"a","wanted":2,"in_force":1,"refused":{refused},"standing":"{standing}"}}"#
        ));
    }
    assert_unchanged::<RolloutSummary>(
        r#"{"in_force":1,"on_its_way":2,"refused":3,"ahead":4,"not_heard_of":5,"follows_none":6}"#,
    );
}
