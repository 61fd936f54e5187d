//! The balancer server, by layer: `memory` bounds what messages hold, `transport` handles connections, `protocol` decodes and encodes messages, `routing`
//! takes each RPC through its stages and applies the decisions of the `fernroute` library, `program` starts and stops
//! the process.

pub mod memory;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
