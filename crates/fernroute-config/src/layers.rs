//! Entries of a fleet's configuration, laid over a balancer's own file. An entry changes what it names and nothing else:
//! tables are laid over each other key by key, lists (`[[method]]`, `[[tenant]]`) replace each other whole.

use crate::place::line_of;
use crate::{decode, BalancerConfig, ConfigError};
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Table, Value};

/// The tables that an entry may have. The others are each balancer's own: who it is, where it is, what its machine holds.
const SHARED_TABLES: [&str; 6] = ["list", "load", "limits", "rules", "method", "tenant"];

/// Keys that count when a connection is first made, so that a running balancer can't take another value.
const RESTART_KEYS: [(&str, &str); 2] = [("limits", "connect_ms"), ("limits", "keep_alive_s")];

/// A file that any entry can be laid over, to see whether the entry is good. It has what another key of a table needs beside
/// it: a balancer's own file may have it, too.
const CHECK_FILE: &str = "name = \"b\"\nlisten = \"127.0.0.1:1\"\ndiscovery = \"127.0.0.1:2\"\n\
    [list]\nask_within_s = 1\n[rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
    [[method]]\nname = \"m\"\neffect = \"retriable\"\nhard_ms = 1000\n";

/// What a fault in the balancer's own file is attributed to.
const OWN_FILE: &str = "the balancer's own file";

/// The faults of an entry, whichever balancer's file it is laid over; lines are the entry's own.
pub fn check(entry: &str) -> Result<(), Vec<ConfigError>> {
    let file = merge_layers(CHECK_FILE, &[entry])?;
    let Err(faults) = decode(&file) else { return Ok(()) };
    let mut own: Vec<ConfigError> =
        faults.into_iter().map(|fault| ConfigError { line: line_in(entry, &fault.path), ..fault }).collect();
    own.sort();
    Err(own)
}

/// The file with these entries laid over it, the widest scope first. An entry with what is each balancer's own is refused:
/// whoever entered it, it does not reach a balancer.
pub fn merge_layers(file: &str, entries: &[&str]) -> Result<String, Vec<ConfigError>> {
    let mut merged = parse(file)?;
    for entry in entries {
        let table = parse(entry)?;
        let faults = forbidden_keys(entry, &table);
        if !faults.is_empty() {
            return Err(faults);
        }
        merge(&mut merged, table);
    }
    toml::to_string(&merged)
        .map_err(|error| vec![ConfigError { line: 1, path: String::new(), reason: error.to_string() }])
}

/// The plan of a balancer with this file under these entries, each with its name, the widest scope first; or all faults, each
/// attributed to where it comes from: the narrowest entry that names its place, else the balancer's own file.
pub fn load(file: &str, entries: &[(&str, &str)]) -> Result<BalancerConfig, Vec<ConfigError>> {
    for (name, entry) in entries {
        let by = |fault: ConfigError| attribute(fault, name);
        merge_layers("", &[entry]).map_err(|faults| faults.into_iter().map(by).collect::<Vec<_>>())?;
    }
    let texts: Vec<&str> = entries.iter().map(|(_, entry)| *entry).collect();
    decode(&merge_layers(file, &texts)?)
        .map_err(|faults| faults.into_iter().map(|fault| attribute_to_source(fault, file, entries)).collect())
}

fn attribute(fault: ConfigError, source: &str) -> ConfigError {
    ConfigError { reason: format!("{} ({source})", fault.reason), ..fault }
}

/// The text that names most steps of the fault's place is its source; of several, the narrowest.
fn attribute_to_source(fault: ConfigError, file: &str, entries: &[(&str, &str)]) -> ConfigError {
    let mut source = OWN_FILE;
    let mut best: Option<Location> = None;
    for (name, text) in entries.iter().rev().copied().chain([(OWN_FILE, file)]) {
        let Some(location) = locate(text, &fault.path) else { continue };
        if best.as_ref().is_none_or(|best| location.steps > best.steps) {
            source = name;
            best = Some(location);
        }
    }
    let line = best.map_or(1, |best| best.line);
    attribute(ConfigError { line, ..fault }, source)
}

/// Keys that an entry may not have.
fn forbidden_keys(entry: &str, table: &Table) -> Vec<ConfigError> {
    let fault = |place: String, why: &str| ConfigError {
        line: line_in(entry, &place),
        path: place,
        reason: why.to_owned(),
    };
    let mut faults = Vec::new();
    for key in table.keys().filter(|key| !SHARED_TABLES.contains(&key.as_str())) {
        faults.push(fault(key.clone(), "is each balancer's own, and stands in its file"));
    }
    for (under, key) in RESTART_KEYS {
        if table.get(under).and_then(Value::as_table).is_some_and(|table| table.contains_key(key)) {
            faults.push(fault(format!("{under}.{key}"), "needs a restart, and stands in each file"));
        }
    }
    faults.sort();
    faults
}

/// Where a text names a place.
struct Location {
    line: usize,
    /// How many steps of the place it names.
    steps: usize,
}

/// The line on which a text names a place, or as much of the place as it names; the first where it names nothing of it.
fn line_in(text: &str, place: &str) -> usize {
    locate(text, place).map_or(1, |location| location.line)
}

/// Where a text names a place as it is displayed (`method[0].name`), or as much of it as it names.
fn locate(text: &str, place: &str) -> Option<Location> {
    let table = DeTable::parse(text).ok()?;
    let mut offset = None;
    let mut steps = 0;
    let mut under: Option<&Spanned<DeValue<'_>>> = None;
    for step in place.split(['.', '[']) {
        let next = match (under.map(Spanned::get_ref), step.strip_suffix(']')) {
            (None, None) => find_key(table.get_ref(), step),
            (Some(DeValue::Table(table)), None) => find_key(table, step),
            (Some(DeValue::Array(items)), Some(number)) => {
                let item = number.parse().ok().and_then(|number: usize| items.get(number));
                item.map(|item| (item.span().start, item))
            }
            _ => None,
        };
        let Some((start, value)) = next else { break };
        offset = Some(start);
        steps += 1;
        under = Some(value);
    }
    Some(Location { line: line_of(text, offset?), steps })
}

fn find_key<'a, 'i>(table: &'a DeTable<'i>, key: &str) -> Option<(usize, &'a Spanned<DeValue<'i>>)> {
    let (name, value) = table.iter().find(|(name, _)| name.get_ref() == key)?;
    Some((name.span().start, value))
}

/// Lays one table over another, key by key.
fn merge(lower: &mut Table, upper: Table) {
    for (key, value) in upper {
        match (lower.get_mut(&key), value) {
            (Some(Value::Table(lower)), Value::Table(upper)) => merge(lower, upper),
            (_, value) => {
                lower.insert(key, value);
            }
        }
    }
}

fn parse(text: &str) -> Result<Table, Vec<ConfigError>> {
    text.parse::<Table>().map_err(|error| {
        let line = error.span().map_or(1, |span| line_of(text, span.start));
        vec![ConfigError { line, path: String::new(), reason: error.message().replace('\n', " ") }]
    })
}
