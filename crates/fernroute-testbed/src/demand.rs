//! Random demand: arrivals and requests of callers. Equal seeds give equal demand in the simulator and in live runs, and
//! for every policy.

use crate::scenario::{millis, seconds, Fault, FaultKind, Scenario, Spread};
use fernroute::Time;
use rand::seq::SliceRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp1, StandardNormal};
use std::rc::Rc;

/// Numbers of the independent random streams of a seed; request `n` has the stream `FIRST_REQUEST_STREAM + n`.
pub const ARRIVAL_STREAM: u64 = 1;
pub const SIMULATION_STREAM: u64 = 2;
const FIRST_REQUEST_STREAM: u64 = 1 << 32;

pub fn rng_stream(seed: u64, part: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(part);
    rng
}

/// Time in seconds from the drain update to the exit of a drained upstream: longer than most RPCs take.
pub const DRAINED_EXIT_DELAY_S: f64 = 6.0;

/// The random seed of a balancer.
pub fn balancer_seed(seed: u64, node: usize) -> u64 {
    seed ^ (node as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Selects the targets of fault `i` among these upstreams and zones, independently of the policy.
pub fn fault_targets(fault: &Fault, i: usize, seed: u64, mut up: Vec<(usize, usize)>) -> Vec<usize> {
    if fault.kind == FaultKind::ZoneLoss {
        up.retain(|(_, zone)| *zone == fault.size as usize);
    } else {
        up.shuffle(&mut rng_stream(seed, (i as u64 + 1) << 16));
        up.truncate((up.len() as f64 * fault.part).round() as usize);
    }
    up.into_iter().map(|(n, _)| n).collect()
}

/// A caller's request, with all its retries.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    pub method: usize,
    /// Work on one core over all tiers, and calls to each tier for one RPC of the tier above.
    pub work: Time,
    pub calls: Rc<[u32]>,
    /// Share of the hard deadline after which the caller leaves, if it does.
    pub leaves_after: Option<f64>,
    /// Index of the first-tier balancer that receives the first RPC.
    pub balancer: usize,
    /// The tenant, if the scenario has any.
    pub tenant: Option<usize>,
}

impl RequestSpec {
    /// Draws a request from its own random stream.
    pub fn generate(scenario: &Scenario, seed: u64, number: u64) -> Self {
        let mut rng = rng_stream(seed, FIRST_REQUEST_STREAM + number);
        let methods = &scenario.method;
        let mut at = rng.random::<f64>() * methods.iter().map(|m| m.share).sum::<f64>();
        let method = methods.iter().position(|m| {
            at -= m.share;
            at < 0.0
        });
        let method = method.unwrap_or(methods.len() - 1);
        let m = &methods[method];
        let factor = match m.spread {
            Spread::Fixed => 1.0,
            Spread::Exponential => Exp1.sample(&mut rng),
            Spread::Lognormal => {
                let sigma = (1.0 + m.cv * m.cv).ln().sqrt();
                let normal: f64 = StandardNormal.sample(&mut rng);
                (sigma * normal - sigma * sigma / 2.0).exp()
            }
        };
        let calls = scenario.tier.iter().map(|t| {
            let whole = t.calls.floor();
            whole as u32 + u32::from(rng.random::<f64>() < t.calls - whole)
        });
        let calls = calls.collect();
        let impatient = rng.random::<f64>() < scenario.load.impatient;
        let leaves = impatient.then(|| 0.5 * rng.random::<f64>());
        let balancers = scenario.tier[0].balancers;
        // The front end distributes connections evenly.
        let mut balancer = rng.random_range(0..balancers);
        let tenants = &scenario.tenant;
        let mut at = rng.random::<f64>() * tenants.iter().map(|t| t.share).sum::<f64>();
        let tenant = tenants.iter().position(|t| {
            at -= t.share;
            at < 0.0
        });
        let tenant = tenant.or(tenants.len().checked_sub(1));
        if let Some((n, of)) = tenant.map(|n| (n, &tenants[n])).filter(|(_, of)| of.busiest != 1.0) {
            let busy = n % balancers;
            let others = rng.random_range(1..balancers.max(2));
            let here = rng.random::<f64>() * (balancers as f64) < of.busiest;
            balancer = if here { busy } else { (busy + others) % balancers };
        }
        RequestSpec {
            method,
            work: millis(m.work_ms * factor).max(1),
            calls,
            leaves_after: leaves,
            balancer,
            tenant,
        }
    }
}

/// Poisson arrivals of requests before `end`, at a rate that follows the surges.
pub struct Arrivals {
    rng: ChaCha8Rng,
    now: Time,
    end: Time,
}

impl Arrivals {
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        Arrivals { rng: rng_stream(seed, ARRIVAL_STREAM), now: 0, end: seconds(scenario.seconds) }
    }

    pub fn next(&mut self, scenario: &Scenario) -> Option<Time> {
        let on = |f: &&Fault| {
            f.kind == FaultKind::Surge && (seconds(f.at_s)..seconds(f.at_s + f.for_s)).contains(&self.now)
        };
        let surge: f64 = scenario.fault.iter().filter(on).map(|f| f.size).product();
        // A minimum rate, so that arrivals continue after a surge of size 0.
        let rate = (scenario.load.rate * surge).max(0.01);
        let wait: f64 = Exp1.sample(&mut self.rng);
        self.now += ((wait * seconds(1.0) as f64 / rate).round() as Time).max(1);
        (self.now < self.end).then_some(self.now)
    }
}
