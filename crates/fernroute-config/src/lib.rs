//! Files for installations of one's own: TOML, with this project's names and units, checked whole. All that is wrong
//! is told at once, each with its place. What comes out are the terms that the platform's own files turn into, too.

mod fleet;
pub mod layers;

pub use fleet::Fleet;

use fernroute::{Settings, Time};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A file that will do.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators are answered, if anywhere.
    pub ops: Option<SocketAddr>,
    /// None where the file names none: then each start has another.
    pub seed: Option<u64>,
    pub descriptors: usize,
    pub megabytes: usize,
    pub upstreams: Vec<Upstream>,
    /// Where tenants' shares are divided by a ledger, if they are.
    pub fleet: Option<Fleet>,
    pub terms: Settings,
}

/// An upstream that is known before discovery has said anything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: String,
    pub kind: String,
}

/// One thing that will not do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    pub line: usize,
    pub place: String,
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let colon = if self.place.is_empty() { "" } else { ": " };
        write!(f, "line {}: {}{colon}{}", self.line, self.place, self.why)
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Form {
    Text,
    Address,
    /// Some of them.
    Addresses,
    Hex,
    Flag,
    /// Whole, and within these bounds.
    Count(f64, f64),
    Number(f64, f64),
    /// Times in seconds or milliseconds, up to a day.
    Seconds,
    Millis,
    /// One of these words.
    Word(&'static [&'static str]),
    /// Some of these words.
    Words(&'static [&'static str]),
}

use Form::{Address, Addresses, Count, Flag, Hex, Millis, Number, Seconds, Text, Word, Words};

const MANY: f64 = 1e6;
const DAY: f64 = 86_400.0;
/// Below this there is no room for callers and upstreams beside the program's own descriptors.
pub const LEAST_DESCRIPTORS: usize = 64;
/// What a process commonly gets where nothing is said.
pub const USUAL_DESCRIPTORS: usize = 1024;

/// The least memory that a balancer is ever given, what it takes where nothing is said, and more than any machine has.
pub const LEAST_MEGABYTES: usize = 16;
pub const USUAL_MEGABYTES: usize = 192;
pub const MOST_MEGABYTES: usize = 1 << 20;

const EFFECTS: &[&str] = &["retriable", "deduped", "non_retriable"];
const GROUPS: &[&str] = &["all", "zone", "cell"];
const DIVIDES: &[&str] = &["further", "trials"];
const REPORTS: &[&str] = &["utilisation", "service_time", "in_flight", "queued", "rate", "errors"];

/// Place in the file, the term that it becomes (none where it is no term), how it is read, whether it must be there.
#[rustfmt::skip]
const FIELDS: &[(&str, &str, Form, bool)] = &[
    ("name", "", Text, true),
    ("listen", "", Address, true),
    ("discovery", "", Address, true),
    ("ops", "", Address, false),
    ("seed", "", Hex, false),
    ("descriptors", "", Count(LEAST_DESCRIPTORS as f64, MANY), false),
    ("memory_mb", "", Count(LEAST_MEGABYTES as f64, MOST_MEGABYTES as f64), false),
    ("place.instances", "instances", Count(1.0, MANY), false),
    ("place.number", "number", Count(0.0, MANY), false),
    ("place.tier", "tier", Count(0.0, 100.0), false),
    ("place.zone", "zone", Text, false),
    ("place.tick_ms", "tick", Millis, false),
    ("list.mode", "list_mode", Word(&["push", "ask"]), false),
    ("list.ask_within_s", "rules.ask_within", Seconds, false),
    ("load.reports", "load.names", Words(REPORTS), false),
    ("load.warm_keys", "warm_keys", Flag, false),
    ("load.crossing_cost", "prices.cross_zone", Number(0.0, 1.0), false),
    ("load.over_share_gain", "over_share_gain", Number(0.0, 1.0), false),
    ("load.refuse_over_share", "refuse_over_share", Flag, false),
    ("limits.transmissions", "limits.max_transmissions", Count(1.0, 100.0), false),
    ("limits.cancel", "limits.cancel", Flag, false),
    ("limits.connect_ms", "limits.connect_time_out", Millis, false),
    ("limits.keep_alive_s", "limits.keep_alive", Seconds, false),
    ("limits.retry_after", "limits.stay_away", Flag, false),
    ("limits.retry_after_s", "limits.max_stay_away", Seconds, false),
    ("rules.answer_slack_ms", "rules.answer_slack", Millis, false),
    ("rules.drain_grace_ms", "rules.drain_grace", Millis, false),
    ("rules.cold_from", "rules.cold_from", Number(0.001, 1.0), true),
    ("rules.warm_within_s", "rules.warm_within", Seconds, true),
    ("rules.cold_multiple", "rules.cold_multiple", Number(0.1, 1000.0), true),
    ("rules.cold_window_s", "rules.cold_window", Seconds, true),
    ("fleet.cluster", "", Text, false),
    ("fleet.stewards", "", Addresses, false),
    ("fleet.beat_ms", "", Millis, false),
    ("fleet.divides", "", Words(DIVIDES), false),
    ("fleet.service", "", Text, false),
    ("fleet.folder", "", Text, false),
    ("fleet.wait_ms", "", Millis, false),
    ("method.#.name", "methods.#.name", Text, true),
    ("method.#.effect", "methods.#.effect", Word(EFFECTS), true),
    ("method.#.group", "methods.#.group", Word(GROUPS), false),
    ("method.#.window_s", "methods.#.window", Seconds, false),
    ("method.#.soft_ms", "methods.#.soft_deadline", Millis, false),
    ("method.#.hard_ms", "methods.#.hard_deadline", Millis, true),
    ("method.#.gain", "methods.#.gain", Number(0.0, MANY), false),
    ("method.#.late_gain", "methods.#.late_gain", Number(0.0, MANY), false),
    ("tenant.#.name", "tenants.#.name", Text, true),
    ("tenant.#.rate", "tenants.#.rate", Number(0.0, MANY), true),
    ("upstream.#.id", "", Text, true),
    ("upstream.#.address", "", Address, true),
    ("upstream.#.zone", "", Text, false),
    ("upstream.#.cell", "", Text, false),
    ("upstream.#.kind", "", Text, false),
];

