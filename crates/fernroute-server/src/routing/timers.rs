//! The one queue of timers: the decisions' own, and the ends of transmissions.

use super::clock;
use fernroute::{Time, Timer};
use futures_util::Stream;
use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use tokio_util::time::{delay_queue::Key, DelayQueue};

#[derive(Debug)]
pub enum Due {
    /// A timer of the decisions.
    Decision(Timer),
    /// A transmission has had its time.
    Transmission { rpc: Rc<str>, tx: usize },
}

/// Emptied as timers come due, and of a transmission's when it ends.
#[derive(Debug, Default)]
pub struct Timers(RefCell<DelayQueue<Due>>);

impl Timers {
    pub fn set(&self, after: Time, due: Due) -> Key {
        self.0.borrow_mut().insert(due, clock::duration(after))
    }

    /// How many are set and have not come due.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// For one that has not come due.
    pub fn drop(&self, key: &Key) {
        self.0.borrow_mut().try_remove(key);
    }

    pub async fn next(&self) -> Due {
        poll_fn(|cx| match Pin::new(&mut *self.0.borrow_mut()).poll_next(cx) {
            std::task::Poll::Ready(Some(expired)) => std::task::Poll::Ready(expired.into_inner()),
            // Empty or not yet: the queue wakes this task when a timer is set or comes due.
            _ => std::task::Poll::Pending,
        })
        .await
    }
}
