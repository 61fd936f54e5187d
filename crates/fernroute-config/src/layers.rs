//! Parts of a file, laid over a balancer's own: what a fleet's stewards hand out. A part says what it names and nothing
//! else: tables are laid over each other key by key, lists (`[[method]]`, `[[tenant]]`) take each other's place whole.

use crate::{decode, Fault, Plan};
use toml::de::{DeTable, DeValue};
use toml::{Spanned, Table, Value};

/// What a part may say. The rest is each balancer's own: who it is, where it is, what its machine holds.
const SHARED: [&str; 6] = ["list", "load", "limits", "rules", "method", "tenant"];

/// These are taken when a connection is first made: a running balancer can't go by others.
const AT_A_START: [(&str, &str); 2] = [("limits", "connect_ms"), ("limits", "keep_alive_s")];

/// A file that any part can be laid over, to see whether it will do. It has what another key of a table needs beside it: a
/// balancer's own file may have it, too.
const PLAIN: &str = "name = \"b\"\nlisten = \"127.0.0.1:1\"\ndiscovery = \"127.0.0.1:2\"\n\
    [list]\nask_within_s = 1\n[rules]\ncold_from = 0.3\nwarm_within_s = 10\ncold_multiple = 3\ncold_window_s = 2\n\
    [[method]]\nname = \"m\"\neffect = \"retriable\"\nhard_ms = 1000\n";

/// All that is wrong with a part, whichever balancer's file it is laid over; lines are the part's own.
pub fn check(part: &str) -> Result<(), Vec<Fault>> {
    decode(&lay(PLAIN, &[part])?).map(drop).map_err(|faults| {
        let mut faults: Vec<Fault> = faults
            .into_iter()
            .map(|fault| Fault { line: find(part, &fault.place).map_or(1, |(line, _)| line), ..fault })
            .collect();
        faults.sort();
        faults
    })
}

/// The file with these parts laid over it, the first the widest. A part that says what is each balancer's own is refused:
/// whoever entered it, it does not reach a balancer.
pub fn lay(file: &str, parts: &[&str]) -> Result<String, Vec<Fault>> {
    let mut all = parse(file)?;
    for part in parts {
        let table = parse(part)?;
        let faults = foreign(part, &table);
        if !faults.is_empty() {
            return Err(faults);
        }
        over(&mut all, table);
    }
    toml::to_string(&all).map_err(|e| vec![Fault { line: 1, place: String::new(), why: e.to_string() }])
}

/// What a balancer with this file goes by under these parts, each with what it is called, the first the widest; or all that
/// is wrong, each with where it is said: the narrowest part that has a say in it, else the balancer's own file.
pub fn load(file: &str, parts: &[(&str, &str)]) -> Result<Plan, Vec<Fault>> {
    const OWN: &str = "the balancer's own file";
    let said = |fault: Fault, by: &str| Fault { why: format!("{} ({by})", fault.why), ..fault };
    for (name, part) in parts {
        lay("", &[part]).map_err(|faults| faults.into_iter().map(|f| said(f, name)).collect::<Vec<_>>())?;
    }
    let texts: Vec<&str> = parts.iter().map(|(_, part)| *part).collect();
    decode(&lay(file, &texts)?).map_err(|faults| {
        let told = |fault: Fault| {
            let all = parts.iter().rev().copied().chain([(OWN, file)]);
            let found = all.filter_map(|(name, text)| Some((name, find(text, &fault.place)?)));
            // The one that says most of the place; of these the narrowest.
            let best = found.reduce(|best, next| if next.1 .1 > best.1 .1 { next } else { best });
            let (name, (line, _)) = best.unwrap_or((OWN, (1, 0)));
            said(Fault { line, ..fault }, name)
        };
        faults.into_iter().map(told).collect()
    })
}

/// What a part says and must not.
fn foreign(part: &str, table: &Table) -> Vec<Fault> {
    let fault = |place: String, why: &str| {
        let line = find(part, &place).map_or(1, |(line, _)| line);
        Fault { line, place, why: why.to_owned() }
    };
    let own = table.keys().filter(|key| !SHARED.contains(&key.as_str()));
    let own = own.map(|key| fault(key.clone(), "is each balancer's own, and stands in its file"));
    let named = |(under, key): &&(&str, &str)| {
        table.get(*under).and_then(Value::as_table).is_some_and(|table| table.contains_key(*key))
    };
    let late = AT_A_START.iter().filter(named);
    let late =
        late.map(|(under, key)| fault(format!("{under}.{key}"), "needs a restart, and stands in each file"));
    let mut faults: Vec<Fault> = own.chain(late).collect();
    faults.sort();
    faults
}

/// The line of a place as it is shown (`method[0].name`), or of as much of it as the text says, and how many steps that
/// is; none where it says nothing of it.
fn find(text: &str, place: &str) -> Option<(usize, usize)> {
    let table = DeTable::parse(text).ok()?;
    let (mut at, mut steps, mut under) = (None, 0, None::<&Spanned<DeValue<'_>>>);
    for step in place.split(['.', '[']) {
        let next = match (under.map(Spanned::get_ref), step.strip_suffix(']')) {
            (None, None) => entry(table.get_ref(), step),
            (Some(DeValue::Table(table)), None) => entry(table, step),
            (Some(DeValue::Array(items)), Some(n)) => {
                n.parse().ok().and_then(|n: usize| items.get(n)).map(|item| (item.span().start, item))
            }
            _ => None,
        };
        let Some((start, value)) = next else { break };
        (at, steps, under) = (Some(start), steps + 1, Some(value));
    }
    Some((text[..at?.min(text.len())].matches('\n').count() + 1, steps))
}

fn entry<'a, 'i>(table: &'a DeTable<'i>, key: &str) -> Option<(usize, &'a Spanned<DeValue<'i>>)> {
    table.iter().find(|(name, _)| name.get_ref() == key).map(|(name, value)| (name.span().start, value))
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
