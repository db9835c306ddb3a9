//! Randomised fault soak: the real daemons as separate processes, stand-ins for the platform's
//! store, routers, clients and targets on loopback, and faults from outside.
//!
//! Violations are judged from what clients and targets see.

mod clients;
mod fleet;
mod network;
mod plan;
mod record;
mod relay;
mod run;
mod store;
mod targets;

pub use fleet::DaemonId;
pub use network::NODE_PORT;
pub use network::Network;
pub use record::Record;
pub use relay::LinkFault;
pub use relay::Relay;
pub use run::Report;
pub use run::SoakOptions;
pub use run::run;
