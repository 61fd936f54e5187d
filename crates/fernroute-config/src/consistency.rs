//! Checks across keys: each value is valid by itself, but the combination is not.

use crate::fleet;
use crate::reader::{Reader, Value};
use std::collections::BTreeMap;

/// A value that contradicts the rest of the file.
pub(crate) struct Conflict {
    pub(crate) line: usize,
    pub(crate) path: String,
    pub(crate) reason: String,
}

impl Conflict {
    pub(crate) fn new(line: usize, path: impl Into<String>, reason: impl Into<String>) -> Self {
        Conflict { line, path: path.into(), reason: reason.into() }
    }
}

/// All conflicts in a file, in no particular order.
pub(crate) fn conflicts(reader: &Reader<'_>) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    conflicts.extend(ops_address(reader));
    conflicts.extend(instance_number(reader));
    conflicts.extend(poll_interval(reader));
    conflicts.extend(fleet::conflicts(&reader.values, |path| reader.has(path)));
    for (index, line) in reader.entry_lines("method").iter().enumerate() {
        conflicts.extend(deadlines(reader, index));
        conflicts.extend(deduplication(reader, index, *line));
    }
    conflicts.extend(reserved_tenants(reader));
    for (list, key) in [("method", "name"), ("tenant", "name"), ("upstream", "id")] {
        conflicts.extend(duplicates(reader, list, key));
    }
    conflicts
}

fn number_at(reader: &Reader<'_>, path: &str) -> Option<(f64, usize)> {
    let value = reader.value(path)?;
    Some((value.text.parse().ok()?, value.line))
}

fn ops_address(reader: &Reader<'_>) -> Option<Conflict> {
    let ops = reader.value("ops")?;
    let listen = reader.value("listen")?;
    (ops.text == listen.text)
        .then(|| Conflict::new(ops.line, "ops", format!("{} is already the value of listen", ops.text)))
}

fn instance_number(reader: &Reader<'_>) -> Option<Conflict> {
    let (number, line) = number_at(reader, "place.number")?;
    let instances = number_at(reader, "place.instances").map(|(instances, _)| instances);
    // An invalid number of instances is reported as an error of its own.
    if instances.is_none() && reader.has("place.instances") {
        return None;
    }
    let instances = instances.unwrap_or(1.0);
    let reason = || format!("{number} must be less than place.instances ({instances}): numbers start at 0");
    (number >= instances).then(|| Conflict::new(line, "place.number", reason()))
}

fn poll_interval(reader: &Reader<'_>) -> Option<Conflict> {
    let mode = reader.value("list.mode")?;
    if mode.text != "ask" || reader.has("list.ask_within_s") {
        return None;
    }
    Some(Conflict::new(mode.line, "list.ask_within_s", "is required where list.mode is ask"))
}

fn deadlines(reader: &Reader<'_>, method: usize) -> Option<Conflict> {
    let path = format!("method.{method}.soft_ms");
    let (soft, line) = number_at(reader, &path)?;
    let (hard, _) = number_at(reader, &format!("method.{method}.hard_ms"))?;
    (soft > hard).then(|| Conflict::new(line, path, "is greater than hard_ms"))
}

/// Only methods with deduplication have a group of upstreams and a window in which repeated requests are dropped, and they
/// need both.
fn deduplication(reader: &Reader<'_>, method: usize, line: usize) -> Vec<Conflict> {
    let effect = reader.value(&format!("method.{method}.effect"));
    let is_deduped = effect.is_some_and(|effect| effect.text == "deduped");
    let mut conflicts = Vec::new();
    for key in ["group", "window_s"] {
        let path = format!("method.{method}.{key}");
        let line = reader.value(&path).map_or(line, |value| value.line);
        match (is_deduped, reader.has(&path)) {
            (true, false) => {
                conflicts.push(Conflict::new(line, path, "is required where effect is deduped"));
            }
            (false, true) if effect.is_some() => {
                conflicts.push(Conflict::new(line, path, "is only allowed where effect is deduped"));
            }
            _ => {}
        }
    }
    conflicts
}

/// A fleet's retry and trial budgets share one namespace with the tenants' budgets.
fn reserved_tenants(reader: &Reader<'_>) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    for index in 0..reader.entry_lines("tenant").len() {
        let path = format!("tenant.{index}.name");
        let Some(Value { text: name, line }) = reader.value(&path) else { continue };
        if [fernroute::RETRY_BUDGET, fernroute::TRIAL_BUDGET].contains(&name.as_str()) {
            let reason = format!("{name} is reserved for a budget of the fleet");
            conflicts.push(Conflict::new(*line, path, reason));
        }
    }
    conflicts
}

fn duplicates(reader: &Reader<'_>, list: &str, key: &str) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    let mut first_indexes = BTreeMap::new();
    for index in 0..reader.entry_lines(list).len() {
        let path = format!("{list}.{index}.{key}");
        let Some(Value { text, line }) = reader.value(&path) else { continue };
        if let Some(first) = first_indexes.insert(text, index) {
            let reason = format!("{text} is already the {key} of {list}[{first}]");
            conflicts.push(Conflict::new(*line, path, reason));
        }
    }
    conflicts
}
