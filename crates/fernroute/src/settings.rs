//! The settings of the decisions, parsed and validated as a whole. The keys of the operators' settings appear only here.

use crate::host::{InvalidSetting, Settings, Time};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::str::FromStr;

/// Whether an RPC may be sent again after it may have run, and to which upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it twice does no harm.
    Idempotent,
    /// With an idempotency key that all upstreams share for the deduplication window.
    DedupedEverywhere,
    /// With an idempotency key that the upstreams of one zone share.
    DedupedInZone,
    /// With an idempotency key that the upstreams of one cell share.
    DedupedInCell,
    /// Never sent again once it may have run.
    NotIdempotent,
}

impl Idempotency {
    /// Whether upstreams recognize repeats by an idempotency key.
    pub(crate) fn is_deduped(self) -> bool {
        !matches!(self, Idempotency::Idempotent | Idempotency::NotIdempotent)
    }
}

/// The settings of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct MethodPolicy {
    /// The name that RPCs carry.
    pub name: Rc<str>,
    /// Whether and where it may be sent again.
    pub idempotency: Idempotency,
    /// How long upstreams remember an idempotency key; 0 where there is none.
    pub dedup_window: Time,
    /// The weight of a response after this time is reduced by `late_weight`.
    pub soft_deadline: Option<Time>,
    /// A response after this time has no value.
    pub hard_deadline: Option<Time>,
    /// The weight of a response after the soft deadline, as a factor.
    pub late_weight: f64,
    /// The priority weight, as a share of the highest one of all methods.
    pub priority_weight: f64,
}

/// The limits on the load of upstreams in slow start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartRule {
    /// The share of its capacity that an upstream has at its start.
    pub min_weight: f64,
    /// The time until an upstream has its full capacity.
    pub warm_up: f64,
    /// The highest load of an upstream in slow start, as a multiple of its present capacity.
    pub max_load_factor: f64,
    /// The time window over which that load is counted.
    pub window: f64,
}

/// The quota of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantQuota {
    /// The name that RPCs carry.
    pub name: String,
    /// The rate of RPCs within the quota, over all balancers together.
    pub rpcs_per_second: f64,
}

/// The positions of values in a load report; none where upstreams do not report the value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReportLayout {
    /// The share of its capacity that an upstream uses.
    pub utilisation: Option<usize>,
    /// RPCs in flight at the upstream.
    pub in_flight: Option<usize>,
    /// RPCs queued at the upstream.
    pub queued: Option<usize>,
}

impl LoadReportLayout {
    /// Whether upstreams report how many RPCs are in flight or queued.
    pub(crate) fn has_counts(&self) -> bool {
        self.in_flight.or(self.queued).is_some()
    }
}

/// Settings that have been parsed and validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidatedSettings {
    /// 0 for balancers that callers call.
    pub tier: usize,
    /// This balancer's number within its tier, from 0.
    pub instance_number: usize,
    /// The number of balancers in the tier.
    pub instances: f64,
    /// The zone that this balancer runs in.
    pub zone: String,
    /// The resolution of the clock.
    pub tick: Time,
    /// The limit on attempts of one RPC, the first one included.
    pub max_attempts: usize,
    /// Whether an attempt in flight is cancelled once its RPC has a final answer.
    pub cancels_attempts: bool,
    /// The longest `Retry-After`; 0 where callers get none.
    pub max_retry_after: Time,
    /// The factor on the priority weight of RPCs beyond a tenant's quota.
    pub over_quota_weight: f64,
    /// Whether RPCs beyond a tenant's quota are rejected, whatever the capacity.
    pub rejects_over_quota: bool,
    /// The time within which the endpoint list must be polled; none where it is pushed.
    pub poll_within: Option<Time>,
    /// The layout of the load reports of upstreams.
    pub load_report: LoadReportLayout,
    /// Whether upstreams do less work for a key that they have cached.
    pub key_affinity: bool,
    /// The cost of an attempt to another zone, as a share of the priority weight of an RPC.
    pub cross_zone_cost: f64,
    /// The limits on the load of upstreams in slow start.
    pub slow_start: SlowStartRule,
    /// The methods; names are unique.
    pub methods: Vec<MethodPolicy>,
    /// The quotas of tenants.
    pub tenants: Vec<TenantQuota>,
}

