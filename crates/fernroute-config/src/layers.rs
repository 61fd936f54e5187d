//! Merges the layers of a fleet's configuration over a balancer's own file. A layer changes only the keys that it contains:
//! tables are merged key by key, arrays of tables (`[[method]]`, `[[tenant]]`) are replaced as a whole.

use crate::path::line_of;
use crate::{decode, BalancerConfig, ConfigError};
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Table, Value};

/// The tables that a layer may contain. The others belong to one balancer: its identity, its addresses, the limits of its
/// machine.
const SHARED_TABLES: [&str; 6] = ["list", "load", "limits", "rules", "method", "tenant"];

/// Keys whose values are fixed when a connection is first made, so that a running balancer can't change them.
const RESTART_KEYS: [(&str, &str); 2] = [("limits", "connect_ms"), ("limits", "keep_alive_s")];

/// The file that a layer is merged over to validate it. It has the keys that other keys of a table require, since a
/// balancer's own file may have them, too.
const CHECK_FILE: &str = "name = \"b\"\nlisten = \"127.0.0.1:1\"\ndiscovery = \"127.0.0.1:2\"\n\
    [list]\nask_within_s = 1\n[rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
    [[method]]\nname = \"m\"\neffect = \"retriable\"\nhard_ms = 1000\n";

/// The source named in errors of the balancer's own file.
const OWN_FILE: &str = "the balancer's own file";

/// Validates a layer, regardless of the balancer's file under it.
///
/// # Errors
/// All errors, with the lines of the layer.
pub fn check(layer: &str) -> Result<(), Vec<ConfigError>> {
    let file = merge_layers(CHECK_FILE, &[layer])?;
    let Err(errors) = decode(&file) else { return Ok(()) };
    let mut errors: Vec<ConfigError> =
        errors.into_iter().map(|error| ConfigError { line: line_in(layer, &error.path), ..error }).collect();
    errors.sort();
    Err(errors)
}

/// Merges layers over a file, the widest scope first. A layer with keys that belong to one balancer is rejected, also if
/// the coordinators have accepted it.
///
/// # Errors
/// When a text is no TOML, or a layer contains forbidden keys.
pub fn merge_layers(file: &str, layers: &[&str]) -> Result<String, Vec<ConfigError>> {
    let mut merged = parse(file)?;
    for layer in layers {
        let table = parse(layer)?;
        let errors = forbidden_keys(layer, &table);
        if !errors.is_empty() {
            return Err(errors);
        }
        merge(&mut merged, table);
    }
    toml::to_string(&merged)
        .map_err(|error| vec![ConfigError { line: 1, path: String::new(), reason: error.to_string() }])
}

/// Decodes a balancer's file with layers merged over it. Each layer has a name and a text; the widest scope is first.
///
/// # Errors
/// All errors. Each names its source: the layer of the narrowest scope that contains the path, else the balancer's own
/// file.
pub fn load(file: &str, layers: &[(&str, &str)]) -> Result<BalancerConfig, Vec<ConfigError>> {
    for (name, layer) in layers {
        let with_source = |error: ConfigError| attribute(error, name);
        merge_layers("", &[layer])
            .map_err(|errors| errors.into_iter().map(with_source).collect::<Vec<_>>())?;
    }
    let texts: Vec<&str> = layers.iter().map(|(_, layer)| *layer).collect();
    decode(&merge_layers(file, &texts)?)
        .map_err(|errors| errors.into_iter().map(|error| attribute_to_source(error, file, layers)).collect())
}

fn attribute(error: ConfigError, source: &str) -> ConfigError {
    ConfigError { reason: format!("{} ({source})", error.reason), ..error }
}

/// Attributes an error to the text that contains the most steps of its path; among several, to the narrowest scope.
fn attribute_to_source(error: ConfigError, file: &str, layers: &[(&str, &str)]) -> ConfigError {
    let mut source = OWN_FILE;
    let mut best: Option<Location> = None;
    for (name, text) in layers.iter().rev().copied().chain([(OWN_FILE, file)]) {
        let Some(location) = locate(text, &error.path) else { continue };
        if best.as_ref().is_none_or(|best| location.steps > best.steps) {
            source = name;
            best = Some(location);
        }
    }
    let line = best.map_or(1, |best| best.line);
    attribute(ConfigError { line, ..error }, source)
}

/// Errors for the keys that a layer must not contain.
fn forbidden_keys(layer: &str, table: &Table) -> Vec<ConfigError> {
    let error = |path: String, reason: &str| {
        let line = line_in(layer, &path);
        ConfigError { line, path, reason: reason.to_owned() }
    };
    let mut errors = Vec::new();
    for key in table.keys().filter(|key| !SHARED_TABLES.contains(&key.as_str())) {
        errors.push(error(key.clone(), "belongs in each balancer's own file"));
    }
    for (under, key) in RESTART_KEYS {
        if table.get(under).and_then(Value::as_table).is_some_and(|table| table.contains_key(key)) {
            errors.push(error(
                format!("{under}.{key}"),
                "needs a restart, and belongs in each balancer's own file",
            ));
        }
    }
    errors.sort();
    errors
}

/// The position of a path in a text.
struct Location {
    line: usize,
    /// How many steps of the path the text contains.
    steps: usize,
}

/// The line of a path in a text, or of the longest part of the path that it contains; 1 where it contains none of it.
fn line_in(text: &str, path: &str) -> usize {
    locate(text, path).map_or(1, |location| location.line)
}

/// Finds a path as shown in error messages (`method[0].name`), or the longest part of it that the text contains.
fn locate(text: &str, path: &str) -> Option<Location> {
    let table = DeTable::parse(text).ok()?;
    let mut offset = None;
    let mut steps = 0;
    let mut under: Option<&Spanned<DeValue<'_>>> = None;
    for step in path.split(['.', '[']) {
        let next = match (under.map(Spanned::get_ref), step.strip_suffix(']')) {
            (None, None) => find_key(table.get_ref(), step),
            (Some(DeValue::Table(table)), None) => find_key(table, step),
            (Some(DeValue::Array(items)), Some(index)) => {
                let item = index.parse().ok().and_then(|index: usize| items.get(index));
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

/// Merges one table over another, key by key.
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
