//! Balancers that use the production code for membership and configuration, each with its own heartbeat task.

use super::{Coordinators, TestMember, CALL_TIMEOUT};
use fernroute_coordinator::peers::Peers;
use fernroute_coordinator::replica::now;
use fernroute_fleet::configuration::follower::ConfigurationFollower;
use fernroute_fleet::configuration::{FetchReply, Target, Version, FETCH_PATH};
use fernroute_fleet::MilliUnits;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(25);

/// What a test observes and controls of a balancer.
#[derive(Default)]
pub struct BalancerState {
    /// All versions that it activated, in order.
    pub activated: RefCell<Vec<Version>>,
    /// The contents of its active version.
    pub contents: RefCell<Vec<String>>,
    /// Whether it sends no heartbeats.
    pub is_paused: Cell<bool>,
    /// Heartbeats that got a reply.
    pub heartbeats: Cell<usize>,
    /// Fetches that a coordinator could not serve because it was behind.
    pub behind_replies: Cell<usize>,
    /// The amount of the budget that it may spend.
    pub allocated: Cell<MilliUnits>,
    /// It rejects contents that contain this text.
    pub rejected_text: RefCell<Option<String>>,
}

/// A balancer whose task is aborted when it is dropped.
pub struct Balancer {
    pub state: Rc<BalancerState>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Balancer {
    /// A balancer of a service in a zone. It fetches from the coordinator with the index `first`, then from
    /// the next ones.
    pub fn new(
        coordinators: &Coordinators,
        id: u64,
        name: &str,
        service: &str,
        zone: &str,
        first: usize,
    ) -> Self {
        let target = Target { name: name.to_owned(), service: service.to_owned(), zone: zone.to_owned() };
        let follower = ConfigurationFollower::new(target, None);
        Balancer::spawn(coordinators, TestMember::new(name, id, 10_000), Some(follower), first)
    }

    /// A balancer of a version that does not support configuration.
    pub fn without_configuration(coordinators: &Coordinators, id: u64, name: &str) -> Self {
        Balancer::spawn(coordinators, TestMember::new(name, id, 10_000), None, 0)
    }

    fn spawn(
        coordinators: &Coordinators,
        member: TestMember,
        follower: Option<ConfigurationFollower>,
        first: usize,
    ) -> Self {
        let state = Rc::new(BalancerState::default());
        let (peers, addresses) = (coordinators.peers.clone(), coordinators.addresses());
        let task =
            actix_rt::spawn(run_balancer(Rc::clone(&state), member, follower, peers, addresses, first));
        Balancer { state, task }
    }

    /// The version that it activated last, 0 for none.
    pub fn active_version(&self) -> Version {
        self.state.activated.borrow().last().copied().unwrap_or(0)
    }

    /// The contents of its active version, widest scope first.
    pub fn contents(&self) -> Vec<String> {
        self.state.contents.borrow().clone()
    }

    /// Whether versions were activated in increasing order.
    pub fn activated_in_order(&self) -> bool {
        self.state.activated.borrow().is_sorted_by(|earlier, later| earlier < later)
    }
}

async fn run_balancer(
    state: Rc<BalancerState>,
    mut member: TestMember,
    mut follower: Option<ConfigurationFollower>,
    peers: Peers,
    addresses: Vec<SocketAddr>,
    mut next_coordinator: usize,
) {
    loop {
        actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
        if state.is_paused.get() {
            continue;
        }
        member.report = follower.as_ref().map(ConfigurationFollower::report);
        if member.send_heartbeat(&peers, &addresses).await {
            state.heartbeats.set(state.heartbeats.get() + 1);
            state.allocated.set(member.allocated());
        }
        let Some(follower) = follower.as_mut() else { continue };
        if let Some(version) = member.notified_version.take() {
            follower.on_notification(version);
        }
        let Some(request) = follower.next_fetch(now()) else { continue };
        let address = addresses[next_coordinator % addresses.len()].to_string();
        next_coordinator += 1;
        let reply = peers.send(&address, FETCH_PATH, 0, &request, CALL_TIMEOUT).await.ok();
        apply(&state, follower, reply);
    }
}

/// Activates or rejects the fetched snapshot, or schedules another fetch where there is none.
fn apply(state: &BalancerState, follower: &mut ConfigurationFollower, reply: Option<FetchReply>) {
    if let Some(FetchReply::Behind) = reply {
        state.behind_replies.set(state.behind_replies.get() + 1);
    }
    let Some(snapshot) = reply.and_then(|reply| follower.on_reply(reply).ok()) else {
        follower.fetch_failed(now(), 0.5);
        return;
    };
    let contents: Vec<String> = snapshot.contents().map(str::to_owned).collect();
    let rejected_text = state.rejected_text.borrow().clone();
    let rejected_text = rejected_text.filter(|text| contents.iter().any(|content| content.contains(text)));
    if let Some(text) = rejected_text {
        follower.reject(snapshot.version, &format!("{text} is not allowed here"));
        return;
    }
    state.activated.borrow_mut().push(snapshot.version);
    state.contents.replace(contents);
    follower.activate(snapshot);
}
