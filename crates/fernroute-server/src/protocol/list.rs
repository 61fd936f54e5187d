//! The list of upstreams as discovery gives it.

use serde_json::Value;
use std::collections::btree_map::Entry::{Occupied, Vacant};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The least ready last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Ready,
    Drains,
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub id: String,
    pub state: State,
    /// There is one wherever it is ready.
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub cell: String,
    /// What machine it is, where the list tells.
    pub kind: String,
    /// Unix time in milliseconds; 0 for long ago.
    pub started_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    pub version: u64,
    /// All there are, not only what has changed.
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
        "DRAINING" => State::Drains,
        "DELETED" => State::Gone,
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
    /// Why this had better be asked for again before it is believed, coming after a list of version `last`: a whole
    /// list without one upstream that may be used would end all service, and what is older than what is known would
    /// bring back upstreams that drain or are gone.
    pub fn doubtful(&self, last: Option<u64>) -> Option<&'static str> {
        if last.is_some_and(|last| self.version < last) {
            return Some("its version goes back");
        }
        let empty = self.full && self.entries.iter().all(|e| e.state != State::Ready);
        empty.then_some("it names no upstream that serves")
    }

    /// What a list that is doubted says of those that leave: they count as told so, and where the answer to the doubt takes
    /// its time nothing new is theirs. None where nobody leaves, or where it is older than what is known.
    pub fn leaving(&self, last: Option<u64>) -> Option<List> {
        let leave: Vec<Entry> = self.entries.iter().filter(|e| e.state != State::Ready).cloned().collect();
        let is_news = last.is_none_or(|last| self.version >= last) && !leave.is_empty();
        is_news.then(|| List { version: last.unwrap_or(0), full: false, entries: leave })
    }
}

/// None where it is no list at all; an entry that can't be read is skipped.
pub fn decode(value: &Value) -> Option<List> {
    let version = value.get("version")?.as_u64()?;
    let full = value.get("full").and_then(Value::as_bool).unwrap_or(false);
    let mut entries: Vec<Entry> = Vec::new();
    let mut places = BTreeMap::new();
    for one in value.get("servers")?.as_array()? {
        let Some(entry) = entry(one) else {
            tracing::warn!("list {version}: entry {one} is not readable, skipped");
            continue;
        };
        match places.entry(entry.id.clone()) {
            Vacant(place) => {
                place.insert(entries.len());
                entries.push(entry);
            }
            // Whatever is meant, nothing new to one that may be leaving.
            Occupied(place) => {
                tracing::warn!("list {version}: {} is named twice, the least ready counts", entry.id);
                let before = &mut entries[*place.get()];
                if entry.state > before.state {
                    *before = entry;
                }
            }
        }
    }
    Some(List { version, full, entries })
}
