//! Reads the fields of a parsed document and collects all faults.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use fes_protocol::ResultCode;
use serde_json::Map;
use serde_json::Value;

use crate::TicketFault;

/// Length above which a value in a fault is truncated.
const MAX_SHOWN_VALUE_CHARS: usize = 60;
const MAX_NAME_BYTES: usize = 63;

/// Faults that were found so far.
#[derive(Debug, Default)]
pub(crate) struct Faults(RefCell<Vec<TicketFault>>);

impl Faults {
    pub(crate) fn add(
        &self,
        code: ResultCode,
        location: impl Into<String>,
        value: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.0.borrow_mut().push(TicketFault {
            code,
            location: location.into(),
            value: value.into(),
            allowed: allowed.into(),
        });
    }

    pub(crate) fn into_vec(self) -> Vec<TicketFault> {
        self.0.into_inner()
    }
}

/// A table of the document and its location.
pub(crate) struct Table<'a> {
    location: String,
    fields: &'a Map<String, Value>,
    faults: &'a Faults,
}

impl<'a> Table<'a> {
    /// Interprets `value` as a table and reports fields that are not in `known_fields`.
    pub(crate) fn new(
        value: &'a Value,
        location: String,
        known_fields: &[&str],
        faults: &'a Faults,
    ) -> Option<Self> {
        let Some(fields) = value.as_object() else {
            faults.add(
                ResultCode::TicketWrongType,
                location,
                format_value(value),
                "a table",
            );
            return None;
        };
        let table = Self {
            location,
            fields,
            faults,
        };
        for (name, value) in fields {
            if !known_fields.contains(&name.as_str()) {
                let allowed = format!("one of {}", known_fields.join(", "));
                table.fault(ResultCode::TicketUnknownField, name, value, &allowed);
            }
        }
        Some(table)
    }

    /// Returns the location of a field in the document.
    pub(crate) fn location_of(&self, field: &str) -> String {
        if self.location.is_empty() {
            return field.to_owned();
        }
        format!("{}.{field}", self.location)
    }

    /// Reads a whole number within `range`.
    pub(crate) fn number(&self, field: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.required(field, &allowed)?;
        if !value.is_number() {
            self.fault(ResultCode::TicketWrongType, field, value, &allowed);
            return None;
        }
        let number = value.as_u64().filter(|number| range.contains(number));
        if number.is_none() {
            self.fault(ResultCode::TicketBadNumber, field, value, &allowed);
        }
        number
    }

    /// Reads a 32-bit whole number within `range`.
    pub(crate) fn number32(&self, field: &str, range: RangeInclusive<u32>) -> Option<u32> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        self.number(field, wide)
            .and_then(|number| u32::try_from(number).ok())
    }

    /// Reads a valid name.
    pub(crate) fn name(&self, field: &str) -> Option<&'a str> {
        let value = self.required(field, NAME_ALLOWED)?;
        self.check_name(&self.location_of(field), value)
    }

    /// Reads a socket address.
    pub(crate) fn address(&self, field: &str) -> Option<SocketAddr> {
        let value = self.required(field, ADDRESS_ALLOWED)?;
        self.check_address(&self.location_of(field), value)
    }

    /// Reads one of the given words and returns the value that belongs to it.
    pub(crate) fn choice<T: Copy>(&self, field: &str, choices: &[(&str, T)]) -> Option<T> {
        let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        let allowed = words.join(" or ");
        let value = self.required(field, &allowed)?;
        let found = value
            .as_str()
            .and_then(|text| choices.iter().find(|(word, _)| *word == text));
        if found.is_none() {
            self.fault(ResultCode::TicketBadChoice, field, value, &allowed);
        }
        found.map(|(_, choice)| *choice)
    }

    /// Reads a required list of names and returns them with their locations.
    pub(crate) fn names(&self, field: &str) -> Vec<(String, &'a str)> {
        let read = |(location, value): (String, &'a Value)| {
            self.check_name(&location, value)
                .map(|name| (location, name))
        };
        self.required_list(field)
            .into_iter()
            .filter_map(read)
            .collect()
    }

    /// Reads a required list of socket addresses and returns them with their locations.
    pub(crate) fn addresses(&self, field: &str) -> Vec<(String, SocketAddr)> {
        let read = |(location, value): (String, &'a Value)| {
            self.check_address(&location, value).map(|a| (location, a))
        };
        self.required_list(field)
            .into_iter()
            .filter_map(read)
            .collect()
    }

    /// Reads a required list and returns its items with their locations.
    pub(crate) fn required_list(&self, field: &str) -> Vec<(String, &'a Value)> {
        match self.required(field, "a list") {
            Some(value) => self.items(field, value),
            None => Vec::new(),
        }
    }

    /// Reads an optional list and returns its items with their locations.
    pub(crate) fn optional_list(&self, field: &str) -> Vec<(String, &'a Value)> {
        match self.optional(field) {
            Some(value) => self.items(field, value),
            None => Vec::new(),
        }
    }

    /// Returns an optional field. A null value counts as absent.
    pub(crate) fn optional(&self, field: &str) -> Option<&'a Value> {
        self.fields.get(field).filter(|value| !value.is_null())
    }

    fn items(&self, field: &str, value: &'a Value) -> Vec<(String, &'a Value)> {
        let Some(items) = value.as_array() else {
            self.fault(ResultCode::TicketWrongType, field, value, "a list");
            return Vec::new();
        };
        let location = self.location_of(field);
        let with_location =
            |(index, item): (usize, &'a Value)| (format!("{location}[{index}]"), item);
        items.iter().enumerate().map(with_location).collect()
    }

    fn required(&self, field: &str, allowed: &str) -> Option<&'a Value> {
        let value = self.optional(field);
        if value.is_none() {
            self.faults.add(
                ResultCode::TicketMissingField,
                self.location_of(field),
                "",
                allowed,
            );
        }
        value
    }

    fn check_name(&self, location: &str, value: &'a Value) -> Option<&'a str> {
        let Some(name) = value.as_str() else {
            let code = ResultCode::TicketWrongType;
            self.faults
                .add(code, location, format_value(value), NAME_ALLOWED);
            return None;
        };
        if is_valid_name(name) {
            return Some(name);
        }
        let code = ResultCode::TicketBadName;
        self.faults
            .add(code, location, format_value(value), NAME_ALLOWED);
        None
    }

    fn check_address(&self, location: &str, value: &Value) -> Option<SocketAddr> {
        let Some(text) = value.as_str() else {
            let code = ResultCode::TicketWrongType;
            self.faults
                .add(code, location, format_value(value), ADDRESS_ALLOWED);
            return None;
        };
        let address = text.parse::<SocketAddr>().ok();
        let address = address.filter(|a| a.port() != 0 && !a.ip().is_unspecified());
        if address.is_none() {
            let code = ResultCode::TicketBadAddress;
            self.faults
                .add(code, location, format_value(value), ADDRESS_ALLOWED);
        }
        address
    }

    fn fault(&self, code: ResultCode, field: &str, value: &Value, allowed: &str) {
        self.faults
            .add(code, self.location_of(field), format_value(value), allowed);
    }
}

const NAME_ALLOWED: &str =
    "1 to 63 lower-case letters, digits, '-' and '.', starting with a letter or digit";
const ADDRESS_ALLOWED: &str = "IP:PORT with a numeric IP address and a port from 1 to 65535";

fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let has_valid_start = name
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    has_valid_start && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}

/// Formats a value for a fault, truncated if long.
fn format_value(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_SHOWN_VALUE_CHARS).collect();
    format!("{start}...")
}
