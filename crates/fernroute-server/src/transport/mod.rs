//! Bytes and connections: the server towards callers, the client towards upstreams, the watch on discovery.

pub mod client;
pub mod discovery;
pub mod door;
mod framing;
pub mod handover;
pub mod inbound;
pub mod outbound;
pub mod server;

/// Small messages leave at once, where the machine grants it. A refusal costs some milliseconds, and is no reason to
/// end a connection that may carry an RPC already.
pub(crate) fn without_delay(stream: &actix_rt::net::TcpStream) {
    if let Err(why) = stream.set_nodelay(true) {
        tracing::debug!("no delay: {why}");
    }
}
