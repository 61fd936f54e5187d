//! Callers that leave where this is hard to detect: during a long poll of the event loop, behind bytes that are not read, while an
//! upstream connection comes up, or as a further attempt starts. No attempt may start after that. `docs/endings.md` lists the cases.

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

/// Longer than the time after a caller's departure in which an attempt may still start.
const BLOCK_TIME: Duration = Duration::from_millis(150);

/// How a caller closes its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    /// Shuts down the write side only.
    HalfClose,
    Reset,
}

const ENDS: [End; 3] = [End::Close, End::HalfClose, End::Reset];

/// Returns the connection if only its write side was closed.
fn leave(caller: TcpStream, how: End) -> Option<TcpStream> {
    match how {
        End::Close => None,
        End::HalfClose => {
            rustix::net::shutdown(&caller, rustix::net::Shutdown::Write).expect("shut down the write side");
            Some(caller)
        }
        End::Reset => {
            caller.set_zero_linger().expect("set the socket option");
            None
        }
    }
}

/// An upstream without tasks: it accepts and reads only when a test calls it, independently of the event loop.
struct ManualUpstream {
    address: SocketAddr,
    listener: std::net::TcpListener,
    /// Open connections, each with the received bytes that have not been answered.
    open: Vec<(std::net::TcpStream, Vec<u8>)>,
    /// The number of bytes received on all connections.
    bytes: usize,
}

impl ManualUpstream {
    fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("create a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind a listener");
        let listener = socket.listen(1024).and_then(|l| l.into_std()).expect("listen on the socket");
        let address = listener.local_addr().expect("local address");
        ManualUpstream { address, listener, open: Vec::new(), bytes: 0 }
    }

    fn poll(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(true).expect("set non-blocking mode");
            self.open.push((stream, Vec::new()));
        }
        for (stream, received) in &mut self.open {
            let before = received.len();
            match stream.read_to_end(received) {
                Ok(_) => {}
                Err(error) => {
                    assert!([ErrorKind::WouldBlock, ErrorKind::ConnectionReset].contains(&error.kind()))
                }
            }
            self.bytes += received.len() - before;
        }
    }

    /// The number of open connections without unanswered bytes.
    fn silent_connections(&mut self) -> usize {
        self.poll();
        self.open.iter().filter(|(_, received)| received.is_empty()).count()
    }

    /// Answers complete RPCs and returns their number.
    fn answer_complete(&mut self, status: u16, headers: &str) -> usize {
        self.poll();
        let mut answered = 0;
        for (stream, received) in &mut self.open {
            if let Some((_, length)) = parse_message(received).expect("valid HTTP messages") {
                received.drain(..length);
                stream.write_all(&response(status, headers, "whole")).expect("write to the socket");
                answered += 1;
            }
        }
        answered
    }
}

async fn until_no_state_left(b: &RunningInstance) {
    wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
    assert_eq!(b.dispatcher.metrics().outstanding, 0);
    wait_until(|| b.dispatcher.timers.count() == 0).await;
    wait_until(|| b.server.connections() == 0).await;
}

/// An RPC followed by more bytes than the balancer reads ahead: the end of the connection lies behind them, unread.
fn rpc_with_unread_bytes() -> String {
    const UNREAD: usize = 210_000;
    let behind = rpc_head("POST", "/pay", &format!("Content-Length: {UNREAD}\r\n"));
    rpc_head("GET", "/look", "") + &behind + &"x".repeat(UNREAD)
}

/// An RPC with a long body: its first 64 KiB are read, and no more until some of it has been sent to an upstream.
fn long_rpc() -> String {
    const LONG: usize = 275_000;
    rpc_head("POST", "/put", &format!("Idempotency-Key: k\r\nContent-Length: {LONG}\r\n")) + &"x".repeat(LONG)
}

