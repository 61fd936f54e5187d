//! Assembles a balancer and runs it on one thread.
//!
//! After its start, a process is *waiting* if another process may serve, or if it follows the fleet's configuration; otherwise
//! it is *serving* at once. The task of [`super::upgrade`] moves it from *waiting* to *serving*, and to *handing over* when a
//! successor becomes ready. SIGTERM moves it to *draining* ([`super::shutdown`]), which lasts until the program ends.

use super::configuration::{self, ConfigurationTask};
use super::descriptor_quota::{ConnectionLimits, DescriptorQuota};
use super::fleet::{self, MembershipOptions};
use super::instance::{InstanceConfig, SettingError};
use super::memory_quota::MemoryQuota;
use super::predecessor::{self, Predecessor};
use super::process_memory;
use super::reload::{self, ActiveConfiguration};
use super::running::{decisions_start_polls, LISTEN_BACKLOG};
use super::{ops, shutdown, upgrade};
use crate::memory::budget::MemoryBudget;
use crate::protocol::handover::HandoverList;
use crate::routing::dispatcher::Dispatcher;
use crate::routing::phase::Closing;
use crate::routing::receive;
use crate::transport::server::Server;
use actix_rt::task::JoinHandle;
use futures_util::future::{select, Either};
use rustix::process::{getrlimit, Resource};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

pub use super::running::RunningInstance;
pub use super::start_error::StartError;

/// How often the time-outs of connections are checked, which are exact to a tenth.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Serves until the program is stopped by a signal, or a successor has taken over. `path` is the file from which `instance`
/// was read.
///
/// # Errors
/// When the balancer can't start, or callers can't connect to it.
pub fn serve(instance: InstanceConfig, path: &Path) -> Result<(), StartError> {
    instance.check()?;
    let runtime = actix_rt::Runtime::new().map_err(StartError::Runtime)?;
    runtime.block_on(run(instance, path))
}

async fn run(instance: InstanceConfig, path: &Path) -> Result<(), StartError> {
    // Installed first, so that an early signal does not end the program.
    let reload_signals = reload::signals()?;
    let stop_signals = shutdown::signals()?;
    let StartedInstance { running, active, configuration, handed_over } =
        start_or_take_over(instance, path).await?;
    let on_reload = || {
        if let Some(configuration) = &configuration {
            configuration.retry_rejected();
        }
    };
    let mut stop_signals = pin!(stop_signals);
    let end = select(&mut stop_signals, handed_over);
    let reloads = pin!(reload::reload_on_signal(reload_signals, &running, &active, on_reload));
    // No reloads during the shutdown: they would have no effect.
    let end = match select(reloads, end).await {
        Either::Left(((), end)) => end.await,
        Either::Right((end, _)) => end,
    };
    if let Either::Right((Ok(Err(error)), _)) = end {
        return Err(error);
    }
    shutdown::shut_down(&running.dispatcher, &running.server).await;
    tracing::info!("all requests are answered, exiting");
    Ok(())
}

/// A balancer with all tasks of its process, except those that handle signals.
pub struct StartedInstance {
    /// The balancer.
    pub running: Rc<RunningInstance>,
    /// The active configuration.
    pub active: Rc<ActiveConfiguration>,
    /// The follower of the fleet's configuration, where there is one.
    pub configuration: Option<Rc<ConfigurationTask>>,
    /// Ends once a successor has taken over. It continues during the shutdown, to report free descriptors to a successor.
    pub handed_over: JoinHandle<Result<(), StartError>>,
}

/// Starts a balancer on the current thread, and takes over from a process that serves at its address, if there is one.
///
/// # Errors
/// When the balancer can't start.
pub async fn start_or_take_over(
    instance: InstanceConfig,
    path: &Path,
) -> Result<StartedInstance, StartError> {
    let active = Rc::new(ActiveConfiguration::new(path, instance.clone())?);
    let configuration = configuration::restore(&instance, |layers| active.apply_initial_layers(layers))?;
    let instance = active.instance();
    let mut predecessor = predecessor::find(&instance.name, instance.listen).await?;
    let running = Rc::new(start_after(&mut predecessor, instance, configuration.clone()).await?);
    if let Some(configuration) = &configuration {
        let dispatcher = Rc::clone(&running.dispatcher);
        let (target, active) = (Rc::clone(&running), Rc::clone(&active));
        let apply = move |layers| active.apply_layers(&target, layers);
        actix_rt::spawn(Rc::clone(configuration).run(dispatcher, apply));
    }
    let handed_over = upgrade::run(Rc::clone(&running), predecessor, configuration.clone());
    let handed_over = actix_rt::spawn(handed_over);
    Ok(StartedInstance { running, active, configuration, handed_over })
}

