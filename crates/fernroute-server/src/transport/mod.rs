//! Bytes and connections: the server towards callers, the client towards upstreams, the watch on discovery.

pub mod client;
pub mod discovery;
pub mod inbound;
pub mod outbound;
pub mod server;
