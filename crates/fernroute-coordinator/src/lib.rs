//! The replicated ledger of a fleet of balancers: one process is enough to divide its budgets, and three or five tolerate
//! the loss of one or two.
//!
//! [`config`] reads the configuration, [`store`] keeps log, vote and snapshots on the disk, [`peers`] carries messages
//! between replicas, [`replica`] runs raft and the leader's decisions, [`configuration`] commits and serves the balancers'
//! configuration, [`duties`] assigns work that one balancer does at a time, [`status`] reports to operators, [`http`]
//! serves members, replicas and operators, [`commands`] is the command line.

#![warn(missing_docs, clippy::unwrap_used, clippy::expect_used)]

pub mod commands;
pub mod config;
pub mod configuration;
pub mod duties;
pub mod http;
pub mod peers;
pub mod replica;
pub mod status;
pub mod store;

use fernroute_fleet::configuration::Version;
use fernroute_fleet::ledger::Entry;
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// The result of an applied entry: the new version for one of configuration, 0 for any other.
pub type ApplyResult = Result<Version, ApplyFailure>;

/// Why a committed entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyFailure {
    /// The reason, for operators.
    #[serde(rename = "why")]
    pub reason: String,
    /// The scope's latest version, where the operator's change is based on another one.
    #[serde(rename = "latest")]
    pub latest_version: Option<Version>,
}

openraft::declare_raft_types!(
    /// The types of the ledger that raft is instantiated with.
    pub RaftTypes:
        D = Entry,
        R = ApplyResult,
        SnapshotData = Cursor<Vec<u8>>,
);

/// The raft node of the ledger.
pub type Raft = openraft::Raft<RaftTypes>;
