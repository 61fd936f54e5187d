//! Members with clocks of their own, stewards that elect each other, messages that are late, lost and doubled, and an observer
//! with one clock that sees all of them. Versions that are broken on purpose are each a [`Flaw`].

// Each file of tests uses a part of it.
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

/// Two seconds; clocks are off by two in a hundred, at the bound that the lease states.
pub const LEASE: Lease = Lease { duration: 20_000, drift_ppm: 20_000 };

/// A version that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Holders count from when they hear, and the leader gives away after the bare length: no margin between the two.
    NoMargin,
    /// A snapshot forgets the highest term.
    TermReused,
    /// Whoever takes orders looks at no term.
    TokenIgnored,
    /// The end of a lease is told as a time of day, which each machine's clock tells otherwise.
    WallClock,
}

/// Real time by one member's clock: its rate is off, and its reading begins elsewhere.
#[derive(Clone, Copy, Debug)]
struct Clock {
    rate: f64,
    offset: f64,
}

impl Clock {
    fn read(&self, real: u64) -> u64 {
        (real as f64 * self.rate + self.offset) as u64
    }
}

struct Member {
    clock: Clock,
    duties: MemberDuties,
    incarnation: u64,
    number: u64,
    /// Orders that it decided on, each under its term at that moment, and that have not left yet.
    orders: Vec<(usize, Term)>,
}

#[derive(Clone)]
struct Answer {
    to: usize,
    incarnation: u64,
    number: u64,
    told: Option<DutyAssignments>,
}

/// What a leader knows; one that has been replaced can't enter anything, and answers nobody.
struct Leading {
    clock: Clock,
    duties: Leader,
}

pub struct World {
    flaw: Flaw,
    real: u64,
    table: DutyTable,
    leading: Leading,
    entering: Option<DutyTransition>,
    members: Vec<Member>,
    beats: Vec<(usize, Heartbeat)>,
    answers: Vec<Answer>,
    fence: Fence,
    /// What orders were followed under, in that order.
    followed: BTreeMap<usize, Vec<Term>>,
    /// The candidate of each term that was ever acted on.
    acted: BTreeMap<Term, Candidate>,
    elections: u64,
    /// How often a holder was seen to act.
    pub seen: usize,
}

fn identity(n: usize) -> u64 {
    n as u64 + 1
}

impl World {
    pub fn new(flaw: Flaw) -> Self {
        let drift = f64::from(LEASE.drift_ppm) / 1e6;
        let clock = |n: usize| Clock {
            rate: if n.is_multiple_of(2) { 1.0 - drift } else { 1.0 + drift },
            offset: 1e9 * n as f64,
        };
        let member = |n: usize| Member {
            clock: clock(n),
            duties: MemberDuties::new(n as u64 + 1),
            incarnation: n as u64 + 1,
            number: 0,
            orders: Vec::new(),
        };
        let mut table = DutyTable::default();
        let names: BTreeSet<String> = DUTIES.iter().map(|name| (*name).to_owned()).collect();
        table.apply(&DutyEntry::Names(names)).expect("they will do");
        let leading = World::lead(0, &table, flaw, 0);
        World {
            flaw,
            real: 0,
            table,
            leading,
            entering: None,
            members: (0..MEMBERS).map(member).collect(),
            beats: Vec::new(),
            answers: Vec::new(),
            fence: Fence::default(),
            followed: BTreeMap::new(),
            acted: BTreeMap::new(),
            elections: 0,
            seen: 0,
        }
    }

    /// Leaders' clocks run fast and slow in turn, at the bound.
    fn lead(real: u64, table: &DutyTable, flaw: Flaw, elections: u64) -> Leading {
        let drift = f64::from(LEASE.drift_ppm) / 1e6;
        let rate = if elections.is_multiple_of(2) { 1.0 + drift } else { 1.0 - drift };
        let clock = Clock { rate, offset: 5e8 * elections as f64 };
        let lease = if flaw == Flaw::NoMargin { Lease { drift_ppm: 0, ..LEASE } } else { LEASE };
        Leading { clock, duties: Leader::new(clock.read(real), table, lease) }
    }

