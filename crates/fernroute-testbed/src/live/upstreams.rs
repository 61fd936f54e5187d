//! Stand-in upstreams: the simulator's upstream model, in real time.

use super::Lab;
use crate::scenario::{millis, seconds};
use crate::trace::{EndpointState, Event, FinalAnswer};
use crate::upstream::{State, Upstream};
use fernroute::{Outcome, Time};
use fernroute_server::routing::clock::duration;
use fernroute_test_support::http::{response, Connection, Message};
use rand::RngExt as _;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

/// A stand-in upstream.
pub(super) struct StandIn {
    pub(super) model: RefCell<Upstream>,
    pub(super) address: Cell<SocketAddr>,
    pub(super) slots: RefCell<Rc<Semaphore>>,
    pub(super) cores: RefCell<Rc<Semaphore>>,
    pub(super) waiting: Cell<usize>,
    pub(super) balancer: Cell<Option<usize>>,
    /// Tasks of the listener and the connections, and those of RPCs in progress. When a machine vanishes
    /// only the latter end.
    pub(super) tasks: RefCell<Vec<AbortHandle>>,
    pub(super) running_rpcs: RefCell<Vec<AbortHandle>>,
}

impl Lab {
    pub(super) fn stand_in(&self, number: usize) -> Rc<StandIn> {
        Rc::clone(&self.upstreams.borrow()[number])
    }

