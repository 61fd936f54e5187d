//! The ways out of service and back, and their times. A drain, an upgrade and the end differ in times alone: first no
//! balancer is said to be ready, then each answer closes its connection, then idle connections are closed too, and at
//! last what is open is ended. No I/O: it is told what happens, with the time.

use fernroute::host::SECOND;
use fernroute::Time;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serving,
    /// Asked to be empty; the program runs on.
    Draining,
    /// Told to stop.
    Leaving,
}

/// How far the closing of connections has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closing {
    Nothing,
    /// Each answer is the last on its connection.
    Answered,
    /// Idle ones are closed, too.
    Idle,
    /// What is open is errored.
    Open,
}

/// In which state the balancer is, since when, and how long its RPCs may last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase {
    state: State,
    since: Time,
    longest: Time,
}

/// The front asks every tenth of a second whether the balancer is ready, and sends new clients for two tenths more;
/// half a second leaves room for a busy machine.
const DRAIN_NOTICE: Time = SECOND / 2;

/// Callers that ask until then learn it from their answer; the others are sent away well before the two seconds after
/// which no RPC may come any more if the balancer is to be empty at four.
const DRAIN_IDLE: Time = SECOND * 3 / 2;

/// A balancer is killed no sooner than the longest deadline, of this at most, and 0.7 s more after it was told to
/// stop; two tenths are left for a busy machine.
const LONGEST: Time = 3 * SECOND;
const LAST: Time = SECOND / 2;

/// Told to stop, callers are kept as long as there is this much time for their RPCs: few take longer. Guards against
/// clients with nowhere to go, as when the balancer that was restarted before this one is not back yet.
const ROOM: Time = SECOND * 9 / 5;

/// For so long clients may still be sent here after it stopped to be ready.
const NOTICE: Time = SECOND / 2;

impl Phase {
    /// `longest` is the longest hard deadline of any RPC.
    pub fn new(longest: Time) -> Self {
        Phase { state: State::Serving, since: 0, longest }
    }

    pub fn is_ready(&self) -> bool {
        self.state == State::Serving
    }

    pub fn is_leaving(&self) -> bool {
        self.state == State::Leaving
    }

    /// Empties the balancer. One that is told to stop does so already.
    pub fn drain(&mut self, now: Time) {
        if self.state == State::Serving {
            (self.state, self.since) = (State::Draining, now);
        }
    }

    /// Back from a drain, at once. Who was told to stop goes on stopping.
    pub fn resume(&mut self, now: Time) {
        if self.state == State::Draining {
            (self.state, self.since) = (State::Serving, now);
        }
    }

    /// Told to stop.
    pub fn leave(&mut self, now: Time) {
        if self.state != State::Leaving {
            (self.state, self.since) = (State::Leaving, now);
        }
    }

    pub fn closing(&self, now: Time) -> Closing {
        let [answered, idle, open] = self.times();
        let passed = now.saturating_sub(self.since);
        let reached = |time: Option<Time>| time.is_some_and(|time| passed >= time);
        if reached(open) {
            Closing::Open
        } else if reached(idle) {
            Closing::Idle
        } else if reached(answered) {
            Closing::Answered
        } else {
            Closing::Nothing
        }
    }

    /// When each step of the closing is due, from the state's beginning on.
    fn times(&self) -> [Option<Time>; 3] {
        match self.state {
            State::Serving => [None; 3],
            State::Draining => [Some(DRAIN_NOTICE), Some(DRAIN_IDLE), None],
            State::Leaving => {
                let last = self.longest.min(LONGEST) + LAST;
                let notice = last.saturating_sub(ROOM).max(NOTICE);
                [Some(notice), Some(notice), Some(last)]
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn steps(phase: &Phase, from: Time) -> Vec<Closing> {
        [0, 400, 600, 1400, 1600, 3400, 3600, 90_000].map(|ms| phase.closing(from + ms * 10)).to_vec()
    }

    /// Guards against an operator who finds RPCs or idle connections four seconds after a drain, and against a drain
    /// that is begun anew, or undone by halves, by what is said twice.
    #[test]
    fn a_drain_closes_step_by_step_and_ends_at_once() {
        use Closing::{Answered, Idle, Nothing};
        let mut phase = Phase::new(6 * SECOND);
        phase.resume(1);
        assert!(phase.is_ready() && steps(&phase, 1).iter().all(|c| *c == Nothing));
        phase.drain(100);
        phase.drain(9_000);
        assert!(!phase.is_ready());
        assert_eq!(steps(&phase, 100), [Nothing, Nothing, Answered, Answered, Idle, Idle, Idle, Idle]);
        phase.resume(20_000);
        phase.resume(20_001);
        assert!(phase.is_ready() && steps(&phase, 20_000).iter().all(|c| *c == Nothing));
        phase.drain(30_000);
        assert_eq!(steps(&phase, 30_000)[4], Idle);
    }

    /// Guards against an operator's call that holds up the end: the end begins its own times, whatever came before,
    /// and nothing undoes it.
    #[test]
    fn the_end_is_not_undone() {
        use Closing::{Idle, Nothing, Open};
        let mut phase = Phase::new(6 * SECOND);
        phase.drain(0);
        phase.leave(50_000);
        phase.drain(50_001);
        phase.resume(50_002);
        phase.leave(60_000);
        assert!(!phase.is_ready() && phase.is_leaving());
        assert_eq!(steps(&phase, 50_000), [Nothing, Nothing, Nothing, Nothing, Nothing, Idle, Open, Open]);
        let mut short = Phase::new(SECOND);
        short.leave(0);
        assert_eq!(steps(&short, 0), [Nothing, Nothing, Idle, Idle, Open, Open, Open, Open]);
    }
}
