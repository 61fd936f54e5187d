//! `fernroute-coordinator configuration`: the versioned configuration of the balancers of a fleet.
//!
//! `put` enters a part of a balancer's file and waits for its rollout, `table` prints status and history; the
//! shorter commands are in this file.

mod file;
mod put;
mod table;

pub use self::file::FileError;
pub use self::put::PutError;

use self::put::Put;
use self::table::{entry_summary, HistoryTable, StatusTable};
use super::client::Client;
use super::error::CommandError;
use super::output::print;
use super::run_on_one_thread;
use crate::configuration::{ConfigurationStatus, LatestEntry, GET_PATH, HISTORY_PATH, STATUS_PATH};
use argh::FromArgs;
use fernroute_fleet::configuration::register::HistoryEntry;
use fernroute_fleet::configuration::{content_hash, Scope};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The seconds that `put --wait` waits where no number follows.
const DEFAULT_WAIT_S: &str = "60";

/// Versioned configuration of a fleet's balancers: check, put, get, status, history.
#[derive(FromArgs)]
#[argh(subcommand, name = "configuration")]
pub struct Configuration {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Put(Put),
    Get(Get),
    Status(Status),
    History(History),
}

/// Validate a part of a balancer's file.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// part of a balancer's file
    #[argh(positional)]
    file: PathBuf,
}

/// Print a scope's content to standard output, and its version to standard error.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// address of a coordinator; may be given several times
    #[argh(option, long = "at")]
    addresses: Vec<SocketAddr>,
    /// all, service/S, service/S/zone/Z or balancer/B
    #[argh(option)]
    scope: Scope,
}

/// Print the rollout state of each member: in force, on its way, refused or not heard of.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// address of a coordinator; may be given several times
    #[argh(option, long = "at")]
    addresses: Vec<SocketAddr>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Print all entries with author and time, the oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct History {
    /// address of a coordinator; may be given several times
    #[argh(option, long = "at")]
    addresses: Vec<SocketAddr>,
    /// print the entries of this scope alone
    #[argh(option)]
    scope: Option<Scope>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// The arguments, with a number after each `--wait` of `put` that has none: the parser knows options with a
/// value and switches without one, and nothing that is both.
pub fn with_default_wait(arguments: Vec<&str>) -> Vec<&str> {
    if !arguments.starts_with(&["configuration", "put"]) {
        return arguments;
    }
    let mut completed = Vec::with_capacity(arguments.len() + 1);
    for (index, argument) in arguments.iter().enumerate() {
        completed.push(*argument);
        let next = arguments.get(index + 1);
        if *argument == "--wait" && next.is_none_or(|next| next.parse::<f64>().is_err()) {
            completed.push(DEFAULT_WAIT_S);
        }
    }
    completed
}

/// Runs the command.
///
/// # Errors
/// A file cannot be used, the leader was not reached or rejected the call, or a rollout is not complete in
/// time.
pub fn run(arguments: Configuration) -> Result<(), CommandError> {
    match arguments.command {
        Command::Check(arguments) => check(&arguments),
        Command::Put(arguments) => put::run(arguments),
        Command::Get(arguments) => run_on_one_thread(get(arguments)),
        Command::Status(arguments) => run_on_one_thread(print_status(arguments)),
        Command::History(arguments) => run_on_one_thread(print_history(arguments)),
    }
}

fn check(arguments: &Check) -> Result<(), CommandError> {
    let content = file::read(&arguments.file)?;
    file::validate(&arguments.file, &content)?;
    let (path, hash) = (arguments.file.display(), content_hash(&content));
    println!("{path}: valid: {} bytes, {hash}", content.len());
    Ok(())
}

async fn get(arguments: Get) -> Result<(), CommandError> {
    let client = Client::connect(&arguments.addresses).await?;
    let latest: LatestEntry = client.call(GET_PATH, &arguments.scope).await?;
    let Some(entry) = latest.entry else { return Err(CommandError::NothingPut(arguments.scope)) };
    print!("{}", entry.content);
    match latest.change {
        Some(history_entry) => eprintln!("{}", entry_summary(&history_entry)),
        None => eprintln!("{}: version {}, {}", arguments.scope, entry.version, entry.content_hash),
    }
    Ok(())
}

async fn print_status(arguments: Status) -> Result<(), CommandError> {
    let client = Client::connect(&arguments.addresses).await?;
    let status: ConfigurationStatus = client.call(STATUS_PATH, &()).await?;
    print(arguments.json, &status, StatusTable(&status))
}

async fn print_history(arguments: History) -> Result<(), CommandError> {
    let client = Client::connect(&arguments.addresses).await?;
    let entries: Vec<HistoryEntry> = client.call(HISTORY_PATH, &arguments.scope).await?;
    print(arguments.json, &entries, HistoryTable(&entries))
}
