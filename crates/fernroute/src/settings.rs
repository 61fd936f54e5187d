//! What the terms say, read and checked: whole, or not at all. Nothing is decided here.

use crate::host::{InvalidSetting, Settings, Time};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::str::FromStr;

/// What may be sent again after it may have run, and to which upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Deduped, by all upstreams, those of one zone or those of one cell.
    DedupedEverywhere,
    DedupedInZone,
    DedupedInCell,
    NotIdempotent,
}

/// What is agreed of one method.
#[derive(Clone, Debug, PartialEq)]
pub struct MethodPolicy {
    pub name: Rc<str>,
    pub repeat: Idempotency,
    /// How long a deduped one is remembered.
    pub window: Time,
    pub soft: Option<Time>,
    pub hard: Option<Time>,
    pub late_gain: f64,
    /// Gain as a share of the highest one.
    pub gain: f64,
}

/// The figures of the rule on upstreams that are cold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartRule {
    pub from: f64,
    pub warm_within: f64,
    pub multiple: f64,
    pub window: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidatedSettings {
    pub tier: usize,
    /// This balancer's number among those of its tier, and how many there are.
    pub number: usize,
    pub instances: f64,
    pub zone: String,
    pub tick: Time,
    pub max_tx: usize,
    pub cancel: bool,
    /// The longest advice to callers; 0 where they get none.
    pub max_stay_away: Time,
    pub over_share_gain: f64,
    /// RPCs beyond a tenant's share are exhausted, whatever room there is.
    pub refuse_over_share: bool,
    /// Where the list must be asked for: time within which a balancer must have asked.
    pub ask_within: Option<Time>,
    /// Places in a report of the utilisation, of what is held and of what waits.
    pub report: [Option<usize>; 3],
    /// Upstreams do less work for a key that they met lately.
    pub warm_keys: bool,
    /// What a transmission to another zone costs, as a share of the gain of an RPC.
    pub crossing: f64,
    pub cold: SlowStartRule,
    pub methods: Vec<MethodPolicy>,
    /// RPCs a second over all balancers that are within a tenant's share.
    pub tenants: Vec<(String, f64)>,
}

fn bad(name: &str, why: &'static str) -> InvalidSetting {
    InvalidSetting { setting: name.to_owned(), why }
}

fn term<T: FromStr>(terms: &Settings, name: &str) -> Result<Option<T>, InvalidSetting> {
    terms.get(name).map(|text| text.parse().map_err(|_| bad(name, "missing or unreadable"))).transpose()
}

fn needed<T: FromStr>(terms: &Settings, name: &str) -> Result<T, InvalidSetting> {
    term(terms, name)?.ok_or_else(|| bad(name, "missing or unreadable"))
}

/// A number within these bounds, or this one where nothing is said.
fn number(
    terms: &Settings,
    name: &str,
    least: f64,
    most: f64,
    usual: Option<f64>,
) -> Result<f64, InvalidSetting> {
    let said = match usual {
        Some(usual) => term(terms, name)?.unwrap_or(usual),
        None => needed(terms, name)?,
    };
    if (least..=most).contains(&said) {
        Ok(said)
    } else {
        Err(bad(name, "out of range"))
    }
}

const MANY: f64 = 1e12;

