//! Reports the outcomes of attempts and the departure of callers to the balancer.

use super::dispatcher::Dispatcher;
use crate::protocol::answer::{Answer, FinalAnswer};
use fernroute::{Outcome, Time};
use std::rc::Rc;

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
        self.deliver(rpc, FinalAnswer::Completed(answer))
    }

    pub(super) fn complete_attempt(
        self: &Rc<Self>,
        rpc: &str,
        number: usize,
        result: Result<Answer, Outcome>,
        took: Time,
    ) {
        if let Some(entry) = self.open.borrow_mut().get_mut(rpc) {
            entry.streaming = false;
            // A stopped attempt has no timer left.
            if let Some(attempt) = entry.attempts.remove(&number) {
                attempt.timer.iter().for_each(|timer| self.timers.cancel(timer));
            }
        }
        let (outcome, loads, answer) = match result {
            Ok(mut answer) => (answer.outcome, std::mem::take(&mut answer.loads), Some(answer)),
            Err(outcome) => (outcome, Vec::new(), None),
        };
        tracing::debug!("RPC {rpc} attempt {number}: {outcome:?} after {}.{} ms", took / 10, took % 10);
        if let Some(answer) = answer.filter(|a| a.outcome == Outcome::Completed) {
            self.deliver(rpc, FinalAnswer::Completed(answer));
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
        if open.get(rpc).is_some_and(|entry| entry.answer.is_none() && entry.attempts.is_empty()) {
            open.remove(rpc);
        }
    }
}
