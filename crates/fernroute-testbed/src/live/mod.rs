//! Runs a scenario against real processes on loopback. Callers, upstreams and discovery are stand-ins in
//! this process; each balancer is a separate process of the real program. Arrivals are open-loop and
//! times count from the intended moment, so that a stall of the testbed or of the program is not hidden.

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

/// Results of a live run.
pub struct Report {
    pub metrics: RunMetrics,
    pub violations: Vec<Violation>,
    /// For each cold start with any load, the window closest to overload.
    pub cold_starts: Vec<ColdWindow>,
    pub requests: u64,
    /// Requests sent later than intended, and the largest delay of any request.
    pub sent_late: u64,
    pub max_delay: Duration,
}

impl Report {
    /// The reason why the results are invalid, if they are.
    pub fn invalid_reason(&self) -> Option<String> {
        /// Up to 1% of the requests may be sent late; beyond that the load is no longer the intended
        /// one.
        const MAX_LATE_SHARE: f64 = 0.01;
        let share = self.sent_late as f64 / (self.requests as f64).max(1.0);
        (share > MAX_LATE_SHARE).then(|| {
            let (late, all, max_delay) = (self.sent_late, self.requests, self.max_delay.as_millis());
            format!("load not sustained: {late} of {all} requests were sent late, by up to {max_delay} ms")
        })
    }
}

/// A request is late when it is sent this long after its intended moment.
const LATE_THRESHOLD: Duration = Duration::from_millis(10);

/// Tolerance added to time limits for the real clock and sockets.
const SLACK_MS: f64 = 50.0;

struct Lab {
    scenario: Scenario,
    seed: u64,
    start: Instant,
    unix_ms: u64,
    folder: PathBuf,
    balancer_command: Vec<String>,
    /// Set before any balancer starts, if the scenario has coordinators.
    coordinators: RefCell<Option<Rc<Coordinators>>>,
    coordinator_command: Vec<String>,
    referee: RefCell<Referee>,
    metrics: RefCell<RunMetrics>,
    balancers: RefCell<Vec<Rc<BalancerProcess>>>,
    first_tier: RefCell<Vec<usize>>,
    upstreams: RefCell<Vec<Rc<StandIn>>>,
    rng: RefCell<ChaCha8Rng>,
    /// By RPC: the balancer it was sent to and the number of attempts received. Removed when the RPC
    /// ends.
    open_rpcs: RefCell<BTreeMap<Rc<str>, (usize, usize)>>,
    calls: Cell<u64>,
    reports_late: RefCell<BTreeMap<usize, Time>>,
    list_unavailable_until: Cell<Time>,
    sent_late: Cell<u64>,
    max_delay: Cell<Duration>,
    error: RefCell<Option<String>>,
}

/// Runs the scenario in real time. `balancer_command` and `coordinator_command` start one process each
/// and are followed by `--config FILE`.
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
        let mut lenient = scenario.clone();
        lenient.rules.answer_slack_ms += SLACK_MS;
        lenient.rules.drain_grace_ms += SLACK_MS;
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
            referee: RefCell::new(Referee::new(&lenient)),
            metrics: RefCell::new(RunMetrics::new(scenario)),
            balancers: RefCell::default(),
            first_tier: RefCell::default(),
            upstreams: RefCell::default(),
            rng: RefCell::new(rng_stream(seed, SIMULATION_STREAM)),
            open_rpcs: RefCell::default(),
            calls: Cell::new(0),
            reports_late: RefCell::default(),
            list_unavailable_until: Cell::new(0),
            sent_late: Cell::new(0),
            max_delay: Cell::new(Duration::ZERO),
            error: RefCell::default(),
        });
        let result = lab.clone().run_scenario().await;
        for balancer in lab.balancers.borrow().iter() {
            balancer.agent.serving.abort();
            balancer.process.kill();
            let log = lab.folder.join(format!("{}.log", balancer.name));
            // Logs are for diagnosis only; errors on writing them are ignored.
            let _ = std::fs::write(log, balancer.process.log().join("\n") + "\n");
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
        let needs_coordinators =
            |kind| matches!(kind, FaultKind::StewardsDown | FaultKind::LeaderLoss | FaultKind::FleetCut);
        if self.scenario.fleet.stewards > 0 {
            let coordinators =
                Coordinators::start(&self.scenario, &self.coordinator_command, &self.folder).await?;
            self.coordinators.replace(Some(Rc::new(coordinators)));
        } else if let Some(fault) = self.scenario.fault.iter().find(|f| needs_coordinators(f.kind)) {
            return Err(format!(
                "{:?}: the scenario has no coordinators for a live run (fleet.stewards)",
                fault.kind
            ));
        }
        for (tier, settings) in self.scenario.tier.iter().enumerate() {
            for place in 0..settings.upstreams {
                self.new_stand_in(tier, place % settings.zones, place / settings.cell).await?;
            }
        }
        let count = self.upstreams.borrow().len();
        for stand_in in 0..count {
            self.new_upstream_balancer(stand_in).await?;
        }
        for number in 0..self.scenario.tier[0].balancers {
            let balancer = self.start_balancer(0, number, number % self.scenario.tier[0].zones).await?;
            self.first_tier.borrow_mut().push(balancer);
        }
        // Scenario time starts once all processes are ready; by then a fleet's budgets are divided.
        let settle = if self.scenario.fleet.stewards > 0 { 2.0 } else { 0.2 };
        let from = self.now() + seconds(settle);
        for (i, fault) in self.scenario.fault.iter().cloned().enumerate() {
            let lab = Rc::clone(&self);
            spawn_local(async move { lab.inject_fault(i, &fault, from).await });
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
            let want = RequestSpec::generate(&self.scenario, self.seed, number);
            callers.spawn_local(Rc::clone(&self).request(number, want, intended, at));
            number += 1;
            while callers.try_join_next().is_some() {}
            if let Some(error) = self.error.take() {
                return Err(error);
            }
        }
        while callers.join_next().await.is_some() {}
        // Calls from upstreams whose callers already have an answer stay open until their deadlines at
        // most.
        let last = self.now() + self.scenario.longest_hard_deadline() + seconds(1.5);
        while !self.open_rpcs.borrow().is_empty() && self.now() < last {
            sleep(Duration::from_millis(20)).await;
        }
        let metrics = self.metrics.replace(RunMetrics::new(&self.scenario));
        let mut referee = self.referee.replace(Referee::new(&self.scenario));
        referee.finish(self.now());
        let (mut violations, cold_starts) = (referee.violations, referee.cold_starts);
        // Convert to scenario time.
        violations.iter_mut().for_each(|b| b.at = b.at.saturating_sub(from));
        let (sent_late, max_delay) = (self.sent_late.get(), self.max_delay.get());
        Ok(Report { metrics, violations, cold_starts, requests: number, sent_late, max_delay })
    }

    fn now(&self) -> Time {
        tenths(self.start.elapsed())
    }

    fn record(&self, event: &Event) {
        self.referee.borrow_mut().observe(self.now(), event);
    }
}
