//! From the upstream that was drawn to the transmission's task: its address, its number, its timer.

use super::clock::duration;
use super::send::AttemptPlan;
use super::switchboard::{Out, Switchboard};
use super::timers::Due;
use crate::transport::client::UpstreamClient;
use crate::transport::outbound::{AttemptProgress, AttemptState};
use fernroute::{Outcome, Time};
use std::rc::Rc;
use tokio::sync::oneshot;

impl Switchboard {
    pub(super) fn route(
        self: &Rc<Self>,
        rpc: &Rc<str>,
        upstream: &Rc<str>,
        time_out: Time,
        written_by: Option<Time>,
    ) {
        let mut open = self.open.borrow_mut();
        let Some(entry) = open.get_mut(rpc) else {
            tracing::error!("RPC {rpc} is to be sent, but is not open");
            return;
        };
        let tx = entry.made;
        entry.made += 1;
        let (stop, stopped) = oneshot::channel();
        let due = Due::Transmission { rpc: Rc::clone(rpc), tx };
        // Its time counts from the last byte of an RPC that still comes.
        let time_out_key = entry.request.is_whole().then(|| self.timers.set(time_out, due));
        let client = self.upstreams.borrow().get(upstream).map(|(_, client)| Rc::clone(client));
        let attempt = AttemptState::new(entry.caller.clone(), &self.tally.written);
        let left = |by: Time| duration(by.saturating_sub(self.clock.now()));
        written_by.map(left).into_iter().for_each(|left| attempt.set_write_deadline(left));
        let out = Out {
            stop: Some(stop),
            time_out: time_out_key,
            lasts: time_out,
            attempt: Rc::clone(&attempt),
            client: client.clone(),
        };
        entry.out.insert(tx, out);
        let request = Rc::clone(&entry.request);
        tracing::debug!("RPC {rpc} transmission {tx} to {upstream}");
        let plan = AttemptPlan { client, attempt, time_out, stopped };
        actix_rt::spawn(Rc::clone(self).transmission(Rc::clone(rpc), tx, request, plan));
    }

    /// The last byte of an RPC has come that was sent on while it came.
    pub(super) fn whole(self: &Rc<Self>, rpc: &Rc<str>) {
        if let Some(entry) = self.open.borrow_mut().get_mut(rpc) {
            let Some(upload) = entry.request.upload.as_ref().filter(|u| u.whole_at.get().is_none()) else {
                return;
            };
            upload.whole_at.set(Some(self.clock.now()));
            for (tx, out) in entry.out.iter_mut().filter(|(_, out)| out.stop.is_some()) {
                let due = Due::Transmission { rpc: Rc::clone(rpc), tx: *tx };
                out.time_out = Some(self.timers.set(out.lasts, due));
            }
        }
        self.decide(None, |b, now| b.rpc_fully_received(now, rpc));
    }

    /// Ends a transmission that is out; how it ended is booked by its own task.
    pub(super) fn stop(&self, rpc: &str, tx: usize, why: Outcome) {
        let mut open = self.open.borrow_mut();
        let Some(out) = open.get_mut(rpc).and_then(|entry| entry.out.get_mut(&tx)) else { return };
        let Some(stop) = out.stop.take() else { return };
        // A timer that has come due is off the queue, and its place there may be another's by now.
        if let Some(time_out) = out.time_out.take().filter(|_| why != Outcome::TimedOut) {
            self.timers.drop(&time_out);
        }
        out.attempt.prevent_start();
        // Its task may have ended this moment: then it was not stopped.
        let _ = stop.send(why);
    }

    /// What has not begun at an upstream that left the list, or started anew, does not begin there. Guards against a
    /// connection that comes up past the grace.
    pub(super) fn call_off_to_those_that_left(&self) {
        let upstreams = self.upstreams.borrow();
        let is_there =
            |client: &Rc<UpstreamClient>| upstreams.values().any(|(_, listed)| Rc::ptr_eq(listed, client));
        let has_disconnected = |out: &Out| {
            out.attempt.progress() == AttemptProgress::NotStarted
                && out.client.as_ref().is_some_and(|client| !is_there(client))
        };
        let mut those = Vec::new();
        for (rpc, entry) in &*self.open.borrow() {
            let left = entry.out.iter().filter(|(_, out)| has_disconnected(out));
            those.extend(left.map(|(tx, _)| (Rc::clone(rpc), *tx)));
        }
        those.iter().for_each(|(rpc, tx)| self.stop(rpc, *tx, Outcome::NotSent));
    }

    /// The caller has gone: what is not all written of its RPC never will be, also where what may have run is not to be
    /// called off. Guards against a connection that comes up late, and an RPC that nobody waits for on it.
    pub(super) fn call_off_unwritten(&self, rpc: &str) {
        let unwritten = |out: &Out| out.attempt.progress() < AttemptProgress::RequestWritten;
        let those: Vec<usize> = match self.open.borrow().get(rpc) {
            Some(entry) => entry.out.iter().filter(|(_, out)| unwritten(out)).map(|(tx, _)| *tx).collect(),
            None => return,
        };
        those.into_iter().for_each(|tx| self.stop(rpc, tx, Outcome::Cancelled));
    }
}
