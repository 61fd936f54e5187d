//! A balancer must learn a change within six seconds after discovery has it and can be reached, whatever happens to the calls
//! in between. Each test forces one of the longest chains of such calls, starting when the change is available.

mod common;

use common::{instance_config, list_entry, run, wait_until};
use fernroute_server::program::serve::{self, RunningInstance};
use fernroute_test_support::http::{response, Connection, Message};
use fernroute_test_support::stub::{FullBacklog, Reply};
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

const LEARN_LIMIT: Duration = Duration::from_secs(6);

/// The limit after SIGHUP has changed the discovery address.
const LEARN_LIMIT_AFTER_RELOAD: Duration = Duration::from_secs(4);

/// How discovery handles one call.
enum Action {
    Send(String),
    /// Sends the list in many pieces, spread over this time.
    SendSlowly(String, Duration),
    /// Sends an answer that never ends.
    SendForever,
    /// Sends header bytes until the flag is set, then the list.
    SendOnceSet(Rc<Cell<bool>>, String),
    /// Sends these bytes and nothing more.
    Stall(&'static str),
    Silence,
    /// Never answers, on this or any other existing connection.
    KillConnections,
    Refuse,
}

/// A scripted discovery server that records each call and its time.
struct Discovery {
    address: SocketAddr,
    calls: RefCell<Vec<(Instant, Message)>>,
    connections: Cell<usize>,
    /// The number of connections, counted from the first, that are never answered.
    dead: Cell<usize>,
}

impl Discovery {
    async fn start(script: impl Fn(usize, &Message) -> Action + 'static) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
        let address = listener.local_addr().expect("local address");
        let discovery = Rc::new(Discovery {
            address,
            calls: RefCell::default(),
            connections: Cell::new(0),
            dead: Cell::new(0),
        });
        let (serving, script) = (Rc::clone(&discovery), Rc::new(script));
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (discovery, script) = (Rc::clone(&serving), Rc::clone(&script));
                let number = discovery.connections.replace(discovery.connections.get() + 1);
                spawn_local(async move {
                    let mut peer = Connection::new(stream);
                    while let Ok(Some(message)) = peer.read().await {
                        let n = discovery.calls.borrow().len();
                        // A balancer that has the change gets no further answer.
                        let has_all = message.target.contains("index=9&");
                        let action = match number < discovery.dead.get() || has_all {
                            true => Action::Silence,
                            false => script(n, &message),
                        };
                        if matches!(action, Action::KillConnections) {
                            discovery.dead.set(discovery.connections.get());
                        }
                        discovery.calls.borrow_mut().push((Instant::now(), message));
                        if action.perform(&mut peer).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        discovery
    }

    fn count(&self) -> usize {
        self.calls.borrow().len()
    }

    async fn until_called(&self, times: usize) -> Instant {
        wait_until(|| self.count() >= times).await;
        self.calls.borrow()[times - 1].0
    }
}

impl Action {
    async fn perform(self, peer: &mut Connection) -> std::io::Result<()> {
        match self {
            Action::Send(list) => peer.write(&response(200, "", &list)).await,
            Action::SendSlowly(list, over) => {
                let bytes = response(200, "", &list);
                // Paced by absolute times, so that delays of a busy machine do not add up.
                let (begun, pieces) = (Instant::now(), bytes.chunks(5));
                let step = over / pieces.len() as u32;
                for (n, piece) in (1..).zip(pieces) {
                    peer.write(piece).await?;
                    sleep_until((begun + step * n).into()).await;
                }
                Ok(())
            }
            Action::SendForever => {
                peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n{\"version\":9,").await?;
                loop {
                    peer.write(b" ").await?;
                    sleep(Duration::from_millis(100)).await;
                }
            }
            Action::SendOnceSet(flag, list) => {
                peer.write(b"HTTP/1.1 200 OK\r\nX-More: ").await?;
                while !flag.get() {
                    peer.write(b"a").await?;
                    sleep(Duration::from_millis(20)).await;
                }
                let rest = format!("\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                peer.write(rest.as_bytes()).await
            }
            Action::Stall(bytes) => peer.write(bytes.as_bytes()).await,
            Action::Silence | Action::KillConnections => Ok(()),
            Action::Refuse => peer.write(&response(503, "", "")).await,
        }
    }
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn full_list(version: u64, entries: &str) -> String {
    format!(r#"{{"version":{version},"full":true,"servers":[{entries}]}}"#)
}

/// The list that is known at first.
fn initial_list() -> String {
    full_list(8, &list_entry("s-0", unused_address(), "z", "SERVING"))
}

/// The list with the change: another upstream replaces the first one.
fn changed_list() -> String {
    full_list(9, &list_entry("s-9", unused_address(), "z", "SERVING"))
}

fn is_applied(b: &RunningInstance) -> bool {
    let upstreams = b.dispatcher.upstreams.borrow();
    upstreams.contains_key("s-9") && !upstreams.contains_key("s-0")
}

/// A balancer that knows one unused upstream. It polls discovery if `asks_within` gives the time within which it must have
/// asked, and watches the list otherwise.
async fn balancer(discovery: SocketAddr, asks_within: Option<u32>) -> RunningInstance {
    let must = asks_within.map(|s| format!("\"must-ask-in-s\":{s},\"cold-from\""));
    let changes: Vec<(&str, &str)> = match &must {
        Some(must) => vec![
            ("\"membership-mode\":\"automatic\"", "\"membership-mode\":\"subscribe\""),
            ("\"cold-from\"", must),
        ],
        None => Vec::new(),
    };
    serve::start(instance_config(&[unused_address()], discovery, &changes)).await.expect("start the balancer")
}

/// Waits until `condition` holds, and checks that this took less than `limit` since `from`.
async fn holds_within(from: Instant, limit: Duration, condition: impl Fn() -> bool) {
    wait_until(&condition).await;
    println!("{:?} {:?}", std::thread::current().name().unwrap_or_default(), from.elapsed());
    assert!(from.elapsed() < limit, "{:?}", from.elapsed());
}

/// Guards against restarting the confirmation of a doubtful list whenever the call in between gets no answer: an empty list that
/// was sent again and again was never applied.
#[test]
fn silent_watch_then_unconfirmed_list_stays_within_the_limit() {
    run(async {
        let discovery = Discovery::start(|n, _| match n {
            0 => Action::Send(initial_list()),
            n if n % 2 == 0 => Action::Send(full_list(9, "")),
            _ => Action::Silence,
        })
        .await;
        let b = balancer(discovery.address, None).await;
        let from = discovery.until_called(2).await;
        assert!(b.dispatcher.is_ready());
        holds_within(from, LEARN_LIMIT, || !b.dispatcher.is_ready()).await;
    });
}

/// Guards against a change that waits until a slow list, begun before the change, has been read to its end.
#[test]
fn change_during_a_slow_list_is_learned_through_another_slow_list() {
    run(async {
        let discovery = Discovery::start(|n, _| match n {
            0 => Action::Send(initial_list()),
            1 => Action::SendSlowly(initial_list(), Duration::from_millis(3600)),
            _ => Action::SendSlowly(changed_list(), Duration::from_millis(2900)),
        })
        .await;
        let b = balancer(discovery.address, None).await;
        let from = discovery.until_called(2).await;
        holds_within(from, LEARN_LIMIT, || is_applied(&b)).await;
    });
}

/// Guards against endless lists that occupy all concurrent calls.
#[test]
fn endless_lists_are_not_waited_for() {
    run(async {
        let discovery = Discovery::start(|n, _| match n {
            0 => Action::Send(initial_list()),
            1..=3 => Action::SendForever,
            _ => Action::Send(changed_list()),
        })
        .await;
        let b = balancer(discovery.address, None).await;
        let from = discovery.until_called(4).await;
        holds_within(from, LEARN_LIMIT, || is_applied(&b)).await;
        // At most three calls run at once; then follow one more call and the next watch.
        assert!(discovery.count() <= 6, "{}", discovery.count());
    });
}

/// Guards against waiting for a stalled list as long as for a silent watch.
#[test]
fn silent_watch_then_stalled_list_stays_within_the_limit() {
    run(async {
        let discovery = Discovery::start(|n, _| match n {
            0 => Action::Send(initial_list()),
            1 => Action::Silence,
            2 => Action::Stall("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":9,"),
            _ => Action::Send(changed_list()),
        })
        .await;
        let b = balancer(discovery.address, None).await;
        let from = discovery.until_called(2).await;
        holds_within(from, LEARN_LIMIT, || is_applied(&b)).await;
    });
}

/// Guards against trying one dead kept connection after another: connections accepted earlier are silent, and a new one is
/// answered at once.
#[test]
fn dead_kept_connections_cost_one_call() {
    run(async {
        // A slow list has a second call beside it, and both complete, which leaves two connections.
        let (two, done) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let (both_seen, applied) = (Rc::clone(&two), Rc::clone(&done));
        let discovery = Discovery::start(move |n, _| match n {
            0 => Action::SendOnceSet(Rc::clone(&both_seen), initial_list()),
            1 => Action::SendOnceSet(Rc::clone(&applied), initial_list()),
            2 => Action::KillConnections,
            _ => Action::Send(changed_list()),
        })
        .await;
        let b = balancer(discovery.address, None).await;
        discovery.until_called(2).await;
        two.set(true);
        wait_until(|| b.dispatcher.list_version.get() == Some(8)).await;
        done.set(true);
        let from = discovery.until_called(3).await;
        assert!(discovery.dead.get() >= 2);
        holds_within(from, LEARN_LIMIT, || is_applied(&b)).await;
        // The call after the silent one, and possibly the next watch.
        assert!(discovery.count() <= 5, "{}", discovery.count());
    });
}

/// Guards against calls during an outage that wait as long as a watch does: a call that checks whether discovery is back is short.
#[test]
fn silent_calls_after_an_outage_time_out_soon() {
    run(async {
        let discovery = Discovery::start(|n, _| match n {
            0..=3 => Action::Silence,
            _ => Action::Send(changed_list()),
        })
        .await;
        let b = balancer(discovery.address, None).await;
        // The change becomes available while two silent calls are still to come.
        let from = discovery.until_called(2).await;
        holds_within(from, LEARN_LIMIT, || is_applied(&b)).await;
        // Unavailable discovery is not called continuously either.
        let calls: Vec<Instant> = discovery.calls.borrow().iter().map(|(at, _)| *at).collect();
        assert!(calls[..5].windows(2).all(|pair| pair[1] - pair[0] > Duration::from_millis(750)));
    });
}

/// Guards against pauses that grow with each failure of an outage, up to four seconds each for a balancer that must have asked
/// within ten seconds.
#[test]
fn pauses_after_failed_polls_stay_within_the_limit() {
    run(async {
        let silent = Discovery::start(|n, _| match n {
            0 => Action::Send(initial_list()),
            1 => Action::Silence,
            2 => Action::Refuse,
            _ => Action::Send(changed_list()),
        })
        .await;
        // A long outage: calls are refused until the change is available, and once more.
        let away =
            Discovery::start(|n, _| if n < 4 { Action::Refuse } else { Action::Send(changed_list()) }).await;
        let (one, two) = (balancer(silent.address, Some(10)).await, balancer(away.address, Some(20)).await);
        let first = async {
            let from = silent.until_called(2).await;
            holds_within(from, LEARN_LIMIT, || is_applied(&one)).await;
        };
        let second = async {
            let from = away.until_called(3).await;
            holds_within(from, LEARN_LIMIT, || is_applied(&two)).await;
        };
        futures_util::future::join(first, second).await;
    });
}

/// Guards against a change of discovery that waits for the old one or for the next decided call, with both silent at first and in
/// both membership modes.
#[test]
fn discovery_changed_by_reload_is_used_within_four_seconds() {
    run(async {
        let old = || async { Discovery::start(|_, _| Action::Silence).await };
        // Silent, then an empty list that needs confirmation, then silent again.
        let new = || async {
            Discovery::start(|n, _| match n % 2 {
                0 => Action::Silence,
                _ => Action::Send(full_list(3, "")),
            })
            .await
        };
        let mut all = Vec::new();
        for asks in [None, Some(10)] {
            let (old, new) = (old().await, new().await);
            let b = balancer(old.address, asks).await;
            old.until_called(2).await;
            all.push((b, new));
        }
        let from = Instant::now();
        all.iter().for_each(|(b, new)| b.set_discovery(new.address));
        holds_within(from, LEARN_LIMIT_AFTER_RELOAD, || all.iter().all(|(b, _)| !b.dispatcher.is_ready()))
            .await;
    });
}

/// Guards against relying on TCP's first SYN retransmission, which comes after a second, when the call is given up earlier.
#[test]
fn second_connection_is_tried_beside_a_pending_one() {
    run(async {
        let one = || async {
            let (full, old) = (
                FullBacklog::new().await.expect("fill the accept queue"),
                Discovery::start(|_, _| Action::Silence).await,
            );
            let b = balancer(old.address, None).await;
            old.until_called(1).await;
            let from = Instant::now();
            b.set_discovery(full.address);
            sleep(Duration::from_millis(100)).await;
            let there = full.release(|_, _| Reply::Send(response(200, "", &changed_list())));
            wait_until(|| is_applied(&b)).await;
            assert!(there.connections.get() > 0);
            from.elapsed()
        };
        let took = join_all((0..4).map(|_| one())).await;
        // The shortest one counts, since a busy machine may delay any of them.
        assert!(took.iter().min().is_some_and(|took| *took < Duration::from_millis(900)), "{took:?}");
    });
}

/// Guards against a doubtful list that is, when the confirmation call fails, learned only at the
/// next decided call.
#[test]
fn failed_confirmation_call_is_retried_at_once() {
    run(async {
        let one = || async {
            let discovery = Discovery::start(|n, _| match n {
                0 => Action::Send(initial_list()),
                1 => Action::Send(full_list(9, "")),
                _ => Action::Refuse,
            })
            .await;
            // Decided pauses are at least 0.6 s long.
            let _b = balancer(discovery.address, Some(30)).await;
            let refused = discovery.until_called(3).await;
            let again = discovery.until_called(4).await;
            // Later calls follow the decided times.
            let then = discovery.until_called(5).await;
            assert!(then - again > Duration::from_millis(500), "{:?}", then - again);
            again - refused
        };
        let took = join_all((0..4).map(|_| one())).await;
        assert!(took.iter().min().is_some_and(|took| *took < Duration::from_millis(500)), "{took:?}");
    });
}
