//! Decodes messages into typed values and encodes them. Only this layer knows the names used on the wire.

pub mod answer;
pub mod handover;
pub mod list;
pub mod load;
pub mod names;
pub mod ops;
pub mod request;
pub mod settings;
