//! Puts the layers together and runs them on one thread.

use super::configuration::ConfigurationTask;
use super::descriptor_quota::DescriptorQuota;
use super::instance::{bad_setting, Instance};
use super::reload::ActiveConfiguration;
use super::running::{asks, WAITING};
use super::upgrade::{self, Predecessor};
use super::{configuration, fleet, ops, reload, shutdown};
use crate::protocol::handover::Known;
use crate::routing::phase::Closing;
use crate::routing::switchboard::Switchboard;
use crate::routing::take_in;
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
use tokio::net::TcpSocket;

pub use super::running::RunningInstance;

/// How often connections are looked over: their times are to a tenth.
const SWEEP: Duration = Duration::from_millis(200);

/// Serves until told to stop; `path` is the file that the station was read from.
pub fn serve(station: Instance, path: &Path) -> Result<(), String> {
    station.check()?;
    let runtime = actix_rt::Runtime::new().map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(async {
        // Both before all else: a signal that comes early is kept, and ends nothing.
        let (again, stop) = (reload::signals()?, shutdown::signals()?);
        let StartedInstance { running, in_force, followed, handed_over } = begin(station, path).await?;
        let taken = || followed.iter().for_each(|followed| followed.retry());
        let mut stop = pin!(stop);
        let stop = select(&mut stop, handed_over);
        // What is read again while the program stops would change nothing any more.
        let ended = match select(pin!(reload::follow(again, &running, &in_force, taken)), stop).await {
            Either::Left(((), stop)) => stop.await,
            Either::Right((ended, _)) => ended,
        };
        if let Either::Right((Ok(Err(why)), _)) = ended {
            return Err(why);
        }
        shutdown::leave(&running.board, &running.server).await;
        tracing::info!("all is answered, ending");
        Ok(())
    })
}

/// A balancer that has begun: all that a process of it is, but for the signals that it is told by.
pub struct StartedInstance {
    pub running: Rc<RunningInstance>,
    pub in_force: Rc<ActiveConfiguration>,
    pub followed: Option<Rc<ConfigurationTask>>,
    /// Ends once a successor serves. It goes on while the program stops: a successor may still be told what is left to it.
    pub handed_over: JoinHandle<Result<(), String>>,
}

/// Begins a balancer on the running thread, in the place of the process that is there, if there is one.
pub async fn begin(station: Instance, path: &Path) -> Result<StartedInstance, String> {
    let in_force = Rc::new(ActiveConfiguration::new(path, station.clone())?);
    let followed = configuration::begin(&station, |parts| in_force.begin_with(parts))?;
    let station = in_force.station();
    let before = upgrade::look(&station.name, station.listen).await?;
    let (running, before) = start_after(station, before, followed.clone()).await?;
    let running = Rc::new(running);
    if let Some(followed) = &followed {
        let (board, on, in_force) = (Rc::clone(&running.board), Rc::clone(&running), Rc::clone(&in_force));
        let lay = move |parts| in_force.lay_over(&on, parts);
        actix_rt::spawn(Rc::clone(followed).follow(board, lay));
    }
    let handed_over = actix_rt::spawn(upgrade::follow(Rc::clone(&running), before, followed.clone()));
    Ok(StartedInstance { running, in_force, followed, handed_over })
}

/// A socket that nobody can connect to yet. Another process may come to this address as well, where handing the socket
/// over fails.
fn bind(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Not where the machine finds a port: it would find one that another process has.
    if let Err(why) = socket.set_reuseport(at.port() != 0) {
        tracing::debug!("no second process can listen at {at}: {why}");
    }
    socket.bind(at)?;
    Ok(socket)
}

/// How many descriptors this process may hold. Guards against callers, who get a part of what the file says, that take all
/// that the machine grants.
fn granted(said: usize) -> usize {
    let most = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |most| most as usize);
    if most < said {
        tracing::warn!("limits.sockets says {said}, the machine grants {most}");
    }
    said.min(most)
}

/// Starts a balancer on the running thread, the only process of it.
pub async fn start(station: Instance) -> Result<RunningInstance, String> {
    start_after(station, Predecessor::Nobody, None).await.map(|(running, _)| running)
}

