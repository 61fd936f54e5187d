//! fernroute: the decisions of a load balancer for services that call services.
//!
//! [`Balancer`] holds every decision; it acts through the [`Host`] that it is handed at start.

pub mod agreed;
pub mod decide;
pub mod desk;
pub mod host;
mod records;

pub use decide::Balancer;
pub use host::{BadTerm, Host, Outcome, Terms, Time};
pub use records::{FURTHER, TRIALS};
