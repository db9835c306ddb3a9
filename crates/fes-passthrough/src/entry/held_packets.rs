//! Packets for agents that are being restarted, which the entry holds until the next incarnation
//! reports.
//!
//! Without this, a packet sent to an agent that is away is lost, and the client sends it again only
//! after 200 ms, then 400 ms, and so on: longer than the restart takes.

use std::net::Ipv4Addr;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::AgentProcess;
use crate::EntryAction;
use crate::EntryCore;
use crate::FlowDecision;
use crate::FlowKey;
use crate::FlowState;
use crate::Forward;
use crate::ForwardMode;
use crate::LoadReport;
use crate::Outcome;

/// Time after which a held packet is dropped. Clients send it again at intervals of at most 1.6 s.
const MAX_HOLD_MS: u64 = 2_500;
/// Maximum number of packets held for one agent, of at most 1,234 bytes each.
const MAX_PACKETS_PER_AGENT: usize = 256;
/// Maximum number of packets held for all agents together, as when many are restarted at once.
const MAX_PACKETS: usize = 2_048;

#[derive(Debug, Clone)]
struct HeldPacket {
    flow: FlowKey,
    packet: Box<[u8]>,
    /// When the latest data of the flow arrived first; it may have been queued by the agent.
    arrived_at: MonoTime,
    held_at: MonoTime,
}

/// Packets held for one agent.
#[derive(Debug, Default)]
struct AgentPackets {
    /// Incarnation of the agent that ends or has ended.
    ended_incarnation: u64,
    /// Packets in the order of their arrival.
    packets: Vec<HeldPacket>,
}

/// Held packets by the agent's VM.
#[derive(Debug, Default)]
pub(super) struct HeldPackets {
    by_agent: FastMap<Ipv4Addr, AgentPackets>,
}

impl HeldPackets {
    /// Holds a packet, unless the same one is held already. Returns whether it is held.
    fn hold(&mut self, vm: Ipv4Addr, ended_incarnation: u64, packet: HeldPacket) -> bool {
        let has_room = self.len() < MAX_PACKETS;
        let held = self.by_agent.entry(vm).or_default();
        held.ended_incarnation = ended_incarnation;
        let is_same =
            |other: &HeldPacket| other.flow == packet.flow && other.packet == packet.packet;
        if held.packets.iter().any(is_same) {
            return true;
        }
        let is_held = has_room && held.packets.len() < MAX_PACKETS_PER_AGENT;
        if is_held {
            held.packets.push(packet);
        }
        is_held
    }

    /// Removes and returns the packets for an agent of which another incarnation reports.
    fn take(&mut self, vm: Ipv4Addr, incarnation: u64) -> Vec<HeldPacket> {
        let held = self.by_agent.get(&vm);
        if held.is_none_or(|held| held.ended_incarnation == incarnation) {
            return Vec::new();
        }
        let held = self.by_agent.remove(&vm);
        held.map(|held| held.packets).unwrap_or_default()
    }

    /// Removes the packets of a flow.
    pub(super) fn remove_flow(&mut self, flow: &FlowKey) {
        for held in self.by_agent.values_mut() {
            held.packets.retain(|packet| packet.flow != *flow);
        }
    }

    /// Removes packets that were held for too long. Returns the decisions to drop them.
    fn expire(&mut self, now: MonoTime) -> Vec<FlowDecision> {
        let mut dropped = Vec::new();
        self.by_agent.retain(|vm, held| {
            let is_over = |packet: &mut HeldPacket| now >= packet.held_at.plus_ms(MAX_HOLD_MS);
            let expired = held.packets.extract_if(.., is_over);
            dropped.extend(expired.map(|packet| {
                let waited_ms = now.ms_since(packet.held_at);
                let decision = FlowDecision::new(Outcome::DroppedUnheld).flow(packet.flow);
                decision.vm(*vm).age_ms(waited_ms)
            }));
            !held.packets.is_empty()
        });
        dropped
    }

    fn len(&self) -> usize {
        let held = self.by_agent.values();
        held.map(|held| held.packets.len()).sum()
    }
}

impl EntryCore {
    /// Handles an agent's last message before its process ends.
    pub(super) fn on_agent_stopped(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        incarnation: u64,
        process: AgentProcess,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.agents.record_stopped(now, vm, incarnation, process) {
            return;
        }
        // The next incarnation reports once it gets a hello.
        self.next_hello_at.remove(&vm);
        let outcome = match process {
            AgentProcess::Ended => Outcome::TargetEnded,
            AgentProcess::Running | AgentProcess::Restarting => Outcome::AgentStopped,
        };
        let decision = FlowDecision::new(outcome).vm(vm);
        out.push(EntryAction::Record(decision));
    }

    /// Holds a packet for an agent that is being restarted.
    pub(super) fn hold_packet(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let agent = self.agents.get(vm);
        let incarnation = agent.map_or(0, |agent| agent.report().incarnation);
        let record = self.flows.get_mut(&flow);
        let latest_data = record.and_then(|record| record.latest_data);
        let held = HeldPacket {
            flow,
            packet: packet.into(),
            arrived_at: latest_data.map_or(now, |(_, arrived_at)| arrived_at),
            held_at: now,
        };
        let outcome = match self.held.hold(vm, incarnation, held) {
            true => Outcome::HeldForAgent,
            false => Outcome::DroppedUnheld,
        };
        out.push(EntryAction::Record(
            FlowDecision::new(outcome).flow(flow).vm(vm),
        ));
    }

    /// Drops packets that were held for too long.
    pub(super) fn expire_held(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        let dropped = self.held.expire(now).into_iter();
        out.extend(dropped.map(EntryAction::Record));
    }

    /// Forwards the packets held for an agent if its next incarnation reports and knows its
    /// target.
    pub(super) fn release_held(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        report: &LoadReport,
        out: &mut Vec<EntryAction>,
    ) {
        if report.started_at_ms == 0 {
            return;
        }
        for held in self.held.take(vm, report.incarnation) {
            let waited_ms = now.ms_since(held.held_at);
            let Some(record) = self.flows.get_mut(&held.flow) else {
                continue;
            };
            let FlowState::Owned(owner) = record.state else {
                continue;
            };
            out.push(EntryAction::ForwardStored {
                vm: owner.vm,
                forward: Forward {
                    mode: ForwardMode::Owner,
                    service: record.service,
                    started_at_ms: owner.started_at_ms,
                    requirements: record.requirements.after_ms(now.ms_since(held.arrived_at)),
                },
                packet: held.packet,
            });
            let decision = FlowDecision::new(Outcome::Released)
                .flow(held.flow)
                .vm(vm)
                .age_ms(waited_ms);
            out.push(EntryAction::Record(decision));
        }
    }
}
