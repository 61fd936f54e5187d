//! Duties that one balancer alone holds: the leader gives and takes them, and tells people who holds what.

use crate::configuration::NotDone;
use crate::keep::{now, Keeper};
use crate::Raft;
use fernroute::host::SECOND;
use fernroute::Time;
use fernroute_fleet::duties::table::{Change, Entry, Holder, Note, Table};
use fernroute_fleet::duties::{EndReason, Term};
use fernroute_fleet::ledger;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const STATUS: &str = "/-/duties/status";
pub const RELEASE: &str = "/-/duties/release";
pub const NOTE: &str = "/-/duties/note";

/// Who holds a duty, for people.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderLine {
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
pub struct DutyLine {
    pub duty: String,
    pub holder: Option<HolderLine>,
    /// Who held it before, and why no more.
    pub before: Option<(String, EndReason)>,
}

/// All duties, as the leader knows them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DutyStatus {
    pub cluster: String,
    pub leader: String,
    pub highest_term: Term,
    /// How often a duty went from one holder to the next, or to nobody, since this steward started, by the reason.
    pub ended: BTreeMap<EndReason, u64>,
    pub duties: Vec<DutyLine>,
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

impl Keeper {
    pub(crate) fn duties<T>(&self, look: impl FnOnce(&Table) -> T) -> T {
        look(&self.book.kept.borrow().duties)
    }

    /// Enters the duties of the file, and what the leader decides about them. False where it is not known whether an entry
    /// was entered: this steward leads no more then.
    pub(crate) async fn enter_duties(&self, raft: &Raft) -> bool {
        if self.duties(|table| table.names() != self.terms.duties) {
            let names = Entry::Names(self.terms.duties.clone());
            if !self.enter_for_certain(raft, ledger::Entry::Duties(names)).await {
                return false;
            }
        }
        let change = {
            let mut leading = self.leading.borrow_mut();
            let Some(leading) = leading.as_mut() else { return false };
            self.duties(|table| leading.duties.due(now(), table))
        };
        let Some(change) = change else { return true };
        let before = self.duties(Table::clone);
        if !self.enter_for_certain(raft, ledger::Entry::Duties(Entry::Change(change.clone()))).await {
            return false;
        }
        if let Some(leading) = self.leading.borrow_mut().as_mut() {
            self.duties(|table| leading.duties.entered(now(), table));
        }
        self.tell(&before, &change);
        true
    }

    /// A log line for each duty that has another holder, or none any more, and the count of it.
    fn tell(&self, before: &Table, change: &Change) {
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

    pub async fn duty_status(&self) -> Result<DutyStatus, NotDone> {
        self.leads().await?;
        let leading = self.leading.borrow();
        let Some(leading) = leading.as_ref() else { return Err(NotDone::Elsewhere(None)) };
        let now = now();
        let line = |duty: &str, holder: &Holder| {
            let standing = leading.duties.standing(now, duty, holder);
            HolderLine {
                name: holder.name.clone(),
                term: holder.term,
                held_for_s: seconds(standing.held_for),
                at_least: standing.at_least,
                left_s: seconds(standing.left),
                note: holder.note.clone(),
            }
        };
        let duties = self.duties(|table| {
            let lines = table.duties().iter().map(|(name, duty)| DutyLine {
                duty: name.clone(),
                holder: duty.holder.as_ref().map(|holder| line(name, holder)),
                before: duty.before.clone(),
            });
            lines.collect()
        });
        Ok(DutyStatus {
            cluster: self.own.cluster.clone(),
            leader: self.terms.name.clone(),
            highest_term: self.duties(Table::highest),
            ended: self.duties_ended.borrow().clone(),
            duties,
        })
    }

    /// An operator wants a duty to go to another member.
    pub async fn release_duty(&self, duty: &str) -> Result<Released, NotDone> {
        self.leads().await?;
        let mut leading = self.leading.borrow_mut();
        let Some(leading) = leading.as_mut() else { return Err(NotDone::Elsewhere(None)) };
        if !self.duties(|table| table.duties().contains_key(duty)) {
            return Err(NotDone::Refused(format!("{duty}: no such duty")));
        }
        let holder = self.duties(|table| leading.duties.release(duty, table));
        let holder = holder.ok_or_else(|| NotDone::Refused(format!("{duty}: nobody holds it")))?;
        tracing::info!("duty {duty}: an operator wants it released by {}, term {}", holder.name, holder.term);
        let lapses_after_ms = self.terms.duty_lease.lapse() / 10;
        Ok(Released { holder: holder.name, term: holder.term, lapses_after_ms })
    }

    /// A holder says what it does. Refused unless its term is the latest one of the duty.
    pub async fn note_duty(&self, note: Note) -> Result<(), NotDone> {
        let raft = self.leads().await?;
        self.duties(|table| table.check(&note.duty, note.term))
            .map_err(|why| NotDone::Refused(why.to_string()))?;
        let entry = ledger::Entry::Duties(Entry::Note(note));
        let written = raft.client_write(entry).await.map_err(|why| NotDone::Unknown(why.to_string()))?;
        written.data.map(|_| ()).map_err(|refused| NotDone::Refused(refused.why))
    }
}
