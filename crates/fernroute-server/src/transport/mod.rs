//! Bytes and connections: the server towards callers, the client towards upstreams, the watch on discovery.

pub mod client;
pub mod discovery;
mod framing;
pub mod handover;
pub mod inbound;
pub mod ops_server;
pub mod outbound;
pub mod server;
pub mod upstream_connections;

use rustix::io::Errno;
use rustix::net::RecvFlags;

/// What lies in a socket: so many bytes, none where the other side has ended it, or nothing yet. Asked of the machine itself:
/// the event that tells of it may come a turn later.
pub(crate) fn peek(stream: &actix_rt::net::TcpStream) -> Result<usize, Errno> {
    rustix::net::recv(stream, &mut [0; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT).map(|(_, bytes)| bytes)
}

/// Small messages leave at once, where the machine grants it. A refusal costs some milliseconds, and is no reason to
/// end a connection that may carry an RPC already.
pub(crate) fn without_delay(stream: &actix_rt::net::TcpStream) {
    if let Err(why) = stream.set_nodelay(true) {
        tracing::debug!("no delay: {why}");
    }
}
