//! Search for the target of a flow that isn't in the entry's directory.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use crate::ClientSequence;
use crate::EntryAction;
use crate::EntryCore;
use crate::FlowDecision;
use crate::FlowKey;
use crate::FlowRecord;
use crate::FlowState;
use crate::Forward;
use crate::ForwardMode;
use crate::Message;
use crate::Outcome;
use crate::Owner;
use crate::Search;
use crate::SearchProgress;
use crate::SearchRound;
use crate::Segment;
use crate::ServiceTag;
use crate::TargetRecord;
use crate::agent_table::MAX_AGENT_ABSENCE_MS;
use crate::attempt_rank;
use crate::preferred_targets;

/// Maximum number of agents that an entry asks directly. Sending packets is expensive for an entry
/// that has a small share of a core, while the detour through a nearby agent takes 0.5 ms.
const MAX_DIRECT_LOOKUPS: usize = 2;
/// Maximum number of agents that one delegate asks: their addresses and a packet fit into a
/// datagram.
const MAX_DELEGATED_LOOKUPS: usize = 64;

impl EntryCore {
    pub(super) fn start_search(
        &mut self,
        now: MonoTime,
        arrived_at: MonoTime,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        // A reset of an unknown flow isn't worth a search.
        if segment.is_reset {
            return;
        }
        let flow = segment.flow;
        let Some(route) = self.view.route(flow.destination) else {
            return;
        };
        let Some(first) = route.services.first() else {
            return;
        };
        let mut record = FlowRecord {
            service: first.service,
            client_sequence: ClientSequence::Later(segment.sequence),
            requirements: route.requirements,
            state: FlowState::Searching(Search::new(now, arrived_at, packet)),
            expires_at: MonoTime::NEVER,
            is_closing: segment.is_fin,
            acknowledged: segment.acknowledged,
            latest_data: None,
        };
        record.record_data(arrived_at, segment);
        record.touch(now, self.idle_timeout_ms());
        self.flows.insert(flow, record);
        let is_unreachable = |target: &&TargetRecord| !self.can_be_asked(now, target);
        let unreachable = self.possible_holders(now).filter(is_unreachable).count();
        let decision = self
            .decision(now, Outcome::SearchStarted, flow)
            .load(u64::try_from(unreachable).unwrap_or(u64::MAX));
        out.push(EntryAction::Record(decision));
        self.continue_search(now, flow, out);
    }

    /// Asks the agents of the next round, skipping rounds without agents to ask. Finishes the
    /// search after the last round.
    pub(super) fn continue_search(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        loop {
            let Some(record) = self.flows.get_mut(&flow) else {
                return;
            };
            let service = record.service;
            let FlowState::Searching(search) = &mut record.state else {
                return;
            };
            let Some(round) = search.begin_round(now) else {
                self.finish_search(now, flow, out);
                return;
            };
            let next_round_at = search.next_round_at();
            let is_last = round.count == usize::MAX;
            let agents = match is_last {
                // A flow stays at its target when its route moves to another service.
                true => self.agents.reachable(now).collect(),
                false => self.agents_of_round(now, service, &flow, round),
            };
            if self.look_up(now, flow, &agents, out) {
                self.search_queue.push_back((next_round_at, flow));
                return;
            }
            if is_last && self.probe_undetermined(now, flow, out) {
                return;
            }
        }
    }

    pub(super) fn agents_of_round(
        &self,
        now: MonoTime,
        service: ServiceTag,
        flow: &FlowKey,
        round: SearchRound,
    ) -> Vec<Ipv4Addr> {
        let targets = self.view.targets_of(service);
        let window = preferred_targets(targets, flow, round.skipped, round.count);
        let vms = window.into_iter().map(|target| target.vm);
        vms.filter(|vm| self.agents.get(*vm).is_some_and(|a| a.is_reachable(now)))
            .collect()
    }

    /// Sends lookups to those agents that haven't answered yet. Returns whether there were any.
    pub(super) fn look_up(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        agents: &[Ipv4Addr],
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let Some(record) = self.flows.get_mut(&flow) else {
            return false;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return false;
        };
        let unanswered = agents.iter().filter(|vm| !search.has_answered(**vm));
        let is_listed = |vm: &Ipv4Addr| self.view.target_on(*vm).is_some();
        let (listed, unlisted): (Vec<Ipv4Addr>, Vec<Ipv4Addr>) =
            unanswered.copied().partition(is_listed);
        for vm in &listed {
            search.record_asked(*vm);
        }
        let repeats = search.repeats();
        // A target that isn't listed has usually ended. If it only lost its connection to the
        // platform, it still holds its flows and its agent answers; the search doesn't wait for it.
        for vm in unlisted {
            let message = Message::Lookup { flow, entry: None };
            out.push(EntryAction::Send { vm, message });
        }
        self.send_lookups(now, flow, &listed, repeats, None, out);
        !listed.is_empty()
    }

