//! Operators, stewards and balancers in virtual time, for configuration alone: one log, stewards that have applied some of
//! it, leaders old and new that answer beats, a network that loses, doubles and overtakes, balancers that fetch, apply,
//! keep, crash and start again. Consensus is taken for granted: only the last elected leader enters anything.

// Each file of tests uses a part of this.
#![allow(dead_code)]

pub mod parts;

use fernroute::Time;
use fernroute_fleet::configuration::follower::{ConfigurationFollower, ConfigurationSnapshot};
use fernroute_fleet::configuration::register::{ConfigurationPut, PutError, Register};
use fernroute_fleet::configuration::rollout::{MemberRollout, RolloutState};
use fernroute_fleet::configuration::{content_hash, FetchReply, FetchRequest, Scope, Target, Version};
use fernroute_fleet::leader::Leader;
use fernroute_fleet::lease::Lease;
use fernroute_fleet::ledger::{Entry, Ledger, LedgerTransition};
use fernroute_fleet::message::{Heartbeat, HeartbeatReply};
use fernroute_fleet::{BudgetAmounts, MemberId};
use std::collections::BTreeMap;

pub const STEWARDS: usize = 3;
pub const BALANCERS: usize = 4;
pub const SHARES: Lease = Lease { duration: 20_000, drift_ppm: 200 };
pub const FLOORS: Lease = Lease { duration: 600_000, drift_ppm: 200 };

/// A version that is broken on purpose; each must be caught.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Whatever answer comes is gone by, as if nothing were in force.
    OlderOverNewer,
    /// It says that a version is in force when it has fetched it.
    InForceBeforeApplied,
    /// The narrowest part of a change is left out.
    HalfOfAChange,
    /// The leader tells each member of each version once.
    NoticeLostForEver,
    /// A start passes the kept copy over and says that it goes by it.
    SaysTheCopyIsInForce,
    /// A copy that is kept is gone by wherever the balancer stands now.
    TakesACopyOfAnotherPlace,
    /// What was refused is taken for in force, so that it is not asked for again.
    SaysTheRefusedIsInForce,
}

/// Services, zones and balancers are few, so that changes meet.
pub fn scope(n: usize) -> Scope {
    let service = |n: usize| ["cart", "search"][n % 2].to_owned();
    match n % 10 {
        0 => Scope::All,
        n @ 1..=2 => Scope::Service(service(n)),
        n @ 3..=6 => Scope::Zone { service: service(n), zone: ["east", "west"][n / 2 % 2].to_owned() },
        n => Scope::Balancer(format!("b{}", n - 7)),
    }
}

pub fn place(n: usize, moved: usize) -> Target {
    let at = n + moved;
    let (service, zone) = (["cart", "search"][n % 2].to_owned(), ["east", "west"][at / 2 % 2].to_owned());
    Target { name: format!("b{n}"), service, zone }
}

fn identity(n: usize) -> MemberId {
    n as MemberId + 1
}

#[derive(Clone, Debug)]
pub enum Packet {
    Beat(Heartbeat),
    Answer(HeartbeatReply),
    Fetch(usize, FetchRequest),
    Fetched(usize, FetchReply),
}

pub struct Steward {
    pub register: Register,
    /// Entries of the log that it has applied.
    applied: usize,
    /// It leads, or believes so.
    leader: Option<Leader>,
}

pub struct Process {
    pub follower: ConfigurationFollower,
    pub place: Target,
    /// What it goes by in truth, beside its own file.
    pub running: Vec<String>,
    /// Fetched, and not applied yet.
    pub fetched: Option<ConfigurationSnapshot>,
    /// The highest version that it has gone by, and what its start found kept.
    least: Version,
}

pub struct World {
    pub flaw: Flaw,
    pub now: Time,
    /// What was entered, by version: whose, and what.
    pub entered: BTreeMap<Version, (Scope, String)>,
    log: Vec<ConfigurationPut>,
    pub stewards: Vec<Steward>,
    pub leads: usize,
    ledger: Ledger,
    /// Operators' words that are on their way to the leader.
    pub puts: Vec<ConfigurationPut>,
    pub balancers: Vec<Option<Process>>,
    /// What each has kept on its disk.
    pub disks: Vec<Option<ConfigurationSnapshot>>,
    pub network: Vec<Packet>,
    number: u64,
    told: BTreeMap<(MemberId, Version), ()>,
}

