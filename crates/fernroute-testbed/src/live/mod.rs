//! The same scenario against real processes on loopback: stand-ins for callers, upstreams and discovery in this
//! process, the real program in as many others as the scenario has balancers. Arrivals are open-loop, and times count
//! from the intended moment, so that a stall of the laboratory or of the program is not hidden.

mod balancers;
mod callers;
mod discovery;
mod faults;
mod fleet;
mod upstreams;

use crate::demand::{rng_stream, Arrivals, RequestSpec, SIMULATION_STREAM};
use crate::metrics::RunMetrics;
use crate::referee::cold::ColdWindow;
use crate::referee::{Referee, Violation};
use crate::scenario::{seconds, FaultKind, Scenario};
use crate::trace::{Event, Observer as _};
use balancers::Node;
use fernroute::Time;
use fernroute_server::routing::clock::{duration, tenths};
use fleet::Stewards;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};
use upstreams::Stand;

/// What a real run brought.
pub struct Report {
    pub metrics: RunMetrics,
    pub violations: Vec<Violation>,
    /// Of each cold start that was sent anything, the window that came nearest to its fall.
    pub cold_starts: Vec<ColdWindow>,
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

struct Lab {
    scenario: Scenario,
    seed: u64,
    start: Instant,
    unix_ms: u64,
    folder: PathBuf,
    program: Vec<String>,
    /// Where the scenario has some; set before any balancer starts.
    stewards: RefCell<Option<Rc<Stewards>>>,
    steward: Vec<String>,
    referee: RefCell<Referee>,
    metrics: RefCell<RunMetrics>,
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

/// Plays the scenario in real time; `program` and `steward` are the words that start one of each, but for `--config FILE`.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    program: &[String],
    steward: &[String],
    folder: &Path,
) -> Result<Report, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async { Lab::play(scenario, seed, program, steward, folder).await })
}

impl Lab {
    async fn play(
        scenario: &Scenario,
        seed: u64,
        program: &[String],
        steward: &[String],
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
            stewards: RefCell::default(),
            steward: steward.to_vec(),
            referee: RefCell::new(Referee::new(&judged)),
            metrics: RefCell::new(RunMetrics::new(scenario)),
            nodes: RefCell::default(),
            first: RefCell::default(),
            stands: RefCell::default(),
            chance: RefCell::new(rng_stream(seed, SIMULATION_STREAM)),
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
        let stewards = lab.stewards.take();
        for (n, process) in stewards.iter().flat_map(|s| s.processes.take()).enumerate() {
            process.kill();
            let log = lab.folder.join(format!("s{n}.log"));
            let _ = std::fs::write(log, process.log().join("\n") + "\n");
        }
        result
    }

    async fn played(self: Rc<Self>) -> Result<Report, String> {
        let fleet =
            |kind| matches!(kind, FaultKind::StewardsDown | FaultKind::LeaderLoss | FaultKind::FleetCut);
        if self.scenario.fleet.stewards > 0 {
            let stewards = Stewards::start(&self.scenario, &self.steward, &self.folder).await?;
            self.stewards.replace(Some(Rc::new(stewards)));
        } else if let Some(fault) = self.scenario.fault.iter().find(|f| fleet(f.kind)) {
            return Err(format!(
                "{:?}: the scenario has no stewards for a real run (fleet.stewards)",
                fault.kind
            ));
        }
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
            self.latest.set(self.latest.get().max(late));
            self.sent_late.set(self.sent_late.get() + u64::from(late > LATE));
            let want = RequestSpec::generate(&self.scenario, self.seed, number);
            callers.spawn_local(Rc::clone(&self).request(number, want, intended, at));
            number += 1;
            while callers.try_join_next().is_some() {}
            if let Some(why) = self.trouble.take() {
                return Err(why);
            }
        }
        while callers.join_next().await.is_some() {}
        // Calls of upstreams whose callers were answered otherwise are open for as long as their deadlines, at most.
        let last = self.now() + self.scenario.longest_hard_deadline() + seconds(1.5);
        while !self.open.borrow().is_empty() && self.now() < last {
            sleep(Duration::from_millis(20)).await;
        }
        let metrics = self.metrics.replace(RunMetrics::new(&self.scenario));
        let mut referee = self.referee.replace(Referee::new(&self.scenario));
        referee.finish(self.now());
        let (mut violations, cold_starts) = (referee.violations, referee.cold_starts);
        // In the scenario's time, as everything else.
        violations.iter_mut().for_each(|b| b.at = b.at.saturating_sub(from));
        let (sent_late, latest) = (self.sent_late.get(), self.latest.get());
        Ok(Report { metrics, violations, cold_starts, requests: number, sent_late, latest })
    }

    fn now(&self) -> Time {
        tenths(self.start.elapsed())
    }

    fn observe(&self, event: &Event) {
        self.referee.borrow_mut().observe(self.now(), event);
    }
}
