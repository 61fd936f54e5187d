//! Graceful shutdown: the process is *draining* from SIGTERM or SIGINT until it ends. The durations of the stages are defined
//! in `routing/phase.rs`.

use super::start_error::StartError;
use crate::routing::dispatcher::Dispatcher;
use crate::routing::phase::Closing;
use crate::transport::server::Server;
use futures_util::future::{select, Either};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// How often the stage is checked. The durations of the stages are exact to a twentieth of a second.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Installs handlers for SIGTERM and SIGINT; the future ends at the first signal.
///
/// # Errors
/// When a handler can't be installed.
pub fn signals() -> Result<impl Future<Output = ()>, StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signals)?;
    Ok(async move {
        select(pin!(terminate.recv()), pin!(interrupt.recv())).await;
    })
}

/// Drains and ends the server. The balancer is not ready from here on. It continues to serve while callers still connect and
/// their RPCs can be answered in time, then closes each connection with its answer, so that no RPC is still open
/// when the process is killed.
pub async fn shut_down(dispatcher: &Rc<Dispatcher>, server: &Server) {
    tracing::info!("shutting down");
    dispatcher.update_phase(|phase, now| phase.shut_down(now));
    while !may_close_all(dispatcher, server) {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let mut end = pin!(server.shut_down());
    let deadline = pin!(wait_for_stage(dispatcher, Closing::OpenRpcs));
    if let Either::Right(_) = select(&mut end, deadline).await {
        dispatcher.fail_all();
        end.await;
    }
}

/// Whether connections may be closed. No new caller connects to this process once a successor serves, so that it need not
/// wait after the last connection has ended.
fn may_close_all(dispatcher: &Dispatcher, server: &Server) -> bool {
    dispatcher.closing() >= Closing::Idle
        || dispatcher.phase.get().is_handing_over() && server.connections() == 0
}

async fn wait_for_stage(dispatcher: &Dispatcher, stage: Closing) {
    while dispatcher.closing() < stage {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
