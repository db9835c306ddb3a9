//! Agent daemon of the forwarding fleet, as a library.
//!
//! An agent runs on the VM of one upstream. It terminates QUIC and HTTP/3, schedules the requests
//! and sends them to the upstream over HTTP/2.

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
