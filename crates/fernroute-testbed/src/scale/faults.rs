//! Faults of a scale run, and the time until one leader answers all balancers again.

use super::changes::{put_change, wait_until_active};
use super::figures::Sample;
use super::file::{Fault, Kind};
use super::fleet::Fleet;
use super::load::Load;
use crate::processes::status;
use fernroute_test_support::process::Process;
use fernroute_test_support::Traffic;
use serde::Serialize;
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Result of one fault. `None` is not measured or never reached.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultResult {
    pub kind: String,
    /// Seconds from the fault, or from the end of a lasting one, to the start of the first second in
    /// which one leader answered all balancers.
    pub settled_s: Option<f64>,
    /// The same for the balancers that stay connected during a partition, or while another balancer is
    /// silent.
    pub cut_settled_s: Option<f64>,
    /// Seconds from the end of a partition until the change made on the larger side meanwhile was active
    /// everywhere.
    pub change_in_force_s: Option<f64>,
    /// Whether the smaller side, which has no majority, accepted a change meanwhile.
    pub entered_without_majority: Option<bool>,
    /// Worst second up to then: bytes of all balancers together, and CPU time of all coordinators in
    /// percent of one processor.
    pub worst_second_bytes: Option<f64>,
    pub worst_second_processor_percent: Option<f64>,
}

/// Injects faults into a fleet and measures their effects.
pub struct FaultRunner<'a> {
    pub fleet: &'a Rc<Fleet>,
    pub load: &'a Load,
    pub samples: &'a RefCell<Vec<Sample>>,
    /// Messages per second between one member and the leader, as measured before any fault.
    pub rate: f64,
}

/// Share of the usual heartbeat rate that counts as settled; a busy machine sends fewer.
const MIN_RATE_SHARE: f64 = 0.9;
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A change number that no other change of a run uses.
const CUT_CHANGE_NUMBER: u64 = 900;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

