//! A fault found in a ticket.

use std::fmt;

use fes_protocol::ResultCode;

/// One fault of a ticket, with all that an operator needs to correct it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketFault {
    /// Numbered code of group 4.
    pub code: ResultCode,
    /// Place in the document, for example `services[0].upstreams[2].slots` or `line 3, column 7`.
    pub location: String,
    /// The value found there, shortened if long; empty if nothing was found.
    pub value: String,
    /// What is allowed at this location.
    pub allowed: String,
}

impl TicketFault {
    /// Returns what the operator can do.
    #[must_use]
    pub const fn help(&self) -> &'static str {
        self.code.help()
    }
}

impl fmt::Display for TicketFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.code, self.location)?;
        if !self.value.is_empty() {
            write!(f, ": found {}", self.value)?;
        }
        write!(f, "; allowed: {}. {}", self.allowed, self.help())
    }
}

impl std::error::Error for TicketFault {}
