//! Admission control at the first tier: under overload, RPCs of the lowest priority weight are shed first.
//!
//! By Little's law the latency of the next response is the number of open RPCs divided by the throughput, and it has to stay well
//! below the soft deadline. Throughput and latency are estimated from completions within the soft deadline.

use crate::host::{Time, SECOND};
use crate::statistics::decay;

/// The shortest averaging time, about the latency of a response: a shorter one is noisy, a longer one admits too much when a fault
/// begins.
const MIN_AVERAGING_TIME: f64 = 1.5 * SECOND as f64;

/// The time over which completions are averaged at this rate of attempts: longer for a balancer of few RPCs, whose counts would
/// otherwise be noise.
fn averaging_time(attempts_per_second: f64) -> f64 {
    /// A dozen completions give the throughput to within a third.
    const TARGET_COMPLETIONS: f64 = 12.0;
    /// A longer time would miss bursts.
    const MAX_AVERAGING_TIME: f64 = 6.0 * SECOND as f64;
    let expected = TARGET_COMPLETIONS * SECOND as f64 / attempts_per_second.max(0.1);
    expected.clamp(MIN_AVERAGING_TIME, MAX_AVERAGING_TIME)
}

/// The load at the time of an arrival or a completion.
pub(crate) struct PresentLoad {
    /// The present time.
    pub(crate) now: Time,
    /// The rate at which this balancer sends attempts.
    pub(crate) attempts_per_second: f64,
    /// How many upstreams are in use.
    pub(crate) usable_upstreams: f64,
    /// The mean utilisation that upstreams report; none before the first report.
    pub(crate) utilisation: Option<f64>,
}

/// See the module's documentation.
pub(crate) struct AdmissionControl {
    /// A decaying count of completions.
    completions: f64,
    completions_updated_at: Time,
    first_completion_at: Option<Time>,
    /// Open RPCs, averaged over the time by which the averaging time exceeds its minimum.
    open_rpcs: f64,
    open_rpcs_updated_at: Time,
    /// The highest recent throughput per upstream in use; halves in about eight seconds.
    best_throughput: f64,
    /// The number of completions in the latency estimate.
    latency_samples: f64,
    mean_latency: f64,
    /// The latency without overload: follows a decrease at once, an increase slowly.
    baseline_latency: f64,
}

impl AdmissionControl {
    /// Admits everything until there have been completions.
    pub(crate) fn new() -> Self {
        AdmissionControl {
            completions: 0.0,
            completions_updated_at: 0,
            first_completion_at: None,
            open_rpcs: 0.0,
            open_rpcs_updated_at: 0,
            best_throughput: 0.0,
            latency_samples: 0.0,
            mean_latency: 0.0,
            baseline_latency: f64::INFINITY,
        }
    }

    /// Whether the throughput is known well enough, which takes half a soft deadline from the first completion.
    pub(crate) fn is_calibrated(&self, soft_deadline: Time, now: Time) -> bool {
        self.first_completion_at.is_some_and(|first| now >= first + soft_deadline / 2)
    }

    /// Completions per second, corrected for the short observation time after the first one.
    fn throughput(&self, now: Time, averaging_time: f64) -> f64 {
        let observed = 1.0 - decay(now - self.first_completion_at.unwrap_or(now), averaging_time);
        let remaining = decay(now - self.completions_updated_at, averaging_time);
        self.completions * remaining * SECOND as f64 / averaging_time / observed.max(0.01)
    }

    /// Records a completion within its soft deadline.
    pub(crate) fn record_completion(&mut self, latency: Time, load: &PresentLoad) {
        const BEST_THROUGHPUT_DECAY_TIME: f64 = 12.0 * SECOND as f64;
        let (now, averaging_time) = (load.now, averaging_time(load.attempts_per_second));
        let first_completion_at = *self.first_completion_at.get_or_insert(now);
        let observed_for = now - first_completion_at;
        self.record_latency(latency as f64, observed_for);
        let since_update = now - self.completions_updated_at;
        self.completions = self.completions * decay(since_update, averaging_time) + 1.0;
        self.best_throughput *= (1.0 - since_update as f64 / BEST_THROUGHPUT_DECAY_TIME).max(0.0);
        self.completions_updated_at = now;
        if observed_for > 2 * SECOND {
            // Kept per upstream, so that the limit falls when upstreams are removed, and less one standard deviation, so that a
            // maximum by chance does not raise it.
            let throughput = self.throughput(now, averaging_time);
            let counted = (throughput * averaging_time / SECOND as f64).max(1.0);
            let throughput = throughput * (1.0 - counted.sqrt().recip()) / load.usable_upstreams;
            self.best_throughput = self.best_throughput.max(throughput);
        }
    }

