mod early_packets;
mod entry_core;
mod following;
mod opening;
mod searching;

pub use entry_core::EntryAction;
pub use entry_core::EntryCore;
