//! The predecessor's side of an upgrade: hands over to a successor that connects to the handover socket.
//!
//! The predecessor is *serving*. A successor requests a handover and receives the listening socket, the endpoint list and a
//! part of the descriptors. When the successor reports that it is ready, the predecessor is *draining*: it accepts no new
//! connections, closes each connection with its next answer, and reports the descriptors that become free. If the successor
//! ends before the drain is complete, the predecessor takes everything back and is *serving* again.

use super::predecessor::REPLY_TIMEOUT;
use super::running::RunningInstance;
use super::shared_ids::SharedIds;
use crate::protocol::handover::{LeftResources, PredecessorMessage, SuccessorMessage};
use crate::transport::handover::{HandoverConnection, HandoverListener};
use futures_util::future::{select, Either};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// The interval between reports of free descriptors to the successor.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The delay before the next accept after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// How a drain for a successor ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainEnd {
    /// All connections of this process have ended; only the successor serves.
    Complete,
    /// The successor ended first; this process serves again.
    SuccessorEnded,
}

/// Waits for successors until one of them is ready, then drains while it serves.
pub(super) async fn serve_successors(running: &Rc<RunningInstance>, listener: HandoverListener) -> DrainEnd {
    loop {
        let connection = accept(&listener).await;
        let ids = SharedIds::subscribe(running);
        if let Some(connection) = hand_over_exclusively(running, &listener, connection, &ids).await {
            running.dispatcher.update_phase(|phase, now| phase.hand_over(now));
            running.server.set_accepting(false);
            running.update_quota(|quota| quota.handed_over = true);
            tracing::info!("a successor serves");
            // The successor opens the handover socket for the next one.
            drop(listener);
            return drain_for_successor(running, connection, &ids).await;
        }
        reclaim(running);
    }
}

