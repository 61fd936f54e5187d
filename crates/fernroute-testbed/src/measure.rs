//! Measures the cost of a fleet and its recovery time after a loss: with real processes on this machine, and in virtual time
//! for ledgers with many members and budgets. Prints the figures for `docs/fleet.md`; not part of any test.

use crate::processes::{Fleet, FleetConfig};
use fernroute::host::SECOND;
use fernroute_coordinator::replica::now;
use fernroute_fleet::configuration::register::Register;
use fernroute_fleet::leader::Leader;
use fernroute_fleet::lease::Lease;
use fernroute_fleet::ledger::{Budget, Entry, Ledger};
use fernroute_fleet::member::Member;
use fernroute_fleet::message::{Envelope, HeartbeatError, HEARTBEAT_PATH, PROTOCOL_VERSION};
use fernroute_fleet::{BudgetAmounts, MilliUnits};
use fernroute_test_support::http::Connection;
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

const ROUNDS: usize = 10;

/// The heartbeat interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

pub fn run(program: &Path) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        measure_recovery(program).await?;
        measure_heartbeats(program, 300).await?;
        measure_leader();
        Ok(())
    })
}

fn print_spread(what: &str, mut of: Vec<f64>) {
    of.sort_by(f64::total_cmp);
    let at = |part: f64| of[((of.len() - 1) as f64 * part) as usize];
    println!("{what}: median {:.3}, from {:.3} to {:.3}, {} times", at(0.5), at(0.0), at(1.0), of.len());
}

/// Measures the time to a new leader, and the time until other balancers use the share of a killed one.
async fn measure_recovery(program: &Path) -> Result<(), String> {
    const LIMIT: usize = 120;
    let folder = std::env::temp_dir().join(format!("fernroute-measure-{}", std::process::id()));
    let mut fleet = Fleet::start(program, folder, FleetConfig::new(3, 3, LIMIT)).await?;
    fleet.set_rates(&[150, 2, 2]);
    fleet.wait_until_limit_used().await;
    let (mut recovery_s, mut least) = (Vec::new(), LIMIT);
    for _ in 0..ROUNDS {
        let leader = fleet.leader().await;
        let from = Instant::now();
        fleet.coordinators[leader].kill();
        fleet.leader().await;
        recovery_s.push(from.elapsed().as_secs_f64());
        while from.elapsed() < Duration::from_secs(3) {
            sleep(Duration::from_millis(50)).await;
            least = least.min(fleet.executions.count_within(Duration::from_secs(1)));
        }
        fleet.start_coordinator(leader)?;
        sleep(Duration::from_secs(1)).await;
    }
    print_spread("seconds until another coordinator leads after the leader was killed", recovery_s);
    println!("RPCs run in the worst second of these, with a limit of {LIMIT}: {least}");
    let mut reuse_s = Vec::new();
    for n in 0..ROUNDS {
        let (dead, other) = (n % 2, (n + 1) % 2);
        let mut rates = [2, 2, 2];
        rates[dead] = 150;
        fleet.set_rates(&rates);
        sleep(Duration::from_secs(5)).await;
        (rates[dead], rates[other]) = (0, 150);
        fleet.set_rates(&rates);
        fleet.balancers[dead].kill();
        let from = Instant::now();
        // Waits until RPCs from before the kill have left the window; the recovery time is the start of the first half second
        // in which 95% of the budget is in use.
        sleep(Duration::from_millis(600)).await;
        while fleet.executions.count_within(Duration::from_millis(500)) * 2 * 20 < LIMIT * 19 {
            sleep(Duration::from_millis(5)).await;
        }
        reuse_s.push(from.elapsed().as_secs_f64() - 0.5);
        fleet.start_balancer(dead).await?;
    }
    print_spread("seconds until a killed balancer's share was in use, shares held for 3 s", reuse_s);
    println!("limit exceeded: {}", fleet.violation().unwrap_or_else(|| "never".to_owned()));
    Ok(())
}

