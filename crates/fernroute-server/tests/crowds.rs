//! Idle callers that fill the descriptors while discovery is down: the watch, upstreams, operators and whoever has an RPC still
//! get theirs. The program itself, where the machine grants few.

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

/// What idle callers have said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Said {
    Nothing,
    Half,
    /// A whole RPC, and then nothing more on the connection.
    Asked,
}

/// Callers who connect, say something and rest; each comes again some time after it was sent away.
struct Crowd {
    /// How many rest just now.
    resting: Cell<usize>,
    came: Cell<usize>,
}

const CROWD: usize = 250;

impl Crowd {
    fn come(at: SocketAddr, said: Said) -> Rc<Self> {
        let crowd = Rc::new(Crowd { resting: Cell::new(0), came: Cell::new(0) });
        for _ in 0..CROWD {
            let crowd = Rc::clone(&crowd);
            spawn_local(async move {
                loop {
                    // Turned away before it rested, perhaps: it comes again.
                    let _ = crowd.one(at, said).await;
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
            });
        }
        crowd
    }

    async fn one(&self, at: SocketAddr, said: Said) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(at).await?;
        self.came.set(self.came.get() + 1);
        let whole = rpc_head("GET", "/look", "");
        match said {
            Said::Nothing => {}
            Said::Half => stream.write_all(&whole.as_bytes()[..40]).await?,
            Said::Asked => {
                stream.write_all(whole.as_bytes()).await?;
                read_message(&mut stream).await;
            }
        }
        self.resting.set(self.resting.get() + 1);
        while stream.read(&mut [0; 256]).await.is_ok_and(|n| n > 0) {}
        self.resting.set(self.resting.get() - 1);
        Ok(())
    }
}

