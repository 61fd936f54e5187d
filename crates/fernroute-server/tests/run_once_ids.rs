//! RPCs that must not run more than once, sent again under the same id while the first one may still run: after their callers have
//! left, and at the other process of an upgrade.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{
    balancer, balancer_at, config_json, ok, read_message, rpc_head, run, send, send_and_read, start_stub,
    status_reply, until_ready, wait_until, Reply, StubServer,
};
use fernroute_server::routing::run_once_ids::{RunOnceId, RunOnceIdError, RunOnceIds, MAX_IDS};
use process::{temp_dir, Program};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt as _;
use tokio::time::sleep;

const RPCS: usize = 8;

fn pay() -> String {
    rpc_head("POST", "/pay", "Content-Length: 0\r\n")
}

fn times_sent(up: &StubServer, head: &str) -> usize {
    let id = common::rpc_id(head);
    up.received.borrow().iter().filter(|message| message.header("req-id") == Some(id)).count()
}

/// Guards against an id that runs twice because its caller has left and sends it again.
#[test]
fn id_that_may_still_run_is_not_sent_again() {
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let b = balancer(&[&up], &[]).await;
        let heads: Vec<String> = (0..RPCS).map(|_| pay()).collect();
        let mut callers = Vec::new();
        for head in &heads {
            callers.push(send(b.address, head).await);
        }
        wait_until(|| up.received.borrow().len() == RPCS).await;
        callers.truncate(RPCS / 2);
        wait_until(|| b.dispatcher.open.borrow().len() == RPCS / 2).await;
        for head in &heads {
            assert_eq!(send_and_read(b.address, head).await.status(), 400);
            assert_eq!(times_sent(&up, head), 1);
        }
    });
}

/// The same after an answer that leaves it open whether the RPC has run.
#[test]
fn id_of_a_failed_rpc_is_not_sent_again() {
    run(async {
        let up = start_stub(|_, _| status_reply("500 No")).await;
        let b = balancer(&[&up], &[]).await;
        let head = pay();
        assert_eq!(send_and_read(b.address, &head).await.status(), 502);
        assert_eq!(send_and_read(b.address, &head).await.status(), 400);
        assert_eq!(times_sent(&up, &head), 1);
    });
}

/// The same where the upstream's answer comes after the caller was told that the RPC failed, and the caller stays.
#[test]
fn id_of_an_rpc_that_completes_after_its_final_answer_is_not_sent_again() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let at = listener.local_addr().expect("local address");
        let b = balancer_at(&[at], &[("\"cancel\":true", "\"cancel\":false")]).await;
        let head = pay().replace("Ms: 4000", "Ms: 200");
        let mut caller = send(b.address, &head).await;
        let (mut stream, _) = listener.accept().await.expect("accept a connection");
        read_message(&mut stream).await.expect("read the RPC");
        assert_eq!(read_message(&mut caller).await.expect("an answer").status(), 502);
        let late = fernroute_test_support::http::response(200, "", "late");
        let _ = stream.write_all(&late).await;
        wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
        assert_eq!(send_and_read(b.address, &head).await.status(), 400);
    });
}

/// Guards against entries without an end: of an RPC that never ran, of one whose answer was delivered, and of one whose time is over.
#[test]
fn id_is_free_again_once_its_rpc_can_not_run() {
    run(async {
        let rejecting = |n: usize| if n == 0 { "503 Full\r\nSrv-Declined: 1" } else { "200 OK" };
        let up = start_stub(move |n, _| status_reply(rejecting(n))).await;
        let b = balancer(&[&up], &[("\"max-transmissions\":3", "\"max-transmissions\":1")]).await;
        let head = pay();
        assert_eq!(send_and_read(b.address, &head).await.status(), 503);
        assert_eq!(send_and_read(b.address, &head).await.status(), 200);
        assert_eq!(send_and_read(b.address, &head).await.status(), 200);

        let up = start_stub(|n, _| if n == 0 { Reply::NoReply } else { ok("whole") }).await;
        let b = balancer(&[&up], &[]).await;
        let head = pay().replace("Ms: 4000", "Ms: 200");
        let caller = send(b.address, &head).await;
        wait_until(|| up.received.borrow().len() == 1).await;
        drop(caller);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(send_and_read(b.address, &head).await.status(), 400);
        // The time that it was given, and that in which an upstream may begin it late.
        sleep(Duration::from_millis(900)).await;
        assert_eq!(send_and_read(b.address, &head).await.status(), 200);

        let nowhere = balancer_at(&[], &[]).await;
        let head = pay().replace("Ms: 4000", "Ms: 100");
        assert_eq!(send_and_read(nowhere.address, &head).await.status(), 503);
        assert_eq!(send_and_read(nowhere.address, &head).await.status(), 503);
    });
}

