//! The decisions of a load balancer for services that call services, without I/O and without a clock.
//!
//! A program tells a [`Balancer`] what happened, with the time, by one method for each event; the balancer acts through the
//! [`Host`] that it was given. The same calls with the same seed lead to the same actions. To use it for another protocol,
//! implement [`Host`], or take the [`action_queue::ActionQueue`].
//!
//! - `balancer` wires the other modules; it draws the upstream of each attempt.
//! - `upstream_table`, `upstream`, `circuit_breaker`: what is known of each upstream, and whether it is in use.
//! - `endpoint_watch`: how the balancer follows the endpoint list.
//! - `hash_ring`, `slow_start`, `load_reports`, `send_rate`: which upstreams an RPC may go to, and how much each may get.
//! - `rpcs`, `attempts`, `budgets`, `latency`: open RPCs, their attempts, retries and time-outs.
//! - `admission`: which RPCs are shed under overload.
//! - [`settings`]: the settings, read and checked.
#![warn(missing_docs, clippy::unwrap_used, clippy::expect_used)]

pub mod action_queue;
mod admission;
mod attempts;
mod balancer;
mod budgets;
mod circuit_breaker;
mod endpoint_watch;
mod hash_ring;
pub mod host;
mod latency;
mod load_reports;
mod rpcs;
mod send_rate;
pub mod settings;
mod slow_start;
mod statistics;
mod upstream;
mod upstream_table;

pub use balancer::Balancer;
pub use budgets::{RETRY_BUDGET, TRIAL_BUDGET};
pub use host::{Host, InvalidSetting, Outcome, Settings, Time, Timer};
