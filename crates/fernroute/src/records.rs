//! What the decisions keep of RPCs, methods and tenants. Nothing is decided here.

use crate::agreed::Promise;
use crate::host::{Outcome, Time, SECOND};
use std::cell::Cell;
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
    pub promise: Promise,
    pub times: Cell<Times>,
}

/// What of a tenant's share this balancer may take, and what of it is unspent.
pub struct Tenant {
    pub name: String,
    /// RPCs a second that are within it: some until one time, some beside them until another.
    rates: [(f64, Time); 2],
    granted: bool,
    unspent: f64,
    filled: Time,
}

/// RPCs of one tenant that come together by chance now and then, at any rate.
const BUNCH: f64 = 4.0;

impl Tenant {
    /// An even part for good; with what is unspent of before, and what was granted stays granted.
    pub fn new(name: &str, rate: f64, before: Option<&Tenant>, now: Time) -> Self {
        let rates = [(rate, Time::MAX), (0.0, 0)];
        let name = name.to_owned();
        match before {
            None => Tenant { name, rates, granted: false, unspent: rate.max(BUNCH), filled: now },
            Some(t) => {
                let rates = if t.granted { t.rates } else { rates };
                Tenant { name, rates, granted: t.granted, unspent: t.unspent, filled: t.filled }
            }
        }
    }

    pub fn grant(&mut self, now: Time, rates: [(f64, Time); 2]) {
        self.fill(now);
        (self.rates, self.granted) = (rates, true);
        // What was saved under a larger grant is somebody else's by now.
        self.fill(now);
    }

    /// Guards against a process that stood still and goes on: each part counts up to its end, and no further.
    fn fill(&mut self, now: Time) {
        let part = |(rate, until): &(f64, Time)| rate * now.min(*until).saturating_sub(self.filled) as f64;
        let rate: f64 = self.rates.iter().filter(|(_, until)| now < *until).map(|(rate, _)| rate).sum();
        // Two seconds of a share can be saved up, and some RPCs: less would count bunching as excess. What is nobody's
        // any more saves nothing.
        let most = if rate > 0.0 || !self.granted { (2.0 * rate).max(BUNCH) } else { 0.0 };
        let filled = self.unspent + self.rates.iter().map(part).sum::<f64>() / SECOND as f64;
        (self.unspent, self.filled) = (filled.min(most), now);
    }

    /// Whether one more RPC is within the share; it is spent then.
    pub fn spend(&mut self, now: Time) -> bool {
        self.fill(now);
        let within = self.unspent >= 1.0;
        self.unspent -= f64::from(u8::from(within));
        within
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
