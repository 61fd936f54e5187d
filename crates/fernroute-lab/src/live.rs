//! The same scenario against real processes on loopback: stand-ins for callers, upstreams and discovery in this
//! process, the real program in as many others as the scenario has balancers. Arrivals are open-loop, and times count
//! from the intended moment, so that a stall of the laboratory or of the program is not hidden.

use crate::books::Books;
use crate::demand::{balancer_seed, stream, victims, Arrivals, Want, CHANCE, LINGER};
use crate::player::Post;
use crate::referee::{Breach, Referee};
use crate::scenario::{millis, seconds, zone_name, Effect, Fault, Kind, Scenario};
use crate::trace::{Event, Final, Told, Witness as _};
use crate::upstream::{Affliction, State, Upstream};
use fernroute::{Outcome, Time};
use fernroute_rig::http::{answer, Message, Peer};
use fernroute_rig::process::Process;
use fernroute_server::routing::clock::{duration, tenths};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, AbortHandle, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// What a real run brought.
pub struct Report {
    pub books: Books,
    pub breaches: Vec<Breach>,
    pub requests: u64,
    /// Requests that were sent later than they should have been, and by how much the latest.
    pub sent_late: u64,
    pub latest: Duration,
}

impl Report {
    /// Why the figures say nothing, if they do not.
    pub fn invalid(&self) -> Option<String> {
        /// One request in a hundred may be sent late before the load is no longer the one that was asked for.
        const MOST: f64 = 0.01;
        let share = self.sent_late as f64 / (self.requests as f64).max(1.0);
        (share > MOST).then(|| {
            let (late, all, latest) = (self.sent_late, self.requests, self.latest.as_millis());
            format!("the load was not kept: {late} of {all} requests were sent late, by up to {latest} ms")
        })
    }
}

/// A request that leaves so much after its moment was sent late.
const LATE: Duration = Duration::from_millis(10);

/// What the real clock and sockets add to any limit.
const SLACK_MS: f64 = 50.0;

/// A discovery agent of one balancer: what it has been told, and who waits.
struct Agent {
    address: SocketAddr,
    /// Each change with its version; the whole list is the last word on each.
    told: RefCell<Vec<(u64, usize, Told, Value)>>,
    changed: Notify,
    serving: AbortHandle,
}

/// A real balancer, by its number in the run.
struct Node {
    name: String,
    tier: usize,
    zone: usize,
    address: SocketAddr,
    agent: Rc<Agent>,
    process: Process,
    alive: Cell<bool>,
    /// Connections to it that stand idle.
    idle: RefCell<Vec<Peer>>,
}

/// A stand-in upstream.
struct Stand {
    model: RefCell<Upstream>,
    address: Cell<SocketAddr>,
    places: RefCell<Rc<Semaphore>>,
    cores: RefCell<Rc<Semaphore>>,
    waiting: Cell<usize>,
    balancer: Cell<Option<usize>>,
    /// Its connections and the listener, and the RPCs in hand. A machine that vanishes ends the latter only.
    tasks: RefCell<Vec<AbortHandle>>,
    jobs: RefCell<Vec<AbortHandle>>,
}

struct Lab {
    scenario: Scenario,
    seed: u64,
    start: Instant,
    unix_ms: u64,
    folder: PathBuf,
    program: Vec<String>,
    referee: RefCell<Referee>,
    books: RefCell<Books>,
    nodes: RefCell<Vec<Rc<Node>>>,
    first: RefCell<Vec<usize>>,
    stands: RefCell<Vec<Rc<Stand>>>,
    chance: RefCell<ChaCha8Rng>,
    /// By RPC: which balancer it was put before, how many transmissions of it came. Emptied by its answer.
    open: RefCell<BTreeMap<Rc<str>, (usize, usize)>>,
    calls: Cell<u64>,
    reports_late: RefCell<BTreeMap<usize, Time>>,
    list_down_until: Cell<Time>,
    sent_late: Cell<u64>,
    latest: Cell<Duration>,
    trouble: RefCell<Option<String>>,
}

/// Plays the scenario in real time; `program` is the words that start a balancer, but for `--config FILE`.
pub fn run(scenario: &Scenario, seed: u64, program: &[String], folder: &Path) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async { Lab::play(scenario, seed, program, folder).await })
}

