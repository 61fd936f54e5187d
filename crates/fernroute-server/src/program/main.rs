//! The `fernroute` program.

use fernroute_server::program::commands;
use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run(std::env::args().collect())
}
