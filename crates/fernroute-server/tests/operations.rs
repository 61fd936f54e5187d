//! Operations: the operators' address, metrics, drain and resume.

mod common;

use common::{
    balancer, connect, ok, read_message, rpc_head, run, send, send_and_read, start_stub, status_reply,
    wait_until, Message, Reply,
};
use fernroute_server::program::serve::RunningInstance;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn ops_request(verb: &str, path: &str) -> String {
    format!("{verb} {path} HTTP/1.1\r\nHost: n0\r\n\r\n")
}

fn ops_address(b: &RunningInstance) -> SocketAddr {
    b.ops_address.expect("operations address")
}

async fn ops_status(b: &RunningInstance, verb: &str, path: &str) -> u16 {
    send_and_read(ops_address(b), ops_request(verb, path)).await.status()
}

async fn metrics(b: &RunningInstance) -> serde_json::Value {
    let message: Message = send_and_read(ops_address(b), ops_request("GET", "/-/metrics")).await;
    assert_eq!((message.status(), message.header("connection")), (200, Some("close")));
    serde_json::from_slice(&message.body).expect("metrics in JSON")
}

#[test]
fn operations_address_serves_only_operators() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        for (verb, path, status) in [
            ("GET", "/-/ready", 200),
            ("GET", "/-/metrics", 200),
            ("POST", "/-/resume", 200),
            ("GET", "/-/resume", 405),
            ("GET", "/look", 404),
        ] {
            assert_eq!(ops_status(&b, verb, path).await, status, "{verb} {path}");
        }
        let long = format!("GET /-/ready HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(20_000));
        for (bytes, status) in [("nonsense\r\n\r\n", 400), ("GET /-/rea", 400), (long.as_str(), 431)] {
            let mut stream = connect(ops_address(&b)).await;
            stream.write_all(bytes.as_bytes()).await.expect("write to the socket");
            stream.shutdown().await.expect("shut down the write side");
            let answer = read_message(&mut stream).await.expect("read the answer");
            assert_eq!(answer.status(), status, "{bytes:.20}");
            assert_eq!(stream.read(&mut [0; 1]).await.expect("close without a reset"), 0);
        }
        // Only the first request on a connection is answered.
        let mut stream =
            send(ops_address(&b), ops_request("GET", "/-/ready") + &ops_request("POST", "/-/drain")).await;
        assert_eq!(read_message(&mut stream).await.expect("read the answer").status(), 200);
        assert_eq!(stream.read(&mut [0; 1]).await.expect("close without a reset"), 0);
        // The callers' address has only the readiness path.
        assert_eq!(send_and_read(b.address, ops_request("GET", "/-/ready")).await.status(), 200);
        for (verb, path) in [("GET", "/-/metrics"), ("POST", "/-/drain"), ("POST", "/-/resume")] {
            assert_eq!(send_and_read(b.address, ops_request(verb, path)).await.status(), 404, "{path}");
        }
        assert!(b.dispatcher.is_ready());
    });
}

/// Guards against operators that are shut out by silent connections, or by callers that use all of the callers' connections.
#[test]
fn operators_are_served_despite_silent_and_many_connections() {
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let b = balancer(&[&up], &[]).await;
        let mut silent = Vec::new();
        for n in 0..20 {
            silent.push(send(ops_address(&b), if n % 2 == 0 { "" } else { "GET /-/re" }).await);
        }
        let mut busy = Vec::new();
        for _ in 0..700 {
            busy.push(send(b.address, rpc_head("GET", "/look", "")).await);
        }
        for _ in 0..20 {
            let from = Instant::now();
            assert_eq!(ops_status(&b, "GET", "/-/metrics").await, 200);
            assert!(from.elapsed() < Duration::from_secs(1), "{:?}", from.elapsed());
        }
        // The oldest silent connection was evicted for later ones.
        assert_eq!(silent[0].read(&mut [0; 1]).await.unwrap_or(0), 0);
    });
}

