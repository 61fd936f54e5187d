//! Failures of the watch on the target list: missed changes are learned in time, and known upstreams stay.

mod common;

use common::{
    instance_config, list_entry, ok, rpc_head, run, send, send_and_read, start_stub, wait_until, Reply,
};
use fernroute_server::program::serve::{self, RunningInstance};
use fernroute_test_support::http::{response, Connection};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Notify;

fn full_list(version: u64, entries: &str) -> String {
    format!(r#"{{"version":{version},"full":true,"servers":[{entries}]}}"#)
}

async fn is_served(b: &RunningInstance) -> bool {
    send_and_read(b.address, rpc_head("GET", "/look", "")).await.status() == 200
}

/// Guards against a watch that is reopened too late, since the limit for learning a change also covers that gap.
#[test]
fn reset_watch_is_reopened_in_time() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let at = up.address;
        let calls = Rc::new(RefCell::new(Vec::new()));
        let noted = Rc::clone(&calls);
        let discovery = start_stub(move |n, _| {
            noted.borrow_mut().push(Instant::now());
            match n {
                0 => ok(&full_list(8, &list_entry("s-0", at, "z", "SERVING"))),
                1..=5 => Reply::SendAndClose(Vec::new()),
                // Requested again in full, since the list has no serving upstream.
                6..=7 => ok(&full_list(9, &list_entry("s-0", at, "z", "DRAINING"))),
                _ => Reply::NoReply,
            }
        })
        .await;
        let b =
            serve::start(instance_config(&[at], discovery.address, &[])).await.expect("start the balancer");
        wait_until(|| discovery.received.borrow().len() >= 7).await;
        let calls = calls.borrow().clone();
        let gaps = calls[1..7].windows(2).map(|pair| pair[1] - pair[0]);
        // The shortest one counts, since a busy machine may delay any of them.
        assert!(gaps.min().expect("at least one gap") < Duration::from_millis(190));
        wait_until(|| !b.dispatcher.is_ready()).await;
        assert!(!is_served(&b).await && up.received.borrow().is_empty());
    });
}

/// Guards against ignoring a drain in a doubtful list, one without serving upstreams, while no answer confirms the list.
#[test]
fn draining_upstream_in_a_doubtful_list_gets_no_new_rpcs() {
    run(async {
        let (one, two) = (start_stub(|_, _| ok("one")).await, start_stub(|_, _| ok("two")).await);
        let at = one.address;
        let discovery = start_stub(move |n, _| match n {
            // Of the two known upstreams, one drains and the other is missing from the list.
            0 => ok(&full_list(9, &list_entry("s-0", at, "z", "DRAINING"))),
            _ => Reply::NoReply,
        })
        .await;
        let b = serve::start(instance_config(&[one.address, two.address], discovery.address, &[]))
            .await
            .expect("start the balancer");
        wait_until(|| b.dispatcher.upstream_counts().1 == 1).await;
        for _ in 0..20 {
            assert!(is_served(&b).await);
        }
        // The missing upstream stays until the list is confirmed.
        assert_eq!((one.received.borrow().len(), two.received.borrow().len()), (0, 20));
    });
}

