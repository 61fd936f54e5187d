//! Counts accepted RPCs, their ends and fully written attempts, each once.

use crate::protocol::answer::FinalAnswer;
use crate::protocol::ops::Ends;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Debug, Default)]
pub struct Counters {
    /// By method, for every method that the settings have named since the start.
    pub ends: RefCell<BTreeMap<String, Ends>>,
    pub accepted: Cell<u64>,
    /// Accepted RPCs whose caller disconnected before the end.
    pub abandoned: Cell<u64>,
    /// Attempts whose last byte is written; each is counted by the connection that carries it.
    pub written: Rc<Cell<u64>>,
}

/// How an RPC ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Completed,
    Exhausted,
    Errored,
}

impl End {
    pub fn of(answer: &FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Completed(_) => End::Completed,
            FinalAnswer::Exhausted(_) => End::Exhausted,
            FinalAnswer::Errored => End::Errored,
        }
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Counters {
    /// Every method appears in the metrics from the start.
    pub fn new<'a>(methods: impl Iterator<Item = &'a String>) -> Rc<Self> {
        let ends = methods.map(|name| (name.clone(), Ends::default())).collect();
        Rc::new(Counters { ends: RefCell::new(ends), ..Counters::default() })
    }

    /// Adds the methods of new settings to the metrics. None is ever removed.
    pub fn add_methods<'a>(&self, methods: impl Iterator<Item = &'a String>) {
        let mut ends = self.ends.borrow_mut();
        for name in methods {
            ends.entry(name.clone()).or_default();
        }
    }

    /// Counts an accepted RPC. The returned value counts its end.
    pub fn accept(self: &Rc<Self>, method: &str) -> AcceptedRpc {
        increment(&self.accepted);
        AcceptedRpc { counters: Rc::clone(self), method: method.to_owned(), ended: false }
    }
}

/// An accepted RPC. If it is dropped without an end, its caller has disconnected.
#[derive(Debug)]
pub struct AcceptedRpc {
    counters: Rc<Counters>,
    method: String,
    ended: bool,
}

impl AcceptedRpc {
    pub fn end(&mut self, end: End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let mut all = self.counters.ends.borrow_mut();
        let ends = all.entry(std::mem::take(&mut self.method)).or_default();
        *match end {
            End::Completed => &mut ends.completed,
            End::Exhausted => &mut ends.exhausted,
            End::Errored => &mut ends.errored,
        } += 1;
    }
}

impl Drop for AcceptedRpc {
    fn drop(&mut self) {
        if !self.ended {
            increment(&self.counters.abandoned);
        }
    }
}
