//! Reads tickets from files.

use std::path::Path;
use std::sync::Arc;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::Ticket;
use fes_tickets::TicketFormat;
use fes_tickets::parse_ticket;

/// Reads and validates a ticket. Its format is given by the file name extension; the default is
/// TOML.
pub(crate) fn read_ticket(path: &Path) -> Result<Arc<Ticket>> {
    let file = path.display().to_string();
    let content = std::fs::read_to_string(path).map_err(|source| {
        let detail = format!("{file} can't be read");
        Error::io(ResultCode::SettingsUnreadable, detail, source)
    })?;
    let format = TicketFormat::from_file_name(&file).unwrap_or(TicketFormat::Toml);
    let ticket = parse_ticket(&content, format).map_err(|faults| {
        let count = faults.len();
        let detail = format!("{file} has {count} faults; 'fescueshift check {file}' shows them");
        Error::coded(ResultCode::TicketInvalid, detail)
    })?;
    Ok(Arc::new(ticket))
}
