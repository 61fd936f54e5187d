//! `fernroute-coordinator change`: replaces the set of coordinators that hold the replicated state.

use super::error::CommandError;
use super::run_on_one_thread;
use crate::config::CoordinatorConfig;
use crate::peers::{Peers, CHANGE_PATH};
use argh::FromArgs;
use std::path::PathBuf;
use std::time::Duration;

/// How long the new coordinators may take to receive the replicated state.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Make the coordinators that a file names the voters of the cluster: a new one, or one that lost its disk,
/// is added; one that the file does not name is removed. All coordinators have the file already.
#[derive(FromArgs)]
#[argh(subcommand, name = "change")]
pub struct Change {
    /// configuration file of any of the coordinators
    #[argh(option)]
    config: PathBuf,
}

/// Runs the command.
///
/// # Errors
/// The file cannot be used, or no coordinator made the change.
pub fn run(arguments: &Change) -> Result<(), CommandError> {
    let config = CoordinatorConfig::read(&arguments.config)?;
    run_on_one_thread(change_voters(config))
}

/// Calls each coordinator of the file in turn: the leader alone makes the change.
async fn change_voters(config: CoordinatorConfig) -> Result<(), CommandError> {
    let peers = Peers::new(&config.cluster, &config.coordinators);
    let names: Vec<String> = config.coordinators.iter().map(|coordinator| coordinator.name.clone()).collect();
    let mut errors = Vec::new();
    for coordinator in &config.coordinators {
        let address = coordinator.address.to_string();
        let reply: Result<Result<Vec<String>, String>, _> =
            peers.send(&address, CHANGE_PATH, 0, &names, CHANGE_TIMEOUT).await;
        match reply.map_err(|error| error.to_string()).and_then(|reply| reply) {
            Ok(added) => {
                println!("{}", summary(&names, &added));
                return Ok(());
            }
            Err(error) => errors.push(format!("{}: {error}", coordinator.name)),
        }
    }
    Err(CommandError::Coordinator(errors.join("; ")))
}

fn summary(names: &[String], added: &[String]) -> String {
    let added = if added.is_empty() { "nobody".to_owned() } else { added.join(", ") };
    format!("the coordinators are {}; added: {added}", names.join(", "))
}
