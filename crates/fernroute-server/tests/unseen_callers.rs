//! Callers that have sent so much that the end of their connection can't reach the balancer. No attempt may begin for one that can
//! have been gone for 0.1 s, first or further, whatever the balancer waits for meanwhile; one that stays gets its answer.

mod common;

use common::{
    balancer_at, connect, decode_list, list_entry, ok, read_message, rpc_head, run, start_stub, wait_until,
};
use fernroute_server::program::serve::RunningInstance;
use fernroute_test_support::http::{response, Connection};
use fernroute_test_support::stub::FullBacklog;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// More than the balancer and both sockets hold.
const MUCH: usize = 3 << 20;
/// Longer than the time after a caller's departure in which an attempt may still begin.
const GONE: Duration = Duration::from_millis(200);

/// An upstream that turns away the first request that it gets, and serves all others.
struct RejectingUpstream {
    address: SocketAddr,
    /// When the requests reached it.
    received: RefCell<Vec<Instant>>,
    /// The first request is turned away once this is set.
    rejects: Cell<bool>,
}

impl RejectingUpstream {
    async fn start() -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let address = listener.local_addr().expect("local address");
        let upstream =
            Rc::new(RejectingUpstream { address, received: RefCell::default(), rejects: Cell::new(false) });
        let serving = Rc::clone(&upstream);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(Rc::clone(&serving).serve(stream));
            }
        });
        upstream
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(_)) = connection.read().await {
            self.received.borrow_mut().push(Instant::now());
            let answer = if self.received.borrow().len() == 1 {
                wait_until(|| self.rejects.get()).await;
                response(503, "Srv-Declined: 1\r\n", "")
            } else {
                response(200, "", "whole")
            };
            if connection.write(&answer).await.is_err() {
                return;
            }
        }
    }

    fn attempts(&self) -> usize {
        self.received.borrow().len()
    }
}

/// Sends as much as the sockets take. Returns how many bytes that were.
async fn send_much(caller: &TcpStream) -> usize {
    let mut sent = 0;
    let mut last_sent_at = Instant::now();
    while sent < MUCH && last_sent_at.elapsed() < Duration::from_millis(50) {
        match caller.try_write(&[b'x'; 32 * 1024]) {
            Ok(bytes) => (sent, last_sent_at) = (sent + bytes, Instant::now()),
            Err(_) => sleep(Duration::from_millis(2)).await,
        }
    }
    sent
}

fn write_head(caller: &TcpStream, head: &str) {
    assert_eq!(caller.try_write(head.as_bytes()).expect("write the head"), head.len());
}

fn long_body_head() -> String {
    rpc_head("POST", "/put", &format!("Idempotency-Key: k\r\nContent-Length: {MUCH}\r\n"))
}

async fn until_no_rpc_is_open(b: &RunningInstance) {
    wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
}

/// Guards against a second attempt for a caller that has left behind bytes that nobody reads: its first one is turned away late.
#[test]
fn caller_that_has_sent_much_behind_its_request_and_gone_gets_no_further_attempt() {
    for half_closed in [false, true] {
        run(async move {
            let up = RejectingUpstream::start().await;
            let b = balancer_at(&[up.address], &[]).await;
            let caller = connect(b.address).await;
            write_head(&caller, &rpc_head("POST", "/pay", ""));
            wait_until(|| up.attempts() == 1).await;
            assert!(send_much(&caller).await > 500_000);
            let kept = if half_closed {
                rustix::net::shutdown(&caller, rustix::net::Shutdown::Write)
                    .expect("shut down the write side");
                Some(caller)
            } else {
                drop(caller);
                None
            };
            sleep(GONE).await;
            up.rejects.set(true);
            until_no_rpc_is_open(&b).await;
            assert_eq!(up.attempts(), 1);
            drop(kept);
        });
    }
}

/// Guards against a caller without an answer because the balancer can't see whether it is still there.
#[test]
fn caller_that_has_sent_much_and_stays_is_told_that_its_request_never_ran() {
    run(async {
        let up = RejectingUpstream::start().await;
        let b = balancer_at(&[up.address], &[]).await;
        let mut caller = connect(b.address).await;
        write_head(&caller, &rpc_head("POST", "/pay", ""));
        wait_until(|| up.attempts() == 1).await;
        send_much(&caller).await;
        sleep(GONE).await;
        up.rejects.set(true);
        assert_eq!(read_message(&mut caller).await.expect("an answer").status(), 503);
        assert_eq!(up.attempts(), 1);
    });
}

