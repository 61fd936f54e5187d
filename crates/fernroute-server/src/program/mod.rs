//! Starting, running and stopping the program.

pub mod commands;
pub mod configuration;
pub mod configuration_cache;
pub mod coordinators;
pub mod descriptor_quota;
mod duties;
pub mod fleet;
pub mod instance;
pub mod log;
pub mod ops;
pub mod reload;
pub mod running;
pub mod serve;
pub mod shutdown;
pub mod upgrade;