impl World {
    pub fn new(flaw: Flaw) -> Self {
        let mut ledger = Ledger::default();
        let joins = (0..BALANCERS).map(|n| (identity(n), format!("b{n}"))).collect();
        ledger
            .apply(&Entry::Transition(LedgerTransition { joined: joins, ..LedgerTransition::default() }))
            .expect("they are new");
        let steward = || Steward { register: Register::default(), applied: 0, leader: None };
        let mut world = World {
            flaw,
            now: 1_000_000,
            entered: BTreeMap::new(),
            log: Vec::new(),
            stewards: (0..STEWARDS).map(|_| steward()).collect(),
            leads: 0,
            ledger,
            puts: Vec::new(),
            balancers: (0..BALANCERS).map(|_| None).collect(),
            disks: vec![None; BALANCERS],
            network: Vec::new(),
            number: 0,
            told: BTreeMap::new(),
        };
        world.elect(0);
        (0..BALANCERS).for_each(|n| world.start(n, 0));
        world
    }

    // ---------------------------------------------------------------------------------- operators and stewards

    pub fn register(&self) -> &Register {
        &self.stewards[self.leads].register
    }

    /// An operator's word, from the scope's latest version or from an older one.
    pub fn put(&mut self, scope: Scope, content: &str, latest: bool) {
        let at = self.register().latest_version(&scope);
        let base = if latest { at } else { at.saturating_sub(1) };
        let (hash, content) = (content_hash(content), content.to_owned());
        let (who, when_ms) = ("ann".to_owned(), self.now / 10);
        self.puts.push(ConfigurationPut {
            scope,
            base_version: base,
            content_hash: hash,
            content,
            author: who,
            entered_at_ms: when_ms,
            min_version_exclusive: 0,
        });
    }

    /// The leader enters one that has come.
    pub fn enter(&mut self, n: usize) -> Result<Version, PutError> {
        let put = self.puts.remove(n);
        let latest = self.register().latest_version(&put.scope);
        let entered = self.stewards[self.leads].register.apply(&put);
        self.stewards[self.leads].applied += 1;
        self.log.push(put.clone());
        assert_eq!(entered.is_ok(), latest == put.base_version, "{entered:?}");
        if let Ok(version) = entered {
            self.entered.insert(version, (put.scope, put.content));
        }
        entered
    }

    /// Entered at once, from the latest.
    pub fn change(&mut self, scope: Scope, content: &str) -> Version {
        self.put(scope, content, true);
        self.enter(self.puts.len() - 1).expect("it is from the latest")
    }

    /// This steward applies so many entries of the log.
    pub fn catch_up(&mut self, n: usize, entries: usize) {
        let steward = &mut self.stewards[n];
        let to = (steward.applied + entries).min(self.log.len());
        for put in &self.log[steward.applied..to] {
            let _ = steward.register.apply(put);
        }
        steward.applied = to;
    }

    /// A new leader has applied all; the one before does not know that it is none any more.
    pub fn elect(&mut self, n: usize) {
        self.catch_up(n, usize::MAX / 2);
        self.leads = n;
        self.stewards[n].leader = Some(Leader::new(self.now, &self.ledger, SHARES, FLOORS, BALANCERS));
    }

    pub fn standings(&self) -> Vec<MemberRollout> {
        let steward = &self.stewards[self.leads];
        let leader = steward.leader.as_ref().expect("it leads");
        leader.configuration_states(self.now, &self.ledger, &steward.register)
    }

    // ----------------------------------------------------------------------------------------------- balancers

    /// Starts with what its disk has, at a place that may be another one.
    pub fn start(&mut self, n: usize, moved: usize) {
        let place = place(n, moved);
        let taken = |kept: &ConfigurationSnapshot| match self.flaw {
            Flaw::TakesACopyOfAnotherPlace => kept.is_sound(),
            _ => kept.matches(&place),
        };
        let kept = self.disks[n].clone().filter(taken).filter(|kept| loads(n, kept));
        let mut running = kept.as_ref().map(contents).unwrap_or_default();
        let least = kept.as_ref().map_or(0, |kept| kept.version);
        if self.flaw == Flaw::SaysTheCopyIsInForce {
            running.clear();
        }
        let follower = match kept {
            // As if the copy named no place.
            Some(kept) if !kept.matches(&place) => {
                let text = serde_json::to_string(&kept).expect("a copy");
                let was = kept.entries().map(|p| p.version).max().unwrap_or(0);
                let other = (0..2).find_map(|moved| {
                    let at = self::place(n, moved);
                    kept.matches(&at)
                        .then(|| ConfigurationFollower::new(at, serde_json::from_str(&text).ok()))
                });
                let follower = other.expect("it is of one of the places");
                assert_eq!(follower.active().version, was);
                follower
            }
            kept => ConfigurationFollower::new(place.clone(), kept),
        };
        self.balancers[n] = Some(Process { follower, place, running, fetched: None, least });
    }