    fn now(&self, n: usize) -> u64 {
        self.members[n].clock.read(self.real)
    }

    /// Time passes in steps, so that the observer sees what overlaps for a moment only.
    pub fn pass(&mut self, time: u64) -> Result<(), String> {
        const STEP: u64 = 200;
        let until = self.real + time;
        while self.real < until {
            self.real = until.min(self.real + STEP);
            self.observe()?;
        }
        Ok(())
    }

    pub fn beat(&mut self, n: usize) {
        let now = self.now(n);
        let member = &mut self.members[n];
        member.number += 1;
        let report = member.duties.report(now, member.number);
        let beat = Heartbeat {
            name: format!("n{n}"),
            identity: identity(n),
            number: member.number,
            epoch: 0,
            demand: BudgetAmounts::new(),
            leaving: false,
            configuration: None,
            duties: Some(report),
        };
        self.beats.push((n, beat));
    }

    /// A heartbeat reaches the leader, which answers it.
    pub fn deliver_beat(&mut self, which: usize) {
        if self.beats.is_empty() {
            return;
        }
        let (to, beat) = self.beats.remove(which % self.beats.len());
        self.leading.duties.on_heartbeat(self.leading.clock.read(self.real), &beat);
        let told = self.leading.duties.assignments_for(&beat, &self.table);
        let incarnation = beat.duties.as_ref().map_or(0, |report| report.incarnation);
        self.answers.push(Answer { to, incarnation, number: beat.number, told });
    }

    pub fn deliver_answer(&mut self, which: usize) -> Result<(), String> {
        if self.answers.is_empty() {
            return Ok(());
        }
        let Answer { to, incarnation, number, mut told } = self.answers.remove(which % self.answers.len());
        // A process that has ended hears nothing any more.
        if self.members[to].incarnation != incarnation {
            return Ok(());
        }
        let now = self.now(to);
        if let Some(told) = &mut told {
            match self.flaw {
                Flaw::NoMargin => told.hold_duration = LEASE.duration + LEASE.duration / 50,
                // The leader wrote down when it ends by its own clock; the member reads that by a clock set otherwise.
                Flaw::WallClock => {
                    let off = self.members[to].clock.offset - 1e9;
                    told.hold_duration = told.hold_duration.saturating_add_signed((off / 1e5) as i64);
                }
                _ => {}
            }
        }
        self.members[to].duties.on_reply(now, number, told.as_ref());
        self.observe()
    }

    pub fn lose(&mut self, which: usize) {
        if !self.beats.is_empty() && which.is_multiple_of(2) {
            self.beats.remove(which % self.beats.len());
        } else if !self.answers.is_empty() {
            self.answers.remove(which % self.answers.len());
        }
    }

    pub fn double(&mut self, which: usize) {
        if !self.beats.is_empty() && which.is_multiple_of(2) {
            let again = self.beats[which % self.beats.len()].clone();
            self.beats.push(again);
        } else if !self.answers.is_empty() {
            let again = self.answers[which % self.answers.len()].clone();
            self.answers.push(again);
        }
    }

    /// The leader decides; what it decided is on its way to the log.
    pub fn decide(&mut self) {
        if self.entering.is_none() {
            let now = self.leading.clock.read(self.real);
            self.entering = self.leading.duties.next_transition(now, &self.table);
        }
    }

    /// What is on its way is entered and applied.
    pub fn enter(&mut self) {
        let Some(change) = self.entering.take() else { return };
        // Whether it was applied the table says.
        let _ = self.table.apply(&DutyEntry::Transition(change));
        self.leading.duties.transition_done(self.leading.clock.read(self.real), &self.table);
    }

    /// Another steward leads. What was on its way may have been entered before that, or never is.
    pub fn elect(&mut self, entered: bool) {
        if let Some(change) = self.entering.take().filter(|_| entered) {
            let _ = self.table.apply(&DutyEntry::Transition(change));
        }
        self.elections += 1;
        self.leading = World::lead(self.real, &self.table, self.flaw, self.elections);
    }

