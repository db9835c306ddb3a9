//! Decision components that the agent's kernel hosts, and the messages between them.

mod keys_component;
mod message;
mod peers_component;
mod request_record;
mod work_component;
mod work_outcomes;

pub(crate) use keys_component::KeysComponent;
pub(crate) use message::AgentMessage;
pub(crate) use message::Arrival;
pub(crate) use message::KEYS;
pub(crate) use message::KeyedArrival;
pub(crate) use message::KeysEvent;
pub(crate) use message::PEERS;
pub(crate) use message::REQUESTS;
pub(crate) use message::RequestEffect;
pub(crate) use message::UpstreamOutcome;
pub(crate) use message::WORK;
pub(crate) use message::WorkEvent;
pub(crate) use peers_component::PeersComponent;
pub(crate) use work_component::WorkComponent;
pub(crate) use work_component::WorkStatus;
