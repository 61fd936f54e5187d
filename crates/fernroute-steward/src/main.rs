//! The program `fernroute-steward`.

use std::process::ExitCode;

fn main() -> ExitCode {
    fernroute_steward::commands::run(&std::env::args().collect::<Vec<_>>())
}
