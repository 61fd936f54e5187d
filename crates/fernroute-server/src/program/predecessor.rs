//! Finds the process that serves at this balancer's address, if there is one, and asks it to hand over.

use super::fleet::ReceivedHandover;
use super::start_error::StartError;
use crate::protocol::handover::{HandoverList, PredecessorMessage, SuccessorMessage};
use crate::transport::handover::{socket_path as handover_path, HandoverConnection};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// A message of the other process arrives within this time, or none is waited for: a new process has to be ready within
/// six seconds, whatever the old one does.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// A predecessor that was told to stop has ended after this time and has freed the operators' address.
const MAX_ENDING_TIME: Duration = Duration::from_secs(5);

/// How often a predecessor that is ending is asked again.
const ENDING_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The process that was there before this one.
pub enum Predecessor {
    /// Nobody serves at the address.
    Absent,
    /// It hands over.
    Serving(Box<ServingPredecessor>),
    /// A process may be there, and does not hand over.
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

    /// The same, to take from it what it handed over.
    pub fn serving_mut(&mut self) -> Option<&mut ServingPredecessor> {
        match self {
            Predecessor::Serving(serving) => Some(serving),
            _ => None,
        }
    }
}

/// A process that hands over, with what it gave.
pub struct ServingPredecessor {
    /// The connection to it.
    pub(super) link: HandoverConnection,
    /// The callers' socket; taken as this process starts.
    pub listener: Option<TcpListener>,
    /// Its endpoint list.
    pub list: HandoverList,
    /// How many descriptors this process may have open for a start.
    pub descriptors: usize,
    /// Its half of a fleet's budgets, if it gave one; taken as this process starts.
    pub member: Option<ReceivedHandover>,
}

/// Asks the process that serves at this address, if there is one, to hand over, and waits for one that is ending. Guards
/// against a restart that fails because its predecessor still answers the last callers.
///
/// # Errors
/// When that process rejects the takeover.
pub async fn find(name: &str, listen: SocketAddr) -> Result<Predecessor, StartError> {
    let started_at = Instant::now();
    loop {
        match request_handover(name, listen).await {
            Ok(HandoverReply::Absent) => return Ok(Predecessor::Absent),
            Ok(HandoverReply::Given(serving)) => return Ok(Predecessor::Serving(serving)),
            Ok(HandoverReply::Rejected { reason }) => {
                return Err(StartError::HandoverRejected { address: listen, reason });
            }
            Ok(HandoverReply::Ending) => {}
            Err(error) => {
                tracing::warn!("no process hands over, starting as if alone: {error}");
                return Ok(Predecessor::Unresponsive);
            }
        }
        if started_at.elapsed() >= MAX_ENDING_TIME {
            tracing::warn!("the process before is still ending, starting all the same");
            return Ok(Predecessor::Absent);
        }
        actix_rt::time::sleep(ENDING_POLL_INTERVAL).await;
    }
}

/// The outcome of one request to hand over.
enum HandoverReply {
    Absent,
    Given(Box<ServingPredecessor>),
    Rejected {
        reason: String,
    },
    /// The process has been told to stop and serves no more.
    Ending,
}

/// Why it is unknown whether there is a process that serves.
#[derive(Debug, Error)]
enum HandoverError {
    #[error("{0}")]
    Path(String),
    #[error("{}: {source}", .path.display())]
    Connect { path: PathBuf, source: io::Error },
    #[error("no answer")]
    TimedOut,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0:?} without the socket")]
    UnexpectedMessage(Box<PredecessorMessage>),
    #[error("it ended")]
    Closed,
    #[error("its socket is another")]
    OtherSocket,
}

async fn request_handover(name: &str, listen: SocketAddr) -> Result<HandoverReply, HandoverError> {
    let path = handover_path(name, listen).map_err(HandoverError::Path)?;
    let link = match HandoverConnection::connect(&path).await {
        Ok(Some(link)) => link,
        Ok(None) => return Ok(HandoverReply::Absent),
        // Its process was killed, and the file is still there.
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            tracing::warn!("{}: left by a process that is no more", path.display());
            return Ok(HandoverReply::Absent);
        }
        Err(source) => return Err(HandoverError::Connect { path, source }),
    };
    timeout(REPLY_TIMEOUT, receive_handover(link, listen)).await.map_err(|_| HandoverError::TimedOut)?
}

async fn receive_handover(
    mut link: HandoverConnection,
    listen: SocketAddr,
) -> Result<HandoverReply, HandoverError> {
    let requested_at = Instant::now();
    link.send(&SuccessorMessage::take()).await?;
    let Some((message, socket)) = link.receive().await? else { return Err(HandoverError::Closed) };
    let (list, descriptors, handover, socket) = match (message, socket) {
        (PredecessorMessage::Given { list, descriptors, member, .. }, Some(socket)) => {
            (list, descriptors, member, socket)
        }
        (PredecessorMessage::Refused { ending: true, .. }, _) => return Ok(HandoverReply::Ending),
        (PredecessorMessage::Refused { why, .. }, _) => return Ok(HandoverReply::Rejected { reason: why }),
        (other, _) => return Err(HandoverError::UnexpectedMessage(Box::new(other))),
    };
    let listener = Some(into_listener(socket, listen)?);
    let member = handover.map(|handover| ReceivedHandover { handover, requested_at });
    Ok(HandoverReply::Given(Box::new(ServingPredecessor { link, listener, list, descriptors, member })))
}

/// Checks that the socket listens at this address.
fn into_listener(socket: OwnedFd, listen: SocketAddr) -> Result<TcpListener, HandoverError> {
    let listener = std::net::TcpListener::from(socket);
    let is_same = listener.local_addr().is_ok_and(|address| address == listen || listen.port() == 0);
    if !is_same || listener.set_nonblocking(true).is_err() {
        return Err(HandoverError::OtherSocket);
    }
    Ok(TcpListener::from_std(listener)?)
}
