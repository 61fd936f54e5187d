//! The interface between the decisions and the program that runs them: the [`Host`] trait, and the types of its calls.

use std::collections::BTreeMap;
use std::rc::Rc;

/// A point in time by the host's clock, or a duration, in units of 0.1 ms.
pub type Time = u64;

/// One second, as a [`Time`].
pub const SECOND: Time = 10_000;

/// The settings of a balancer by name; times are in units of [`Time`]. [`crate::settings`] parses them.
pub type Settings = BTreeMap<String, String>;

/// The actions of a balancer. A call takes effect at the time that it is made.
pub trait Host {
    /// Sends an RPC to an upstream. The attempts of an RPC are numbered 0, 1, 2 and so on, in the order of these calls. An attempt
    /// whose last byte has not left by `write_deadline` must never be completed, and ends as [`Outcome::NotSent`].
    fn start_attempt(&mut self, rpc: &str, upstream: &str, timeout: Time, write_deadline: Option<Time>);

    /// Cancels an attempt; its outcome is still reported.
    fn cancel_attempt(&mut self, rpc: &str, attempt: usize);

    /// Gives the final answer that the RPC is rejected and that a retry is harmless. A `retry_after` of 0 stands for no advice.
    fn reject(&mut self, rpc: &str, retry_after: Time);

    /// Gives the final answer that the RPC failed; it may have taken effect.
    fn fail(&mut self, rpc: &str);

    /// Schedules a call of [`crate::Balancer::timer_fired`] with this timer.
    fn set_timer(&mut self, after: Time, timer: Timer);

    /// Starts to watch the endpoint list, or polls it once.
    fn watch_endpoints(&mut self);

    /// Logs a line for operators.
    fn log(&mut self, line: &str);
}

/// The purpose of a timer.
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
    /// The upstream responded with success.
    Completed,
    /// The upstream responded with an error.
    Failed,
    /// The upstream rejected the RPC without running it.
    Rejected,
    /// No response came within the attempt's time-out.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The balancer cancelled it.
    Cancelled,
    /// It was not sent completely.
    NotSent,
    /// An outcome that this version does not know; the upstream may have run the RPC.
    Unknown,
}

impl Outcome {
    /// Whether this outcome proves that the upstream never ran the RPC.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A setting that cannot be used: missing, unreadable, out of range, or in conflict with another.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}: {setting}")]
pub struct InvalidSetting {
    /// The setting's name.
    pub setting: String,
    /// What is wrong with it.
    pub reason: &'static str,
}
