//! A watch on the list that dies: whatever becomes of it, what it misses is known in time, and what is known stands.

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

fn list(version: u64, entries: &str) -> String {
    format!(r#"{{"version":{version},"full":true,"servers":[{entries}]}}"#)
}

async fn served(b: &RunningInstance) -> bool {
    send_and_read(b.address, rpc_head("GET", "/look", "")).await.status() == 200
}

/// Guards against a watch that begins anew too late: what changes meanwhile counts as told all the same.
#[test]
fn a_watch_that_is_reset_goes_on_within_its_gap() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let at = up.address;
        let calls = Rc::new(RefCell::new(Vec::new()));
        let noted = Rc::clone(&calls);
        let discovery = start_stub(move |n, _| {
            noted.borrow_mut().push(Instant::now());
            match n {
                0 => ok(&list(8, &list_entry("s-0", at, "z", "SERVING"))),
                1..=5 => Reply::SendAndClose(Vec::new()),
                // Asked for again, whole, since it names nobody that serves.
                6..=7 => ok(&list(9, &list_entry("s-0", at, "z", "DRAINING"))),
                _ => Reply::NoReply,
            }
        })
        .await;
        let b =
            serve::start(instance_config(&[at], discovery.address, &[])).await.expect("start the balancer");
        wait_until(|| discovery.received.borrow().len() >= 7).await;
        let calls = calls.borrow().clone();
        let gaps = calls[1..7].windows(2).map(|pair| pair[1] - pair[0]);
        // The shortest: a busy machine may stretch any one.
        assert!(gaps.min().expect("at least one gap") < Duration::from_millis(190));
        wait_until(|| !b.dispatcher.is_ready()).await;
        assert!(!served(&b).await && up.received.borrow().is_empty());
    });
}

/// Guards against a drain that is doubted because nobody else is named, while the answer to the doubt does not come.
#[test]
fn who_leaves_by_a_doubtful_list_gets_nothing_new() {
    run(async {
        let (one, two) = (start_stub(|_, _| ok("one")).await, start_stub(|_, _| ok("two")).await);
        let at = one.address;
        let discovery = start_stub(move |n, _| match n {
            // Two are known; of one it says that it drains, the other it forgets.
            0 => ok(&list(9, &list_entry("s-0", at, "z", "DRAINING"))),
            _ => Reply::NoReply,
        })
        .await;
        let b = serve::start(instance_config(&[one.address, two.address], discovery.address, &[]))
            .await
            .expect("start the balancer");
        wait_until(|| b.dispatcher.upstream_counts().1 == 1).await;
        for _ in 0..20 {
            assert!(served(&b).await);
        }
        // What is forgotten stands until the doubt is answered.
        assert_eq!((one.received.borrow().len(), two.received.borrow().len()), (0, 20));
    });
}

/// An agent that falls silent at some point of its connections; each call that comes is noted.
async fn silent_after(say: &'static [u8], first: String) -> (SocketAddr, Rc<RefCell<Vec<Instant>>>) {
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
                    let bytes = first.take().map_or(say.to_vec(), |list| response(200, "", &list));
                    if peer.write(&bytes).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, calls)
}

/// Guards against a silent agent that is waited for too long, wherever it fell silent, and against what is known being
/// forgotten over it.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time_and_what_is_known_stands() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let whole = list(8, &list_entry("s-0", up.address, "z", "SERVING"));
        let points: [&'static [u8]; 3] = [
            b"",
            b"HTTP/1.1 200 OK\r\nContent-Len",
            b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":9,",
        ];
        let mut all = Vec::new();
        for say in points {
            let (agent, calls) = silent_after(say, whole.clone()).await;
            let b = serve::start(instance_config(&[], agent, &[])).await.expect("start the balancer");
            all.push((b, calls));
        }
        for (b, calls) in &all {
            wait_until(|| b.dispatcher.is_ready()).await;
            // The first is answered; the second hangs; the third is the new watch.
            wait_until(|| calls.borrow().len() >= 3).await;
            let calls = calls.borrow().clone();
            let took = calls[2] - calls[1];
            assert!(took < Duration::from_millis(4500), "{took:?}");
            assert!(served(b).await);
        }
    });
}

/// Guards against the late answer of an address that is no longer asked: its versions are its own.
#[test]
fn a_late_answer_of_the_discovery_before_is_not_taken() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let go = Rc::new(Notify::new());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let old = listener.local_addr().expect("local address");
        let (asked, answered) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let (went, noted, done) = (Rc::clone(&go), Rc::clone(&asked), Rc::clone(&answered));
        let late = list(99, &list_entry("s-0", up.address, "z", "DRAINING"));
        tokio::task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("accept a call");
            let mut peer = Connection::new(stream);
            peer.read().await.expect("accept a call");
            noted.set(true);
            went.notified().await;
            let _ = peer.write(&response(200, "", &late)).await;
            done.set(true);
        });
        // At the new address there is a lower version, which is believed.
        let text = list(3, &list_entry("s-0", up.address, "z", "SERVING"));
        let new = start_stub(move |n, _| if n == 0 { ok(&text) } else { Reply::NoReply }).await;
        let b = serve::start(instance_config(&[up.address], old, &[])).await.expect("start the balancer");
        wait_until(|| asked.get()).await;
        b.set_discovery(new.address);
        // In the same turn: the call is out, its answer comes now.
        go.notify_one();
        wait_until(|| answered.get() && new.received.borrow().len() == 2).await;
        assert!(b.dispatcher.is_ready() && served(&b).await);
        assert_eq!(b.dispatcher.list_version.get(), Some(3));
    });
}

/// Guards against a release at the return of discovery: what it has to tell is taken at once, and nothing new goes to those
/// that drain from then on.
#[test]
fn what_discovery_tells_at_its_return_holds_at_once() {
    run(async {
        let (one, two) = (start_stub(|_, _| ok("one")).await, start_stub(|_, _| ok("two")).await);
        let back = Rc::new(Cell::new(false));
        let is_back = Rc::clone(&back);
        let text = list(
            9,
            &[
                list_entry("s-0", one.address, "z", "DRAINING"),
                list_entry("s-1", two.address, "z", "SERVING"),
            ]
            .join(","),
        );
        let discovery = start_stub(move |_, message| match is_back.get() {
            false => Reply::SendAndClose(Vec::new()),
            // To whoever has it already there is nothing more to say.
            true if message.head.contains("index=9&") => Reply::NoReply,
            true => ok(&text),
        })
        .await;
        let b = serve::start(instance_config(&[one.address], discovery.address, &[]))
            .await
            .expect("start the balancer");
        wait_until(|| discovery.received.borrow().len() >= 3).await;
        assert!(served(&b).await);
        let _open = send(b.address, "GET /lo").await;
        back.set(true);
        wait_until(|| b.dispatcher.list_version.get() == Some(9)).await;
        let before = one.received.borrow().len();
        for _ in 0..20 {
            assert!(served(&b).await);
        }
        assert_eq!((one.received.borrow().len(), two.received.borrow().len()), (before, 20));
    });
}