    /// All stewards start again from a snapshot.
    pub fn restart_stewards(&mut self) {
        let mut kept = serde_json::to_value(&self.table).expect("it is JSON");
        if self.flaw == Flaw::TermReused {
            kept["highest"] = 0.into();
        }
        self.table = serde_json::from_value(kept).expect("a table");
        self.entering = None;
        self.elect(false);
    }

    pub fn release(&mut self, duty: usize) {
        self.leading.duties.release(DUTIES[duty % DUTIES.len()], &self.table);
    }

    pub fn drain(&mut self, n: usize) {
        self.members[n].duties.release_all();
    }

    pub fn resume(&mut self, n: usize) {
        self.members[n].duties.resume();
    }

    /// The process is killed, and another one starts under the same identity.
    pub fn restart(&mut self, n: usize) {
        let member = &mut self.members[n];
        member.incarnation += 1_000;
        member.duties = MemberDuties::new(member.incarnation);
        // Orders that had left may still come.
    }

    /// A holder decides on an order, which leaves later: it may be stopped in between.
    pub fn order(&mut self, n: usize) {
        let now = self.now(n);
        for (duty, name) in DUTIES.iter().enumerate() {
            if let Some(term) = self.members[n].duties.term(now, name) {
                self.members[n].orders.push((duty, term));
            }
        }
    }

    /// The oldest order of a member reaches whoever takes it.
    pub fn deliver_order(&mut self, n: usize) -> Result<(), String> {
        if self.members[n].orders.is_empty() {
            return Ok(());
        }
        let (duty, term) = self.members[n].orders.remove(0);
        if self.flaw != Flaw::TokenIgnored && self.fence.admit(DUTIES[duty], term).is_err() {
            return Ok(());
        }
        let followed = self.followed.entry(duty).or_default();
        if followed.last().is_some_and(|last| *last > term) {
            return Err(format!("{}: an order of term {term} was followed after {followed:?}", DUTIES[duty]));
        }
        followed.push(term);
        Ok(())
    }

    /// With one clock: each duty has one holder at the most, and a term is one candidate's for ever.
    fn observe(&mut self) -> Result<(), String> {
        for name in DUTIES {
            let mut holders = Vec::new();
            for n in 0..self.members.len() {
                if let Some(term) = self.members[n].duties.term(self.now(n), name) {
                    let candidate =
                        Candidate { identity: identity(n), incarnation: self.members[n].incarnation };
                    holders.push((candidate, term));
                }
            }
            if holders.len() > 1 {
                return Err(format!("{name}: {holders:?} act on it at once"));
            }
            for (candidate, term) in holders {
                self.seen += 1;
                let first = *self.acted.entry(term).or_insert(candidate);
                if first != candidate {
                    return Err(format!("{name}: term {term} is used twice, by {first:?} and {candidate:?}"));
                }
            }
        }
        Ok(())
    }

    /// A member stands still for longer than a lease, while the others beat often.
    pub fn stand_still(&mut self, still: usize) -> Result<(), String> {
        const OFTEN: u64 = 300;
        for _ in 0..(LEASE.duration + LEASE.duration / 4) / OFTEN {
            self.pass(OFTEN)?;
            self.round_of((0..MEMBERS).filter(|n| *n != still))?;
        }
        Ok(())
    }

    /// Everybody beats, and all that is due is entered, until nothing is on its way.
    pub fn round(&mut self) -> Result<(), String> {
        self.round_of(0..MEMBERS)
    }

    fn round_of(&mut self, members: impl Iterator<Item = usize>) -> Result<(), String> {
        members.for_each(|n| self.beat(n));
        while !self.beats.is_empty() {
            self.deliver_beat(0);
        }
        while !self.answers.is_empty() {
            self.deliver_answer(0)?;
        }
        self.decide();
        self.enter();
        Ok(())
    }

    /// Who acts on a duty now.
    pub fn holder(&self, duty: &str) -> Option<(usize, Term)> {
        (0..self.members.len()).find_map(|n| Some((n, self.members[n].duties.term(self.now(n), duty)?)))
    }

    pub fn table(&self) -> &DutyTable {
        &self.table
    }
}
