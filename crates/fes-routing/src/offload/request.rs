//! Inputs and outputs of the offload planner.

use fes_protocol::MonoTime;
use fes_protocol::TargetId;

/// This agent's own load, as its admission reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LocalLoad {
    /// Learnt capacity in milli-slots of a reference VM.
    pub capacity_milli: u32,
    /// Work that arrives from this agent's clients.
    pub demand_milli: u32,
    /// The part of `demand_milli` that may run at a peer.
    pub movable_milli: u32,
    /// Expected wait of a short request that arrives now, in milliseconds.
    pub queue_wait_ms: u32,
    /// Expected wait of a long request that arrives now behind other long ones, in milliseconds;
    /// 0 while long requests may have another slot, even if a short one holds it.
    pub long_wait_ms: u32,
    /// Whether a short request that arrives now would start at once.
    pub has_free_slot: bool,
}

/// What the planner needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OffloadRequest {
    /// When the response loses its value.
    pub deadline: MonoTime,
    /// Whether the request may run at another agent than the one that its key names.
    pub repeatable: bool,
    /// Whether a peer passed it on. Such a request is never passed on again.
    pub already_forwarded: bool,
    /// Whether its class is long.
    pub long: bool,
}

/// Where a request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OffloadChoice {
    /// At this agent.
    Local,
    /// At the peer beside this target.
    Peer(TargetId),
}
