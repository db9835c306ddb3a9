//! Messages between the agent's kernel components and its driver.

use fes_admission::ClassName;
use fes_admission::RequestOrigin;
use fes_idempotency::Answer;
use fes_idempotency::CoordinatorAction;
use fes_idempotency::CoordinatorEvent;
use fes_idempotency::FinishedResponse;
use fes_idempotency::KeyOwner;
use fes_idempotency::RequestDigest;
use fes_idempotency::UpstreamRefusal;
use fes_kernel::ComponentName;
use fes_membership::PeerTableAction;
use fes_membership::PeerTableEvent;
use fes_membership::lifecycle::LifecycleAction;
use fes_membership::lifecycle::LifecycleEvent;
use fes_node::HostMessage;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;
use fes_protocol::TargetId;
use fes_routing::OffloadPeer;
use fes_tickets::DistributionAction;
use fes_tickets::DistributionEvent;

/// Liveness and load of the other agents of the service.
pub(crate) const PEERS: ComponentName = ComponentName("peers");

/// The part of the host that executes requests.
pub(crate) const REQUESTS: ComponentName = ComponentName("requests");

/// Decides when and where requests run.
pub(crate) const SCHEDULER: ComponentName = ComponentName("work");

/// Deduplicates non-repeatable requests by their idempotency key.
pub(crate) const IDEMPOTENCY: ComponentName = ComponentName("keys");

/// Any message within the agent's kernel.
#[derive(Debug, Clone)]
pub(crate) enum AgentMessage {
    Scheduler(SchedulerEvent),
    Idempotency(IdempotencyEvent),
    Request(RequestEffect),
    Peers(PeerTableEvent),
    PeersAction(PeerTableAction),
    Tickets(DistributionEvent),
    TicketsAction(DistributionAction),
    Lifecycle(LifecycleEvent),
    LifecycleAction(LifecycleAction),
}

impl From<DistributionEvent> for AgentMessage {
    fn from(event: DistributionEvent) -> Self {
        Self::Tickets(event)
    }
}

impl From<DistributionAction> for AgentMessage {
    fn from(action: DistributionAction) -> Self {
        Self::TicketsAction(action)
    }
}

impl From<LifecycleEvent> for AgentMessage {
    fn from(event: LifecycleEvent) -> Self {
        Self::Lifecycle(event)
    }
}

impl From<LifecycleAction> for AgentMessage {
    fn from(action: LifecycleAction) -> Self {
        Self::LifecycleAction(action)
    }
}

impl HostMessage for AgentMessage {
    fn into_tickets_event(self) -> Option<DistributionEvent> {
        match self {
            Self::Tickets(event) => Some(event),
            _ => None,
        }
    }

    fn into_lifecycle_event(self) -> Option<LifecycleEvent> {
        match self {
            Self::Lifecycle(event) => Some(event),
            _ => None,
        }
    }
}

/// The idempotency key of a request, with a digest of the request that it is bound to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestKey {
    pub(crate) key_value: Vec<u8>,
    pub(crate) digest: RequestDigest,
}

/// An arriving request, as the scheduler sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestArrival {
    pub(crate) id: RequestId,
    pub(crate) class: ClassName,
    pub(crate) deadline: MonoTime,
    pub(crate) origin: RequestOrigin,
    /// Set for a non-repeatable request.
    pub(crate) key: Option<RequestKey>,
}

/// Outcome of an attempt to run a request at the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum UpstreamOutcome {
    /// The upstream returned a complete response.
    Finished(FinishedResponse),
    /// The upstream provably didn't run the request.
    Refused(UpstreamRefusal),
    /// The request may have run, but no complete response arrived.
    Lost,
}

/// Events of the scheduler component.
#[derive(Debug, Clone)]
pub(crate) enum SchedulerEvent {
    Arrive(RequestArrival),
    Outcome {
        id: RequestId,
        outcome: UpstreamOutcome,
    },
    Cancelled {
        id: RequestId,
    },
    /// A decision of the idempotency component.
    CoordinatorAction(CoordinatorAction),
    /// The host has ended the request itself after streaming or offloading it.
    Answered {
        id: RequestId,
    },
    /// A peer refused an offloaded request, is unreachable, or didn't respond completely.
    OffloadFailed {
        id: RequestId,
        target: TargetId,
        may_have_run: bool,
    },
    PeerHeartbeat(PeerHeartbeat),
    SetPeers(Vec<OffloadPeer>),
    UpstreamUp,
    UpstreamDown,
    Drain,
    Resume,
}

/// Events of the idempotency component.
#[derive(Debug, Clone)]
pub(crate) enum IdempotencyEvent {
    Coordinator(CoordinatorEvent),
    PeerHeartbeat(PeerHeartbeat),
    SpareCapacity(u32),
    SetKeys(KeyRing),
    SetDraining(bool),
}

/// Actions of the host on a request.
#[derive(Debug, Clone)]
pub(crate) enum RequestEffect {
    /// Send the request to the upstream.
    Start { id: RequestId },
    /// Send an answer that isn't streamed from the upstream.
    Answer { id: RequestId, answer: Answer },
    /// Relay the request to the agent that owns its idempotency key.
    Relay {
        id: RequestId,
        owner: KeyOwner,
        deadline: MonoTime,
    },
    /// Offload the request to a less loaded peer.
    Offload { id: RequestId, target: TargetId },
    /// Discard the state of the request; it is finished.
    Forget { id: RequestId },
}
