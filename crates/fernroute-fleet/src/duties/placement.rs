//! Which member gets a duty that nobody holds: one of those that hold the fewest, so that duties do not all sit on one; among
//! these the one that rendezvous hashing names, so that the same members get the same duties again.

use super::Candidate;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a member for a duty, as rendezvous hashing has it: the highest one wins.
fn weight(duty: &str, candidate: Candidate) -> u64 {
    xxh3_64_with_seed(duty.as_bytes(), candidate.identity)
}

/// One of the candidates, by how many duties each of them holds; none where there is none.
pub fn choose(duty: &str, held: &BTreeMap<Candidate, usize>) -> Option<Candidate> {
    let fewest = *held.values().min()?;
    let candidates = held.iter().filter(|(_, count)| **count == fewest).map(|(candidate, _)| *candidate);
    candidates.max_by_key(|candidate| (weight(duty, *candidate), *candidate))
}
