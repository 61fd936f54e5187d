//! The stages of taking the balancer out of service and back. A drain, an upgrade and a shutdown differ only in timing:
//! first the balancer reports that it is not ready, then each answer closes its connection, then idle connections are
//! closed too, and finally open RPCs are ended. No I/O: the caller passes in events and the time.

use fernroute::host::SECOND;
use fernroute::Time;

/// The stage of closing callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closing {
    Nothing,
    /// Each answer is the last on its connection.
    AfterAnswer,
    /// Idle connections are closed, too.
    Idle,
    /// Open RPCs are ended as errored.
    OpenRpcs,
}

/// When each way of leaving service began; the balancer serves while all are `None` and it is not waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase {
    /// Not serving yet: the predecessor process still does, or the list of upstreams is not confirmed yet.
    waiting: bool,
    /// An operator has asked for a drain; the process keeps running.
    draining: Option<Time>,
    /// A successor process of this balancer accepts connections.
    handing_over: Option<Time>,
    /// The process has been told to stop.
    shutting_down: Option<Time>,
    /// The longest hard deadline of any RPC.
    longest_deadline: Time,
}

/// From a drain to the first closing answers. The load balancer in front checks readiness every 0.1 s and sends new
/// callers for 0.2 s more; the rest allows for a busy machine.
const DRAIN_ANSWER_DELAY: Time = SECOND / 2;

/// From a drain to the closing of idle connections. Callers that send an RPC before then have their connection closed by
/// its answer. For the balancer to be empty after 4 s, no RPC may arrive later than 2 s after the drain.
const DRAIN_IDLE_DELAY: Time = SECOND * 3 / 2;

/// A balancer that was told to stop is killed no sooner than the longest hard deadline, up to this limit, plus 0.7 s.
const MAX_DEADLINE_AT_SHUTDOWN: Time = 3 * SECOND;
/// How long after that deadline open RPCs are ended: 0.2 s of the 0.7 s are left for a busy machine.
const SHUTDOWN_MARGIN: Time = SECOND / 2;

/// At shutdown, callers' connections are kept until this much time is left for their RPCs; few take longer. Closing them
/// at once would leave callers without a balancer if the one that was restarted before this one is not back yet.
const RPC_TIME_AT_SHUTDOWN: Time = SECOND * 9 / 5;

/// How long callers may still be sent here after the balancer has stopped being ready.
const READINESS_DELAY: Time = SECOND / 2;

impl Phase {
    pub fn new(longest_deadline: Time) -> Self {
        Phase { waiting: false, draining: None, handing_over: None, shutting_down: None, longest_deadline }
    }

    /// Raises the longest hard deadline. It is never lowered, as open RPCs keep their deadlines.
    pub fn raise_longest_deadline(&mut self, longest: Time) {
        self.longest_deadline = self.longest_deadline.max(longest);
    }

    pub fn is_ready(&self) -> bool {
        !self.waiting && self.draining.or(self.handing_over).or(self.shutting_down).is_none()
    }

    /// Not ready until `start_serving` is called.
    pub fn start_waiting(&mut self) {
        self.waiting = true;
    }

