//! Follows the fleet's configuration: replies to heartbeats contain the newest version, any coordinator serves it, and it is
//! applied over the balancer's own file in the same way as a reload.
//!
//! A version passes through these states: *notified*, *fetched*, *active* or *rejected*, *cached*, *reported*. After a crash
//! before a version is cached, the next start uses and reports the version before it. A version that can't be written to the
//! disk is still active, with one warning, since the coordinators have it.

use super::configuration_cache::{CacheReadError, CacheWriteError, ConfigurationCache};
use super::coordinators::{CoordinatorClient, CoordinatorError, RequestLimits};
use super::instance::{InstanceConfig, Layer};
use super::random::random_fraction;
use crate::protocol::ops;
use crate::routing::clock::duration;
use crate::routing::dispatcher::Dispatcher;
use crate::transport::handover;
use fernroute_config::FleetConfig;
use fernroute_fleet::configuration::follower::{ConfigurationFollower, ConfigurationSnapshot, FetchError};
use fernroute_fleet::configuration::{
    ConfigurationReport, FetchReply, FetchRequest, ScopeEntry, Target, Version, FETCH_PATH,
};
use std::cell::{Cell, RefCell};
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::Notify;

/// The next coordinator is tried after this time-out. The maximum size allows four entries of the longest content, with
/// JSON's escapes for quotes and line ends.
const FETCH_LIMITS: RequestLimits =
    RequestLimits { timeout: Duration::from_secs(1), max_reply_bytes: 1 << 20 };

/// The polling interval while waiting for the end of a backoff or for the first notification.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long to wait for a write to a slow disk.
const CACHE_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// There is no valid path for this balancer's cache.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct CachePathError(String);

/// Follows the fleet's configuration for one balancer.
pub struct ConfigurationTask {
    /// Written by notifications, fetches and their results.
    follower: RefCell<ConfigurationFollower>,
    target: Target,
    fleet: FleetConfig,
    cache: ConfigurationCache,
    /// Whether a leader has replied to this process. Written only by [`ConfigurationTask::on_heartbeat_reply`].
    notified: Cell<bool>,
    /// Wakes the task when there may be a version to fetch.
    fetch_wanted: Notify,
    /// Whether the active version is on the disk. Written after each write to the cache.
    is_cached: Cell<bool>,
    started_at: Instant,
}

/// Called at a start: applies the cached snapshot over the file if it is valid; otherwise only the file is used. Returns
/// `None` where the file names no service to follow. `apply` makes all layers take effect, or none.
///
/// # Errors
/// When there is no valid path for the cache.
pub fn restore<E: Display>(
    instance: &InstanceConfig,
    apply: impl FnOnce(Vec<Layer>) -> Result<(), E>,
) -> Result<Option<Rc<ConfigurationTask>>, CachePathError> {
    let Some(fleet) = &instance.fleet else { return Ok(None) };
    let Some(service) = fleet.service.clone() else { return Ok(None) };
    let zone = instance.settings.get("zone").cloned().unwrap_or_default();
    let target = Target { name: instance.name.clone(), service, zone };
    let cache = ConfigurationCache::new(cache_path(instance, fleet)?);
    let cached = apply_cached(&cache, &target, apply).unwrap_or_else(|error| {
        tracing::warn!("{}: cached configuration ignored: {}", cache.path().display(), one_line(&error));
        None
    });
    if let Some(cached) = &cached {
        tracing::info!("configuration {} is in force, from the cache", cached.version);
    }
    Ok(Some(Rc::new(ConfigurationTask {
        follower: RefCell::new(ConfigurationFollower::new(target.clone(), cached)),
        target,
        fleet: fleet.clone(),
        cache,
        notified: Cell::new(false),
        fetch_wanted: Notify::new(),
        is_cached: Cell::new(true),
        started_at: Instant::now(),
    })))
}

/// Why the cached snapshot is not active.
#[derive(Debug, Error)]
enum CachedSnapshotError<E: Display> {
    #[error("{0}")]
    Read(CacheReadError),
    #[error("{0}")]
    Apply(E),
}

fn apply_cached<E: Display>(
    cache: &ConfigurationCache,
    target: &Target,
    apply: impl FnOnce(Vec<Layer>) -> Result<(), E>,
) -> Result<Option<ConfigurationSnapshot>, CachedSnapshotError<E>> {
    let Some(cached) = cache.read(target).map_err(CachedSnapshotError::Read)? else { return Ok(None) };
    apply(layers(&cached)).map_err(CachedSnapshotError::Apply)?;
    Ok(Some(cached))
}

fn one_line(error: &impl Display) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The path of the cache: in the directory that the file names, else next to the identity file.
fn cache_path(instance: &InstanceConfig, fleet: &FleetConfig) -> Result<PathBuf, CachePathError> {
    let socket_path = handover::socket_path(&instance.name, instance.listen).map_err(CachePathError)?;
    let default_path = socket_path.with_extension("configuration");
    Ok(match (&fleet.cache_dir, default_path.file_name()) {
        (Some(directory), Some(file_name)) => directory.join(file_name),
        _ => default_path,
    })
}

/// The layers of the snapshot, without entries whose content is empty.
fn layers(snapshot: &ConfigurationSnapshot) -> Vec<Layer> {
    let entries = snapshot.entries().filter(|entry| !entry.content.is_empty());
    let layer = |entry: &ScopeEntry| Layer { scope: entry.scope.to_string(), text: entry.content.clone() };
    entries.map(layer).collect()
}

impl ConfigurationTask {
    /// The report for the next heartbeat.
    pub fn report(&self) -> ConfigurationReport {
        self.follower.borrow().report()
    }

