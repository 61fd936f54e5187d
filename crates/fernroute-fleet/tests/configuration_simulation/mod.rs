//! Configuration of a fleet in virtual time: operators, coordinators that have applied a part of one log, old
//! and new leaders, a network that loses, repeats and reorders messages, and balancers that fetch, apply,
//! store, crash and restart. Consensus is not simulated: only the last elected leader enters changes.

// Each test file uses a part of this module.
#![allow(dead_code)]

pub mod fixtures;

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
use std::collections::{BTreeMap, BTreeSet};

pub const COORDINATORS: usize = 3;
pub const BALANCERS: usize = 4;
pub const QUOTA_LEASE: Lease = Lease { duration: 20_000, drift_ppm: 200 };
pub const GUARANTEED_LEASE: Lease = Lease { duration: 600_000, drift_ppm: 200 };

/// More entries than any log here has.
const ALL_ENTRIES: usize = usize::MAX / 2;

/// A deliberate defect of the protocol; the checks must detect each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Any reply is applied, as if no version were active.
    OlderOverNewer,
    /// A version is reported as active once it has been fetched.
    ActiveBeforeApplied,
    /// The narrowest content of a change is left out.
    PartlyApplied,
    /// The leader notifies each member of each version once.
    NotifiedOnce,
    /// A start reports the stored copy as active without applying it.
    StoredCopyNotApplied,
    /// A stored copy is used even if the balancer's service or zone has changed.
    StoredCopyOfAnotherTarget,
    /// A rejected version is reported as active, so that it is not fetched again.
    RejectedReportedAsActive,
}

/// One of a few services, zones and balancers, so that changes overlap.
pub fn scope(number: usize) -> Scope {
    let service = |number: usize| ["cart", "search"][number % 2].to_owned();
    match number % 10 {
        0 => Scope::All,
        number @ 1..=2 => Scope::Service(service(number)),
        number @ 3..=6 => {
            let zone = ["east", "west"][number / 2 % 2].to_owned();
            Scope::Zone { service: service(number), zone }
        }
        number => Scope::Balancer(format!("b{}", number - 7)),
    }
}

/// A balancer's target; `moves` is how often it was moved to the other zone.
pub fn target(index: usize, moves: usize) -> Target {
    let service = ["cart", "search"][index % 2].to_owned();
    let zone = ["east", "west"][(index + moves) / 2 % 2].to_owned();
    Target { name: format!("b{index}"), service, zone }
}

fn identity(index: usize) -> MemberId {
    index as MemberId + 1
}

#[derive(Clone, Debug)]
pub enum Packet {
    Heartbeat(Heartbeat),
    HeartbeatReply(HeartbeatReply),
    /// From this balancer.
    FetchRequest(usize, FetchRequest),
    /// To this balancer.
    FetchReply(usize, FetchReply),
}

pub struct Coordinator {
    pub register: Register,
    /// How many entries of the log it has applied.
    applied_entries: usize,
    /// Present while it leads, or believes that it leads.
    leader: Option<Leader>,
}

pub struct Process {
    pub follower: ConfigurationFollower,
    pub target: Target,
    /// The contents that it has actually applied.
    pub applied_contents: Vec<String>,
    /// Fetched, and not applied yet.
    pub fetched: Option<ConfigurationSnapshot>,
    /// The highest version that was active, or stored at its start.
    min_version: Version,
}

/// A content with its scope, as entered.
pub struct EnteredContent {
    scope: Scope,
    content: String,
}

pub struct Simulation {
    pub flaw: Flaw,
    pub now: Time,
    pub entered: BTreeMap<Version, EnteredContent>,
    log: Vec<ConfigurationPut>,
    pub coordinators: Vec<Coordinator>,
    pub leader: usize,
    ledger: Ledger,
    /// Operators' changes that the leader has not entered yet.
    pub puts: Vec<ConfigurationPut>,
    pub balancers: Vec<Option<Process>>,
    /// The copy that each balancer has stored.
    pub disks: Vec<Option<ConfigurationSnapshot>>,
    pub network: Vec<Packet>,
    last_heartbeat_number: u64,
    /// The versions that each member was notified of, for [`Flaw::NotifiedOnce`].
    notified: BTreeSet<(MemberId, Version)>,
}

