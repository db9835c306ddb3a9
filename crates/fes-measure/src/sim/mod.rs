//! Simulation of a fleet on virtual time. Under the current policy, connection placement and agent
//! decisions run the production code; upstreams and clients are simulated.

mod agent;
mod attempt;
mod baseline;
mod client;
mod current;
mod discipline;
mod event_queue;
mod fleet;
mod network;
mod outcome;
mod scenario;
mod variate;
mod workload;

pub(crate) use agent::AgentPolicy;
pub(crate) use agent::Arrival;
pub(crate) use agent::PolicyAction;
pub(crate) use discipline::Discipline;
pub(crate) use event_queue::EventQueue;
pub(crate) use fleet::Fleet;
pub(crate) use network::Network;
pub(crate) use outcome::Outcome;
pub(crate) use outcome::RunResult;
pub(crate) use scenario::MixComponent;
pub(crate) use scenario::Scenario;
pub(crate) use variate::Variates;
