//! Runs balancers behind the bench protocol: batches of lines on standard input become events of balancers, and the actions of
//! balancers are written to standard output. No decisions are made here.
//!
//! `message` parses lines, `actions` formats actions, and `session` dispatches each line to its balancer.

mod actions;
mod message;
mod session;

use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

/// Large enough for the reply to a batch, so that each batch takes one write.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    match session::Session::default().serve(&mut io::stdin().lock(), &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Actions from before the error are still written. If that fails too, the exit code is the same.
            let _ = output.flush();
            eprintln!("fernroute-bench-adapter: {error}");
            ExitCode::from(2)
        }
    }
}
