//! Which replica a disk belongs to, and how far that replica is.

use openraft::{LogId, Vote};
use serde::{Deserialize, Serialize};

/// The identity of a replica, drawn when its folder is created and never used by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The cluster of its ledger.
    pub cluster: String,
    /// Its identifier among raft's nodes.
    pub id: u64,
}

/// The latest vote and log entry of a replica, as far as they are known. It only grows: a replica that truncates its log
/// has voted in a later term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaPosition {
    vote: VotePosition,
    entry: LogPosition,
}

impl ReplicaPosition {
    /// The position of a replica with this vote and this last entry of its log.
    pub fn new(vote: &Vote<u64>, last_entry: Option<&LogId<u64>>) -> Self {
        let vote = VotePosition { term: vote.leader_id.term, candidate: vote.leader_id.node_id };
        let entry = last_entry.map_or_else(LogPosition::default, |entry| LogPosition {
            term: entry.leader_id.term,
            leader: entry.leader_id.node_id,
            length: entry.index + 1,
        });
        ReplicaPosition { vote, entry }
    }
}

/// Stored and sent as `[term, candidate]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
struct VotePosition {
    term: u64,
    candidate: u64,
}

impl From<(u64, u64)> for VotePosition {
    fn from((term, candidate): (u64, u64)) -> Self {
        VotePosition { term, candidate }
    }
}

impl From<VotePosition> for (u64, u64) {
    fn from(vote: VotePosition) -> Self {
        (vote.term, vote.candidate)
    }
}

/// Stored and sent as `[term, leader, length]`; the length is 0 where there is no entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
struct LogPosition {
    term: u64,
    leader: u64,
    length: u64,
}

impl From<(u64, u64, u64)> for LogPosition {
    fn from((term, leader, length): (u64, u64, u64)) -> Self {
        LogPosition { term, leader, length }
    }
}

impl From<LogPosition> for (u64, u64, u64) {
    fn from(entry: LogPosition) -> Self {
        (entry.term, entry.leader, entry.length)
    }
}
