//! Scale runs, up to the size of a whole installation: hollow balancers, real balancers under load, real
//! coordinators, and faults.

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

/// Duration of each of the shorter phases, as a share of the measured time.
const SHORT_PHASE_SHARE: f64 = 0.5;

/// Reads and scales a plan. Fails before anything is started if this machine may not run it.
pub fn prepare(file: &Path, factor: f64) -> Result<Layout, String> {
    if !(0.001..=100.0).contains(&factor) {
        return Err(format!("--factor: {factor} is not between 0.001 and 100"));
    }
    let layout = Layout::new(Plan::read(file)?.scaled_by(factor));
    match layout.rejection_reason(figures::machine_kb()?) {
        Some(reason) => Err(format!("{}: {reason}", file.display())),
        None => Ok(layout),
    }
}

/// Why there is no report, with the exit code: 3 if the run did not start, 1 if it was aborted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunError {
    pub exit_code: u8,
    pub reason: String,
}

/// Runs a layout. `program` is the testbed binary, and `folder` is empty.
pub fn run(layout: Layout, factor: f64, program: &Path, folder: &Path) -> Result<Report, RunError> {
    let failed = |exit_code| move |reason| RunError { exit_code, reason };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| failed(3)(format!("runtime: {e}")))?;
    LocalSet::new().block_on(&runtime, async {
        let fleet = Fleet::start(layout, program, folder).await.map_err(failed(3))?;
        measure(&fleet, factor).await.map_err(failed(1))
    })
}

/// Cost samples, appended while the run goes on.
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
    // Not used without a real balancer: then there is no load.
    let direct = fleet.direct().unwrap_or(fleet.coordinator_addresses[0]);
    let load = Load::start(direct, &balancers, rates)?;
    let samples = Samples::default();
    let sampling = spawn_local(fleet::sample_costs(Rc::clone(fleet), Rc::clone(&samples)));
    let polling = spawn_local(fleet::poll_metrics(Rc::clone(fleet)));
    let seconds = |of: f64| Duration::from_secs_f64(of);
    sleep(seconds(plan.settle_s)).await;

    load.set_phase(Phase::Mean);
    let first = samples.borrow().len();
    sleep(seconds(plan.measure_s)).await;
    let last = samples.borrow().len();
    let memory = fleet.memory_kb();
    let mut phases: Vec<Phase> = Vec::new();
    if !balancers.is_empty() && plan.load.rate > 0.0 {
        if plan.load.times.is_some() {
            load.set_phase(Phase::Times);
            sleep(seconds(plan.measure_s)).await;
            phases.push(Phase::Times);
        }
        load.set_phase(Phase::List);
        phases.push(Phase::List);
        let pause = seconds(plan.measure_s * SHORT_PHASE_SHARE / 10.0);
        for _ in 0..10 {
            fleet.republish_list().await?;
            sleep(pause).await;
        }
        if plan.load.tenants > 0.0 {
            load.set_phase(Phase::Division);
            phases.push(Phase::Division);
            for _ in 0..10 {
                load.rotate_tenant_target();
                sleep(pause).await;
            }
        }
    }
    let mut changes_made = ChangeStats::default();
    if let Some(changes) = &plan.changes {
        load.set_phase(Phase::Change);
        phases.extend((!balancers.is_empty()).then_some(Phase::Change));
        changes_made = changes::make_changes(fleet, changes.count, seconds(changes.every_s)).await?;
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
        // Traffic between coordinators is at most some hundred messages per second; subtract it as
        // counted.
        let coordinator_links: u64 =
            fleet.coordinator_links.values().map(|link| link.traffic().messages).sum();
        let total_s: f64 = samples.iter().map(|s| s.seconds).sum::<f64>().max(1.0);
        let all = messages as f64 / time.max(1.0) - coordinator_links as f64 / total_s;
        all / fleet.layout.members.len() as f64
    };
    let runner = FaultRunner { fleet, load: &load, samples: &samples, rate };
    for fault in &plan.fault {
        fault_results.push(runner.run(fault).await?);
        overgranted += overgranted_budgets(fleet).await?;
    }
    let executions = fleet.execution_counts().await?;
    sampling.abort();
    polling.abort();
    if !fleet.stand_ins_running() {
        return Err("a stand-in process has ended".to_owned());
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
    let has_load = real > 0 && (plan.load.rate > 0.0 || plan.load.tenants > 0.0);
    let report = load.with_stats(|stats| {
        stats.loss_reasons.iter().for_each(|reason| println!("lost: {reason}"));
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
            changes: changes_made,
            added_ms: AddedLatency::during(stats, Phase::Mean),
            added_ms_during: phases
                .iter()
                .map(|p| (p.name().to_owned(), AddedLatency::during(stats, *p)))
                .collect(),
            rpcs: has_load.then_some(stats.sent),
            refused: has_load.then_some(stats.refused),
            crossed: has_load.then_some(stats.crossed),
            sent_late: has_load.then_some(stats.late),
            beyond_whole: Some(overgranted + executions.beyond),
            lost: has_load.then_some(stats.lost),
            faults: fault_results,
            not_kept: stats.overload_reason(),
        }
    });
    Ok(report)
}

/// Number of budgets that the leader reports as granted beyond their limit.
async fn overgranted_budgets(fleet: &Fleet) -> Result<u64, String> {
    let (_, status) = fleet.leader().await?;
    Ok(status.budgets.values().filter(|b| b.allocated > b.limit * 1.000_001).count() as u64)
}
