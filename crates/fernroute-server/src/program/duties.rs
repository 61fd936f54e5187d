//! The duties for which this balancer holds the lease. It acquires them while it serves, and releases them as soon as it
//! drains, ends, or is replaced by a successor process.

use crate::protocol::ops::{FleetStatus, HeldDuty};
use crate::routing::dispatcher::Dispatcher;
use fernroute::Time;
use fernroute_fleet::duties::holder::{Event, MemberDuties, StopReason};
use fernroute_fleet::duties::{DutyAssignments, DutyReport, Term};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The duties of this balancer. Changes are logged and published in the operators' metrics.
pub struct HeldDuties {
    dispatcher: Rc<Dispatcher>,
    /// Changed by heartbeats, their replies and the handover to a successor.
    duties: RefCell<MemberDuties>,
    /// Whether another process of this balancer serves in place of this one. Written only by [`HeldDuties::set_replaced`].
    replaced: Cell<bool>,
}

impl HeldDuties {
    /// Begins without duties. `incarnation` is a random number of this process.
    pub fn new(dispatcher: Rc<Dispatcher>, incarnation: u64) -> Self {
        HeldDuties {
            dispatcher,
            duties: RefCell::new(MemberDuties::new(incarnation)),
            replaced: Cell::new(false),
        }
    }

    /// The current term of a duty; `None` where this balancer does not hold it. Callers must read it before each action under
    /// the duty, and send it with that action.
    pub fn term(&self, duty: &str) -> Option<Term> {
        self.duties.borrow().term(self.dispatcher.clock.now(), duty)
    }

    /// The report for the heartbeat with this number, which is about to be sent. A balancer that does not serve releases
    /// its duties first.
    pub fn report(&self, heartbeat_number: u64) -> DutyReport {
        self.release_unless_serving();
        self.duties.borrow_mut().report(self.dispatcher.clock.now(), heartbeat_number)
    }

    /// Applies the assignments in the reply to the heartbeat with this number.
    pub fn on_reply(&self, heartbeat_number: u64, assignments: Option<&DutyAssignments>) {
        let now = self.dispatcher.clock.now();
        let events = self.duties.borrow_mut().on_reply(now, heartbeat_number, assignments);
        self.publish(&events);
    }

    /// Drops duties whose lease has expired; needed while heartbeats get no reply.
    pub fn expire(&self) {
        let events = self.duties.borrow_mut().expire(self.dispatcher.clock.now());
        self.publish(&events);
    }

    /// Sets whether another process serves in place of this one: `true` when it takes over, `false` when it has ended.
    pub fn set_replaced(&self, replaced: bool) {
        self.replaced.set(replaced);
        self.release_unless_serving();
    }

    fn release_unless_serving(&self) {
        if self.dispatcher.is_ready() && !self.replaced.get() {
            return self.duties.borrow_mut().resume();
        }
        let events = self.duties.borrow_mut().release_all();
        self.publish(&events);
    }

    /// Logs the events and publishes the held duties in the operators' metrics.
    fn publish(&self, events: &[Event]) {
        for event in events {
            match event {
                Event::Acquired { duty, term } => tracing::info!("acquired duty {duty}, term {term}"),
                Event::Lost { duty, term, reason } => {
                    tracing::info!("lost duty {duty}, term {term}: {}", describe(reason));
                }
            }
        }
        let to_metrics =
            |(duty, term, until): (&str, Term, Time)| (duty.to_owned(), HeldDuty { term, until });
        let held = self.duties.borrow().held().map(to_metrics).collect();
        self.dispatcher.update_fleet_status(|status: &mut FleetStatus| status.duties = held);
    }
}

fn describe(reason: &StopReason) -> &'static str {
    match reason {
        StopReason::LeaseExpired => "lease expired without a reply",
        StopReason::Revoked => "revoked by the coordinators",
        StopReason::Released => "released because this balancer does not serve",
    }
}
