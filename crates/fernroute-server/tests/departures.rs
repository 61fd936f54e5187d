//! Callers who leave where that is hard to see: in a long turn of the event loop, behind bytes that nobody reads on, while a
//! connection comes up, as a further attempt begins. No attempt of theirs begins after that. `docs/endings.md` lists the ways.

mod common;

use common::{
    balancer, balancer_at, connect, decode_list, list_entry, ok, rpc_head, run, send, send_and_read,
    start_stub, until_reusable, wait_until, Reply,
};
use fernroute_server::program::serve::RunningInstance;
use fernroute_test_support::http::{parse_message, response};
use fernroute_test_support::stub::FullBacklog;
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::yield_now;

/// Longer than an attempt may begin after its caller left.
const TURN: Duration = Duration::from_millis(150);

/// How a caller ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Closes,
    /// Its sending alone.
    Halves,
    Resets,
}

const ENDS: [End; 3] = [End::Closes, End::Halves, End::Resets];

/// What is returned has ended its sending and is still there.
fn leave(caller: TcpStream, how: End) -> Option<TcpStream> {
    match how {
        End::Closes => None,
        End::Halves => {
            rustix::net::shutdown(&caller, rustix::net::Shutdown::Write).expect("open connection or RPC");
            Some(caller)
        }
        End::Resets => {
            caller.set_zero_linger().expect("set the socket option");
            None
        }
    }
}

/// An upstream without tasks: what has come is looked at when a test asks, and in no turn of the event loop.
struct Plain {
    address: SocketAddr,
    listener: std::net::TcpListener,
    /// With what was heard on each, and not answered.
    open: Vec<(std::net::TcpStream, Vec<u8>)>,
    /// All that was ever heard.
    bytes: usize,
}

impl Plain {
    fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("create a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind a listener");
        let listener = socket.listen(1024).and_then(|l| l.into_std()).expect("listen on the socket");
        let address = listener.local_addr().expect("local address");
        Plain { address, listener, open: Vec::new(), bytes: 0 }
    }

    fn look(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).expect("set non-blocking mode");
            self.open.push((stream, Vec::new()));
        }
        for (stream, heard) in &mut self.open {
            let before = heard.len();
            match stream.read_to_end(heard) {
                Ok(_) => {}
                Err(why) => {
                    assert!([ErrorKind::WouldBlock, ErrorKind::ConnectionReset].contains(&why.kind()))
                }
            }
            self.bytes += heard.len() - before;
        }
    }

    /// Connections that are up and bear nothing.
    fn silent(&mut self) -> usize {
        self.look();
        self.open.iter().filter(|(_, heard)| heard.is_empty()).count()
    }

    /// Answers what has come whole; tells how many that were.
    fn say(&mut self, status: u16, headers: &str) -> usize {
        self.look();
        let mut said = 0;
        for (stream, heard) in &mut self.open {
            if let Some((_, length)) = parse_message(heard).expect("valid HTTP messages") {
                heard.drain(..length);
                stream.write_all(&response(status, headers, "whole")).expect("write to the socket");
                said += 1;
            }
        }
        said
    }
}

async fn nothing_left(b: &RunningInstance) {
    wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
    assert_eq!(b.dispatcher.metrics().outstanding, 0);
    wait_until(|| b.dispatcher.timers.count() == 0).await;
    wait_until(|| b.server.connections() == 0).await;
}

/// An RPC with so much behind it that the balancer does not read on: its caller's end lies in the socket behind that.
fn with_more_behind() -> String {
    const UNREAD: usize = 210_000;
    let behind = rpc_head("POST", "/pay", &format!("Content-Length: {UNREAD}\r\n"));
    rpc_head("GET", "/look", "") + &behind + &"x".repeat(UNREAD)
}

/// One that is a long message itself: its first 64 KiB are taken, and no more while nothing of it is sent on.
fn long() -> String {
    const LONG: usize = 275_000;
    rpc_head("POST", "/put", &format!("Idempotency-Key: k\r\nContent-Length: {LONG}\r\n")) + &"x".repeat(LONG)
}

/// Guards against RPCs that begin in the turn in which their callers' ends lie in the sockets: many at once, some not read yet,
/// some whose connection has just come up, and a turn that takes long.
#[test]
fn two_hundred_that_leave_in_one_moment_begin_nothing_more() {
    for how in ENDS {
        run(async move {
            let mut up = Plain::new();
            let b = balancer_at(&[up.address], &[]).await;
            let mut callers = Vec::new();
            for _ in 0..200 {
                callers.push(connect(b.address).await);
            }
            wait_until(|| b.server.connections() == 200).await;
            for caller in &callers {
                let whole = rpc_head("GET", "/look", "");
                assert_eq!(caller.try_write(whole.as_bytes()).expect("write to the socket"), whole.len());
            }
            // A connection is up, and its RPC's first byte would leave in the next turn.
            while up.silent() == 0 {
                yield_now().await;
            }
            let halves: Vec<_> = callers.into_iter().filter_map(|caller| leave(caller, how)).collect();
            let begun = up.bytes;
            std::thread::sleep(TURN);
            nothing_left(&b).await;
            up.look();
            assert_eq!(up.bytes, begun, "{how:?}");
            drop(halves);
        });
    }
}

