//! Fencing against late orders of a former holder: a receiver refuses every term below the highest that it has
//! seen.
//!
//! The holder's own check of its lease makes such orders rare; only the fence excludes them.

use super::{DutyTerms, Term};

/// An order under a term that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stale term {term}: the highest known term is {highest_term}")]
pub struct StaleTerm {
    /// The order's term.
    pub term: Term,
    /// The highest term that the receiver has seen.
    pub highest_term: Term,
}

/// The highest term seen of each duty. It has as many entries as there are duties.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest_terms: DutyTerms,
}

impl Fence {
    /// Admits an order under this term, and from then on none under a lower one.
    pub fn admit(&mut self, duty: &str, term: Term) -> Result<(), StaleTerm> {
        let highest_term = self.highest_terms.entry(duty.to_owned()).or_insert(0);
        if term < *highest_term {
            return Err(StaleTerm { term, highest_term: *highest_term });
        }
        *highest_term = term;
        Ok(())
    }

    /// The highest term seen of a duty; 0 before the first order.
    pub fn highest_term(&self, duty: &str) -> Term {
        self.highest_terms.get(duty).copied().unwrap_or(0)
    }
}