/// The same, in the place of the process that was there before. One that goes by the fleet's configuration is not to
/// serve before it is told to begin.
pub async fn start_after(
    mut station: Instance,
    mut before: Predecessor,
    followed: Option<Rc<ConfigurationTask>>,
) -> Result<(RunningInstance, Predecessor), String> {
    let mut share = DescriptorQuota::new(granted(station.descriptors), station.ops.is_some());
    if let Predecessor::Serving(other) = &before {
        share.part = other.descriptors.min(share.whole);
    }
    let (callers, upstreams) = share.connections();
    let board = Switchboard::new(&station.terms, station.seed, upstreams, share.memory(station.memory))
        .map_err(|bad| bad_setting(&bad))?;
    let serves = matches!(before, Predecessor::Nobody) && followed.is_none();
    if !serves {
        board.phase_change(|phase, _| phase.wait());
    }
    if let Predecessor::Unknown = &before {
        // All there is, at once: a call for what is newer waits until there is something.
        station.since = None;
    }
    // What the other process was told last is newer than what this one's file says. One that knows nobody and was told
    // nothing has nothing newer to say.
    let told_nothing = |list: &Known| list.since.is_none() && list.upstreams.is_empty();
    if let Some(other) = before.serving().filter(|other| !told_nothing(&other.list)) {
        station.since = other.list.since.filter(|_| other.list.discovery == station.discovery);
        station.known = Some(other.list.list());
    }
    if let Some(known) = &station.known {
        board.take_list(known, false);
    }
    let trouble = |e| format!("listen on {}: {e}", station.listen);
    let given = match &mut before {
        Predecessor::Serving(other) => other.listener.take(),
        _ => None,
    };
    // Beside a process that may serve, nobody is to come to this one's queue before it is served from: a share of that
    // one's callers would wait there unread.
    let (listener, bound) = match (given, &before) {
        (Some(listener), _) => (Some(listener), None),
        (None, Predecessor::Unknown) => (None, Some(bind(station.listen).map_err(trouble)?)),
        (None, _) => (Some(bind(station.listen).and_then(|s| s.listen(WAITING)).map_err(trouble)?), None),
    };
    let address = match (&listener, &bound) {
        (Some(listener), _) => listener.local_addr(),
        (None, Some(bound)) => bound.local_addr(),
        (None, None) => Ok(station.listen),
    };
    let address = address.map_err(trouble)?;
    let server = Server::new(listener, callers);
    let door = match station.ops {
        Some(at) => Some(ops::open(at, &board, &server).await?),
        None => None,
    };
    server.set_accepting(serves);
    actix_rt::spawn(Rc::clone(&board).keep_time());
    let (swept, visited) = (Rc::clone(&board), Rc::clone(&server));
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(SWEEP).await;
            swept.client.sweep();
            visited.sweep(swept.closing() >= Closing::Idle);
        }
    });
    let handled = Rc::clone(&board);
    let handle = move |message, visit| take_in::handle(Rc::clone(&handled), message, visit);
    actix_rt::spawn(Rc::clone(&server).run(handle));
    if let Some(door) = door {
        tracing::info!("operators are answered on {door}");
    }
    let running = RunningInstance {
        board,
        server,
        address,
        door,
        bound: Cell::new(bound),
        name: station.name.clone(),
        listen: station.listen,
        share: Cell::new(share),
        memory: station.memory,
        discovery: Cell::new(station.discovery),
        asks: Cell::new(asks(&station.terms)),
        watch: RefCell::default(),
        part: RefCell::default(),
    };
    running.watch(station.discovery, station.since);
    if let Some(fleet) = &station.fleet {
        let handed = match &mut before {
            Predecessor::Serving(other) => other.member.take(),
            _ => None,
        };
        let place = running.meeting()?.with_extension("member");
        let (board, terms) = (Rc::clone(&running.board), &station.terms);
        let part = fleet::join(board, &running.name, place, fleet, terms, handed, followed);
        running.part.replace(Some(part));
    }
    if serves {
        running.say_serving();
    }
    Ok((running, before))
}
