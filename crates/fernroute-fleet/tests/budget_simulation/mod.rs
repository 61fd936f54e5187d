//! A fleet in virtual time: processes with clocks of their own, a network that loses, repeats and reorders
//! messages, and leaders that replace each other. Consensus is not simulated: there is one log, and only the last
//! elected leader enters transitions.

// Each test file uses a part of this module.
#![allow(dead_code)]

use fernroute::Time;
use fernroute_fleet::configuration::register::Register;
use fernroute_fleet::leader::Leader;
use fernroute_fleet::lease::Lease;
use fernroute_fleet::ledger::{Budget, Entry, Ledger, LedgerTransition};
use fernroute_fleet::member::{Member, ReplyStatus};
use fernroute_fleet::message::{Heartbeat, HeartbeatReply, RejectReason};
use fernroute_fleet::{BudgetAmounts, MemberId, MilliUnits};
use std::collections::BTreeMap;

pub const BUDGET: &str = "acme";
pub const LIMIT: MilliUnits = 1200;
pub const GUARANTEED: MilliUnits = 50;
pub const MAX_MEMBERS: usize = 8;
/// Large, so that a missing allowance for drift is detected.
pub const DRIFT_PPM: u32 = 1000;
pub const QUOTA_LEASE: Lease = Lease { duration: 15_000, drift_ppm: DRIFT_PPM };
pub const GUARANTEED_LEASE: Lease = Lease { duration: 60_000, drift_ppm: DRIFT_PPM };
/// The time between two heartbeats of a member.
pub const HEARTBEAT_INTERVAL: Time = 2_500;

/// A deliberate defect of the protocol; the checks must detect each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    RegrantsQuotasBeforeExpiry,
    RegrantsGuaranteedBeforeExpiry,
    RemovesMemberOfSameName,
    AcceptsOlderEpoch,
    AppliesRepeatedReply,
    RepliesWithoutLeading,
    SuccessorOwnsWholeGrant,
    TreatsOfferAsAccepted,
    CountsLeaseFromReply,
}

/// A clock whose rate is off by up to [`DRIFT_PPM`], read in whole ticks.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    drift_ppm: i64,
    initial_reading: Time,
}

impl Clock {
    pub fn new(drift_ppm: i64, initial_reading: Time) -> Self {
        let max_drift_ppm = i64::from(DRIFT_PPM);
        Clock { drift_ppm: drift_ppm.clamp(-max_drift_ppm, max_drift_ppm), initial_reading }
    }

    fn read(&self, now: Time) -> Time {
        self.initial_reading + (i128::from(now) * i128::from(1_000_000 + self.drift_ppm) / 1_000_000) as Time
    }
}

/// One process of a balancer.
pub struct Process {
    pub member: Member,
    pub name: String,
    pub clock: Clock,
    pub demand: MilliUnits,
    /// Whether its heartbeats name the budget.
    pub names_budget: bool,
    /// A stopped process neither sends nor receives; once resumed it may spend what has not expired.
    pub stopped: bool,
    /// The index of the process that it has handed over to; it sends no heartbeat then.
    pub successor: Option<usize>,
}

/// A heartbeat that a leader has received and not answered yet.
struct UnansweredHeartbeat {
    heartbeat: Heartbeat,
    /// Whether the leader has confirmed since then that it still leads.
    is_leadership_confirmed: bool,
}

/// A coordinator that leads, or has led.
struct LeaderProcess {
    leader: Leader,
    clock: Clock,
    /// The entries that it has applied; equal to the simulation's ledger while it leads.
    ledger: Ledger,
    unanswered: Vec<UnansweredHeartbeat>,
    pending_transition: Option<LedgerTransition>,
}

#[derive(Clone, Debug)]
pub enum Packet {
    Heartbeat(Heartbeat),
    Reply(HeartbeatReply),
}

pub struct Simulation {
    pub flaw: Flaw,
    pub now: Time,
    pub ledger: Ledger,
    /// The last one leads.
    leaders: Vec<LeaderProcess>,
    /// None where the process has ended.
    pub processes: Vec<Option<Process>>,
    pub network: Vec<Packet>,
    last_identity: u64,
    /// The leaders' rejections, in order.
    pub rejections: Vec<RejectReason>,
}

pub fn budgets(limit: MilliUnits) -> BTreeMap<String, Budget> {
    BTreeMap::from([(BUDGET.to_owned(), Budget { limit, guaranteed: GUARANTEED })])
}