impl Simulation {
    pub fn new(flaw: Flaw) -> Self {
        let mut ledger = Ledger::default();
        let joined = (0..BALANCERS).map(|index| (identity(index), format!("b{index}"))).collect();
        let transition = LedgerTransition { joined, ..LedgerTransition::default() };
        ledger.apply(&Entry::Transition(transition)).expect("the members are new");
        let coordinator = || Coordinator { register: Register::default(), applied_entries: 0, leader: None };
        let mut simulation = Simulation {
            flaw,
            now: 1_000_000,
            entered: BTreeMap::new(),
            log: Vec::new(),
            coordinators: (0..COORDINATORS).map(|_| coordinator()).collect(),
            leader: 0,
            ledger,
            puts: Vec::new(),
            balancers: (0..BALANCERS).map(|_| None).collect(),
            disks: vec![None; BALANCERS],
            network: Vec::new(),
            last_heartbeat_number: 0,
            notified: BTreeSet::new(),
        };
        simulation.elect(0);
        for index in 0..BALANCERS {
            simulation.start(index, 0);
        }
        simulation
    }

    // --------------------------------------------------------------------------------- operators and coordinators

    pub fn register(&self) -> &Register {
        &self.coordinators[self.leader].register
    }

    /// An operator's change, from the scope's latest version or from an older one.
    pub fn put(&mut self, scope: Scope, content: &str, is_from_latest: bool) {
        let latest_version = self.register().latest_version(&scope);
        let base_version = if is_from_latest { latest_version } else { latest_version.saturating_sub(1) };
        self.puts.push(ConfigurationPut {
            scope,
            base_version,
            content_hash: content_hash(content),
            content: content.to_owned(),
            author: "ann".to_owned(),
            entered_at_ms: self.now / 10,
            min_version_exclusive: 0,
        });
    }

    /// The leader enters one of the changes.
    pub fn enter(&mut self, index: usize) -> Result<Version, PutError> {
        let put = self.puts.remove(index);
        let latest_version = self.register().latest_version(&put.scope);
        let coordinator = &mut self.coordinators[self.leader];
        let entered = coordinator.register.apply(&put);
        coordinator.applied_entries += 1;
        self.log.push(put.clone());
        assert_eq!(entered.is_ok(), latest_version == put.base_version, "{entered:?}");
        if let Ok(version) = entered {
            self.entered.insert(version, EnteredContent { scope: put.scope, content: put.content });
        }
        entered
    }

    /// Puts a change from the latest version, and enters it at once.
    pub fn change(&mut self, scope: Scope, content: &str) -> Version {
        self.put(scope, content, true);
        self.enter(self.puts.len() - 1).expect("the change is based on the latest version")
    }

    /// A coordinator applies up to `max_entries` further entries of the log.
    pub fn catch_up(&mut self, index: usize, max_entries: usize) {
        let coordinator = &mut self.coordinators[index];
        let end = (coordinator.applied_entries + max_entries).min(self.log.len());
        for put in &self.log[coordinator.applied_entries..end] {
            let _ = coordinator.register.apply(put);
        }
        coordinator.applied_entries = end;
    }

    /// Elects a leader, which applies all entries. The previous one does not know that it has been replaced.
    pub fn elect(&mut self, index: usize) {
        self.catch_up(index, ALL_ENTRIES);
        self.leader = index;
        let leader = Leader::new(self.now, &self.ledger, QUOTA_LEASE, GUARANTEED_LEASE, BALANCERS);
        self.coordinators[index].leader = Some(leader);
    }

    pub fn rollouts(&self) -> Vec<MemberRollout> {
        let coordinator = &self.coordinators[self.leader];
        let leader = coordinator.leader.as_ref().expect("the coordinator leads");
        leader.configuration_states(self.now, &self.ledger, &coordinator.register)
    }

    // ------------------------------------------------------------------------------------------------- balancers

    /// Starts a balancer with its stored copy; its target may have changed.
    pub fn start(&mut self, index: usize, moves: usize) {
        let target = target(index, moves);
        let is_usable = |copy: &ConfigurationSnapshot| match self.flaw {
            Flaw::StoredCopyOfAnotherTarget => copy.is_sound(),
            _ => copy.matches(&target),
        };
        let copy = self.disks[index].clone().filter(is_usable).filter(|copy| loads(index, copy));
        let mut applied_contents = copy.as_ref().map(contents).unwrap_or_default();
        if self.flaw == Flaw::StoredCopyNotApplied {
            applied_contents.clear();
        }
        let min_version = copy.as_ref().map_or(0, |copy| copy.version);
        let follower = match copy {
            Some(copy) if !copy.matches(&target) => follower_of_copy(index, copy),
            copy => ConfigurationFollower::new(target.clone(), copy),
        };
        self.balancers[index] =
            Some(Process { follower, target, applied_contents, fetched: None, min_version });
    }

    /// Ends a balancer's process at any point.
    pub fn crash(&mut self, index: usize) {
        self.balancers[index] = None;
    }

    /// Stores the active version.
    pub fn store(&mut self, index: usize) {
        if let Some(process) = &self.balancers[index] {
            let active = process.follower.active();
            self.disks[index] = (active.version > 0).then(|| active.clone());
        }
    }

