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
pub const READY_PREFIX: &str = "hollow balancers serve: ";

/// What it says of each, as `NAME ADDRESS`: where operators are answered.
pub const OPS_PREFIX: &str = "hollow door: ";

/// Serves until it is killed; the folder holds the balancers' files, all `*.toml` in it.
pub fn run(folder: &Path) -> Result<(), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", folder.display());
    let mut files: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(io_error)? {
        files.push(entry.map_err(io_error)?.path());
    }
    files.retain(|file| file.extension().is_some_and(|e| e == "toml"));
    files.sort();
    log::start("hollow");
    let runtime = actix_rt::Runtime::new().map_err(|e| format!("runtime: {e}"))?;
    runtime.block_on(async {
        let mut running = Vec::new();
        for file in &files {
            let config = InstanceConfig::read(file)?;
            config.check()?;
            let name = config.name.clone();
            let instance =
                start_or_take_over(config, file).await.map_err(|why| format!("{}: {why}", file.display()))?;
            if let Some(address) = instance.running.ops_address {
                eprintln!("{OPS_PREFIX}{name} {address}");
            }
            running.push(instance);
        }
        eprintln!("{READY_PREFIX}{}", running.len());
        std::future::pending().await
    })
}
