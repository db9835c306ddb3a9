//! Handling of packets from the target, and notifications to entries about flows.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use crate::AgentAction;
use crate::AgentCore;
use crate::AgentFlow;
use crate::FlowDecision;
use crate::FlowKey;
use crate::Forward;
use crate::ForwardMode;
use crate::Message;
use crate::Outcome;
use crate::ReturnReason;
use crate::Segment;
use crate::number_of;

impl AgentCore {
    /// Handles a packet that the target sent or returned.
    pub fn on_target_packet(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        if segment.is_returned && segment.is_syn {
            self.target_monitor.record_rejection(now);
        }
        let was_silent = match (segment.is_returned, segment.is_syn) {
            (false, true) => self.target_monitor.record_acceptance(),
            (false, false) if segment.payload_bytes > 0 => self.target_monitor.record_response(),
            _ => self.target_monitor.record_answer(),
        };
        if was_silent {
            out.push(AgentAction::Record(FlowDecision::new(
                Outcome::TargetAnswers,
            )));
        }
        if segment.is_returned {
            self.on_returned_by_target(now, segment, out);
            return;
        }
        let flow = segment.flow;
        let new = AgentFlow::new(now, None, false);
        let record = self.flows.get_or_insert(flow, new);
        let was_progress_unknown = record.is_progress_unknown();
        let end = record.record_answer(now, segment);
        out.push(AgentAction::SendToClient);
        if segment.is_syn {
            record.initial_sequence = Some(segment.sequence);
            let entry = record.entry;
            self.send_opened(entry, flow, segment.sequence, out);
            return;
        }
        record.is_established = true;
        if was_progress_unknown {
            self.deliver_repeated(now, segment, out);
        }
        if let Some(end) = end {
            self.on_request_end(now, flow, end, out);
        }
        if let Some(probe) = self.probes.remove(&flow) {
            self.send_held(probe.entry, flow, out);
        }
    }

    pub(super) fn on_returned_by_target(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        let flow = segment.flow;
        if segment.is_syn {
            let record = self.flows.remove(&flow);
            if let Some(entry) = record.and_then(|record| record.entry) {
                self.return_packet(entry, flow, ReturnReason::NotAccepted, out);
            }
            return;
        }
        let probe = self.probes.remove(&flow);
        let record = self.flows.remove(&flow);
        self.queue.remove(&flow);
        self.flows.record_not_held(now, flow);
        let asked_by = probe.map(|probe| probe.asked_by);
        if let Some(entry) = asked_by.or(record.and_then(|record| record.entry)) {
            out.push(AgentAction::Send {
                to: entry,
                message: Message::NotHeld { flow },
                with_packet: false,
            });
        }
        self.release(now, out);
    }

    /// Delivers the queued packets of a flow if the target's first packet shows that it has received
    /// their data before: an earlier incarnation of the agent delivered them. If they timed out in
    /// the queue, the flow would be abandoned although its request was answered.
    fn deliver_repeated(&mut self, now: MonoTime, answer: &Segment, out: &mut Vec<AgentAction>) {
        let flow = answer.flow;
        let (Some(record), Some(queued)) = (self.flows.get_mut(&flow), self.queue.get(&flow))
        else {
            return;
        };
        let mut packets = queued.packets.iter();
        if packets.any(|(segment, _)| record.is_new_data(segment)) {
            return;
        }
        let is_response = answer.payload_bytes > 0 || answer.is_reset || answer.is_fin;
        if !is_response {
            record.record_unseen_start(now);
        }
        let queued = self.queue.remove(&flow).into_iter();
        let packets = queued.flat_map(|queued| queued.packets);
        out.extend(packets.map(|(_, packet)| AgentAction::DeliverStored { packet }));
    }

    pub(super) fn return_packet(
        &self,
        entry: Ipv4Addr,
        flow: FlowKey,
        reason: ReturnReason,
        out: &mut Vec<AgentAction>,
    ) {
        out.push(AgentAction::Send {
            to: entry,
            message: Message::Returned { flow, reason },
            with_packet: true,
        });
        let decision = FlowDecision::new(Outcome::HandedBack)
            .flow(flow)
            .version(number_of(self.target_revision));
        out.push(AgentAction::Record(decision));
    }

    pub(super) fn send_not_held(
        &self,
        entry: Ipv4Addr,
        forward: Forward,
        flow: FlowKey,
        out: &mut Vec<AgentAction>,
    ) {
        // In modes other than `Owner` the entry may have sent the packet to several agents. Only
        // agents whose target is known not to hold the flow answer it.
        let message = match forward.mode {
            ForwardMode::Owner => Message::Returned {
                flow,
                reason: ReturnReason::NotHeld,
            },
            ForwardMode::Open | ForwardMode::IfHeld => Message::NotHeld { flow },
        };
        out.push(AgentAction::Send {
            to: entry,
            message,
            with_packet: false,
        });
    }

    pub(super) fn send_opened(
        &self,
        entry: Option<Ipv4Addr>,
        flow: FlowKey,
        sequence: u32,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(entry) = entry {
            out.push(AgentAction::Send {
                to: entry,
                message: Message::Opened {
                    flow,
                    sequence,
                    started_at_ms: self.started_at_ms,
                },
                with_packet: false,
            });
        }
        let decision = FlowDecision::new(Outcome::Accepted)
            .flow(flow)
            .version(self.started_at_ms);
        out.push(AgentAction::Record(decision));
    }

    pub(super) fn send_held(&self, entry: Ipv4Addr, flow: FlowKey, out: &mut Vec<AgentAction>) {
        out.push(AgentAction::Send {
            to: entry,
            message: Message::Held {
                flow,
                started_at_ms: self.started_at_ms,
            },
            with_packet: false,
        });
    }
}
