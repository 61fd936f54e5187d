//! The copy of the fleet's configuration on a balancer's disk: whole, or the one before it; never an older one over a newer.

use fernroute_fleet::configuration::follower::ConfigurationSnapshot;
use fernroute_fleet::configuration::Target;
use std::fs::File;
use std::io::{ErrorKind, Write as _};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

pub struct ConfigurationCache {
    path: PathBuf,
    /// One writes at a time, also where the disk holds up one that nobody waits for any more.
    writes: Arc<Mutex<()>>,
}

impl ConfigurationCache {
    pub fn new(path: PathBuf) -> Self {
        ConfigurationCache { path, writes: Arc::default() }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    /// What is kept for this place, if anything is; an error says why it is not to be gone by.
    pub fn read(&self, place: &Target) -> Result<Option<ConfigurationSnapshot>, String> {
        let text = match std::fs::read(&self.path) {
            Ok(text) => text,
            Err(why) if why.kind() == ErrorKind::NotFound => return Ok(None),
            Err(why) => return Err(why.to_string()),
        };
        let kept: ConfigurationSnapshot =
            serde_json::from_slice(&text).map_err(|why| format!("it is damaged: {why}"))?;
        if !kept.is_sound() {
            return Err("it is damaged: a content is not what its hash says, or one is missing".to_owned());
        }
        if !kept.matches(place) {
            let Target { name, service, zone } = place;
            return Err(format!(
                "it is not of the balancer {name} of the service {service} in the zone {zone}"
            ));
        }
        Ok(Some(kept))
    }

    /// Beside the RPCs, which wait for no disk; and no longer than `within`.
    pub async fn write(
        &self,
        place: &Target,
        snapshot: &ConfigurationSnapshot,
        within: Duration,
    ) -> Result<(), String> {
        let (place, snapshot) = (place.clone(), snapshot.clone());
        let (path, writes) = (self.path.clone(), Arc::clone(&self.writes));
        let (done, written) = oneshot::channel();
        // A thread of its own, which nothing waits for at the end of the program.
        let thread = std::thread::Builder::new().name("kept".to_owned()).spawn(move || {
            let _one = writes.lock().unwrap_or_else(PoisonError::into_inner);
            // Who waited for it may have gone.
            let _ = done.send(put(&path, &place, &snapshot));
        });
        thread.map_err(|why| why.to_string())?;
        match timeout(within, written).await {
            Ok(Ok(put)) => put,
            Ok(Err(_)) => Err("the writing failed".to_owned()),
            Err(_) => Err(format!("the disk takes longer than {} s", within.as_secs())),
        }
    }
}

/// Written beside it, synced, renamed, and the folder synced: after a crash it is the one or the other, whole.
fn put(path: &Path, place: &Target, snapshot: &ConfigurationSnapshot) -> Result<(), String> {
    let had = ConfigurationCache::new(path.to_owned()).read(place).ok().flatten();
    if had.is_some_and(|had| had.version > snapshot.version) {
        // Another process of this balancer is ahead, or a later one was written while this one waited.
        return Ok(());
    }
    // By process: in an upgrade there are two.
    let beside = path.with_extension(format!("configuration.{}", std::process::id()));
    let written = serde_json::to_vec(snapshot).map_err(std::io::Error::other).and_then(|text| {
        let mut file = File::create(&beside)?;
        file.write_all(&text)?;
        file.sync_all()?;
        std::fs::rename(&beside, path)?;
        match path.parent() {
            Some(folder) => File::open(folder)?.sync_all(),
            None => Ok(()),
        }
    });
    written.map_err(|why| {
        // Half of it helps nobody; that it was never there is as well.
        let _ = std::fs::remove_file(&beside);
        why.to_string()
    })
}
