//! What is counted, once each: RPCs as they are taken and as they end, transmissions as they are out.

use crate::protocol::answer::Final;
use crate::protocol::ops::Ends;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Debug, Default)]
pub struct Tally {
    /// By method; as many as the terms name.
    pub ends: RefCell<BTreeMap<String, Ends>>,
    pub taken: Cell<u64>,
    pub left: Cell<u64>,
    /// Transmissions whose last byte is out; each is counted by the connection that carries it.
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
    pub fn of(last: &Final) -> Self {
        match last {
            Final::Completed(_) => End::Completed,
            Final::Exhausted(_) => End::Exhausted,
            Final::Errored => End::Errored,
        }
    }
}

fn one_more(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Tally {
    /// Every method stands in the figures from the start.
    pub fn new<'a>(methods: impl Iterator<Item = &'a String>) -> Rc<Self> {
        let ends = methods.map(|name| (name.clone(), Ends::default())).collect();
        Rc::new(Tally { ends: RefCell::new(ends), ..Tally::default() })
    }

    /// Methods that new terms name stand in the figures, too; none leaves them.
    pub fn name<'a>(&self, methods: impl Iterator<Item = &'a String>) {
        let mut ends = self.ends.borrow_mut();
        for name in methods {
            ends.entry(name.clone()).or_default();
        }
    }

    /// An RPC is taken; what is returned counts its end, whatever that is.
    pub fn take(self: &Rc<Self>, method: &str) -> Taken {
        one_more(&self.taken);
        Taken { tally: Rc::clone(self), method: method.to_owned(), ended: false }
    }
}

/// A taken RPC. Dropped without an end, its caller has left.
#[derive(Debug)]
pub struct Taken {
    tally: Rc<Tally>,
    method: String,
    ended: bool,
}

impl Taken {
    pub fn end(&mut self, end: End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let mut all = self.tally.ends.borrow_mut();
        let ends = all.entry(std::mem::take(&mut self.method)).or_default();
        *match end {
            End::Completed => &mut ends.completed,
            End::Exhausted => &mut ends.exhausted,
            End::Errored => &mut ends.errored,
        } += 1;
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        if !self.ended {
            one_more(&self.tally.left);
        }
    }
}
