//! Duties in virtual time: members and leaders with clocks of their own, a network that loses, repeats and
//! reorders messages, and an observer with one clock that sees all members. Consensus is not simulated: there is one
//! table, and only the current leader enters transitions.

// Each test file uses a part of this module.
#![allow(dead_code)]

use fernroute_fleet::duties::fence::Fence;
use fernroute_fleet::duties::holder::MemberDuties;
use fernroute_fleet::duties::leader::Leader;
use fernroute_fleet::duties::table::{DutyEntry, DutyTable, DutyTransition};
use fernroute_fleet::duties::{Candidate, DutyAssignments, Term};
use fernroute_fleet::lease::Lease;
use fernroute_fleet::message::Heartbeat;
use fernroute_fleet::BudgetAmounts;
use std::collections::{BTreeMap, BTreeSet};

pub const MEMBERS: usize = 4;
pub const DUTIES: [&str; 3] = ["planner", "report", "sweep"];

/// Two seconds. Clocks drift by two percent, the bound that the lease states.
pub const LEASE: Lease = Lease { duration: 20_000, drift_ppm: 20_000 };

/// A deliberate defect of the protocol; the checks must detect each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Members use more than the whole lease, and the leader adds no allowance for drift.
    NoMargin,
    /// A snapshot loses the highest term.
    TermReused,
    /// Receivers of orders ignore the term.
    TokenIgnored,
    /// The end of a lease is sent as a time of day, which differs between machines.
    WallClock,
}

/// A clock with a wrong rate and an offset.
#[derive(Clone, Copy, Debug)]
struct Clock {
    rate: f64,
    offset: f64,
}

impl Clock {
    fn read(&self, real_time: u64) -> u64 {
        (real_time as f64 * self.rate + self.offset) as u64
    }
}

fn max_drift() -> f64 {
    f64::from(LEASE.drift_ppm) / 1e6
}

/// An order that a member has sent under its term at that moment, and that has not arrived yet.
struct Order {
    duty: usize,
    term: Term,
}

struct Member {
    clock: Clock,
    duties: MemberDuties,
    incarnation: u64,
    heartbeat_number: u64,
    orders: Vec<Order>,
}

impl Member {
    fn new(index: usize) -> Self {
        let rate = if index.is_multiple_of(2) { 1.0 - max_drift() } else { 1.0 + max_drift() };
        let incarnation = index as u64 + 1;
        Member {
            clock: Clock { rate, offset: 1e9 * index as f64 },
            duties: MemberDuties::new(incarnation),
            incarnation,
            heartbeat_number: 0,
            orders: Vec::new(),
        }
    }
}

#[derive(Clone)]
struct SentHeartbeat {
    sender: usize,
    heartbeat: Heartbeat,
}

#[derive(Clone)]
struct SentReply {
    recipient: usize,
    incarnation: u64,
    heartbeat_number: u64,
    assignments: Option<DutyAssignments>,
}

/// The current leader. A replaced one enters no transition and sends no reply.
struct LeaderProcess {
    clock: Clock,
    duties: Leader,
}

impl LeaderProcess {
    /// Leaders' clocks run fast and slow in turn, at the bound of the drift.
    fn new(real_time: u64, table: &DutyTable, flaw: Flaw, elections: u64) -> Self {
        let rate = if elections.is_multiple_of(2) { 1.0 + max_drift() } else { 1.0 - max_drift() };
        let clock = Clock { rate, offset: 5e8 * elections as f64 };
        let lease = if flaw == Flaw::NoMargin { Lease { drift_ppm: 0, ..LEASE } } else { LEASE };
        LeaderProcess { clock, duties: Leader::new(clock.read(real_time), table, lease) }
    }
}

pub struct Simulation {
    flaw: Flaw,
    real_time: u64,
    table: DutyTable,
    leader: LeaderProcess,
    pending_transition: Option<DutyTransition>,
    members: Vec<Member>,
    heartbeats: Vec<SentHeartbeat>,
    replies: Vec<SentReply>,
    fence: Fence,
    /// The terms of the orders that were followed, by duty and in order.
    followed_terms: BTreeMap<usize, Vec<Term>>,
    /// The candidate that acted under each term.
    candidates_by_term: BTreeMap<Term, Candidate>,
    elections: u64,
    /// How often the observer has seen a holder.
    pub observed_holders: usize,
}

fn identity(index: usize) -> u64 {
    index as u64 + 1
}

