//! Slow start (Envoy: slow start mode): an upstream that has just started has a part of its capacity, which grows until it is warm.
//! While it warms up its weight in the draw is that part, and its attempts are spaced out, so that all balancers together stay
//! within a multiple of what it can do.

use crate::host::{Time, SECOND};
use crate::settings::{SlowStartRule, ValidatedSettings};

/// The share of its capacity that an upstream has by the time since its start; a start of 0 is long ago.
pub(crate) fn slow_start_weight(rule: &SlowStartRule, started_at: Time, now: Time) -> f64 {
    if started_at == 0 {
        return 1.0;
    }
    let age = now.saturating_sub(started_at) as f64;
    (rule.min_weight + (1.0 - rule.min_weight) * age / rule.warm_up).min(1.0)
}

/// What this balancer sends to upstreams that are warm.
pub(crate) struct WarmTraffic {
    /// Guards against the fall of warming upstreams among many that are full or dead: rejected attempts are sent again
    /// elsewhere, and would make each upstream look larger than it is.
    pub(crate) accepted_per_second: f64,
    /// How busy upstreams report to be.
    pub(crate) utilisation: Option<f64>,
    /// How many upstreams are in use.
    pub(crate) usable_upstreams: f64,
    /// How many of them this balancer uses.
    pub(crate) subset_size: usize,
}

/// The least time between two attempts of this balancer to an upstream that started at this moment; none once it is warm.
///
/// What a warm upstream gets of this balancer, over its utilisation, is this balancer's part of the upstream's capacity: the number
/// of balancers cancels out, and so does the size of the subset.
pub(crate) fn min_send_interval(
    settings: &ValidatedSettings,
    started_at: Time,
    now: Time,
    traffic: &WarmTraffic,
) -> Option<f64> {
    /// Guards against balancers that exceed the limit together by chance.
    const SAFETY: f64 = 0.6;
    /// Guards against the fall of a warming upstream by keys: it has cached none, which makes for two to three times the work.
    const UNCACHED_KEYS_FACTOR: f64 = 0.33;
    let rule = &settings.slow_start;
    let weight = slow_start_weight(rule, started_at, now);
    if weight >= 1.0 {
        return None;
    }
    // Keys lead to any of all upstreams, not to a subset.
    let (recipients, cache_factor) = if settings.key_affinity {
        (traffic.usable_upstreams, UNCACHED_KEYS_FACTOR)
    } else {
        (traffic.subset_size as f64, 1.0)
    };
    let utilisation = traffic.utilisation.unwrap_or(1.0);
    // A balancer that has sent nothing yet counts on one attempt in a window by all balancers.
    let min_rate = 1.0 / (rule.window / SECOND as f64 * settings.instances);
    let rate = (traffic.accepted_per_second / recipients / utilisation.clamp(0.3, 1.0)).max(min_rate);
    Some(SECOND as f64 / (SAFETY * cache_factor * rule.max_load_factor * weight * rate))
}
