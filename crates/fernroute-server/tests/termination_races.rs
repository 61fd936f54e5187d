//! Races between the end of a caller, connection, upstream, timer or process and the RPCs open at that moment. Each race is
//! forced, in both orders where there are two. `docs/endings.md` lists them.

mod common;

use common::{
    balancer, balancer_at, connect, decode_list, list_entry, ok, read_message, request, rpc_head, rpc_id,
    run, send, send_and_read, start_stub, until_reusable, wait_until, Reply,
};
use fernroute_server::program::serve::RunningInstance;
use fernroute_server::protocol::answer::FinalAnswer;
use fernroute_test_support::http::{response, Connection};
use fernroute_test_support::stub::FullBacklog;
use futures_util::FutureExt as _;
use std::cell::{Cell, RefCell};
use std::io::Write as _;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Upstream connections may take long to come up, and an attempt that may have run is not cancelled.
const SLOW_CONNECT_NO_CANCEL: [(&str, &str); 2] = [
    (r#""cancel":true"#, r#""cancel":false"#),
    (r#""connect-timeout-s":0.25"#, r#""connect-timeout-s":5.0"#),
];

/// Waits until no RPC, attempt or timer is left.
async fn until_no_state_left(b: &RunningInstance) {
    wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
    assert_eq!(b.dispatcher.metrics().outstanding, 0);
    wait_until(|| b.dispatcher.timers.count() == 0).await;
}

fn attempt_count(b: &RunningInstance) -> usize {
    b.dispatcher.open.borrow().values().map(|rpc| rpc.attempts.len()).sum()
}

fn post_rpc(headers: &str) -> String {
    rpc_head("POST", "/pay", &format!("Content-Length: 0\r\n{headers}"))
}

// ---------------------------------------------------------------------------------------- a caller leaves

/// Guards against an RPC without a caller that is sent when its upstream connection finally comes up. Settings that forbid
/// cancellation apply to an attempt that may have run, not to one that was never written.
#[test]
fn caller_leaving_before_upstream_connects_sends_nothing() {
    for resets in [false, true] {
        run(async move {
            let held = FullBacklog::new().await.expect("fill the accept queue");
            let b = balancer_at(&[held.address], &SLOW_CONNECT_NO_CANCEL).await;
            let caller = send(b.address, post_rpc("")).await;
            wait_until(|| attempt_count(&b) == 1).await;
            if resets {
                caller.set_zero_linger().expect("set the socket option");
            }
            drop(caller);
            wait_until(|| b.dispatcher.metrics().outstanding == 0).await;
            let up = held.release(|_, _| ok("whole"));
            // Longer than the second after which TCP retransmits a SYN.
            tokio::time::sleep(Duration::from_millis(1300)).await;
            assert!(up.received.borrow().is_empty());
            until_no_state_left(&b).await;
            // The upstream is still used.
            assert_eq!(send_and_read(b.address, post_rpc("")).await.status(), 200);
        });
    }
}

/// The other order: the RPC is written completely, and the attempt is not cancelled where the settings forbid it.
#[test]
fn caller_leaving_after_last_byte_cancels_only_when_allowed() {
    for allowed in [false, true] {
        run(async move {
            let up = start_stub(|_, _| Reply::NoReply).await;
            let b = balancer(&[&up], if allowed { &[] } else { &SLOW_CONNECT_NO_CANCEL[..1] }).await;
            let caller = send(b.address, rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 700")).await;
            wait_until(|| up.received.borrow().len() == 1).await;
            drop(caller);
            wait_until(|| b.dispatcher.metrics().outstanding == 0).await;
            assert!(allowed || up.closed.get() == 0);
            // Closed by the cancellation, or else by the deadline.
            wait_until(|| up.closed.get() == 1).await;
            until_no_state_left(&b).await;
            assert_eq!(up.received.borrow().len(), 1);
        });
    }
}

/// Guards against sending the RPCs of a burst of callers that connect and leave while the balancer is busy: the RPC and the end
/// of its connection are then in the socket buffer together.
#[test]
fn caller_leaving_before_accept_sends_nothing() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        // Leaves an idle upstream connection on which an RPC could be sent at once.
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        until_reusable().await;
        b.server.set_accepting(false);
        wait_until(|| b.server.connections() == 0).await;
        for n in 0..40 {
            let mut caller = connect(b.address).await;
            let body = "x".repeat(if n % 4 == 3 { 40_000 } else { 3 });
            let post = rpc_head("POST", &format!("/pay?{n}"), &format!("Content-Length: {}\r\n", body.len()))
                + &body;
            let message = if n % 4 == 0 { rpc_head("GET", &format!("/look?{n}"), "") } else { post };
            caller.write_all(message.as_bytes()).await.expect("write to the socket");
            if n % 2 == 0 {
                caller.set_zero_linger().expect("set the socket option");
            }
        }
        b.server.set_accepting(true);
        let marked = send_and_read(b.address, rpc_head("GET", "/look", "")).await;
        assert_eq!(marked.status(), 200);
        wait_until(|| b.server.connections() == 0).await;
        until_no_state_left(&b).await;
        let seen: Vec<String> = up.received.borrow().iter().map(|m| m.target.clone()).collect();
        assert_eq!(seen.len(), 2, "none of the forty RPCs may be sent: {seen:?}");
    });
}

