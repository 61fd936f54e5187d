//! Property test: random schedules of events from callers, upstreams, the target list and the settings, checked against a small
//! model. Each schedule runs on real sockets, and a failing one is shrunk. The checked properties hold whichever side of a race wins.
//!
//! The test fails with any of these removed: the check whether a caller has left (`routing/receive.rs`),
//! `cancel_attempts_to_removed_upstreams`, or the `REUSE_DELAY` of kept upstream connections. Races that need a delayed connect, or
//! two events in one poll, do not occur in schedules; `termination_races.rs` forces them.

mod common;

use common::{
    balancer_at, connect, decode_list, list_entry, request, rpc_head, rpc_id, run, until_reusable, wait_until,
};
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
enum AnswerKind {
    Complete,
    /// A complete answer, and a second one some milliseconds later.
    Twice,
    Errored,
    Declined,
    Close,
}

#[derive(Clone, Debug)]
enum Step {
    Send {
        method: usize,
        short: bool,
    },
    /// Sends an RPC and closes the connection's write side at once.
    SendAndLeave {
        method: usize,
    },
    /// A waiting caller leaves, and an RPC with the same id is sent at once.
    LeaveAndReuseId,
    Leave(usize),
    Answer(usize, AnswerKind),
    Drain(usize),
    Ready(usize),
    /// An RPC is routed, and an upstream drains before any other task runs.
    SendAndDrain {
        method: usize,
        upstream: usize,
    },
    SetCancel(bool),
    WaitUntilReusable,
    WaitPastShortDeadline,
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![
        6 => Just(AnswerKind::Complete),
        3 => Just(AnswerKind::Twice),
        1 => Just(AnswerKind::Errored),
        2 => Just(AnswerKind::Declined),
        1 => Just(AnswerKind::Close),
    ];
    prop_oneof![
        6 => (0..3usize, prop::bool::weighted(0.2)).prop_map(|(method, short)| Step::Send { method, short }),
        2 => (0..3usize).prop_map(|method| Step::SendAndLeave { method }),
        1 => Just(Step::LeaveAndReuseId),
        2 => (0..8usize).prop_map(Step::Leave),
        8 => (0..8usize, kind).prop_map(|(n, kind)| Step::Answer(n, kind)),
        1 => (0..UPSTREAMS).prop_map(Step::Drain),
        1 => (0..UPSTREAMS).prop_map(Step::Ready),
        1 => (0..3usize, 0..UPSTREAMS).prop_map(|(method, upstream)| Step::SendAndDrain { method, upstream }),
        1 => any::<bool>().prop_map(Step::SetCancel),
        1 => Just(Step::WaitUntilReusable),
        1 => Just(Step::WaitPastShortDeadline),
    ]
}

/// An RPC that has arrived at an upstream.
struct Arrival {
    id: String,
    answered: Option<AnswerKind>,
    sender: Option<oneshot::Sender<AnswerKind>>,
}

#[derive(Default)]
struct Model {
    arrivals: RefCell<Vec<Arrival>>,
    /// Ids that may not arrive at an upstream any more, with the violation to report.
    forbidden: RefCell<BTreeMap<String, &'static str>>,
    draining: [Cell<bool>; UPSTREAMS],
    methods: RefCell<BTreeMap<String, usize>>,
    violations: RefCell<Vec<String>>,
}

impl Model {
    fn record_arrival(&self, upstream: usize, id: &str) -> oneshot::Receiver<AnswerKind> {
        let violation = |what: &str| self.violations.borrow_mut().push(format!("{id}: {what}"));
        if let Some(why) = self.forbidden.borrow().get(id) {
            violation(why);
        }
        if self.draining[upstream].get() {
            violation("sent to a draining upstream");
        }
        let (sender, receiver) = oneshot::channel();
        let mut arrivals = self.arrivals.borrow_mut();
        let once = self.methods.borrow().get(id) == Some(&2);
        let ran = |a: &Arrival| a.id == id && !matches!(a.answered, Some(AnswerKind::Declined));
        if once && arrivals.iter().any(ran) {
            violation("ran twice");
        }
        arrivals.push(Arrival { id: id.to_owned(), answered: None, sender: Some(sender) });
        receiver
    }

