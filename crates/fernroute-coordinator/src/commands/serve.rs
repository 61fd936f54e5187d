//! `fernroute-coordinator serve` and `check`: runs one coordinator, or validates its configuration file.

use super::error::CommandError;
use super::run_on_one_thread;
use crate::config::CoordinatorConfig;
use crate::http;
use crate::replica::Replica;
use argh::FromArgs;
use futures_util::future::{select, Either};
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::{Layer as _, SubscriberExt as _};
use tracing_subscriber::util::SubscriberInitExt as _;

/// The environment variable that names the lowest level of log lines.
const LOG_LEVEL_VARIABLE: &str = "FERNROUTE_LOG";

/// Run a coordinator until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// configuration file of this coordinator
    #[argh(option)]
    config: PathBuf,
    /// the cluster never had any state: bootstrap it without waiting for leases of earlier state to expire
    #[argh(switch)]
    first: bool,
    /// print log lines as JSON
    #[argh(switch)]
    json: bool,
}

/// Validate a coordinator's configuration file.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// configuration file of a coordinator
    #[argh(option)]
    config: PathBuf,
}

/// Runs `serve` until a signal ends it.
///
/// # Errors
/// The file cannot be used, or the coordinator cannot start or continue.
pub fn run(arguments: &Serve) -> Result<(), CommandError> {
    let config = CoordinatorConfig::read(&arguments.config)?;
    start_logging(arguments.json);
    run_on_one_thread(serve(config, arguments.first))
}

/// Runs `check`.
///
/// # Errors
/// `serve` would reject the file.
pub fn check(arguments: &Check) -> Result<(), CommandError> {
    let config = CoordinatorConfig::read(&arguments.config)?;
    let (coordinators, budgets, duties) =
        (config.coordinators.len(), config.budgets.len(), config.duties.len());
    let CoordinatorConfig { name, cluster, .. } = config;
    println!("{name} of {cluster}: {coordinators} coordinators, {budgets} budgets, {duties} duties");
    Ok(())
}

/// Logs to standard error at the level that the environment names, info by default. The consensus
/// library logs many lines a second while a coordinator is down, so its own lines are left out below debug.
fn start_logging(json: bool) {
    let level = std::env::var(LOG_LEVEL_VARIABLE).ok().and_then(|name| name.parse().ok());
    let level = level.unwrap_or(LevelFilter::INFO);
    let library_level = if level > LevelFilter::INFO { level } else { LevelFilter::OFF };
    let filter = Targets::new().with_default(level).with_target("openraft", library_level);
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    if json {
        tracing_subscriber::registry().with(lines.json().with_filter(filter)).init();
    } else {
        tracing_subscriber::registry().with(lines.with_filter(filter)).init();
    }
}

async fn serve(config: CoordinatorConfig, bootstrap_at_once: bool) -> Result<(), CommandError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(CommandError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CommandError::Signals)?;
    let (name, address) = (config.name.clone(), config.address);
    let listener =
        TcpListener::bind(address).await.map_err(|source| CommandError::Listen { address, source })?;
    let replica = Replica::open(config).await.map_err(CommandError::coordinator)?;
    tracing::info!("coordinator {name} serving on {address}");
    let server = pin!(http::serve(Rc::clone(&replica), listener));
    let consensus = pin!(run_consensus(Rc::clone(&replica), bootstrap_at_once));
    let (terminated, interrupted) = (pin!(terminate.recv()), pin!(interrupt.recv()));
    let signalled = select(terminated, interrupted);
    match select(select(server, consensus), signalled).await {
        Either::Left((Either::Left((served, _)), _)) => served.map_err(CommandError::coordinator),
        Either::Left((Either::Right((ended, _)), _)) => ended,
        Either::Right(_) => {
            tracing::info!("received a signal, shutting down");
            shut_down(&replica).await
        }
    }
}

/// Starts the replica; ends only if that fails, since its tasks and the HTTP server do the rest.
async fn run_consensus(replica: Rc<Replica>, bootstrap_at_once: bool) -> Result<(), CommandError> {
    replica.start().await.map_err(CommandError::coordinator)?;
    actix_rt::spawn(Rc::clone(&replica).lead());
    replica.bootstrap(bootstrap_at_once).await;
    std::future::pending().await
}

async fn shut_down(replica: &Replica) -> Result<(), CommandError> {
    match replica.raft() {
        Some(raft) => raft.shutdown().await.map_err(CommandError::coordinator),
        None => Ok(()),
    }
}
