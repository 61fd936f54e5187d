//! What the decisions keep of RPCs, methods and tenants. Nothing is decided here.

use crate::host::{InvalidSetting, Outcome, Time, SECOND};
use crate::settings::{Idempotency, MethodPolicy};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

pub type Id = Rc<str>;

/// How long the RPCs of a method take of late.
#[derive(Clone, Copy)]
pub struct Times {
    /// What completed transmissions took: the mean, and the time that few exceed.
    pub mean: f64,
    pub late: f64,
    /// What they took for each RPC that the upstream was thought to hold.
    pub each: f64,
    /// The longest time that a client has given one try.
    pub whole_try: Time,
}

pub struct Method {
    pub promise: MethodPolicy,
    pub times: Cell<Times>,
}

/// Two rates, a second: the one until a time, the other beside it until another.
pub type Rates = [(f64, Time); 2];

/// What of something that all balancers share this one may take, and what of it is unspent.
#[derive(Clone, Default)]
pub struct Bucket {
    rates: Rates,
    /// That many can be saved up at any rate.
    least: f64,
    granted: bool,
    unspent: f64,
    filled: Time,
}

impl Bucket {
    fn grant(&mut self, now: Time, rates: Rates) {
        self.fill(now);
        (self.rates, self.granted) = (rates, true);
        // What was saved under a larger grant is somebody else's by now.
        self.fill(now);
    }

    /// Guards against a process that stood still and goes on: each part counts up to its end, and no further.
    fn left(&self, now: Time) -> f64 {
        let part = |(rate, until): &(f64, Time)| rate * now.min(*until).saturating_sub(self.filled) as f64;
        let rate: f64 = self.rates.iter().filter(|(_, until)| now < *until).map(|(rate, _)| rate).sum();
        // Two seconds of a share can be saved up, and some at the least. What is nobody's any more saves nothing.
        let most = if rate > 0.0 || !self.granted { (2.0 * rate).max(self.least) } else { 0.0 };
        (self.unspent + self.rates.iter().map(part).sum::<f64>() / SECOND as f64).min(most)
    }

    fn fill(&mut self, now: Time) {
        (self.unspent, self.filled) = (self.left(now), now);
    }

    /// Whether one more is within it; it is spent then.
    fn spend(&mut self, now: Time) -> bool {
        self.fill(now);
        let within = self.unspent >= 1.0;
        self.unspent -= f64::from(u8::from(within));
        within
    }
}

/// What this balancer may spend of what all share: tenants' shares, and where a fleet divides these, transmissions beyond
/// the first and trials.
#[derive(Default)]
pub struct Purse {
    /// By name; those of the terms.
    tenants: BTreeMap<String, Bucket>,
    further: Option<Bucket>,
    /// To any one upstream, each of which has a bucket of its own.
    trials: Option<Rates>,
    /// How often a further transmission would have been of use.
    pub wished: u64,
}

/// What a fleet calls the budgets that are no tenants'.
pub const RETRY_BUDGET: &str = "transmissions beyond the first";
pub const TRIAL_BUDGET: &str = "trials to one upstream";

impl Purse {
    /// Even parts for good; with what is unspent of before, and what was granted stays granted.
    pub fn agree(&mut self, now: Time, tenants: &[(String, f64)], instances: f64) {
        /// RPCs of one tenant that come together by chance now and then, at any rate: less would count that as excess.
        const BUNCH: f64 = 4.0;
        let bucket = |(name, rate): &(String, f64)| {
            let (rate, before) = (rate / instances, self.tenants.get(name).cloned());
            let full = Bucket { least: BUNCH, unspent: rate.max(BUNCH), filled: now, ..Bucket::default() };
            let mut bucket = before.unwrap_or(full);
            bucket.rates = if bucket.granted { bucket.rates } else { [(rate, Time::MAX), (0.0, 0)] };
            (name.clone(), bucket)
        };
        self.tenants = tenants.iter().map(bucket).collect();
    }

    /// What a fleet grants from now on. A tenant that is not named has nothing; of the others what is not named has no end.
    pub fn grant(&mut self, now: Time, of: &[(&str, Rates)]) -> Result<(), InvalidSetting> {
        let known =
            |name: &str| matches!(name, RETRY_BUDGET | TRIAL_BUDGET) || self.tenants.contains_key(name);
        let fits = |(rate, _): &(f64, Time)| rate.is_finite() && *rate >= 0.0;
        if let Some((name, _)) = of.iter().find(|(name, rates)| !known(name) || !rates.iter().all(fits)) {
            return Err(InvalidSetting { setting: (*name).to_owned(), why: "no budget, or no rate" });
        }
        let told = |name: &str| of.iter().find(|(n, _)| *n == name).map(|(_, rates)| *rates);
        for (name, bucket) in &mut self.tenants {
            bucket.grant(now, told(name).unwrap_or_default());
        }
        self.trials = told(TRIAL_BUDGET);
        self.further = told(RETRY_BUDGET).map(|rates| {
            let empty = Bucket { least: 1.0, granted: true, filled: now, ..Bucket::default() };
            let mut bucket = self.further.take().unwrap_or(empty);
            bucket.grant(now, rates);
            bucket
        });
        Ok(())
    }

