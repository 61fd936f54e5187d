//! Starting, running and stopping the program.

pub mod commands;
pub mod fleet;
pub mod log;
pub mod ops;
pub mod reload;
pub mod serve;
pub mod share;
pub mod shutdown;
pub mod station;
pub mod upgrade;