impl Lab {
    async fn play(
        scenario: &Scenario,
        seed: u64,
        program: &[String],
        folder: &Path,
    ) -> Result<Report, String> {
        let mut judged = scenario.clone();
        judged.rules.answer_slack_ms += SLACK_MS;
        judged.rules.drain_grace_ms += SLACK_MS;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let lab = Rc::new(Lab {
            scenario: scenario.clone(),
            seed,
            start: Instant::now(),
            unix_ms: unix.as_millis() as u64,
            folder: folder.to_owned(),
            program: program.to_vec(),
            referee: RefCell::new(Referee::new(&judged)),
            books: RefCell::new(Books::new(scenario)),
            nodes: RefCell::default(),
            first: RefCell::default(),
            stands: RefCell::default(),
            chance: RefCell::new(stream(seed, CHANCE)),
            open: RefCell::default(),
            calls: Cell::new(0),
            reports_late: RefCell::default(),
            list_down_until: Cell::new(0),
            sent_late: Cell::new(0),
            latest: Cell::new(Duration::ZERO),
            trouble: RefCell::default(),
        });
        let result = lab.clone().played().await;
        for node in lab.nodes.borrow().iter() {
            node.agent.serving.abort();
            node.process.kill();
            let log = lab.folder.join(format!("{}.log", node.name));
            // For whoever looks into the run; it is judged without.
            let _ = std::fs::write(log, node.process.log().join("\n") + "\n");
        }
        result
    }

    async fn played(self: Rc<Self>) -> Result<Report, String> {
        for (tier, of) in self.scenario.tier.iter().enumerate() {
            for place in 0..of.upstreams {
                self.new_stand(tier, place % of.zones, place / of.cell).await?;
            }
        }
        let count = self.stands.borrow().len();
        for stand in 0..count {
            self.new_balancer_of(stand).await?;
        }
        for number in 0..self.scenario.tier[0].balancers {
            let node = self.new_node(0, number, number % self.scenario.tier[0].zones).await?;
            self.first.borrow_mut().push(node);
        }
        // The scenario's time begins once all are ready.
        let from = self.now() + seconds(0.2);
        for (i, fault) in self.scenario.fault.iter().cloned().enumerate() {
            let lab = Rc::clone(&self);
            spawn_local(async move { lab.fault(i, &fault, from).await });
        }
        let mut arrivals = Arrivals::new(&self.scenario, self.seed);
        let mut number = 0;
        let mut callers = tokio::task::JoinSet::new();
        while let Some(at) = arrivals.next(&self.scenario) {
            let intended = self.start + duration(from + at);
            sleep_until(intended).await;
            let late = intended.elapsed();
            self.latest.set(self.latest.get().max(late));
            self.sent_late.set(self.sent_late.get() + u64::from(late > LATE));
            let want = Want::of(&self.scenario, self.seed, number);
            callers.spawn_local(Rc::clone(&self).request(number, want, intended, at));
            number += 1;
            while callers.try_join_next().is_some() {}
            if let Some(why) = self.trouble.take() {
                return Err(why);
            }
        }
        while callers.join_next().await.is_some() {}
        // Calls of upstreams whose callers were answered otherwise are open for as long as their deadlines, at most.
        let last = self.now() + self.scenario.longest() + seconds(1.5);
        while !self.open.borrow().is_empty() && self.now() < last {
            sleep(Duration::from_millis(20)).await;
        }
        let books = self.books.replace(Books::new(&self.scenario));
        let mut referee = self.referee.replace(Referee::new(&self.scenario));
        referee.end(self.now());
        let mut breaches = referee.breaches;
        // In the scenario's time, as everything else.
        breaches.iter_mut().for_each(|b| b.at = b.at.saturating_sub(from));
        let (sent_late, latest) = (self.sent_late.get(), self.latest.get());
        Ok(Report { books, breaches, requests: number, sent_late, latest })
    }

    fn now(&self) -> Time {
        tenths(self.start.elapsed())
    }

    fn see(&self, event: &Event) {
        self.referee.borrow_mut().see(self.now(), event);
    }

    // ------------------------------------------------------------------------------------------------ fleet

