//! A [`Host`] that queues the actions of a balancer. The program executes them after the balancer has returned, so that no action
//! calls back into the balancer while it handles an event.

use crate::host::{Host, Time, Timer};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// A call of [`Host`] that is to be executed.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// [`Host::start_attempt`]
    StartAttempt {
        /// The RPC's id.
        rpc: Rc<str>,
        /// The upstream's id.
        upstream: Rc<str>,
        /// The time-out of the attempt.
        timeout: Time,
        /// The time by which the last byte must have left; none for no limit.
        write_deadline: Option<Time>,
    },
    /// [`Host::cancel_attempt`]
    CancelAttempt {
        /// The RPC's id.
        rpc: Rc<str>,
        /// The attempt's number.
        attempt: usize,
    },
    /// [`Host::reject`]
    Reject {
        /// The RPC's id.
        rpc: Rc<str>,
        /// The time after which the caller may retry; 0 for no advice.
        retry_after: Time,
    },
    /// [`Host::fail`]
    Fail {
        /// The RPC's id.
        rpc: Rc<str>,
    },
    /// [`Host::set_timer`]
    SetTimer {
        /// The time from now until it is due.
        after: Time,
        /// What it is for.
        timer: Timer,
    },
    /// [`Host::watch_endpoints`]
    WatchEndpoints,
    /// [`Host::log`]
    Log(String),
}

/// The actions that have not been executed, in order. Clones share one queue: the balancer adds to it, and the program empties it
/// after each call of the balancer.
#[derive(Clone, Debug, Default)]
pub struct ActionQueue(Rc<RefCell<VecDeque<Action>>>);

impl ActionQueue {
    /// Removes the oldest action and returns it.
    pub fn pop(&self) -> Option<Action> {
        self.0.borrow_mut().pop_front()
    }

    fn push(&self, action: Action) {
        self.0.borrow_mut().push_back(action);
    }
}

impl Host for ActionQueue {
    fn start_attempt(&mut self, rpc: &str, upstream: &str, timeout: Time, write_deadline: Option<Time>) {
        self.push(Action::StartAttempt {
            rpc: rpc.into(),
            upstream: upstream.into(),
            timeout,
            write_deadline,
        });
    }
    fn cancel_attempt(&mut self, rpc: &str, attempt: usize) {
        self.push(Action::CancelAttempt { rpc: rpc.into(), attempt });
    }
    fn reject(&mut self, rpc: &str, retry_after: Time) {
        self.push(Action::Reject { rpc: rpc.into(), retry_after });
    }
    fn fail(&mut self, rpc: &str) {
        self.push(Action::Fail { rpc: rpc.into() });
    }
    fn set_timer(&mut self, after: Time, timer: Timer) {
        self.push(Action::SetTimer { after, timer });
    }
    fn watch_endpoints(&mut self) {
        self.push(Action::WatchEndpoints);
    }
    fn log(&mut self, line: &str) {
        self.push(Action::Log(line.to_owned()));
    }
}
