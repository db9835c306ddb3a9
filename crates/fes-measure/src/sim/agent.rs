//! Interface between the simulated fleet and the decisions of an agent.

use fes_admission::ClassName;
use fes_admission::RequestOrigin;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;

/// A request at an agent.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) id: RequestId,
    pub(crate) class: ClassName,
    pub(crate) deadline: MonoTime,
    pub(crate) repeatable: bool,
    /// Index of the target that the key of a non-repeatable request names.
    pub(crate) owner: usize,
    pub(crate) origin: RequestOrigin,
}

/// An action that an agent returns to the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PolicyAction {
    Start(RequestId),
    Refuse(RequestId),
    /// Forwards the request to the agent at this index.
    Forward(RequestId, usize, RequestOrigin),
    /// Calls [`AgentPolicy::timer`] at this time.
    Timer(MonoTime),
}

/// Decisions of one agent.
pub(crate) trait AgentPolicy {
    fn arrive(&mut self, now: MonoTime, arrival: &Arrival) -> Vec<PolicyAction>;

    fn finished(&mut self, now: MonoTime, id: RequestId) -> Vec<PolicyAction>;

    /// Returns whether a cancellation by the client frees the place in the queue or the slot.
    fn supports_cancellation(&self) -> bool;

    fn cancelled(&mut self, now: MonoTime, id: RequestId) -> Vec<PolicyAction>;

    /// Handles the refusal of a request that this agent forwarded to a peer.
    fn peer_refused(&mut self, now: MonoTime, peer: usize, arrival: &Arrival) -> Vec<PolicyAction>;

    fn timer(&mut self, now: MonoTime) -> Vec<PolicyAction>;

    fn heartbeat(&mut self, now: MonoTime) -> Option<PeerHeartbeat>;

    fn on_heartbeat(&mut self, now: MonoTime, heartbeat: &PeerHeartbeat);

    /// Returns the index of the target that the next key prefix names.
    fn issue_prefix(&mut self, now: MonoTime) -> usize;
}
