//! From the text of a file to its values: what is not known, of the wrong kind or missing becomes a fault with its line.

use crate::fields::{field, is_table, FIELDS, LISTS};
use crate::place::{display, line_of, pattern};
use crate::{consistency, value, ConfigError};
use std::collections::BTreeMap;
use toml::de::{DeArray, DeTable, DeValue};

/// A value that was read, as plain text, and its line.
#[derive(Clone, Debug, Default)]
pub(crate) struct Value {
    pub(crate) text: String,
    pub(crate) line: usize,
}

/// Values by their places.
pub(crate) type Values = BTreeMap<String, Value>;

/// What was read of a file so far.
pub(crate) struct Reader<'a> {
    text: &'a str,
    pub(crate) values: Values,
    /// The line on which each entry of a list begins, by the list's key.
    list_lines: BTreeMap<&'static str, Vec<usize>>,
    faults: Vec<ConfigError>,
}

impl<'a> Reader<'a> {
    /// Reads a file whole, or says all that is wrong with it, in the order of its lines.
    pub(crate) fn read(text: &'a str) -> Result<Self, Vec<ConfigError>> {
        let mut reader =
            Reader { text, values: Values::new(), list_lines: BTreeMap::new(), faults: Vec::new() };
        let table = DeTable::parse(text).map_err(|error| {
            let line = line_of(text, error.span().map_or(0, |span| span.start));
            vec![ConfigError { line, path: String::new(), reason: error.message().replace('\n', " ") }]
        })?;
        reader.table("", table.get_ref());
        reader.find_missing();
        for conflict in consistency::conflicts(&reader) {
            reader.fault(conflict.line, &conflict.place, conflict.why);
        }
        if reader.faults.is_empty() {
            return Ok(reader);
        }
        reader.faults.sort();
        Err(reader.faults)
    }

    /// The value at a place, if the file has one that can be used.
    pub(crate) fn value(&self, place: &str) -> Option<&Value> {
        self.values.get(place)
    }

    /// Whether the file says something there; what can't be used is a fault already.
    pub(crate) fn has(&self, place: &str) -> bool {
        self.values.contains_key(place) || self.faults.iter().any(|fault| fault.path == display(place))
    }

    /// The lines on which the entries of a list begin.
    pub(crate) fn entry_lines(&self, list: &str) -> &[usize] {
        self.list_lines.get(list).map_or(&[], Vec::as_slice)
    }

    fn fault(&mut self, line: usize, place: &str, why: impl Into<String>) {
        self.faults.push(ConfigError { line, path: display(place), reason: why.into() });
    }

    fn table(&mut self, under: &str, table: &DeTable<'_>) {
        for (key, value) in table {
            let key_text = key.get_ref();
            let place = if under.is_empty() { key_text.to_string() } else { format!("{under}.{key_text}") };
            let line = line_of(self.text, key.span().start);
            self.key(&place, line, value.get_ref());
        }
    }

    /// A key with its value: a list of tables, a table, or the value of a field.
    fn key(&mut self, place: &str, line: usize, value: &DeValue<'_>) {
        let pattern = pattern(place);
        if let Some(list) = LISTS.iter().find(|list| list.key == pattern) {
            return match value {
                DeValue::Array(items) => self.list(list.key, items),
                _ => self.fault(line, place, format!("is written [[{place}]], as often as needed")),
            };
        }
        if is_table(&pattern) {
            return match value {
                DeValue::Table(table) => self.table(place, table),
                _ => self.fault(line, place, "is no table"),
            };
        }
        let Some(field) = field(&pattern) else { return self.fault(line, place, "is not known") };
        match value::read(field.form, value) {
            Ok(text) => {
                self.values.insert(place.to_owned(), Value { text, line });
            }
            Err(error) => self.fault(line, place, error.to_string()),
        }
    }

    fn list(&mut self, key: &'static str, items: &DeArray<'_>) {
        for (number, item) in items.iter().enumerate() {
            let line = line_of(self.text, item.span().start);
            self.list_lines.entry(key).or_default().push(line);
            let place = format!("{key}.{number}");
            match item.get_ref() {
                DeValue::Table(table) => self.table(&place, table),
                _ => self.fault(line, &place, "is no table"),
            }
        }
    }

    fn find_missing(&mut self) {
        for field in FIELDS.iter().filter(|field| field.is_required) {
            match field.key.split_once(".#.") {
                Some((list, key)) => self.find_missing_in_entries(list, key),
                None if !self.has(field.key) => self.fault(1, field.key, "is missing"),
                None => {}
            }
        }
        if self.entry_lines("method").is_empty() && !self.has("method") {
            self.fault(1, "method", "is missing: there must be one at the least");
        }
    }

    fn find_missing_in_entries(&mut self, list: &str, key: &str) {
        for (number, line) in self.entry_lines(list).to_vec().into_iter().enumerate() {
            let place = format!("{list}.{number}.{key}");
            if !self.has(&place) {
                self.fault(line, &place, "is missing");
            }
        }
    }
}
