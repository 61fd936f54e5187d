//! Bytes and connections: the server towards callers, the client towards upstreams, the watch on discovery.

pub mod client;
pub mod discovery;
mod framing;
pub mod inbound;
pub mod outbound;
pub mod server;
