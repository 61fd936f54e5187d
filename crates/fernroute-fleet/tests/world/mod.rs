//! A fleet in virtual time: processes with clocks of their own, a network that loses, doubles and overtakes, leaders that
//! come and go. Consensus is taken for granted: one log, and only the last elected leader enters anything.

// Each file of tests uses a part of this.
#![allow(dead_code)]

use fernroute::Time;
use fernroute_fleet::configuration::register::Register;
use fernroute_fleet::leader::Leader;
use fernroute_fleet::lease::Lease;
use fernroute_fleet::ledger::{Allocation, Budget, Entry, Ledger, LedgerTransition};
use fernroute_fleet::member::{Member, ReplyStatus};
use fernroute_fleet::message::{Heartbeat, HeartbeatReply, RejectReason};
use fernroute_fleet::{BudgetAmounts, MemberId, MilliUnits};
use std::collections::BTreeMap;

pub const BUDGET: &str = "acme";
pub const WHOLE: MilliUnits = 1200;
pub const FLOOR: MilliUnits = 50;
pub const MOST: usize = 8;
/// A thousandth either way: much, so that a wrong bound shows.
pub const DRIFT: u32 = 1000;
pub const SHARES: Lease = Lease { duration: 15_000, drift_ppm: DRIFT };
pub const FLOORS: Lease = Lease { duration: 60_000, drift_ppm: DRIFT };

/// A version that is broken on purpose; each must be caught.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    RegrantsBeforeTheLapse,
    LetsAFloorOutTwice,
    ForgetsTheOldProcess,
    TrustsAnOlderEpoch,
    AppliesAReplay,
    AnswersWithoutLeading,
    HandsOverAllTwice,
    TakesAnOfferForAccepted,
    CountsFromTheAnswer,
}

/// A clock that is off by up to `DRIFT` millionths, read in whole ticks.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    off: i64,
    begun: Time,
}

impl Clock {
    pub fn new(off: i64, begun: Time) -> Self {
        Clock { off: off.clamp(-i64::from(DRIFT), i64::from(DRIFT)), begun }
    }

    fn read(&self, now: Time) -> Time {
        self.begun + (i128::from(now) * i128::from(1_000_000 + self.off) / 1_000_000) as Time
    }
}

pub struct Process {
    pub member: Member,
    pub name: String,
    pub clock: Clock,
    pub wants: MilliUnits,
    /// Whether its beats name the budget at all.
    pub names: bool,
    /// Stopped processes hear and say nothing; what they hold they may spend once they go on.
    pub stopped: bool,
    /// MemberHandover over to the process of this number: it sends no beat any more.
    pub successor: Option<usize>,
}

/// A steward that leads, or led.
struct Led {
    leader: Leader,
    clock: Clock,
    /// The ledger as it knows it: the log's while it leads.
    ledger: Ledger,
    /// Beats that it heard and has not answered; whether it has made sure since that it leads.
    heard: Vec<(Heartbeat, bool)>,
    entering: Option<LedgerTransition>,
}

#[derive(Clone, Debug)]
pub enum Packet {
    Beat(Heartbeat),
    Answer(HeartbeatReply),
}

pub struct World {
    pub flaw: Flaw,
    pub now: Time,
    pub ledger: Ledger,
    leaders: Vec<Led>,
    /// By number; none once it has ended.
    pub processes: Vec<Option<Process>>,
    pub network: Vec<Packet>,
    identities: u64,
    /// What leaders refused, in order.
    pub refusals: Vec<RejectReason>,
}

pub fn whole(amount: MilliUnits) -> BTreeMap<String, Budget> {
    BTreeMap::from([(BUDGET.to_owned(), Budget { limit: amount, guaranteed: FLOOR })])
}

