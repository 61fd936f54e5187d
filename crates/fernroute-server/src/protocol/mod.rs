//! What the messages mean. Each is decoded into a small typed value once, and encoded once; the names that
//! stand on the wire are known in this layer alone.

pub mod answer;
pub mod handover;
pub mod list;
pub mod load;
pub mod names;
pub mod ops;
pub mod request;
pub mod terms;
