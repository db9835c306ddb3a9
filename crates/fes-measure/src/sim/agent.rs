//! The interface between the fleet and an agent's decisions.

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
    /// Target that the key of a non-repeatable request names.
    pub(crate) owner: usize,
    pub(crate) origin: RequestOrigin,
}

/// What an agent does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Start(RequestId),
    Refuse(RequestId),
    PassOn(RequestId, usize, RequestOrigin),
    Timer(MonoTime),
}

/// Decisions of one agent.
pub(crate) trait AgentPolicy {
    fn arrive(&mut self, now: MonoTime, arrival: &Arrival) -> Vec<Step>;

    fn finished(&mut self, now: MonoTime, id: RequestId) -> Vec<Step>;

    /// Returns whether a client's cancellation frees the queue place or the slot.
    fn honours_cancellation(&self) -> bool;

    fn cancelled(&mut self, now: MonoTime, id: RequestId) -> Vec<Step>;

    /// A peer refused a request that this agent passed on.
    fn peer_refused(&mut self, now: MonoTime, peer: usize, arrival: &Arrival) -> Vec<Step>;

    fn timer(&mut self, now: MonoTime) -> Vec<Step>;

    fn heartbeat(&mut self, now: MonoTime) -> Option<PeerHeartbeat>;

    fn on_heartbeat(&mut self, now: MonoTime, heartbeat: &PeerHeartbeat);

    /// Returns the target that the next key prefix names.
    fn issue_prefix(&mut self, now: MonoTime) -> usize;
}
