//! Configuration changes during a scale run: put at the coordinators for one service after another, and
//! complete once every balancer of the service reports the version as active.

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

/// Poll interval, and so the resolution of the measured times.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A change that is not active everywhere by then counts as incomplete.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Results of the changes; `None` is not measured.
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

    /// Whether any change did not become active everywhere.
    pub fn has_incomplete(&self) -> bool {
        self.made != self.in_force_everywhere
    }
}

/// Puts a change for this service at a coordinator and returns its version.
pub async fn put_change(at: SocketAddr, service: &str, number: u64) -> Option<Version> {
    let scope: Scope = format!("service/{service}").parse().ok()?;
    let latest: Result<LatestEntry, RequestError> = request(CLUSTER, at, GET_PATH, &scope).await?;
    let base = latest.ok()?.entry.map_or(0, |part| part.version);
    // Changes only the soft deadline of the service's one method.
    let content = format!(
        "[[method]]\nname = \"look\"\neffect = \"retriable\"\nsoft_ms = {}\nhard_ms = 3000\n",
        1000 + number % 1000
    );
    let (hash, author) = (content_hash(&content), "scale".to_owned());
    let result: Result<Version, RequestError> = request(
        CLUSTER,
        at,
        PUT_PATH,
        &PutRequest { scope, base_version: base, content_hash: hash, content, author },
    )
    .await?;
    result.ok()
}

/// Number of balancers of this service that use this version or a later one, as reported by a
/// coordinator. `None` if it does not lead.
async fn count_active(at: SocketAddr, service: &str, version: Version) -> Option<usize> {
    let status: Result<ConfigurationStatus, RequestError> = request(CLUSTER, at, STATUS_PATH, ()).await?;
    let members = status.ok()?.members;
    Some(members.iter().filter(|m| m.service == service && m.active >= version).count())
}

/// Seconds from `since` until all balancers of this service use this version, or `None` on a time-out.
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

/// Makes `count` changes, one at a time, for one service after another.
pub async fn make_changes(fleet: &Fleet, count: usize, every: Duration) -> Result<ChangeStats, String> {
    let (mut stats, services) = (ChangeStats::default(), &fleet.layout.services);
    for number in 0..count {
        let since = Instant::now();
        // The step of 7 mixes large and small services.
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
