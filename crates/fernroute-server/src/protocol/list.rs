//! The list of upstreams as discovery gives it.

use serde_json::Value;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
        started_ms,
    })
}

/// None where it is no list at all; an entry that can't be read is skipped.
pub fn decode(value: &Value) -> Option<List> {
    let version = value.get("version")?.as_u64()?;
    let full = value.get("full").and_then(Value::as_bool).unwrap_or(false);
    let mut entries = Vec::new();
    for one in value.get("servers")?.as_array()? {
        match entry(one) {
            Some(entry) => entries.push(entry),
            None => log::warn!("list {version}: entry {one} is not readable, skipped"),
        }
    }
    Some(List { version, full, entries })
}