    /// Handles a leader's reply to a heartbeat. `version` is the newest one for this balancer; `None` from a coordinator of
    /// an older release, and where there is no newer version.
    pub fn on_heartbeat_reply(&self, version: Option<Version>) {
        if let Some(version) = version {
            self.follower.borrow_mut().on_notification(version);
            self.fetch_wanted.notify_one();
        }
        self.notified.set(true);
    }

    /// Tries a rejected version again, since the balancer's own file has changed.
    pub fn retry_rejected(&self) {
        self.follower.borrow_mut().retry_rejected();
        self.fetch_wanted.notify_one();
    }

    /// Called at a start: waits until the newest version is active or rejected, for at most the configured time.
    pub async fn wait_until_current(&self) {
        while !self.is_current() && self.started_at.elapsed() < duration(self.fleet.startup_wait) {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        if !self.is_current() {
            let active = self.report().active;
            tracing::warn!("no current configuration from the coordinators in time: configuration {active} stays in force");
        }
    }

    fn is_current(&self) -> bool {
        let follower = self.follower.borrow();
        self.notified.get() && follower.decided_version() >= follower.notified_version()
    }

    /// The task: fetches and applies each version it is notified of, until the program ends. `apply` makes all layers take
    /// effect, or none.
    pub async fn run<E: Display>(
        self: Rc<Self>,
        dispatcher: Rc<Dispatcher>,
        apply: impl Fn(Vec<Layer>) -> Result<(), E>,
    ) {
        let coordinators = CoordinatorClient::new(&self.fleet, Rc::clone(&dispatcher));
        let mut last_fetch_failed = false;
        self.publish(&dispatcher);
        loop {
            let request = self.follower.borrow_mut().next_fetch(dispatcher.clock.now());
            let Some(request) = request else {
                if last_fetch_failed {
                    // In the backoff, which has no wake-up signal.
                    actix_rt::time::sleep(POLL_INTERVAL).await;
                } else {
                    self.publish(&dispatcher);
                    self.fetch_wanted.notified().await;
                }
                continue;
            };
            let fetched = self.fetch(&coordinators, &dispatcher, &request).await;
            last_fetch_failed = fetched.is_none();
            match fetched {
                Some(snapshot) => self.activate(snapshot, &apply).await,
                None => {
                    self.follower.borrow_mut().fetch_failed(dispatcher.clock.now(), random_fraction());
                }
            }
            self.publish(&dispatcher);
        }
    }

    /// Tries the coordinators in turn, beginning with a random one, so that the leader does not serve all balancers.
    async fn fetch(
        &self,
        coordinators: &CoordinatorClient,
        dispatcher: &Dispatcher,
        request: &FetchRequest,
    ) -> Option<ConfigurationSnapshot> {
        let addresses = &coordinators.addresses;
        let first = (random_fraction() * addresses.len() as f64) as usize;
        for offset in 0..addresses.len() {
            let coordinator = addresses[(first + offset) % addresses.len()];
            dispatcher.update_fleet_status(|status| status.fetches += 1);
            match self.fetch_from(coordinator, coordinators, request).await {
                Ok(snapshot) => return Some(snapshot),
                Err(error) => {
                    tracing::debug!("configuration {} from {coordinator}: {error}", request.wanted_version);
                }
            }
        }
        None
    }

    async fn fetch_from(
        &self,
        coordinator: SocketAddr,
        coordinators: &CoordinatorClient,
        request: &FetchRequest,
    ) -> Result<ConfigurationSnapshot, SnapshotError> {
        let reply =
            coordinators.request::<FetchReply>(coordinator, FETCH_PATH, request, FETCH_LIMITS).await?;
        self.follower.borrow_mut().on_reply(reply).map_err(SnapshotError::Unusable)
    }

    /// Applies the snapshot and writes it to the cache; or rejects it, and the active version stays.
    async fn activate<E: Display>(
        &self,
        snapshot: ConfigurationSnapshot,
        apply: &impl Fn(Vec<Layer>) -> Result<(), E>,
    ) {
        let version = snapshot.version;
        if let Err(error) = apply(layers(&snapshot)) {
            let error = one_line(&error);
            let active = self.report().active;
            tracing::warn!("configuration {version} was rejected, {active} stays in force: {error}");
            self.follower.borrow_mut().reject(version, &error);
            return;
        }
        tracing::info!("configuration {version} is in force");
        let written = self.cache.write(&self.target, &snapshot, CACHE_WRITE_TIMEOUT).await;
        self.record_cache_write(version, written);
        self.follower.borrow_mut().activate(snapshot);
    }

    /// Logs only changes between successful and failed writes, since a full disk fails for every version.
    fn record_cache_write(&self, version: Version, written: Result<(), CacheWriteError>) {
        let was_cached = self.is_cached.replace(written.is_ok());
        match written {
            Ok(()) if !was_cached => {
                tracing::info!("configuration {version} is cached, writes to the cache work again");
            }
            Err(error) if was_cached => {
                let path = self.cache.path().display();
                tracing::warn!("{path}: {error}: configuration {version} is in force but not cached");
            }
            _ => {}
        }
    }

    /// Publishes the state in the operators' metrics.
    fn publish(&self, dispatcher: &Dispatcher) {
        let ConfigurationReport { active, rejected, .. } = self.report();
        let state = ops::ConfigurationStatus {
            in_force: active,
            told: self.follower.borrow().notified_version(),
            refused: rejected,
            kept: self.is_cached.get(),
        };
        dispatcher.update_fleet_status(|status| status.configuration = Some(state));
    }
}

/// Why no usable snapshot was received from a coordinator.
#[derive(Debug, Error)]
enum SnapshotError {
    #[error("{0}")]
    Request(#[from] CoordinatorError),
    #[error("{0:?}")]
    Unusable(FetchError),
}
