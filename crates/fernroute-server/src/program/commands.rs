//! The command line.

use super::{instance::Instance, log, serve};
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
    let line: Line = match parse("fernroute", &arguments) {
        Ok(line) => line,
        Err(code) => return code,
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
            Err(why) => refuse("fernroute", &why),
        },
        Command::Serve(Serve { config }) => match read(config) {
            Ok((station, path)) => {
                log::start(&station.name);
                serve::serve(station, &path)
                    .map_or_else(|why| refuse("fernroute", &why), |()| ExitCode::SUCCESS)
            }
            Err(why) => refuse("fernroute", &why),
        },
    }
}

fn read(config: Option<PathBuf>) -> Result<(Instance, PathBuf), String> {
    let path = config.or_else(|| std::env::var_os("NODE_CONFIG").map(PathBuf::from));
    let path = path.ok_or("neither --config nor $NODE_CONFIG names a file")?;
    Ok((Instance::read(&path)?, path))
}

/// The words after a program's name, or the code to end with where it has said all there is to say.
pub fn parse<L: FromArgs>(program: &str, arguments: &[String]) -> Result<L, ExitCode> {
    let words: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    L::from_args(&[program], &words).map_err(|early| {
        if early.status.is_err() {
            return refuse(program, &early.output);
        }
        println!("{}", early.output);
        ExitCode::SUCCESS
    })
}

pub fn refuse(program: &str, why: &str) -> ExitCode {
    eprintln!("{program}: {}", why.split_whitespace().collect::<Vec<_>>().join(" "));
    ExitCode::from(2)
}
