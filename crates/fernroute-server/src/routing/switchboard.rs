//! What the stages share: the balancer, the open RPCs, the addresses, the timers.

use super::clock::{self, Clock};
use super::phase::{Closing, Phase};
use super::tally::Tally;
use super::timers::{Due, Timers};
use super::windows::Windows;
use crate::protocol::answer::{Final, MOST_ANSWER};
use crate::protocol::list::{Entry, List, State};
use crate::protocol::load::Gauges;
use crate::protocol::ops::{Control, Figures};
use crate::protocol::request::{Request, Shape};
use crate::transport::client::{Client, UpstreamClient};
use crate::transport::inbound::CallerConnection;
use crate::transport::outbound::AttemptState;
use fernroute::action_queue::{Action, ActionQueue};
use fernroute::{Balancer, InvalidSetting, Outcome, Settings, Time};
use fernroute_fleet::demand::DemandMeter;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio_util::time::delay_queue::Key;

/// One transmission that is out: how to end it, and the timer that will. It stays in the table until its own task has
/// booked it. Guards against an id that is used again meanwhile: the new RPC would get the old one's outcome.
pub struct Out {
    /// None once it is told to end.
    pub stop: Option<oneshot::Sender<Outcome>>,
    /// None until the RPC's last byte has come, and once the answer has begun.
    pub time_out: Option<Key>,
    pub lasts: Time,
    pub attempt: Rc<AttemptState>,
    /// The way that it takes; none where its upstream had left the list.
    pub client: Option<Rc<UpstreamClient>>,
}

/// An RPC that waits for its final answer, or for the end of a transmission.
pub struct Open {
    pub request: Rc<Request>,
    /// The connection that it came on.
    pub caller: Option<Weak<CallerConnection>>,
    /// None once the final answer is given, or the caller has gone.
    pub answer: Option<oneshot::Sender<Final>>,
    /// Its answer is being handed on.
    pub streaming: bool,
    /// How many transmissions were made; those that are out, by number.
    pub made: usize,
    pub out: BTreeMap<usize, Out>,
}

impl Open {
    /// It is taken and not ended. One whose last byte has not come is not taken yet.
    fn is_outstanding(&self) -> bool {
        self.answer.is_some() && self.request.is_whole() || self.streaming
    }
}

