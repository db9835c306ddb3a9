//! Inputs and outputs of an entry's view of liveness.

use std::sync::Arc;

use fes_protocol::EntryHeartbeat;
use fes_protocol::EntryId;
use fes_protocol::FleetSpec;
use fes_protocol::Goodbye;
use fes_protocol::LivenessDigest;
use fes_protocol::LivenessVerdict;
use fes_protocol::NodeId;
use fes_protocol::ServiceId;
use fes_protocol::ServiceSpec;
use fes_protocol::TargetId;

use crate::VmHint;

/// What the view reacts to.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetLivenessEvent {
    /// The deadline that was returned by `next_deadline` has come.
    Tick,
    /// The services in force. All of them, or only the changed ones.
    Services(Vec<Arc<ServiceSpec>>),
    /// All fleets in force.
    Fleets(Vec<Arc<FleetSpec>>),
    /// A heartbeat of an agent arrived.
    Heartbeat(EntryHeartbeat),
    /// Verdicts arrived.
    Verdicts {
        /// Sender.
        from: NodeId,
        /// Content.
        verdicts: Vec<LivenessVerdict>,
    },
    /// A digest of another entry arrived.
    Digest(LivenessDigest),
    /// An agent announced its stop.
    Goodbye(Goodbye),
    /// A new list of VMs was read.
    VmList(Vec<VmHint>),
    /// The clock jumped or the process was paused.
    ClockJumped,
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetLivenessAction {
    /// Send verdicts.
    SendVerdicts {
        /// Receiver.
        to: NodeId,
        /// Content.
        verdicts: Vec<LivenessVerdict>,
    },
    /// Send a digest.
    SendDigest {
        /// Receiver.
        to: EntryId,
        /// Content.
        digest: LivenessDigest,
    },
    /// The answers about a service's targets changed.
    ServiceChanged {
        /// The service.
        service: ServiceId,
        /// Targets that new flows may be placed on, in ascending order.
        placeable: Vec<TargetId>,
        /// Targets whose loss is confirmed, in ascending order.
        lost: Vec<TargetId>,
        /// More than half of the service looks dead, so that deadness is ignored.
        is_in_panic_mode: bool,
    },
}
