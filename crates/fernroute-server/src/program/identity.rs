//! The file that preserves a balancer's identity in its fleet's ledger across restarts. Its lock shows whether another process
//! of the balancer is running.

use super::random::random_identity;
use std::fs::{File, TryLockError};
use std::io::{self, Read as _, Seek as _, Write as _};
use std::path::Path;
use std::time::Duration;

/// How often locking the identity file is tried while a predecessor process holds the lock.
const IDENTITY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A balancer's identity in the ledger, with its exclusive lock.
pub struct LockedIdentity {
    /// The identity, which is the same for all processes of the balancer.
    pub identity: u64,
    /// The locked file; dropping it releases the lock.
    pub file: File,
}

/// Waits until no other process holds the lock of the identity file, then locks it.
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

/// Locks the identity file and reads the identity, or writes a new one; `None` while another process holds the lock.
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
