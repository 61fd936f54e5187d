//! Translates the platform's settings, with its paths, words and units, into the settings of the decisions. This table is the
//! only place with the platform's names.
#![warn(missing_docs, clippy::unwrap_used, clippy::expect_used)]

use fernroute::Time;

/// Units of [`Time`] in a second.
const TIME_PER_SECOND: Time = 10_000;

/// Microseconds in a unit of [`Time`].
const MICROSECONDS_PER_TIME: Time = 100;

/// How a value is converted.
#[derive(Clone, Copy)]
enum Conversion {
    /// Unchanged.
    Verbatim,
    /// A list of words separated by commas, each translated by [`translate_word`].
    Words,
    /// From seconds to units of [`Time`].
    Seconds,
}

use Conversion::{Seconds, Verbatim, Words};

struct Mapping {
    /// The platform's path, with `#` for the index in a list.
    path: &'static str,
    /// The name of the setting, with `#` for the same index.
    setting: &'static str,
    conversion: Conversion,
}

const fn mapping(path: &'static str, setting: &'static str, conversion: Conversion) -> Mapping {
    Mapping { path, setting, conversion }
}

#[rustfmt::skip]
const MAPPINGS: &[Mapping] = &[
    mapping("n-instances", "instances", Verbatim),
    mapping("me", "number", Verbatim),
    mapping("layer", "tier", Verbatim),
    mapping("zone", "zone", Verbatim),
    mapping("quantum-s", "tick", Seconds),
    mapping("membership-mode", "list_mode", Words),
    mapping("beyond-share-gain", "over_share_gain", Verbatim),
    mapping("refuse-beyond-share", "refuse_over_share", Verbatim),
    mapping("family-info.warm-keys", "warm_keys", Verbatim),
    mapping("tariffs.cross-zone", "prices.cross_zone", Verbatim),
    mapping("feedback.names", "load.names", Words),
    mapping("methods.count", "methods.count", Verbatim),
    mapping("methods.#.name", "methods.#.name", Verbatim),
    mapping("methods.#.effect", "methods.#.effect", Words),
    mapping("methods.#.group", "methods.#.group", Verbatim),
    mapping("methods.#.window-s", "methods.#.window", Seconds),
    mapping("methods.#.soft-deadline-s", "methods.#.soft_deadline", Seconds),
    mapping("methods.#.hard-deadline-s", "methods.#.hard_deadline", Seconds),
    mapping("methods.#.gain", "methods.#.gain", Verbatim),
    mapping("methods.#.late-gain", "methods.#.late_gain", Verbatim),
    mapping("orgs.count", "tenants.count", Verbatim),
    mapping("orgs.#.name", "tenants.#.name", Verbatim),
    mapping("orgs.#.quota-per-s", "tenants.#.rate", Verbatim),
    mapping("ceilings.max-transmissions", "limits.max_transmissions", Verbatim),
    mapping("ceilings.cancel", "limits.cancel", Verbatim),
    mapping("ceilings.retry-after", "limits.stay_away", Verbatim),
    mapping("ceilings.connect-timeout-s", "limits.connect_time_out", Seconds),
    mapping("ceilings.keepalive-s", "limits.keep_alive", Seconds),
    mapping("ceilings.max-retry-after-s", "limits.max_stay_away", Seconds),
    mapping("contract.answer-slack-s", "rules.answer_slack", Seconds),
    mapping("contract.drain-grace-s", "rules.drain_grace", Seconds),
    mapping("contract.must-ask-in-s", "rules.ask_within", Seconds),
    mapping("contract.cold-from", "rules.cold_from", Verbatim),
    mapping("contract.warm-within-s", "rules.warm_within", Seconds),
    mapping("contract.tip-multiple", "rules.cold_multiple", Verbatim),
    mapping("contract.overload-for-s", "rules.cold_window", Seconds),
];

/// The platform's words with the corresponding words of the settings.
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

/// Translates one of the platform's words; a word that is not in the table is returned unchanged.
pub fn translate_word(word: &str) -> &str {
    WORDS.iter().find(|(platform, _)| *platform == word).map_or(word, |(_, setting)| setting)
}

/// Parses seconds into units of [`Time`], rounded down; `None` where the text is no finite number.
pub fn parse_seconds(text: &str) -> Option<Time> {
    let seconds: f64 = text.parse().ok()?;
    if !seconds.is_finite() {
        return None;
    }
    // Rounded to microseconds first, so that the binary representation does not lose a unit of time.
    let microseconds = (seconds.max(0.0) * 1e6).round() as Time;
    Some(microseconds / MICROSECONDS_PER_TIME)
}

/// Formats a time as seconds with four decimals.
pub fn format_seconds(time: Time) -> String {
    format!("{}.{:04}", time / TIME_PER_SECOND, time % TIME_PER_SECOND)
}

/// The name and value of the setting for a path and value of the platform; `None` for a path that this version does not
/// know.
pub fn setting_for_path(path: &str, value: &str) -> Option<(String, String)> {
    let index = entry_index(path);
    let steps: Vec<&str> = path.split('.').map(|step| if step == index { "#" } else { step }).collect();
    let pattern = steps.join(".");
    let mapping = MAPPINGS.iter().find(|mapping| mapping.path == pattern)?;
    Some((mapping.setting.replace('#', index), convert(mapping.conversion, value)))
}

/// The platform's path of a setting, for error messages.
pub fn path_for_setting(setting: &str) -> String {
    let index = entry_index(setting);
    let pattern = setting.replace(&format!(".{index}."), ".#.");
    let mapping = MAPPINGS.iter().find(|mapping| mapping.setting == pattern);
    mapping.map_or(setting, |mapping| mapping.path).replace('#', index)
}

/// The index of a list entry in a dotted name, or `#` where there is none.
fn entry_index(name: &str) -> &str {
    name.split('.').find(|step| step.bytes().all(|byte| byte.is_ascii_digit())).unwrap_or("#")
}

fn convert(conversion: Conversion, value: &str) -> String {
    match conversion {
        Verbatim => value.to_owned(),
        Words => value.split(',').map(translate_word).collect::<Vec<_>>().join(","),
        // A negative time is passed on unchanged: the decisions reject it, while parsing would raise it to 0.
        Seconds if value.starts_with('-') => value.to_owned(),
        Seconds => parse_seconds(value).map_or_else(|| value.to_owned(), |time| time.to_string()),
    }
}
