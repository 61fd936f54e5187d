//! Starts the task of an attempt on the selected upstream: its address, number and timer.

use super::clock::{self, duration};
use super::dispatcher::{Dispatcher, OpenAttempt};
use super::send::AttemptPlan;
use super::timers::TimerEvent;
use crate::transport::client::UpstreamClient;
use crate::transport::outbound::{AttemptProgress, AttemptState};
use fernroute::{Outcome, Time};
use std::rc::Rc;
use tokio::sync::oneshot;

impl Dispatcher {
    pub(super) fn route(
        self: &Rc<Self>,
        rpc: &Rc<str>,
        upstream: &Rc<str>,
        timeout: Time,
        write_deadline: Option<Time>,
    ) {
        let mut open = self.open.borrow_mut();
        let Some(entry) = open.get_mut(rpc) else {
            tracing::error!("cannot start an attempt of RPC {rpc}: it is not open");
            return;
        };
        let number = entry.attempts_started;
        entry.attempts_started += 1;
        let (stop, stopped) = oneshot::channel();
        let event = TimerEvent::AttemptTimeout { rpc: Rc::clone(rpc), number };
        // While a request is still being received, the timeout starts at its last byte.
        let timer = entry.request.is_complete().then(|| self.timers.set(timeout, event));
        let client = self.upstreams.borrow().get(upstream).map(|(_, client)| Rc::clone(client));
        let attempt = AttemptState::new(entry.caller.clone(), &self.counters.written);
        let left = |by: Time| duration(by.saturating_sub(self.clock.now()));
        write_deadline.map(left).into_iter().for_each(|left| attempt.set_write_deadline(left));
        let open_attempt = OpenAttempt {
            stop: Some(stop),
            timer,
            timeout,
            attempt: Rc::clone(&attempt),
            client: client.clone(),
        };
        entry.attempts.insert(number, open_attempt);
        let request = Rc::clone(&entry.request);
        tracing::debug!("RPC {rpc} attempt {number} to {upstream}");
        let plan = AttemptPlan { client, attempt, timeout, stopped };
        actix_rt::spawn(Rc::clone(self).run_attempt(Rc::clone(rpc), number, request, plan));
    }

    /// The last byte of a streamed request has been received: starts the timeouts of its attempts.
    pub(super) fn request_complete(self: &Rc<Self>, rpc: &Rc<str>) {
        let mut last_byte_at = self.clock.now();
        if let Some(entry) = self.open.borrow_mut().get_mut(rpc) {
            let Some(upload) = entry.request.upload.as_ref().filter(|u| u.completed_at.get().is_none())
            else {
                return;
            };
            let now = self.clock.now();
            upload.completed_at.set(Some(now));
            // The caller's time has been running since it sent the last byte.
            let waited = clock::tenths(upload.last_byte_after().elapsed());
            last_byte_at = now.saturating_sub(waited);
            for (number, out) in entry.attempts.iter_mut().filter(|(_, out)| out.stop.is_some()) {
                let event = TimerEvent::AttemptTimeout { rpc: Rc::clone(rpc), number: *number };
                out.timer = Some(self.timers.set(out.timeout.saturating_sub(waited), event));
            }
        }
        let time_left = self.open.borrow().get(rpc).and_then(|entry| {
            let request = &entry.request;
            request.run_once.then_some(request.time_left)
        });
        if let Some(time_left) = time_left {
            self.run_once_ids.extend(rpc, self.clock.now(), time_left);
        }
        self.decide(None, |b, _| b.rpc_fully_received(last_byte_at, rpc));
    }

    /// Stops a running attempt; its own task reports the outcome.
    pub(super) fn stop_attempt(&self, rpc: &str, number: usize, outcome: Outcome) {
        let mut open = self.open.borrow_mut();
        let Some(out) = open.get_mut(rpc).and_then(|entry| entry.attempts.get_mut(&number)) else { return };
        let Some(stop) = out.stop.take() else { return };
        // The key of an expired timer may already be reused for another timer.
        if let Some(timer) = out.timer.take().filter(|_| outcome != Outcome::TimedOut) {
            self.timers.cancel(&timer);
        }
        out.attempt.prevent_start();
        // The send fails if the task has just finished, which needs no handling.
        let _ = stop.send(outcome);
    }

    /// Cancels attempts not yet begun at upstreams that were removed from the list or have restarted. Otherwise a
    /// connection established after the drain grace would still send its request there.
    pub(super) fn cancel_attempts_to_removed_upstreams(&self) {
        let upstreams = self.upstreams.borrow();
        let is_listed =
            |client: &Rc<UpstreamClient>| upstreams.values().any(|(_, listed)| Rc::ptr_eq(listed, client));
        let is_obsolete = |out: &OpenAttempt| {
            out.attempt.progress() == AttemptProgress::NotStarted
                && out.client.as_ref().is_some_and(|client| !is_listed(client))
        };
        let mut obsolete = Vec::new();
        for (rpc, entry) in &*self.open.borrow() {
            let attempts = entry.attempts.iter().filter(|(_, out)| is_obsolete(out));
            obsolete.extend(attempts.map(|(number, _)| (Rc::clone(rpc), *number)));
        }
        obsolete.iter().for_each(|(rpc, number)| self.stop_attempt(rpc, *number, Outcome::NotSent));
    }

    /// The caller has disconnected: cancels attempts whose request is not fully written, even of RPCs whose started
    /// attempts must not be cancelled. Otherwise a connection established late would run an RPC that nobody waits for.
    pub(super) fn cancel_unwritten_attempts(&self, rpc: &str) {
        let unwritten = |out: &OpenAttempt| out.attempt.progress() < AttemptProgress::RequestWritten;
        let attempts: Vec<usize> = match self.open.borrow().get(rpc) {
            Some(entry) => {
                entry.attempts.iter().filter(|(_, out)| unwritten(out)).map(|(number, _)| *number).collect()
            }
            None => return,
        };
        attempts.into_iter().for_each(|number| self.stop_attempt(rpc, number, Outcome::Cancelled));
    }
}
