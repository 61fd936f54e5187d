//! Functions that several modules share: a mean, exponential decay and a hash.

use crate::host::Time;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The arithmetic mean; none without values.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// The part of a count that remains after `elapsed`, where it decays by a factor of e in `time_constant`.
pub(crate) fn decay(elapsed: Time, time_constant: f64) -> f64 {
    (-(elapsed as f64) / time_constant).exp()
}

/// A hash that is the same in all processes of one build.
pub(crate) fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
