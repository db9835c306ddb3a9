mod agent_core;
mod delivery;
mod heartbeats;
mod lookup;
mod request_results;
mod stopping;
mod target_packets;

pub use agent_core::AgentAction;
pub use agent_core::AgentCore;
