//! One value of a file: read as its field says, and written as the plain text that settings are made of.

use crate::fields::Form;
use fernroute::Time;
use std::net::SocketAddr;
use toml::de::DeValue;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Units of [`Time`] in a second and in a millisecond.
const TIME_PER_SECOND: f64 = 10_000.0;
const TIME_PER_MILLISECOND: f64 = 10.0;

/// What is wrong with a value, as it stands behind its place in a fault.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum ValueError {
    #[error("is no text, or empty")]
    NoText,
    #[error("is no text")]
    NoWord,
    #[error("is no address with a port")]
    NoAddress,
    #[error("{0} is no address with a port")]
    NoAddressInList(String),
    #[error("is no list of addresses")]
    NoAddressList,
    #[error("is no text of up to 16 hexadecimal digits")]
    NoHex,
    #[error("is neither true nor false")]
    NoFlag,
    #[error("is no number")]
    NoNumber,
    #[error("{value} is not between {min} and {max}")]
    OutOfRange { value: f64, min: f64, max: f64 },
    #[error("{0} is not whole")]
    NotWhole(f64),
    #[error("{word} is none of {}", known.join(", "))]
    UnknownWord { word: String, known: &'static [&'static str] },
    #[error("is no list of texts")]
    NoWordList,
}

/// The value as plain text.
pub(crate) fn read(form: Form, value: &DeValue<'_>) -> Result<String, ValueError> {
    match form {
        Form::Text => text(value).filter(|text| !text.trim().is_empty()).ok_or(ValueError::NoText),
        Form::Address => address(value),
        Form::AddressList => list(value, ValueError::NoAddressList, address_in_list),
        Form::Hex => {
            text(value).filter(|text| u64::from_str_radix(text, 16).is_ok()).ok_or(ValueError::NoHex)
        }
        Form::Flag => flag(value),
        Form::Count(min, max) => count(value, min, max),
        Form::Number(min, max) => bounded(value, min, max).map(|number| number.to_string()),
        Form::Seconds => time(value, TIME_PER_SECOND),
        Form::Millis => time(value, TIME_PER_MILLISECOND),
        Form::Word(known) => word(&text(value).ok_or(ValueError::NoWord)?, known),
        Form::WordList(known) => list(value, ValueError::NoWordList, |item| word(item, known)),
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
    address.map(|address| address.to_string()).ok_or(ValueError::NoAddress)
}

fn address_in_list(text: &str) -> Result<String, ValueError> {
    let address = text.parse::<SocketAddr>();
    address.map(|address| address.to_string()).map_err(|_| ValueError::NoAddressInList(text.to_owned()))
}

/// The items of a list of texts, joined by commas.
fn list(
    value: &DeValue<'_>,
    no_list: ValueError,
    item: impl Fn(&str) -> Result<String, ValueError>,
) -> Result<String, ValueError> {
    let DeValue::Array(items) = value else { return Err(no_list) };
    let mut read = Vec::new();
    for value in items {
        match value.get_ref() {
            DeValue::String(text) => read.push(item(text)?),
            _ => return Err(no_list),
        }
    }
    Ok(read.join(","))
}

fn flag(value: &DeValue<'_>) -> Result<String, ValueError> {
    match value {
        DeValue::Boolean(flag) => Ok(flag.to_string()),
        _ => Err(ValueError::NoFlag),
    }
}

/// A decimal number, whose digits may be grouped by underscores.
fn number(value: &DeValue<'_>) -> Option<f64> {
    let digits = match value {
        DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str(),
        DeValue::Float(float) => float.as_str(),
        _ => return None,
    };
    digits.replace('_', "").parse().ok()
}

fn bounded(value: &DeValue<'_>, min: f64, max: f64) -> Result<f64, ValueError> {
    let value = number(value).ok_or(ValueError::NoNumber)?;
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

/// A time in whole units of [`Time`]; `per_unit` of them are one of the file's.
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
