//! Agents with their real at-most-once decisions on virtual time, for scenarios and seeded runs.
//!
//! Coordinator, response matcher, store and life cycle are the real ones; clients, links, upstreams
//! and a first-in-first-out admission are simulated. Nothing here binds a port.

mod agent;
mod broken;
mod clients;
mod event;
mod hosting;
mod life;
mod network;
mod upstream;
mod world;

pub use agent::Agent;
pub use agent::UpstreamMode;
pub use broken::Broken;
pub use clients::End;
pub use clients::Try;
pub use event::Fault;
pub use network::Network;
pub use world::Run;
pub use world::World;
