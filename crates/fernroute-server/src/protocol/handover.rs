//! What the old and the new process of a balancer tell each other during an upgrade: a line of JSON each.

use super::list::{Entry, List, State};
use fernroute_fleet::member::MemberHandover;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A process of another version may come: it must be told apart before anything else is read.
const VERSION: u32 = 1;

/// The longest line: a list of some ten thousand upstreams.
pub const MOST_LINE: usize = 4 << 20;

/// The successor speaks first, and again when it can serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FromNew {
    Take { version: u32 },
    Ready,
}

/// The old process answers, and goes on telling what it leaves, until its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FromOld {
    /// With the listening socket: the list as this process has it, and the descriptors that are left.
    Given {
        version: u32,
        list: Known,
        descriptors: usize,
        /// Half of what it holds of a fleet's budgets, where it is of one; an earlier version says none.
        #[serde(default)]
        member: Option<MemberHandover>,
    },
    /// Another successor is here already, or this one can't be served.
    Refused {
        why: String,
        /// Nobody will be served here any more: the address is free once this process has ended. An earlier version says no.
        #[serde(default)]
        ending: bool,
    },
    /// More descriptors, as connections end.
    Left { descriptors: usize },
    /// The successor accepts alone from now on, and is whom the next one comes to.
    Yours,
}

/// The list of upstreams with where it came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    pub discovery: SocketAddr,
    /// Discovery's version of it, where it has told one.
    pub since: Option<u64>,
    pub upstreams: Vec<Upstream>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: String,
    /// An earlier version says none.
    #[serde(default)]
    pub kind: String,
    pub started_ms: u64,
}

impl FromNew {
    pub fn take() -> Self {
        FromNew::Take { version: VERSION }
    }

    /// Whether this process speaks as that one does.
    pub fn is_known(&self) -> bool {
        !matches!(self, FromNew::Take { version } if *version != VERSION)
    }
}

impl FromOld {
    pub fn given(list: Known, descriptors: usize, member: Option<MemberHandover>) -> Self {
        FromOld::Given { version: VERSION, list, descriptors, member }
    }
}

pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

pub fn decode<'a, M: Deserialize<'a>>(line: &'a [u8]) -> Result<M, String> {
    serde_json::from_slice(line).map_err(|why| why.to_string())
}

impl Known {
    /// What serves of a list. The others are nobody's to send to.
    pub fn of<'a>(discovery: SocketAddr, since: Option<u64>, list: impl Iterator<Item = &'a Entry>) -> Self {
        let upstream = |entry: &Entry| {
            Some(Upstream {
                id: entry.id.clone(),
                address: entry.address.filter(|_| entry.state == State::Ready)?,
                zone: entry.zone.clone(),
                cell: entry.cell.clone(),
                kind: entry.kind.clone(),
                started_ms: entry.started_ms,
            })
        };
        Known { discovery, since, upstreams: list.filter_map(upstream).collect() }
    }

    pub fn list(&self) -> List {
        let entry = |u: &Upstream| Entry {
            id: u.id.clone(),
            state: State::Ready,
            address: Some(u.address),
            zone: u.zone.clone(),
            cell: u.cell.clone(),
            kind: u.kind.clone(),
            started_ms: u.started_ms,
        };
        List {
            version: self.since.unwrap_or(0),
            full: true,
            entries: self.upstreams.iter().map(entry).collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_list_goes_over_whole_and_what_drains_is_left_out() {
        let entry = |id: &str, state| Entry {
            id: id.to_owned(),
            state,
            address: Some(SocketAddr::from(([127, 0, 0, 1], 9001))),
            zone: "z".to_owned(),
            cell: "1".to_owned(),
            kind: "k".to_owned(),
            started_ms: 7,
        };
        let entries = [entry("a", State::Ready), entry("b", State::Drains), entry("c", State::Gone)];
        let known = Known::of(SocketAddr::from(([127, 0, 0, 1], 8500)), Some(41), entries.iter());
        let line = encode(&FromOld::given(known, 100, None));
        let Ok(FromOld::Given { list, descriptors: 100, .. }) = decode(&line) else { panic!("not the same") };
        assert_eq!(list.list(), List { version: 41, full: true, entries: entries[..1].to_vec() });
    }

    /// Guards against a successor of another version that is given what it can't read.
    #[test]
    fn strangers_are_told_apart() {
        assert!(decode::<FromNew>(&encode(&FromNew::take())).is_ok_and(|m| m.is_known()));
        assert!(decode::<FromNew>(b"{\"take\":{\"version\":2}}\n").is_ok_and(|m| !m.is_known()));
        for noise in [&b"GET / HTTP/1.1\r\n"[..], b"\n", b"{}", b"{\"take\":{}}"] {
            assert!(decode::<FromNew>(noise).is_err());
        }
    }
}
