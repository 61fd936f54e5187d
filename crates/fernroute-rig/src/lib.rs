//! What tests and the laboratory need of several real processes on loopback: the processes themselves and what may
//! happen to them (`process`), stand-ins for whoever talks to them (`stand_in`, `caller`), and links between them that
//! go wrong (`link`). Everything listens on port 0 of the loopback address and is a task of a `tokio` `LocalSet`.
//!
//! Wait for states, not for times: [`until`] looks until something is so, and whoever runs a test ends it in time.

pub mod caller;
pub mod http;
pub mod link;
pub mod process;
pub mod stand_in;

use std::time::Duration;

/// Comes true, or never returns: the caller bounds the time of the whole.
pub async fn until(mut what: impl FnMut() -> bool) {
    while !what() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
