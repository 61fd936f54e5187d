//! Formats the actions of balancers as lines of the bench protocol.

use fernroute::host::{Host, Time, Timer};
use fernroute_settings::format_seconds;
use std::cell::RefCell;
use std::fmt::{Arguments, Write as _};
use std::rc::Rc;

/// A [`Host`] that formats the actions of one instance as they are made. The balancer and the session share it.
#[derive(Clone, Default)]
pub struct ActionWriter {
    /// Lines that have not been written; the balancer adds lines, and [`ActionWriter::drain_to`] removes them.
    lines: Rc<RefCell<String>>,
}

impl ActionWriter {
    /// Passes the lines to `write`, if there are any, and removes them.
    pub fn drain_to<E>(&self, write: impl FnOnce(&str) -> Result<(), E>) -> Result<(), E> {
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
        // Writing to a string cannot fail.
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
        let key = format_timer_key(&timer);
        self.push(format_args!("sleep\twait-s={}\tkey-back={key}", format_seconds(after)));
    }

    fn watch_endpoints(&mut self) {
        self.push(format_args!("keep_informed\twant=1"));
    }

    fn log(&mut self, line: &str) {
        self.push(format_args!("journal_line\tline={line}"));
    }
}

/// The key by which the protocol identifies a timer.
fn format_timer_key(timer: &Timer) -> String {
    match timer {
        Timer::Queued(rpc) => format!("held:{rpc}"),
        Timer::EndpointPoll(poll) => format!("ask:{poll}"),
    }
}

/// The timer of a key; none for a key that this version does not know.
pub fn parse_timer_key(key: &str) -> Option<Timer> {
    match key.split_once(':')? {
        ("held", rpc) => Some(Timer::Queued(rpc.into())),
        ("ask", poll) => poll.parse().ok().map(Timer::EndpointPoll),
        _ => None,
    }
}