    /// Changes a content of the stored copy.
    pub fn damage_disk(&mut self, index: usize) {
        if let Some(copy) = &self.disks[index] {
            let text = serde_json::to_string(copy).expect("a copy");
            self.disks[index] = serde_json::from_str(&text.replacen("c = ", "c = 1", 1)).ok();
        }
    }

    pub fn send_heartbeat(&mut self, index: usize) {
        let Some(process) = &self.balancers[index] else { return };
        self.last_heartbeat_number += 1;
        self.network.push(Packet::Heartbeat(Heartbeat {
            name: process.target.name.clone(),
            identity: identity(index),
            number: self.last_heartbeat_number,
            epoch: 0,
            demand: BudgetAmounts::new(),
            leaving: false,
            configuration: Some(process.follower.report()),
            duties: None,
        }));
    }

    pub fn request_fetch(&mut self, index: usize) {
        let (now, flaw) = (self.now, self.flaw);
        let Some(process) = &mut self.balancers[index] else { return };
        let Some(mut request) = process.follower.next_fetch(now) else { return };
        if flaw == Flaw::OlderOverNewer {
            request.known_version = 0;
        }
        self.network.push(Packet::FetchRequest(index, request));
    }

    /// The balancer stops waiting for the reply to its request.
    pub fn time_out(&mut self, index: usize) {
        let now = self.now;
        if let Some(process) = self.balancers[index].as_mut().filter(|process| process.fetched.is_none()) {
            process.follower.fetch_failed(now, 0.5);
        }
    }

    /// Applies the fetched snapshot completely, or rejects it.
    pub fn apply(&mut self, index: usize) {
        let flaw = self.flaw;
        let Some(process) = &mut self.balancers[index] else { return };
        let Some(snapshot) = process.fetched.take() else { return };
        if !loads(index, &snapshot) {
            if flaw == Flaw::RejectedReportedAsActive {
                return process.follower.activate(snapshot);
            }
            return process.follower.reject(snapshot.version, "it does not load");
        }
        process.applied_contents = contents(&snapshot);
        if flaw == Flaw::PartlyApplied && process.applied_contents.len() > 1 {
            process.applied_contents.pop();
        }
        if flaw == Flaw::OlderOverNewer {
            process.follower = ConfigurationFollower::new(process.target.clone(), Some(snapshot));
            return;
        }
        process.follower.activate(snapshot);
    }

    /// The balancer ignores replies while it applies a snapshot.
    fn receive_fetch_reply(&mut self, index: usize, reply: FetchReply) {
        let (now, flaw) = (self.now, self.flaw);
        let Some(process) = &mut self.balancers[index] else { return };
        if process.fetched.is_some() {
            return;
        }
        if let (Flaw::OlderOverNewer, FetchReply::Entries { version, .. }) = (flaw, &reply) {
            let mut empty = ConfigurationFollower::new(process.target.clone(), None);
            empty.on_notification(*version);
            empty.next_fetch(now);
            process.fetched = empty.on_reply(reply).ok();
            return;
        }
        match process.follower.on_reply(reply) {
            Ok(snapshot) => {
                if flaw == Flaw::ActiveBeforeApplied {
                    process.follower.activate(snapshot.clone());
                }
                process.fetched = Some(snapshot);
            }
            Err(_) => process.follower.fetch_failed(now, 0.5),
        }
    }

    // --------------------------------------------------------------------------------------------------- network

    /// Delivers one message. A heartbeat or a request goes to this coordinator.
    pub fn deliver(&mut self, packet: usize, coordinator: usize) {
        match self.network.remove(packet) {
            Packet::Heartbeat(heartbeat) => self.receive_heartbeat(&heartbeat, coordinator),
            Packet::HeartbeatReply(reply) => {
                let index = (reply.identity - 1) as usize;
                if let (Some(process), Some(version)) = (&mut self.balancers[index], reply.configuration) {
                    process.follower.on_notification(version);
                }
            }
            Packet::FetchRequest(index, request) => {
                let reply = self.coordinators[coordinator].register.fetch(&request);
                self.network.push(Packet::FetchReply(index, reply));
            }
            Packet::FetchReply(index, reply) => self.receive_fetch_reply(index, reply),
        }
    }

    fn receive_heartbeat(&mut self, heartbeat: &Heartbeat, coordinator: usize) {
        let Coordinator { register, leader, .. } = &mut self.coordinators[coordinator];
        let Some(leader) = leader else { return };
        if leader.on_heartbeat(self.now, heartbeat, &self.ledger).is_err() {
            return;
        }
        let Ok(mut reply) = leader.reply(heartbeat, &self.ledger, register) else { return };
        if self.flaw == Flaw::NotifiedOnce {
            let notified = &mut self.notified;
            let is_new = |version: &Version| notified.insert((heartbeat.identity, *version));
            reply.configuration = reply.configuration.filter(is_new);
        }
        self.network.push(Packet::HeartbeatReply(reply));
    }

