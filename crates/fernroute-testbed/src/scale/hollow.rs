//! Hollow balancers: the program as it is, started many times on one thread, and asked for no RPC.
//!
//! Each is `serve::start_or_take_over` of a file of its own: the same member of the fleet, the same watch of the list, the same configuration,
//! the same door for operators, over the same sockets as in a process of its own. What is missing are the signals that a
//! process is told by.

use fernroute_server::program::instance::InstanceConfig;
use fernroute_server::program::log;
use fernroute_server::program::serve::start_or_take_over;
use std::path::{Path, PathBuf};

/// What a process says once all of its balancers serve.
pub const ALL_SERVE: &str = "hollow balancers serve: ";

/// What it says of each, as `NAME ADDRESS`: where operators are answered.
pub const DOOR: &str = "hollow door: ";

/// Serves until it is killed; the folder holds the balancers' files, all `*.toml` in it.
pub fn run(folder: &Path) -> Result<(), String> {
    let trouble = |e: std::io::Error| format!("{}: {e}", folder.display());
    let mut pages: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(trouble)? {
        pages.push(entry.map_err(trouble)?.path());
    }
    pages.retain(|page| page.extension().is_some_and(|e| e == "toml"));
    pages.sort();
    log::start("hollow");
    let runtime = actix_rt::Runtime::new().map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(async {
        let mut running = Vec::new();
        for page in &pages {
            let station = InstanceConfig::read(page)?;
            station.check()?;
            let name = station.name.clone();
            let one = start_or_take_over(station, page)
                .await
                .map_err(|why| format!("{}: {why}", page.display()))?;
            if let Some(door) = one.running.ops_address {
                eprintln!("{DOOR}{name} {door}");
            }
            running.push(one);
        }
        eprintln!("{ALL_SERVE}{}", running.len());
        std::future::pending().await
    })
}