impl Simulation {
    pub fn new(flaw: Flaw) -> Self {
        let mut ledger = Ledger::default();
        ledger.apply(&Entry::Budgets(budgets(LIMIT))).expect("budgets are accepted");
        let mut simulation = Simulation {
            flaw,
            now: 1_000_000,
            ledger,
            leaders: Vec::new(),
            processes: Vec::new(),
            network: Vec::new(),
            last_identity: 100,
            rejections: Vec::new(),
        };
        simulation.elect(0);
        simulation
    }

    // ------------------------------------------------------------------------------------------- single events

    pub fn advance(&mut self, duration: Time) {
        self.now += duration;
    }

    /// Elects a new leader. The previous one does not know yet that it has been replaced.
    pub fn elect(&mut self, drift_ppm: i64) {
        if let Some(last) = self.leaders.last_mut() {
            last.ledger = self.ledger.clone();
        }
        let clock = Clock::new(drift_ppm, 77);
        let lease = |lease: Lease, flaw: Flaw| {
            let is_short = self.flaw == flaw;
            if is_short {
                Lease { duration: lease.duration / 3, ..lease }
            } else {
                lease
            }
        };
        let quota_lease = lease(QUOTA_LEASE, Flaw::RegrantsQuotasBeforeExpiry);
        let guaranteed_lease = lease(GUARANTEED_LEASE, Flaw::RegrantsGuaranteedBeforeExpiry);
        let now = clock.read(self.now);
        let leader = Leader::new(now, &self.ledger, quota_lease, guaranteed_lease, MAX_MEMBERS);
        let ledger = self.ledger.clone();
        let (unanswered, pending_transition) = (Vec::new(), None);
        self.leaders.push(LeaderProcess { leader, clock, ledger, unanswered, pending_transition });
    }

    pub fn last_leader(&self) -> usize {
        self.leaders.len() - 1
    }

    pub fn set_limit(&mut self, limit: MilliUnits) {
        self.ledger.apply(&Entry::Budgets(budgets(limit))).expect("budgets are accepted");
    }

    /// Starts a process, under the identity that an ended process has stored or a new one.
    pub fn start(
        &mut self,
        name: &str,
        identity: Option<MemberId>,
        drift_ppm: i64,
        demand: MilliUnits,
    ) -> usize {
        self.last_identity += 1;
        let first_number = (self.processes.len() as u64 + 1) << 32;
        let member = Member::new(name, identity.unwrap_or(self.last_identity), first_number);
        let clock = Clock::new(drift_ppm, 5_000 * self.last_identity);
        self.processes.push(Some(Process {
            member,
            name: name.to_owned(),
            clock,
            demand,
            names_budget: true,
            stopped: false,
            successor: None,
        }));
        self.processes.len() - 1
    }

    /// Ends a process. Its successor then owns the whole grant, or its predecessor takes it back.
    pub fn kill(&mut self, index: usize) {
        self.end_predecessor(index);
        self.processes[index] = None;
        let first_number = (1_000_000 + self.now) << 24;
        for process in self.processes.iter_mut().flatten() {
            if process.successor == Some(index) {
                process.successor = None;
                process.member.resume_after_handover(first_number);
            }
        }
    }

    /// Ends a process that has handed over; its successor is notified.
    pub fn end_predecessor(&mut self, index: usize) {
        let successor = self.processes[index].as_ref().and_then(|predecessor| predecessor.successor);
        let Some(successor) = successor else { return };
        self.processes[index] = None;
        if let Some(successor) = &mut self.processes[successor] {
            successor.member.own_whole_grant();
        }
    }

    /// Starts a successor of the same balancer, on the same machine and hence with the same clock.
    pub fn upgrade(&mut self, index: usize) -> Option<usize> {
        let successor = self.processes.len();
        let first_number = (successor as u64 + 1) << 32;
        let (flaw, now) = (self.flaw, self.now);
        let predecessor = self.processes[index].as_mut()?;
        if predecessor.successor.is_some() || predecessor.stopped {
            return None;
        }
        let reading = predecessor.clock.read(now);
        let handover = predecessor.member.hand_over(reading)?;
        let mut member = Member::take_over(&predecessor.name, reading, first_number, &handover);
        if flaw == Flaw::SuccessorOwnsWholeGrant {
            member.own_whole_grant();
        }
        predecessor.successor = Some(successor);
        let process = Process {
            member,
            name: predecessor.name.clone(),
            clock: predecessor.clock,
            demand: predecessor.demand,
            names_budget: predecessor.names_budget,
            stopped: false,
            successor: None,
        };
        self.processes.push(Some(process));
        Some(successor)
    }

