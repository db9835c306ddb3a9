//! Parsing of published tickets.

use fes_protocol::ResultCode;
use fes_protocol::Ticket;
use serde_json::Value;

use crate::TicketFault;
use crate::validate::ticket_from_document;

/// Maximum size of a ticket in bytes. The platform stores values of up to 1 MB.
pub const MAX_TICKET_BYTES: usize = 1_000_000;

/// Text format of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketFormat {
    /// JSON.
    Json,
    /// TOML.
    Toml,
}

impl TicketFormat {
    /// Returns the format for the extension of a file name.
    #[must_use]
    pub fn from_file_name(name: &str) -> Option<Self> {
        match name.rsplit_once('.')?.1 {
            "json" => Some(Self::Json),
            "toml" => Some(Self::Toml),
            _ => None,
        }
    }
}

/// Parses and validates a ticket.
///
/// # Errors
///
/// Returns all faults of the ticket, or a single fault if the text is too large or has a syntax
/// error.
pub fn parse_ticket(text: &str, format: TicketFormat) -> Result<Ticket, Vec<TicketFault>> {
    if text.len() > MAX_TICKET_BYTES {
        return Err(vec![TicketFault {
            code: ResultCode::TicketTooLarge,
            location: "ticket".to_owned(),
            value: format!("{} bytes", text.len()),
            allowed: format!("at most {MAX_TICKET_BYTES} bytes"),
        }]);
    }
    let document = match format {
        TicketFormat::Json => parse_json(text),
        TicketFormat::Toml => parse_toml(text),
    };
    ticket_from_document(&document.map_err(|fault| vec![fault])?)
}

fn parse_json(text: &str) -> Result<Value, TicketFault> {
    serde_json::from_str(text).map_err(|error| TicketFault {
        code: ResultCode::TicketSyntax,
        location: format!("line {}, column {}", error.line(), error.column()),
        value: error.to_string(),
        allowed: "one JSON object".to_owned(),
    })
}

fn parse_toml(text: &str) -> Result<Value, TicketFault> {
    let syntax_fault = |error: toml::de::Error| TicketFault {
        code: ResultCode::TicketSyntax,
        location: toml_location(text, error.span().map_or(0, |span| span.start)),
        value: error.message().to_owned(),
        allowed: "a TOML document".to_owned(),
    };
    let table: toml::Table = toml::from_str(text).map_err(syntax_fault)?;
    serde_json::to_value(&table).map_err(|error| TicketFault {
        code: ResultCode::TicketSyntax,
        location: "ticket".to_owned(),
        value: error.to_string(),
        allowed: "a TOML document".to_owned(),
    })
}

/// Returns the line and column of a byte offset.
fn toml_location(text: &str, offset: usize) -> String {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    format!("line {line}, column {column}")
}
