//! Decisions of an entry: where each packet of a client goes.
//!
//! A packet of an open flow is never guessed at. It goes to the target that is known to hold the
//! flow; if none is known, it is searched for.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use crate::AgentTable;
use crate::Attempt;
use crate::Choice;
use crate::Claim;
use crate::Fleet;
use crate::FleetView;
use crate::FlowDirectory;
use crate::FlowKey;
use crate::FlowRecord;
use crate::FlowState;
use crate::FlowUse;
use crate::Forward;
use crate::Hello;
use crate::Learnt;
use crate::ListChange;
use crate::LoadReport;
use crate::MAX_ATTEMPTS;
use crate::Message;
use crate::Note;
use crate::Opening;
use crate::Outcome;
use crate::Owner;
use crate::ReturnReason;
use crate::Round;
use crate::Route;
use crate::Search;
use crate::Segment;
use crate::ServiceTag;
use crate::TargetHint;
use crate::TargetRecord;
use crate::TargetState;
use crate::ViewEvent;
use crate::ViewExchange;
use crate::choose;
use crate::first_of_order;

/// Shortest time between two reports of an agent, in milliseconds.
const MIN_REPORT_PERIOD_MS: u64 = 100;
/// Time between reports grows with the number of agents, which bounds what an entry receives.
const REPORT_MS_PER_AGENT: u64 = 4;
/// Time between two hellos to one agent, in milliseconds.
const HELLO_PERIOD_MS: u64 = 200;
/// A target that hasn't accepted a flow by then is doubted, and another one is tried.
const ACCEPT_TIMEOUT_MS: u64 = 70;
/// A listed target whose agent has been silent for this long is taken to be gone. Longer than the
/// planned restart of an agent.
const ABSENT_AFTER_MS: u64 = 2_500;
/// An agent answers the first hello within two trips between data centres, and one that is being
/// restarted within this time.
const NO_ANSWER_MS: u64 = 1_000;
/// A route that is missing from an older view may have been added since.
const SURE_VIEW_AGE_MS: u64 = 2_000;
/// A target that refused a flow is passed over for this long.
const REFUSED_AVOID_MS: u64 = 150;
/// Agents that were silent for this long are forgotten.
const FORGET_AGENT_MS: u64 = 30_000;
/// Idle time of flows before the first configuration is known.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// What an entry does next. `Forward` and `Drop` concern the packet at hand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Send the packet at hand to the agent on this VM.
    Forward {
        /// VM of the agent.
        vm: Ipv4Addr,
        /// Head of the message.
        forward: Forward,
    },
    /// Send a stored packet to the agent on this VM.
    ForwardStored {
        /// VM of the agent.
        vm: Ipv4Addr,
        /// Head of the message.
        forward: Forward,
        /// Packet.
        packet: Box<[u8]>,
    },
    /// Send a message to a process on this VM.
    Send {
        /// VM.
        vm: Ipv4Addr,
        /// Message.
        message: Message,
    },
    /// Tell the client that the flow doesn't exist.
    ResetClient {
        /// Flow.
        flow: FlowKey,
        /// Sequence number, near what the client acknowledged.
        sequence: u32,
    },
    /// Log and count a decision.
    Note(Note),
}

/// Decisions of an entry.
#[derive(Debug)]
pub struct EntryCore {
    incarnation: u64,
    data_centre: DataCentreName,
    view: FleetView,
    agents: AgentTable,
    flows: FlowDirectory,
    exchange: ViewExchange,
    /// Flows to look at for one more try, in the order of their deadlines.
    opening_queue: VecDeque<(MonoTime, FlowKey)>,
    /// Searches whose next round is due, in the order of their deadlines.
    search_queue: VecDeque<(MonoTime, FlowKey)>,
    next_hello_at: FastMap<Ipv4Addr, MonoTime>,
    turn: usize,
}

impl EntryCore {
    /// Makes the entry on VM `own` of a data centre, which knows some other entries by `seeds`.
    /// `incarnation` tells this run from others.
    #[must_use]
    pub fn new(
        incarnation: u64,
        own: Ipv4Addr,
        data_centre: DataCentreName,
        seeds: &[Ipv4Addr],
    ) -> Self {
        Self {
            exchange: ViewExchange::new(own, incarnation, seeds),
            incarnation,
            data_centre,
            view: FleetView::new(),
            agents: AgentTable::default(),
            flows: FlowDirectory::default(),
            opening_queue: VecDeque::new(),
            search_queue: VecDeque::new(),
            next_hello_at: FastMap::default(),
            turn: usize::try_from(incarnation % 1_024).unwrap_or(0),
        }
    }