fn invalid(key: &str, reason: &'static str) -> InvalidSetting {
    InvalidSetting { setting: key.to_owned(), reason }
}

fn optional<T: FromStr>(settings: &Settings, key: &str) -> Result<Option<T>, InvalidSetting> {
    let unreadable = |_| invalid(key, "missing or unreadable");
    settings.get(key).map(|text| text.parse().map_err(unreadable)).transpose()
}

fn required<T: FromStr>(settings: &Settings, key: &str) -> Result<T, InvalidSetting> {
    optional(settings, key)?.ok_or_else(|| invalid(key, "missing or unreadable"))
}

fn or_default<T: FromStr + Default>(settings: &Settings, key: &str) -> Result<T, InvalidSetting> {
    Ok(optional(settings, key)?.unwrap_or_default())
}

/// Parses a number within these bounds. An absent setting has the default; without a default it is required.
fn number(
    settings: &Settings,
    key: &str,
    min: f64,
    max: f64,
    default: Option<f64>,
) -> Result<f64, InvalidSetting> {
    let value = match default {
        Some(default) => optional(settings, key)?.unwrap_or(default),
        None => required(settings, key)?,
    };
    if (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(invalid(key, "out of range"))
    }
}

/// The upper bound of numbers that have no bound of their own.
const MAX_NUMBER: f64 = 1e12;

impl ValidatedSettings {
    /// Parses and validates all settings.
    ///
    /// # Errors
    /// The first setting that is missing, unreadable, out of range or in conflict with another.
    pub fn read(settings: &Settings) -> Result<Self, InvalidSetting> {
        let slow_start = read_slow_start(settings)?;
        let methods = read_methods(settings)?;
        let tenants = read_tenants(settings)?;
        check_method_names(&methods)?;
        let is_polled = is_list_polled(settings)?;
        // The decisions do not use these two, but connections do: a value that cannot be read must not count as absent.
        number(settings, "limits.connect_time_out", 1.0, MAX_NUMBER, Some(1.0))?;
        number(settings, "limits.keep_alive", 0.0, MAX_NUMBER, Some(0.0))?;
        let sends_retry_after = or_default(settings, "limits.stay_away")?;
        Ok(ValidatedSettings {
            tier: or_default(settings, "tier")?,
            instance_number: or_default(settings, "number")?,
            instances: number(settings, "instances", 1.0, MAX_NUMBER, Some(1.0))?,
            zone: settings.get("zone").cloned().unwrap_or_default(),
            tick: optional(settings, "tick")?.unwrap_or(1),
            max_attempts: optional(settings, "limits.max_transmissions")?.unwrap_or(1),
            cancels_attempts: or_default(settings, "limits.cancel")?,
            max_retry_after: optional(settings, "limits.max_stay_away")?
                .filter(|_| sends_retry_after)
                .unwrap_or(0),
            over_quota_weight: number(settings, "over_share_gain", 0.0, MAX_NUMBER, Some(1.0))?,
            rejects_over_quota: or_default(settings, "refuse_over_share")?,
            poll_within: if is_polled { Some(required(settings, "rules.ask_within")?) } else { None },
            load_report: read_load_report(settings),
            key_affinity: or_default(settings, "warm_keys")?,
            cross_zone_cost: number(settings, "prices.cross_zone", 0.0, MAX_NUMBER, Some(0.0))?,
            slow_start,
            methods,
            tenants,
        })
    }
}

fn read_slow_start(settings: &Settings) -> Result<SlowStartRule, InvalidSetting> {
    Ok(SlowStartRule {
        min_weight: number(settings, "rules.cold_from", 1e-3, 1.0, None)?,
        warm_up: number(settings, "rules.warm_within", 0.0, MAX_NUMBER, None)?,
        max_load_factor: number(settings, "rules.cold_multiple", 1e-3, MAX_NUMBER, None)?,
        window: number(settings, "rules.cold_window", 1.0, MAX_NUMBER, None)?,
    })
}

