//! Entries and agents with their real decisions about tickets and membership on virtual time.
//! Only the network and the platform are simulated.

mod cluster;
mod node;
mod packet;
mod traffic_report;

pub use cluster::SimulatedCluster;
pub use node::SimulatedNode;
pub use traffic_report::TrafficReport;
pub use traffic_report::measure_traffic;
