//! The duties that this balancer holds of its fleet: taken while it serves, given up as soon as it drains or ends.

use crate::protocol::ops::{Control, HeldDuty};
use crate::routing::switchboard::Switchboard;
use fernroute::Time;
use fernroute_fleet::duties::holder::{Event, MemberDuties, StopReason};
use fernroute_fleet::duties::{DutyAssignments, DutyReport, Term};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

pub struct HeldDuties {
    board: Rc<Switchboard>,
    duties: RefCell<MemberDuties>,
    /// Another process of this balancer goes on in its place.
    replaced: Cell<bool>,
}

impl HeldDuties {
    /// `incarnation` is drawn at random by this process.
    pub fn new(board: Rc<Switchboard>, incarnation: u64) -> Self {
        HeldDuties { board, duties: RefCell::new(MemberDuties::new(incarnation)), replaced: Cell::new(false) }
    }

    /// The term to act under at this moment; none where this balancer does not hold the duty. Whoever acts asks at each act,
    /// and sends the term with it.
    pub fn term(&self, duty: &str) -> Option<Term> {
        self.duties.borrow().term(self.board.clock.now(), duty)
    }

    /// What the heartbeat with this number says, which leaves now. A balancer that does not serve gives up what it holds first.
    pub fn report(&self, number: u64) -> DutyReport {
        self.give_up_unless_serving();
        self.duties.borrow_mut().report(self.board.clock.now(), number)
    }

    /// Takes the answer to the heartbeat with this number.
    pub fn hear(&self, number: u64, told: Option<&DutyAssignments>) {
        let events = self.duties.borrow_mut().on_reply(self.board.clock.now(), number, told);
        self.tell(&events);
    }

    /// Notices what has ended by the clock; whether or not heartbeats are answered.
    pub fn look(&self) {
        let events = self.duties.borrow_mut().expire(self.board.clock.now());
        self.tell(&events);
    }

    /// Another process goes on under this balancer's identity, or has ended again.
    pub fn set_replaced(&self, replaced: bool) {
        self.replaced.set(replaced);
        self.give_up_unless_serving();
    }

    fn give_up_unless_serving(&self) {
        if self.board.is_ready() && !self.replaced.get() {
            return self.duties.borrow_mut().resume();
        }
        let events = self.duties.borrow_mut().release_all();
        self.tell(&events);
    }

    fn tell(&self, events: &[Event]) {
        for event in events {
            match event {
                Event::Acquired { duty, term } => tracing::info!("holds the duty {duty}, term {term}"),
                Event::Lost { duty, term, reason } => {
                    let reason = match reason {
                        StopReason::LeaseExpired => "nothing was heard for as long as its lease holds",
                        StopReason::Revoked => "the stewards have it released",
                        StopReason::Released => "this balancer does not serve any more",
                    };
                    tracing::info!("holds the duty {duty} no more, term {term}: {reason}");
                }
            }
        }
        let figure = |(duty, term, until): (&str, Term, Time)| (duty.to_owned(), HeldDuty { term, until });
        let held = self.duties.borrow().held().map(figure).collect();
        self.board.note(|control: &mut Control| control.duties = held);
    }
}
