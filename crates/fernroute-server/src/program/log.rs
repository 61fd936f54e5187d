//! The program's log on standard error, as lines with the balancer's name or as JSON.

use std::fmt;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{layer, FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Layer as _, SubscriberExt as _};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt as _;

const LEVEL_VARIABLE: &str = "FERNROUTE_LOG";
const JSON_VARIABLE: &str = "FERNROUTE_LOG_JSON";

/// Formats an event as `NAME level: message`.
struct LineFormat {
    name: String,
}

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        write!(writer, "{} {level}: ", self.name)?;
        context.format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Starts the log of this process with the level in `FERNROUTE_LOG`, by default info. The format is JSON with timestamps
/// where `FERNROUTE_LOG_JSON` is 1. Events of libraries, which concern single connections, are logged from debug on.
pub fn start(name: &str) {
    let level = std::env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    let level = level.unwrap_or(LevelFilter::INFO);
    let library_level = if level >= LevelFilter::DEBUG { level } else { LevelFilter::OFF };
    let targets = Targets::new().with_default(library_level).with_target("fernroute", level);
    // Standard error may be closed; the program then runs without a log.
    let lines = layer().with_ansi(false).with_writer(std::io::stderr).log_internal_errors(false);
    let is_json = std::env::var(JSON_VARIABLE).is_ok_and(|value| value == "1");
    let started = if is_json {
        tracing_subscriber::registry().with(lines.json().with_filter(targets)).try_init()
    } else {
        let lines = lines.event_format(LineFormat { name: name.to_owned() });
        tracing_subscriber::registry().with(lines.with_filter(targets)).try_init()
    };
    // Fails in a process with several balancers, which keeps the log of the first one.
    let _ = started;
}
