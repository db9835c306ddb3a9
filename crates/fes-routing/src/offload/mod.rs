//! Offload of requests between the agents of one service.

mod planner;
mod report;
mod request;
mod settings;
mod shares;

pub use planner::OffloadPlanner;
pub use report::PeerReport;
pub use request::LocalLoad;
pub use request::OffloadChoice;
pub use request::OffloadRequest;
pub use settings::OffloadPeer;
pub use settings::OffloadSettings;
