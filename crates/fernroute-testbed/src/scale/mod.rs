//! Runs at the size of a whole installation: hollow balancers, real ones with load beside them, real stewards, faults.

pub mod changes;
mod faults;
pub mod figures;
pub mod file;
pub mod fit;
mod fleet;
pub mod hollow;
pub mod layout;
mod load;
pub mod report;
pub mod stand;
pub mod whole;

use changes::Changed;
use faults::Bench;
use figures::{figures, Second};
use file::Plan;
use fleet::Fleet;
use layout::Layout;
use load::{Load, Phase, Rates};
use report::{Added, Alike, Report};
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// How long is looked at each of the shorter things, in parts of what is measured.
const SHORT: f64 = 0.5;

/// A plan that this machine may run, or why it will not do: said before anything is started.
pub fn prepare(file: &Path, factor: f64) -> Result<Layout, String> {
    if !(0.001..=100.0).contains(&factor) {
        return Err(format!("--factor: {factor} is not between 0.001 and 100"));
    }
    let layout = Layout::new(Plan::read(file)?.times(factor));
    match layout.refusal(figures::machine_kb()?) {
        Some(why) => Err(format!("{}: {why}", file.display())),
        None => Ok(layout),
    }
}

/// Why there is no report, and the code to end with: 3 where it did not even start, 1 where it broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub code: u8,
    pub why: String,
}

/// Runs it; `program` has the roles of the laboratory's own, and `folder` holds nothing.
pub fn run(layout: Layout, factor: f64, program: &Path, folder: &Path) -> Result<Report, Broken> {
    let broken = |code| move |why| Broken { code, why };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| broken(3)(format!("runtime: {e}")))?;
    LocalSet::new().block_on(&runtime, async {
        let fleet = Fleet::start(layout, program, folder).await.map_err(broken(3))?;
        measured(&fleet, factor).await.map_err(broken(1))
    })
}

/// Seconds that are looked at as they come.
type Seconds = Rc<RefCell<Vec<Second>>>;

