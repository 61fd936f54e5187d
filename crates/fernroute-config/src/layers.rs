//! Parts of a file, laid over a balancer's own: what a fleet's stewards hand out. A part says what it names and nothing
//! else: tables are laid over each other key by key, lists (`[[method]]`, `[[tenant]]`) take each other's place whole.

use crate::{decode, Fault};
use toml::{Table, Value};

/// What a part may say. The rest is each balancer's own: who it is, where it is, what its machine holds.
const SHARED: [&str; 6] = ["list", "load", "limits", "rules", "method", "tenant"];

/// These are taken when a connection is first made: a running balancer can't go by others.
const AT_A_START: [(&str, &str); 2] = [("limits", "connect_ms"), ("limits", "keep_alive_s")];

/// A file that any part can be laid over, to see whether it will do.
const PLAIN: &str = "name = \"b\"\nlisten = \"127.0.0.1:1\"\ndiscovery = \"127.0.0.1:2\"\n\
    [rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
    [[method]]\nname = \"m\"\neffect = \"retriable\"\nhard_ms = 1000\n";

/// All that is wrong with a part, whichever balancer's file it is laid over.
pub fn check(part: &str) -> Result<(), Vec<Fault>> {
    let table = parse(part)?;
    let fault = |place: String, why: &str| Fault { line: 1, place, why: why.to_owned() };
    let mut faults: Vec<Fault> = table
        .keys()
        .filter(|key| !SHARED.contains(&key.as_str()))
        .map(|key| fault(key.clone(), "is each balancer's own, and stands in its file"))
        .collect();
    let named = |(table_name, key): &&(&str, &str)| {
        table.get(*table_name).and_then(Value::as_table).is_some_and(|t| t.contains_key(*key))
    };
    faults.extend(
        AT_A_START
            .iter()
            .filter(named)
            .map(|(under, key)| fault(format!("{under}.{key}"), "needs a restart, and stands in each file")),
    );
    if !faults.is_empty() {
        return Err(faults);
    }
    decode(&lay(PLAIN, &[part])?).map(drop)
}

/// The file with these parts laid over it, the first the widest.
pub fn lay(file: &str, parts: &[&str]) -> Result<String, Vec<Fault>> {
    let mut all = parse(file)?;
    for part in parts {
        over(&mut all, parse(part)?);
    }
    toml::to_string(&all).map_err(|e| vec![Fault { line: 1, place: String::new(), why: e.to_string() }])
}

fn over(under: &mut Table, part: Table) {
    for (key, value) in part {
        match (under.get_mut(&key), value) {
            (Some(Value::Table(under)), Value::Table(part)) => over(under, part),
            (_, value) => drop(under.insert(key, value)),
        }
    }
}

fn parse(text: &str) -> Result<Table, Vec<Fault>> {
    text.parse::<Table>().map_err(|e| {
        let line = e.span().map_or(1, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
        vec![Fault { line, place: String::new(), why: e.message().replace('\n', " ") }]
    })
}