impl World {
    pub fn new(flaw: Flaw) -> Self {
        let mut ledger = Ledger::default();
        ledger.apply(&Entry::Budgets(whole(WHOLE))).expect("budgets are taken");
        let mut world = World {
            flaw,
            now: 1_000_000,
            ledger,
            leaders: Vec::new(),
            processes: Vec::new(),
            network: Vec::new(),
            identities: 100,
            refusals: Vec::new(),
        };
        world.elect(0);
        world
    }

    // ------------------------------------------------------------------------------------------- what happens

    pub fn pass(&mut self, time: Time) {
        self.now += time;
    }

    /// A new leader. The one before does not know yet that it is none any more.
    pub fn elect(&mut self, off: i64) {
        if let Some(last) = self.leaders.last_mut() {
            last.ledger = self.ledger.clone();
        }
        let clock = Clock::new(off, 77);
        let early = |lease: Lease| Lease { duration: lease.duration / 3, ..lease };
        let shares = if self.flaw == Flaw::RegrantsBeforeTheLapse { early(SHARES) } else { SHARES };
        let floors = if self.flaw == Flaw::LetsAFloorOutTwice { early(FLOORS) } else { FLOORS };
        let leader = Leader::new(clock.read(self.now), &self.ledger, shares, floors, MOST);
        let ledger = self.ledger.clone();
        self.leaders.push(Led { leader, clock, ledger, heard: Vec::new(), entering: None });
    }

    pub fn leaders(&self) -> usize {
        self.leaders.len()
    }

    pub fn whole_is(&mut self, amount: MilliUnits) {
        self.ledger.apply(&Entry::Budgets(whole(amount))).expect("budgets are taken");
    }

    /// A new process; under an identity that it found where the process before it, which has ended, left it, or a new one.
    pub fn start(&mut self, name: &str, identity: Option<MemberId>, off: i64, wants: MilliUnits) -> usize {
        self.identities += 1;
        let first = (self.processes.len() as u64 + 1) << 32;
        let member = Member::new(name, identity.unwrap_or(self.identities), first);
        let clock = Clock::new(off, 5_000 * self.identities);
        let (name, stopped, successor) = (name.to_owned(), false, None);
        self.processes.push(Some(Process { member, name, clock, wants, names: true, stopped, successor }));
        self.processes.len() - 1
    }

    pub fn kill(&mut self, n: usize) {
        // Its successor finds out, and has all; the one before it takes back what it gave.
        self.end_old(n);
        self.processes[n] = None;
        let first = (1_000_000 + self.now) << 24;
        for process in self.processes.iter_mut().flatten().filter(|p| p.successor == Some(n)) {
            process.successor = None;
            process.member.resume_after_handover(first);
        }
    }

    /// The old process has ended, and its successor hears of it.
    pub fn end_old(&mut self, n: usize) {
        let Some(successor) = self.processes[n].as_ref().and_then(|old| old.successor) else { return };
        self.processes[n] = None;
        if let Some(new) = &mut self.processes[successor] {
            new.member.own_whole_grant();
        }
    }

    /// A new process of the same balancer beside the old one.
    pub fn upgrade(&mut self, n: usize) -> Option<usize> {
        let number = self.processes.len();
        let first = (number as u64 + 1) << 32;
        let (flaw, now) = (self.flaw, self.now);
        let old = self.processes[n].as_mut().filter(|old| old.successor.is_none() && !old.stopped)?;
        let clock = old.clock.read(now);
        let handed = old.member.hand_over(clock)?;
        let mut member = Member::take_over(&old.name, clock, first, &handed);
        if flaw == Flaw::HandsOverAllTwice {
            member.own_whole_grant();
        }
        old.successor = Some(number);
        // On one machine: one clock.
        let new = Process {
            member,
            name: old.name.clone(),
            clock: old.clock,
            wants: old.wants,
            names: old.names,
            stopped: false,
            successor: None,
        };
        self.processes.push(Some(new));
        Some(number)
    }

    pub fn process(&mut self, n: usize) -> &mut Process {
        self.processes[n].as_mut().expect("it runs")
    }

