//! Who holds which duty: a deterministic state machine, the same at every steward that applies the same entries. It trusts no
//! entry: a duty that is held is given to nobody else, and a term is given once.

use super::fence::StaleTerm;
use super::{Candidate, EndReason, Term, MOST_DUTIES, MOST_NOTE};
use crate::configuration::{is_name, tidy};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Who holds a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
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
    pub holder: Option<Holder>,
    /// Who held it before, and why no more.
    pub before: Option<(String, EndReason)>,
    /// The stewards' files name it no more: it goes with its holder.
    pub removed: bool,
}

/// A duty that is given to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub duty: String,
    pub candidate: Candidate,
    pub name: String,
}

/// A duty that is held no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    pub duty: String,
    pub term: Term,
    pub reason: EndReason,
}

/// A change of who holds what. It is applied whole or not at all: the ends first, then the grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The table's version that it was decided at; at any other it is out of date.
    pub base: u64,
    pub ends: Vec<End>,
    pub grants: Vec<Grant>,
    /// New terms are above this, too: the highest one that any member knows of.
    pub above: Term,
}

impl Change {
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.grants.is_empty()
    }
}

/// What a holder says that it does, under its term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    pub duty: String,
    pub term: Term,
    pub text: String,
}

/// What is replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The duties there are from now on.
    Names(BTreeSet<String>),
    Change(Change),
    Note(Note),
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Decided at another version of the table.
    OutOfDate,
    /// There is no such duty, or its name won't do.
    Unknown(String),
    /// It is held, and has to end first.
    Held(String),
    Stale(StaleTerm),
    TooMany,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::OutOfDate => write!(f, "decided at another version"),
            Refused::Unknown(duty) => write!(f, "{duty}: no such duty"),
            Refused::Held(duty) => write!(f, "{duty}: it is held"),
            Refused::Stale(stale) => write!(f, "{stale}"),
            Refused::TooMany => write!(f, "more than {MOST_DUTIES} duties"),
        }
    }
}

impl std::error::Error for Refused {}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Counts names and changes, so that what was decided at another state is found out.
    version: u64,
    /// The highest term that was ever given. It goes with a snapshot, and stays when duties are removed.
    highest: Term,
    duties: BTreeMap<String, Duty>,
}

impl Table {
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn highest(&self) -> Term {
        self.highest
    }

    pub fn duties(&self) -> &BTreeMap<String, Duty> {
        &self.duties
    }

    /// The duties that are to be held.
    pub fn names(&self) -> BTreeSet<String> {
        self.duties.iter().filter(|(_, duty)| !duty.removed).map(|(name, _)| name.clone()).collect()
    }

    pub fn holder(&self, duty: &str) -> Option<&Holder> {
        self.duties.get(duty)?.holder.as_ref()
    }

    /// Whether an order under this term is its holder's.
    pub fn check(&self, duty: &str, term: Term) -> Result<(), Refused> {
        let known = self.duties.get(duty).ok_or_else(|| Refused::Unknown(duty.to_owned()))?;
        match &known.holder {
            Some(holder) if holder.term == term => Ok(()),
            _ => Err(Refused::Stale(StaleTerm { given: term, highest: self.highest })),
        }
    }

    /// Takes one entry, whole or not at all.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), Refused> {
        match entry {
            Entry::Names(names) => self.rename(names),
            Entry::Change(change) => {
                if change.base != self.version {
                    return Err(Refused::OutOfDate);
                }
                let mut next = self.clone();
                next.change(change)?;
                next.version += 1;
                *self = next;
                Ok(())
            }
            Entry::Note(note) => {
                self.check(&note.duty, note.term)?;
                let holder = self.duties.get_mut(&note.duty).and_then(|duty| duty.holder.as_mut());
                holder.into_iter().for_each(|holder| holder.note = tidy(&note.text, MOST_NOTE));
                Ok(())
            }
        }
    }

    fn rename(&mut self, names: &BTreeSet<String>) -> Result<(), Refused> {
        if names.len() > MOST_DUTIES {
            return Err(Refused::TooMany);
        }
        if let Some(name) = names.iter().find(|name| !is_name(name)) {
            return Err(Refused::Unknown(name.clone()));
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

    fn change(&mut self, change: &Change) -> Result<(), Refused> {
        for end in &change.ends {
            self.check(&end.duty, end.term)?;
            let Some(duty) = self.duties.get_mut(&end.duty) else { continue };
            duty.before = duty.holder.take().map(|holder| (holder.name, end.reason));
        }
        self.duties.retain(|_, duty| !duty.removed || duty.holder.is_some());
        self.highest = self.highest.max(change.above);
        for grant in &change.grants {
            let duty = self.duties.get_mut(&grant.duty).filter(|duty| !duty.removed);
            let duty = duty.ok_or_else(|| Refused::Unknown(grant.duty.clone()))?;
            if duty.holder.is_some() {
                return Err(Refused::Held(grant.duty.clone()));
            }
            self.highest += 1;
            let (name, note) = (grant.name.clone(), String::new());
            duty.holder = Some(Holder { candidate: grant.candidate, name, term: self.highest, note });
        }
        Ok(())
    }
}