fn count(terms: &Settings) -> usize {
    terms.get("methods.count").and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn shapes(terms: &Settings) -> Vec<Shape> {
    let method = |i: usize| {
        let term = |what: &str| terms.get(&format!("methods.{i}.{what}"));
        Some(Shape::new(term("name")?.clone(), term("effect")?))
    };
    (0..count(terms)).filter_map(method).collect()
}

fn gauges(terms: &Settings) -> Gauges {
    Gauges(terms.get("load.names").map_or("", String::as_str).split(',').map(str::to_owned).collect())
}

/// The longest hard deadline; without end where the terms do not tell.
fn longest(terms: &Settings) -> Time {
    let told = |i: usize| terms.get(&format!("methods.{i}.hard_deadline")).and_then(|t| t.parse().ok());
    (0..count(terms)).map(|i| told(i).unwrap_or(Time::MAX)).max().unwrap_or(Time::MAX)
}

/// By id: what the list says of an upstream that serves, and the way to it.
type Upstreams = BTreeMap<Rc<str>, (Entry, Rc<UpstreamClient>)>;

pub struct Switchboard {
    pub clock: Clock,
    balancer: RefCell<Balancer<ActionQueue>>,
    desk: ActionQueue,
    /// Emptied by the book: an answered RPC leaves with its last transmission.
    pub open: RefCell<BTreeMap<Rc<str>, Open>>,
    /// Emptied by the list.
    pub upstreams: RefCell<Upstreams>,
    /// Discovery's version of the list, where it has told one.
    pub since: Cell<Option<u64>>,
    /// Discovery has told the list to this process.
    pub heard: Cell<bool>,
    pub timers: Timers,
    /// The decisions ask for a watch on the list.
    pub follow: Rc<Notify>,
    pub client: Client,
    pub methods: RefCell<Vec<Shape>>,
    pub gauges: RefCell<Gauges>,
    /// In service, or on the way out of it.
    pub phase: Cell<Phase>,
    /// For the fleet's part, which is told at once.
    pub phase_changed: Notify,
    pub tally: Rc<Tally>,
    /// What may wait in here of long bodies.
    pub windows: Rc<Windows>,
    /// What is asked of each tenant's share, where a fleet divides them: one for each tenant of the terms.
    pub asked: RefCell<Option<BTreeMap<String, DemandMeter>>>,
    /// What is told to and by a fleet's stewards, where it is of one.
    pub control: RefCell<Option<Control>>,
}

impl Switchboard {
    /// `connections` is the most that may be open to upstreams, `memory` what the process may hold, in bytes.
    pub fn new(
        terms: &Settings,
        seed: u64,
        connections: usize,
        memory: usize,
    ) -> Result<Rc<Self>, InvalidSetting> {
        /// Where the terms do not tell.
        const CONNECT: Duration = Duration::from_secs(1);
        const KEEP: Duration = Duration::from_secs(10);
        let clock = Clock::start();
        let desk = ActionQueue::default();
        let balancer = Balancer::new(desk.clone(), clock.now(), seed, terms)?;
        let methods = shapes(terms);
        // One that can't be read has been refused with the terms.
        let term_time = |name: &str| terms.get(name).and_then(|t| t.parse::<Time>().ok());
        let time = |name: &str| term_time(name).map(clock::duration);
        let client = Client::new(
            time("limits.connect_time_out").unwrap_or(CONNECT),
            time("limits.keep_alive").unwrap_or(KEEP),
            connections,
            MOST_ANSWER,
        );
        let board = Rc::new(Switchboard {
            clock,
            balancer: RefCell::new(balancer),
            desk,
            open: RefCell::default(),
            upstreams: RefCell::default(),
            since: Cell::new(None),
            heard: Cell::new(false),
            timers: Timers::default(),
            follow: Rc::default(),
            client,
            tally: Tally::new(methods.iter().map(|m| &m.name)),
            methods: RefCell::new(methods),
            gauges: RefCell::new(gauges(terms)),
            phase: Cell::new(Phase::new(longest(terms))),
            phase_changed: Notify::new(),
            windows: Windows::new(memory),
            asked: RefCell::default(),
            control: RefCell::default(),
        });
        board.act();
        Ok(board)
    }

    /// What a fleet grants of tenants' shares, as [`Balancer::set_budget_rates`] takes it.
    pub fn new_shares(&self, of: &[(&str, [(f64, Time); 2])]) -> Result<(), InvalidSetting> {
        let now = self.clock.now();
        self.balancer.borrow_mut().set_budget_rates(now, of)
    }

    /// As [`Balancer::retries_wanted`].
    pub fn wished(&self) -> u64 {
        self.balancer.borrow().retries_wanted()
    }

    /// New terms, whole or not at all. What is open goes on as it was taken.
    pub fn new_terms(self: &Rc<Self>, terms: &Settings) -> Result<(), InvalidSetting> {
        self.balancer.borrow_mut().update_settings(self.clock.now(), terms)?;
        self.act();
        let methods = shapes(terms);
        self.tally.name(methods.iter().map(|m| &m.name));
        self.methods.replace(methods);
        self.gauges.replace(gauges(terms));
        self.phase_change(|phase, _| phase.set_longest(longest(terms)));
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        self.phase.get().is_ready() && !self.upstreams.borrow().is_empty()
    }

    /// Tells whether that made a difference.
    pub fn phase_change(&self, change: impl FnOnce(&mut Phase, Time)) -> bool {
        let (before, mut phase) = (self.phase.get(), self.phase.get());
        change(&mut phase, self.clock.now());
        self.phase.set(phase);
        let changed = phase != before;
        if changed {
            self.phase_changed.notify_one();
        }
        changed
    }

    /// How far the closing of callers' connections has come.
    pub fn closing(&self) -> Closing {
        self.phase.get().closing(self.clock.now())
    }

    /// As [`Balancer::upstream_counts`].
    pub fn standing(&self) -> (usize, usize) {
        self.balancer.borrow().upstream_counts()
    }

    pub fn figures(&self) -> Figures {
        let (listed, avoided) = self.standing();
        Figures {
            ends: self.tally.ends.borrow().clone(),
            taken: self.tally.taken.get(),
            left: self.tally.left.get(),
            outstanding: self.open.borrow().values().filter(|rpc| rpc.is_outstanding()).count(),
            transmissions: self.tally.written.get(),
            listed,
            avoided,
            fleet: self.control.borrow().clone().map(|control| self.as_of_now(control)),
        }
    }

    /// Without the duties whose lease is over by now.
    fn as_of_now(&self, mut control: Control) -> Control {
        let now = self.clock.now();
        control.duties.retain(|_, held| now < held.until);
        control
    }

    /// Counts what is told to and by a fleet's stewards.
    pub fn note(&self, change: impl FnOnce(&mut Control)) {
        if let Some(control) = &mut *self.control.borrow_mut() {
            change(control);
        }
    }

    /// Calls the balancer, then does what it asked for. A panic in there stops at the RPC that met it.
    pub fn decide(self: &Rc<Self>, rpc: Option<&str>, call: impl FnOnce(&mut Balancer<ActionQueue>, Time)) {
        let now = self.clock.now();
        let decided = catch_unwind(AssertUnwindSafe(|| call(&mut self.balancer.borrow_mut(), now)));
        self.act();
        if decided.is_err() {
            tracing::error!(
                "the decisions failed{}",
                rpc.map_or(String::new(), |id| format!(" on RPC {id}"))
            );
            if let Some(id) = rpc {
                self.give(id, Final::Errored);
            }
        }
    }

    fn act(self: &Rc<Self>) {
        while let Some(act) = self.desk.pop() {
            match act {
                Action::StartAttempt { rpc, upstream, timeout, write_deadline: written_by } => {
                    self.route(&rpc, &upstream, timeout, written_by);
                }
                Action::CancelAttempt { rpc, attempt } => self.stop(&rpc, attempt, Outcome::Cancelled),
                Action::Reject { rpc, retry_after } => {
                    self.give(&rpc, Final::Exhausted(retry_after));
                }
                Action::Fail { rpc } => {
                    self.give(&rpc, Final::Errored);
                }
                Action::SetTimer { after, timer } => {
                    self.timers.set(after, Due::Decision(timer));
                }
                Action::WatchEndpoints => self.follow.notify_one(),
                Action::Log(line) => tracing::info!("{line}"),
            }
        }
    }

    /// Tells the balancer of timers as they come due, for as long as the program runs.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            match self.timers.next().await {
                Due::Decision(timer) => self.decide(None, |b, now| b.timer_fired(now, &timer)),
                Due::Transmission { rpc, tx } => self.stop(&rpc, tx, Outcome::TimedOut),
            }
        }
    }

    /// Hands on what discovery told. `fresh` is false for the list that this balancer held before its start.
    pub fn take_list(self: &Rc<Self>, list: &List, fresh: bool) {
        self.heard.set(self.heard.get() || fresh);
        {
            let mut upstreams = self.upstreams.borrow_mut();
            if list.full {
                upstreams.retain(|id, _| list.entries.iter().any(|e| e.id == **id));
            }
            for entry in &list.entries {
                let id = entry.id.as_str();
                let Some(address) = entry.address.filter(|_| entry.state == State::Ready) else {
                    upstreams.remove(id);
                    continue;
                };
                // One that started again, or elsewhere, gets no connection of before.
                let same = upstreams.remove(id).filter(|(before, client)| {
                    before.started_ms == entry.started_ms && client.address == address
                });
                let client =
                    same.map_or_else(|| Rc::new(self.client.upstream(address)), |(_, client)| client);
                upstreams.insert(Rc::from(id), (entry.clone(), client));
            }
        }
        self.call_off_to_those_that_left();
        self.decide(None, |b, now| {
            b.snapshot_started(now, list.full);
            for entry in &list.entries {
                match entry.state {
                    State::Ready => {
                        b.upstream_ready(
                            &entry.id,
                            &entry.zone,
                            &entry.cell,
                            &entry.kind,
                            entry.started_ms * 10,
                        );
                    }
                    State::Drains => b.upstream_draining(&entry.id),
                    State::Gone => b.upstream_removed(&entry.id),
                }
            }
            b.snapshot_completed(fresh);
        });
    }

    pub fn list_failed(self: &Rc<Self>) {
        self.decide(None, |b, now| b.watch_failed(now));
    }
}
