//! Lookups of flows: the agent answers whether its own target holds a flow, and asks other agents
//! on behalf of an entry that delegates a lookup to it.
//!
//! An entry that searches for many flows at once, as after a power loss of all VMs, would saturate
//! its small link with lookups and answers. If it has to ask more than a few agents, it therefore
//! delegates the lookup to one agent, which has a large link and combines the answers into few
//! messages.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use super::agent_core::Probe;
use crate::AgentAction;
use crate::AgentCore;
use crate::FlowKey;
use crate::Message;
use crate::Segment;

/// Time after which results are sent to the entry although others are missing. The entry repeats
/// the lookup at the agents without a result.
const PARTIAL_RESULTS_AFTER_MS: u64 = 25;
/// Time after which further results are of no use to the entry.
const LOOKUP_EXPIRY_MS: u64 = 1_000;
/// Time for which an agent waits for the target's reaction to a probe.
const PROBE_EXPIRY_MS: u64 = 3_000;

/// Delegated lookup and the results received for it.
#[derive(Debug, Clone)]
pub(super) struct PendingLookup {
    entry: Ipv4Addr,
    /// Whether it carries a packet with which targets are probed.
    is_probe: bool,
    /// Agents that haven't answered yet.
    awaited: Vec<Ipv4Addr>,
    /// Agents whose target doesn't hold the flow; not yet sent to the entry.
    not_held_by: Vec<Ipv4Addr>,
    /// Agents that can't determine whether their target holds the flow; not yet sent to the entry.
    undetermined: Vec<Ipv4Addr>,
    send_partial_at: MonoTime,
    expires_at: MonoTime,
}

impl PendingLookup {
    fn has_results(&self) -> bool {
        !self.not_held_by.is_empty() || !self.undetermined.is_empty()
    }

    /// Returns a message with the results received since the previous such message.
    fn take_results(&mut self, flow: FlowKey) -> AgentAction {
        AgentAction::Send {
            to: self.entry,
            message: Message::LookupResults {
                flow,
                not_held_by: std::mem::take(&mut self.not_held_by),
                undetermined: std::mem::take(&mut self.undetermined),
            },
            with_packet: false,
        }
    }
}

impl AgentCore {
    /// Sends a lookup to the given agents, possibly including this one, on behalf of an entry.
    pub(super) fn on_delegate_lookup(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        flow: FlowKey,
        agents: &[Ipv4Addr],
        with_packet: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let pending = PendingLookup {
            entry,
            is_probe: with_packet,
            awaited: agents.to_vec(),
            not_held_by: Vec::new(),
            undetermined: Vec::new(),
            send_partial_at: now.plus_ms(PARTIAL_RESULTS_AFTER_MS),
            expires_at: now.plus_ms(LOOKUP_EXPIRY_MS),
        };
        self.pending_lookups.insert(flow, pending);
        for agent in agents {
            out.push(AgentAction::Send {
                to: *agent,
                message: Message::Lookup {
                    flow,
                    entry: Some(entry),
                },
                with_packet,
            });
        }
    }

    /// Records an agent's answer to a delegated lookup.
    pub(super) fn on_lookup_result(
        &mut self,
        agent: Ipv4Addr,
        flow: FlowKey,
        is_undetermined: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(pending) = self.pending_lookups.get_mut(&flow) else {
            return;
        };
        // The answer to an earlier lookup: a probe is answered once the target has reacted.
        if pending.is_probe && is_undetermined {
            return;
        }
        pending.awaited.retain(|awaited| *awaited != agent);
        match is_undetermined {
            true => pending.undetermined.push(agent),
            false => pending.not_held_by.push(agent),
        }
        if pending.awaited.is_empty() {
            out.push(pending.take_results(flow));
            self.pending_lookups.remove(&flow);
        }
    }

    /// Sends partial results of delegated lookups that are due.
    pub(super) fn send_partial_results(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        for (flow, pending) in &mut self.pending_lookups {
            if now >= pending.send_partial_at && pending.has_results() {
                out.push(pending.take_results(*flow));
            }
        }
    }

    pub(super) fn expire_lookups(&mut self, now: MonoTime) {
        self.pending_lookups
            .retain(|_, pending| now < pending.expires_at);
        self.probes.retain(|_, probe| now < probe.expires_at);
    }

    /// Answers whether the target holds a flow. If that is undetermined and the lookup carries a
    /// packet of the flow, the target is probed with it, and its reaction determines the answer.
    ///
    /// `asked_by` is the entry or delegate that sent the lookup. If the target holds the flow, the
    /// answer is sent directly to `entry`, which searches for the flow, and otherwise to
    /// `asked_by`.
    pub(super) fn on_lookup(
        &mut self,
        now: MonoTime,
        asked_by: Ipv4Addr,
        entry: Ipv4Addr,
        flow: FlowKey,
        segment: Option<&Segment>,
        out: &mut Vec<AgentAction>,
    ) {
        match self.holds_flow(now, &flow, segment) {
            Some(true) => self.send_held(entry, flow, out),
            Some(false) => out.push(reply(asked_by, Message::NotHeld { flow })),
            None if segment.is_some() => self.probe_target(now, asked_by, entry, flow, out),
            None => out.push(reply(asked_by, Message::Undetermined { flow })),
        }
    }

    /// Returns whether the target holds the flow, or `None` if that is undetermined.
    fn holds_flow(
        &mut self,
        now: MonoTime,
        flow: &FlowKey,
        segment: Option<&Segment>,
    ) -> Option<bool> {
        // A complete flow table contains every flow of the target.
        let is_absence_known = self.is_complete(now) || self.flows.is_not_held(flow);
        let Some(record) = self.flows.get_mut(flow) else {
            return is_absence_known.then_some(false);
        };
        if record.is_established {
            return Some(true);
        }
        // The client of a half-open flow may have completed the handshake with another target. Its
        // acknowledgement number shows which target it uses.
        let segment = segment.filter(|segment| segment.is_ack)?;
        record
            .initial_sequence
            .map(|sequence| segment.acknowledges(sequence))
    }

    fn probe_target(
        &mut self,
        now: MonoTime,
        asked_by: Ipv4Addr,
        entry: Ipv4Addr,
        flow: FlowKey,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(probe) = self.probes.get_mut(&flow) {
            // A probe of this flow is already pending.
            probe.asked_by = asked_by;
            probe.entry = entry;
            return;
        }
        let probe = Probe {
            asked_by,
            entry,
            expires_at: now.plus_ms(PROBE_EXPIRY_MS),
        };
        self.probes.insert(flow, probe);
        // Like an opening packet, a probe that isn't answered shows that the target is silent.
        self.target_monitor.record_opening(now);
        out.push(AgentAction::Deliver);
    }
}

fn reply(asked_by: Ipv4Addr, message: Message) -> AgentAction {
    AgentAction::Send {
        to: asked_by,
        message,
        with_packet: false,
    }
}
