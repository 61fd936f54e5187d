//! Which candidate gets a duty that nobody holds.
//!
//! Candidates with the fewest duties come first, so that duties spread over the fleet; among these rendezvous
//! hashing decides, so that the same members get the same duties again. [`crate::duties::leader`] calls it
//! for each grant.

use super::Candidate;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The rendezvous weight of a candidate for a duty: the highest one wins.
fn rendezvous_weight(duty: &str, candidate: Candidate) -> u64 {
    xxh3_64_with_seed(duty.as_bytes(), candidate.identity)
}

/// The candidate to give the duty to, from the number of duties that each candidate holds; none where there
/// is none.
pub fn choose(duty: &str, duty_counts: &BTreeMap<Candidate, usize>) -> Option<Candidate> {
    let lowest_count = *duty_counts.values().min()?;
    let least_loaded = duty_counts.iter().filter(|(_, count)| **count == lowest_count);
    let least_loaded = least_loaded.map(|(candidate, _)| *candidate);
    least_loaded.max_by_key(|candidate| (rendezvous_weight(duty, *candidate), *candidate))
}
