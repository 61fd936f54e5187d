//! The orderly end of a balancer.

use crate::routing::switchboard::Switchboard;
use crate::transport::server::Server;
use futures_util::future::select;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// For so long clients may still be sent here after it stopped to be ready.
const NOTICE: Duration = Duration::from_millis(500);

/// A balancer is killed no sooner than the longest deadline, of this at most, and 0.7 s more after it was told to
/// stop; two tenths are left for a busy machine.
const LONGEST: Duration = Duration::from_secs(3);
const LAST: Duration = Duration::from_millis(500);

/// Callers are kept as long as there is this much time for their RPCs: few take longer.
const ROOM: Duration = Duration::from_millis(1800);

/// Ends when the program is told to stop.
pub fn signals() -> Result<impl Future<Output = ()>, String> {
    let trouble = |e| format!("signals: {e}");
    let mut term = signal(SignalKind::terminate()).map_err(trouble)?;
    let mut int = signal(SignalKind::interrupt()).map_err(trouble)?;
    Ok(async move {
        select(pin!(term.recv()), pin!(int.recv())).await;
    })
}

/// Not ready any more; serves on while clients still come and those that are here may be served, then ends each
/// connection with its answer. Guards against clients with nowhere to go, as when the balancer that was restarted
/// before this one is not back yet, and against an RPC that is open when the balancer is killed.
pub async fn leave(board: &Rc<Switchboard>, server: &Server) {
    log::info!("told to stop");
    board.leaving.set(true);
    let last = board.longest_deadline.min(LONGEST) + LAST;
    let notice = last.saturating_sub(ROOM).max(NOTICE);
    actix_rt::time::sleep(notice).await;
    board.last_answers.set(true);
    let mut end = pin!(server.end());
    if actix_rt::time::timeout(last.saturating_sub(notice), &mut end).await.is_err() {
        board.error_all();
        end.await;
    }
}
