//! fernroute: the decisions of a load balancer for services that call services.
//!
//! [`Balancer`] holds every decision; it acts through the [`Host`] that it is handed at start.

pub mod action_queue;
mod admission;
mod attempts;
mod budgets;
mod circuit_breaker;
pub mod decide;
mod endpoint_watch;
mod hash_ring;
pub mod host;
mod latency;
mod load_reports;
mod requests;
mod send_rate;
pub mod settings;
mod slow_start;
mod statistics;
mod upstream;
mod upstream_table;

pub use budgets::{RETRY_BUDGET, TRIAL_BUDGET};
pub use decide::Balancer;
pub use host::{Host, InvalidSetting, Outcome, Settings, Time, Timer};
