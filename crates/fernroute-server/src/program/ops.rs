//! What operators' calls do.

use crate::protocol::ops::{Call, Reply};
use crate::routing::phase::Closing;
use crate::routing::switchboard::Switchboard;
use crate::transport::door;
use crate::transport::server::Server;
use actix_http::StatusCode;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Opens the door; returns where it is.
pub async fn open(
    at: SocketAddr,
    board: &Rc<Switchboard>,
    server: &Rc<Server>,
) -> Result<SocketAddr, String> {
    let trouble = |e| format!("operators' door at {at}: {e}");
    let listener = TcpListener::bind(at).await.map_err(trouble)?;
    let address = listener.local_addr().map_err(trouble)?;
    let (board, server) = (Rc::clone(board), Rc::clone(server));
    actix_rt::spawn(door::run(listener, move |call| answer(&board, &server, call)));
    Ok(address)
}

fn answer(board: &Rc<Switchboard>, server: &Server, call: Call) -> Reply {
    match call {
        Call::Ready if board.is_ready() => Reply::plain(StatusCode::OK, "ready"),
        Call::Ready => Reply::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        Call::Metrics => Reply::figures(&board.figures()),
        Call::Drain => {
            if board.phase_change(|phase, now| phase.drain(now)) {
                tracing::info!("told to drain");
            }
            Reply::plain(StatusCode::OK, "draining")
        }
        Call::Resume => {
            if board.phase_change(|phase, _| phase.resume()) {
                tracing::info!("told to resume");
                // At once, also for who comes before connections are looked over again.
                server.sweep(board.closing() >= Closing::Idle);
            }
            let phase = board.phase.get();
            if phase.is_leaving() || phase.is_handing_over() {
                return Reply::plain(StatusCode::CONFLICT, "told to stop, or a successor serves");
            }
            Reply::plain(StatusCode::OK, "serving")
        }
    }
}
