//! An agent's record of the flows that its target holds.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;
use fes_protocol::RandomStateMap;

use crate::FlowKey;
use crate::FlowRequirements;
use crate::Segment;

/// A flow that both ends may have closed is kept this long.
const CLOSING_LIMIT_MS: u64 = 6_000;
/// A flow whose handshake wasn't seen to end is kept this long: the client may have opened it, and
/// its packets may be lost for a while.
const HALF_OPEN_LIMIT_MS: u64 = 20_000;
/// An idle flow may be discarded after at most this time.
const IDLE_LIMIT_MS: u64 = 62_000;
/// Requests after which a flow counts as one that stays open for many.
const STREAM_REQUESTS: u32 = 2;

/// A flow at the agent's target.
#[derive(Debug, Clone)]
pub struct AgentFlow {
    /// VM of the entry that sent its newest packet.
    pub entry: Option<Ipv4Addr>,
    /// Sequence number with which the target accepted it, if the agent saw that.
    pub opening_sequence: Option<u32>,
    /// Whether the client is known to have chosen this target.
    pub is_established: bool,
    /// Whether the flow is expected to stay open for many requests.
    pub is_stream: bool,
    /// Whether a request was handed to the target and no byte of its response was seen.
    pub is_running: bool,
    running_since: MonoTime,
    requests: u32,
    /// What the first request needs, counted from when the flow was opened here.
    first_demand: Option<(FlowRequirements, MonoTime)>,
    /// Number after the newest byte of the client that was handed to the target or acknowledged by
    /// it. Unknown until one of them is seen.
    next_client_sequence: Option<u32>,
    /// The client has given up the request that it sent last; what it still sends is not wanted.
    is_abandoned: bool,
    is_closing: bool,
    forget_at: MonoTime,
}

impl AgentFlow {
    /// Makes the record of a flow that was just seen.
    #[must_use]
    pub const fn new(now: MonoTime, entry: Option<Ipv4Addr>, is_stream: bool) -> Self {
        Self {
            entry,
            opening_sequence: None,
            is_established: false,
            is_stream,
            is_running: false,
            running_since: MonoTime::ZERO,
            requests: 0,
            first_demand: None,
            next_client_sequence: None,
            is_abandoned: false,
            is_closing: false,
            forget_at: now.plus_ms(HALF_OPEN_LIMIT_MS),
        }
    }

    /// Returns whether a request begins with a packet of the client.
    #[must_use]
    pub fn begins_request(&self, segment: &Segment) -> bool {
        !self.is_running && self.is_new_data(segment)
    }

    /// Records what the flow's first request needs, with the opening packet.
    pub const fn record_opening(&mut self, now: MonoTime, requirements: FlowRequirements) {
        if self.first_demand.is_none() {
            self.first_demand = Some((requirements, now));
        }
    }

    /// Returns what is left of what the flow's next request needs. The first one waits since the
    /// flow was opened; for later ones it is `requirements`.
    #[must_use]
    pub fn next_demand(&self, now: MonoTime, requirements: FlowRequirements) -> FlowRequirements {
        match self.first_demand {
            Some((first, opened_at)) if self.requests == 0 => {
                first.after_ms(now.ms_since(opened_at))
            }
            _ => requirements,
        }
    }

    /// Records a packet of the client that is delivered to the target.
    pub fn record_delivery(&mut self, now: MonoTime, segment: &Segment) {
        self.is_closing |= segment.is_fin || segment.is_reset;
        if segment.is_reset {
            self.is_running = false;
        }
        if segment.is_syn {
            self.next_client_sequence = Some(segment.sequence);
        } else {
            self.is_established = true;
        }
        self.keep(now);
        let is_new_data = self.is_new_data(segment);
        if segment.payload_bytes > 0 && (is_new_data || self.next_client_sequence.is_none()) {
            self.next_client_sequence = Some(end_of_data(segment));
        }
        if is_new_data && !self.is_running {
            self.is_running = true;
            self.running_since = now;
        }
    }

    /// Records a packet of the target. If a request ends with it, returns how long it ran in
    /// microseconds.
    pub fn record_answer(&mut self, now: MonoTime, segment: &Segment) -> Option<u64> {
        self.is_closing |= segment.is_fin || segment.is_reset;
        self.keep(now);
        if segment.is_ack {
            self.learn_position(segment.acknowledged);
        }
        let is_answer = segment.payload_bytes > 0 || segment.is_reset || segment.is_fin;
        let ends = self.is_running && is_answer;
        if ends {
            self.is_running = false;
            self.requests += 1;
            self.is_stream |= self.requests >= STREAM_REQUESTS;
        }
        ends.then(|| now.us_since(self.running_since))
    }

