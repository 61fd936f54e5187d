//! Paths of keys: steps separated by dots, with the index of each list entry as a step (`method.0.name`).

/// The path as shown in error messages: `method[0].name`.
pub(crate) fn display(path: &str) -> String {
    let mut text = String::new();
    for step in path.split('.') {
        if is_index(step) {
            text.push_str(&format!("[{step}]"));
        } else {
            text.push('.');
            text.push_str(step);
        }
    }
    text.trim_start_matches('.').to_owned()
}

/// The path with `#` for each index, as in the schema.
pub(crate) fn pattern(path: &str) -> String {
    let steps = path.split('.').map(|step| if is_index(step) { "#" } else { step });
    steps.collect::<Vec<_>>().join(".")
}

/// The index of the list entry that the path is in; `None` outside of lists.
pub(crate) fn entry_index(path: &str) -> Option<&str> {
    path.split('.').find(|step| is_index(step))
}

/// The line of a byte offset in a text, counted from 1.
pub(crate) fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

fn is_index(step: &str) -> bool {
    step.parse::<usize>().is_ok()
}
