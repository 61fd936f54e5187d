//! The orderly end of a balancer.

use crate::routing::switchboard::Switchboard;
use crate::transport::server::Server;
use futures_util::future::select;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// For so long clients may still be sent here after it stopped to be ready.
const NOTICE: Duration = Duration::from_millis(500);

/// Ends when the program is told to stop.
pub fn signals() -> Result<impl Future<Output = ()>, String> {
    let trouble = |e| format!("signals: {e}");
    let mut term = signal(SignalKind::terminate()).map_err(trouble)?;
    let mut int = signal(SignalKind::interrupt()).map_err(trouble)?;
    Ok(async move {
        select(pin!(term.recv()), pin!(int.recv())).await;
    })
}

/// Not ready any more; serves on while clients still come, then ends each connection with its answer.
pub async fn leave(board: &Switchboard, server: &Server) {
    log::info!("told to stop");
    board.leaving.set(true);
    actix_rt::time::sleep(NOTICE).await;
    board.last_answers.set(true);
    server.end().await;
}
