//! Load reports: `inflight=7,queue=2,util=0.61`.

/// The names of a report's values in the order of the settings.
#[derive(Debug, Default)]
pub struct LoadFields(pub Vec<String>);

/// Field names in reports with their names in the settings, where these differ.
const SETTING_NAMES: [(&str, &str); 6] = [
    ("inflight", "in_flight"),
    ("queue", "queued"),
    ("util", "utilisation"),
    ("latency_ms", "service_time"),
    ("qps", "rate"),
    ("eps", "errors"),
];

fn setting_name(name: &str) -> &str {
    let renamed = SETTING_NAMES.iter().find(|(wire, _)| *wire == name).map(|(_, setting)| *setting);
    renamed.unwrap_or_else(|| fernroute_settings::translate_word(name))
}

/// Returns the values in the order of the settings, with NaN for a value that is missing, unreadable, repeated or
/// negative. NaN is ignored, so that an upstream with an invalid report does not appear idle.
pub fn decode(text: &str, fields: &LoadFields) -> Vec<f64> {
    let parts = text.split(',').filter_map(|part| part.split_once('='));
    let parts: Vec<_> = parts.map(|(name, value)| (setting_name(name.trim()), value.trim())).collect();
    let value = |field: &String| {
        let mut values = parts.iter().filter(|(name, _)| name == field).map(|(_, value)| value);
        let value = values.next().and_then(|v| v.parse::<f64>().ok()).filter(|v| v.is_finite() && *v >= 0.0);
        value.filter(|_| values.next().is_none()).unwrap_or(f64::NAN)
    };
    fields.0.iter().map(value).collect()
}
