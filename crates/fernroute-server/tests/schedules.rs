//! Random orders of what callers, upstreams, the list and the settings do, against a small model of what is owed. Each
//! schedule runs on real sockets; a failing one is shrunk. What is checked holds in whichever way a crossing ends.
//!
//! Seen to fail with each of these taken out: the look whether a caller has left (`receive.rs`), the bar on first bytes to
//! upstreams that left (`cancel_attempts_to_removed_upstreams`), the rest of kept connections (`REST`). What needs a connection held
//! back while it comes up, or two things in one turn, is forced in `endings.rs`: schedules do not meet it.

mod common;

use common::{balancer_at, connect, id_of, list, list_entry, request, rested, rpc_head, run, wait_until};
use fernroute_server::program::instance::InstanceConfig;
use fernroute_server::program::serve::RunningInstance;
use fernroute_test_support::http::{response, Connection, Message};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

const METHODS: [(&str, &str); 3] = [("look", "GET"), ("put", "POST"), ("pay", "POST")];
const UPSTREAMS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Kind {
    Whole,
    /// And once more, some milliseconds later.
    Twice,
    Errored,
    TurnedAway,
    Close,
}

#[derive(Clone, Debug)]
enum Step {
    Ask {
        method: usize,
        short: bool,
    },
    /// The RPC and the end of its connection in one.
    AskAndLeave {
        method: usize,
    },
    /// The one who left last asks again at once, under the same id.
    LeaveAndAskAgain,
    Leave(usize),
    Answer(usize, Kind),
    Drain(usize),
    Ready(usize),
    /// An RPC is routed, and its upstream drains before anything else happens.
    AskAndDrain {
        method: usize,
        upstream: usize,
    },
    Cancels(bool),
    Rest,
    TimePasses,
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![
        6 => Just(Kind::Whole),
        3 => Just(Kind::Twice),
        1 => Just(Kind::Errored),
        2 => Just(Kind::TurnedAway),
        1 => Just(Kind::Close),
    ];
    prop_oneof![
        6 => (0..3usize, prop::bool::weighted(0.2)).prop_map(|(method, short)| Step::Ask { method, short }),
        2 => (0..3usize).prop_map(|method| Step::AskAndLeave { method }),
        1 => Just(Step::LeaveAndAskAgain),
        2 => (0..8usize).prop_map(Step::Leave),
        8 => (0..8usize, kind).prop_map(|(n, kind)| Step::Answer(n, kind)),
        1 => (0..UPSTREAMS).prop_map(Step::Drain),
        1 => (0..UPSTREAMS).prop_map(Step::Ready),
        1 => (0..3usize, 0..UPSTREAMS).prop_map(|(method, upstream)| Step::AskAndDrain { method, upstream }),
        1 => any::<bool>().prop_map(Step::Cancels),
        1 => Just(Step::Rest),
        1 => Just(Step::TimePasses),
    ]
}

/// An RPC that has come to an upstream.
struct Arrival {
    id: String,
    end: Option<Kind>,
    tell: Option<oneshot::Sender<Kind>>,
}

#[derive(Default)]
struct Ledger {
    arrivals: RefCell<Vec<Arrival>>,
    /// Ids of which nothing may come any more, and why.
    over: RefCell<BTreeMap<String, &'static str>>,
    drains: [Cell<bool>; UPSTREAMS],
    methods: RefCell<BTreeMap<String, usize>>,
    wrong: RefCell<Vec<String>>,
}

impl Ledger {
    fn arrives(&self, upstream: usize, id: &str) -> oneshot::Receiver<Kind> {
        let wrong = |what: &str| self.wrong.borrow_mut().push(format!("{id}: {what}"));
        if let Some(why) = self.over.borrow().get(id) {
            wrong(why);
        }
        if self.drains[upstream].get() {
            wrong("sent to an upstream that drains");
        }
        let (tell, told) = oneshot::channel();
        let mut arrivals = self.arrivals.borrow_mut();
        let once = self.methods.borrow().get(id) == Some(&2);
        let ran = |a: &Arrival| a.id == id && !matches!(a.end, Some(Kind::TurnedAway));
        if once && arrivals.iter().any(ran) {
            wrong("ran twice");
        }
        arrivals.push(Arrival { id: id.to_owned(), end: None, tell: Some(tell) });
        told
    }

