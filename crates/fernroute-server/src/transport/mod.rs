//! Sockets and HTTP connections: the server for callers, the client for upstreams, the watch on discovery, the operators'
//! server and the handover socket.

pub mod client;
pub mod discovery;
mod framing;
pub mod handover;
pub mod head_boundary;
pub mod inbound;
mod inbound_stream;
pub mod input_gate;
pub mod ops_server;
pub mod outbound;
pub mod presence;
mod read_ahead;
pub mod server;
pub mod upstream_connections;

use rustix::io::Errno;
use rustix::net::RecvFlags;

/// Number of bytes readable without blocking (0 or 1): 0 if the peer has closed its side, `EAGAIN` if nothing has arrived.
/// Asks the kernel directly, because the runtime's readiness event may arrive one event-loop turn later.
pub(crate) fn peek(stream: &actix_rt::net::TcpStream) -> Result<usize, Errno> {
    rustix::net::recv(stream, &mut [0; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT).map(|(_, bytes)| bytes)
}

/// Sets `TCP_NODELAY`. A failure is only logged: it costs some milliseconds of latency and is no reason to close a
/// connection that may already carry an RPC.
pub(crate) fn set_nodelay(stream: &actix_rt::net::TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("cannot set TCP_NODELAY: {error}");
    }
}
