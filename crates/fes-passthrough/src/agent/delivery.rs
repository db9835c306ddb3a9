//! Packets of clients: handed to the target, held back or returned.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use super::agent_core::Origin;
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
use crate::Outcome;
use crate::ReturnReason;
use crate::Segment;

/// Requests handed to the target beyond its slots.
const REQUESTS_AHEAD: u32 = 1;

impl AgentCore {
    pub(super) fn on_forward(
        &mut self,
        now: MonoTime,
        from: Origin,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        if segment.is_syn {
            self.on_opening(now, from.entry, from.forward, segment, out);
            return;
        }
        let Some(record) = self.flows.get_mut(&segment.flow) else {
            self.on_unknown(now, from.entry, from.forward, segment, out);
            return;
        };
        let opened = record.opening_sequence;
        let is_other = opened.is_some_and(|sequence| !segment.acknowledges(sequence));
        if is_other && !record.is_established && segment.is_ack {
            // The client chose another target that answered a copy of the opening packet.
            self.deny(from.entry, from.forward, segment.flow, out);
            return;
        }
        let is_news = record.entry != Some(from.entry);
        record.entry = Some(from.entry);
        if is_news || from.forward.mode != ForwardMode::Owner {
            self.tell_held(from.entry, segment.flow, out);
        }
        self.deliver_or_hold(now, from.forward.requirements, segment, packet, out);
    }

    /// Hands a packet of a known flow to the target, or holds it back if a request begins with it
    /// while the target has no slot, or if its request already waits.
    pub(super) fn deliver_or_hold(
        &mut self,
        now: MonoTime,
        requirements: FlowRequirements,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        let flow = segment.flow;
        let gives_up = segment.is_fin || segment.is_reset;
        if gives_up && self.queue.remove(&flow) {
            // The client closes before it has an answer, so nobody waits for the request.
            let note = FlowDecision::new(Outcome::GivenUpWaiting).flow(flow);
            out.push(AgentAction::Record(note));
            self.abandon(flow);
        } else if segment.payload_bytes > 0 && self.queue.append(segment, packet) {
            return;
        }
        let has_slot = self.has_slot(now);
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if record.is_abandoned() && !segment.is_reset {
            return;
        }
        if record.begins_request(segment) && !has_slot && !self.queue.is_full() {
            let requirements = record.next_demand(now, requirements);
            self.queue.push(now, requirements, *segment, packet);
            let waiting = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
            let note = FlowDecision::new(Outcome::HeldBack)
                .flow(flow)
                .load(waiting);
            out.push(AgentAction::Record(note));
            return;
        }
        let begins = record.begins_request(segment);
        record.record_delivery(now, segment);
        out.push(AgentAction::Deliver);
        if begins {
            self.note_started(now, flow, out);
        }
    }

    fn note_started(&self, now: MonoTime, flow: FlowKey, out: &mut Vec<AgentAction>) {
        let running = u64::from(self.counts(now).running);
        let note = FlowDecision::new(Outcome::Started).flow(flow).load(running);
        out.push(AgentAction::Record(note.version(self.started_at_ms)));
    }

    /// Nothing more of the flow is handed to the target, so that the request never runs.
    pub(super) fn abandon(&mut self, flow: FlowKey) {
        if let Some(record) = self.flows.get_mut(&flow) {
            record.abandon();
        }
    }

    pub(super) fn counts(&self, now: MonoTime) -> FlowCounts {
        let running_since_us = now.as_us().saturating_sub(self.queue.longest_run_us());
        self.flows.counts(MonoTime::from_us(running_since_us))
    }

    /// Returns whether the target can run a further request soon. One more than it can run at once
    /// keeps a slot from standing idle between two requests.
    pub(super) fn has_slot(&self, now: MonoTime) -> bool {
        self.slots == 0 || self.counts(now).running < self.slots + REQUESTS_AHEAD
    }

    /// Hands requests that wait to the target while it has slots.
    pub(super) fn release(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        while !self.queue.is_empty() && self.has_slot(now) {
            let Some(held) = self.queue.pop(now) else {
                return;
            };
            let Some(record) = self.flows.get_mut(&held.flow) else {
                continue;
            };
            for (segment, packet) in held.packets {
                record.record_delivery(now, &segment);
                out.push(AgentAction::DeliverStored { packet });
            }
            self.note_started(now, held.flow, out);
        }
    }

    pub(super) fn expire_held(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        for held in self.queue.expire(now) {
            let note = FlowDecision::new(Outcome::TimedOutWaiting).flow(held.flow);
            out.push(AgentAction::Record(note));
            self.abandon(held.flow);
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
            self.hand_back(entry, segment.flow, reason, out);
            return;
        }
        let is_stream = forward.requirements.flow_use == FlowUse::Stream;
        let new = AgentFlow::new(now, Some(entry), is_stream);
        let record = self.flows.get_or_insert(segment.flow, new);
        record.entry = Some(entry);
        record.is_stream |= is_stream;
        record.record_opening(now, forward.requirements);
        record.record_delivery(now, segment);
        self.watch.record_opening(now);
        out.push(AgentAction::Deliver);
    }

    /// Handles a packet of a flow that this agent has no record of.
    pub(super) fn on_unknown(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        forward: Forward,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        let flow = segment.flow;
        // Start times come from the platform's list, which may lag behind a restart; so one that
        // differs proves nothing, and the entry has to search.
        let is_same_life = forward.started_at_ms == self.started_at_ms && self.started_at_ms != 0;
        let is_vouched = forward.mode == ForwardMode::Owner && is_same_life;
        if self.is_complete(now) || self.flows.is_not_held(&flow) {
            self.deny(entry, forward, flow, out);
            return;
        }
        if is_vouched {
            let is_stream = forward.requirements.flow_use == FlowUse::Stream;
            let new = AgentFlow::new(now, Some(entry), is_stream);
            let record = self.flows.get_or_insert(flow, new);
            record.record_delivery(now, segment);
            out.push(AgentAction::Deliver);
            return;
        }
        // Without a claim the answer is neither yes nor no, and the target must not be asked.
        if forward.mode == ForwardMode::Owner {
            self.deny(entry, forward, flow, out);
        }
    }
}
