//! What a process may hold of the balancer's descriptors, alone or beside another process of the same balancer during
//! an upgrade: together they hold no more than one may. No I/O.

use crate::transport::door;

/// Descriptors for everything but callers and upstreams: standard streams, the listener, discovery, signals, the
/// socket that a successor comes to; and the operators' door, if there is one.
const OWN: usize = 32;
const DOOR: usize = door::PLACES + 1;

/// A process that may hold hardly more than its own still serves a few.
const FEWEST: usize = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorQuota {
    /// What the balancer may hold.
    pub whole: usize,
    /// What this process may hold of it.
    pub part: usize,
    /// A successor serves: this process holds what it has until that ends, and no more.
    pub handed: bool,
    own: usize,
}

impl DescriptorQuota {
    pub fn new(whole: usize, door: bool) -> Self {
        DescriptorQuota { whole, part: whole, handed: false, own: OWN + if door { DOOR } else { 0 } }
    }

    /// The most connections of callers and to upstreams. An RPC holds one on each side, and callers keep theirs between
    /// RPCs: they get the larger part.
    pub fn connections(&self) -> (usize, usize) {
        let room = self.part.saturating_sub(self.own).max(FEWEST);
        (room * 3 / 5, room * 2 / 5)
    }

    /// Of this memory, as much as of the descriptors.
    pub fn memory(&self, whole: usize) -> usize {
        (whole as u64 * self.part as u64 / self.whole.max(1) as u64) as usize
    }

    /// A successor comes while this process has so many connections. It keeps those that it has and room for a few,
    /// within half of the whole, and a quarter at the least; idle ones go beyond that.
    pub fn keep(&mut self, connections: usize) {
        const FEW: usize = 16;
        self.part = (self.held(connections) + FEW).clamp(self.whole / 4, self.whole / 2);
    }

    /// What is left for the successor: busy connections are not cut to make room for it.
    pub fn left(&self, connections: usize) -> usize {
        let kept = if self.handed { 0 } else { self.part };
        self.whole.saturating_sub(kept.max(self.held(connections)))
    }

    /// Alone again.
    pub fn take_all(&mut self) {
        (self.part, self.handed) = (self.whole, false);
    }

    fn held(&self, connections: usize) -> usize {
        self.own + connections
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against two processes that together hold more than one may, and against idle callers that are sent away
    /// while there is room for all.
    #[test]
    fn two_processes_hold_no_more_than_one_may() {
        for whole in [128, 256, 384, 1024] {
            for door in [false, true] {
                let alone = DescriptorQuota::new(whole, door);
                let (callers, upstreams) = alone.connections();
                assert!(callers + upstreams + OWN <= whole && callers > upstreams);
                for connections in 0..=callers + upstreams {
                    let mut old = alone;
                    old.keep(connections);
                    let (kept_callers, kept_upstreams) = old.connections();
                    let mut new = DescriptorQuota { part: old.left(connections), ..alone };
                    let now = old.held(connections).max(old.part);
                    assert!(now + new.part <= whole, "{whole} {connections}");
                    if alone.held(connections) + 16 <= whole / 2 {
                        assert!(kept_callers + kept_upstreams >= connections, "{whole} {connections}");
                        assert!(new.part >= whole / 2);
                    }
                    // As the old one's connections end its successor gets more, and all at its end.
                    old.handed = true;
                    new.part = old.left(connections / 2);
                    assert!(new.part + old.held(connections / 2) <= whole.max(old.held(0)));
                    assert!(new.part >= old.left(connections));
                    new.take_all();
                    assert_eq!(new, alone);
                }
            }
        }
        let half = DescriptorQuota { part: 128, ..DescriptorQuota::new(256, true) };
        assert_eq!(
            (half.memory(32 << 20), DescriptorQuota::new(256, true).memory(32 << 20)),
            (16 << 20, 32 << 20)
        );
        let (callers, upstreams) = DescriptorQuota::new(64, true).connections();
        assert!(callers >= 4 && upstreams >= 4);
    }
}
