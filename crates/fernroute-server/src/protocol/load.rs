//! Load reports: `inflight=7,queue=2,util=0.61`.

/// The names of a report's values in the order of the terms.
#[derive(Debug, Default)]
pub struct Gauges(pub Vec<String>);

/// The words of reports that differ from those of the settings.
const WORDS: [(&str, &str); 6] = [
    ("inflight", "in_flight"),
    ("queue", "queued"),
    ("util", "utilisation"),
    ("latency_ms", "service_time"),
    ("qps", "rate"),
    ("eps", "errors"),
];

fn word(name: &str) -> &str {
    let ours = WORDS.iter().find(|(wire, _)| *wire == name).map(|(_, ours)| *ours);
    ours.unwrap_or_else(|| fernroute_terms::word(name))
}

/// The values in the order of the terms; what is missing or unreadable is no number, and is passed over.
pub fn decode(text: &str, gauges: &Gauges) -> Vec<f64> {
    let mut loads = vec![f64::NAN; gauges.0.len()];
    for part in text.split(',') {
        let pair = part.split_once('=').and_then(|(name, value)| Some((name, value.trim().parse().ok()?)));
        let Some((name, value)) = pair else {
            log::debug!("load report: '{part}' is not readable, skipped");
            continue;
        };
        if let Some(at) = gauges.0.iter().position(|g| g == word(name.trim())) {
            loads[at] = value;
        }
    }
    loads
}
