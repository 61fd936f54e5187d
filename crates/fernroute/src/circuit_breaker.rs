//! The circuit breaker of one upstream, fed by this balancer's own outcomes (Envoy: outlier detection).
//!
//! ```text
//! Closed --- share of bad outcomes, or a run of them ---> Open(until)
//!   ^                                                      |  ^
//!   |                                              time passes |
//!   |                                                      v  | any bad outcome
//!   +------------- all trials succeed ---------------- HalfOpen
//! ```
//!
//! An open breaker ejects the upstream; a half-open one lets a few trials pass. Each change of state begins a new epoch, and
//! outcomes of attempts that were sent in an earlier epoch are no evidence about the present state.

use crate::host::{Time, SECOND};
use nanorand::{Rng, WyRand};
use std::collections::VecDeque;

/// The state of a breaker. The derived `Debug` text appears in the log.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub(crate) enum State {
    /// The upstream is in use.
    #[default]
    Closed,
    /// The upstream is ejected until this moment.
    Open(Time),
    /// A few trials may pass.
    HalfOpen,
}

/// What one outcome says of the upstream.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Completed in the usual time.
    Success,
    /// Much slower than usual.
    Slow,
    /// Failed, perhaps because of a dependency of the upstream.
    Failure,
    /// Failed by itself: a refused connection or silence can't come from a dependency.
    UpstreamFailure,
}

/// See the module's description.
#[derive(Default)]
pub(crate) struct CircuitBreaker {
    state: State,
    /// The latest outcomes while closed, at most [`WINDOW`]; a change of state empties it.
    window: VecDeque<Verdict>,
    epoch: u32,
    trials_in_flight: u32,
    trials_succeeded: u32,
    /// [`Verdict::UpstreamFailure`] outcomes without another one between them.
    consecutive_failures: u32,
    /// Doublings of the open time, by trips that followed one another closely.
    doublings: u32,
    closed_at: Time,
}

/// Outcomes that a breaker remembers.
pub(crate) const WINDOW: usize = 50;
const MIN_OUTCOMES: usize = 20;
const BAD_SHARE: f64 = 0.5;
const TRIALS: u32 = 3;
/// How long a breaker stays open at first: a fault of a few seconds then costs one trip.
pub(crate) const OPEN_FOR: Time = 5 * SECOND;
/// Guards against a flapping upstream that passes its trials: a trip within this time of the last closing doubles the open time.
const FLAPPING_WITHIN: Time = 10 * SECOND;
const MAX_DOUBLINGS: u32 = 2;
/// Guards against dead upstreams where too few outcomes come to fill a window within a fault.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

impl CircuitBreaker {
    /// The present state.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Whether the upstream is in use.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Counts changes of state, and restarts of the upstream.
    pub(crate) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Begins anew for a process that has restarted.
    pub(crate) fn reset(&mut self) {
        *self = CircuitBreaker { epoch: self.epoch + 1, ..CircuitBreaker::default() };
    }

    fn change(&mut self, state: State) {
        self.state = state;
        self.window.clear();
        self.epoch += 1;
        (self.trials_in_flight, self.trials_succeeded, self.consecutive_failures) = (0, 0, 0);
    }

    /// Whether an attempt may pass. An open breaker whose time is over becomes half-open.
    pub(crate) fn allows(&mut self, now: Time) -> bool {
        if let State::Open(until) = self.state {
            if now < until {
                return false;
            }
            self.change(State::HalfOpen);
        }
        self.state == State::Closed || self.trials_in_flight + self.trials_succeeded < TRIALS
    }

    /// Counts an attempt that is sent now; whether it is a trial.
    pub(crate) fn attempt_started(&mut self) -> bool {
        let is_trial = self.state == State::HalfOpen;
        self.trials_in_flight += u32::from(is_trial);
        is_trial
    }

    /// Counts the end of a trial of the present epoch.
    pub(crate) fn trial_ended(&mut self) {
        self.trials_in_flight = self.trials_in_flight.saturating_sub(1);
    }

    /// Takes one verdict of the present epoch; whether the breaker should trip.
    pub(crate) fn record(&mut self, verdict: Verdict, now: Time) -> bool {
        if self.state == State::HalfOpen {
            return self.record_trial(verdict, now);
        }
        if self.window.len() == WINDOW {
            self.window.pop_front();
        }
        self.window.push_back(verdict);
        self.consecutive_failures =
            if verdict == Verdict::UpstreamFailure { self.consecutive_failures + 1 } else { 0 };
        let failed = |verdict: Verdict| matches!(verdict, Verdict::Failure | Verdict::UpstreamFailure);
        let share_exceeded = self.share_of(failed) >= BAD_SHARE
            || self.share_of(|verdict| verdict == Verdict::Slow) >= BAD_SHARE;
        self.window.len() >= MIN_OUTCOMES && share_exceeded
            || self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    fn record_trial(&mut self, verdict: Verdict, now: Time) -> bool {
        if verdict != Verdict::Success {
            return true;
        }
        self.trials_succeeded += 1;
        if self.trials_succeeded >= TRIALS {
            self.change(State::Closed);
            self.closed_at = now;
        }
        false
    }

    fn share_of(&self, matches: impl Fn(Verdict) -> bool) -> f64 {
        self.window.iter().filter(|verdict| matches(**verdict)).count() as f64 / self.window.len() as f64
    }

    /// Ejects the upstream, with a jitter of a fifth either way.
    pub(crate) fn trip(&mut self, now: Time, rng: &mut WyRand) {
        let is_flapping = self.state == State::HalfOpen || now < self.closed_at + FLAPPING_WITHIN;
        self.doublings = if is_flapping { (self.doublings + 1).min(MAX_DOUBLINGS) } else { 0 };
        let open_for = (OPEN_FOR << self.doublings) as f64;
        let open_for = open_for * (0.8 + 0.4 * rng.generate::<f64>());
        self.change(State::Open(now + open_for as Time));
    }
}