    /// Records that the client has given up its request.
    pub const fn abandon(&mut self) {
        self.is_abandoned = true;
        self.is_closing = true;
    }

    /// Returns whether the client has given up its request.
    #[must_use]
    pub const fn is_abandoned(&self) -> bool {
        self.is_abandoned
    }

    /// Takes over what the target has received. Data before that is a repetition, and starts no
    /// request; without this, an agent that was restarted would count it as one.
    fn learn_position(&mut self, acknowledged: u32) {
        let is_ahead = |next: u32| acknowledged.wrapping_sub(next) < 1 << 31;
        if self.next_client_sequence.is_none_or(is_ahead) {
            self.next_client_sequence = Some(acknowledged);
        }
    }

    fn is_new_data(&self, segment: &Segment) -> bool {
        let end = end_of_data(segment);
        let is_ahead = |next: u32| end != next && end.wrapping_sub(next) < 1 << 31;
        segment.payload_bytes > 0 && self.next_client_sequence.is_some_and(is_ahead)
    }

    fn keep(&mut self, now: MonoTime) {
        let keep_ms = match (self.is_closing, self.is_established) {
            (true, _) => CLOSING_LIMIT_MS,
            (false, false) => HALF_OPEN_LIMIT_MS,
            (false, true) => IDLE_LIMIT_MS,
        };
        self.forget_at = now.plus_ms(keep_ms);
    }
}

fn end_of_data(segment: &Segment) -> u32 {
    let payload_bytes = u32::from(segment.payload_bytes);
    segment.sequence.wrapping_add(payload_bytes)
}

/// Counts of the flows of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Flows that the client has opened and no end has closed.
    pub open: u32,
    /// Open flows that stay open for many requests.
    pub streams: u32,
    /// Requests without an answer.
    pub running: u32,
}

/// The flows of one target.
#[derive(Debug, Default)]
pub struct FlowTable {
    flows: RandomStateMap<FlowKey, AgentFlow>,
    /// Flows that the target handed back, with the time until which that is remembered.
    not_held: RandomStateMap<FlowKey, MonoTime>,
}

impl FlowTable {
    /// Returns the record of a flow.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut AgentFlow> {
        self.flows.get_mut(flow)
    }

    /// Returns the record of a flow, making one if there is none.
    pub fn get_or_insert(&mut self, flow: FlowKey, new: AgentFlow) -> &mut AgentFlow {
        self.not_held.remove(&flow);
        self.flows.entry(flow).or_insert(new)
    }

    /// Drops a flow that the target doesn't hold and remembers that.
    pub fn record_not_held(&mut self, now: MonoTime, flow: FlowKey) {
        self.flows.remove(&flow);
        self.not_held.insert(flow, now.plus_ms(IDLE_LIMIT_MS));
    }

    /// Returns whether the target is known not to hold the flow.
    #[must_use]
    pub fn is_not_held(&self, flow: &FlowKey) -> bool {
        self.not_held.contains_key(flow)
    }

    /// Drops a flow.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<AgentFlow> {
        self.flows.remove(flow)
    }

    /// Drops all flows, as when the target ended.
    pub fn clear(&mut self) -> Vec<(FlowKey, AgentFlow)> {
        self.not_held.clear();
        self.flows.drain().collect()
    }

    /// Drops records whose time has passed.
    pub fn expire(&mut self, now: MonoTime) {
        self.flows.retain(|_, flow| now < flow.forget_at);
        self.not_held.retain(|_, until| now < *until);
    }

    /// Counts the flows. A request that began before `running_since` and got no answer no longer
    /// counts as running: its answer may never come.
    #[must_use]
    pub fn counts(&self, running_since: MonoTime) -> FlowCounts {
        let mut counts = FlowCounts::default();
        for flow in self.flows.values() {
            let runs = flow.is_running && flow.running_since >= running_since;
            counts.running += u32::from(runs);
            if flow.is_established && !flow.is_closing {
                counts.open += 1;
                counts.streams += u32::from(flow.is_stream);
            }
        }
        counts
    }
}
