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
    ours.unwrap_or_else(|| fernroute_settings::translate_word(name))
}

/// The values in the order of the terms; what is missing, unreadable, said twice or less than nothing is no
/// number, and is passed over. Guards against an upstream that passes for idle by a report that is noise.
pub fn decode(text: &str, gauges: &Gauges) -> Vec<f64> {
    let parts = text.split(',').filter_map(|part| part.split_once('='));
    let parts: Vec<_> = parts.map(|(name, value)| (word(name.trim()), value.trim())).collect();
    let value = |gauge: &String| {
        let mut said = parts.iter().filter(|(name, _)| name == gauge).map(|(_, value)| value);
        let value = said.next().and_then(|v| v.parse::<f64>().ok()).filter(|v| v.is_finite() && *v >= 0.0);
        value.filter(|_| said.next().is_none()).unwrap_or(f64::NAN)
    };
    gauges.0.iter().map(value).collect()
}
