//! The program `fernroute-coordinator`.

use std::process::ExitCode;

fn main() -> ExitCode {
    fernroute_coordinator::commands::run(&std::env::args().collect::<Vec<_>>())
}
