//! Puts the layers together and runs them on one thread.

use super::shutdown;
use super::station::Station;
use crate::routing::switchboard::Switchboard;
use crate::routing::take_in;
use crate::transport::discovery::Watch;
use crate::transport::server::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Descriptors for everything but callers and upstreams: standard streams, the listener, discovery, signals.
const OWN_DESCRIPTORS: usize = 32;

/// How often connections are looked over.
const SWEEP: Duration = Duration::from_secs(1);

pub fn serve(station: Station) -> Result<(), String> {
    let runtime = actix_rt::Runtime::new().map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(run(station))
}

async fn run(station: Station) -> Result<(), String> {
    let stop = shutdown::signals()?;
    // An RPC holds one connection on each side, and callers keep theirs between RPCs: they get the larger part.
    let room = station.descriptors - OWN_DESCRIPTORS;
    let (callers, upstreams) = (room * 3 / 5, room * 2 / 5);
    let board = Switchboard::new(&station.terms, station.seed, upstreams).map_err(|missing| {
        format!("settings: missing or unreadable {}", fernroute_terms::path(&missing.0))
    })?;
    if !station.known.entries.is_empty() {
        board.take_list(&station.known, false);
    }
    let listener =
        TcpListener::bind(station.listen).await.map_err(|e| format!("listen on {}: {e}", station.listen))?;
    let server = Server::new(listener, callers);
    actix_rt::spawn(Rc::clone(&board).keep_time());
    let told = Rc::clone(&board);
    let version = Some(station.known.version).filter(|_| !station.known.entries.is_empty());
    actix_rt::spawn(Watch::new(station.discovery).run(version, move |news| match news {
        Some(list) => told.take_list(&list, true),
        None => told.list_failed(),
    }));
    let (swept, callers) = (Rc::clone(&board), Rc::clone(&server));
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(SWEEP).await;
            swept.client.sweep();
            callers.sweep();
        }
    });
    let handled = Rc::clone(&board);
    actix_rt::spawn(
        Rc::clone(&server).run(move |message, visit| take_in::handle(Rc::clone(&handled), message, visit)),
    );
    log::info!("serving on {}, {} upstreams known", station.listen, station.known.entries.len());
    stop.await;
    shutdown::leave(&board, &server).await;
    log::info!("all is answered, ending");
    Ok(())
}
