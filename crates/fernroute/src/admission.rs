//! Admission control at the first tier: under overload, RPCs of the least priority weight are shed first.
//!
//! By Little's law the open RPCs over the throughput is the time that the next response takes, and that must leave room before
//! the soft deadline. Throughput and latency are learnt from completions that come in time.

use crate::host::{Time, SECOND};
use crate::statistics::decay;

/// The shortest averaging time, about the latency of a response: shorter is noise, longer admits too much into a fault.
const MIN_AVERAGING_TIME: f64 = 1.5 * SECOND as f64;

/// How long completions are averaged over at this rate of attempts. Guards against a balancer of few RPCs that sees only chance.
fn averaging_time(attempts_per_second: f64) -> f64 {
    /// A dozen completions show the throughput to a third.
    const COMPLETIONS: f64 = 12.0;
    /// Longer would miss a burst.
    const MAX_AVERAGING_TIME: f64 = 6.0 * SECOND as f64;
    let expected = COMPLETIONS * SECOND as f64 / attempts_per_second.max(0.1);
    expected.clamp(MIN_AVERAGING_TIME, MAX_AVERAGING_TIME)
}

/// The load at the moment of an RPC or a completion.
pub(crate) struct PresentLoad {
    /// The present moment.
    pub(crate) now: Time,
    /// Attempts that this balancer sends.
    pub(crate) attempts_per_second: f64,
    /// How many upstreams are in use.
    pub(crate) usable_upstreams: f64,
    /// How busy upstreams report to be; none before the first report.
    pub(crate) utilisation: Option<f64>,
}

/// See the module's description.
pub(crate) struct AdmissionControl {
    /// A decaying count of completions.
    completions: f64,
    completions_updated_at: Time,
    first_completion_at: Option<Time>,
    /// Open RPCs, averaged over what the averaging time exceeds its minimum by.
    open_rpcs: f64,
    open_rpcs_updated_at: Time,
    /// The highest throughput of late for each upstream in use; halves in about eight seconds.
    best_throughput: f64,
    /// Completions that the latency was learnt from.
    latency_samples: f64,
    mean_latency: f64,
    /// The latency without overload: falls at once, rises slowly.
    baseline_latency: f64,
}

impl AdmissionControl {
    /// Admits everything until completions have come.
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

    /// Whether the throughput is known well enough: for half a soft deadline after the first completion it is not.
    pub(crate) fn is_calibrated(&self, soft_deadline: Time, now: Time) -> bool {
        self.first_completion_at.is_some_and(|first| now >= first + soft_deadline / 2)
    }

    /// Completions per second, corrected for the time before the first one.
    fn throughput(&self, now: Time, averaging_time: f64) -> f64 {
        let observed = 1.0 - decay(now - self.first_completion_at.unwrap_or(now), averaging_time);
        let remaining = decay(now - self.completions_updated_at, averaging_time);
        self.completions * remaining * SECOND as f64 / averaging_time / observed.max(0.01)
    }

    /// Takes a completion that came within its soft deadline.
    pub(crate) fn record_completion(&mut self, latency: Time, load: &PresentLoad) {
        const BEST_THROUGHPUT_LASTS: f64 = 12.0 * SECOND as f64;
        let (now, averaging_time) = (load.now, averaging_time(load.attempts_per_second));
        let first_completion_at = *self.first_completion_at.get_or_insert(now);
        let observed_for = now - first_completion_at;
        self.record_latency(latency as f64, observed_for);
        let since_update = now - self.completions_updated_at;
        self.completions = self.completions * decay(since_update, averaging_time) + 1.0;
        self.best_throughput *= (1.0 - since_update as f64 / BEST_THROUGHPUT_LASTS).max(0.0);
        self.completions_updated_at = now;
        if observed_for > 2 * SECOND {
            // Guards against a limit from before the fleet shrank, and against a best that is chance: the throughput is kept for each
            // upstream, less one standard deviation.
            let throughput = self.throughput(now, averaging_time);
            let counted = (throughput * averaging_time / SECOND as f64).max(1.0);
            let throughput = throughput * (1.0 - counted.sqrt().recip()) / load.usable_upstreams;
            self.best_throughput = self.best_throughput.max(throughput);
        }
    }

    /// Guards against quick first completions that pass for the baseline: it follows from some twenty, after half a second.
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

    /// How many RPCs may be open for all to be answered in time.
    fn limit(&self, soft_deadline: Time, load: &PresentLoad) -> f64 {
        /// The part of the soft deadline that responses may take on average: chance about doubles it.
        const DEADLINE_SHARE: f64 = 0.8;
        /// Beyond this multiple of the baseline latency upstreams are crowded and turn slow.
        const MAX_LATENCY_FACTOR: f64 = 4.0;
        /// Guards against shedding for slowness that shedding does not cure.
        const MIN_THROUGHPUT_SHARE: f64 = 0.8;
        /// Guards against shedding everything: with nothing open there are no completions to learn from.
        const MIN_OPEN_RPCS: f64 = 4.0;
        let averaging_time = averaging_time(load.attempts_per_second);
        // 1 for a busy balancer, less for one whose counts show a jam late.
        let confidence = MIN_AVERAGING_TIME / averaging_time;
        let target_latency = (DEADLINE_SHARE * soft_deadline as f64)
            .min(MAX_LATENCY_FACTOR * (0.2 + 0.8 * confidence) * self.baseline_latency);
        let min_throughput =
            MIN_THROUGHPUT_SHARE * (0.4 + 0.6 * confidence) * self.best_throughput * load.usable_upstreams;
        let throughput = self.throughput(load.now, averaging_time).max(min_throughput);
        let limit = throughput * target_latency / SECOND as f64;
        let limit = limit.max(MIN_OPEN_RPCS * confidence);
        // Open RPCs scatter by the root of their mean without a fault; by less over a longer time.
        limit + (limit * confidence).sqrt()
    }

    /// Whether an RPC of this priority weight is admitted now. A weight of 0 is shed from half the limit on, two thirds of the
    /// highest weight at the limit.
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
        // A small balancer notices a jam late: where upstreams are two thirds busy, it sheds from a lower share on.
        let confidence = MIN_AVERAGING_TIME / averaging_time;
        let fullness = ((load.utilisation.unwrap_or(0.0) - 0.65) / 0.2).clamp(0.0, 1.0);
        let min_share = 0.5 - 0.4 * fullness * (1.0 - confidence);
        open_rpcs < limit * (min_share + (1.0 - min_share) * (1.5 * priority_weight).min(1.0))
    }
}
