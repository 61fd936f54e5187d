//! Each fault of a link, observed from the caller and from the target.

use fernroute_test_support::caller::{rpc_head, send, send_and_read};
use fernroute_test_support::http::read_message;
use fernroute_test_support::link::{Link, LinkMode};
use fernroute_test_support::stub::{ok, start_stub, Reply, StubServer};
use fernroute_test_support::wait_until;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::task::LocalSet;
use tokio::time::timeout;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = LocalSet::new();
    local.block_on(&runtime, async { timeout(Duration::from_secs(20), test).await.expect("the test ends") });
}

async fn linked_stub() -> (Rc<StubServer>, Rc<Link>) {
    let target =
        start_stub(
            |n, message| if message.head.contains("/silent") { Reply::NoReply } else { ok(&n.to_string()) },
        );
    let target = target.await;
    let link = Link::start(target.address).await.expect("a link");
    (target, link)
}

fn look_request() -> String {
    rpc_head("GET", "/look", "")
}

#[test]
fn complete_messages_are_forwarded_both_ways_on_persistent_connections() {
    run(async {
        let (target, link) = linked_stub().await;
        let mut stream =
            send(link.address, look_request() + &rpc_head("POST", "/put", "Content-Length: 3\r\n") + "abc")
                .await;
        let answers = [read_message(&mut stream).await, read_message(&mut stream).await];
        assert_eq!(answers.map(|a| a.map(|a| a.body)), [Some(b"0".to_vec()), Some(b"1".to_vec())]);
        assert_eq!((target.connections.get(), &target.received.borrow()[1].body[..]), (1, &b"abc"[..]));
        drop(stream);
        wait_until(|| target.closed.get() == 1).await;
    });
}

/// One-way partitions: the request runs and its response is stalled, or the request itself is stalled.
#[test]
fn a_one_way_partition_stalls_one_direction_and_delivers_late() {
    run(async {
        let (target, link) = linked_stub().await;
        link.set_modes(LinkMode::Forward, LinkMode::Stall);
        let mut stream = send(link.address, look_request()).await;
        wait_until(|| target.received.borrow().len() == 1).await;
        assert!(timeout(Duration::from_millis(50), stream.read_u8()).await.is_err());
        link.restore();
        assert_eq!(read_message(&mut stream).await.map(|a| a.status()), Some(200));
        link.set_modes(LinkMode::Stall, LinkMode::Forward);
        let mut stream = send(link.address, look_request()).await;
        assert!(timeout(Duration::from_millis(50), stream.read_u8()).await.is_err());
        assert_eq!(target.received.borrow().len(), 1);
        link.restore();
        assert_eq!(read_message(&mut stream).await.map(|a| a.status()), Some(200));
    });
}

#[test]
fn a_refusing_link_resets_open_and_new_connections_until_restored() {
    run(async {
        let (target, link) = linked_stub().await;
        let mut open = send(link.address, rpc_head("GET", "/silent", "")).await;
        wait_until(|| target.received.borrow().len() == 1).await;
        link.refuse_connections();
        assert!(read_message(&mut open).await.is_none());
        let mut refused = send(link.address, look_request()).await;
        assert!(read_message(&mut refused).await.is_none());
        assert_eq!(target.received.borrow().len(), 1);
        link.restore();
        assert_eq!(send_and_read(link.address, look_request()).await.status(), 200);
    });
}

#[test]
fn a_reset_mid_message_delivers_half_of_it_and_happens_once() {
    run(async {
        let (target, link) = linked_stub().await;
        link.set_modes(LinkMode::ResetMidMessage, LinkMode::Forward);
        assert!(read_message(&mut send(link.address, look_request()).await).await.is_none());
        // The target has seen a connection, but no complete message.
        wait_until(|| target.closed.get() == 1).await;
        assert_eq!((target.connections.get(), target.received.borrow().len()), (1, 0));
        assert_eq!(send_and_read(link.address, look_request()).await.status(), 200);
        link.set_modes(LinkMode::Forward, LinkMode::ResetMidMessage);
        assert!(read_message(&mut send(link.address, look_request()).await).await.is_none());
        assert_eq!(target.received.borrow().len(), 2);
        assert_eq!(send_and_read(link.address, look_request()).await.status(), 200);
    });
}

#[test]
fn delays_and_throttling_deliver_the_same_bytes() {
    run(async {
        let (_far, link) = linked_stub().await;
        for way in
            [LinkMode::Delay(Duration::from_millis(20)), LinkMode::Throttle(7, Duration::from_millis(1))]
        {
            link.set_modes(way, way);
            assert_eq!(send_and_read(link.address, look_request()).await.status(), 200);
        }
    });
}

/// A message that arrives after a later one, and one that arrives twice.
#[test]
fn a_held_message_is_delivered_late_and_a_recorded_one_again() {
    run(async {
        let (target, link) = linked_stub().await;
        link.hold_next("/put");
        let held = send(link.address, rpc_head("POST", "/put", "Content-Length: 0\r\n")).await;
        wait_until(|| link.has_held()).await;
        assert_eq!(send_and_read(link.address, look_request()).await.status(), 200);
        drop(held);
        let late = link.release_held().await.expect("the target is reachable").expect("a response");
        assert_eq!((late.status(), target.received.borrow().len(), link.has_held()), (200, 2, false));
        assert!(target.received.borrow()[1].head.contains("/put"));
        assert!(link.replay("/look", 0).await.expect("the target is reachable").is_some());
        assert_eq!(target.received.borrow()[2].head, target.received.borrow()[0].head);
        assert!(link.replay("/look", 1).await.expect("the target is reachable").is_none());
        // The target restarts at another address.
        let (other, _) = linked_stub().await;
        link.set_target(other.address);
        assert_eq!(send_and_read(link.address, look_request()).await.status(), 200);
        assert_eq!((other.received.borrow().len(), target.received.borrow().len()), (1, 3));
    });
}
