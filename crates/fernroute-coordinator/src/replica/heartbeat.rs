//! Replies to the heartbeats of members.

use super::{now, Replica};
use fernroute_fleet::message::{Heartbeat, HeartbeatError, HeartbeatReply};

impl Replica {
    /// Replies to a member's heartbeat.
    ///
    /// # Errors
    /// Where this replica does not lead, or the leader rejects the member.
    pub async fn on_heartbeat(&self, heartbeat: &Heartbeat) -> Result<HeartbeatReply, HeartbeatError> {
        self.record_heartbeat(heartbeat)?;
        // After the heartbeat has arrived: a majority confirms the leader, and all committed entries are applied.
        let confirmed = match self.raft() {
            Some(raft) => raft.ensure_linearizable().await.is_ok(),
            None => false,
        };
        if !confirmed {
            return Err(HeartbeatError::NotLeader(self.leader_address()));
        }
        let mut leadership = self.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else {
            return Err(HeartbeatError::NotLeader(None));
        };
        let state = self.state_machine.state.borrow();
        let reply = leadership.budgets.reply(heartbeat, &state.ledger, &state.register);
        let reply = reply.map_err(HeartbeatError::Rejected)?;
        Ok(HeartbeatReply { duties: leadership.duties.assignments_for(heartbeat, &state.duties), ..reply })
    }

    fn record_heartbeat(&self, heartbeat: &Heartbeat) -> Result<(), HeartbeatError> {
        self.update_leadership();
        let mut leadership = self.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else {
            return Err(HeartbeatError::NotLeader(self.leader_address()));
        };
        leadership.duties.on_heartbeat(now(), heartbeat);
        self.ledger(|ledger| leadership.budgets.on_heartbeat(now(), heartbeat, ledger))
            .map_err(HeartbeatError::Rejected)
    }
}
