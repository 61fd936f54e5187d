//! What tests and the laboratory need of several real processes on loopback: the processes themselves and what may
//! happen to them (`process`), stand-ins for whoever talks to them (`stub`, `caller`), and links between them that
//! go wrong (`link`). Everything listens on port 0 of the loopback address and is a task of a `tokio` `LocalSet`.
//!
//! Wait for states, not for times: [`until`] looks until something is so, and whoever runs a test ends it in time.

pub mod caller;
pub mod http;
pub mod link;
pub mod process;
pub mod stub;

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// Comes true, or never returns: the caller bounds the time of the whole.
pub async fn wait_until(mut what: impl FnMut() -> bool) {
    while !what() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Bytes and messages of HTTP that went over some connections, both ways together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub bytes: u64,
    pub messages: u64,
}

impl Add for Traffic {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Traffic { bytes: self.bytes + other.bytes, messages: self.messages + other.messages }
    }
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// Since an earlier count.
impl Sub for Traffic {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Traffic {
            bytes: self.bytes.saturating_sub(earlier.bytes),
            messages: self.messages.saturating_sub(earlier.messages),
        }
    }
}
