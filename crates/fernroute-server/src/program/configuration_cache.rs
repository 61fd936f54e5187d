//! The cache of the fleet's configuration on a balancer's disk. The file is complete after a crash: it has either the new
//! snapshot or the one before it. An older version never replaces a newer one.

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

/// Why a cached snapshot can't be used.
#[derive(Debug, Error)]
pub enum CacheReadError {
    /// The file exists and can't be read.
    #[error("{0}")]
    Io(#[source] io::Error),
    /// The file is not the JSON of a snapshot.
    #[error("damaged: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A hash does not match its content, or a scope is missing.
    #[error("damaged: a content does not match its hash, or a scope is missing")]
    Inconsistent,
    /// The snapshot belongs to a balancer with another name, service or zone.
    #[error("not for balancer {} of service {} in zone {}", .expected.name, .expected.service, .expected.zone)]
    OtherTarget {
        /// The balancer that tried to read the snapshot.
        expected: Target,
    },
}

/// Why a snapshot was not written to the disk.
#[derive(Debug, Error)]
pub enum CacheWriteError {
    /// A file operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The writing thread ended without a result.
    #[error("the write ended without a result")]
    Abandoned,
    /// The writing thread has not finished; its result is ignored.
    #[error("the write takes longer than {} s", .0.as_secs())]
    TimedOut(Duration),
}

/// The cache of one balancer: a file with its newest snapshot.
pub struct ConfigurationCache {
    path: PathBuf,
    /// Held by the writing thread, so that writes don't overlap, also when the caller has timed out on the first one.
    write_lock: Arc<Mutex<()>>,
}

impl ConfigurationCache {
    /// A cache in the file at this path, which need not exist yet.
    pub fn new(path: PathBuf) -> Self {
        ConfigurationCache { path, write_lock: Arc::default() }
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the cached snapshot of this balancer; `None` where there is no file.
    ///
    /// # Errors
    /// When the file exists and can't be used for `target`.
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

    /// Writes the snapshot on a separate thread, so that no RPC waits for the disk, and waits at most `limit` for the
    /// result.
    ///
    /// # Errors
    /// When it is not certain that the snapshot is on the disk; a write that timed out may still succeed.
    pub async fn write(
        &self,
        target: &Target,
        snapshot: &ConfigurationSnapshot,
        limit: Duration,
    ) -> Result<(), CacheWriteError> {
        let (target, snapshot) = (target.clone(), snapshot.clone());
        let (path, write_lock) = (self.path.clone(), Arc::clone(&self.write_lock));
        let (sender, receiver) = oneshot::channel();
        // Not a thread of the runtime, which would delay the end of the program until the write is done.
        std::thread::Builder::new().name("config-cache".to_owned()).spawn(move || {
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
        // Another process of this balancer has written a newer version, or a later write has overtaken this one.
        return Ok(());
    }
    // The name contains the process id, since two processes write during an upgrade.
    let temporary = path.with_extension(format!("configuration.{}", std::process::id()));
    let written = replace_atomically(path, &temporary, snapshot);
    if written.is_err() {
        // The file may not exist, so a failure is ignored.
        let _ = std::fs::remove_file(&temporary);
    }
    written
}

/// Writes, syncs and renames a temporary file, then syncs the directory.
fn replace_atomically(path: &Path, temporary: &Path, snapshot: &ConfigurationSnapshot) -> io::Result<()> {
    let text = serde_json::to_vec(snapshot).map_err(io::Error::other)?;
    let mut file = File::create(temporary)?;
    file.write_all(&text)?;
    file.sync_all()?;
    std::fs::rename(temporary, path)?;
    match path.parent() {
        Some(directory) => File::open(directory)?.sync_all(),
        None => Ok(()),
    }
}