    async fn new_stand(self: &Rc<Self>, tier: usize, zone: usize, cell: usize) -> Result<usize, String> {
        let of = &self.scenario.tier[tier];
        let number = self.stands.borrow().len();
        let speed = 1.0 + of.unlike * (2.0 * self.chance.borrow_mut().random::<f64>() - 1.0);
        let cold = !self.first.borrow().is_empty();
        let now = self.now();
        let mut model =
            Upstream::new(Rc::from(format!("{}-{number}", of.name)), tier, of, (zone, cell), speed, now);
        model.cold = cold;
        let stand = Rc::new(Stand {
            model: RefCell::new(model),
            address: Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))),
            places: RefCell::new(Rc::new(Semaphore::new(0))),
            cores: RefCell::new(Rc::new(Semaphore::new(0))),
            waiting: Cell::new(0),
            balancer: Cell::new(None),
            tasks: RefCell::default(),
            jobs: RefCell::default(),
        });
        self.stands.borrow_mut().push(Rc::clone(&stand));
        self.open_stand(number).await?;
        let (lab, period) = (Rc::clone(self), of.report_ms);
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs_f64(period / 1000.0)).await;
                let stand = lab.stand(number);
                let of = &lab.scenario.tier[tier];
                stand.model.borrow_mut().report(lab.now(), millis(period), of.choke.as_ref());
            }
        });
        Ok(number)
    }

    fn stand(&self, number: usize) -> Rc<Stand> {
        Rc::clone(&self.stands.borrow()[number])
    }

    fn node(&self, number: usize) -> Rc<Node> {
        Rc::clone(&self.nodes.borrow()[number])
    }

    /// Starts to listen, each time at a port of its own: an old one may be somebody else's by then.
    async fn open_stand(self: &Rc<Self>, number: usize) -> Result<(), String> {
        let stand = self.stand(number);
        let trouble = |e: std::io::Error| format!("a stand-in: {e}");
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(trouble)?;
        stand.address.set(listener.local_addr().map_err(trouble)?);
        let (tier, cores, slots) = {
            let model = stand.model.borrow();
            (model.tier, model.cores, model.slots)
        };
        stand.places.replace(Rc::new(Semaphore::new(slots)));
        stand.cores.replace(Rc::new(Semaphore::new(cores)));
        stand.waiting.set(0);
        let lab = Rc::clone(self);
        let accept = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = spawn_local(Rc::clone(&lab).connection(number, Peer::new(stream)));
                let stand = lab.stand(number);
                let mut tasks = stand.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(task.abort_handle());
            }
        });
        stand.tasks.borrow_mut().push(accept.abort_handle());
        let model = stand.model.borrow();
        let (zone, cell, cold) = (model.zone, model.cell, model.cold);
        let rate = self.scenario.rate(tier, model.speed);
        self.see(&Event::Started { upstream: number, zone, cell, rate, cold });
        Ok(())
    }

    async fn new_balancer_of(self: &Rc<Self>, upstream: usize) -> Result<(), String> {
        let stand = self.stand(upstream);
        let (tier, zone) = (stand.model.borrow().tier + 1, stand.model.borrow().zone);
        if tier < self.scenario.tier.len() {
            let node = self.new_node(tier, upstream, zone).await?;
            stand.balancer.set(Some(node));
        }
        Ok(())
    }

    /// Starts a real balancer, and waits until it says where it serves.
    async fn new_node(self: &Rc<Self>, tier: usize, number: usize, zone: usize) -> Result<usize, String> {
        /// Far longer than a start takes, on a busy machine too.
        const START: Duration = Duration::from_secs(10);
        let node = self.nodes.borrow().len();
        let agent = self.new_agent(node).await?;
        let up = |n: &usize| {
            let stand = self.stand(*n);
            let model = stand.model.borrow();
            model.tier == tier && model.state == State::Up
        };
        let known: Vec<usize> = (0..self.stands.borrow().len()).filter(up).collect();
        let known: Vec<Value> = known.into_iter().map(|n| self.entry(n, Told::Ready)).collect();
        let post = Post { tier, number, instances: self.scenario.instances(tier), zone };
        let seed = balancer_seed(self.seed, node);
        let name = format!("b{node}");
        let page = json!({
            "name": name, "listen": "127.0.0.1:0", "discovery": agent.address, "seed": format!("{seed:016x}"),
            "limits": {"sockets": 1024}, "known": {"version": 0, "full": true, "servers": known},
            "settings": self.scenario.settings(post),
        });
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, page.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        let (word, words) = self.program.split_first().ok_or("no program is named")?;
        let mut command = Command::new(word);
        command.args(words).arg("--config").arg(&file).stdout(Stdio::null());
        // Else it would take over from the balancer of that name of another run.
        command.env("TMPDIR", &self.folder);
        let process = Process::launch(command).map_err(|e| format!("{word}: {e}"))?;
        let address =
            process.address_after("serving on ", START).await.map_err(|why| format!("{word}: {why}"))?;
        let (alive, idle) = (Cell::new(true), RefCell::default());
        self.nodes.borrow_mut().push(Rc::new(Node {
            name,
            tier,
            zone,
            address,
            agent,
            process,
            alive,
            idle,
        }));
        Ok(node)
    }

    // -------------------------------------------------------------------------------------------- discovery

    async fn new_agent(self: &Rc<Self>, node: usize) -> Result<Rc<Agent>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("discovery: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("discovery: {e}"))?;
        let lab = Rc::clone(self);
        let serving = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(Rc::clone(&lab).serve_list(node, Peer::new(stream)));
            }
        });
        let (told, changed) = (RefCell::default(), Notify::new());
        Ok(Rc::new(Agent { address, told, changed, serving: serving.abort_handle() }))
    }

    /// Answers one balancer's calls for the list.
    async fn serve_list(self: Rc<Self>, number: usize, mut peer: Peer) {
        while let Ok(Some(message)) = peer.read().await {
            let query = |name: &str| {
                let text = message.target.split_once('?')?.1;
                text.split('&')
                    .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            // It may ask before this laboratory has noted that it serves.
            let known = || self.nodes.borrow().get(number).cloned();
            while known().is_none() {
                sleep(Duration::from_millis(5)).await;
            }
            let Some(node) = known() else { return };
            let agent = &node.agent;
            let after = query("index");
            let version = || agent.told.borrow().last().map_or(0, |(version, ..)| *version);
            if let (Some(after), Some(wait)) = (after, query("wait")) {
                let news = async {
                    while version() <= after {
                        agent.changed.notified().await;
                    }
                };
                // Nothing new is an answer too.
                let _ = timeout(Duration::from_millis(wait), news).await;
            }
            while self.now() < self.list_down_until.get() {
                sleep(duration(self.list_down_until.get() - self.now())).await;
            }
            let news: Vec<(u64, usize, Told, Value)> = agent
                .told
                .borrow()
                .iter()
                .filter(|(v, ..)| after.is_none_or(|after| *v > after))
                .cloned()
                .collect();
            let mut entries: BTreeMap<usize, Value> = BTreeMap::new();
            if after.is_none() {
                let stands = self.stands.borrow();
                for (n, stand) in stands.iter().enumerate() {
                    if stand.model.borrow().tier == node.tier && stand.model.borrow().state == State::Up {
                        entries.insert(n, self.entry(n, Told::Ready));
                    }
                }
            }
            news.iter().for_each(|(_, n, _, entry)| {
                entries.insert(*n, entry.clone());
            });
            let list = json!({"version": version(), "full": after.is_none(),
                "servers": entries.into_values().collect::<Vec<_>>()});
            for (_, upstream, told, _) in news {
                self.see(&Event::Heard { balancer: number, upstream, told });
            }
            if peer.write(&answer(200, "", &list.to_string())).await.is_err() {
                return;
            }
        }
    }

    fn entry(&self, upstream: usize, told: Told) -> Value {
        let stand = self.stand(upstream);
        let model = stand.model.borrow();
        let state = match told {
            Told::Ready => "SERVING",
            Told::Drains => "DRAINING",
            Told::Gone => "DELETED",
        };
        let started = if model.cold { self.unix_ms + model.started / 10 } else { 0 };
        json!({"id": &*model.name, "addr": stand.address.get(), "zone": zone_name(model.zone),
            "cell": model.cell.to_string(), "state": state, "started_ms": started})
    }

    fn announce(self: &Rc<Self>, upstream: usize, told: Told, late_ms: f64) {
        let (tier, life) = {
            let stand = self.stand(upstream);
            let model = stand.model.borrow();
            (model.tier, model.life)
        };
        let nodes: Vec<Rc<Node>> = self.nodes.borrow().iter().filter(|n| n.tier == tier).cloned().collect();
        for node in nodes.into_iter().filter(|n| n.alive.get()) {
            let spread = self.scenario.discovery.spread_ms * self.chance.borrow_mut().random::<f64>();
            let lab = Rc::clone(self);
            spawn_local(async move {
                sleep(Duration::from_secs_f64((late_ms + spread) / 1000.0)).await;
                // What is overtaken by a later start or end is not told any more.
                if lab.stand(upstream).model.borrow().life == life {
                    let entry = lab.entry(upstream, told);
                    let mut all = node.agent.told.borrow_mut();
                    let version = all.last().map_or(0, |(version, ..)| *version) + 1;
                    all.push((version, upstream, told, entry));
                    node.agent.changed.notify_waiters();
                }
            });
        }
    }

    // -------------------------------------------------------------------------------------------- upstreams

    async fn connection(self: Rc<Self>, upstream: usize, mut peer: Peer) {
        while let Ok(Some(message)) = peer.read().await {
            let gone = Rc::new(Cell::new(false));
            let handled = Rc::clone(&self).handle(upstream, message, Rc::clone(&gone));
            // Work goes on when its caller has gone; what still waits may be dropped.
            let mut task = spawn_local(handled);
            let stand = self.stand(upstream);
            {
                let mut jobs = stand.jobs.borrow_mut();
                jobs.retain(|t| !t.is_finished());
                jobs.push(task.abort_handle());
            }
            let bytes = tokio::select! {
                bytes = &mut task => bytes,
                () = peer.closed() => {
                    gone.set(true);
                    return;
                }
            };
            let Ok(bytes) = bytes else {
                // The machine has vanished: nothing is heard of it, not even a close.
                return peer.closed().await;
            };
            if peer.write(&bytes).await.is_err() {
                return;
            }
        }
    }

    /// One transmission, to the bytes of its answer.
    async fn handle(self: Rc<Self>, upstream: usize, message: Message, gone: Rc<Cell<bool>>) -> Vec<u8> {
        let begun = self.now();
        let Some(rpc) = message.header("req-id").map(Rc::<str>::from) else { return answer(404, "", "") };
        let hard = begun + message.number::<Time>("req-deadline-ms").unwrap_or(0) * 10;
        let work: Time = message.number("lab-work").unwrap_or(1);
        let calls = message.header("lab-calls").unwrap_or("").to_owned();
        let stand = self.stand(upstream);
        let tier = stand.model.borrow().tier;
        let of = &self.scenario.tier[tier];
        if stand.model.borrow().state == State::Silent {
            return std::future::pending().await;
        }
        let place = self.open.borrow_mut().get_mut(&rpc).map(|(node, made)| {
            *made += 1;
            (*node, *made - 1)
        });
        let (balancer, tx) = place.unwrap_or((usize::MAX, 0));
        self.books.borrow_mut().transmissions += 1;
        self.see(&Event::Sent { rpc: Rc::clone(&rpc), tx, balancer, upstream });
        let ended = |outcome| self.see(&Event::Ended { rpc: Rc::clone(&rpc), tx, outcome });
        let declined = |load: String| {
            ended(Outcome::Exhausted);
            answer(503, &format!("Srv-Declined: 1\r\n{load}"), "")
        };
        if stand.model.borrow().hangs() {
            self.see(&Event::Ran { rpc: Rc::clone(&rpc), tx });
            return std::future::pending().await;
        }
        let errors = stand.model.borrow().errors();
        if errors > 0.0 && self.chance.borrow_mut().random::<f64>() < errors {
            self.see(&Event::Ran { rpc: Rc::clone(&rpc), tx });
            ended(Outcome::Errored);
            return answer(500, &self.load(upstream), "");
        }
        let places = Rc::clone(&stand.places.borrow());
        if places.available_permits() == 0 && stand.waiting.get() >= of.queue {
            return declined(self.load(upstream));
        }
        stand.waiting.set(stand.waiting.get() + 1);
        let held = places.acquire().await;
        stand.waiting.set(stand.waiting.get().saturating_sub(1));
        if held.is_err() || of.drops && (gone.get() || self.now() >= hard) {
            return declined(self.load(upstream));
        }
        stand.model.borrow_mut().held += 1;
        self.see(&Event::Ran { rpc: Rc::clone(&rpc), tx });
        self.work(&stand, tier, work as f64 * of.work).await;
        let mut outcome = Outcome::Completed;
        let count: u32 = calls.split(',').nth(tier + 1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let method = message.header("req-kind").unwrap_or("").to_owned();
        let method = self.scenario.method.iter().position(|m| m.name == method).unwrap_or(0);
        for _ in 0..count {
            if gone.get() || self.now() >= hard || !self.call(&stand, method, work, &calls, hard).await {
                outcome = Outcome::Errored;
                break;
            }
        }
        stand.model.borrow_mut().held -= 1;
        ended(outcome);
        let status = if outcome == Outcome::Completed { 200 } else { 500 };
        answer(status, &self.load(upstream), &rpc)
    }

    async fn work(&self, stand: &Rc<Stand>, tier: usize, work: f64) {
        let cores = Rc::clone(&stand.cores.borrow());
        let Ok(_core) = cores.acquire().await else { return };
        let pause = || stand.model.borrow().paused_until.saturating_sub(self.now());
        sleep(duration(pause())).await;
        let rules = &self.scenario.rules;
        let takes = {
            let mut model = stand.model.borrow_mut();
            model.account(self.now());
            model.busy += 1;
            let warmth = model.warmth(self.now(), rules.cold_from, seconds(rules.warm_within_s));
            model.takes(work, warmth, self.scenario.tier[tier].choke.as_ref())
        };
        sleep(duration(takes)).await;
        sleep(duration(pause())).await;
        let mut model = stand.model.borrow_mut();
        model.account(self.now());
        model.busy = model.busy.saturating_sub(1);
    }

    /// One call on the tier below, through the upstream's own balancer.
    async fn call(&self, stand: &Stand, method: usize, work: Time, calls: &str, hard: Time) -> bool {
        let Some(node) = stand.balancer.get() else { return false };
        self.calls.set(self.calls.get() + 1);
        let rpc: Rc<str> = Rc::from(format!("c{}", self.calls.get()));
        let last = self.ask(node, &rpc, method, hard, work, calls).await;
        matches!(last, Some((Final::Completed, _)))
    }

    fn load(&self, upstream: usize) -> String {
        let stand = self.stand(upstream);
        let model = stand.model.borrow();
        let late = millis(self.scenario.tier[model.tier].report_late_ms);
        let late = late + self.reports_late.borrow().values().sum::<Time>();
        let used = model.reported(self.now(), late);
        if used.is_finite() {
            format!("Srv-Load: util={used:.3}\r\n")
        } else {
            String::new()
        }
    }

    /// Its process or its machine ends, and its balancer with it.
    fn die(&self, upstream: usize, state: State) {
        let stand = self.stand(upstream);
        {
            let mut model = stand.model.borrow_mut();
            model.end(self.now());
            model.state = state;
        }
        stand.jobs.borrow_mut().drain(..).for_each(|job| job.abort());
        if state != State::Silent {
            stand.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        }
        if let Some(node) = stand.balancer.take() {
            self.balancer_dies(node);
        }
    }

    async fn revive(self: &Rc<Self>, upstream: usize) {
        let stand = self.stand(upstream);
        stand.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        stand.model.borrow_mut().restart(self.now());
        let opened = match self.open_stand(upstream).await {
            Ok(()) => self.new_balancer_of(upstream).await,
            Err(why) => Err(why),
        };
        match opened {
            Ok(()) => self.announce(upstream, Told::Ready, self.scenario.discovery.late_ms),
            Err(why) => drop(self.trouble.replace(Some(why))),
        }
    }

    fn balancer_dies(&self, number: usize) {
        let node = self.node(number);
        node.alive.set(false);
        self.see(&Event::BalancerDied { balancer: number });
        node.agent.serving.abort();
        node.process.kill();
        node.idle.borrow_mut().clear();
    }

    // ---------------------------------------------------------------------------------------------- callers

    /// One request of a caller, over its tries. `asked` is in the scenario's time.
    async fn request(self: Rc<Self>, number: u64, want: Want, intended: Instant, asked: Time) {
        let m = &self.scenario.method[want.method];
        self.books.borrow_mut().offered(asked, want.method, m.gain);
        let from = tenths(intended - self.start);
        let hard = from + millis(m.hard_ms);
        let calls = want.calls.iter().map(u32::to_string).collect::<Vec<_>>().join(",");
        for n in 0..=self.scenario.load.retries {
            let count = self.first.borrow().len();
            let place = if n == 0 { want.balancer } else { self.chance.borrow_mut().random_range(0..count) };
            let node = self.first.borrow()[place];
            let rpc: Rc<str> = Rc::from(format!("r{number}.{n}"));
            if hard <= self.now() + 10 {
                break;
            }
            let asking = self.ask(node, &rpc, want.method, hard, want.work, &calls);
            let last = match want.leaves {
                None => asking.await,
                Some(share) => {
                    let stays = duration((millis(m.hard_ms) as f64 * share) as Time);
                    // Dropping the call closes its connection.
                    timeout(stays, asking).await.unwrap_or(None)
                }
            };
            let now = asked + self.now().saturating_sub(from);
            match last {
                Some((Final::Completed, _)) => {
                    return self.books.borrow_mut().completed(
                        asked,
                        now,
                        want.method,
                        m.gain,
                        millis(m.soft_ms),
                    );
                }
                Some((Final::Exhausted, stay_away)) if n < self.scenario.load.retries => {
                    let backoff = Duration::from_secs_f64(self.scenario.load.backoff_ms / 1000.0);
                    sleep(stay_away.unwrap_or(backoff)).await;
                }
                Some((Final::Exhausted, _)) => return self.books.borrow_mut().exhausted(asked),
                _ => break,
            }
        }
        self.books.borrow_mut().errored(asked);
    }

    /// Puts an RPC before a balancer; none where its connection ended without an answer.
    async fn ask(
        &self,
        number: usize,
        rpc: &Rc<str>,
        method: usize,
        hard: Time,
        work: Time,
        calls: &str,
    ) -> Option<(Final, Option<Duration>)> {
        let (node, m) = (self.node(number), &self.scenario.method[method]);
        let ms = hard.saturating_sub(self.now()) / 10;
        let (verb, key) = match m.effect {
            Effect::Retriable => ("GET", String::new()),
            Effect::Deduped => ("POST", format!("Idempotency-Key: k-{rpc}\r\nContent-Length: 0\r\n")),
            Effect::NonRetriable => ("POST", "Content-Length: 0\r\n".to_owned()),
        };
        let name = &m.name;
        let bytes = format!(
            "{verb} /{name} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {rpc}\r\nReq-Kind: {name}\r\nReq-Deadline-Ms: {ms}\r\n\
             Lab-Work: {work}\r\nLab-Calls: {calls}\r\n{key}\r\n"
        );
        self.books.borrow_mut().ends.arrived += 1;
        let mut end = Ending { lab: self, rpc, last: None, broke: false };
        let kept = node.idle.borrow_mut().pop();
        let mut peer = match kept {
            Some(peer) => peer,
            None => {
                let Ok(stream) = TcpStream::connect(node.address).await else {
                    end.broke = true;
                    return None;
                };
                Peer::new(stream)
            }
        };
        self.open.borrow_mut().insert(Rc::clone(rpc), (number, 0));
        self.see(&Event::Arrived {
            rpc: Rc::clone(rpc),
            balancer: number,
            method,
            hard: self.now() + ms * 10,
        });
        let exchange = async {
            peer.write(bytes.as_bytes()).await.ok()?;
            peer.read().await.ok()?
        };
        // Beyond any answer that could still count: what does not come by then never does.
        let most = duration(hard.saturating_sub(self.now())) + Duration::from_secs(1);
        let Ok(Some(message)) = timeout(most, exchange).await else {
            end.broke = true;
            return None;
        };
        let last = match message.status() {
            // Served with what no upstream made is not served.
            200 if message.body == rpc.as_bytes() => Final::Completed,
            429 | 503 => Final::Exhausted,
            _ => Final::Errored,
        };
        end.last = Some(last);
        let stay_away = message.number::<f64>("retry-after").filter(|s| s.is_finite() && *s >= 0.0);
        if !message.closes() && node.alive.get() {
            node.idle.borrow_mut().push(peer);
        }
        Some((last, stay_away.map(Duration::from_secs_f64)))
    }

    // ----------------------------------------------------------------------------------------------- faults

    async fn fault(self: Rc<Self>, i: usize, fault: &Fault, from: Time) {
        let at = |s: f64| self.start + duration(from + seconds(s));
        sleep_until(at(fault.at_s)).await;
        let tier = self.scenario.tier_of(fault);
        let d = &self.scenario.discovery;
        let up = |n: &usize| {
            let stand = self.stand(*n);
            let model = stand.model.borrow();
            model.tier == tier && model.state == State::Up
        };
        let all = (0..self.stands.borrow().len()).filter(up);
        let all = all.map(|n| (n, self.stand(n).model.borrow().zone)).collect();
        let all = victims(fault, i, self.seed, all);
        for n in &all {
            let afflict = |a| {
                self.stand(*n).model.borrow_mut().afflicted.insert(i, a);
            };
            match fault.kind {
                Kind::Crash => {
                    self.die(*n, State::Dead);
                    self.announce(*n, Told::Gone, d.late_ms);
                }
                Kind::Vanish | Kind::ZoneLoss => {
                    self.die(*n, State::Silent);
                    self.announce(*n, Told::Gone, d.gone_late_ms);
                }
                Kind::Drain => {
                    self.stand(*n).model.borrow_mut().state = State::Draining;
                    self.announce(*n, Told::Drains, d.late_ms);
                }
                Kind::Slow => afflict(Affliction::Slow(fault.size)),
                Kind::FastErrors => afflict(Affliction::Errors(fault.size)),
                Kind::Hang => afflict(Affliction::Hang),
                _ => {}
            }
        }
        match fault.kind {
            Kind::ReportsLate => drop(self.reports_late.borrow_mut().insert(i, seconds(fault.size))),
            Kind::ListDown => {
                let until = from + seconds(fault.at_s + fault.for_s);
                self.list_down_until.set(self.list_down_until.get().max(until));
            }
            _ => {}
        }
        let end = fault.at_s + fault.for_s;
        match fault.kind {
            Kind::Replace => {
                let apart = fault.for_s / all.len().max(1) as f64;
                for (n, old) in all.iter().enumerate() {
                    sleep_until(at(fault.at_s + apart * n as f64)).await;
                    let (tier, zone, cell, state) = {
                        let stand = self.stand(*old);
                        let model = stand.model.borrow();
                        (model.tier, model.zone, model.cell, model.state)
                    };
                    if state != State::Up {
                        continue;
                    }
                    self.stand(*old).model.borrow_mut().state = State::Draining;
                    self.announce(*old, Told::Drains, d.late_ms);
                    let (lab, old, late) = (Rc::clone(&self), *old, d.late_ms);
                    spawn_local(async move {
                        sleep(Duration::from_secs_f64(late / 1000.0 + LINGER)).await;
                        lab.die(old, State::Dead);
                        lab.announce(old, Told::Gone, late);
                    });
                    let new = match self.new_stand(tier, zone, cell).await {
                        Ok(new) => self.new_balancer_of(new).await.map(|()| new),
                        Err(why) => Err(why),
                    };
                    match new {
                        Ok(new) => self.announce(new, Told::Ready, d.late_ms),
                        Err(why) => drop(self.trouble.replace(Some(why))),
                    }
                }
            }
            Kind::Flap => {
                for n in 0..(fault.for_s / fault.every_s).ceil() as usize {
                    sleep_until(at(fault.at_s + fault.every_s * n as f64)).await;
                    for u in &all {
                        let state = self.stand(*u).model.borrow().state;
                        if n.is_multiple_of(2) && state.serves() {
                            self.die(*u, State::Dead);
                            self.announce(*u, Told::Gone, d.late_ms);
                        } else if !n.is_multiple_of(2) && state == State::Dead {
                            self.revive(*u).await;
                        }
                    }
                }
            }
            Kind::Pauses => {
                for n in 0..(fault.for_s / fault.every_s).ceil() as usize {
                    sleep_until(at(fault.at_s + fault.every_s * n as f64)).await;
                    let until = self.now() + seconds(fault.size);
                    all.iter().for_each(|u| self.stand(*u).model.borrow_mut().paused_until = until);
                }
            }
            Kind::BalancerRestart => {
                let count = self.first.borrow().len();
                for n in 0..count {
                    sleep_until(at(fault.at_s + fault.for_s * n as f64 / count as f64)).await;
                    let old = self.first.borrow()[n];
                    let zone = self.node(old).zone;
                    self.balancer_dies(old);
                    match self.new_node(0, n, zone).await {
                        Ok(node) => self.first.borrow_mut()[n] = node,
                        Err(why) => drop(self.trouble.replace(Some(why))),
                    }
                }
            }
            _ => {}
        }
        sleep_until(at(end)).await;
        self.reports_late.borrow_mut().remove(&i);
        for n in all {
            self.stand(n).model.borrow_mut().afflicted.remove(&i);
            let state = self.stand(n).model.borrow().state;
            match fault.kind {
                Kind::Crash | Kind::Vanish | Kind::ZoneLoss | Kind::Flap if !state.serves() => {
                    self.revive(n).await;
                }
                Kind::Drain if state == State::Draining => {
                    self.stand(n).model.borrow_mut().state = State::Up;
                    self.announce(n, Told::Ready, d.late_ms);
                }
                _ => {}
            }
        }
    }
}

/// Notes an RPC's end, also when its caller leaves and the call is dropped.
struct Ending<'a> {
    lab: &'a Lab,
    rpc: &'a Rc<str>,
    last: Option<Final>,
    /// The connection ended without an answer.
    broke: bool,
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        let open = self.lab.open.borrow_mut().remove(self.rpc);
        let ends = &mut self.lab.books.borrow_mut().ends;
        let rpc = Rc::clone(self.rpc);
        match self.last {
            Some(last) => {
                match last {
                    Final::Completed => ends.completed += 1,
                    Final::Exhausted => ends.exhausted += 1,
                    Final::Errored => ends.errored += 1,
                }
                self.lab.see(&Event::Answered { rpc, last });
            }
            // The referee finds it unanswered, unless its balancer has died.
            None if self.broke => ends.lost += 1,
            None => {
                ends.abandoned += 1;
                if open.is_some() {
                    self.lab.see(&Event::CallerLeft { rpc });
                }
            }
        }
    }
}
