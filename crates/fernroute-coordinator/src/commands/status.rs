//! `fernroute-coordinator status`: the leader, the budgets and the members, as one coordinator knows them.

use super::client::query;
use super::error::CommandError;
use super::output::print;
use crate::peers::STATUS_PATH;
use crate::replica::{ReplicaStatus, Status as CoordinatorStatus};
use argh::FromArgs;
use std::fmt;
use std::net::SocketAddr;

/// Print the leader, the budgets and the members, as one coordinator knows them.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    // The parser prints this field's name in its errors.
    /// address of a coordinator
    #[argh(positional)]
    at: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
///
/// # Errors
/// The coordinator did not reply in time.
pub async fn run(arguments: Status) -> Result<(), CommandError> {
    let status: CoordinatorStatus = query(arguments.at, STATUS_PATH).await?;
    print(arguments.json, &status, Table(&status))
}

struct Table<'a>(&'a CoordinatorStatus);

impl fmt::Display for Table<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_coordinators(out)?;
        self.write_budgets(out)?;
        self.write_members(out)
    }
}

impl Table<'_> {
    fn write_coordinators(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CoordinatorStatus { cluster, replica: name, state, term, epoch, unreadable_messages, .. } =
            self.0;
        let leader = self.0.leader.as_deref().unwrap_or("nobody");
        writeln!(out, "{cluster}: {name} is {state}, {leader} leads (term {term}), epoch {epoch}\n")?;
        if let Some(fault) = &self.0.fault {
            writeln!(out, "replica unavailable: {fault}\n")?;
        }
        let coordinators: Vec<String> = self.0.replicas.iter().map(name_and_vote).collect();
        let coordinators = coordinators.join(", ");
        writeln!(out, "coordinators: {coordinators}; unreadable messages: {unreadable_messages}\n")
    }

    fn write_budgets(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "{:<24} {:>12} {:>12} {:>12}", "budget", "whole", "held", "floor each")?;
        for (name, budget) in &self.0.budgets {
            let (limit, allocated, guaranteed) = (budget.limit, budget.allocated, budget.guaranteed);
            writeln!(out, "{name:<24} {limit:>12.3} {allocated:>12.3} {guaranteed:>12.3}")?;
        }
        Ok(())
    }

    fn write_members(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "\n{:<24} {:>8}", "member", "epoch")?;
        for budget in self.0.budgets.keys() {
            write!(out, " {budget:>12}")?;
        }
        writeln!(out)?;
        for member in &self.0.members {
            write!(out, "{:<24} {:>8}", member.name, member.epoch)?;
            for allocated in member.allocated.values() {
                write!(out, " {allocated:>12.3}")?;
            }
            writeln!(out)?;
        }
        Ok(())
    }
}

fn name_and_vote(coordinator: &ReplicaStatus) -> String {
    let note = if coordinator.is_voter { "" } else { " (learner)" };
    format!("{}{note}", coordinator.name)
}
