//! The one table of settings: the operators' names and units in, the terms of a balancer out.

use fernroute::Time;

/// Wire path of a start's value, its name in the project, and how the value is read. `#` is any list place.
#[rustfmt::skip]
const TERMS: &[(&str, &str, Form)] = &[
    ("n-instances", "instances", Form::Plain),
    ("me", "number", Form::Plain),
    ("layer", "tier", Form::Plain),
    ("zone", "zone", Form::Plain),
    ("quantum-s", "tick", Form::Seconds),
    ("membership-mode", "list_mode", Form::Words),
    ("beyond-share-gain", "over_share_gain", Form::Plain),
    ("refuse-beyond-share", "refuse_over_share", Form::Plain),
    ("family-info.warm-keys", "warm_keys", Form::Plain),
    ("tariffs.cross-zone", "prices.cross_zone", Form::Plain),
    ("feedback.names", "load.names", Form::Words),
    ("methods.count", "methods.count", Form::Plain),
    ("methods.#.name", "methods.#.name", Form::Plain),
    ("methods.#.effect", "methods.#.effect", Form::Words),
    ("methods.#.group", "methods.#.group", Form::Plain),
    ("methods.#.window-s", "methods.#.window", Form::Seconds),
    ("methods.#.soft-deadline-s", "methods.#.soft_deadline", Form::Seconds),
    ("methods.#.hard-deadline-s", "methods.#.hard_deadline", Form::Seconds),
    ("methods.#.gain", "methods.#.gain", Form::Plain),
    ("methods.#.late-gain", "methods.#.late_gain", Form::Plain),
    ("orgs.count", "tenants.count", Form::Plain),
    ("orgs.#.name", "tenants.#.name", Form::Plain),
    ("orgs.#.quota-per-s", "tenants.#.rate", Form::Plain),
    ("ceilings.max-transmissions", "limits.max_transmissions", Form::Plain),
    ("ceilings.cancel", "limits.cancel", Form::Plain),
    ("ceilings.retry-after", "limits.stay_away", Form::Plain),
    ("ceilings.connect-timeout-s", "limits.connect_time_out", Form::Seconds),
    ("ceilings.keepalive-s", "limits.keep_alive", Form::Seconds),
    ("ceilings.max-retry-after-s", "limits.max_stay_away", Form::Seconds),
    ("contract.answer-slack-s", "rules.answer_slack", Form::Seconds),
    ("contract.drain-grace-s", "rules.drain_grace", Form::Seconds),
    ("contract.must-ask-in-s", "rules.ask_within", Form::Seconds),
    ("contract.cold-from", "rules.cold_from", Form::Plain),
    ("contract.warm-within-s", "rules.warm_within", Form::Seconds),
    ("contract.tip-multiple", "rules.cold_multiple", Form::Plain),
    ("contract.overload-for-s", "rules.cold_window", Form::Seconds),
];

#[derive(Clone, Copy)]
enum Form {
    Plain,
    Words,
    Seconds,
}

#[rustfmt::skip]
const WORDS: &[(&str, &str)] = &[
    ("read_like", "retriable"), ("idempotency_key", "deduped"), ("non_idempotent", "non_retriable"),
    ("cpu", "utilisation"), ("avg_ms", "service_time"), ("active", "in_flight"),
    ("subscribe", "ask"), ("automatic", "push"), ("waiting", "queued"), ("rps", "rate"), ("err_rps", "errors"),
];

/// Our word for one of theirs; a word that is not in the table is kept.
pub fn word(w: &str) -> &str {
    WORDS.iter().find(|(wire, _)| *wire == w).map_or(w, |(_, ours)| ours)
}

/// Seconds as written on the wire, in whole tenths of a millisecond, rounded down.
pub fn time(text: &str) -> Option<Time> {
    let seconds: f64 = text.parse().ok()?;
    if !seconds.is_finite() {
        return None;
    }
    // The wire counts in microseconds: to those first, so that binary fractions cost no tenth.
    Some((seconds.max(0.0) * 1e6).round() as Time / 100)
}

/// The same the other way, for the wire.
pub fn seconds(t: Time) -> String {
    format!("{}.{:04}", t / 10_000, t % 10_000)
}

/// The place in a list that a term's name holds, or the sign for any.
fn list_place(name: &str) -> &str {
    name.split('.').find(|s| s.bytes().all(|b| b.is_ascii_digit())).unwrap_or("#")
}

/// Renames one start value; `None` for one that this version does not know.
pub fn term(path: &str, value: &str) -> Option<(String, String)> {
    let place = list_place(path);
    let pattern: Vec<&str> = path.split('.').map(|s| if s == place { "#" } else { s }).collect();
    let pattern = pattern.join(".");
    let (_, ours, form) = TERMS.iter().find(|(wire, _, _)| *wire == pattern)?;
    let value = match form {
        Form::Plain => value.to_owned(),
        Form::Words => value.split(',').map(word).collect::<Vec<_>>().join(","),
        // Less than no time is left as it is written, which nobody can read.
        Form::Seconds if value.starts_with('-') => value.to_owned(),
        Form::Seconds => time(value).map_or_else(|| value.to_owned(), |t| t.to_string()),
    };
    Some((ours.replace('#', place), value))
}

/// The wire's path of a term, for messages.
pub fn path(ours: &str) -> String {
    let place = list_place(ours);
    let pattern = ours.replace(&format!(".{place}."), ".#.");
    let wire = TERMS.iter().find(|(_, name, _)| *name == pattern).map_or(ours, |(wire, _, _)| wire);
    wire.replace('#', place)
}
