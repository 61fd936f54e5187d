//! A `Host` for whoever acts later: it is called from inside the balancer, and only notes what is to be done.

use crate::host::{Host, Time, Timer};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    StartAttempt {
        rpc: Rc<str>,
        upstream: Rc<str>,
        timeout: Time,
        write_deadline: Option<Time>,
    },
    CancelAttempt {
        rpc: Rc<str>,
        attempt: usize,
    },
    Reject {
        rpc: Rc<str>,
        retry_after: Time,
    },
    Fail {
        rpc: Rc<str>,
    },
    SetTimer {
        after: Time,
        timer: Timer,
    },
    WatchEndpoints,
    /// A line for the people on call.
    Log(String),
}

/// Emptied after each call on the balancer.
#[derive(Clone, Debug, Default)]
pub struct ActionQueue(Rc<RefCell<VecDeque<Action>>>);

impl ActionQueue {
    pub fn next(&self) -> Option<Action> {
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
