//! Balancers of the tests' own, in this process; stand-ins and callers are the rig's.

// Each file of tests uses a part of these.
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

/// Runs a test on one thread, as the program runs; it must end.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = actix_rt::Runtime::new().expect("a runtime");
    let end = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(20), test).await });
    end.expect("the test ends");
}

/// A deployment of the tests' own: a method of each kind, and whatever `changes` puts in place of a text.
pub fn page(upstreams: &[SocketAddr], discovery: SocketAddr, changes: &[(&str, &str)]) -> String {
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

pub fn station(upstreams: &[SocketAddr], discovery: SocketAddr, changes: &[(&str, &str)]) -> InstanceConfig {
    InstanceConfig::decode_json(&page(upstreams, discovery, changes)).expect("the file is whole")
}

/// The id of an RPC as it is written.
pub fn id_of(bytes: &str) -> &str {
    bytes.split("Req-Id: ").nth(1).and_then(|rest| rest.lines().next()).expect("an id")
}

/// An RPC of one of the page's methods, read as the balancer reads it.
pub fn request(b: &RunningInstance, id: &str, method: &str, ms: &str) -> Request {
    let mut head = RequestHead::default();
    head.uri = format!("/{method}").parse().expect("a path");
    head.method = if method == "look" { Method::GET } else { Method::POST };
    let key = (method == "put").then_some(("idempotency-key", "k"));
    let words = [("req-id", id), ("req-kind", method), ("req-deadline-ms", ms)];
    for (name, value) in words.into_iter().chain(key) {
        head.headers.insert(HeaderName::from_static(name), value.parse().expect("a value"));
    }
    Request::decode(&head, &b.board.methods.borrow()).expect("an RPC")
}

/// A list as discovery would tell it; `entries` as [`entry`] makes them.
pub fn list(version: u64, full: bool, entries: &[String]) -> List {
    let text = format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","));
    lists::decode(&serde_json::from_str(&text).expect("it is JSON")).expect("a list")
}

/// Connections to upstreams that were used until now may be used again after this.
pub async fn rested() {
    tokio::time::sleep(Duration::from_millis(12)).await;
}

/// A balancer before these upstreams, with discovery silent.
pub async fn balancer(upstreams: &[&StubServer], changes: &[(&str, &str)]) -> RunningInstance {
    balancer_at(&upstreams.iter().map(|u| u.address).collect::<Vec<_>>(), changes).await
}

pub async fn balancer_at(upstreams: &[SocketAddr], changes: &[(&str, &str)]) -> RunningInstance {
    let discovery = start_stub(|_, _| Reply::NoReply).await;
    serve::start(station(upstreams, discovery.address, changes)).await.expect("it starts")
}
