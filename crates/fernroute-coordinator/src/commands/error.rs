//! Why a command ended without success.

use super::client::CallError;
use super::configuration::{FileError, PutError};
use crate::config::ConfigError;
use fernroute_fleet::configuration::Scope;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;

/// Why a command ended without success; its text is the operator's one-line error.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The arguments are not valid.
    #[error("{0}")]
    Usage(String),
    /// The configuration file of the coordinator cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The async runtime did not start.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers could not be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The coordinator's own address could not be bound.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The error of this process's replica, or of a coordinator that was called.
    #[error("{0}")]
    Coordinator(String),
    /// The leader was not reached, or rejected the call.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A part of a balancer's file cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// `configuration put` was rejected or is not complete.
    #[error(transparent)]
    Put(#[from] PutError),
    /// `configuration get` of a scope without an entry.
    #[error("{0}: the scope has no entry")]
    NothingPut(Scope),
    /// A duty was released, and has no new holder in time.
    #[error("{duty}: {holder} was told to release it, and there is no new holder yet")]
    NoNewHolder {
        /// The duty's name.
        duty: String,
        /// The member that was told to release it.
        holder: String,
    },
    /// A reply could not be printed as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl CommandError {
    /// Wraps an error of the replica or of another coordinator.
    pub fn coordinator(error: impl Display) -> Self {
        CommandError::Coordinator(error.to_string())
    }

    /// The exit code: 1 where the coordinators have, or may have, accepted the command; 2 where it was
    /// rejected.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::NoNewHolder { .. } => 1,
            CommandError::Put(error) if error.may_be_entered() => 1,
            _ => 2,
        }
    }
}
