//! The replicated record of who holds which duty.
//!
//! The table is a deterministic state machine: each coordinator applies the same entries in the same order
//! and reaches the same state. The coordinator's replica calls [`DutyTable::apply`];
//! [`crate::duties::leader`] decides the transitions.
//!
//! A duty is free or held under a term. [`DutyTransition::grants`] gives a free duty a holder under a new
//! term, [`DutyTransition::ends`] frees it. A removed duty stays until its holder's term has ended.
//!
//! Invariants: a held duty is granted to nobody else, and a term is granted once. An entry that would break
//! them is refused and changes nothing.

use super::fence::StaleTerm;
use super::{Candidate, EndReason, Term, MAX_DUTIES, MAX_NOTE_CHARS};
use crate::configuration::{is_valid_name, sanitize};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Who holds a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyHolder {
    /// The member's process.
    pub candidate: Candidate,
    /// The member's name, for display.
    pub name: String,
    /// The term that it holds the duty under.
    pub term: Term,
    /// Its latest note on what it does.
    #[serde(default)]
    pub note: String,
}

/// One duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Its holder; none while it is free.
    pub holder: Option<DutyHolder>,
    /// The name of the last holder whose term ended, and why it ended.
    #[serde(rename = "before")]
    pub previous_holder: Option<(String, EndReason)>,
    /// The coordinators' configuration does not name it any more: it is dropped when its holder's term ends.
    pub removed: bool,
}

/// A new holder of a free duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyGrant {
    /// The duty's name.
    pub duty: String,
    /// The new holder.
    pub candidate: Candidate,
    /// The new holder's name.
    pub name: String,
}

/// The end of a holder's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyEnd {
    /// The duty's name.
    pub duty: String,
    /// The term that ends.
    pub term: Term,
    /// Why it ends.
    pub reason: EndReason,
}

/// One change of holders. It is applied completely or not at all: the ends first, then the grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyTransition {
    /// The table's version that it was decided at; at any other version it is out of date.
    #[serde(rename = "base")]
    pub base_version: u64,
    /// Terms that end.
    pub ends: Vec<DutyEnd>,
    /// Duties that get a holder.
    pub grants: Vec<DutyGrant>,
    /// New terms are also above this one, the highest that any member knows of.
    #[serde(rename = "above")]
    pub min_term_exclusive: Term,
}

impl DutyTransition {
    /// Whether it changes no holder.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.grants.is_empty()
    }
}

/// A holder's note on what it does, under its term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyNote {
    /// The duty's name.
    pub duty: String,
    /// The holder's term.
    pub term: Term,
    /// The note.
    pub text: String,
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyEntry {
    /// Replaces the names of the duties.
    Names(BTreeSet<String>),
    /// Changes holders.
    #[serde(rename = "Change")]
    Transition(DutyTransition),
    /// Records a holder's note.
    Note(DutyNote),
}

/// Why the table refused an entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DutyError {
    /// The transition was decided at another version of the table.
    #[error("decided at another version of the table")]
    OutOfDate,
    /// There is no such duty, or its name is not valid.
    #[error("{0}: no such duty")]
    UnknownDuty(String),
    /// The duty has a holder, whose term has to end first.
    #[error("{0}: it already has a holder")]
    AlreadyHeld(String),
    /// The term is not its holder's.
    #[error(transparent)]
    Stale(StaleTerm),
    /// More names than [`MAX_DUTIES`].
    #[error("more than {} duties", MAX_DUTIES)]
    TooMany,
}

/// The replicated state: each duty with its holder, and the highest term granted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyTable {
    /// Counts changes of names and holders, so that an outdated transition is recognized.
    version: u64,
    /// The highest term that was ever granted. It is part of a snapshot, and stays when duties are removed.
    #[serde(rename = "highest")]
    highest_term: Term,
    /// Emptied of removed duties as their holders' terms end.
    duties: BTreeMap<String, Duty>,
}

