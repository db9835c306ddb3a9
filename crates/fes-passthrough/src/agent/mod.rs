mod agent_core;
mod answers;
mod asking;
mod delivery;
mod links;

pub use agent_core::AgentAction;
pub use agent_core::AgentCore;
