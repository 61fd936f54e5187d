//! Why a balancer does not start, or a started one has to end.

use super::configuration::CachePathError;
use super::instance::{InstanceConfigError, SettingError};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a balancer does not start, or a started one has to end.
#[derive(Debug, Error)]
pub enum StartError {
    /// The balancer's file can't be used.
    #[error(transparent)]
    Config(#[from] InstanceConfigError),
    /// The decisions reject a setting.
    #[error(transparent)]
    Setting(#[from] SettingError),
    /// The cached configuration of the fleet has no path.
    #[error(transparent)]
    CachePath(#[from] CachePathError),
    /// The asynchronous runtime does not start.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The handlers of signals can't be set.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// Callers can't connect.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address for callers.
        address: SocketAddr,
        /// What the system reports.
        source: io::Error,
    },
    /// Operators can't connect.
    #[error("operators' door at {address}: {source}")]
    OpsListen {
        /// The address for operators.
        address: SocketAddr,
        /// What the system reports.
        source: io::Error,
    },
    /// The process that serves rejects the takeover.
    #[error("the process that serves on {address} hands nothing over: {reason}")]
    HandoverRejected {
        /// The address for callers.
        address: SocketAddr,
        /// The reason that the process gives.
        reason: String,
    },
    /// The handover socket has no path.
    #[error("{0}")]
    HandoverPath(String),
}
