//! Inputs and outputs of admission.

use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use fes_protocol::ResultCode;

use crate::ClassName;

/// How a request reached this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOrigin {
    /// From a client connection.
    Client,
    /// Relayed by a peer, because this agent owns the request's key. Counts as demand here.
    Relayed,
    /// Offloaded by an overloaded peer. Counts as demand at that peer only.
    Offloaded,
}

/// Input of [`AdmissionController`](crate::AdmissionController).
///
/// Every event may be late, duplicated or for an unknown request;
/// [`handle`](crate::AdmissionController::handle) documents these cases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request asks for a slot.
    Arrive {
        /// ID of the request, unique within the agent's incarnation.
        id: RequestId,
        /// The request's class.
        class: ClassName,
        /// Time at which its response must leave this agent: the client's deadline minus the
        /// network time of the response.
        deadline: MonoTime,
        /// Whether it may run more than once.
        repeatable: bool,
        /// How it reached this agent.
        origin: RequestOrigin,
    },
    /// A client's repeatable request was offloaded to a peer instead of arriving here. Counts as
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
    /// A started request ended without a complete response. Frees its slot; its duration isn't used
    /// for estimates.
    Failed {
        /// The request.
        id: RequestId,
    },
    /// The client cancelled the request. Removes it from the queue or frees its slot.
    Cancelled {
        /// The request.
        id: RequestId,
    },
    /// The upstream shed load: it refused a started request in a way which proves that the request
    /// did not run.
    UpstreamShed {
        /// The request.
        id: RequestId,
    },
    /// The upstream is reachable again. It is cold, so a slow start begins.
    UpstreamUp,
    /// The upstream is unreachable.
    UpstreamDown,
    /// The agent drains: no new requests are admitted, and queued and started ones complete.
    Drain,
    /// The agent admits requests again, because the ticket or VM list no longer lists it as
    /// leaving.
    Resume,
    /// A timer set by [`AdmissionAction::Timer`] fired.
    Timer,
}

/// Output that the host carries out in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to the upstream now.
    Start {
        /// The request.
        id: RequestId,
    },
    /// Answer the request with a code which states that it did not run.
    Refuse {
        /// The request.
        id: RequestId,
        /// Result code of the group 2xxx.
        code: ResultCode,
    },
    /// Deliver [`AdmissionEvent::Timer`] at this time. Replaces an earlier timer; extra timer
    /// events have no effect.
    Timer {
        /// Time at which the timer fires.
        at: MonoTime,
    },
}

/// Load that an agent reports in its heartbeats and uses to plan offloading.
///
/// On a reference VM, requests take the service times that the settings state. A request is long if
/// requests of its class run many times longer than those of common classes, and otherwise short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Load {
    /// Estimated capacity in milli-slots of a reference VM.
    pub capacity_milli: u32,
    /// Work that arrives from clients, in milli-slots of a reference VM. Includes work that was
    /// offloaded to peers, but not work that peers offloaded to this agent.
    pub demand_milli: u32,
    /// The part of `demand_milli` that may be offloaded to a peer: repeatable requests of this
    /// agent's clients.
    pub movable_milli: u32,
    /// Expected queue wait of a short request that arrives now, in milliseconds.
    pub queue_wait_ms: u32,
    /// Expected queue wait of a long request that arrives now behind other long ones, in
    /// milliseconds. 0 while long requests may use another slot, even if a short one holds it.
    pub long_wait_ms: u32,
    /// Whether a short request that arrives now would start at once.
    pub has_free_slot: bool,
}
