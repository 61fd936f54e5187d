//! Puts the layers together and runs them on one thread.

use super::fleet::Part;
use super::share::Share;
use super::station::{bad_setting, Station};
use super::upgrade::{self, Before};
use super::{fleet, ops, reload, shutdown};
use crate::protocol::handover::Known;
use crate::routing::phase::Closing;
use crate::routing::switchboard::Switchboard;
use crate::routing::take_in;
use crate::transport::discovery::Watch;
use crate::transport::handover;
use crate::transport::server::Server;
use actix_rt::task::JoinHandle;
use fernroute::Terms;
use futures_util::future::{select, Either};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpSocket;

/// How often connections are looked over: their times are to a tenth.
const SWEEP: Duration = Duration::from_millis(200);

/// Serves until told to stop; `path` is the file that the station was read from.
pub fn serve(station: Station, path: &Path) -> Result<(), String> {
    station.check()?;
    let runtime = actix_rt::Runtime::new().map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(async {
        // Both before all else: a signal that comes early is kept, and ends nothing.
        let (again, stop) = (reload::signals()?, shutdown::signals()?);
        let before = upgrade::look(&station.name, station.listen).await?;
        let running = Rc::new(start_after(station.clone(), before).await?);
        // Goes on while the program stops: a successor may still be told what is left to it.
        let handed_over = actix_rt::spawn(upgrade::follow(Rc::clone(&running)));
        let mut stop = pin!(stop);
        let stop = select(&mut stop, handed_over);
        // What is read again while the program stops would change nothing any more.
        let ended = match select(pin!(reload::follow(again, path, &running, station)), stop).await {
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

/// A balancer that serves.
pub struct Running {
    pub board: Rc<Switchboard>,
    pub server: Rc<Server>,
    pub address: SocketAddr,
    /// Where operators are answered, if anywhere.
    pub door: Option<SocketAddr>,
    /// The process that serves callers until this one does, and hands them over, if there is one.
    pub before: RefCell<Before>,
    /// What callers are to come to once this process begins.
    bound: Cell<Option<TcpSocket>>,
    name: String,
    listen: SocketAddr,
    share: Cell<Share>,
    memory: usize,
    discovery: Cell<SocketAddr>,
    /// Where each watch waits for the decisions to ask.
    asks: Cell<bool>,
    watch: RefCell<Option<JoinHandle<()>>>,
    /// Its part in a fleet, if it is of one.
    part: RefCell<Option<Rc<Part>>>,
}

impl Running {
    /// Watches the list here from now on, and nowhere else. The balancer serves on what it has until then.
    pub fn turn_to(&self, discovery: SocketAddr) {
        // Its versions are its own, so it is asked for all there is, and at once.
        self.board.follow.notify_one();
        self.watch(discovery, None);
    }

    /// New terms from now on, whole or not at all; connections, breakers and what is open stay.
    pub fn new_terms(&self, terms: &Terms) -> Result<(), String> {
        self.board.new_terms(terms).map_err(|bad| bad_setting(&bad))?;
        if self.asks.replace(asks(terms)) != asks(terms) {
            self.turn_to(self.discovery.get());
        }
        Ok(())
    }

    fn watch(&self, discovery: SocketAddr, version: Option<u64>) {
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

    fn say_serving(&self) {
        tracing::info!("serving on {}, {} upstreams known", self.address, self.board.lines.borrow().len());
    }

    /// Tells its part in a fleet what becomes of this process, where it has one.
    pub fn part(&self, tell: impl FnOnce(&Part)) {
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
        let lines = self.board.lines.borrow();
        Known::of(self.discovery.get(), self.board.since.get(), lines.values().map(|(entry, _)| entry))
    }

    pub fn connections(&self) -> usize {
        self.server.connections() + self.board.client.connections()
    }

    pub fn share(&self) -> Share {
        self.share.get()
    }

    /// Changes what this process may hold; who is idle beyond that goes.
    pub fn set_share(&self, change: impl FnOnce(&mut Share)) {
        let mut share = self.share.get();
        change(&mut share);
        self.share.set(share);
        let (callers, upstreams) = share.connections();
        self.server.set_most(callers);
        self.board.client.set_most(upstreams);
        self.board.windows.set_memory(share.memory(self.memory));
    }
}

fn asks(terms: &Terms) -> bool {
    terms.get("list_mode").is_some_and(|mode| mode == "ask")
}

/// As many as the machine lets wait by default.
const WAITING: u32 = 1024;

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

/// Starts a balancer on the running thread, the only process of it.
pub async fn start(station: Station) -> Result<Running, String> {
    start_after(station, Before::Nobody).await
}

/// The same, in the place of the process that was there before.
pub async fn start_after(mut station: Station, mut before: Before) -> Result<Running, String> {
    let mut share = Share::new(station.descriptors, station.ops.is_some());
    if let Before::Serving(other) = &before {
        share.part = other.descriptors;
    }
    let (callers, upstreams) = share.connections();
    let board = Switchboard::new(&station.terms, station.seed, upstreams, share.memory(station.memory))
        .map_err(|bad| bad_setting(&bad))?;
    if !matches!(before, Before::Nobody) {
        board.phase_change(|phase, _| phase.wait());
    }
    if let Before::Unknown = &before {
        // All there is, at once: a call for what is newer waits until there is something.
        station.since = None;
    }
    if let Before::Serving(other) = &before {
        // What the other process was told last is newer than what this one's file says.
        station.since = other.list.since.filter(|_| other.list.discovery == station.discovery);
        station.known = Some(other.list.list());
    }
    if let Some(known) = &station.known {
        board.take_list(known, false);
    }
    let trouble = |e| format!("listen on {}: {e}", station.listen);
    let given = match &mut before {
        Before::Serving(other) => other.listener.take(),
        _ => None,
    };
    // Beside a process that may serve, nobody is to come to this one's queue before it is served from: a share of that
    // one's callers would wait there unread.
    let (listener, bound) = match (given, &before) {
        (Some(listener), _) => (Some(listener), None),
        (None, Before::Unknown) => (None, Some(bind(station.listen).map_err(trouble)?)),
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
    server.set_accepting(matches!(before, Before::Nobody));
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
    let serves = matches!(before, Before::Nobody);
    let running = Running {
        board,
        server,
        address,
        door,
        before: RefCell::new(before),
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
        let handed = match &mut *running.before.borrow_mut() {
            Before::Serving(other) => other.member.take(),
            _ => None,
        };
        let place = running.meeting()?.with_extension("member");
        let (board, terms) = (Rc::clone(&running.board), &station.terms);
        let part = fleet::join(board, &running.name, place, fleet, terms, handed);
        running.part.replace(Some(part));
    }
    if serves {
        running.say_serving();
    }
    Ok(running)
}
