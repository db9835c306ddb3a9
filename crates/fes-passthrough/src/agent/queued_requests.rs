//! Priorities of requests, records of those that leave the queue, and the state of the queue for the
//! status.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use super::agent_core::ForwardOrigin;
use crate::AgentAction;
use crate::AgentCore;
use crate::FlowDecision;
use crate::FlowRequirements;
use crate::Forward;
use crate::Priority;
use crate::QueuedRequest;
use crate::Segment;

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

    /// Returns the number of queued requests of each priority that has any.
    #[must_use]
    pub fn queued_by_priority(&self) -> BTreeMap<Priority, usize> {
        self.queue.len_by_priority()
    }

    /// Returns the origin of a packet. If the packet carries no priority, as from an entry of an
    /// earlier version, that of the flow's earlier packets applies.
    pub(super) fn origin(
        &mut self,
        entry: Ipv4Addr,
        forward: Forward,
        carried: Option<Priority>,
        segment: &Segment,
    ) -> ForwardOrigin {
        let priority = carried.unwrap_or_else(|| {
            let record = self.flows.get_mut(&segment.flow);
            record.map(|record| record.priority).unwrap_or_default()
        });
        let requirements = FlowRequirements {
            priority,
            ..forward.requirements
        };
        let forward = Forward {
            requirements,
            ..forward
        };
        ForwardOrigin { entry, forward }
    }

    /// Records the priority that a packet carried, if the agent has a record of its flow.
    pub(super) fn record_priority(&mut self, segment: &Segment, priority: Priority) {
        if let Some(record) = self.flows.get_mut(&segment.flow) {
            record.priority = priority;
        }
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
        priority: queued.priority(),
        packet: queued.first_packet().into(),
    }
}
