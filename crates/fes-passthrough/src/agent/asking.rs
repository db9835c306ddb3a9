//! Questions about flows: answered for the agent's own target, and passed on to other agents for an
//! entry.
//!
//! An entry that looks for many flows at once, as after a loss of all power, would fill its small
//! link with questions. So an agent, whose link is large, asks the others and answers once.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use super::agent_core::Probe;
use crate::AgentAction;
use crate::AgentCore;
use crate::FlowKey;
use crate::Message;
use crate::Segment;

/// Answers that have come by then are told to the entry, which asks again for the others.
const COLLECT_MS: u64 = 25;
/// Answers that come later than this are of no use to the entry.
const FORGET_MS: u64 = 1_000;
/// How long an agent waits for a target that it asked about a flow.
const PROBE_LIMIT_MS: u64 = 3_000;

/// Answers that an agent collects for an entry.
#[derive(Debug, Clone)]
pub(super) struct Collection {
    entry: Ipv4Addr,
    awaited: Vec<Ipv4Addr>,
    not_held_by: Vec<Ipv4Addr>,
    undetermined: Vec<Ipv4Addr>,
    tell_at: MonoTime,
    forget_at: MonoTime,
}

impl Collection {
    fn has_news(&self) -> bool {
        !self.not_held_by.is_empty() || !self.undetermined.is_empty()
    }

    /// Takes what was collected since the entry was last told.
    fn take_answers(&mut self, flow: FlowKey) -> AgentAction {
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
    /// Asks other agents, this one maybe among them, for an entry.
    pub(super) fn on_ask_others(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        flow: FlowKey,
        agents: &[Ipv4Addr],
        with_packet: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let collection = Collection {
            entry,
            awaited: agents.to_vec(),
            not_held_by: Vec::new(),
            undetermined: Vec::new(),
            tell_at: now.plus_ms(COLLECT_MS),
            forget_at: now.plus_ms(FORGET_MS),
        };
        self.collections.insert(flow, collection);
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

    /// Takes the answer of an agent that was asked for an entry.
    pub(super) fn on_answer(
        &mut self,
        agent: Ipv4Addr,
        flow: FlowKey,
        is_unsure: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(collection) = self.collections.get_mut(&flow) else {
            return;
        };
        collection.awaited.retain(|awaited| *awaited != agent);
        match is_unsure {
            true => collection.undetermined.push(agent),
            false => collection.not_held_by.push(agent),
        }
        if collection.awaited.is_empty() {
            out.push(collection.take_answers(flow));
            self.collections.remove(&flow);
        }
    }

    /// Tells entries what was collected though some answers are missing.
    pub(super) fn tell_collected(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        for (flow, collection) in &mut self.collections {
            if now >= collection.tell_at && collection.has_news() {
                out.push(collection.take_answers(*flow));
            }
        }
    }

    pub(super) fn expire_questions(&mut self, now: MonoTime) {
        self.collections.retain(|_, c| now < c.forget_at);
        self.probes.retain(|_, probe| now < probe.forget_at);
    }

    /// Says whether the target holds a flow. If that can't be known and a packet of the flow is at
    /// hand, the target gets it, and what the target does is the answer.
    pub(super) fn on_ask(
        &mut self,
        now: MonoTime,
        asked_by: Ipv4Addr,
        entry: Ipv4Addr,
        flow: FlowKey,
        segment: Option<&Segment>,
        out: &mut Vec<AgentAction>,
    ) {
        match self.knows_to_hold(now, &flow, segment) {
            Some(true) => self.tell_held(entry, flow, out),
            Some(false) => out.push(answer(asked_by, Message::NotHeld { flow })),
            None if segment.is_some() => self.probe_target(now, asked_by, entry, flow, out),
            None => out.push(answer(asked_by, Message::Undetermined { flow })),
        }
    }

    fn knows_to_hold(
        &mut self,
        now: MonoTime,
        flow: &FlowKey,
        segment: Option<&Segment>,
    ) -> Option<bool> {
        let is_not_held = self.is_complete(now) || self.flows.is_not_held(flow);
        let Some(record) = self.flows.get_mut(flow) else {
            return is_not_held.then_some(false);
        };
        if record.is_established {
            return Some(true);
        }
        // A flow that is only half open may have been chosen elsewhere; what the client
        // acknowledges tells.
        let segment = segment.filter(|segment| segment.is_ack)?;
        record
            .opening_sequence
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
            // The target's answer is awaited already.
            probe.asked_by = asked_by;
            probe.entry = entry;
            return;
        }
        let probe = Probe {
            asked_by,
            entry,
            forget_at: now.plus_ms(PROBE_LIMIT_MS),
        };
        self.probes.insert(flow, probe);
        self.watch.record_opening(now);
        out.push(AgentAction::Deliver);
    }
}

fn answer(asked_by: Ipv4Addr, message: Message) -> AgentAction {
    AgentAction::Send {
        to: asked_by,
        message,
        with_packet: false,
    }
}
