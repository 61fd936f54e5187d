//! The disk of a replica: raft's log and vote, the last snapshot, and the replica's identity, in one redb file.
//!
//! Every write is synced before it is acknowledged. A failed write stops the part of raft that requested it, and the
//! replica stops voting.

// The error type that raft's storage traits require is large.
#![allow(clippy::result_large_err)]

mod identity;
mod log_store;
mod snapshot;
mod state_machine;

pub use identity::{ReplicaIdentity, ReplicaPosition};
pub use log_store::LogStore;
pub use state_machine::{StateMachine, StateMachineStore};

use openraft::{AnyError, ErrorSubject, ErrorVerb, StorageError, StorageIOError};
use std::path::PathBuf;
use thiserror::Error;

type StorageResult<T> = Result<T, StorageError<u64>>;

/// Why a replica's folder cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The folder could not be created.
    #[error("{}: {source}", folder.display())]
    CreateFolder {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The file in it could not be opened.
    #[error("{}: {source}", folder.display())]
    OpenDatabase {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: redb::DatabaseError,
    },
    /// The replica's identity could not be read or written.
    #[error("{}: {source}", folder.display())]
    Identity {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: Box<StorageError<u64>>,
    },
    /// The folder belongs to a replica of another cluster.
    #[error("{}: the folder belongs to the cluster {found}, not to {expected}", folder.display())]
    OtherCluster {
        /// The folder.
        folder: PathBuf,
        /// The cluster of the folder.
        found: String,
        /// The cluster of the configuration.
        expected: String,
    },
    /// What is stored could not be read.
    #[error(transparent)]
    Storage(Box<StorageError<u64>>),
}

impl From<StorageError<u64>> for StoreError {
    fn from(error: StorageError<u64>) -> Self {
        StoreError::Storage(Box::new(error))
    }
}

fn storage_error(verb: ErrorVerb, error: impl ToString) -> StorageError<u64> {
    let message = error.to_string();
    tracing::error!("storage error: {message}");
    StorageIOError::<u64>::new(ErrorSubject::Store, verb, AnyError::error(message)).into()
}

fn read_error(error: impl ToString) -> StorageError<u64> {
    storage_error(ErrorVerb::Read, error)
}

fn write_error(error: impl ToString) -> StorageError<u64> {
    storage_error(ErrorVerb::Write, error)
}