fn read_methods(settings: &Settings) -> Result<Vec<MethodPolicy>, InvalidSetting> {
    let mut methods: Vec<MethodPolicy> = Vec::new();
    for index in 0..required::<usize>(settings, "methods.count")? {
        methods.push(read_method(settings, index)?);
    }
    let highest = methods.iter().map(|method| method.priority_weight).fold(f64::MIN_POSITIVE, f64::max);
    for method in &mut methods {
        method.priority_weight /= highest;
    }
    Ok(methods)
}

fn read_method(settings: &Settings, index: usize) -> Result<MethodPolicy, InvalidSetting> {
    let key = |field: &str| format!("methods.{index}.{field}");
    let idempotency = match required::<String>(settings, &key("effect"))?.as_str() {
        "retriable" => Idempotency::Idempotent,
        "deduped" => match required::<String>(settings, &key("group"))?.as_str() {
            "all" => Idempotency::DedupedEverywhere,
            "zone" => Idempotency::DedupedInZone,
            "cell" => Idempotency::DedupedInCell,
            _ => return Err(invalid(&key("group"), "unknown group")),
        },
        "non_retriable" => Idempotency::NotIdempotent,
        _ => return Err(invalid(&key("effect"), "unknown effect")),
    };
    let soft_deadline: Option<Time> = optional(settings, &key("soft_deadline"))?;
    let hard_deadline: Option<Time> = optional(settings, &key("hard_deadline"))?;
    if soft_deadline.zip(hard_deadline).is_some_and(|(soft, hard)| soft > hard) {
        return Err(invalid(&key("soft_deadline"), "after the hard deadline"));
    }
    Ok(MethodPolicy {
        name: Rc::from(required::<String>(settings, &key("name"))?),
        idempotency,
        dedup_window: if idempotency.is_deduped() { required(settings, &key("window"))? } else { 0 },
        soft_deadline,
        hard_deadline,
        late_weight: number(settings, &key("late_gain"), 0.0, MAX_NUMBER, Some(0.0))?,
        priority_weight: number(settings, &key("gain"), 0.0, MAX_NUMBER, Some(1.0))?,
    })
}

fn read_tenants(settings: &Settings) -> Result<Vec<TenantQuota>, InvalidSetting> {
    let mut tenants = Vec::new();
    for index in 0..or_default::<usize>(settings, "tenants.count")? {
        let name = required(settings, &format!("tenants.{index}.name"))?;
        let rate_key = format!("tenants.{index}.rate");
        let rpcs_per_second = number(settings, &rate_key, 0.0, MAX_NUMBER, None)?;
        tenants.push(TenantQuota { name, rpcs_per_second });
    }
    Ok(tenants)
}

fn check_method_names(methods: &[MethodPolicy]) -> Result<(), InvalidSetting> {
    let mut names = BTreeSet::new();
    match methods.iter().position(|method| !names.insert(&method.name)) {
        Some(index) => Err(invalid(&format!("methods.{index}.name"), "duplicate method name")),
        None => Ok(()),
    }
}

/// Rejects unknown modes, such as those of later versions.
fn is_list_polled(settings: &Settings) -> Result<bool, InvalidSetting> {
    match settings.get("list_mode").map(String::as_str) {
        None | Some("push") => Ok(false),
        Some("ask") => Ok(true),
        Some(_) => Err(invalid("list_mode", "unknown mode")),
    }
}

fn read_load_report(settings: &Settings) -> LoadReportLayout {
    let names = settings.get("load.names").map_or("", String::as_str);
    let position = |value: &str| names.split(',').position(|name| name == value);
    LoadReportLayout {
        utilisation: position("utilisation"),
        in_flight: position("in_flight"),
        queued: position("queued"),
    }
}
