//! The same scenario against real processes on loopback: stand-ins for callers, upstreams and discovery in this
//! process, the real program in as many others as the scenario has balancers. Arrivals are open-loop, and times count
//! from the intended moment, so that a stall of the laboratory or of the program is not hidden.

mod balancers;
mod callers;
mod discovery;
mod faults;
mod fleet;
mod upstreams;

use crate::books::Books;
use crate::demand::{stream, Arrivals, Want, CHANCE};
use crate::referee::cold::Worst;
use crate::referee::{Breach, Referee};
use crate::scenario::{seconds, Kind, Scenario};
use crate::trace::{Event, Witness as _};
use balancers::BalancerProcess;
use fernroute::Time;
use fernroute_server::routing::clock::{duration, tenths};
use fleet::Coordinators;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};
use upstreams::StandIn;

/// What a real run brought.
pub struct Report {
    pub books: Books,
    pub breaches: Vec<Breach>,
    /// Of each cold start that was sent anything, the window that came nearest to its fall.
    pub cold_starts: Vec<Worst>,
    pub requests: u64,
    /// Requests that were sent later than they should have been, and by how much the latest.
    pub sent_late: u64,
    pub max_delay: Duration,
}

impl Report {
    /// Why the figures say nothing, if they do not.
    pub fn invalid_reason(&self) -> Option<String> {
        /// One request in a hundred may be sent late before the load is no longer the one that was asked for.
        const MAX_LATE_SHARE: f64 = 0.01;
        let share = self.sent_late as f64 / (self.requests as f64).max(1.0);
        (share > MAX_LATE_SHARE).then(|| {
            let (late, all, max_delay) = (self.sent_late, self.requests, self.max_delay.as_millis());
            format!("the load was not kept: {late} of {all} requests were sent late, by up to {max_delay} ms")
        })
    }
}

/// A request that leaves so much after its moment was sent late.
const LATE_THRESHOLD: Duration = Duration::from_millis(10);

/// What the real clock and sockets add to any limit.
const SLACK_MS: f64 = 50.0;

struct Lab {
    scenario: Scenario,
    seed: u64,
    start: Instant,
    unix_ms: u64,
    folder: PathBuf,
    balancer_command: Vec<String>,
    /// Where the scenario has some; set before any balancer starts.
    coordinators: RefCell<Option<Rc<Coordinators>>>,
    coordinator_command: Vec<String>,
    referee: RefCell<Referee>,
    books: RefCell<Books>,
    nodes: RefCell<Vec<Rc<BalancerProcess>>>,
    first_tier: RefCell<Vec<usize>>,
    upstreams: RefCell<Vec<Rc<StandIn>>>,
    rng: RefCell<ChaCha8Rng>,
    /// By RPC: which balancer it was put before, how many transmissions of it came. Emptied by its answer.
    open_rpcs: RefCell<BTreeMap<Rc<str>, (usize, usize)>>,
    calls: Cell<u64>,
    reports_late: RefCell<BTreeMap<usize, Time>>,
    list_unavailable_until: Cell<Time>,
    sent_late: Cell<u64>,
    max_delay: Cell<Duration>,
    error: RefCell<Option<String>>,
}

/// Plays the scenario in real time; `program` and `steward` are the words that start one of each, but for `--config FILE`.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    balancer_command: &[String],
    coordinator_command: &[String],
    folder: &Path,
) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        Lab::run(scenario, seed, balancer_command, coordinator_command, folder).await
    })
}

