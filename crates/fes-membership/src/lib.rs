//! Heartbeats, liveness, incarnations, clock jumps and process life cycle.
//!
//! The types of this crate do no I/O and read no clock: the host passes them events with the
//! current time and carries out the returned actions.

mod agent_record;
mod assessment;
mod byte_budget;
mod clock_monitor;
mod flap_damper;
mod incarnation;
mod leave_requests;
pub mod lifecycle;
mod observers;
mod peer;
mod peer_table;
pub mod simulation;
mod target_liveness;
mod target_liveness_event;
mod target_liveness_traits;
mod timing;
mod traffic;
mod verdict_gossip;
mod verdict_publisher;
mod verdict_store;
mod vm_list;

pub use clock_monitor::ClockEvent;
pub use clock_monitor::ClockMonitor;
pub use flap_damper::FlapDamper;
pub use incarnation::IncarnationCheck;
pub use incarnation::IncarnationTracker;
pub use leave_requests::LeaveRequests;
pub use leave_requests::LeaveSource;
pub use observers::MAX_AGENT_OBSERVERS;
pub use observers::MAX_ENTRY_OBSERVERS;
pub use observers::agent_observers;
pub use observers::entry_observers;
pub use observers::targets_observed_by;
pub use peer::PeerLoad;
pub use peer::PeerState;
pub use peer_table::AgentIdentity;
pub use peer_table::PeerTable;
pub use peer_table::PeerTableAction;
pub use peer_table::PeerTableEvent;
pub use peer_table::UNKNOWN_INCARNATION;
pub use target_liveness::TargetLiveness;
pub use target_liveness_event::TargetLivenessAction;
pub use target_liveness_event::TargetLivenessEvent;
pub use timing::DEAD_AFTER_MS;
pub use timing::ENTRY_DEAD_AFTER_MS;
pub use timing::ENTRY_HEARTBEAT_PERIOD_MS;
pub use timing::ENTRY_SUSPECT_AFTER_MS;
pub use timing::SUSPECT_AFTER_MS;
pub use timing::heartbeat_period_ms;
pub use traffic::TrafficMeter;
pub use traffic::datagram_bytes;
pub use verdict_store::MergeOutcome;
pub use verdict_store::VerdictStore;
pub use vm_list::VmHint;
pub use vm_list::VmList;
pub use vm_list::VmState;
