//! What admission reacts to and what it asks its host to do.

use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;

use crate::ClassName;

/// How a request reached this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOrigin {
    /// From a client's own connection.
    Client,
    /// From a peer, because its key names this agent. Counts as demand here.
    Relayed,
    /// From a peer that had a surplus. Counts as demand at that peer only.
    Offloaded,
}

/// What admission reacts to.
///
/// Every event may be late, doubled or for an unknown request. [`crate::AdmissionController::handle`] says
/// what happens then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request asks for a slot.
    Arrive {
        /// Unique within the agent incarnation.
        id: RequestId,
        /// The request's class.
        class: ClassName,
        /// When its response must leave this agent: the client's deadline less the way back.
        deadline: MonoTime,
        /// Whether it may run more than once.
        repeatable: bool,
        /// How it reached this agent.
        origin: RequestOrigin,
    },
    /// A client's repeatable request was passed to a peer instead of arriving here. Counts as
    /// demand at this agent.
    OffloadedToPeer {
        /// The request's class.
        class: ClassName,
    },
    /// A started request completed.
    Finished {
        /// The request.
        id: RequestId,
    },
    /// A started request ended without a complete response. Its slot is free again and its
    /// duration teaches nothing.
    Failed {
        /// The request.
        id: RequestId,
    },
    /// The client no longer waits. Frees the queue place or the slot.
    Cancelled {
        /// The request.
        id: RequestId,
    },
    /// The upstream refused a started request and proved that it did not run.
    UpstreamShed {
        /// The request.
        id: RequestId,
    },
    /// The upstream accepts work again; it is cold.
    UpstreamUp,
    /// The upstream can't be reached.
    UpstreamDown,
    /// The agent leaves: nothing new is admitted, what is queued or started completes.
    Drain,
    /// The agent stays after all, because the ticket or VM list that said otherwise changed.
    Resume,
    /// A timer asked for by [`AdmissionAction::Timer`].
    Timer,
}

/// What the host carries out, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to the upstream now.
    Start {
        /// The request.
        id: RequestId,
    },
    /// Answer that the request did not run.
    Refuse {
        /// The request.
        id: RequestId,
        /// A code of the group 2xxx.
        code: ResultCode,
    },
    /// Deliver [`AdmissionEvent::Timer`] at this time. A later request replaces an earlier one;
    /// extra timer events do no harm.
    Timer {
        /// When.
        at: MonoTime,
    },
}

/// What an agent reports in its heartbeats and uses to plan offload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Learnt capacity in milli-slots of a reference VM.
    pub capacity_milli: u32,
    /// Work that arrives from clients, in the unit of `capacity_milli`; work that was passed on
    /// is included, work that was offloaded to this agent is not.
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
