//! What ends, and what may still be owed at that instant: each crossing is forced, in both orders where there are two.
//! The table of them is `docs/endings.md`.

mod common;

use common::{
    balancer, balancer_at, connect, id_of, list, list_entry, ok, read_message, request, rested, rpc_head,
    run, send, send_and_read, start_stub, wait_until, Reply,
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

/// Connections may take their time, and what may have run is not called off.
const LATE: [(&str, &str); 2] = [
    (r#""cancel":true"#, r#""cancel":false"#),
    (r#""connect-timeout-s":0.25"#, r#""connect-timeout-s":5.0"#),
];

/// Nothing is left of what the crossing was about.
async fn nothing_left(b: &RunningInstance) {
    wait_until(|| b.board.open.borrow().is_empty()).await;
    assert_eq!(b.board.metrics().outstanding, 0);
    wait_until(|| b.board.timers.count() == 0).await;
}

fn out(b: &RunningInstance) -> usize {
    b.board.open.borrow().values().map(|rpc| rpc.attempts.len()).sum()
}

fn post(more: &str) -> String {
    rpc_head("POST", "/pay", &format!("Content-Length: 0\r\n{more}"))
}

// ---------------------------------------------------------------------------------------- a caller leaves

/// Guards against an RPC that nobody waits for, sent on when its connection comes up at last. Where the settings bar
/// calling off, that bars it for what may have run, not for what was never written.
#[test]
fn who_leaves_before_the_connection_is_up_has_nothing_sent_on() {
    for resets in [false, true] {
        run(async move {
            let held = FullBacklog::new().await.expect("a full queue");
            let b = balancer_at(&[held.address], &LATE).await;
            let caller = send(b.address, post("")).await;
            wait_until(|| out(&b) == 1).await;
            if resets {
                caller.set_zero_linger().expect("it may");
            }
            drop(caller);
            wait_until(|| b.board.metrics().outstanding == 0).await;
            let up = held.release(|_, _| ok("whole"));
            // Past the second after which its machine would have tried again.
            tokio::time::sleep(Duration::from_millis(1300)).await;
            assert!(up.received.borrow().is_empty());
            nothing_left(&b).await;
            // And the upstream is none the worse for it.
            assert_eq!(send_and_read(b.address, post("")).await.status(), 200);
        });
    }
}

/// The other order: all of it is written, and what may have run is not called off where the settings bar that.
#[test]
fn who_leaves_after_the_last_byte_has_it_called_off_only_where_that_is_allowed() {
    for allowed in [false, true] {
        run(async move {
            let up = start_stub(|_, _| Reply::NoReply).await;
            let b = balancer(&[&up], if allowed { &[] } else { &LATE[..1] }).await;
            let caller = send(b.address, rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 700")).await;
            wait_until(|| up.received.borrow().len() == 1).await;
            drop(caller);
            wait_until(|| b.board.metrics().outstanding == 0).await;
            assert!(allowed || up.closed.get() == 0);
            // Called off, or once its time is up.
            wait_until(|| up.closed.get() == 1).await;
            nothing_left(&b).await;
            assert_eq!(up.received.borrow().len(), 1);
        });
    }
}

/// Guards against a burst of callers that come and go while this balancer is busy elsewhere: their RPCs and their ends
/// lie in the sockets together.
#[test]
fn who_left_before_it_was_accepted_has_nothing_sent_on() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        // A kept connection is there to send on at once.
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        rested().await;
        b.server.set_accepting(false);
        wait_until(|| b.server.connections() == 0).await;
        for n in 0..40 {
            let mut caller = connect(b.address).await;
            let body = "x".repeat(if n % 4 == 3 { 40_000 } else { 3 });
            let post = rpc_head("POST", &format!("/pay?{n}"), &format!("Content-Length: {}\r\n", body.len()))
                + &body;
            let whole = if n % 4 == 0 { rpc_head("GET", &format!("/look?{n}"), "") } else { post };
            caller.write_all(whole.as_bytes()).await.expect("the machine takes it");
            if n % 2 == 0 {
                caller.set_zero_linger().expect("it may");
            }
        }
        b.server.set_accepting(true);
        let marked = send_and_read(b.address, rpc_head("GET", "/look", "")).await;
        assert_eq!(marked.status(), 200);
        wait_until(|| b.server.connections() == 0).await;
        nothing_left(&b).await;
        let seen: Vec<String> = up.received.borrow().iter().map(|m| m.target.clone()).collect();
        assert_eq!(seen.len(), 2, "of the forty none was sent on: {seen:?}");
    });
}

/// A half or a pipelined message behind an RPC changes nothing: with its connection its caller has left.
#[test]
fn who_leaves_with_more_behind_ends_its_rpc_all_the_same() {
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let b = balancer(&[&up], &[]).await;
        let long = rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 90000");
        for behind in [String::new(), "GET /lo".to_owned(), rpc_head("GET", "/look", ""), "x".repeat(20_000)]
        {
            let seen = up.received.borrow().len();
            let mut caller = send(b.address, &long).await;
            wait_until(|| up.received.borrow().len() == seen + 1).await;
            caller.write_all(behind.as_bytes()).await.expect("the machine takes it");
            drop(caller);
            nothing_left(&b).await;
            wait_until(|| up.closed.get() == seen + 1).await;
            assert_eq!(up.received.borrow().len(), seen + 1);
        }
    });
}

