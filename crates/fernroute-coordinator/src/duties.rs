//! Duties that one balancer holds at a time: the leader assigns and releases them, and reports their holders.

use crate::configuration::RequestError;
use crate::replica::{now, Replica};
use crate::Raft;
use fernroute::host::SECOND;
use fernroute::Time;
use fernroute_fleet::duties::table::{DutyEntry, DutyHolder, DutyNote, DutyTable, DutyTransition};
use fernroute_fleet::duties::{EndReason, Term};
use fernroute_fleet::ledger;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Path of a [`DutiesStatus`].
pub const STATUS_PATH: &str = "/-/duties/status";
/// Path of an operator's release of a duty.
pub const RELEASE_PATH: &str = "/-/duties/release";
/// Path of a holder's note on its progress.
pub const NOTE_PATH: &str = "/-/duties/note";

/// The holder of a duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderStatus {
    /// The member's name.
    pub name: String,
    /// The term under which it holds the duty.
    pub term: Term,
    /// How long it has held the duty, in seconds.
    pub held_for_s: f64,
    /// Whether `held_for_s` is a lower bound, since a former leader assigned the duty.
    #[serde(rename = "at_least")]
    pub is_lower_bound: bool,
    /// Seconds until its lease expires, should no heartbeat arrive.
    #[serde(rename = "left_s")]
    pub expires_in_s: f64,
    /// The holder's last note on its progress.
    pub note: String,
}

/// A duty and its holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// The duty's name.
    pub duty: String,
    /// The member that holds it, if any does.
    pub holder: Option<HolderStatus>,
    /// The name of the previous holder, and why its term ended.
    #[serde(rename = "before")]
    pub previous_holder: Option<(String, EndReason)>,
}

/// All duties, as the leader knows them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DutiesStatus {
    /// The cluster of the ledger.
    pub cluster: String,
    /// The leader's name.
    pub leader: String,
    /// The highest term that any duty has had.
    pub highest_term: Term,
    /// How many terms ended since this replica started, by reason.
    #[serde(rename = "ended")]
    pub ended_terms: BTreeMap<EndReason, u64>,
    /// All duties, by name.
    pub duties: Vec<DutyStatus>,
}

/// The holder that was told to release a duty, and when its term ends at the latest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingRelease {
    /// The holder's name.
    pub holder: String,
    /// The term under which it holds the duty.
    pub term: Term,
    /// The term ends after this time, in milliseconds, even if the holder does not reply.
    #[serde(rename = "lapses_after_ms")]
    pub expires_after_ms: u64,
}

fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

impl Replica {
    pub(crate) fn duties<T>(&self, read: impl FnOnce(&DutyTable) -> T) -> T {
        read(&self.state_machine.state.borrow().duties)
    }

    /// Commits the duties of the configuration, and what the leader decides about them. False where a commit is
    /// uncertain, and this replica has stepped down.
    pub(crate) async fn commit_due_duties(&self, raft: &Raft) -> bool {
        if self.duties(|table| table.names() != self.config.duties) {
            let names = DutyEntry::Names(self.config.duties.clone());
            if !self.commit_or_step_down(raft, ledger::Entry::Duties(names)).await {
                return false;
            }
        }
        let transition = {
            let mut leadership = self.leadership.borrow_mut();
            let Some(leadership) = leadership.as_mut() else { return false };
            self.duties(|table| leadership.duties.next_transition(now(), table))
        };
        let Some(transition) = transition else { return true };
        let previous = self.duties(DutyTable::clone);
        let entry = ledger::Entry::Duties(DutyEntry::Transition(transition.clone()));
        if !self.commit_or_step_down(raft, entry).await {
            return false;
        }
        if let Some(leadership) = self.leadership.borrow_mut().as_mut() {
            self.duties(|table| leadership.duties.transition_done(now(), table));
        }
        self.record_transition(&previous, &transition);
        true
    }

