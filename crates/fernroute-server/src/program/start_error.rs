//! Errors at the start of a balancer, and those that end a running one.

use super::configuration::CachePathError;
use super::instance::{InstanceConfigError, SettingError};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a balancer can't start, or has to end.
#[derive(Debug, Error)]
pub enum StartError {
    /// The balancer's file can't be used.
    #[error(transparent)]
    Config(#[from] InstanceConfigError),
    /// The decisions reject a setting.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// There is no valid path for the cache of the fleet's configuration.
    #[error(transparent)]
    CachePath(#[from] CachePathError),
    /// The asynchronous runtime can't start.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// Listening for callers failed.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address for callers.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Listening for operators failed.
    #[error("listen for operators on {address}: {source}")]
    OpsListen {
        /// The address for operators.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The process that serves at the address rejected the handover.
    #[error("the process that serves on {address} rejected the handover: {reason}")]
    HandoverRejected {
        /// The address for callers.
        address: SocketAddr,
        /// The reason given by the process.
        reason: String,
    },
    /// There is no valid path for the handover socket.
    #[error("{0}")]
    HandoverPath(String),
}
