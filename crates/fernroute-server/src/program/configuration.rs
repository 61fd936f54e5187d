//! The fleet's configuration, where a balancer goes by it: learnt of by the answers to its beats, fetched from any steward,
//! laid over its own file on the path that SIGHUP takes, and kept on its disk for a start without stewards.
//!
//! The order is: in force, kept, reported. A crash before it is kept leaves the one before on the disk, and a start goes
//! by that and says so; what is reported is in force, and where the disk takes it, kept. Where the disk does not take it,
//! it is in force all the same and the log says so once: the stewards have it, and a balancer that can't write is no
//! reason to go by what its operators have replaced.

use super::configuration_cache::ConfigurationCache;
use super::coordinators::CoordinatorClient;
use super::instance::{Instance, Layer};
use crate::protocol::ops;
use crate::routing::clock::duration;
use crate::routing::switchboard::Switchboard;
use crate::transport::handover;
use fernroute_config::Fleet;
use fernroute_fleet::configuration::follower::{ConfigurationFollower, ConfigurationSnapshot};
use fernroute_fleet::configuration::{
    ConfigurationReport, FetchReply, FetchRequest, Target, Version, FETCH_PATH,
};
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher as _, RandomState};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A steward that has not answered by then is passed over for the next one.
const ANSWER: Duration = Duration::from_secs(1);

/// Four parts of the longest content, with what JSON writes for a quote or a line's end.
const MOST_ANSWER: usize = 1 << 20;

/// Until a pause is over, and until the stewards' word has come, it is looked so often.
const LOOK: Duration = Duration::from_millis(20);

/// A disk that takes longer than this to keep a copy is not waited for any more.
const KEEP: Duration = Duration::from_secs(2);

pub struct ConfigurationTask {
    follower: RefCell<ConfigurationFollower>,
    place: Target,
    fleet: Fleet,
    /// The copy on the disk.
    copy: ConfigurationCache,
    /// A leader has answered this process.
    heard: Cell<bool>,
    /// There is something to fetch.
    news: Notify,
    /// Whether the disk has what is in force.
    is_kept: Cell<bool>,
    began: Instant,
}

/// At a start: what is kept is laid over the file, where it is sound and fits; else the file alone counts. Without a service
/// in the file there is nothing to follow. `lay` has parts go into force, whole or not at all.
pub fn begin(
    station: &Instance,
    lay: impl FnOnce(Vec<Layer>) -> Result<(), String>,
) -> Result<Option<Rc<ConfigurationTask>>, String> {
    let of_service = station.fleet.as_ref().and_then(|fleet| Some((fleet, fleet.service.clone()?)));
    let Some((fleet, service)) = of_service else { return Ok(None) };
    let zone = station.terms.get("zone").cloned().unwrap_or_default();
    let place = Target { name: station.name.clone(), service, zone };
    let copy = ConfigurationCache::new(copy_path(station, fleet)?);
    let kept = copy.read(&place).and_then(|kept| match kept {
        Some(kept) => lay(layers(&kept)).map(|()| Some(kept)),
        None => Ok(None),
    });
    let kept = kept.unwrap_or_else(|why| {
        tracing::warn!("{}: passed over: {}", copy.path().display(), one_line(&why));
        None
    });
    if let Some(kept) = &kept {
        tracing::info!("configuration {} is in force, as it was kept", kept.version);
    }
    Ok(Some(Rc::new(ConfigurationTask {
        follower: RefCell::new(ConfigurationFollower::new(place.clone(), kept)),
        place,
        fleet: fleet.clone(),
        copy,
        heard: Cell::new(false),
        news: Notify::new(),
        is_kept: Cell::new(true),
        began: Instant::now(),
    })))
}