impl ValidatedSettings {
    pub fn read(terms: &Settings) -> Result<Self, InvalidSetting> {
        let count = |name: &str| Ok::<usize, InvalidSetting>(term(terms, name)?.unwrap_or(0));
        let cold = SlowStartRule {
            from: number(terms, "rules.cold_from", 1e-3, 1.0, None)?,
            warm_within: number(terms, "rules.warm_within", 0.0, MANY, None)?,
            multiple: number(terms, "rules.cold_multiple", 1e-3, MANY, None)?,
            window: number(terms, "rules.cold_window", 1.0, MANY, None)?,
        };
        let mut methods: Vec<MethodPolicy> = Vec::new();
        for i in 0..needed::<usize>(terms, "methods.count")? {
            methods.push(promise(terms, i)?);
        }
        let most = methods.iter().map(|m| m.gain).fold(f64::MIN_POSITIVE, f64::max);
        methods.iter_mut().for_each(|m| m.gain /= most);
        let mut tenants = Vec::new();
        for i in 0..count("tenants.count")? {
            let name = needed(terms, &format!("tenants.{i}.name"))?;
            tenants.push((name, number(terms, &format!("tenants.{i}.rate"), 0.0, MANY, None)?));
        }
        let (names, mut seen) = (methods.iter().map(|m| &*m.name), BTreeSet::new());
        if let Some(i) = names.map(|name| seen.insert(name)).position(|new| !new) {
            return Err(bad(&format!("methods.{i}.name"), "there already"));
        }
        // A word that is not known is no other's: one who means more by it would be run on a guess.
        let ask = match terms.get("list_mode").map(String::as_str) {
            None | Some("push") => false,
            Some("ask") => true,
            Some(_) => return Err(bad("list_mode", "no such mode")),
        };
        // Connections are made by these, not decided on; one that can't be read must not pass for one that is not there.
        number(terms, "limits.connect_time_out", 1.0, MANY, Some(1.0))?;
        number(terms, "limits.keep_alive", 0.0, MANY, Some(0.0))?;
        let advice = term(terms, "limits.stay_away")?.unwrap_or(false);
        let names = terms.get("load.names").map_or("", String::as_str);
        Ok(ValidatedSettings {
            tier: count("tier")?,
            number: count("number")?,
            instances: number(terms, "instances", 1.0, MANY, Some(1.0))?,
            zone: terms.get("zone").cloned().unwrap_or_default(),
            tick: term(terms, "tick")?.unwrap_or(1),
            max_tx: term(terms, "limits.max_transmissions")?.unwrap_or(1),
            cancel: term(terms, "limits.cancel")?.unwrap_or(false),
            max_stay_away: term(terms, "limits.max_stay_away")?.filter(|_| advice).unwrap_or(0),
            over_share_gain: number(terms, "over_share_gain", 0.0, MANY, Some(1.0))?,
            refuse_over_share: term(terms, "refuse_over_share")?.unwrap_or(false),
            ask_within: if ask { Some(needed(terms, "rules.ask_within")?) } else { None },
            report: ["utilisation", "in_flight", "queued"]
                .map(|word| names.split(',').position(|name| name == word)),
            warm_keys: term(terms, "warm_keys")?.unwrap_or(false),
            crossing: number(terms, "prices.cross_zone", 0.0, MANY, Some(0.0))?,
            cold,
            methods,
            tenants,
        })
    }
}

fn promise(terms: &Settings, i: usize) -> Result<MethodPolicy, InvalidSetting> {
    let at = |what: &str| format!("methods.{i}.{what}");
    let repeat = match needed::<String>(terms, &at("effect"))?.as_str() {
        "retriable" => Idempotency::Idempotent,
        "deduped" => match needed::<String>(terms, &at("group"))?.as_str() {
            "all" => Idempotency::DedupedEverywhere,
            "zone" => Idempotency::DedupedInZone,
            "cell" => Idempotency::DedupedInCell,
            _ => return Err(bad(&at("group"), "no such group")),
        },
        "non_retriable" => Idempotency::NotIdempotent,
        _ => return Err(bad(&at("effect"), "no such effect")),
    };
    let deduped = !matches!(repeat, Idempotency::Idempotent | Idempotency::NotIdempotent);
    let (soft, hard) = (term(terms, &at("soft_deadline"))?, term(terms, &at("hard_deadline"))?);
    if soft.zip(hard).is_some_and(|(soft, hard): (Time, Time)| soft > hard) {
        return Err(bad(&at("soft_deadline"), "after the hard deadline"));
    }
    Ok(MethodPolicy {
        name: Rc::from(needed::<String>(terms, &at("name"))?),
        repeat,
        window: if deduped { needed(terms, &at("window"))? } else { 0 },
        soft,
        hard,
        late_gain: number(terms, &at("late_gain"), 0.0, MANY, Some(0.0))?,
        gain: number(terms, &at("gain"), 0.0, MANY, Some(1.0))?,
    })
}
