//! Applies lists of upstreams from discovery: the clients for them, and the news for the decisions.

use super::dispatcher::Dispatcher;
use crate::protocol::list::{Entry, List, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The entries of a list that are ready, by address. Where it names two at one address, the one that has started last.
fn latest_by_address(list: &List) -> BTreeMap<SocketAddr, &Entry> {
    let mut latest: BTreeMap<SocketAddr, &Entry> = BTreeMap::new();
    for entry in list.entries.iter().filter(|entry| entry.state == State::Ready) {
        let Some(address) = entry.address else { continue };
        let known = latest.entry(address).or_insert(entry);
        if entry.started_ms > known.started_ms {
            *known = entry;
        }
    }
    latest
}

impl Dispatcher {
    /// The ids whose address another process has by this list, although nothing has been told of their end: what is sent there
    /// would reach the other process.
    fn displaced(&self, list: &List) -> Vec<Rc<str>> {
        let latest = latest_by_address(list);
        let is_displaced = |entry: &Entry| {
            let at = entry.address.and_then(|address| latest.get(&address));
            at.is_some_and(|at| at.id != entry.id && entry.started_ms < at.started_ms)
        };
        let is_named = |id: &str| list.entries.iter().any(|entry| entry.id == id);
        let upstreams = self.upstreams.borrow();
        // The latest news counts, where it says no start and none of the other one.
        let is_replaced = |known: &Entry| {
            let at = known.address.and_then(|address| latest.get(&address));
            at.is_some_and(|at| {
                at.id != known.id && (at.started_ms == 0 || known.started_ms <= at.started_ms)
            })
        };
        let known = upstreams.iter().filter(|(id, (known, _))| is_replaced(known) && !is_named(id));
        let named = list.entries.iter().filter(|entry| entry.state == State::Ready && is_displaced(entry));
        known.map(|(id, _)| Rc::clone(id)).chain(named.map(|entry| Rc::from(entry.id.as_str()))).collect()
    }

    /// Applies a list of upstreams. `fresh` is false for a list taken over from before the start, not from discovery.
    pub fn apply_list(self: &Rc<Self>, list: &List, fresh: bool) {
        self.discovery_answered.set(self.discovery_answered.get() || fresh);
        let displaced = self.displaced(list);
        for id in &displaced {
            tracing::info!("upstream {id}: another process has its address");
        }
        let is_displaced = |entry: &Entry| displaced.iter().any(|id| **id == *entry.id);
        {
            let mut upstreams = self.upstreams.borrow_mut();
            displaced.iter().for_each(|id| _ = upstreams.remove(id));
            if list.full {
                upstreams.retain(|id, _| list.entries.iter().any(|e| e.id == **id));
            }
            for entry in list.entries.iter().filter(|entry| !is_displaced(entry)) {
                let id = entry.id.as_str();
                let Some(address) = entry.address.filter(|_| entry.state == State::Ready) else {
                    upstreams.remove(id);
                    continue;
                };
                // Connections are not reused for an upstream that has restarted or moved.
                let unchanged = upstreams.remove(id).filter(|(before, client)| {
                    before.started_ms == entry.started_ms && client.address == address
                });
                let client =
                    unchanged.map_or_else(|| Rc::new(self.client.upstream(address)), |(_, client)| client);
                upstreams.insert(Rc::from(id), (entry.clone(), client));
            }
        }
        self.cancel_attempts_to_removed_upstreams();
        self.decide(None, |b, now| {
            b.snapshot_started(now, list.full);
            displaced.iter().for_each(|id| b.upstream_removed(id));
            for entry in &list.entries {
                match entry.state {
                    State::Ready if is_displaced(entry) => {}
                    State::Ready => {
                        b.upstream_ready(
                            &entry.id,
                            &entry.zone,
                            &entry.cell,
                            &entry.kind,
                            entry.started_ms * 10,
                        );
                    }
                    State::Draining => b.upstream_draining(&entry.id),
                    State::Removed => b.upstream_removed(&entry.id),
                }
            }
            b.snapshot_completed(fresh);
        });
    }

    pub fn list_failed(self: &Rc<Self>) {
        self.decide(None, |b, now| b.watch_failed(now));
    }
}
