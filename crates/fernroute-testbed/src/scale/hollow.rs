//! Hollow balancers: the real program, started many times on one thread and without RPCs.
//!
//! Each runs `serve::start_or_take_over` with a file of its own: the same fleet member, list watch,
//! configuration and operations server, over the same sockets as in a process of its own. Only signal
//! handling is missing.

use fernroute_server::program::instance::InstanceConfig;
use fernroute_server::program::log;
use fernroute_server::program::serve::start_or_take_over;
use std::path::{Path, PathBuf};

/// Log prefix once all balancers of the process serve.
pub const READY_PREFIX: &str = "hollow balancers serve: ";

/// Log prefix before `NAME ADDRESS` of each balancer's operations server.
pub const OPS_PREFIX: &str = "hollow balancer operations server: ";

/// Starts a balancer for each `*.toml` in the folder and serves until killed.
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