impl Simulation {
    pub fn new(flaw: Flaw) -> Self {
        let mut table = DutyTable::default();
        let names: BTreeSet<String> = DUTIES.iter().map(|name| (*name).to_owned()).collect();
        table.apply(&DutyEntry::Names(names)).expect("the names are valid");
        let leader = LeaderProcess::new(0, &table, flaw, 0);
        Simulation {
            flaw,
            real_time: 0,
            table,
            leader,
            pending_transition: None,
            members: (0..MEMBERS).map(Member::new).collect(),
            heartbeats: Vec::new(),
            replies: Vec::new(),
            fence: Fence::default(),
            followed_terms: BTreeMap::new(),
            candidates_by_term: BTreeMap::new(),
            elections: 0,
            observed_holders: 0,
        }
    }

    fn now(&self, index: usize) -> u64 {
        self.members[index].clock.read(self.real_time)
    }

    /// Advances in small steps, so that the observer detects a short overlap too.
    pub fn advance(&mut self, duration: u64) -> Result<(), String> {
        const STEP: u64 = 200;
        let end = self.real_time + duration;
        while self.real_time < end {
            self.real_time = end.min(self.real_time + STEP);
            self.observe()?;
        }
        Ok(())
    }

    pub fn send_heartbeat(&mut self, index: usize) {
        let now = self.now(index);
        let member = &mut self.members[index];
        member.heartbeat_number += 1;
        let report = member.duties.report(now, member.heartbeat_number);
        let heartbeat = Heartbeat {
            name: format!("n{index}"),
            identity: identity(index),
            number: member.heartbeat_number,
            epoch: 0,
            demand: BudgetAmounts::new(),
            leaving: false,
            configuration: None,
            duties: Some(report),
        };
        self.heartbeats.push(SentHeartbeat { sender: index, heartbeat });
    }

    /// A heartbeat reaches the leader, which answers it.
    pub fn deliver_heartbeat(&mut self, number: usize) {
        if self.heartbeats.is_empty() {
            return;
        }
        let SentHeartbeat { sender, heartbeat } = self.heartbeats.remove(number % self.heartbeats.len());
        self.leader.duties.on_heartbeat(self.leader.clock.read(self.real_time), &heartbeat);
        let assignments = self.leader.duties.assignments_for(&heartbeat, &self.table);
        let incarnation = heartbeat.duties.as_ref().map_or(0, |report| report.incarnation);
        let heartbeat_number = heartbeat.number;
        self.replies.push(SentReply { recipient: sender, incarnation, heartbeat_number, assignments });
    }

    /// A reply reaches its member, unless the process that it is for has ended.
    pub fn deliver_reply(&mut self, number: usize) -> Result<(), String> {
        if self.replies.is_empty() {
            return Ok(());
        }
        let mut reply = self.replies.remove(number % self.replies.len());
        if self.members[reply.recipient].incarnation != reply.incarnation {
            return Ok(());
        }
        let now = self.now(reply.recipient);
        if let Some(assignments) = &mut reply.assignments {
            self.apply_flaw(reply.recipient, assignments);
        }
        let duties = &mut self.members[reply.recipient].duties;
        duties.on_reply(now, reply.heartbeat_number, reply.assignments.as_ref());
        self.observe()
    }

    fn apply_flaw(&self, recipient: usize, assignments: &mut DutyAssignments) {
        if self.flaw == Flaw::NoMargin {
            assignments.hold_duration = LEASE.duration + LEASE.duration / 50;
        }
        if self.flaw == Flaw::WallClock {
            let offset = self.members[recipient].clock.offset - 1e9;
            let shifted = assignments.hold_duration.saturating_add_signed((offset / 1e5) as i64);
            assignments.hold_duration = shifted;
        }
    }

    /// Loses a heartbeat or a reply.
    pub fn lose(&mut self, number: usize) {
        if !self.heartbeats.is_empty() && number.is_multiple_of(2) {
            self.heartbeats.remove(number % self.heartbeats.len());
        } else if !self.replies.is_empty() {
            self.replies.remove(number % self.replies.len());
        }
    }

    /// Repeats a heartbeat or a reply.
    pub fn repeat(&mut self, number: usize) {
        if !self.heartbeats.is_empty() && number.is_multiple_of(2) {
            let repeated = self.heartbeats[number % self.heartbeats.len()].clone();
            self.heartbeats.push(repeated);
        } else if !self.replies.is_empty() {
            let repeated = self.replies[number % self.replies.len()].clone();
            self.replies.push(repeated);
        }
    }

    /// The leader decides on a transition, unless one is being entered.
    pub fn decide(&mut self) {
        if self.pending_transition.is_none() {
            let now = self.leader.clock.read(self.real_time);
            self.pending_transition = self.leader.duties.next_transition(now, &self.table);
        }
    }

    /// The pending transition is applied or refused; the table shows which.
    pub fn enter(&mut self) {
        let Some(transition) = self.pending_transition.take() else { return };
        let _ = self.table.apply(&DutyEntry::Transition(transition));
        self.leader.duties.transition_done(self.leader.clock.read(self.real_time), &self.table);
    }

