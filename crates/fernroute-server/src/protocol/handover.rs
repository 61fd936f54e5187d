//! The messages between the old and the new process of a balancer during an upgrade, one line of JSON each.

use super::list::{Entry, List, State};
use fernroute_fleet::member::MemberHandover;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of these messages. It is checked before any other field, as the other process may be of another version.
const VERSION: u32 = 1;

/// Fits a list of about ten thousand upstreams.
pub const MAX_LINE_BYTES: usize = 4 << 20;

/// Sent by the successor: `Take` first, `Ready` when it can serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuccessorMessage {
    Take { version: u32 },
    Ready,
}

/// Sent by the old process: the reply, then the descriptors that it releases, until it ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PredecessorMessage {
    /// Sent with the listening socket: the current list of upstreams and the number of descriptors for the successor.
    Given {
        version: u32,
        list: HandoverList,
        descriptors: usize,
        /// How many bytes the successor may take, its program included. Earlier versions do not send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        memory: Option<usize>,
        /// Half of the fleet budgets that this process holds, if it belongs to a fleet. Earlier versions do not send it.
        #[serde(default)]
        member: Option<MemberHandover>,
    },
    /// There is another successor already, or this one cannot be served.
    Refused {
        why: String,
        /// The old process is shutting down and its address is free once it has ended. Earlier versions do not send it.
        #[serde(default)]
        ending: bool,
    },
    /// What the successor may use, as connections close and memory is returned.
    Left {
        descriptors: usize,
        /// As in `Given`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        memory: Option<usize>,
    },
    /// From now on only the successor accepts connections, and it serves the next upgrade.
    Yours,
}

/// The list of upstreams with its source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverList {
    pub discovery: SocketAddr,
    /// The list's version, if one has been received from discovery.
    pub since: Option<u64>,
    pub upstreams: Vec<Upstream>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: String,
    /// Earlier versions do not send it.
    #[serde(default)]
    pub kind: String,
    pub started_ms: u64,
}

impl SuccessorMessage {
    pub fn take() -> Self {
        SuccessorMessage::Take { version: VERSION }
    }

    /// Whether the message is of a version that this process supports.
    pub fn is_supported_version(&self) -> bool {
        !matches!(self, SuccessorMessage::Take { version } if *version != VERSION)
    }
}

impl PredecessorMessage {
    pub fn given(
        list: HandoverList,
        descriptors: usize,
        memory: Option<usize>,
        member: Option<MemberHandover>,
    ) -> Self {
        PredecessorMessage::Given { version: VERSION, list, descriptors, memory, member }
    }
}

pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

pub fn decode<'a, M: Deserialize<'a>>(line: &'a [u8]) -> Result<M, String> {
    serde_json::from_slice(line).map_err(|error| error.to_string())
}

impl HandoverList {
    /// Keeps only ready upstreams; the others get no RPCs.
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
        HandoverList { discovery, since, upstreams: list.filter_map(upstream).collect() }
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
    fn list_is_handed_over_without_draining_upstreams() {
        let entry = |id: &str, state| Entry {
            id: id.to_owned(),
            state,
            address: Some(SocketAddr::from(([127, 0, 0, 1], 9001))),
            zone: "z".to_owned(),
            cell: "1".to_owned(),
            kind: "k".to_owned(),
            started_ms: 7,
        };
        let entries = [entry("a", State::Ready), entry("b", State::Draining), entry("c", State::Removed)];
        let sent = HandoverList::of(SocketAddr::from(([127, 0, 0, 1], 8500)), Some(41), entries.iter());
        let line = encode(&PredecessorMessage::given(sent, 100, None, None));
        let Ok(PredecessorMessage::Given { list, descriptors: 100, .. }) = decode(&line) else {
            panic!("unexpected message")
        };
        assert_eq!(list.list(), List { version: 41, full: true, entries: entries[..1].to_vec() });
    }

    /// Guards against a successor of another version that is sent messages it cannot read.
    #[test]
    fn other_versions_and_invalid_messages_are_recognised() {
        assert!(decode::<SuccessorMessage>(&encode(&SuccessorMessage::take()))
            .is_ok_and(|m| m.is_supported_version()));
        assert!(decode::<SuccessorMessage>(b"{\"take\":{\"version\":2}}\n")
            .is_ok_and(|m| !m.is_supported_version()));
        for noise in [&b"GET / HTTP/1.1\r\n"[..], b"\n", b"{}", b"{\"take\":{}}"] {
            assert!(decode::<SuccessorMessage>(noise).is_err());
        }
    }
}
