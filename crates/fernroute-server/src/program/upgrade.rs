//! Upgrade: a new process of the balancer takes over from its predecessor without refusing connections.
//!
//! The new process is *waiting* after its start. It requests the listening socket, receives it with the endpoint list and a
//! part of the descriptors, reports when it is ready, and is *serving* from then on. The predecessor *hands over* and then
//! *drains*: it accepts no new connections, closes each connection with its next answer, reports the descriptors that become
//! free, and ends. After any failure both continue: the new process opens its own listening socket, and the predecessor takes
//! back what it handed over.

use super::configuration::ConfigurationTask;
use super::predecessor::{Predecessor, ServingPredecessor};
use super::running::RunningInstance;
use super::shared_ids::SharedIds;
use super::start_error::StartError;
use super::successor::{serve_successors, DrainEnd};
use crate::protocol::handover::{PredecessorMessage, SuccessorMessage};
use crate::transport::handover::{HandoverConnection, HandoverListener};
use futures_util::future::{join, select, Either};
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::Notify;

/// How long a new process that received no endpoint list from a predecessor waits for discovery before it serves with the
/// list in its file.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// The polling interval while waiting for the endpoint list.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why no successor can connect.
#[derive(Debug, Error)]
enum HandoverSocketError {
    #[error(transparent)]
    Path(#[from] StartError),
    #[error("{}: {source}", .path.display())]
    Open { path: PathBuf, source: io::Error },
}

/// The task: takes over from the predecessor, if there is one, then waits for a successor until the program ends. Returns once
/// a successor has taken over.
///
/// # Errors
/// When listening for callers fails.
pub async fn run(
    running: Rc<RunningInstance>,
    predecessor: Predecessor,
    configuration: Option<Rc<ConfigurationTask>>,
) -> Result<(), StartError> {
    // What prevented a handover from the predecessor also prevents one to a successor, and has been logged as a warning.
    let is_cause_logged = matches!(predecessor, Predecessor::Unresponsive);
    start_serving(&running, predecessor, configuration).await?;
    if let Err(error) = hand_over_to_successor(&running).await {
        if is_cause_logged {
            tracing::info!("no handover to a successor is possible: {error}");
        } else {
            tracing::warn!("no handover to a successor is possible: {error}");
        }
        return std::future::pending().await;
    }
    tracing::info!("a successor has taken over");
    Ok(())
}

/// Moves this process from *waiting* to *serving*. It waits for the fleet's configuration at the same time as for everything
/// else, and no longer than configured.
async fn start_serving(
    running: &Rc<RunningInstance>,
    predecessor: Predecessor,
    configuration: Option<Rc<ConfigurationTask>>,
) -> Result<(), StartError> {
    let has_configuration = configuration.is_some();
    let configuration_current = async {
        if let Some(configuration) = &configuration {
            configuration.wait_until_current().await;
        }
    };
    match predecessor {
        Predecessor::Absent if !has_configuration => Ok(()),
        Predecessor::Absent => {
            configuration_current.await;
            start_serving_unless_stopping(running).await
        }
        Predecessor::Unresponsive => {
            join(configuration_current, wait_for_discovery(running)).await;
            start_serving_unless_stopping(running).await
        }
        Predecessor::Serving(serving) => take_over(running, *serving, configuration_current).await,
    }
}

/// Starts to serve, except in a process that is shutting down already.
async fn start_serving_unless_stopping(running: &RunningInstance) -> Result<(), StartError> {
    if running.dispatcher.phase.get().is_shutting_down() {
        return std::future::pending().await;
    }
    running.start_serving()
}

/// Waits for discovery's endpoint list, since the one in the file may be out of date, and the predecessor may know of
/// upstreams that drain.
async fn wait_for_discovery(running: &RunningInstance) {
    let started_at = Instant::now();
    while !running.dispatcher.discovery_answered.get() && started_at.elapsed() < DISCOVERY_TIMEOUT {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Takes over from a predecessor that serves. Returns once the next successor may connect to this process.
async fn take_over(
    running: &Rc<RunningInstance>,
    predecessor: ServingPredecessor,
    configuration_current: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let mut ids = SharedIds::subscribe(running);
    ids.can_send = predecessor.run_once.is_some();
    ids.apply(&predecessor.run_once.unwrap_or_default());
    let mut connection = predecessor.connection;
    let descriptors = running.quota().assigned;
    tracing::info!("taking over from the process that serves, {descriptors} descriptors at the start");
    wait_until_prepared(running, &connection, configuration_current).await;
    if running.dispatcher.phase.get().is_shutting_down() {
        return std::future::pending().await;
    }
    // Sent before this process accepts connections. A failure means that the predecessor has ended.
    let sent = connection.send(&SuccessorMessage::Ready).await;
    start_serving_unless_stopping(running).await?;
    if sent.is_err() {
        reclaim_from_predecessor(running);
        return Ok(());
    }
    let may_hand_over = Rc::new(Notify::new());
    actix_rt::spawn(follow_predecessor(Rc::clone(running), connection, ids, Rc::clone(&may_hand_over)));
    may_hand_over.notified().await;
    Ok(())
}

/// Waits for the configuration and the first upstream. Returns at once if the predecessor ends, since nobody would accept
/// from the listening socket then.
async fn wait_until_prepared(
    running: &RunningInstance,
    connection: &HandoverConnection,
    configuration_current: impl Future<Output = ()>,
) {
    let prepared = pin!(async {
        configuration_current.await;
        while running.dispatcher.upstreams.borrow().is_empty() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    });
    if let Either::Right((message, _)) =
        select(prepared, pin!(connection.receive::<PredecessorMessage>())).await
    {
        tracing::warn!("the old process ended the handover early: {message:?}");
    }
}

/// Follows the predecessor's drain until that process ends.
async fn follow_predecessor(
    running: Rc<RunningInstance>,
    mut connection: HandoverConnection,
    ids: SharedIds,
    may_hand_over: Rc<Notify>,
) {
    loop {
        let received = match select(pin!(connection.receive()), pin!(ids.changed())).await {
            Either::Left((received, _)) => Some(received),
            Either::Right(((), _)) => None,
        };
        let Some(received) = received else {
            // A process that has ended is seen at the next message.
            let _ = connection.send(&SuccessorMessage::RunOnce { ids: ids.take_changes() }).await;
            continue;
        };
        let Ok(Some((message, _))) = received else { break };
        match message {
            PredecessorMessage::Left { descriptors, memory, run_once } => {
                ids.apply(&run_once);
                running.update_quota(|quota| quota.assigned = descriptors);
                let share = running.quota().memory(running.memory_quota().total());
                running.update_memory_quota(|quota| quota.set_told(memory, share));
            }
            PredecessorMessage::Yours => may_hand_over.notify_one(),
            other => tracing::warn!("unexpected message from the old process: {other:?}"),
        }
    }
    tracing::info!("the old process has ended");
    reclaim_from_predecessor(&running);
    may_hand_over.notify_one();
}

/// Takes over the descriptors, the memory and the part of the fleet's budgets of a predecessor that has ended.
fn reclaim_from_predecessor(running: &RunningInstance) {
    running.update_quota(|quota| quota.reclaim());
    running.update_memory_quota(|quota| quota.predecessor_ended());
    if let Some(member) = running.fleet_member() {
        member.predecessor_ended();
    }
}

/// Waits until a successor has taken over. Opens the handover socket again after each successor that failed.
async fn hand_over_to_successor(running: &Rc<RunningInstance>) -> Result<(), HandoverSocketError> {
    loop {
        let path = running.handover_path()?;
        let listener = match HandoverListener::open(&path).await {
            Ok(listener) => listener,
            Err(source) => return Err(HandoverSocketError::Open { path, source }),
        };
        if serve_successors(running, listener).await == DrainEnd::Complete {
            return Ok(());
        }
    }
}
