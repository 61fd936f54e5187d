//! The ids of RPCs that must not run more than once and may still run, also where their callers have left or where the other
//! process of an upgrade has them. An RPC with such an id is not sent.
//!
//! An entry ends when its RPC is known never to have run, when its answer has been delivered, or when its time is over: by then
//! no upstream begins it. The table is bounded; while it is full no further RPC of this kind is taken.

use fernroute::host::SECOND;
use fernroute::Time;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// More than a process has open and ended within one deadline.
pub const MAX_IDS: usize = 8 * 1024;

/// An upstream may begin an RPC this long after the time that it was told.
const LATE_START: Time = SECOND / 2;

/// An id with the time for which it is known; 0 once it has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOnceId {
    pub id: Rc<str>,
    pub time_left: Time,
}

/// The ids that another process has not been told of.
#[derive(Debug, Default)]
pub struct Subscription {
    changed: RefCell<BTreeSet<Rc<str>>>,
    /// Notified when there are some.
    pub notify: Notify,
}

/// Why an id can't be added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RunOnceIdError {
    #[error("an RPC with this id may still run")]
    MayRun,
    #[error("too many ids of RPCs that may still run")]
    Full,
}

#[derive(Debug, Default)]
struct Entries {
    until: BTreeMap<Rc<str>, Time>,
    by_end: BTreeSet<(Time, Rc<str>)>,
}

impl Entries {
    fn set(&mut self, id: &Rc<str>, until: Time) {
        self.remove(id);
        self.until.insert(Rc::clone(id), until);
        self.by_end.insert((until, Rc::clone(id)));
    }

    fn remove(&mut self, id: &str) {
        if let Some((id, until)) = self.until.remove_entry(id) {
            self.by_end.remove(&(until, id));
        }
    }

    fn remove_expired(&mut self, now: Time) {
        while self.by_end.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, id)) = self.by_end.pop_first() {
                self.until.remove(&id);
            }
        }
    }
}

/// The ids of this process and of the other ones.
#[derive(Debug, Default)]
pub struct RunOnceIds {
    entries: RefCell<Entries>,
    subscriptions: RefCell<Vec<Weak<Subscription>>>,
}

impl RunOnceIds {
    /// Adds the id of an RPC that is about to be admitted; its caller waits for `time_left`.
    ///
    /// # Errors
    /// When an RPC with this id may still run, or there are too many.
    pub fn add(&self, id: &Rc<str>, now: Time, time_left: Time) -> Result<(), RunOnceIdError> {
        let mut entries = self.entries.borrow_mut();
        entries.remove_expired(now);
        if entries.until.contains_key(id) {
            return Err(RunOnceIdError::MayRun);
        }
        if entries.until.len() >= MAX_IDS {
            return Err(RunOnceIdError::Full);
        }
        entries.set(id, now.saturating_add(time_left).saturating_add(LATE_START));
        drop(entries);
        self.publish(id, None);
        Ok(())
    }

    /// The RPC may run for `time_left` from now on: its last byte has been received, or it has ended without a known outcome.
    pub fn extend(&self, id: &Rc<str>, now: Time, time_left: Time) {
        self.entries.borrow_mut().set(id, now.saturating_add(time_left).saturating_add(LATE_START));
        self.publish(id, None);
    }

    /// The RPC never ran, or its answer has been delivered.
    pub fn remove(&self, id: &Rc<str>) {
        self.entries.borrow_mut().remove(id);
        self.publish(id, None);
    }

    /// Applies what another process tells, which has this subscription, and passes it on to the others. Of ids for which there is
    /// no room, none is known.
    pub fn apply(&self, told: &[RunOnceId], now: Time, from: &Rc<Subscription>) {
        for RunOnceId { id, time_left } in told {
            let mut entries = self.entries.borrow_mut();
            entries.remove_expired(now);
            if *time_left == 0 {
                entries.remove(id);
            } else if entries.until.len() < MAX_IDS || entries.until.contains_key(id) {
                entries.set(id, now.saturating_add(*time_left));
            }
            drop(entries);
            self.publish(id, Some(from));
        }
    }

    /// Follows the changes from now on.
    pub fn subscribe(&self) -> Rc<Subscription> {
        let subscription = Rc::<Subscription>::default();
        self.subscriptions.borrow_mut().push(Rc::downgrade(&subscription));
        subscription
    }

    /// All ids that are known.
    pub fn all(&self, now: Time) -> Vec<RunOnceId> {
        let mut entries = self.entries.borrow_mut();
        entries.remove_expired(now);
        let id = |(id, until): (&Rc<str>, &Time)| RunOnceId { id: Rc::clone(id), time_left: until - now };
        entries.until.iter().map(id).collect()
    }

    /// What this subscription has not been told yet.
    pub fn take_changes(&self, subscription: &Subscription, now: Time) -> Vec<RunOnceId> {
        let entries = self.entries.borrow();
        let changed = subscription.changed.take();
        let time_left = |id: &Rc<str>| entries.until.get(id).map_or(0, |until| until.saturating_sub(now));
        changed.into_iter().map(|id| RunOnceId { time_left: time_left(&id), id }).collect()
    }

    fn publish(&self, id: &Rc<str>, except: Option<&Rc<Subscription>>) {
        let mut subscriptions = self.subscriptions.borrow_mut();
        subscriptions.retain(|subscription| subscription.strong_count() > 0);
        let is_known = self.entries.borrow().until.contains_key(id);
        for subscription in subscriptions.iter().filter_map(Weak::upgrade) {
            if except.is_some_and(|except| Rc::ptr_eq(except, &subscription)) {
                continue;
            }
            let mut changed = subscription.changed.borrow_mut();
            // An end that is not told only lets the entry last until its time is over.
            if is_known || changed.len() < MAX_IDS {
                changed.insert(Rc::clone(id));
            }
            subscription.notify.notify_one();
        }
    }
}
