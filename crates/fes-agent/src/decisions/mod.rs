//! Components of the agent's kernel, which make the decisions, and their messages.

mod idempotency_component;
mod message;
mod peers_component;
mod request_record;
mod scheduler_component;
mod scheduler_outcomes;

pub(crate) use idempotency_component::IdempotencyComponent;
pub(crate) use message::AgentMessage;
pub(crate) use message::IDEMPOTENCY;
pub(crate) use message::IdempotencyEvent;
pub(crate) use message::PEERS;
pub(crate) use message::REQUESTS;
pub(crate) use message::RequestArrival;
pub(crate) use message::RequestEffect;
pub(crate) use message::RequestKey;
pub(crate) use message::SCHEDULER;
pub(crate) use message::SchedulerEvent;
pub(crate) use message::UpstreamOutcome;
pub(crate) use peers_component::PeersComponent;
pub(crate) use scheduler_component::SchedulerComponent;
pub(crate) use scheduler_component::SchedulerStatus;
