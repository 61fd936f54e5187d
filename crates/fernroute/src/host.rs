//! What the decisions need from the program that they run in: the [`Host`] through which they act, and the types of its calls.

use std::collections::BTreeMap;
use std::rc::Rc;

/// A moment of the host's clock, or a length of time, in tenths of a millisecond.
pub type Time = u64;

/// One second, as a [`Time`].
pub const SECOND: Time = 10_000;

/// The settings of a balancer by their names; times are in units of [`Time`] already. [`crate::settings`] reads them.
pub type Settings = BTreeMap<String, String>;

/// Everything that a balancer can do. A call takes effect at the moment that it is made.
pub trait Host {
    /// Sends an RPC to an upstream. The attempts of an RPC are numbered 0, 1, 2 and so on, in the order of these calls. An attempt
    /// whose last byte has not left by `write_deadline` is never complete, and ends as [`Outcome::NotSent`].
    fn start_attempt(&mut self, rpc: &str, upstream: &str, timeout: Time, write_deadline: Option<Time>);

    /// Stops waiting for an attempt; its outcome is reported all the same.
    fn cancel_attempt(&mut self, rpc: &str, attempt: usize);

    /// Gives the final answer that the RPC was not carried out, and that a retry is harmless. A `retry_after` of 0 advises nothing.
    fn reject(&mut self, rpc: &str, retry_after: Time);

    /// Gives the final answer that the RPC failed, without a promise about its effects.
    fn fail(&mut self, rpc: &str);

    /// Has [`crate::Balancer::timer_fired`] called with this timer after this time.
    fn set_timer(&mut self, after: Time, timer: Timer);

    /// Watches the endpoint list from now on, or polls it.
    fn watch_endpoints(&mut self);

    /// Logs a line for operators.
    fn log(&mut self, line: &str);
}

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The RPC with this id is queued until an upstream may take it.
    Queued(Rc<str>),
    /// The endpoint list is due to be polled. Polls are numbered, and only the latest one counts.
    EndpointPoll(u32),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered with success.
    Completed,
    /// The upstream answered with a failure.
    Failed,
    /// The upstream rejected the RPC without running it.
    Rejected,
    /// No answer came in the attempt's time.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The balancer cancelled it.
    Cancelled,
    /// It never left this balancer completely.
    NotSent,
    /// An outcome that this version does not know; the RPC may have run.
    Unknown,
}

impl Outcome {
    /// Whether this outcome proves that the upstream never ran the RPC.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A setting that can't be used: missing, unreadable, out of range, or in conflict with another.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}: {setting}")]
pub struct InvalidSetting {
    /// The setting's name.
    pub setting: String,
    /// What is wrong with it.
    pub reason: &'static str,
}