    /// Answers the n-th waiting arrival, modulo their number.
    fn answer_waiting(&self, n: usize, kind: AnswerKind) {
        let mut arrivals = self.arrivals.borrow_mut();
        let mut waiting: Vec<&mut Arrival> = arrivals.iter_mut().filter(|a| a.answered.is_none()).collect();
        if waiting.is_empty() {
            return;
        }
        let n = n % waiting.len();
        let arrival = &mut waiting[n];
        arrival.answered = Some(kind);
        let _ = arrival.sender.take().map(|sender| sender.send(kind));
    }

    async fn serve(self: Rc<Self>, upstream: usize, mut peer: Connection) {
        while let Ok(Some(message)) = peer.read().await {
            let id = message.header("req-id").unwrap_or("").to_owned();
            // A cancelled attempt's connection is closed: the answer then reaches nobody.
            let Ok(kind) = self.record_arrival(upstream, &id).await else { return };
            let bytes = match kind {
                AnswerKind::Complete | AnswerKind::Twice => response(200, "", &id),
                AnswerKind::Errored => response(500, "", ""),
                AnswerKind::Declined => response(503, "Srv-Declined: 1\r\n", ""),
                AnswerKind::Close => return,
            };
            let from = Instant::now();
            if peer.write(&bytes).await.is_err() {
                return;
            }
            if matches!(kind, AnswerKind::Twice) {
                tokio::time::sleep(Duration::from_millis(3)).await;
                // Later than that, the answer could not race with the reuse of the connection.
                if from.elapsed() < Duration::from_millis(5) {
                    let _ = peer.stream.try_write(&response(200, "", "the one before's"));
                }
            }
        }
    }
}

struct Caller {
    id: String,
    deadline: Instant,
    reader: Option<tokio::task::JoinHandle<()>>,
    answer: CallerAnswer,
}

/// The time and content of an answer; no message where the connection ended without one.
type CallerAnswer = Rc<RefCell<Option<(Instant, Option<Message>)>>>;

struct World {
    b: RunningInstance,
    model: Rc<Model>,
    addresses: Vec<SocketAddr>,
    version: u64,
    callers: Vec<Caller>,
    /// Whether a caller received a second answer.
    answered_twice: Rc<Cell<bool>>,
}

