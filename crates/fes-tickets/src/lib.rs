//! Tickets: wire format, validation, the store of tickets in force, their distribution among
//! processes, and the comparison of two states.
//!
//! This crate does no I/O and reads no clock: the caller passes in events and the time, and carries
//! out the returned actions.

mod content_digest;
mod diff;
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
mod read_scheduler;
pub mod simulation;
mod snapshot;
mod store;
mod validate;
mod wire;

pub use content_digest::TicketVersion;
pub use content_digest::content_digest;
pub use diff::FleetChange;
pub use diff::ServiceChange;
pub use diff::ServiceChangeKind;
pub use diff::SetChange;
pub use diff::StateDiff;
pub use diff::UpstreamChange;
pub use diff::UpstreamChangeKind;
pub use diff::diff_states;
pub use diff::diff_ticket;
pub use distribution::Distribution;
pub use distribution::DistributionSettings;
pub use event::DistributionAction;
pub use event::DistributionEvent;
pub use event::DistributionReport;
pub use event::PlatformAnswer;
pub use fault::TicketFault;
pub use freshness::PlatformContact;
pub use freshness::PlatformFreshness;
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
pub use read_scheduler::PlatformRead;
pub use read_scheduler::ReadCounters;
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