    /// Sends lookups directly if there are few agents, and through delegates otherwise.
    fn send_lookups(
        &self,
        now: MonoTime,
        flow: FlowKey,
        agents: &[Ipv4Addr],
        repeats: u32,
        packet: Option<&[u8]>,
        out: &mut Vec<EntryAction>,
    ) {
        let send = |vm, message| match packet {
            None => EntryAction::Send { vm, message },
            Some(packet) => EntryAction::SendStored {
                vm,
                message,
                packet: packet.into(),
            },
        };
        if agents.len() <= MAX_DIRECT_LOOKUPS {
            let look_up = |vm: &Ipv4Addr| send(*vm, Message::Lookup { flow, entry: None });
            out.extend(agents.iter().map(look_up));
            return;
        }
        for (index, part) in agents.chunks(MAX_DELEGATED_LOOKUPS).enumerate() {
            let attempt = u64::from(repeats) + u64::try_from(index).unwrap_or(0);
            let Some(delegate) = self.select_delegate(now, &flow, attempt) else {
                return;
            };
            let agents = part.to_vec();
            out.push(send(delegate, Message::DelegateLookup { flow, agents }));
        }
    }

    /// Selects the delegate of an attempt, which varies between attempts. Agents in the entry's
    /// data centre are preferred. Those whose target is no longer listed have most likely ended.
    fn select_delegate(&self, now: MonoTime, flow: &FlowKey, attempt: u64) -> Option<Ipv4Addr> {
        let reachable = self.agents.reachable(now);
        let listed = reachable.filter_map(|vm| self.view.target_on(vm));
        let is_far = |target: &TargetRecord| target.data_centre != self.data_centre;
        let key = |target: &&TargetRecord| (is_far(target), attempt_rank(flow, target.vm, attempt));
        listed.min_by_key(key).map(|target| target.vm)
    }

