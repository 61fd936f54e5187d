//! `fernroute-coordinator duties`: the holders of the duties, and the release of one.

use super::client::{Client, POLL_INTERVAL};
use super::error::CommandError;
use super::output::print;
use super::run_on_one_thread;
use crate::duties::{DutiesStatus, DutyStatus, HolderStatus, PendingRelease, RELEASE_PATH, STATUS_PATH};
use argh::FromArgs;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long `release` waits after the lease expired: a heartbeat of the next holder, and an entry in the log.
const NEXT_HOLDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Duties, each held by one balancer at a time: status, release.
#[derive(FromArgs)]
#[argh(subcommand, name = "duties")]
pub struct Duties {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Status(Status),
    Release(Release),
}

/// Print the holder of each duty, the term, how long it has held the duty, and the rest of its lease.
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

/// Make the holder of a duty release it, and wait until another member holds it.
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
struct Release {
    /// name of the duty
    #[argh(positional)]
    duty: String,
    /// address of a coordinator; may be given several times
    #[argh(option, long = "at")]
    addresses: Vec<SocketAddr>,
}

/// Runs the command.
///
/// # Errors
/// The leader was not reached or rejected the call, or a released duty has no new holder in time.
pub fn run(arguments: Duties) -> Result<(), CommandError> {
    match arguments.command {
        Command::Status(arguments) => run_on_one_thread(print_status(arguments)),
        Command::Release(arguments) => run_on_one_thread(release(arguments)),
    }
}

async fn print_status(arguments: Status) -> Result<(), CommandError> {
    let client = Client::connect(&arguments.addresses).await?;
    let status: DutiesStatus = client.call(STATUS_PATH, &()).await?;
    print(arguments.json, &status, Table(&status))
}

async fn release(arguments: Release) -> Result<(), CommandError> {
    let client = Client::connect(&arguments.addresses).await?;
    let duty = arguments.duty;
    let released: PendingRelease = client.call(RELEASE_PATH, &duty).await?;
    let PendingRelease { holder, term, expires_after_ms } = released;
    let deadline = Instant::now() + Duration::from_millis(expires_after_ms) + NEXT_HOLDER_TIMEOUT;
    while Instant::now() < deadline {
        let status: DutiesStatus = client.call(STATUS_PATH, &()).await?;
        let Some(current) = status.duties.iter().find(|current| current.duty == duty) else {
            println!("{duty}: {holder} released it; the duty is no longer configured");
            return Ok(());
        };
        if let Some(next) = current.holder.as_ref().filter(|next| next.term > term) {
            let HolderStatus { name, term: next_term, .. } = next;
            println!("{duty}: {holder} released it, term {term}; {name} holds it, term {next_term}");
            return Ok(());
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Err(CommandError::NoNewHolder { duty, holder })
}

struct Table<'a>(&'a DutiesStatus);

impl fmt::Display for Table<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DutiesStatus { cluster, leader, highest_term, duties, .. } = self.0;
        writeln!(out, "{cluster}: {leader} leads, highest term {highest_term}\n")?;
        writeln!(
            out,
            "{:<24} {:<24} {:>8} {:>10} {:>8}  note",
            "duty", "holder", "term", "held s", "left s"
        )?;
        for duty in duties {
            writeln!(out, "{}", row(duty))?;
        }
        Ok(())
    }
}

fn row(duty: &DutyStatus) -> String {
    let Some(holder) = &duty.holder else {
        let previous = duty.previous_holder.as_ref();
        let previous = previous.map_or(String::new(), |(name, reason)| format!("  {name}: {reason}"));
        return format!("{:<24} {:<24}{previous}", duty.duty, "nobody");
    };
    let HolderStatus { name, term, note, expires_in_s: remaining_s, .. } = holder;
    let held_for = format!("{}{:.1}", if holder.is_lower_bound { ">" } else { "" }, holder.held_for_s);
    format!("{:<24} {name:<24} {term:>8} {held_for:>10} {remaining_s:>8.1}  {note}", duty.duty)
}
