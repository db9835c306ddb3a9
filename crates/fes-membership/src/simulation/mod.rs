//! Simulation of entries and agents on virtual time. Ticket distribution and membership run the
//! production code; only the network and the platform are simulated.

mod cluster;
mod node;
mod packet;
mod traffic_report;

pub use cluster::SimulatedCluster;
pub use node::SimulatedNode;
pub use traffic_report::TrafficReport;
pub use traffic_report::measure_traffic;
