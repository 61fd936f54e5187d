//! The command line of `fernroute`.

use super::instance::{InstanceConfig, InstanceConfigError, SettingError};
use super::serve::StartError;
use super::{log, serve};
use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

const PROGRAM: &str = "fernroute";

/// The exit code for invalid arguments and invalid files.
const EXIT_INVALID: u8 = 2;

/// A load balancer for services that call services.
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Serve until SIGTERM or SIGINT; SIGHUP reloads the configuration file.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// configuration file of the balancer (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Validate the configuration file.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// configuration file of the balancer (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Why a command failed.
#[derive(Debug, Error)]
enum CommandError {
    #[error("no configuration file: neither --config nor $NODE_CONFIG is set")]
    NoFile,
    #[error(transparent)]
    Config(#[from] InstanceConfigError),
    #[error(transparent)]
    Setting(#[from] SettingError),
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Runs one command. Invalid arguments and invalid files are reported as one line on standard error, with exit code 2.
pub fn run(arguments: Vec<String>) -> ExitCode {
    let line: CommandLine = match parse_arguments(PROGRAM, &arguments) {
        Ok(line) => line,
        Err(code) => return code,
    };
    let result = match line.command {
        Command::Version(Version {}) => {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check(Check { config }) => check(config),
        Command::Serve(Serve { config }) => serve(config),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with_error(PROGRAM, &error.to_string()),
    }
}

fn check(config: Option<PathBuf>) -> Result<(), CommandError> {
    let instance = InstanceConfig::read(&config_path(config)?)?;
    instance.check()?;
    let upstreams = instance.endpoint_list.map_or(0, |list| list.entries.len());
    println!("{}: {upstreams} upstreams known", instance.name);
    Ok(())
}

fn serve(config: Option<PathBuf>) -> Result<(), CommandError> {
    let path = config_path(config)?;
    let instance = InstanceConfig::read(&path)?;
    log::start(&instance.name);
    serve::serve(instance, &path)?;
    Ok(())
}

fn config_path(config: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    let path = config.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    path.ok_or(CommandError::NoFile)
}

/// Parses the arguments after a program's name. Prints the help or the error if there is one.
///
/// # Errors
/// The exit code: success after the help was printed, else 2.
pub fn parse_arguments<L: FromArgs>(program: &str, arguments: &[String]) -> Result<L, ExitCode> {
    let words: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    L::from_args(&[program], &words).map_err(|early_exit| {
        if early_exit.status.is_err() {
            return exit_with_error(program, &early_exit.output);
        }
        println!("{}", early_exit.output);
        ExitCode::SUCCESS
    })
}

/// Prints the error as one line on standard error and returns the exit code 2.
pub fn exit_with_error(program: &str, error: &str) -> ExitCode {
    eprintln!("{program}: {}", error.split_whitespace().collect::<Vec<_>>().join(" "));
    ExitCode::from(EXIT_INVALID)
}
