//! The operators' interface: readiness, metrics, drain and resume.

use super::start_error::StartError;
use crate::protocol::ops::{Call, Reply};
use crate::routing::dispatcher::Dispatcher;
use crate::routing::phase::Closing;
use crate::transport::ops_server;
use crate::transport::server::Server;
use actix_http::StatusCode;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Listens for operators and returns the address with the actual port.
///
/// # Errors
/// When listening on the address fails.
pub async fn open(
    address: SocketAddr,
    dispatcher: &Rc<Dispatcher>,
    server: &Rc<Server>,
) -> Result<SocketAddr, StartError> {
    let listen_error = |source| StartError::OpsListen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let local_address = listener.local_addr().map_err(listen_error)?;
    let (dispatcher, server) = (Rc::clone(dispatcher), Rc::clone(server));
    actix_rt::spawn(ops_server::run(listener, move |call| reply(&dispatcher, &server, call)));
    Ok(local_address)
}

fn reply(dispatcher: &Dispatcher, server: &Server, call: Call) -> Reply {
    match call {
        Call::Ready if dispatcher.is_ready() => Reply::plain(StatusCode::OK, "ready"),
        Call::Ready => Reply::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        Call::Metrics => Reply::metrics(&dispatcher.metrics()),
        Call::Drain => drain(dispatcher),
        Call::Resume => resume(dispatcher, server),
    }
}

fn drain(dispatcher: &Dispatcher) -> Reply {
    if dispatcher.update_phase(|phase, now| phase.drain(now)) {
        tracing::info!("draining on an operator's request");
    }
    Reply::plain(StatusCode::OK, "draining")
}

/// Ends a drain, but not one for a shutdown or an upgrade.
fn resume(dispatcher: &Dispatcher, server: &Server) -> Reply {
    if dispatcher.update_phase(|phase, _| phase.resume()) {
        tracing::info!("drain ended on an operator's request");
        // Swept now, since a caller may connect before the next sweep.
        server.sweep(dispatcher.closing() >= Closing::Idle);
    }
    let phase = dispatcher.phase.get();
    if phase.is_shutting_down() || phase.is_handing_over() {
        return Reply::plain(StatusCode::CONFLICT, "told to stop, or a successor serves");
    }
    Reply::plain(StatusCode::OK, "serving")
}
