//! The [`Balancer`]: one method for each event, which takes it to the modules that keep the state, and acts through the
//! [`Host`]. It also draws the upstream of each attempt.
//!
//! The ordinary path: a circuit breaker for each upstream, fed by this balancer's own outcomes, and a random draw among
//! closed upstreams, weighted by reported headroom. Beside it stand six mechanisms (`docs/design.md`):
//! 1. a breaker opens early on consecutive failures, where requests are too few to fill its window;
//! 2. an upstream that holds more than its part of the load draws less, and nothing that reports say would be late;
//! 3. faults that most upstreams share open no breakers;
//! 4. upstreams of the local zone draw more while they have headroom;
//! 5. under overload the RPCs of the lowest priority weight are rejected first, at the first tier;
//! 6. a balancer of few requests draws from a subset of a hash ring, by its instance number; a key that upstreams cache
//!    has its own place on the ring.

use crate::admission::{AdmissionControl, PresentLoad};
use crate::attempts::{attempt_timeout, is_permitted, verdict, Attempt, SendResult};
use crate::budgets::{RetryTokens, SharedBudgets};
use crate::circuit_breaker::{State, Verdict};
use crate::endpoint_watch::EndpointWatch;
use crate::hash_ring::{ring_order, HashRing, KeyFrequencies, KeyPlacement, RingPosition};
use crate::host::{Host, InvalidSetting, Outcome, Settings, Time, Timer, SECOND};
use crate::latency::Method;
use crate::load_reports::LoadAverages;
use crate::requests::{Id, Request};
use crate::send_rate::SendRate;
use crate::settings::{Idempotency, MethodPolicy, ValidatedSettings};
use crate::slow_start::{min_send_interval, WarmTraffic};
use crate::statistics::mean;
use crate::upstream::Upstream;
use crate::upstream_table::UpstreamTable;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The decisions of one balancer process. It acts on its host at once, from inside the call that tells it of an event.
pub struct Balancer<H: Host> {
    host: H,
    rng: WyRand,
    now: Time,
    /// Replaced completely by new settings.
    agreed: ValidatedSettings,
    methods: Vec<Rc<Method>>,
    shared_budgets: SharedBudgets,
    retry_tokens: RetryTokens,
    upstreams: UpstreamTable,
    /// Emptied by final answers: an answered RPC leaves with its last attempt.
    rpcs: BTreeMap<Id, Request>,
    watch: EndpointWatch,
    ring: HashRing,
    key_frequencies: KeyFrequencies,
    load: LoadAverages,
    send_rate: SendRate,
    admission: AdmissionControl,
}

