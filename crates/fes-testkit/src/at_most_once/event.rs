//! What happens in the simulated fleet.

use fes_idempotency::Answer;
use fes_idempotency::ResponseTag;
use fes_protocol::Incarnation;
use fes_protocol::NodeId;
use fes_protocol::RequestId;
use fes_protocol::TargetId;

use super::agent::Origin;

/// A fault, or the end of one, that happens at a later time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An agent dies.
    Crash(TargetId),
    /// An agent gets SIGTERM.
    Terminate(TargetId),
    /// A dead or stopped agent starts as a new incarnation.
    Restart(TargetId),
    /// A paused agent goes on.
    Resume(TargetId),
    /// Two nodes lose contact.
    Partition(NodeId, NodeId),
    /// All links work again.
    Heal,
    /// A client gives up the try with this number.
    CancelAttempt(usize),
}

/// What an upstream sends back.
#[derive(Debug, Clone)]
pub(super) enum UpstreamReply {
    Finished { body: String },
    Truncated { body: String },
    Refused,
    Lost,
}

/// A message, timer or fault on its way to a node.
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
        left_us: u64,
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
    Run {
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
    Timer {
        at: TargetId,
    },
    LifeTimer {
        at: TargetId,
    },
    Fault(Fault),
}
