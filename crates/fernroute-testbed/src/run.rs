//! One scenario, one variant, one seed.

use crate::books::Books;
use crate::player::{Maker, Variant};
use crate::referee::cold::Worst;
use crate::referee::{Breach, Referee};
use crate::scenario::Scenario;
use crate::trace::{Event, Witness};
use crate::world::World;
use fernroute::Time;

pub struct Result {
    pub books: Books,
    pub breaches: Vec<Breach>,
    /// Of each cold start that was sent anything, the window that came nearest to its fall.
    pub cold_starts: Vec<Worst>,
    /// The most events, jobs and requests held at a time.
    pub most_held: usize,
}

/// The referee, and whoever else looks on.
struct Both<'a>(&'a mut Referee, &'a mut dyn Witness);

impl Witness for Both<'_> {
    fn see(&mut self, at: Time, event: &Event) {
        self.0.see(at, event);
        self.1.see(at, event);
    }
}

/// Keeps nothing.
pub struct Nobody;

impl Witness for Nobody {
    fn see(&mut self, _: Time, _: &Event) {}
}

pub fn run(scenario: &Scenario, variant: Variant, seed: u64) -> Result {
    let make: &Maker<'_> = &|s, post, desk, now, seed| variant.player(s, post, desk, now, seed);
    run_as(scenario, seed, make, variant == Variant::Fleet, &mut Nobody)
}

/// The same with balancers of one's own, and somebody who looks on.
pub fn run_with(scenario: &Scenario, seed: u64, make: &Maker<'_>, onlooker: &mut dyn Witness) -> Result {
    run_as(scenario, seed, make, false, onlooker)
}

/// `fleet`: the first tier's balancers share tenants' budgets by a ledger.
pub fn run_as(
    scenario: &Scenario,
    seed: u64,
    make: &Maker<'_>,
    fleet: bool,
    onlooker: &mut dyn Witness,
) -> Result {
    let mut referee = Referee::new(scenario);
    let mut both = Both(&mut referee, onlooker);
    let (books, most_held) = World::new(scenario, seed, make, fleet, &mut both).play();
    referee.end(Time::MAX);
    Result { books, breaches: referee.breaches, cold_starts: referee.cold_starts, most_held }
}
