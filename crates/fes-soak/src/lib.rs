//! Randomised soak test: runs the daemons as separate processes, with test doubles of the store,
//! routers, clients and targets on loopback, and injects faults from outside.
//!
//! Violations are determined from what clients and targets observe.

mod calls;
mod clients;
mod daemon;
mod network;
mod plan;
mod record;
mod relay;
mod replacement;
mod request_record;
mod route_history;
mod routes;
mod run;
mod store;
mod store_return;
mod target_listener;
mod targets;

pub use calls::CallOptions;
pub use calls::PhaseReport;
pub use calls::measure_calls;
pub use daemon::DaemonId;
pub use network::NODE_PORT;
pub use network::Network;
pub use plan::FaultKinds;
pub use record::Record;
pub use relay::LinkFault;
pub use relay::Relay;
pub use request_record::RequestRecord;
pub use request_record::UnansweredRequest;
pub use route_history::RouteHistory;
pub use run::Report;
pub use run::SoakOptions;
pub use run::run;
pub use store::ReadCounts;
