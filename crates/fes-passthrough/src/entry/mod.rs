mod early_packets;
mod entry_core;
mod established;
mod evacuation;
mod held_packets;
mod hellos;
mod opening;
mod searching;
mod status;
mod warm_up;

pub use entry_core::EntryAction;
pub use entry_core::EntryCore;
pub use status::AgentStatus;
pub use status::EntryStatus;
pub use status::EvacuationStatus;
pub use status::TripStatus;
pub use warm_up::WarmUpStatus;