    /// Returns what is known of routes and targets.
    #[must_use]
    pub const fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns what is known of routes and targets, to be changed.
    pub const fn view_mut(&mut self) -> &mut FleetView {
        &mut self.view
    }

    /// Returns whether this entry should read the platform itself now.
    #[must_use]
    pub fn is_reader(&self, now: MonoTime) -> bool {
        self.exchange.is_reader(now, &self.view)
    }

    /// Replaces the seeds, as after a change of the settings.
    pub fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.exchange.set_seeds(seeds);
    }

    /// Returns the number of flows remembered.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of agents known.
    #[must_use]
    pub fn agent_count(&self) -> usize {
        self.agents.len()
    }

    /// Takes a change of the platform's list. Agents hear at once of a change to their own target.
    pub fn on_change(&mut self, now: MonoTime, change: ListChange, out: &mut Vec<EntryAction>) {
        if let Some(event) = self.view.apply(now, change) {
            self.on_view_event(&event, out);
        }
    }

    /// Takes a whole listing of the platform.
    pub fn on_listing(
        &mut self,
        now: MonoTime,
        changes: Vec<ListChange>,
        revision: u64,
        out: &mut Vec<EntryAction>,
    ) {
        for event in self.view.apply_listing(now, changes, revision) {
            self.on_view_event(&event, out);
        }
    }

    /// Takes a packet that a client sent.
    pub fn on_client_packet(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let Some(route) = self.view.route(segment.flow.destination).cloned() else {
            self.on_no_route(now, segment, out);
            return;
        };
        if segment.is_open {
            self.on_opening(now, segment, &route, packet, out);
        } else {
            self.on_following(now, segment, &route, packet, out);
        }
    }

    /// Takes a message from the agent on `vm`, with the packet that it carries.
    pub fn on_message(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        message: &Message,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        match message {
            Message::Load(report) => self.on_report(now, vm, *report, out),
            Message::Opened {
                flow,
                sequence,
                born_ms,
            } => self.on_opened(vm, *flow, *sequence, *born_ms, out),
            Message::Returned { flow, reason } => {
                self.on_returned(now, vm, *flow, *reason, packet, out);
            }
            Message::Held { flow, born_ms } => self.on_held(now, vm, *flow, *born_ms, out),
            Message::NotHeld { flow } => self.on_not_held(now, vm, *flow, out),
            Message::Unsure { flow } => self.on_unsure(now, vm, *flow, out),
            Message::Digest(digest) => {
                let answers = self.exchange.on_digest(now, vm, digest, &mut self.view);
                out.extend(answers.into_iter().map(send));
            }
            Message::Routes(part) => {
                if let Some(change) = self.exchange.on_routes(part) {
                    self.on_change(now, change, out);
                }
            }
            Message::Targets(part) => {
                let routes_version = self.view.routes().version;
                let learnt = self.exchange.on_targets(now, part, routes_version);
                self.on_learnt(now, learnt, out);
            }
            // Other messages are for agents.
            Message::Forward(_) | Message::Hello(_) | Message::Ask { .. } => {}
        }
    }

    fn on_learnt(&mut self, now: MonoTime, learnt: Learnt, out: &mut Vec<EntryAction>) {
        for change in learnt.changes {
            self.on_change(now, change, out);
        }
        if let Some((revision, confirmed_at)) = learnt.confirmed {
            self.view.confirm_by_peer(confirmed_at, revision);
        }
    }

    /// Does what is due: hellos, further attempts, expiry.
    pub fn on_tick(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        for event in self.view.expire(now) {
            self.on_view_event(&event, out);
        }
        self.send_hellos(now, out);
        let digests = self.exchange.on_tick(now, &self.view);
        out.extend(digests.into_iter().map(send));
        self.try_due_openings(now, out);
        self.run_due_searches(now, out);
        for (vm, age_ms) in self.agents.newly_silent(now) {
            let note = Note::new(Outcome::AgentSilent).vm(vm).age_ms(age_ms);
            out.push(EntryAction::Note(note));
        }
    }

    /// Drops old records; called about once a second.
    pub fn on_slow_tick(&mut self, now: MonoTime) {
        self.flows.expire(now);
        let oldest_us = now.as_us().saturating_sub(FORGET_AGENT_MS * 1_000);
        self.agents
            .forget_silent_since(MonoTime::from_us(oldest_us));
        let view = &self.view;
        self.next_hello_at
            .retain(|vm, _| view.target_on(*vm).is_some());
    }

    /// Returns how often agents should report, in milliseconds.
    #[must_use]
    pub fn report_period_ms(&self) -> u64 {
        let agents = u64::try_from(self.agents.len()).unwrap_or(u64::MAX);
        (agents.saturating_mul(REPORT_MS_PER_AGENT)).max(MIN_REPORT_PERIOD_MS)
    }

    fn idle_timeout_ms(&self) -> u64 {
        match self.view.routes().idle_timeout_ms {
            0 => DEFAULT_IDLE_TIMEOUT_MS,
            idle_timeout_ms => idle_timeout_ms,
        }
    }

    /// A view that was confirmed lately knows every route that must be known by now.
    fn is_view_sure(&self, now: MonoTime) -> bool {
        let age_ms = self.view.age_ms(now);
        self.view.has_routes() && age_ms.is_some_and(|age_ms| age_ms <= SURE_VIEW_AGE_MS)
    }

    fn note(&self, now: MonoTime, outcome: Outcome, flow: FlowKey) -> Note {
        Note::new(outcome)
            .flow(flow)
            .age_ms(self.view.age_ms(now).unwrap_or(u64::MAX))
            .version(self.view.routes().version)
    }

    fn on_no_route(&mut self, now: MonoTime, segment: &Segment, out: &mut Vec<EntryAction>) {
        let flow = segment.flow;
        if !self.is_view_sure(now) {
            let note = self.note(now, Outcome::DroppedUnsure, flow);
            out.push(EntryAction::Note(note));
            return;
        }
        if segment.is_reset {
            self.flows.remove(&flow);
            return;
        }
        let outcome = match segment.is_open {
            true => Outcome::RefusedNoRoute,
            false => Outcome::RouteRemoved,
        };
        self.flows.remove(&flow);
        self.reset(now, outcome, segment, out);
    }

    fn reset(
        &self,
        now: MonoTime,
        outcome: Outcome,
        segment: &Segment,
        out: &mut Vec<EntryAction>,
    ) {
        let sequence = match segment.is_open {
            true => 0,
            false => segment.acknowledged,
        };
        out.push(EntryAction::ResetClient {
            flow: segment.flow,
            sequence,
        });
        out.push(EntryAction::Note(self.note(now, outcome, segment.flow)));
    }

    fn on_opening(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        route: &Route,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let flow = segment.flow;
        if !self.flows.contains(&flow) {
            self.place_first(now, segment, route, packet, out);
            return;
        }
        self.repeat_opening(now, segment, out);
    }

    /// Sends a copy of an opening packet where the flow was accepted, or else to one more target.
    fn repeat_opening(&mut self, now: MonoTime, segment: &Segment, out: &mut Vec<EntryAction>) {
        let idle_timeout_ms = self.idle_timeout_ms();
        let Some(record) = self.flows.get_mut(&segment.flow) else {
            return;
        };
        record.touch(now, idle_timeout_ms);
        let demand = record.demand;
        let service = record.service;
        let forward = |born_ms| Forward {
            claim: Claim::Open,
            service,
            born_ms,
            demand,
        };
        match &mut record.state {
            FlowState::Owned(owner) => out.push(EntryAction::Forward {
                vm: owner.vm,
                forward: forward(owner.born_ms),
            }),
            FlowState::Sought(_) => {}
            FlowState::Opening(opening) => {
                let accepted = |a: &&Attempt| a.opening_sequence.is_some();
                if let Some(attempt) = opening.attempts.iter().find(accepted) {
                    out.push(EntryAction::Forward {
                        vm: attempt.vm,
                        forward: forward(attempt.born_ms),
                    });
                    return;
                }
                self.try_next_target(now, segment.flow, out);
            }
        }
    }

    fn place_first(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        route: &Route,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let service = self.choose_service(route);
        let Some(choice) =
            self.choose_target(now, service, &segment.flow, route.demand.flow_use, &[])
        else {
            if self.is_view_sure(now) {
                self.reset(now, Outcome::RefusedNoTarget, segment, out);
            }
            return;
        };
        let opening = Opening {
            attempts: Vec::with_capacity(1),
            packet: packet.into(),
            try_next_at: MonoTime::NEVER,
        };
        let mut record = FlowRecord {
            service,
            demand: route.demand,
            state: FlowState::Opening(opening),
            forget_at: MonoTime::NEVER,
            is_closing: false,
        };
        record.touch(now, 0);
        self.flows.insert(segment.flow, record);
        self.attempt(now, segment.flow, choice, Outcome::Placed, out);
    }

    /// Among the services of a route, new flows take turns by weight.
    fn choose_service(&mut self, route: &Route) -> ServiceTag {
        self.turn = self.turn.wrapping_add(1);
        let total: u32 = route.services.iter().map(|service| service.weight).sum();
        let turn = u32::try_from(self.turn % 1_000_003).unwrap_or(0);
        let mut position = turn.wrapping_mul(2_654_435_761) % total.max(1);
        for service in &route.services {
            if position < service.weight {
                return service.service;
            }
            position -= service.weight;
        }
        route.services[0].service
    }

    fn choose_target(
        &mut self,
        now: MonoTime,
        service: ServiceTag,
        flow: &FlowKey,
        flow_use: FlowUse,
        excluded: &[Ipv4Addr],
    ) -> Option<Choice> {
        self.turn = self.turn.wrapping_add(1);
        let fleet = Fleet {
            view: &self.view,
            agents: &self.agents,
            data_centre: &self.data_centre,
        };
        choose(now, fleet, service, flow, flow_use, excluded, self.turn)
    }

    fn try_due_openings(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        while let Some((due_at, flow)) = self.opening_queue.front().copied() {
            if due_at > now {
                return;
            }
            self.opening_queue.pop_front();
            let state = self.flows.get_mut(&flow).map(|record| &record.state);
            if matches!(state, Some(FlowState::Opening(opening)) if opening.try_next_at <= now) {
                self.try_next_target(now, flow, out);
            }
        }
    }

    /// Sends the stored opening packet to one more target, if there is one.
    fn try_next_target(&mut self, now: MonoTime, flow: FlowKey, out: &mut Vec<EntryAction>) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let (service, flow_use) = (record.service, record.demand.flow_use);
        let FlowState::Opening(opening) = &mut record.state else {
            return;
        };
        opening.try_next_at = MonoTime::NEVER;
        let tried: Vec<Ipv4Addr> = opening.attempts.iter().map(|a| a.vm).collect();
        let unanswered: Vec<Ipv4Addr> = opening
            .attempts
            .iter()
            .filter(|a| !a.is_handed_back && a.opening_sequence.is_none())
            .map(|a| a.vm)
            .collect();
        for vm in unanswered {
            self.agents.record_unanswered(now, vm);
        }
        if tried.len() >= MAX_ATTEMPTS {
            return;
        }
        if let Some(choice) = self.choose_target(now, service, &flow, flow_use, &tried) {
            self.attempt(now, flow, choice, Outcome::PlacedAgain, out);
        }
    }

    fn attempt(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        choice: Choice,
        outcome: Outcome,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let demand = record.demand;
        let is_stream = demand.flow_use == FlowUse::Stream;
        let FlowState::Opening(opening) = &mut record.state else {
            return;
        };
        opening.attempts.push(Attempt {
            vm: choice.vm,
            born_ms: choice.born_ms,
            sent_at: now,
            opening_sequence: None,
            is_handed_back: false,
        });
        opening.try_next_at = now.plus_ms(ACCEPT_TIMEOUT_MS);
        self.opening_queue.push_back((opening.try_next_at, flow));
        let packet = opening.packet.clone();
        self.agents.record_placed(now, choice.vm, is_stream);
        out.push(EntryAction::ForwardStored {
            vm: choice.vm,
            forward: Forward {
                claim: Claim::Open,
                service: choice.service,
                born_ms: choice.born_ms,
                demand,
            },
            packet,
        });
        let note = Note::new(outcome)
            .flow(flow)
            .vm(choice.vm)
            .age_ms(choice.report_age_ms)
            .version(self.view.revision())
            .load(choice.load);
        out.push(EntryAction::Note(note));
    }

    /// Handles a packet that doesn't open a flow.
    fn on_following(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        route: &Route,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let flow = segment.flow;
        let idle_timeout_ms = self.idle_timeout_ms();
        let Some(record) = self.flows.get_mut(&flow) else {
            self.start_search(now, segment, route, packet, out);
            return;
        };
        record.is_closing |= segment.is_fin || segment.is_reset;
        record.touch(now, idle_timeout_ms);
        let demand = record.demand;
        let service = record.service;
        let forward = |claim, born_ms| Forward {
            claim,
            service,
            born_ms,
            demand,
        };
        let owner = match &mut record.state {
            FlowState::Owned(owner) => *owner,
            FlowState::Opening(opening) => match opener(opening, segment) {
                Some(owner) => {
                    record.state = FlowState::Owned(owner);
                    record.touch(now, idle_timeout_ms);
                    owner
                }
                None => {
                    for attempt in &opening.attempts {
                        out.push(EntryAction::Forward {
                            vm: attempt.vm,
                            forward: forward(Claim::IfKnown, attempt.born_ms),
                        });
                    }
                    return;
                }
            },
            FlowState::Sought(search) => {
                if search.may_restart(now) {
                    *search = Search::new(now, segment, packet);
                    self.continue_search(now, flow, out);
                } else if !search.keep(packet) {
                    let note = self.note(now, Outcome::DroppedSearching, flow);
                    out.push(EntryAction::Note(note));
                }
                return;
            }
        };
        if self.has_ended(owner) {
            self.flows.remove(&flow);
            if !segment.is_reset {
                self.reset(now, Outcome::TargetEnded, segment, out);
            }
            return;
        }
        out.push(EntryAction::Forward {
            vm: owner.vm,
            forward: forward(Claim::Owner, owner.born_ms),
        });
    }

    /// Returns whether the target with this start time has been replaced by a later one.
    fn has_ended(&self, owner: Owner) -> bool {
        if owner.born_ms == 0 {
            return false;
        }
        let listed = self.view.target_on(owner.vm);
        listed.is_some_and(|record| record.born_ms > owner.born_ms)
    }

    fn start_search(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        route: &Route,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        // A reset of an unknown flow has nothing to deliver that is worth a search.
        if segment.is_reset {
            return;
        }
        let flow = segment.flow;
        let mut record = FlowRecord {
            service: route.services[0].service,
            demand: route.demand,
            state: FlowState::Sought(Search::new(now, segment, packet)),
            forget_at: MonoTime::NEVER,
            is_closing: segment.is_fin,
        };
        record.touch(now, self.idle_timeout_ms());
        self.flows.insert(flow, record);
        let unheard = self.unheard_targets(now);
        let note = self.note(now, Outcome::SearchStarted, flow).load(unheard);
        out.push(EntryAction::Note(note));
        self.continue_search(now, flow, out);
    }

    /// Asks the agents of the next round; a round without agents to ask is skipped. After the last
    /// one, the client is told if the flow surely doesn't exist.
    fn continue_search(&mut self, now: MonoTime, flow: FlowKey, out: &mut Vec<EntryAction>) {
        loop {
            let Some(record) = self.flows.get_mut(&flow) else {
                return;
            };
            let service = record.service;
            let FlowState::Sought(search) = &mut record.state else {
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
            if self.ask(flow, &agents, out) {
                self.search_queue.push_back((next_round_at, flow));
                return;
            }
        }
    }

    fn agents_of_round(
        &self,
        now: MonoTime,
        service: ServiceTag,
        flow: &FlowKey,
        round: Round,
    ) -> Vec<Ipv4Addr> {
        let targets = self.view.targets_of(service);
        let window = first_of_order(targets, flow, round.skipped, round.count);
        let vms = window.into_iter().map(|target| target.vm);
        vms.filter(|vm| self.agents.get(*vm).is_some_and(|a| a.is_heard(now)))
            .collect()
    }

    /// Asks those agents that haven't answered yet. Returns whether there were any.
    fn ask(&mut self, flow: FlowKey, agents: &[Ipv4Addr], out: &mut Vec<EntryAction>) -> bool {
        let Some(record) = self.flows.get_mut(&flow) else {
            return false;
        };
        let FlowState::Sought(search) = &mut record.state else {
            return false;
        };
        let mut has_asked = false;
        for vm in agents
            .iter()
            .filter(|vm| !search.is_denied_by(**vm))
            .copied()
            .collect::<Vec<_>>()
        {
            search.record_asked(vm);
            has_asked = true;
            let message = Message::Ask { flow };
            out.push(EntryAction::Send { vm, message });
        }
        has_asked
    }

    /// Resets a flow that no target holds, if all of them could be asked.
    fn conclude_search(&mut self, now: MonoTime, flow: FlowKey, out: &mut Vec<EntryAction>) {
        let is_sure = self.is_view_sure(now) && self.unheard_targets(now) == 0;
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Sought(search) = &record.state else {
            return;
        };
        if !is_sure || !self.agents.heard(now).all(|vm| search.is_denied_by(vm)) {
            return;
        }
        let sequence = search.acknowledged();
        self.flows.remove(&flow);
        out.push(EntryAction::ResetClient { flow, sequence });
        let note = self.note(now, Outcome::SearchLost, flow);
        out.push(EntryAction::Note(note));
    }

    /// Counts listed targets that a search would miss: those whose agent isn't heard for now. Not
    /// counted are agents that have been silent for long or never answered, since their VM is gone
    /// or cut off, and those beside a target that was about to leave, which has left. Targets of
    /// all services count, since a flow stays at its target when its route moves.
    fn unheard_targets(&self, now: MonoTime) -> u64 {
        let is_missed = |(target, known_for_ms): &(&TargetRecord, u64)| {
            let has_left = target.state == TargetState::Draining;
            match self.agents.get(target.vm) {
                Some(agent) if agent.is_heard(now) => false,
                Some(agent) => !has_left && agent.age_ms(now) < ABSENT_AFTER_MS,
                None => !has_left && *known_for_ms < NO_ANSWER_MS,
            }
        };
        let missed = self.view.targets_with_age_ms(now).filter(is_missed);
        u64::try_from(missed.count()).unwrap_or(u64::MAX)
    }

    /// An agent can't know whether its target holds the flow.
    fn on_unsure(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.is_view_sure(now) || self.unheard_targets(now) > 0 {
            return;
        }
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Sought(search) = &record.state else {
            return;
        };
        out.push(EntryAction::ForwardStored {
            vm,
            forward: Forward {
                claim: Claim::Probe,
                service: record.service,
                born_ms: 0,
                demand: record.demand,
            },
            packet: search.first_packet().into(),
        });
    }

    fn run_due_searches(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        while let Some((due_at, flow)) = self.search_queue.front().copied() {
            if due_at > now {
                return;
            }
            self.search_queue.pop_front();
            let state = self.flows.get_mut(&flow).map(|record| &record.state);
            if matches!(state, Some(FlowState::Sought(s)) if s.next_round_at() <= now) {
                self.continue_search(now, flow, out);
            }
        }
    }

    fn on_report(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        report: LoadReport,
        out: &mut Vec<EntryAction>,
    ) {
        let period_ms = self.report_period_ms();
        let is_back = self.agents.record_report(now, vm, report, period_ms);
        if is_back {
            let note = Note::new(Outcome::AgentHeard)
                .vm(vm)
                .version(report.born_ms);
            out.push(EntryAction::Note(note));
        }
    }

    fn on_opened(
        &mut self,
        vm: Ipv4Addr,
        flow: FlowKey,
        sequence: u32,
        born_ms: u64,
        out: &mut Vec<EntryAction>,
    ) {
        self.agents.record_accepted(vm);
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Opening(opening) = &mut record.state else {
            return;
        };
        opening.try_next_at = MonoTime::NEVER;
        if let Some(attempt) = opening.attempts.iter_mut().find(|a| a.vm == vm) {
            attempt.opening_sequence = Some(sequence);
            attempt.born_ms = born_ms;
        }
        let note = Note::new(Outcome::Accepted)
            .flow(flow)
            .vm(vm)
            .version(born_ms);
        out.push(EntryAction::Note(note));
    }

    fn on_returned(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        reason: ReturnReason,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        out.push(EntryAction::Note(
            self.note(now, Outcome::HandedBack, flow).vm(vm),
        ));
        if reason == ReturnReason::NotHeld {
            self.on_owner_denies(now, vm, flow);
            return;
        }
        self.agents.avoid_until(vm, now.plus_ms(REFUSED_AVOID_MS));
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let FlowState::Opening(opening) = &mut record.state else {
            return;
        };
        if opening.packet.is_empty() {
            opening.packet = packet.into();
        }
        for attempt in &mut opening.attempts {
            attempt.is_handed_back |= attempt.vm == vm;
        }
        let is_last = opening.attempts.len() >= MAX_ATTEMPTS;
        let is_refused = is_last && opening.attempts.iter().all(|a| a.is_handed_back);
        if is_refused {
            self.refuse_handed_back(now, flow, out);
        } else if opening
            .attempts
            .iter()
            .all(|a| a.opening_sequence.is_none())
        {
            self.try_next_target(now, flow, out);
        }
    }

    /// Every target that was tried handed the opening packet back, so nothing has run.
    fn refuse_handed_back(&mut self, now: MonoTime, flow: FlowKey, out: &mut Vec<EntryAction>) {
        self.flows.remove(&flow);
        out.push(EntryAction::ResetClient { flow, sequence: 0 });
        let note = self.note(now, Outcome::RefusedOverload, flow);
        out.push(EntryAction::Note(note));
    }

    /// The agent that was taken for the owner's says that its target doesn't hold the flow; the
    /// flow's next packet starts a search.
    fn on_owner_denies(&mut self, now: MonoTime, vm: Ipv4Addr, flow: FlowKey) {
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        let is_owner = matches!(&record.state, FlowState::Owned(owner) if owner.vm == vm);
        if is_owner {
            record.state = FlowState::Sought(Search::default());
            record.touch(now, DEFAULT_IDLE_TIMEOUT_MS);
        }
    }

    fn on_held(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        flow: FlowKey,
        born_ms: u64,
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
        let owned = FlowState::Owned(Owner { vm, born_ms });
        let before = std::mem::replace(&mut record.state, owned);
        record.touch(now, idle_timeout_ms);
        let forward = Forward {
            claim: Claim::Owner,
            service: record.service,
            born_ms,
            demand: record.demand,
        };
        if let FlowState::Sought(search) = before {
            // A target that was probed has the first packet already, and ignores a repetition.
            for packet in search.into_packets() {
                out.push(EntryAction::ForwardStored {
                    vm,
                    forward,
                    packet,
                });
            }
        }
        let note = Note::new(Outcome::SearchFound)
            .flow(flow)
            .vm(vm)
            .version(born_ms);
        out.push(EntryAction::Note(note));
    }

    fn on_not_held(
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
        let FlowState::Sought(search) = &mut record.state else {
            return;
        };
        if search.record_not_held(vm) {
            self.continue_search(now, flow, out);
        }
    }

    fn on_view_event(&mut self, event: &ViewEvent, out: &mut Vec<EntryAction>) {
        let ViewEvent::TargetChanged(record) = event else {
            return;
        };
        self.next_hello_at.remove(&record.vm);
        let note = Note::new(Outcome::TargetChanged)
            .vm(record.vm)
            .version(record.revision)
            .load(u64::from(record.slots));
        out.push(EntryAction::Note(note));
    }

    fn send_hellos(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        let report_period_ms = u32::try_from(self.report_period_ms()).unwrap_or(u32::MAX);
        for record in self.view.targets() {
            if self
                .view
                .target_on(record.vm)
                .is_none_or(|r| r.id != record.id)
            {
                continue;
            }
            let next_at = self.next_hello_at.entry(record.vm).or_default();
            if now < *next_at {
                continue;
            }
            *next_at = now.plus_ms(HELLO_PERIOD_MS);
            let hello = Hello {
                incarnation: self.incarnation,
                report_period_ms,
                target: Some(TargetHint {
                    id: record.id.clone(),
                    service: record.service,
                    born_ms: record.born_ms,
                    state: record.state,
                    slots: record.slots,
                    revision: record.revision,
                }),
            };
            let message = Message::Hello(hello);
            out.push(EntryAction::Send {
                vm: record.vm,
                message,
            });
        }
    }
}

fn send((vm, message): (Ipv4Addr, Message)) -> EntryAction {
    EntryAction::Send { vm, message }
}

/// Returns the target that the client's packet shows to have opened the flow.
fn opener(opening: &Opening, segment: &Segment) -> Option<Owner> {
    let owner = |attempt: &Attempt| Owner {
        vm: attempt.vm,
        born_ms: attempt.born_ms,
    };
    let accepted_by = |attempt: &&Attempt| {
        attempt
            .opening_sequence
            .is_some_and(|sequence| segment.continues(sequence))
    };
    if let Some(attempt) = opening.attempts.iter().find(accepted_by) {
        return Some(owner(attempt));
    }
    match opening.attempts.as_slice() {
        [only] => Some(owner(only)),
        _ => None,
    }
}
