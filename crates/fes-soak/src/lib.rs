//! Randomised soak test: runs the daemons as separate processes, with test doubles of the store,
//! routers, clients and targets on loopback, and injects faults from outside.
//!
//! Violations are determined from what clients and targets observe.

mod clients;
mod daemon;
mod network;
mod plan;
mod record;
mod relay;
mod run;
mod store;
mod targets;

pub use daemon::DaemonId;
pub use network::NODE_PORT;
pub use network::Network;
pub use record::Record;
pub use relay::LinkFault;
pub use relay::Relay;
pub use run::Report;
pub use run::SoakOptions;
pub use run::run;
