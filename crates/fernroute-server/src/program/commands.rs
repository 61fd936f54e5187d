//! The command line.

use super::{log, serve, station::Station};
use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// A load balancer for services that call services.
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
    Version(Version),
}

/// Serve until told to stop (SIGTERM or SIGINT); SIGHUP has the file read again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// file that tells the balancer its place and terms (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Read the file that serve would read, and say whether it will do.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// file that tells the balancer its place and terms (default: $NODE_CONFIG)
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Runs one command. Bad use and bad files are one line on standard error and exit with 2.
pub fn run(arguments: Vec<String>) -> ExitCode {
    let words: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let line = match Line::from_args(&["fernroute"], &words) {
        Ok(line) => line,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => return refuse(&early.output),
    };
    match line.command {
        Command::Version(Version {}) => {
            println!("fernroute {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Command::Check(Check { config }) => match read(config).and_then(|(s, _)| s.check().map(|()| s)) {
            Ok(station) => {
                println!(
                    "{}: {} upstreams known",
                    station.name,
                    station.known.map_or(0, |known| known.entries.len())
                );
                ExitCode::SUCCESS
            }
            Err(why) => refuse(&why),
        },
        Command::Serve(Serve { config }) => match read(config) {
            Ok((station, path)) => {
                log::start(&station.name);
                serve::serve(station, &path).map_or_else(|why| refuse(&why), |()| ExitCode::SUCCESS)
            }
            Err(why) => refuse(&why),
        },
    }
}

fn read(config: Option<PathBuf>) -> Result<(Station, PathBuf), String> {
    let path = config.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let path = path.ok_or("neither --config nor $NODE_CONFIG names a file")?;
    Ok((Station::read(&path)?, path))
}

fn refuse(why: &str) -> ExitCode {
    eprintln!("fernroute: {}", why.split_whitespace().collect::<Vec<_>>().join(" "));
    ExitCode::from(2)
}
