//! Search for the target of a flow that the entry doesn't know.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

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
use crate::TargetState;
use crate::attempt_rank;
use crate::preferred_targets;

/// A listed target whose agent has been silent for this long is taken to be gone. Longer than the
/// planned restart of an agent.
const ABSENT_AFTER_MS: u64 = 2_500;
/// An agent answers the first hello within two trips between data centres, and one that is being
/// restarted within this time.
const NO_ANSWER_MS: u64 = 1_000;
/// Agents that are asked without a delegate. Each packet costs an entry with a small share of a core
/// dearly, while the detour through an agent nearby takes half a millisecond.
const ASKED_DIRECTLY: usize = 2;
/// Agents that one delegate asks: their addresses and a packet fit into a datagram.
const ASKED_BY_DELEGATE: usize = 64;

impl EntryCore {
    pub(super) fn start_search(
        &mut self,
        now: MonoTime,
        arrived_at: MonoTime,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        // A reset of an unknown flow has nothing to deliver that is worth a search.
        if segment.is_reset {
            return;
        }
        let flow = segment.flow;
        let Some(route) = self.view.route(flow.destination) else {
            return;
        };
        let mut record = FlowRecord {
            service: route.services[0].service,
            requirements: route.requirements,
            state: FlowState::Searching(Search::new(now, arrived_at, packet)),
            forget_at: MonoTime::NEVER,
            is_closing: segment.is_fin,
            acknowledged: segment.acknowledged,
        };
        record.touch(now, self.idle_timeout_ms());
        self.flows.insert(flow, record);
        let unheard = self.unheard_targets(now);
        let note = self.note(now, Outcome::SearchStarted, flow).load(unheard);
        out.push(EntryAction::Record(note));
        self.continue_search(now, flow, out);
    }