/// A newcomer's RPC; on a new connection once more where that was closed unread, as callers do.
async fn newcomer(at: SocketAddr) -> Vec<u8> {
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

/// Discovery is down, the crowd comes, discovery is back with another upstream in the old one's place. `granted` is what the
/// machine grants, from the start or once it serves; `told` what the file says.
fn crossing(name: &'static str, said: Said, told: usize, granted: usize, from_the_start: bool) {
    run(async move {
        let (old, new) = (start_stub(|_, _| ok("old")).await, start_stub(|_, _| ok("new")).await);
        let down = free_addresses(1).expect("bind a listener")[0];
        let sockets = format!(r#""sockets":{told}"#);
        // Discovery's first list is the first one newer.
        let changes = [(r#""sockets":1024"#, sockets.as_str()), (r#""version":7"#, r#""version":0"#)];
        let text = config_json(&[old.address], down, &changes);
        let folder = temp_dir(name);
        let b = Program::start_with(&folder, &text, if from_the_start { granted } else { 4096 }).await;
        if !from_the_start {
            b.limit_descriptors(granted as u64).expect("set the socket option");
        }
        let crowd = Crowd::come(b.address, said);
        // And again, who was sent away before it said anything.
        wait_until(|| crowd.came.get() >= 2 * CROWD).await;
        // Served while all have come, by what is known.
        let from = Instant::now();
        for _ in 0..3 {
            assert_eq!(newcomer(b.address).await, b"old");
        }
        let newcomers = from.elapsed();
        let from = Instant::now();
        assert!(is_ready(b.ops_address).await);
        until_ready_among(b.address).await;
        let ready = from.elapsed();
        let discovery = StubDiscovery::start(down, list_entry("s-1", new.address, "z", "SERVING")).await;
        let discovery = discovery.expect("start discovery");
        let from = Instant::now();
        while newcomer(b.address).await != b"new" {}
        let told_after = from.elapsed();
        // And one change more, by the watch that is open now.
        let from = Instant::now();
        discovery.publish(
            list_entry("s-2", old.address, "z", "SERVING")
                + ","
                + &list_entry("s-1", new.address, "z", "DRAINING"),
        );
        while newcomer(b.address).await != b"old" {}
        let told_again = from.elapsed();
        assert!(is_ready(b.ops_address).await);
        let busy = b.cpu_ms();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let busy = b.cpu_ms() - busy;
        eprintln!(
            "{name}: newcomers {newcomers:?}, ready {ready:?}, told {told_after:?}, again {told_again:?}, \
            {busy} ms of a second, {} descriptors, {} came, {} lines",
            b.open_descriptors(),
            crowd.came.get(),
            b.log().len()
        );
        assert!(b.open_descriptors() <= granted && b.is_running());
        // What is known from the start is kept to, and never met.
        assert_eq!(b.log_contains("accept: "), !from_the_start);
        // Neither a turn after another for nobody, nor a line for each that comes.
        assert!(busy < 800 && b.log().len() < 40, "{busy} {:?}", b.log());
    });
}

async fn until_ready_among(at: SocketAddr) {
    loop {
        let mut stream = common::send(at, "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n").await;
        if read_message(&mut stream).await.is_some_and(|answer| answer.status() == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against newcomers, the watch and operators shut out by callers who connect and say nothing.
#[test]
fn silent_callers_keep_nobody_out() {
    crossing("silent", Said::Nothing, 64, 64, true);
}

/// The same by callers with half a head: they are not idle, and have nothing to be served with.
#[test]
fn callers_with_half_a_head_keep_nobody_out() {
    crossing("half", Said::Half, 64, 64, true);
}

/// The same by callers who were served and keep their connections.
#[test]
fn callers_that_were_served_and_rest_keep_nobody_out() {
    crossing("asked", Said::Asked, 128, 128, true);
}

/// Guards against a file that says more than the machine grants: callers would get a part of what is not there, and all of
/// what is.
#[test]
fn a_machine_that_grants_fewer_descriptors_than_the_file_says_is_believed() {
    crossing("granted", Said::Nothing, 1024, 64, true);
}

/// Guards against a process without descriptors that neither serves nor follows the list, tries without end or ends itself:
/// its callers fill what there is, and there is less than it was told at its start.
#[test]
fn descriptors_that_run_out_are_taken_from_those_who_rest() {
    for said in [Said::Nothing, Said::Half] {
        crossing("out", said, 1024, 64, false);
    }
}

/// Guards against a newcomer that waits until somebody leaves by itself: when it came nobody was idle, and some are now.
#[test]
fn who_becomes_idle_makes_room_for_who_waits() {
    run(async {
        let go = Rc::new(Cell::new(false));
        let up = start_stub(|n, _| if n < 2 { Reply::NoReply } else { ok("whole") }).await;
        // Its first two are answered by the end of their time.
        let b = balancer(&[&up], &[(r#""max-transmissions":3"#, r#""max-transmissions":1"#)]).await;
        b.server.set_max_connections(2);
        let brief = || rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 700");
        let mut busy = [common::send(b.address, brief()).await, common::send(b.address, brief()).await];
        wait_until(|| up.received.borrow().len() == 2).await;
        let told = Rc::clone(&go);
        let at = b.address;
        spawn_local(async move {
            let mut stream = common::send(at, rpc_head("GET", "/look", "")).await;
            assert_eq!(read_message(&mut stream).await.expect("read the answer").status(), 200);
            told.set(true);
        });
        for caller in &mut busy {
            assert!(read_message(caller).await.expect("read the answer").status() >= 500);
        }
        // They rest; one is sent away for it.
        wait_until(|| go.get()).await;
        drop(busy);
    });
}

/// Guards against fewer places of which idle callers hold more than there are: each one beyond that goes, not the first again
/// and again.
#[test]
fn idle_callers_beyond_the_most_go_at_once() {
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
        // The last five are served on.
        for caller in &mut kept[15..] {
            caller.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
            assert_eq!(read_message(caller).await.expect("read the answer").status(), 200);
        }
    });
}