    pub fn process(&mut self, index: usize) -> &mut Process {
        self.processes[index].as_mut().expect("the process runs")
    }

    pub fn identity(&self, index: usize) -> MemberId {
        self.processes[index].as_ref().expect("the process runs").member.identity()
    }

    pub fn send_heartbeat(&mut self, index: usize) {
        let Some(process) = &mut self.processes[index] else { return };
        if process.stopped || process.successor.is_some() {
            return;
        }
        let mut demand = BudgetAmounts::new();
        if process.names_budget {
            demand.insert(BUDGET.to_owned(), process.demand);
        }
        let heartbeat = process.member.heartbeat(process.clock.read(self.now), demand);
        self.network.push(Packet::Heartbeat(heartbeat));
    }

    pub fn leave(&mut self, index: usize) {
        if let Some(process) = self.processes[index].take() {
            self.network.push(Packet::Heartbeat(process.member.leave()));
        }
    }

    /// Delivers one message. A heartbeat goes to this leader, even if it was replaced long ago.
    pub fn deliver(&mut self, index: usize, leader: usize) {
        match self.network.remove(index) {
            Packet::Heartbeat(heartbeat) => self.receive_heartbeat(&heartbeat, leader),
            Packet::Reply(reply) => self.receive_reply(&reply),
        }
    }

    fn receive_heartbeat(&mut self, heartbeat: &Heartbeat, leader: usize) {
        let process = &mut self.leaders[leader];
        match process.leader.on_heartbeat(process.clock.read(self.now), heartbeat, &process.ledger) {
            Ok(()) => process
                .unanswered
                .push(UnansweredHeartbeat { heartbeat: heartbeat.clone(), is_leadership_confirmed: false }),
            Err(RejectReason::NameTaken) if self.flaw == Flaw::RemovesMemberOfSameName => {
                let removed = self.ledger.member_named(&heartbeat.name).into_iter().collect();
                self.apply(LedgerTransition { removed, ..LedgerTransition::default() });
                self.update_leader();
            }
            Err(reason) => self.rejections.push(reason),
        }
    }

    /// Applies a transition that a flaw adds, at the current epoch.
    fn apply(&mut self, transition: LedgerTransition) {
        let transition = LedgerTransition { base_epoch: self.ledger.epoch(), ..transition };
        let _ = self.ledger.apply(&Entry::Transition(transition));
    }

    /// This leader confirms that it still leads, if it does.
    pub fn confirm_leadership(&mut self, leader: usize) {
        if leader == self.last_leader() || self.flaw == Flaw::RepliesWithoutLeading {
            for unanswered in &mut self.leaders[leader].unanswered {
                unanswered.is_leadership_confirmed = true;
            }
        }
    }

    /// This leader answers the heartbeats that it received before it last confirmed its leadership.
    pub fn send_replies(&mut self, leader: usize) {
        self.update_leader();
        let process = &mut self.leaders[leader];
        let unanswered = std::mem::take(&mut process.unanswered);
        let (confirmed, unconfirmed): (Vec<_>, Vec<_>) =
            unanswered.into_iter().partition(|unanswered| unanswered.is_leadership_confirmed);
        process.unanswered = unconfirmed;
        for UnansweredHeartbeat { heartbeat, .. } in confirmed {
            match process.leader.reply(&heartbeat, &process.ledger, &Register::default()) {
                // Members get the full lease even where the leader's flaw is that it uses a shorter one itself.
                Ok(reply) => self.network.push(Packet::Reply(HeartbeatReply {
                    quotas_valid_for: QUOTA_LEASE.duration,
                    guaranteed_valid_for: GUARANTEED_LEASE.duration,
                    ..reply
                })),
                Err(reason) => self.rejections.push(reason),
            }
        }
    }

    /// This leader decides on a transition, or its last one is entered if it still leads.
    pub fn enter(&mut self, leader: usize) {
        self.update_leader();
        let is_leading = leader == self.last_leader();
        let process = &mut self.leaders[leader];
        if let Some(transition) = process.pending_transition.take() {
            if is_leading {
                // An outdated transition is refused, and the leader decides again.
                let _ = self.ledger.apply(&Entry::Transition(transition));
            }
            process.leader.transition_done();
        } else {
            let now = process.clock.read(self.now);
            process.pending_transition = process.leader.next_transition(now, &process.ledger);
        }
        if self.flaw == Flaw::TreatsOfferAsAccepted {
            self.accept_all_offers();
        }
        self.update_leader();
    }

