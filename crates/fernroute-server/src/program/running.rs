//! A running balancer, with the operations that the program's tasks perform on it: changing its settings, its discovery and
//! its quota, and starting to serve.

use super::descriptor_quota::DescriptorQuota;
use super::fleet::FleetMember;
use super::instance::SettingError;
use super::memory_quota::MemoryQuota;
use super::process_memory;
use super::start_error::StartError;
use crate::protocol::handover::HandoverList;
use crate::routing::dispatcher::Dispatcher;
use crate::transport::discovery::DiscoveryWatch;
use crate::transport::handover;
use crate::transport::server::Server;
use actix_rt::task::JoinHandle;
use fernroute::Settings;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpSocket;

/// How many connections may wait to be accepted; a common limit of the system.
pub(super) const LISTEN_BACKLOG: u32 = 1024;

/// A running balancer. It is *waiting* or *serving* after its start; [`RunningInstance::start_serving`] moves it to *serving*.
pub struct RunningInstance {
    /// The open RPCs and the decisions.
    pub dispatcher: Rc<Dispatcher>,
    /// The callers' connections.
    pub server: Rc<Server>,
    /// The address for callers, with the actual port.
    pub address: SocketAddr,
    /// The address for operators, if there is one.
    pub ops_address: Option<SocketAddr>,
    /// The socket for callers while it is bound but does not listen. Taken by [`RunningInstance::start_serving`].
    pub(super) bound_socket: Cell<Option<TcpSocket>>,
    pub(super) name: String,
    /// The address in the file, whose port may be 0.
    pub(super) listen: SocketAddr,
    /// Written through [`RunningInstance::update_quota`].
    pub(super) quota: Cell<DescriptorQuota>,
    /// Written through [`RunningInstance::update_memory_quota`].
    pub(super) memory_quota: Cell<MemoryQuota>,
    /// The address of discovery. Written when a watch starts.
    pub(super) discovery: Cell<SocketAddr>,
    /// Whether the decisions start each poll of the endpoint list. Written with new settings.
    pub(super) decisions_start_polls: Cell<bool>,
    /// The task that watches the endpoint list. Replaced with each change of discovery.
    pub(super) endpoint_watch: RefCell<Option<JoinHandle<()>>>,
    /// The membership of a fleet, if any. Set once at the start.
    pub(super) fleet_member: RefCell<Option<Rc<FleetMember>>>,
}

impl RunningInstance {
    /// Watches the endpoint list at this address instead of the current one. The balancer keeps its list until the new one
    /// arrives.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        // Versions are specific to one discovery, so the whole list is requested from the new one, at once.
        self.dispatcher.watch_wanted.notify_one();
        self.watch_endpoints(discovery, None);
    }

    /// Adopts all new settings, or none. Connections, circuit breakers and open RPCs are kept.
    ///
    /// # Errors
    /// The setting that the decisions reject.
    pub fn update_settings(&self, settings: &Settings) -> Result<(), SettingError> {
        self.dispatcher.update_settings(settings).map_err(SettingError)?;
        if let Some(member) = self.fleet_member() {
            member.set_tenants(settings);
        }
        let decisions_start_polls = decisions_start_polls(settings);
        if self.decisions_start_polls.replace(decisions_start_polls) != decisions_start_polls {
            self.set_discovery(self.discovery.get());
        }
        Ok(())
    }

    /// Replaces the task that watches the endpoint list, beginning after this version of the list.
    pub(super) fn watch_endpoints(&self, discovery: SocketAddr, version: Option<u64>) {
        self.discovery.set(discovery);
        self.dispatcher.list_version.set(version);
        let dispatcher = Rc::clone(&self.dispatcher);
        let poll_signal = self.decisions_start_polls.get().then(|| Rc::clone(&self.dispatcher.watch_wanted));
        let watch = DiscoveryWatch::new(discovery).run(version, poll_signal, move |event| match event {
            Some(list) => {
                dispatcher.list_version.set(Some(list.version));
                dispatcher.apply_list(&list, true);
            }
            None => dispatcher.list_failed(),
        });
        if let Some(previous) = self.endpoint_watch.replace(Some(actix_rt::spawn(watch))) {
            previous.abort();
        }
    }

    /// Starts to serve callers.
    ///
    /// # Errors
    /// When listening for callers fails.
    pub fn start_serving(&self) -> Result<(), StartError> {
        if let Some(socket) = self.bound_socket.take() {
            let listener = socket.listen(LISTEN_BACKLOG);
            let address = self.address;
            self.server.listen(listener.map_err(|source| StartError::Listen { address, source })?);
        }
        self.dispatcher.update_phase(|phase, _| phase.start_serving());
        self.server.set_accepting(true);
        self.log_serving();
        Ok(())
    }

    pub(super) fn log_serving(&self) {
        let upstreams = self.dispatcher.upstreams.borrow().len();
        tracing::info!("serving on {}, {upstreams} upstreams known", self.address);
    }

    /// The membership of a fleet, if any.
    pub fn fleet_member(&self) -> Option<Rc<FleetMember>> {
        self.fleet_member.borrow().clone()
    }

    /// The path of the handover socket, to which a successor process connects.
    ///
    /// # Errors
    /// When there is no valid path.
    pub fn handover_path(&self) -> Result<PathBuf, StartError> {
        handover::socket_path(&self.name, self.listen).map_err(StartError::HandoverPath)
    }

    /// The current endpoint list of this process.
    pub fn endpoint_list(&self) -> HandoverList {
        let upstreams = self.dispatcher.upstreams.borrow();
        HandoverList::of(
            self.discovery.get(),
            self.dispatcher.list_version.get(),
            upstreams.values().map(|(entry, _)| entry),
        )
    }

    /// The number of open connections to callers and upstreams.
    pub fn connections(&self) -> usize {
        self.server.connections() + self.dispatcher.client.connections()
    }

    /// The descriptor quota of this process.
    pub fn quota(&self) -> DescriptorQuota {
        self.quota.get()
    }

    /// Changes the descriptor quota of this process; idle connections beyond the new quota are closed.
    pub fn update_quota(&self, change: impl FnOnce(&mut DescriptorQuota)) {
        let mut quota = self.quota.get();
        change(&mut quota);
        self.quota.set(quota);
        self.apply_quotas();
    }

    /// The memory quota of this process.
    pub fn memory_quota(&self) -> MemoryQuota {
        self.memory_quota.get()
    }

    /// Changes the memory quota of this process. What messages hold beyond it is kept until they end.
    pub fn update_memory_quota(&self, change: impl FnOnce(&mut MemoryQuota)) {
        let mut quota = self.memory_quota.get();
        change(&mut quota);
        self.memory_quota.set(quota);
        self.apply_quotas();
    }

    fn apply_quotas(&self) {
        let message_limit = self.memory_quota.get().message_limit();
        let limits = self.quota.get().connection_limits_within(message_limit);
        self.server.set_max_connections(limits.callers);
        self.dispatcher.client.set_max_connections(limits.upstreams);
        self.dispatcher.windows.budget().set_limits(message_limit, limits.callers);
    }

    /// What this process has resident, in bytes; where the system does not tell, what it may have at the most.
    pub fn resident_bytes(&self) -> usize {
        let estimate = || self.memory_quota.get().program() + self.dispatcher.windows.budget().peak();
        process_memory::resident_bytes().unwrap_or_else(estimate)
    }
}

/// Whether the decisions start each poll of the endpoint list; otherwise the watch polls by itself.
pub(super) fn decisions_start_polls(settings: &Settings) -> bool {
    settings.get("list_mode").is_some_and(|mode| mode == "ask")
}
