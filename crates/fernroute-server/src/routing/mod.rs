//! The stages of an RPC: receive, admit, route, send, relay, complete. All balancing decisions are made by the
//! `fernroute` library.

pub mod admit;
pub mod clock;
pub mod completion;
pub mod counters;
pub mod dispatcher;
mod endpoint_list;
pub mod phase;
mod read_body;
pub mod receive;
pub mod relay;
pub mod route;
pub mod run_once_ids;
pub mod send;
pub mod timers;
pub mod upload;
