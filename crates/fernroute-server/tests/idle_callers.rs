//! Idle callers that use up the file descriptors while discovery is down: the discovery watch, upstreams, operators and callers
//! with an RPC must still get theirs. Most tests run the program under a low descriptor limit.

mod common;
#[path = "common/process.rs"]
mod process;

use common::{
    balancer, config_json, is_ready, list_entry, ok, read_message, rpc_head, run, start_stub, wait_until,
    Reply,
};
use fernroute_test_support::process::free_addresses;
use fernroute_test_support::stub::StubDiscovery;
use process::{temp_dir, Program};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// What idle callers have sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    Nothing,
    PartialHead,
    /// A complete RPC, and nothing more on the connection.
    Rpc,
}

/// Callers that connect, send something and stay idle. Each connects again some time after it was evicted.
struct IdleCallers {
    /// The number of callers that are idle now.
    idle: Cell<usize>,
    /// The number of connections made so far.
    connected: Cell<usize>,
}

const IDLE_CALLERS: usize = 250;

impl IdleCallers {
    fn start(at: SocketAddr, sent: Sent) -> Rc<Self> {
        let callers = Rc::new(IdleCallers { idle: Cell::new(0), connected: Cell::new(0) });
        for _ in 0..IDLE_CALLERS {
            let callers = Rc::clone(&callers);
            spawn_local(async move {
                loop {
                    // Evicted, possibly before it was idle: it connects again.
                    let _ = callers.connect_and_idle(at, sent).await;
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
            });
        }
        callers
    }

    async fn connect_and_idle(&self, at: SocketAddr, sent: Sent) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(at).await?;
        self.connected.set(self.connected.get() + 1);
        let message = rpc_head("GET", "/look", "");
        match sent {
            Sent::Nothing => {}
            Sent::PartialHead => stream.write_all(&message.as_bytes()[..40]).await?,
            Sent::Rpc => {
                stream.write_all(message.as_bytes()).await?;
                read_message(&mut stream).await;
            }
        }
        self.idle.set(self.idle.get() + 1);
        while stream.read(&mut [0; 256]).await.is_ok_and(|n| n > 0) {}
        self.idle.set(self.idle.get() - 1);
        Ok(())
    }
}

