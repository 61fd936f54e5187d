//! Calls the coordinators of a running cluster: one of them, or whichever is the leader.

use super::error::CommandError;
use crate::configuration::RequestError;
use crate::peers::{Peers, ReplicaInfo, INFO_PATH};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time-out of a call that the called coordinator answers alone.
const LOCAL_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The time-out of a call to the leader: longer than a leader waits for a majority of the coordinators.
const LEADER_CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a call is repeated while the coordinators elect a leader.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(8);

/// The pause between two polls of the coordinators.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How many coordinators are called in a row where each names another as the leader.
const MAX_REDIRECTS: usize = 3;

/// The coordinators of one cluster, called until the leader replies.
pub struct Client {
    addresses: Vec<SocketAddr>,
    peers: Peers,
}

/// Why a call has no result.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The leader rejected it.
    #[error("{}", rejection_text(.0))]
    Rejected(RequestError),
    /// No leader replied in time: the last coordinator's error.
    #[error("{0}")]
    NoLeader(String),
}

/// A call without a result, and whether it may have taken effect all the same.
#[derive(Debug)]
pub struct CallFailure {
    /// Why there is no result.
    pub error: CallError,
    /// An attempt of this call got no definite reply: it may be entered, or be entered later.
    pub may_be_entered: bool,
}

impl From<CallFailure> for CommandError {
    fn from(failure: CallFailure) -> Self {
        CommandError::Call(failure.error)
    }
}

/// Why one attempt of a call has no result.
enum AttemptError {
    Rejected(RequestError),
    /// The called coordinators do not lead, and have done nothing.
    NotLeader(String),
    Uncertain(String),
}

fn rejection_text(error: &RequestError) -> String {
    match error {
        RequestError::Rejected(reason) => reason.clone(),
        other => format!("{other:?}"),
    }
}

/// Gets `path` from one coordinator.
///
/// # Errors
/// It did not reply in time.
pub async fn query<R: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<R, CommandError> {
    let reply = Peers::new("", &[]).query(&address.to_string(), path, LOCAL_CALL_TIMEOUT).await;
    reply.map_err(CommandError::coordinator)
}

impl Client {
    /// Learns the cluster's name from the first of the coordinators that replies.
    ///
    /// # Errors
    /// There is no address, or none of the coordinators replied.
    pub async fn connect(addresses: &[SocketAddr]) -> Result<Self, CommandError> {
        if addresses.is_empty() {
            return Err(CommandError::Usage("--at: no coordinator is named".to_owned()));
        }
        let mut errors = Vec::new();
        for address in addresses {
            match query::<ReplicaInfo>(*address, INFO_PATH).await {
                Ok(info) => {
                    let peers = Peers::new(&info.cluster, &[]);
                    return Ok(Client { addresses: addresses.to_vec(), peers });
                }
                Err(error) => errors.push(error.to_string()),
            }
        }
        Err(CommandError::Coordinator(errors.join("; ")))
    }

    /// Calls one coordinator after another, and the leader that each names, until the leader replies.
    ///
    /// # Errors
    /// The leader rejected the call, or no leader replied in time.
    pub async fn call<R: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
    ) -> Result<R, CallFailure> {
        let started_at = Instant::now();
        let mut may_be_entered = false;
        loop {
            let mut last_error = String::new();
            for address in &self.addresses {
                match self.attempt(*address, path, message).await {
                    Ok(reply) => return Ok(reply),
                    Err(AttemptError::Rejected(error)) => {
                        return Err(CallFailure { error: CallError::Rejected(error), may_be_entered });
                    }
                    Err(AttemptError::NotLeader(error)) => last_error = error,
                    Err(AttemptError::Uncertain(error)) => {
                        may_be_entered = true;
                        last_error = error;
                    }
                }
            }
            if started_at.elapsed() > ELECTION_TIMEOUT {
                return Err(CallFailure { error: CallError::NoLeader(last_error), may_be_entered });
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Calls one coordinator, and the leader that it names.
    async fn attempt<R: DeserializeOwned>(
        &self,
        first: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<R, AttemptError> {
        let mut address = first.to_string();
        let mut last_error = String::new();
        for _ in 0..MAX_REDIRECTS {
            let reply: Result<Result<R, RequestError>, _> =
                self.peers.send(&address, path, 0, message, LEADER_CALL_TIMEOUT).await;
            match reply {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(RequestError::NotLeader(Some(leader)))) => {
                    last_error = format!("{address}: not the leader, redirected to {leader}");
                    address = leader;
                }
                Ok(Err(RequestError::NotLeader(None))) => {
                    return Err(AttemptError::NotLeader(format!("{address}: no leader is known")));
                }
                Ok(Err(RequestError::Unknown(reason))) => {
                    return Err(AttemptError::Uncertain(format!("{address}: {reason}")));
                }
                Ok(Err(rejection)) => return Err(AttemptError::Rejected(rejection)),
                Err(error) => return Err(AttemptError::Uncertain(error.to_string())),
            }
        }
        Err(AttemptError::NotLeader(last_error))
    }
}
