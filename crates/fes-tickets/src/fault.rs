//! Faults of a ticket.

use std::fmt;

use fes_protocol::ResultCode;

/// A fault of a ticket with the information that an operator needs to correct it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketFault {
    /// Result code of the group 4xxx.
    pub code: ResultCode,
    /// Path of the field such as `services[0].upstreams[2].slots`, or the position of a syntax
    /// error such as `line 3, column 7`.
    pub location: String,
    /// The value found, truncated if long; empty if the value is missing.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl TicketFault {
    /// Returns how the operator can correct the fault.
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