/// A partial or pipelined message after an RPC makes no difference: a closed connection means that the caller has left.
#[test]
fn caller_leaving_with_pipelined_bytes_ends_its_rpc() {
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let b = balancer(&[&up], &[]).await;
        let long = rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 90000");
        for behind in [String::new(), "GET /lo".to_owned(), rpc_head("GET", "/look", ""), "x".repeat(20_000)]
        {
            let seen = up.received.borrow().len();
            let mut caller = send(b.address, &long).await;
            wait_until(|| up.received.borrow().len() == seen + 1).await;
            caller.write_all(behind.as_bytes()).await.expect("write to the socket");
            drop(caller);
            until_no_state_left(&b).await;
            wait_until(|| up.closed.get() == seen + 1).await;
            assert_eq!(up.received.borrow().len(), seen + 1);
        }
    });
}

/// A message cut off anywhere in its head or body is not an RPC.
#[test]
fn caller_leaving_with_partial_message_sends_nothing() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let message = rpc_head("POST", "/pay", "Content-Length: 20\r\n") + "01234567890123456789";
        for cut in (0..message.len()).step_by(3) {
            drop(send(b.address, &message[..cut]).await);
        }
        wait_until(|| b.server.connections() == 0).await;
        until_no_state_left(&b).await;
        assert!(up.received.borrow().is_empty());
        assert_eq!(send_and_read(b.address, message).await.status(), 200);
    });
}

/// Between two attempts, or while no upstream may be used, an RPC is held in the balancer only.
#[test]
fn caller_leaving_while_its_rpc_is_queued_sends_nothing() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer_at(&[], &[]).await;
        let caller = send(b.address, rpc_head("GET", "/look", "")).await;
        wait_until(|| b.dispatcher.open.borrow().len() == 1).await;
        drop(caller);
        wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
        b.dispatcher
            .apply_list(&decode_list(8, true, &[list_entry("s-0", up.address, "z", "SERVING")]), true);
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        until_no_state_left(&b).await;
        assert_eq!(up.received.borrow().len(), 1);
    });
}

// ------------------------------------------------------------------------- a connection to an upstream ends