/// Sends an RPC on a new connection, again on another one while connections are closed unread, as callers do.
async fn ask_on_new_connection(at: SocketAddr) -> Vec<u8> {
    loop {
        let mut stream = common::send(at, rpc_head("GET", "/look", "")).await;
        match read_message(&mut stream).await {
            Some(answer) if answer.status() == 200 => return answer.body,
            Some(answer) => assert_eq!(answer.status(), 503, "{}", answer.head),
            None => {}
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Discovery is down, idle callers connect, and discovery comes back with another upstream in place of the old one. `limit` is the
/// system's descriptor limit, set from the start or once the balancer serves; `configured` is the limit in the file.
fn check_discovery_return(
    name: &'static str,
    sent: Sent,
    configured: usize,
    limit: usize,
    from_the_start: bool,
) {
    run(async move {
        let (old, new) = (start_stub(|_, _| ok("old")).await, start_stub(|_, _| ok("new")).await);
        let down = free_addresses(1).expect("reserve an address")[0];
        let sockets = format!(r#""sockets":{configured}"#);
        // Version 0, so that the first list of discovery is newer.
        let changes = [(r#""sockets":1024"#, sockets.as_str()), (r#""version":7"#, r#""version":0"#)];
        let text = config_json(&[old.address], down, &changes);
        let folder = temp_dir(name);
        let b = Program::start_with(&folder, &text, if from_the_start { limit } else { 4096 }).await;
        if !from_the_start {
            b.limit_descriptors(limit as u64).expect("set the descriptor limit");
        }
        let callers = IdleCallers::start(b.address, sent);
        // Each caller on average a second time, after its first eviction.
        wait_until(|| callers.connected.get() >= 2 * IDLE_CALLERS).await;
        // With all callers connected, RPCs are served by the known upstream.
        let from = Instant::now();
        for _ in 0..3 {
            assert_eq!(ask_on_new_connection(b.address).await, b"old");
        }
        let served_after = from.elapsed();
        let from = Instant::now();
        assert!(is_ready(b.ops_address).await);
        until_ready_despite_callers(b.address).await;
        let ready_after = from.elapsed();
        let discovery = StubDiscovery::start(down, list_entry("s-1", new.address, "z", "SERVING")).await;
        let discovery = discovery.expect("start discovery");
        let from = Instant::now();
        while ask_on_new_connection(b.address).await != b"new" {}
        let learned_after = from.elapsed();
        // A second change, learned through the watch that is now open.
        let from = Instant::now();
        discovery.publish(
            list_entry("s-2", old.address, "z", "SERVING")
                + ","
                + &list_entry("s-1", new.address, "z", "DRAINING"),
        );
        while ask_on_new_connection(b.address).await != b"old" {}
        let learned_again = from.elapsed();
        assert!(is_ready(b.ops_address).await);
        let busy = b.cpu_ms();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let busy = b.cpu_ms() - busy;
        eprintln!(
            "{name}: new callers {served_after:?}, ready {ready_after:?}, change learned {learned_after:?}, again {learned_again:?}, \
            {busy} ms of a second, {} descriptors, {} connections made, {} log lines",
            b.open_descriptors(),
            callers.connected.get(),
            b.log().len()
        );
        assert!(b.open_descriptors() <= limit && b.is_running());
        // A limit known from the start is never reached.
        assert_eq!(b.log_contains("accept: "), !from_the_start);
        // Neither a busy loop nor a log line for each connection.
        assert!(busy < 800 && b.log().len() < 40, "{busy} {:?}", b.log());
    });
}

async fn until_ready_despite_callers(at: SocketAddr) {
    loop {
        let mut stream = common::send(at, "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n").await;
        if read_message(&mut stream).await.is_some_and(|answer| answer.status() == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against new callers, the discovery watch and operators that are shut out by callers that connect and send nothing.
#[test]
fn silent_callers_block_nobody() {
    check_discovery_return("silent", Sent::Nothing, 64, 64, true);
}

/// The same with callers that sent part of a head, which are neither idle nor complete.
#[test]
fn callers_with_partial_heads_block_nobody() {
    check_discovery_return("half", Sent::PartialHead, 64, 64, true);
}

/// The same with callers that were served and keep their connections open.
#[test]
fn idle_served_callers_block_nobody() {
    check_discovery_return("asked", Sent::Rpc, 128, 128, true);
}

/// Guards against trusting a configured limit above the system's: callers would get a share of descriptors that do not exist, and
/// so all that do.
#[test]
fn lower_system_descriptor_limit_overrides_the_file() {
    check_discovery_return("granted", Sent::Nothing, 1024, 64, true);
}

/// Guards against a process out of descriptors that stops serving or following the list, retries in a busy loop, or exits. Its
/// callers use all descriptors, after the limit was lowered below the value read at the start.
#[test]
fn descriptor_shortage_evicts_idle_callers() {
    for sent in [Sent::Nothing, Sent::PartialHead] {
        check_discovery_return("out", sent, 1024, 64, false);
    }
}

/// Guards against a new caller that waits until another leaves by itself: no caller was idle when it connected, and some are now.
#[test]
fn caller_that_becomes_idle_is_evicted_for_a_waiting_one() {
    run(async {
        let go = Rc::new(Cell::new(false));
        let up = start_stub(|n, _| if n < 2 { Reply::NoReply } else { ok("whole") }).await;
        // The first two RPCs are answered when their deadline passes.
        let b = balancer(&[&up], &[(r#""max-transmissions":3"#, r#""max-transmissions":1"#)]).await;
        b.server.set_max_connections(2);
        let brief = || rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 700");
        let mut busy = [common::send(b.address, brief()).await, common::send(b.address, brief()).await];
        wait_until(|| up.received.borrow().len() == 2).await;
        let served = Rc::clone(&go);
        let at = b.address;
        spawn_local(async move {
            let mut stream = common::send(at, rpc_head("GET", "/look", "")).await;
            assert_eq!(read_message(&mut stream).await.expect("read the answer").status(), 200);
            served.set(true);
        });
        for caller in &mut busy {
            assert!(read_message(caller).await.expect("read the answer").status() >= 500);
        }
        // Both callers are idle now; one is evicted for the new caller.
        wait_until(|| go.get()).await;
        drop(busy);
    });
}

/// Guards against a lowered connection limit that idle callers exceed: each caller above it must be evicted, not the first one
/// repeatedly.
#[test]
fn idle_callers_above_the_limit_are_evicted_at_once() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let mut kept = Vec::new();
        for _ in 0..20 {
            let mut caller = common::send(b.address, rpc_head("GET", "/look", "")).await;
            assert_eq!(read_message(&mut caller).await.expect("read the answer").status(), 200);
            kept.push(caller);
        }
        wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
        b.server.set_max_connections(5);
        wait_until(|| b.server.connections() == 5).await;
        // The last five are still served.
        for caller in &mut kept[15..] {
            caller.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
            assert_eq!(read_message(caller).await.expect("read the answer").status(), 200);
        }
    });
}