    pub(super) async fn new_stand_in(
        self: &Rc<Self>,
        tier: usize,
        zone: usize,
        cell: usize,
    ) -> Result<usize, String> {
        let settings = &self.scenario.tier[tier];
        let number = self.upstreams.borrow().len();
        let speed = 1.0 + settings.unlike * (2.0 * self.rng.borrow_mut().random::<f64>() - 1.0);
        let cold = !self.first_tier.borrow().is_empty();
        let now = self.now();
        let mut model = Upstream::new(
            Rc::from(format!("{}-{number}", settings.name)),
            tier,
            settings,
            (zone, cell),
            speed,
            now,
        );
        model.cold = cold;
        let stand_in = Rc::new(StandIn {
            model: RefCell::new(model),
            address: Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))),
            slots: RefCell::new(Rc::new(Semaphore::new(0))),
            cores: RefCell::new(Rc::new(Semaphore::new(0))),
            waiting: Cell::new(0),
            balancer: Cell::new(None),
            tasks: RefCell::default(),
            running_rpcs: RefCell::default(),
        });
        self.upstreams.borrow_mut().push(Rc::clone(&stand_in));
        self.open_stand_in(number).await?;
        let (lab, period) = (Rc::clone(self), settings.report_ms);
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs_f64(period / 1000.0)).await;
                let stand_in = lab.stand_in(number);
                let settings = &lab.scenario.tier[tier];
                stand_in.model.borrow_mut().report(lab.now(), millis(period), settings.choke.as_ref());
            }
        });
        Ok(number)
    }

    /// Starts to listen, on a new port each time: another process may have taken the old one.
    pub(super) async fn open_stand_in(self: &Rc<Self>, number: usize) -> Result<(), String> {
        let stand_in = self.stand_in(number);
        let io_error = |e: std::io::Error| format!("stand-in upstream: {e}");
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io_error)?;
        stand_in.address.set(listener.local_addr().map_err(io_error)?);
        let (tier, cores, slots) = {
            let model = stand_in.model.borrow();
            (model.tier, model.cores, model.slots)
        };
        stand_in.slots.replace(Rc::new(Semaphore::new(slots)));
        stand_in.cores.replace(Rc::new(Semaphore::new(cores)));
        stand_in.waiting.set(0);
        let lab = Rc::clone(self);
        let accept = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = spawn_local(Rc::clone(&lab).connection(number, Connection::new(stream)));
                let stand_in = lab.stand_in(number);
                let mut tasks = stand_in.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(task.abort_handle());
            }
        });
        stand_in.tasks.borrow_mut().push(accept.abort_handle());
        let model = stand_in.model.borrow();
        let (zone, cell, cold) = (model.zone, model.cell, model.cold);
        let rate = self.scenario.warm_rate(tier, model.speed);
        self.record(&Event::Started { upstream: number, zone, cell, rate, cold });
        Ok(())
    }

    pub(super) async fn connection(self: Rc<Self>, upstream: usize, mut peer: Connection) {
        while let Ok(Some(message)) = peer.read().await {
            let caller_gone = Rc::new(Cell::new(false));
            let handled = Rc::clone(&self).handle(upstream, message, Rc::clone(&caller_gone));
            // An RPC that has started continues after its caller has gone; one that waits may be
            // dropped.
            let mut task = spawn_local(handled);
            let stand_in = self.stand_in(upstream);
            {
                let mut running_rpcs = stand_in.running_rpcs.borrow_mut();
                running_rpcs.retain(|t| !t.is_finished());
                running_rpcs.push(task.abort_handle());
            }
            let bytes = tokio::select! {
                bytes = &mut task => bytes,
                () = peer.wait_for_close() => {
                    caller_gone.set(true);
                    return;
                }
            };
            let Ok(to_bytes) = bytes else {
                // The machine has vanished: it sends nothing, not even a close.
                return peer.wait_for_close().await;
            };
            if peer.write(&to_bytes).await.is_err() {
                return;
            }
        }
    }

    /// Handles one attempt and returns the bytes of its answer.
    pub(super) async fn handle(
        self: Rc<Self>,
        upstream: usize,
        message: Message,
        caller_gone: Rc<Cell<bool>>,
    ) -> Vec<u8> {
        let received = self.now();
        let Some(rpc) = message.header("req-id").map(Rc::<str>::from) else { return response(404, "", "") };
        let hard = received + message.header_number::<Time>("req-deadline-ms").unwrap_or(0) * 10;
        let work: Time = message.header_number("lab-work").unwrap_or(1);
        let calls = message.header("lab-calls").unwrap_or("").to_owned();
        let stand_in = self.stand_in(upstream);
        let tier = stand_in.model.borrow().tier;
        let settings = &self.scenario.tier[tier];
        if stand_in.model.borrow().state == State::Silent {
            return std::future::pending().await;
        }
        let counted = self.open_rpcs.borrow_mut().get_mut(&rpc).map(|(balancer, attempts)| {
            *attempts += 1;
            (*balancer, *attempts - 1)
        });
        let (balancer, attempt) = counted.unwrap_or((usize::MAX, 0));
        self.metrics.borrow_mut().attempts += 1;
        let relative_work = self.scenario.in_mean_rpcs(work);
        self.record(&Event::Sent { rpc: Rc::clone(&rpc), attempt, balancer, upstream, work: relative_work });
        let ended = |outcome| self.record(&Event::Ended { rpc: Rc::clone(&rpc), attempt, outcome });
        let declined = |load: String| {
            ended(Outcome::Rejected);
            response(503, &format!("Srv-Declined: 1\r\n{load}"), "")
        };
        if stand_in.model.borrow().is_hanging() {
            self.record(&Event::Ran { rpc: Rc::clone(&rpc), attempt });
            return std::future::pending().await;
        }
        let errors = stand_in.model.borrow().error_share();
        if errors > 0.0 && self.rng.borrow_mut().random::<f64>() < errors {
            self.record(&Event::Ran { rpc: Rc::clone(&rpc), attempt });
            ended(Outcome::Failed);
            return response(500, &self.load(upstream), "");
        }
        let slots = Rc::clone(&stand_in.slots.borrow());
        if slots.available_permits() == 0 && stand_in.waiting.get() >= settings.queue {
            return declined(self.load(upstream));
        }
        stand_in.waiting.set(stand_in.waiting.get() + 1);
        let slot = slots.acquire().await;
        stand_in.waiting.set(stand_in.waiting.get().saturating_sub(1));
        if slot.is_err() || settings.drops && (caller_gone.get() || self.now() >= hard) {
            return declined(self.load(upstream));
        }
        stand_in.model.borrow_mut().occupied_slots += 1;
        self.record(&Event::Ran { rpc: Rc::clone(&rpc), attempt });
        self.work(&stand_in, tier, work as f64 * settings.work).await;
        let mut outcome = Outcome::Completed;
        let count: u32 = calls.split(',').nth(tier + 1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let method = message.header("req-kind").unwrap_or("").to_owned();
        let method = self.scenario.method.iter().position(|m| m.name == method).unwrap_or(0);
        for _ in 0..count {
            if caller_gone.get()
                || self.now() >= hard
                || !self.call(&stand_in, method, work, &calls, hard).await
            {
                outcome = Outcome::Failed;
                break;
            }
        }
        stand_in.model.borrow_mut().occupied_slots -= 1;
        ended(outcome);
        let status = if outcome == Outcome::Completed { 200 } else { 500 };
        response(status, &self.load(upstream), &rpc)
    }

    pub(super) async fn work(&self, stand_in: &Rc<StandIn>, tier: usize, work: f64) {
        let cores = Rc::clone(&stand_in.cores.borrow());
        let Ok(_core) = cores.acquire().await else { return };
        let pause = || stand_in.model.borrow().paused_until.saturating_sub(self.now());
        sleep(duration(pause())).await;
        let rules = &self.scenario.rules;
        let duration_needed = {
            let mut model = stand_in.model.borrow_mut();
            model.account(self.now());
            model.busy += 1;
            let warmth = model.warmth(self.now(), rules.cold_from, seconds(rules.warm_within_s));
            model.service_time(work, warmth, self.scenario.tier[tier].choke.as_ref())
        };
        sleep(duration(duration_needed)).await;
        sleep(duration(pause())).await;
        let mut model = stand_in.model.borrow_mut();
        model.account(self.now());
        model.busy = model.busy.saturating_sub(1);
    }

    /// Calls the tier below through the upstream's own balancer.
    pub(super) async fn call(
        &self,
        stand_in: &StandIn,
        method: usize,
        work: Time,
        calls: &str,
        hard: Time,
    ) -> bool {
        let Some(balancer) = stand_in.balancer.get() else { return false };
        self.calls.set(self.calls.get() + 1);
        let rpc: Rc<str> = Rc::from(format!("c{}", self.calls.get()));
        let last = self.send(balancer, &rpc, method, None, hard, work, calls).await;
        matches!(last, Some((FinalAnswer::Completed, _)))
    }

    pub(super) fn load(&self, upstream: usize) -> String {
        let stand_in = self.stand_in(upstream);
        let model = stand_in.model.borrow();
        let late = millis(self.scenario.tier[model.tier].report_late_ms);
        let late = late + self.reports_late.borrow().values().sum::<Time>();
        let used = model.reported(self.now(), late);
        if used.is_finite() {
            format!("Srv-Load: util={used:.3}\r\n")
        } else {
            String::new()
        }
    }

    /// Ends the upstream's process or machine, and its balancer.
    pub(super) fn stop_upstream(&self, upstream: usize, state: State) {
        let stand_in = self.stand_in(upstream);
        {
            let mut model = stand_in.model.borrow_mut();
            model.terminate(self.now());
            model.state = state;
        }
        stand_in.running_rpcs.borrow_mut().drain(..).for_each(|job| job.abort());
        if state != State::Silent {
            stand_in.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        }
        if let Some(balancer) = stand_in.balancer.take() {
            self.kill_balancer(balancer);
        }
    }

    pub(super) async fn restart_upstream(self: &Rc<Self>, upstream: usize) {
        let stand_in = self.stand_in(upstream);
        stand_in.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        stand_in.model.borrow_mut().restart(self.now());
        let opened = match self.open_stand_in(upstream).await {
            Ok(()) => self.new_upstream_balancer(upstream).await,
            Err(error) => Err(error),
        };
        match opened {
            Ok(()) => self.announce(upstream, EndpointState::Ready, self.scenario.discovery.late_ms),
            Err(error) => drop(self.error.replace(Some(error))),
        }
    }
}
