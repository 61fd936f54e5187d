//! Runs one balancer on this machine with stubs for the upstreams and the discovery service that its file names, at the
//! addresses given there.

use crate::processes::{Fleet, FleetConfig};
use fernroute_server::program::instance::InstanceConfig;
use fernroute_test_support::http::response;
use fernroute_test_support::stub::{list_entry, serve_stub, Reply, StubDiscovery};
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Runs until the balancer exits, by itself or after a signal to this program. Returns the balancer's exit code.
pub fn run(config_path: &Path, program: &[String]) -> Result<u8, String> {
    let config = InstanceConfig::read(config_path)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async { run_balancer(&config, config_path, program).await })
}

/// Runs three coordinators and four balancers under a load that moves to the next balancer every five seconds, and prints
/// the ledger's status every two seconds until Ctrl-C.
pub fn run_fleet(program: &Path) -> Result<(), String> {
    const LIMIT: usize = 200;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        let folder = std::env::temp_dir().join(format!("fernroute-fleet-{}", std::process::id()));
        let fleet = Fleet::start(program, folder, FleetConfig::new(3, 4, LIMIT)).await?;
        let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("signals: {e}"))?;
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
        for round in 0usize.. {
            let busy = round * 2 / 5 % 4;
            let rates: Vec<u64> = (0..4).map(|n| if n == busy { 220 } else { 10 }).collect();
            fleet.set_rates(&rates);
            tokio::select! {
                _ = int.recv() => return Ok(()),
                _ = term.recv() => return Ok(()),
                () = sleep(Duration::from_secs(2)) => {}
            }
            fleet.discard_old();
            let (ran, violation) = (fleet.executions.count_within(Duration::from_secs(1)), fleet.violation());
            println!("\nb{busy} receives 220 RPCs/s, the others 10; {ran} ran in the last second, the limit is {LIMIT}");
            for at in &fleet.coordinator_addresses {
                let status = Command::new(program).args(["steward-status", &at.to_string()]).output();
                match status {
                    Ok(output) if output.status.success() => {
                        print!("{}", String::from_utf8_lossy(&output.stdout));
                        break;
                    }
                    _ => println!("the coordinator at {at} does not answer"),
                }
            }
            if let Some(violation) = violation {
                return Err(format!("the limit was exceeded: {violation}"));
            }
        }
        Ok(())
    })
}

async fn run_balancer(config: &InstanceConfig, config_path: &Path, program: &[String]) -> Result<u8, String> {
    let upstreams = config.endpoint_list.iter().flat_map(|known| &known.entries);
    let upstreams = upstreams.filter_map(|upstream| Some((upstream, upstream.address?)));
    let mut list = Vec::new();
    for (upstream, at) in upstreams {
        let id = upstream.id.clone();
        let output =
            move |_: &_| Reply::Send(response(200, "Srv-Load: util=0.10\r\n", &format!("served by {id}\n")));
        serve_stub(at, output).await.map_err(|e| format!("upstream stub at {at}: {e}"))?;
        eprintln!("upstream stub {} listens on {at}", upstream.id);
        list.push(list_entry(&upstream.id, at, &upstream.zone, "SERVING"));
    }
    let discovery = StubDiscovery::start(config.discovery, list.join(",")).await;
    discovery.map_err(|e| format!("discovery stub at {}: {e}", config.discovery))?;
    eprintln!("discovery stub listens on {}", config.discovery);
    // From now on the signals no longer end this program, so that the balancer can answer the RPCs it has accepted.
    let signal_error = |e| format!("signals: {e}");
    let mut term = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut int = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let (executable, arguments) = program.split_first().ok_or("no program is given")?;
    let mut command = Command::new(executable);
    command.args(arguments).arg("--config").arg(config_path);
    let mut child = command.spawn().map_err(|e| format!("{executable}: {e}"))?;
    let id = rustix::process::Pid::from_raw(child.id() as i32);
    loop {
        match child.try_wait() {
            Ok(None) => {}
            // A process ended by a signal has no exit code.
            Ok(Some(status)) => return Ok(status.code().map_or(1, |code| code as u8)),
            Err(e) => return Err(format!("{executable}: {e}")),
        }
        let signalled = async {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        };
        tokio::select! {
            () = signalled => {
                // A terminal signals both processes; a second SIGTERM has no further effect.
                let terminate = |id| rustix::process::kill_process(id, rustix::process::Signal::TERM);
                let _ = id.map(terminate);
            }
            () = sleep(Duration::from_millis(50)) => {}
        }
    }
}