    fn deliver_from(&mut self, first_packet: usize, coordinator: usize) {
        while self.network.len() > first_packet {
            self.deliver(first_packet, coordinator);
        }
    }

    /// A heartbeat and its reply; the request that follows stays in the network.
    pub fn start_exchange(&mut self, index: usize) {
        let first_packet = self.network.len();
        self.send_heartbeat(index);
        self.deliver_from(first_packet, self.leader);
        self.request_fetch(index);
    }

    /// A heartbeat, its reply and the fetch that follows without any loss; the balancer applies and stores the result.
    pub fn exchange(&mut self, index: usize) {
        let first_packet = self.network.len();
        self.start_exchange(index);
        self.deliver_from(first_packet, self.leader);
        self.apply(index);
        self.store(index);
    }

    /// All messages in the network are lost; then all balancers run and exchange messages without faults.
    pub fn run_undisturbed(&mut self) {
        self.network.clear();
        for index in 0..COORDINATORS {
            self.catch_up(index, ALL_ENTRIES);
        }
        for index in 0..BALANCERS {
            if self.balancers[index].is_none() {
                self.start(index, 0);
            }
            self.apply(index);
            self.time_out(index);
        }
        for _ in 0..4 {
            for index in 0..BALANCERS {
                self.exchange(index);
            }
            self.now += 12_000;
        }
    }

    // ------------------------------------------------------------------------------------------------ invariants

    /// The version that concerned this target, and its contents, when `version` was the register's last.
    fn expected_at(&self, target: &Target, version: Version) -> (Version, Vec<String>) {
        let mut expected_version = 0;
        let mut contents = Vec::new();
        for scope in target.scopes() {
            let mut entered = self.entered.range(..=version).rev();
            let Some((version, latest)) = entered.find(|(_, entered)| entered.scope == scope) else {
                continue;
            };
            expected_version = expected_version.max(*version);
            if !latest.content.is_empty() {
                contents.push(latest.content.clone());
            }
        }
        (expected_version, contents)
    }

    /// The invariants: the applied contents are those that the register had at the reported version, and that version
    /// never decreases.
    pub fn check(&mut self) -> Result<(), String> {
        for index in 0..BALANCERS {
            let Some(process) = &self.balancers[index] else { continue };
            let active = process.follower.report().active;
            let expected = self.expected_at(&process.target, active);
            if expected != (active, process.applied_contents.clone()) {
                let applied = &process.applied_contents;
                return Err(format!(
                    "b{index} reports version {active} and has applied {applied:?}; the register had {expected:?}"
                ));
            }
            if active < process.min_version {
                return Err(format!("b{index} has {active} active after {}", process.min_version));
            }
            if let Some(process) = &mut self.balancers[index] {
                process.min_version = active;
            }
        }
        Ok(())
    }

    /// Checks that all balancers have the latest version active or have rejected it, and that the leader reports so.
    pub fn check_converged(&self) -> Result<(), String> {
        for (index, (process, rollout)) in self.balancers.iter().zip(self.rollouts()).enumerate() {
            let Some(process) = process else { continue };
            let report = process.follower.report();
            let wanted = self.register().version_for(&process.target);
            let is_rejected = report.rejected.as_ref().is_some_and(|(version, _)| *version == wanted);
            if report.active != wanted && !is_rejected {
                return Err(format!("b{index} has {} active of {wanted} without any fault", report.active));
            }
            let state = if is_rejected { RolloutState::Rejected } else { RolloutState::Active };
            if rollout.state != state || rollout.wanted != wanted || rollout.active != report.active {
                return Err(format!("b{index} is {state:?} at {wanted}, and the leader reports {rollout:?}"));
            }
        }
        Ok(())
    }
}

/// A follower that uses the copy, whichever of the balancer's targets it is for.
fn follower_of_copy(index: usize, copy: ConfigurationSnapshot) -> ConfigurationFollower {
    let text = serde_json::to_string(&copy).expect("a copy");
    let newest_version = copy.entries().map(|entry| entry.version).max().unwrap_or(0);
    let other = (0..2).map(|moves| target(index, moves)).find(|other| copy.matches(other));
    let other = other.expect("the copy is for one of the targets");
    let follower = ConfigurationFollower::new(other, serde_json::from_str(&text).ok());
    assert_eq!(follower.active().version, newest_version);
    follower
}

fn contents(snapshot: &ConfigurationSnapshot) -> Vec<String> {
    snapshot.contents().map(str::to_owned).collect()
}

/// Contents name the balancers that they do not load on.
fn loads(index: usize, snapshot: &ConfigurationSnapshot) -> bool {
    !snapshot.contents().any(|content| content.contains(&format!("not b{index}")))
}