/// Guards against attempts that start in the poll in which the ends of their callers' connections are already in the sockets: many
/// at once, some not read yet, some whose upstream connection has just come up, and a poll that takes long.
#[test]
fn two_hundred_callers_leaving_at_once_start_no_attempts() {
    for how in ENDS {
        run(async move {
            let mut up = ManualUpstream::new();
            let b = balancer_at(&[up.address], &[]).await;
            let mut callers = Vec::new();
            for _ in 0..200 {
                callers.push(connect(b.address).await);
            }
            wait_until(|| b.server.connections() == 200).await;
            for caller in &callers {
                let message = rpc_head("GET", "/look", "");
                assert_eq!(caller.try_write(message.as_bytes()).expect("write to the socket"), message.len());
            }
            // An upstream connection is up, and its RPC's first byte would be sent in the next poll.
            while up.silent_connections() == 0 {
                yield_now().await;
            }
            let half_closed: Vec<_> = callers.into_iter().filter_map(|caller| leave(caller, how)).collect();
            let bytes_before = up.bytes;
            std::thread::sleep(BLOCK_TIME);
            until_no_state_left(&b).await;
            up.poll();
            assert_eq!(up.bytes, bytes_before, "{how:?}");
            drop(half_closed);
        });
    }
}

/// Guards against a further attempt that starts on a kept connection when the caller leaves just as the first attempt fails.
#[test]
fn no_further_attempt_starts_as_the_caller_leaves() {
    for how in ENDS {
        run(async move {
            let mut ups = [ManualUpstream::new(), ManualUpstream::new()];
            let b = balancer_at(&ups.each_ref().map(|up| up.address), &[]).await;
            // Each upstream has a kept connection that may be used at once.
            while ups.iter().any(|up| up.open.is_empty()) {
                let mut caller = send(b.address, rpc_head("GET", "/look", "")).await;
                while ups.iter_mut().map(|up| up.answer_complete(200, "")).sum::<usize>() == 0 {
                    yield_now().await;
                }
                assert_eq!(common::read_message(&mut caller).await.expect("read the answer").status(), 200);
            }
            wait_until(|| b.server.connections() == 0).await;
            until_reusable().await;
            let received = |ups: &mut [ManualUpstream; 2]| {
                ups.iter_mut().for_each(ManualUpstream::poll);
                ups.iter().map(|up| up.bytes).sum::<usize>()
            };
            let before = received(&mut ups);
            let caller = send(b.address, rpc_head("GET", "/look", "")).await;
            while received(&mut ups) == before {
                yield_now().await;
            }
            // Longer than the interval between two checks of whether the caller has left.
            tokio::time::sleep(Duration::from_millis(30)).await;
            let bytes_before = received(&mut ups);
            assert_eq!(
                ups.iter_mut().map(|up| up.answer_complete(503, "Srv-Declined: 1\r\n")).sum::<usize>(),
                1
            );
            let half_closed = leave(caller, how);
            std::thread::sleep(BLOCK_TIME);
            until_no_state_left(&b).await;
            assert_eq!(received(&mut ups), bytes_before, "{how:?}");
            drop(half_closed);
        });
    }
}

/// Guards against an RPC that is held without an upstream and sent when one appears, long after its caller has left. The bytes
/// before the end of the connection are not read while the RPC is open.
#[test]
fn caller_leaving_behind_unread_bytes_while_queued_sends_nothing() {
    for how in ENDS {
        for message in [rpc_with_unread_bytes(), long_rpc()] {
            run(async move {
                let up = start_stub(|_, _| ok("whole")).await;
                let b = balancer_at(&[], &[]).await;
                let caller = send(b.address, message).await;
                wait_until(|| b.dispatcher.open.borrow().len() == 1).await;
                // The balancer has read as much as it will.
                tokio::time::sleep(Duration::from_millis(100)).await;
                let half_closed = leave(caller, how);
                yield_now().await;
                std::thread::sleep(BLOCK_TIME);
                b.dispatcher.apply_list(
                    &decode_list(8, true, &[list_entry("s-0", up.address, "z", "SERVING")]),
                    true,
                );
                until_no_state_left(&b).await;
                assert!(up.received.borrow().is_empty() && up.connections.get() == 0, "{how:?}");
                assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
                drop(half_closed);
            });
        }
    }
}

