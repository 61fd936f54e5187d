//! The exchange of ids that must not run again between the two processes of an upgrade, in both directions.

use super::running::RunningInstance;
use crate::protocol::handover::HandedId;
use crate::routing::run_once_ids::{RunOnceId, Subscription};
use std::future::pending;
use std::rc::Rc;

/// The ids of this process, as far as the other one has not been told of them.
pub(super) struct SharedIds {
    running: Rc<RunningInstance>,
    subscription: Rc<Subscription>,
    /// The other process understands messages with ids.
    pub(super) can_send: bool,
}

impl SharedIds {
    /// Follows the ids of this process from now on.
    pub(super) fn subscribe(running: &Rc<RunningInstance>) -> Self {
        let subscription = running.dispatcher.run_once_ids.subscribe();
        SharedIds { running: Rc::clone(running), subscription, can_send: true }
    }

    /// All ids that this process knows.
    pub(super) fn all(&self) -> Vec<HandedId> {
        let dispatcher = &self.running.dispatcher;
        dispatcher.run_once_ids.all(dispatcher.clock.now()).iter().map(HandedId::from).collect()
    }

    /// Returns when there are ids to tell.
    pub(super) async fn changed(&self) {
        if !self.can_send {
            return pending().await;
        }
        self.subscription.notify.notified().await;
    }

    /// The ids that the other process has not been told of.
    pub(super) fn take_changes(&self) -> Vec<HandedId> {
        let dispatcher = &self.running.dispatcher;
        let changes = dispatcher.run_once_ids.take_changes(&self.subscription, dispatcher.clock.now());
        changes.iter().map(HandedId::from).collect()
    }

    /// Applies what the other process has told.
    pub(super) fn apply(&self, told: &[HandedId]) {
        let dispatcher = &self.running.dispatcher;
        let told: Vec<RunOnceId> = told.iter().map(RunOnceId::from).collect();
        dispatcher.run_once_ids.apply(&told, dispatcher.clock.now(), &self.subscription);
    }
}
