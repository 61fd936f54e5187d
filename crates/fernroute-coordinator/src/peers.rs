//! Messages between replicas, and of members and operators' commands to them: HTTP/1.1 with JSON. The envelope of each
//! message names the cluster, the version of the protocol and the recipient.

use crate::config::CoordinatorAddress;
use crate::store::ReplicaPosition;
use crate::RaftTypes;
use actix_http::error::PayloadError;
use actix_http::StatusCode;
use awc::error::SendRequestError;
use awc::{Client, ClientResponse};
use bytes::Bytes;
use fernroute_fleet::message::{Envelope, PROTOCOL_VERSION};
use futures_util::Stream;
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, RemoteError, Unreachable};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{AnyError, BasicNode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Path of raft's `AppendEntries` requests.
pub const APPEND_PATH: &str = "/-/append";
/// Path of raft's `Vote` requests.
pub const VOTE_PATH: &str = "/-/vote";
/// Path of raft's `InstallSnapshot` requests.
pub const SNAPSHOT_PATH: &str = "/-/snapshot";
/// Path of a replica's [`ReplicaInfo`].
pub const INFO_PATH: &str = "/-/who";
/// Path of a replica's [`crate::status::Status`].
pub const STATUS_PATH: &str = "/-/status";
/// Path of a change of the membership.
pub const CHANGE_PATH: &str = "/-/change";

/// The longest message between replicas: a ledger of some ten thousand members.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// What a replica reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// The cluster of its ledger.
    pub cluster: String,
    /// Its name in the configuration.
    pub name: String,
    /// The identifier of its disk.
    pub id: u64,
    /// Whether it has never belonged to a ledger.
    #[serde(rename = "blank")]
    pub is_uninitialized: bool,
    /// The latest positions of other replicas since this one started, by identifier: votes and entries that they sent or
    /// acknowledged. One for each replica that has ever belonged to the ledger, at most.
    #[serde(rename = "heard", default)]
    pub known_positions: BTreeMap<u64, ReplicaPosition>,
}

/// Why a message got no readable reply.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The request could not be sent, or no response came in time.
    #[error("{address}: {source}")]
    Send {
        /// Where the request went.
        address: String,
        /// Why it failed.
        source: SendRequestError,
    },
    /// The response's body could not be received.
    #[error("{address}: {source}")]
    Body {
        /// Where the response came from.
        address: String,
        /// Why it failed.
        source: PayloadError,
    },
    /// The response has a status other than success.
    #[error("{address}: {status}: {body}")]
    Status {
        /// Where the response came from.
        address: String,
        /// Its status.
        status: StatusCode,
        /// Its body.
        body: String,
    },
    /// The response is not the expected JSON.
    #[error("{address}: {source}")]
    Decode {
        /// Where the response came from.
        address: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The configuration has no replica of this name.
    #[error("the configuration file has no coordinator named {name}")]
    UnknownName {
        /// The name in the ledger's membership.
        name: String,
    },
}

/// Carries messages to other replicas.
#[derive(Clone)]
pub struct Peers {
    cluster: String,
    client: Client,
    /// Addresses of the configured replicas by name: the ledger stores names alone, since each configuration may reach a
    /// replica at another address.
    addresses: Rc<BTreeMap<String, SocketAddr>>,
    /// Written by [`Peers::record_position`]; one entry for each replica that ever belonged to the ledger.
    known_positions: Rc<RefCell<BTreeMap<u64, ReplicaPosition>>>,
    /// Replicas whose last message failed, so that each change is logged once; written by [`Peer::call`].
    unreachable: Rc<RefCell<BTreeSet<u64>>>,
}

impl Peers {
    /// Peers of one cluster. The cluster may be empty, and replicas may be absent, for requests without an envelope.
    pub fn new(cluster: &str, replicas: &[CoordinatorAddress]) -> Self {
        // Each request sets its own time-out.
        let client = Client::builder().disable_redirects().no_default_headers().finish();
        let addresses = replicas.iter().map(|replica| (replica.name.clone(), replica.address)).collect();
        Peers {
            cluster: cluster.to_owned(),
            client,
            addresses: Rc::new(addresses),
            known_positions: Rc::default(),
            unreachable: Rc::default(),
        }
    }

