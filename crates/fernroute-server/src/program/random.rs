//! Random numbers that differ between processes, for identities and for spreading load. Not for the decisions, whose
//! random numbers come from the instance's seed.

use std::hash::{BuildHasher as _, RandomState};

/// A number that no other process of the fleet is likely to draw; below 2^63.
pub(super) fn random_identity() -> u64 {
    random_bits() >> 1
}

/// A number in `0.0..1.0`. Guards against balancers that failed together and would retry together.
pub(super) fn random_fraction() -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (random_bits() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1_u64 << MANTISSA_BITS) as f64
}

fn random_bits() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
