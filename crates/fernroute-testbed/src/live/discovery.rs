//! Discovery: one agent for each balancer, each told of changes with its own delay.

use super::balancers::BalancerProcess;
use super::Lab;
use crate::scenario::zone_name;
use crate::trace::{EndpointState, Event};
use crate::upstream::State;
use fernroute_server::routing::clock::duration;
use fernroute_test_support::http::{response, Connection};
use rand::RngExt as _;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

/// The discovery agent of one balancer, with the changes it was told of.
pub(super) struct DiscoveryAgent {
    pub(super) address: SocketAddr,
    /// Changes with their versions. A full list has the latest entry of each upstream.
    pub(super) told: RefCell<Vec<(u64, usize, EndpointState, Value)>>,
    pub(super) changed: Notify,
    pub(super) serving: AbortHandle,
}

impl Lab {
    pub(super) async fn new_agent(self: &Rc<Self>, balancer: usize) -> Result<Rc<DiscoveryAgent>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| format!("discovery: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("discovery: {e}"))?;
        let lab = Rc::clone(self);
        let serving = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(Rc::clone(&lab).serve_list(balancer, Connection::new(stream)));
            }
        });
        let (told, changed) = (RefCell::default(), Notify::new());
        Ok(Rc::new(DiscoveryAgent { address, told, changed, serving: serving.abort_handle() }))
    }

    /// Answers list requests of one balancer.
    pub(super) async fn serve_list(self: Rc<Self>, number: usize, mut peer: Connection) {
        while let Ok(Some(message)) = peer.read().await {
            let query = |name: &str| {
                let text = message.target.split_once('?')?.1;
                text.split('&')
                    .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            // The balancer may ask before it is registered here.
            let registered = || self.balancers.borrow().get(number).cloned();
            while registered().is_none() {
                sleep(Duration::from_millis(5)).await;
            }
            let Some(balancer) = registered() else { return };
            let agent = &balancer.agent;
            let after = query("index");
            let version = || agent.told.borrow().last().map_or(0, |(version, ..)| *version);
            if let (Some(after), Some(wait)) = (after, query("wait")) {
                let updates = async {
                    while version() <= after {
                        agent.changed.notified().await;
                    }
                };
                // A wait without changes is answered, too.
                let _ = timeout(Duration::from_millis(wait), updates).await;
            }
            while self.now() < self.list_unavailable_until.get() {
                sleep(duration(self.list_unavailable_until.get() - self.now())).await;
            }
            let updates: Vec<(u64, usize, EndpointState, Value)> = agent
                .told
                .borrow()
                .iter()
                .filter(|(v, ..)| after.is_none_or(|after| *v > after))
                .cloned()
                .collect();
            let mut entries: BTreeMap<usize, Value> = BTreeMap::new();
            if after.is_none() {
                let upstreams = self.upstreams.borrow();
                for (n, stand_in) in upstreams.iter().enumerate() {
                    if stand_in.model.borrow().tier == balancer.tier
                        && stand_in.model.borrow().state == State::Up
                    {
                        self.record(&Event::Heard {
                            balancer: number,
                            upstream: n,
                            told: EndpointState::Ready,
                        });
                        entries.insert(n, self.entry(n, EndpointState::Ready));
                    }
                }
            }
            updates.iter().for_each(|(_, n, _, entry)| {
                entries.insert(*n, entry.clone());
            });
            let list = json!({"version": version(), "full": after.is_none(),
                "servers": entries.into_values().collect::<Vec<_>>()});
            for (_, upstream, told, _) in updates {
                self.record(&Event::Heard { balancer: number, upstream, told });
            }
            if peer.write(&response(200, "", &list.to_string())).await.is_err() {
                return;
            }
        }
    }

    pub(super) fn entry(&self, upstream: usize, told: EndpointState) -> Value {
        let stand_in = self.stand_in(upstream);
        let model = stand_in.model.borrow();
        let state = match told {
            EndpointState::Ready => "SERVING",
            EndpointState::Drains => "DRAINING",
            EndpointState::Gone => "DELETED",
        };
        let started = if model.cold { self.unix_ms + model.started / 10 } else { 0 };
        json!({"id": &*model.name, "addr": stand_in.address.get(), "zone": zone_name(model.zone),
            "cell": model.cell.to_string(), "state": state, "started_ms": started})
    }

    pub(super) fn announce(self: &Rc<Self>, upstream: usize, told: EndpointState, late_ms: f64) {
        let (tier, life) = {
            let stand_in = self.stand_in(upstream);
            let model = stand_in.model.borrow();
            (model.tier, model.incarnation)
        };
        let balancers: Vec<Rc<BalancerProcess>> =
            self.balancers.borrow().iter().filter(|n| n.tier == tier).cloned().collect();
        for balancer in balancers.into_iter().filter(|n| n.alive.get()) {
            let spread = self.scenario.discovery.spread_ms * self.rng.borrow_mut().random::<f64>();
            let lab = Rc::clone(self);
            spawn_local(async move {
                sleep(Duration::from_secs_f64((late_ms + spread) / 1000.0)).await;
                // Skipped if the upstream has stopped or restarted since.
                if lab.stand_in(upstream).model.borrow().incarnation == life {
                    let entry = lab.entry(upstream, told);
                    let mut all = balancer.agent.told.borrow_mut();
                    let version = all.last().map_or(0, |(version, ..)| *version) + 1;
                    all.push((version, upstream, told, entry));
                    balancer.agent.changed.notify_waiters();
                }
            });
        }
    }
}
