//! Simulated target: accepts flows, runs requests in its slots and returns packets of flows that it
//! doesn't hold, marked as returned.

use std::collections::HashMap;
use std::collections::VecDeque;

use fes_passthrough::FlowKey;
use fes_passthrough::Segment;
use fes_passthrough::Sender;

use super::fixtures::stream_address;

const RESPONSE_BYTES: u16 = 100;

#[derive(Debug, Clone)]
struct TargetFlow {
    /// Initial sequence number of the target.
    initial_sequence: u32,
    /// Whether the handshake is completed.
    is_open: bool,
    next_client_sequence: u32,
    /// Whether the response to the latest request was sent.
    is_answered: bool,
}

/// Action of a target.
#[derive(Debug, PartialEq, Eq)]
pub enum TargetAction {
    Send(Segment),
    /// Run a request, which ends after this time.
    Run {
        flow: FlowKey,
        work_ms: u64,
    },
}

#[derive(Debug)]
pub struct Target {
    pub is_running: bool,
    pub started_at_ms: u64,
    pub slots: usize,
    pub work_ms: u64,
    /// Whether requests run for half to one and a half of `work_ms`, and one in 33 seven times as
    /// long.
    pub has_varying_work: bool,
    /// Work of a request of a stream, if it differs from that of other requests.
    pub stream_work_ms: Option<u64>,
    /// Whether it resets the flow of each request instead of running it.
    pub resets_requests: bool,
    /// Whether it returns opening packets, as a target that has crashed.
    pub rejects_flows: bool,
    /// Whether it returns opening packets while all its slots are in use.
    pub rejects_flows_when_busy: bool,
    /// Number of requests that it queues beyond its slots, if limited. Further ones are rejected: the
    /// target answers at once that it failed.
    pub max_queued: Option<usize>,
    /// Number of requests that it rejected.
    pub rejected_requests: usize,
    /// Flow and sequence number of each request that reached it.
    pub received: Vec<(FlowKey, u32)>,
    /// Number of completed requests.
    pub completed_requests: usize,
    /// Total time for which slots were in use.
    pub busy_ms: u64,
    running_requests: usize,
    started_requests: u64,
    queue: VecDeque<FlowKey>,
    flows: HashMap<FlowKey, TargetFlow>,
}

impl Target {
    pub fn new(slots: usize, work_ms: u64) -> Self {
        Self {
            is_running: true,
            started_at_ms: 1_000,
            slots,
            work_ms,
            has_varying_work: false,
            stream_work_ms: None,
            resets_requests: false,
            rejects_flows: false,
            rejects_flows_when_busy: false,
            max_queued: None,
            rejected_requests: 0,
            received: Vec::new(),
            completed_requests: 0,
            busy_ms: 0,
            running_requests: 0,
            started_requests: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
        }
    }

    pub fn crash_and_restart(&mut self) {
        let (slots, work_ms, started_at_ms) = (self.slots, self.work_ms, self.started_at_ms);
        *self = Self::new(slots, work_ms);
        self.started_at_ms = started_at_ms + 5_000;
    }

    /// Returns whether the flow's handshake was completed with this target.
    pub fn has_open(&self, flow: &FlowKey) -> bool {
        self.flows
            .get(flow)
            .is_some_and(|flow_state| flow_state.is_open)
    }

    /// Returns whether all slots are in use.
    pub fn is_busy(&self) -> bool {
        self.running_requests >= self.slots
    }

