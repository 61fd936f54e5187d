//! The balancer on sockets, by layer: `transport` moves bytes, `protocol` gives them meaning, `routing` takes
//! each RPC through its stages before the decisions of the `fernroute` library, `program` starts and stops it.

pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
