//! Reads the values of a file. Unknown, missing and invalid keys become errors with their lines.

use crate::fields::{field, is_table, FIELDS, LISTS};
use crate::path::{display, line_of, pattern};
use crate::{consistency, value, ConfigError};
use std::collections::BTreeMap;
use toml::de::{DeArray, DeTable, DeValue};

/// A valid value as plain text, with its line.
#[derive(Clone, Debug, Default)]
pub(crate) struct Value {
    pub(crate) text: String,
    pub(crate) line: usize,
}

/// Values by path.
pub(crate) type Values = BTreeMap<String, Value>;

/// The values and errors of a file.
pub(crate) struct Reader<'a> {
    text: &'a str,
    pub(crate) values: Values,
    /// The line on which each entry of a list begins, by the list's key.
    list_lines: BTreeMap<&'static str, Vec<usize>>,
    errors: Vec<ConfigError>,
}

impl<'a> Reader<'a> {
    /// Reads a whole file.
    ///
    /// # Errors
    /// All errors, in the order of their lines.
    pub(crate) fn read(text: &'a str) -> Result<Self, Vec<ConfigError>> {
        let mut reader =
            Reader { text, values: Values::new(), list_lines: BTreeMap::new(), errors: Vec::new() };
        let table = DeTable::parse(text).map_err(|error| {
            let line = line_of(text, error.span().map_or(0, |span| span.start));
            vec![ConfigError { line, path: String::new(), reason: error.message().replace('\n', " ") }]
        })?;
        reader.table("", table.get_ref());
        reader.find_missing();
        for conflict in consistency::conflicts(&reader) {
            reader.error(conflict.line, &conflict.path, conflict.reason);
        }
        if reader.errors.is_empty() {
            return Ok(reader);
        }
        reader.errors.sort();
        Err(reader.errors)
    }

    /// The value at a path; `None` where it is missing or invalid.
    pub(crate) fn value(&self, path: &str) -> Option<&Value> {
        self.values.get(path)
    }

    /// Whether the file has a value at a path, also an invalid one, which has been reported already.
    pub(crate) fn has(&self, path: &str) -> bool {
        self.values.contains_key(path) || self.errors.iter().any(|error| error.path == display(path))
    }

    /// The lines on which the entries of a list begin.
    pub(crate) fn entry_lines(&self, list: &str) -> &[usize] {
        self.list_lines.get(list).map_or(&[], Vec::as_slice)
    }

    fn error(&mut self, line: usize, path: &str, reason: impl Into<String>) {
        self.errors.push(ConfigError { line, path: display(path), reason: reason.into() });
    }

    fn table(&mut self, under: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            let key_text = key.get_ref();
            let path = if under.is_empty() { key_text.to_string() } else { format!("{under}.{key_text}") };
            let line = line_of(self.text, key.span().start);
            self.key(&path, line, value.get_ref());
        }
    }

    /// Reads the value of a key: an array of tables, a table, or the value of a field.
    fn key(&mut self, path: &str, line: usize, value: &DeValue<'_>) {
        let pattern = pattern(path);
        if let Some(list) = LISTS.iter().find(|list| list.key == pattern) {
            return match value {
                DeValue::Array(items) => self.list(list.key, items),
                _ => self.error(line, path, format!("must be an array of tables, written as [[{path}]]")),
            };
        }
        if is_table(&pattern) {
            return match value {
                DeValue::Table(table) => self.table(path, table),
                _ => self.error(line, path, "must be a table"),
            };
        }
        let Some(field) = field(&pattern) else { return self.error(line, path, "is not a known key") };
        match value::read(field.value_type, value) {
            Ok(text) => {
                self.values.insert(path.to_owned(), Value { text, line });
            }
            Err(error) => self.error(line, path, error.to_string()),
        }
    }

    fn list(&mut self, key: &'static str, items: &DeArray<'_>) {
        for (index, item) in items.iter().enumerate() {
            let line = line_of(self.text, item.span().start);
            self.list_lines.entry(key).or_default().push(line);
            let path = format!("{key}.{index}");
            match item.get_ref() {
                DeValue::Table(table) => self.table(&path, table),
                _ => self.error(line, &path, "must be a table"),
            }
        }
    }

    fn find_missing(&mut self) {
        for field in FIELDS.iter().filter(|field| field.is_required) {
            match field.key.split_once(".#.") {
                Some((list, key)) => self.find_missing_in_entries(list, key),
                None if !self.has(field.key) => self.error(1, field.key, "is missing"),
                None => {}
            }
        }
        if self.entry_lines("method").is_empty() && !self.has("method") {
            self.error(1, "method", "is missing: at least one is required");
        }
    }

    fn find_missing_in_entries(&mut self, list: &str, key: &str) {
        for (index, line) in self.entry_lines(list).to_vec().into_iter().enumerate() {
            let path = format!("{list}.{index}.{key}");
            if !self.has(&path) {
                self.error(line, &path, "is missing");
            }
        }
    }
}