    pub fn identity(&self, n: usize) -> MemberId {
        self.processes[n].as_ref().expect("it runs").member.identity()
    }

    /// Sends a beat.
    pub fn beat(&mut self, n: usize) {
        let Some(process) = &mut self.processes[n] else { return };
        if process.stopped || process.successor.is_some() {
            return;
        }
        let wants = process.names.then(|| (BUDGET.to_owned(), process.wants)).into_iter().collect();
        let beat = process.member.heartbeat(process.clock.read(self.now), wants);
        self.network.push(Packet::Beat(beat));
    }

    pub fn leave(&mut self, n: usize) {
        if let Some(process) = self.processes[n].take() {
            self.network.push(Packet::Beat(process.member.leave()));
        }
    }

    /// The message of this number gets there: beats to the leader of the number `to`, however long ago it led.
    pub fn deliver(&mut self, n: usize, to: usize) {
        match self.network.remove(n) {
            Packet::Beat(beat) => self.hear(&beat, to),
            Packet::Answer(answer) => self.take(&answer),
        }
    }

    fn hear(&mut self, beat: &Heartbeat, to: usize) {
        let led = &mut self.leaders[to];
        match led.leader.on_heartbeat(led.clock.read(self.now), beat, &led.ledger) {
            Ok(()) => led.heard.push((beat.clone(), false)),
            Err(RejectReason::NameTaken) if self.flaw == Flaw::ForgetsTheOldProcess => {
                let gone = self.ledger.member_named(&beat.name).into_iter().collect();
                let step = LedgerTransition {
                    base_epoch: self.ledger.epoch(),
                    removed: gone,
                    ..LedgerTransition::default()
                };
                let _ = self.ledger.apply(&Entry::Transition(step));
                self.sync();
            }
            Err(why) => self.refusals.push(why),
        }
    }

    /// The leader of this number makes sure that it leads.
    pub fn confirm(&mut self, leader: usize) {
        if leader + 1 == self.leaders.len() || self.flaw == Flaw::AnswersWithoutLeading {
            self.leaders[leader].heard.iter_mut().for_each(|(_, sure)| *sure = true);
        }
    }

    /// It answers those beats that came before it made sure.
    pub fn speak(&mut self, leader: usize) {
        self.sync();
        let led = &mut self.leaders[leader];
        let (sure, unsure) = std::mem::take(&mut led.heard).into_iter().partition(|(_, sure)| *sure);
        led.heard = unsure;
        let sure: Vec<(Heartbeat, bool)> = sure;
        for (beat, _) in sure {
            match led.leader.reply(&beat, &led.ledger, &Register::default()) {
                Ok(answer) => {
                    // A leader that lapses early promises as long as any.
                    let (shares_for, floors_for) = (SHARES.duration, FLOORS.duration);
                    self.network.push(Packet::Answer(HeartbeatReply {
                        quotas_valid_for: shares_for,
                        guaranteed_valid_for: floors_for,
                        ..answer
                    }));
                }
                Err(why) => self.refusals.push(why),
            }
        }
    }

    /// It decides what to enter, and what it decided last is entered if it still leads.
    pub fn enter(&mut self, leader: usize) {
        self.sync();
        let leads = leader + 1 == self.leaders.len();
        let flaw = self.flaw;
        let led = &mut self.leaders[leader];
        if let Some(step) = led.entering.take() {
            if leads {
                // What is out of date is refused, and decided anew.
                let _ = self.ledger.apply(&Entry::Transition(step));
            }
            led.leader.transition_done();
        } else {
            led.entering = led.leader.next_transition(led.clock.read(self.now), &led.ledger);
        }
        if flaw == Flaw::TakesAnOfferForAccepted {
            let offered = |(identity, holder): (&MemberId, &Allocation)| {
                Some((*identity, holder.offered.as_ref()?.epoch))
            };
            let accepted: Vec<(MemberId, u64)> =
                self.ledger.allocations().iter().filter_map(offered).collect();
            if !accepted.is_empty() {
                let step = LedgerTransition {
                    base_epoch: self.ledger.epoch(),
                    accepted,
                    ..LedgerTransition::default()
                };
                let _ = self.ledger.apply(&Entry::Transition(step));
            }
        }
        self.sync();
    }

