//! The list of upstreams from discovery.

use serde_json::Value;
use std::collections::btree_map::Entry::{Occupied, Vacant};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Ordered from the most to the least ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Ready,
    Draining,
    Removed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub id: String,
    pub state: State,
    /// Always present in state `Ready`.
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub cell: String,
    /// The kind of machine, empty if the list does not name one.
    pub kind: String,
    /// Unix time in milliseconds; 0 if unknown, which counts as long ago.
    pub started_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    pub version: u64,
    /// Whether the list names all upstreams, not only changed ones.
    pub full: bool,
    pub entries: Vec<Entry>,
}

fn entry(value: &Value) -> Option<Entry> {
    let text = |name: &str| match value.get(name) {
        Some(Value::String(text)) => Some(text.clone()),
        Some(Value::Number(number)) => Some(number.to_string()),
        _ => None,
    };
    let state = match value.get("state")?.as_str()? {
        "SERVING" => State::Ready,
        "DRAINING" => State::Draining,
        "DELETED" => State::Removed,
        _ => return None,
    };
    let address = text("addr").and_then(|a| a.parse().ok());
    if state == State::Ready && address.is_none() {
        return None;
    }
    let started_ms = match value.get("started_ms") {
        None | Some(Value::Null) => 0,
        Some(ms) => ms.as_u64().or_else(|| ms.as_f64().filter(|f| *f >= 0.0).map(|f| f as u64))?,
    };
    Some(Entry {
        id: text("id").filter(|id| !id.is_empty())?,
        state,
        address,
        zone: text("zone").unwrap_or_default(),
        cell: text("cell").unwrap_or_default(),
        kind: text("kind").unwrap_or_default(),
        started_ms,
    })
}

impl List {
    /// Why this list should be confirmed by a second request before it is applied after a list of version `last`: a full
    /// list without a ready upstream would end all service, and an older list would bring back upstreams that are
    /// draining or removed.
    pub fn reason_to_confirm(&self, last: Option<u64>) -> Option<&'static str> {
        if last.is_some_and(|last| self.version < last) {
            return Some("its version is lower than the last one");
        }
        let empty = self.full && self.entries.iter().all(|e| e.state != State::Ready);
        empty.then_some("it names no ready upstream")
    }

    /// The draining and removed upstreams of a list that waits for confirmation. They are applied at once, so that they
    /// get no new RPCs if the confirmation takes time. None if there are none, or if the list is older than `last`.
    pub fn departures(&self, last: Option<u64>) -> Option<List> {
        let departed: Vec<Entry> = self.entries.iter().filter(|e| e.state != State::Ready).cloned().collect();
        let is_news = last.is_none_or(|last| self.version >= last) && !departed.is_empty();
        is_news.then(|| List { version: last.unwrap_or(0), full: false, entries: departed })
    }
}

/// Returns None if the value is not a list. Unreadable entries are skipped.
pub fn decode(value: &Value) -> Option<List> {
    let version = value.get("version")?.as_u64()?;
    let full = value.get("full").and_then(Value::as_bool).unwrap_or(false);
    let mut entries: Vec<Entry> = Vec::new();
    let mut positions = BTreeMap::new();
    for value in value.get("servers")?.as_array()? {
        let Some(entry) = entry(value) else {
            tracing::warn!("list {version}: skipping unreadable entry {value}");
            continue;
        };
        match positions.entry(entry.id.clone()) {
            Vacant(position) => {
                position.insert(entries.len());
                entries.push(entry);
            }
            // Prefer the less ready state: an upstream that may be draining must get no new RPCs.
            Occupied(position) => {
                tracing::warn!(
                    "list {version}: upstream {} is listed twice, using the less ready state",
                    entry.id
                );
                let before = &mut entries[*position.get()];
                if entry.state > before.state {
                    *before = entry;
                }
            }
        }
    }
    Some(List { version, full, entries })
}
