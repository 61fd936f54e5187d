//! How many file descriptors a process may have open, alone or together with another process of the same balancer during an
//! upgrade: both together may not exceed the limit of a single process. No I/O.

use crate::memory::budget::max_caller_connections;
use crate::transport::ops_server;

/// Descriptors for everything but callers, upstreams and operators: standard streams, the listener, discovery, signals,
/// the handover socket.
pub const RESERVED_DESCRIPTORS: usize = 32;

/// Descriptors for the operators' listener and its connections.
const OPS_DESCRIPTORS: usize = ops_server::MAX_CONNECTIONS + 1;

/// The minimum for a process with few descriptors beyond the reserved ones.
const MIN_CONNECTIONS: usize = 10;

/// Descriptors that a process keeps in addition to those in use when a successor starts.
const SPARE_DESCRIPTORS: usize = 16;

/// The descriptor quota of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorQuota {
    /// How many descriptors all processes of the balancer may have open together.
    pub total: usize,
    /// How many of them this process may have open.
    pub assigned: usize,
    /// A successor serves: this process opens no more descriptors, and keeps the open ones until they are closed.
    pub handed_over: bool,
    reserved: usize,
}

/// How many connections fit into a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections from callers.
    pub callers: usize,
    /// Connections to upstreams.
    pub upstreams: usize,
}

impl DescriptorQuota {
    /// The quota of a balancer's only process. `has_ops` tells whether there is a listener for operators.
    pub fn new(total: usize, has_ops: bool) -> Self {
        let reserved = RESERVED_DESCRIPTORS + if has_ops { OPS_DESCRIPTORS } else { 0 };
        DescriptorQuota { total, assigned: total, handed_over: false, reserved }
    }

    /// The connection limits. Callers get the larger part: an RPC needs one connection on each side, and callers keep
    /// theirs open between RPCs.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let connections = self.assigned.saturating_sub(self.reserved).max(MIN_CONNECTIONS);
        ConnectionLimits { callers: connections * 3 / 5, upstreams: connections * 2 / 5 }
    }

    /// The connection limits of a process whose messages may take `message_memory` bytes: callers' connections take a part of
    /// these at most.
    pub fn connection_limits_within(&self, message_memory: usize) -> ConnectionLimits {
        let by_descriptors = self.connection_limits();
        let by_memory = max_caller_connections(message_memory).max(1);
        let callers = by_descriptors.callers.min(by_memory);
        ConnectionLimits { callers, ..by_descriptors }
    }

    /// A part of the balancer's memory, in bytes and in proportion to this process's descriptors: what it takes beside a
    /// predecessor of an earlier version, which does not say what it leaves.
    pub fn memory(&self, total_bytes: usize) -> usize {
        (total_bytes as u64 * self.assigned as u64 / self.total.max(1) as u64) as usize
    }

    /// Shrinks the quota when a successor starts while this process has `connections` open. The quota covers these and a few
    /// more, and is between a quarter and a half of the total; idle connections beyond it are closed.
    pub fn shrink_for_successor(&mut self, connections: usize) {
        self.assigned = (self.in_use(connections) + SPARE_DESCRIPTORS).clamp(self.total / 4, self.total / 2);
    }

    /// How many descriptors the successor may have open. Busy connections are not closed to make room for it.
    pub fn available_to_successor(&self, connections: usize) -> usize {
        let kept = if self.handed_over { 0 } else { self.assigned };
        self.total.saturating_sub(kept.max(self.in_use(connections)))
    }

    /// The other process has ended: this process gets the whole quota.
    pub fn reclaim(&mut self) {
        self.assigned = self.total;
        self.handed_over = false;
    }

    /// How many descriptors a process with this many connections uses.
    pub fn in_use(&self, connections: usize) -> usize {
        self.reserved + connections
    }
}
