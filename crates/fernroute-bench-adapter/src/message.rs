//! Parses one line of the bench protocol: a name, then pairs of field and value in any order, separated by tabs.

use fernroute::host::{Outcome, Time};
use std::str::FromStr;

/// Why a line cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A required field is missing.
    #[error("line '{line}': field '{field}' is missing")]
    Missing { line: String, field: &'static str },
    /// The value of a field cannot be parsed.
    #[error("line '{line}': field '{field}' cannot be parsed")]
    Unreadable { line: String, field: &'static str },
}

/// A line that was received.
pub struct Message<'a> {
    pub name: &'a str,
    fields: &'a str,
}

impl<'a> Message<'a> {
    /// Separates the name of a line from its fields. Fields are parsed only when they are read.
    pub fn new(line: &'a str) -> Self {
        let (name, fields) = line.split_once('\t').unwrap_or((line, ""));
        Message { name, fields }
    }

    /// The value of an optional field.
    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.split('\t').find_map(|pair| pair.strip_prefix(field)?.strip_prefix('='))
    }

    /// The value of a required field.
    pub fn require(&self, field: &'static str) -> Result<&'a str, MessageError> {
        self.get(field).ok_or_else(|| MessageError::Missing { line: self.name.to_owned(), field })
    }

    /// A required number.
    pub fn number<T: FromStr>(&self, field: &'static str) -> Result<T, MessageError> {
        self.require(field)?.parse().map_err(|_| self.unreadable(field))
    }

    /// A required time in seconds.
    pub fn time(&self, field: &'static str) -> Result<Time, MessageError> {
        fernroute_settings::parse_seconds(self.require(field)?).ok_or_else(|| self.unreadable(field))
    }

    /// An optional time in seconds, 0 if absent. A value that cannot be parsed is an error.
    pub fn optional_time(&self, field: &'static str) -> Result<Time, MessageError> {
        match self.get(field) {
            Some(_) => self.time(field),
            None => Ok(0),
        }
    }

    /// An optional flag, false if absent.
    pub fn flag(&self, field: &str) -> bool {
        matches!(self.get(field), Some("1" | "true"))
    }

    /// The load report of the upstream, in the order of the names in the settings. Values that cannot be parsed are NaN.
    pub fn load_report(&self) -> Vec<f64> {
        let values = self.get("gauge").unwrap_or("").split(',');
        values.filter(|value| !value.is_empty()).map(|value| value.parse().unwrap_or(f64::NAN)).collect()
    }

    /// All fields; the first line of an instance carries its settings in them.
    pub fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.fields.split('\t').filter_map(|pair| pair.split_once('='))
    }

    /// The outcome of an attempt. A word that this version does not know is [`Outcome::Unknown`].
    pub fn outcome(&self) -> Result<Outcome, MessageError> {
        Ok(match self.require("result")? {
            "success" => Outcome::Completed,
            "failure" => Outcome::Failed,
            "overloaded" => Outcome::Rejected,
            "timed_out" => Outcome::TimedOut,
            "unreachable" => Outcome::ConnectFailed,
            "broken" => Outcome::Reset,
            "withdrawn" => Outcome::Cancelled,
            "void" => Outcome::NotSent,
            _ => Outcome::Unknown,
        })
    }

    fn unreadable(&self, field: &'static str) -> MessageError {
        MessageError::Unreadable { line: self.name.to_owned(), field }
    }
}