    /// The n-th of those that wait, counted round.
    fn tell(&self, n: usize, kind: Kind) {
        let mut arrivals = self.arrivals.borrow_mut();
        let mut waiting: Vec<&mut Arrival> = arrivals.iter_mut().filter(|a| a.end.is_none()).collect();
        if waiting.is_empty() {
            return;
        }
        let n = n % waiting.len();
        let arrival = &mut waiting[n];
        arrival.end = Some(kind);
        let _ = arrival.tell.take().map(|tell| tell.send(kind));
    }

    async fn serve(self: Rc<Self>, upstream: usize, mut peer: Connection) {
        while let Ok(Some(message)) = peer.read().await {
            let id = message.header("req-id").unwrap_or("").to_owned();
            // Who gives it up closes the connection: what is told then goes nowhere.
            let Ok(kind) = self.arrives(upstream, &id).await else { return };
            let bytes = match kind {
                Kind::Whole | Kind::Twice => response(200, "", &id),
                Kind::Errored => response(500, "", ""),
                Kind::TurnedAway => response(503, "Srv-Declined: 1\r\n", ""),
                Kind::Close => return,
            };
            let from = Instant::now();
            if peer.write(&bytes).await.is_err() {
                return;
            }
            if matches!(kind, Kind::Twice) {
                tokio::time::sleep(Duration::from_millis(3)).await;
                // Later than that it would be no crossing any more but an answer to nothing.
                if from.elapsed() < Duration::from_millis(5) {
                    let _ = peer.stream.try_write(&response(200, "", "the one before's"));
                }
            }
        }
    }
}

struct Caller {
    id: String,
    due: Instant,
    reading: Option<tokio::task::JoinHandle<()>>,
    answered: Answered,
}

/// When, and what; no message where the connection ended without one.
type Answered = Rc<RefCell<Option<(Instant, Option<Message>)>>>;

struct World {
    b: RunningInstance,
    ledger: Rc<Ledger>,
    addresses: Vec<SocketAddr>,
    version: u64,
    callers: Vec<Caller>,
    /// Somebody was answered more than once.
    twice: Rc<Cell<bool>>,
}

