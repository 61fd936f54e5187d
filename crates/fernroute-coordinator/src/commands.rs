//! The command line.

mod configuration;
mod duties;
mod operator;

use crate::peers::{Peers, CHANGE, STATUS};
use crate::replica::{Replica, ReplicaStatus, Status};
use crate::{config::CoordinatorConfig, http};
use argh::FromArgs;
use futures_util::future::{select, Either};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::{Layer as _, SubscriberExt as _};
use tracing_subscriber::util::SubscriberInitExt as _;

const NAME: &str = "fernroute-coordinator";

/// How long a steward may take to say how it is.
const WITHIN: Duration = Duration::from_secs(2);

/// How long it may take until all who are new have the ledger.
const CHANGED: Duration = Duration::from_secs(60);

/// Keeps the ledger of a fleet of balancers.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Status(Ask),
    Change(Change),
    Configuration(configuration::Configuration),
    Duties(duties::Duties),
}

/// Serve until told to stop (SIGTERM or SIGINT).
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// file that says who this steward is
    #[argh(option)]
    config: PathBuf,
    /// there never was a ledger of this cluster: one is begun without waiting for grants of one before to lapse
    #[argh(switch)]
    first: bool,
    /// log lines as JSON
    #[argh(switch)]
    json: bool,
}

/// Say whether serve would take the file.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// file that says who this steward is
    #[argh(option)]
    config: PathBuf,
}

/// Print who leads, the budgets and the members, as one steward knows them.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Ask {
    /// address of a steward
    #[argh(positional)]
    at: SocketAddr,
    /// as JSON
    #[argh(switch)]
    json: bool,
}

/// Make the ledger's processes those of this file: who is new, or has lost its disk, is taken in; who is not named any more
/// goes. All stewards have the file already.
#[derive(FromArgs)]
#[argh(subcommand, name = "change")]
struct Change {
    /// the file of any of the stewards
    #[argh(option)]
    config: PathBuf,
}

/// Runs one command. Bad use and bad files are one line on standard error and exit with 2.
pub fn run(arguments: &[String]) -> ExitCode {
    let words: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let words = configuration::waits(words);
    let line = match Line::from_args(&[NAME], &words) {
        Ok(line) => line,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => return refuse(&early.output),
    };
    let done = match line.command {
        Command::Serve(serve) => CoordinatorConfig::read(&serve.config).and_then(|terms| {
            log(serve.json);
            run_on_one_thread(keep(terms, serve.first))
        }),
        Command::Check(check) => CoordinatorConfig::read(&check.config).map(|terms| {
            let (stewards, budgets, duties) = (terms.stewards.len(), terms.budgets.len(), terms.duties.len());
            let (name, cluster) = (terms.name, terms.cluster);
            println!("{name} of {cluster}: {stewards} stewards, {budgets} budgets, {duties} duties");
        }),
        Command::Status(ask) => run_on_one_thread(async move {
            let status: Status = Peers::new("", &[]).ask(&ask.at.to_string(), STATUS, WITHIN).await?;
            if ask.json {
                println!("{}", serde_json::to_string_pretty(&status).map_err(|e| e.to_string())?);
            } else {
                print!("{}", table(&status));
            }
            Ok(())
        }),
        Command::Change(change) => CoordinatorConfig::read(&change.config)
            .and_then(|terms| run_on_one_thread(change_stewards(terms))),
        Command::Configuration(command) => return configuration::run(command),
        Command::Duties(command) => return duties::run(command),
    };
    done.map_or_else(|why| refuse(&why), |()| ExitCode::SUCCESS)
}

/// Asks the leader, whichever it is.
async fn change_stewards(terms: CoordinatorConfig) -> Result<(), String> {
    let peers = Peers::new(&terms.cluster, &terms.stewards);
    let names: Vec<String> = terms.stewards.iter().map(|s| s.name.clone()).collect();
    let mut why = String::new();
    for steward in &terms.stewards {
        let at = steward.address.to_string();
        let said: Result<Result<Vec<String>, String>, String> =
            peers.say(&at, CHANGE, 0, &names, CHANGED).await;
        match said.and_then(|said| said) {
            Ok(taken) => {
                let taken = if taken.is_empty() { "nobody".to_owned() } else { taken.join(", ") };
                println!("the ledger's processes are {}; taken in: {taken}", names.join(", "));
                return Ok(());
            }
            Err(failed) => {
                why += &format!("{}{}: {failed}", if why.is_empty() { "" } else { "; " }, steward.name)
            }
        }
    }
    Err(why)
}

