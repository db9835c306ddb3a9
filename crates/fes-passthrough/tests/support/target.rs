//! A target: it accepts flows, runs requests in its slots, and hands back what isn't its own.

use std::collections::HashMap;
use std::collections::VecDeque;

use fes_passthrough::FlowKey;
use fes_passthrough::Segment;
use fes_passthrough::Sender;

#[derive(Debug, Clone)]
struct HeldFlow {
    opening_sequence: u32,
    is_open: bool,
    next_client_sequence: u32,
    is_answered: bool,
}

/// What a target does with a packet.
#[derive(Debug, PartialEq, Eq)]
pub enum Reaction {
    Send(Segment),
    /// A request begins to run and ends after this time.
    Run {
        flow: FlowKey,
        work_ms: u64,
    },
}

#[derive(Debug)]
pub struct Target {
    pub is_alive: bool,
    pub started_at_ms: u64,
    pub slots: usize,
    pub work_ms: u64,
    /// Requests that ran to the end.
    pub runs: usize,
    running: usize,
    queue: VecDeque<FlowKey>,
    flows: HashMap<FlowKey, HeldFlow>,
}

impl Target {
    pub fn new(slots: usize, work_ms: u64) -> Self {
        Self {
            is_alive: true,
            started_at_ms: 1_000,
            slots,
            work_ms,
            runs: 0,
            running: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
        }
    }

    pub fn crash_and_restart(&mut self) {
        let (slots, work_ms, started_at_ms) = (self.slots, self.work_ms, self.started_at_ms);
        *self = Self::new(slots, work_ms);
        self.started_at_ms = started_at_ms + 5_000;
    }

    /// Whether the handshake of this flow ended here.
    pub fn holds_open(&self, flow: &FlowKey) -> bool {
        self.flows.get(flow).is_some_and(|held| held.is_open)
    }

    pub fn on_packet(&mut self, segment: &Segment, random: u32) -> Vec<Reaction> {
        if segment.is_syn {
            return vec![Reaction::Send(self.accept(segment, random))];
        }
        let returned = Reaction::Send(Segment {
            is_returned: true,
            ..*segment
        });
        let Some(held) = self.flows.get_mut(&segment.flow) else {
            return vec![returned];
        };
        if segment.acknowledged != held.opening_sequence.wrapping_add(1) {
            return vec![returned];
        }
        held.is_open = true;
        let end = segment.sequence + u32::from(segment.payload_bytes);
        if segment.payload_bytes == 0 {
            return Vec::new();
        }
        if end <= held.next_client_sequence {
            // A repeated request whose response was lost gets the response again.
            let payload_bytes = if held.is_answered { 100 } else { 0 };
            return vec![Reaction::Send(from_target(
                segment.flow,
                held,
                payload_bytes,
            ))];
        }
        held.next_client_sequence = end;
        held.is_answered = false;
        self.queue.push_back(segment.flow);
        self.start_runs()
    }

    pub fn on_run_end(&mut self, flow: FlowKey) -> Vec<Reaction> {
        self.runs += 1;
        self.running = self.running.saturating_sub(1);
        let mut reactions = Vec::new();
        if let Some(held) = self.flows.get_mut(&flow) {
            held.is_answered = true;
            reactions.push(Reaction::Send(from_target(flow, held, 100)));
        }
        reactions.extend(self.start_runs());
        reactions
    }

    fn accept(&mut self, segment: &Segment, random: u32) -> Segment {
        let held = self.flows.entry(segment.flow).or_insert(HeldFlow {
            opening_sequence: random,
            is_open: false,
            next_client_sequence: segment.sequence,
            is_answered: false,
        });
        Segment {
            is_syn: true,
            sequence: held.opening_sequence,
            ..from_target(segment.flow, held, 0)
        }
    }

    fn start_runs(&mut self) -> Vec<Reaction> {
        let mut reactions = Vec::new();
        while self.running < self.slots {
            let Some(flow) = self.queue.pop_front() else {
                break;
            };
            self.running += 1;
            let work_ms = self.work_ms;
            reactions.push(Reaction::Run { flow, work_ms });
        }
        reactions
    }
}

fn from_target(flow: FlowKey, held: &HeldFlow, payload_bytes: u16) -> Segment {
    Segment {
        flow,
        sender: Sender::Target,
        is_syn: false,
        is_ack: true,
        is_fin: false,
        is_reset: false,
        is_returned: false,
        sequence: held.opening_sequence.wrapping_add(1),
        acknowledged: held.next_client_sequence,
        payload_bytes,
    }
}
