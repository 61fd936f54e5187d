//! Starts balancers inside the test process. Stand-in servers and callers come from `fernroute-test-support`.

// Each test file uses only some of these.
#![allow(dead_code, unused_imports)]

pub use fernroute_test_support::caller::{
    connect, is_ready, request_status, rpc_head, send, send_and_read, until_ready, CallerLoad,
};
pub use fernroute_test_support::http::{read_message, Message};
pub use fernroute_test_support::stub::{list_entry, ok, start_stub, status_reply, Reply, StubServer};
pub use fernroute_test_support::wait_until;

use actix_http::header::HeaderName;
use actix_http::{Method, RequestHead};
use fernroute_server::program::instance::InstanceConfig;
use fernroute_server::program::serve::{self, RunningInstance};
use fernroute_server::protocol::list::{self as lists, List};
use fernroute_server::protocol::request::Request;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Runs a test on a single-threaded runtime, like the program's, with a time limit.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = actix_rt::Runtime::new().expect("create the runtime");
    let end = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(20), test).await });
    end.expect("test exceeded its time limit");
}

/// A JSON configuration file with one method of each effect. Each pair in `changes` replaces a text that must occur in it.
pub fn config_json(upstreams: &[SocketAddr], discovery: SocketAddr, changes: &[(&str, &str)]) -> String {
    let list = upstreams.iter().enumerate().map(|(n, at)| list_entry(&format!("s-{n}"), *at, "z", "SERVING"));
    let list: Vec<String> = list.collect();
    let method = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","group":"all","window-s":5,"soft-deadline-s":2.5,
            "hard-deadline-s":6.0,"gain":1.0,"late-gain":0.5}}"#
        )
    };
    let mut text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "ops":"127.0.0.1:0",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
        "known":{{"version":7,"full":true,"servers":[{}]}},
        "settings":{{"n-instances":1,"me":0,"layer":0,"zone":"z","quantum-s":0.005,"orgs":[],
        "feedback":{{"names":["avg_ms","cpu"],"source":"piggyback"}},"membership-mode":"automatic",
        "ceilings":{{"cancel":true,"connect-timeout-s":0.25,"keepalive-s":30.0,"max-transmissions":3,
        "retry-after":true,"max-retry-after-s":2.0}},
        "contract":{{"cold-from":0.3,"warm-within-s":8,"tip-multiple":2.5,"overload-for-s":3}},
        "methods":[{},{},{}]}}}}"#,
        list.join(","),
        method("look", "read_like"),
        method("put", "idempotency_key"),
        method("pay", "non_idempotent"),
    );
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    text
}

pub fn instance_config(
    upstreams: &[SocketAddr],
    discovery: SocketAddr,
    changes: &[(&str, &str)],
) -> InstanceConfig {
    InstanceConfig::decode_json(&config_json(upstreams, discovery, changes))
        .expect("valid configuration file")
}

/// The `Req-Id` header of an encoded RPC.
pub fn rpc_id(bytes: &str) -> &str {
    bytes.split("Req-Id: ").nth(1).and_then(|rest| rest.lines().next()).expect("Req-Id header")
}

/// An RPC of one of the methods in [`config_json`], decoded as the balancer decodes it.
pub fn request(b: &RunningInstance, id: &str, method: &str, ms: &str) -> Request {
    let mut head = RequestHead::default();
    head.uri = format!("/{method}").parse().expect("valid path");
    head.method = if method == "look" { Method::GET } else { Method::POST };
    let key = (method == "put").then_some(("idempotency-key", "k"));
    let words = [("req-id", id), ("req-kind", method), ("req-deadline-ms", ms)];
    for (name, value) in words.into_iter().chain(key) {
        head.headers.insert(HeaderName::from_static(name), value.parse().expect("valid header value"));
    }
    Request::decode(&head, &b.dispatcher.methods.borrow()).expect("valid RPC")
}

/// The target list that the balancer decodes from a discovery response; `entries` as built by [`entry`].
pub fn decode_list(version: u64, full: bool, entries: &[String]) -> List {
    let text = format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","));
    lists::decode(&serde_json::from_str(&text).expect("valid JSON")).expect("valid target list")
}

/// Waits longer than the time for which a connection that has just been used is not reused.
pub async fn until_reusable() {
    tokio::time::sleep(Duration::from_millis(12)).await;
}

/// A balancer that knows these upstreams; discovery accepts connections and never answers.
pub async fn balancer(upstreams: &[&StubServer], changes: &[(&str, &str)]) -> RunningInstance {
    balancer_at(&upstreams.iter().map(|u| u.address).collect::<Vec<_>>(), changes).await
}

pub async fn balancer_at(upstreams: &[SocketAddr], changes: &[(&str, &str)]) -> RunningInstance {
    let discovery = start_stub(|_, _| Reply::NoReply).await;
    serve::start(instance_config(upstreams, discovery.address, changes)).await.expect("start the balancer")
}
