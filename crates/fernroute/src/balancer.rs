//! The [`Balancer`] has one method for each kind of event. It passes the event to the modules that keep the state, picks the
//! upstream of each attempt, and acts through the [`Host`].
//!
//! By default each upstream has a circuit breaker, fed by this balancer's own outcomes, and an attempt goes to a random upstream
//! among those with a closed breaker, weighted by reported headroom. Six mechanisms add to this (`docs/design.md`):
//! 1. A breaker opens early on consecutive failures, where there are too few RPCs to fill its window.
//! 2. An upstream that holds more than its part of the load gets less weight, and no attempt is sent where load reports say that
//!    the response would be late.
//! 3. Faults that most upstreams share open no breakers.
//! 4. Upstreams of the local zone get more weight while they have headroom.
//! 5. Under overload, RPCs of the lowest priority weight are rejected first, at the first tier.
//! 6. A balancer of few RPCs uses a subset of a hash ring, chosen by its instance number; a key that upstreams cache has its own
//!    position on the ring.

use crate::admission::{AdmissionControl, PresentLoad};
use crate::attempts::{attempt_timeout, is_permitted, verdict, Attempt, SendResult};
use crate::budgets::{RetryTokens, SharedBudgets};
use crate::circuit_breaker::{State, Verdict};
use crate::endpoint_watch::EndpointWatch;
use crate::hash_ring::{ring_order, HashRing, KeyFrequencies, KeyPlacement, RingPosition};
use crate::host::{Host, InvalidSetting, Outcome, Settings, Time, Timer, SECOND};
use crate::latency::Method;
use crate::load_reports::LoadAverages;
use crate::rpcs::{Id, Rpc};
use crate::send_rate::SendRate;
use crate::settings::{Idempotency, MethodPolicy, ValidatedSettings};
use crate::slow_start::{min_send_interval, WarmTraffic};
use crate::statistics::mean;
use crate::upstream::Upstream;
use crate::upstream_table::UpstreamTable;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The decisions of one balancer process. It calls its host while it handles an event, before the event's method returns.
pub struct Balancer<H: Host> {
    host: H,
    rng: WyRand,
    now: Time,
    /// Replaced as a whole by [`Balancer::update_settings`].
    settings: ValidatedSettings,
    methods: Vec<Rc<Method>>,
    shared_budgets: SharedBudgets,
    retry_tokens: RetryTokens,
    upstreams: UpstreamTable,
    /// An RPC is removed once it has its final answer and no attempt of it is in flight.
    rpcs: BTreeMap<Id, Rpc>,
    watch: EndpointWatch,
    ring: HashRing,
    key_frequencies: KeyFrequencies,
    load: LoadAverages,
    send_rate: SendRate,
    admission: AdmissionControl,
}

impl<H: Host> Balancer<H> {
    /// Creates a balancer that knows no upstreams yet.
    ///
    /// # Errors
    /// The first setting that cannot be used.
    pub fn new(host: H, now: Time, seed: u64, settings: &Settings) -> Result<Self, InvalidSetting> {
        let mut balancer = Balancer {
            host,
            rng: WyRand::new_seed(seed),
            now,
            settings: ValidatedSettings::default(),
            methods: Vec::new(),
            shared_budgets: SharedBudgets::default(),
            retry_tokens: RetryTokens::full(),
            upstreams: UpstreamTable::default(),
            rpcs: BTreeMap::new(),
            watch: EndpointWatch::default(),
            ring: HashRing::default(),
            key_frequencies: KeyFrequencies::new(now),
            load: LoadAverages::default(),
            send_rate: SendRate::new(now),
            admission: AdmissionControl::new(),
        };
        balancer.update_settings(now, settings)?;
        Ok(balancer)
    }

