//! Decisions for pass-through flows.
//!
//! A pass-through flow carries packets that the system can't change: entries receive what clients
//! send, agents beside the targets deliver it and send answers straight to clients. Everything here
//! is `(now, event) -> actions`: no clock, no socket, no randomness of its own.

mod agent;
mod agent_table;
mod catalogue;
mod codec;
mod entry;
mod fleet_view;
mod flow_directory;
mod flow_table;
mod message;
mod node_settings;
mod note;
mod placement;
mod request_queue;
mod segment;
mod target_watch;

pub use agent::AgentAction;
pub use agent::AgentCore;
pub use agent_table::AgentState;
pub use agent_table::AgentTable;
pub use catalogue::Demand;
pub use catalogue::FlowUse;
pub use catalogue::Route;
pub use catalogue::RouteSet;
pub use catalogue::ServiceTag;
pub use catalogue::TargetRecord;
pub use catalogue::TargetState;
pub use catalogue::WeightedService;
pub use codec::MAX_MESSAGE_BYTES;
pub use codec::decode_message;
pub use codec::encode_message;
pub use entry::EntryAction;
pub use entry::EntryCore;
pub use fleet_view::FleetView;
pub use fleet_view::ListChange;
pub use fleet_view::ViewEvent;
pub use flow_directory::Attempt;
pub use flow_directory::FlowDirectory;
pub use flow_directory::FlowRecord;
pub use flow_directory::FlowState;
pub use flow_directory::MAX_ATTEMPTS;
pub use flow_directory::Opening;
pub use flow_directory::Owner;
pub use flow_directory::Search;
pub use flow_table::AgentFlow;
pub use flow_table::FlowCounts;
pub use flow_table::FlowTable;
pub use message::Claim;
pub use message::Forward;
pub use message::Hello;
pub use message::LoadReport;
pub use message::Message;
pub use message::ReturnReason;
pub use message::RoutesPart;
pub use message::TargetHint;
pub use message::TargetsPart;
pub use message::ViewDigest;
pub use node_settings::AgentPlace;
pub use node_settings::NodePlace;
pub use node_settings::NodeSettings;
pub use note::Note;
pub use note::Outcome;
pub use placement::Choice;
pub use placement::Fleet;
pub use placement::choose;
pub use request_queue::HeldRequest;
pub use request_queue::RequestQueue;
pub use segment::FlowKey;
pub use segment::Segment;
pub use segment::Sender;
pub use target_watch::TargetWatch;
