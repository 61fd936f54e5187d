//! New terms while the program runs, whoever brings them: the balancer's own file is read again on SIGHUP, and a fleet's
//! stewards hand out parts that are laid over it. Both come by one path, whole or not at all: what will not do, a file
//! half written say, changes nothing. Of signals that come together the last file counts. Once told to stop nothing is
//! read again; in a drain and beside a successor it is as ever.

use super::instance::{Instance, Layer};
use super::running::RunningInstance;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// From here on SIGHUP no longer ends the program.
pub fn signals() -> Result<Signal, String> {
    signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))
}

/// Reads the file again at each SIGHUP, for as long as the program runs; `taken` hears of each that is in force.
pub async fn follow(
    mut signals: Signal,
    running: &RunningInstance,
    in_force: &ActiveConfiguration,
    taken: impl Fn(),
) {
    while signals.recv().await.is_some() {
        match in_force.read_again(running) {
            Ok(()) => taken(),
            Err(why) => tracing::error!("not taken over, all stays as it was: {why}"),
        }
    }
}

/// What the balancer goes by: its own file as it was read last, the fleet's parts over it, and what came of the two.
pub struct ActiveConfiguration {
    path: PathBuf,
    own: RefCell<String>,
    parts: RefCell<Vec<Layer>>,
    station: RefCell<Instance>,
}

impl ActiveConfiguration {
    /// At a start: the station was read from this file.
    pub fn new(path: &Path, station: Instance) -> Result<Self, String> {
        // It is read twice at a start; who changes it in between sends SIGHUP anyway.
        let own = if station.fleet.is_some() { Instance::text(path)? } else { String::new() };
        let (path, station) = (path.to_owned(), RefCell::new(station));
        Ok(ActiveConfiguration { path, own: RefCell::new(own), parts: RefCell::default(), station })
    }

    pub fn station(&self) -> Instance {
        self.station.borrow().clone()
    }

    /// At a start, before anything runs: these parts count from the begin, where the outcome will do.
    pub fn begin_with(&self, parts: Vec<Layer>) -> Result<(), String> {
        let new = self.outcome(&self.own.borrow(), &parts)?;
        new.check()?;
        self.station.replace(new);
        self.parts.replace(parts);
        Ok(())
    }

    /// The file as it is now, with the parts that are in force.
    fn read_again(&self, running: &RunningInstance) -> Result<(), String> {
        let own = Instance::text(&self.path)?;
        let discovery = self.station.borrow().discovery;
        let parts = self.parts.borrow().clone();
        for what in self.take_over(running, own, parts)? {
            tracing::warn!("{what} has changed: that needs a restart");
        }
        let now = self.station.borrow().discovery;
        if now == discovery {
            tracing::info!("read again, discovery is still at {now}");
        } else {
            tracing::info!("read again, discovery is at {now} from now on");
        }
        Ok(())
    }

    /// Other parts over the file as it was read last. What needs a restart no part says, and what the file says of it has been
    /// told as it was read.
    pub fn lay_over(&self, running: &RunningInstance, parts: Vec<Layer>) -> Result<(), String> {
        let own = self.own.borrow().clone();
        self.take_over(running, own, parts).map(drop)
    }

    /// The one path by which new terms reach a running balancer; what of it needs a restart.
    fn take_over(
        &self,
        running: &RunningInstance,
        own: String,
        parts: Vec<Layer>,
    ) -> Result<Vec<String>, String> {
        let new = self.outcome(&own, &parts)?;
        running.new_terms(&new.terms)?;
        let mut station = self.station.borrow_mut();
        let late = station.differs(&new);
        if new.terms != station.terms {
            tracing::info!("new settings from now on");
        }
        if new.discovery != station.discovery {
            running.turn_to(new.discovery);
        }
        (station.terms, station.discovery) = (new.terms, new.discovery);
        self.own.replace(own);
        self.parts.replace(parts);
        Ok(late)
    }

    fn outcome(&self, own: &str, parts: &[Layer]) -> Result<Instance, String> {
        Instance::of(&self.path, own, parts)
    }
}
