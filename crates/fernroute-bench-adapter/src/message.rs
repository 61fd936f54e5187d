//! One line of the wire: a name, then name and value pairs in any order, divided by tabs.

use fernroute::host::{Outcome, Time};
use std::str::FromStr;

/// Why a line can't be used; each names the line.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A value that the line needs is not there.
    #[error("line '{line}' lacks '{field}'")]
    Missing { line: String, field: &'static str },
    /// A value is there and can't be read.
    #[error("line '{line}': '{field}' is not readable")]
    Unreadable { line: String, field: &'static str },
}

/// A line that was received.
pub struct Message<'a> {
    pub name: &'a str,
    fields: &'a str,
}

impl<'a> Message<'a> {
    /// Divides the line's name from its values; the values are read as they are asked for.
    pub fn new(line: &'a str) -> Self {
        let (name, fields) = line.split_once('\t').unwrap_or((line, ""));
        Message { name, fields }
    }

    /// The value of a field that may be absent.
    pub fn get(&self, field: &str) -> Option<&'a str> {
        self.fields.split('\t').find_map(|pair| pair.strip_prefix(field)?.strip_prefix('='))
    }

    /// The value of a field that has to be there.
    pub fn require(&self, field: &'static str) -> Result<&'a str, MessageError> {
        self.get(field).ok_or_else(|| MessageError::Missing { line: self.name.to_owned(), field })
    }

    /// A number that has to be there.
    pub fn number<T: FromStr>(&self, field: &'static str) -> Result<T, MessageError> {
        self.require(field)?.parse().map_err(|_| self.unreadable(field))
    }

    /// A time in seconds that has to be there.
    pub fn time(&self, field: &'static str) -> Result<Time, MessageError> {
        fernroute_settings::parse_seconds(self.require(field)?).ok_or_else(|| self.unreadable(field))
    }

    /// A time that may be absent, and is 0 then; one that is there must be readable.
    pub fn optional_time(&self, field: &'static str) -> Result<Time, MessageError> {
        match self.get(field) {
            Some(_) => self.time(field),
            None => Ok(0),
        }
    }

    /// Whether a flag is set; an absent one is not.
    pub fn flag(&self, field: &str) -> bool {
        matches!(self.get(field), Some("1" | "true"))
    }

    /// The upstream's load report, in the order that the settings name; what can't be read is not a number.
    pub fn load_report(&self) -> Vec<f64> {
        let values = self.get("gauge").unwrap_or("").split(',');
        values.filter(|value| !value.is_empty()).map(|value| value.parse().unwrap_or(f64::NAN)).collect()
    }

    /// All pairs, as the first line of an instance has its settings.
    pub fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> {
        self.fields.split('\t').filter_map(|pair| pair.split_once('='))
    }

    /// How an attempt ended. A word that this version does not know may stand for anything.
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
