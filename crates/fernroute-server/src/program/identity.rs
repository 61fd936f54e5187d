//! The file that keeps a balancer's identity in its fleet's ledger over restarts. Its lock tells whether another process of
//! the balancer runs.

use super::random::random_identity;
use std::fs::{File, TryLockError};
use std::io::{self, Read as _, Seek as _, Write as _};
use std::path::Path;
use std::time::Duration;

/// How often the identity file is tried while a predecessor process has it locked.
const IDENTITY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A balancer's identity in the ledger, with the lock that no other process has at the same time.
pub struct LockedIdentity {
    /// The same over all processes of the balancer.
    pub identity: u64,
    /// The lock ends when this is dropped.
    pub file: File,
}

/// Waits until no other process has the identity file locked, then locks it.
///
/// # Errors
/// As [`lock_identity`].
pub(super) async fn wait_for_identity(path: &Path) -> io::Result<LockedIdentity> {
    loop {
        if let Some(locked) = lock_identity(path)? {
            return Ok(locked);
        }
        actix_rt::time::sleep(IDENTITY_POLL_INTERVAL).await;
    }
}

/// Locks the identity file and reads it, or writes a new identity to it; `None` while another process has the lock.
///
/// # Errors
/// When the file can't be opened, locked, read or written.
pub fn lock_identity(path: &Path) -> io::Result<Option<LockedIdentity>> {
    let mut file = File::options().create(true).truncate(false).read(true).write(true).open(path)?;
    match file.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => return Ok(None),
        Err(TryLockError::Error(error)) => return Err(error),
    }
    let mut text = String::new();
    file.read_to_string(&mut text)?;
    if let Ok(identity) = u64::from_str_radix(text.trim(), 16) {
        return Ok(Some(LockedIdentity { identity, file }));
    }
    let identity = random_identity();
    file.set_len(0)?;
    file.rewind()?;
    file.write_all(format!("{identity:016x}\n").as_bytes())?;
    file.sync_all()?;
    Ok(Some(LockedIdentity { identity, file }))
}