    /// Resets the flow if no target holds it, and schedules a retry if some target may.
    pub(super) fn finish_search(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        let is_conclusive = self.is_view_current(now) && self.is_held_by_none(now, &flow);
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return;
        };
        if !is_conclusive {
            if search.retry_later(now) {
                self.search_queue.push_back((search.next_round_at(), flow));
            }
            return;
        }
        let sequence = record.acknowledged;
        self.flows.remove(&flow);
        out.push(EntryAction::ResetClient { flow, sequence });
        let decision = self.decision(now, Outcome::SearchLost, flow);
        out.push(EntryAction::Record(decision));
    }

    /// Returns the targets that may hold an open flow: all that are listed, of every service and in
    /// every state, because a draining target keeps its flows and a flow stays at its target when
    /// its route moves to another service.
    ///
    /// Left out are targets that have ended according to their agent, and targets whose agent has
    /// been away for longer than a restart takes. Until then it makes no difference why an agent
    /// can't be asked, whether this entry has ever heard it, or what happened to the others: the
    /// platform lists a target as long as it lives, and removes it within seconds of its end.
    fn possible_holders(&self, now: MonoTime) -> impl Iterator<Item = &TargetRecord> {
        let may_answer = move |target: &&TargetRecord| match self.agents.get(target.vm) {
            Some(agent) => agent.is_reachable(now) || agent.may_return(now),
            None => self.view.listed_for_ms(now, &target.id) < MAX_AGENT_ABSENCE_MS,
        };
        self.view.newest_targets().filter(may_answer)
    }

    /// Returns whether the agent of a target is reachable and isn't about to be restarted.
    fn can_be_asked(&self, now: MonoTime, target: &TargetRecord) -> bool {
        let agent = self.agents.get(target.vm);
        let agent = agent.filter(|agent| agent.is_reachable(now));
        // The agent of a draining or evacuated target reports that it leaves for as long as the
        // target accepts no flows.
        let accepts_flows = self.view.accepts_flows(target);
        agent.is_some_and(|agent| !accepts_flows || !agent.report().is_leaving)
    }

    /// Returns whether every target that may hold the flow has answered that it doesn't. Answers
    /// stay valid, so that a search ends although agents leave one after the other.
    fn is_held_by_none(&self, now: MonoTime, flow: &FlowKey) -> bool {
        let Some(search) = self.flows.search(flow) else {
            return false;
        };
        let mut holders = self.possible_holders(now);
        holders.all(|target| search.is_not_held_by(target.vm))
    }

    /// Handles an agent's answer that it can't determine whether its target holds the flow.
    pub(super) fn on_undetermined(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if let FlowState::Searching(search) = &mut record.state {
            search.record_undetermined(vm);
            self.advance_search(now, flow, out);
        }
    }

    /// Handles the results that a delegate has collected.
    pub(super) fn on_lookup_results(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        not_held_by: &[Ipv4Addr],
        undetermined: &[Ipv4Addr],
        out: &mut Vec<EntryAction>,
    ) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if let FlowState::Searching(search) = &mut record.state {
            not_held_by
                .iter()
                .for_each(|vm| search.record_not_held(*vm));
            undetermined
                .iter()
                .for_each(|vm| search.record_undetermined(*vm));
            self.advance_search(now, flow, out);
        }
    }

    /// Continues a search once all agents that were asked have answered.
    fn advance_search(&mut self, now: MonoTime, flow: FlowKey, out: &mut Vec<EntryAction>) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return;
        };
        match search.progress() {
            SearchProgress::Waiting => {}
            SearchProgress::RoundOver => self.continue_search(now, flow, out),
            SearchProgress::MayProbe(_) => {
                if !self.probe_undetermined(now, flow, out) {
                    self.finish_search(now, flow, out);
                }
            }
        }
    }

    /// Returns whether the flow's own target is certain to be among those that are probed: every
    /// target that may hold the flow has answered, and those that may still hold it can be asked.
    fn is_probe_safe(&self, now: MonoTime, flow: &FlowKey) -> bool {
        let Some(search) = self.flows.search(flow) else {
            return false;
        };
        let mut holders = self.possible_holders(now);
        let is_covered = |target: &TargetRecord| {
            let may_be_probed = search.has_answered(target.vm) && self.can_be_asked(now, target);
            search.is_not_held_by(target.vm) || may_be_probed
        };
        self.is_view_current(now) && holders.all(is_covered)
    }

    /// Probes targets whose agents can't determine whether the target holds the flow, unless the
    /// flow's own target might not be among them. Returns whether they were probed.
    fn probe_undetermined(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        if !self.is_probe_safe(now, &flow) {
            return false;
        }
        let Some(record) = self.flows.get_mut(&flow) else {
            return false;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return false;
        };
        let SearchProgress::MayProbe(mut vms) = search.progress() else {
            return false;
        };
        let Some(packet) = search.first_packet().map(Box::<[u8]>::from) else {
            return false;
        };
        // In a large fleet, the targets that most likely hold the flow are probed first.
        if !search.is_probed() {
            vms.truncate(MAX_DELEGATED_LOOKUPS);
        }
        search.record_probed(now, &vms);
        let repeats = search.repeats();
        self.search_queue.push_back((search.next_round_at(), flow));
        self.send_lookups(now, flow, &vms, repeats, Some(&packet), out);
        true
    }

    pub(super) fn run_due_searches(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        while let Some((due_at, flow)) = self.search_queue.front().copied() {
            if due_at > now {
                return;
            }
            self.search_queue.pop_front();
            let state = self.flows.get_mut(&flow).map(|record| &record.state);
            if matches!(state, Some(FlowState::Searching(s)) if s.next_round_at() <= now) {
                self.repeat_or_continue(now, flow, out);
            }
        }
    }

    /// Repeats the lookups to agents that haven't answered, unless they became unreachable or their
    /// target was unlisted. If there are none, continues with the answers received so far.
    fn repeat_or_continue(&mut self, now: MonoTime, flow: FlowKey, out: &mut Vec<EntryAction>) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return;
        };
        search.retain_asked(|vm| {
            let is_reachable = self.agents.get(vm).is_some_and(|a| a.is_reachable(now));
            is_reachable && self.view.target_on(vm).is_some()
        });
        let unanswered = search.repeat_round(now);
        let next_round_at = search.next_round_at();
        if unanswered.is_empty() {
            if !self.probe_undetermined(now, flow, out) {
                self.continue_search(now, flow, out);
            }
            return;
        }
        self.look_up(now, flow, &unanswered, out);
        self.search_queue.push_back((next_round_at, flow));
    }

    pub(super) fn on_held(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        started_at_ms: u64,
        out: &mut Vec<EntryAction>,
    ) {
        let idle_timeout_ms = self.idle_timeout_ms();
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if matches!(record.state, FlowState::Owned(_)) {
            return;
        }
        if let Some(agent) = self.agents.get(vm) {
            record.service = agent.report().service;
        }
        let owned = FlowState::Owned(Owner { vm, started_at_ms });
        let previous = std::mem::replace(&mut record.state, owned);
        record.touch(now, idle_timeout_ms);
        if let FlowState::Searching(search) = previous {
            let forward = Forward {
                mode: ForwardMode::Owner,
                service: record.service,
                started_at_ms,
                requirements: record
                    .requirements
                    .after_ms(now.ms_since(search.arrived_at())),
            };
            // A target that was probed already has the first packet and ignores the duplicate.
            for packet in search.into_packets() {
                out.push(EntryAction::ForwardStored {
                    vm,
                    forward,
                    packet,
                });
            }
        }
        let decision = FlowDecision::new(Outcome::SearchFound)
            .flow(flow)
            .vm(vm)
            .version(started_at_ms);
        out.push(EntryAction::Record(decision));
    }

    pub(super) fn on_not_held(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        self.on_not_held_by_owner(now, vm, flow);
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if let FlowState::Searching(search) = &mut record.state {
            search.record_not_held(vm);
            self.advance_search(now, flow, out);
        }
    }
}
