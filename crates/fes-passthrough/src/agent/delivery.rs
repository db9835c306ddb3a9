//! Handling of clients' packets: delivered to the target, queued or returned.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use super::agent_core::ForwardOrigin;
use super::queued_requests::record_queued;
use crate::AgentAction;
use crate::AgentCore;
use crate::AgentFlow;
use crate::FlowCounts;
use crate::FlowDecision;
use crate::FlowKey;
use crate::FlowRequirements;
use crate::FlowUse;
use crate::Forward;
use crate::ForwardMode;
use crate::Mechanism;
use crate::Outcome;
use crate::ReturnReason;
use crate::Segment;
use crate::segment::is_ahead;

/// Number of requests that may be delivered to the target beyond its slots.
const MAX_REQUESTS_BEYOND_SLOTS: u32 = 1;
/// Number of slots assumed right after the agent's start, until a hello gives it. Without a limit, all
/// packets that arrive before would pass the queue.
const ASSUMED_SLOTS: u32 = 1;

impl AgentCore {
    pub(super) fn on_forward(
        &mut self,
        now: MonoTime,
        from: ForwardOrigin,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        if segment.is_syn {
            self.on_opening(now, from.entry, from.forward, segment, out);
            return;
        }
        let flow = segment.flow;
        if self.flows.get_mut(&flow).is_none() && !self.admit_unknown_flow(now, from, flow, out) {
            return;
        }
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let begins_request = record.begins_request(segment);
        if self.is_held_by_entry(begins_request) {
            self.return_to_hold(from.entry, flow, out);
            return;
        }
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let initial_sequence = record.initial_sequence;
        let is_other_target =
            initial_sequence.is_some_and(|sequence| !segment.acknowledges(sequence));
        if is_other_target && !record.is_established && segment.is_ack {
            // The client completed the handshake with another target that answered a copy of the
            // opening packet.
            self.send_not_held(from.entry, from.forward, flow, out);
            return;
        }
        let is_new_entry = record.entry != Some(from.entry);
        record.entry = Some(from.entry);
        if is_new_entry || from.forward.mode != ForwardMode::Owner {
            self.send_held(from.entry, flow, out);
        }
        self.deliver_or_queue(now, from.forward.requirements, segment, packet, out);
    }

    /// Delivers a packet of a known flow to the target. The packet is queued instead if it starts a
    /// request while the target has no free slot, or if its request is already queued.
    pub(super) fn deliver_or_queue(
        &mut self,
        now: MonoTime,
        requirements: FlowRequirements,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        let flow = segment.flow;
        let closes_flow = segment.is_fin || segment.is_reset;
        if closes_flow && self.give_up_queued(now, flow, out) {
            self.abandon(flow);
        }
        self.drop_answered(segment);
        if !closes_flow && segment.payload_bytes > 0 && self.queue.append(segment, packet) {
            return;
        }
        let has_slot = self.has_slot(now);
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if record.withholds(segment) {
            return;
        }
        if record.begins_request(segment) && requirements.timeout_ms == 0 {
            // It timed out at an entry or in the queue of the former incarnation. If that incarnation
            // had delivered it already, this is a retransmission.
            let decision = FlowDecision::new(Outcome::DroppedStale).flow(flow);
            out.push(AgentAction::Record(decision));
            return;
        }
        if record.begins_request(segment) && !has_slot && !self.queue.is_full() {
            let requirements = record.next_requirements(now, requirements);
            self.queue.push(now, requirements, *segment, packet);
            let decision = FlowDecision::new(Outcome::HeldBack)
                .flow(flow)
                .load(self.queued_requests());
            out.push(AgentAction::Record(decision));
            return;
        }
        let begins = record.begins_request(segment);
        record.record_delivery(now, segment);
        out.push(AgentAction::Deliver);
        if begins {
            out.push(AgentAction::Record(self.started_decision(now).flow(flow)));
        }
    }

    /// Drops the queued packets of a flow if the client acknowledges more than when it sent them.
    /// They are retransmissions of a request to which it got the response before the agent started.
    fn drop_answered(&mut self, segment: &Segment) {
        let flow = segment.flow;
        let record = self.flows.get_mut(&flow);
        if !record.is_some_and(|record| record.is_progress_unknown()) {
            return;
        }
        let queued = self.queue.get(&flow);
        let first = queued.and_then(|queued| queued.packets.first());
        let acknowledged = first.map(|(first, _)| first.acknowledged);
        if acknowledged.is_some_and(|before| is_ahead(segment.acknowledged, before)) {
            self.queue.remove(&flow);
        }
    }

    fn started_decision(&self, now: MonoTime) -> FlowDecision {
        let running = u64::from(self.counts(now).running);
        FlowDecision::new(Outcome::Started)
            .load(running)
            .version(self.started_at_ms)
    }

    /// Removes the queued request of a flow that the client closes, which cancels the request.
    /// Returns whether there was one.
    fn give_up_queued(&mut self, now: MonoTime, flow: FlowKey, out: &mut Vec<AgentAction>) -> bool {
        let decision = FlowDecision::new(Outcome::GivenUpWaiting).load(self.queued_requests());
        let Some(queued) = self.queue.remove(&flow) else {
            return false;
        };
        out.push(record_queued(now, decision, &queued));
        true
    }