async fn accept(listener: &HandoverListener) -> HandoverConnection {
    loop {
        match listener.accept().await {
            Ok(connection) => return connection,
            Err(error) => {
                tracing::warn!("accepting a successor's connection failed: {error}");
                actix_rt::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn drain_for_successor(
    running: &RunningInstance,
    connection: HandoverConnection,
    ids: &SharedIds,
) -> DrainEnd {
    let end = report_until_drained(running, connection, ids).await;
    if end == DrainEnd::SuccessorEnded {
        tracing::warn!("the successor has ended, serving again");
        running.dispatcher.update_phase(|phase, _| phase.cancel_hand_over());
        running.server.set_accepting(true);
        reclaim(running);
    }
    end
}

/// Takes back what was given to a successor.
fn reclaim(running: &RunningInstance) {
    running.update_quota(|quota| quota.reclaim());
    running.update_memory_quota(|quota| quota.successor_ended());
    if let Some(member) = running.fleet_member() {
        member.resume_after_failed_upgrade();
    }
}

/// Hands over to one successor and rejects all others in the meantime. Returns the connection once the successor is ready.
async fn hand_over_exclusively(
    running: &RunningInstance,
    listener: &HandoverListener,
    connection: HandoverConnection,
    ids: &SharedIds,
) -> Option<HandoverConnection> {
    let reject_others = pin!(reject_others(listener));
    match select(pin!(hand_over(running, connection, ids)), reject_others).await {
        Either::Left((ready, _)) => ready,
        Either::Right(((), _)) => None,
    }
}

async fn reject_others(listener: &HandoverListener) {
    loop {
        match listener.accept().await {
            Ok(connection) => {
                // Closing a socket with an unread message would discard the reply.
                let _ = timeout(REPLY_TIMEOUT, connection.receive::<SuccessorMessage>()).await;
                reject(connection, "another process takes over already", false).await;
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn reject(mut connection: HandoverConnection, reason: &str, ending: bool) {
    let message = PredecessorMessage::Refused { why: reason.to_owned(), ending };
    // The other process may have ended.
    let _ = timeout(REPLY_TIMEOUT, connection.send(&message)).await;
}

/// Hands over to a successor. Returns the connection once the successor is ready; `None` if the handover failed.
async fn hand_over(
    running: &RunningInstance,
    mut connection: HandoverConnection,
    ids: &SharedIds,
) -> Option<HandoverConnection> {
    let version_is_known = match timeout(REPLY_TIMEOUT, connection.receive::<SuccessorMessage>()).await {
        Ok(Ok(Some((message @ SuccessorMessage::Take { .. }, _)))) => message.is_supported_version(),
        other => {
            tracing::warn!("unexpected message from a successor: {other:?}");
            return None;
        }
    };
    if !version_is_known {
        reject(connection, "this process can't hand over to one of that version", false).await;
        return None;
    }
    let Some(socket) = running.server.listener() else {
        reject(connection, "this process is ending", true).await;
        return None;
    };
    let message = prepare_handover(running, ids);
    match timeout(REPLY_TIMEOUT, connection.send_with_socket(&message, socket)).await {
        Ok(Ok(())) => {}
        _ => return None,
    }
    match connection.receive::<SuccessorMessage>().await {
        Ok(Some((SuccessorMessage::Ready, _))) => Some(connection),
        _ => {
            tracing::warn!("the successor ended before it could serve");
            None
        }
    }
}

/// Shrinks the quotas of this process and builds the handover message for the successor.
fn prepare_handover(running: &RunningInstance, ids: &SharedIds) -> PredecessorMessage {
    running.update_quota(|quota| quota.shrink_for_successor(running.connections()));
    let free = release(running);
    tracing::info!("a successor connected, it gets {} descriptors", free.descriptors);
    tracing::debug!("the successor gets {} bytes of memory", free.memory);
    let handover = running.fleet_member().and_then(|member| member.hand_over());
    let left =
        LeftResources { descriptors: free.descriptors, memory: Some(free.memory), run_once: Some(ids.all()) };
    PredecessorMessage::given(running.endpoint_list(), left, handover)
}

/// What this process leaves to a successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FreeResources {
    descriptors: usize,
    /// In bytes, for the successor's program and its messages.
    memory: usize,
}

/// Gives up the memory that this process has returned to the system, and tells what a successor may use now.
fn release(running: &RunningInstance) -> FreeResources {
    let resident = running.resident_bytes();
    running.update_memory_quota(|quota| quota.keep_for_successor(resident));
    FreeResources {
        descriptors: running.quota().available_to_successor(running.connections()),
        memory: running.memory_quota().available_to_successor(resident),
    }
}

/// Reports free descriptors, memory and ids to the successor as they change, until no connection is open or the successor has ended.
async fn report_until_drained(
    running: &RunningInstance,
    mut connection: HandoverConnection,
    ids: &SharedIds,
) -> DrainEnd {
    if connection.send(&PredecessorMessage::Yours).await.is_err() {
        return DrainEnd::SuccessorEnded;
    }
    let mut reported = FreeResources::default();
    let (mut free, mut released_at) = (release(running), Instant::now());
    while running.server.connections() > 0 {
        if released_at.elapsed() >= REPORT_INTERVAL {
            (free, released_at) = (release(running), Instant::now());
        }
        let run_once = ids.take_changes();
        let has_news = free != reported || !run_once.is_empty();
        let FreeResources { descriptors, memory } = free;
        let message = PredecessorMessage::Left { descriptors, memory: Some(memory), run_once };
        if has_news && connection.send(&message).await.is_err() {
            return DrainEnd::SuccessorEnded;
        }
        reported = free;
        if wait_for_news(&connection, ids).await == Some(DrainEnd::SuccessorEnded) {
            return DrainEnd::SuccessorEnded;
        }
    }
    DrainEnd::Complete
}

/// Waits until there are ids to report or the next report is due. Returns the end of the successor, if it has ended.
async fn wait_for_news(connection: &HandoverConnection, ids: &SharedIds) -> Option<DrainEnd> {
    let (received, changed) = (pin!(connection.receive::<SuccessorMessage>()), pin!(ids.changed()));
    match timeout(REPORT_INTERVAL, select(received, changed)).await {
        Ok(Either::Left((Ok(Some((message, _))), _))) => {
            if let SuccessorMessage::RunOnce { ids: told } = message {
                ids.apply(&told);
            }
            None
        }
        Ok(Either::Left((Ok(None) | Err(_), _))) => Some(DrainEnd::SuccessorEnded),
        Ok(Either::Right(_)) | Err(_) => None,
    }
}
