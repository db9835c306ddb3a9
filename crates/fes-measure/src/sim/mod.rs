//! Virtual-time fleet: entries' placement, agents with the real decision code, fake upstreams and
//! seeded clients.

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
mod source;
mod variate;

pub(crate) use agent::AgentPolicy;
pub(crate) use agent::Arrival;
pub(crate) use agent::Step;
pub(crate) use discipline::Discipline;
pub(crate) use event_queue::EventQueue;
pub(crate) use fleet::Fleet;
pub(crate) use network::Network;
pub(crate) use outcome::Outcome;
pub(crate) use outcome::RunResult;
pub(crate) use scenario::ClassMix;
pub(crate) use scenario::Scenario;
pub(crate) use variate::Variates;