/// Guards against sending to an upstream after its drain grace: an RPC that was routed before its upstream drained, was removed
/// or was restarted must not start there once that is known, and goes to another upstream at once.
#[test]
fn unstarted_attempt_does_not_start_at_removed_upstream() {
    for state in ["DRAINING", "DELETED", "elsewhere", "not named"] {
        run(async move {
            let held = FullBacklog::new().await.expect("fill the accept queue");
            let other = start_stub(|_, _| ok("whole")).await;
            let b = balancer_at(&[held.address], &SLOW_CONNECT_NO_CANCEL).await;
            let mut caller = send(b.address, post_rpc("")).await;
            wait_until(|| attempt_count(&b) == 1).await;
            let from = Instant::now();
            let mut entries = vec![list_entry("s-1", other.address, "z", "SERVING")];
            match state {
                "elsewhere" => entries.push(list_entry("s-0", other.address, "z", "SERVING")),
                "not named" => {}
                state => entries.push(list_entry("s-0", held.address, "z", state)),
            }
            b.dispatcher.apply_list(&decode_list(8, state == "not named", &entries), true);
            let answer = read_message(&mut caller).await.expect("read the answer");
            assert_eq!((answer.status(), answer.body), (200, b"whole".to_vec()), "{state}");
            // TCP retransmits a SYN after a second; the RPC did not wait for that.
            assert!(from.elapsed() < Duration::from_millis(900), "{state} {:?}", from.elapsed());
            until_no_state_left(&b).await;
            let up = held.release(|_, _| ok("late"));
            tokio::time::sleep(Duration::from_millis(1300)).await;
            assert!(up.received.borrow().is_empty() && other.received.borrow().len() == 1, "{state}");
        });
    }
}

/// The same within one poll: the upstream drains after routing, before the attempt's task is polled for the first time.
#[test]
fn drain_in_the_same_poll_precedes_the_send() {
    run(async {
        let (one, two) = (start_stub(|_, _| ok("one")).await, start_stub(|_, _| ok("two")).await);
        let b = balancer(&[&one], &[]).await;
        // Leaves an idle connection, which would be written to at once.
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.body, b"one");
        until_reusable().await;
        let mut admission = pin!(b.dispatcher.admit(request(&b, "turn", "look", "4000"), None));
        assert!(admission.as_mut().now_or_never().is_none() && attempt_count(&b) == 1);
        let entries =
            [list_entry("s-0", one.address, "z", "DRAINING"), list_entry("s-1", two.address, "z", "SERVING")];
        b.dispatcher.apply_list(&decode_list(8, false, &entries), true);
        let Ok(FinalAnswer::Completed(last)) = admission.await else { panic!("the RPC must complete") };
        assert_eq!((&last.body[..], one.received.borrow().len()), (&b"two"[..], 1));
        until_no_state_left(&b).await;
    });
}

/// A draining upstream finishes the attempts that have started there.
#[test]
fn started_attempt_at_draining_upstream_completes() {
    run(async {
        let go = Rc::new(Notify::new());
        let up = notified_upstream(Rc::clone(&go)).await;
        let b = balancer_at(&[up], &[]).await;
        let mut caller = send(b.address, post_rpc("")).await;
        wait_until(|| b.dispatcher.metrics().attempts == 1).await;
        b.dispatcher.apply_list(&decode_list(8, false, &[list_entry("s-0", up, "z", "DRAINING")]), true);
        go.notify_one();
        assert_eq!(read_message(&mut caller).await.expect("read the answer").status(), 200);
        until_no_state_left(&b).await;
    });
}

/// An upstream that answers each RPC after a notification.
async fn notified_upstream(go: Rc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
    let address = listener.local_addr().expect("local address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let go = Rc::clone(&go);
            tokio::task::spawn_local(async move {
                let mut peer = Connection::new(stream);
                while let Ok(Some(_)) = peer.read().await {
                    go.notified().await;
                    let _ = peer.write(&response(200, "", "whole")).await;
                }
            });
        }
    });
    address
}

