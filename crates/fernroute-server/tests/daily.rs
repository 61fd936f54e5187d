//! The daily run: operators' door, figures, drain.

mod common;

use common::{
    balancer, connect, ok, read_message, rpc_head, run, send, send_and_read, start_stub, status_reply,
    wait_until, Message, Reply,
};
use fernroute_server::program::serve::RunningInstance;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

fn call(verb: &str, path: &str) -> String {
    format!("{verb} {path} HTTP/1.1\r\nHost: n0\r\n\r\n")
}

fn door(b: &RunningInstance) -> SocketAddr {
    b.ops_address.expect("operations address")
}

async fn tell(b: &RunningInstance, verb: &str, path: &str) -> u16 {
    send_and_read(door(b), call(verb, path)).await.status()
}

async fn figures(b: &RunningInstance) -> serde_json::Value {
    let message: Message = send_and_read(door(b), call("GET", "/-/metrics")).await;
    assert_eq!((message.status(), message.header("connection")), (200, Some("close")));
    serde_json::from_slice(&message.body).expect("metrics in JSON")
}

#[test]
fn the_door_answers_operators_and_nobody_else() {
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
            assert_eq!(tell(&b, verb, path).await, status, "{verb} {path}");
        }
        let long = format!("GET /-/ready HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(20_000));
        for (bytes, status) in [("nonsense\r\n\r\n", 400), ("GET /-/rea", 400), (long.as_str(), 431)] {
            let mut stream = connect(door(&b)).await;
            stream.write_all(bytes.as_bytes()).await.expect("write to the socket");
            stream.shutdown().await.expect("shut down the write side");
            let answer = read_message(&mut stream).await.expect("read the answer");
            assert_eq!(answer.status(), status, "{bytes:.20}");
            assert_eq!(stream.read(&mut [0; 1]).await.expect("close without a reset"), 0);
        }
        // What follows a call on its connection is no call.
        let mut stream = send(door(&b), call("GET", "/-/ready") + &call("POST", "/-/drain")).await;
        assert_eq!(read_message(&mut stream).await.expect("read the answer").status(), 200);
        assert_eq!(stream.read(&mut [0; 1]).await.expect("close without a reset"), 0);
        // The callers' address keeps its one path.
        assert_eq!(send_and_read(b.address, call("GET", "/-/ready")).await.status(), 200);
        for (verb, path) in [("GET", "/-/metrics"), ("POST", "/-/drain"), ("POST", "/-/resume")] {
            assert_eq!(send_and_read(b.address, call(verb, path)).await.status(), 404, "{path}");
        }
        assert!(b.dispatcher.is_ready());
    });
}

/// Guards against operators shut out by who connects and says nothing, or by callers who hold all there is for them.
#[test]
fn neither_silent_nor_many_callers_shut_the_door() {
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let b = balancer(&[&up], &[]).await;
        let mut silent = Vec::new();
        for n in 0..20 {
            silent.push(send(door(&b), if n % 2 == 0 { "" } else { "GET /-/re" }).await);
        }
        let mut busy = Vec::new();
        for _ in 0..700 {
            busy.push(send(b.address, rpc_head("GET", "/look", "")).await);
        }
        for _ in 0..20 {
            let from = Instant::now();
            assert_eq!(tell(&b, "GET", "/-/metrics").await, 200);
            assert!(from.elapsed() < Duration::from_secs(1), "{:?}", from.elapsed());
        }
        // The first to come went for the later ones.
        assert_eq!(silent[0].read(&mut [0; 1]).await.unwrap_or(0), 0);
    });
}

