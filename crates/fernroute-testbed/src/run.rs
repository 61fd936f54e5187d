//! Runs one scenario with one variant and one seed.

use crate::metrics::RunMetrics;
use crate::policy::{PolicyFactory, Variant};
use crate::referee::cold::ColdWindow;
use crate::referee::{Referee, Violation};
use crate::scenario::Scenario;
use crate::simulation::Simulation;
use crate::trace::{Event, Observer};
use fernroute::Time;

pub struct RunResult {
    pub metrics: RunMetrics,
    pub violations: Vec<Violation>,
    /// The window closest to the overload threshold, for each cold start that received an RPC.
    pub cold_starts: Vec<ColdWindow>,
    /// The largest number of events, jobs and requests held at once.
    pub max_held: usize,
}

/// Passes events to the referee and a second observer.
struct Both<'a>(&'a mut Referee, &'a mut dyn Observer);

impl Observer for Both<'_> {
    fn observe(&mut self, at: Time, event: &Event) {
        self.0.observe(at, event);
        self.1.observe(at, event);
    }
}

/// An observer that ignores all events.
pub struct NoObserver;

impl Observer for NoObserver {
    fn observe(&mut self, _: Time, _: &Event) {}
}

pub fn run(scenario: &Scenario, variant: Variant, seed: u64) -> RunResult {
    let make: &PolicyFactory<'_> =
        &|s, position, desk, now, seed| variant.policy(s, position, desk, now, seed);
    run_with_options(scenario, seed, make, variant == Variant::Fleet, &mut NoObserver)
}

/// Runs a scenario with custom policies and an observer.
pub fn run_with_policy(
    scenario: &Scenario,
    seed: u64,
    make: &PolicyFactory<'_>,
    onlooker: &mut dyn Observer,
) -> RunResult {
    run_with_options(scenario, seed, make, false, onlooker)
}

/// As [`run_with_policy`]; with `fleet`, the first tier's balancers share tenants' budgets through a ledger.
pub fn run_with_options(
    scenario: &Scenario,
    seed: u64,
    make: &PolicyFactory<'_>,
    fleet: bool,
    onlooker: &mut dyn Observer,
) -> RunResult {
    let mut referee = Referee::new(scenario);
    let mut both = Both(&mut referee, onlooker);
    let (metrics, max_held) = Simulation::new(scenario, seed, make, fleet, &mut both).run();
    referee.finish(Time::MAX);
    RunResult { metrics, violations: referee.violations, cold_starts: referee.cold_starts, max_held }
}