/// With its head or its body half in it asked for nothing, wherever it is cut.
#[test]
fn who_leaves_with_half_a_message_asked_for_nothing() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let whole = rpc_head("POST", "/pay", "Content-Length: 20\r\n") + "01234567890123456789";
        for cut in (0..whole.len()).step_by(3) {
            drop(send(b.address, &whole[..cut]).await);
        }
        wait_until(|| b.server.connections() == 0).await;
        nothing_left(&b).await;
        assert!(up.received.borrow().is_empty());
        assert_eq!(send_and_read(b.address, whole).await.status(), 200);
    });
}

/// Between two transmissions, or for want of any upstream that may be used now, an RPC waits here alone.
#[test]
fn who_leaves_while_its_rpc_is_held_has_nothing_sent_on() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer_at(&[], &[]).await;
        let caller = send(b.address, rpc_head("GET", "/look", "")).await;
        wait_until(|| b.board.open.borrow().len() == 1).await;
        drop(caller);
        wait_until(|| b.board.open.borrow().is_empty()).await;
        b.board.apply_list(&list(8, true, &[list_entry("s-0", up.address, "z", "SERVING")]), true);
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.status(), 200);
        nothing_left(&b).await;
        assert_eq!(up.received.borrow().len(), 1);
    });
}

// ------------------------------------------------------------------------- a connection to an upstream ends

/// Guards against a send past the grace: an RPC that was routed before its upstream was told to drain, gone, or started
/// anew, begins nowhere once that is known, and goes elsewhere at once.
#[test]
fn what_has_not_begun_does_not_begin_at_an_upstream_that_left() {
    for state in ["DRAINING", "DELETED", "elsewhere", "not named"] {
        run(async move {
            let held = FullBacklog::new().await.expect("a full queue");
            let other = start_stub(|_, _| ok("whole")).await;
            let b = balancer_at(&[held.address], &LATE).await;
            let mut caller = send(b.address, post("")).await;
            wait_until(|| out(&b) == 1).await;
            let from = Instant::now();
            let mut entries = vec![list_entry("s-1", other.address, "z", "SERVING")];
            match state {
                "elsewhere" => entries.push(list_entry("s-0", other.address, "z", "SERVING")),
                "not named" => {}
                state => entries.push(list_entry("s-0", held.address, "z", state)),
            }
            b.board.apply_list(&list(8, state == "not named", &entries), true);
            let answer = read_message(&mut caller).await.expect("an answer");
            assert_eq!((answer.status(), answer.body), (200, b"whole".to_vec()), "{state}");
            // Its machine tries to connect again after a second: that was not waited for.
            assert!(from.elapsed() < Duration::from_millis(900), "{state} {:?}", from.elapsed());
            nothing_left(&b).await;
            let up = held.release(|_, _| ok("late"));
            tokio::time::sleep(Duration::from_millis(1300)).await;
            assert!(up.received.borrow().is_empty() && other.received.borrow().len() == 1, "{state}");
        });
    }
}

/// The same in one turn: routed, and told to drain before the transmission's own task had its first.
#[test]
fn a_drain_in_the_turn_of_the_send_comes_first() {
    run(async {
        let (one, two) = (start_stub(|_, _| ok("one")).await, start_stub(|_, _| ok("two")).await);
        let b = balancer(&[&one], &[]).await;
        // A kept connection would be written to at once.
        assert_eq!(send_and_read(b.address, rpc_head("GET", "/look", "")).await.body, b"one");
        rested().await;
        let mut asked = pin!(b.board.admit(request(&b, "turn", "look", "4000"), None));
        assert!(asked.as_mut().now_or_never().is_none() && out(&b) == 1);
        let entries =
            [list_entry("s-0", one.address, "z", "DRAINING"), list_entry("s-1", two.address, "z", "SERVING")];
        b.board.apply_list(&list(8, false, &entries), true);
        let Ok(FinalAnswer::Completed(last)) = asked.await else { panic!("it is served") };
        assert_eq!((&last.body[..], one.received.borrow().len()), (&b"two"[..], 1));
        nothing_left(&b).await;
    });
}

