//! The schema of a file: each key's path, value type and setting, and whether the key is required.

use crate::{MAX_MEMORY_MB, MIN_DESCRIPTORS, MIN_MEMORY_MB};

/// The type of a value, with its bounds.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ValueType {
    Text,
    Address,
    AddressList,
    /// Up to 16 hexadecimal digits.
    Hex,
    Flag,
    /// A whole number within these bounds.
    Count(f64, f64),
    /// A number within these bounds.
    Number(f64, f64),
    /// A time in seconds, up to a day.
    Seconds,
    /// A time in milliseconds, up to a day.
    Millis,
    /// One of these strings.
    Word(&'static [&'static str]),
    /// A list of these strings.
    WordList(&'static [&'static str]),
}

use ValueType::{Address, AddressList, Count, Flag, Hex, Millis, Number, Seconds, Text, Word, WordList};

/// A key that a file may have.
pub(crate) struct Field {
    /// The path, with `#` for the index in a list: `method.#.name`.
    pub(crate) key: &'static str,
    /// The setting that the value is passed on as; empty where it is not passed on as a setting.
    pub(crate) setting: &'static str,
    pub(crate) value_type: ValueType,
    pub(crate) is_required: bool,
}

const fn required(key: &'static str, setting: &'static str, value_type: ValueType) -> Field {
    Field { key, setting, value_type, is_required: true }
}

const fn optional(key: &'static str, setting: &'static str, value_type: ValueType) -> Field {
    Field { key, setting, value_type, is_required: false }
}

/// An upper bound that no realistic count or rate reaches.
const MAX_NUMBER: f64 = 1e6;

const EFFECTS: &[&str] = &["retriable", "deduped", "non_retriable"];
const GROUPS: &[&str] = &["all", "zone", "cell"];
const SHARED_BUDGETS: &[&str] = &["further", "trials"];
const LOAD_REPORTS: &[&str] = &["utilisation", "service_time", "in_flight", "queued", "rate", "errors"];

#[rustfmt::skip]
pub(crate) const FIELDS: &[Field] = &[
    required("name", "", Text),
    required("listen", "", Address),
    required("discovery", "", Address),
    optional("ops", "", Address),
    optional("seed", "", Hex),
    optional("descriptors", "", Count(MIN_DESCRIPTORS as f64, MAX_NUMBER)),
    optional("memory_mb", "", Count(MIN_MEMORY_MB as f64, MAX_MEMORY_MB as f64)),
    optional("place.instances", "instances", Count(1.0, MAX_NUMBER)),
    optional("place.number", "number", Count(0.0, MAX_NUMBER)),
    optional("place.tier", "tier", Count(0.0, 100.0)),
    optional("place.zone", "zone", Text),
    optional("place.tick_ms", "tick", Millis),
    optional("list.mode", "list_mode", Word(&["push", "ask"])),
    optional("list.ask_within_s", "rules.ask_within", Seconds),
    optional("load.reports", "load.names", WordList(LOAD_REPORTS)),
    optional("load.warm_keys", "warm_keys", Flag),
    optional("load.crossing_cost", "prices.cross_zone", Number(0.0, 1.0)),
    optional("load.over_share_gain", "over_share_gain", Number(0.0, 1.0)),
    optional("load.refuse_over_share", "refuse_over_share", Flag),
    optional("limits.transmissions", "limits.max_transmissions", Count(1.0, 100.0)),
    optional("limits.cancel", "limits.cancel", Flag),
    optional("limits.connect_ms", "limits.connect_time_out", Millis),
    optional("limits.keep_alive_s", "limits.keep_alive", Seconds),
    optional("limits.retry_after", "limits.stay_away", Flag),
    optional("limits.retry_after_s", "limits.max_stay_away", Seconds),
    optional("rules.answer_slack_ms", "rules.answer_slack", Millis),
    optional("rules.drain_grace_ms", "rules.drain_grace", Millis),
    required("rules.cold_from", "rules.cold_from", Number(0.001, 1.0)),
    required("rules.warm_within_s", "rules.warm_within", Seconds),
    required("rules.cold_multiple", "rules.cold_multiple", Number(0.1, 1000.0)),
    required("rules.cold_window_s", "rules.cold_window", Seconds),
    optional("fleet.cluster", "", Text),
    optional("fleet.stewards", "", AddressList),
    optional("fleet.beat_ms", "", Millis),
    optional("fleet.divides", "", WordList(SHARED_BUDGETS)),
    optional("fleet.service", "", Text),
    optional("fleet.folder", "", Text),
    optional("fleet.wait_ms", "", Millis),
    required("method.#.name", "methods.#.name", Text),
    required("method.#.effect", "methods.#.effect", Word(EFFECTS)),
    optional("method.#.group", "methods.#.group", Word(GROUPS)),
    optional("method.#.window_s", "methods.#.window", Seconds),
    optional("method.#.soft_ms", "methods.#.soft_deadline", Millis),
    required("method.#.hard_ms", "methods.#.hard_deadline", Millis),
    optional("method.#.gain", "methods.#.gain", Number(0.0, MAX_NUMBER)),
    optional("method.#.late_gain", "methods.#.late_gain", Number(0.0, MAX_NUMBER)),
    required("tenant.#.name", "tenants.#.name", Text),
    required("tenant.#.rate", "tenants.#.rate", Number(0.0, MAX_NUMBER)),
    required("upstream.#.id", "", Text),
    required("upstream.#.address", "", Address),
    optional("upstream.#.zone", "", Text),
    optional("upstream.#.cell", "", Text),
    optional("upstream.#.kind", "", Text),
];

/// An array of tables.
pub(crate) struct List {
    pub(crate) key: &'static str,
    /// The prefix of its entries' settings; `None` where they are not passed on as settings.
    pub(crate) setting: Option<&'static str>,
}

pub(crate) const LISTS: [List; 3] = [
    List { key: "method", setting: Some("methods") },
    List { key: "tenant", setting: Some("tenants") },
    List { key: "upstream", setting: None },
];

/// The field with this path, in which indexes are written as `#`.
pub(crate) fn field(pattern: &str) -> Option<&'static Field> {
    FIELDS.iter().find(|field| field.key == pattern)
}

/// Whether this path is a table with fields.
pub(crate) fn is_table(pattern: &str) -> bool {
    let prefix = format!("{pattern}.");
    FIELDS.iter().any(|field| field.key.starts_with(&prefix))
}
