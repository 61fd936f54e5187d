//! Reports the outcomes of attempts and the departure of callers to the balancer.

use super::dispatcher::Dispatcher;
use crate::protocol::answer::{Answer, FinalAnswer};
use crate::transport::inbound::CallerConnection;
use crate::transport::outbound::AttemptProgress;
use fernroute::{Outcome, Time};
use std::rc::{Rc, Weak};

impl Dispatcher {
    /// Starts streaming an answer to the caller. From here on no further attempt is sent and the attempt timeout no
    /// longer applies. Returns whether the caller is still connected.
    pub(super) fn start_streaming(self: &Rc<Self>, rpc: &str, number: usize, answer: Answer) -> bool {
        if let Some(entry) = self.open.borrow_mut().get_mut(rpc) {
            entry.streaming = true;
            let attempt = entry.attempts.get_mut(&number);
            attempt
                .and_then(|attempt| attempt.timer.take())
                .iter()
                .for_each(|timer| self.timers.cancel(timer));
        }
        self.decide(Some(rpc), |b, now| b.response_started(now, rpc));
        self.deliver_completed(rpc, answer)
    }

    /// Delivers the answer of a completed attempt.
    fn deliver_completed(&self, rpc: &str, answer: Answer) -> bool {
        // One that comes after another final answer is not delivered.
        if let Some(entry) = self.open.borrow_mut().get_mut(rpc).filter(|entry| entry.answer.is_some()) {
            // Its end may lie in the socket.
            let has_left =
                |caller: &Weak<CallerConnection>| caller.upgrade().is_none_or(|c| c.has_disconnected());
            entry.completed = !(entry.request.run_once && entry.caller.as_ref().is_some_and(has_left));
        }
        self.deliver(rpc, FinalAnswer::Completed(answer))
    }

    pub(super) fn complete_attempt(
        self: &Rc<Self>,
        rpc: &str,
        number: usize,
        result: Result<Answer, Outcome>,
        took: Time,
    ) {
        let outcome = result.as_ref().map_or_else(|outcome| *outcome, |answer| answer.outcome);
        if let Some(entry) = self.open.borrow_mut().get_mut(rpc) {
            entry.streaming = false;
            // A stopped attempt has no timer left.
            if let Some(out) = entry.attempts.remove(&number) {
                out.timer.iter().for_each(|timer| self.timers.cancel(timer));
                let is_written = out.attempt.progress() >= AttemptProgress::RequestWritten;
                entry.may_have_run |= is_written && !outcome.never_ran();
            }
        }
        let (outcome, loads, answer) = match result {
            Ok(mut answer) => (answer.outcome, std::mem::take(&mut answer.loads), Some(answer)),
            Err(outcome) => (outcome, Vec::new(), None),
        };
        tracing::debug!("RPC {rpc} attempt {number}: {outcome:?} after {}.{} ms", took / 10, took % 10);
        if let Some(answer) = answer.filter(|a| a.outcome == Outcome::Completed) {
            self.deliver_completed(rpc, answer);
        }
        let ended = self.open.borrow().get(rpc).is_none_or(|entry| entry.answer.is_none());
        self.decide(Some(rpc), |b, now| b.attempt_ended(now, rpc, number, outcome, took, ended, &loads));
        self.remove_if_finished(rpc);
    }

    /// Called when the caller disconnects or has its answer. Reports the RPC as abandoned if it has no answer yet.
    pub(super) fn abandon(self: &Rc<Self>, rpc: &str) {
        let answer = self.open.borrow_mut().get_mut(rpc).and_then(|entry| entry.answer.take());
        if answer.is_some() {
            tracing::debug!("RPC {rpc}: caller disconnected before the final answer");
            self.decide(None, |b, now| b.rpc_abandoned(now, rpc));
            self.cancel_unwritten_attempts(rpc);
            self.remove_if_finished(rpc);
        }
    }

    /// Ends every open RPC at shutdown as errored, which does not say whether it ran, and cancels its attempts.
    pub fn fail_all(self: &Rc<Self>) {
        let open: Vec<Rc<str>> = self.open.borrow().keys().cloned().collect();
        for rpc in open {
            if self.deliver(&rpc, FinalAnswer::Errored) {
                tracing::warn!("RPC {rpc} errored: the process is shutting down");
                self.decide(None, |b, now| b.rpc_abandoned(now, &rpc));
                self.cancel_unwritten_attempts(&rpc);
            }
        }
    }

    /// Removes an RPC that has its answer and no running attempt.
    pub(super) fn remove_if_finished(&self, rpc: &str) {
        let mut open = self.open.borrow_mut();
        if !open.get(rpc).is_some_and(|entry| entry.answer.is_none() && entry.attempts.is_empty()) {
            return;
        }
        let Some(ended) = open.remove(rpc).filter(|ended| ended.request.run_once) else { return };
        if ended.may_have_run && !ended.completed {
            self.run_once_ids.extend(&ended.request.id, self.clock.now(), ended.request.time_left);
        } else {
            self.run_once_ids.remove(&ended.request.id);
        }
    }
}
