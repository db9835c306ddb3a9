//! Baseline policy: FIFO queue, no refusal, no offload, key prefixes assigned round-robin.

use std::collections::VecDeque;

use fes_admission::RequestOrigin;
use fes_protocol::MonoTime;
use fes_protocol::PeerHeartbeat;
use fes_protocol::RequestId;

use super::AgentPolicy;
use super::Arrival;
use super::PolicyAction;

/// Decisions of an agent under the baseline policy.
#[derive(Debug)]
pub(crate) struct BaselineAgent {
    own: usize,
    target_count: usize,
    slots: u32,
    running: u32,
    queue: VecDeque<RequestId>,
    next_owner: usize,
}

impl BaselineAgent {
    pub(crate) fn new(own: usize, target_count: usize, slots: u32) -> Self {
        Self {
            own,
            target_count,
            slots,
            running: 0,
            queue: VecDeque::new(),
            next_owner: own,
        }
    }

    fn dispatch(&mut self) -> Vec<PolicyAction> {
        let mut actions = Vec::new();
        while self.running < self.slots {
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            self.running += 1;
            actions.push(PolicyAction::Start(id));
        }
        actions
    }
}

impl AgentPolicy for BaselineAgent {
    fn arrive(&mut self, _now: MonoTime, arrival: &Arrival) -> Vec<PolicyAction> {
        if !arrival.repeatable && arrival.owner != self.own {
            return vec![PolicyAction::Forward(
                arrival.id,
                arrival.owner,
                RequestOrigin::Relayed,
            )];
        }
        self.queue.push_back(arrival.id);
        self.dispatch()
    }

    fn finished(&mut self, _now: MonoTime, _id: RequestId) -> Vec<PolicyAction> {
        self.running -= 1;
        self.dispatch()
    }

    fn supports_cancellation(&self) -> bool {
        false
    }

    fn cancelled(&mut self, _now: MonoTime, _id: RequestId) -> Vec<PolicyAction> {
        Vec::new()
    }

    fn peer_refused(
        &mut self,
        _now: MonoTime,
        _peer: usize,
        _arrival: &Arrival,
    ) -> Vec<PolicyAction> {
        Vec::new()
    }

    fn timer(&mut self, _now: MonoTime) -> Vec<PolicyAction> {
        Vec::new()
    }

    fn heartbeat(&mut self, _now: MonoTime) -> Option<PeerHeartbeat> {
        None
    }

    fn on_heartbeat(&mut self, _now: MonoTime, _heartbeat: &PeerHeartbeat) {}

    fn issue_prefix(&mut self, _now: MonoTime) -> usize {
        self.next_owner = (self.next_owner + 1) % self.target_count;
        self.next_owner
    }
}
