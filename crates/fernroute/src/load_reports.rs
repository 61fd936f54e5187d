//! Averages of the load that upstreams report with their responses; single upstreams are compared with them.

use crate::host::Time;
use crate::settings::LoadReportLayout;
use crate::upstream::Upstream;
use crate::upstream_table::UpstreamTable;
use std::collections::BTreeMap;

/// Averages over the upstreams that this balancer uses; none before the first report.
#[derive(Default)]
pub(crate) struct LoadAverages {
    utilisation: Option<f64>,
    load_of_others: Option<f64>,
    /// The logarithm of the capacity of each kind of upstream relative to the others. A kind is dropped once the endpoint list names
    /// no upstream of it.
    kind_capacities: BTreeMap<String, f64>,
}

fn updated(average: Option<f64>, value: f64) -> Option<f64> {
    /// Adapts to a change within some dozen reports.
    const STEP: f64 = 0.08;
    Some(average.map_or(value, |average| average + STEP * (value - average)))
}

impl LoadAverages {
    /// The mean utilisation of upstreams.
    pub(crate) fn utilisation(&self) -> Option<f64> {
        self.utilisation
    }

    /// The mean load that upstreams have from other balancers; 0 before the first report.
    pub(crate) fn load_of_others(&self) -> f64 {
        self.load_of_others.unwrap_or(0.0)
    }

    /// The logarithm of the capacity of a kind of upstream relative to the others.
    pub(crate) fn kind_capacity(&self, kind: &str) -> f64 {
        self.kind_capacities.get(kind).copied().unwrap_or(0.0)
    }

    /// Drops the averages of reports whose layout has changed.
    pub(crate) fn discard_reports(&mut self) {
        (self.utilisation, self.load_of_others) = (None, None);
    }

    /// Drops kinds without upstreams.
    pub(crate) fn remove_unused_kinds(&mut self, upstreams: &UpstreamTable) {
        self.kind_capacities.retain(|kind, _| upstreams.iter().any(|(_, upstream)| upstream.kind() == kind));
    }

    /// Records the load report of a response. The attempt that it answers must still count as in flight.
    pub(crate) fn record(
        &mut self,
        upstream: &mut Upstream,
        layout: &LoadReportLayout,
        report: &[f64],
        now: Time,
    ) {
        let value = |index: Option<usize>| {
            index.and_then(|index| report.get(index)).copied().filter(|value| value.is_finite())
        };
        if let Some(utilisation) = value(layout.utilisation) {
            self.record_utilisation(upstream, utilisation.clamp(0.0, 1.0));
        }
        // The count of RPCs in flight includes the one that was answered; the count of queued ones does not.
        let in_flight = value(layout.in_flight).or(value(layout.queued).map(|queued| queued + 1.0));
        if let Some(in_flight) = in_flight {
            let load_of_others = (in_flight - upstream.in_flight() as f64).max(0.0);
            let mean_of_all = self.load_of_others.unwrap_or(load_of_others);
            upstream.record_load_of_others(load_of_others, mean_of_all, now);
            self.load_of_others = updated(self.load_of_others, load_of_others);
        }
    }

    /// Records the utilisation, and adapts the capacity of the upstream's kind: one that is busier than the mean counts as smaller,
    /// so that keys are not spread evenly over upstreams of which some have half the capacity of others.
    fn record_utilisation(&mut self, upstream: &mut Upstream, utilisation: f64) {
        /// Some ten reports that differ from the mean by a tenth change the capacity by a tenth.
        const CAPACITY_STEP: f64 = 0.1;
        const MAX_LOG_CAPACITY: f64 = 1.5;
        upstream.record_utilisation(utilisation);
        let mean = self.utilisation.unwrap_or(utilisation);
        let capacity = self.kind_capacities.entry(upstream.kind().to_owned()).or_insert(0.0);
        *capacity =
            (*capacity + CAPACITY_STEP * (mean - utilisation)).clamp(-MAX_LOG_CAPACITY, MAX_LOG_CAPACITY);
        self.utilisation = updated(self.utilisation, utilisation);
    }
}
