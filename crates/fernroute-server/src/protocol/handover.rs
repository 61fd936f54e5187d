//! The messages between the old and the new process of a balancer during an upgrade, one line of JSON each.

use super::list::{Entry, List, State};
use crate::routing::run_once_ids::RunOnceId;
use fernroute::Time;
use fernroute_fleet::member::MemberHandover;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// The version of these messages. It is checked before any other field, as the other process may be of another version.
const VERSION: u32 = 1;

/// Fits a list of about ten thousand upstreams.
pub const MAX_LINE_BYTES: usize = 4 << 20;

/// Sent by the successor: `Take` first, `Ready` when it can serve, then ids until the old process ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuccessorMessage {
    Take {
        version: u32,
    },
    Ready,
    /// Ids that have changed in this process. Sent only to a process that has sent `run_once` in `Given`.
    RunOnce {
        ids: Vec<HandedId>,
    },
}

/// The id of an RPC that must not run more than once and may still run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedId {
    pub id: String,
    /// For how long it is known; 0 once it has ended.
    pub left_ms: u64,
}

const TENTHS_PER_MS: Time = 10;

impl From<&RunOnceId> for HandedId {
    fn from(known: &RunOnceId) -> Self {
        HandedId { id: known.id.to_string(), left_ms: known.time_left.div_ceil(TENTHS_PER_MS) }
    }
}

impl From<&HandedId> for RunOnceId {
    fn from(handed: &HandedId) -> Self {
        RunOnceId {
            id: Rc::from(handed.id.as_str()),
            time_left: handed.left_ms.saturating_mul(TENTHS_PER_MS),
        }
    }
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
        /// The ids of RPCs that may still run at the old process. Earlier versions do not send them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        run_once: Option<Vec<HandedId>>,
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
        /// Ids that have changed in the old process.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        run_once: Vec<HandedId>,
    },
    /// From now on only the successor accepts connections, and it serves the next upgrade.
    Yours,
}

/// What the old process leaves at the beginning of a handover, and the ids that it may still run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeftResources {
    pub descriptors: usize,
    pub memory: Option<usize>,
    pub run_once: Option<Vec<HandedId>>,
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
    pub fn given(list: HandoverList, left: LeftResources, member: Option<MemberHandover>) -> Self {
        PredecessorMessage::Given {
            version: VERSION,
            list,
            descriptors: left.descriptors,
            memory: left.memory,
            run_once: left.run_once,
            member,
        }
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
        let line = encode(&PredecessorMessage::given(
            sent,
            LeftResources { descriptors: 100, ..LeftResources::default() },
            None,
        ));
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
