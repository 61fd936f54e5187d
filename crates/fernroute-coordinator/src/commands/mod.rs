//! The command line: one module for each command.
//!
//! A command that fails returns a `CommandError`, which [`run`] turns into one line on standard error and an
//! exit code. `client` calls the coordinators of a running cluster, `output` prints what they reply.

mod change;
mod client;
mod configuration;
mod duties;
mod error;
mod output;
mod serve;
mod status;

use self::error::CommandError;
use argh::FromArgs;
use std::future::Future;
use std::process::ExitCode;

const PROGRAM: &str = "fernroute-coordinator";

/// Keep the replicated state of a fleet of load balancers.
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(serve::Serve),
    Check(serve::Check),
    Status(status::Status),
    Change(change::Change),
    Configuration(configuration::Configuration),
    Duties(duties::Duties),
}

/// Runs the command that `arguments` name; the first of them is the program.
///
/// Exit code 0: done. 1: accepted by the coordinators, but not complete or of unknown outcome. 2: rejected,
/// by bad usage, a bad file or a coordinator. An error is one line on standard error.
pub fn run(arguments: &[String]) -> ExitCode {
    let arguments: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let arguments = configuration::with_default_wait(arguments);
    let result = match CommandLine::from_args(&[PROGRAM], &arguments) {
        Ok(line) => execute(line.command),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            Ok(())
        }
        Err(exit) => Err(CommandError::Usage(exit.output)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error),
    }
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve(arguments) => serve::run(&arguments),
        Command::Check(arguments) => serve::check(&arguments),
        Command::Status(arguments) => run_on_one_thread(status::run(arguments)),
        Command::Change(arguments) => change::run(&arguments),
        Command::Configuration(arguments) => configuration::run(arguments),
        Command::Duties(arguments) => duties::run(arguments),
    }
}

fn report(error: &CommandError) -> ExitCode {
    let message = error.to_string();
    eprintln!("{PROGRAM}: {}", message.split_whitespace().collect::<Vec<_>>().join(" "));
    ExitCode::from(error.exit_code())
}

fn run_on_one_thread<T>(future: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    actix_rt::Runtime::new().map_err(CommandError::Runtime)?.block_on(future)
}
