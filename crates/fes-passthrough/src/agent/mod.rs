mod agent_core;
mod delivery;
mod heartbeats;
mod lookup;
mod queued_requests;
mod request_results;
mod stopping;
mod target_packets;
mod warm_up;

pub use agent_core::AgentAction;
pub use agent_core::AgentCore;