/// What has begun is waited for: its upstream finishes what it has.
#[test]
fn what_has_begun_at_an_upstream_that_drains_is_waited_for() {
    run(async {
        let go = Rc::new(Notify::new());
        let up = commanded(Rc::clone(&go)).await;
        let b = balancer_at(&[up], &[]).await;
        let mut caller = send(b.address, post("")).await;
        wait_until(|| b.board.metrics().attempts == 1).await;
        b.board.apply_list(&list(8, false, &[list_entry("s-0", up, "z", "DRAINING")]), true);
        go.notify_one();
        assert_eq!(read_message(&mut caller).await.expect("an answer").status(), 200);
        nothing_left(&b).await;
    });
}

/// Answers each RPC once it is told to.
async fn commanded(go: Rc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
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

/// Guards against a second answer, or noise, that comes some milliseconds late: on a connection that stands idle it is
/// seen, and on one that was just taken for the next RPC it would be that one's answer. So none is taken at once.
#[test]
fn a_second_answer_that_comes_late_is_nobodys() {
    run(async {
        // Connections as they came; what each is sent late is written when the next RPC has come, whichever way.
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let first: Rc<RefCell<Option<Rc<RefCell<Connection>>>>> = Rc::default();
        let (answered, soon) = (Rc::new(Cell::new(Instant::now())), Rc::new(Cell::new(0)));
        let (kept, when, counted) = (Rc::clone(&first), Rc::clone(&answered), Rc::clone(&soon));
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (kept, when, counted) = (Rc::clone(&kept), Rc::clone(&when), Rc::clone(&counted));
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
                        let late = kept.borrow_mut().take();
                        if let Some(late) = late {
                            // The one before has its second answer now.
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
                            kept.borrow_mut().replace(Rc::clone(&peer));
                        }
                    }
                });
            }
        });
        let b = balancer_at(&[address], &[]).await;
        let mut caller = connect(b.address).await;
        // A busy machine may be too slow to cross: until it did often enough.
        while soon.get() < 20 {
            for _ in 0..2 {
                let bytes = rpc_head("GET", "/look", "");
                caller.write_all(bytes.as_bytes()).await.expect("it reads");
                let last = read_message(&mut caller).await.expect("an answer");
                assert_eq!((last.status(), last.body), (200, id_of(&bytes).as_bytes().to_vec()));
            }
            rested().await;
        }
        nothing_left(&b).await;
    });
}

/// Guards against cutting off what the upstream still gives, past the hard deadline too: whoever takes it may be slow. One
/// without an end goes on until its caller leaves, and no longer.
#[test]
fn an_answer_that_is_still_given_is_not_cut_off_and_ends_with_its_caller() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let gone = Rc::new(Cell::new(false));
        let told = Rc::clone(&gone);
        tokio::task::spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut peer = Connection::new(stream);
            peer.read().await.expect("an RPC");
            let _ = peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
            while peer.write(b"1\r\nx\r\n").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            told.set(true);
        });
        let b = balancer_at(&[address], &[]).await;
        let from = Instant::now();
        let mut caller = send(b.address, rpc_head("GET", "/look", "").replace("Ms: 4000", "Ms: 1500")).await;
        let mut heard = Vec::new();
        while from.elapsed() < Duration::from_millis(2500) {
            assert!(caller.read_buf(&mut heard).await.expect("it goes on") > 0, "{heard:?}");
        }
        assert!(heard.starts_with(b"HTTP/1.1 200") && !gone.get());
        drop(caller);
        wait_until(|| gone.get()).await;
        nothing_left(&b).await;
    });
}