/// A member that sends heartbeats on its own connection.
async fn run_member(n: usize, to: Rc<Cell<std::net::SocketAddr>>, bytes: Rc<Cell<(u64, u64)>>) -> Option<()> {
    let mut member = Member::new(&format!("n{n}"), n as u64 + 1, 0);
    let mut peer = Connection::new(TcpStream::connect(to.get()).await.ok()?);
    sleep(HEARTBEAT_INTERVAL.mul_f64(n as f64 / 300.0 % 1.0)).await;
    for turn in 0u64.. {
        // One member in thirty requests ten times as much as the others; which one changes every four seconds.
        let wants = 800 + 7_200 * ((turn / 16 + n as u64) % 30 / 29);
        let beat = member.heartbeat(now(), BudgetAmounts::from([("acme".to_owned(), wants as MilliUnits)]));
        let envelope =
            Envelope { cluster: "c".to_owned(), version: PROTOCOL_VERSION, recipient: 0, message: &beat };
        let body = serde_json::to_string(&envelope).ok()?;
        let head =
            format!("POST {HEARTBEAT_PATH} HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n", body.len());
        peer.write(format!("{head}{body}").as_bytes()).await.ok()?;
        let answer = peer.read().await.ok()??;
        let (sent, count) = bytes.get();
        bytes.set((sent + (head.len() + body.len() + answer.to_bytes().len()) as u64, count + 1));
        let reply: Result<fernroute_fleet::message::HeartbeatReply, HeartbeatError> =
            serde_json::from_slice(&answer.body).ok()?;
        if let Ok(reply) = reply {
            member.on_reply(now(), &reply);
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
    Some(())
}

async fn measure_heartbeats(program: &Path, count: usize) -> Result<(), String> {
    const MEASURE_FOR: Duration = Duration::from_secs(20);
    let folder = std::env::temp_dir().join(format!("fernroute-measure-{}", std::process::id()));
    let shape = FleetConfig { max_members: count, ..FleetConfig::new(3, 0, count) };
    let fleet = Fleet::start(program, folder, shape).await?;
    let leader = fleet.leader().await;
    let to = Rc::new(Cell::new(fleet.coordinator_addresses[leader]));
    let bytes = Rc::new(Cell::new((0, 0)));
    let ended = Rc::new(RefCell::new(0));
    for n in 0..count {
        let (to, bytes, ended) = (Rc::clone(&to), Rc::clone(&bytes), Rc::clone(&ended));
        spawn_local(async move {
            run_member(n, to, bytes).await;
            *ended.borrow_mut() += 1;
        });
    }
    // Waits until all members have joined and the first allocations are done.
    while fleet.status(leader).await.is_none_or(|status| status.members.len() < count) {
        sleep(Duration::from_millis(100)).await;
    }
    sleep(Duration::from_secs(5)).await;
    let epoch = |status: Option<fernroute_coordinator::replica::Status>| status.map_or(0, |s| s.epoch);
    let (cpu, at, first) =
        (fleet.coordinators[leader].cpu_ms(), bytes.get(), epoch(fleet.status(leader).await));
    let from = Instant::now();
    sleep(MEASURE_FOR).await;
    let (took, last) = (from.elapsed().as_secs_f64(), epoch(fleet.status(leader).await));
    let spent = fleet.coordinators[leader].cpu_ms() - cpu;
    let now = bytes.get();
    println!(
        "a leading coordinator with {count} members: {:.0} heartbeats/s, {:.0} bytes/s both ways, {:.1} transitions/s, \
         {:.1}% of a core, {} kB of memory; members that ended: {}",
        (now.1 - at.1) as f64 / took,
        (now.0 - at.0) as f64 / took,
        (last - first) as f64 / took,
        spent as f64 / took / 10.0,
        fleet.coordinators[leader].memory_kb(),
        ended.borrow()
    );
    Ok(())
}

/// Measures the leader's decisions and the size of messages in virtual time, for a fleet of the planned size: one budget per
/// service, with each member naming one of them, and for comparison with each member naming all of them.
pub fn measure_leader() {
    const MEMBERS: u64 = 1_200;
    for budgets in [1, 10, 50, 190] {
        measure_decisions(MEMBERS, budgets, false, 60);
    }
    for members in [150, 300, 600] {
        measure_decisions(members, 190, false, 60);
    }
    // Shorter runs, because these cases would take too long.
    for (budgets, seconds) in [(10, 20), (50, 6)] {
        measure_decisions(MEMBERS, budgets, true, seconds);
    }
}

/// Members send heartbeats every quarter of a second for this many seconds; each names all budgets or one of them.
fn measure_decisions(members: u64, budgets: u64, all_named: bool, seconds: u64) {
    const HEARTBEAT_INTERVAL: u64 = SECOND / 4;
    let names: Vec<String> = (0..budgets).map(|n| format!("service{n}")).collect();
    let mut ledger = Ledger::default();
    // Ten RPCs per second for each member that names the budget.
    let naming = if all_named { members } else { members.div_ceil(budgets) };
    let budget = Budget::new(10.0 * naming as f64, 0.2, naming as usize);
    let all = names.iter().map(|name| (name.clone(), budget.clone())).collect();
    if ledger.apply(&Entry::Budgets(all)).is_err() {
        return;
    }
    let lease = |length| Lease { duration: length, drift_ppm: 1000 };
    let mut leader = Leader::new(0, &ledger, lease(2 * SECOND), lease(60 * SECOND), members as usize);
    let mut all: Vec<Member> = (0..members).map(|n| Member::new(&format!("n{n}"), n + 1, 0)).collect();
    let (mut bytes, mut beats, mut transitions, mut late) = (0, 0u64, 0u64, 0u64);
    let mut spent = Duration::ZERO;
    for now in 0..seconds * SECOND {
        for n in (0..members)
            .filter(|n| (now + n * HEARTBEAT_INTERVAL / members).is_multiple_of(HEARTBEAT_INTERVAL))
        {
            let want = 5_000 + 15_000 * ((now / (4 * SECOND) + n) % 30 / 29);
            let named = names.iter().enumerate().filter(|(b, _)| all_named || *b as u64 == n % budgets);
            let wants: BudgetAmounts = named.map(|(_, name)| (name.clone(), want)).collect();
            let beat = all[n as usize].heartbeat(now, wants);
            let from = Instant::now();
            let heard = leader.on_heartbeat(now, &beat, &ledger);
            let answer = leader.reply(&beat, &ledger, &Register::default());
            spent += from.elapsed();
            beats += 1;
            let envelope =
                Envelope { cluster: "c".to_owned(), version: PROTOCOL_VERSION, recipient: 0, message: &beat };
            bytes += serde_json::to_vec(&envelope).map_or(0, |b| b.len()) as u64;
            bytes += serde_json::to_vec(&answer).map_or(0, |b| b.len()) as u64;
            match answer {
                Ok(answer) if heard.is_ok() => {
                    all[n as usize].on_reply(now, &answer);
                }
                _ => late += 1,
            }
        }
        if now.is_multiple_of(SECOND / 40) {
            let from = Instant::now();
            if let Some(transition) = leader.next_transition(now, &ledger) {
                transitions += u64::from(ledger.apply(&Entry::Transition(transition)).is_ok());
                leader.transition_done();
            }
            spent += from.elapsed();
        }
    }
    let per = |of: f64| of / seconds as f64;
    let held: u64 = names.iter().map(|name| ledger.total_allocated(name)).sum();
    println!(
        "simulated, {members} members, {budgets} budgets, each member names {}: {:.1}% of a core for the leader's decisions, \
         {:.2} KB of JSON per second and member, {:.1} transitions/s; {late} of {beats} heartbeats without a grant; held {:.3} of \
         all limits at the end",
        if all_named { "all" } else { "one" },
        per(spent.as_secs_f64()) * 100.0,
        per(bytes as f64) / members as f64 / 1000.0,
        per(transitions as f64),
        held as f64 / (budget.limit * budgets) as f64,
    );
}
