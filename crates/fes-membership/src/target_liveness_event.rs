//! Inputs and outputs of [`TargetLiveness`](crate::TargetLiveness).

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

/// Input of [`TargetLiveness`](crate::TargetLiveness).
#[derive(Debug, Clone, PartialEq)]
pub enum TargetLivenessEvent {
    /// The deadline returned by `next_deadline` was reached.
    Tick,
    /// Services in force: all of them, or only the changed ones.
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
    /// An agent announced that it stops.
    Goodbye(Goodbye),
    /// A new VM list was read.
    VmList(Vec<VmHint>),
    /// The clock jumped or the process was paused.
    ClockJumped,
}

/// Output that the host carries out.
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
    /// The placeable or lost targets of a service changed.
    AssessmentChanged {
        /// The service.
        service: ServiceId,
        /// Targets that new flows may be placed on, in ascending order.
        placeable: Vec<TargetId>,
        /// Targets whose loss is confirmed, in ascending order.
        lost: Vec<TargetId>,
        /// More than half of the targets look unusable, so their verdicts are ignored for
        /// placement.
        is_in_panic_mode: bool,
    },
}
