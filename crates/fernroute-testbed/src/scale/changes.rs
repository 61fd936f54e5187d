//! Changes of configuration while a run is measured: entered at the stewards for one service after another, and in force once every
//! balancer of it that beats says so.

use super::fleet::Fleet;
use super::layout::CLUSTER;
use crate::processes::configuration::say;
use fernroute_coordinator::configuration::{
    ConfigurationStatus, LatestEntry, PutRequest, RequestError, GET_PATH, PUT_PATH, STATUS_PATH,
};
use fernroute_fleet::configuration::{content_hash, Scope, Version};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How often it is looked where all are: what is told of a change is exact to that.
const LOOK: Duration = Duration::from_millis(100);

/// A change that is not in force everywhere by then counts as one that is not.
const MOST: Duration = Duration::from_secs(30);

/// What came of them; none is what was not measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Changed {
    pub made: Option<u64>,
    pub in_force_everywhere: Option<u64>,
    pub slowest_s: Option<f64>,
}

impl Changed {
    pub fn add(&mut self, took: Option<f64>) {
        self.made = Some(self.made.unwrap_or(0) + 1);
        self.in_force_everywhere = Some(self.in_force_everywhere.unwrap_or(0) + u64::from(took.is_some()));
        self.slowest_s = match (self.slowest_s, took) {
            (Some(slowest), Some(took)) => Some(slowest.max(took)),
            (slowest, took) => slowest.or(took),
        };
    }

    /// Whether one was made that is not in force everywhere.
    pub fn left(&self) -> bool {
        self.made != self.in_force_everywhere
    }
}

/// The steward there enters a change for this service; its version.
pub async fn put(at: SocketAddr, service: &str, number: u64) -> Option<Version> {
    let scope: Scope = format!("service/{service}").parse().ok()?;
    let latest: Result<LatestEntry, RequestError> = say(CLUSTER, at, GET_PATH, &scope).await?;
    let base = latest.ok()?.entry.map_or(0, |part| part.version);
    // The one method as it is, but for the time by which an answer is worth all.
    let content = format!(
        "[[method]]\nname = \"look\"\neffect = \"retriable\"\nsoft_ms = {}\nhard_ms = 3000\n",
        1000 + number % 1000
    );
    let (hash, who) = (content_hash(&content), "scale".to_owned());
    let done: Result<Version, RequestError> = say(
        CLUSTER,
        at,
        PUT_PATH,
        &PutRequest { scope, base_version: base, content_hash: hash, content, author: who },
    )
    .await?;
    done.ok()
}

/// How many balancers of this service go by this version or a later one, by the word of the steward there; none where it does not
/// lead.
async fn in_force(at: SocketAddr, service: &str, version: Version) -> Option<usize> {
    let told: Result<ConfigurationStatus, RequestError> = say(CLUSTER, at, STATUS_PATH, ()).await?;
    let members = told.ok()?.members;
    Some(members.iter().filter(|m| m.service == service && m.active >= version).count())
}

/// How long after `from` all balancers of this service went by this version; none where they never did.
pub async fn until_in_force(fleet: &Fleet, service: &str, version: Version, from: Instant) -> Option<f64> {
    let all = fleet.layout.services.iter().find(|s| s.name == service).map_or(0, |s| s.size);
    let mut leader = None;
    while from.elapsed() < MOST {
        let at = match leader {
            Some(at) => at,
            None => fleet.steward_addresses[fleet.leader().await.ok()?.0],
        };
        let there = in_force(at, service, version).await;
        if there.is_some_and(|there| there >= all) {
            return Some(from.elapsed().as_secs_f64());
        }
        leader = there.map(|_| at);
        sleep(LOOK).await;
    }
    None
}

/// Makes so many, one after another, for one service after another.
pub async fn make(fleet: &Fleet, count: usize, every: Duration) -> Result<Changed, String> {
    let (mut changed, services) = (Changed::default(), &fleet.layout.services);
    for number in 0..count {
        let from = Instant::now();
        // Large ones and small ones.
        let service = &services[number * 7 % services.len()].name;
        let (leader, _) = fleet.leader().await?;
        let version = put(fleet.steward_addresses[leader], service, number as u64).await;
        let took = match version {
            Some(version) => until_in_force(fleet, service, version, from).await,
            None => None,
        };
        changed.add(took);
        sleep(every.saturating_sub(from.elapsed())).await;
    }
    Ok(changed)
}
