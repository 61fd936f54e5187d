//! The stages of an RPC: taken in, admitted, routed, sent, relayed, booked. No stage decides anything.

pub mod admit;
pub mod book;
pub mod clock;
pub mod phase;
pub mod relay;
pub mod route;
pub mod send;
pub mod switchboard;
pub mod take_in;
pub mod tally;
pub mod timers;
pub mod upload;
pub mod windows;
