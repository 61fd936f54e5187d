//! The interfaces that operators and processes of other versions rely on: keys, paths, headers, exit codes and error messages,
//! compared with fixed texts.

mod common;
#[path = "common/process.rs"]
mod process;

use common::*;
use fernroute_server::program::configuration_cache::ConfigurationCache;
use fernroute_server::protocol::handover::{decode, encode, PredecessorMessage, SuccessorMessage};
use fernroute_server::protocol::{names, ops};
use process::{temp_dir, Program};
use std::cell::RefCell;
use std::path::Path;
use std::process::Command;
use std::rc::Rc;

const SUCCESSOR_LINES: [&str; 3] =
    [r#"{"take":{"version":1}}"#, r#""ready""#, r#"{"run_once":{"ids":[{"id":"r1","left_ms":900}]}}"#];

const PREDECESSOR_LINES: [&str; 9] = [
    r#"{"given":{"version":1,"list":{"discovery":"127.0.0.1:8500","since":41,"upstreams":[{"id":"s-1","address":"127.0.0.1:9001","zone":"a","cell":"0","kind":"k","started_ms":7}]},"descriptors":100,"member":{"identity":7,"grant":{"epoch":2,"floors":{"acme":40},"shares":{"acme":100}},"shares_for":20000,"floors_for":600000,"part":500}}}"#,
    r#"{"given":{"version":1,"list":{"discovery":"127.0.0.1:8500","since":null,"upstreams":[]},"descriptors":100,"member":null}}"#,
    r#"{"refused":{"why":"another successor is here","ending":true}}"#,
    r#"{"given":{"version":1,"list":{"discovery":"127.0.0.1:8500","since":null,"upstreams":[]},"descriptors":100,"memory":9000000,"member":null}}"#,
    r#"{"left":{"descriptors":50}}"#,
    r#"{"left":{"descriptors":50,"memory":12000000}}"#,
    r#"{"given":{"version":1,"list":{"discovery":"127.0.0.1:8500","since":null,"upstreams":[]},"descriptors":100,"memory":9000000,"run_once":[],"member":null}}"#,
    r#"{"left":{"descriptors":50,"memory":12000000,"run_once":[{"id":"r1","left_ms":0}]}}"#,
    r#""yours""#,
];

/// Guards against an upgrade between two versions that cannot decode each other's messages.
#[test]
fn handover_messages_are_unchanged() {
    for line in SUCCESSOR_LINES {
        let message: SuccessorMessage = decode(line.as_bytes()).expect("decodable message");
        assert_eq!(encode(&message), format!("{line}\n").into_bytes());
    }
    for line in PREDECESSOR_LINES {
        let message: PredecessorMessage = decode(line.as_bytes()).expect("decodable message");
        assert_eq!(encode(&message), format!("{line}\n").into_bytes());
    }
    // A later version may say more.
    let later = br#"{"left":{"descriptors":50,"later":1}}"#;
    assert_eq!(
        decode(later),
        Ok(PredecessorMessage::Left { descriptors: 50, memory: None, run_once: Vec::new() })
    );
}

#[test]
fn headers_and_paths_are_unchanged() {
    let headers = [
        names::ID,
        names::METHOD,
        names::TENANT,
        names::EXTRA,
        names::DEADLINE,
        names::KEY,
        names::LOAD,
        names::DECLINED,
    ];
    assert_eq!(
        headers,
        [
            "req-id",
            "req-kind",
            "req-owner",
            "req-extra",
            "req-deadline-ms",
            "idempotency-key",
            "srv-load",
            "srv-declined"
        ]
    );
    assert_eq!([names::READY_PATH, names::LIST_PATH], ["/-/ready", "/api/targets"]);
    for (call, is_known) in
        [("GET /-/ready", true), ("GET /-/metrics", true), ("POST /-/drain", true), ("POST /-/resume", true)]
    {
        let call = ops::Call::decode(format!("{call} HTTP/1.1\r\n\r\n").as_bytes());
        assert_eq!(call.is_some_and(|call| call.is_ok()), is_known);
    }
}

/// Collects the path of each key in a JSON value, including the names of methods, budgets and duties.
fn keys(path: &str, value: &serde_json::Value, out: &mut Vec<String>) {
    let Some(object) = value.as_object() else { return };
    for (name, value) in object {
        let path = format!("{path}/{name}");
        out.push(path.clone());
        keys(&path, value, out);
    }
}

const METRICS: [&str; 34] = [
    "/discovered",
    "/ejected",
    "/fleet",
    "/fleet/beats",
    "/fleet/configuration",
    "/fleet/configuration/in_force",
    "/fleet/configuration/kept",
    "/fleet/configuration/refused",
    "/fleet/configuration/told",
    "/fleet/duties",
    "/fleet/duties/sweep",
    "/fleet/duties/sweep/term",
    "/fleet/fetches",
    "/fleet/received_bytes",
    "/fleet/sent_bytes",
    "/forwards",
    "/left",
    "/memory",
    "/memory/held_bytes",
    "/memory/limit_bytes",
    "/memory/peak_bytes",
    "/memory/waiting",
    "/outstanding",
    "/results",
    "/results/look",
    "/results/look/aborted",
    "/results/look/declined",
    "/results/look/succeeded",
    "/results/put",
    "/results/put/aborted",
    "/results/put/declined",
    "/results/put/succeeded",
    "/taken",
    "",
];

const FLEET: &str = r#"name = "n0"
listen = "127.0.0.1:0"
discovery = "DISCOVERY"
ops = "127.0.0.2:0"
[place]
zone = "a"
[fleet]
cluster = "shop"
stewards = ["COORDINATOR"]
beat_ms = 50
divides = ["further", "trials"]
service = "web"
wait_ms = 500
[rules]
cold_from = 0.3
warm_within_s = 8
cold_multiple = 3
cold_window_s = 2
[[method]]
name = "look"
effect = "retriable"
hard_ms = 3000
[[method]]
name = "put"
effect = "non_retriable"
hard_ms = 3000
[[upstream]]
id = "s-1"
address = "127.0.0.1:9001"
zone = "a"
cell = "0"
"#;

/// A fleet member with a stored identity sends a heartbeat with the known keys to the known path, applies the reply, and shows both
/// in its metrics.
#[test]
fn heartbeats_stored_identity_and_metrics_are_unchanged() {
    run(async {
        let heartbeats: Rc<RefCell<Vec<(String, serde_json::Value)>>> = Rc::default();
        let received = Rc::clone(&heartbeats);
        let coordinator = start_stub(move |_, message| {
            let heartbeat: serde_json::Value = serde_json::from_slice(&message.body).expect("valid JSON");
            let number = heartbeat["message"]["number"].clone();
            let is_eligible = heartbeat["message"]["duties"]["eligible"] == true;
            let terms = if is_eligible { r#"{"sweep":4}"# } else { "{}" };
            received.borrow_mut().push((message.target.clone(), heartbeat));
            Reply::Send(fernroute_test_support::http::response(
                200,
                "",
                &format!(
                    r#"{{"Ok":{{"identity":255,"number":{number},"grant":{{"epoch":1,"floors":{{}},"shares":{{}}}},"shares_for":30000,"floors_for":600000,"duties":{{"terms":{terms},"holds_for":30000}}}}}}"#
                ),
            ))
        })
        .await;
        let discovery = start_stub(|_, _| Reply::NoReply).await;
        let folder = temp_dir("interface");
        // The file name consists of the balancer's name and its configured listen address.
        std::fs::write(folder.join("fernroute-n0-127.0.0.1_0.member"), "00000000000000ff\n")
            .expect("access the test file");
        let config = FLEET
            .replace("DISCOVERY", &discovery.address.to_string())
            .replace("COORDINATOR", &coordinator.address.to_string());
        let program = Program::start(&folder, &config).await;
        let metrics = async || {
            let reply =
                send_and_read(program.ops_address, "GET /-/metrics HTTP/1.1\r\nHost: n0\r\n\r\n").await;
            serde_json::from_slice::<serde_json::Value>(&reply.body).expect("valid JSON")
        };
        while metrics().await["fleet"]["duties"]["sweep"]["term"] != 4 {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        let mut found = vec![String::new()];
        keys("", &metrics().await, &mut found);
        found.sort();
        let mut expected = METRICS.map(str::to_owned);
        expected.sort();
        assert_eq!(found, expected);
        let (path, heartbeat) = heartbeats.borrow().last().cloned().expect("a received heartbeat");
        assert_eq!(path, "/-/beat");
        assert_eq!(heartbeat["message"]["identity"], 255);
        let mut found = Vec::new();
        keys("", &heartbeat, &mut found);
        found.sort();
        assert_eq!(
            found,
            [
                "/cluster",
                "/message",
                "/message/configuration",
                "/message/configuration/in_force",
                "/message/configuration/service",
                "/message/configuration/zone",
                "/message/duties",
                "/message/duties/answered",
                "/message/duties/eligible",
                "/message/duties/highest",
                "/message/duties/incarnation",
                "/message/epoch",
                "/message/identity",
                "/message/leaves",
                "/message/name",
                "/message/number",
                "/message/wants",
                "/message/wants/transmissions beyond the first",
                "/message/wants/trials to one upstream",
                "/to",
                "/version"
            ]
        );
        drop(program);
        let _ = std::fs::remove_dir_all(&folder);
    });
}

/// A cached configuration that an earlier version stored is read with the same contents.
#[test]
fn stored_configuration_is_read_unchanged() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/n0.configuration");
    let stored: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&path).expect("read the fixture")).expect("valid JSON");
    let target = serde_json::from_str(r#"{"name":"n0","service":"web","zone":"a"}"#).expect("valid target");
    let snapshot = ConfigurationCache::new(path)
        .read(&target)
        .expect("valid configuration")
        .expect("present cached configuration");
    assert_eq!(snapshot.version, 9);
    assert_eq!(
        snapshot.contents().collect::<Vec<_>>(),
        ["[limits]\nretry_after_s = 3\n", "[limits]\nretry_after_s = 2\n", "[limits]\nretry_after_s = 4\n"]
    );
    assert_eq!(serde_json::to_value(&snapshot).expect("valid JSON"), stored);
}

/// Returns the exit code of `fernroute check` and its standard error.
fn check(folder: &Path, name: &str, text: &str) -> (Option<i32>, String) {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("access the test file");
    let output = Command::new(env!("CARGO_BIN_EXE_fernroute"))
        .args(["check", "--config"])
        .arg(&path)
        .env_remove("NODE_OPS")
        .output()
        .expect("run the program");
    let error = String::from_utf8_lossy(&output.stderr).replace(&path.display().to_string(), "FILE");
    (output.status.code(), error)
}

/// A text in the file, its replacement, and the error that results.
const ERRORS: &[(&str, &str, &str)] = &[
    ("beat_ms = 50", "beat_ms = 5", "fernroute: FILE: line 10: fleet.beat_ms: 5 is not between 10 and 10000\n"),
    ("beat_ms = 50", "beat = 50", "fernroute: FILE: line 10: fleet.beat: is not a known key\n"),
    ("cluster = \"shop\"\n", "", "fernroute: FILE: line 8: fleet.cluster: is required in [fleet]\n"),
    ("service = \"web\"\n", "", "fernroute: FILE: line 12: fleet.wait_ms: is only allowed together with fleet.service\n"),
    ("service = \"web\"", "service = \"a/b\"", "fernroute: FILE: line 12: fleet.service: \"a/b\" is no valid scope name: it is longer than 64 bytes, or contains a /\n"),
    ("divides = [\"further\", \"trials\"]", "divides = [\"retries\"]", "fernroute: FILE: line 11: fleet.divides: retries is not one of further, trials\n"),
    ("cold_from = 0.3", "cold_from = 2", "fernroute: FILE: line 15: rules.cold_from: 2 is not between 0.001 and 1\n"),
    ("name = \"put\"", "name = \"look\"", "fernroute: FILE: line 24: method[1].name: look is already the name of method[0]\n"),
    ("\"non_retriable\"", "\"deduped\"", "fernroute: FILE: line 23: method[1].group: is required where effect is deduped; line 23: method[1].window_s: is required where effect is deduped\n"),
    ("hard_ms = 3000", "hard_ms = \"x\"", "fernroute: FILE: line 22: method[0].hard_ms: must be a number; line 26: method[1].hard_ms: must be a number\n"),
    ("[place]", "[place", "fernroute: FILE: line 5: unclosed table, expected `]`\n"),
    ("wait_ms = 500", "wait_ms = 90000", "fernroute: FILE: line 13: fleet.wait_ms: 90000 is not between 0 and 5000\n"),
];

#[test]
fn invalid_file_prints_the_known_line_and_exits_with_2() {
    let folder = temp_dir("interface-errors");
    for (old, new, expected) in ERRORS {
        assert!(FLEET.contains(old), "{old}");
        let config = FLEET
            .replace("DISCOVERY", "127.0.0.1:8500")
            .replace("COORDINATOR", "127.0.0.1:7001")
            .replace(old, new);
        let (code, error) = check(&folder, "bad.toml", &config);
        assert_eq!((code, error.as_str()), (Some(2), *expected));
    }
    let _ = std::fs::remove_dir_all(&folder);
}

/// The platform reads these keys of the deploy file.
#[test]
fn deploy_file_keys_are_unchanged() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = std::fs::read_to_string(path).expect("read deploy/balancer.toml");
    let keys: Vec<&str> =
        text.lines().filter_map(|line| line.split_once('=')).map(|(key, _)| key.trim()).collect();
    assert_eq!(keys, ["build", "run", "sim", "policy", "node", "packages"]);
}
