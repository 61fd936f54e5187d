//! One replica of the fleet's ledger: a raft node with its storage, and the leader's decisions while it leads.
//!
//! A replica starts with a check that its disk is not stale (`disk_check`), then starts raft (`start`). The first
//! replica of the configuration creates a new ledger (`bootstrap`). Whichever replica is elected keeps the leader's
//! state (`leadership`), answers members (`heartbeat`) and changes the set of voters (`membership`).

mod bootstrap;
mod disk_check;
mod heartbeat;
mod leadership;
mod membership;
mod start;

pub use crate::status::{BudgetStatus, MemberStatus, ReplicaStatus, Status};
pub use disk_check::DiskRejection;
pub use membership::MembershipError;

use crate::config::{CoordinatorAddress, CoordinatorConfig};
use crate::peers::{PeerError, Peers, ReplicaInfo, INFO_PATH};
use crate::store::{LogStore, ReplicaIdentity, ReplicaPosition, StateMachineStore, StoreError};
use crate::Raft;
use fernroute::Time;
use fernroute_fleet::duties::EndReason;
use fernroute_fleet::ledger::Ledger;
use leadership::Leadership;
use openraft::error::Fatal;
use openraft::{BasicNode, ConfigError, RaftMetrics, Vote};
use rustix::time::{clock_gettime, ClockId};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// How often the replica's state is polled where no event announces a change.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The time-out of a request for another replica's [`ReplicaInfo`].
const INFO_TIMEOUT: Duration = Duration::from_millis(500);

/// This machine's time since its start, in tenths of a millisecond. It counts while the process is stopped and while the
/// machine sleeps.
pub fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Time * 10_000 + time.tv_nsec as Time / 100_000
}

/// Why a replica could not be opened or started.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The folder could not be opened or read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Raft does not accept its configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Raft could not be started.
    #[error(transparent)]
    Raft(#[from] Fatal<u64>),
}

impl From<ReplicaError> for String {
    /// The one line that an operator reads.
    fn from(error: ReplicaError) -> String {
        error.to_string()
    }
}

/// Why a replica takes no part in the cluster.
#[derive(Debug, Error)]
pub enum ReplicaFault {
    /// Raft has stopped.
    #[error(transparent)]
    Stopped(#[from] Fatal<u64>),
    /// Raft is not started, since the disk may be stale.
    #[error(transparent)]
    DiskRejected(#[from] DiskRejection),
}

/// Why a configured replica could not be identified.
#[derive(Debug, Error)]
pub enum IdentifyError {
    /// It gave no reply.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// Another replica answers at its address.
    #[error("{address}: {name} of the cluster {cluster} answers there")]
    Mismatch {
        /// The address in the configuration.
        address: SocketAddr,
        /// The name of the replica that answers there.
        name: String,
        /// The cluster of the replica that answers there.
        cluster: String,
    },
}

/// One replica of the ledger.
pub struct Replica {
    /// The contents of its configuration file.
    pub config: CoordinatorConfig,
    pub(crate) identity: ReplicaIdentity,
    log_store: LogStore,
    /// The position on the disk at the start; none where it never belonged to a ledger.
    stored_position: Option<ReplicaPosition>,
    /// Written once, by [`Replica::start`], after the disk check has passed.
    raft: OnceCell<Raft>,
    /// Why raft is not started; written by [`Replica::start`].
    disk_rejection: RefCell<Option<DiskRejection>>,
    pub(crate) state_machine: StateMachineStore,
    /// Messages that could not be read, since the start; written by the HTTP service.
    pub(crate) unreadable_messages: Cell<u64>,
    /// The leader's state while this replica leads; written by [`Replica::update_leadership`],
    /// [`Replica::commit_or_step_down`] and, in place, by whatever the leader decides.
    pub(crate) leadership: RefCell<Option<Leadership>>,
    /// Count of duties that ended since the start, by reason; written by the duties of the leader.
    pub(crate) ended_terms: RefCell<BTreeMap<EndReason, u64>>,
    /// When this replica last became leader; written by [`Replica::update_leadership`].
    pub(crate) became_leader_at: Cell<Time>,
    /// The term of an entry whose commit is uncertain, in which no further heartbeat is answered; written by
    /// [`Replica::commit_or_step_down`].
    uncertain_term: Cell<Option<u64>>,
    pub(crate) peers: Peers,
}

impl Replica {
    /// Opens the folder that the configuration names, without taking part in the cluster.
    ///
    /// # Errors
    /// Where the folder cannot be opened, cannot be read, or belongs to another cluster.
    pub async fn open(config: CoordinatorConfig) -> Result<Rc<Self>, ReplicaError> {
        let (log_store, identity) = LogStore::open(&config.folder, &config.cluster)?;
        let state_machine = StateMachineStore::open(log_store.clone())?;
        let stored_position = log_store.position()?;
        let peers = Peers::new(&config.cluster, &config.coordinators);
        Ok(Rc::new(Replica {
            config,
            identity,
            log_store,
            stored_position,
            raft: OnceCell::new(),
            disk_rejection: RefCell::default(),
            state_machine,
            unreadable_messages: Cell::default(),
            leadership: RefCell::default(),
            ended_terms: RefCell::default(),
            became_leader_at: Cell::default(),
            uncertain_term: Cell::default(),
            peers,
        }))
    }

    /// The raft node, once it is started.
    pub fn raft(&self) -> Option<&Raft> {
        self.raft.get()
    }

    pub(crate) fn metrics(&self) -> Option<RaftMetrics<u64, BasicNode>> {
        self.raft().map(|raft| raft.metrics().borrow().clone())
    }

    /// Why this replica takes no part in the cluster, if it takes none.
    pub(crate) fn fault(&self) -> Option<ReplicaFault> {
        if let Some(stopped) = self.metrics().and_then(|metrics| metrics.running_state.err()) {
            return Some(stopped.into());
        }
        self.disk_rejection.borrow().clone().map(ReplicaFault::from)
    }

    /// What this replica reports about itself to other replicas and to operators' commands.
    pub(crate) fn info(&self) -> ReplicaInfo {
        // What was stored since the start counts too: an uninitialized replica may have become a learner.
        let stored_since_start = self
            .metrics()
            .is_some_and(|metrics| metrics.last_log_index.is_some() || metrics.vote != Vote::default());
        ReplicaInfo {
            cluster: self.identity.cluster.clone(),
            name: self.config.name.clone(),
            id: self.identity.id,
            is_uninitialized: self.stored_position.is_none() && !stored_since_start,
            known_positions: self.peers.known_positions(),
        }
    }

    /// The replica that answers at a configured address, if its name and cluster are the configured ones.
    async fn identify(&self, configured: &CoordinatorAddress) -> Result<ReplicaInfo, IdentifyError> {
        let address = configured.address;
        let info: ReplicaInfo = self.peers.get(&address.to_string(), INFO_PATH, INFO_TIMEOUT).await?;
        if info.cluster != self.config.cluster || info.name != configured.name {
            return Err(IdentifyError::Mismatch { address, name: info.name, cluster: info.cluster });
        }
        Ok(info)
    }

    pub(crate) fn ledger<T>(&self, read: impl FnOnce(&Ledger) -> T) -> T {
        read(&self.state_machine.state.borrow().ledger)
    }
}
