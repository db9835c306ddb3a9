//! Content digest and version of a ticket.

use std::fmt;
use std::hash::Hasher;

use fes_protocol::Ticket;
use fes_protocol::TicketNumber;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher24;

use crate::TicketWire;

/// Version that identifies a ticket. Versions are ordered by number, then by content digest: of two
/// tickets with the same number, all processes choose the one with the larger digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketVersion {
    /// Ticket number.
    pub number: TicketNumber,
    /// Content digest.
    pub digest: u64,
}

impl TicketVersion {
    /// Returns the version of a ticket.
    #[must_use]
    pub fn of(ticket: &Ticket) -> Self {
        Self {
            number: ticket.number,
            digest: content_digest(ticket),
        }
    }
}

impl fmt::Display for TicketVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:016x}", self.number, self.digest)
    }
}

/// Returns the content digest of a ticket. It doesn't depend on the order of the services and
/// fleets in it.
#[must_use]
pub fn content_digest(ticket: &Ticket) -> u64 {
    let mut wire = TicketWire::from(ticket);
    wire.services.sort_by_key(|service| service.id);
    wire.fleets
        .sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
    // Encoding these types into memory can't fail.
    let bytes = bincode::serde::encode_to_vec(&wire, bincode::config::standard());
    let mut hasher = SipHasher24::new();
    hasher.write(&bytes.unwrap_or_default());
    hasher.finish()
}
