//! What a replica does while it leads: it keeps the leader's state and commits the leader's decisions.

use super::{now, Replica, POLL_INTERVAL};
use crate::Raft;
use fernroute_fleet::duties;
use fernroute_fleet::leader::Leader;
use fernroute_fleet::ledger::Entry;
use openraft::error::{ClientWriteError, RaftError};
use openraft::{BasicNode, ServerState};
use std::rc::Rc;

type WriteError = Box<RaftError<u64, ClientWriteError<u64, BasicNode>>>;

/// The state of a leader, valid in one term.
pub(crate) struct Leadership {
    term: u64,
    pub(crate) budgets: Leader,
    pub(crate) duties: duties::leader::Leader,
}

impl Replica {
    /// Leads whenever this replica is elected, for as long as the program runs.
    pub async fn lead(self: Rc<Self>) {
        loop {
            // Guards against leases that expire unnoticed, since no message announces an expiry.
            actix_rt::time::sleep(POLL_INTERVAL).await;
            self.update_leadership();
            self.commit_due_entries().await;
        }
    }

    /// Starts or ends the leader's state, following raft's state.
    pub(crate) fn update_leadership(&self) {
        let Some(metrics) = self.metrics() else { return };
        let term = metrics.current_term;
        let is_leader = metrics.state == ServerState::Leader && self.uncertain_term.get() != Some(term);
        let mut leadership = self.leadership.borrow_mut();
        if !is_leader {
            if let Some(ended) = leadership.take() {
                tracing::info!(term = ended.term, "leadership ended");
            }
        } else if leadership.as_ref().is_none_or(|current| current.term != term) {
            *leadership = Some(self.new_leadership(term));
            self.became_leader_at.set(now());
            tracing::info!(term, "became leader");
        }
    }

    fn new_leadership(&self, term: u64) -> Leadership {
        let config = &self.config;
        Leadership {
            term,
            budgets: self.ledger(|ledger| {
                Leader::new(now(), ledger, config.grant_lease, config.guarantee_lease, config.max_members)
            }),
            duties: self.duties(|table| duties::leader::Leader::new(now(), table, config.duty_lease)),
        }
    }

    /// Commits what is due: the budgets of the configuration, and the leader's next transitions.
    async fn commit_due_entries(&self) {
        let Some(raft) = self.raft().filter(|_| self.leadership.borrow().is_some()) else { return };
        if raft.ensure_linearizable().await.is_err() {
            return;
        }
        if self.ledger(|ledger| *ledger.budgets() != self.config.budgets) {
            let _ = commit(raft, Entry::Budgets(self.config.budgets.clone())).await;
        }
        let transition = {
            let mut leadership = self.leadership.borrow_mut();
            let Some(leadership) = leadership.as_mut() else { return };
            self.ledger(|ledger| leadership.budgets.next_transition(now(), ledger))
        };
        if let Some(transition) = transition {
            if !self.commit_or_step_down(raft, Entry::Transition(transition)).await {
                return;
            }
            if let Some(leadership) = self.leadership.borrow_mut().as_mut() {
                leadership.budgets.transition_done();
            }
        }
        self.commit_due_duties(raft).await;
    }

    /// Commits an entry of the leader; false where the commit is uncertain, and this replica steps down. Guards against
    /// a member that is answered while the end of its lease may still be committed: no member is answered in the rest of
    /// an uncertain term, and the next leader commits what was sent before it answers, or never does.
    pub(crate) async fn commit_or_step_down(&self, raft: &Raft, entry: Entry) -> bool {
        let Err(error) = commit(raft, entry).await else { return true };
        tracing::warn!(%error, "commit of an entry is uncertain");
        self.uncertain_term.set(self.leadership.take().map(|ended| ended.term));
        if self.uncertain_term.get() == Some(raft.metrics().borrow().current_term) {
            // An error means that raft does not lead any more, or has stopped.
            let _ = raft.trigger().elect().await;
        }
        false
    }

    /// The leader's address by this replica's own configuration; members that reach it elsewhere try the others in turn.
    pub(crate) fn leader_address(&self) -> Option<String> {
        let metrics = self.metrics()?;
        let leader = metrics.current_leader.filter(|leader| *leader != self.identity.id)?;
        let name = &metrics.membership_config.membership().get_node(&leader)?.addr;
        self.peers.address_of(name).map(|address| address.to_string())
    }
}

async fn commit(raft: &Raft, entry: Entry) -> Result<(), WriteError> {
    let response = raft.client_write(entry).await.map_err(Box::new)?;
    if let Err(failure) = response.data {
        tracing::warn!(error = failure.reason, "entry rejected by the ledger");
    }
    Ok(())
}
