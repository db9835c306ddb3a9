//! The agent daemon as a library.
//!
//! An agent stands beside one upstream. It terminates QUIC and HTTP/3 and decides what runs.

mod agent;
mod build;
mod context;
mod counters;
mod decisions;
mod host;
mod http3_server;
mod quic;
mod relay;
mod report;
mod request;
mod tasks;
mod upstream;

pub use agent::Agent;
pub use agent::AgentHandle;
pub use counters::AgentCounters;
