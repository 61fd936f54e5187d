//! The upstreams that the endpoint list names, by identifier. An upstream that has left the list is removed once no attempt to it is
//! in flight.

use crate::host::Time;
use crate::rpcs::Id;
use crate::upstream::Upstream;
use std::collections::BTreeMap;

/// See the module's documentation.
#[derive(Default)]
pub(crate) struct UpstreamTable {
    upstreams: BTreeMap<Id, Upstream>,
}

impl UpstreamTable {
    pub(crate) fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// The upstream of this identifier, if an attempt that was sent at this time went to its present process.
    pub(crate) fn same_process_mut(&mut self, id: &str, sent_at: Time) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id).filter(|upstream| sent_at >= upstream.started_at())
    }

    /// The upstream of this identifier, which is added if it is new.
    pub(crate) fn get_or_insert(&mut self, id: &str) -> &mut Upstream {
        self.upstreams.entry(Id::from(id)).or_default()
    }

    /// All upstreams, ordered by identifier.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Id, &Upstream)> + Clone {
        self.upstreams.iter()
    }

    /// The number of all upstreams, including those that are draining or removed.
    pub(crate) fn len(&self) -> usize {
        self.upstreams.len()
    }

    pub(crate) fn count_in_zone(&self, zone: &str) -> usize {
        self.upstreams.values().filter(|upstream| upstream.zone() == zone).count()
    }

    /// The number of upstreams with an open or half-open breaker.
    pub(crate) fn count_ejected(&self) -> usize {
        self.upstreams.values().filter(|upstream| !upstream.breaker().is_closed()).count()
    }

    /// The number of upstreams that the endpoint list names.
    pub(crate) fn count_listed(&self) -> usize {
        self.upstreams.values().filter(|upstream| !upstream.is_removed()).count()
    }

    /// The number of upstreams that the endpoint list names and that are draining or ejected.
    pub(crate) fn count_avoided(&self) -> usize {
        let is_avoided = |upstream: &&Upstream| {
            !upstream.is_removed() && (upstream.is_draining() || !upstream.breaker().is_closed())
        };
        self.upstreams.values().filter(is_avoided).count()
    }

    /// Drops the values of load reports.
    pub(crate) fn discard_reports(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.discard_reports();
        }
    }

    /// An update of the endpoint list begins.
    pub(crate) fn snapshot_started(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.snapshot_started();
        }
    }

    /// An update is complete. Upstreams that a full snapshot has not named are removed.
    pub(crate) fn snapshot_completed(&mut self, is_full: bool) {
        if is_full {
            for upstream in self.upstreams.values_mut().filter(|upstream| !upstream.is_in_snapshot()) {
                upstream.set_removed();
            }
        }
        self.upstreams.retain(|_, upstream| !upstream.is_finished());
    }

    /// Counts the end of an attempt that was sent at this time.
    pub(crate) fn attempt_ended(&mut self, id: &str, sent_at: Time) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.attempt_ended(sent_at);
        if upstream.is_finished() {
            self.upstreams.remove(id);
        }
    }
}
