//! The ways out of service and back, and their times. A drain, an upgrade and the end differ in times alone: first the
//! balancer is not said to be ready, then each answer closes its connection, then idle connections are closed too, and
//! at last what is open is ended. No I/O: it is told what happens, with the time.

use fernroute::host::SECOND;
use fernroute::Time;

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

/// Since when the balancer is on each way out of service; on none it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase {
    /// It has not begun to serve: the process before it does, or its list is not to be trusted yet.
    waiting: bool,
    /// Asked to be empty; the program runs on.
    draining: Option<Time>,
    /// Another process of this balancer accepts in its place.
    handing_over: Option<Time>,
    /// Told to stop.
    leaving: Option<Time>,
    /// The longest hard deadline of any RPC.
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
    pub fn new(longest: Time) -> Self {
        Phase { waiting: false, draining: None, handing_over: None, leaving: None, longest }
    }

    /// What is taken from now on may last so long; what is open may still last as long as before.
    pub fn set_longest(&mut self, longest: Time) {
        self.longest = self.longest.max(longest);
    }

    pub fn is_ready(&self) -> bool {
        !self.waiting && self.draining.or(self.handing_over).or(self.leaving).is_none()
    }

    /// Not ready until it is said to begin.
    pub fn wait(&mut self) {
        self.waiting = true;
    }

    pub fn begin(&mut self) {
        self.waiting = false;
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    pub fn is_handing_over(&self) -> bool {
        self.handing_over.is_some()
    }

    /// Empties the balancer. One that is told to stop does so already.
    pub fn drain(&mut self, now: Time) {
        if self.leaving.is_none() {
            self.draining.get_or_insert(now);
        }
    }

    /// Back from a drain, at once. Who was told to stop goes on stopping.
    pub fn resume(&mut self) {
        self.draining = None;
    }

    /// A successor accepts from now on; new callers are its own.
    pub fn hand_over(&mut self, now: Time) {
        self.handing_over.get_or_insert(now);
    }

    /// The successor has gone: who comes, comes here again.
    pub fn take_back(&mut self) {
        self.handing_over = None;
    }

    /// Told to stop.
    pub fn leave(&mut self, now: Time) {
        self.leaving.get_or_insert(now);
    }

    pub fn closing(&self, now: Time) -> Closing {
        let last = self.longest.min(LONGEST) + LAST;
        let notice = last.saturating_sub(ROOM).max(NOTICE);
        // A caller whose connection ends with its answer finds the successor at the same address. Idle ones may stay as
        // long as when there is none: one that ends as its next RPC crosses costs the caller a second try.
        let handed = self.handing_over.is_some();
        let ways = [
            (self.draining, [Some(DRAIN_NOTICE), Some(DRAIN_IDLE), None]),
            (self.handing_over, [Some(0), Some(notice), None]),
            (self.leaving, [(!handed).then_some(notice), (!handed).then_some(notice), Some(last)]),
        ];
        let reached = |(since, times): (Option<Time>, [Option<Time>; 3])| {
            let passed = now.saturating_sub(since?);
            let steps = [Closing::Answered, Closing::Idle, Closing::Open];
            let due = |(_, time): &(Closing, Option<Time>)| time.is_some_and(|time| passed >= time);
            steps.into_iter().zip(times).filter(due).map(|(step, _)| step).max()
        };
        ways.into_iter().filter_map(reached).max().unwrap_or(Closing::Nothing)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Closing::{Answered, Idle, Nothing, Open};

    fn steps(phase: &Phase, from: Time) -> Vec<Closing> {
        [0, 400, 600, 1400, 1600, 1800, 3400, 3600].map(|ms| phase.closing(from + ms * 10)).to_vec()
    }

    const SERVING: [Closing; 8] = [Nothing; 8];
    const LEAVING: [Closing; 8] = [Nothing, Nothing, Nothing, Nothing, Nothing, Idle, Idle, Open];

    /// Guards against an operator who finds RPCs or idle connections four seconds after a drain, and against a drain
    /// that is begun anew, or undone by halves, by what is said twice.
    #[test]
    fn a_drain_closes_step_by_step_and_ends_at_once() {
        let mut phase = Phase::new(6 * SECOND);
        phase.resume();
        assert!(phase.is_ready() && steps(&phase, 1) == SERVING);
        phase.drain(100);
        phase.drain(9_000);
        assert!(!phase.is_ready());
        assert_eq!(steps(&phase, 100), [Nothing, Nothing, Answered, Answered, Idle, Idle, Idle, Idle]);
        phase.resume();
        phase.resume();
        assert!(phase.is_ready() && steps(&phase, 20_000) == SERVING);
        phase.drain(30_000);
        assert_eq!(steps(&phase, 30_000)[4], Idle);
    }

    /// Guards against an operator's call that holds up the end or undoes it; one that drained before has nothing to
    /// wait for.
    #[test]
    fn the_end_is_not_undone() {
        let mut phase = Phase::new(6 * SECOND);
        phase.leave(50_000);
        phase.drain(50_001);
        phase.resume();
        phase.leave(60_000);
        assert!(!phase.is_ready() && phase.is_leaving());
        assert_eq!(steps(&phase, 50_000), LEAVING);
        let mut drained = Phase::new(6 * SECOND);
        drained.drain(0);
        drained.leave(50_000);
        assert_eq!(steps(&drained, 50_000), [Idle, Idle, Idle, Idle, Idle, Idle, Idle, Open]);
        drained.resume();
        assert!(!drained.is_ready() && steps(&drained, 50_000) == LEAVING);
        let mut short = Phase::new(SECOND);
        short.leave(0);
        assert_eq!(steps(&short, 0), [Nothing, Nothing, Idle, Idle, Open, Open, Open, Open]);
    }

    /// Guards against callers that stay with the old process of an upgrade, and against a balancer that nobody serves
    /// because its successor died.
    #[test]
    fn a_successor_gets_the_callers_and_gives_them_back_by_dying() {
        let handed = [Answered, Answered, Answered, Answered, Answered, Idle, Idle, Idle];
        let mut phase = Phase::new(6 * SECOND);
        phase.hand_over(0);
        phase.hand_over(9);
        assert!(!phase.is_ready() && phase.is_handing_over());
        assert_eq!(steps(&phase, 0), handed);
        phase.leave(0);
        assert_eq!(steps(&phase, 0)[..7], handed[..7]);
        assert_eq!(steps(&phase, 0)[7], Open);
        phase.take_back();
        assert!(!phase.is_ready() && steps(&phase, 0) == LEAVING);
        let mut phase = Phase::new(6 * SECOND);
        phase.hand_over(0);
        phase.take_back();
        assert!(phase.is_ready() && steps(&phase, 0) == SERVING);
        phase.wait();
        assert!(!phase.is_ready());
        phase.begin();
        assert!(phase.is_ready());
        // What an operator asked for holds for this process, whatever its successor does.
        phase.drain(0);
        phase.hand_over(10_000);
        phase.take_back();
        assert!(!phase.is_ready());
    }
}
