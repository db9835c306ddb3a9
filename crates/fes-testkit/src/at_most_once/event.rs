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
    Finished {
        body: String,
    },
    Truncated {
        body: String,
    },
    /// Refused without running.
    Refused,
    /// The connection was lost before the response.
    Lost,
}

/// A pending message, timer or fault.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// A client's request arrives at its agent.
    Request {
        attempt_id: usize,
    },
    /// The cancellation of a request arrives at an agent.
    Cancel {
        to: TargetId,
        origin: Origin,
    },
    /// An answer arrives at the client.
    Answer {
        attempt_id: usize,
        answer: Answer,
    },
    /// A relayed request arrives at the owner of its key.
    Relayed {
        to: TargetId,
        origin: Origin,
        key: String,
        body: String,
        remaining_us: u64,
    },
    /// The owner's answer arrives at the agent that relayed the request.
    RelayAnswer {
        to: TargetId,
        incarnation: Incarnation,
        request: RequestId,
        answer: Answer,
    },
    /// An agent detects that the link is lost over which it relayed a request.
    LinkLost {
        to: TargetId,
        incarnation: Incarnation,
        request: RequestId,
    },
    /// A request arrives at the upstream of a target.
    Execute {
        at: TargetId,
        tag: ResponseTag,
        key: String,
        body: String,
    },
    /// The upstream's reply arrives at its agent.
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
