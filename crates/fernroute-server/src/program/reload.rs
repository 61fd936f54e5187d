//! A new configuration while the program runs: the file is read again on SIGHUP. A file that will not do, half written
//! say, changes nothing. Of signals that come together the last file counts. Once told to stop nothing is read again;
//! in a drain and beside a successor it is as ever.

use super::serve::Running;
use super::station::Station;
use std::path::Path;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// From here on SIGHUP no longer ends the program.
pub fn signals() -> Result<Signal, String> {
    signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))
}

/// Reads the file again at each SIGHUP, for as long as the program runs.
pub async fn follow(mut signals: Signal, path: &Path, running: &Running, mut station: Station) {
    while signals.recv().await.is_some() {
        let taken = Station::read(path).and_then(|new| running.new_terms(&new.terms).map(|()| new));
        match taken {
            Ok(new) => {
                for what in station.differs(&new) {
                    tracing::warn!("{what} has changed: that needs a restart");
                }
                if new.terms != station.terms {
                    tracing::info!("new settings from now on");
                }
                station.terms = new.terms;
                if new.discovery == station.discovery {
                    tracing::info!("read again, discovery is still at {}", new.discovery);
                } else {
                    tracing::info!("read again, discovery is at {} from now on", new.discovery);
                    running.turn_to(new.discovery);
                }
                station.discovery = new.discovery;
            }
            Err(why) => tracing::error!("not taken over, all stays as it was: {why}"),
        }
    }
}
