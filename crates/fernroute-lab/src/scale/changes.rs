//! Changes of configuration while a run is measured: made at a steward, and in force once every balancer says so.

use serde::Serialize;

/// What came of them; none is what was not measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Changed {
    pub made: Option<u64>,
    pub in_force_everywhere: Option<u64>,
    pub slowest_s: Option<f64>,
}