const LISTS: [(&str, &str); 3] = [("method", "methods"), ("tenant", "tenants"), ("upstream", "upstreams")];

/// What was read: by place with numbers in it (`method.0.name`), the value and its line.
type Values = BTreeMap<String, (String, usize)>;

struct Reader<'a> {
    text: &'a str,
    values: Values,
    /// How many of each list there are, and where each begins.
    lists: BTreeMap<&'static str, Vec<usize>>,
    faults: Vec<Fault>,
}

/// The file, or all that is wrong with it in the order of its lines.
pub fn decode(text: &str) -> Result<Plan, Vec<Fault>> {
    let mut r = Reader { text, values: Values::new(), lists: BTreeMap::new(), faults: Vec::new() };
    match DeTable::parse(text) {
        Ok(table) => r.table("", table.get_ref()),
        Err(e) => {
            let line = r.line(e.span().map_or(0, |span| span.start));
            r.fault(line, "", e.message().replace('\n', " "));
            return Err(r.faults);
        }
    }
    r.needed();
    r.agree();
    if !r.faults.is_empty() {
        r.faults.sort();
        return Err(r.faults);
    }
    Ok(r.plan())
}

/// A place as people write it: `method[0].name`.
fn shown(place: &str) -> String {
    let parts =
        place.split('.').map(|p| if p.parse::<usize>().is_ok() { format!("[{p}]") } else { format!(".{p}") });
    parts.collect::<String>().trim_start_matches('.').to_owned()
}

fn pattern(place: &str) -> String {
    place.split('.').map(|p| if p.parse::<usize>().is_ok() { "#" } else { p }).collect::<Vec<_>>().join(".")
}