/// Guards against metrics that do not add up, or that count requests which are not RPCs: upstreams decline, fail, fall silent and
/// truncate answers, callers leave, and lists shrink.
#[test]
fn metrics_add_up_across_all_outcomes() {
    run(async {
        let up = start_stub(|_, message| {
            let path = message.head.split(' ').nth(1).expect("valid path").to_owned();
            match path.rsplit('/').next().expect("last path segment") {
                "declined" => {
                    Reply::Send(b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".to_vec())
                }
                "erred" => status_reply("500 No"),
                "cut" => Reply::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()),
                "silent" => Reply::NoReply,
                _ => ok("whole"),
            }
        })
        .await;
        let b = balancer(&[&up], &[]).await;
        let empty = serde_json::json!({"succeeded": 0, "declined": 0, "aborted": 0});
        let start = metrics(&b).await;
        assert_eq!(start["results"], serde_json::json!({"look": empty, "put": empty, "pay": empty}));
        assert_eq!((&start["discovered"], &start["ejected"]), (&1.into(), &0.into()));
        let pay_rpc = |path: &str| rpc_head("POST", path, "Content-Length: 0\r\n");
        for (path, status) in
            [("/pay/declined", 503), ("/pay/erred", 502), ("/pay/cut", 502), ("/pay/whole", 200)]
        {
            assert_eq!(send_and_read(b.address, pay_rpc(path)).await.status(), status, "{path}");
        }
        // None of these counts as an RPC.
        for bytes in
            ["nonsense\r\n\r\n".to_owned(), rpc_head("GET", "/nowhere", ""), ops_request("GET", "/-/ready")]
        {
            send_and_read(b.address, bytes).await;
        }
        let leaver = send(b.address, pay_rpc("/pay/silent")).await;
        let stayer = send(b.address, rpc_head("GET", "/look/silent", "")).await;
        let current = metrics(&b).await;
        let counts = |v: &serde_json::Value| {
            let number = |v: &serde_json::Value| v.as_u64().expect("an unsigned number");
            let ends = v["results"].as_object().expect("results by method").values();
            let ended = ends
                .flat_map(|m| m.as_object().expect("results of a method").values().map(number))
                .sum::<u64>();
            (number(&v["taken"]), ended + number(&v["left"]) + number(&v["outstanding"]))
        };
        assert_eq!(counts(&current).0, counts(&current).1, "{current}");
        wait_until(|| {
            b.dispatcher.open.borrow().values().filter(|rpc| !rpc.attempts.is_empty()).count() == 2
        })
        .await;
        wait_until(|| up.received.borrow().len() >= 6).await;
        drop(leaver);
        wait_until(|| b.dispatcher.open.borrow().len() == 1).await;
        let current = metrics(&b).await;
        assert_eq!(current["outstanding"], 1);
        assert_eq!(current["left"], 1);
        assert_eq!(
            current["results"]["pay"],
            serde_json::json!({"succeeded": 1, "declined": 1, "aborted": 2})
        );
        assert_eq!((counts(&current).0, counts(&current).1), (6, 6), "{current}");
        assert_eq!(current["forwards"], up.received.borrow().len(), "{current}");
        drop(stayer);
        wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
        b.dispatcher.apply_list(&Default::default(), true);
        let current = metrics(&b).await;
        assert_eq!((counts(&current).0, counts(&current).1, &current["discovered"]), (6, 6, &1.into()));
        let none = fernroute_server::protocol::list::List { full: true, ..Default::default() };
        b.dispatcher.apply_list(&none, true);
        assert_eq!(metrics(&b).await["discovered"], 0);
    });
}

/// Guards against a draining balancer that still reports ready, that rejects callers before the load balancer in front of it has
/// noticed, that keeps idle callers, or that cuts off open RPCs; and against one that does not resume.
#[test]
fn drain_empties_the_balancer_and_resume_restores_it() {
    run(async {
        let up = start_stub(
            |_, message| if message.head.contains("/silent") { Reply::NoReply } else { ok("whole") },
        )
        .await;
        let b = balancer(&[&up], &[]).await;
        let (mut idle, mut kept) = (connect(b.address).await, connect(b.address).await);
        kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
        assert_eq!(read_message(&mut kept).await.expect("read the answer").status(), 200);
        let mut open = send(b.address, rpc_head("POST", "/pay/silent", "Content-Length: 0\r\n")).await;
        wait_until(|| up.received.borrow().len() == 2).await;
        let from = Instant::now();
        for _ in 0..2 {
            assert_eq!(ops_status(&b, "POST", "/-/drain").await, 200);
        }
        for at in [b.address, ops_address(&b)] {
            assert_eq!(send_and_read(at, ops_request("GET", "/-/ready")).await.status(), 503);
        }
        // New RPCs are served for a moment; later answers close their connections, then idle connections are closed.
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
        let last = read_message(&mut kept).await.expect("read the answer");
        assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
        assert_eq!(idle.read(&mut [0; 1]).await.expect("close without a reset"), 0);
        assert!(from.elapsed() < Duration::from_secs(2), "{:?}", from.elapsed());
        // RPCs that began before the drain continue, and operators are still answered.
        let current = metrics(&b).await;
        assert_eq!(current["outstanding"], 1, "{current}");
        let mut wait = [0; 1];
        let early = tokio::time::timeout(Duration::from_millis(50), open.read(&mut wait)).await;
        assert!(early.is_err(), "{early:?}");
        for _ in 0..2 {
            assert_eq!(ops_status(&b, "POST", "/-/resume").await, 200);
        }
        assert_eq!(send_and_read(b.address, ops_request("GET", "/-/ready")).await.status(), 200);
        // Connections are kept again, even past the time at which the drain would have closed them.
        let mut back = connect(b.address).await;
        for _ in 0..2 {
            back.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
            let answer = read_message(&mut back).await.expect("read the answer");
            assert_eq!((answer.status(), answer.header("connection")), (200, None));
            actix_rt::time::sleep(Duration::from_millis(300)).await;
        }
        // During shutdown the balancer is not ready and cannot be resumed.
        b.dispatcher.update_phase(|phase, now| phase.shut_down(now));
        assert_eq!(ops_status(&b, "POST", "/-/drain").await, 200);
        assert_eq!(ops_status(&b, "POST", "/-/resume").await, 409);
        assert_eq!(ops_status(&b, "GET", "/-/ready").await, 503);
    });
}
