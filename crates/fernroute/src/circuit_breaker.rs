//! The circuit breaker of one upstream, fed by the outcomes of this balancer's own attempts (Envoy: outlier detection).
//!
//! ```text
//! Closed --- share of bad outcomes, or a run of them ---> Open(until)
//!   ^                                                      |  ^
//!   |                                              time passes |
//!   |                                                      v  | any bad outcome
//!   +------------- all trials succeed ---------------- HalfOpen
//! ```
//!
//! An open breaker ejects the upstream; a half-open one allows a few trials. Each change of state begins a new epoch, and the
//! outcomes of attempts that were sent in an earlier epoch are ignored.

use crate::host::{Time, SECOND};
use nanorand::{Rng, WyRand};
use std::collections::VecDeque;

/// The state of a breaker. The derived `Debug` text appears in the log.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub(crate) enum State {
    /// The upstream is in use.
    #[default]
    Closed,
    /// The upstream is ejected until this time.
    Open(Time),
    /// A few trials are allowed.
    HalfOpen,
}

/// The evidence of one outcome about the upstream.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Completed, and not slow.
    Success,
    /// Completed much slower than the mean.
    Slow,
    /// Failed, perhaps because of a dependency of the upstream.
    Failure,
    /// Failed at the upstream itself: a refused connection or no response at all cannot come from a dependency.
    UpstreamFailure,
}

/// See the module's documentation.
#[derive(Default)]
pub(crate) struct CircuitBreaker {
    state: State,
    /// The latest verdicts while closed, at most [`WINDOW_SIZE`]; cleared by a change of state.
    window: VecDeque<Verdict>,
    epoch: u32,
    trials_in_flight: u32,
    trials_succeeded: u32,
    /// Verdicts of [`Verdict::UpstreamFailure`] in a row.
    consecutive_failures: u32,
    /// How often the open time was doubled, for trips in close succession.
    doublings: u32,
    closed_at: Time,
}

/// The number of verdicts that a breaker keeps.
pub(crate) const WINDOW_SIZE: usize = 50;
const MIN_OUTCOMES: usize = 20;
const BAD_SHARE: f64 = 0.5;
const MAX_TRIALS: u32 = 3;
/// How long a breaker stays open at first, so that a fault of a few seconds causes one trip.
pub(crate) const INITIAL_OPEN_TIME: Time = 5 * SECOND;
/// A trip within this time of the last closing doubles the open time, for a flapping upstream that passes its trials.
const FLAPPING_WINDOW: Time = 10 * SECOND;
const MAX_DOUBLINGS: u32 = 2;
/// Detects dead upstreams where too few outcomes come to fill the window during a fault.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

impl CircuitBreaker {
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Whether the upstream is in use.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// The number of changes of state and of restarts of the upstream.
    pub(crate) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Resets the breaker for a process that has restarted.
    pub(crate) fn reset(&mut self) {
        *self = CircuitBreaker { epoch: self.epoch + 1, ..CircuitBreaker::default() };
    }

    fn set_state(&mut self, state: State) {
        self.state = state;
        self.window.clear();
        self.epoch += 1;
        (self.trials_in_flight, self.trials_succeeded, self.consecutive_failures) = (0, 0, 0);
    }

    /// Whether an attempt is allowed. An open breaker becomes half-open once its time is over.
    pub(crate) fn allows(&mut self, now: Time) -> bool {
        if let State::Open(until) = self.state {
            if now < until {
                return false;
            }
            self.set_state(State::HalfOpen);
        }
        self.state == State::Closed || self.trials_in_flight + self.trials_succeeded < MAX_TRIALS
    }

    /// Counts an attempt that is sent now; returns whether it is a trial.
    pub(crate) fn attempt_started(&mut self) -> bool {
        let is_trial = self.state == State::HalfOpen;
        self.trials_in_flight += u32::from(is_trial);
        is_trial
    }

    /// Counts the end of a trial of the present epoch.
    pub(crate) fn trial_ended(&mut self) {
        self.trials_in_flight = self.trials_in_flight.saturating_sub(1);
    }

    /// Records a verdict of the present epoch; returns whether the breaker should trip.
    pub(crate) fn record(&mut self, verdict: Verdict, now: Time) -> bool {
        if self.state == State::HalfOpen {
            return self.record_trial(verdict, now);
        }
        if self.window.len() == WINDOW_SIZE {
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
        if self.trials_succeeded >= MAX_TRIALS {
            self.set_state(State::Closed);
            self.closed_at = now;
        }
        false
    }

    fn share_of(&self, matches: impl Fn(Verdict) -> bool) -> f64 {
        self.window.iter().filter(|verdict| matches(**verdict)).count() as f64 / self.window.len() as f64
    }

    /// Ejects the upstream, with a jitter of 20 % either way.
    pub(crate) fn trip(&mut self, now: Time, rng: &mut WyRand) {
        let is_flapping = self.state == State::HalfOpen || now < self.closed_at + FLAPPING_WINDOW;
        self.doublings = if is_flapping { (self.doublings + 1).min(MAX_DOUBLINGS) } else { 0 };
        let open_for = (INITIAL_OPEN_TIME << self.doublings) as f64;
        let open_for = open_for * (0.8 + 0.4 * rng.generate::<f64>());
        self.set_state(State::Open(now + open_for as Time));
    }
}
