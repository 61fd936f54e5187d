//! The state that the stages share: the balancer, the open RPCs, the upstreams, the timers.

use super::clock::{self, Clock};
use super::counters::Counters;
use super::phase::{Closing, Phase};
use super::run_once_ids::RunOnceIds;
use super::timers::{TimerEvent, Timers};
use crate::memory::budget::MemoryBudget;
use crate::memory::window::Windows;
use crate::protocol::answer::{FinalAnswer, MAX_ANSWER_BYTES};
use crate::protocol::list::Entry;
use crate::protocol::load::LoadFields;
use crate::protocol::ops::{FleetStatus, MemoryStatus, Metrics};
use crate::protocol::request::{MethodSpec, Request};
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

/// A running attempt, with the means to stop it and its timer. It stays in the table until its own task has reported the
/// outcome. If it left earlier and the RPC's id were used again, the new RPC would get the old one's outcome.
pub struct OpenAttempt {
    /// None once the attempt has been stopped.
    pub stop: Option<oneshot::Sender<Outcome>>,
    /// The key of its timer. None until the request's last byte has been received, and once the answer has begun.
    pub timer: Option<Key>,
    pub timeout: Time,
    pub attempt: Rc<AttemptState>,
    /// None if the upstream had been removed from the list.
    pub client: Option<Rc<UpstreamClient>>,
}

/// An RPC that waits for its final answer, or for the end of an attempt.
pub struct OpenRpc {
    pub request: Rc<Request>,
    /// The connection that the RPC was received on.
    pub caller: Option<Weak<CallerConnection>>,
    /// None once the final answer is delivered, or the caller has disconnected.
    pub answer: Option<oneshot::Sender<FinalAnswer>>,
    /// Its answer is being streamed to the caller.
    pub streaming: bool,
    pub attempts_started: usize,
    /// The last byte of an attempt was written whose outcome does not prove that the RPC never ran.
    pub may_have_run: bool,
    /// A caller has the answer of a completed attempt.
    pub completed: bool,
    /// Running attempts by number.
    pub attempts: BTreeMap<usize, OpenAttempt>,
}

impl OpenRpc {
    /// Whether the RPC is accepted and not ended. It counts as accepted once its last byte has been received.
    fn is_outstanding(&self) -> bool {
        self.answer.is_some() && self.request.is_complete() || self.streaming
    }
}