/// Starts a balancer on the current thread, without looking for a predecessor.
///
/// # Errors
/// When the balancer can't start.
pub async fn start(instance: InstanceConfig) -> Result<RunningInstance, StartError> {
    start_after(&mut Predecessor::Absent, instance, None).await
}

/// Starts a balancer with what `predecessor` handed over, which is moved out of it. A balancer that follows the fleet's
/// configuration stays *waiting*.
async fn start_after(
    predecessor: &mut Predecessor,
    mut instance: InstanceConfig,
    configuration: Option<Rc<ConfigurationTask>>,
) -> Result<RunningInstance, StartError> {
    let serves_at_once = matches!(predecessor, Predecessor::Absent) && configuration.is_none();
    let quotas = initial_quotas(&instance, predecessor);
    let dispatcher = new_dispatcher(&instance, &quotas)?;
    if !serves_at_once {
        dispatcher.update_phase(|phase, _| phase.start_waiting());
    }
    adopt_endpoint_list(&mut instance, predecessor);
    if let Some(list) = &instance.endpoint_list {
        dispatcher.apply_list(list, false);
    }
    let running = open_sockets(&instance, predecessor, dispatcher, &quotas).await?;
    running.server.set_accepting(serves_at_once);
    spawn_tasks(&running.dispatcher, &running.server);
    if let Some(ops_address) = running.ops_address {
        tracing::info!("operators are answered on {ops_address}");
    }
    running.watch_endpoints(instance.discovery, instance.list_version);
    join_fleet(&running, &instance, predecessor, configuration)?;
    let program = running.resident_bytes();
    running.update_memory_quota(|quota| quota.set_program(program));
    if serves_at_once {
        running.log_serving();
    }
    Ok(running)
}

/// Opens the sockets for callers and operators. Operators are served from here on; callers are accepted later, by the
/// server's task.
async fn open_sockets(
    instance: &InstanceConfig,
    predecessor: &mut Predecessor,
    dispatcher: Rc<Dispatcher>,
    quotas: &Quotas,
) -> Result<RunningInstance, StartError> {
    let listen_error = |source| StartError::Listen { address: instance.listen, source };
    let socket = open_caller_socket(instance.listen, predecessor).map_err(listen_error)?;
    let address = socket.local_addr().map_err(listen_error)?;
    let (listener, bound_socket) = match socket {
        CallerSocket::Listening(listener) => (Some(listener), None),
        CallerSocket::Bound(bound) => (None, Some(bound)),
    };
    let memory = dispatcher.windows.budget();
    let limits = quotas.connection_limits();
    let server = Server::new(listener, limits.callers, memory);
    let ops_address = match instance.ops {
        Some(address) => Some(ops::open(address, &dispatcher, &server).await?),
        None => None,
    };
    Ok(RunningInstance {
        dispatcher,
        server,
        address,
        ops_address,
        bound_socket: Cell::new(bound_socket),
        name: instance.name.clone(),
        listen: instance.listen,
        quota: Cell::new(quotas.descriptors),
        memory_quota: Cell::new(quotas.memory),
        discovery: Cell::new(instance.discovery),
        decisions_start_polls: Cell::new(decisions_start_polls(&instance.settings)),
        endpoint_watch: RefCell::default(),
        fleet_member: RefCell::default(),
    })
}

/// What a process may use at its start.
struct Quotas {
    descriptors: DescriptorQuota,
    memory: MemoryQuota,
}

impl Quotas {
    fn connection_limits(&self) -> ConnectionLimits {
        self.descriptors.connection_limits_within(self.memory.message_limit())
    }
}

/// The quotas at the start: all that the file and the system allow, or what a predecessor leaves.
fn initial_quotas(instance: &InstanceConfig, predecessor: &Predecessor) -> Quotas {
    let mut descriptors =
        DescriptorQuota::new(allowed_descriptors(instance.descriptors), instance.ops.is_some());
    let mut memory = MemoryQuota::new(instance.memory_bytes);
    if let Some(serving) = predecessor.serving() {
        descriptors.assigned = serving.descriptors.min(descriptors.total);
        memory.set_told(serving.memory, descriptors.memory(memory.total()));
        memory.set_program(process_memory::resident_bytes().unwrap_or(0));
    }
    Quotas { descriptors, memory }
}

