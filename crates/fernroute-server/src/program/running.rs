//! A balancer that serves, and what its other parts may do to it while it runs.

use super::descriptor_quota::DescriptorQuota;
use super::fleet::FleetMember;
use super::instance::bad_setting;
use crate::protocol::handover::Known;
use crate::routing::switchboard::Switchboard;
use crate::transport::discovery::Watch;
use crate::transport::handover;
use crate::transport::server::Server;
use actix_rt::task::JoinHandle;
use fernroute::Settings;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpSocket;

/// As many as the machine lets wait by default.
pub(super) const WAITING: u32 = 1024;

/// A balancer that serves.
pub struct RunningInstance {
    pub board: Rc<Switchboard>,
    pub server: Rc<Server>,
    pub address: SocketAddr,
    /// Where operators are answered, if anywhere.
    pub door: Option<SocketAddr>,
    /// What callers are to come to once this process begins.
    pub(super) bound: Cell<Option<TcpSocket>>,
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) share: Cell<DescriptorQuota>,
    pub(super) memory: usize,
    pub(super) discovery: Cell<SocketAddr>,
    /// Where each watch waits for the decisions to ask.
    pub(super) asks: Cell<bool>,
    pub(super) watch: RefCell<Option<JoinHandle<()>>>,
    /// Its part in a fleet, if it is of one.
    pub(super) part: RefCell<Option<Rc<FleetMember>>>,
}

impl RunningInstance {
    /// Watches the list here from now on, and nowhere else. The balancer serves on what it has until then.
    pub fn turn_to(&self, discovery: SocketAddr) {
        // Its versions are its own, so it is asked for all there is, and at once.
        self.board.follow.notify_one();
        self.watch(discovery, None);
    }

    /// New terms from now on, whole or not at all; connections, breakers and what is open stay.
    pub fn new_terms(&self, terms: &Settings) -> Result<(), String> {
        self.board.new_terms(terms).map_err(|bad| bad_setting(&bad))?;
        self.part(|part| part.divide_by(terms));
        if self.asks.replace(asks(terms)) != asks(terms) {
            self.turn_to(self.discovery.get());
        }
        Ok(())
    }

    pub(super) fn watch(&self, discovery: SocketAddr, version: Option<u64>) {
        self.discovery.set(discovery);
        self.board.since.set(version);
        let told = Rc::clone(&self.board);
        let begin = self.asks.get().then(|| Rc::clone(&self.board.follow));
        let watch = Watch::new(discovery).run(version, begin, move |news| match news {
            Some(list) => {
                told.since.set(Some(list.version));
                told.take_list(&list, true);
            }
            None => told.list_failed(),
        });
        if let Some(old) = self.watch.replace(Some(actix_rt::spawn(watch))) {
            old.abort();
        }
    }

    /// Callers come here from now on; an error is the machine's word that they can't.
    pub fn begin(&self) -> Result<(), String> {
        if let Some(bound) = self.bound.take() {
            self.server
                .listen(bound.listen(WAITING).map_err(|e| format!("listen on {}: {e}", self.address))?);
        }
        self.board.phase_change(|phase, _| phase.begin());
        self.server.set_accepting(true);
        self.say_serving();
        Ok(())
    }

    pub(super) fn say_serving(&self) {
        tracing::info!(
            "serving on {}, {} upstreams known",
            self.address,
            self.board.upstreams.borrow().len()
        );
    }

    /// Tells its part in a fleet what becomes of this process, where it has one.
    pub fn part(&self, tell: impl FnOnce(&FleetMember)) {
        if let Some(part) = &*self.part.borrow() {
            tell(part);
        }
    }

    /// Where a successor comes to.
    pub fn meeting(&self) -> Result<PathBuf, String> {
        handover::path(&self.name, self.listen)
    }

    /// The list as this process has it.
    pub fn known(&self) -> Known {
        let upstreams = self.board.upstreams.borrow();
        Known::of(self.discovery.get(), self.board.since.get(), upstreams.values().map(|(entry, _)| entry))
    }

    pub fn connections(&self) -> usize {
        self.server.connections() + self.board.client.connections()
    }

    pub fn share(&self) -> DescriptorQuota {
        self.share.get()
    }

    /// Changes what this process may hold; who is idle beyond that goes.
    pub fn set_share(&self, change: impl FnOnce(&mut DescriptorQuota)) {
        let mut share = self.share.get();
        change(&mut share);
        self.share.set(share);
        let (callers, upstreams) = share.connections();
        self.server.set_most(callers);
        self.board.client.set_most(upstreams);
        self.board.windows.set_memory(share.memory(self.memory));
    }
}

pub(super) fn asks(terms: &Settings) -> bool {
    terms.get("list_mode").is_some_and(|mode| mode == "ask")
}
