//! The scenario file: fleet, load, methods and faults. It is validated as a whole before a run.

use crate::policy::BalancerPosition;
use fernroute::Time;
use serde::Deserialize;
use serde_json::{json, Value};
use std::path::Path;

/// The contents of a scenario file. Unknown keys are rejected.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// How long RPCs arrive; those open afterwards run to their end.
    pub seconds: f64,
    pub load: Load,
    pub method: Vec<Method>,
    pub tier: Vec<Tier>,
    /// Tenants, if RPCs belong to any: RPCs beyond a tenant's rate are rejected.
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    #[serde(default)]
    pub fleet: Fleet,
    #[serde(default)]
    pub network: Network,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub fault: Vec<Fault>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second over all balancers of the first tier, without retries.
    pub rate: f64,
    /// Retries of a caller after a rejection, and the back-off if the answer names no time.
    #[serde(default)]
    pub retries: u32,
    #[serde(default = "backoff")]
    pub backoff_ms: f64,
    /// Share of callers that leave before half of their deadline has passed.
    #[serde(default)]
    pub impatient: f64,
}

fn backoff() -> f64 {
    300.0
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Retriable,
    Deduped,
    NonRetriable,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    Fixed,
    #[default]
    Exponential,
    Lognormal,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Method {
    pub name: String,
    pub effect: Effect,
    #[serde(default)]
    pub group: Group,
    #[serde(default = "window")]
    pub window_s: f64,
    pub share: f64,
    /// Mean work on one core, over all tiers.
    pub work_ms: f64,
    #[serde(default)]
    pub spread: Spread,
    /// Coefficient of variation of a lognormal distribution.
    #[serde(default = "half")]
    pub cv: f64,
    pub soft_ms: f64,
    pub hard_ms: f64,
    #[serde(default = "one")]
    pub gain: f64,
}

fn window() -> f64 {
    10.0
}

fn half() -> f64 {
    0.5
}

fn one() -> f64 {
    1.0
}

/// A tier of upstreams. A tier below the first has one balancer for each upstream of the tier above.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    pub name: String,
    pub upstreams: usize,
    /// Number of balancers; first tier only.
    #[serde(default)]
    pub balancers: usize,
    pub cores: usize,
    /// RPCs in progress, including those that wait for the tier below. `queue` is the number that may wait for a slot.
    pub slots: usize,
    #[serde(default)]
    pub queue: usize,
    /// Share of a method's work that is done in this tier.
    #[serde(default = "one")]
    pub work: f64,
    /// Sequential calls to this tier for each RPC of the tier above.
    #[serde(default = "one")]
    pub calls: f64,
    /// Relative deviation of upstream speeds, up to this share in either direction.
    #[serde(default)]
    pub unlike: f64,
    #[serde(default = "one_zone")]
    pub zones: usize,
    #[serde(default = "cell")]
    pub cell: usize,
    #[serde(default = "report")]
    pub report_ms: f64,
    #[serde(default)]
    pub report_late_ms: f64,
    /// Whether queued work is dropped once its caller has given up.
    #[serde(default = "yes")]
    pub drops: bool,
    #[serde(default)]
    pub choke: Option<Choke>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// The tenant's budget: RPCs per second over all balancers of the first tier.
    pub rate: f64,
    /// Weight of this tenant among all requests.
    pub share: f64,
    /// One balancer gets this multiple of the mean number of the tenant's requests, the others share the rest. The
    /// tenant's position in the file selects the balancer.
    #[serde(default = "one")]
    pub busiest: f64,
}

/// How balancers of the first tier share budgets, in variants that share them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of coordinator processes in a live run, to which the balancers of the first tier connect; 0 for none.
    pub stewards: usize,
    pub beat_ms: f64,
    pub shares_for_ms: f64,
    pub floors_for_s: f64,
    /// Share of a budget that all floors together make up.
    pub floors: f64,
    pub drift_ppm: u32,
    /// Time that the ledger needs to confirm its leadership or to commit a transition.
    pub confirm_ms: f64,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            stewards: 0,
            beat_ms: 250.0,
            shares_for_ms: 1500.0,
            floors_for_s: 60.0,
            floors: 0.05,
            drift_ppm: 200,
            confirm_ms: 3.0,
        }
    }
}