/// The same while an upstream connection comes up: its first byte must not be sent.
#[test]
fn caller_leaving_behind_unread_bytes_before_connect_sends_nothing() {
    run(async {
        let late = [(r#""connect-timeout-s":0.25"#, r#""connect-timeout-s":5.0"#)];
        let mut waiting = Vec::new();
        for how in ENDS {
            for message in [rpc_with_unread_bytes(), long_rpc()] {
                let held = FullBacklog::new().await.expect("fill the accept queue");
                let b = balancer_at(&[held.address], &late).await;
                let caller = send(b.address, message).await;
                wait_until(|| b.dispatcher.open.borrow().values().any(|rpc| rpc.attempts.len() == 1)).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                let half_closed = leave(caller, how);
                yield_now().await;
                waiting.push((b, held.release(|_, _| ok("late")), half_closed));
            }
        }
        // Longer than the second after which TCP retransmits a SYN.
        tokio::time::sleep(Duration::from_millis(1300)).await;
        for (b, up, half_closed) in waiting {
            until_no_state_left(&b).await;
            assert!(up.received.borrow().is_empty());
            drop(half_closed);
        }
    });
}

/// The same between two attempts, where the connection of the first does not come up in time.
#[test]
fn caller_leaving_a_long_body_unread_gets_no_further_attempt() {
    for how in ENDS {
        run(async move {
            let held = FullBacklog::new().await.expect("fill the accept queue");
            let other = start_stub(|_, _| ok("whole")).await;
            let b = balancer_at(&[held.address], &[]).await;
            let caller = send(b.address, long_rpc()).await;
            wait_until(|| b.dispatcher.open.borrow().values().any(|rpc| rpc.attempts.len() == 1)).await;
            tokio::time::sleep(Duration::from_millis(60)).await;
            let both = [held.address, other.address];
            let both = [0, 1].map(|n| list_entry(&format!("s-{n}"), both[n], "z", "SERVING"));
            b.dispatcher.apply_list(&decode_list(8, true, &both), true);
            let half_closed = leave(caller, how);
            yield_now().await;
            // By then the first attempt has timed out.
            std::thread::sleep(BLOCK_TIME + BLOCK_TIME);
            until_no_state_left(&b).await;
            assert!(other.received.borrow().is_empty() && other.connections.get() == 0, "{how:?}");
            drop(half_closed);
        });
    }
}

/// Guards against callers that are counted nowhere because the balancer reads to the end of their connection before it accepts
/// the RPC whose head lies before that end.
#[test]
fn callers_of_long_rpcs_that_leave_at_once_are_counted() {
    const CALLERS: u64 = 20;
    /// More than the sockets on the way pass on unread, and less than what is read ahead.
    const BODY_BYTES: usize = 200_000;
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let b = balancer(&[&up], &[]).await;
        let more = format!("Idempotency-Key: k\r\nContent-Length: {BODY_BYTES}\r\n");
        for left in 1..=CALLERS {
            // Without a turn of the event loop: everything is in the sockets before the balancer reads.
            let mut caller = std::net::TcpStream::connect(b.address).expect("connect to the balancer");
            let request = rpc_head("POST", "/put", &more) + &"x".repeat(BODY_BYTES);
            std::io::Write::write_all(&mut caller, request.as_bytes()).expect("write the request");
            drop(caller);
            wait_until(|| b.dispatcher.metrics().left == left && b.dispatcher.open.borrow().is_empty()).await;
        }
    });
}

/// Guards against an RPC that runs on for seconds after its caller has left: an end of the connection behind unread bytes must be
/// detected even while no attempt starts.
#[test]
fn caller_leaving_behind_unread_bytes_has_its_rpc_cancelled() {
    for how in ENDS {
        run(async move {
            let up = start_stub(|_, _| Reply::NoReply).await;
            // The deadline is later than the test's time limit.
            let long = [(r#""soft-deadline-s":2.5"#, r#""soft-deadline-s":90.0"#)];
            let b =
                balancer(&[&up], &[long[0], (r#""hard-deadline-s":6.0"#, r#""hard-deadline-s":99.0"#)]).await;
            let caller = send(b.address, rpc_with_unread_bytes().replace("Ms: 4000", "Ms: 90000")).await;
            wait_until(|| up.received.borrow().len() == 1).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            let half_closed = leave(caller, how);
            wait_until(|| up.closed.get() == 1).await;
            until_no_state_left(&b).await;
            assert_eq!(up.received.borrow().len(), 1);
            drop(half_closed);
        });
    }
}
