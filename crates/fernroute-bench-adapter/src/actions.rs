//! What balancers do, as lines of the wire.

use fernroute::host::{Host, Time, Timer};
use fernroute_settings::format_seconds;
use std::cell::RefCell;
use std::fmt::{Arguments, Write as _};
use std::rc::Rc;

/// One instance's actions, written as they are made. The balancer and the session that flushes them share it.
#[derive(Clone, Default)]
pub struct ActionWriter {
    /// Lines that have not been flushed; the balancer adds, [`ActionWriter::take_into`] empties.
    lines: Rc<RefCell<String>>,
}

impl ActionWriter {
    /// Hands the lines over, if there are any, and forgets them.
    pub fn take_into<E>(&self, write: impl FnOnce(&str) -> Result<(), E>) -> Result<(), E> {
        let mut lines = self.lines.borrow_mut();
        if lines.is_empty() {
            return Ok(());
        }
        let written = write(&lines);
        lines.clear();
        written
    }

    fn push(&self, line: Arguments<'_>) {
        let mut lines = self.lines.borrow_mut();
        // Writing to a string does not fail.
        let _ = lines.write_fmt(line);
        lines.push('\n');
    }
}

impl Host for ActionWriter {
    fn start_attempt(&mut self, rpc: &str, upstream: &str, timeout: Time, _: Option<Time>) {
        let cap = format_seconds(timeout);
        self.push(format_args!("hand_off\tcall={rpc}\tupstream={upstream}\tcap-s={cap}"));
    }

    fn cancel_attempt(&mut self, rpc: &str, attempt: usize) {
        self.push(format_args!("abort_attempt\tcall={rpc}\thop={attempt}"));
    }

    fn reject(&mut self, rpc: &str, retry_after: Time) {
        self.push(format_args!("bounce\tcall={rpc}\tpause-s={}", format_seconds(retry_after)));
    }

    fn fail(&mut self, rpc: &str) {
        self.push(format_args!("surrender\tcall={rpc}"));
    }

    fn set_timer(&mut self, after: Time, timer: Timer) {
        let key = timer_key(&timer);
        self.push(format_args!("sleep\twait-s={}\tkey-back={key}", format_seconds(after)));
    }

    fn watch_endpoints(&mut self) {
        self.push(format_args!("keep_informed\twant=1"));
    }

    fn log(&mut self, line: &str) {
        self.push(format_args!("journal_line\tline={line}"));
    }
}

/// The text under which the wire gives a timer back.
fn timer_key(timer: &Timer) -> String {
    match timer {
        Timer::Queued(rpc) => format!("held:{rpc}"),
        Timer::EndpointPoll(poll) => format!("ask:{poll}"),
    }
}

/// The timer of such a text; none for one that no timer of this version has.
pub fn timer_of_key(key: &str) -> Option<Timer> {
    match key.split_once(':')? {
        ("held", rpc) => Some(Timer::Queued(rpc.into())),
        ("ask", poll) => poll.parse().ok().map(Timer::EndpointPoll),
        _ => None,
    }
}