/// Guards against rejecting callers that are seen to be there: with nothing behind their request, or as much as the balancer reads.
#[test]
fn caller_that_is_seen_gets_a_further_attempt_after_a_long_first_one() {
    for behind in [0, 8_000, 200_000] {
        run(async move {
            let up = RejectingUpstream::start().await;
            let b = balancer_at(&[up.address], &[]).await;
            let mut caller = connect(b.address).await;
            write_head(&caller, &rpc_head("POST", "/pay", ""));
            wait_until(|| up.attempts() == 1).await;
            let next =
                rpc_head("POST", "/pay", &format!("Content-Length: {behind}\r\n")) + &"x".repeat(behind);
            tokio::io::AsyncWriteExt::write_all(&mut caller, next.as_bytes()).await.expect("write");
            sleep(GONE).await;
            up.rejects.set(true);
            assert_eq!(read_message(&mut caller).await.expect("an answer").status(), 200, "{behind}");
            assert_eq!(read_message(&mut caller).await.expect("an answer").status(), 200, "{behind}");
        });
    }
}

/// Guards against an attempt for a caller that has left while its long body waited between two attempts.
#[test]
fn caller_that_has_left_a_very_long_body_gets_no_further_attempt() {
    run(async {
        let held = FullBacklog::new().await.expect("fill the accept queue");
        let other = start_stub(|_, _| ok("whole")).await;
        let b = balancer_at(&[held.address], &[]).await;
        let caller = connect(b.address).await;
        write_head(&caller, &long_body_head());
        send_much(&caller).await;
        wait_until(|| b.dispatcher.open.borrow().values().any(|rpc| rpc.attempts.len() == 1)).await;
        let both = [held.address, other.address];
        let both = [0, 1].map(|n| list_entry(&format!("s-{n}"), both[n], "z", "SERVING"));
        b.dispatcher.apply_list(&decode_list(8, true, &both), true);
        drop(caller);
        // The first attempt's connection does not come up in time.
        until_no_rpc_is_open(&b).await;
        assert!(other.received.borrow().is_empty() && other.connections.get() == 0);
    });
}

/// Guards against an attempt for a caller that has left while the balancer had no memory for its body.
#[test]
fn caller_that_has_left_while_it_waited_for_memory_gets_no_attempt() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer_at(&[up.address], &[("\"memory_mb\":192", "\"memory_mb\":1")]).await;
        let budget = Rc::clone(b.dispatcher.windows.budget());
        // These hold the memory: they stop within their bodies.
        let mut stalled = Vec::new();
        while budget.waiting() == 0 {
            let caller = connect(b.address).await;
            write_head(&caller, &long_body_head());
            caller.try_write(&[b'x'; 8_000]).expect("write a part of the body");
            stalled.push(caller);
            sleep(Duration::from_millis(10)).await;
        }
        // The last one waits, too.
        drop(stalled.pop());
        wait_until(|| budget.waiting() == 0).await;
        let connections = up.connections.get();
        let caller = connect(b.address).await;
        write_head(&caller, &long_body_head());
        wait_until(|| budget.waiting() == 1).await;
        assert!(send_much(&caller).await > 500_000);
        drop(caller);
        sleep(GONE).await;
        assert_eq!(budget.waiting(), 1);
        stalled.clear();
        wait_until(|| budget.waiting() == 0).await;
        until_no_rpc_is_open(&b).await;
        wait_until(|| b.server.connections() == 0).await;
        assert_eq!((up.connections.get(), up.received.borrow().len()), (connections, 0));
    });
}

/// Guards against a first attempt for a caller that has left while nobody accepted its connection.
#[test]
fn caller_that_has_left_before_it_was_accepted_gets_no_attempt() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer_at(&[up.address], &[]).await;
        b.server.set_accepting(false);
        sleep(Duration::from_millis(20)).await;
        let caller = connect(b.address).await;
        write_head(&caller, &rpc_head("POST", "/pay", ""));
        assert!(send_much(&caller).await > 500_000);
        drop(caller);
        sleep(GONE).await;
        b.server.set_accepting(true);
        sleep(GONE).await;
        until_no_rpc_is_open(&b).await;
        assert_eq!((up.connections.get(), up.received.borrow().len()), (0, 0));
    });
}
