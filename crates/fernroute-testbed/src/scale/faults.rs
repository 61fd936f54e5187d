//! What goes wrong at full size, and how long until all balancers are answered by a leader again.

use super::changes::{put, until_in_force};
use super::figures::Second;
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

/// One fault, and what came of it; what was not measured, or never came, is none.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Told {
    pub kind: String,
    /// From the fault, or from its end where it is one that lasts, until the begin of the first second in which all balancers
    /// were answered by the one leader.
    pub settled_s: Option<f64>,
    /// The same for those on the larger side while a network is cut.
    pub cut_settled_s: Option<f64>,
    /// From the end of a cut until the change that was made on the larger side meanwhile was in force everywhere.
    pub change_in_force_s: Option<f64>,
    /// Whether a change was entered on the other side meanwhile: there is no majority.
    pub entered_without_majority: Option<bool>,
    /// Of the worst second until then: bytes of all balancers together, and processor time of all stewards, in percent of one.
    pub worst_second_bytes: Option<f64>,
    pub worst_second_processor_percent: Option<f64>,
}

/// What faults are done to, and by what it is judged.
pub struct Bench<'a> {
    pub fleet: &'a Rc<Fleet>,
    pub load: &'a Load,
    pub seconds: &'a RefCell<Vec<Second>>,
    /// Messages a second between one member and its leader, as measured before any fault.
    pub rate: f64,
}

/// Beats that come may be so many fewer than usual on a busy machine.
const MOST_OF: f64 = 0.9;
const SETTLED_WITHIN: Duration = Duration::from_secs(60);
/// Numbers of changes that no other change of a run has.
const CUT: u64 = 900;
const LOOK: Duration = Duration::from_millis(100);

