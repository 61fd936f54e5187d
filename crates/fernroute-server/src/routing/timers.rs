//! The queue of all timers: those of the balancer and the attempt timeouts.

use super::clock;
use fernroute::{Time, Timer};
use futures_util::Stream;
use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use tokio_util::time::{delay_queue::Key, DelayQueue};

#[derive(Debug)]
pub enum TimerEvent {
    /// A timer of the balancer.
    Balancer(Timer),
    /// An attempt has timed out.
    AttemptTimeout { rpc: Rc<str>, number: usize },
}

/// Timers are removed as they expire, and an attempt's timer when the attempt ends.
#[derive(Debug, Default)]
pub struct Timers(RefCell<DelayQueue<TimerEvent>>);

impl Timers {
    pub fn set(&self, after: Time, event: TimerEvent) -> Key {
        self.0.borrow_mut().insert(event, clock::duration(after))
    }

    /// The number of timers that have not expired.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }

    /// The timer must not have expired: the key of an expired timer may be reused.
    pub fn cancel(&self, key: &Key) {
        self.0.borrow_mut().try_remove(key);
    }

    pub async fn next(&self) -> TimerEvent {
        poll_fn(|cx| match Pin::new(&mut *self.0.borrow_mut()).poll_next(cx) {
            std::task::Poll::Ready(Some(expired)) => std::task::Poll::Ready(expired.into_inner()),
            // Empty or none expired yet: the queue wakes this task when a timer is set or expires.
            _ => std::task::Poll::Pending,
        })
        .await
    }
}