    /// Replaces all settings, or none if one of them cannot be used. Open RPCs keep the method policy that they arrived under, so
    /// that idempotency, deduplication scope and deadlines do not change for an RPC that may have run. Breakers, load reports,
    /// process starts, and the latency estimates of methods that keep their name stay.
    ///
    /// # Errors
    /// The first setting that cannot be used.
    pub fn update_settings(&mut self, now: Time, settings: &Settings) -> Result<(), InvalidSetting> {
        let settings = ValidatedSettings::read(settings)?;
        self.now = now;
        let report_changed = settings.load_report != self.settings.load_report;
        let method = |policy: &MethodPolicy| {
            let previous = self.methods.iter().find(|method| method.policy.name == policy.name);
            Rc::new(Method::new(policy, previous.map(|method| &**method)))
        };
        let methods = settings.methods.iter().map(method).collect();
        self.shared_budgets.update_settings(now, &settings.tenants, settings.instances);
        (self.methods, self.settings) = (methods, settings);
        if report_changed {
            // The same position of a report may hold another value from now on.
            self.upstreams.discard_reports();
            self.load.discard_reports();
        }
        self.ring.rebuild(&self.upstreams, &self.settings);
        if !self.watch.is_established() {
            self.schedule_poll();
        }
        Ok(())
    }

    /// Replaces the rates that the fleet grants, all of them or none. A budget is a tenant's name, [`crate::RETRY_BUDGET`] or
    /// [`crate::TRIAL_BUDGET`]; it has two rates per second that add up, each until an expiry time. Granted rates take the place of
    /// an even part of a tenant's quota. Retries and trials are unlimited where the fleet does not grant them.
    ///
    /// # Errors
    /// A budget that does not exist, or a rate that is negative or not finite.
    pub fn set_budget_rates(
        &mut self,
        now: Time,
        rates: &[(&str, [(f64, Time); 2])],
    ) -> Result<(), InvalidSetting> {
        self.now = now;
        self.shared_budgets.set_grants(now, rates)
    }

    /// How many retries were wanted since the start, within the budget or not.
    pub fn retries_wanted(&self) -> u64 {
        self.shared_budgets.retries_wanted()
    }

    /// Whether upstreams report how many RPCs are in flight or queued there.
    fn has_load_counts(&self) -> bool {
        self.settings.load_report.has_counts()
    }

    fn schedule_poll(&mut self) {
        self.watch.schedule_poll(&mut self.host, &mut self.rng, self.settings.poll_within);
    }

    /// The endpoint list could not be watched or polled.
    pub fn watch_failed(&mut self, now: Time) {
        self.now = now;
        self.watch.failed();
        self.schedule_poll();
    }

    /// An update of the endpoint list begins: a full snapshot of all upstreams, or the changes since the last one.
    pub fn snapshot_started(&mut self, now: Time, full: bool) {
        self.now = now;
        self.watch.snapshot_started(full);
        self.upstreams.snapshot_started();
    }

    /// The endpoint list names an upstream as ready. `started` is the start of its process; 0 means long ago.
    pub fn upstream_ready(&mut self, id: &str, zone: &str, cell: &str, kind: &str, started: Time) {
        let is_known = self.upstreams.get(id).is_some_and(|upstream| upstream.has_reported_start(started));
        // A start in the far future would keep the upstream in slow start and its reports ignored for good.
        let started_at = started.min(self.now + self.settings.slow_start.warm_up as Time);
        let interval = if is_known { None } else { self.min_send_interval(started_at) };
        // A random phase: balancers learn of a start at the same time and would all send at once.
        let phase = interval.map_or(0, |interval| (interval * self.rng.generate::<f64>()) as Time);
        let upstream = self.upstreams.get_or_insert(id);
        upstream.set_ready(zone, cell, kind);
        if !is_known {
            upstream.restart(started, started_at, self.now + phase);
        }
    }

