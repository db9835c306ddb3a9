//! Agents with their real at-most-once decisions on virtual time, for scenarios and seeded runs.
//!
//! Coordinator, response matcher, store and life cycle are the real ones; clients, links, upstreams
//! and a first-in-first-out admission are simulated. Nothing here binds a port.

mod agent;
mod clients;
mod dispatch;
mod event;
mod injected_bug;
mod lifecycle;
mod network;
mod simulation;
mod upstream;

pub use agent::SimulatedAgent;
pub use agent::UpstreamMode;
pub use clients::AttemptOutcome;
pub use clients::ClientAttempt;
pub use event::Fault;
pub use injected_bug::InjectedBug;
pub use network::SimulatedNetwork;
pub use simulation::FleetSimulation;
pub use simulation::UpstreamRun;
