//! Runs at the size of a whole installation: hollow balancers, real ones with load beside them, real stewards, faults.

pub mod changes;
mod faults;
pub mod figures;
pub mod file;
pub mod fit;
mod fleet;
pub mod hollow;
pub mod layout;
pub mod limit;
mod load;
pub mod report;
pub mod stand_in;

use changes::ChangeStats;
use faults::FaultRunner;
use figures::{summarize, Sample};
use file::Plan;
use fleet::Fleet;
use layout::Layout;
use load::{Load, LoadRates, Phase};
use report::{AddedLatency, HollowComparison, Report};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// How long is looked at each of the shorter things, in parts of what is measured.
const SHORT_PHASE_SHARE: f64 = 0.5;

/// A plan that this machine may run, or why it will not do: said before anything is started.
pub fn prepare(file: &Path, factor: f64) -> Result<Layout, String> {
    if !(0.001..=100.0).contains(&factor) {
        return Err(format!("--factor: {factor} is not between 0.001 and 100"));
    }
    let layout = Layout::new(Plan::read(file)?.scaled_by(factor));
    match layout.rejection_reason(figures::machine_kb()?) {
        Some(why) => Err(format!("{}: {why}", file.display())),
        None => Ok(layout),
    }
}

/// Why there is no report, and the code to end with: 3 where it did not even start, 1 where it broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunError {
    pub exit_code: u8,
    pub reason: String,
}

/// Runs it; `program` has the roles of the laboratory's own, and `folder` holds nothing.
pub fn run(layout: Layout, factor: f64, program: &Path, folder: &Path) -> Result<Report, RunError> {
    let failed = |exit_code| move |reason| RunError { exit_code, reason };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| failed(3)(format!("runtime: {e}")))?;
    LocalSet::new().block_on(&runtime, async {
        let fleet = Fleet::start(layout, program, folder).await.map_err(failed(3))?;
        measure(&fleet, factor).await.map_err(failed(1))
    })
}

/// Seconds that are looked at as they come.
type Samples = Rc<RefCell<Vec<Sample>>>;

