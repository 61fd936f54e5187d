//! How many file descriptors a process may have open, alone or beside another process of the same balancer during an
//! upgrade: together they have no more than one may. No I/O.

use crate::transport::ops_server;

/// Descriptors for everything but callers, upstreams and operators: standard streams, the listener, discovery, signals,
/// the handover socket.
pub const RESERVED_DESCRIPTORS: usize = 32;

/// Descriptors for the operators' listener and its connections.
const OPS_DESCRIPTORS: usize = ops_server::MAX_CONNECTIONS + 1;

/// A process with hardly more than its reserved descriptors still serves a few connections.
const MIN_CONNECTIONS: usize = 10;

/// Descriptors that a process keeps beyond those in use as a successor starts.
const SPARE_DESCRIPTORS: usize = 16;

/// The quota of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorQuota {
    /// What the balancer may have open, over all its processes.
    pub total: usize,
    /// What this process may have open of it.
    pub assigned: usize,
    /// A successor serves: this process keeps what it has open until that ends, and opens no more.
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
    /// The quota of a balancer's only process. `has_ops` says whether operators have a listener.
    pub fn new(total: usize, has_ops: bool) -> Self {
        let reserved = RESERVED_DESCRIPTORS + if has_ops { OPS_DESCRIPTORS } else { 0 };
        DescriptorQuota { total, assigned: total, handed_over: false, reserved }
    }

    /// The connection limits. A request has one connection on each side, and callers keep theirs between requests:
    /// they get the larger part.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let connections = self.assigned.saturating_sub(self.reserved).max(MIN_CONNECTIONS);
        ConnectionLimits { callers: connections * 3 / 5, upstreams: connections * 2 / 5 }
    }

    /// This process's part of the balancer's memory, in proportion to its descriptors.
    pub fn memory(&self, total_bytes: usize) -> usize {
        (total_bytes as u64 * self.assigned as u64 / self.total.max(1) as u64) as usize
    }

    /// Shrinks the quota as a successor starts while this process has `connections` open. They stay, with a few to
    /// spare, within a quarter and a half of the total; idle ones are closed beyond that.
    pub fn shrink_for_successor(&mut self, connections: usize) {
        self.assigned = (self.in_use(connections) + SPARE_DESCRIPTORS).clamp(self.total / 4, self.total / 2);
    }

    /// What the successor may have open: busy connections are not cut to make room for it.
    pub fn available_to_successor(&self, connections: usize) -> usize {
        let kept = if self.handed_over { 0 } else { self.assigned };
        self.total.saturating_sub(kept.max(self.in_use(connections)))
    }

    /// The other process has ended: everything belongs to this one.
    pub fn reclaim(&mut self) {
        self.assigned = self.total;
        self.handed_over = false;
    }

    /// How many descriptors a process with so many connections uses.
    pub fn in_use(&self, connections: usize) -> usize {
        self.reserved + connections
    }
}
