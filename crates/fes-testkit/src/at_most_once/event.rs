//! Events of the simulated fleet.

use fes_idempotency::Answer;
use fes_idempotency::ResponseTag;
use fes_protocol::Incarnation;
use fes_protocol::NodeId;
use fes_protocol::RequestId;
use fes_protocol::TargetId;

use super::agent::Origin;

/// A scheduled fault or recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Kills an agent without a drain.
    Crash(TargetId),
    /// Sends SIGTERM to an agent.
    Terminate(TargetId),
    /// Starts a stopped agent as a new incarnation.
    Restart(TargetId),
    /// Resumes a paused agent.
    Resume(TargetId),
    /// Partitions two nodes.
    Partition(NodeId, NodeId),
    /// Ends all partitions.
    Heal,
    /// Cancels the attempt with this index at the client.
    CancelAttempt(usize),
}

/// Result of a request at an upstream.
#[derive(Debug, Clone)]
pub(super) enum UpstreamReply {
    Finished { body: String },
    Truncated { body: String },
    Refused,
    Lost,
}

/// A pending message, timer or fault.
#[derive(Debug, Clone)]
pub(super) enum Event {
    Request {
        attempt_id: usize,
    },
    Cancel {
        to: TargetId,
        origin: Origin,
    },
    Answer {
        attempt_id: usize,
        answer: Answer,
    },
    Relayed {
        to: TargetId,
        origin: Origin,
        key: String,
        body: String,
        remaining_us: u64,
    },
    RelayAnswer {
        to: TargetId,
        incarnation: Incarnation,
        request: RequestId,
        answer: Answer,
    },
    LinkLost {
        to: TargetId,
        incarnation: Incarnation,
        request: RequestId,
    },
    Execute {
        at: TargetId,
        tag: ResponseTag,
        key: String,
        body: String,
    },
    Reply {
        to: TargetId,
        tag: ResponseTag,
        reply: UpstreamReply,
    },
    CoordinatorTimer {
        at: TargetId,
    },
    LifecycleTimer {
        at: TargetId,
    },
    Fault(Fault),
}
