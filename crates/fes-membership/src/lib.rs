//! Heartbeats, liveness, incarnations, clock jumps and process life cycle.
//!
//! Nothing in this crate reads a clock or a socket.

mod assessment;
mod clock_guard;
mod entry_view;
mod flap_damper;
mod incarnation;
mod leaving;
pub mod lifecycle;
mod mesh_plan;
mod peer;
mod peer_table;
mod publisher;
pub mod simulation;
mod timing;
mod traffic;
mod verdict_book;
mod verdict_gossip;
mod vm_list;
mod watch;

pub use clock_guard::ClockEvent;
pub use clock_guard::ClockGuard;
pub use entry_view::EntryView;
pub use entry_view::EntryViewAction;
pub use entry_view::EntryViewEvent;
pub use flap_damper::FlapDamper;
pub use incarnation::Admission;
pub use incarnation::IncarnationTracker;
pub use leaving::LeaveSource;
pub use leaving::LeavingSignal;
pub use mesh_plan::ENTRY_WATCHERS;
pub use mesh_plan::MAX_WATCHERS;
pub use mesh_plan::agent_watchers;
pub use mesh_plan::entry_watchers;
pub use mesh_plan::watched_by;
pub use peer::PeerLoad;
pub use peer::PeerState;
pub use peer_table::AgentIdentity;
pub use peer_table::NEVER_HEARD;
pub use peer_table::PeerTable;
pub use peer_table::PeerTableAction;
pub use peer_table::PeerTableEvent;
pub use timing::DEAD_AFTER_MS;
pub use timing::ENTRY_DEAD_AFTER_MS;
pub use timing::ENTRY_HEARTBEAT_PERIOD_MS;
pub use timing::ENTRY_SUSPECT_AFTER_MS;
pub use timing::SUSPECT_AFTER_MS;
pub use timing::heartbeat_period_ms;
pub use traffic::TrafficMeter;
pub use traffic::datagram_bytes;
pub use verdict_book::Merge;
pub use verdict_book::VerdictBook;
pub use vm_list::VmHint;
pub use vm_list::VmList;
pub use vm_list::VmState;