    /// Elects a new leader. A pending transition is entered before that, or never.
    pub fn elect(&mut self, is_entered: bool) {
        if let Some(transition) = self.pending_transition.take().filter(|_| is_entered) {
            let _ = self.table.apply(&DutyEntry::Transition(transition));
        }
        self.elections += 1;
        self.leader = LeaderProcess::new(self.real_time, &self.table, self.flaw, self.elections);
    }

    /// All coordinators restart from a snapshot.
    pub fn restart_coordinators(&mut self) {
        let mut snapshot = serde_json::to_value(&self.table).expect("valid JSON");
        if self.flaw == Flaw::TermReused {
            snapshot["highest"] = 0.into();
        }
        self.table = serde_json::from_value(snapshot).expect("a table");
        self.pending_transition = None;
        self.elect(false);
    }

    pub fn release(&mut self, duty: usize) {
        self.leader.duties.release(DUTIES[duty % DUTIES.len()], &self.table);
    }

    pub fn drain(&mut self, index: usize) {
        self.members[index].duties.release_all();
    }

    pub fn resume(&mut self, index: usize) {
        self.members[index].duties.resume();
    }

    /// Kills the process and starts another one under the same identity. Orders that were sent may still arrive.
    pub fn restart(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.incarnation += 1_000;
        member.duties = MemberDuties::new(member.incarnation);
    }

    /// A holder sends an order for each of its duties; they arrive later.
    pub fn send_orders(&mut self, index: usize) {
        let now = self.now(index);
        let member = &mut self.members[index];
        for (duty, name) in DUTIES.iter().enumerate() {
            if let Some(term) = member.duties.term(now, name) {
                member.orders.push(Order { duty, term });
            }
        }
    }

    /// The oldest order of a member arrives.
    pub fn deliver_order(&mut self, index: usize) -> Result<(), String> {
        if self.members[index].orders.is_empty() {
            return Ok(());
        }
        let Order { duty, term } = self.members[index].orders.remove(0);
        if self.flaw != Flaw::TokenIgnored && self.fence.admit(DUTIES[duty], term).is_err() {
            return Ok(());
        }
        let followed = self.followed_terms.entry(duty).or_default();
        if followed.last().is_some_and(|last| *last > term) {
            return Err(format!("{}: an order of term {term} was followed after {followed:?}", DUTIES[duty]));
        }
        followed.push(term);
        Ok(())
    }

    /// Checks that each duty has at most one holder at a time, and each term one candidate at all times.
    fn observe(&mut self) -> Result<(), String> {
        for name in DUTIES {
            let holders = self.holders(name);
            if holders.len() > 1 {
                return Err(format!("{name}: {holders:?} act on it at once"));
            }
            for (candidate, term) in holders {
                self.observed_holders += 1;
                let first = *self.candidates_by_term.entry(term).or_insert(candidate);
                if first != candidate {
                    return Err(format!("{name}: term {term} is used twice, by {first:?} and {candidate:?}"));
                }
            }
        }
        Ok(())
    }

    fn holders(&self, duty: &str) -> Vec<(Candidate, Term)> {
        let mut holders = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            if let Some(term) = member.duties.term(self.now(index), duty) {
                let candidate = Candidate { identity: identity(index), incarnation: member.incarnation };
                holders.push((candidate, term));
            }
        }
        holders
    }

    /// One member is stopped for longer than a lease, while the others exchange heartbeats often.
    pub fn stop_for_a_lease(&mut self, stopped: usize) -> Result<(), String> {
        const INTERVAL: u64 = 300;
        for _ in 0..(LEASE.duration + LEASE.duration / 4) / INTERVAL {
            self.advance(INTERVAL)?;
            self.exchange_of((0..MEMBERS).filter(|index| *index != stopped))?;
        }
        Ok(())
    }

    /// All members exchange a heartbeat and a reply, all messages arrive, and the next transition is entered.
    pub fn exchange(&mut self) -> Result<(), String> {
        self.exchange_of(0..MEMBERS)
    }

    fn exchange_of(&mut self, members: impl Iterator<Item = usize>) -> Result<(), String> {
        for index in members {
            self.send_heartbeat(index);
        }
        while !self.heartbeats.is_empty() {
            self.deliver_heartbeat(0);
        }
        while !self.replies.is_empty() {
            self.deliver_reply(0)?;
        }
        self.decide();
        self.enter();
        Ok(())
    }

    /// The member that may act on a duty now, and its term.
    pub fn holder(&self, duty: &str) -> Option<(usize, Term)> {
        let term = |index: usize| self.members[index].duties.term(self.now(index), duty);
        (0..self.members.len()).find_map(|index| Some((index, term(index)?)))
    }

    pub fn table(&self) -> &DutyTable {
        &self.table
    }
}
