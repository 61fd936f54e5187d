//! Stand-in upstreams: the model of the simulator, in real time.

use super::Lab;
use crate::scenario::{millis, seconds};
use crate::trace::{Event, Final, Told};
use crate::upstream::{State, Upstream};
use fernroute::{Outcome, Time};
use fernroute_server::routing::clock::duration;
use fernroute_test_support::http::{answer, Message, Peer};
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
    pub(super) places: RefCell<Rc<Semaphore>>,
    pub(super) cores: RefCell<Rc<Semaphore>>,
    pub(super) waiting: Cell<usize>,
    pub(super) balancer: Cell<Option<usize>>,
    /// Its connections and the listener, and the RPCs in hand. A machine that vanishes ends the latter only.
    pub(super) tasks: RefCell<Vec<AbortHandle>>,
    pub(super) jobs: RefCell<Vec<AbortHandle>>,
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
        let of = &self.scenario.tier[tier];
        let number = self.upstreams.borrow().len();
        let speed = 1.0 + of.unlike * (2.0 * self.rng.borrow_mut().random::<f64>() - 1.0);
        let cold = !self.first_tier.borrow().is_empty();
        let now = self.now();
        let mut model =
            Upstream::new(Rc::from(format!("{}-{number}", of.name)), tier, of, (zone, cell), speed, now);
        model.cold = cold;
        let stand_in = Rc::new(StandIn {
            model: RefCell::new(model),
            address: Cell::new(SocketAddr::from(([127, 0, 0, 1], 0))),
            places: RefCell::new(Rc::new(Semaphore::new(0))),
            cores: RefCell::new(Rc::new(Semaphore::new(0))),
            waiting: Cell::new(0),
            balancer: Cell::new(None),
            tasks: RefCell::default(),
            jobs: RefCell::default(),
        });
        self.upstreams.borrow_mut().push(Rc::clone(&stand_in));
        self.open_stand_in(number).await?;
        let (lab, period) = (Rc::clone(self), of.report_ms);
        spawn_local(async move {
            loop {
                sleep(Duration::from_secs_f64(period / 1000.0)).await;
                let stand_in = lab.stand_in(number);
                let of = &lab.scenario.tier[tier];
                stand_in.model.borrow_mut().report(lab.now(), millis(period), of.choke.as_ref());
            }
        });
        Ok(number)
    }

    /// Starts to listen, each time at a port of its own: an old one may be somebody else's by then.
    pub(super) async fn open_stand_in(self: &Rc<Self>, number: usize) -> Result<(), String> {
        let stand_in = self.stand_in(number);
        let io_error = |e: std::io::Error| format!("a stand-in: {e}");
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io_error)?;
        stand_in.address.set(listener.local_addr().map_err(io_error)?);
        let (tier, cores, slots) = {
            let model = stand_in.model.borrow();
            (model.tier, model.cores, model.slots)
        };
        stand_in.places.replace(Rc::new(Semaphore::new(slots)));
        stand_in.cores.replace(Rc::new(Semaphore::new(cores)));
        stand_in.waiting.set(0);
        let lab = Rc::clone(self);
        let accept = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let task = spawn_local(Rc::clone(&lab).connection(number, Peer::new(stream)));
                let stand_in = lab.stand_in(number);
                let mut tasks = stand_in.tasks.borrow_mut();
                tasks.retain(|t| !t.is_finished());
                tasks.push(task.abort_handle());
            }
        });
        stand_in.tasks.borrow_mut().push(accept.abort_handle());
        let model = stand_in.model.borrow();
        let (zone, cell, cold) = (model.zone, model.cell, model.cold);
        let rate = self.scenario.rate(tier, model.speed);
        self.record(&Event::Started { upstream: number, zone, cell, rate, cold });
        Ok(())
    }

    pub(super) async fn connection(self: Rc<Self>, upstream: usize, mut peer: Peer) {
        while let Ok(Some(message)) = peer.read().await {
            let gone = Rc::new(Cell::new(false));
            let handled = Rc::clone(&self).handle(upstream, message, Rc::clone(&gone));
            // Work goes on when its caller has gone; what still waits may be dropped.
            let mut task = spawn_local(handled);
            let stand_in = self.stand_in(upstream);
            {
                let mut jobs = stand_in.jobs.borrow_mut();
                jobs.retain(|t| !t.is_finished());
                jobs.push(task.abort_handle());
            }
            let bytes = tokio::select! {
                bytes = &mut task => bytes,
                () = peer.closed() => {
                    gone.set(true);
                    return;
                }
            };
            let Ok(bytes) = bytes else {
                // The machine has vanished: nothing is heard of it, not even a close.
                return peer.closed().await;
            };
            if peer.write(&bytes).await.is_err() {
                return;
            }
        }
    }

    /// One transmission, to the bytes of its answer.
    pub(super) async fn handle(
        self: Rc<Self>,
        upstream: usize,
        message: Message,
        gone: Rc<Cell<bool>>,
    ) -> Vec<u8> {
        let begun = self.now();
        let Some(rpc) = message.header("req-id").map(Rc::<str>::from) else { return answer(404, "", "") };
        let hard = begun + message.number::<Time>("req-deadline-ms").unwrap_or(0) * 10;
        let work: Time = message.number("lab-work").unwrap_or(1);
        let calls = message.header("lab-calls").unwrap_or("").to_owned();
        let stand_in = self.stand_in(upstream);
        let tier = stand_in.model.borrow().tier;
        let of = &self.scenario.tier[tier];
        if stand_in.model.borrow().state == State::Silent {
            return std::future::pending().await;
        }
        let place = self.open_rpcs.borrow_mut().get_mut(&rpc).map(|(node, made)| {
            *made += 1;
            (*node, *made - 1)
        });
        let (balancer, attempt) = place.unwrap_or((usize::MAX, 0));
        self.books.borrow_mut().transmissions += 1;
        let means = self.scenario.in_means(work);
        self.record(&Event::Sent { rpc: Rc::clone(&rpc), attempt, balancer, upstream, work: means });
        let ended = |outcome| self.record(&Event::Ended { rpc: Rc::clone(&rpc), attempt, outcome });
        let declined = |load: String| {
            ended(Outcome::Rejected);
            answer(503, &format!("Srv-Declined: 1\r\n{load}"), "")
        };
        if stand_in.model.borrow().hangs() {
            self.record(&Event::Ran { rpc: Rc::clone(&rpc), attempt });
            return std::future::pending().await;
        }
        let errors = stand_in.model.borrow().errors();
        if errors > 0.0 && self.rng.borrow_mut().random::<f64>() < errors {
            self.record(&Event::Ran { rpc: Rc::clone(&rpc), attempt });
            ended(Outcome::Failed);
            return answer(500, &self.load(upstream), "");
        }
        let places = Rc::clone(&stand_in.places.borrow());
        if places.available_permits() == 0 && stand_in.waiting.get() >= of.queue {
            return declined(self.load(upstream));
        }
        stand_in.waiting.set(stand_in.waiting.get() + 1);
        let held = places.acquire().await;
        stand_in.waiting.set(stand_in.waiting.get().saturating_sub(1));
        if held.is_err() || of.drops && (gone.get() || self.now() >= hard) {
            return declined(self.load(upstream));
        }
        stand_in.model.borrow_mut().held += 1;
        self.record(&Event::Ran { rpc: Rc::clone(&rpc), attempt });
        self.work(&stand_in, tier, work as f64 * of.work).await;
        let mut outcome = Outcome::Completed;
        let count: u32 = calls.split(',').nth(tier + 1).and_then(|n| n.parse().ok()).unwrap_or(0);
        let method = message.header("req-kind").unwrap_or("").to_owned();
        let method = self.scenario.method.iter().position(|m| m.name == method).unwrap_or(0);
        for _ in 0..count {
            if gone.get() || self.now() >= hard || !self.call(&stand_in, method, work, &calls, hard).await {
                outcome = Outcome::Failed;
                break;
            }
        }
        stand_in.model.borrow_mut().held -= 1;
        ended(outcome);
        let status = if outcome == Outcome::Completed { 200 } else { 500 };
        answer(status, &self.load(upstream), &rpc)
    }

    pub(super) async fn work(&self, stand_in: &Rc<StandIn>, tier: usize, work: f64) {
        let cores = Rc::clone(&stand_in.cores.borrow());
        let Ok(_core) = cores.acquire().await else { return };
        let pause = || stand_in.model.borrow().paused_until.saturating_sub(self.now());
        sleep(duration(pause())).await;
        let rules = &self.scenario.rules;
        let takes = {
            let mut model = stand_in.model.borrow_mut();
            model.account(self.now());
            model.busy += 1;
            let warmth = model.warmth(self.now(), rules.cold_from, seconds(rules.warm_within_s));
            model.takes(work, warmth, self.scenario.tier[tier].choke.as_ref())
        };
        sleep(duration(takes)).await;
        sleep(duration(pause())).await;
        let mut model = stand_in.model.borrow_mut();
        model.account(self.now());
        model.busy = model.busy.saturating_sub(1);
    }

    /// One call on the tier below, through the upstream's own balancer.
    pub(super) async fn call(
        &self,
        stand_in: &StandIn,
        method: usize,
        work: Time,
        calls: &str,
        hard: Time,
    ) -> bool {
        let Some(node) = stand_in.balancer.get() else { return false };
        self.calls.set(self.calls.get() + 1);
        let rpc: Rc<str> = Rc::from(format!("c{}", self.calls.get()));
        let last = self.send(node, &rpc, method, None, hard, work, calls).await;
        matches!(last, Some((Final::Completed, _)))
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

    /// Its process or its machine ends, and its balancer with it.
    pub(super) fn stop_upstream(&self, upstream: usize, state: State) {
        let stand_in = self.stand_in(upstream);
        {
            let mut model = stand_in.model.borrow_mut();
            model.end(self.now());
            model.state = state;
        }
        stand_in.jobs.borrow_mut().drain(..).for_each(|job| job.abort());
        if state != State::Silent {
            stand_in.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        }
        if let Some(node) = stand_in.balancer.take() {
            self.kill_balancer(node);
        }
    }

    pub(super) async fn restart_upstream(self: &Rc<Self>, upstream: usize) {
        let stand_in = self.stand_in(upstream);
        stand_in.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        stand_in.model.borrow_mut().restart(self.now());
        let opened = match self.open_stand_in(upstream).await {
            Ok(()) => self.new_upstream_balancer(upstream).await,
            Err(why) => Err(why),
        };
        match opened {
            Ok(()) => self.announce(upstream, Told::Ready, self.scenario.discovery.late_ms),
            Err(why) => drop(self.error.replace(Some(why))),
        }
    }
}
