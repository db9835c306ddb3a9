//! Placement tables, routing decisions, handling of first packets, the return path and request
//! offload.
//!
//! This crate does no I/O and reads no clock: callers pass in the time and the datagrams.

mod agent_ingress;
mod decision;
mod liveness;
mod maglev;
mod offload;
mod placement_hash;
mod recent_first_packets;
mod return_path;
mod route_table;
mod service_table;

pub use agent_ingress::AgentIngress;
pub use agent_ingress::IngressDecision;
pub use agent_ingress::IngressQuery;
pub use decision::Decision;
pub use decision::Router;
pub use decision::RoutingRule;
pub use liveness::AllAlive;
pub use liveness::LivenessView;
pub use maglev::MaglevTable;
pub use maglev::WeightedTarget;
pub use offload::LocalLoad;
pub use offload::OffloadChoice;
pub use offload::OffloadPeer;
pub use offload::OffloadPlanner;
pub use offload::OffloadRequest;
pub use offload::OffloadSettings;
pub use offload::PeerReport;
pub use placement_hash::PlacementHasher;
pub use recent_first_packets::FirstPacketOutcome;
pub use return_path::ReturnEntry;
pub use return_path::ReturnPath;
pub use route_table::RouteTable;
pub use route_table::TargetRoute;
pub use service_table::ServiceTable;
