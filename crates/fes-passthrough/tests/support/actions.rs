//! Performs the actions of the simulated entries, agents and targets.

use std::net::Ipv4Addr;

use fes_passthrough::AgentAction;
use fes_passthrough::EntryAction;
use fes_passthrough::FlowKey;
use fes_passthrough::Forward;
use fes_passthrough::Message;
use fes_passthrough::Outcome;
use fes_passthrough::Segment;
use fes_passthrough::Sender;
use fes_protocol::MonoTime;

use super::fixtures::entry_vm;
use super::fixtures::vm;
use super::simulation::Event;
use super::simulation::Simulation;
use super::target::TargetAction;

impl Simulation {
    pub(super) fn perform_target(&mut self, index: usize, actions: Vec<TargetAction>) {
        for action in actions {
            match action {
                TargetAction::Send(segment) => {
                    self.schedule(self.now_ms, Event::FromTarget(index, segment))
                }
                TargetAction::Run { flow, work_ms } => {
                    let started_at_ms = self.targets[index].started_at_ms;
                    self.schedule(
                        self.now_ms + work_ms,
                        Event::RequestEnd(index, started_at_ms, flow),
                    );
                }
            }
        }
    }

    pub(super) fn perform_entry(
        &mut self,
        index: usize,
        actions: Vec<EntryAction>,
        packet: Option<Vec<u8>>,
    ) {
        let from = entry_vm(index);
        let packet = packet.unwrap_or_default();
        for action in actions {
            match action {
                EntryAction::Forward { vm, forward } => {
                    let message = self.forward_message(index, vm, forward);
                    self.send_to_agent(vm, from, message, packet.clone());
                }
                EntryAction::ForwardStored {
                    vm,
                    forward,
                    packet,
                } => {
                    let message = self.forward_message(index, vm, forward);
                    self.send_to_agent(vm, from, message, packet.to_vec());
                }
                EntryAction::Send { vm, message } => {
                    self.count_entry_message(&message);
                    self.send_to_process(vm, from, message, Vec::new());
                }
                EntryAction::SendStored {
                    vm,
                    message,
                    packet,
                } => {
                    self.count_entry_message(&message);
                    self.send_to_process(vm, from, message, packet.to_vec());
                }
                EntryAction::ResetClient { flow, sequence } => {
                    self.send_from(from, Event::ToClient(reset(flow, sequence)));
                }
                EntryAction::Record(decision) => {
                    *self.outcomes.entry(decision.outcome.name()).or_default() += 1
                }
                EntryAction::RecordEvacuation(evacuation) => {
                    let outcome = Outcome::of_evacuation(&evacuation);
                    *self.outcomes.entry(outcome.name()).or_default() += 1;
                }
            }
        }
    }

    pub fn perform_agent(
        &mut self,
        index: usize,
        actions: Vec<AgentAction>,
        packet: Option<Vec<u8>>,
    ) {
        let packet = packet.unwrap_or_default();
        for action in actions {
            match action {
                AgentAction::Deliver => self.deliver(index, &packet),
                AgentAction::DeliverStored { packet } => self.deliver(index, &packet),
                AgentAction::SendToClient => {
                    if let Some(segment) = self.segment_of(&packet) {
                        self.send_from(vm(index), Event::ToClient(segment));
                    }
                }
                AgentAction::Send {
                    to,
                    message,
                    with_packet,
                } => {
                    let carried = if with_packet {
                        packet.clone()
                    } else {
                        Vec::new()
                    };
                    self.send_to_process(to, vm(index), message, carried);
                }
                AgentAction::SendStored {
                    to,
                    message,
                    packet,
                } => self.send_to_process(to, vm(index), message, packet.to_vec()),
                AgentAction::Record(decision) | AgentAction::RecordStored { decision, .. } => {
                    *self.outcomes.entry(decision.outcome.name()).or_default() += 1
                }
            }
        }
    }

    fn deliver(&mut self, index: usize, packet: &[u8]) {
        if let Some(segment) = self.segment_of(packet) {
            self.schedule(self.now_ms, Event::ToTarget(index, segment));
        }
    }

    pub(super) fn count_entry_message(&mut self, message: &Message) {
        let is_background = matches!(
            message,
            Message::Hello(_)
                | Message::Load(_)
                | Message::Digest(_)
                | Message::Routes(_)
                | Message::Targets(_)
        );
        self.entry_messages += usize::from(!is_background);
    }

    fn forward_message(&self, index: usize, vm: Ipv4Addr, forward: Forward) -> Message {
        let now = MonoTime::from_ms(self.now_ms);
        let entry = self.entries[index].as_ref().expect("a running entry");
        entry.forward_message(now, vm, forward)
    }

    fn send_to_agent(&mut self, to: Ipv4Addr, from: Ipv4Addr, message: Message, packet: Vec<u8>) {
        self.entry_messages += 1;
        if let Some(index) = (0..self.agents.len()).find(|i| vm(*i) == to) {
            self.send_from(from, Event::AgentMessage(index, from, message, packet));
        }
    }

    fn send_to_process(
        &mut self,
        to: Ipv4Addr,
        from: Ipv4Addr,
        mut message: Message,
        packet: Vec<u8>,
    ) {
        if let Message::Load(report) = &mut message
            && !self.has_run_times
        {
            report.run_time_us = 0;
        }
        self.record_reported_requests(to, from, &message);
        if let Some(index) = (0..self.agents.len()).find(|i| vm(*i) == to) {
            self.send_from(from, Event::AgentMessage(index, from, message, packet));
        } else if let Some(index) = (0..self.entries.len()).find(|i| entry_vm(*i) == to) {
            self.send_from(from, Event::EntryMessage(index, from, message, packet));
        }
    }

    fn record_reported_requests(&mut self, to: Ipv4Addr, from: Ipv4Addr, message: &Message) {
        if let Message::Load(report) = message
            && to == entry_vm(0)
            && let Some(index) = (0..self.agents.len()).find(|i| vm(*i) == from)
        {
            let requests = report.running + report.waiting;
            self.reported_requests[index].push(requests);
        }
    }
}

fn reset(flow: FlowKey, sequence: u32) -> Segment {
    Segment {
        flow,
        sender: Sender::Target,
        is_syn: false,
        is_ack: false,
        is_fin: false,
        is_reset: true,
        is_failure: false,
        is_returned: false,
        sequence,
        acknowledged: 0,
        payload_bytes: 0,
    }
}