impl DutyTable {
    /// The number of changes of names and holders so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The highest term that was ever granted.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// All duties by name, including removed ones that still have a holder.
    pub fn duties(&self) -> &BTreeMap<String, Duty> {
        &self.duties
    }

    /// The names of the duties that are not removed.
    pub fn names(&self) -> BTreeSet<String> {
        self.duties.iter().filter(|(_, duty)| !duty.removed).map(|(name, _)| name.clone()).collect()
    }

    /// The holder of a duty.
    pub fn holder(&self, duty: &str) -> Option<&DutyHolder> {
        self.duties.get(duty)?.holder.as_ref()
    }

    /// Checks that an order under this term is from the duty's holder.
    pub fn check_term(&self, duty: &str, term: Term) -> Result<(), DutyError> {
        let state = self.duties.get(duty).ok_or_else(|| DutyError::UnknownDuty(duty.to_owned()))?;
        match &state.holder {
            Some(holder) if holder.term == term => Ok(()),
            _ => Err(DutyError::Stale(StaleTerm { term, highest_term: self.highest_term })),
        }
    }

    /// Applies one entry completely, or refuses it and stays unchanged.
    pub fn apply(&mut self, entry: &DutyEntry) -> Result<(), DutyError> {
        match entry {
            DutyEntry::Names(names) => self.replace_names(names),
            DutyEntry::Transition(transition) => self.apply_transition(transition),
            DutyEntry::Note(note) => self.set_note(note),
        }
    }

    fn replace_names(&mut self, names: &BTreeSet<String>) -> Result<(), DutyError> {
        if names.len() > MAX_DUTIES {
            return Err(DutyError::TooMany);
        }
        if let Some(name) = names.iter().find(|name| !is_valid_name(name)) {
            return Err(DutyError::UnknownDuty(name.clone()));
        }
        self.duties.retain(|name, duty| names.contains(name) || duty.holder.is_some());
        for (name, duty) in &mut self.duties {
            duty.removed = !names.contains(name);
        }
        for name in names {
            self.duties.entry(name.clone()).or_default();
        }
        self.version += 1;
        Ok(())
    }

    fn apply_transition(&mut self, transition: &DutyTransition) -> Result<(), DutyError> {
        if transition.base_version != self.version {
            return Err(DutyError::OutOfDate);
        }
        let mut next = self.clone();
        for end in &transition.ends {
            next.end_term(end)?;
        }
        next.duties.retain(|_, duty| !duty.removed || duty.holder.is_some());
        next.highest_term = next.highest_term.max(transition.min_term_exclusive);
        for grant in &transition.grants {
            next.grant(grant)?;
        }
        next.version += 1;
        *self = next;
        Ok(())
    }

    fn end_term(&mut self, end: &DutyEnd) -> Result<(), DutyError> {
        self.check_term(&end.duty, end.term)?;
        if let Some(duty) = self.duties.get_mut(&end.duty) {
            duty.previous_holder = duty.holder.take().map(|holder| (holder.name, end.reason));
        }
        Ok(())
    }

    fn grant(&mut self, grant: &DutyGrant) -> Result<(), DutyError> {
        let duty = self.duties.get_mut(&grant.duty).filter(|duty| !duty.removed);
        let duty = duty.ok_or_else(|| DutyError::UnknownDuty(grant.duty.clone()))?;
        if duty.holder.is_some() {
            return Err(DutyError::AlreadyHeld(grant.duty.clone()));
        }
        self.highest_term += 1;
        duty.holder = Some(DutyHolder {
            candidate: grant.candidate,
            name: grant.name.clone(),
            term: self.highest_term,
            note: String::new(),
        });
        Ok(())
    }

    fn set_note(&mut self, note: &DutyNote) -> Result<(), DutyError> {
        self.check_term(&note.duty, note.term)?;
        let holder = self.duties.get_mut(&note.duty).and_then(|duty| duty.holder.as_mut());
        if let Some(holder) = holder {
            holder.note = sanitize(&note.text, MAX_NOTE_CHARS);
        }
        Ok(())
    }
}