    /// Whether an RPC of this tenant is within its share; it is spent then.
    pub fn spend(&mut self, now: Time, tenant: &str) -> bool {
        self.tenants.get_mut(tenant).is_none_or(|bucket| bucket.spend(now))
    }

    /// Whether a further transmission is within the budget.
    pub fn may_repeat(&self, now: Time) -> bool {
        self.further.as_ref().is_none_or(|bucket| bucket.left(now) >= 1.0)
    }

    /// The same where one would be of use now.
    pub fn wish(&mut self, now: Time) -> bool {
        self.wished += 1;
        self.may_repeat(now)
    }

    /// One that was sent is spent.
    pub fn repeated(&mut self, now: Time, sent: bool) {
        let _ = sent && self.further.as_mut().is_some_and(|bucket| bucket.spend(now));
    }

    /// Whether one more transmission to an upstream out of use is within the budget. What was tried before any grant is
    /// nobody's debt.
    pub fn may_try(&self, now: Time, tried: &mut Bucket) -> bool {
        let Some(rates) = self.trials else { return true };
        if !tried.granted {
            *tried = Bucket { least: 1.0, granted: true, filled: now, ..Bucket::default() };
        }
        tried.grant(now, rates);
        tried.left(now) >= 1.0
    }

    pub fn tried(&self, now: Time, tried: &mut Bucket) {
        // What is not divided is not counted.
        let _ = self.trials.is_some() && tried.spend(now);
    }
}

#[derive(Clone)]
pub struct Tx {
    pub upstream: Id,
    pub zone: String,
    pub cell: String,
    pub sent: Time,
    pub epoch: u32,
    pub trial: bool,
    /// How many the upstream was thought to hold then.
    pub ahead: f64,
    /// How it ended; none while it is out.
    pub end: Option<Outcome>,
}

pub struct Rpc {
    /// As it was when the RPC was taken, whatever the terms say since.
    pub method: Rc<Method>,
    /// Its key, where upstreams do less work for one that they met lately, and how many share that key.
    pub key: Option<u64>,
    pub places: usize,
    pub arrived: Time,
    /// Answered in time means before this; the hard deadline where no soft one is told.
    pub soft: Time,
    pub hard: Time,
    /// Until when an answer is worth anything.
    pub until: Time,
    pub done: bool,
    pub waiting: bool,
    pub txs: Vec<Tx>,
}

impl Rpc {
    /// There are no second copies: only the last transmission can be out.
    pub fn is_out(&self) -> bool {
        self.txs.last().is_some_and(|t| t.end.is_none())
    }

    /// The first transmission that may have run, or may still.
    pub fn may_have_run(&self) -> Option<&Tx> {
        self.txs.iter().find(|t| !t.end.is_some_and(Outcome::never_ran))
    }

    /// By when the last byte of a transmission must have left, where one before it may have run and repeats are dropped for a
    /// while alone. Guards against a repeat that is whole at its upstream when the window is over: it would run a second time.
    pub fn written_by(&self, tick: Time) -> Option<Time> {
        /// It arrives later than it leaves: by a way between zones and a busy turn, which the first may have had less of.
        const TRIP: Time = SECOND / 50;
        let promise = &self.method.promise;
        let dropped = matches!(
            promise.repeat,
            Idempotency::DedupedEverywhere | Idempotency::DedupedInZone | Idempotency::DedupedInCell
        );
        let first = self.may_have_run().filter(|_| dropped)?;
        Some((first.sent + promise.window).saturating_sub(TRIP.max(2 * tick)))
    }
}

/// Whether an RPC was sent; if not, because no upstream may get it now, or because it would come too late.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    Out,
    Nowhere,
    Late,
}

/// How this balancer keeps up with the list of upstreams.
#[derive(Default)]
pub struct Following {
    /// Upstreams that may be used, in the order in which this balancer turns to them; made anew by each list.
    pub order: Vec<Id>,
    /// How many times it asked: only the timer of the last one counts.
    pub asks: u32,
    pub following: bool,
    pub failures: u32,
    pub reading_full: bool,
}

/// Admission under overload, at the first tier only: answers a second, and when that was brought up to date.
#[derive(Default)]
pub struct Gate {
    pub answers: f64,
    pub at: Time,
    /// RPCs that are open, over the time that answers are kept for beyond the usual; and as of when.
    pub open: f64,
    pub open_at: Time,
    /// The highest rate of answers of late for each upstream in use: falls by half in eight seconds.
    pub best: f64,
    /// When the first answer came.
    pub from: Option<Time>,
    /// How many answers there were; what they take of late, and in calm times: falls at once, rises slowly.
    pub seen: f64,
    pub mean: f64,
    pub calm: f64,
}

pub fn mean(of: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = of.fold((0.0, 0.0), |(sum, count), x| (sum + x, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// What is left after this time of a count that is kept for `memory`.
pub fn fade(time: Time, memory: f64) -> f64 {
    (-(time as f64) / memory).exp()
}

pub fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}
