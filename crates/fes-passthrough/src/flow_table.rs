//! An agent's table of the flows that its target holds.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;
use fes_protocol::RandomStateMap;

use crate::ClientSequence;
use crate::FlowKey;
use crate::FlowRequirements;
use crate::Priority;
use crate::RequestEnd;
use crate::Segment;
use crate::segment::is_ahead;

/// Time for which a closing flow is kept.
const CLOSING_EXPIRY_MS: u64 = 6_000;
/// Time for which a flow is kept whose handshake wasn't seen to complete. The client may have
/// opened it while its packets were lost.
const HALF_OPEN_EXPIRY_MS: u64 = 20_000;
/// Time for which an idle flow is kept: the upper bound of the time after which an idle flow may be
/// dropped.
const IDLE_EXPIRY_MS: u64 = 62_000;
/// Time within which a client acknowledges a packet unless one of the two was lost.
const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 100;
/// Number of requests from which a flow counts as a stream.
const STREAM_REQUESTS: u32 = 2;

/// A flow at the agent's target.
#[derive(Debug, Clone)]
pub struct AgentFlow {
    /// VM of the entry that sent its latest packet.
    pub entry: Option<Ipv4Addr>,
    /// Initial sequence number of the target, if the agent saw it accept the flow.
    pub initial_sequence: Option<u32>,
    /// Whether the client is known to have completed the handshake with this target.
    pub is_established: bool,
    /// Whether the flow is expected to carry many requests.
    pub is_stream: bool,
    /// Whether a request was delivered to the target and no byte of its response was seen yet.
    pub is_running: bool,
    /// Priority that the latest packet with one carried.
    pub priority: Priority,
    running_since: MonoTime,
    /// Whether the running request is known to have started when it was delivered. Otherwise its
    /// packet may be a retransmission, as the first one after a restart of the agent, and its run
    /// time is unknown.
    is_start_seen: bool,
    requests: u32,
    /// Sequence number that the client used first, as far as the agent saw it.
    client_sequence: Option<ClientSequence>,
    /// Requirements of the first request, and when the opening packet arrived. The times in the
    /// requirements count from then.
    first_requirements: Option<(FlowRequirements, MonoTime)>,
    /// Sequence number after the last byte of the client that was delivered to the target or
    /// acknowledged by it. Unknown until either is seen.
    next_client_sequence: Option<u32>,
    /// Latest acknowledgement number of the client: sequence number after the last byte that it
    /// got from the target.
    client_acknowledged: Option<u32>,
    /// Sequence number after the last byte that the target sent, if the agent saw any, and when it
    /// was sent.
    last_response: Option<(u32, MonoTime)>,
    /// Whether the client's latest request was cancelled or timed out. No further data of the flow is
    /// delivered.
    is_abandoned: bool,
    is_closing: bool,
    expires_at: MonoTime,
}

impl AgentFlow {
    /// Creates the record of a new flow.
    #[must_use]
    pub const fn new(now: MonoTime, entry: Option<Ipv4Addr>, is_stream: bool) -> Self {
        Self {
            entry,
            initial_sequence: None,
            is_established: false,
            is_stream,
            is_running: false,
            priority: Priority::LOWEST,
            running_since: MonoTime::ZERO,
            is_start_seen: false,
            requests: 0,
            client_sequence: None,
            first_requirements: None,
            next_client_sequence: None,
            client_acknowledged: None,
            last_response: None,
            is_abandoned: false,
            is_closing: false,
            expires_at: now.plus_ms(HALF_OPEN_EXPIRY_MS),
        }
    }

    /// Returns whether a packet of the client starts a request.
    #[must_use]
    pub fn begins_request(&self, segment: &Segment) -> bool {
        let is_running = self.is_running && !self.acknowledges_response(segment);
        !is_running && self.is_new_data(segment)
    }

    /// Returns whether the agent can't tell yet which data the target has received.
    #[must_use]
    pub const fn is_progress_unknown(&self) -> bool {
        self.next_client_sequence.is_none()
    }

    /// Records that the target runs a request whose start the agent didn't see, unless one runs.
    pub fn record_unseen_start(&mut self, now: MonoTime) {
        if !self.is_running {
            self.is_running = true;
            self.running_since = now;
            self.is_start_seen = false;
        }
    }

    /// Returns whether an opening packet belongs to a later flow, for which the client uses the same
    /// port again.
    #[must_use]
    pub fn is_superseded_by(&self, opening: &Segment) -> bool {
        self.client_sequence
            .is_some_and(|sequence| sequence.is_superseded_by(opening))
    }