/// Guards against figures that do not add up, or that take what is no RPC for one: upstreams decline, err, fall silent
/// and spoil, callers leave, lists shrink.
#[test]
fn figures_add_up_whatever_happens() {
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
        let start = figures(&b).await;
        assert_eq!(start["results"], serde_json::json!({"look": empty, "put": empty, "pay": empty}));
        assert_eq!((&start["discovered"], &start["ejected"]), (&1.into(), &0.into()));
        let paid = |path: &str| rpc_head("POST", path, "Content-Length: 0\r\n");
        for (path, status) in
            [("/pay/declined", 503), ("/pay/erred", 502), ("/pay/cut", 502), ("/pay/whole", 200)]
        {
            assert_eq!(send_and_read(b.address, paid(path)).await.status(), status, "{path}");
        }
        // None of these is an RPC.
        for bytes in ["nonsense\r\n\r\n".to_owned(), rpc_head("GET", "/nowhere", ""), call("GET", "/-/ready")]
        {
            send_and_read(b.address, bytes).await;
        }
        let leaver = send(b.address, paid("/pay/silent")).await;
        let stayer = send(b.address, rpc_head("GET", "/look/silent", "")).await;
        let told = figures(&b).await;
        let counts = |v: &serde_json::Value| {
            let number = |v: &serde_json::Value| v.as_u64().expect("an unsigned number");
            let ends = v["results"].as_object().expect("results by method").values();
            let ended = ends
                .flat_map(|m| m.as_object().expect("results of a method").values().map(number))
                .sum::<u64>();
            (number(&v["taken"]), ended + number(&v["left"]) + number(&v["outstanding"]))
        };
        assert_eq!(counts(&told).0, counts(&told).1, "{told}");
        wait_until(|| {
            b.dispatcher.open.borrow().values().filter(|rpc| !rpc.attempts.is_empty()).count() == 2
        })
        .await;
        wait_until(|| up.received.borrow().len() >= 6).await;
        drop(leaver);
        wait_until(|| b.dispatcher.open.borrow().len() == 1).await;
        let told = figures(&b).await;
        assert_eq!(told["outstanding"], 1);
        assert_eq!(told["left"], 1);
        assert_eq!(told["results"]["pay"], serde_json::json!({"succeeded": 1, "declined": 1, "aborted": 2}));
        assert_eq!((counts(&told).0, counts(&told).1), (6, 6), "{told}");
        assert_eq!(told["forwards"], up.received.borrow().len(), "{told}");
        drop(stayer);
        wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
        b.dispatcher.apply_list(&Default::default(), true);
        let told = figures(&b).await;
        assert_eq!((counts(&told).0, counts(&told).1, &told["discovered"]), (6, 6, &1.into()));
        let none = fernroute_server::protocol::list::List { full: true, ..Default::default() };
        b.dispatcher.apply_list(&none, true);
        assert_eq!(figures(&b).await["discovered"], 0);
    });
}

/// Guards against a drained balancer that is still said to be ready, that turns away who comes before the front has
/// noticed, that keeps idle callers, or that cuts off what is open; and against one that does not come back.
#[test]
fn a_drain_empties_the_balancer_and_a_resume_brings_it_back() {
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
            assert_eq!(tell(&b, "POST", "/-/drain").await, 200);
        }
        for at in [b.address, door(&b)] {
            assert_eq!(send_and_read(at, call("GET", "/-/ready")).await.status(), 503);
        }
        // Who comes in the next moments is served; later answers close their connections, then idle ones end.
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        actix_rt::time::sleep(Duration::from_millis(700)).await;
        kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
        let last = read_message(&mut kept).await.expect("read the answer");
        assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
        assert_eq!(idle.read(&mut [0; 1]).await.expect("close without a reset"), 0);
        assert!(from.elapsed() < Duration::from_secs(2), "{:?}", from.elapsed());
        // What began before it goes on; the process serves operators.
        let told = figures(&b).await;
        assert_eq!(told["outstanding"], 1, "{told}");
        let mut wait = [0; 1];
        let early = tokio::time::timeout(Duration::from_millis(50), open.read(&mut wait)).await;
        assert!(early.is_err(), "{early:?}");
        for _ in 0..2 {
            assert_eq!(tell(&b, "POST", "/-/resume").await, 200);
        }
        assert_eq!(send_and_read(b.address, call("GET", "/-/ready")).await.status(), 200);
        // A connection is kept again, also over the time of the drain's end.
        let mut back = connect(b.address).await;
        for _ in 0..2 {
            back.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
            let answer = read_message(&mut back).await.expect("read the answer");
            assert_eq!((answer.status(), answer.header("connection")), (200, None));
            actix_rt::time::sleep(Duration::from_millis(300)).await;
        }
        // Told to stop it says so, and stays so.
        b.dispatcher.update_phase(|phase, now| phase.shut_down(now));
        assert_eq!(tell(&b, "POST", "/-/drain").await, 200);
        assert_eq!(tell(&b, "POST", "/-/resume").await, 409);
        assert_eq!(tell(&b, "GET", "/-/ready").await, 503);
    });
}
