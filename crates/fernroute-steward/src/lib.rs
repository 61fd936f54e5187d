//! The ledger's processes. One is enough to divide budgets; three or five go on when one or two are lost.
//!
//! `terms` reads the file, `store` keeps log and votes on the disk, `peers` carries what stewards say to each other,
//! `keep` holds the ledger and leads it, `door` answers members, stewards and people, `commands` is the command line.

pub mod commands;
pub mod door;
pub mod keep;
pub mod peers;
pub mod store;
pub mod terms;

use fernroute_fleet::ledger::Entry;
use std::io::Cursor;

/// Whether an entry was taken: what refused it is for the log.
pub type Applied = Result<(), String>;

openraft::declare_raft_types!(
    /// What the consensus library is told of the ledger.
    pub Kinds:
        D = Entry,
        R = Applied,
        SnapshotData = Cursor<Vec<u8>>,
);

pub type Raft = openraft::Raft<Kinds>;
