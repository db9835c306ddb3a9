//! Packets of the target, and what entries are told about flows.

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

impl AgentCore {
    /// Takes a packet that the target wrote or handed back.
    pub fn on_target_packet(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        if self.watch.record_answer() {
            out.push(AgentAction::Record(FlowDecision::new(
                Outcome::TargetAnswers,
            )));
        }
        if segment.is_returned {
            self.on_handed_back(now, segment, out);
            return;
        }
        let flow = segment.flow;
        let new = AgentFlow::new(now, None, false);
        let record = self.flows.get_or_insert(flow, new);
        let run_us = record.record_answer(now, segment);
        out.push(AgentAction::SendToClient);
        if segment.is_syn {
            record.opening_sequence = Some(segment.sequence);
            let entry = record.entry;
            self.tell_opened(entry, flow, segment.sequence, out);
            return;
        }
        record.is_established = true;
        if let Some(run_us) = run_us {
            self.queue.record_run(run_us);
            let note = FlowDecision::new(Outcome::Answered)
                .flow(flow)
                .age_ms(run_us / 1_000);
            out.push(AgentAction::Record(note));
            self.release(now, out);
        }
        if let Some(probe) = self.probes.remove(&flow) {
            self.tell_held(probe.entry, flow, out);
        }
    }

    pub(super) fn on_handed_back(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        let flow = segment.flow;
        if segment.is_syn {
            let record = self.flows.remove(&flow);
            if let Some(entry) = record.and_then(|record| record.entry) {
                self.hand_back(entry, flow, ReturnReason::NotAccepted, out);
            }
            return;
        }
        let probe = self.probes.remove(&flow);
        let record = self.flows.remove(&flow);
        self.flows.record_not_held(now, flow);
        let asked_by = probe.map(|probe| probe.asked_by);
        if let Some(entry) = asked_by.or(record.and_then(|record| record.entry)) {
            out.push(AgentAction::Send {
                to: entry,
                message: Message::NotHeld { flow },
                with_packet: false,
            });
        }
    }

    pub(super) fn hand_back(
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
        let note = FlowDecision::new(Outcome::HandedBack)
            .flow(flow)
            .version(self.target_revision);
        out.push(AgentAction::Record(note));
    }

    pub(super) fn deny(
        &self,
        entry: Ipv4Addr,
        forward: Forward,
        flow: FlowKey,
        out: &mut Vec<AgentAction>,
    ) {
        // Where an entry asked several agents, only those that surely don't hold the flow say so.
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

    pub(super) fn tell_opened(
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
        let note = FlowDecision::new(Outcome::Accepted)
            .flow(flow)
            .version(self.started_at_ms);
        out.push(AgentAction::Record(note));
    }

    pub(super) fn tell_held(&self, entry: Ipv4Addr, flow: FlowKey, out: &mut Vec<AgentAction>) {
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