    pub fn start_serving(&mut self) {
        self.waiting = false;
    }

    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.is_some()
    }

    pub fn is_handing_over(&self) -> bool {
        self.handing_over.is_some()
    }

    /// Starts a drain. Has no effect during a shutdown, which empties the balancer anyway.
    pub fn drain(&mut self, now: Time) {
        if self.shutting_down.is_none() {
            self.draining.get_or_insert(now);
        }
    }

    /// Ends a drain at once. A shutdown continues.
    pub fn resume(&mut self) {
        self.draining = None;
    }

    /// From now on a successor accepts new connections.
    pub fn hand_over(&mut self, now: Time) {
        self.handing_over.get_or_insert(now);
    }

    /// The successor has ended: this process accepts new connections again.
    pub fn cancel_hand_over(&mut self) {
        self.handing_over = None;
    }

    pub fn shut_down(&mut self, now: Time) {
        self.shutting_down.get_or_insert(now);
    }

    pub fn closing(&self, now: Time) -> Closing {
        let end = self.longest_deadline.min(MAX_DEADLINE_AT_SHUTDOWN) + SHUTDOWN_MARGIN;
        let closing = end.saturating_sub(RPC_TIME_AT_SHUTDOWN).max(READINESS_DELAY);
        // A caller whose connection closes with its answer finds the successor at the same address. Idle connections stay
        // as long as without a successor: closing one while an RPC is on its way costs the caller a retry.
        let has_successor = self.handing_over.is_some();
        let ways = [
            (self.draining, [Some(DRAIN_ANSWER_DELAY), Some(DRAIN_IDLE_DELAY), None]),
            (self.handing_over, [Some(0), Some(closing), None]),
            (
                self.shutting_down,
                [(!has_successor).then_some(closing), (!has_successor).then_some(closing), Some(end)],
            ),
        ];
        let reached = |(since, times): (Option<Time>, [Option<Time>; 3])| {
            let passed = now.saturating_sub(since?);
            let steps = [Closing::AfterAnswer, Closing::Idle, Closing::OpenRpcs];
            let is_reached = |(_, time): &(Closing, Option<Time>)| time.is_some_and(|time| passed >= time);
            steps.into_iter().zip(times).filter(is_reached).map(|(step, _)| step).max()
        };
        ways.into_iter().filter_map(reached).max().unwrap_or(Closing::Nothing)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Closing::{AfterAnswer, Idle, Nothing, OpenRpcs};

    fn steps(phase: &Phase, from: Time) -> Vec<Closing> {
        [0, 400, 600, 1400, 1600, 1800, 3400, 3600].map(|ms| phase.closing(from + ms * 10)).to_vec()
    }

    const SERVING: [Closing; 8] = [Nothing; 8];
    const SHUTTING_DOWN: [Closing; 8] = [Nothing, Nothing, Nothing, Nothing, Nothing, Idle, Idle, OpenRpcs];

    /// Guards against RPCs or idle connections left four seconds after a drain, and against a repeated drain that starts
    /// over or a repeated resume that undoes only part of it.
    #[test]
    fn drain_closes_in_stages_and_resume_ends_it_at_once() {
        let mut phase = Phase::new(6 * SECOND);
        phase.resume();
        assert!(phase.is_ready() && steps(&phase, 1) == SERVING);
        phase.drain(100);
        phase.drain(9_000);
        assert!(!phase.is_ready());
        assert_eq!(steps(&phase, 100), [Nothing, Nothing, AfterAnswer, AfterAnswer, Idle, Idle, Idle, Idle]);
        phase.resume();
        phase.resume();
        assert!(phase.is_ready() && steps(&phase, 20_000) == SERVING);
        phase.drain(30_000);
        assert_eq!(steps(&phase, 30_000)[4], Idle);
    }

    /// Guards against an operator's call that delays or undoes a shutdown. A balancer that has drained before has nothing
    /// to wait for.
    #[test]
    fn shutdown_is_not_undone() {
        let mut phase = Phase::new(6 * SECOND);
        phase.shut_down(50_000);
        phase.drain(50_001);
        phase.resume();
        phase.shut_down(60_000);
        assert!(!phase.is_ready() && phase.is_shutting_down());
        assert_eq!(steps(&phase, 50_000), SHUTTING_DOWN);
        let mut drained = Phase::new(6 * SECOND);
        drained.drain(0);
        drained.shut_down(50_000);
        assert_eq!(steps(&drained, 50_000), [Idle, Idle, Idle, Idle, Idle, Idle, Idle, OpenRpcs]);
        drained.resume();
        assert!(!drained.is_ready() && steps(&drained, 50_000) == SHUTTING_DOWN);
        let mut short = Phase::new(SECOND);
        short.shut_down(0);
        assert_eq!(steps(&short, 0), [Nothing, Nothing, Idle, Idle, OpenRpcs, OpenRpcs, OpenRpcs, OpenRpcs]);
    }

    /// Guards against callers that stay with the old process of an upgrade, and against a balancer that no process serves
    /// because its successor ended.
    #[test]
    fn successor_takes_over_the_callers_until_it_ends() {
        let handed = [AfterAnswer, AfterAnswer, AfterAnswer, AfterAnswer, AfterAnswer, Idle, Idle, Idle];
        let mut phase = Phase::new(6 * SECOND);
        phase.hand_over(0);
        phase.hand_over(9);
        assert!(!phase.is_ready() && phase.is_handing_over());
        assert_eq!(steps(&phase, 0), handed);
        phase.shut_down(0);
        assert_eq!(steps(&phase, 0)[..7], handed[..7]);
        assert_eq!(steps(&phase, 0)[7], OpenRpcs);
        phase.cancel_hand_over();
        assert!(!phase.is_ready() && steps(&phase, 0) == SHUTTING_DOWN);
        let mut phase = Phase::new(6 * SECOND);
        phase.hand_over(0);
        phase.cancel_hand_over();
        assert!(phase.is_ready() && steps(&phase, 0) == SERVING);
        phase.start_waiting();
        assert!(!phase.is_ready());
        phase.start_serving();
        assert!(phase.is_ready());
        // An operator's drain of this process holds, whatever its successor does.
        phase.drain(0);
        phase.hand_over(10_000);
        phase.cancel_hand_over();
        assert!(!phase.is_ready());
    }
}