impl Lab {
    async fn run(
        scenario: &Scenario,
        seed: u64,
        balancer_command: &[String],
        coordinator_command: &[String],
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
            balancer_command: balancer_command.to_vec(),
            coordinators: RefCell::default(),
            coordinator_command: coordinator_command.to_vec(),
            referee: RefCell::new(Referee::new(&judged)),
            books: RefCell::new(Books::new(scenario)),
            nodes: RefCell::default(),
            first_tier: RefCell::default(),
            upstreams: RefCell::default(),
            rng: RefCell::new(stream(seed, CHANCE)),
            open_rpcs: RefCell::default(),
            calls: Cell::new(0),
            reports_late: RefCell::default(),
            list_unavailable_until: Cell::new(0),
            sent_late: Cell::new(0),
            max_delay: Cell::new(Duration::ZERO),
            error: RefCell::default(),
        });
        let result = lab.clone().run_scenario().await;
        for node in lab.nodes.borrow().iter() {
            node.agent.serving.abort();
            node.process.kill();
            let log = lab.folder.join(format!("{}.log", node.name));
            // For whoever looks into the run; it is judged without.
            let _ = std::fs::write(log, node.process.log().join("\n") + "\n");
        }
        let coordinators = lab.coordinators.take();
        for (n, process) in coordinators.iter().flat_map(|s| s.processes.take()).enumerate() {
            process.kill();
            let log = lab.folder.join(format!("s{n}.log"));
            let _ = std::fs::write(log, process.log().join("\n") + "\n");
        }
        result
    }

    async fn run_scenario(self: Rc<Self>) -> Result<Report, String> {
        let fleet = |kind| matches!(kind, Kind::StewardsDown | Kind::LeaderLoss | Kind::FleetCut);
        if self.scenario.fleet.stewards > 0 {
            let coordinators =
                Coordinators::start(&self.scenario, &self.coordinator_command, &self.folder).await?;
            self.coordinators.replace(Some(Rc::new(coordinators)));
        } else if let Some(fault) = self.scenario.fault.iter().find(|f| fleet(f.kind)) {
            return Err(format!(
                "{:?}: the scenario has no stewards for a real run (fleet.stewards)",
                fault.kind
            ));
        }
        for (tier, of) in self.scenario.tier.iter().enumerate() {
            for place in 0..of.upstreams {
                self.new_stand_in(tier, place % of.zones, place / of.cell).await?;
            }
        }
        let count = self.upstreams.borrow().len();
        for stand_in in 0..count {
            self.new_upstream_balancer(stand_in).await?;
        }
        for number in 0..self.scenario.tier[0].balancers {
            let node = self.start_balancer(0, number, number % self.scenario.tier[0].zones).await?;
            self.first_tier.borrow_mut().push(node);
        }
        // The scenario's time begins once all are ready; a fleet's budgets are divided by then.
        let settle = if self.scenario.fleet.stewards > 0 { 2.0 } else { 0.2 };
        let from = self.now() + seconds(settle);
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
            self.max_delay.set(self.max_delay.get().max(late));
            self.sent_late.set(self.sent_late.get() + u64::from(late > LATE_THRESHOLD));
            let want = Want::of(&self.scenario, self.seed, number);
            callers.spawn_local(Rc::clone(&self).request(number, want, intended, at));
            number += 1;
            while callers.try_join_next().is_some() {}
            if let Some(why) = self.error.take() {
                return Err(why);
            }
        }
        while callers.join_next().await.is_some() {}
        // Calls of upstreams whose callers were answered otherwise are open for as long as their deadlines, at most.
        let last = self.now() + self.scenario.longest() + seconds(1.5);
        while !self.open_rpcs.borrow().is_empty() && self.now() < last {
            sleep(Duration::from_millis(20)).await;
        }
        let books = self.books.replace(Books::new(&self.scenario));
        let mut referee = self.referee.replace(Referee::new(&self.scenario));
        referee.end(self.now());
        let (mut breaches, cold_starts) = (referee.breaches, referee.cold_starts);
        // In the scenario's time, as everything else.
        breaches.iter_mut().for_each(|b| b.at = b.at.saturating_sub(from));
        let (sent_late, max_delay) = (self.sent_late.get(), self.max_delay.get());
        Ok(Report { books, breaches, cold_starts, requests: number, sent_late, max_delay })
    }

    fn now(&self) -> Time {
        tenths(self.start.elapsed())
    }

    fn record(&self, event: &Event) {
        self.referee.borrow_mut().see(self.now(), event);
    }
}
