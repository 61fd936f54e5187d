//! A [`Host`] that queues what a balancer does. The balancer calls it from inside; the program carries the actions out once the
//! balancer has returned, so that nothing calls the balancer while it runs.

use crate::host::{Host, Time, Timer};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// A call of [`Host`], to be carried out.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// [`Host::start_attempt`]
    StartAttempt {
        /// The RPC's id.
        rpc: Rc<str>,
        /// The upstream's id.
        upstream: Rc<str>,
        /// How long the attempt may take.
        timeout: Time,
        /// When the last byte has to have left, if that is limited.
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
        /// When the caller may come again; 0 for no advice.
        retry_after: Time,
    },
    /// [`Host::fail`]
    Fail {
        /// The RPC's id.
        rpc: Rc<str>,
    },
    /// [`Host::set_timer`]
    SetTimer {
        /// When it is due, from now.
        after: Time,
        /// What it is for.
        timer: Timer,
    },
    /// [`Host::watch_endpoints`]
    WatchEndpoints,
    /// [`Host::log`]
    Log(String),
}

/// The actions that have not been carried out, in their order. Clones share one queue: the balancer adds, the program empties it
/// after each call on the balancer.
#[derive(Clone, Debug, Default)]
pub struct ActionQueue(Rc<RefCell<VecDeque<Action>>>);

impl ActionQueue {
    /// Takes the oldest action out.
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
