//! The ledger's processes. One is enough to divide budgets; three or five go on when one or two are lost.
//!
//! `terms` reads the file, `store` keeps log and votes on the disk, `peers` carries what stewards say to each other,
//! `keep` holds the ledger and leads it, `configuration` enters what balancers go by and hands it out, `duties` gives out what one balancer alone does, `status` tells people,
//! `door` answers members, stewards and people, `commands` is the command line.

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

/// What became of an entry: the version of one of configuration, 0 of any other.
pub type Applied = Result<Version, ApplyFailure>;

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyFailure {
    pub why: String,
    /// The scope's version, where the operator did not start from it.
    pub latest: Option<Version>,
}

openraft::declare_raft_types!(
    /// What the consensus library is told of the ledger.
    pub RaftTypes:
        D = Entry,
        R = Applied,
        SnapshotData = Cursor<Vec<u8>>,
);

pub type Raft = openraft::Raft<RaftTypes>;