    /// The baseline is set only after half a second and twenty completions, since the first ones may be fast by chance.
    fn record_latency(&mut self, latency: f64, observed_for: Time) {
        if observed_for > SECOND / 2 {
            self.latency_samples += 1.0;
            self.mean_latency += (latency - self.mean_latency) * self.latency_samples.recip().max(0.02);
        }
        if self.latency_samples >= 20.0 {
            self.baseline_latency = if self.mean_latency < self.baseline_latency {
                self.mean_latency
            } else {
                self.baseline_latency + 0.001 * (self.mean_latency - self.baseline_latency)
            };
        }
    }

    /// Averages the number of open RPCs.
    fn average_open_rpcs(&mut self, open_rpcs: usize, now: Time, averaging_time: f64) -> f64 {
        let open_rpcs = open_rpcs as f64;
        let elapsed = now - self.open_rpcs_updated_at;
        let remaining = decay(elapsed, (averaging_time - MIN_AVERAGING_TIME).max(1.0));
        let average = open_rpcs + (self.open_rpcs - open_rpcs) * remaining;
        (self.open_rpcs, self.open_rpcs_updated_at) = (average, now);
        average
    }

    /// How many RPCs may be open if all are to be answered in time.
    fn limit(&self, soft_deadline: Time, load: &PresentLoad) -> f64 {
        /// The share of the soft deadline that responses may take on average, since single ones may take about twice the mean.
        const DEADLINE_SHARE: f64 = 0.8;
        /// Beyond this multiple of the baseline latency, upstreams are overloaded and lose throughput.
        const MAX_LATENCY_FACTOR: f64 = 4.0;
        /// A lower throughput than this share of the best one does not lower the limit further: shedding does not cure such slowness.
        const MIN_THROUGHPUT_SHARE: f64 = 0.8;
        /// Never shed everything: without open RPCs there are no completions to learn from.
        const MIN_OPEN_RPCS: f64 = 4.0;
        let averaging_time = averaging_time(load.attempts_per_second);
        // 1 for a busy balancer, less for one whose counts show an overload late.
        let confidence = MIN_AVERAGING_TIME / averaging_time;
        let target_latency = (DEADLINE_SHARE * soft_deadline as f64)
            .min(MAX_LATENCY_FACTOR * (0.2 + 0.8 * confidence) * self.baseline_latency);
        let min_throughput =
            MIN_THROUGHPUT_SHARE * (0.4 + 0.6 * confidence) * self.best_throughput * load.usable_upstreams;
        let throughput = self.throughput(load.now, averaging_time).max(min_throughput);
        let limit = throughput * target_latency / SECOND as f64;
        let limit = limit.max(MIN_OPEN_RPCS * confidence);
        // Without a fault the number of open RPCs varies by the square root of its mean, and by less over a longer averaging time.
        limit + (limit * confidence).sqrt()
    }

    /// Whether an RPC of this priority weight is admitted now. Weight 0 is shed from half the limit on; two thirds of the highest
    /// weight and more are shed at the limit.
    pub(crate) fn admits(
        &mut self,
        priority_weight: f64,
        open_rpcs: usize,
        soft_deadline: Time,
        load: &PresentLoad,
    ) -> bool {
        let averaging_time = averaging_time(load.attempts_per_second);
        let open_rpcs = self.average_open_rpcs(open_rpcs, load.now, averaging_time);
        let limit = self.limit(soft_deadline, load);
        // A balancer of few RPCs notices an overload late: where upstreams are two thirds busy, it sheds from a lower share on.
        let confidence = MIN_AVERAGING_TIME / averaging_time;
        let fullness = ((load.utilisation.unwrap_or(0.0) - 0.65) / 0.2).clamp(0.0, 1.0);
        let min_share = 0.5 - 0.4 * fullness * (1.0 - confidence);
        open_rpcs < limit * (min_share + (1.0 - min_share) * (1.5 * priority_weight).min(1.0))
    }
}