async fn measure(fleet: &Rc<Fleet>, factor: f64) -> Result<Report, String> {
    let plan = &fleet.layout.plan;
    let balancers = fleet.wait_for_real().await?;
    let rates = LoadRates {
        each: plan.load.rate,
        times: plan.load.times.unwrap_or(1.0),
        tenants: plan.budgets,
        per_tenant: plan.load.tenants * plan.whole,
    };
    // Without a real balancer nothing is asked of anybody.
    let direct = fleet.direct().unwrap_or(fleet.coordinator_addresses[0]);
    let load = Load::start(direct, &balancers, rates)?;
    let samples = Samples::default();
    let sampling = spawn_local(fleet::sample_costs(Rc::clone(fleet), Rc::clone(&samples)));
    let polling = spawn_local(fleet::poll_metrics(Rc::clone(fleet)));
    let part = |of: f64| Duration::from_secs_f64(of);
    sleep(part(plan.settle_s)).await;

    load.set_phase(Phase::Mean);
    let first = samples.borrow().len();
    sleep(part(plan.measure_s)).await;
    let last = samples.borrow().len();
    let memory = fleet.memory_kb();
    let mut during: Vec<Phase> = Vec::new();
    if !balancers.is_empty() && plan.load.rate > 0.0 {
        if plan.load.times.is_some() {
            load.set_phase(Phase::Times);
            sleep(part(plan.measure_s)).await;
            during.push(Phase::Times);
        }
        load.set_phase(Phase::UpstreamList);
        during.push(Phase::UpstreamList);
        let pause = part(plan.measure_s * SHORT_PHASE_SHARE / 10.0);
        for _ in 0..10 {
            fleet.republish_list().await?;
            sleep(pause).await;
        }
        if plan.load.tenants > 0.0 {
            load.set_phase(Phase::Division);
            during.push(Phase::Division);
            for _ in 0..10 {
                load.rotate_tenant_target();
                sleep(pause).await;
            }
        }
    }
    let mut changed = ChangeStats::default();
    if let Some(changes) = &plan.changes {
        load.set_phase(Phase::Change);
        during.extend((!balancers.is_empty()).then_some(Phase::Change));
        changed = changes::make_changes(fleet, changes.count, part(changes.every_s)).await?;
    }
    load.set_phase(Phase::Idle);

    let (mut fault_results, mut overgranted) = (Vec::new(), overgranted_budgets(fleet).await?);
    let rate = {
        let samples = samples.borrow();
        let (mut messages, mut time) = (0, 0.0);
        for s in &samples[first..last] {
            messages += s.coordinators[s.leader].counted.messages;
            time += s.seconds;
        }
        // What stewards say to each other is some hundred messages a second at the most: taken off as counted.
        let coordinator_links: u64 =
            fleet.coordinator_links.values().map(|link| link.traffic().messages).sum();
        let whole: f64 = samples.iter().map(|s| s.seconds).sum::<f64>().max(1.0);
        let all = messages as f64 / time.max(1.0) - coordinator_links as f64 / whole;
        all / fleet.layout.members.len() as f64
    };
    let runner = FaultRunner { fleet, load: &load, seconds: &samples, rate };
    for fault in &plan.fault {
        fault_results.push(runner.run(fault).await?);
        overgranted += overgranted_budgets(fleet).await?;
    }
    let ran = fleet.ran().await?;
    sampling.abort();
    polling.abort();
    if !fleet.stand_ins_running() {
        return Err("a stand-in has ended".to_owned());
    }

    let all = samples.borrow();
    let window = &all[first..last];
    let (hollow, real) = (fleet.layout.members.len() - fleet.layout.real_count(), fleet.layout.real_count());
    let coordinators = fleet.coordinator_addresses.len();
    let of_hollow = summarize(window, &all, hollow, memory.0, |s| s.hollow);
    let of_real = summarize(window, &all, real, memory.1, |s| s.real);
    let leader = window.last().map_or(0, |s| s.leader);
    let follower = |s: &Sample| {
        let mut sum = figures::Cost::default();
        s.coordinators.iter().enumerate().filter(|(n, _)| *n != s.leader).for_each(|(_, cost)| sum += *cost);
        sum
    };
    let of_followers: u64 = memory.2.iter().enumerate().filter(|(n, _)| *n != leader).map(|(_, kb)| kb).sum();
    let loaded = real > 0 && (plan.load.rate > 0.0 || plan.load.tenants > 0.0);
    let report = load.with_stats(|stats| {
        stats.loss_reasons.iter().for_each(|why| println!("lost: {why}"));
        Report {
            name: plan.name.clone(),
            factor,
            hollow,
            real,
            balancer: if hollow > 0 { of_hollow } else { of_real },
            balancer_real: of_real,
            coordinator_leader: summarize(window, &all, 1, memory.2[leader], |s| s.coordinators[s.leader]),
            coordinator_follower: summarize(window, &all, coordinators - 1, of_followers, follower),
            discovery: summarize(window, &all, 1, memory.3, |s| s.discovery),
            alike: if hollow > 0 {
                HollowComparison::of(&of_hollow, &of_real)
            } else {
                HollowComparison::default()
            },
            changes: changed,
            added_ms: AddedLatency::during(stats, Phase::Mean),
            added_ms_during: during
                .iter()
                .map(|p| (p.name().to_owned(), AddedLatency::during(stats, *p)))
                .collect(),
            rpcs: loaded.then_some(stats.sent),
            refused: loaded.then_some(stats.refused),
            crossed: loaded.then_some(stats.crossed),
            sent_late: loaded.then_some(stats.late),
            beyond_whole: Some(overgranted + ran.beyond),
            lost: loaded.then_some(stats.lost),
            faults: fault_results,
            not_kept: stats.overload_reason(),
        }
    });
    Ok(report)
}

/// How many budgets of the ledger are granted beyond their whole, by the leader's own word.
async fn overgranted_budgets(fleet: &Fleet) -> Result<u64, String> {
    let (_, status) = fleet.leader().await?;
    Ok(status.budgets.values().filter(|b| b.allocated > b.limit * 1.000_001).count() as u64)
}