impl<H: Host> Balancer<H> {
    /// A balancer with these settings; it knows no upstreams yet.
    pub fn new(host: H, now: Time, seed: u64, terms: &Settings) -> Result<Self, InvalidSetting> {
        let mut balancer = Balancer {
            host,
            rng: WyRand::new_seed(seed),
            now,
            agreed: ValidatedSettings::default(),
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
        balancer.update_settings(now, terms)?;
        Ok(balancer)
    }

    /// Takes new terms, whole or not at all. Open RPCs keep the method that they were taken under; breakers,
    /// reports, starts and what was learnt under the same name stay. Guards against an effect, a group or a
    /// deadline that changes under an RPC which may have run.
    pub fn update_settings(&mut self, now: Time, terms: &Settings) -> Result<(), InvalidSetting> {
        let agreed = ValidatedSettings::read(terms)?;
        self.now = now;
        let report_changed = agreed.load_report != self.agreed.load_report;
        let method = |policy: &MethodPolicy| {
            let previous = self.methods.iter().find(|method| method.policy.name == policy.name);
            Rc::new(Method::new(policy, previous.map(|method| &**method)))
        };
        let methods = agreed.methods.iter().map(method).collect();
        self.shared_budgets.update_settings(now, &agreed.tenants, agreed.instances);
        (self.methods, self.agreed) = (methods, agreed);
        if report_changed {
            // A place in a report may stand for another value from now on.
            self.upstreams.discard_reports();
            self.load.discard_reports();
        }
        self.ring.rebuild(&self.upstreams, &self.agreed);
        if !self.watch.is_established() {
            self.schedule_poll();
        }
        Ok(())
    }

    /// What the fleet grants from now on, in place of even parts of tenants' shares: two rates a second, each
    /// until a time; and of transmissions beyond the first and trials, where it divides these; whole or not.
    pub fn set_budget_rates(
        &mut self,
        now: Time,
        of: &[(&str, [(f64, Time); 2])],
    ) -> Result<(), InvalidSetting> {
        self.now = now;
        self.shared_budgets.set_grants(now, of)
    }

    /// How often a transmission beyond the first would have been of use, since the start.
    pub fn retries_wanted(&self) -> u64 {
        self.shared_budgets.retries_wanted()
    }

    /// Whether upstreams report what they hold, or what waits there.
    fn counted(&self) -> bool {
        self.agreed.load_report.has_counts()
    }

    fn schedule_poll(&mut self) {
        self.watch.schedule_poll(&mut self.host, &mut self.rng, self.agreed.poll_within);
    }

    /// The endpoint list could not be watched or polled.
    pub fn watch_failed(&mut self, now: Time) {
        self.now = now;
        self.watch.failed();
        self.schedule_poll();
    }

    /// A snapshot of the endpoint list begins: of all upstreams, or of changes.
    pub fn snapshot_started(&mut self, now: Time, full: bool) {
        self.now = now;
        self.watch.snapshot_started(full);
        self.upstreams.snapshot_started();
    }

    /// The endpoint list names an upstream as in use, whose process started at this moment; 0 is long ago.
    pub fn upstream_ready(&mut self, id: &str, zone: &str, cell: &str, kind: &str, started: Time) {
        let is_known = self.upstreams.get(id).is_some_and(|upstream| upstream.has_reported_start(started));
        // Guards against a start in the far future, which would warm up and discard reports for good.
        let started_at = started.min(self.now + self.agreed.slow_start.warm_up as Time);
        let interval = if is_known { None } else { self.min_send_interval(started_at) };
        // Guards against balancers that learn of a start at once and all send at once.
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

    /// A snapshot is complete. `fresh` is false for the list that an earlier instance hands over at the start.
    pub fn snapshot_completed(&mut self, fresh: bool) {
        self.upstreams.snapshot_completed(self.watch.is_full_snapshot());
        self.load.remove_unused_kinds(&self.upstreams);
        self.ring.rebuild(&self.upstreams, &self.agreed);
        if fresh {
            self.watch.established();
        }
    }

    fn subset_size(&self) -> usize {
        self.ring.subset_size(self.send_rate.sent_per_second(), self.counted())
    }

    /// How many upstreams the endpoint list names, and how many of them are avoided now.
    pub fn upstream_counts(&self) -> (usize, usize) {
        (self.upstreams.count_listed(), self.upstreams.count_avoided())
    }

    /// The least time between two attempts to an upstream that started at this moment; none once it is warm.
    fn min_send_interval(&self, started_at: Time) -> Option<f64> {
        let traffic = WarmTraffic {
            accepted_per_second: self.send_rate.accepted_per_second(),
            utilisation: self.load.utilisation(),
            usable_upstreams: self.ring.usable_upstreams(),
            subset_size: self.subset_size(),
        };
        min_send_interval(&self.agreed, started_at, self.now, &traffic)
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

    // ------------------------------------------------------------------------------------------------ pick

    fn may_send(&self, request: &Request, id: &str) -> bool {
        let upstream = self.upstreams.get(id);
        upstream.is_some_and(|upstream| is_permitted(request, upstream, &self.agreed, self.now))
    }

    fn estimated_queue(&self, upstream: &Upstream, method: &Method) -> f64 {
        upstream.estimated_queue(method, self.load.load_of_others(), self.now)
    }

    /// A draw among the upstreams that the rules and the breakers allow, weighted by reported headroom.
    fn pick(&mut self, rpc: &Request) -> Option<Id> {
        /// The design's floor, well under one half: a full upstream still gets news of itself now and then.
        const FLOOR: f64 = 0.05;
        /// Own-zone upstreams weigh up to this much more, by what it costs to leave the zone: the headroom
        /// still outweighs it when they are nearly full.
        const NEAR: f64 = 8.0;
        const PER_CROSSING: f64 = 250.0;
        /// What the place after a key's own weighs, and so on: there the key is met anew.
        const AWAY: f64 = 0.03;
        /// So many places beyond its own are looked at for a key, near and far.
        const BEYOND: usize = 4;
        /// Steep enough that the draw keeps off a crowded upstream as long as others have room; twice as
        /// steep where counts tell which one is empty.
        const CROWDED: i32 = 8;
        let (now, counted) = (self.now, self.counted());
        let crowded = if counted { 2 * CROWDED } else { CROWDED };
        let cost = Some(self.agreed.cross_zone_cost).filter(|cost| *cost > 0.0);
        let nearness = cost.map_or(NEAR, |cost| (PER_CROSSING * cost).clamp(1.0, NEAR));
        let steady = rpc.method.policy.idempotency == Idempotency::NotIdempotent;
        // A key that few ask for has one place for all zones: in each it would have to be met anew.
        let rare = rpc.key.is_some_and(|key| key.replicas <= 1);
        let (order, reach) = match rpc.key {
            Some(key) => {
                let local_zone = Some(self.agreed.zone.as_str()).filter(|_| !rare);
                let position = RingPosition { ring: key.ring, start: 0.0, local_zone };
                let log_capacity = |upstream: &Upstream| self.load.kind_capacity(upstream.kind());
                (ring_order(&self.upstreams, &position, log_capacity), 2 * (key.replicas + BEYOND))
            }
            None => (self.ring.order().to_vec(), self.subset_size()),
        };
        // Closed upstreams from this balancer's place on, as many as it spreads over; the others it passed.
        let (mut near, mut shut): (Vec<Id>, Vec<Id>) = (Vec::new(), Vec::new());
        for id in order {
            if near.len() >= reach {
                break;
            }
            if !self.may_send(rpc, &id) {
                continue;
            }
            let Some(u) = self.upstreams.get_mut(&id) else { continue };
            // A trial is a risk for an RPC that gets one chance; where this one has been is the last resort.
            let passes = u.breaker_mut().allows(now);
            if !u.breaker().is_closed() && !self.shared_budgets.allows_trial(now, u.trial_tokens_mut()) {
                continue;
            }
            let open = !passes || steady && u.breaker().state() == State::HalfOpen;
            let list =
                if open || rpc.attempts.iter().any(|t| t.upstream == id) { &mut shut } else { &mut near };
            list.push(id);
        }
        // Nothing closed: an answer from an open upstream beats none at all.
        let ids = if near.is_empty() { shut } else { near };
        let us: Vec<&Upstream> = ids.iter().filter_map(|id| self.upstreams.get(id)).collect();
        let holds = |u: &&Upstream| {
            (1.0 + self.estimated_queue(u, &rpc.method)) * u.relative_latency(self.counted(), self.now) - 1.0
        };
        let held: Vec<f64> = us.iter().map(holds).collect();
        let part = if counted { 0.0 } else { mean(held.iter().copied()).unwrap_or(0.0) };
        let usual = 1.0 - mean(us.iter().filter_map(|u| u.utilisation())).unwrap_or(0.0);
        // Guards against starved successors: cold ones lack the weight, also where all stand in one zone.
        let zoned = !rare && us.iter().any(|u| u.zone() != self.agreed.zone);
        let weigh = |(u, held): (&&Upstream, &f64)| {
            let warmth = u.slow_start_weight(&self.agreed.slow_start, now);
            let weight = u.utilisation().map_or(usual, |used| 1.0 - used).max(FLOOR) * warmth;
            // Not while it is cold: the callers near a zone that comes back would all crowd it.
            let near = zoned && u.zone() == self.agreed.zone && warmth >= 1.0;
            let weight = if near { weight * nearness } else { weight };
            // Guards against upstreams that swallow RPCs, stand still, are crowded by what no report shows
            // or fail fast and so look idle: who holds more draws less. What is overdue counts twice, what
            // failed for a while as if it were out. Being against the mean, shared troubles cancel out.
            weight * ((1.0 + part) / (1.0 + held.max(part))).powi(crowded)
        };
        let mut weights: Vec<f64> = us.iter().zip(&held).map(weigh).collect();
        let mut passed = [0, 0];
        for (weight, u) in weights.iter_mut().zip(&us).filter(|_| rpc.key.is_some()) {
            let rank = &mut passed[usize::from(!rare && u.zone() == self.agreed.zone)];
            *rank += 1;
            let replicas = rpc.key.map_or(1, |key| key.replicas);
            *weight *= AWAY.powi((*rank - replicas.min(*rank)) as i32);
        }
        let mut left = self.rng.generate::<f64>() * weights.iter().sum::<f64>();
        let drawn = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        ids.get(drawn.unwrap_or(ids.len().saturating_sub(1))).cloned()
    }

    // -------------------------------------------------------------------------------------------- transmit

    fn send(&mut self, rpc_id: &Id) -> SendResult {
        /// News enough to give an RPC up for. Guards against a balancer of few RPCs that learns of a jam,
        /// sends nothing from then on, and never learns that it has passed.
        const NEWS: Time = 2 * SECOND;
        // Taken out for the pick, which looks at all upstreams while it reads this one RPC.
        let Some(rpc) = self.rpcs.remove(rpc_id) else { return SendResult::NoUpstream };
        let id = self.pick(&rpc);
        let news = |u: &&Upstream| u.has_load_report_within(NEWS, self.now);
        // Guards against work for answers that come too late, which crowds upstreams until they turn slow.
        let late = id.as_ref().and_then(|id| self.upstreams.get(id)).filter(news).is_some_and(|u| {
            let each = rpc.method.latency().per_queued * u.relative_latency(self.counted(), self.now);
            self.now as f64 + (1.0 + self.estimated_queue(u, &rpc.method)) * each
                >= rpc.response_deadline as f64
        });
        self.rpcs.insert(rpc_id.clone(), rpc);
        match id {
            Some(_) if late => SendResult::TooLate,
            Some(id) if self.transmit(rpc_id, &id) => SendResult::Sent,
            _ => SendResult::NoUpstream,
        }
    }

    /// The only place that sends. Every rule is checked here, whatever the caller has checked before.
    fn transmit(&mut self, rpc_id: &Id, id: &Id) -> bool {
        let Some(rpc) = self.rpcs.get(rpc_id).filter(|rpc| self.may_send(rpc, id)) else { return false };
        let time_out = self.time_out(rpc);
        let ahead = self.upstreams.get(id).map_or(0.0, |u| self.estimated_queue(u, &rpc.method));
        self.count_send(id);
        let (rpc, u) = (self.rpcs.get_mut(rpc_id), self.upstreams.get_mut(id));
        let (Some(rpc), Some(u)) = (rpc, u) else { return false };
        let trial = u.breaker_mut().attempt_started();
        if !u.breaker().is_closed() {
            self.shared_budgets.trial_sent(self.now, u.trial_tokens_mut());
        }
        u.attempt_started(self.now);
        rpc.queued = false;
        let write_deadline = rpc.write_deadline(self.agreed.tick);
        rpc.attempts.push(Attempt {
            upstream: id.clone(),
            zone: u.zone().to_owned(),
            cell: u.cell().to_owned(),
            sent_at: self.now,
            breaker_epoch: u.breaker().epoch(),
            is_trial: trial,
            estimated_queue: ahead,
            outcome: None,
        });
        self.host.start_attempt(rpc_id, id, time_out, write_deadline);
        true
    }

    fn time_out(&self, request: &Request) -> Time {
        let retry_may_follow = request.method.policy.idempotency != Idempotency::NotIdempotent
            && request.attempts.len() + 1 < self.agreed.max_attempts
            && self.retry_tokens.covers(2.0)
            && self.shared_budgets.allows_retry(self.now);
        attempt_timeout(request, self.load.utilisation(), retry_may_follow, self.now)
    }

    // ----------------------------------------------------------------------------- further transmissions

    /// Sends once more if that may help, within the maximum, the time left and the retry budget.
    fn send_further(&mut self, rpc_id: &Id) -> bool {
        /// Guards against a budget run dry where upstreams turn much away, which costs them next to nothing.
        const TURNED_AWAY: f64 = 0.1;
        let Some(rpc) = self.rpcs.get(rpc_id) else { return false };
        let mean = rpc.method.latency().mean;
        let cost = if rpc.first_that_may_have_run().is_none() { TURNED_AWAY } else { 1.0 };
        // The operators' way: only if the time left exceeds the time that it is expected to take.
        if !self.retry_tokens.covers(cost)
            || self.now as f64 + mean > rpc.response_deadline as f64
            || !self.shared_budgets.request_retry(self.now)
        {
            return false;
        }
        let sent = self.send(rpc_id) == SendResult::Sent;
        if sent {
            self.retry_tokens.spend(cost);
            self.shared_budgets.retry_sent(self.now);
        }
        sent
    }

    /// Takes what a finished transmission says of how long the method takes, and the upstream against others.
    fn learn_times(&mut self, tx: &Attempt, method: &Method, took: Time, completed: bool) {
        let ratio = method.record_attempt(took, tx.estimated_queue, completed);
        let has_counts = self.counted();
        if let Some(upstream) = self.upstreams.same_process_mut(&tx.upstream, tx.sent_at) {
            upstream.record_relative_latency(ratio, completed, has_counts, self.now);
        }
    }

    // ------------------------------------------------------------------------------------------- admission

    /// What an RPC is worth, as a share of the highest gain, by its method's gain and tenant share; none if
    /// what is beyond the share is refused.
    fn value(&mut self, gain: f64, tenant: &str) -> Option<f64> {
        let within = self.shared_budgets.take_tenant_token(self.now, tenant);
        let over = (!self.agreed.rejects_over_quota).then_some(gain * self.agreed.over_quota_weight);
        Some(gain).filter(|_| within).or(over)
    }

    fn present_load(&self) -> PresentLoad {
        PresentLoad {
            now: self.now,
            attempts_per_second: self.send_rate.corrected_per_second(self.now),
            usable_upstreams: self.ring.usable_upstreams(),
            utilisation: self.load.utilisation(),
        }
    }

    /// Whether a request of this priority weight is admitted now. Guards against overload, where all would be answered too late.
    fn admits(&mut self, priority_weight: f64) -> bool {
        let soft_deadlines = self.methods.iter().filter_map(|method| method.policy.soft_deadline);
        let Some(soft_deadline) = soft_deadlines.max() else { return true };
        // Guards against shedding by chance: where counts are reported, and say that there is capacity, there is.
        let is_idle = self.counted() && self.load.utilisation().is_some_and(|busy| busy < 0.5);
        if is_idle || self.agreed.tier > 0 || !self.admission.is_calibrated(soft_deadline, self.now) {
            return true;
        }
        // Those past the soft deadline may be lost; merely late they do not count as completions either.
        let is_open = |rpc: &&Request| !rpc.answered && self.now < rpc.arrived_at + soft_deadline;
        let open_requests = self.rpcs.values().filter(is_open).count();
        let load = self.present_load();
        self.admission.admits(priority_weight, open_requests, soft_deadline, &load)
    }

    /// Counts a response, unless it comes after the soft deadline.
    fn record_completion(&mut self, method: &Method, arrived_at: Time) {
        let latency = self.now - arrived_at;
        if method.policy.soft_deadline.is_none_or(|soft_deadline| latency <= soft_deadline) {
            let load = self.present_load();
            self.admission.record_completion(latency, &load);
        }
    }

    // ----------------------------------------------------------------------------------------------- RPCs

    /// An RPC came, with the time that its client has left for it. It is sent, queued or given its final answer.
    pub fn rpc_arrived(&mut self, now: Time, id: &str, method: &str, tenant: &str, key: &str, left: Time) {
        self.now = now;
        self.retry_tokens.credit_request();
        let id = Id::from(id);
        let Some(method) = self.methods.iter().find(|m| *m.policy.name == *method).cloned() else {
            // A method that the terms do not name: nothing is known of it but that it was not sent.
            return self.host.reject(&id, 0);
        };
        let (soft, hard) = (method.soft_deadline(now, left, &self.agreed), now + left);
        let (gain, late_gain) = (method.policy.priority_weight, method.policy.late_weight);
        let late = if soft as f64 <= now as f64 + method.latency().mean { late_gain } else { 1.0 };
        let value = self.value(gain, tenant);
        let admitted = value.is_some_and(|value| self.admits(value * late));
        let until = if late_gain > 0.0 { hard } else { soft };
        let key = self.count_key(key);
        let rpc = Request {
            method,
            key,
            arrived_at: now,
            soft_deadline: soft,
            hard_deadline: hard,
            response_deadline: until,
            answered: false,
            queued: false,
            attempts: Vec::new(),
        };
        self.rpcs.insert(id.clone(), rpc);
        if admitted {
            self.send_or_hold(&id);
        } else {
            self.finish(&id);
        }
    }

    fn count_key(&mut self, key: &str) -> Option<KeyPlacement> {
        if !self.agreed.key_affinity || key.is_empty() {
            return None;
        }
        let local_upstreams = self.upstreams.count_in_zone(&self.agreed.zone);
        Some(self.key_frequencies.place(key, local_upstreams, self.now))
    }

    /// Where nothing may be sent to just now, as when all upstreams are cold, looks again shortly.
    fn send_or_hold(&mut self, id: &Id) {
        /// Short against any deadline here, long against a tick.
        const LOOK: Time = SECOND / 40;
        let sent = self.send(id);
        let Some(rpc) = self.rpcs.get_mut(id).filter(|_| sent != SendResult::Sent) else { return };
        let mean = rpc.method.latency().mean as Time;
        if sent == SendResult::NoUpstream && self.now + LOOK + mean < rpc.soft_deadline {
            rpc.queued = true;
            self.host.set_timer(LOOK, Timer::Queued(Rc::clone(id)));
        } else {
            self.finish(id);
        }
    }

    /// The final answer of an RPC that this balancer gives up: exhausted where that is harmless.
    fn finish(&mut self, id: &Id) {
        let Some(rpc) = self.rpcs.get(id).filter(|rpc| !rpc.answered) else { return };
        let repeatable =
            matches!(rpc.method.policy.idempotency, Idempotency::Idempotent | Idempotency::DedupedEverywhere);
        if repeatable || rpc.first_that_may_have_run().is_none() {
            // Early enough that another try can still be in time, and spread; else for as long as may be.
            let room = rpc.soft_deadline.saturating_sub(self.now) as f64 - 1.5 * rpc.method.latency().mean;
            let most = self.agreed.max_retry_after as f64;
            let spread = 0.5 + 0.5 * self.rng.generate::<f64>();
            let stay_away = if room > 0.0 { room.min(most) * spread } else { most };
            self.host.reject(id, stay_away as Time);
        } else {
            self.host.fail(id);
        }
        self.close(id);
    }

    /// After the final answer: calls off what is out, and forgets the RPC once nothing is.
    fn close(&mut self, id: &Id) {
        let Some(rpc) = self.rpcs.get_mut(id) else { return };
        if !std::mem::replace(&mut rpc.answered, true) && rpc.is_in_flight() && self.agreed.cancels_attempts {
            self.host.cancel_attempt(id, rpc.attempts.len() - 1);
        }
        if !rpc.is_in_flight() {
            self.rpcs.remove(id);
        }
    }

    /// An attempt ended: `ended` says that the RPC has its final answer with it, `loads` is the upstream's load report.
    #[allow(clippy::too_many_arguments)]
    pub fn attempt_ended(
        &mut self,
        now: Time,
        id: &str,
        n: usize,
        outcome: Outcome,
        took: Time,
        ended: bool,
        loads: &[f64],
    ) {
        self.now = now;
        let id = Id::from(id);
        let Some(rpc) = self.rpcs.get_mut(&id) else { return };
        let (method, arrived) = (Rc::clone(&rpc.method), rpc.arrived_at);
        let Some(tx) = rpc.attempts.get_mut(n).filter(|t| t.is_in_flight()) else { return };
        tx.outcome = Some(outcome);
        let tx = tx.clone();
        self.send_rate.record_outcome(outcome);
        self.learn_times(&tx, &method, took, outcome == Outcome::Completed);
        self.take_report(&tx.upstream, tx.sent_at, loads);
        self.upstreams.attempt_ended(&tx.upstream, tx.sent_at);
        self.learn_verdict(&tx, &method, outcome, took);
        let Some(rpc) = self.rpcs.get(&id) else { return };
        if ended || rpc.answered {
            if !rpc.answered {
                self.record_completion(&method, arrived);
            }
            self.close(&id);
        } else if !rpc.is_in_flight() && !self.send_further(&id) {
            self.finish(&id);
        }
    }

    fn take_report(&mut self, upstream: &str, sent: Time, report: &[f64]) {
        if let Some(upstream) = self.upstreams.same_process_mut(upstream, sent) {
            self.load.record(upstream, &self.agreed.load_report, report, self.now);
        }
    }

    fn learn_verdict(&mut self, tx: &Attempt, method: &Method, outcome: Outcome, took: Time) {
        /// Reports are a little noisy; one core of a dozen idle is not full.
        const FULL: f64 = 0.95;
        let verdict = verdict(outcome, took, method.latency().mean);
        let (now, most_open) = (self.now, self.upstreams.len() / 3);
        let open = if verdict == Some(Verdict::Good) { 0 } else { self.upstreams.count_ejected() };
        let Some(u) = self.upstreams.get_mut(&tx.upstream) else { return };
        // Slow and full by its own report: that is no wait for a tier below.
        let swamped = verdict == Some(Verdict::Slow) && u.utilisation().is_some_and(|used| used >= FULL);
        if swamped || matches!(verdict, Some(Verdict::Failed | Verdict::Dead)) {
            u.record_failure(now, (outcome == Outcome::Rejected).then(|| method.policy.name.clone()));
        }
        if u.breaker().epoch() != tx.breaker_epoch {
            return;
        }
        if tx.is_trial {
            u.breaker_mut().trial_ended();
        }
        let Some(verdict) = verdict else { return };
        let was = u.breaker().state();
        // Guards against closing off the fleet: what most upstreams share is not this one's fault.
        if u.breaker_mut().record(verdict, now) && (was == State::HalfOpen || open < most_open) {
            u.breaker_mut().trip(now, &mut self.rng);
        }
        if u.breaker().state() != was {
            self.host.log(&format!("breaker {}: {was:?} -> {:?}", tx.upstream, u.breaker().state()));
        }
    }

    /// The client has gone: nothing more is sent for the RPC.
    pub fn rpc_abandoned(&mut self, now: Time, id: &str) {
        self.now = now;
        self.close(&Id::from(id));
    }

    /// The last byte has come of an RPC that was sent on while it came: its times count from here.
    pub fn rpc_fully_received(&mut self, now: Time, id: &str) {
        if let Some(request) = self.rpcs.get_mut(id) {
            request.restart_deadlines(now);
        }
    }

    /// The answer has begun: it is the client's now, and nothing more is sent for it. Guards against a gate
    /// that takes answers which take long to hand on for work that upstreams do not get done.
    pub fn response_started(&mut self, now: Time, id: &str) {
        self.now = now;
        let Some(rpc) = self.rpcs.get_mut(id).filter(|rpc| !rpc.answered) else { return };
        rpc.answered = true;
        let (method, arrived) = (Rc::clone(&rpc.method), rpc.arrived_at);
        self.record_completion(&method, arrived);
    }

    /// A timer that the host was asked for is due. One that has been overtaken changes nothing.
    pub fn timer_fired(&mut self, now: Time, timer: &Timer) {
        self.now = now;
        match timer {
            Timer::Queued(id) if self.rpcs.get(id).is_some_and(|rpc| rpc.queued && !rpc.answered) => {
                self.send_or_hold(id);
            }
            Timer::EndpointPoll(poll) if self.watch.is_due(*poll) => {
                self.host.watch_endpoints();
                if let Some(within) = self.agreed.poll_within {
                    // Should no answer come at all.
                    self.watch.set_poll_timer(&mut self.host, within / 2);
                }
            }
            _ => {}
        }
    }
}
