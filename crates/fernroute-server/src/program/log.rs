//! The project's own logger: a line to standard error, with the balancer's name.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write as _;

struct Lines {
    name: String,
}

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // What the libraries have to say of single connections is for debugging alone.
        metadata.target().starts_with("fernroute") || log::max_level() >= LevelFilter::Debug
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let level = record.level().as_str().to_ascii_lowercase();
            // Nobody may be reading: that is no reason to fail.
            let _ = writeln!(std::io::stderr(), "{} {level}: {}", self.name, record.args());
        }
    }

    fn flush(&self) {}
}

/// From here on the program logs, at the level that `FERNROUTE_LOG` names; info where it names none.
pub fn start(name: &str) {
    let level = std::env::var("FERNROUTE_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(LevelFilter::Info);
    if log::set_boxed_logger(Box::new(Lines { name: name.to_owned() })).is_ok() {
        log::set_max_level(level);
    }
}