    /// Who leads has applied all that was entered.
    fn sync(&mut self) {
        if let Some(led) = self.leaders.last_mut() {
            led.ledger.clone_from(&self.ledger);
        }
    }

    /// An answer reaches every process that may take it for its own: the network does not know which is meant.
    fn take(&mut self, answer: &HeartbeatReply) {
        let (now, flaw) = (self.now, self.flaw);
        for process in self.processes.iter_mut().flatten().filter(|p| !p.stopped) {
            let clock = process.clock.read(now);
            let mut answer = answer.clone();
            if answer.identity != process.member.identity() {
                continue;
            }
            if flaw == Flaw::TrustsAnOlderEpoch && answer.grant.epoch < process.member.epoch() {
                answer.grant.epoch = process.member.epoch() + 1;
            }
            if flaw == Flaw::CountsFromTheAnswer {
                let (shares, _) = process.member.expirations();
                answer.quotas_valid_for += shares.min(clock).saturating_sub(clock.saturating_sub(20_000));
            }
            if process.member.on_reply(clock, &answer) == ReplyStatus::Stale && flaw == Flaw::AppliesAReplay {
                answer.number = process.member.heartbeat(clock, BudgetAmounts::new()).number;
                process.member.on_reply(clock, &answer);
            }
        }
    }

    // --------------------------------------------------------------------------------------------- the whole

    /// Sent, heard, answered and taken, with what is to be entered.
    pub fn round(&mut self, n: usize) {
        self.round_by(n, self.leaders.len() - 1);
    }

    /// The same with the leader of this number, however long ago it led.
    pub fn round_by(&mut self, n: usize, last: usize) {
        let before = self.network.len();
        self.ask(n, last);
        while self.network.len() > before {
            self.deliver(self.network.len() - 1, last);
        }
        self.settle();
    }

    /// Sent, heard and answered; the answer is on its way.
    pub fn ask(&mut self, n: usize, leader: usize) {
        let before = self.network.len();
        self.beat(n);
        while self.network.len() > before {
            self.deliver(self.network.len() - 1, leader);
        }
        self.confirm(leader);
        self.speak(leader);
    }

    /// All that the leader has to enter is entered.
    pub fn settle(&mut self) {
        let last = self.leaders.len() - 1;
        for _ in 0..4 {
            self.enter(last);
        }
    }

    /// Everybody who runs is heard for this long, every 250 ms.
    pub fn calm(&mut self, time: Time) {
        const BEAT: Time = 2_500;
        for _ in 0..time / BEAT {
            (0..self.processes.len()).for_each(|n| self.round(n));
            self.pass(BEAT);
        }
    }

    pub fn holds(&self, n: usize) -> MilliUnits {
        self.processes[n].as_ref().map_or(0, |p| p.member.allocated(p.clock.read(self.now), BUDGET))
    }

    /// What all that run may spend at this moment.
    pub fn spent(&self) -> MilliUnits {
        (0..self.processes.len()).map(|n| self.holds(n)).sum()
    }

    /// The promise.
    pub fn check(&self) -> Result<(), String> {
        let whole = self.ledger.budgets()[BUDGET].limit;
        let (spent, held) = (self.spent(), self.ledger.total_allocated(BUDGET));
        if spent > whole.max(held) {
            let each: Vec<MilliUnits> = (0..self.processes.len()).map(|n| self.holds(n)).collect();
            return Err(format!(
                "at {} all may spend {spent} of {whole} ({held} by the ledger): {each:?}",
                self.now
            ));
        }
        Ok(())
    }
}
