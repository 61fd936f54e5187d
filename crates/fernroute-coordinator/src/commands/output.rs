//! Prints a reply, as JSON or as a table.

use super::error::CommandError;
use serde::Serialize;
use std::fmt::Display;

/// Prints `reply` as JSON, or as `table`, which ends its own last line.
///
/// # Errors
/// The reply has no form in JSON.
pub fn print(json: bool, reply: &impl Serialize, table: impl Display) -> Result<(), CommandError> {
    if json {
        println!("{}", serde_json::to_string_pretty(reply)?);
    } else {
        print!("{table}");
    }
    Ok(())
}
