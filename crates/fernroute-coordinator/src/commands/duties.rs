//! `fernroute-coordinator duties`: who holds which duty.

use super::operator::{print, Operator, AGAIN};
use super::{end, refuse, run_on_one_thread};
use crate::duties::{DutiesStatus, DutyStatus, Released, RELEASE, STATUS};
use argh::FromArgs;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// What `release` waits beyond the lease: a heartbeat of the next holder, and an entry in the log.
const NEXT_WITHIN: Duration = Duration::from_secs(3);

/// ReplicaInfo holds which duty: status, release.
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

/// Print who holds each duty, under which term, for how long it has and how much of its lease is left.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// address of a steward; may be given several times
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// as JSON
    #[argh(switch)]
    json: bool,
}

/// Have the holder of a duty give it up, and wait until another member holds it.
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
struct Release {
    /// the duty
    #[argh(positional)]
    duty: String,
    /// address of a steward; may be given several times
    #[argh(option)]
    at: Vec<SocketAddr>,
}

/// Refusals are one line and code 2; a duty that was released and that nobody holds yet is one line and code 1.
pub fn run(command: Duties) -> ExitCode {
    let done = match command.command {
        Command::Status(it) => run_on_one_thread(async move {
            let status: DutiesStatus = Operator::open(&it.at).await?.ask(STATUS, &()).await?;
            print(it.json, &status, table(&status))
        }),
        Command::Release(it) => run_on_one_thread(release(it)),
    };
    done.unwrap_or_else(|why| refuse(&why))
}

async fn release(it: Release) -> Result<ExitCode, String> {
    let operator = Operator::open(&it.at).await?;
    let released: Released = operator.ask(RELEASE, &it.duty).await?;
    let Released { holder, term, lapses_after_ms } = released;
    let until = Instant::now() + Duration::from_millis(lapses_after_ms) + NEXT_WITHIN;
    while Instant::now() < until {
        let status: DutiesStatus = operator.ask(STATUS, &()).await?;
        let line = status.duties.iter().find(|line| line.duty == it.duty);
        let Some(line) = line else {
            println!("{}: {holder} gave it up; it is named no more", it.duty);
            return Ok(ExitCode::SUCCESS);
        };
        if let Some(next) = line.holder.as_ref().filter(|next| next.term > term) {
            println!(
                "{}: {holder} gave it up, term {term}; {} holds it, term {}",
                it.duty, next.name, next.term
            );
            return Ok(ExitCode::SUCCESS);
        }
        actix_rt::time::sleep(AGAIN).await;
    }
    Ok(end(1, &format!("{}: {holder} is to give it up, and nobody else holds it yet", it.duty)))
}

fn table(status: &DutiesStatus) -> String {
    let mut out =
        format!("{}: {} leads, highest term {}\n\n", status.cluster, status.leader, status.highest_term);
    // Writing to a text does not fail.
    let _ =
        writeln!(out, "{:<24} {:<24} {:>8} {:>10} {:>8}  note", "duty", "holder", "term", "held s", "left s");
    for line in &status.duties {
        let _ = writeln!(out, "{}", row(line));
    }
    out
}

fn row(line: &DutyStatus) -> String {
    let Some(holder) = &line.holder else {
        let before =
            line.before.as_ref().map_or(String::new(), |(name, reason)| format!("  {name}: {reason}"));
        return format!("{:<24} {:<24}{before}", line.duty, "nobody");
    };
    let held = format!("{}{:.1}", if holder.at_least { ">" } else { "" }, holder.held_for_s);
    format!(
        "{:<24} {:<24} {:>8} {:>10} {:>8.1}  {}",
        line.duty, holder.name, holder.term, held, holder.left_s, holder.note
    )
}