/// Guards against a table that grows with the requests seen, and against forgetting an id to make room for another.
#[test]
fn table_is_bounded_and_keeps_what_may_run() {
    let ids = RunOnceIds::default();
    let id = |n: usize| Rc::<str>::from(format!("r{n}"));
    for n in 0..MAX_IDS {
        assert_eq!(ids.add(&id(n), 0, 1_000), Ok(()));
    }
    assert_eq!(ids.add(&id(MAX_IDS), 0, 1_000), Err(RunOnceIdError::Full));
    assert_eq!(ids.add(&id(0), 0, 1_000), Err(RunOnceIdError::MayRun));
    let peer = ids.subscribe();
    ids.apply(&[RunOnceId { id: id(MAX_IDS), time_left: 50 }], 0, &peer);
    assert_eq!(ids.all(0).len(), MAX_IDS);
    ids.remove(&id(1));
    assert_eq!(ids.take_changes(&peer, 0), [RunOnceId { id: id(1), time_left: 0 }]);
    assert_eq!(ids.add(&id(MAX_IDS), 0, 1_000), Ok(()));
    let hour = 36_000_000;
    assert_eq!((ids.add(&id(0), hour, 1_000), ids.all(hour).len()), (Ok(()), 1));
}

/// Guards against an id that runs twice because its caller sends it again to the other process of an upgrade, in both directions.
#[test]
fn id_that_may_still_run_is_known_to_both_processes_of_an_upgrade() {
    run(async {
        let up = start_stub(|_, m| if m.target.starts_with("/pay") { Reply::NoReply } else { ok("w") }).await;
        let folder = temp_dir("run-once");
        let config = config_json(&[up.address], up.address, &[]);
        let old = Program::start(&folder, &config).await;
        let mut old_connections = Vec::new();
        for _ in 0..2 {
            let mut kept = common::connect(old.address).await;
            kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("send");
            assert_eq!(read_message(&mut kept).await.expect("an answer").status(), 200);
            old_connections.push(kept);
        }
        let heads: Vec<String> = (0..RPCS).map(|_| pay()).collect();
        let mut callers = Vec::new();
        for head in &heads {
            callers.push(send(old.address, head).await);
        }
        let payments = || up.received.borrow().iter().filter(|m| m.target.starts_with("/pay")).count();
        wait_until(|| payments() == RPCS).await;
        callers.truncate(RPCS / 2);
        sleep(Duration::from_millis(50)).await;
        let new = Program::start(&folder, &config).await;
        until_ready(new.ops_address).await;
        wait_until(|| old.log_contains("a successor serves")).await;
        for head in &heads {
            assert_eq!(send_and_read(new.address, head).await.status(), 400);
            assert_eq!(times_sent(&up, head), 1);
        }
        // One that begins at the new process is known to the old one, also when its caller has left.
        let head = pay();
        let caller = send(new.address, &head).await;
        wait_until(|| payments() == RPCS + 1).await;
        drop(caller);
        sleep(Duration::from_millis(50)).await;
        let mut kept = old_connections.pop().expect("a kept connection");
        kept.write_all(head.as_bytes()).await.expect("send");
        assert_eq!(read_message(&mut kept).await.expect("an answer").status(), 400);
        assert_eq!(times_sent(&up, &head), 1);
        // One that begins at the old process after the handover is known to the new one.
        let head = pay();
        let mut kept = old_connections.pop().expect("a kept connection");
        kept.write_all(head.as_bytes()).await.expect("send");
        wait_until(|| payments() == RPCS + 2).await;
        assert_eq!(send_and_read(new.address, &head).await.status(), 400);
        assert_eq!(times_sent(&up, &head), 1);
    });
}