/// Guards against a second answer, or stray bytes, that arrive some milliseconds late. On an idle connection they are detected;
/// on a connection already reused they would become the next RPC's answer. So a connection is not reused at once.
#[test]
fn late_second_answer_is_never_delivered() {
    run(async {
        // The connection of every other RPC gets a second answer when the next RPC arrives, on whichever connection.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let address = listener.local_addr().expect("local address");
        let last_peer: Rc<RefCell<Option<Rc<RefCell<Connection>>>>> = Rc::default();
        let (answered_at, races) = (Rc::new(Cell::new(Instant::now())), Rc::new(Cell::new(0)));
        let (last, when, counted) = (Rc::clone(&last_peer), Rc::clone(&answered_at), Rc::clone(&races));
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (last, when, counted) = (Rc::clone(&last), Rc::clone(&when), Rc::clone(&counted));
                tokio::task::spawn_local(async move {
                    let peer = Rc::new(RefCell::new(Connection::new(stream)));
                    loop {
                        let next = std::future::poll_fn(|cx| {
                            let mut peer = peer.borrow_mut();
                            let polled = pin!(peer.read()).poll_unpin(cx);
                            polled
                        });
                        let Ok(Some(message)) = next.await else { return };
                        let id = message.header("req-id").unwrap_or("").to_owned();
                        let late = last.borrow_mut().take();
                        if let Some(late) = late {
                            // Sends the second answer for the previous RPC.
                            let within = when.get().elapsed() < Duration::from_millis(5);
                            counted.set(counted.get() + usize::from(within));
                            if within {
                                let _ =
                                    late.borrow().stream.try_write(&response(200, "", "the one before's"));
                            }
                            let _ = peer.borrow().stream.try_write(&response(200, "", &id));
                        } else {
                            let _ = peer.borrow().stream.try_write(&response(200, "", &id));
                            when.set(Instant::now());
                            last.borrow_mut().replace(Rc::clone(&peer));
                        }
                    }
                });
            }
        });
        let b = balancer_at(&[address], &[]).await;
        let mut caller = connect(b.address).await;
        // Repeated until the race occurred often enough, since a busy machine may be too slow for it.
        while races.get() < 20 {
            for _ in 0..2 {
                let bytes = rpc_head("GET", "/look", "");
                caller.write_all(bytes.as_bytes()).await.expect("write to the socket");
                let last = read_message(&mut caller).await.expect("read the answer");
                assert_eq!((last.status(), last.body), (200, rpc_id(&bytes).as_bytes().to_vec()));
            }
            until_reusable().await;
        }
        until_no_state_left(&b).await;
    });
}

/// Guards against cutting off an answer that the upstream is still sending, even past the hard deadline, since the caller may
/// read slowly. An endless answer lasts until its caller leaves, and no longer.
#[test]
fn streaming_answer_continues_past_deadline_until_caller_leaves() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let address = listener.local_addr().expect("local address");
        let gone = Rc::new(Cell::new(false));
        let caller_gone = Rc::clone(&gone);
        tokio::task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("accept a connection");
            let mut peer = Connection::new(stream);
            peer.read().await.expect("read the RPC");
            let _ = peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
            while peer.write(b"1\r\nx\r\n").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            caller_gone.set(true);
        });
        let b = balancer_at(&[address], &[]).await;
        let from = Instant::now();
        let mut caller = send(b.address, rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 1500")).await;
        let mut received = Vec::new();
        while from.elapsed() < Duration::from_millis(2500) {
            assert!(caller.read_buf(&mut received).await.expect("read from the socket") > 0, "{received:?}");
        }
        assert!(received.starts_with(b"HTTP/1.1 200") && !gone.get());
        drop(caller);
        wait_until(|| gone.get()).await;
        until_no_state_left(&b).await;
    });
}

/// Guards against failures from idle connections that the upstream closes just as they are reused: one that is known to be
/// closed is skipped; otherwise the close is the outcome of an RPC that may have run.
#[test]
fn idle_connection_closed_by_upstream_fails_no_rpc() {
    run(async {
        let up = start_stub(|n, _| match n % 2 {
            0 => Reply::SendAndClose(response(200, "", "and it closes")),
            _ => ok("whole"),
        });
        let up = up.await;
        let b = balancer(&[&up], &[]).await;
        for n in 0..20 {
            until_reusable().await;
            wait_until(|| up.closed.get() >= n / 2).await;
            let verb = if n % 3 == 0 { rpc_head("GET", "/look", "") } else { post_rpc("") };
            assert_eq!(send_and_read(b.address, verb).await.status(), 200, "{n}");
        }
        assert_eq!(up.received.borrow().len(), 20);
        until_no_state_left(&b).await;
    });
}

// --------------------------------------------------------------------------------------------- timers and ids

