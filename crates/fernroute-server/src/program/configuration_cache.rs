//! The copy of the fleet's configuration on a balancer's disk. After a crash the file is complete: either the new copy or
//! the one before it. An older version never replaces a newer one.

use fernroute_fleet::configuration::follower::ConfigurationSnapshot;
use fernroute_fleet::configuration::Target;
use std::fs::File;
use std::io::{self, ErrorKind, Write as _};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Why a cached copy can't be used.
#[derive(Debug, Error)]
pub enum CacheReadError {
    /// The file is there and can't be read.
    #[error("{0}")]
    Io(#[source] io::Error),
    /// The file is not the JSON of a snapshot.
    #[error("it is damaged: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A hash does not match its content, or a scope is missing.
    #[error("it is damaged: a content is not what its hash says, or one is missing")]
    Inconsistent,
    /// The copy belongs to a balancer of another name, service or zone.
    #[error("it is not of the balancer {} of the service {} in the zone {}", .expected.name, .expected.service, .expected.zone)]
    OtherTarget {
        /// The balancer that tried to read the copy.
        expected: Target,
    },
}

/// Why a snapshot was not written to the disk.
#[derive(Debug, Error)]
pub enum CacheWriteError {
    /// The disk does not take it.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The writing thread ended without a result.
    #[error("the writing failed")]
    Abandoned,
    /// The writing thread is still at work; its result is ignored.
    #[error("the disk takes longer than {} s", .0.as_secs())]
    TimedOut(Duration),
}

/// One file with the newest snapshot of one balancer.
pub struct ConfigurationCache {
    path: PathBuf,
    /// Held by the writing thread. Guards against two writes at once, also when the caller gave up on the first.
    write_lock: Arc<Mutex<()>>,
}

impl ConfigurationCache {
    /// The cache in the file at this path, which need not be there yet.
    pub fn new(path: PathBuf) -> Self {
        ConfigurationCache { path, write_lock: Arc::default() }
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The cached snapshot of this balancer; `None` where there is no file.
    ///
    /// # Errors
    /// When there is a file that can't be used for `target`.
    pub fn read(&self, target: &Target) -> Result<Option<ConfigurationSnapshot>, CacheReadError> {
        let text = match std::fs::read(&self.path) {
            Ok(text) => text,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(CacheReadError::Io(error)),
        };
        let snapshot: ConfigurationSnapshot =
            serde_json::from_slice(&text).map_err(CacheReadError::Malformed)?;
        if !snapshot.is_sound() {
            return Err(CacheReadError::Inconsistent);
        }
        if !snapshot.matches(target) {
            return Err(CacheReadError::OtherTarget { expected: target.clone() });
        }
        Ok(Some(snapshot))
    }

    /// Writes the snapshot on a thread of its own, so that no request waits for the disk, and waits for it for at most
    /// `limit`.
    ///
    /// # Errors
    /// When the snapshot is not known to be on the disk; a write that timed out may still succeed.
    pub async fn write(
        &self,
        target: &Target,
        snapshot: &ConfigurationSnapshot,
        limit: Duration,
    ) -> Result<(), CacheWriteError> {
        let (target, snapshot) = (target.clone(), snapshot.clone());
        let (path, write_lock) = (self.path.clone(), Arc::clone(&self.write_lock));
        let (sender, receiver) = oneshot::channel();
        // Not a thread of the runtime: the program's end must not wait for the disk.
        std::thread::Builder::new().name("kept".to_owned()).spawn(move || {
            let _guard = write_lock.lock().unwrap_or_else(PoisonError::into_inner);
            let result = replace_unless_newer(&path, &target, &snapshot);
            // The caller may have timed out.
            let _ = sender.send(result);
        })?;
        match timeout(limit, receiver).await {
            Ok(Ok(result)) => Ok(result?),
            Ok(Err(_)) => Err(CacheWriteError::Abandoned),
            Err(_) => Err(CacheWriteError::TimedOut(limit)),
        }
    }
}

fn replace_unless_newer(path: &Path, target: &Target, snapshot: &ConfigurationSnapshot) -> io::Result<()> {
    let cached = ConfigurationCache::new(path.to_owned()).read(target).ok().flatten();
    if cached.is_some_and(|cached| cached.version > snapshot.version) {
        // Another process of this balancer is ahead, or a later write overtook this one.
        return Ok(());
    }
    // The process id is in the name since two processes write during an upgrade.
    let temporary = path.with_extension(format!("configuration.{}", std::process::id()));
    let written = replace_atomically(path, &temporary, snapshot);
    if written.is_err() {
        // Best effort: the file may never have been created.
        let _ = std::fs::remove_file(&temporary);
    }
    written
}

/// Writes, syncs and renames a temporary file, then syncs the folder.
fn replace_atomically(path: &Path, temporary: &Path, snapshot: &ConfigurationSnapshot) -> io::Result<()> {
    let text = serde_json::to_vec(snapshot).map_err(io::Error::other)?;
    let mut file = File::create(temporary)?;
    file.write_all(&text)?;
    file.sync_all()?;
    std::fs::rename(temporary, path)?;
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}