fn one_line(why: &str) -> String {
    why.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Beside the file that says who this balancer is, where no folder is named.
fn copy_path(station: &Instance, fleet: &Fleet) -> Result<PathBuf, String> {
    let beside = handover::path(&station.name, station.listen)?.with_extension("configuration");
    Ok(match (&fleet.folder, beside.file_name()) {
        (Some(folder), Some(name)) => folder.join(name),
        _ => beside,
    })
}

fn layers(snapshot: &ConfigurationSnapshot) -> Vec<Layer> {
    // One that is empty says nothing any more.
    let said = snapshot.entries().filter(|part| !part.content.is_empty());
    said.map(|part| (part.scope.to_string(), part.content.clone())).collect()
}

/// A draw between 0 and 1, other in each process: balancers that failed together do not come again together.
fn chance() -> f64 {
    let drawn = RandomState::new().hash_one(std::process::id());
    (drawn >> 11) as f64 / (1_u64 << 53) as f64
}

impl ConfigurationTask {
    /// For the next beat.
    pub fn report(&self) -> ConfigurationReport {
        self.follower.borrow().report()
    }

    /// A leader answered a beat; it names the version that concerns this balancer, where that is another one. One of an
    /// older version names none.
    pub fn hear(&self, version: Option<Version>) {
        if let Some(version) = version {
            self.follower.borrow_mut().on_notification(version);
            self.news.notify_one();
        }
        self.heard.set(true);
    }

    /// The balancer's own file is another one: what was refused may do now.
    pub fn retry(&self) {
        self.follower.borrow_mut().retry_rejected();
        self.news.notify_one();
    }

    /// The stewards have said what to go by, and it is in force or refused; or they had their time.
    pub async fn settle(&self) {
        let has_all = || {
            let follower = self.follower.borrow();
            self.heard.get() && follower.decided_version() >= follower.notified_version()
        };
        while !has_all() && self.began.elapsed() < duration(self.fleet.wait) {
            actix_rt::time::sleep(LOOK).await;
        }
        if !has_all() {
            let in_force = self.report().active;
            tracing::warn!("no word of the stewards in time: configuration {in_force} stays in force");
        }
    }

    /// Fetches what it is told of, for as long as the program runs. `lay` has parts go into force, whole or not at all.
    pub async fn follow(
        self: Rc<Self>,
        board: Rc<Switchboard>,
        lay: impl Fn(Vec<Layer>) -> Result<(), String>,
    ) {
        let stewards = CoordinatorClient::new(&self.fleet, Rc::clone(&board));
        let mut failed = false;
        self.show(&board);
        loop {
            let due = self.follower.borrow_mut().next_fetch(board.clock.now());
            match due {
                Some(fetch) => {
                    let fetched = self.fetch(&stewards, &board, &fetch).await;
                    failed = fetched.is_none();
                    match fetched {
                        Some(snapshot) => self.apply(snapshot, &lay).await,
                        None => {
                            self.follower.borrow_mut().fetch_failed(board.clock.now(), chance());
                        }
                    }
                    self.show(&board);
                }
                // The pause after a failure.
                None if failed => actix_rt::time::sleep(LOOK).await,
                None => {
                    self.show(&board);
                    self.news.notified().await;
                }
            }
        }
    }

    /// From a steward drawn by chance, so that the leader is not asked by all; then from the others.
    async fn fetch(
        &self,
        stewards: &CoordinatorClient,
        board: &Switchboard,
        fetch: &FetchRequest,
    ) -> Option<ConfigurationSnapshot> {
        let all = &stewards.addresses;
        let first = (chance() * all.len() as f64) as usize;
        for n in 0..all.len() {
            let at = all[(first + n) % all.len()];
            board.note(|control| control.fetches += 1);
            let why = match stewards.ask::<FetchReply>(at, FETCH_PATH, fetch, ANSWER, MOST_ANSWER).await {
                Ok(fetched) => match self.follower.borrow_mut().on_reply(fetched) {
                    Ok(snapshot) => return Some(snapshot),
                    Err(why) => format!("{why:?}"),
                },
                Err(why) => why,
            };
            tracing::debug!("configuration {} from {at}: {why}", fetch.wanted_version);
        }
        None
    }

    /// Whole or not at all, on the path that SIGHUP takes.
    async fn apply(&self, snapshot: ConfigurationSnapshot, lay: &impl Fn(Vec<Layer>) -> Result<(), String>) {
        let version = snapshot.version;
        if let Err(why) = lay(layers(&snapshot)) {
            let why = one_line(&why);
            let before = self.report().active;
            tracing::warn!("configuration {version} is refused, {before} stays in force: {why}");
            self.follower.borrow_mut().reject(version, &why);
            return;
        }
        tracing::info!("configuration {version} is in force");
        match self.copy.write(&self.place, &snapshot, KEEP).await {
            Ok(()) => {
                if !self.is_kept.replace(true) {
                    tracing::info!("configuration {version} is kept, as those after it will be");
                }
            }
            // Once, until it works again: a disk that is full is so for all that come.
            Err(why) => {
                if self.is_kept.replace(false) {
                    let path = self.copy.path().display();
                    tracing::warn!("{path}: {why}: configuration {version} is in force and not kept");
                }
            }
        }
        self.follower.borrow_mut().activate(snapshot);
    }

    /// For operators.
    fn show(&self, board: &Switchboard) {
        let ConfigurationReport { active: in_force, rejected: refused, .. } = self.report();
        let (told, kept) = (self.follower.borrow().notified_version(), self.is_kept.get());
        let shown = ops::Followed { in_force, told, refused, kept };
        board.note(|control| control.configuration = Some(shown));
    }
}