/// Guards against an RPC id that is reused as soon as its RPC has ended, before the old attempt's outcome is recorded: the new
/// RPC would get that outcome, and the upstream's count of outstanding attempts would never return to zero.
#[test]
fn reused_rpc_id_gets_no_outcome_of_the_previous_rpc() {
    run(async {
        let up = start_stub(|n, _| if n == 0 { Reply::NoReply } else { ok("whole") }).await;
        let b = balancer(&[&up], &[]).await;
        {
            let mut admission = Box::pin(b.dispatcher.admit(request(&b, "twice", "look", "4000"), None));
            assert!(admission.as_mut().now_or_never().is_none());
            wait_until(|| up.received.borrow().len() == 1).await;
            drop(admission);
        }
        // In the same poll: no other task has run since.
        let second = b.dispatcher.admit(request(&b, "twice", "look", "4000"), None).await;
        assert!(second.is_err(), "the outcome of the old attempt is not recorded yet");
        until_no_state_left(&b).await;
        let last = b.dispatcher.admit(request(&b, "twice", "look", "4000"), None).await;
        assert!(matches!(last, Ok(FinalAnswer::Completed(_))), "{last:?}");
        until_no_state_left(&b).await;
    });
}

/// An answer and its deadline in the same poll give one final answer, whichever it is, and leave other RPCs' timers alone.
#[test]
fn answer_racing_the_deadline_gives_one_final_answer() {
    run(async {
        let go = Rc::new(Notify::new());
        let up = notified_upstream(Rc::clone(&go)).await;
        let b = balancer_at(&[up], &[("\"max-transmissions\":3", "\"max-transmissions\":1")]).await;
        for n in 0..20 {
            let mut caller = send(b.address, post_rpc("").replace("Ms: 4000", "Ms: 30")).await;
            wait_until(|| b.dispatcher.metrics().attempts == n + 1).await;
            // The answer arrives and the deadline passes while this thread is blocked.
            go.notify_one();
            tokio::task::yield_now().await;
            std::thread::sleep(Duration::from_millis(35));
            let last = read_message(&mut caller).await.expect("read the answer");
            assert!([200, 502].contains(&last.status()), "{}", last.head);
            drop(caller);
            until_no_state_left(&b).await;
        }
    });
}

// ------------------------------------------------------------------------------------------- shutdown

/// Guards against closing, as if idle, the connection of a caller that has connected and not written yet.
#[test]
fn new_connection_is_served_during_shutdown() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let mut new = connect(b.address).await;
        wait_until(|| b.server.connections() == 1).await;
        let server = b.server.clone();
        let end = actix_rt::spawn(async move { server.shut_down().await });
        wait_until(|| b.server.listener().is_none()).await;
        new.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
        assert_eq!(read_message(&mut new).await.expect("read the answer").status(), 200);
        drop(new);
        end.await.expect("task completes");
        // A connection without an RPC is not waited for.
        assert_eq!(b.server.connections(), 0);
    });
}

/// Guards against losing callers that are in the kernel's accept queue when the listener closes.
#[test]
fn callers_in_accept_queue_at_shutdown_are_answered() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        // The balancer's task is not polled from here until its shutdown has begun.
        let mut waiting = Vec::new();
        for _ in 0..50 {
            let mut caller = std::net::TcpStream::connect(b.address).expect("connect to the balancer");
            caller.write_all(rpc_head("GET", "/look", "").as_bytes()).expect("write to the socket");
            waiting.push(caller);
        }
        let server = b.server.clone();
        let end = actix_rt::spawn(async move { server.shut_down().await });
        for caller in waiting {
            caller.set_nonblocking(true).expect("set non-blocking mode");
            let mut caller = TcpStream::from_std(caller).expect("convert the stream");
            assert_eq!(read_message(&mut caller).await.expect("read the answer").status(), 200);
        }
        end.await.expect("task completes");
        until_no_state_left(&b).await;
    });
}

