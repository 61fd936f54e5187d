//! Places in a file: keys divided by dots, entries of lists by their number (`method.0.name`).

/// As people write it: `method[0].name`.
pub(crate) fn display(place: &str) -> String {
    let mut text = String::new();
    for step in place.split('.') {
        if is_number(step) {
            text.push_str(&format!("[{step}]"));
        } else {
            text.push('.');
            text.push_str(step);
        }
    }
    text.trim_start_matches('.').to_owned()
}

/// With `#` for each number, as fields are named.
pub(crate) fn pattern(place: &str) -> String {
    let steps = place.split('.').map(|step| if is_number(step) { "#" } else { step });
    steps.collect::<Vec<_>>().join(".")
}

/// The number of the list's entry that it stands in, if it stands in one.
pub(crate) fn entry_number(place: &str) -> Option<&str> {
    place.split('.').find(|step| is_number(step))
}

/// The line of an offset in a text, counted from 1.
pub(crate) fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

fn is_number(step: &str) -> bool {
    step.parse::<usize>().is_ok()
}
