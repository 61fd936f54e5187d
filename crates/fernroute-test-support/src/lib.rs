//! Support for tests and the testbed that run several processes on loopback: process control (`process`), stub servers
//! and callers (`stub`, `caller`), and fault injection on the connections between them (`link`). The stubs and links
//! listen on port 0 of the loopback address and run as tasks of a `tokio` `LocalSet`.
//!
//! Tests wait for conditions, not for fixed times: [`wait_until`] polls a condition, and the test runner sets the time-out.

pub mod caller;
pub mod http;
pub mod link;
pub mod process;
pub mod stub;

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// Polls until the condition holds. Without a time-out of its own: the caller sets one.
pub async fn wait_until(mut what: impl FnMut() -> bool) {
    while !what() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// HTTP bytes and messages on a set of connections, both directions added up.
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

/// The traffic since an earlier count.
impl Sub for Traffic {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Traffic {
            bytes: self.bytes.saturating_sub(earlier.bytes),
            messages: self.messages.saturating_sub(earlier.messages),
        }
    }
}
