//! The orderly end of a balancer; its times stand with the other ways out of service, in `routing/phase.rs`.

use crate::routing::phase::Closing;
use crate::routing::switchboard::Switchboard;
use crate::transport::server::Server;
use futures_util::future::select;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// How often the phase is looked at: its times are to a twentieth of a second.
const LOOK: Duration = Duration::from_millis(20);

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
/// connection with its answer. Guards against an RPC that is open when the balancer is killed.
pub async fn leave(board: &Rc<Switchboard>, server: &Server) {
    tracing::info!("told to stop");
    board.phase_change(|phase, now| phase.leave(now));
    // Whoever comes where a successor serves is its own: nothing is left to wait for once nobody is here.
    while board.closing() < Closing::Idle
        && !(board.phase.get().is_handing_over() && server.connections() == 0)
    {
        actix_rt::time::sleep(LOOK).await;
    }
    let mut end = pin!(server.end());
    let errored = async {
        while board.closing() < Closing::Open {
            actix_rt::time::sleep(LOOK).await;
        }
    };
    if let futures_util::future::Either::Right(_) = select(&mut end, pin!(errored)).await {
        board.error_all();
        end.await;
    }
}
