//! Puts the layers together and runs them on one thread.

use super::station::Station;
use super::{ops, reload, shutdown};
use crate::routing::phase::Closing;
use crate::routing::switchboard::Switchboard;
use crate::routing::take_in;
use crate::transport::discovery::Watch;
use crate::transport::door;
use crate::transport::server::Server;
use actix_rt::task::JoinHandle;
use futures_util::future::{select, Either};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Descriptors for everything but callers and upstreams: standard streams, the listener, discovery, signals; and the
/// operators' door, if there is one.
const OWN_DESCRIPTORS: usize = 32;
const DOOR_DESCRIPTORS: usize = door::PLACES + 1;

/// How often connections are looked over: their times are to a tenth.
const SWEEP: Duration = Duration::from_millis(200);

/// Serves until told to stop; `path` is the file that the station was read from.
pub fn serve(station: Station, path: &Path) -> Result<(), String> {
    let runtime = actix_rt::Runtime::new().map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(async {
        // Both before all else: a signal that comes early is kept, and ends nothing.
        let (again, stop) = (reload::signals()?, shutdown::signals()?);
        let running = start(station.clone()).await?;
        // What is read again while the program stops would change nothing any more.
        match select(pin!(reload::follow(again, path, &running, station)), pin!(stop)).await {
            Either::Left(((), stop)) => stop.await,
            Either::Right(_) => {}
        }
        shutdown::leave(&running.board, &running.server).await;
        log::info!("all is answered, ending");
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
    /// Where each watch waits for the decisions to ask.
    asks: bool,
    watch: RefCell<Option<JoinHandle<()>>>,
}

impl Running {
    /// Watches the list here from now on, and nowhere else. The balancer serves on what it has until then.
    pub fn turn_to(&self, discovery: SocketAddr) {
        // Its versions are its own, so it is asked for all there is, and at once.
        self.board.follow.notify_one();
        self.watch(discovery, None);
    }

    fn watch(&self, discovery: SocketAddr, version: Option<u64>) {
        let told = Rc::clone(&self.board);
        let begin = self.asks.then(|| Rc::clone(&self.board.follow));
        let watch = Watch::new(discovery).run(version, begin, move |news| match news {
            Some(list) => told.take_list(&list, true),
            None => told.list_failed(),
        });
        if let Some(old) = self.watch.replace(Some(actix_rt::spawn(watch))) {
            old.abort();
        }
    }
}

/// Starts a balancer on the running thread.
pub async fn start(station: Station) -> Result<Running, String> {
    // An RPC holds one connection on each side, and callers keep theirs between RPCs: they get the larger part.
    let room = station.descriptors - OWN_DESCRIPTORS - station.ops.map_or(0, |_| DOOR_DESCRIPTORS);
    let (callers, upstreams) = (room * 3 / 5, room * 2 / 5);
    let board = Switchboard::new(&station.terms, station.seed, upstreams).map_err(|missing| {
        format!("settings: missing or unreadable {}", fernroute_terms::path(&missing.0))
    })?;
    if let Some(known) = &station.known {
        board.take_list(known, false);
    }
    let trouble = |e| format!("listen on {}: {e}", station.listen);
    let listener = TcpListener::bind(station.listen).await.map_err(trouble)?;
    let address = listener.local_addr().map_err(trouble)?;
    let door = match station.ops {
        Some(at) => Some(ops::open(at, &board).await?),
        None => None,
    };
    let server = Server::new(listener, callers);
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
    log::info!("serving on {address}, {} upstreams known", board.lines.borrow().len());
    if let Some(door) = door {
        log::info!("operators are answered on {door}");
    }
    let asks = station.terms.get("list_mode").is_some_and(|mode| mode == "ask");
    let running = Running { board, server, address, door, asks, watch: RefCell::default() };
    running.watch(station.discovery, station.since);
    Ok(running)
}
