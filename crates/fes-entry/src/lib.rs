//! The entry daemon as a library.
//!
//! An entry routes each client datagram by its connection ID or the placement table and keeps no
//! flow state.

mod core;
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