impl Reader<'_> {
    fn line(&self, at: usize) -> usize {
        self.text[..at.min(self.text.len())].matches('\n').count() + 1
    }

    fn fault(&mut self, line: usize, place: &str, why: impl Into<String>) {
        self.faults.push(Fault { line, place: shown(place), why: why.into() });
    }

    fn table(&mut self, under: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            let place = if under.is_empty() {
                key.get_ref().to_string()
            } else {
                format!("{under}.{}", key.get_ref())
            };
            let line = self.line(key.span().start);
            let shape = pattern(&place);
            let list = LISTS.iter().find(|(name, _)| *name == shape).map(|(name, _)| *name);
            let holds = |prefix: &str| FIELDS.iter().any(|f| f.0.starts_with(&format!("{prefix}.")));
            match value.get_ref() {
                DeValue::Array(items) if list.is_some() => {
                    for (n, item) in items.iter().enumerate() {
                        let line = self.line(item.span().start);
                        list.into_iter().for_each(|list| self.lists.entry(list).or_default().push(line));
                        match item.get_ref() {
                            DeValue::Table(table) => self.table(&format!("{place}.{n}"), table),
                            _ => self.fault(line, &format!("{place}.{n}"), "is no table"),
                        }
                    }
                }
                _ if list.is_some() => {
                    self.fault(line, &place, format!("is written [[{place}]], as often as needed"))
                }
                DeValue::Table(table) if holds(&shape) => self.table(&place, table),
                _ if holds(&shape) => self.fault(line, &place, "is no table"),
                _ => match FIELDS.iter().find(|f| f.0 == shape) {
                    Some((_, _, form, _)) => self.value(&place, line, *form, value),
                    None => self.fault(line, &place, "is not known"),
                },
            }
        }
    }

    fn value(&mut self, place: &str, line: usize, form: Form, value: &Spanned<DeValue<'_>>) {
        let text = match value.get_ref() {
            DeValue::String(s) => Some(s.to_string()),
            _ => None,
        };
        // Digits may be grouped by underlines.
        let number = match value.get_ref() {
            DeValue::Integer(n) if n.radix() == 10 => n.as_str().replace('_', "").parse::<f64>().ok(),
            DeValue::Float(n) => n.as_str().replace('_', "").parse::<f64>().ok(),
            _ => None,
        };
        let bounded = |least: f64, most: f64| match number {
            Some(n) if n.is_finite() && (least..=most).contains(&n) => Ok(n),
            Some(n) => Err(format!("{n} is not between {least} and {most}")),
            None => Err("is no number".to_owned()),
        };
        let time =
            |unit: f64| Ok(((bounded(0.0, DAY * 10_000.0 / unit)? * unit).round() as Time).to_string());
        let one_of = |words: &[&str], word: &str| match words.contains(&word) {
            true => Ok(word.to_owned()),
            false => Err(format!("{word} is none of {}", words.join(", "))),
        };
        let read: Result<String, String> = match form {
            Text => text.filter(|t| !t.trim().is_empty()).ok_or("is no text, or empty".to_owned()),
            Address => match text.and_then(|t| t.parse::<SocketAddr>().ok()) {
                Some(address) => Ok(address.to_string()),
                None => Err("is no address with a port".to_owned()),
            },
            Addresses => match value.get_ref() {
                DeValue::Array(items) => items
                    .iter()
                    .map(|item| match item.get_ref() {
                        DeValue::String(at) => at
                            .parse::<SocketAddr>()
                            .map(|at| at.to_string())
                            .map_err(|_| format!("{at} is no address with a port")),
                        _ => Err("is no list of addresses".to_owned()),
                    })
                    .collect::<Result<Vec<String>, String>>()
                    .map(|all| all.join(",")),
                _ => Err("is no list of addresses".to_owned()),
            },
            Hex => match text.filter(|t| u64::from_str_radix(t, 16).is_ok()) {
                Some(text) => Ok(text),
                None => Err("is no text of up to 16 hexadecimal digits".to_owned()),
            },
            Flag => match value.get_ref() {
                DeValue::Boolean(flag) => Ok(flag.to_string()),
                _ => Err("is neither true nor false".to_owned()),
            },
            Count(least, most) => bounded(least, most).and_then(|n| match n.fract() == 0.0 {
                true => Ok((n as u64).to_string()),
                false => Err(format!("{n} is not whole")),
            }),
            Number(least, most) => bounded(least, most).map(|n| n.to_string()),
            Seconds => time(10_000.0),
            Millis => time(10.0),
            Word(words) => text.ok_or("is no text".to_owned()).and_then(|word| one_of(words, &word)),
            Words(words) => match value.get_ref() {
                DeValue::Array(items) => items
                    .iter()
                    .map(|item| match item.get_ref() {
                        DeValue::String(word) => one_of(words, word),
                        _ => Err("is no list of texts".to_owned()),
                    })
                    .collect::<Result<Vec<String>, String>>()
                    .map(|words| words.join(",")),
                _ => Err("is no list of texts".to_owned()),
            },
        };
        match read {
            Ok(read) => drop(self.values.insert(place.to_owned(), (read, line))),
            Err(why) => self.fault(line, place, why),
        }
    }

    fn has(&self, place: &str) -> bool {
        // What was there and would not do has been told of already.
        self.values.contains_key(place) || self.faults.iter().any(|f| f.place == shown(place))
    }

    fn needed(&mut self) {
        for (field, _, _, _) in FIELDS.iter().filter(|f| f.3) {
            match field.split_once(".#.") {
                None if !self.has(field) => self.fault(1, field, "is missing"),
                None => {}
                Some((list, name)) => {
                    for (n, line) in self.lists.get(list).cloned().unwrap_or_default().into_iter().enumerate()
                    {
                        let place = format!("{list}.{n}.{name}");
                        if !self.has(&place) {
                            self.fault(line, &place, "is missing");
                        }
                    }
                }
            }
        }
        if self.lists.get("method").is_none_or(Vec::is_empty) && !self.has("method") {
            self.fault(1, "method", "is missing: there must be one at the least");
        }
    }

    /// What is fine by itself and does not go together.
    fn agree(&mut self) {
        let of = |place: &str| self.values.get(place).cloned();
        let number = |place: &str| of(place).and_then(|(v, line)| Some((v.parse::<f64>().ok()?, line)));
        let mut found: Vec<(usize, String, String)> = Vec::new();
        if let Some((ops, line)) = of("ops").filter(|(ops, _)| of("listen").is_some_and(|(at, _)| at == *ops))
        {
            found.push((line, "ops".to_owned(), format!("{ops} is where callers are served")));
        }
        if let Some((me, line)) = number("place.number") {
            let told = number("place.instances").map(|(all, _)| all);
            let all = told.unwrap_or(1.0);
            if me >= all && (told.is_some() || !self.has("place.instances")) {
                found.push((line, "place.number".to_owned(), format!("{me} of {all}: the first is 0")));
            }
        }
        if of("list.mode").is_some_and(|(mode, _)| mode == "ask") && !self.has("list.ask_within_s") {
            let line = of("list.mode").map_or(1, |(_, line)| line);
            found.push((
                line,
                "list.ask_within_s".to_owned(),
                "is missing, where the list must be asked for".to_owned(),
            ));
        }
        found.extend(fleet::agree(&self.values, |place| self.has(place)));
        for (n, begins) in self.lists.get("method").into_iter().flatten().enumerate() {
            let at = |what: &str| format!("method.{n}.{what}");
            if let (Some((soft, line)), Some((hard, _))) = (number(&at("soft_ms")), number(&at("hard_ms"))) {
                if soft > hard {
                    found.push((line, at("soft_ms"), "is more than hard_ms".to_owned()));
                }
            }
            let deduped = of(&at("effect")).is_some_and(|(effect, _)| effect == "deduped");
            for what in ["group", "window_s"] {
                let line = of(&at(what)).map_or(*begins, |(_, line)| line);
                match (deduped, self.has(&at(what))) {
                    (true, false) => {
                        found.push((line, at(what), "is missing, where repeats are dropped".to_owned()))
                    }
                    (false, true) if of(&at("effect")).is_some() => {
                        found.push((line, at(what), "is for deduped methods alone".to_owned()));
                    }
                    _ => {}
                }
            }
        }
        for n in 0..self.lists.get("tenant").map_or(0, Vec::len) {
            let place = format!("tenant.{n}.name");
            let Some((name, line)) = of(&place) else { continue };
            if [fernroute::RETRY_BUDGET, fernroute::TRIAL_BUDGET].contains(&name.as_str()) {
                found.push((line, place, format!("{name} is what a fleet calls another budget")));
            }
        }
        for (list, name) in [("method", "name"), ("tenant", "name"), ("upstream", "id")] {
            let mut seen = BTreeMap::new();
            for n in 0..self.lists.get(list).map_or(0, Vec::len) {
                let place = format!("{list}.{n}.{name}");
                let Some((value, line)) = of(&place) else { continue };
                if let Some(first) = seen.insert(value.clone(), n) {
                    found.push((line, place, format!("{value} is there already, as {list}[{first}]")));
                }
            }
        }
        for (line, place, why) in found {
            self.fault(line, &place, why);
        }
    }

    fn plan(&self) -> Plan {
        let text = |place: &str| self.values.get(place).map(|(v, _)| v.clone());
        let address =
            |place: &str| text(place).and_then(|t| t.parse().ok()).unwrap_or(SocketAddr::from(([0; 4], 0)));
        let mut terms = Settings::new();
        for (place, (value, _)) in &self.values {
            let shape = pattern(place);
            let term = FIELDS.iter().find(|f| f.0 == shape).map_or("", |f| f.1);
            if !term.is_empty() {
                let n = place.split('.').find(|p| p.parse::<usize>().is_ok()).unwrap_or("#");
                terms.insert(term.replace('#', n), value.clone());
            }
        }
        for (list, name) in &LISTS[..2] {
            terms.insert(format!("{name}.count"), self.lists.get(list).map_or(0, Vec::len).to_string());
        }
        let upstream = |n: usize| {
            let at = |what: &str| format!("upstream.{n}.{what}");
            Upstream {
                id: text(&at("id")).unwrap_or_default(),
                address: address(&at("address")),
                zone: text(&at("zone")).unwrap_or_default(),
                cell: text(&at("cell")).unwrap_or_default(),
                kind: text(&at("kind")).unwrap_or_default(),
            }
        };
        Plan {
            name: text("name").unwrap_or_default(),
            listen: address("listen"),
            discovery: address("discovery"),
            ops: text("ops").and_then(|t| t.parse().ok()),
            seed: text("seed").and_then(|t| u64::from_str_radix(&t, 16).ok()),
            descriptors: text("descriptors").and_then(|t| t.parse().ok()).unwrap_or(USUAL_DESCRIPTORS),
            megabytes: text("memory_mb").and_then(|t| t.parse().ok()).unwrap_or(USUAL_MEGABYTES),
            fleet: fleet::plan(&self.values),
            upstreams: (0..self.lists.get("upstream").map_or(0, Vec::len)).map(upstream).collect(),
            terms,
        }
    }
}
