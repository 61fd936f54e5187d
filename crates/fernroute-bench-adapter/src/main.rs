//! Hosts balancers on the bench's wire: batches of lines on standard input become calls on balancers, and what these do is
//! written to standard output. No decisions are made here.
//!
//! `message` reads lines, `actions` writes what balancers do, `session` takes each line to the balancer that it is for.

mod actions;
mod message;
mod session;

use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

/// A batch's replies fit, so that each batch is one write.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    match session::Session::default().serve(&mut io::stdin().lock(), &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // What was decided before the error is still the bench's; that it can't be written changes no exit code.
            let _ = output.flush();
            eprintln!("fernroute-bench-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
