//! The one table of settings: the operators' paths, words and units in, the settings of the decisions out. No other place knows
//! the operators' names.
#![warn(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use fernroute::Time;

/// Units of [`Time`] in a second.
const TIME_PER_SECOND: Time = 10_000;

/// Microseconds, in which the wire counts, in a unit of [`Time`].
const MICROSECONDS_PER_TIME: Time = 100;

/// How the text of a value becomes a setting's.
#[derive(Clone, Copy)]
enum Conversion {
    /// As it is.
    Verbatim,
    /// A list of words, each by [`translate_word`].
    Words,
    /// Seconds, to whole units of [`Time`].
    Seconds,
}

use Conversion::{Seconds, Verbatim, Words};

struct Mapping {
    /// The operators' path, `#` for the number of a list's entry.
    path: &'static str,
    /// The setting's name, with the same `#`.
    setting: &'static str,
    conversion: Conversion,
}

const fn setting(path: &'static str, setting: &'static str, conversion: Conversion) -> Mapping {
    Mapping { path, setting, conversion }
}

#[rustfmt::skip]
const MAPPINGS: &[Mapping] = &[
    setting("n-instances", "instances", Verbatim),
    setting("me", "number", Verbatim),
    setting("layer", "tier", Verbatim),
    setting("zone", "zone", Verbatim),
    setting("quantum-s", "tick", Seconds),
    setting("membership-mode", "list_mode", Words),
    setting("beyond-share-gain", "over_share_gain", Verbatim),
    setting("refuse-beyond-share", "refuse_over_share", Verbatim),
    setting("family-info.warm-keys", "warm_keys", Verbatim),
    setting("tariffs.cross-zone", "prices.cross_zone", Verbatim),
    setting("feedback.names", "load.names", Words),
    setting("methods.count", "methods.count", Verbatim),
    setting("methods.#.name", "methods.#.name", Verbatim),
    setting("methods.#.effect", "methods.#.effect", Words),
    setting("methods.#.group", "methods.#.group", Verbatim),
    setting("methods.#.window-s", "methods.#.window", Seconds),
    setting("methods.#.soft-deadline-s", "methods.#.soft_deadline", Seconds),
    setting("methods.#.hard-deadline-s", "methods.#.hard_deadline", Seconds),
    setting("methods.#.gain", "methods.#.gain", Verbatim),
    setting("methods.#.late-gain", "methods.#.late_gain", Verbatim),
    setting("orgs.count", "tenants.count", Verbatim),
    setting("orgs.#.name", "tenants.#.name", Verbatim),
    setting("orgs.#.quota-per-s", "tenants.#.rate", Verbatim),
    setting("ceilings.max-transmissions", "limits.max_transmissions", Verbatim),
    setting("ceilings.cancel", "limits.cancel", Verbatim),
    setting("ceilings.retry-after", "limits.stay_away", Verbatim),
    setting("ceilings.connect-timeout-s", "limits.connect_time_out", Seconds),
    setting("ceilings.keepalive-s", "limits.keep_alive", Seconds),
    setting("ceilings.max-retry-after-s", "limits.max_stay_away", Seconds),
    setting("contract.answer-slack-s", "rules.answer_slack", Seconds),
    setting("contract.drain-grace-s", "rules.drain_grace", Seconds),
    setting("contract.must-ask-in-s", "rules.ask_within", Seconds),
    setting("contract.cold-from", "rules.cold_from", Verbatim),
    setting("contract.warm-within-s", "rules.warm_within", Seconds),
    setting("contract.tip-multiple", "rules.cold_multiple", Verbatim),
    setting("contract.overload-for-s", "rules.cold_window", Seconds),
];

/// The operators' words and the settings' for the same.
#[rustfmt::skip]
const WORDS: &[(&str, &str)] = &[
    ("read_like", "retriable"),
    ("idempotency_key", "deduped"),
    ("non_idempotent", "non_retriable"),
    ("cpu", "utilisation"),
    ("avg_ms", "service_time"),
    ("active", "in_flight"),
    ("subscribe", "ask"),
    ("automatic", "push"),
    ("waiting", "queued"),
    ("rps", "rate"),
    ("err_rps", "errors"),
];

/// The settings' word for one of the operators'; a word that is not in the table is kept.
pub fn translate_word(word: &str) -> &str {
    WORDS.iter().find(|(wire, _)| *wire == word).map_or(word, |(_, setting)| setting)
}

/// Seconds as written on the wire, in whole units of [`Time`], rounded down; none for what is no finite number.
pub fn parse_seconds(text: &str) -> Option<Time> {
    let seconds: f64 = text.parse().ok()?;
    if !seconds.is_finite() {
        return None;
    }
    // To the wire's microseconds first, so that binary fractions cost no unit.
    let microseconds = (seconds.max(0.0) * 1e6).round() as Time;
    Some(microseconds / MICROSECONDS_PER_TIME)
}

/// A time as the wire writes it, in seconds.
pub fn format_seconds(time: Time) -> String {
    format!("{}.{:04}", time / TIME_PER_SECOND, time % TIME_PER_SECOND)
}

/// The name and the value of the setting that a wire's path and value stand for; none for a path that this version does not know.
pub fn setting_for_path(path: &str, value: &str) -> Option<(String, String)> {
    let number = entry_number(path);
    let steps: Vec<&str> = path.split('.').map(|step| if step == number { "#" } else { step }).collect();
    let pattern = steps.join(".");
    let mapping = MAPPINGS.iter().find(|mapping| mapping.path == pattern)?;
    Some((mapping.setting.replace('#', number), convert(mapping.conversion, value)))
}

/// The wire's path of a setting, for error messages.
pub fn path_for_setting(setting: &str) -> String {
    let number = entry_number(setting);
    let pattern = setting.replace(&format!(".{number}."), ".#.");
    let mapping = MAPPINGS.iter().find(|mapping| mapping.setting == pattern);
    mapping.map_or(setting, |mapping| mapping.path).replace('#', number)
}

/// The number of a list's entry in a dotted name, or `#` where there is none.
fn entry_number(name: &str) -> &str {
    name.split('.').find(|step| step.bytes().all(|byte| byte.is_ascii_digit())).unwrap_or("#")
}

fn convert(conversion: Conversion, value: &str) -> String {
    match conversion {
        Verbatim => value.to_owned(),
        Words => value.split(',').map(translate_word).collect::<Vec<_>>().join(","),
        // A negative time stays as it is written, which the decisions refuse to read.
        Seconds if value.starts_with('-') => value.to_owned(),
        Seconds => parse_seconds(value).map_or_else(|| value.to_owned(), |time| time.to_string()),
    }
}