/// Guards against a further attempt that begins on a connection that is there, as its caller leaves in the moment of the first
/// one's failure.
#[test]
fn no_further_attempt_begins_as_its_caller_leaves() {
    for how in ENDS {
        run(async move {
            let mut ups = [Plain::new(), Plain::new()];
            let b = balancer_at(&ups.each_ref().map(|up| up.address), &[]).await;
            // Each has a kept connection that may be used at once.
            while ups.iter().any(|up| up.open.is_empty()) {
                let mut caller = send(b.address, rpc_head("GET", "/look", "")).await;
                while ups.iter_mut().map(|up| up.say(200, "")).sum::<usize>() == 0 {
                    yield_now().await;
                }
                assert_eq!(common::read_message(&mut caller).await.expect("read the answer").status(), 200);
            }
            wait_until(|| b.server.connections() == 0).await;
            until_reusable().await;
            let heard = |ups: &mut [Plain; 2]| {
                ups.iter_mut().for_each(Plain::look);
                ups.iter().map(|up| up.bytes).sum::<usize>()
            };
            let before = heard(&mut ups);
            let caller = send(b.address, rpc_head("GET", "/look", "")).await;
            while heard(&mut ups) == before {
                yield_now().await;
            }
            // For longer than a look at its caller may be old.
            tokio::time::sleep(Duration::from_millis(30)).await;
            let begun = heard(&mut ups);
            assert_eq!(ups.iter_mut().map(|up| up.say(503, "Srv-Declined: 1\r\n")).sum::<usize>(), 1);
            let half = leave(caller, how);
            std::thread::sleep(TURN);
            nothing_left(&b).await;
            assert_eq!(heard(&mut ups), begun, "{how:?}");
            drop(half);
        });
    }
}

/// Guards against an RPC that is held, and sent on when an upstream comes, long after its caller has left: what lies before the
/// end in the socket is not read while the RPC is open.
#[test]
fn who_leaves_behind_unread_bytes_while_its_rpc_is_held_has_nothing_sent_on() {
    for how in ENDS {
        for whole in [with_more_behind(), long()] {
            run(async move {
                let up = start_stub(|_, _| ok("whole")).await;
                let b = balancer_at(&[], &[]).await;
                let caller = send(b.address, whole).await;
                wait_until(|| b.dispatcher.open.borrow().len() == 1).await;
                // As much is read as ever will be.
                tokio::time::sleep(Duration::from_millis(100)).await;
                let half = leave(caller, how);
                yield_now().await;
                std::thread::sleep(TURN);
                b.dispatcher.apply_list(
                    &decode_list(8, true, &[list_entry("s-0", up.address, "z", "SERVING")]),
                    true,
                );
                nothing_left(&b).await;
                assert!(up.received.borrow().is_empty() && up.connections.get() == 0, "{how:?}");
                assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
                drop(half);
            });
        }
    }
}

/// The same while a connection comes up: its first byte is barred.
#[test]
fn who_leaves_behind_unread_bytes_before_the_connection_is_up_has_nothing_sent_on() {
    run(async {
        let late = [(r#""connect-timeout-s":0.25"#, r#""connect-timeout-s":5.0"#)];
        let mut waiting = Vec::new();
        for how in ENDS {
            for whole in [with_more_behind(), long()] {
                let held = FullBacklog::new().await.expect("fill the accept queue");
                let b = balancer_at(&[held.address], &late).await;
                let caller = send(b.address, whole).await;
                wait_until(|| b.dispatcher.open.borrow().values().any(|rpc| rpc.attempts.len() == 1)).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                let half = leave(caller, how);
                yield_now().await;
                waiting.push((b, held.release(|_, _| ok("late")), half));
            }
        }
        // Past the second after which the machine tries again.
        tokio::time::sleep(Duration::from_millis(1300)).await;
        for (b, up, half) in waiting {
            nothing_left(&b).await;
            assert!(up.received.borrow().is_empty());
            drop(half);
        }
    });
}

/// The same between two attempts: the first one's connection does not come up in time.
#[test]
fn who_leaves_a_long_body_unread_has_no_further_attempt() {
    for how in ENDS {
        run(async move {
            let held = FullBacklog::new().await.expect("fill the accept queue");
            let other = start_stub(|_, _| ok("whole")).await;
            let b = balancer_at(&[held.address], &[]).await;
            let caller = send(b.address, long()).await;
            wait_until(|| b.dispatcher.open.borrow().values().any(|rpc| rpc.attempts.len() == 1)).await;
            tokio::time::sleep(Duration::from_millis(60)).await;
            let both = [held.address, other.address];
            let both = [0, 1].map(|n| list_entry(&format!("s-{n}"), both[n], "z", "SERVING"));
            b.dispatcher.apply_list(&decode_list(8, true, &both), true);
            let half = leave(caller, how);
            yield_now().await;
            // The first one's time is over by then.
            std::thread::sleep(TURN + TURN);
            nothing_left(&b).await;
            assert!(other.received.borrow().is_empty() && other.connections.get() == 0, "{how:?}");
            drop(half);
        });
    }
}

/// Guards against work that goes on for seconds for who has left: what lies before the end is looked past also while nothing
/// begins.
#[test]
fn who_leaves_behind_unread_bytes_has_its_rpc_called_off() {
    for how in ENDS {
        run(async move {
            let up = start_stub(|_, _| Reply::NoReply).await;
            // Its time is not over in this test's.
            let long = [(r#""soft-deadline-s":2.5"#, r#""soft-deadline-s":90.0"#)];
            let b =
                balancer(&[&up], &[long[0], (r#""hard-deadline-s":6.0"#, r#""hard-deadline-s":99.0"#)]).await;
            let caller = send(b.address, with_more_behind().replace("Ms: 4000", "Ms: 90000")).await;
            wait_until(|| up.received.borrow().len() == 1).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            let half = leave(caller, how);
            wait_until(|| up.closed.get() == 1).await;
            nothing_left(&b).await;
            assert_eq!(up.received.borrow().len(), 1);
            drop(half);
        });
    }
}
