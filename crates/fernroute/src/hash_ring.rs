//! Subsets and keys by hash (Envoy: subset and ring hash load balancing).
//!
//! A balancer of few RPCs uses a subset of the upstreams, which its number picks: balancers share a ring, an order of all
//! upstreams by hash, and start at different positions of it. A key has a ring of its own, from its hash, so that all balancers
//! send it to the same few upstreams, which have it cached.

use crate::host::{Time, SECOND};
use crate::rpcs::Id;
use crate::settings::ValidatedSettings;
use crate::statistics::{decay, hash};
use crate::upstream::Upstream;
use crate::upstream_table::UpstreamTable;

/// Which order of the upstreams is wanted.
pub(crate) struct RingPosition<'a> {
    /// Which of all rings.
    pub(crate) ring: u64,
    /// Where on it, as a share of the ring.
    pub(crate) start: f64,
    /// The zone whose upstreams alternate with those of the others; none where zones do not count.
    pub(crate) local_zone: Option<&'a str>,
}

/// The order of all upstreams that are not draining. Those of larger capacity come early in more of the rings, in proportion.
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
    /// Orders the upstreams anew. Guards against a jam that spreads along a ring, from one upstream to the same few others at all
    /// balancers: some share a ring, and the next ones have another.
    pub(crate) fn rebuild(&mut self, upstreams: &UpstreamTable, settings: &ValidatedSettings) {
        /// Enough to cover a ring evenly, few enough that there are many rings.
        const BALANCERS_PER_RING: usize = 16;
        /// Its multiples spread evenly over a ring, whichever of the numbers share a zone.
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

    /// How many upstreams are usable, warm or not; at least 1.
    pub(crate) fn usable_upstreams(&self) -> f64 {
        self.order.len().max(1) as f64
    }

    /// How many upstreams a balancer of this rate spreads its attempts over. Guards against a balancer that uses hundreds and
    /// knows nothing of any.
    pub(crate) fn subset_size(&self, sent_per_second: f64, has_counts: bool) -> usize {
        /// Each upstream is used about once in this time, in seconds: older reports mislead.
        const MAX_REPORT_AGE: f64 = 1.0;
        /// Enough that one or two bad upstreams are not missed, few enough to learn of each.
        const MIN_SIZE: f64 = 6.0;
        // Counts say more of each upstream, so that the idle ones among more of them are found.
        let min_size = if has_counts { 2.0 * MIN_SIZE } else { MIN_SIZE };
        ((sent_per_second * MAX_REPORT_AGE).max(min_size) as usize).min(self.order.len().max(1))
    }
}

/// The key of an RPC on its ring.
#[derive(Clone, Copy)]
pub(crate) struct KeyPlacement {
    /// The ring of the key.
    pub(crate) ring: u64,
    /// How many upstreams share the key.
    pub(crate) replicas: usize,
}

/// Buckets in which keys are counted by their hash: few frequent keys share one.
const KEY_BUCKETS: usize = 256;

/// How frequent keys are, as decaying counts.
pub(crate) struct KeyFrequencies {
    counts: Vec<f64>,
    updated_at: Time,
}

impl KeyFrequencies {
    /// No key has been counted before `now`.
    pub(crate) fn new(now: Time) -> Self {
        KeyFrequencies { counts: vec![0.0; KEY_BUCKETS], updated_at: now }
    }

    /// Counts an RPC with this key, and places the key: with more replicas the more of all RPCs it makes up. Guards against a
    /// key that many ask for and one upstream that serves it.
    pub(crate) fn place(&mut self, key: &str, local_upstreams: usize, now: Time) -> KeyPlacement {
        /// About as long as upstreams cache a key.
        const MEMORY: f64 = 20.0 * SECOND as f64;
        /// Twice its share of the local upstreams: shares are uneven, and so are upstreams.
        const REPLICA_FACTOR: f64 = 2.0;
        let ring = hash(key);
        let remaining = decay(now - self.updated_at, MEMORY);
        for count in &mut self.counts {
            *count *= remaining;
        }
        self.updated_at = now;
        let total: f64 = self.counts.iter().sum();
        let count = &mut self.counts[(ring % KEY_BUCKETS as u64) as usize];
        // A key that came once came by chance.
        let share = (*count - 1.0).max(0.0) / total.max(1.0);
        *count += 1.0;
        KeyPlacement { ring, replicas: 1 + (REPLICA_FACTOR * share * local_upstreams as f64) as usize }
    }
}
