//! The protection against a holder that acts too late: whoever takes orders of a holder refuses a lower term than the highest
//! one that it has seen. The holder's own look at its lease only makes that rare.

use super::{DutyTerms, Term};
use std::fmt;

/// An order under a term that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleTerm {
    pub given: Term,
    pub highest_term: Term,
}

impl fmt::Display for StaleTerm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "term {} is over, {} is known", self.given, self.highest_term)
    }
}

impl std::error::Error for StaleTerm {}

/// The highest term seen of each duty. As long as the list of duties.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: DutyTerms,
}

impl Fence {
    /// Whether an order under this term may be followed; from then on none under a lower one is.
    pub fn admit(&mut self, duty: &str, term: Term) -> Result<(), StaleTerm> {
        let highest = self.highest.entry(duty.to_owned()).or_insert(0);
        if term < *highest {
            return Err(StaleTerm { given: term, highest_term: *highest });
        }
        *highest = term;
        Ok(())
    }

    pub fn highest(&self, duty: &str) -> Term {
        self.highest.get(duty).copied().unwrap_or(0)
    }
}
