//! Changes of configuration while a run is measured: entered at the stewards for one service after another, and in force once every
//! balancer of it that beats says so.

use super::fleet::Fleet;
use super::layout::CLUSTER;
use crate::processes::configuration::request;
use fernroute_coordinator::configuration::{
    ConfigurationStatus, LatestEntry, PutRequest, RequestError, GET_PATH, PUT_PATH, STATUS_PATH,
};
use fernroute_fleet::configuration::{content_hash, Scope, Version};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How often it is looked where all are: what is told of a change is exact to that.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A change that is not in force everywhere by then counts as one that is not.
const TIMEOUT: Duration = Duration::from_secs(30);

/// What came of them; none is what was not measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ChangeStats {
    pub made: Option<u64>,
    pub in_force_everywhere: Option<u64>,
    pub slowest_s: Option<f64>,
}

impl ChangeStats {
    pub fn add(&mut self, took: Option<f64>) {
        self.made = Some(self.made.unwrap_or(0) + 1);
        self.in_force_everywhere = Some(self.in_force_everywhere.unwrap_or(0) + u64::from(took.is_some()));
        self.slowest_s = match (self.slowest_s, took) {
            (Some(slowest), Some(took)) => Some(slowest.max(took)),
            (slowest, took) => slowest.or(took),
        };
    }

    /// Whether one was made that is not in force everywhere.
    pub fn has_incomplete(&self) -> bool {
        self.made != self.in_force_everywhere
    }
}

/// The steward there enters a change for this service; its version.
pub async fn put_change(at: SocketAddr, service: &str, number: u64) -> Option<Version> {
    let scope: Scope = format!("service/{service}").parse().ok()?;
    let latest: Result<LatestEntry, RequestError> = request(CLUSTER, at, GET_PATH, &scope).await?;
    let base = latest.ok()?.entry.map_or(0, |part| part.version);
    // The one method as it is, but for the time by which an answer is worth all.
    let content = format!(
        "[[method]]\nname = \"look\"\neffect = \"retriable\"\nsoft_ms = {}\nhard_ms = 3000\n",
        1000 + number % 1000
    );
    let (hash, who) = (content_hash(&content), "scale".to_owned());
    let result: Result<Version, RequestError> = request(
        CLUSTER,
        at,
        PUT_PATH,
        &PutRequest { scope, base_version: base, content_hash: hash, content, author: who },
    )
    .await?;
    result.ok()
}

/// How many balancers of this service go by this version or a later one, by the word of the steward there; none where it does not
/// lead.
async fn count_active(at: SocketAddr, service: &str, version: Version) -> Option<usize> {
    let status: Result<ConfigurationStatus, RequestError> = request(CLUSTER, at, STATUS_PATH, ()).await?;
    let members = status.ok()?.members;
    Some(members.iter().filter(|m| m.service == service && m.active >= version).count())
}

/// How long after `from` all balancers of this service went by this version; none where they never did.
pub async fn wait_until_active(
    fleet: &Fleet,
    service: &str,
    version: Version,
    since: Instant,
) -> Option<f64> {
    let all = fleet.layout.services.iter().find(|s| s.name == service).map_or(0, |s| s.size);
    let mut leader = None;
    while since.elapsed() < TIMEOUT {
        let at = match leader {
            Some(at) => at,
            None => fleet.coordinator_addresses[fleet.leader().await.ok()?.0],
        };
        let active = count_active(at, service, version).await;
        if active.is_some_and(|active| active >= all) {
            return Some(since.elapsed().as_secs_f64());
        }
        leader = active.map(|_| at);
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// Makes so many, one after another, for one service after another.
pub async fn make_changes(fleet: &Fleet, count: usize, every: Duration) -> Result<ChangeStats, String> {
    let (mut stats, services) = (ChangeStats::default(), &fleet.layout.services);
    for number in 0..count {
        let since = Instant::now();
        // Large ones and small ones.
        let service = &services[number * 7 % services.len()].name;
        let (leader, _) = fleet.leader().await?;
        let version = put_change(fleet.coordinator_addresses[leader], service, number as u64).await;
        let took = match version {
            Some(version) => wait_until_active(fleet, service, version, since).await,
            None => None,
        };
        stats.add(took);
        sleep(every.saturating_sub(since.elapsed())).await;
    }
    Ok(stats)
}