    /// Logs each duty whose holder has changed, and counts the terms that ended.
    fn record_transition(&self, previous: &DutyTable, transition: &DutyTransition) {
        for end in &transition.ends {
            let name = previous.holder(&end.duty).map_or("", |holder| holder.name.as_str());
            tracing::info!("duty {}: {name} lost it, term {}: {}", end.duty, end.term, end.reason);
            *self.ended_terms.borrow_mut().entry(end.reason).or_insert(0) += 1;
        }
        for grant in &transition.grants {
            let term = self.duties(|table| table.holder(&grant.duty).map_or(0, |holder| holder.term));
            tracing::info!("duty {}: {} holds it, term {term}", grant.duty, grant.name);
        }
    }

    /// All duties, as this leader knows them.
    ///
    /// # Errors
    /// Where this replica does not lead.
    pub async fn duty_status(&self) -> Result<DutiesStatus, RequestError> {
        self.confirm_leadership().await?;
        let leadership = self.leadership.borrow();
        let Some(leadership) = leadership.as_ref() else { return Err(RequestError::NotLeader(None)) };
        let now = now();
        let holder_status = |duty: &str, holder: &DutyHolder| {
            let tenure = leadership.duties.tenure(now, duty, holder);
            HolderStatus {
                name: holder.name.clone(),
                term: holder.term,
                held_for_s: seconds(tenure.held_for),
                is_lower_bound: tenure.is_lower_bound,
                expires_in_s: seconds(tenure.expires_in),
                note: holder.note.clone(),
            }
        };
        let duties = self.duties(|table| {
            let statuses = table.duties().iter().map(|(name, duty)| DutyStatus {
                duty: name.clone(),
                holder: duty.holder.as_ref().map(|holder| holder_status(name, holder)),
                previous_holder: duty.previous_holder.clone(),
            });
            statuses.collect()
        });
        Ok(DutiesStatus {
            cluster: self.identity.cluster.clone(),
            leader: self.config.name.clone(),
            highest_term: self.duties(DutyTable::highest_term),
            ended_terms: self.ended_terms.borrow().clone(),
            duties,
        })
    }

    /// Asks a duty's holder to release it to another member, on behalf of an operator.
    ///
    /// # Errors
    /// Where this replica does not lead, or the duty is unknown or not held.
    pub async fn release_duty(&self, duty: &str) -> Result<PendingRelease, RequestError> {
        self.confirm_leadership().await?;
        let mut leadership = self.leadership.borrow_mut();
        let Some(leadership) = leadership.as_mut() else { return Err(RequestError::NotLeader(None)) };
        if !self.duties(|table| table.duties().contains_key(duty)) {
            return Err(RequestError::Rejected(format!("{duty}: no such duty")));
        }
        let holder = self.duties(|table| leadership.duties.release(duty, table));
        let holder = holder.ok_or_else(|| RequestError::Rejected(format!("{duty}: it has no holder")))?;
        tracing::info!(
            "duty {duty}: release by {}, term {}, requested by an operator",
            holder.name,
            holder.term
        );
        let expires_after_ms = self.config.duty_lease.expires_after() / 10;
        Ok(PendingRelease { holder: holder.name, term: holder.term, expires_after_ms })
    }

    /// Commits a holder's note on its progress.
    ///
    /// # Errors
    /// Where this replica does not lead, the term is not the latest one of the duty, or the commit is uncertain.
    pub async fn note_duty(&self, note: DutyNote) -> Result<(), RequestError> {
        let raft = self.confirm_leadership().await?;
        self.duties(|table| table.check_term(&note.duty, note.term))
            .map_err(|error| RequestError::Rejected(error.to_string()))?;
        let entry = ledger::Entry::Duties(DutyEntry::Note(note));
        let response =
            raft.client_write(entry).await.map_err(|error| RequestError::Unknown(error.to_string()))?;
        response.data.map(|_| ()).map_err(|failure| RequestError::Rejected(failure.reason))
    }
}
