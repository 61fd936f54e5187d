//! What happened, told as it happens. The referee and the books read this and nothing else.

use fernroute::{Outcome, Time};
use std::rc::Rc;

/// How an RPC ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Completed,
    Exhausted,
    Errored,
}

/// What a balancer was told of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Drains,
    Gone,
}

/// Upstreams and balancers go by their number in the run; a replaced one's number is not used again.
#[derive(Clone, Debug)]
pub enum Event {
    Arrived {
        rpc: Rc<str>,
        balancer: usize,
        method: usize,
        hard: Time,
        /// Whom it is for, where it comes from a caller and there are tenants.
        tenant: Option<usize>,
    },
    Sent {
        rpc: Rc<str>,
        attempt: usize,
        balancer: usize,
        upstream: usize,
        /// Its work there, in RPCs of mean work.
        work: f64,
    },
    /// It began at the upstream: from here on it has had its effect.
    Ran {
        rpc: Rc<str>,
        attempt: usize,
    },
    Ended {
        rpc: Rc<str>,
        attempt: usize,
        outcome: Outcome,
    },
    Answered {
        rpc: Rc<str>,
        last: FinalAnswer,
    },
    CallerLeft {
        rpc: Rc<str>,
    },
    Heard {
        balancer: usize,
        upstream: usize,
        told: EndpointState,
    },
    /// `rate` is what it can do when warm, RPCs a second.
    Started {
        upstream: usize,
        zone: usize,
        cell: usize,
        rate: f64,
        cold: bool,
    },
    BalancerDied {
        balancer: usize,
    },
}

/// Takes in the events in the order in which they happen.
pub trait Observer {
    fn observe(&mut self, at: Time, event: &Event);
}

impl Observer for Vec<(Time, String)> {
    fn observe(&mut self, at: Time, event: &Event) {
        self.push((at, format!("{event:?}")));
    }
}