async fn measured(fleet: &Rc<Fleet>, factor: f64) -> Result<Report, String> {
    let plan = &fleet.layout.plan;
    let balancers = fleet.real_serve().await?;
    let rates = Rates {
        each: plan.load.rate,
        times: plan.load.times.unwrap_or(1.0),
        tenants: plan.budgets,
        of_tenant: plan.load.tenants * plan.whole,
    };
    // Without a real balancer nothing is asked of anybody.
    let direct = fleet.direct().unwrap_or(fleet.steward_addresses[0]);
    let load = Load::start(direct, &balancers, rates)?;
    let seconds = Seconds::default();
    let watching = spawn_local(fleet::watch(Rc::clone(fleet), Rc::clone(&seconds)));
    let operating = spawn_local(fleet::operate(Rc::clone(fleet)));
    let part = |of: f64| Duration::from_secs_f64(of);
    sleep(part(plan.settle_s)).await;

    load.phase(Phase::Mean);
    let first = seconds.borrow().len();
    sleep(part(plan.measure_s)).await;
    let last = seconds.borrow().len();
    let memory = fleet.memory_kb();
    let mut during: Vec<Phase> = Vec::new();
    if !balancers.is_empty() && plan.load.rate > 0.0 {
        if plan.load.times.is_some() {
            load.phase(Phase::Times);
            sleep(part(plan.measure_s)).await;
            during.push(Phase::Times);
        }
        load.phase(Phase::List);
        during.push(Phase::List);
        let pause = part(plan.measure_s * SHORT / 10.0);
        for _ in 0..10 {
            fleet.tell_list().await?;
            sleep(pause).await;
        }
        if plan.load.tenants > 0.0 {
            load.phase(Phase::Division);
            during.push(Phase::Division);
            for _ in 0..10 {
                load.move_on();
                sleep(pause).await;
            }
        }
    }
    let mut changed = Changed::default();
    if let Some(changes) = &plan.changes {
        load.phase(Phase::Change);
        during.extend((!balancers.is_empty()).then_some(Phase::Change));
        changed = changes::make(fleet, changes.count, part(changes.every_s)).await?;
    }
    load.phase(Phase::Idle);

    let (mut told, mut held) = (Vec::new(), held_beyond(fleet).await?);
    let rate = {
        let seconds = seconds.borrow();
        let (mut messages, mut time) = (0, 0.0);
        for s in &seconds[first..last] {
            messages += s.stewards[s.leader].counted.messages;
            time += s.seconds;
        }
        // What stewards say to each other is some hundred messages a second at the most: taken off as counted.
        let between: u64 = fleet.between.values().map(|link| link.traffic().messages).sum();
        let whole: f64 = seconds.iter().map(|s| s.seconds).sum::<f64>().max(1.0);
        let all = messages as f64 / time.max(1.0) - between as f64 / whole;
        all / fleet.layout.members.len() as f64
    };
    let bench = Bench { fleet, load: &load, seconds: &seconds, rate };
    for fault in &plan.fault {
        told.push(bench.play(fault).await?);
        held += held_beyond(fleet).await?;
    }
    let ran = fleet.ran().await?;
    watching.abort();
    operating.abort();
    if !fleet.stand_ins_run() {
        return Err("a stand-in has ended".to_owned());
    }

    let all = seconds.borrow();
    let window = &all[first..last];
    let (hollow, real) = (fleet.layout.members.len() - fleet.layout.real(), fleet.layout.real());
    let stewards = fleet.steward_addresses.len();
    let of_hollow = figures(window, &all, hollow, memory.0, |s| s.hollow);
    let of_real = figures(window, &all, real, memory.1, |s| s.real);
    let leader = window.last().map_or(0, |s| s.leader);
    let follower = |s: &Second| {
        let mut sum = figures::Cost::default();
        s.stewards.iter().enumerate().filter(|(n, _)| *n != s.leader).for_each(|(_, cost)| sum += *cost);
        sum
    };
    let of_followers: u64 = memory.2.iter().enumerate().filter(|(n, _)| *n != leader).map(|(_, kb)| kb).sum();
    let loaded = real > 0 && (plan.load.rate > 0.0 || plan.load.tenants > 0.0);
    let report = load.look(|seen| {
        seen.why.iter().for_each(|why| println!("lost: {why}"));
        Report {
            name: plan.name.clone(),
            factor,
            hollow,
            real,
            balancer: if hollow > 0 { of_hollow } else { of_real },
            balancer_real: of_real,
            steward_leader: figures(window, &all, 1, memory.2[leader], |s| s.stewards[s.leader]),
            steward_follower: figures(window, &all, stewards - 1, of_followers, follower),
            discovery: figures(window, &all, 1, memory.3, |s| s.discovery),
            alike: if hollow > 0 { Alike::of(&of_hollow, &of_real) } else { Alike::default() },
            changes: changed,
            added_ms: Added::during(seen, Phase::Mean),
            added_ms_during: during.iter().map(|p| (p.name().to_owned(), Added::during(seen, *p))).collect(),
            rpcs: loaded.then_some(seen.sent),
            refused: loaded.then_some(seen.refused),
            crossed: loaded.then_some(seen.crossed),
            sent_late: loaded.then_some(seen.late),
            beyond_whole: Some(held + ran.beyond),
            lost: loaded.then_some(seen.lost),
            faults: told,
            not_kept: seen.not_kept(),
        }
    });
    Ok(report)
}

/// How many budgets of the ledger are granted beyond their whole, by the leader's own word.
async fn held_beyond(fleet: &Fleet) -> Result<u64, String> {
    let (_, status) = fleet.leader().await?;
    Ok(status.budgets.values().filter(|b| b.allocated > b.limit * 1.000_001).count() as u64)
}
