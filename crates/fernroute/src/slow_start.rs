//! Slow start (Envoy: slow start mode): an upstream that has just started has a share of its capacity, which grows until it is warm.
//! In slow start its weight is this share, and attempts to it keep a minimum interval, so that all balancers together stay within a
//! multiple of its present capacity.

use crate::host::{Time, SECOND};
use crate::settings::{SlowStartRule, ValidatedSettings};

/// The share of its capacity that an upstream has at this time; a start of 0 means long ago.
pub(crate) fn slow_start_weight(rule: &SlowStartRule, started_at: Time, now: Time) -> f64 {
    if started_at == 0 {
        return 1.0;
    }
    let age = now.saturating_sub(started_at) as f64;
    (rule.min_weight + (1.0 - rule.min_weight) * age / rule.warm_up).min(1.0)
}

/// What this balancer sends to upstreams that are warm.
pub(crate) struct WarmTraffic {
    /// The rate of attempts that were not rejected. Attempts that full or dead upstreams reject are sent again elsewhere; if they
    /// were counted, each upstream would seem to have more capacity than it has, and those in slow start would be overloaded.
    pub(crate) accepted_per_second: f64,
    /// The mean utilisation that upstreams report.
    pub(crate) utilisation: Option<f64>,
    /// The number of usable upstreams.
    pub(crate) usable_upstreams: f64,
    /// The number of them that this balancer uses.
    pub(crate) subset_size: usize,
}

/// The least time between two attempts of this balancer to an upstream that started at this time; none once it is warm.
///
/// The rate that a warm upstream gets from this balancer, divided by the utilisation, is this balancer's part of the capacity of an
/// upstream. It does not depend on the number of balancers or the size of the subset, which cancel out.
pub(crate) fn min_send_interval(
    settings: &ValidatedSettings,
    started_at: Time,
    now: Time,
    traffic: &WarmTraffic,
) -> Option<f64> {
    /// Below 1, since balancers could exceed the limit together by chance.
    const SAFETY_FACTOR: f64 = 0.6;
    /// An upstream in slow start has no key cached, and each RPC costs it two to three times the work.
    const UNCACHED_KEYS_FACTOR: f64 = 0.33;
    let rule = &settings.slow_start;
    let weight = slow_start_weight(rule, started_at, now);
    if weight >= 1.0 {
        return None;
    }
    // RPCs with keys go to any upstream, not only to a subset.
    let (recipients, cache_factor) = if settings.key_affinity {
        (traffic.usable_upstreams, UNCACHED_KEYS_FACTOR)
    } else {
        (traffic.subset_size as f64, 1.0)
    };
    let utilisation = traffic.utilisation.unwrap_or(1.0);
    // A balancer that has sent nothing yet assumes one attempt per window by all balancers together.
    let min_rate = 1.0 / (rule.window / SECOND as f64 * settings.instances);
    let rate = (traffic.accepted_per_second / recipients / utilisation.clamp(0.3, 1.0)).max(min_rate);
    Some(SECOND as f64 / (SAFETY_FACTOR * cache_factor * rule.max_load_factor * weight * rate))
}