    /// The configured address of the replica of this name.
    pub(crate) fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }

    pub(crate) fn known_positions(&self) -> BTreeMap<u64, ReplicaPosition> {
        self.known_positions.borrow().clone()
    }

    /// Records how far a replica is, by a reply or by a message of its own.
    pub(crate) fn record_position(&self, id: u64, position: ReplicaPosition) {
        let mut positions = self.known_positions.borrow_mut();
        let known = positions.entry(id).or_default();
        *known = position.max(*known);
    }

    /// Posts a message in an envelope and reads the reply.
    pub(crate) async fn post<M: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        recipient: u64,
        message: &M,
        timeout: Duration,
    ) -> Result<R, PeerError> {
        let cluster = self.cluster.clone();
        let envelope = Envelope { cluster, version: PROTOCOL_VERSION, recipient, message };
        let request = self.client.post(format!("http://{address}{path}")).timeout(timeout);
        decode(address, request.send_json(&envelope).await).await
    }

    /// Gets a path and reads the reply.
    pub(crate) async fn get<R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<R, PeerError> {
        let request = self.client.get(format!("http://{address}{path}")).timeout(timeout);
        decode(address, request.send().await).await
    }

    /// Posts a message in an envelope and reads the reply; for commands.
    ///
    /// # Errors
    /// The one line that an operator reads.
    pub async fn send<M: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        recipient: u64,
        message: &M,
        timeout: Duration,
    ) -> Result<R, String> {
        self.post(address, path, recipient, message, timeout).await.map_err(|error| error.to_string())
    }

    /// Gets a path and reads the reply; for commands.
    ///
    /// # Errors
    /// The one line that an operator reads.
    pub async fn query<R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<R, String> {
        self.get(address, path, timeout).await.map_err(|error| error.to_string())
    }
}

async fn decode<R: DeserializeOwned, S>(
    address: &str,
    response: Result<ClientResponse<S>, SendRequestError>,
) -> Result<R, PeerError>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let address = address.to_owned();
    let mut response = match response {
        Ok(response) => response,
        Err(source) => return Err(PeerError::Send { address, source }),
    };
    let body = match response.body().limit(MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(source) => return Err(PeerError::Body { address, source }),
    };
    let status = response.status();
    if !status.is_success() {
        let body = String::from_utf8_lossy(&body).into_owned();
        return Err(PeerError::Status { address, status, body });
    }
    serde_json::from_slice(&body).map_err(|source| PeerError::Decode { address, source })
}

impl RaftNetworkFactory<RaftTypes> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, id: u64, node: &BasicNode) -> Peer {
        Peer { peers: self.clone(), id, name: node.addr.clone() }
    }
}

/// Carries raft's messages to one other replica.
pub struct Peer {
    peers: Peers,
    id: u64,
    name: String,
}

type RpcResult<R, E> = Result<R, RPCError<u64, BasicNode, RaftError<u64, E>>>;

impl Peer {
    /// Sends one of raft's requests; the reply may be an error of raft at the other replica.
    async fn call<M, R, E>(&self, path: &str, message: &M, timeout: Duration) -> RpcResult<R, E>
    where
        M: Serialize,
        R: DeserializeOwned,
        E: DeserializeOwned + std::error::Error,
    {
        let reply: Result<Result<R, RaftError<u64, E>>, PeerError> = match self.peers.address_of(&self.name) {
            Some(address) => self.peers.post(&address.to_string(), path, self.id, message, timeout).await,
            None => Err(PeerError::UnknownName { name: self.name.clone() }),
        };
        self.log_reachability(reply.as_ref().err());
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => Err(RPCError::RemoteError(RemoteError::new(self.id, error))),
            // Raft backs off before it retries.
            Err(error) => {
                let error = NetworkError::new(&AnyError::error(error));
                Err(RPCError::Unreachable(Unreachable::new(&error)))
            }
        }
    }

    /// Logs a replica that became unreachable, or reachable again.
    fn log_reachability(&self, error: Option<&PeerError>) {
        let mut unreachable = self.peers.unreachable.borrow_mut();
        match error {
            None if unreachable.remove(&self.id) => {
                tracing::info!("coordinator {} is reachable again", self.name);
            }
            Some(error) if unreachable.insert(self.id) => {
                tracing::warn!("coordinator {} is unreachable: {error}", self.name);
            }
            _ => {}
        }
    }
}

/// The position of a replica that sends these entries, or has stored them.
pub(crate) fn position_after(message: &AppendEntriesRequest<RaftTypes>) -> ReplicaPosition {
    let last = message.entries.last().map(|entry| entry.log_id).or(message.prev_log_id);
    ReplicaPosition::new(&message.vote, last.as_ref())
}

impl RaftNetwork<RaftTypes> for Peer {
    async fn append_entries(
        &mut self,
        message: AppendEntriesRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        let reply = self.call(APPEND_PATH, &message, option.hard_ttl()).await?;
        if let AppendEntriesResponse::Success = reply {
            self.peers.record_position(self.id, position_after(&message));
        }
        Ok(reply)
    }

    async fn install_snapshot(
        &mut self,
        message: InstallSnapshotRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RPCError<u64, BasicNode, RaftError<u64, InstallSnapshotError>>>
    {
        let reply: InstallSnapshotResponse<u64> =
            self.call(SNAPSHOT_PATH, &message, option.hard_ttl()).await?;
        if message.done && reply.vote == message.vote {
            let position = ReplicaPosition::new(&message.vote, message.meta.last_log_id.as_ref());
            self.peers.record_position(self.id, position);
        }
        Ok(reply)
    }

    async fn vote(
        &mut self,
        message: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        let reply: VoteResponse<u64> = self.call(VOTE_PATH, &message, option.hard_ttl()).await?;
        if reply.vote_granted {
            self.peers.record_position(self.id, ReplicaPosition::new(&message.vote, None));
        }
        Ok(reply)
    }
}
