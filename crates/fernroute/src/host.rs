//! What the decisions need from the place they run in: the [`Host`] they act through, and a few small types.

use std::collections::BTreeMap;
use std::fmt;

/// Whole tenths of a millisecond: a moment of the host's clock, or a length of time.
pub type Time = u64;

/// One second, as a [`Time`].
pub const SECOND: Time = 10_000;

/// What the balancer is told at start: names to values, times already in [`Time`] units.
pub type Terms = BTreeMap<String, String>;

/// Everything a balancer can do. Calls take effect at the moment they are made.
pub trait Host {
    /// Sends the RPC to an upstream; its transmissions count 0, 1, 2 … in the order of these calls. One whose last
    /// byte has not left at the moment `written_by` is never whole, and ends as [`Outcome::Moot`].
    fn transmit(&mut self, rpc: &str, upstream: &str, time_out: Time, written_by: Option<Time>);
    /// Stops waiting for one transmission; what became of it is still reported.
    fn cancel(&mut self, rpc: &str, tx: usize);
    /// Final answer: declined, and asking again does no harm. `stay_away` of 0 is no advice.
    fn exhaust(&mut self, rpc: &str, stay_away: Time);
    /// Final answer: no luck, and nothing is promised about effects.
    fn error(&mut self, rpc: &str);
    /// Has `timer` called with this token after the given time.
    fn set_timer(&mut self, after: Time, token: &str);
    /// Asks for changes to the list of upstreams from now on.
    fn follow_list(&mut self);
    /// Leaves a line for the people on call.
    fn log(&mut self, line: &str);
}

/// How a transmission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Errored,
    /// Turned away unseen.
    Exhausted,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never left this balancer.
    Moot,
    /// A word that this version does not know; it may have run.
    Unknown,
}

impl Outcome {
    /// Whether this outcome proves that the upstream never ran the RPC.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Exhausted | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// A term that will not do: missing or unreadable, out of range, or at odds with another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadTerm {
    pub term: String,
    pub why: &'static str,
}

impl fmt::Display for BadTerm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.why, self.term)
    }
}

impl std::error::Error for BadTerm {}