/// Guards against an RPC whose last byte arrives after the open RPCs were ended: the kill that follows would cut it off.
#[test]
fn rpc_completed_after_shutdown_answers_is_exhausted() {
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let b = balancer(&[&up], &[]).await;
        let message = post_rpc("").replace("Ms: 4000", "Ms: 90000");
        let (first, rest) = message.split_at(40);
        let mut slow = send(b.address, first).await;
        wait_until(|| b.server.connections() == 1).await;
        b.dispatcher.update_phase(|phase, now| phase.shut_down(now - 90_000));
        b.dispatcher.fail_all();
        slow.write_all(rest.as_bytes()).await.expect("write to the socket");
        let last = read_message(&mut slow).await.expect("read the answer");
        assert_eq!((last.status(), last.header("connection")), (503, Some("close")));
        assert!(up.received.borrow().is_empty());
        until_no_state_left(&b).await;
    });
}

// ------------------------------------------------------------------------------------------- evictions

/// Guards against evicting a caller for a late message whose last byte has already arrived.
#[test]
fn message_completed_before_the_sweep_is_not_evicted() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let message = rpc_head("GET", "/look", "");
        let mut caller = connect(b.address).await;
        caller.write_all(&message.as_bytes()[..40]).await.expect("write to the socket");
        wait_until(|| b.server.connections() == 1).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        // Blocks this thread until the message's time limit has passed; the rest arrives meanwhile.
        std::thread::sleep(Duration::from_millis(2700));
        assert_eq!(
            caller.try_write(&message.as_bytes()[40..]).expect("write to the socket"),
            message.len() - 40
        );
        b.server.sweep(false);
        assert_eq!(read_message(&mut caller).await.expect("read the answer").status(), 200);
        // A message that is never completed gets 408.
        caller.write_all(&message.as_bytes()[..40]).await.expect("write to the socket");
        assert_eq!(read_message(&mut caller).await.expect("read the answer").status(), 408);
        until_no_state_left(&b).await;
    });
}

/// Guards against evicting an idle caller in the same poll in which its next RPC arrives.
#[test]
fn caller_evicted_as_its_next_rpc_arrives_is_answered() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[("\"sockets\":1024", "\"sockets\":64")]).await;
        let mut kept = connect(b.address).await;
        for _ in 0..10 {
            kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("write to the socket");
            assert_eq!(read_message(&mut kept).await.expect("read the answer").status(), 200);
            wait_until(|| b.dispatcher.open.borrow().is_empty()).await;
            let next = rpc_head("GET", "/look", "");
            assert_eq!(kept.try_write(next.as_bytes()).expect("write to the socket"), next.len());
            // In the same poll, the connection limit shrinks.
            b.server.set_max_connections(0);
            b.server.set_max_connections(10);
            assert_eq!(read_message(&mut kept).await.expect("read the answer").status(), 200);
            kept = connect(b.address).await;
        }
        until_no_state_left(&b).await;
    });
}

// ------------------------------------------------------------------------------------------------ bad input

/// Guards against malformed input that leaves state behind, cut off at any byte, during a drain and after a resume.
#[test]
fn malformed_input_leaves_no_state() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let two_lengths = "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        let bad = [
            "\0\u{1}\u{2}\r\n\r\n".to_owned(),
            "GET /look HTTP/1.1\r\nno header\r\n\r\n".to_owned(),
            two_lengths.to_owned(),
            post_rpc("").replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: soon"),
            rpc_head("POST", "/pay", "Content-Length: -1\r\n"),
        ];
        for (n, text) in bad.iter().enumerate() {
            match n % 3 {
                1 => drop(b.dispatcher.update_phase(|phase, now| phase.drain(now))),
                2 => drop(b.dispatcher.update_phase(|phase, _| phase.resume())),
                _ => {}
            }
            let mut waiting = Vec::new();
            for cut in (1..=text.len()).step_by(5).chain([text.len()]) {
                waiting.push(send(b.address, &text[..cut]).await);
            }
            let mut last = waiting.pop().expect("complete message");
            if let Some(answer) = read_message(&mut last).await {
                assert!((400..500).contains(&answer.status()), "{}", answer.head);
            }
            drop(waiting);
        }
        wait_until(|| b.server.connections() == 0).await;
        until_no_state_left(&b).await;
        assert!(up.received.borrow().is_empty());
    });
}
