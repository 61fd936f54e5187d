//! Decodes one value by its type and formats it as plain text, the form of settings.

use crate::fields::ValueType;
use fernroute::Time;
use std::net::SocketAddr;
use toml::de::DeValue;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Units of [`Time`] in a second and in a millisecond.
const TIME_PER_SECOND: f64 = 10_000.0;
const TIME_PER_MILLISECOND: f64 = 10.0;

/// Why a value is invalid; shown after the path of its key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum ValueError {
    #[error("must be a non-empty string")]
    EmptyText,
    #[error("must be a string")]
    NotText,
    #[error("must be an IP address with a port")]
    NotAddress,
    #[error("{0} is not an IP address with a port")]
    InvalidListAddress(String),
    #[error("must be a list of addresses")]
    NotAddressList,
    #[error("must be a string of up to 16 hexadecimal digits")]
    NotHex,
    #[error("must be true or false")]
    NotFlag,
    #[error("must be a number")]
    NotNumber,
    #[error("{value} is not between {min} and {max}")]
    OutOfRange { value: f64, min: f64, max: f64 },
    #[error("{0} is not a whole number")]
    NotWhole(f64),
    #[error("{word} is not one of {}", known.join(", "))]
    UnknownWord { word: String, known: &'static [&'static str] },
    #[error("must be a list of strings")]
    NotWordList,
}

/// Decodes a value into plain text.
pub(crate) fn read(value_type: ValueType, value: &DeValue<'_>) -> Result<String, ValueError> {
    match value_type {
        ValueType::Text => text(value).filter(|text| !text.trim().is_empty()).ok_or(ValueError::EmptyText),
        ValueType::Address => address(value),
        ValueType::AddressList => list(value, ValueError::NotAddressList, address_in_list),
        ValueType::Hex => {
            text(value).filter(|text| u64::from_str_radix(text, 16).is_ok()).ok_or(ValueError::NotHex)
        }
        ValueType::Flag => flag(value),
        ValueType::Count(min, max) => count(value, min, max),
        ValueType::Number(min, max) => bounded(value, min, max).map(|number| number.to_string()),
        ValueType::Seconds => time(value, TIME_PER_SECOND),
        ValueType::Millis => time(value, TIME_PER_MILLISECOND),
        ValueType::Word(known) => word(&text(value).ok_or(ValueError::NotText)?, known),
        ValueType::WordList(known) => list(value, ValueError::NotWordList, |item| word(item, known)),
    }
}

fn text(value: &DeValue<'_>) -> Option<String> {
    match value {
        DeValue::String(text) => Some(text.to_string()),
        _ => None,
    }
}

fn address(value: &DeValue<'_>) -> Result<String, ValueError> {
    let address = text(value).and_then(|text| text.parse::<SocketAddr>().ok());
    address.map(|address| address.to_string()).ok_or(ValueError::NotAddress)
}

fn address_in_list(text: &str) -> Result<String, ValueError> {
    let address = text.parse::<SocketAddr>();
    address.map(|address| address.to_string()).map_err(|_| ValueError::InvalidListAddress(text.to_owned()))
}

/// The items of a list of strings, joined by commas.
fn list(
    value: &DeValue<'_>,
    not_list: ValueError,
    item: impl Fn(&str) -> Result<String, ValueError>,
) -> Result<String, ValueError> {
    let DeValue::Array(items) = value else { return Err(not_list) };
    let mut read = Vec::new();
    for value in items {
        match value.get_ref() {
            DeValue::String(text) => read.push(item(text)?),
            _ => return Err(not_list),
        }
    }
    Ok(read.join(","))
}

fn flag(value: &DeValue<'_>) -> Result<String, ValueError> {
    match value {
        DeValue::Boolean(flag) => Ok(flag.to_string()),
        _ => Err(ValueError::NotFlag),
    }
}

/// A decimal number; underscores between digits are allowed.
fn number(value: &DeValue<'_>) -> Option<f64> {
    let digits = match value {
        DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str(),
        DeValue::Float(float) => float.as_str(),
        _ => return None,
    };
    digits.replace('_', "").parse().ok()
}

fn bounded(value: &DeValue<'_>, min: f64, max: f64) -> Result<f64, ValueError> {
    let value = number(value).ok_or(ValueError::NotNumber)?;
    if value.is_finite() && (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(ValueError::OutOfRange { value, min, max })
    }
}

fn count(value: &DeValue<'_>, min: f64, max: f64) -> Result<String, ValueError> {
    let count = bounded(value, min, max)?;
    if count.fract() == 0.0 {
        Ok((count as u64).to_string())
    } else {
        Err(ValueError::NotWhole(count))
    }
}

/// A time in units of [`Time`], rounded; the file's unit is `per_unit` of them.
fn time(value: &DeValue<'_>, per_unit: f64) -> Result<String, ValueError> {
    let max = SECONDS_PER_DAY * TIME_PER_SECOND / per_unit;
    let time = (bounded(value, 0.0, max)? * per_unit).round() as Time;
    Ok(time.to_string())
}

fn word(word: &str, known: &'static [&'static str]) -> Result<String, ValueError> {
    if known.contains(&word) {
        Ok(word.to_owned())
    } else {
        Err(ValueError::UnknownWord { word: word.to_owned(), known })
    }
}