    /// Asks the agents of the next round; a round without agents to ask is skipped. After the last
    /// one, the client is told if the flow surely doesn't exist.
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
                self.conclude_search(now, flow, out);
                return;
            };
            let next_round_at = search.next_round_at();
            let is_last = round.count == usize::MAX;
            let agents = match is_last {
                // A flow stays at its target when its route moves to another service.
                true => self.agents.heard(now).collect(),
                false => self.agents_of_round(now, service, &flow, round),
            };
            if self.ask(now, flow, &agents, out) {
                self.search_queue.push_back((next_round_at, flow));
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
        vms.filter(|vm| self.agents.get(*vm).is_some_and(|a| a.is_heard(now)))
            .collect()
    }

    /// Asks those agents that haven't answered yet. Returns whether there were any.
    pub(super) fn ask(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        agents: &[Ipv4Addr],
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let knows_nobody = self.is_probe_safe(now) && self.is_no_agent_complete(now);
        let Some(record) = self.flows.get_mut(&flow) else {
            return false;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return false;
        };
        let open = agents.iter().filter(|vm| !search.is_denied_by(**vm));
        let open: Vec<Ipv4Addr> = open.copied().collect();
        for vm in &open {
            search.record_asked(*vm);
        }
        let repeats = search.repeats();
        let packet = search.first_packet().filter(|_| knows_nobody);
        let packet = packet.map(Box::<[u8]>::from);
        self.send_questions(now, flow, &open, repeats, packet.as_deref(), out);
        !open.is_empty()
    }

    /// Asks few agents directly, and many through delegates.
    fn send_questions(
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
        if agents.len() <= ASKED_DIRECTLY {
            let ask = |vm: &Ipv4Addr| send(*vm, Message::Lookup { flow, entry: None });
            out.extend(agents.iter().map(ask));
            return;
        }
        for (index, part) in agents.chunks(ASKED_BY_DELEGATE).enumerate() {
            let attempt = u64::from(repeats) + u64::try_from(index).unwrap_or(0);
            let Some(delegate) = self.delegate(now, &flow, attempt) else {
                return;
            };
            let agents = part.to_vec();
            out.push(send(delegate, Message::DelegateLookup { flow, agents }));
        }
    }

    /// Returns an agent that may ask others for this entry, another one for each attempt. Agents
    /// near the entry go first.
    fn delegate(&self, now: MonoTime, flow: &FlowKey, attempt: u64) -> Option<Ipv4Addr> {
        let is_far = |vm: Ipv4Addr| {
            let target = self.view.target_on(vm);
            target.is_none_or(|target| target.data_centre != self.data_centre)
        };
        let heard = self.agents.heard(now);
        heard.min_by_key(|vm| (is_far(*vm), attempt_rank(flow, *vm, attempt)))
    }

    /// Resets a flow that no target holds, if all of them could be asked.
    pub(super) fn conclude_search(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        let is_sure = self.is_view_sure(now) && self.unheard_targets(now) == 0;
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return;
        };
        if !is_sure || !self.agents.heard(now).all(|vm| search.is_denied_by(vm)) {
            if search.retry_later(now) {
                self.search_queue.push_back((search.next_round_at(), flow));
            }
            return;
        }
        let sequence = record.acknowledged;
        self.flows.remove(&flow);
        out.push(EntryAction::ResetClient { flow, sequence });
        let note = self.note(now, Outcome::SearchLost, flow);
        out.push(EntryAction::Record(note));
    }

    /// Counts listed targets that a search would miss: those whose agent isn't heard for now, or is
    /// being restarted. Not counted are agents that have been silent for long or never answered,
    /// since their VM is gone or cut off, and those beside a target that was about to leave, which
    /// has left. Targets of all services count, since a flow stays at its target when its route
    /// moves.
    pub(super) fn unheard_targets(&self, now: MonoTime) -> u64 {
        let is_missed = |target: &&TargetRecord| {
            let has_left = target.state == TargetState::Draining;
            let is_late = match self.agents.get(target.vm) {
                Some(agent) if agent.is_heard(now) => agent.report().is_leaving,
                Some(agent) => agent.age_ms(now) < ABSENT_AFTER_MS,
                None => self.view.listed_for_ms(now, &target.id) < NO_ANSWER_MS,
            };
            is_late && !has_left
        };
        let missed = self.view.newest_targets().filter(is_missed);
        u64::try_from(missed.count()).unwrap_or(u64::MAX)
    }

    /// An agent can't know whether its target holds the flow.
    pub(super) fn on_unsure(
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
            search.record_unsure(vm);
            self.follow_progress(now, flow, out);
        }
    }

    /// Takes the answers that a delegate has collected.
    pub(super) fn on_answers(
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
            undetermined.iter().for_each(|vm| search.record_unsure(*vm));
            self.follow_progress(now, flow, out);
        }
    }

    /// Goes on with a search once all that were asked have answered.
    fn follow_progress(&mut self, now: MonoTime, flow: FlowKey, out: &mut Vec<EntryAction>) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return;
        };
        match search.progress() {
            SearchProgress::Waiting => {}
            SearchProgress::NotHeldByAny => self.continue_search(now, flow, out),
            SearchProgress::MayProbe(vms) => {
                self.probe(now, flow, &vms, out);
            }
        }
    }

    /// Returns whether the flow's own target is surely among those that can be asked.
    fn is_probe_safe(&self, now: MonoTime) -> bool {
        self.is_view_sure(now) && self.unheard_targets(now) == 0
    }

    /// Returns whether all agents were restarted, so that none can know its target's flows and a
    /// question without a packet would only lose time.
    fn is_no_agent_complete(&self, now: MonoTime) -> bool {
        let mut heard = self.agents.heard(now);
        !heard.any(|vm| self.agents.get(vm).is_some_and(|a| a.report().is_complete))
    }

    /// Hands the packet to targets whose agents can't know, unless the flow's own target might not be
    /// among them. Returns whether it did.
    fn probe(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        vms: &[Ipv4Addr],
        out: &mut Vec<EntryAction>,
    ) -> bool {
        if !self.is_probe_safe(now) {
            return false;
        }
        let Some(record) = self.flows.get_mut(&flow) else {
            return false;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return false;
        };
        let Some(packet) = search.first_packet().map(Box::<[u8]>::from) else {
            return false;
        };
        search.record_probed(now, vms);
        let repeats = search.repeats();
        self.search_queue.push_back((search.next_round_at(), flow));
        self.send_questions(now, flow, vms, repeats, Some(&packet), out);
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

    /// Asks agents again that are heard but haven't answered; without such, goes on with the
    /// answers that there are.
    fn repeat_or_continue(&mut self, now: MonoTime, flow: FlowKey, out: &mut Vec<EntryAction>) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Searching(search) = &mut record.state else {
            return;
        };
        let missing = search.repeat_round(now);
        let is_heard = |vm: &Ipv4Addr| self.agents.get(*vm).is_some_and(|a| a.is_heard(now));
        let (missing, gone): (Vec<_>, Vec<_>) = missing.into_iter().partition(is_heard);
        search.forget_asked(&gone);
        let next_round_at = search.next_round_at();
        if missing.is_empty() {
            let is_probed = match search.progress() {
                SearchProgress::MayProbe(vms) => self.probe(now, flow, &vms, out),
                SearchProgress::Waiting | SearchProgress::NotHeldByAny => false,
            };
            if !is_probed {
                self.continue_search(now, flow, out);
            }
            return;
        }
        self.ask(now, flow, &missing, out);
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
        let before = std::mem::replace(&mut record.state, owned);
        record.touch(now, idle_timeout_ms);
        if let FlowState::Searching(search) = before {
            let forward = Forward {
                mode: ForwardMode::Owner,
                service: record.service,
                started_at_ms,
                requirements: record
                    .requirements
                    .after_ms(now.ms_since(search.arrived_at())),
            };
            // A target that was probed has the first packet already, and ignores a repetition.
            for packet in search.into_packets() {
                out.push(EntryAction::ForwardStored {
                    vm,
                    forward,
                    packet,
                });
            }
        }
        let note = FlowDecision::new(Outcome::SearchFound)
            .flow(flow)
            .vm(vm)
            .version(started_at_ms);
        out.push(EntryAction::Record(note));
    }

    pub(super) fn on_not_held(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        self.on_owner_denies(now, vm, flow);
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if let FlowState::Searching(search) = &mut record.state {
            search.record_not_held(vm);
            self.follow_progress(now, flow, out);
        }
    }
}
