//! Metrics of a run: service, final answers, latencies.

use crate::scenario::{seconds, Scenario};
use fernroute::Time;
use hdrhistogram::Histogram;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondMetrics {
    pub offered: f64,
    pub served: f64,
    pub exhausted: u64,
    pub errored: u64,
    pub late: u64,
}

/// Counts of how RPCs ended, for those of callers and calls between tiers: each arrival has exactly one end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    pub arrived: u64,
    pub completed: u64,
    pub exhausted: u64,
    pub errored: u64,
    /// The caller left; `lost` counts RPCs whose balancer died.
    pub abandoned: u64,
    pub lost: u64,
    pub open: u64,
}

impl EndCounts {
    pub fn sum(&self) -> u64 {
        self.completed + self.exhausted + self.errored + self.abandoned + self.lost + self.open
    }
}

/// Requests of one method.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MethodMetrics {
    pub name: String,
    pub offered: u64,
    pub served: u64,
}

/// Requests of one tenant by second of arrival: offered, and answered completely.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantMetrics {
    pub name: String,
    pub rate: f64,
    pub seconds: Vec<(u64, u64)>,
}

impl TenantMetrics {
    /// Utilization of the budget: completed requests relative to the offered ones, capped second by second at the budget.
    pub fn utilization(&self) -> f64 {
        let could: f64 = self.seconds.iter().map(|(asked, _)| (*asked as f64).min(self.rate)).sum();
        let used: f64 = self.seconds.iter().map(|(_, served)| *served as f64).sum();
        used / could.max(1.0)
    }
}

/// RPCs through the balancers of one tier: those of callers in the first tier, calls in the tiers below.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TierMetrics {
    pub rpcs: u64,
    pub attempts: u64,
    pub completed: u64,
    /// Sum of the times from arrival to the complete answer, over completed RPCs.
    pub total_latency: u128,
    /// Sum of the time left until the hard deadline on arrival; `min_time_left` is the minimum.
    pub total_time_left: u128,
    pub min_time_left: Option<Time>,
}

impl TierMetrics {
    pub fn record_arrival(&mut self, left: Time) {
        self.rpcs += 1;
        self.total_time_left += u128::from(left);
        self.min_time_left = Some(self.min_time_left.map_or(left, |least| least.min(left)));
    }

    pub fn record_completion(&mut self, total_latency: Time) {
        self.completed += 1;
        self.total_latency += u128::from(total_latency);
    }
}

pub struct RunMetrics {
    /// One entry for each tier that an RPC passes.
    pub tiers: Vec<TierMetrics>,
    pub tenants: Vec<TenantMetrics>,
    pub seconds: Vec<SecondMetrics>,
    pub methods: Vec<MethodMetrics>,
    /// Time from the first arrival to the complete answer, in tenths of a millisecond.
    pub latencies: Histogram<u64>,
    pub ends: EndCounts,
    pub attempts: u64,
    /// Sum of the time that RPCs of callers spent in the first tier.
    pub time_in_system: u128,
}

impl RunMetrics {
    pub fn new(scenario: &Scenario) -> Self {
        /// Three significant digits: a resolution of 0.1% in some tens of kilobytes.
        const DIGITS: u8 = 3;
        let name =
            |m: &crate::scenario::Method| MethodMetrics { name: m.name.clone(), ..MethodMetrics::default() };
        let longest = scenario.method.iter().map(|m| m.hard_ms).fold(1000.0, f64::max);
        let most = (seconds(longest / 1000.0) * 2).max(1000);
        let times = Histogram::new_with_bounds(1, most, DIGITS);
        let tenant = |t: &crate::scenario::Tenant| {
            let seconds = vec![(0, 0); scenario.seconds.ceil() as usize];
            TenantMetrics { name: t.name.clone(), rate: t.rate, seconds }
        };
        RunMetrics {
            tiers: vec![TierMetrics::default(); scenario.tier.len()],
            tenants: scenario.tenant.iter().map(tenant).collect(),
            seconds: vec![SecondMetrics::default(); scenario.seconds.ceil() as usize],
            methods: scenario.method.iter().map(name).collect(),
            latencies: times.unwrap_or_else(|why| unreachable!("the bounds are in order: {why}")),
            ends: EndCounts::default(),
            attempts: 0,
            time_in_system: 0,
        }
    }

    fn second(&mut self, at: Time) -> &mut SecondMetrics {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((at / seconds(1.0)) as usize).min(last)]
    }

    pub fn record_offered(&mut self, at: Time, method: usize, gain: f64) {
        self.second(at).offered += gain;
        self.methods[method].offered += 1;
    }

    /// Records a completely answered request in the second of its first arrival.
    pub fn record_completed(&mut self, asked: Time, now: Time, method: usize, gain: f64, soft: Time) {
        self.latencies.saturating_record((now - asked).max(1));
        if now <= asked + soft {
            self.second(asked).served += gain;
            self.methods[method].served += 1;
        } else {
            self.second(asked).late += 1;
        }
    }

    /// Records the end of a tenant's request.
    pub fn record_tenant(&mut self, asked: Time, tenant: Option<usize>, served: bool) {
        let Some(of) = tenant.and_then(|tenant| self.tenants.get_mut(tenant)) else { return };
        let last = of.seconds.len() - 1;
        let second = &mut of.seconds[((asked / seconds(1.0)) as usize).min(last)];
        *second = (second.0 + 1, second.1 + u64::from(served));
    }

    /// Mean budget utilization over all tenants; `None` without tenants.
    pub fn utilization(&self) -> Option<f64> {
        let sum: f64 = self.tenants.iter().map(TenantMetrics::utilization).sum();
        (!self.tenants.is_empty()).then(|| sum / self.tenants.len() as f64)
    }

    pub fn record_exhausted(&mut self, asked: Time) {
        self.second(asked).exhausted += 1;
    }

    pub fn record_errored(&mut self, asked: Time) {
        self.second(asked).errored += 1;
    }

    /// Gain of the requests answered before the soft deadline, relative to the offered gain.
    pub fn service(&self) -> f64 {
        let (served, offered) =
            self.seconds.iter().fold((0.0, 0.0), |(s, o), x| (s + x.served, o + x.offered));
        if offered > 0.0 {
            served / offered
        } else {
            1.0
        }
    }

    /// The service in the worst ten consecutive seconds, or in the whole of a shorter run.
    pub fn worst_ten(&self) -> f64 {
        let part = |w: &[SecondMetrics]| {
            let offered: f64 = w.iter().map(|s| s.offered).sum();
            if offered > 0.0 {
                w.iter().map(|s| s.served).sum::<f64>() / offered
            } else {
                1.0
            }
        };
        self.seconds.windows(self.seconds.len().min(10)).map(part).fold(1.0, f64::min)
    }
}