    /// Records an opening packet and the requirements of the first request, which come with it.
    pub const fn record_opening(
        &mut self,
        now: MonoTime,
        opening: &Segment,
        requirements: FlowRequirements,
    ) {
        self.client_sequence = Some(ClientSequence::Opening(opening.sequence));
        if self.first_requirements.is_none() {
            self.first_requirements = Some((requirements, now));
        }
    }

    /// Returns the remaining requirements of the flow's next request. The times of the first
    /// request count from the opening packet, and its priority is that of `requirements`; for later
    /// requests, `requirements` is returned.
    #[must_use]
    pub fn next_requirements(
        &self,
        now: MonoTime,
        requirements: FlowRequirements,
    ) -> FlowRequirements {
        match self.first_requirements {
            Some((first, opened_at)) if self.requests == 0 => {
                let remaining = first.after_ms(now.ms_since(opened_at));
                FlowRequirements {
                    priority: requirements.priority,
                    ..remaining
                }
            }
            _ => requirements,
        }
    }

    /// Records a client's packet that is delivered to the target.
    pub fn record_delivery(&mut self, now: MonoTime, segment: &Segment) {
        self.is_closing |= segment.is_fin || segment.is_reset;
        if segment.is_reset || self.acknowledges_response(segment) {
            self.is_running = false;
        }
        let is_new_data = self.is_new_data(segment);
        if is_new_data && !self.is_running {
            self.is_running = true;
            self.running_since = now;
            self.is_start_seen = !self.is_progress_unknown();
        }
        if segment.is_syn {
            self.next_client_sequence = Some(segment.sequence);
        } else {
            self.is_established = true;
            self.client_sequence
                .get_or_insert(ClientSequence::Later(segment.sequence));
        }
        if segment.is_ack {
            self.client_acknowledged = Some(segment.acknowledged);
        }
        self.extend_expiry(now);
        if segment.payload_bytes > 0 && (is_new_data || self.is_progress_unknown()) {
            self.next_client_sequence = Some(segment.end_of_data());
        }
    }

    /// Records a packet of the target. Returns how the request ended if the packet ends one.
    pub fn record_answer(&mut self, now: MonoTime, segment: &Segment) -> Option<RequestEnd> {
        self.is_closing |= segment.is_fin || segment.is_reset;
        self.extend_expiry(now);
        if segment.is_ack {
            self.record_acknowledged(segment.acknowledged);
        }
        if segment.payload_bytes > 0 {
            self.last_response = Some((segment.end_of_data(), now));
        }
        let is_response = segment.payload_bytes > 0 || segment.is_reset || segment.is_fin;
        let is_request_end = self.is_running && is_response;
        if is_request_end {
            self.is_running = false;
            self.requests += 1;
            self.is_stream |= self.requests >= STREAM_REQUESTS;
        }
        let is_failed = segment.is_failure || self.closes_without_response(segment);
        is_request_end.then(|| RequestEnd {
            run_us: now.us_since(self.running_since),
            is_start_seen: self.is_start_seen,
            is_failed,
        })
    }

    /// Returns whether the target closes the flow, and no byte precedes that the client hasn't got.
    /// The end of the flow may overtake the response.
    fn closes_without_response(&self, segment: &Segment) -> bool {
        segment.payload_bytes == 0 && self.client_acknowledged == Some(segment.sequence)
    }

    /// Returns whether the target sent a part of a response that the client hasn't acknowledged
    /// and is likely to acknowledge soon.
    #[must_use]
    pub fn is_transferring(&self, now: MonoTime) -> bool {
        let Some((end, sent_at)) = self.last_response else {
            return false;
        };
        let is_behind =
            |acknowledged: u32| end.wrapping_sub(acknowledged).wrapping_sub(1) < 1 << 31;
        let is_unacknowledged = self.client_acknowledged.is_none_or(is_behind);
        is_unacknowledged && now.ms_since(sent_at) < ACKNOWLEDGEMENT_TIMEOUT_MS
    }

    /// Records that the client's request was cancelled or timed out.
    pub const fn abandon(&mut self) {
        self.is_abandoned = true;
        self.is_closing = true;
    }

    /// Returns whether a packet of the client isn't delivered because it may carry a request that was
    /// cancelled or timed out. The target still learns that the client closes the flow.
    #[must_use]
    pub const fn withholds(&self, segment: &Segment) -> bool {
        self.is_abandoned && segment.payload_bytes > 0 && !segment.is_reset
    }

