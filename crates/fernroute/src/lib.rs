//! fernroute: the decisions of a load balancer for services that call services.
//!
//! [`Balancer`] holds every decision; it acts through the [`Host`] that it is handed at start.

pub mod action_queue;
pub mod decide;
pub mod host;
mod records;
pub mod settings;

pub use decide::Balancer;
pub use host::{Host, InvalidSetting, Outcome, Settings, Time, Timer};
pub use records::{RETRY_BUDGET, TRIAL_BUDGET};
