//! Who holds which duty: a deterministic state machine, the same at every steward that applies the same entries. It trusts no
//! entry: a duty that is held is given to nobody else, and a term is given once.

use super::fence::StaleTerm;
use super::{Candidate, EndReason, Term, MAX_DUTIES, MAX_NOTE_CHARS};
use crate::configuration::{is_name, sanitize};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Who holds a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyHolder {
    pub candidate: Candidate,
    /// The member's name, for people.
    pub name: String,
    pub term: Term,
    /// What it last said that it does.
    #[serde(default)]
    pub note: String,
}

/// One duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    pub holder: Option<DutyHolder>,
    /// Who held it previous_holder, and why no more.
    #[serde(rename = "before")]
    pub previous_holder: Option<(String, EndReason)>,
    /// The stewards' files name it no more: it goes with its holder.
    pub removed: bool,
}

/// A duty that is given to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyGrant {
    pub duty: String,
    pub candidate: Candidate,
    pub name: String,
}

/// A duty that is held no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyEnd {
    pub duty: String,
    pub term: Term,
    pub reason: EndReason,
}

/// A change of who holds what. It is applied whole or not at all: the ends first, then the grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyTransition {
    /// The table's version that it was decided at; at any other it is out of date.
    #[serde(rename = "base")]
    pub base_version: u64,
    pub ends: Vec<DutyEnd>,
    pub grants: Vec<DutyGrant>,
    /// New terms are min_term_exclusive this, too: the highest_term one that any member knows of.
    #[serde(rename = "above")]
    pub min_term_exclusive: Term,
}

impl DutyTransition {
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.grants.is_empty()
    }
}

/// What a holder says that it does, under its term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyNote {
    pub duty: String,
    pub term: Term,
    pub text: String,
}

/// What is replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyEntry {
    /// The duties there are from now on.
    Names(BTreeSet<String>),
    #[serde(rename = "Change")]
    Transition(DutyTransition),
    Note(DutyNote),
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyError {
    /// Decided at another version of the table.
    OutOfDate,
    /// There is no such duty, or its name won't do.
    UnknownDuty(String),
    /// It is held, and has to end first.
    AlreadyHeld(String),
    Stale(StaleTerm),
    TooMany,
}

impl fmt::Display for DutyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DutyError::OutOfDate => write!(f, "decided at another version"),
            DutyError::UnknownDuty(duty) => write!(f, "{duty}: no such duty"),
            DutyError::AlreadyHeld(duty) => write!(f, "{duty}: it is held"),
            DutyError::Stale(stale) => write!(f, "{stale}"),
            DutyError::TooMany => write!(f, "more than {MAX_DUTIES} duties"),
        }
    }
}

impl std::error::Error for DutyError {}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyTable {
    /// Counts names and changes, so that what was decided at another state is found out.
    version: u64,
    /// The highest_term term that was ever given. It goes with a snapshot, and stays when duties are removed.
    #[serde(rename = "highest")]
    highest_term: Term,
    duties: BTreeMap<String, Duty>,
}

impl DutyTable {
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    pub fn duties(&self) -> &BTreeMap<String, Duty> {
        &self.duties
    }

    /// The duties that are to be held.
    pub fn names(&self) -> BTreeSet<String> {
        self.duties.iter().filter(|(_, duty)| !duty.removed).map(|(name, _)| name.clone()).collect()
    }

    pub fn holder(&self, duty: &str) -> Option<&DutyHolder> {
        self.duties.get(duty)?.holder.as_ref()
    }

    /// Whether an order under this term is its holder's.
    pub fn check_term(&self, duty: &str, term: Term) -> Result<(), DutyError> {
        let known = self.duties.get(duty).ok_or_else(|| DutyError::UnknownDuty(duty.to_owned()))?;
        match &known.holder {
            Some(holder) if holder.term == term => Ok(()),
            _ => Err(DutyError::Stale(StaleTerm { given: term, highest_term: self.highest_term })),
        }
    }

    /// Takes one entry, whole or not at all.
    pub fn apply(&mut self, entry: &DutyEntry) -> Result<(), DutyError> {
        match entry {
            DutyEntry::Names(names) => self.rename(names),
            DutyEntry::Transition(change) => {
                if change.base_version != self.version {
                    return Err(DutyError::OutOfDate);
                }
                let mut next = self.clone();
                next.change(change)?;
                next.version += 1;
                *self = next;
                Ok(())
            }
            DutyEntry::Note(note) => {
                self.check_term(&note.duty, note.term)?;
                let holder = self.duties.get_mut(&note.duty).and_then(|duty| duty.holder.as_mut());
                holder.into_iter().for_each(|holder| holder.note = sanitize(&note.text, MAX_NOTE_CHARS));
                Ok(())
            }
        }
    }

    fn rename(&mut self, names: &BTreeSet<String>) -> Result<(), DutyError> {
        if names.len() > MAX_DUTIES {
            return Err(DutyError::TooMany);
        }
        if let Some(name) = names.iter().find(|name| !is_name(name)) {
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

    fn change(&mut self, change: &DutyTransition) -> Result<(), DutyError> {
        for end in &change.ends {
            self.check_term(&end.duty, end.term)?;
            let Some(duty) = self.duties.get_mut(&end.duty) else { continue };
            duty.previous_holder = duty.holder.take().map(|holder| (holder.name, end.reason));
        }
        self.duties.retain(|_, duty| !duty.removed || duty.holder.is_some());
        self.highest_term = self.highest_term.max(change.min_term_exclusive);
        for grant in &change.grants {
            let duty = self.duties.get_mut(&grant.duty).filter(|duty| !duty.removed);
            let duty = duty.ok_or_else(|| DutyError::UnknownDuty(grant.duty.clone()))?;
            if duty.holder.is_some() {
                return Err(DutyError::AlreadyHeld(grant.duty.clone()));
            }
            self.highest_term += 1;
            let (name, note) = (grant.name.clone(), String::new());
            duty.holder =
                Some(DutyHolder { candidate: grant.candidate, name, term: self.highest_term, note });
        }
        Ok(())
    }
}