    /// Stops delivery of the flow's data, so that the cancelled or expired request never runs.
    pub(super) fn abandon(&mut self, flow: FlowKey) {
        if let Some(record) = self.flows.get_mut(&flow) {
            record.abandon();
        }
    }

    pub(super) fn counts(&self, now: MonoTime) -> FlowCounts {
        let running_since_us = now
            .as_us()
            .saturating_sub(self.queue.run_time().longest_us());
        let running_since = MonoTime::from_us(running_since_us);
        self.flows.counts(running_since)
    }

    /// Returns whether another request may be delivered to the target. One more than it can run
    /// concurrently is allowed, so that no slot is idle between two requests.
    pub(super) fn has_slot(&self, now: MonoTime) -> bool {
        let slots = match self.slots {
            0 if self.target_id.is_none() && now < self.assumed_slots_until => ASSUMED_SLOTS,
            slots => slots,
        };
        let is_unlimited = slots == 0 || !Mechanism::AgentQueue.is_enabled();
        is_unlimited || self.counts(now).running < slots.saturating_add(MAX_REQUESTS_BEYOND_SLOTS)
    }

    /// Delivers queued requests to the target while it has free slots.
    pub(super) fn release(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        while !self.queue.is_empty() && self.has_slot(now) {
            let Some(queued) = self.queue.pop(now) else {
                return;
            };
            let Some(record) = self.flows.get_mut(&queued.flow) else {
                continue;
            };
            for (segment, _) in &queued.packets {
                record.record_delivery(now, segment);
            }
            let record_started = record_queued(now, self.started_decision(now), &queued);
            let packets = queued.packets.into_iter();
            out.extend(packets.map(|(_, packet)| AgentAction::DeliverStored { packet }));
            out.push(record_started);
        }
    }

    pub(super) fn expire_queued(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let decision = FlowDecision::new(Outcome::TimedOutWaiting).load(self.queued_requests());
        for queued in self.queue.expire(now) {
            out.push(record_queued(now, decision, &queued));
            self.abandon(queued.flow);
        }
    }

    pub(super) fn on_opening(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        forward: Forward,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        let reason = match () {
            () if forward.service != self.service => Some(ReturnReason::WrongService),
            () if self.is_leaving() => Some(ReturnReason::Leaving),
            () => None,
        };
        if let Some(reason) = reason {
            self.return_packet(entry, segment.flow, reason, out);
            return;
        }
        let earlier = self.flows.get_mut(&segment.flow);
        if earlier.is_some_and(|earlier| earlier.is_superseded_by(segment)) {
            self.flows.remove(&segment.flow);
            self.queue.remove(&segment.flow);
        }
        // A known flow's opening packet is a retransmission, which was counted before.
        let is_known = self.flows.get_mut(&segment.flow).is_some();
        if !is_known && !self.warm_up.try_count(now) {
            self.return_over_limit(now, entry, segment.flow, out);
            return;
        }
        let is_stream = forward.requirements.flow_use == FlowUse::Stream;
        let new = AgentFlow::new(now, Some(entry), is_stream);
        let record = self.flows.get_or_insert(segment.flow, new);
        record.entry = Some(entry);
        record.is_stream |= is_stream;
        record.record_opening(now, segment, forward.requirements);
        record.record_delivery(now, segment);
        self.target_monitor.record_opening(now);
        out.push(AgentAction::Deliver);
    }

    /// Handles the first packet of a flow for which this agent has no record. Inserts a record and
    /// returns true if the packet is to be treated like those of known flows: its data then counts as
    /// the start of a request. Otherwise answers the entry if necessary.
    fn admit_unknown_flow(
        &mut self,
        now: MonoTime,
        from: ForwardOrigin,
        flow: FlowKey,
        out: &mut Vec<AgentAction>,
    ) -> bool {
        let ForwardOrigin { entry, forward } = from;
        if self.has_ended() {
            self.return_to_hold(entry, flow, out);
            return false;
        }
        // Start times come from the platform's list, which may be outdated after a restart. If they
        // differ, the target may still hold the flow, and the entry has to search for it.
        let is_same_instance =
            forward.started_at_ms == self.started_at_ms && self.started_at_ms != 0;
        // Right after its start, the agent doesn't know its target's start time yet. A target that
        // doesn't hold the flow returns the packet.
        let is_instance_unknown = self.started_at_ms == 0 && forward.service == self.service;
        let is_owner_confirmed =
            forward.mode == ForwardMode::Owner && (is_same_instance || is_instance_unknown);
        if self.is_complete(now) || self.flows.is_not_held(&flow) {
            self.send_not_held(entry, forward, flow, out);
            return false;
        }
        if is_owner_confirmed {
            let is_stream = forward.requirements.flow_use == FlowUse::Stream;
            let new = AgentFlow::new(now, Some(entry), is_stream);
            self.flows.get_or_insert(flow, new);
            return true;
        }
        // In modes other than `Owner` the packet isn't answered: whether the target holds the flow
        // is undetermined, and the target must not be probed.
        if forward.mode == ForwardMode::Owner {
            self.send_not_held(entry, forward, flow, out);
        }
        false
    }
}
