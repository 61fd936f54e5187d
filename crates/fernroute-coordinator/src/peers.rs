//! What stewards say to each other, and members to them: HTTP/1.1 with JSON, an envelope round each message that names the
//! cluster, the version and whom it is for.

use crate::config::CoordinatorAddress;
use crate::store::ReplicaPosition;
use crate::RaftTypes;
use actix_http::error::PayloadError;
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

pub const APPEND: &str = "/-/append";
pub const VOTE: &str = "/-/vote";
pub const SNAPSHOT: &str = "/-/snapshot";
pub const INFO_PATH: &str = "/-/who";
pub const STATUS: &str = "/-/status";
pub const CHANGE: &str = "/-/change";

/// The longest message: a ledger of some ten thousand members.
pub const MOST_BYTES: usize = 16 << 20;

/// ReplicaInfo a steward is, and whether it has ever been of a ledger's processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaInfo {
    pub cluster: String,
    pub name: String,
    pub id: u64,
    pub blank: bool,
    /// What stewards have said to this one since it started, by their ids: votes for it, and entries that they kept. As
    /// many as have ever been of the ledger's processes.
    #[serde(default)]
    pub heard: BTreeMap<u64, ReplicaPosition>,
}

/// Carries messages to other stewards.
#[derive(Clone)]
pub struct Peers {
    pub cluster: String,
    pub client: Client,
    /// Where the stewards are, by their names: the ledger knows them by name alone, so that each file says where they are
    /// from there.
    places: Rc<BTreeMap<String, SocketAddr>>,
    pub heard: Rc<RefCell<BTreeMap<u64, ReplicaPosition>>>,
    /// Stewards whose last message failed: told once, and once more when one gets through. Emptied by those.
    lost: Rc<RefCell<BTreeSet<u64>>>,
}

/// What came of a message that got no answer of its own kind.
pub type Failed = String;

impl Peers {
    pub fn new(cluster: &str, stewards: &[CoordinatorAddress]) -> Self {
        // No redirect, no decompression; the time-out is each call's.
        let client = Client::builder().disable_redirects().no_default_headers().finish();
        let places = stewards.iter().map(|s| (s.name.clone(), s.address)).collect();
        Peers {
            cluster: cluster.to_owned(),
            client,
            places: Rc::new(places),
            heard: Rc::default(),
            lost: Rc::default(),
        }
    }

    /// Where the steward of this name is.
    pub fn place(&self, name: &str) -> Option<SocketAddr> {
        self.places.get(name).copied()
    }

    /// A steward has said how far it went, by an answer or by a message of its own.
    pub fn hear(&self, id: u64, mark: ReplicaPosition) {
        let mut heard = self.heard.borrow_mut();
        let known = heard.entry(id).or_default();
        *known = mark.max(*known);
    }

    pub async fn say<M: Serialize, A: DeserializeOwned>(
        &self,
        at: &str,
        path: &str,
        to: u64,
        message: &M,
        within: Duration,
    ) -> Result<A, Failed> {
        let envelope =
            Envelope { cluster: self.cluster.clone(), version: PROTOCOL_VERSION, recipient: to, message };
        let call = self.client.post(format!("http://{at}{path}")).timeout(within);
        decode(at, call.send_json(&envelope).await).await
    }

    pub async fn ask<A: DeserializeOwned>(
        &self,
        at: &str,
        path: &str,
        within: Duration,
    ) -> Result<A, Failed> {
        decode(at, self.client.get(format!("http://{at}{path}")).timeout(within).send().await).await
    }
}

async fn decode<A: DeserializeOwned, S>(
    at: &str,
    sent: Result<ClientResponse<S>, SendRequestError>,
) -> Result<A, Failed>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    let mut answer = sent.map_err(|e| format!("{at}: {e}"))?;
    let body = answer.body().limit(MOST_BYTES).await.map_err(|e| format!("{at}: {e}"))?;
    if !answer.status().is_success() {
        return Err(format!("{at}: {}: {}", answer.status(), String::from_utf8_lossy(&body)));
    }
    serde_json::from_slice(&body).map_err(|e| format!("{at}: {e}"))
}

impl RaftNetworkFactory<RaftTypes> for Peers {
    type Network = Peer;

    async fn new_client(&mut self, id: u64, node: &BasicNode) -> Peer {
        Peer { peers: self.clone(), id, name: node.addr.clone() }
    }
}

/// The way to one other steward.
pub struct Peer {
    peers: Peers,
    id: u64,
    name: String,
}

type Answer<T, E> = Result<T, RPCError<u64, BasicNode, RaftError<u64, E>>>;

impl Peer {
    /// An answer is what the library at the other side said, an error of its own included.
    async fn say<M, A, E>(&self, path: &str, message: &M, within: Duration) -> Answer<A, E>
    where
        M: Serialize,
        A: DeserializeOwned,
        E: DeserializeOwned + std::error::Error,
    {
        let said: Result<Result<A, RaftError<u64, E>>, Failed> = match self.peers.place(&self.name) {
            Some(at) => self.peers.say(&at.to_string(), path, self.id, message, within).await,
            None => Err(format!("no steward of this file is called {}", self.name)),
        };
        let mut lost = self.peers.lost.borrow_mut();
        if said.is_ok() && lost.remove(&self.id) {
            tracing::info!("steward {} is reached again", self.name);
        }
        match said {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(why)) => Err(RPCError::RemoteError(RemoteError::new(self.id, why))),
            // The library waits a little before it tries again.
            Err(why) => {
                if lost.insert(self.id) {
                    tracing::warn!("steward {} is not reached: {why}", self.name);
                }
                Err(RPCError::Unreachable(Unreachable::new(&NetworkError::new(&AnyError::error(why)))))
            }
        }
    }
}

/// How far whoever sends or keeps this is.
pub fn sent(message: &AppendEntriesRequest<RaftTypes>) -> ReplicaPosition {
    let last = message.entries.last().map(|entry| entry.log_id).or(message.prev_log_id);
    ReplicaPosition::new(&message.vote, last.as_ref())
}

impl RaftNetwork<RaftTypes> for Peer {
    async fn append_entries(
        &mut self,
        message: AppendEntriesRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        let said = self.say(APPEND, &message, option.hard_ttl()).await?;
        if let AppendEntriesResponse::Success = said {
            self.peers.hear(self.id, sent(&message));
        }
        Ok(said)
    }

    async fn install_snapshot(
        &mut self,
        message: InstallSnapshotRequest<RaftTypes>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<u64>, RPCError<u64, BasicNode, RaftError<u64, InstallSnapshotError>>>
    {
        let said: InstallSnapshotResponse<u64> = self.say(SNAPSHOT, &message, option.hard_ttl()).await?;
        if message.done && said.vote == message.vote {
            self.peers.hear(self.id, ReplicaPosition::new(&message.vote, message.meta.last_log_id.as_ref()));
        }
        Ok(said)
    }

    async fn vote(
        &mut self,
        message: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, RPCError<u64, BasicNode, RaftError<u64>>> {
        let said: VoteResponse<u64> = self.say(VOTE, &message, option.hard_ttl()).await?;
        if said.vote_granted {
            self.peers.hear(self.id, ReplicaPosition::new(&message.vote, None));
        }
        Ok(said)
    }
}
