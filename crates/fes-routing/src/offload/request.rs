//! Inputs and outputs of the offload planner.

use fes_protocol::MonoTime;
use fes_protocol::TargetId;

/// Load of this agent, as reported by its admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LocalLoad {
    /// Estimated capacity in milli-slots of a reference VM.
    pub capacity_milli: u32,
    /// Demand from this agent's clients, in milli-slots of a reference VM.
    pub demand_milli: u32,
    /// Part of `demand_milli` that may run at a peer.
    pub movable_milli: u32,
    /// Expected wait of a short request that arrives now, in milliseconds.
    pub queue_wait_ms: u32,
    /// Expected wait of a long request that arrives now behind other long ones, in milliseconds.
    /// It is 0 while long requests may use another slot, even if a short one occupies it.
    pub long_wait_ms: u32,
    /// Whether a short request that arrives now would start immediately.
    pub has_free_slot: bool,
}

/// Properties of a request that the planner depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OffloadRequest {
    /// Time after which the response is useless.
    pub deadline: MonoTime,
    /// Whether the request may run at an agent other than the owner of its idempotency key.
    pub repeatable: bool,
    /// Whether a peer relayed or offloaded the request to this agent, or this agent has offloaded
    /// it before. Such a request is never forwarded again.
    pub already_forwarded: bool,
    /// Whether the request belongs to a class of long requests.
    pub long: bool,
}

/// Agent that runs a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OffloadChoice {
    /// This agent.
    Local,
    /// The peer with this target.
    Peer(TargetId),
}
