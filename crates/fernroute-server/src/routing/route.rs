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
            log::error!("RPC {rpc} is to be sent, but is not open");
            return;
        };
        let tx = entry.made;
        entry.made += 1;
        let (stop, stopped) = oneshot::channel();
        let due = Due::Transmission { rpc: Rc::clone(rpc), tx };
        entry.out.insert(tx, Out { stop, time_out: self.timers.set(time_out, due) });
        let line = self.lines.borrow().get(upstream).map(|(_, line)| Rc::clone(line));
        let request = Rc::clone(&entry.request);
        log::debug!("RPC {rpc} transmission {tx} to {upstream}");
        actix_rt::spawn(Rc::clone(self).transmission(Rc::clone(rpc), tx, request, line, time_out, stopped));
    }

    /// Ends a transmission that is out; how it ended is booked by its own task.
    pub(super) fn stop(&self, rpc: &str, tx: usize, why: Outcome) {
        let mut open = self.open.borrow_mut();
        if let Some(out) = open.get_mut(rpc).and_then(|entry| entry.out.remove(&tx)) {
            // A timer that has come due is off the queue, and its place there may be another's by now.
            if why != Outcome::TimedOut {
                self.timers.drop(&out.time_out);
            }
            // Its task may have ended this moment: then it was not stopped.
            let _ = out.stop.send(why);
        }
    }
}
