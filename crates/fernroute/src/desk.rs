//! A `Host` for whoever acts later: it is called from inside the balancer, and only notes what is to be done.

use crate::host::{Host, Time};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

#[derive(Debug, PartialEq, Eq)]
pub enum Act {
    Transmit {
        rpc: Rc<str>,
        upstream: Rc<str>,
        time_out: Time,
        written_by: Option<Time>,
    },
    Cancel {
        rpc: Rc<str>,
        tx: usize,
    },
    Exhaust {
        rpc: Rc<str>,
        stay_away: Time,
    },
    Error {
        rpc: Rc<str>,
    },
    Timer {
        after: Time,
        token: String,
    },
    FollowList,
    /// A line for the people on call.
    Log(String),
}

/// Emptied after each call on the balancer.
#[derive(Clone, Debug, Default)]
pub struct Desk(Rc<RefCell<VecDeque<Act>>>);

impl Desk {
    pub fn next(&self) -> Option<Act> {
        self.0.borrow_mut().pop_front()
    }

    fn note(&self, act: Act) {
        self.0.borrow_mut().push_back(act);
    }
}

impl Host for Desk {
    fn transmit(&mut self, rpc: &str, upstream: &str, time_out: Time, written_by: Option<Time>) {
        self.note(Act::Transmit { rpc: rpc.into(), upstream: upstream.into(), time_out, written_by });
    }
    fn cancel(&mut self, rpc: &str, tx: usize) {
        self.note(Act::Cancel { rpc: rpc.into(), tx });
    }
    fn exhaust(&mut self, rpc: &str, stay_away: Time) {
        self.note(Act::Exhaust { rpc: rpc.into(), stay_away });
    }
    fn error(&mut self, rpc: &str) {
        self.note(Act::Error { rpc: rpc.into() });
    }
    fn set_timer(&mut self, after: Time, token: &str) {
        self.note(Act::Timer { after, token: token.to_owned() });
    }
    fn follow_list(&mut self) {
        self.note(Act::FollowList);
    }
    fn log(&mut self, line: &str) {
        self.note(Act::Log(line.to_owned()));
    }
}