impl World {
    async fn new() -> Self {
        let model = Rc::<Model>::default();
        let mut addresses = Vec::new();
        for n in 0..UPSTREAMS {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
            addresses.push(listener.local_addr().expect("local address"));
            let model = Rc::clone(&model);
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(Rc::clone(&model).serve(n, Connection::new(stream)));
                }
            });
        }
        let b = balancer_at(&addresses, &SHORT_DEADLINES).await;
        World { b, model, addresses, version: 7, callers: Vec::new(), answered_twice: Rc::default() }
    }

    /// Waits until every attempt that was written has arrived at its upstream.
    async fn until_arrived(&self) {
        let written = || self.b.dispatcher.metrics().attempts as usize;
        wait_until(|| written() <= self.model.arrivals.borrow().len()).await;
    }

    fn set_upstream_state(&mut self, upstream: usize, state: &str) {
        self.version += 1;
        let list = decode_list(
            self.version,
            false,
            &[list_entry(&format!("s-{upstream}"), self.addresses[upstream], "z", state)],
        );
        self.b.dispatcher.apply_list(&list, true);
        self.model.draining[upstream].set(state != "SERVING");
    }

    fn new_rpc(&self, method: usize, short: bool) -> (String, String) {
        let (name, verb) = METHODS[method];
        let more = match method {
            0 => "",
            1 => "Idempotency-Key: k\r\nContent-Length: 0\r\n",
            _ => "Content-Length: 0\r\n",
        };
        let time = if short { "60" } else { "1000" };
        let bytes = rpc_head(verb, &format!("/{name}"), more)
            .replace("Req-Deadline-Ms: 4000", &format!("Req-Deadline-Ms: {time}"));
        let id = rpc_id(&bytes).to_owned();
        self.model.methods.borrow_mut().insert(id.clone(), method);
        (id, bytes)
    }

    async fn ask(&mut self, id: String, bytes: &str, short: bool) {
        let mut stream = connect(self.b.address).await;
        stream.write_all(bytes.as_bytes()).await.expect("write to the socket");
        let deadline = Instant::now() + Duration::from_millis(if short { 60 } else { 1000 });
        let answer = CallerAnswer::default();
        let (received, answered_twice) = (Rc::clone(&answer), Rc::clone(&self.answered_twice));
        let reader = spawn_local(async move {
            let mut peer = Connection::new(stream);
            let message = peer.read().await.ok().flatten();
            received.borrow_mut().replace((Instant::now(), message));
            // A second answer would be a violation.
            if let Ok(Some(_)) = peer.read().await {
                answered_twice.set(true);
            }
        });
        self.callers.push(Caller { id, deadline, reader: Some(reader), answer });
    }

    /// The n-th waiting caller leaves. Returns its index.
    async fn leave(&mut self, n: usize) -> Option<usize> {
        let waiting: Vec<usize> = (0..self.callers.len())
            .filter(|i| self.callers[*i].reader.is_some() && self.callers[*i].answer.borrow().is_none())
            .collect();
        let i = *waiting.get(n % waiting.len().max(1))?;
        // Aborting the task closes its stream.
        let reader = self.callers[i].reader.take()?;
        reader.abort();
        let _ = reader.await;
        Some(i)
    }

    async fn forbid_after_leave(&self, id: &str) {
        wait_until(|| self.b.dispatcher.open.borrow().get(id).is_none_or(|rpc| rpc.answer.is_none())).await;
        self.until_arrived().await;
        self.model.forbidden.borrow_mut().insert(id.to_owned(), "sent on though its caller has left");
    }

    async fn apply(&mut self, step: &Step) {
        match *step {
            Step::Send { method, short } => {
                let (id, bytes) = self.new_rpc(method, short);
                self.ask(id, &bytes, short).await;
            }
            Step::SendAndLeave { method } => {
                let (id, bytes) = self.new_rpc(method, false);
                self.model
                    .forbidden
                    .borrow_mut()
                    .insert(id, "sent on though its caller had left before it was read");
                let mut stream = connect(self.b.address).await;
                // No other task runs between these two calls.
                assert_eq!(stream.try_write(bytes.as_bytes()).expect("write to the socket"), bytes.len());
                let _ = stream.shutdown().await;
            }
            Step::LeaveAndReuseId => {
                let Some(i) = self.leave(0).await else { return };
                let id = self.callers[i].id.clone();
                // Whether or not the end of the first connection was read: at most one RPC with this id is open.
                let (own, bytes) = self.new_rpc(0, false);
                if self.model.methods.borrow().get(&id) == Some(&0) {
                    self.ask(id.clone(), &bytes.replace(&own, &id), false).await;
                }
            }
            Step::Leave(n) => {
                let Some(i) = self.leave(n).await else { return };
                let id = self.callers[i].id.clone();
                // Another caller may have sent an RPC with the same id since.
                if self.callers.iter().filter(|c| c.id == id).count() == 1 {
                    self.forbid_after_leave(&id).await;
                }
            }
            Step::Answer(n, kind) => {
                self.until_arrived().await;
                self.model.answer_waiting(n, kind);
            }
            Step::Drain(n) => {
                self.until_arrived().await;
                self.set_upstream_state(n, "DRAINING");
            }
            Step::Ready(n) => self.set_upstream_state(n, "SERVING"),
            Step::SendAndDrain { method, upstream } => {
                self.until_arrived().await;
                let (id, _) = self.new_rpc(method, false);
                let request = request(&self.b, &id, METHODS[method].0, "1000");
                let dispatcher = Rc::clone(&self.b.dispatcher);
                let mut asked = Box::pin(async move { dispatcher.admit(request, None).await.is_ok() });
                let at_once = futures_util::FutureExt::now_or_never(asked.as_mut());
                self.set_upstream_state(upstream, "DRAINING");
                if at_once.is_none() {
                    spawn_local(asked);
                }
            }
            Step::SetCancel(cancel) => {
                let text = common::config_json(&self.addresses, self.addresses[0], &SHORT_DEADLINES)
                    .replace(r#""cancel":true"#, &format!(r#""cancel":{cancel}"#));
                let instance = InstanceConfig::decode_json(&text).expect("valid configuration file");
                self.b.update_settings(&instance.settings).expect("valid settings");
            }
            Step::WaitUntilReusable => until_reusable().await,
            Step::WaitPastShortDeadline => tokio::time::sleep(Duration::from_millis(65)).await,
        }
    }

    /// Answers all waiting RPCs, closes all callers, and returns the violations found.
    async fn finish(mut self) -> Vec<String> {
        for n in 0..UPSTREAMS {
            self.set_upstream_state(n, "SERVING");
        }
        let waits = |c: &Caller| c.reader.is_some() && c.answer.borrow().is_none();
        let from = Instant::now();
        while from.elapsed() < Duration::from_secs(3)
            && (self.callers.iter().any(waits) || !self.b.dispatcher.open.borrow().is_empty())
        {
            self.model.answer_waiting(0, AnswerKind::Complete);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut violations = self.model.violations.take();
        if self.answered_twice.get() {
            violations.push("a caller received a second answer".to_owned());
        }
        for caller in self.callers.iter().filter(|c| c.reader.is_some()) {
            match &*caller.answer.borrow() {
                Some((at, Some(last))) => {
                    if *at > caller.deadline + Duration::from_millis(500) {
                        violations.push(format!("{}: answered late", caller.id));
                    }
                    let ran =
                        |a: &Arrival| a.id == caller.id && !matches!(a.answered, Some(AnswerKind::Declined));
                    let once = self.model.methods.borrow().get(&caller.id) == Some(&2);
                    match last.status() {
                        200 if last.body != caller.id.as_bytes() => {
                            violations.push(format!("{}: got another RPC's answer", caller.id));
                        }
                        503 if once && self.model.arrivals.borrow().iter().any(ran) => {
                            violations.push(format!("{}: exhausted though it may have run", caller.id));
                        }
                        // 400: the id is still in use.
                        200 | 502 | 503 | 400 => {}
                        _ => violations.push(format!("{}: {}", caller.id, last.head)),
                    }
                    if last.status() == 400 && self.callers.iter().filter(|c| c.id == caller.id).count() == 1
                    {
                        violations.push(format!("{}: {}", caller.id, last.head));
                    }
                }
                _ => violations.push(format!("{}: no answer", caller.id)),
            }
        }
        for caller in &mut self.callers {
            caller.reader.take().into_iter().for_each(|reader| reader.abort());
        }
        let dispatcher = &self.b.dispatcher;
        let clear = || {
            dispatcher.open.borrow().is_empty()
                && dispatcher.metrics().outstanding == 0
                && dispatcher.timers.count() == 0
                && self.b.server.connections() == 0
        };
        if tokio::time::timeout(Duration::from_secs(2), wait_until(clear)).await.is_err() {
            violations.push(format!(
                "left behind: {:?} open, {} timers, {} callers",
                dispatcher.open.borrow().keys().collect::<Vec<_>>(),
                dispatcher.timers.count(),
                self.b.server.connections()
            ));
        }
        violations
    }
}

const SHORT_DEADLINES: [(&str, &str); 2] = [
    (r#""soft-deadline-s":2.5"#, r#""soft-deadline-s":0.5"#),
    (r#""hard-deadline-s":6.0"#, r#""hard-deadline-s":1.0"#),
];

/// Guards against any order of events that leaves a caller without exactly one final answer, runs a non-retriable RPC twice, sends
/// an RPC whose caller has left, starts an attempt at a draining upstream, mixes up answers, or leaves state behind.
#[test]
fn every_event_order_keeps_the_rpc_guarantees() {
    const CASES: u32 = 100;
    let config =
        Config { cases: CASES, failure_persistence: None, max_shrink_iters: 300, ..Config::default() };
    // A fixed seed, so that every run has the same schedules.
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng).run(&vec(step(), 1..40), |steps| {
        let violations = Rc::new(RefCell::new(Vec::new()));
        let found = Rc::clone(&violations);
        run(async move {
            let mut world = World::new().await;
            for step in &steps {
                world.apply(step).await;
            }
            found.replace(world.finish().await);
        });
        let violations = violations.take();
        if violations.is_empty() {
            Ok(())
        } else {
            Err(TestCaseError::fail(violations.join("; ")))
        }
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