fn method_count(settings: &Settings) -> usize {
    settings.get("methods.count").and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn method_specs(settings: &Settings) -> Vec<MethodSpec> {
    let method = |i: usize| {
        let setting = |field: &str| settings.get(&format!("methods.{i}.{field}"));
        Some(MethodSpec::new(setting("name")?.clone(), setting("effect")?))
    };
    (0..method_count(settings)).filter_map(method).collect()
}

fn load_fields(settings: &Settings) -> LoadFields {
    LoadFields(settings.get("load.names").map_or("", String::as_str).split(',').map(str::to_owned).collect())
}

/// The longest hard deadline; unlimited if the settings do not give one.
fn longest_hard_deadline(settings: &Settings) -> Time {
    let deadline =
        |i: usize| settings.get(&format!("methods.{i}.hard_deadline")).and_then(|t| t.parse().ok());
    (0..method_count(settings)).map(|i| deadline(i).unwrap_or(Time::MAX)).max().unwrap_or(Time::MAX)
}

/// Serving upstreams by id: the list entry and the client for it.
type Upstreams = BTreeMap<Rc<str>, (Entry, Rc<UpstreamClient>)>;

pub struct Dispatcher {
    pub clock: Clock,
    balancer: RefCell<Balancer<ActionQueue>>,
    actions: ActionQueue,
    /// An RPC is removed once it has its answer and no running attempt.
    pub open: RefCell<BTreeMap<Rc<str>, OpenRpc>>,
    /// The ids of RPCs that must not run again.
    pub run_once_ids: RunOnceIds,
    /// Entries are removed when the list no longer names them as serving.
    pub upstreams: RefCell<Upstreams>,
    /// The version of the list from discovery, once one has been received.
    pub list_version: Cell<Option<u64>>,
    /// Whether this process has received a list from discovery.
    pub discovery_answered: Cell<bool>,
    pub timers: Timers,
    /// Notified when the balancer asks for a watch on the list.
    pub watch_wanted: Rc<Notify>,
    pub client: Client,
    pub methods: RefCell<Vec<MethodSpec>>,
    pub load_fields: RefCell<LoadFields>,
    /// In service, or being taken out of it.
    pub phase: Cell<Phase>,
    /// Notified on each change, so that the fleet member reports it at once.
    pub phase_changed: Notify,
    pub counters: Rc<Counters>,
    /// The memory for messages.
    pub windows: Rc<Windows>,
    /// The demand of each tenant in the settings, if a fleet divides their budgets.
    pub tenant_demand: RefCell<Option<BTreeMap<String, DemandMeter>>>,
    /// The exchange with the fleet's coordinators, if the balancer belongs to a fleet.
    pub fleet_status: RefCell<Option<FleetStatus>>,
}

impl Dispatcher {
    /// `connections` is the maximum number of connections to upstreams, `memory` the budget for messages.
    pub fn new(
        settings: &Settings,
        seed: u64,
        connections: usize,
        memory: Rc<MemoryBudget>,
    ) -> Result<Rc<Self>, InvalidSetting> {
        /// Defaults for settings that are not given.
        const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
        const KEEP_ALIVE: Duration = Duration::from_secs(10);
        let clock = Clock::start();
        let actions = ActionQueue::default();
        let balancer = Balancer::new(actions.clone(), clock.now(), seed, settings)?;
        let methods = method_specs(settings);
        // Unreadable values have been rejected by `Balancer::new`.
        let setting_time = |name: &str| settings.get(name).and_then(|t| t.parse::<Time>().ok());
        let time = |name: &str| setting_time(name).map(clock::duration);
        let client = Client::new(
            time("limits.connect_time_out").unwrap_or(CONNECT_TIMEOUT),
            time("limits.keep_alive").unwrap_or(KEEP_ALIVE),
            connections,
            MAX_ANSWER_BYTES,
        );
        let dispatcher = Rc::new(Dispatcher {
            clock,
            balancer: RefCell::new(balancer),
            actions,
            open: RefCell::default(),
            run_once_ids: RunOnceIds::default(),
            upstreams: RefCell::default(),
            list_version: Cell::new(None),
            discovery_answered: Cell::new(false),
            timers: Timers::default(),
            watch_wanted: Rc::default(),
            client,
            counters: Counters::new(methods.iter().map(|m| &m.name)),
            methods: RefCell::new(methods),
            load_fields: RefCell::new(load_fields(settings)),
            phase: Cell::new(Phase::new(longest_hard_deadline(settings))),
            phase_changed: Notify::new(),
            windows: Windows::new(memory),
            tenant_demand: RefCell::default(),
            fleet_status: RefCell::default(),
        });
        dispatcher.run_actions();
        Ok(dispatcher)
    }

    /// Sets the tenants' budget rates that the fleet has granted, as [`Balancer::set_budget_rates`].
    pub fn set_budget_rates(&self, rates: &[(&str, [(f64, Time); 2])]) -> Result<(), InvalidSetting> {
        let now = self.clock.now();
        self.balancer.borrow_mut().set_budget_rates(now, rates)
    }

    /// As [`Balancer::retries_wanted`].
    pub fn retries_wanted(&self) -> u64 {
        self.balancer.borrow().retries_wanted()
    }

    /// Applies new settings, completely or not at all. Open RPCs keep the settings that they were accepted under.
    pub fn update_settings(self: &Rc<Self>, settings: &Settings) -> Result<(), InvalidSetting> {
        self.balancer.borrow_mut().update_settings(self.clock.now(), settings)?;
        self.run_actions();
        let methods = method_specs(settings);
        self.counters.add_methods(methods.iter().map(|m| &m.name));
        self.methods.replace(methods);
        self.load_fields.replace(load_fields(settings));
        self.update_phase(|phase, _| phase.raise_longest_deadline(longest_hard_deadline(settings)));
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        self.phase.get().is_ready() && !self.upstreams.borrow().is_empty()
    }

    /// Returns whether the phase has changed.
    pub fn update_phase(&self, change: impl FnOnce(&mut Phase, Time)) -> bool {
        let (before, mut phase) = (self.phase.get(), self.phase.get());
        change(&mut phase, self.clock.now());
        self.phase.set(phase);
        let changed = phase != before;
        if changed {
            self.phase_changed.notify_one();
        }
        changed
    }

    /// The current stage of closing callers' connections.
    pub fn closing(&self) -> Closing {
        self.phase.get().closing(self.clock.now())
    }

    /// As [`Balancer::upstream_counts`].
    pub fn upstream_counts(&self) -> (usize, usize) {
        self.balancer.borrow().upstream_counts()
    }

    pub fn metrics(&self) -> Metrics {
        let (listed, avoided) = self.upstream_counts();
        Metrics {
            ends: self.counters.ends.borrow().clone(),
            taken: self.counters.accepted.get(),
            left: self.counters.abandoned.get(),
            outstanding: self.open.borrow().values().filter(|rpc| rpc.is_outstanding()).count(),
            attempts: self.counters.written.get(),
            listed,
            avoided,
            memory: self.memory_status(),
            fleet: self.fleet_status.borrow().clone().map(|status| self.without_expired_duties(status)),
        }
    }

    fn memory_status(&self) -> MemoryStatus {
        let budget = self.windows.budget();
        MemoryStatus {
            limit_bytes: budget.limit(),
            held_bytes: budget.held(),
            peak_bytes: budget.peak(),
            waiting: budget.waiting(),
        }
    }

    /// Removes the duties whose lease has expired.
    fn without_expired_duties(&self, mut status: FleetStatus) -> FleetStatus {
        let now = self.clock.now();
        status.duties.retain(|_, held| now < held.until);
        status
    }

    /// Updates the status of the exchange with the coordinators, if the balancer belongs to a fleet.
    pub fn update_fleet_status(&self, change: impl FnOnce(&mut FleetStatus)) {
        if let Some(status) = &mut *self.fleet_status.borrow_mut() {
            change(status);
        }
    }

    /// Calls the balancer, then runs the actions it has queued. A panic in the balancer fails only the given RPC.
    pub fn decide(self: &Rc<Self>, rpc: Option<&str>, call: impl FnOnce(&mut Balancer<ActionQueue>, Time)) {
        let now = self.clock.now();
        let decided = catch_unwind(AssertUnwindSafe(|| call(&mut self.balancer.borrow_mut(), now)));
        self.run_actions();
        if decided.is_err() {
            tracing::error!("balancer panicked{}", rpc.map_or(String::new(), |id| format!(" on RPC {id}")));
            if let Some(id) = rpc {
                self.deliver(id, FinalAnswer::Errored);
            }
        }
    }

    fn run_actions(self: &Rc<Self>) {
        while let Some(action) = self.actions.pop() {
            match action {
                Action::StartAttempt { rpc, upstream, timeout, write_deadline } => {
                    self.route(&rpc, &upstream, timeout, write_deadline);
                }
                Action::CancelAttempt { rpc, attempt } => {
                    self.stop_attempt(&rpc, attempt, Outcome::Cancelled)
                }
                Action::Reject { rpc, retry_after } => {
                    self.deliver(&rpc, FinalAnswer::Exhausted(retry_after));
                }
                Action::Fail { rpc } => {
                    self.deliver(&rpc, FinalAnswer::Errored);
                }
                Action::SetTimer { after, timer } => {
                    self.timers.set(after, TimerEvent::Balancer(timer));
                }
                Action::WatchEndpoints => self.watch_wanted.notify_one(),
                Action::Log(line) => tracing::info!("{line}"),
            }
        }
    }

    /// Handles timers as they expire, for as long as the process runs.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            match self.timers.next().await {
                TimerEvent::Balancer(timer) => self.decide(None, |b, now| b.timer_fired(now, &timer)),
                TimerEvent::AttemptTimeout { rpc, number } => {
                    self.stop_attempt(&rpc, number, Outcome::TimedOut)
                }
            }
        }
    }
}