    fn accept_all_offers(&mut self) {
        let mut accepted = Vec::new();
        for (identity, allocation) in self.ledger.allocations() {
            if let Some(offered) = &allocation.offered {
                accepted.push((*identity, offered.epoch));
            }
        }
        if !accepted.is_empty() {
            self.apply(LedgerTransition { accepted, ..LedgerTransition::default() });
        }
    }

    /// The last leader applies all that was entered.
    fn update_leader(&mut self) {
        if let Some(leader) = self.leaders.last_mut() {
            leader.ledger.clone_from(&self.ledger);
        }
    }

    /// A reply reaches every process of its identity, since the network does not distinguish them.
    fn receive_reply(&mut self, reply: &HeartbeatReply) {
        let (now, flaw) = (self.now, self.flaw);
        for process in self.processes.iter_mut().flatten() {
            if process.stopped || reply.identity != process.member.identity() {
                continue;
            }
            let reading = process.clock.read(now);
            let mut reply = reply.clone();
            if flaw == Flaw::AcceptsOlderEpoch && reply.grant.epoch < process.member.epoch() {
                reply.grant.epoch = process.member.epoch() + 1;
            }
            if flaw == Flaw::CountsLeaseFromReply {
                let (quotas_expire_at, _) = process.member.expirations();
                let earliest = reading.saturating_sub(20_000);
                reply.quotas_valid_for += quotas_expire_at.min(reading).saturating_sub(earliest);
            }
            let status = process.member.on_reply(reading, &reply);
            if status == ReplyStatus::Stale && flaw == Flaw::AppliesRepeatedReply {
                reply.number = process.member.heartbeat(reading, BudgetAmounts::new()).number;
                process.member.on_reply(reading, &reply);
            }
        }
    }

    // ------------------------------------------------------------------------------------ complete exchanges

    /// A heartbeat and its reply with the last leader, and all transitions that follow.
    pub fn exchange(&mut self, index: usize) {
        self.exchange_with(index, self.last_leader());
    }

    /// The same with this leader, even if it was replaced long ago.
    pub fn exchange_with(&mut self, index: usize, leader: usize) {
        let first_packet = self.network.len();
        self.request_reply(index, leader);
        self.deliver_from(first_packet, leader);
        self.enter_all();
    }

    /// A heartbeat reaches this leader, whose reply stays in the network.
    pub fn request_reply(&mut self, index: usize, leader: usize) {
        let first_packet = self.network.len();
        self.send_heartbeat(index);
        self.deliver_from(first_packet, leader);
        self.confirm_leadership(leader);
        self.send_replies(leader);
    }

    fn deliver_from(&mut self, first_packet: usize, leader: usize) {
        while self.network.len() > first_packet {
            self.deliver(self.network.len() - 1, leader);
        }
    }

    /// Enters all transitions that the last leader decides on.
    pub fn enter_all(&mut self) {
        for _ in 0..4 {
            self.enter(self.last_leader());
        }
    }

    /// All processes exchange heartbeats and replies for this long.
    pub fn run_undisturbed(&mut self, duration: Time) {
        for _ in 0..duration / HEARTBEAT_INTERVAL {
            for index in 0..self.processes.len() {
                self.exchange(index);
            }
            self.advance(HEARTBEAT_INTERVAL);
        }
    }

    /// The amount that one process may spend now.
    pub fn allocated(&self, index: usize) -> MilliUnits {
        let process = self.processes[index].as_ref();
        process.map_or(0, |process| process.member.allocated(process.clock.read(self.now), BUDGET))
    }

    /// The amount that all processes together may spend now.
    pub fn total_allocated(&self) -> MilliUnits {
        (0..self.processes.len()).map(|index| self.allocated(index)).sum()
    }

    /// The invariant: processes may spend no more than the limit, or than the ledger granted under a higher limit.
    pub fn check_limit(&self) -> Result<(), String> {
        let limit = self.ledger.budgets()[BUDGET].limit;
        let (total, granted) = (self.total_allocated(), self.ledger.total_allocated(BUDGET));
        if total > limit.max(granted) {
            let each: Vec<MilliUnits> =
                (0..self.processes.len()).map(|index| self.allocated(index)).collect();
            return Err(format!(
                "at {} all processes may spend {total} of {limit} ({granted} by the ledger): {each:?}",
                self.now
            ));
        }
        Ok(())
    }
}
