//! Values that are fine by themselves and do not go together.

use crate::fleet;
use crate::reader::{Reader, Value};
use std::collections::BTreeMap;

/// Something that does not go with the rest of the file.
pub(crate) struct Conflict {
    pub(crate) line: usize,
    pub(crate) place: String,
    pub(crate) why: String,
}

impl Conflict {
    pub(crate) fn new(line: usize, place: impl Into<String>, why: impl Into<String>) -> Self {
        Conflict { line, place: place.into(), why: why.into() }
    }
}

/// All of them, in no order.
pub(crate) fn conflicts(reader: &Reader<'_>) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    conflicts.extend(operators_address(reader));
    conflicts.extend(own_number(reader));
    conflicts.extend(poll_interval(reader));
    conflicts.extend(fleet::conflicts(&reader.values, |place| reader.has(place)));
    for (number, line) in reader.entry_lines("method").iter().enumerate() {
        conflicts.extend(deadlines(reader, number));
        conflicts.extend(deduplication(reader, number, *line));
    }
    conflicts.extend(reserved_tenants(reader));
    for (list, key) in [("method", "name"), ("tenant", "name"), ("upstream", "id")] {
        conflicts.extend(duplicates(reader, list, key));
    }
    conflicts
}

fn number_at(reader: &Reader<'_>, place: &str) -> Option<(f64, usize)> {
    let value = reader.value(place)?;
    Some((value.text.parse().ok()?, value.line))
}

fn operators_address(reader: &Reader<'_>) -> Option<Conflict> {
    let ops = reader.value("ops")?;
    let listen = reader.value("listen")?;
    (ops.text == listen.text)
        .then(|| Conflict::new(ops.line, "ops", format!("{} is where callers are served", ops.text)))
}

fn own_number(reader: &Reader<'_>) -> Option<Conflict> {
    let (number, line) = number_at(reader, "place.number")?;
    let instances = number_at(reader, "place.instances").map(|(instances, _)| instances);
    // A number of instances that can't be used is a fault of its own.
    if instances.is_none() && reader.has("place.instances") {
        return None;
    }
    let instances = instances.unwrap_or(1.0);
    (number >= instances)
        .then(|| Conflict::new(line, "place.number", format!("{number} of {instances}: the first is 0")))
}

fn poll_interval(reader: &Reader<'_>) -> Option<Conflict> {
    let mode = reader.value("list.mode")?;
    if mode.text != "ask" || reader.has("list.ask_within_s") {
        return None;
    }
    Some(Conflict::new(mode.line, "list.ask_within_s", "is missing, where the list must be asked for"))
}

fn deadlines(reader: &Reader<'_>, method: usize) -> Option<Conflict> {
    let place = format!("method.{method}.soft_ms");
    let (soft, line) = number_at(reader, &place)?;
    let (hard, _) = number_at(reader, &format!("method.{method}.hard_ms"))?;
    (soft > hard).then(|| Conflict::new(line, place, "is more than hard_ms"))
}

/// Deduped methods, and these alone, say among which upstreams and for how long repeats are dropped.
fn deduplication(reader: &Reader<'_>, method: usize, line: usize) -> Vec<Conflict> {
    let effect = reader.value(&format!("method.{method}.effect"));
    let is_deduped = effect.is_some_and(|effect| effect.text == "deduped");
    let mut conflicts = Vec::new();
    for key in ["group", "window_s"] {
        let place = format!("method.{method}.{key}");
        let line = reader.value(&place).map_or(line, |value| value.line);
        match (is_deduped, reader.has(&place)) {
            (true, false) => {
                conflicts.push(Conflict::new(line, place, "is missing, where repeats are dropped"));
            }
            (false, true) if effect.is_some() => {
                conflicts.push(Conflict::new(line, place, "is for deduped methods alone"));
            }
            _ => {}
        }
    }
    conflicts
}

/// A fleet's own budgets stand beside those of tenants, under names of their own.
fn reserved_tenants(reader: &Reader<'_>) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    for number in 0..reader.entry_lines("tenant").len() {
        let place = format!("tenant.{number}.name");
        let Some(Value { text: name, line }) = reader.value(&place) else { continue };
        if [fernroute::RETRY_BUDGET, fernroute::TRIAL_BUDGET].contains(&name.as_str()) {
            conflicts.push(Conflict::new(
                *line,
                place,
                format!("{name} is what a fleet calls another budget"),
            ));
        }
    }
    conflicts
}

fn duplicates(reader: &Reader<'_>, list: &str, key: &str) -> Vec<Conflict> {
    let mut conflicts = Vec::new();
    let mut numbers = BTreeMap::new();
    for number in 0..reader.entry_lines(list).len() {
        let place = format!("{list}.{number}.{key}");
        let Some(Value { text, line }) = reader.value(&place) else { continue };
        if let Some(first) = numbers.insert(text, number) {
            conflicts.push(Conflict::new(
                *line,
                place,
                format!("{text} is there already, as {list}[{first}]"),
            ));
        }
    }
    conflicts
}
