//! Balancers played by the parts that decide in real ones, beating on a task of their own.

use super::{Asks, Stewards, WITHIN};
use fernroute_coordinator::peers::Peers;
use fernroute_coordinator::replica::now;
use fernroute_fleet::configuration::follower::ConfigurationFollower;
use fernroute_fleet::configuration::{FetchReply, Target, Version, FETCH_PATH};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What can be seen of a balancer.
#[derive(Default)]
pub struct View {
    /// All versions that it has applied, in that order, and the contents of the last.
    pub applied: RefCell<Vec<Version>>,
    pub contents: RefCell<Vec<String>>,
    /// It does not beat.
    pub pauses: Cell<bool>,
    /// Beats that were answered.
    pub beats: Cell<usize>,
    /// Stewards that said that they are behind.
    pub behind: Cell<usize>,
    pub holds: Cell<u64>,
    /// A content with these words will not do here.
    pub refuses: RefCell<Option<String>>,
}

pub struct Balancer {
    pub view: Rc<View>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Balancer {
    /// One that follows the configuration of a service in a zone; one of a version that knows of none where there is no
    /// service. It asks for what it was told of at one steward after another, from the one with this number on.
    pub fn new(
        stewards: &Stewards,
        identity: u64,
        name: &str,
        service: &str,
        zone: &str,
        first: usize,
    ) -> Self {
        let view = Rc::new(View::default());
        let place = Target { name: name.to_owned(), service: service.to_owned(), zone: zone.to_owned() };
        let follower = (!service.is_empty()).then(|| ConfigurationFollower::new(place, None));
        let asks = Asks::new(name, identity, 10_000);
        let (peers, at) = (stewards.peers.clone(), stewards.addresses());
        let task = actix_rt::spawn(live(Rc::clone(&view), asks, follower, peers, at, first));
        Balancer { view, task }
    }

    pub fn in_force(&self) -> Version {
        self.view.applied.borrow().last().copied().unwrap_or(0)
    }

    pub fn says(&self) -> Vec<String> {
        self.view.contents.borrow().clone()
    }

    /// No version was ever applied after a later one.
    pub fn is_in_order(&self) -> bool {
        self.view.applied.borrow().is_sorted_by(|a, b| a < b)
    }
}

async fn live(
    view: Rc<View>,
    mut asks: Asks,
    mut follower: Option<ConfigurationFollower>,
    peers: Peers,
    at: Vec<SocketAddr>,
    mut turn: usize,
) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(25)).await;
        if view.pauses.get() {
            continue;
        }
        asks.report = follower.as_ref().map(ConfigurationFollower::report);
        if asks.beat(&peers, &at).await {
            view.beats.set(view.beats.get() + 1);
            view.holds.set(asks.holds());
        }
        let Some(follower) = follower.as_mut() else { continue };
        asks.told.take().into_iter().for_each(|version| follower.on_notification(version));
        let Some(fetch) = follower.next_fetch(now()) else { continue };
        let steward = at[turn % at.len()].to_string();
        turn += 1;
        let fetched: Result<FetchReply, String> = peers.say(&steward, FETCH_PATH, 0, &fetch, WITHIN).await;
        if let Ok(FetchReply::Behind) = fetched {
            view.behind.set(view.behind.get() + 1);
        }
        let Some(snapshot) = fetched.ok().and_then(|fetched| follower.on_reply(fetched).ok()) else {
            follower.fetch_failed(now(), 0.5);
            continue;
        };
        let contents: Vec<String> = snapshot.contents().map(str::to_owned).collect();
        let refuses = view.refuses.borrow().clone();
        match refuses.filter(|words| contents.iter().any(|content| content.contains(words.as_str()))) {
            Some(words) => follower.reject(snapshot.version, &format!("{words} will not do here")),
            None => {
                view.applied.borrow_mut().push(snapshot.version);
                view.contents.replace(contents);
                follower.activate(snapshot);
            }
        }
    }
}