    /// Records the target's acknowledgement number. Data before it is a retransmission and doesn't
    /// start a request; an agent that was restarted would otherwise count it as a new request.
    fn record_acknowledged(&mut self, acknowledged: u32) {
        let is_ahead = |next: u32| acknowledged.wrapping_sub(next) < 1 << 31;
        if self.next_client_sequence.is_none_or(is_ahead) {
            self.next_client_sequence = Some(acknowledged);
        }
        self.client_sequence
            .get_or_insert(ClientSequence::Later(acknowledged));
    }

    /// Returns whether a packet of the client has data that the target hasn't received. While that
    /// is unknown, data counts as new, unless the client has already got a response to it: it may
    /// start a request, which must not pass the queue.
    #[must_use]
    pub fn is_new_data(&self, segment: &Segment) -> bool {
        let is_new = match self.next_client_sequence {
            Some(next) => is_ahead(segment.end_of_data(), next),
            None => self
                .client_acknowledged
                .is_none_or(|acknowledged| !is_ahead(acknowledged, segment.acknowledged)),
        };
        segment.payload_bytes > 0 && is_new
    }

    /// Returns whether a packet of the client acknowledges a response to the running request that
    /// didn't pass this incarnation of the agent. No further response will then free the slot.
    fn acknowledges_response(&self, segment: &Segment) -> bool {
        let is_progress = |before: u32| is_ahead(segment.acknowledged, before);
        let is_acknowledged = segment.is_ack && self.client_acknowledged.is_some_and(is_progress);
        self.is_running && !self.is_start_seen && is_acknowledged
    }

    fn extend_expiry(&mut self, now: MonoTime) {
        let expiry_ms = match (self.is_closing, self.is_established) {
            (true, _) => CLOSING_EXPIRY_MS,
            (false, false) => HALF_OPEN_EXPIRY_MS,
            (false, true) => IDLE_EXPIRY_MS,
        };
        self.expires_at = now.plus_ms(expiry_ms);
    }
}

/// Numbers of flows and requests of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Established flows that neither endpoint is closing.
    pub open: u32,
    /// Open flows that carry many requests.
    pub streams: u32,
    /// Requests that are not answered yet.
    pub running: u32,
}

/// Flows of one target.
#[derive(Debug, Default)]
pub struct FlowTable {
    flows: RandomStateMap<FlowKey, AgentFlow>,
    /// Flows of which the target returned a packet, with the expiry of this information.
    not_held: RandomStateMap<FlowKey, MonoTime>,
}

impl FlowTable {
    /// Returns the record of a flow.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut AgentFlow> {
        self.flows.get_mut(flow)
    }

    /// Returns the record of a flow, inserting `new` if there is none.
    pub fn get_or_insert(&mut self, flow: FlowKey, new: AgentFlow) -> &mut AgentFlow {
        self.not_held.remove(&flow);
        self.flows.entry(flow).or_insert(new)
    }

    /// Removes a flow and records that the target doesn't hold it.
    pub fn record_not_held(&mut self, now: MonoTime, flow: FlowKey) {
        self.flows.remove(&flow);
        self.not_held.insert(flow, now.plus_ms(IDLE_EXPIRY_MS));
    }

    /// Returns whether the target is known not to hold the flow.
    #[must_use]
    pub fn is_not_held(&self, flow: &FlowKey) -> bool {
        self.not_held.contains_key(flow)
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<AgentFlow> {
        self.flows.remove(flow)
    }

    /// Removes all flows, as when the target ended.
    pub fn clear(&mut self) -> Vec<(FlowKey, AgentFlow)> {
        self.not_held.clear();
        self.flows.drain().collect()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: MonoTime) {
        self.flows.retain(|_, flow| now < flow.expires_at);
        self.not_held.retain(|_, until| now < *until);
    }

    /// Returns whether a response is being transferred on any flow.
    #[must_use]
    pub fn is_transferring(&self, now: MonoTime) -> bool {
        self.flows.values().any(|flow| flow.is_transferring(now))
    }

    /// Counts flows and running requests. Unanswered requests that started before `running_since`
    /// are not counted, since their answer may never arrive.
    #[must_use]
    pub fn counts(&self, running_since: MonoTime) -> FlowCounts {
        let mut counts = FlowCounts::default();
        for flow in self.flows.values() {
            let is_counted = flow.is_running && flow.running_since >= running_since;
            counts.running += u32::from(is_counted);
            if flow.is_established && !flow.is_closing {
                counts.open += 1;
                counts.streams += u32::from(flow.is_stream);
            }
        }
        counts
    }
}