impl World {
    async fn new() -> Self {
        let ledger = Rc::<Ledger>::default();
        let mut addresses = Vec::new();
        for n in 0..UPSTREAMS {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            addresses.push(listener.local_addr().expect("an address"));
            let ledger = Rc::clone(&ledger);
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(Rc::clone(&ledger).serve(n, Connection::new(stream)));
                }
            });
        }
        let b = balancer_at(&addresses, &TIMES).await;
        World { b, ledger, addresses, version: 7, callers: Vec::new(), twice: Rc::default() }
    }

    /// All that was written has come.
    async fn settle(&self) {
        let written = || self.b.board.metrics().attempts as usize;
        wait_until(|| written() <= self.ledger.arrivals.borrow().len()).await;
    }

    fn list(&mut self, upstream: usize, state: &str) {
        self.version += 1;
        let list = list(
            self.version,
            false,
            &[list_entry(&format!("s-{upstream}"), self.addresses[upstream], "z", state)],
        );
        self.b.board.apply_list(&list, true);
        self.ledger.drains[upstream].set(state != "SERVING");
    }

    fn whole(&self, method: usize, short: bool) -> (String, String) {
        let (name, verb) = METHODS[method];
        let more = match method {
            0 => "",
            1 => "Idempotency-Key: k\r\nContent-Length: 0\r\n",
            _ => "Content-Length: 0\r\n",
        };
        let time = if short { "60" } else { "1000" };
        let bytes = rpc_head(verb, &format!("/{name}"), more)
            .replace("Req-Deadline-Ms: 4000", &format!("Req-Deadline-Ms: {time}"));
        let id = id_of(&bytes).to_owned();
        self.ledger.methods.borrow_mut().insert(id.clone(), method);
        (id, bytes)
    }

    async fn ask(&mut self, id: String, bytes: &str, short: bool) {
        let mut stream = connect(self.b.address).await;
        stream.write_all(bytes.as_bytes()).await.expect("it reads");
        let due = Instant::now() + Duration::from_millis(if short { 60 } else { 1000 });
        let answered = Answered::default();
        let (told, twice) = (Rc::clone(&answered), Rc::clone(&self.twice));
        let reading = spawn_local(async move {
            let mut peer = Connection::new(stream);
            let message = peer.read().await.ok().flatten();
            told.borrow_mut().replace((Instant::now(), message));
            // Nothing may follow it.
            if let Ok(Some(_)) = peer.read().await {
                twice.set(true);
            }
        });
        self.callers.push(Caller { id, due, reading: Some(reading), answered });
    }

    /// The n-th of those that wait goes; its id.
    async fn leave(&mut self, n: usize) -> Option<usize> {
        let waiting: Vec<usize> = (0..self.callers.len())
            .filter(|i| self.callers[*i].reading.is_some() && self.callers[*i].answered.borrow().is_none())
            .collect();
        let i = *waiting.get(n % waiting.len().max(1))?;
        // Its stream goes with the task.
        let reading = self.callers[i].reading.take()?;
        reading.abort();
        let _ = reading.await;
        Some(i)
    }

    async fn gone(&self, id: &str) {
        wait_until(|| self.b.board.open.borrow().get(id).is_none_or(|rpc| rpc.answer.is_none())).await;
        self.settle().await;
        self.ledger.over.borrow_mut().insert(id.to_owned(), "sent on though its caller has left");
    }

    async fn take(&mut self, step: &Step) {
        match *step {
            Step::Ask { method, short } => {
                let (id, bytes) = self.whole(method, short);
                self.ask(id, &bytes, short).await;
            }
            Step::AskAndLeave { method } => {
                let (id, bytes) = self.whole(method, false);
                self.ledger
                    .over
                    .borrow_mut()
                    .insert(id, "sent on though its caller had left before it was read");
                let mut stream = connect(self.b.address).await;
                // No turn of anybody else's between these two.
                assert_eq!(stream.try_write(bytes.as_bytes()).expect("the machine takes it"), bytes.len());
                let _ = stream.shutdown().await;
            }
            Step::LeaveAndAskAgain => {
                let Some(i) = self.leave(0).await else { return };
                let id = self.callers[i].id.clone();
                // Whether or not the end of the first was read by now: one of that id at most is open.
                let (own, bytes) = self.whole(0, false);
                if self.ledger.methods.borrow().get(&id) == Some(&0) {
                    self.ask(id.clone(), &bytes.replace(&own, &id), false).await;
                }
            }
            Step::Leave(n) => {
                let Some(i) = self.leave(n).await else { return };
                let id = self.callers[i].id.clone();
                // Another may have asked under its id since.
                if self.callers.iter().filter(|c| c.id == id).count() == 1 {
                    self.gone(&id).await;
                }
            }
            Step::Answer(n, kind) => {
                self.settle().await;
                self.ledger.tell(n, kind);
            }
            Step::Drain(n) => {
                self.settle().await;
                self.list(n, "DRAINING");
            }
            Step::Ready(n) => self.list(n, "SERVING"),
            Step::AskAndDrain { method, upstream } => {
                self.settle().await;
                let (id, _) = self.whole(method, false);
                let request = request(&self.b, &id, METHODS[method].0, "1000");
                let board = Rc::clone(&self.b.board);
                let mut asked = Box::pin(async move { board.admit(request, None).await.is_ok() });
                let at_once = futures_util::FutureExt::now_or_never(asked.as_mut());
                self.list(upstream, "DRAINING");
                if at_once.is_none() {
                    spawn_local(asked);
                }
            }
            Step::Cancels(cancels) => {
                let text = common::page(&self.addresses, self.addresses[0], &TIMES)
                    .replace(r#""cancel":true"#, &format!(r#""cancel":{cancels}"#));
                let station = InstanceConfig::decode_json(&text).expect("the file is whole");
                self.b.update_settings(&station.settings).expect("they will do");
            }
            Step::Rest => rested().await,
            Step::TimePasses => tokio::time::sleep(Duration::from_millis(65)).await,
        }
    }

    /// All that waits is served, everybody goes, and nothing is left.
    async fn end(mut self) -> Vec<String> {
        for n in 0..UPSTREAMS {
            self.list(n, "SERVING");
        }
        let waits = |c: &Caller| c.reading.is_some() && c.answered.borrow().is_none();
        let from = Instant::now();
        while from.elapsed() < Duration::from_secs(3)
            && (self.callers.iter().any(waits) || !self.b.board.open.borrow().is_empty())
        {
            self.ledger.tell(0, Kind::Whole);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut wrong = self.ledger.wrong.take();
        if self.twice.get() {
            wrong.push("a second answer".to_owned());
        }
        for caller in self.callers.iter().filter(|c| c.reading.is_some()) {
            match &*caller.answered.borrow() {
                Some((at, Some(last))) => {
                    if *at > caller.due + Duration::from_millis(500) {
                        wrong.push(format!("{}: answered late", caller.id));
                    }
                    let ran = |a: &Arrival| a.id == caller.id && !matches!(a.end, Some(Kind::TurnedAway));
                    let once = self.ledger.methods.borrow().get(&caller.id) == Some(&2);
                    match last.status() {
                        200 if last.body != caller.id.as_bytes() => {
                            wrong.push(format!("{}: another's answer", caller.id));
                        }
                        503 if once && self.ledger.arrivals.borrow().iter().any(ran) => {
                            wrong.push(format!("{}: exhausted though it may have run", caller.id));
                        }
                        // An id that is still in use is no RPC.
                        200 | 502 | 503 | 400 => {}
                        _ => wrong.push(format!("{}: {}", caller.id, last.head)),
                    }
                    if last.status() == 400 && self.callers.iter().filter(|c| c.id == caller.id).count() == 1
                    {
                        wrong.push(format!("{}: {}", caller.id, last.head));
                    }
                }
                _ => wrong.push(format!("{}: no answer", caller.id)),
            }
        }
        for caller in &mut self.callers {
            caller.reading.take().into_iter().for_each(|reading| reading.abort());
        }
        let board = &self.b.board;
        let clear = || {
            board.open.borrow().is_empty()
                && board.metrics().outstanding == 0
                && board.timers.count() == 0
                && self.b.server.connections() == 0
        };
        if tokio::time::timeout(Duration::from_secs(2), wait_until(clear)).await.is_err() {
            wrong.push(format!(
                "left behind: {:?} open, {} timers, {} callers",
                board.open.borrow().keys().collect::<Vec<_>>(),
                board.timers.count(),
                self.b.server.connections()
            ));
        }
        wrong
    }
}

const TIMES: [(&str, &str); 2] = [
    (r#""soft-deadline-s":2.5"#, r#""soft-deadline-s":0.5"#),
    (r#""hard-deadline-s":6.0"#, r#""hard-deadline-s":1.0"#),
];

/// Guards against any order of these that leaves somebody without the one final answer, runs twice what may run once,
/// sends on what nobody waits for, begins at an upstream that drains, gives an answer to another, or leaves something behind.
#[test]
fn in_whatever_order_things_end_what_is_owed_is_given() {
    const CASES: u32 = 100;
    let config =
        Config { cases: CASES, failure_persistence: None, max_shrink_iters: 300, ..Config::default() };
    // The same schedules every time.
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng).run(&vec(step(), 1..40), |steps| {
        let wrong = Rc::new(RefCell::new(Vec::new()));
        let found = Rc::clone(&wrong);
        run(async move {
            let mut world = World::new().await;
            for step in &steps {
                world.take(step).await;
            }
            found.replace(world.end().await);
        });
        let wrong = wrong.take();
        if wrong.is_empty() {
            Ok(())
        } else {
            Err(TestCaseError::fail(wrong.join("; ")))
        }
    });
    if let Err(why) = outcome {
        panic!("{why}");
    }
}
