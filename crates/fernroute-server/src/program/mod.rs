//! The `fernroute` program: its command line, and the start, reload, upgrade and shutdown of a balancer process.

pub mod commands;
pub mod configuration;
pub mod configuration_cache;
pub mod coordinators;
pub mod descriptor_quota;
mod duties;
pub mod fleet;
mod identity;
pub mod instance;
pub mod log;
pub mod memory_quota;
pub mod ops;
mod predecessor;
mod process_memory;
mod random;
pub mod reload;
pub mod running;
pub mod serve;
mod shared_ids;
pub mod shutdown;
mod start_error;
mod successor;
pub mod upgrade;