    /// The endpoint list names an upstream as draining.
    pub fn upstream_draining(&mut self, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.set_draining();
        }
    }

    /// The endpoint list names an upstream as removed.
    pub fn upstream_removed(&mut self, id: &str) {
        self.upstream_draining(id);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.set_removed();
        }
    }

    /// A snapshot is complete. `is_current` is false for a cached list that an earlier instance hands over at the start.
    pub fn snapshot_completed(&mut self, is_current: bool) {
        self.upstreams.snapshot_completed(self.watch.is_full_snapshot());
        self.load.remove_unused_kinds(&self.upstreams);
        self.ring.rebuild(&self.upstreams, &self.settings);
        if is_current {
            self.watch.established();
        }
    }

    fn subset_size(&self) -> usize {
        self.ring.subset_size(self.send_rate.sent_per_second(), self.has_load_counts())
    }

    /// How many upstreams the endpoint list names, and how many of them are draining or ejected by their breaker.
    pub fn upstream_counts(&self) -> (usize, usize) {
        (self.upstreams.count_listed(), self.upstreams.count_avoided())
    }

    /// The least time between two attempts to an upstream that started at this time; none once it is warm.
    fn min_send_interval(&self, started_at: Time) -> Option<f64> {
        let traffic = WarmTraffic {
            accepted_per_second: self.send_rate.accepted_per_second(),
            utilisation: self.load.utilisation(),
            usable_upstreams: self.ring.usable_upstreams(),
            subset_size: self.subset_size(),
        };
        min_send_interval(&self.settings, started_at, self.now, &traffic)
    }

    fn count_send(&mut self, id: &str) {
        self.send_rate.record_sent(self.now);
        let started_at = self.upstreams.get(id).map_or(0, Upstream::started_at);
        if let Some(interval) = self.min_send_interval(started_at) {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.delay_next_send(self.now + interval as Time);
            }
        }
    }

    // ------------------------------------------------------------------------------------------ selection

    fn may_send(&self, rpc: &Rpc, id: &str) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| is_permitted(rpc, upstream, &self.settings, self.now))
    }

    fn estimated_queue(&self, upstream: &Upstream, method: &Method) -> f64 {
        upstream.estimated_queue(method, self.load.load_of_others(), self.now)
    }

    /// Draws one of the upstreams that the rules and the breakers allow, weighted by reported headroom.
    fn pick_upstream(&mut self, rpc: &Rpc) -> Option<Id> {
        /// Well under one half, and above zero: a full upstream still gets an RPC now and then, with whose response it reports its load.
        const MIN_HEADROOM: f64 = 0.05;
        /// The factor on the weight of local upstreams, by the cost of leaving the zone: at most this, so that missing headroom
        /// still outweighs it when they are nearly full.
        const MAX_LOCAL_FACTOR: f64 = 8.0;
        const LOCAL_FACTOR_PER_COST: f64 = 250.0;
        /// The factor on the weight for each position beyond the replicas of a key, since the key is not cached there.
        const UNCACHED_FACTOR: f64 = 0.03;
        /// How many positions beyond the replicas of a key are considered, local and remote.
        const EXTRA_POSITIONS: usize = 4;
        /// High enough that an overloaded upstream gets next to nothing while others have headroom; doubled where counts tell which
        /// one is idle.
        const LOAD_EXPONENT: i32 = 8;
        let (now, has_counts) = (self.now, self.has_load_counts());
        let load_exponent = if has_counts { 2 * LOAD_EXPONENT } else { LOAD_EXPONENT };
        let cost = Some(self.settings.cross_zone_cost).filter(|cost| *cost > 0.0);
        let local_factor =
            cost.map_or(MAX_LOCAL_FACTOR, |cost| (LOCAL_FACTOR_PER_COST * cost).clamp(1.0, MAX_LOCAL_FACTOR));
        let is_sent_once = rpc.method.policy.idempotency == Idempotency::NotIdempotent;
        // A rare key has one position for all zones: one in each zone would have to cache it separately.
        let is_rare_key = rpc.key.is_some_and(|key| key.replicas <= 1);
        let (order, max_candidates) = match rpc.key {
            Some(key) => {
                let local_zone = Some(self.settings.zone.as_str()).filter(|_| !is_rare_key);
                let position = RingPosition { ring: key.ring, start: 0.0, local_zone };
                let log_capacity = |upstream: &Upstream| self.load.kind_capacity(upstream.kind());
                (ring_order(&self.upstreams, &position, log_capacity), 2 * (key.replicas + EXTRA_POSITIONS))
            }
            None => (self.ring.order().to_vec(), self.subset_size()),
        };
        // Takes upstreams in ring order until there are enough candidates; the last resorts are those passed over on the way.
        let (mut candidates, mut last_resorts): (Vec<Id>, Vec<Id>) = (Vec::new(), Vec::new());
        for id in order {
            if candidates.len() >= max_candidates {
                break;
            }
            if !self.may_send(rpc, &id) {
                continue;
            }
            let Some(upstream) = self.upstreams.get_mut(&id) else { continue };
            let is_allowed = upstream.breaker_mut().allows(now);
            if !upstream.breaker().is_closed()
                && !self.shared_budgets.allows_trial(now, upstream.trial_tokens_mut())
            {
                continue;
            }
            // An RPC that may be sent only once is not risked on a half-open trial, and none returns to an upstream where an
            // attempt of it has failed, unless nothing else is left.
            let is_risky = !is_allowed || is_sent_once && upstream.breaker().state() == State::HalfOpen;
            let was_tried = rpc.attempts.iter().any(|attempt| attempt.upstream == id);
            let list = if is_risky || was_tried { &mut last_resorts } else { &mut candidates };
            list.push(id);
        }
        // Without candidates an attempt to an ejected upstream is better than none.
        let ids = if candidates.is_empty() { last_resorts } else { candidates };
        let upstreams: Vec<&Upstream> = ids.iter().filter_map(|id| self.upstreams.get(id)).collect();
        let load = |upstream: &&Upstream| {
            (1.0 + self.estimated_queue(upstream, &rpc.method))
                * upstream.relative_latency(self.has_load_counts(), self.now)
                - 1.0
        };
        let loads: Vec<f64> = upstreams.iter().map(load).collect();
        let mean_load = if has_counts { 0.0 } else { mean(loads.iter().copied()).unwrap_or(0.0) };
        let mean_headroom =
            1.0 - mean(upstreams.iter().filter_map(|upstream| upstream.utilisation())).unwrap_or(0.0);
        // Where all candidates are local, preferring the warm ones for their zone would starve those in slow start.
        let prefers_local =
            !is_rare_key && upstreams.iter().any(|upstream| upstream.zone() != self.settings.zone);
        let weigh = |(upstream, load): (&&Upstream, &f64)| {
            let warmth = upstream.slow_start_weight(&self.settings.slow_start, now);
            let headroom = upstream.utilisation().map_or(mean_headroom, |used| 1.0 - used);
            let weight = headroom.max(MIN_HEADROOM) * warmth;
            // Not during slow start: all balancers of a zone that comes back would overload its upstreams.
            let is_preferred = prefers_local && upstream.zone() == self.settings.zone && warmth >= 1.0;
            let weight = if is_preferred { weight * local_factor } else { weight };
            // An upstream with more load than others gets less weight. Overdue attempts count twice, and recent failures as if
            // in flight, so that this covers upstreams that never answer, that stall, that fail fast and so look idle, or that
            // have load which no report shows. Only the ratio of loads counts, so that faults shared by all cancel out.
            weight * ((1.0 + mean_load) / (1.0 + load.max(mean_load))).powi(load_exponent)
        };
        let mut weights: Vec<f64> = upstreams.iter().zip(&loads).map(weigh).collect();
        let mut ranks = [0, 0];
        for (weight, upstream) in weights.iter_mut().zip(&upstreams).filter(|_| rpc.key.is_some()) {
            let rank = &mut ranks[usize::from(!is_rare_key && upstream.zone() == self.settings.zone)];
            *rank += 1;
            let replicas = rpc.key.map_or(1, |key| key.replicas);
            *weight *= UNCACHED_FACTOR.powi((*rank - replicas.min(*rank)) as i32);
        }
        let mut remaining = self.rng.generate::<f64>() * weights.iter().sum::<f64>();
        let drawn = weights.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        ids.get(drawn.unwrap_or(ids.len().saturating_sub(1))).cloned()
    }

    // -------------------------------------------------------------------------------------------- attempts

    fn try_send(&mut self, rpc_id: &Id) -> SendResult {
        /// The age up to which a load report may cause an RPC to be given up. Older ones may not: a balancer of few RPCs that
        /// learns of an overload would send nothing from then on, and never learn that it has passed.
        const MAX_REPORT_AGE: Time = 2 * SECOND;
        // Taken out because `pick_upstream` needs `&mut self` while it reads this RPC.
        let Some(rpc) = self.rpcs.remove(rpc_id) else { return SendResult::NoUpstream };
        let id = self.pick_upstream(&rpc);
        let has_fresh_report =
            |upstream: &&Upstream| upstream.has_load_report_within(MAX_REPORT_AGE, self.now);
        // A response that comes too late is wasted work, and adds to the load that makes upstreams slow.
        let upstream = id.as_ref().and_then(|id| self.upstreams.get(id)).filter(has_fresh_report);
        let is_too_late = upstream.is_some_and(|upstream| {
            let latency_per_queued =
                rpc.method.latency().per_queued * upstream.relative_latency(self.has_load_counts(), self.now);
            self.now as f64 + (1.0 + self.estimated_queue(upstream, &rpc.method)) * latency_per_queued
                >= rpc.response_deadline as f64
        });
        self.rpcs.insert(rpc_id.clone(), rpc);
        match id {
            Some(_) if is_too_late => SendResult::TooLate,
            Some(id) if self.start_attempt(rpc_id, &id) => SendResult::Sent,
            _ => SendResult::NoUpstream,
        }
    }

    /// The only place that sends an attempt. It checks every rule again, whatever its callers have checked.
    fn start_attempt(&mut self, rpc_id: &Id, upstream_id: &Id) -> bool {
        let Some(rpc) = self.rpcs.get(rpc_id).filter(|rpc| self.may_send(rpc, upstream_id)) else {
            return false;
        };
        let timeout = self.next_attempt_timeout(rpc);
        let upstream = self.upstreams.get(upstream_id);
        let estimated_queue = upstream.map_or(0.0, |upstream| self.estimated_queue(upstream, &rpc.method));
        self.count_send(upstream_id);
        let (rpc, upstream) = (self.rpcs.get_mut(rpc_id), self.upstreams.get_mut(upstream_id));
        let (Some(rpc), Some(upstream)) = (rpc, upstream) else { return false };
        let is_trial = upstream.breaker_mut().attempt_started();
        if !upstream.breaker().is_closed() {
            self.shared_budgets.trial_sent(self.now, upstream.trial_tokens_mut());
        }
        upstream.attempt_started(self.now);
        rpc.queued = false;
        let write_deadline = rpc.write_deadline(self.settings.tick);
        rpc.attempts.push(Attempt {
            upstream: upstream_id.clone(),
            zone: upstream.zone().to_owned(),
            cell: upstream.cell().to_owned(),
            sent_at: self.now,
            breaker_epoch: upstream.breaker().epoch(),
            is_trial,
            estimated_queue,
            outcome: None,
        });
        self.host.start_attempt(rpc_id, upstream_id, timeout, write_deadline);
        true
    }

    fn next_attempt_timeout(&self, rpc: &Rpc) -> Time {
        let retry_may_follow = rpc.method.policy.idempotency != Idempotency::NotIdempotent
            && rpc.attempts.len() + 1 < self.settings.max_attempts
            && self.retry_tokens.covers(2.0)
            && self.shared_budgets.allows_retry(self.now);
        attempt_timeout(rpc, self.load.utilisation(), retry_may_follow, self.now)
    }

    // --------------------------------------------------------------------------------------------- retries

    /// Sends another attempt where that may help: within the attempt limit, the time left and the retry budget.
    fn try_retry(&mut self, rpc_id: &Id) -> bool {
        /// The cost in tokens where all attempts so far were rejected or never left. These cost upstreams next to nothing, and at
        /// full cost they would exhaust the budget where upstreams reject much.
        const COST_AFTER_REJECTION: f64 = 0.1;
        let Some(rpc) = self.rpcs.get(rpc_id) else { return false };
        let mean = rpc.method.latency().mean;
        let cost = if rpc.first_that_may_have_run().is_none() { COST_AFTER_REJECTION } else { 1.0 };
        // The operators require that a retry is sent only if the time left exceeds its expected latency.
        if rpc.attempts_forbidden
            || !self.retry_tokens.covers(cost)
            || self.now as f64 + mean > rpc.response_deadline as f64
            || !self.shared_budgets.request_retry(self.now)
        {
            return false;
        }
        let was_sent = self.try_send(rpc_id) == SendResult::Sent;
        if was_sent {
            self.retry_tokens.spend(cost);
            self.shared_budgets.retry_sent(self.now);
        }
        was_sent
    }

    /// Updates the latency estimates of the method, and the latency of the upstream relative to others.
    fn record_latency(&mut self, attempt: &Attempt, method: &Method, latency: Time, completed: bool) {
        let ratio = method.record_attempt(latency, attempt.estimated_queue, completed);
        let has_counts = self.has_load_counts();
        if let Some(upstream) = self.upstreams.same_process_mut(&attempt.upstream, attempt.sent_at) {
            upstream.record_relative_latency(ratio, completed, has_counts, self.now);
        }
    }

    // ------------------------------------------------------------------------------------------- admission

    /// The priority weight of an RPC, which is lower beyond its tenant's quota; none if it is rejected for being beyond the quota.
    fn effective_priority(&mut self, priority_weight: f64, tenant: &str) -> Option<f64> {
        let is_within_quota = self.shared_budgets.take_tenant_token(self.now, tenant);
        let over_quota =
            (!self.settings.rejects_over_quota).then_some(priority_weight * self.settings.over_quota_weight);
        Some(priority_weight).filter(|_| is_within_quota).or(over_quota)
    }

    fn present_load(&self) -> PresentLoad {
        PresentLoad {
            now: self.now,
            attempts_per_second: self.send_rate.corrected_per_second(self.now),
            usable_upstreams: self.ring.usable_upstreams(),
            utilisation: self.load.utilisation(),
        }
    }

    /// Whether an RPC of this priority weight is admitted now. Without a limit all RPCs would be answered too late under overload.
    fn admits(&mut self, priority_weight: f64) -> bool {
        let soft_deadlines = self.methods.iter().filter_map(|method| method.policy.soft_deadline);
        let Some(soft_deadline) = soft_deadlines.max() else { return true };
        // Where upstreams report counts, and are less than half busy, there is capacity: the limit would shed by chance only.
        let is_idle = self.has_load_counts() && self.load.utilisation().is_some_and(|used| used < 0.5);
        if is_idle || self.settings.tier > 0 || !self.admission.is_calibrated(soft_deadline, self.now) {
            return true;
        }
        // RPCs past the soft deadline are not counted: they may be lost, and if merely late they are no completions either.
        // Those that are still being received are no load on the upstreams.
        let is_open =
            |rpc: &&Rpc| !rpc.answered && !rpc.receiving && self.now < rpc.arrived_at + soft_deadline;
        let open_rpcs = self.rpcs.values().filter(is_open).count();
        let load = self.present_load();
        self.admission.admits(priority_weight, open_rpcs, soft_deadline, &load)
    }

    /// Counts a response as a completion, unless it comes after the soft deadline.
    fn record_completion(&mut self, method: &Method, arrived_at: Time) {
        let latency = self.now - arrived_at;
        if method.policy.soft_deadline.is_none_or(|soft_deadline| latency <= soft_deadline) {
            let load = self.present_load();
            self.admission.record_completion(latency, &load);
        }
    }

    // ----------------------------------------------------------------------------------------------- RPCs

    /// An RPC arrived; its caller waits for `timeout`. It is sent, queued or given its final answer.
    pub fn rpc_arrived(&mut self, now: Time, id: &str, method: &str, tenant: &str, key: &str, timeout: Time) {
        self.now = now;
        self.retry_tokens.credit_rpc();
        let id = Id::from(id);
        let Some(method) = self.methods.iter().find(|known| *known.policy.name == *method).cloned() else {
            // The settings do not name this method. The RPC has not been sent, so a retry by the caller is harmless.
            return self.host.reject(&id, 0);
        };
        let (soft_deadline, hard_deadline) =
            (method.soft_deadline(now, timeout, &self.settings), now + timeout);
        let late_weight = method.policy.late_weight;
        let is_late = soft_deadline as f64 <= now as f64 + method.latency().mean;
        let late_factor = if is_late { late_weight } else { 1.0 };
        let priority = self.effective_priority(method.policy.priority_weight, tenant);
        let is_admitted = priority.is_some_and(|priority| self.admits(priority * late_factor));
        let response_deadline = if late_weight > 0.0 { hard_deadline } else { soft_deadline };
        let key = self.count_key(key);
        let rpc = Rpc {
            method,
            key,
            arrived_at: now,
            soft_deadline,
            hard_deadline,
            response_deadline,
            answered: false,
            queued: false,
            receiving: false,
            attempts_forbidden: false,
            attempts: Vec::new(),
        };
        self.rpcs.insert(id.clone(), rpc);
        if is_admitted {
            self.send_or_queue(&id);
        } else {
            self.give_up(&id);
        }
    }

    fn count_key(&mut self, key: &str) -> Option<KeyPlacement> {
        if !self.settings.key_affinity || key.is_empty() {
            return None;
        }
        let local_upstreams = self.upstreams.count_in_zone(&self.settings.zone);
        Some(self.key_frequencies.place(key, local_upstreams, self.now))
    }

    /// Sends the RPC. Where no upstream may take it now, for example because all are in slow start, it is queued and tried again.
    fn send_or_queue(&mut self, id: &Id) {
        /// Short against the deadlines, long against the clock's tick.
        const QUEUE_RETRY_INTERVAL: Time = SECOND / 40;
        let result = self.try_send(id);
        let Some(rpc) = self.rpcs.get_mut(id).filter(|_| result != SendResult::Sent) else { return };
        let mean = rpc.method.latency().mean as Time;
        if result == SendResult::NoUpstream && self.now + QUEUE_RETRY_INTERVAL + mean < rpc.soft_deadline {
            rpc.queued = true;
            self.host.set_timer(QUEUE_RETRY_INTERVAL, Timer::Queued(Rc::clone(id)));
        } else {
            self.give_up(id);
        }
    }

    /// Gives the final answer of an RPC that gets no more attempts: a rejection where a retry by the caller is harmless, else a
    /// failure.
    fn give_up(&mut self, id: &Id) {
        let Some(rpc) = self.rpcs.get(id).filter(|rpc| !rpc.answered) else { return };
        let is_repeatable =
            matches!(rpc.method.policy.idempotency, Idempotency::Idempotent | Idempotency::DedupedEverywhere);
        if is_repeatable || rpc.first_that_may_have_run().is_none() {
            // Early enough for a retry by the caller to be in time, with jitter. Where it can't be in time, the maximum.
            let slack = rpc.soft_deadline.saturating_sub(self.now) as f64 - 1.5 * rpc.method.latency().mean;
            let max_retry_after = self.settings.max_retry_after as f64;
            let jitter = 0.5 + 0.5 * self.rng.generate::<f64>();
            let retry_after = if slack > 0.0 { slack.min(max_retry_after) * jitter } else { max_retry_after };
            self.host.reject(id, retry_after as Time);
        } else {
            self.host.fail(id);
        }
        self.close(id);
    }

    /// Marks an RPC as answered, cancels its attempt in flight, and forgets it once none is in flight.
    fn close(&mut self, id: &Id) {
        let Some(rpc) = self.rpcs.get_mut(id) else { return };
        if !std::mem::replace(&mut rpc.answered, true) && rpc.is_in_flight() && self.settings.cancels_attempts
        {
            self.host.cancel_attempt(id, rpc.attempts.len() - 1);
        }
        if !rpc.is_in_flight() {
            self.rpcs.remove(id);
        }
    }

    /// An attempt ended. `is_final` says that its response was the final answer of the RPC.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_ended(
        &mut self,
        now: Time,
        id: &str,
        attempt: usize,
        outcome: Outcome,
        latency: Time,
        is_final: bool,
        load_report: &[f64],
    ) {
        self.now = now;
        let id = Id::from(id);
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let (method, arrived_at) = (Rc::clone(&rpc.method), rpc.arrived_at);
        let Some(attempt) = rpc.attempts.get_mut(attempt).filter(|attempt| attempt.is_in_flight()) else {
            return;
        };
        attempt.outcome = Some(outcome);
        let attempt = attempt.clone();
        self.send_rate.record_outcome(outcome);
        self.record_latency(&attempt, &method, latency, outcome == Outcome::Completed);
        self.record_load_report(&attempt.upstream, attempt.sent_at, load_report);
        self.upstreams.attempt_ended(&attempt.upstream, attempt.sent_at);
        self.record_verdict(&attempt, &method, outcome, latency);
        let Some(rpc) = self.rpcs.get(&id) else { return };
        if is_final || rpc.answered {
            if !rpc.answered {
                self.record_completion(&method, arrived_at);
            }
            self.close(&id);
        } else if !rpc.is_in_flight() && !self.try_retry(&id) {
            self.give_up(&id);
        }
    }

    fn record_load_report(&mut self, upstream: &str, sent_at: Time, report: &[f64]) {
        if let Some(upstream) = self.upstreams.same_process_mut(upstream, sent_at) {
            self.load.record(upstream, &self.settings.load_report, report, self.now);
        }
    }

    fn record_verdict(&mut self, attempt: &Attempt, method: &Method, outcome: Outcome, latency: Time) {
        /// Reports are a little noisy, and an upstream with one idle core of a dozen is not full.
        const FULL_UTILISATION: f64 = 0.95;
        let verdict = verdict(outcome, latency, method.latency().mean);
        let (now, max_ejected) = (self.now, self.upstreams.len() / 3);
        let ejected = if verdict == Some(Verdict::Success) { 0 } else { self.upstreams.count_ejected() };
        let Some(upstream) = self.upstreams.get_mut(&attempt.upstream) else { return };
        // An upstream that is slow and reports that it is full is overloaded itself; otherwise it may wait for a dependency.
        let is_overloaded = verdict == Some(Verdict::Slow)
            && upstream.utilisation().is_some_and(|used| used >= FULL_UTILISATION);
        if is_overloaded || matches!(verdict, Some(Verdict::Failure | Verdict::UpstreamFailure)) {
            upstream.record_failure(now, (outcome == Outcome::Rejected).then(|| method.policy.name.clone()));
        }
        if upstream.breaker().epoch() != attempt.breaker_epoch {
            return;
        }
        if attempt.is_trial {
            upstream.breaker_mut().trial_ended();
        }
        let Some(verdict) = verdict else { return };
        let previous = upstream.breaker().state();
        // No closed breaker opens while a third of the upstreams are ejected: a fault that so many share is not this upstream's own.
        if upstream.breaker_mut().record(verdict, now)
            && (previous == State::HalfOpen || ejected < max_ejected)
        {
            upstream.breaker_mut().trip(now, &mut self.rng);
        }
        let state = upstream.breaker().state();
        if state != previous {
            self.host.log(&format!("breaker {}: {previous:?} -> {state:?}", attempt.upstream));
        }
    }

    /// The caller has gone: no further attempt is sent for the RPC.
    pub fn rpc_abandoned(&mut self, now: Time, id: &str) {
        self.now = now;
        self.close(&Id::from(id));
    }

    /// It can't be known whether the caller still waits: no further attempt is sent for the RPC, which gets its final answer once no
    /// attempt is in flight.
    pub fn forbid_attempts(&mut self, id: &str) {
        if let Some(rpc) = self.rpcs.get_mut(id) {
            rpc.attempts_forbidden = true;
        }
    }

    /// The RPC is forwarded while it is still being received.
    pub fn rpc_receiving(&mut self, id: &str) {
        if let Some(rpc) = self.rpcs.get_mut(id) {
            rpc.receiving = true;
        }
    }

    /// The last byte of an RPC arrived that was forwarded while it was still being received. Its deadlines count from `sent_at`,
    /// the earliest time at which its caller may have sent that byte.
    pub fn rpc_fully_received(&mut self, sent_at: Time, id: &str) {
        if let Some(rpc) = self.rpcs.get_mut(id) {
            rpc.receiving = false;
            rpc.restart_deadlines(sent_at);
        }
    }

    /// The response has begun to reach the caller: it is the final answer, and no further attempt is sent. The RPC counts as
    /// completed now, since a response that takes long to forward would otherwise look like an overload to admission control.
    pub fn response_started(&mut self, now: Time, id: &str) {
        self.now = now;
        let Some(rpc) = self.rpcs.get_mut(id).filter(|rpc| !rpc.answered) else { return };
        rpc.answered = true;
        let (method, arrived_at) = (Rc::clone(&rpc.method), rpc.arrived_at);
        self.record_completion(&method, arrived_at);
    }

    /// A timer set through [`Host::set_timer`] is due. A timer that no longer applies does nothing.
    pub fn timer_fired(&mut self, now: Time, timer: &Timer) {
        self.now = now;
        match timer {
            Timer::Queued(id) if self.rpcs.get(id).is_some_and(|rpc| rpc.queued && !rpc.answered) => {
                self.send_or_queue(id);
            }
            Timer::EndpointPoll(poll) if self.watch.is_due(*poll) => {
                self.host.watch_endpoints();
                if let Some(within) = self.settings.poll_within {
                    // In case the poll is never answered.
                    self.watch.set_poll_timer(&mut self.host, within / 2);
                }
            }
            _ => {}
        }
    }
}
