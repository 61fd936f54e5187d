//! How much memory the messages of a process may take, alone or beside another process of the same balancer during an upgrade:
//! both together, with their programs, may not exceed the limit of a single process. No I/O.
//!
//! A process rarely returns memory to the system before it ends, so what it has resident counts until then, as descriptors
//! count until they are closed. It may use again what it has; all else is its successor's.

use crate::memory::budget::message_memory;

/// One part in this many is for what a program takes beyond its size at the start: code that is first used under load, and gaps
/// that the allocator leaves. As much is the least for the messages of a process.
const GROWTH_DIVISOR: usize = 32;

/// A process keeps at least one part in this many of its memory while it serves beside a successor.
const MIN_KEPT_DIVISOR: usize = 4;

/// The memory quota of one process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryQuota {
    /// The limit of the balancer.
    total: usize,
    /// What the processes before this one leave to it and its successors.
    available: usize,
    /// What this process keeps while it has a successor.
    kept: Option<usize>,
    /// What this process has resident without messages.
    program: usize,
}

impl MemoryQuota {
    /// The quota of a balancer's only process.
    pub fn new(total: usize) -> Self {
        MemoryQuota { total, available: total, kept: None, program: 0 }
    }

    /// The balancer's limit.
    pub fn total(&self) -> usize {
        self.total
    }

    /// The program itself has this much resident.
    pub fn set_program(&mut self, resident: usize) {
        self.program = resident;
    }

    /// The program's size.
    pub fn program(&self) -> usize {
        self.program
    }

    /// A predecessor leaves this much.
    pub fn set_available(&mut self, bytes: usize) {
        self.available = bytes.min(self.total);
    }

    /// The same for what a predecessor has told. One of an earlier version tells nothing: it shares the memory in proportion to
    /// the descriptors, of which `share` is this process's part, and does not count its program.
    pub fn set_told(&mut self, told: Option<usize>, share: usize) {
        self.set_available(told.unwrap_or_else(|| message_memory(share)));
    }

    /// The predecessor has ended: all is available.
    pub fn predecessor_ended(&mut self) {
        self.available = self.total;
    }

    /// There is a successor, and this process has `resident` bytes. It keeps these, or a minimum, and never more than before.
    pub fn keep_for_successor(&mut self, resident: usize) {
        let wanted = resident.max(self.available / MIN_KEPT_DIVISOR).min(self.available);
        self.kept = Some(self.kept.map_or(wanted, |kept| kept.min(wanted)));
    }

    /// The successor has ended.
    pub fn successor_ended(&mut self) {
        self.kept = None;
    }

    /// What a successor may take, its program included, while this process has `resident` bytes.
    pub fn available_to_successor(&self, resident: usize) -> usize {
        self.available.saturating_sub(self.kept.unwrap_or(0).max(resident))
    }

    /// What the messages of this process may take.
    pub fn message_limit(&self) -> usize {
        let alone = message_memory(self.total);
        let assigned = self.kept.unwrap_or(self.available);
        if assigned == self.total {
            return alone;
        }
        let growth = self.total / GROWTH_DIVISOR;
        assigned.saturating_sub(self.program + growth).clamp(growth, alone)
    }
}
