//! Records of requests that leave the queue, and the state of the queue for the status.

use fes_protocol::MonoTime;

use crate::AgentAction;
use crate::AgentCore;
use crate::FlowDecision;
use crate::QueuedRequest;

impl AgentCore {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued_requests(&self) -> u64 {
        u64::try_from(self.queue.len()).unwrap_or(u64::MAX)
    }

    /// Returns the longest time that a queued request has waited, in milliseconds; 0 if none is
    /// queued.
    #[must_use]
    pub fn longest_wait_ms(&self, now: MonoTime) -> u64 {
        self.queue.longest_wait_ms(now)
    }
}

/// Returns the action that records a decision on a request that leaves the queue.
pub(super) fn record_queued(
    now: MonoTime,
    decision: FlowDecision,
    queued: &QueuedRequest,
) -> AgentAction {
    let waited_ms = queued.waited_ms(now);
    AgentAction::RecordStored {
        decision: decision.flow(queued.flow).age_ms(waited_ms),
        packet: queued.first_packet().into(),
    }
}