/// How many descriptors this process may have open: the configured number, limited to what the system allows. Otherwise the
/// callers' part could use up all that the system allows.
fn allowed_descriptors(configured: usize) -> usize {
    let system_limit = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    if system_limit < configured {
        tracing::warn!("limits.sockets is {configured}, but the system allows {system_limit}");
    }
    configured.min(system_limit)
}

fn new_dispatcher(instance: &InstanceConfig, quotas: &Quotas) -> Result<Rc<Dispatcher>, SettingError> {
    let limits = quotas.connection_limits();
    let memory = MemoryBudget::new(instance.memory_bytes, limits.callers);
    memory.set_limits(quotas.memory.message_limit(), limits.callers);
    Dispatcher::new(&instance.settings, instance.seed, limits.upstreams, memory).map_err(SettingError)
}

/// Replaces the file's endpoint list with the predecessor's, which is newer, unless the predecessor never received one.
fn adopt_endpoint_list(instance: &mut InstanceConfig, predecessor: &Predecessor) {
    if let Predecessor::Unresponsive = predecessor {
        // Requests the whole list, since a request for changes would wait for the next change.
        instance.list_version = None;
    }
    let never_received = |list: &HandoverList| list.since.is_none() && list.upstreams.is_empty();
    let Some(serving) = predecessor.serving().filter(|serving| !never_received(&serving.list)) else {
        return;
    };
    let list = &serving.list;
    instance.list_version = list.since.filter(|_| list.discovery == instance.discovery);
    instance.endpoint_list = Some(list.list());
}

/// The socket for callers.
enum CallerSocket {
    /// It listens: callers can connect.
    Listening(TcpListener),
    /// It does not listen yet: nobody can connect.
    Bound(TcpSocket),
}

impl CallerSocket {
    fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            CallerSocket::Listening(listener) => listener.local_addr(),
            CallerSocket::Bound(socket) => socket.local_addr(),
        }
    }
}

/// Takes the predecessor's socket if there is one, else opens a new one. The new one does not listen yet where another
/// process may serve, whose callers would otherwise wait in a queue that nobody accepts from.
fn open_caller_socket(listen: SocketAddr, predecessor: &mut Predecessor) -> io::Result<CallerSocket> {
    if let Some(listener) = predecessor.serving_mut().and_then(|serving| serving.listener.take()) {
        return Ok(CallerSocket::Listening(listener));
    }
    let socket = bind(listen)?;
    if let Predecessor::Unresponsive = predecessor {
        return Ok(CallerSocket::Bound(socket));
    }
    Ok(CallerSocket::Listening(socket.listen(LISTEN_BACKLOG)?))
}

/// Binds a socket without listening. Another process may bind the same address, in case the handover of the socket fails.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Not for port 0, where the system could choose a port of another process.
    if let Err(error) = socket.set_reuseport(address.port() != 0) {
        tracing::debug!("no second process can listen at {address}: {error}");
    }
    socket.bind(address)?;
    Ok(socket)
}

/// Starts the timers, the sweep of connections and the callers' server.
fn spawn_tasks(dispatcher: &Rc<Dispatcher>, server: &Rc<Server>) {
    actix_rt::spawn(Rc::clone(dispatcher).run_timers());
    actix_rt::spawn(sweep_connections(Rc::clone(dispatcher), Rc::clone(server)));
    let handler_dispatcher = Rc::clone(dispatcher);
    let handle =
        move |message, connection| receive::handle(Rc::clone(&handler_dispatcher), message, connection);
    actix_rt::spawn(Rc::clone(server).run(handle));
}

async fn sweep_connections(dispatcher: Rc<Dispatcher>, server: Rc<Server>) {
    loop {
        actix_rt::time::sleep(SWEEP_INTERVAL).await;
        dispatcher.client.sweep();
        server.sweep(dispatcher.closing() >= Closing::Idle);
    }
}

fn join_fleet(
    running: &RunningInstance,
    instance: &InstanceConfig,
    predecessor: &mut Predecessor,
    configuration: Option<Rc<ConfigurationTask>>,
) -> Result<(), StartError> {
    let Some(fleet) = &instance.fleet else { return Ok(()) };
    let membership = MembershipOptions {
        name: &running.name,
        identity_path: running.handover_path()?.with_extension("member"),
        fleet,
        settings: &instance.settings,
        received: predecessor.serving_mut().and_then(|serving| serving.member.take()),
        configuration,
    };
    let member = fleet::join(Rc::clone(&running.dispatcher), membership);
    running.fleet_member.replace(Some(member));
    Ok(())
}
