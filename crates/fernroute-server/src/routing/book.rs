//! What became of transmissions and callers, told to the decisions.

use super::switchboard::Switchboard;
use crate::protocol::answer::{Answer, Final};
use fernroute::{Outcome, Time};
use std::rc::Rc;

impl Switchboard {
    /// An answer is handed on while it comes: from here on nothing is sent, and no time-out ends it. Tells whether its
    /// caller is still there.
    pub(super) fn begin(self: &Rc<Self>, rpc: &str, tx: usize, answer: Answer) -> bool {
        if let Some(entry) = self.open.borrow_mut().get_mut(rpc) {
            entry.streaming = true;
            let out = entry.out.get_mut(&tx);
            out.and_then(|out| out.time_out.take()).iter().for_each(|time_out| self.timers.drop(time_out));
        }
        self.decide(Some(rpc), |b, now| b.response_started(now, rpc));
        self.give(rpc, Final::Completed(answer))
    }

    pub(super) fn book(self: &Rc<Self>, rpc: &str, tx: usize, result: Result<Answer, Outcome>, took: Time) {
        if let Some(entry) = self.open.borrow_mut().get_mut(rpc) {
            entry.streaming = false;
            // Of one that was stopped no timer is left.
            if let Some(out) = entry.out.remove(&tx) {
                out.time_out.iter().for_each(|time_out| self.timers.drop(time_out));
            }
        }
        let (outcome, loads, answer) = match result {
            Ok(mut answer) => (answer.outcome, std::mem::take(&mut answer.loads), Some(answer)),
            Err(outcome) => (outcome, Vec::new(), None),
        };
        tracing::debug!("RPC {rpc} transmission {tx}: {outcome:?} after {took} tenths of a ms");
        if let Some(answer) = answer.filter(|a| a.outcome == Outcome::Completed) {
            self.give(rpc, Final::Completed(answer));
        }
        let ended = self.open.borrow().get(rpc).is_none_or(|entry| entry.answer.is_none());
        self.decide(Some(rpc), |b, now| b.attempt_ended(now, rpc, tx, outcome, took, ended, &loads));
        self.forget(rpc);
    }

    /// The caller has gone, or has its answer: what is open of the RPC then is told as abandoned.
    pub(super) fn abandoned(self: &Rc<Self>, rpc: &str) {
        let waiting = self.open.borrow_mut().get_mut(rpc).and_then(|entry| entry.answer.take());
        if waiting.is_some() {
            tracing::debug!("RPC {rpc}: the caller has gone");
            self.decide(None, |b, now| b.rpc_abandoned(now, rpc));
            self.call_off_unwritten(rpc);
            self.forget(rpc);
        }
    }

    /// The program ends: what is open is errored, which promises nothing, and called off.
    pub fn error_all(self: &Rc<Self>) {
        let open: Vec<Rc<str>> = self.open.borrow().keys().cloned().collect();
        for rpc in open {
            if self.give(&rpc, Final::Errored) {
                tracing::warn!("RPC {rpc} errored, the program ends");
                self.decide(None, |b, now| b.rpc_abandoned(now, &rpc));
                self.call_off_unwritten(&rpc);
            }
        }
    }

    /// An answered RPC leaves with its last transmission.
    pub(super) fn forget(&self, rpc: &str) {
        let mut open = self.open.borrow_mut();
        if open.get(rpc).is_some_and(|entry| entry.answer.is_none() && entry.out.is_empty()) {
            open.remove(rpc);
        }
    }
}
