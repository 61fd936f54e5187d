//! From the upstream that was drawn to the transmission's task: its address, its number, its timer.

use super::switchboard::{Out, Switchboard};
use super::timers::Due;
use fernroute::{Outcome, Time};
use std::rc::Rc;
use tokio::sync::oneshot;

impl Switchboard {
    pub(super) fn route(self: &Rc<Self>, rpc: &Rc<str>, upstream: &Rc<str>, time_out: Time) {
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
        entry.out.insert(tx, Out { stop, time_out: time_out_key, lasts: time_out });
        let line = self.lines.borrow().get(upstream).map(|(_, line)| Rc::clone(line));
        let request = Rc::clone(&entry.request);
        tracing::debug!("RPC {rpc} transmission {tx} to {upstream}");
        actix_rt::spawn(Rc::clone(self).transmission(Rc::clone(rpc), tx, request, line, time_out, stopped));
    }

    /// The last byte of an RPC has come that was sent on while it came.
    pub(super) fn whole(self: &Rc<Self>, rpc: &Rc<str>) {
        if let Some(entry) = self.open.borrow_mut().get_mut(rpc) {
            let Some(upload) = entry.request.upload.as_ref().filter(|u| u.whole_at.get().is_none()) else {
                return;
            };
            upload.whole_at.set(Some(self.clock.now()));
            for (tx, out) in &mut entry.out {
                let due = Due::Transmission { rpc: Rc::clone(rpc), tx: *tx };
                out.time_out = Some(self.timers.set(out.lasts, due));
            }
        }
        self.decide(None, |b, now| b.rpc_whole(now, rpc));
    }

    /// Ends a transmission that is out; how it ended is booked by its own task.
    pub(super) fn stop(&self, rpc: &str, tx: usize, why: Outcome) {
        let mut open = self.open.borrow_mut();
        if let Some(out) = open.get_mut(rpc).and_then(|entry| entry.out.remove(&tx)) {
            // A timer that has come due is off the queue, and its place there may be another's by now.
            if let Some(time_out) = out.time_out.filter(|_| why != Outcome::TimedOut) {
                self.timers.drop(&time_out);
            }
            // Its task may have ended this moment: then it was not stopped.
            let _ = out.stop.send(why);
        }
    }
}
