//! Starting, running and stopping the program.

pub mod commands;
pub mod configuration;
mod duties;
pub mod fleet;
pub mod kept;
pub mod log;
pub mod ops;
pub mod reload;
pub mod running;
pub mod serve;
pub mod share;
pub mod shutdown;
pub mod station;
pub mod stewards;
pub mod upgrade;
