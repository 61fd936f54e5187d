//! The decisions of a load balancer for services that call services, without I/O and without a clock.
//!
//! A program reports events to a [`Balancer`], one method for each kind of event, with the time; the balancer acts through the
//! [`Host`] that it was given. The same calls with the same seed lead to the same actions. To use it with another protocol,
//! implement [`Host`], or use [`action_queue::ActionQueue`].
//!
//! - `balancer` connects the other modules and picks the upstream of each attempt.
//! - `upstream_table`, `upstream`, `circuit_breaker`: what is known of each upstream, and whether it is ejected.
//! - `endpoint_watch`: how the balancer follows the endpoint list.
//! - `hash_ring`, `slow_start`, `load_reports`, `send_rate`: which upstreams an RPC may go to, and how much each of them may get.
//! - `rpcs`, `attempts`, `budgets`, `latency`: open RPCs, their attempts, retries and time-outs.
//! - `admission`: which RPCs are shed under overload.
//! - [`settings`]: the settings, parsed and validated.
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
