//! Converts settings from nested JSON into the flat map that a balancer is created with.

use fernroute::Settings;
use serde_json::Value;

/// Appends the paths and values of `value`: a list of objects as its count and its items by index, a list of plain values
/// joined by commas.
fn flatten(path: &str, value: &Value, out: &mut Vec<(String, String)>) {
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(members) => members.iter().for_each(|(name, v)| flatten(&under(name), v, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.push((under("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(i, v)| flatten(&under(&i.to_string()), v, out));
        }
        Value::Array(items) => {
            out.push((path.to_owned(), items.iter().map(plain).collect::<Vec<_>>().join(",")));
        }
        // Not set.
        Value::Null => {}
        _ => out.push((path.to_owned(), plain(value))),
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

pub fn decode(settings: &Value) -> Settings {
    let mut pairs = Vec::new();
    flatten("", settings, &mut pairs);
    pairs.iter().filter_map(|(path, value)| fernroute_settings::setting_for_path(path, value)).collect()
}
