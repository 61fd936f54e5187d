//! Each trouble that a link can make, seen from both of its ends.

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

async fn both() -> (Rc<StubServer>, Rc<Link>) {
    let far = start_stub(
        |n, message| if message.head.contains("/silent") { Reply::NoReply } else { ok(&n.to_string()) },
    );
    let far = far.await;
    let link = Link::start(far.address).await.expect("a link");
    (far, link)
}

fn look() -> String {
    rpc_head("GET", "/look", "")
}

#[test]
fn messages_pass_whole_both_ways_on_kept_connections() {
    run(async {
        let (far, link) = both().await;
        let mut stream =
            send(link.address, look() + &rpc_head("POST", "/put", "Content-Length: 3\r\n") + "abc").await;
        let answers = [read_message(&mut stream).await, read_message(&mut stream).await];
        assert_eq!(answers.map(|a| a.map(|a| a.body)), [Some(b"0".to_vec()), Some(b"1".to_vec())]);
        assert_eq!((far.connections.get(), &far.received.borrow()[1].body[..]), (1, &b"abc"[..]));
        drop(stream);
        wait_until(|| far.closed.get() == 1).await;
    });
}

/// One way cut: what is asked runs, and its answer is not heard; or it is not even heard of.
#[test]
fn a_cut_of_one_way_lets_the_other_pass_and_what_waited_comes_late() {
    run(async {
        let (far, link) = both().await;
        link.set_modes(LinkMode::Forward, LinkMode::Stall);
        let mut stream = send(link.address, look()).await;
        wait_until(|| far.received.borrow().len() == 1).await;
        assert!(timeout(Duration::from_millis(50), stream.read_u8()).await.is_err());
        link.restore();
        assert_eq!(read_message(&mut stream).await.map(|a| a.status()), Some(200));
        link.set_modes(LinkMode::Stall, LinkMode::Forward);
        let mut stream = send(link.address, look()).await;
        assert!(timeout(Duration::from_millis(50), stream.read_u8()).await.is_err());
        assert_eq!(far.received.borrow().len(), 1);
        link.restore();
        assert_eq!(read_message(&mut stream).await.map(|a| a.status()), Some(200));
    });
}

#[test]
fn a_refused_link_ends_what_is_open_and_takes_nobody_until_it_is_mended() {
    run(async {
        let (far, link) = both().await;
        let mut open = send(link.address, rpc_head("GET", "/silent", "")).await;
        wait_until(|| far.received.borrow().len() == 1).await;
        link.refuse_connections();
        assert!(read_message(&mut open).await.is_none());
        let mut refused = send(link.address, look()).await;
        assert!(read_message(&mut refused).await.is_none());
        assert_eq!(far.received.borrow().len(), 1);
        link.restore();
        assert_eq!(send_and_read(link.address, look()).await.status(), 200);
    });
}

#[test]
fn a_reset_inside_a_message_leaves_half_of_it_and_hits_once() {
    run(async {
        let (far, link) = both().await;
        link.set_modes(LinkMode::ResetMidMessage, LinkMode::Forward);
        assert!(read_message(&mut send(link.address, look()).await).await.is_none());
        // The far side has seen a connection, and no whole message.
        wait_until(|| far.closed.get() == 1).await;
        assert_eq!((far.connections.get(), far.received.borrow().len()), (1, 0));
        assert_eq!(send_and_read(link.address, look()).await.status(), 200);
        link.set_modes(LinkMode::Forward, LinkMode::ResetMidMessage);
        assert!(read_message(&mut send(link.address, look()).await).await.is_none());
        assert_eq!(far.received.borrow().len(), 2);
        assert_eq!(send_and_read(link.address, look()).await.status(), 200);
    });
}

#[test]
fn delays_and_trickles_bring_the_same_bytes() {
    run(async {
        let (_far, link) = both().await;
        for way in
            [LinkMode::Delay(Duration::from_millis(20)), LinkMode::Throttle(7, Duration::from_millis(1))]
        {
            link.set_modes(way, way);
            assert_eq!(send_and_read(link.address, look()).await.status(), 200);
        }
    });
}

/// A message that comes after a later one, and one that comes twice.
#[test]
fn one_message_is_held_back_and_comes_late_and_an_old_one_comes_again() {
    run(async {
        let (far, link) = both().await;
        link.hold_next("/put");
        let held = send(link.address, rpc_head("POST", "/put", "Content-Length: 0\r\n")).await;
        wait_until(|| link.has_held()).await;
        assert_eq!(send_and_read(link.address, look()).await.status(), 200);
        drop(held);
        let late = link.release_held().await.expect("it is there").expect("an answer");
        assert_eq!((late.status(), far.received.borrow().len(), link.has_held()), (200, 2, false));
        assert!(far.received.borrow()[1].head.contains("/put"));
        assert!(link.replay("/look", 0).await.expect("it is there").is_some());
        assert_eq!(far.received.borrow()[2].head, far.received.borrow()[0].head);
        assert!(link.replay("/look", 1).await.expect("it is there").is_none());
        // The other side comes back elsewhere.
        let (other, _) = both().await;
        link.set_target(other.address);
        assert_eq!(send_and_read(link.address, look()).await.status(), 200);
        assert_eq!((other.received.borrow().len(), far.received.borrow().len()), (1, 3));
    });
}
