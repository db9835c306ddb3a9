//! Simulation of a fleet on virtual time that runs the production at-most-once code of the agents.
//!
//! The coordinator, response matcher, store and life cycle are the production ones. Clients, links,
//! upstreams and a first-in-first-out admission queue are simulated. Nothing binds a port.

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