impl Bench<'_> {
    pub async fn play(&self, fault: &Fault) -> Result<Told, String> {
        let first = self.seconds.borrow().len();
        let kind = fault.kind.name().to_owned();
        let mut told = self.fault(fault).await?;
        // The last second is told of a moment later.
        sleep(Duration::from_secs(2)).await;
        let seconds = self.seconds.borrow();
        let worst = |of: &dyn Fn(&Second) -> f64| {
            seconds.iter().skip(first).map(|s| of(s) / s.seconds).max_by(f64::total_cmp)
        };
        told.worst_second_bytes = worst(&|s| (s.hollow.counted + s.real.counted).bytes as f64);
        told.worst_second_processor_percent =
            worst(&|s| s.stewards.iter().map(|s| s.processor_ns).sum::<u64>() as f64 / 1e7);
        Ok(Told { kind, ..told })
    }

    async fn fault(&self, fault: &Fault) -> Result<Told, String> {
        let fleet = self.fleet;
        let lasts = Duration::from_secs_f64(fault.for_s);
        let all = fleet.layout.members.len();
        let (leader, _) = fleet.leader().await?;
        let settled = |settled_s| Told { settled_s, ..Told::default() };
        match fault.kind {
            Kind::LeaderKilled => {
                let from = Instant::now();
                fleet.stewards.borrow()[leader].kill();
                let told = settled(self.settled_from(from, all, &BTreeSet::new()).await);
                self.start_steward(leader)?;
                Ok(told)
            }
            Kind::StewardRestarted => {
                // All come again at once.
                let from = Instant::now();
                fleet.stewards.borrow()[leader].kill();
                self.start_steward(leader)?;
                Ok(settled(self.settled_from(from, all, &BTreeSet::new()).await))
            }
            Kind::StewardLost => {
                let lost = (leader + 1) % fleet.steward_addresses.len();
                fleet.stewards.borrow()[lost].kill();
                let disk = fleet.steward_disk(lost);
                std::fs::remove_dir_all(&disk).map_err(|e| format!("{}: {e}", disk.display()))?;
                let told = settled(self.settled(all).await);
                sleep(lasts).await;
                self.start_steward(lost)?;
                self.take_in(lost).await?;
                Ok(told)
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
                let steward = fleet.layout.plan.stewards.iter().position(|of| *of == zone);
                // With one steward alone nothing would be left to settle.
                let steward = steward.filter(|_| fleet.steward_addresses.len() > 1);
                steward.iter().for_each(|n| fleet.stewards.borrow()[*n].kill());
                self.kill(&hollow, &real);
                sleep(lasts).await;
                steward.map_or(Ok(()), |n| self.start_steward(n))?;
                let from = Instant::now();
                self.start(&hollow, &real).await?;
                Ok(settled(self.settled_from(from, all, &BTreeSet::new()).await))
            }
            Kind::TenthRestarted => {
                // Whole processes, of all zones: the first ones that make up a tenth.
                let (mut hollow, mut count) = (Vec::new(), 0);
                let most = fleet.layout.hollow.len();
                for n in 0..most {
                    let n = n * 7 % most;
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
                Ok(settled(self.settled_from(from, all, &BTreeSet::new()).await))
            }
            Kind::RegionsCut => self.cut(lasts).await,
            Kind::BalancerSilent => {
                let Some(place) = fleet.real.borrow().keys().next_back().copied() else {
                    return Ok(settled(None));
                };
                let number = fleet.real.borrow().len() - 1;
                let at = fleet.real_serve().await?[number];
                self.load.ends(number);
                fleet.real.borrow()[&place].pause();
                sleep(lasts).await;
                // The others are answered all the while.
                let others = self.settled(all - 1).await;
                fleet.real.borrow()[&place].resume();
                let told = settled(self.settled(all).await);
                self.load.begins(number, at);
                Ok(Told { cut_settled_s: others, ..told })
            }
        }
    }

    async fn cut(&self, lasts: Duration) -> Result<Told, String> {
        let fleet = self.fleet;
        let regions = fleet.layout.plan.regions();
        let of = |zone: &str| regions.get(zone).copied().unwrap_or(0);
        let of_steward = |n: usize| of(&fleet.layout.plan.stewards[n]);
        let between = fleet.between.iter().filter(|((n, m), _)| of_steward(*n) != of_steward(*m));
        let ways = fleet.ways.iter().flat_map(|((zone, _), links)| {
            let apart = move |n: &usize| of_steward(*n) != of(zone);
            (0..links.len()).filter(apart).map(|n| &links[n])
        });
        let cut: Vec<_> = between.map(|(_, link)| link).chain(ways).collect();
        // The side with most stewards goes on.
        let mut count = vec![0; fleet.layout.plan.region.len()];
        (0..fleet.steward_addresses.len()).for_each(|n| count[of_steward(n)] += 1);
        let larger = (0..count.len()).max_by_key(|n| count[*n]).unwrap_or(0);
        let stay = fleet.layout.members.iter().filter(|m| of(&m.zone) == larger).count();
        let outside: BTreeSet<usize> =
            (0..fleet.steward_addresses.len()).filter(|n| of_steward(*n) != larger).collect();
        cut.iter().for_each(|link| link.refuse_connections());
        let from = Instant::now();
        let cut_settled_s = self.settled_from(from, stay, &outside).await;
        // Changes on both sides: one is entered, the other has no majority.
        let service = &fleet.layout.services[0].name;
        let (mut version, mut split) = (None, None);
        if fleet.layout.plan.changes.is_some() {
            if let (Some(leader), _) = self.led(&outside).await {
                version = put(fleet.steward_addresses[leader], service, CUT).await;
            }
            for n in &outside {
                let entered = put(fleet.steward_addresses[*n], service, CUT + 1).await;
                split = Some(split.unwrap_or(false) || entered.is_some());
            }
        }
        sleep(lasts.saturating_sub(from.elapsed())).await;
        cut.iter().for_each(|link| link.restore());
        let healed = Instant::now();
        let settled_s = self.settled_from(healed, fleet.layout.members.len(), &BTreeSet::new()).await;
        let change_in_force_s = match version {
            Some(version) => until_in_force(fleet, service, version, healed).await,
            None => None,
        };
        Ok(Told {
            settled_s,
            cut_settled_s,
            change_in_force_s,
            entered_without_majority: split,
            ..Told::default()
        })
    }

    fn kill(&self, hollow: &[usize], real: &BTreeSet<usize>) {
        for (n, place) in self.fleet.real.borrow().keys().enumerate() {
            if real.contains(place) {
                self.load.ends(n);
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
        self.fleet.hollow_serve(hollow).await?;
        let at = self.fleet.real_serve().await?;
        for (n, place) in self.fleet.real.borrow().keys().enumerate() {
            if real.contains(place) {
                self.load.begins(n, at[n]);
            }
        }
        Ok(())
    }

    fn start_steward(&self, n: usize) -> Result<(), String> {
        let process = self.fleet.launch_steward(n)?;
        self.fleet.stewards.borrow_mut()[n] = process;
        Ok(())
    }

    /// Has the others take in a steward whose disk was lost.
    async fn take_in(&self, lost: usize) -> Result<(), String> {
        let page = self.fleet.steward_page(lost)?;
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let from = Instant::now();
        loop {
            let mut child = Command::new(&program)
                .args(["steward-change", "--config"])
                .arg(&page)
                .stdout(std::process::Stdio::null())
                .stderr(std::process::Stdio::null())
                .spawn()
                .map_err(|e| format!("{}: {e}", program.display()))?;
            // Not waited for: this thread carries the links that it needs.
            let done = loop {
                match child.try_wait().map_err(|e| e.to_string())? {
                    Some(status) => break status.success(),
                    None => sleep(LOOK).await,
                }
            };
            if done {
                return Ok(());
            }
            if from.elapsed() > SETTLED_WITHIN {
                return Err("a steward whose disk was lost is not taken in again".to_owned());
            }
            sleep(5 * LOOK).await;
        }
    }

    async fn settled(&self, members: usize) -> Option<f64> {
        self.settled_from(Instant::now(), members, &BTreeSet::new()).await
    }

    /// Until so many members are answered by one that leads, for a second: the begin of that second.
    async fn settled_from(&self, from: Instant, members: usize, outside: &BTreeSet<usize>) -> Option<f64> {
        const WINDOW: Duration = Duration::from_secs(1);
        let fleet = self.fleet;
        let mut looks: VecDeque<(Instant, Vec<Traffic>)> = VecDeque::new();
        // Since when one leads by its own word. Guards against calls that followers turn away: they are counted, too.
        let mut leads: Option<usize> = None;
        while from.elapsed() < SETTLED_WITHIN {
            let (word, there) = self.led(outside).await;
            if word != leads || word.is_none() {
                (leads, looks) = (word, VecDeque::new());
            }
            let (now, counted) = (Instant::now(), fleet.to_stewards());
            while looks.len() > 1 && looks[1].0 + WINDOW <= now {
                looks.pop_front();
            }
            if let Some((n, (at, before))) = leads.zip(looks.front().filter(|(at, _)| *at + WINDOW <= now)) {
                let asked = (counted[n] - before[n]).messages as f64 / (now - *at).as_secs_f64();
                if there >= members && asked >= MOST_OF * self.rate * members as f64 {
                    return Some(at.saturating_duration_since(from).as_secs_f64());
                }
            }
            looks.push_back((now, counted));
            sleep(LOOK).await;
        }
        None
    }

    /// Who leads by its own word at this moment, and how many balancers it knows.
    async fn led(&self, outside: &BTreeSet<usize>) -> (Option<usize>, usize) {
        let fleet = self.fleet;
        for n in (0..fleet.steward_addresses.len()).filter(|n| !outside.contains(n)) {
            if !fleet.stewards.borrow()[n].is_running() {
                continue;
            }
            let told = timeout(LOOK, status(fleet.steward_addresses[n])).await.ok().flatten();
            if let Some(told) = told.filter(|told| told.state == "leader") {
                return (Some(n), told.members.len());
            }
        }
        (None, 0)
    }
}
