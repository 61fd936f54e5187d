//! What the decisions need from the place they run in: the [`Host`] they act through, and a few small types.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// Whole tenths of a millisecond: a moment of the host's clock, or a length of time.
pub type Time = u64;

/// One second, as a [`Time`].
pub const SECOND: Time = 10_000;

/// What the balancer is told at start: names to values, times already in [`Time`] units.
pub type Settings = BTreeMap<String, String>;

/// Everything a balancer can do. Calls take effect at the moment they are made.
pub trait Host {
    /// Sends the RPC to an upstream; its transmissions count 0, 1, 2 … in the order of these calls. One whose last
    /// byte has not left at the moment `write_deadline` is never whole, and ends as [`Outcome::NotSent`].
    fn start_attempt(&mut self, rpc: &str, upstream: &str, timeout: Time, write_deadline: Option<Time>);
    /// Stops waiting for one transmission; what became of it is still reported.
    fn cancel_attempt(&mut self, rpc: &str, attempt: usize);
    /// Final answer: declined, and asking again does no harm. `retry_after` of 0 is no advice.
    fn reject(&mut self, rpc: &str, retry_after: Time);
    /// Final answer: no luck, and nothing is promised about effects.
    fn fail(&mut self, rpc: &str);
    /// Has `timer` called with this value after the given time.
    fn set_timer(&mut self, after: Time, timer: Timer);
    /// Asks for changes to the list of upstreams from now on.
    fn watch_endpoints(&mut self);
    /// Leaves a line for the people on call.
    fn log(&mut self, line: &str);
}

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The RPC of this id waits until an upstream may take it.
    Queued(Rc<str>),
    /// The endpoint list is due to be asked for. Polls are numbered, and only the latest one counts.
    EndpointPoll(u32),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Failed,
    /// Turned away unseen.
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never left this balancer.
    NotSent,
    /// A word that this version does not know; it may have run.
    Unknown,
}

impl Outcome {
    /// Whether this outcome proves that the upstream never ran the RPC.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A setting that will not do: missing or unreadable, out of range, or at odds with another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    pub setting: String,
    pub why: &'static str,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.why, self.setting)
    }
}

impl std::error::Error for InvalidSetting {}