/// Guards against an idle connection that the other side closes in the instant of its use: what can be told to have
/// closed is passed over, and what can't is the outcome of an RPC that may have run.
#[test]
fn an_idle_connection_that_closes_costs_no_rpc_where_that_can_be_told() {
    run(async {
        let up = start_stub(|n, _| match n % 2 {
            0 => Reply::SendAndClose(response(200, "", "and it closes")),
            _ => ok("whole"),
        });
        let up = up.await;
        let b = balancer(&[&up], &[]).await;
        for n in 0..20 {
            rested().await;
            wait_until(|| up.closed.get() >= n / 2).await;
            let verb = if n % 3 == 0 { rpc_head("GET", "/look", "") } else { post("") };
            assert_eq!(send_and_read(b.address, verb).await.status(), 200, "{n}");
        }
        assert_eq!(up.received.borrow().len(), 20);
        nothing_left(&b).await;
    });
}

// --------------------------------------------------------------------------------------------- timers and ids

/// Guards against an id that is used again the moment its RPC has ended, while the old one's transmission is still to
/// be booked: the new RPC would get its outcome, and the upstream's count of what is out never come back.
#[test]
fn an_id_used_again_at_once_gets_nothing_of_the_old_ones() {
    run(async {
        let up = start_stub(|n, _| if n == 0 { Reply::NoReply } else { ok("whole") }).await;
        let b = balancer(&[&up], &[]).await;
        {
            let mut asked = Box::pin(b.board.admit(request(&b, "twice", "look", "4000"), None));
            assert!(asked.as_mut().now_or_never().is_none());
            wait_until(|| up.received.borrow().len() == 1).await;
            drop(asked);
        }
        // In the same turn: nothing else has run since.
        let again = b.board.admit(request(&b, "twice", "look", "4000"), None).await;
        assert!(again.is_err(), "the old one is not booked yet");
        nothing_left(&b).await;
        let last = b.board.admit(request(&b, "twice", "look", "4000"), None).await;
        assert!(matches!(last, Ok(FinalAnswer::Completed(_))), "{last:?}");
        nothing_left(&b).await;
    });
}

/// The answer and the end of its time in one turn: one final answer, whichever it is, and no timer of another's.
#[test]
fn an_answer_and_the_end_of_its_time_make_one_final_answer() {
    run(async {
        let go = Rc::new(Notify::new());
        let up = commanded(Rc::clone(&go)).await;
        let b = balancer_at(&[up], &[("\"max-transmissions\":3", "\"max-transmissions\":1")]).await;
        for n in 0..20 {
            let mut caller = send(b.address, post("").replace("Ms: 4000", "Ms: 30")).await;
            wait_until(|| b.board.metrics().attempts == n + 1).await;
            // Both come due while nothing runs here.
            go.notify_one();
            tokio::task::yield_now().await;
            std::thread::sleep(Duration::from_millis(35));
            let last = read_message(&mut caller).await.expect("an answer");
            assert!([200, 502].contains(&last.status()), "{}", last.head);
            drop(caller);
            nothing_left(&b).await;
        }
    });
}

// ------------------------------------------------------------------------------------------- a process ends

/// Guards against a caller that has connected and not yet written: the end of an idle connection would cost it an answer.
#[test]
fn who_has_just_connected_is_heard_though_the_balancer_ends() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let mut new = connect(b.address).await;
        wait_until(|| b.server.connections() == 1).await;
        let server = b.server.clone();
        let end = actix_rt::spawn(async move { server.shut_down().await });
        wait_until(|| b.server.listener().is_none()).await;
        new.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("it reads");
        assert_eq!(read_message(&mut new).await.expect("an answer").status(), 200);
        drop(new);
        end.await.expect("it ends");
        // One that asks for nothing is not waited for.
        assert_eq!(b.server.connections(), 0);
    });
}

/// Guards against callers that the machine has accepted and nobody reads: they are in the queue as the listener closes.
#[test]
fn who_is_in_the_queue_as_it_closes_is_answered() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        // No turn of the balancer's from here on, until its end has begun.
        let mut waiting = Vec::new();
        for _ in 0..50 {
            let mut caller = std::net::TcpStream::connect(b.address).expect("the machine accepts");
            caller.write_all(rpc_head("GET", "/look", "").as_bytes()).expect("the machine takes it");
            waiting.push(caller);
        }
        let server = b.server.clone();
        let end = actix_rt::spawn(async move { server.shut_down().await });
        for caller in waiting {
            caller.set_nonblocking(true).expect("it does not block");
            let mut caller = TcpStream::from_std(caller).expect("a stream");
            assert_eq!(read_message(&mut caller).await.expect("an answer").status(), 200);
        }
        end.await.expect("it ends");
        nothing_left(&b).await;
    });
}

