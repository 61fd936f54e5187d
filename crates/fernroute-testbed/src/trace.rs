//! Events of a run. The referee works from these alone.

use fernroute::{Outcome, Time};
use std::rc::Rc;

/// The final answer of an RPC to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Completed,
    Exhausted,
    Errored,
}

/// The state of an upstream in a discovery update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Drains,
    Gone,
}

/// Upstreams and balancers are identified by their number in the run. Numbers are not reused.
#[derive(Clone, Debug)]
pub enum Event {
    Arrived {
        rpc: Rc<str>,
        balancer: usize,
        method: usize,
        hard: Time,
        /// The tenant, for RPCs of callers in scenarios with tenants.
        tenant: Option<usize>,
    },
    Sent {
        rpc: Rc<str>,
        attempt: usize,
        balancer: usize,
        upstream: usize,
        /// Work at the upstream, in RPCs of mean work.
        work: f64,
    },
    /// The attempt started at the upstream: from now on it may have had its effect.
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
    /// `rate` is the capacity when warm, in RPCs per second.
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

/// Receives the events in the order in which they happen.
pub trait Observer {
    fn observe(&mut self, at: Time, event: &Event);
}

impl Observer for Vec<(Time, String)> {
    fn observe(&mut self, at: Time, event: &Event) {
        self.push((at, format!("{event:?}")));
    }
}
