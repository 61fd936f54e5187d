//! Duties that one balancer alone holds: the leader gives and takes them, and tells people who holds what.

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

pub const STATUS: &str = "/-/duties/status";
pub const RELEASE: &str = "/-/duties/release";
pub const NOTE: &str = "/-/duties/note";

/// ReplicaInfo holds a duty, for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderStatus {
    pub name: String,
    pub term: Term,
    /// For how long it has held it; at least so long where a leader before gave it.
    pub held_for_s: f64,
    pub at_least: bool,
    /// Until it loses it, should nothing more be heard of it.
    pub left_s: f64,
    /// What it last said that it does.
    pub note: String,
}

/// A duty, for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DutyStatus {
    pub duty: String,
    pub holder: Option<HolderStatus>,
    /// ReplicaInfo held it before, and why no more.
    pub before: Option<(String, EndReason)>,
}

/// All duties, as the leader knows them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DutiesStatus {
    pub cluster: String,
    pub leader: String,
    pub highest_term: Term,
    /// How often a duty went from one holder to the next, or to nobody, since this steward started, by the reason.
    pub ended: BTreeMap<EndReason, u64>,
    pub duties: Vec<DutyStatus>,
}

/// Whom a duty is taken from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    pub holder: String,
    pub term: Term,
    /// After so long it is over, whether or not the holder has said so.
    pub lapses_after_ms: u64,
}

fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

impl Replica {
    pub(crate) fn duties<T>(&self, read: impl FnOnce(&DutyTable) -> T) -> T {
        read(&self.state_machine.kept.borrow().duties)
    }

    /// Enters the duties of the file, and what the leader decides about them. False where it is not known whether an entry
    /// was entered: this steward leads no more then.
    pub(crate) async fn commit_due_duties(&self, raft: &Raft) -> bool {
        if self.duties(|table| table.names() != self.terms.duties) {
            let names = DutyEntry::Names(self.terms.duties.clone());
            if !self.commit_or_step_down(raft, ledger::Entry::Duties(names)).await {
                return false;
            }
        }
        let change = {
            let mut leading = self.leadership.borrow_mut();
            let Some(leading) = leading.as_mut() else { return false };
            self.duties(|table| leading.duties.next_transition(now(), table))
        };
        let Some(change) = change else { return true };
        let before = self.duties(DutyTable::clone);
        if !self.commit_or_step_down(raft, ledger::Entry::Duties(DutyEntry::Transition(change.clone()))).await
        {
            return false;
        }
        if let Some(leading) = self.leadership.borrow_mut().as_mut() {
            self.duties(|table| leading.duties.transition_done(now(), table));
        }
        self.tell(&before, &change);
        true
    }

    /// A log line for each duty that has another holder, or none any more, and the count of it.
    fn tell(&self, before: &DutyTable, change: &DutyTransition) {
        for end in &change.ends {
            let name = before.holder(&end.duty).map_or("", |holder| holder.name.as_str());
            tracing::info!("duty {}: {name} holds it no more, term {}: {}", end.duty, end.term, end.reason);
            *self.duties_ended.borrow_mut().entry(end.reason).or_insert(0) += 1;
        }
        for grant in &change.grants {
            let term = self.duties(|table| table.holder(&grant.duty).map_or(0, |holder| holder.term));
            tracing::info!("duty {}: {} holds it, term {term}", grant.duty, grant.name);
        }
    }

    pub async fn duty_status(&self) -> Result<DutiesStatus, RequestError> {
        self.leads().await?;
        let leading = self.leadership.borrow();
        let Some(leading) = leading.as_ref() else { return Err(RequestError::Elsewhere(None)) };
        let now = now();
        let line = |duty: &str, holder: &DutyHolder| {
            let standing = leading.duties.tenure(now, duty, holder);
            HolderStatus {
                name: holder.name.clone(),
                term: holder.term,
                held_for_s: seconds(standing.held_for),
                at_least: standing.is_lower_bound,
                left_s: seconds(standing.expires_in),
                note: holder.note.clone(),
            }
        };
        let duties = self.duties(|table| {
            let lines = table.duties().iter().map(|(name, duty)| DutyStatus {
                duty: name.clone(),
                holder: duty.holder.as_ref().map(|holder| line(name, holder)),
                before: duty.previous_holder.clone(),
            });
            lines.collect()
        });
        Ok(DutiesStatus {
            cluster: self.identity.cluster.clone(),
            leader: self.terms.name.clone(),
            highest_term: self.duties(DutyTable::highest_term),
            ended: self.duties_ended.borrow().clone(),
            duties,
        })
    }

    /// An operator wants a duty to go to another member.
    pub async fn release_duty(&self, duty: &str) -> Result<Released, RequestError> {
        self.leads().await?;
        let mut leading = self.leadership.borrow_mut();
        let Some(leading) = leading.as_mut() else { return Err(RequestError::Elsewhere(None)) };
        if !self.duties(|table| table.duties().contains_key(duty)) {
            return Err(RequestError::Refused(format!("{duty}: no such duty")));
        }
        let holder = self.duties(|table| leading.duties.release(duty, table));
        let holder = holder.ok_or_else(|| RequestError::Refused(format!("{duty}: nobody holds it")))?;
        tracing::info!("duty {duty}: an operator wants it released by {}, term {}", holder.name, holder.term);
        let lapses_after_ms = self.terms.duty_lease.expires_after() / 10;
        Ok(Released { holder: holder.name, term: holder.term, lapses_after_ms })
    }

    /// A holder says what it does. Refused unless its term is the latest one of the duty.
    pub async fn note_duty(&self, note: DutyNote) -> Result<(), RequestError> {
        let raft = self.leads().await?;
        self.duties(|table| table.check_term(&note.duty, note.term))
            .map_err(|why| RequestError::Refused(why.to_string()))?;
        let entry = ledger::Entry::Duties(DutyEntry::Note(note));
        let written = raft.client_write(entry).await.map_err(|why| RequestError::Unknown(why.to_string()))?;
        written.data.map(|_| ()).map_err(|refused| RequestError::Refused(refused.why))
    }
}
