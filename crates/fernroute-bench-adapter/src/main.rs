//! Standard input to calls on balancers, their acts to standard output. No decisions are made here.

mod wire;

use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut out = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match wire::Link::default().serve(&mut io::stdin().lock(), &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            let _ = out.flush();
            eprintln!("fernroute-bench-adapter: {trouble}");
            ExitCode::from(2)
        }
    }
}