fn refuse(why: &str) -> ExitCode {
    end(2, why)
}

/// Ends with this code and one line.
fn end(code: u8, why: &str) -> ExitCode {
    eprintln!("{NAME}: {}", why.split_whitespace().collect::<Vec<_>>().join(" "));
    ExitCode::from(code)
}

fn run_on_one_thread<T>(what: impl std::future::Future<Output = Result<T, String>>) -> Result<T, String> {
    actix_rt::Runtime::new().map_err(|e| format!("runtime: {e}"))?.block_on(what)
}

/// A line to standard error for each thing that happens, at the level that `FERNROUTE_LOG` names; info where it names none.
/// What the consensus library says to its developers, many lines a second while a steward is down, is told from debug on.
fn log(json: bool) {
    let level = std::env::var("FERNROUTE_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(LevelFilter::INFO);
    let library = if level > LevelFilter::INFO { level } else { LevelFilter::OFF };
    let which = Targets::new().with_default(level).with_target("openraft", library);
    let lines = tracing_subscriber::fmt::layer()
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    if json {
        tracing_subscriber::registry().with(lines.json().with_filter(which)).init();
    } else {
        tracing_subscriber::registry().with(lines.with_filter(which)).init();
    }
}

async fn keep(terms: CoordinatorConfig, first: bool) -> Result<(), String> {
    let trouble = |e| format!("signals: {e}");
    let mut term = signal(SignalKind::terminate()).map_err(trouble)?;
    let mut int = signal(SignalKind::interrupt()).map_err(trouble)?;
    let at = terms.address;
    let listener = TcpListener::bind(at).await.map_err(|e| format!("listen on {at}: {e}"))?;
    let keeper = Replica::open(terms).await?;
    tracing::info!("steward {} serving on {at}", keeper.terms.name);
    let served = pin!(http::serve(Rc::clone(&keeper), listener));
    let part = pin!(async {
        keeper.begin().await?;
        actix_rt::spawn(Rc::clone(&keeper).lead());
        keeper.found(first).await;
        // What it does from here on are the tasks' and the door's.
        std::future::pending::<Result<(), String>>().await
    });
    let (term, int) = (pin!(term.recv()), pin!(int.recv()));
    if let Either::Left((ended, _)) = select(select(served, part), select(term, int)).await {
        return ended.factor_first().0;
    }
    tracing::info!("told to stop");
    match keeper.raft() {
        Some(raft) => raft.shutdown().await.map_err(|e| e.to_string()),
        None => Ok(()),
    }
}

/// The status for people.
fn table(s: &Status) -> String {
    let leader = s.leader.as_deref().unwrap_or("nobody");
    let mut out = format!(
        "{}: {} is {}, {leader} leads (term {}), epoch {}\n\n",
        s.cluster, s.steward, s.state, s.term, s.epoch
    );
    // Writing to a text does not fail.
    let _ = s.trouble.as_ref().map(|trouble| writeln!(out, "takes no part: {trouble}\n"));
    let votes = |s: &ReplicaStatus| format!("{}{}", s.name, if s.votes { "" } else { " (being taken in)" });
    let stewards: Vec<String> = s.stewards.iter().map(votes).collect();
    let _ =
        writeln!(out, "stewards: {}; messages that could not be read: {}\n", stewards.join(", "), s.unread);
    let _ = writeln!(out, "{:<24} {:>12} {:>12} {:>12}", "budget", "whole", "held", "floor each");
    for (name, b) in &s.budgets {
        let _ = writeln!(out, "{name:<24} {:>12.3} {:>12.3} {:>12.3}", b.whole, b.held, b.floor);
    }
    let _ = write!(out, "\n{:<24} {:>8}", "member", "epoch");
    s.budgets.keys().for_each(|name| out += &format!(" {name:>12}"));
    out.push('\n');
    for m in &s.members {
        let _ = write!(out, "{:<24} {:>8}", m.name, m.epoch);
        m.holds.values().for_each(|holds| out += &format!(" {holds:>12.3}"));
        out.push('\n');
    }
    out
}
