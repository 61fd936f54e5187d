//! Finds a process that serves at this balancer's address and requests a handover from it.

use super::fleet::ReceivedHandover;
use super::start_error::StartError;
use crate::protocol::handover::{HandedId, HandoverList, PredecessorMessage, SuccessorMessage};
use crate::transport::handover::{socket_path as handover_path, HandoverConnection};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// The time-out for messages during a handover: a new process must be ready within six seconds, whatever its predecessor
/// does.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// How long to wait for a predecessor that is shutting down, which then has ended and released the address for operators.
const MAX_PREDECESSOR_SHUTDOWN: Duration = Duration::from_secs(5);

/// The interval between requests to a predecessor that is shutting down.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The process of this balancer before this one.
pub enum Predecessor {
    /// There is no such process.
    Absent,
    /// It serves and hands over.
    Serving(Box<ServingPredecessor>),
    /// There may be a process, but it does not hand over.
    Unresponsive,
}

impl Predecessor {
    /// The process that hands over, if there is one.
    pub fn serving(&self) -> Option<&ServingPredecessor> {
        match self {
            Predecessor::Serving(serving) => Some(serving),
            _ => None,
        }
    }

    /// Mutable access, for taking what was handed over.
    pub fn serving_mut(&mut self) -> Option<&mut ServingPredecessor> {
        match self {
            Predecessor::Serving(serving) => Some(serving),
            _ => None,
        }
    }
}

/// A process that hands over, with what it handed over.
pub struct ServingPredecessor {
    /// The connection to it.
    pub(super) connection: HandoverConnection,
    /// The listening socket for callers; taken when this process starts.
    pub listener: Option<TcpListener>,
    /// Its endpoint list.
    pub list: HandoverList,
    /// How many descriptors this process may have open at the start.
    pub descriptors: usize,
    /// How many bytes this process may have at the start, its program included. Earlier versions do not tell.
    pub memory: Option<usize>,
    /// The ids of RPCs that may still run there; taken when this process starts. Earlier versions do not tell.
    pub run_once: Option<Vec<HandedId>>,
    /// Half of its part of the fleet's budgets, if handed over; taken when this process starts.
    pub member: Option<ReceivedHandover>,
}

/// Requests a handover from a process that serves at this address. Waits for a process that is shutting down, so that a
/// restart does not fail because its predecessor still answers the last callers.
///
/// # Errors
/// When that process rejects the handover.
pub async fn find(name: &str, listen: SocketAddr) -> Result<Predecessor, StartError> {
    let started_at = Instant::now();
    loop {
        match request_handover(name, listen).await {
            Ok(HandoverReply::Absent) => return Ok(Predecessor::Absent),
            Ok(HandoverReply::Given(serving)) => return Ok(Predecessor::Serving(serving)),
            Ok(HandoverReply::Rejected { reason }) => {
                return Err(StartError::HandoverRejected { address: listen, reason });
            }
            Ok(HandoverReply::ShuttingDown) => {}
            Err(error) => {
                tracing::warn!("no handover, starting without a predecessor: {error}");
                return Ok(Predecessor::Unresponsive);
            }
        }
        if started_at.elapsed() >= MAX_PREDECESSOR_SHUTDOWN {
            tracing::warn!("the predecessor is still shutting down, starting anyway");
            return Ok(Predecessor::Absent);
        }
        actix_rt::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

/// The result of one handover request.
enum HandoverReply {
    Absent,
    Given(Box<ServingPredecessor>),
    Rejected {
        reason: String,
    },
    /// The process is shutting down and does not serve any more.
    ShuttingDown,
}

/// Why it is unknown whether a process serves at the address.
#[derive(Debug, Error)]
enum HandoverError {
    #[error("{0}")]
    Path(String),
    #[error("{}: {source}", .path.display())]
    Connect { path: PathBuf, source: io::Error },
    #[error("no reply")]
    TimedOut,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("unexpected message, or the socket is missing: {0:?}")]
    UnexpectedMessage(Box<PredecessorMessage>),
    #[error("the connection was closed")]
    Closed,
    #[error("the received socket can't be used for the address")]
    OtherSocket,
}

async fn request_handover(name: &str, listen: SocketAddr) -> Result<HandoverReply, HandoverError> {
    let path = handover_path(name, listen).map_err(HandoverError::Path)?;
    let connection = match HandoverConnection::connect(&path).await {
        Ok(Some(connection)) => connection,
        Ok(None) => return Ok(HandoverReply::Absent),
        // The process was killed and could not remove the socket file.
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            tracing::warn!("{}: left by a process that has ended", path.display());
            return Ok(HandoverReply::Absent);
        }
        Err(source) => return Err(HandoverError::Connect { path, source }),
    };
    timeout(REPLY_TIMEOUT, receive_handover(connection, listen)).await.map_err(|_| HandoverError::TimedOut)?
}

async fn receive_handover(
    mut connection: HandoverConnection,
    listen: SocketAddr,
) -> Result<HandoverReply, HandoverError> {
    let requested_at = Instant::now();
    connection.send(&SuccessorMessage::take()).await?;
    let Some((message, socket)) = connection.receive().await? else { return Err(HandoverError::Closed) };
    let (list, descriptors, memory, run_once, handover, socket) = match (message, socket) {
        (PredecessorMessage::Given { list, descriptors, memory, run_once, member, .. }, Some(socket)) => {
            (list, descriptors, memory, run_once, member, socket)
        }
        (PredecessorMessage::Refused { ending: true, .. }, _) => return Ok(HandoverReply::ShuttingDown),
        (PredecessorMessage::Refused { why, .. }, _) => return Ok(HandoverReply::Rejected { reason: why }),
        (other, _) => return Err(HandoverError::UnexpectedMessage(Box::new(other))),
    };
    let listener = Some(into_listener(socket, listen)?);
    let member = handover.map(|handover| ReceivedHandover { handover, requested_at });
    let serving = ServingPredecessor { connection, listener, list, descriptors, memory, run_once, member };
    Ok(HandoverReply::Given(Box::new(serving)))
}

/// Converts the socket into a listener, after checking that it has this address.
fn into_listener(socket: OwnedFd, listen: SocketAddr) -> Result<TcpListener, HandoverError> {
    let listener = std::net::TcpListener::from(socket);
    let is_same = listener.local_addr().is_ok_and(|address| address == listen || listen.port() == 0);
    if !is_same || listener.set_nonblocking(true).is_err() {
        return Err(HandoverError::OtherSocket);
    }
    Ok(TcpListener::from_std(listener)?)
}