    /// Its process ends, wherever it was.
    pub fn crash(&mut self, n: usize) {
        self.balancers[n] = None;
    }

    /// What is in force is on its disk.
    pub fn keep(&mut self, n: usize) {
        if let Some(process) = &self.balancers[n] {
            let in_force = process.follower.active();
            self.disks[n] = (in_force.version > 0).then(|| in_force.clone());
        }
    }

    /// A content on its disk is another one by now.
    pub fn damage(&mut self, n: usize) {
        if let Some(kept) = &self.disks[n] {
            let text = serde_json::to_string(kept).expect("a copy");
            self.disks[n] = serde_json::from_str(&text.replacen("c = ", "c = 1", 1)).ok();
        }
    }

    pub fn beat(&mut self, n: usize) {
        let Some(process) = &self.balancers[n] else { return };
        self.number += 1;
        let configuration = Some(process.follower.report());
        self.network.push(Packet::Beat(Heartbeat {
            name: process.place.name.clone(),
            identity: identity(n),
            number: self.number,
            epoch: 0,
            demand: BudgetAmounts::new(),
            leaving: false,
            configuration,
            duties: None,
        }));
    }

    pub fn ask(&mut self, n: usize) {
        let (now, flaw) = (self.now, self.flaw);
        let Some(process) = &mut self.balancers[n] else { return };
        let Some(mut fetch) = process.follower.next_fetch(now) else { return };
        if flaw == Flaw::OlderOverNewer {
            fetch.known_version = 0;
        }
        self.network.push(Packet::Fetch(n, fetch));
    }

    /// It waits no longer for what it asked.
    pub fn time_out(&mut self, n: usize) {
        let now = self.now;
        if let Some(process) = self.balancers[n].as_mut().filter(|process| process.fetched.is_none()) {
            process.follower.fetch_failed(now, 0.5);
        }
    }

    /// What was fetched is applied, whole, or refused.
    pub fn apply(&mut self, n: usize) {
        let flaw = self.flaw;
        let Some(process) = &mut self.balancers[n] else { return };
        let Some(snapshot) = process.fetched.take() else { return };
        if !loads(n, &snapshot) {
            if flaw == Flaw::SaysTheRefusedIsInForce {
                return process.follower.activate(snapshot);
            }
            return process.follower.reject(snapshot.version, "it does not load");
        }
        process.running = contents(&snapshot);
        if flaw == Flaw::HalfOfAChange && process.running.len() > 1 {
            process.running.pop();
        }
        if flaw == Flaw::OlderOverNewer {
            process.follower = ConfigurationFollower::new(process.place.clone(), Some(snapshot));
            return;
        }
        process.follower.activate(snapshot);
    }

    fn take(&mut self, n: usize, fetched: FetchReply) {
        let (now, flaw) = (self.now, self.flaw);
        let Some(process) = &mut self.balancers[n] else { return };
        if process.fetched.is_some() {
            // What came first is being applied: whoever applies it hears of nothing else meanwhile.
            return;
        }
        if let (Flaw::OlderOverNewer, FetchReply::Entries { version, .. }) = (flaw, &fetched) {
            let mut blank = ConfigurationFollower::new(process.place.clone(), None);
            blank.on_notification(*version);
            blank.next_fetch(now);
            process.fetched = blank.on_reply(fetched).ok();
            return;
        }
        match process.follower.on_reply(fetched) {
            Ok(snapshot) => {
                if flaw == Flaw::InForceBeforeApplied {
                    process.follower.activate(snapshot.clone());
                }
                process.fetched = Some(snapshot);
            }
            Err(_) => process.follower.fetch_failed(now, 0.5),
        }
    }

    // ------------------------------------------------------------------------------------------------- network

