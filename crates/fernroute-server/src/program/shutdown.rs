//! Graceful shutdown: the process is *draining* from SIGTERM or SIGINT to its end. The times of the stages are those of
//! `routing/phase.rs`.

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

/// How often the stage is checked; its times are exact to a twentieth of a second.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handles SIGTERM and SIGINT from now on; the future ends at the first of either.
///
/// # Errors
/// When the system refuses a handler.
pub fn signals() -> Result<impl Future<Output = ()>, StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signals)?;
    Ok(async move {
        select(pin!(terminate.recv()), pin!(interrupt.recv())).await;
    })
}

/// Drains and ends the server. The balancer is not ready any more; it serves on while callers still connect and their
/// requests may be answered, then closes each connection with its answer. Guards against a request that is open when the
/// process is killed.
pub async fn shut_down(board: &Rc<Dispatcher>, server: &Server) {
    tracing::info!("told to stop");
    board.update_phase(|phase, now| phase.shut_down(now));
    while !may_close_all(board, server) {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let mut end = pin!(server.shut_down());
    let last_moment = pin!(wait_for_stage(board, Closing::OpenRpcs));
    if let Either::Right(_) = select(&mut end, last_moment).await {
        board.fail_all();
        end.await;
    }
}

/// Beside a successor no new caller connects to this process: it need not wait once all have gone.
fn may_close_all(board: &Dispatcher, server: &Server) -> bool {
    board.closing() >= Closing::Idle || board.phase.get().is_handing_over() && server.connections() == 0
}

async fn wait_for_stage(board: &Dispatcher, stage: Closing) {
    while board.closing() < stage {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
