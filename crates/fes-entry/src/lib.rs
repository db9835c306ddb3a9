//! Entry daemon of the forwarding fleet, as a library.
//!
//! An entry routes each client datagram to an agent, by its connection ID or by placement. It keeps
//! no state for flows.

mod context;
mod counters;
mod data_plane;
mod entry;
mod message;
mod report;
mod tasks;
mod view_component;

pub use counters::EntryCounters;
pub use entry::Entry;
pub use entry::EntryHandle;