    /// One of what is on its way arrives: beats and questions at this steward.
    pub fn deliver(&mut self, n: usize, to: usize) {
        match self.network.remove(n) {
            Packet::Beat(beat) => {
                let steward = &mut self.stewards[to];
                let Some(leader) = &mut steward.leader else { return };
                if leader.on_heartbeat(self.now, &beat, &self.ledger).is_err() {
                    return;
                }
                let Ok(mut answer) = leader.reply(&beat, &self.ledger, &steward.register) else { return };
                if self.flaw == Flaw::NoticeLostForEver {
                    let told = &mut self.told;
                    let new = |version: &Version| told.insert((beat.identity, *version), ()).is_none();
                    answer.configuration = answer.configuration.filter(new);
                }
                self.network.push(Packet::Answer(answer));
            }
            Packet::Answer(answer) => {
                let n = (answer.identity - 1) as usize;
                if let (Some(process), Some(version)) = (&mut self.balancers[n], answer.configuration) {
                    process.follower.on_notification(version);
                }
            }
            Packet::Fetch(n, fetch) => {
                self.network.push(Packet::Fetched(n, self.stewards[to].register.fetch(&fetch)))
            }
            Packet::Fetched(n, fetched) => self.take(n, fetched),
        }
    }

    fn deliver_from(&mut self, first: usize, to: usize) {
        while self.network.len() > first {
            self.deliver(first, to);
        }
    }

    /// Beat and answer; the question is on its way.
    pub fn begin(&mut self, n: usize) {
        let first = self.network.len();
        self.beat(n);
        self.deliver_from(first, self.leads);
        self.ask(n);
    }

    /// Beat, answer, question, parts, applied, and kept: nothing is lost.
    pub fn round(&mut self, n: usize) {
        let first = self.network.len();
        self.begin(n);
        self.deliver_from(first, self.leads);
        self.apply(n);
        self.keep(n);
    }

    /// Whatever is on its way is lost; all run, and are heard for some rounds.
    pub fn calm(&mut self) {
        self.network.clear();
        (0..STEWARDS).for_each(|n| self.catch_up(n, usize::MAX / 2));
        for n in 0..BALANCERS {
            if self.balancers[n].is_none() {
                self.start(n, 0);
            }
            self.apply(n);
            self.time_out(n);
        }
        for _ in 0..4 {
            (0..BALANCERS).for_each(|n| self.round(n));
            self.now += 12_000;
        }
    }

    // -------------------------------------------------------------------------------------------- the promise

    /// The version that concerned this place, and what it said, when this one was the register's last.
    pub fn said(&self, place: &Target, version: Version) -> (Version, Vec<String>) {
        let latest = place.scopes().map(|scope| {
            let mut entries = self.entered.range(..=version).rev();
            entries
                .find(|(_, (of, _))| *of == scope)
                .map(|(version, (_, content))| (*version, content.clone()))
        });
        let concerns = latest.iter().flatten().map(|(version, _)| *version).max().unwrap_or(0);
        let contents = latest.into_iter().flatten().map(|(_, content)| content);
        (concerns, contents.filter(|content| !content.is_empty()).collect())
    }

    /// What is in force is whole what the register said at the version that is reported, and no older than before.
    pub fn check(&mut self) -> Result<(), String> {
        for n in 0..BALANCERS {
            let Some(process) = &self.balancers[n] else { continue };
            let report = process.follower.report();
            let said = self.said(&process.place, report.active);
            if said != (report.active, process.running.clone()) {
                return Err(format!(
                    "b{n} reports version {} and goes by {:?}; the register said {said:?}",
                    report.active, process.running
                ));
            }
            if report.active < process.least {
                return Err(format!("b{n} goes by {} after {}", report.active, process.least));
            }
            let least = report.active;
            self.balancers[n].iter_mut().for_each(|process| process.least = least);
        }
        Ok(())
    }

    /// After calm all go by the latest, or say why not; and the leader knows it.
    pub fn check_settled(&self) -> Result<(), String> {
        for (n, (process, standing)) in self.balancers.iter().zip(self.standings()).enumerate() {
            let Some(process) = process else { continue };
            let (report, wanted) = (process.follower.report(), self.register().version_for(&process.place));
            let refused = report.rejected.as_ref().is_some_and(|(version, _)| *version == wanted);
            let should = if refused { RolloutState::Rejected } else { RolloutState::Active };
            if report.active != wanted && !refused {
                return Err(format!("b{n} goes by {} of {wanted} after calm", report.active));
            }
            if standing.state != should || standing.wanted != wanted || standing.active != report.active {
                return Err(format!("b{n} is {should:?} at {wanted}, and the leader says {standing:?}"));
            }
        }
        Ok(())
    }
}

fn contents(snapshot: &ConfigurationSnapshot) -> Vec<String> {
    snapshot.contents().map(str::to_owned).collect()
}

/// Contents name the balancers that they do not load on.
fn loads(n: usize, snapshot: &ConfigurationSnapshot) -> bool {
    !snapshot.contents().any(|content| content.contains(&format!("not b{n}")))
}