/// A metastable slowdown: it lasts longer than the load that caused it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    /// More than `at` RPCs in progress per core for `over_s` make an upstream `slower` times slower ...
    pub at: f64,
    pub over_s: f64,
    pub slower: f64,
    /// ... until its utilization has been under `below` for `rest_s`.
    pub below: f64,
    pub rest_s: f64,
}

fn one_zone() -> usize {
    1
}

fn cell() -> usize {
    8
}

fn report() -> f64 {
    500.0
}

fn yes() -> bool {
    true
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    pub same_zone_ms: f64,
    pub cross_zone_ms: f64,
    /// Additional delay, uniformly distributed up to this share.
    pub jitter: f64,
}

impl Default for Network {
    fn default() -> Self {
        Network { same_zone_ms: 0.3, cross_zone_ms: 3.0, jitter: 0.2 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Delay of updates on a start or a drain; `gone_late_ms` on a silent end. Each balancer gets them up to `spread_ms`
    /// later.
    pub late_ms: f64,
    pub gone_late_ms: f64,
    pub spread_ms: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { late_ms: 1000.0, gone_late_ms: 4000.0, spread_ms: 300.0 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub drain_grace_ms: f64,
    pub answer_slack_ms: f64,
    pub max_transmissions: usize,
    pub max_stay_away_ms: f64,
    /// An upstream starts at this share of its capacity and warms up linearly within `warm_within_s`.
    pub cold_from: f64,
    pub warm_within_s: f64,
    /// A cold upstream that is sent more than this multiple of its capacity over the window fails from overload.
    pub cold_multiple: f64,
    pub cold_window_s: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 300.0,
            answer_slack_ms: 0.0,
            max_transmissions: 4,
            max_stay_away_ms: 2000.0,
            cold_from: 0.3,
            warm_within_s: 8.0,
            cold_multiple: 2.5,
            cold_window_s: 3.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Processes crash and restart cold when the fault ends.
    Crash,
    /// Machines disappear without closing their connections and come back cold.
    Vanish,
    /// As `Vanish`, for all upstreams of zone `size` (0 is the first).
    ZoneLoss,
    /// `size` times slower.
    Slow,
    /// Accepts RPCs and never answers.
    Hang,
    /// The share `size` of RPCs fails immediately.
    FastErrors,
    /// Pauses for `size` seconds, every `every_s`.
    Pauses,
    /// Crashes and restarts alternately, every `every_s`.
    Flap,
    /// Drained one after another over the fault's duration, each replaced at once by a new, cold one.
    Replace,
    /// Drained at the start of the fault, ready again at its end.
    Drain,
    /// Multiplies the load by `size`.
    Surge,
    /// Delays load reports by `size` seconds.
    ReportsLate,
    /// Discovery delivers no updates during the fault.
    ListDown,
    /// The balancers of the first tier restart, one after another over the fault's duration.
    BalancerRestart,
    /// The share `part` of the first tier's balancers crashes; they restart when the fault ends.
    BalancerLoss,
    /// No coordinator answers; when the fault ends, another one leads.
    StewardsDown,
    /// The leading coordinator crashes and restarts with its disk when the fault ends. In virtual time another one leads at
    /// once.
    LeaderLoss,
    /// The share `part` of the first tier's balancers reaches no coordinator.
    FleetCut,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    pub at_s: f64,
    pub for_s: f64,
    /// Name of the affected tier; the first tier by default.
    #[serde(default)]
    pub tier: Option<String>,
    /// Share of the tier's upstreams that are affected.
    #[serde(default = "one")]
    pub part: f64,
    #[serde(default)]
    pub size: f64,
    #[serde(default = "one")]
    pub every_s: f64,
}

/// Converts seconds to the time unit of the balancer (0.1 ms).
pub fn seconds(s: f64) -> Time {
    (s * 10_000.0).round() as Time
}

pub fn millis(ms: f64) -> Time {
    (ms * 10.0).round() as Time
}

impl Scenario {
    pub fn read(path: &Path) -> Result<Self, String> {
        Scenario::read_with_text(path).map(|(scenario, _)| scenario)
    }

    /// Reads a scenario and returns it with the text of its file.
    pub fn read_with_text(path: &Path) -> Result<(Self, String), String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let scenario = Scenario::decode(&text).map_err(|why| format!("{}: {why}", path.display()))?;
        Ok((scenario, text))
    }

    /// Parses and validates a scenario. The error names the first fault with its line or key.
    pub fn decode(text: &str) -> Result<Self, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            format!("line {line}: {}", e.message().replace('\n', " "))
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        /// Checks that a number is finite and within these bounds.
        fn within(place: &str, value: f64, min: f64, max: f64) -> Result<(), String> {
            if value.is_finite() && (min..=max).contains(&value) {
                return Ok(());
            }
            Err(format!("{place}: {value} is not between {min} and {max}"))
        }
        const DAY: f64 = 86_400.0;
        const LARGE: f64 = 1e6;
        within("seconds", self.seconds, 1.0, DAY)?;
        within("load.rate", self.load.rate, 0.001, LARGE)?;
        within("load.backoff_ms", self.load.backoff_ms, 0.0, LARGE)?;
        within("load.impatient", self.load.impatient, 0.0, 1.0)?;
        if self.method.is_empty() || self.tier.is_empty() {
            return Err("method and tier: at least one of each is required".to_owned());
        }
        for (i, m) in self.method.iter().enumerate() {
            let at = |what: &str| format!("method[{i}].{what}");
            if self.method[..i].iter().any(|other| other.name == m.name) {
                return Err(format!("{}: {} appears twice", at("name"), m.name));
            }
            within(&at("share"), m.share, 0.0, LARGE)?;
            within(&at("work_ms"), m.work_ms, 0.001, LARGE)?;
            within(&at("cv"), m.cv, 0.0, 100.0)?;
            within(&at("soft_ms"), m.soft_ms, 0.1, LARGE)?;
            within(&at("hard_ms"), m.hard_ms, m.soft_ms, LARGE)?;
            within(&at("gain"), m.gain, 0.0, LARGE)?;
            within(&at("window_s"), m.window_s, 0.0, DAY)?;
        }
        let (n, f) = (self.tier[0].balancers as f64, &self.fleet);
        for (i, t) in self.tenant.iter().enumerate() {
            let at = |what: &str| format!("tenant[{i}].{what}");
            if self.tenant[..i].iter().any(|other| other.name == t.name) {
                return Err(format!("{}: {} appears twice", at("name"), t.name));
            }
            within(&at("rate"), t.rate, 0.001, LARGE)?;
            within(&at("share"), t.share, 0.0, LARGE)?;
            within(&at("busiest"), t.busiest, 0.0, n.max(1.0))?;
        }
        if !self.tenant.is_empty() {
            within("tenant: the sum of share", self.tenant.iter().map(|t| t.share).sum(), 0.001, LARGE)?;
        }
        if !matches!(f.stewards, 0 | 1 | 3 | 5) {
            return Err(format!("fleet.stewards: {} must be 0, 1, 3 or 5", f.stewards));
        }
        within("fleet.beat_ms", f.beat_ms, 1.0, LARGE)?;
        within("fleet.shares_for_ms", f.shares_for_ms, 3.0 * f.beat_ms, LARGE)?;
        within("fleet.floors_for_s", f.floors_for_s, f.shares_for_ms / 1000.0, DAY)?;
        within("fleet.floors", f.floors, 0.0, 1.0)?;
        within("fleet.drift_ppm", f64::from(f.drift_ppm), 0.0, 100_000.0)?;
        within("fleet.confirm_ms", f.confirm_ms, 0.0, LARGE)?;
        within("method: the sum of share", self.method.iter().map(|m| m.share).sum(), 0.001, LARGE)?;
        for (i, t) in self.tier.iter().enumerate() {
            let at = |what: &str| format!("tier[{i}].{what}");
            if self.tier[..i].iter().any(|other| other.name == t.name) {
                return Err(format!("{}: {} appears twice", at("name"), t.name));
            }
            within(&at("upstreams"), t.upstreams as f64, 1.0, 10_000.0)?;
            let least = if i == 0 { 1.0 } else { 0.0 };
            within(&at("balancers"), t.balancers as f64, least, if i == 0 { 10_000.0 } else { 0.0 })?;
            within(&at("cores"), t.cores as f64, 1.0, 10_000.0)?;
            within(&at("slots"), t.slots as f64, t.cores as f64, LARGE)?;
            within(&at("work"), t.work, 0.0001, LARGE)?;
            within(&at("calls"), t.calls, 0.0, 100.0)?;
            within(&at("unlike"), t.unlike, 0.0, 0.9)?;
            within(&at("zones"), t.zones as f64, 1.0, 100.0)?;
            within(&at("cell"), t.cell as f64, 1.0, 10_000.0)?;
            within(&at("report_ms"), t.report_ms, 1.0, LARGE)?;
            within(&at("report_late_ms"), t.report_late_ms, 0.0, LARGE)?;
            if let Some(c) = &t.choke {
                within(&at("choke.at"), c.at, 0.1, LARGE)?;
                within(&at("choke.over_s"), c.over_s, 0.0, DAY)?;
                within(&at("choke.slower"), c.slower, 1.0, 1000.0)?;
                within(&at("choke.below"), c.below, 0.0, 1.0)?;
                within(&at("choke.rest_s"), c.rest_s, 0.0, DAY)?;
            }
        }
        let (n, d, r) = (&self.network, &self.discovery, &self.rules);
        for (place, value) in [
            ("network.same_zone_ms", n.same_zone_ms),
            ("network.cross_zone_ms", n.cross_zone_ms),
            ("network.jitter", n.jitter),
            ("discovery.late_ms", d.late_ms),
            ("discovery.gone_late_ms", d.gone_late_ms),
            ("discovery.spread_ms", d.spread_ms),
            ("rules.drain_grace_ms", r.drain_grace_ms),
            ("rules.answer_slack_ms", r.answer_slack_ms),
            ("rules.max_stay_away_ms", r.max_stay_away_ms),
        ] {
            within(place, value, 0.0, LARGE)?;
        }
        within("rules.max_transmissions", r.max_transmissions as f64, 1.0, 100.0)?;
        within("rules.cold_from", r.cold_from, 0.001, 1.0)?;
        within("rules.warm_within_s", r.warm_within_s, 0.001, DAY)?;
        within("rules.cold_multiple", r.cold_multiple, 0.1, 1000.0)?;
        within("rules.cold_window_s", r.cold_window_s, 0.001, DAY)?;
        for (i, f) in self.fault.iter().enumerate() {
            let at = |what: &str| format!("fault[{i}].{what}");
            within(&at("at_s"), f.at_s, 0.0, self.seconds)?;
            within(&at("for_s"), f.for_s, 0.0, DAY)?;
            within(&at("part"), f.part, 0.0, 1.0)?;
            within(&at("every_s"), f.every_s, 0.01, DAY)?;
            let (min, max) = match f.kind {
                FaultKind::Slow => (1.0, 1000.0),
                FaultKind::Surge => (0.0, 1000.0),
                FaultKind::FastErrors => (0.0, 1.0),
                FaultKind::Pauses => (0.001, f.every_s),
                FaultKind::ReportsLate => (0.0, DAY),
                FaultKind::ZoneLoss => {
                    (0.0, self.tier.iter().map(|t| t.zones).max().unwrap_or(1) as f64 - 1.0)
                }
                _ => (0.0, 0.0),
            };
            within(&at("size"), f.size, min, max)?;
            if let Some(name) = &f.tier {
                if !self.tier.iter().any(|t| t.name == *name) {
                    return Err(format!("{}: there is no tier {name}", at("tier")));
                }
            }
        }
        Ok(())
    }

    pub fn tier_of(&self, fault: &Fault) -> usize {
        let name = fault.tier.as_ref();
        name.and_then(|name| self.tier.iter().position(|t| t.name == *name)).unwrap_or(0)
    }

    /// Number of balancers that call a tier.
    pub fn balancer_count(&self, tier: usize) -> usize {
        match tier {
            0 => self.tier[0].balancers,
            below => self.tier[below - 1].upstreams,
        }
    }

    /// Capacity of a warm upstream of this tier and speed, in RPCs per second.
    pub fn warm_rate(&self, tier: usize, speed: f64) -> f64 {
        let of = &self.tier[tier];
        of.cores as f64 * speed / (self.mean_work_ms() * of.work) * 1000.0
    }

    /// Mean work of an RPC over all methods and tiers.
    fn mean_work_ms(&self) -> f64 {
        let shares: f64 = self.method.iter().map(|m| m.share).sum();
        self.method.iter().map(|m| m.share * m.work_ms).sum::<f64>() / shares
    }

    /// Converts work over all tiers to a number of RPCs of mean work.
    pub fn in_mean_rpcs(&self, work: Time) -> f64 {
        work as f64 / 10.0 / self.mean_work_ms()
    }

    /// The longest hard deadline of any method.
    pub fn longest_hard_deadline(&self) -> Time {
        self.method.iter().map(|m| millis(m.hard_ms)).max().unwrap_or(0)
    }

    /// The settings of a balancer, with the keys and units of the platform.
    pub fn settings(&self, position: BalancerPosition) -> Value {
        let r = &self.rules;
        let methods: Vec<Value> = self
            .method
            .iter()
            .map(|m| {
                let effect = match m.effect {
                    Effect::Retriable => "read_like",
                    Effect::Deduped => "idempotency_key",
                    Effect::NonRetriable => "non_idempotent",
                };
                let group = match m.group {
                    Group::All => "all",
                    Group::Zone => "zone",
                    Group::Cell => "cell",
                };
                json!({"name": m.name, "effect": effect, "group": group, "window-s": m.window_s,
                    "soft-deadline-s": m.soft_ms / 1000.0, "hard-deadline-s": m.hard_ms / 1000.0, "gain": m.gain})
            })
            .collect();
        // Only RPCs of the first tier carry a tenant.
        let tenants = self.tenant.iter().filter(|_| position.tier == 0);
        let tenants: Vec<Value> = tenants.map(|t| json!({"name": t.name, "quota-per-s": t.rate})).collect();
        json!({
            "orgs": tenants, "refuse-beyond-share": true,
            "n-instances": position.instances, "me": position.number, "layer": position.tier, "zone": zone_name(position.zone), "quantum-s": 0.0001,
            "methods": methods, "feedback": {"names": ["cpu"]}, "membership-mode": "automatic",
            "ceilings": {"max-transmissions": r.max_transmissions, "cancel": true, "connect-timeout-s": 0.25,
                "keepalive-s": 30, "retry-after": true, "max-retry-after-s": r.max_stay_away_ms / 1000.0},
            "contract": {"cold-from": r.cold_from, "warm-within-s": r.warm_within_s, "tip-multiple": r.cold_multiple,
                "overload-for-s": r.cold_window_s, "drain-grace-s": r.drain_grace_ms / 1000.0},
        })
    }
}

pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}
