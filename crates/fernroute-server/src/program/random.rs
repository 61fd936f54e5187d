//! Random numbers that differ between processes, for identities and for spreading load. The decisions don't use them: their
//! random numbers are derived from the configured seed.

use std::hash::{BuildHasher as _, RandomState};

/// A number below 2^63 that is unlikely to be drawn by another process of the fleet.
pub(super) fn random_identity() -> u64 {
    random_bits() >> 1
}

/// A number in `0.0..1.0`, so that balancers that failed together don't retry together.
pub(super) fn random_fraction() -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (random_bits() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1_u64 << MANTISSA_BITS) as f64
}

fn random_bits() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
