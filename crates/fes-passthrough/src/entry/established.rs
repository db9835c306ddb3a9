//! Handling of packets that don't open a flow, and of packets without a route.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use crate::AgentProcess;
use crate::AgentState;
use crate::Attempt;
use crate::EntryAction;
use crate::EntryCore;
use crate::FlowKey;
use crate::FlowState;
use crate::Forward;
use crate::ForwardMode;
use crate::Opening;
use crate::Outcome;
use crate::Owner;
use crate::Priority;
use crate::Search;
use crate::Segment;

impl EntryCore {
    pub(super) fn on_no_route(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        out: &mut Vec<EntryAction>,
    ) {
        let flow = segment.flow;
        if !self.is_view_current(now) {
            let decision = self.decision(now, Outcome::DroppedUnsure, flow);
            out.push(EntryAction::Record(decision));
            return;
        }
        if segment.is_reset {
            self.flows.remove(&flow);
            return;
        }
        let outcome = match segment.is_syn {
            true => Outcome::RefusedNoRoute,
            false => Outcome::RouteRemoved,
        };
        self.flows.remove(&flow);
        self.reset(now, outcome, segment, out);
    }

    pub(super) fn reset(
        &self,
        now: MonoTime,
        outcome: Outcome,
        segment: &Segment,
        out: &mut Vec<EntryAction>,
    ) {
        let sequence = match segment.is_syn {
            true => 0,
            false => segment.acknowledged,
        };
        out.push(EntryAction::ResetClient {
            flow: segment.flow,
            sequence,
        });
        out.push(EntryAction::Record(self.decision(
            now,
            outcome,
            segment.flow,
        )));
    }

    /// Handles a packet that doesn't open a flow.
    pub(super) fn on_established_packet(
        &mut self,
        now: MonoTime,
        arrived_at: MonoTime,
        segment: &Segment,
        priority: Priority,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let flow = segment.flow;
        let idle_timeout_ms = self.idle_timeout_ms();
        let Some(record) = self.flows.get_mut(&flow) else {
            self.start_search(now, arrived_at, segment, packet, out);
            return;
        };
        record.is_closing |= segment.is_fin || segment.is_reset;
        record.acknowledged = segment.acknowledged;
        record.record_data(arrived_at, segment);
        record.touch(now, idle_timeout_ms);
        if segment.is_reset {
            self.held.remove_flow(&flow);
        }
        record.requirements.priority = priority;
        let requirements = record.requirements;
        let service = record.service;
        let forward = |mode, started_at_ms| Forward {
            mode,
            service,
            started_at_ms,
            requirements,
        };
        let owner = match &mut record.state {
            FlowState::Owned(owner) => *owner,
            FlowState::Opening(opening) => match accepting_target(opening, segment) {
                Some(owner) => {
                    record.state = FlowState::Owned(owner);
                    record.touch(now, idle_timeout_ms);
                    owner
                }
                None => {
                    for attempt in &opening.attempts {
                        out.push(EntryAction::Forward {
                            vm: attempt.vm,
                            forward: forward(ForwardMode::IfHeld, attempt.started_at_ms),
                        });
                    }
                    return;
                }
            },
            FlowState::Searching(search) => {
                if search.may_restart(now) {
                    *search = Search::new(now, arrived_at, packet);
                    self.continue_search(now, flow, out);
                } else if !search.buffer_packet(packet) {
                    let decision = self.decision(now, Outcome::DroppedSearching, flow);
                    out.push(EntryAction::Record(decision));
                }
                return;
            }
        };
        match self.agents.get(owner.vm).map(AgentState::process) {
            Some(AgentProcess::Restarting) => self.hold_packet(now, owner.vm, flow, packet, out),
            // The flow may have been opened at a target that was listed there before.
            Some(AgentProcess::Ended) => {
                record.state = FlowState::Searching(Search::new(now, arrived_at, packet));
                self.continue_search(now, flow, out);
            }
            Some(AgentProcess::Running) | None => out.push(EntryAction::Forward {
                vm: owner.vm,
                forward: forward(ForwardMode::Owner, owner.started_at_ms),
            }),
        }
    }

    /// Handles an agent's answer that its target doesn't hold the flow. If that target was recorded
    /// as the owner, the flow's next packet starts a search.
    pub(super) fn on_not_held_by_owner(&mut self, now: MonoTime, vm: Ipv4Addr, flow: FlowKey) {
        let idle_timeout_ms = self.idle_timeout_ms();
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let is_owner = matches!(&record.state, FlowState::Owned(owner) if owner.vm == vm);
        if is_owner {
            record.state = FlowState::Searching(Search::default());
            record.touch(now, idle_timeout_ms);
        }
    }
}

/// Returns the target with which the client completed the handshake: the one that its packet
/// acknowledges, or the only one that was tried.
fn accepting_target(opening: &Opening, segment: &Segment) -> Option<Owner> {
    let owner = |attempt: &Attempt| Owner {
        vm: attempt.vm,
        started_at_ms: attempt.started_at_ms,
    };
    let accepted_by = |attempt: &&Attempt| {
        attempt
            .initial_sequence
            .is_some_and(|sequence| segment.acknowledges(sequence))
    };
    if let Some(attempt) = opening.attempts.iter().find(accepted_by) {
        return Some(owner(attempt));
    }
    match opening.attempts.as_slice() {
        [only] => Some(owner(only)),
        _ => None,
    }
}
