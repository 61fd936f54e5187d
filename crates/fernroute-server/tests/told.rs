//! What discovery has counts as told six seconds after it had it and could be reached, whatever became of the
//! calls between. The longest chains of such calls are forced here, each from the moment at which the change
//! is there.

mod common;

use common::{list_entry, run, station, wait_until};
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

const TOLD: Duration = Duration::from_secs(6);

/// After SIGHUP it counts sooner.
const TOLD_MOVED: Duration = Duration::from_secs(4);

/// What discovery does with one call.
enum Does {
    Say(String),
    /// In many pieces, over this time.
    Trickle(String, Duration),
    /// Begins, and goes on for good.
    Drip,
    /// Begins, and goes on until this is so; then the list comes whole.
    Until(Rc<Cell<bool>>, String),
    /// Begins, and says nothing more.
    Stall(&'static str),
    Silence,
    /// Nothing, nor on any connection that is there, for good.
    Die,
    Refuse,
}

/// Discovery that does with each call as it is told, with what came when.
struct Agent {
    address: SocketAddr,
    calls: RefCell<Vec<(Instant, Message)>>,
    connections: Cell<usize>,
    /// So many of them, the first, are dead.
    dead: Cell<usize>,
}

impl Agent {
    async fn start(script: impl Fn(usize, &Message) -> Does + 'static) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let agent = Rc::new(Agent {
            address,
            calls: RefCell::default(),
            connections: Cell::new(0),
            dead: Cell::new(0),
        });
        let (serving, script) = (Rc::clone(&agent), Rc::new(script));
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (agent, script) = (Rc::clone(&serving), Rc::clone(&script));
                let number = agent.connections.replace(agent.connections.get() + 1);
                spawn_local(async move {
                    let mut peer = Connection::new(stream);
                    while let Ok(Some(message)) = peer.read().await {
                        let n = agent.calls.borrow().len();
                        // Whoever has the change hears nothing more.
                        let has_all = message.target.contains("index=9&");
                        let does = match number < agent.dead.get() || has_all {
                            true => Does::Silence,
                            false => script(n, &message),
                        };
                        if matches!(does, Does::Die) {
                            agent.dead.set(agent.connections.get());
                        }
                        agent.calls.borrow_mut().push((Instant::now(), message));
                        if does.on(&mut peer).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        agent
    }

    fn count(&self) -> usize {
        self.calls.borrow().len()
    }

    async fn until_called(&self, times: usize) -> Instant {
        wait_until(|| self.count() >= times).await;
        self.calls.borrow()[times - 1].0
    }
}

impl Does {
    async fn on(self, peer: &mut Connection) -> std::io::Result<()> {
        match self {
            Does::Say(list) => peer.write(&response(200, "", &list)).await,
            Does::Trickle(list, over) => {
                let bytes = response(200, "", &list);
                // By the clock: a busy machine doesn't add to each piece.
                let (begun, pieces) = (Instant::now(), bytes.chunks(5));
                let step = over / pieces.len() as u32;
                for (n, piece) in (1..).zip(pieces) {
                    peer.write(piece).await?;
                    sleep_until((begun + step * n).into()).await;
                }
                Ok(())
            }
            Does::Drip => {
                peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n{\"version\":9,").await?;
                loop {
                    peer.write(b" ").await?;
                    sleep(Duration::from_millis(100)).await;
                }
            }
            Does::Until(so, list) => {
                peer.write(b"HTTP/1.1 200 OK\r\nX-More: ").await?;
                while !so.get() {
                    peer.write(b"a").await?;
                    sleep(Duration::from_millis(20)).await;
                }
                let rest = format!("\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                peer.write(rest.as_bytes()).await
            }
            Does::Stall(begin) => peer.write(begin.as_bytes()).await,
            Does::Silence | Does::Die => Ok(()),
            Does::Refuse => peer.write(&response(503, "", "")).await,
        }
    }
}

fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn whole(version: u64, entries: &str) -> String {
    format!(r#"{{"version":{version},"full":true,"servers":[{entries}]}}"#)
}

/// What is known at first, and the change: in a list of its own it brings another upstream, and the first is
/// gone.
fn before() -> String {
    whole(8, &list_entry("s-0", nobody(), "z", "SERVING"))
}

fn change() -> String {
    whole(9, &list_entry("s-9", nobody(), "z", "SERVING"))
}

fn is_taken(b: &RunningInstance) -> bool {
    let lines = b.board.upstreams.borrow();
    lines.contains_key("s-9") && !lines.contains_key("s-0")
}

/// A balancer that knows the first list, and asks only where `within` is the time in which it has to.
async fn balancer(discovery: SocketAddr, asks_within: Option<u32>) -> RunningInstance {
    let must = asks_within.map(|s| format!("\"must-ask-in-s\":{s},\"cold-from\""));
    let changes: Vec<(&str, &str)> = match &must {
        Some(must) => vec![
            ("\"membership-mode\":\"automatic\"", "\"membership-mode\":\"subscribe\""),
            ("\"cold-from\"", must),
        ],
        None => Vec::new(),
    };
    serve::start(station(&[nobody()], discovery, &changes)).await.expect("it starts")
}

/// Waits until `what` is so, which has to be less than `within` after `from`.
async fn acts(from: Instant, within: Duration, what: impl Fn() -> bool) {
    wait_until(&what).await;
    println!("{:?} {:?}", std::thread::current().name().unwrap_or_default(), from.elapsed());
    assert!(from.elapsed() < within, "{:?}", from.elapsed());
}

/// Guards against a doubt that is raised anew each time the call between falls silent: a list that names
/// nobody, told again and again, was never believed.
#[test]
fn a_silent_watch_a_doubt_and_silence_after_it_sum_to_less() {
    run(async {
        let agent = Agent::start(|n, _| match n {
            0 => Does::Say(before()),
            n if n % 2 == 0 => Does::Say(whole(9, "")),
            _ => Does::Silence,
        })
        .await;
        let b = balancer(agent.address, None).await;
        let from = agent.until_called(2).await;
        assert!(b.board.is_ready());
        acts(from, TOLD, || !b.board.is_ready()).await;
    });
}

/// Guards against a list that is heard out while what changed as it began waits behind it.
#[test]
fn a_change_as_a_list_trickles_is_had_though_the_next_one_trickles_too() {
    run(async {
        let agent = Agent::start(|n, _| match n {
            0 => Does::Say(before()),
            1 => Does::Trickle(before(), Duration::from_millis(3600)),
            _ => Does::Trickle(change(), Duration::from_millis(2900)),
        })
        .await;
        let b = balancer(agent.address, None).await;
        let from = agent.until_called(2).await;
        acts(from, TOLD, || is_taken(&b)).await;
    });
}

/// Guards against lists without end that take all the places for calls.
#[test]
fn lists_that_never_end_are_not_waited_for() {
    run(async {
        let agent = Agent::start(|n, _| match n {
            0 => Does::Say(before()),
            1..=3 => Does::Drip,
            _ => Does::Say(change()),
        })
        .await;
        let b = balancer(agent.address, None).await;
        let from = agent.until_called(4).await;
        acts(from, TOLD, || is_taken(&b)).await;
        // Three at once are the most: there was one more, and the next watch.
        assert!(agent.count() <= 6, "{}", agent.count());
    });
}

/// Guards against a stall that is waited out as a silent watch is.
#[test]
fn a_silent_watch_and_a_list_that_stalls_sum_to_less() {
    run(async {
        let agent = Agent::start(|n, _| match n {
            0 => Does::Say(before()),
            1 => Does::Silence,
            2 => Does::Stall("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":9,"),
            _ => Does::Say(change()),
        })
        .await;
        let b = balancer(agent.address, None).await;
        let from = agent.until_called(2).await;
        acts(from, TOLD, || is_taken(&b)).await;
    });
}

/// Guards against calls on one kept connection after another to an agent that is no more: all that it
/// accepted before is silent, and a new one is answered at once.
#[test]
fn connections_that_have_all_fallen_silent_cost_one_call() {
    run(async {
        // A list that trickles has another call beside it, and both come whole: two connections are there.
        let (two, taken) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
        let (are_two, is_taken_in) = (Rc::clone(&two), Rc::clone(&taken));
        let agent = Agent::start(move |n, _| match n {
            0 => Does::Until(Rc::clone(&are_two), before()),
            1 => Does::Until(Rc::clone(&is_taken_in), before()),
            2 => Does::Die,
            _ => Does::Say(change()),
        })
        .await;
        let b = balancer(agent.address, None).await;
        agent.until_called(2).await;
        two.set(true);
        wait_until(|| b.board.list_version.get() == Some(8)).await;
        taken.set(true);
        let from = agent.until_called(3).await;
        assert!(agent.dead.get() >= 2);
        acts(from, TOLD, || is_taken(&b)).await;
        // The call behind the silent one, and perhaps the next watch.
        assert!(agent.count() <= 5, "{}", agent.count());
    });
}

/// Guards against an outage whose end is waited for as long as news are: calls that ask whether discovery is
/// back are short.
#[test]
fn after_an_outage_silent_calls_are_given_up_soon() {
    run(async {
        let agent = Agent::start(|n, _| match n {
            0..=3 => Does::Silence,
            _ => Does::Say(change()),
        })
        .await;
        let b = balancer(agent.address, None).await;
        // The change is there as two silent calls are still to come.
        let from = agent.until_called(2).await;
        acts(from, TOLD, || is_taken(&b)).await;
        // A discovery that is away is not asked all the time, either.
        let calls: Vec<Instant> = agent.calls.borrow().iter().map(|(at, _)| *at).collect();
        assert!(calls[..5].windows(2).all(|pair| pair[1] - pair[0] > Duration::from_millis(750)));
    });
}

/// Guards against pauses that grow with the failures of an outage, up to four seconds each where a balancer
/// must have asked within ten.
#[test]
fn where_it_must_ask_pauses_after_failures_sum_to_less() {
    run(async {
        let silent = Agent::start(|n, _| match n {
            0 => Does::Say(before()),
            1 => Does::Silence,
            2 => Does::Refuse,
            _ => Does::Say(change()),
        })
        .await;
        // Away for long: refused until then, and once more.
        let away = Agent::start(|n, _| if n < 4 { Does::Refuse } else { Does::Say(change()) }).await;
        let (one, two) = (balancer(silent.address, Some(10)).await, balancer(away.address, Some(20)).await);
        let first = async {
            let from = silent.until_called(2).await;
            acts(from, TOLD, || is_taken(&one)).await;
        };
        let second = async {
            let from = away.until_called(3).await;
            acts(from, TOLD, || is_taken(&two)).await;
        };
        futures_util::future::join(first, second).await;
    });
}

/// Guards against a move to another discovery that waits for the old one, or for the decisions' next word:
/// with both silent at first, in a queue that is full, and in either mode.
#[test]
fn moved_by_sighup_it_is_had_within_four_seconds() {
    run(async {
        let old = || async { Agent::start(|_, _| Does::Silence).await };
        // Silent, then doubted, and silent as it is asked again.
        let new = || async {
            Agent::start(|n, _| match n % 2 {
                0 => Does::Silence,
                _ => Does::Say(whole(3, "")),
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
        acts(from, TOLD_MOVED, || all.iter().all(|(b, _)| !b.board.is_ready())).await;
    });
}

/// Guards against a connection that its machine tries again after a second only, and that is given up before.
#[test]
fn beside_a_connection_that_does_not_come_up_another_is_made() {
    run(async {
        let one = || async {
            let (full, old) = (
                FullBacklog::new().await.expect("a queue that is full"),
                Agent::start(|_, _| Does::Silence).await,
            );
            let b = balancer(old.address, None).await;
            old.until_called(1).await;
            let from = Instant::now();
            b.set_discovery(full.address);
            sleep(Duration::from_millis(100)).await;
            let there = full.release(|_, _| Reply::Send(response(200, "", &change())));
            wait_until(|| is_taken(&b)).await;
            assert!(there.connections.get() > 0);
            from.elapsed()
        };
        let took = join_all((0..4).map(|_| one())).await;
        // The shortest: a busy machine may stretch any one.
        assert!(took.iter().min().is_some_and(|took| *took < Duration::from_millis(900)), "{took:?}");
    });
}

/// Guards against a list that is doubted and then, since the call for the whole one fails, not had before the
/// decisions ask again.
#[test]
fn the_answer_to_a_doubt_is_asked_for_once_more_at_once() {
    run(async {
        let one = || async {
            let agent = Agent::start(|n, _| match n {
                0 => Does::Say(before()),
                1 => Does::Say(whole(9, "")),
                _ => Does::Refuse,
            })
            .await;
            // Pauses are of 0.6 s and more.
            let _b = balancer(agent.address, Some(30)).await;
            let refused = agent.until_called(3).await;
            let again = agent.until_called(4).await;
            // From then on the decisions ask.
            let then = agent.until_called(5).await;
            assert!(then - again > Duration::from_millis(500), "{:?}", then - again);
            again - refused
        };
        let took = join_all((0..4).map(|_| one())).await;
        assert!(took.iter().min().is_some_and(|took| *took < Duration::from_millis(500)), "{took:?}");
    });
}
