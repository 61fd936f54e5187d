//! Subsets of upstreams and placement of keys by hash (Envoy: subset and ring hash load balancing).
//!
//! A balancer of few RPCs uses a subset of the upstreams, chosen by its instance number: balancers share a ring, which is an order
//! of all upstreams by hash, and start at different positions on it. A key has a ring of its own, by its hash, so that all
//! balancers send it to the same few upstreams, which have it cached.

use crate::host::{Time, SECOND};
use crate::rpcs::Id;
use crate::settings::ValidatedSettings;
use crate::statistics::{decay, hash};
use crate::upstream::Upstream;
use crate::upstream_table::UpstreamTable;

/// A start position on one of the rings.
pub(crate) struct RingPosition<'a> {
    /// The number of the ring.
    pub(crate) ring: u64,
    /// The start position, as a share of the ring.
    pub(crate) start: f64,
    /// The zone whose upstreams alternate with those of other zones; none where zones do not matter.
    pub(crate) local_zone: Option<&'a str>,
}

/// All upstreams that are not draining, in the order of this ring. An upstream comes early in a share of all rings that is
/// proportional to its capacity.
pub(crate) fn ring_order(
    upstreams: &UpstreamTable,
    position: &RingPosition,
    log_capacity: impl Fn(&Upstream) -> f64,
) -> Vec<Id> {
    let usable = upstreams.iter().filter(|(_, upstream)| !upstream.is_draining());
    let in_order = |local: bool| {
        let is_local = |upstream: &Upstream| position.local_zone.is_some_and(|zone| upstream.zone() == zone);
        let rank = |(id, upstream): (&Id, &Upstream)| {
            let share = hash((position.ring, id)) as f64 / u64::MAX as f64;
            (-(-share).ln_1p() / log_capacity(upstream).exp(), Id::clone(id))
        };
        let part = usable.clone().filter(|(_, upstream)| is_local(upstream) == local);
        let mut ranked: Vec<(f64, Id)> = part.map(rank).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let start = (ranked.len() as f64 * position.start) as usize;
        ranked.rotate_left(start);
        ranked
    };
    let (local, remote) = (in_order(true), in_order(false));
    let longer = local.len().max(remote.len());
    let alternating = (0..longer).flat_map(|index| [local.get(index), remote.get(index)]);
    alternating.flatten().map(|(_, id)| Id::clone(id)).collect()
}

/// The ring of this balancer.
#[derive(Default)]
pub(crate) struct HashRing {
    /// The usable upstreams in the order in which this balancer prefers them.
    order: Vec<Id>,
}

impl HashRing {
    /// Computes the order again. Only some balancers share a ring: with one ring for all, the load of an overloaded upstream would
    /// move to the same few others at all balancers, and the overload would spread along the ring.
    pub(crate) fn rebuild(&mut self, upstreams: &UpstreamTable, settings: &ValidatedSettings) {
        /// Enough to cover a ring evenly, and few enough for many rings.
        const BALANCERS_PER_RING: usize = 16;
        /// Multiples of it are spread evenly over a ring, whichever instance numbers share a zone.
        const GOLDEN_SECTION: f64 = 0.618_033_988_749_895;
        let number = settings.instance_number;
        let position = RingPosition {
            ring: (number / BALANCERS_PER_RING) as u64,
            start: (number as f64 * GOLDEN_SECTION).fract(),
            local_zone: Some(&settings.zone),
        };
        self.order = ring_order(upstreams, &position, |_| 0.0);
    }

    /// The usable upstreams in the order in which this balancer prefers them.
    pub(crate) fn order(&self) -> &[Id] {
        &self.order
    }

    /// The number of usable upstreams, those in slow start included; at least 1.
    pub(crate) fn usable_upstreams(&self) -> f64 {
        self.order.len().max(1) as f64
    }

    /// How many upstreams a balancer of this rate uses. With more of them it would have no recent load report of any.
    pub(crate) fn subset_size(&self, sent_per_second: f64, has_counts: bool) -> usize {
        /// Each upstream is used about once in this time, since older reports are misleading.
        const MAX_REPORT_AGE_SECONDS: f64 = 1.0;
        /// Enough to do without one or two bad upstreams, and few enough to have outcomes of each.
        const MIN_SIZE: f64 = 6.0;
        // Counts in load reports tell more about each upstream, so that a balancer can find the idle ones among more of them.
        let min_size = if has_counts { 2.0 * MIN_SIZE } else { MIN_SIZE };
        ((sent_per_second * MAX_REPORT_AGE_SECONDS).max(min_size) as usize).min(self.order.len().max(1))
    }
}

/// Where an RPC with a key may go.
#[derive(Clone, Copy)]
pub(crate) struct KeyPlacement {
    /// The ring of the key, by its hash.
    pub(crate) ring: u64,
    /// The number of upstreams that the key is spread over.
    pub(crate) replicas: usize,
}

/// Keys are counted by hash in this many buckets: enough that frequent keys rarely share one.
const KEY_BUCKETS: usize = 256;

/// Frequencies of keys, as decaying counts.
pub(crate) struct KeyFrequencies {
    counts: Vec<f64>,
    updated_at: Time,
}

impl KeyFrequencies {
    /// Counts from `now` on.
    pub(crate) fn new(now: Time) -> Self {
        KeyFrequencies { counts: vec![0.0; KEY_BUCKETS], updated_at: now }
    }

    /// Counts an RPC with this key, and returns the placement of the key. The number of replicas grows with the key's share of all
    /// RPCs, so that a popular key does not overload one upstream.
    pub(crate) fn place(&mut self, key: &str, local_upstreams: usize, now: Time) -> KeyPlacement {
        /// About as long as upstreams cache a key.
        const TIME_CONSTANT: f64 = 20.0 * SECOND as f64;
        /// Twice the key's share of the local upstreams, since neither keys nor upstreams are evenly loaded.
        const REPLICA_FACTOR: f64 = 2.0;
        let ring = hash(key);
        let remaining = decay(now - self.updated_at, TIME_CONSTANT);
        for count in &mut self.counts {
            *count *= remaining;
        }
        self.updated_at = now;
        let total: f64 = self.counts.iter().sum();
        let count = &mut self.counts[(ring % KEY_BUCKETS as u64) as usize];
        // The first occurrence may be by chance.
        let share = (*count - 1.0).max(0.0) / total.max(1.0);
        *count += 1.0;
        KeyPlacement { ring, replicas: 1 + (REPLICA_FACTOR * share * local_upstreams as f64) as usize }
    }
}