    /// Handles a packet from a client. If it opens a flow, `initial_sequence` becomes the target's
    /// initial sequence number.
    pub fn on_packet(&mut self, segment: &Segment, initial_sequence: u32) -> Vec<TargetAction> {
        let is_busy = self.is_busy();
        let is_full = self.rejects_flows_when_busy && is_busy;
        let is_known = self.flows.contains_key(&segment.flow);
        if segment.is_syn && !self.rejects_flows && (is_known || !is_full) {
            return vec![TargetAction::Send(self.accept(segment, initial_sequence))];
        }
        let returned = TargetAction::Send(Segment {
            is_returned: true,
            ..*segment
        });
        let Some(flow_state) = self.flows.get_mut(&segment.flow) else {
            return vec![returned];
        };
        if segment.acknowledged != flow_state.initial_sequence.wrapping_add(1) {
            return vec![returned];
        }
        flow_state.is_open = true;
        let end = segment.sequence + u32::from(segment.payload_bytes);
        if segment.payload_bytes == 0 {
            return Vec::new();
        }
        if end <= flow_state.next_client_sequence {
            // The response to a retransmitted request is sent again.
            let payload_bytes = if flow_state.is_answered {
                RESPONSE_BYTES
            } else {
                0
            };
            return vec![TargetAction::Send(from_target(
                segment.flow,
                flow_state,
                payload_bytes,
            ))];
        }
        flow_state.next_client_sequence = end;
        flow_state.is_answered = false;
        self.received.push((segment.flow, segment.sequence));
        if self.resets_requests {
            let reset = Segment {
                is_reset: true,
                ..from_target(segment.flow, flow_state, 0)
            };
            self.flows.remove(&segment.flow);
            return vec![TargetAction::Send(reset)];
        }
        if is_busy && self.max_queued.is_some_and(|max| self.queue.len() >= max) {
            flow_state.is_answered = true;
            self.rejected_requests += 1;
            return vec![TargetAction::Send(Segment {
                is_failure: true,
                ..from_target(segment.flow, flow_state, RESPONSE_BYTES)
            })];
        }
        self.queue.push_back(segment.flow);
        self.start_queued_requests()
    }

    pub fn on_request_end(&mut self, flow: FlowKey) -> Vec<TargetAction> {
        self.completed_requests += 1;
        self.running_requests = self.running_requests.saturating_sub(1);
        let mut actions = Vec::new();
        if let Some(flow_state) = self.flows.get_mut(&flow) {
            flow_state.is_answered = true;
            actions.push(TargetAction::Send(from_target(
                flow,
                flow_state,
                RESPONSE_BYTES,
            )));
        }
        actions.extend(self.start_queued_requests());
        actions
    }

    fn next_work_ms(&mut self, flow: FlowKey) -> u64 {
        let stream_work_ms = self.stream_work_ms;
        let stream_work_ms = stream_work_ms.filter(|_| flow.destination == stream_address());
        let work_ms = stream_work_ms.unwrap_or(self.work_ms);
        if !self.has_varying_work {
            return work_ms;
        }
        self.started_requests += 1;
        let varied_ms = work_ms * (10 + self.started_requests * 7 % 21) / 20;
        match self.started_requests.is_multiple_of(33) {
            true => varied_ms * 7,
            false => varied_ms,
        }
    }

    fn accept(&mut self, segment: &Segment, initial_sequence: u32) -> Segment {
        let flow_state = self.flows.entry(segment.flow).or_insert(TargetFlow {
            initial_sequence,
            is_open: false,
            next_client_sequence: segment.sequence,
            is_answered: false,
        });
        Segment {
            is_syn: true,
            sequence: flow_state.initial_sequence,
            ..from_target(segment.flow, flow_state, 0)
        }
    }

    fn start_queued_requests(&mut self) -> Vec<TargetAction> {
        let mut actions = Vec::new();
        while self.running_requests < self.slots {
            let Some(flow) = self.queue.pop_front() else {
                break;
            };
            self.running_requests += 1;
            let work_ms = self.next_work_ms(flow);
            self.busy_ms += work_ms;
            actions.push(TargetAction::Run { flow, work_ms });
        }
        actions
    }
}

fn from_target(flow: FlowKey, flow_state: &TargetFlow, payload_bytes: u16) -> Segment {
    Segment {
        flow,
        sender: Sender::Target,
        is_syn: false,
        is_ack: true,
        is_fin: false,
        is_reset: false,
        is_failure: false,
        is_returned: false,
        sequence: flow_state.initial_sequence.wrapping_add(1),
        acknowledged: flow_state.next_client_sequence,
        payload_bytes,
    }
}
