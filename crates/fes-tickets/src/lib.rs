//! Tickets: wire format and validation, the store of tickets in force, their distribution and
//! the comparison of two states.
//!
//! Nothing in this crate reads a clock or a socket.

mod content_digest;
mod distribution;
mod document;
mod duplicates;
mod event;
mod fault;
mod freshness;
mod gossip;
mod join;
mod leaving;
mod message;
mod parse;
mod peer_directory;
mod precedence;
mod readers;
pub mod simulation;
mod snapshot;
mod store;
mod validate;
mod wire;

pub use content_digest::TicketVersion;
pub use content_digest::content_digest;
pub use distribution::Distribution;
pub use distribution::DistributionSettings;
pub use event::DistributionAction;
pub use event::DistributionEvent;
pub use event::DistributionReport;
pub use event::PlatformAnswer;
pub use fault::TicketFault;
pub use freshness::Freshness;
pub use freshness::PlatformContact;
pub use message::Endpoint;
pub use message::MAX_MESSAGE_BYTES;
pub use message::TicketMessage;
pub use message::decode_message;
pub use message::encode_message;
pub use parse::MAX_TICKET_BYTES;
pub use parse::TicketFormat;
pub use parse::parse_ticket;
pub use peer_directory::Distance;
pub use peer_directory::Peer;
pub use peer_directory::PeerDirectory;
pub use peer_directory::distance_between;
pub use peer_directory::processes_changed;
pub use precedence::HighestWins;
pub use precedence::Precedence;
pub use readers::PlatformRead;
pub use readers::ReadCounters;
pub use snapshot::InForce;
pub use snapshot::NodeAddresses;
pub use snapshot::Snapshot;
pub use store::ApplyOutcome;
pub use store::StoreReport;
pub use store::TicketStore;
pub use wire::EntryWire;
pub use wire::FleetWire;
pub use wire::KeyEpochWire;
pub use wire::ServiceWire;
pub use wire::TicketWire;
pub use wire::UpstreamWire;
pub use wire::decode_ticket;
pub use wire::encode_ticket;