/// Guards against an RPC that comes whole after what was open has been ended: it would be cut off by the kill.
#[test]
fn what_comes_after_the_last_answers_is_exhausted_at_once() {
    run(async {
        let up = start_stub(|_, _| Reply::NoReply).await;
        let b = balancer(&[&up], &[]).await;
        let whole = post("").replace("Ms: 4000", "Ms: 90000");
        let (first, rest) = whole.split_at(40);
        let mut slow = send(b.address, first).await;
        wait_until(|| b.server.connections() == 1).await;
        b.board.update_phase(|phase, now| phase.shut_down(now - 90_000));
        b.board.fail_all();
        slow.write_all(rest.as_bytes()).await.expect("it reads");
        let last = read_message(&mut slow).await.expect("an answer");
        assert_eq!((last.status(), last.header("connection")), (503, Some("close")));
        assert!(up.received.borrow().is_empty());
        nothing_left(&b).await;
    });
}

// ------------------------------------------------------------------------------------------- own evictions

/// Guards against a message that is thrown away for being late though its last byte has come.
#[test]
fn half_a_message_whose_rest_has_come_by_now_is_no_half_message() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let whole = rpc_head("GET", "/look", "");
        let mut caller = connect(b.address).await;
        caller.write_all(&whole.as_bytes()[..40]).await.expect("it reads");
        wait_until(|| b.server.connections() == 1).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        // Nothing runs here until its time is up; the rest comes meanwhile.
        std::thread::sleep(Duration::from_millis(2700));
        assert_eq!(
            caller.try_write(&whole.as_bytes()[40..]).expect("the machine takes it"),
            whole.len() - 40
        );
        b.server.sweep(false);
        assert_eq!(read_message(&mut caller).await.expect("an answer").status(), 200);
        // And one whose rest does not come is told so.
        caller.write_all(&whole.as_bytes()[..40]).await.expect("it reads");
        assert_eq!(read_message(&mut caller).await.expect("an answer").status(), 408);
        nothing_left(&b).await;
    });
}

/// Guards against a kept caller that is sent away for its room in the turn in which its next RPC comes.
#[test]
fn who_is_sent_away_as_its_next_rpc_comes_is_answered() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[("\"sockets\":1024", "\"sockets\":64")]).await;
        let mut kept = connect(b.address).await;
        for _ in 0..10 {
            kept.write_all(rpc_head("GET", "/look", "").as_bytes()).await.expect("it reads");
            assert_eq!(read_message(&mut kept).await.expect("an answer").status(), 200);
            wait_until(|| b.board.open.borrow().is_empty()).await;
            let next = rpc_head("GET", "/look", "");
            assert_eq!(kept.try_write(next.as_bytes()).expect("the machine takes it"), next.len());
            // In the same turn its room is wanted.
            b.server.set_max_connections(0);
            b.server.set_max_connections(10);
            assert_eq!(read_message(&mut kept).await.expect("an answer").status(), 200);
            kept = connect(b.address).await;
        }
        nothing_left(&b).await;
    });
}

// ------------------------------------------------------------------------------------------------ bad input

/// Guards against what can't be read and leaves something behind: cut at any byte, in a drain and across new settings.
#[test]
fn what_cannot_be_read_leaves_nothing_behind() {
    run(async {
        let up = start_stub(|_, _| ok("whole")).await;
        let b = balancer(&[&up], &[]).await;
        let two = "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        let bad = [
            "\0\u{1}\u{2}\r\n\r\n".to_owned(),
            "GET /look HTTP/1.1\r\nno header\r\n\r\n".to_owned(),
            two.to_owned(),
            post("").replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: soon"),
            rpc_head("POST", "/pay", "Content-Length: -1\r\n"),
        ];
        for (n, text) in bad.iter().enumerate() {
            match n % 3 {
                1 => drop(b.board.update_phase(|phase, now| phase.drain(now))),
                2 => drop(b.board.update_phase(|phase, _| phase.resume())),
                _ => {}
            }
            let mut waiting = Vec::new();
            for cut in (1..=text.len()).step_by(5).chain([text.len()]) {
                waiting.push(send(b.address, &text[..cut]).await);
            }
            let mut last = waiting.pop().expect("the whole of it");
            if let Some(told) = read_message(&mut last).await {
                assert!((400..500).contains(&told.status()), "{}", told.head);
            }
            drop(waiting);
        }
        wait_until(|| b.server.connections() == 0).await;
        nothing_left(&b).await;
        assert!(up.received.borrow().is_empty());
    });
}