impl FaultRunner<'_> {
    pub async fn run(&self, fault: &Fault) -> Result<FaultResult, String> {
        let first = self.samples.borrow().len();
        let kind = fault.kind.name().to_owned();
        let mut result = self.inject(fault).await?;
        // The sample of the last second arrives a moment later.
        sleep(Duration::from_secs(2)).await;
        let seconds = self.samples.borrow();
        let worst = |of: &dyn Fn(&Sample) -> f64| {
            seconds.iter().skip(first).map(|s| of(s) / s.seconds).max_by(f64::total_cmp)
        };
        result.worst_second_bytes = worst(&|s| (s.hollow.counted + s.real.counted).bytes as f64);
        result.worst_second_processor_percent =
            worst(&|s| s.coordinators.iter().map(|s| s.cpu_ns).sum::<u64>() as f64 / 1e7);
        Ok(FaultResult { kind, ..result })
    }

    async fn inject(&self, fault: &Fault) -> Result<FaultResult, String> {
        let fleet = self.fleet;
        let duration = Duration::from_secs_f64(fault.for_s);
        let all = fleet.layout.members.len();
        let (leader, _) = fleet.leader().await?;
        let result_of = |settled_s| FaultResult { settled_s, ..FaultResult::default() };
        match fault.kind {
            Kind::LeaderKilled => {
                let from = Instant::now();
                fleet.coordinators.borrow()[leader].kill();
                let result = result_of(self.settle_time_since(from, all, &BTreeSet::new()).await);
                self.start_coordinator(leader)?;
                Ok(result)
            }
            Kind::CoordinatorRestarted => {
                // All members reconnect at once.
                let from = Instant::now();
                fleet.coordinators.borrow()[leader].kill();
                self.start_coordinator(leader)?;
                Ok(result_of(self.settle_time_since(from, all, &BTreeSet::new()).await))
            }
            Kind::CoordinatorLost => {
                let lost = (leader + 1) % fleet.coordinator_addresses.len();
                fleet.coordinators.borrow()[lost].kill();
                let data_folder = fleet.coordinator_folder(lost);
                std::fs::remove_dir_all(&data_folder)
                    .map_err(|e| format!("{}: {e}", data_folder.display()))?;
                let result = result_of(self.settle_time(all).await);
                sleep(duration).await;
                self.start_coordinator(lost)?;
                self.readmit(lost).await?;
                Ok(result)
            }
            Kind::ZoneLost => {
                let zone = fault.zone.clone().unwrap_or_default();
                let hollow = |n: &usize| {
                    let first = fleet.layout.hollow[*n].first();
                    first.is_some_and(|m| fleet.layout.members[*m].zone == zone)
                };
                let hollow: Vec<usize> = (0..fleet.layout.hollow.len()).filter(hollow).collect();
                let real = |n: &usize| fleet.layout.members[*n].zone == zone;
                let real: BTreeSet<usize> = fleet.real.borrow().keys().copied().filter(real).collect();
                let coordinator = fleet.layout.plan.coordinators.iter().position(|z| *z == zone);
                // With a single coordinator nothing would be left to settle.
                let coordinator = coordinator.filter(|_| fleet.coordinator_addresses.len() > 1);
                coordinator.iter().for_each(|n| fleet.coordinators.borrow()[*n].kill());
                self.kill(&hollow, &real);
                sleep(duration).await;
                coordinator.map_or(Ok(()), |n| self.start_coordinator(n))?;
                let from = Instant::now();
                self.start(&hollow, &real).await?;
                Ok(result_of(self.settle_time_since(from, all, &BTreeSet::new()).await))
            }
            Kind::TenthRestarted => {
                // Whole processes of all zones, until a tenth of the members is reached.
                let (mut hollow, mut count) = (Vec::new(), 0);
                let processes = fleet.layout.hollow.len();
                for n in 0..processes {
                    let n = n * 7 % processes;
                    if count * 10 >= all {
                        break;
                    }
                    if !hollow.contains(&n) {
                        count += fleet.layout.hollow[n].len();
                        hollow.push(n);
                    }
                }
                self.kill(&hollow, &BTreeSet::new());
                let from = Instant::now();
                self.start(&hollow, &BTreeSet::new()).await?;
                Ok(result_of(self.settle_time_since(from, all, &BTreeSet::new()).await))
            }
            Kind::RegionsCut => self.cut(duration).await,
            Kind::BalancerSilent => {
                let Some(member) = fleet.real.borrow().keys().next_back().copied() else {
                    return Ok(result_of(None));
                };
                let number = fleet.real.borrow().len() - 1;
                let at = fleet.wait_for_real().await?[number];
                self.load.remove_balancer(number);
                fleet.real.borrow()[&member].pause();
                sleep(duration).await;
                // The others are answered meanwhile.
                let others = self.settle_time(all - 1).await;
                fleet.real.borrow()[&member].resume();
                let result = result_of(self.settle_time(all).await);
                self.load.add_balancer(number, at);
                Ok(FaultResult { cut_settled_s: others, ..result })
            }
        }
    }

    async fn cut(&self, duration: Duration) -> Result<FaultResult, String> {
        let fleet = self.fleet;
        let regions = fleet.layout.plan.regions();
        let region_of = |zone: &str| regions.get(zone).copied().unwrap_or(0);
        let region_of_coordinator = |n: usize| region_of(&fleet.layout.plan.coordinators[n]);
        let coordinator_links = fleet
            .coordinator_links
            .iter()
            .filter(|((n, m), _)| region_of_coordinator(*n) != region_of_coordinator(*m));
        let member_links = fleet.member_links.iter().flat_map(|((zone, _), links)| {
            let other_region = move |n: &usize| region_of_coordinator(*n) != region_of(zone);
            (0..links.len()).filter(other_region).map(|n| &links[n])
        });
        let cut: Vec<_> = coordinator_links.map(|(_, link)| link).chain(member_links).collect();
        // The side with most coordinators continues.
        let mut count = vec![0; fleet.layout.plan.region.len()];
        (0..fleet.coordinator_addresses.len()).for_each(|n| count[region_of_coordinator(n)] += 1);
        let larger = (0..count.len()).max_by_key(|n| count[*n]).unwrap_or(0);
        let reachable = fleet.layout.members.iter().filter(|m| region_of(&m.zone) == larger).count();
        let outside: BTreeSet<usize> =
            (0..fleet.coordinator_addresses.len()).filter(|n| region_of_coordinator(*n) != larger).collect();
        cut.iter().for_each(|link| link.refuse_connections());
        let from = Instant::now();
        let cut_settled_s = self.settle_time_since(from, reachable, &outside).await;
        // One change on each side: the larger side accepts it, the other has no majority.
        let service = &fleet.layout.services[0].name;
        let (mut version, mut accepted_by_minority) = (None, None);
        if fleet.layout.plan.changes.is_some() {
            if let (Some(leader), _) = self.current_leader(&outside).await {
                version = put_change(fleet.coordinator_addresses[leader], service, CUT_CHANGE_NUMBER).await;
            }
            for n in &outside {
                let entered =
                    put_change(fleet.coordinator_addresses[*n], service, CUT_CHANGE_NUMBER + 1).await;
                accepted_by_minority = Some(accepted_by_minority.unwrap_or(false) || entered.is_some());
            }
        }
        sleep(duration.saturating_sub(from.elapsed())).await;
        cut.iter().for_each(|link| link.restore());
        let restored = Instant::now();
        let settled_s = self.settle_time_since(restored, fleet.layout.members.len(), &BTreeSet::new()).await;
        let change_in_force_s = match version {
            Some(version) => wait_until_active(fleet, service, version, restored).await,
            None => None,
        };
        Ok(FaultResult {
            settled_s,
            cut_settled_s,
            change_in_force_s,
            entered_without_majority: accepted_by_minority,
            ..FaultResult::default()
        })
    }

    fn kill(&self, hollow: &[usize], real: &BTreeSet<usize>) {
        for (n, member) in self.fleet.real.borrow().keys().enumerate() {
            if real.contains(member) {
                self.load.remove_balancer(n);
            }
        }
        hollow.iter().for_each(|n| self.fleet.hollow.borrow()[*n].kill());
        self.fleet.real.borrow().iter().filter(|(n, _)| real.contains(n)).for_each(|(_, p)| p.kill());
    }

    async fn start(&self, hollow: &[usize], real: &BTreeSet<usize>) -> Result<(), String> {
        for n in hollow {
            let process: Process = self.fleet.launch_hollow(*n)?;
            self.fleet.hollow.borrow_mut()[*n] = process;
        }
        for n in real {
            let process = self.fleet.launch_real(*n)?;
            self.fleet.real.borrow_mut().insert(*n, process);
        }
        self.fleet.wait_for_hollow(hollow).await?;
        let at = self.fleet.wait_for_real().await?;
        for (n, member) in self.fleet.real.borrow().keys().enumerate() {
            if real.contains(member) {
                self.load.add_balancer(n, at[n]);
            }
        }
        Ok(())
    }

    fn start_coordinator(&self, n: usize) -> Result<(), String> {
        let process = self.fleet.launch_coordinator(n)?;
        self.fleet.coordinators.borrow_mut()[n] = process;
        Ok(())
    }

    /// Has the other coordinators readmit one whose data was lost.
    async fn readmit(&self, lost: usize) -> Result<(), String> {
        let file = self.fleet.coordinator_file(lost)?;
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let from = Instant::now();
        loop {
            let mut child = Command::new(&program)
                .args(["steward-change", "--config"])
                .arg(&file)
                .stdout(std::process::Stdio::null())
                .stderr(std::process::Stdio::null())
                .spawn()
                .map_err(|e| format!("{}: {e}", program.display()))?;
            // Polled instead of waited for: this thread runs the links that the child needs.
            let succeeded = loop {
                match child.try_wait().map_err(|e| e.to_string())? {
                    Some(status) => break status.success(),
                    None => sleep(POLL_INTERVAL).await,
                }
            };
            if succeeded {
                return Ok(());
            }
            if from.elapsed() > SETTLE_TIMEOUT {
                return Err("a coordinator whose data was lost was not readmitted within 60 s".to_owned());
            }
            sleep(5 * POLL_INTERVAL).await;
        }
    }

    async fn settle_time(&self, members: usize) -> Option<f64> {
        self.settle_time_since(Instant::now(), members, &BTreeSet::new()).await
    }

    /// Seconds from `from` to the start of the first second in which one leader answered this many
    /// members.
    async fn settle_time_since(
        &self,
        from: Instant,
        members: usize,
        outside: &BTreeSet<usize>,
    ) -> Option<f64> {
        const WINDOW: Duration = Duration::from_secs(1);
        let fleet = self.fleet;
        let mut polls: VecDeque<(Instant, Vec<Traffic>)> = VecDeque::new();
        // The leader that the polls refer to. They restart when it changes: calls that followers reject
        // are counted, too, and must not pass for answers.
        let mut leads: Option<usize> = None;
        while from.elapsed() < SETTLE_TIMEOUT {
            let (reported, known_members) = self.current_leader(outside).await;
            if reported != leads || reported.is_none() {
                (leads, polls) = (reported, VecDeque::new());
            }
            let (now, counted) = (Instant::now(), fleet.member_traffic());
            while polls.len() > 1 && polls[1].0 + WINDOW <= now {
                polls.pop_front();
            }
            if let Some((n, (at, before))) = leads.zip(polls.front().filter(|(at, _)| *at + WINDOW <= now)) {
                let rate = (counted[n] - before[n]).messages as f64 / (now - *at).as_secs_f64();
                if known_members >= members && rate >= MIN_RATE_SHARE * self.rate * members as f64 {
                    return Some(at.saturating_duration_since(from).as_secs_f64());
                }
            }
            polls.push_back((now, counted));
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// The coordinator that reports itself leader now, and the number of balancers it knows.
    async fn current_leader(&self, outside: &BTreeSet<usize>) -> (Option<usize>, usize) {
        let fleet = self.fleet;
        for n in (0..fleet.coordinator_addresses.len()).filter(|n| !outside.contains(n)) {
            if !fleet.coordinators.borrow()[n].is_running() {
                continue;
            }
            let status_reply =
                timeout(POLL_INTERVAL, status(fleet.coordinator_addresses[n])).await.ok().flatten();
            if let Some(status_reply) = status_reply.filter(|status_reply| status_reply.state == "leader") {
                return (Some(n), status_reply.members.len());
            }
        }
        (None, 0)
    }
}
