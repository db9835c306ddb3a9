//! Messages between the agent's components and its driver.

use fes_admission::ClassName;
use fes_admission::Origin;
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

/// Beliefs about the other agents of the service.
pub(crate) const PEERS: ComponentName = ComponentName("peers");

/// The part of the host that carries out requests.
pub(crate) const REQUESTS: ComponentName = ComponentName("requests");

/// Decides when and where requests run.
pub(crate) const SCHEDULER: ComponentName = ComponentName("work");

/// Decides about non-repeatable requests.
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

/// The idempotency key of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestKey {
    pub(crate) key_value: Vec<u8>,
    pub(crate) digest: RequestDigest,
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestArrival {
    pub(crate) id: RequestId,
    pub(crate) class: ClassName,
    pub(crate) deadline: MonoTime,
    pub(crate) origin: Origin,
    /// Present for a non-repeatable request.
    pub(crate) key: Option<RequestKey>,
}

/// How an attempt at the upstream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum UpstreamOutcome {
    /// The response was complete.
    Finished(FinishedResponse),
    /// The upstream proved that it did not run the request.
    Refused(UpstreamRefusal),
    /// The request may have run, but there is no complete response.
    Lost,
}

/// What the work component reacts to.
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
    /// The keys component decided something.
    KeyAction(CoordinatorAction),
    /// The host answered the request itself, after an offload.
    Answered {
        id: RequestId,
    },
    /// A peer refused an offloaded request, can't be reached, or did not answer completely.
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

/// What the keys component reacts to.
#[derive(Debug, Clone)]
pub(crate) enum IdempotencyEvent {
    Coordinator(CoordinatorEvent),
    PeerHeartbeat(PeerHeartbeat),
    SpareCapacity(u32),
    SetKeys(KeyRing),
    SetDraining(bool),
}

/// What the host does with a request.
#[derive(Debug, Clone)]
pub(crate) enum RequestEffect {
    /// Send it to the upstream.
    Start { id: RequestId },
    /// Answer it without the upstream's response.
    Answer { id: RequestId, answer: Answer },
    /// Send it to the agent that its key names.
    Relay {
        id: RequestId,
        owner: KeyOwner,
        deadline: MonoTime,
    },
    /// Send it to a less loaded peer.
    Offload { id: RequestId, target: TargetId },
    /// Nobody needs the request any more.
    Forget { id: RequestId },
}
