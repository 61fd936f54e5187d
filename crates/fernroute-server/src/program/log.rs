//! The program's log: a line to standard error, with the balancer's name, or as JSON.

use std::fmt;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{layer, FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Layer as _, SubscriberExt as _};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt as _;

/// `NAME level: what happened`.
struct Lines {
    name: String,
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, all: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        write!(to, "{} {}: ", self.name, event.metadata().level().as_str().to_ascii_lowercase())?;
        all.format_fields(to.by_ref(), event)?;
        writeln!(to)
    }
}

/// From here on the program logs, at the level that `FERNROUTE_LOG` names; info where it names none. As JSON, with times, where
/// `FERNROUTE_LOG_JSON` is 1. What the libraries have to say of single connections is for debugging alone.
pub fn start(name: &str) {
    let level = std::env::var("FERNROUTE_LOG").ok().and_then(|l| l.parse().ok()).unwrap_or(LevelFilter::INFO);
    let libraries = if level >= LevelFilter::DEBUG { level } else { LevelFilter::OFF };
    let which = Targets::new().with_default(libraries).with_target("fernroute", level);
    // Nobody may be reading: that is no reason to fail, or to say so to nobody.
    let lines = layer().with_ansi(false).with_writer(std::io::stderr).log_internal_errors(false);
    // A second start in one process changes nothing.
    let _ = if std::env::var("FERNROUTE_LOG_JSON").is_ok_and(|on| on == "1") {
        tracing_subscriber::registry().with(lines.json().with_filter(which)).try_init()
    } else {
        let lines = lines.event_format(Lines { name: name.to_owned() });
        tracing_subscriber::registry().with(lines.with_filter(which)).try_init()
    };
}