/// Discovery that answers the first call with a list and each later one with these bytes only. Returns the times of the calls.
async fn discovery_silent_after(
    bytes: &'static [u8],
    first: String,
) -> (SocketAddr, Rc<RefCell<Vec<Instant>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
    let address = listener.local_addr().expect("local address");
    let calls = Rc::<RefCell<Vec<Instant>>>::default();
    let noted = Rc::clone(&calls);
    tokio::task::spawn_local(async move {
        let first = Rc::new(Cell::new(Some(first)));
        while let Ok((stream, _)) = listener.accept().await {
            let (noted, first) = (Rc::clone(&noted), Rc::clone(&first));
            tokio::task::spawn_local(async move {
                let mut peer = Connection::new(stream);
                while let Ok(Some(_)) = peer.read().await {
                    noted.borrow_mut().push(Instant::now());
                    let answer = first.take().map_or(bytes.to_vec(), |list| response(200, "", &list));
                    if peer.write(&answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, calls)
}

/// Guards against waiting too long for discovery that falls silent at any point of an answer, and against forgetting known upstreams
/// meanwhile.
#[test]
fn silent_watch_is_reopened_in_time_and_known_upstreams_stay() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let whole = full_list(8, &list_entry("s-0", up.address, "z", "SERVING"));
        let points: [&'static [u8]; 3] = [
            b"",
            b"HTTP/1.1 200 OK\r\nContent-Len",
            b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":9,",
        ];
        let mut all = Vec::new();
        for bytes in points {
            let (discovery, calls) = discovery_silent_after(bytes, whole.clone()).await;
            let b = serve::start(instance_config(&[], discovery, &[])).await.expect("start the balancer");
            all.push((b, calls));
        }
        for (b, calls) in &all {
            wait_until(|| b.dispatcher.is_ready()).await;
            // The first call is answered, the second hangs, and the third is the reopened watch.
            wait_until(|| calls.borrow().len() >= 3).await;
            let calls = calls.borrow().clone();
            let took = calls[2] - calls[1];
            assert!(took < Duration::from_millis(4500), "{took:?}");
            assert!(is_served(b).await);
        }
    });
}

/// Guards against applying a late answer of a discovery address that is no longer used: its versions cannot be compared.
#[test]
fn late_answer_of_the_previous_discovery_is_ignored() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let go = Rc::new(Notify::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let old = listener.local_addr().expect("local address");
        let (asked, answered) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let (notified, noted, done) = (Rc::clone(&go), Rc::clone(&asked), Rc::clone(&answered));
        let late = full_list(99, &list_entry("s-0", up.address, "z", "DRAINING"));
        tokio::task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("accept a call");
            let mut peer = Connection::new(stream);
            peer.read().await.expect("read the call");
            noted.set(true);
            notified.notified().await;
            let _ = peer.write(&response(200, "", &late)).await;
            done.set(true);
        });
        // The new address has a lower version, which is applied.
        let text = full_list(3, &list_entry("s-0", up.address, "z", "SERVING"));
        let new = start_stub(move |n, _| if n == 0 { ok(&text) } else { Reply::NoReply }).await;
        let b = serve::start(instance_config(&[up.address], old, &[])).await.expect("start the balancer");
        wait_until(|| asked.get()).await;
        b.set_discovery(new.address);
        // In the same poll, the old address answers the pending call.
        go.notify_one();
        wait_until(|| answered.get() && new.received.borrow().len() == 2).await;
        assert!(b.dispatcher.is_ready() && is_served(&b).await);
        assert_eq!(b.dispatcher.list_version.get(), Some(3));
    });
}

/// Guards against sending new RPCs to draining upstreams when discovery returns after an outage: its list must apply at once.
#[test]
fn list_applies_at_once_when_discovery_returns() {
    run(async {
        let (one, two) = (start_stub(|_, _| ok("one")).await, start_stub(|_, _| ok("two")).await);
        let back = Rc::new(Cell::new(false));
        let is_back = Rc::clone(&back);
        let text = full_list(
            9,
            &[
                list_entry("s-0", one.address, "z", "DRAINING"),
                list_entry("s-1", two.address, "z", "SERVING"),
            ]
            .join(","),
        );
        let discovery = start_stub(move |_, message| match is_back.get() {
            false => Reply::SendAndClose(Vec::new()),
            // A balancer that has this version gets no further answer.
            true if message.head.contains("index=9&") => Reply::NoReply,
            true => ok(&text),
        })
        .await;
        let b = serve::start(instance_config(&[one.address], discovery.address, &[]))
            .await
            .expect("start the balancer");
        wait_until(|| discovery.received.borrow().len() >= 3).await;
        assert!(is_served(&b).await);
        let _open = send(b.address, "GET /lo").await;
        back.set(true);
        wait_until(|| b.dispatcher.list_version.get() == Some(9)).await;
        let before = one.received.borrow().len();
        for _ in 0..20 {
            assert!(is_served(&b).await);
        }
        assert_eq!((one.received.borrow().len(), two.received.borrow().len()), (before, 20));
    });
}
