//! Decisions of an entry: where each packet of a client goes.
//!
//! A packet of an open flow is never guessed at. It goes to the target that is known to hold the
//! flow; if none is known, it is searched for.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use super::early_packets::EarlyPackets;
use crate::AgentTable;
use crate::FleetView;
use crate::FlowDecision;
use crate::FlowDirectory;
use crate::FlowKey;
use crate::Forward;
use crate::Hello;
use crate::ListChange;
use crate::LoadReport;
use crate::Message;
use crate::Outcome;
use crate::Segment;
use crate::TargetHint;
use crate::ViewEvent;
use crate::ViewGossip;
use crate::ViewUpdate;

/// Shortest time between two reports of an agent, in milliseconds.
const MIN_REPORT_PERIOD_MS: u64 = 100;
/// Time between reports grows with the number of agents, which bounds what an entry receives.
const REPORT_MS_PER_AGENT: u64 = 4;
/// Shortest time between two hellos to one agent, in milliseconds; it grows like that of reports.
const MIN_HELLO_PERIOD_MS: u64 = 200;
/// A route that is missing from an older view may have been added since.
const SURE_VIEW_AGE_MS: u64 = 2_000;
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
    /// Send a message to the agent on this VM, with a stored packet.
    SendStored {
        /// VM.
        vm: Ipv4Addr,
        /// Message.
        message: Message,
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
    Record(FlowDecision),
}

/// Decisions of an entry.
#[derive(Debug)]
pub struct EntryCore {
    pub(super) incarnation: u64,
    pub(super) data_centre: DataCentreName,
    pub(super) view: FleetView,
    pub(super) agents: AgentTable,
    pub(super) flows: FlowDirectory,
    pub(super) exchange: ViewGossip,
    pub(super) early: EarlyPackets,
    /// Flows to look at for one more try, in the order of their deadlines.
    pub(super) opening_queue: VecDeque<(MonoTime, FlowKey)>,
    /// Searches whose next round is due, in the order of their deadlines.
    pub(super) search_queue: VecDeque<(MonoTime, FlowKey)>,
    pub(super) next_hello_at: FastMap<Ipv4Addr, MonoTime>,
    pub(super) turn: usize,
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
            exchange: ViewGossip::new(own, incarnation, seeds),
            incarnation,
            data_centre,
            view: FleetView::new(),
            agents: AgentTable::default(),
            flows: FlowDirectory::default(),
            early: EarlyPackets::default(),
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
        if !self.view.has_routes() && self.keep_early(now, segment, packet) {
            let note = self.note(now, Outcome::KeptEarly, segment.flow);
            out.push(EntryAction::Record(note));
            return;
        }
        self.carry(now, now, segment, packet, out);
    }

    /// Carries a packet that may have waited here since it arrived.
    pub(super) fn carry(
        &mut self,
        now: MonoTime,
        arrived_at: MonoTime,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let Some(route) = self.view.route(segment.flow.destination) else {
            self.on_no_route(now, segment, out);
            return;
        };
        let waited_ms = now.ms_since(arrived_at);
        if waited_ms >= u64::from(route.requirements.timeout_ms) {
            let note = self.note(now, Outcome::DroppedStale, segment.flow);
            out.push(EntryAction::Record(note.age_ms(waited_ms)));
            return;
        }
        if segment.is_syn {
            let route = route.clone();
            self.on_opening(now, arrived_at, segment, &route, packet, out);
        } else {
            self.on_following(now, arrived_at, segment, packet, out);
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
                started_at_ms,
            } => self.on_opened(now, vm, *flow, *sequence, *started_at_ms, out),
            Message::Returned { flow, reason } => {
                self.on_returned(now, vm, *flow, *reason, packet, out);
            }
            Message::Held {
                flow,
                started_at_ms,
            } => self.on_held(now, vm, *flow, *started_at_ms, out),
            Message::NotHeld { flow } => self.on_not_held(now, vm, *flow, out),
            Message::Undetermined { flow } => self.on_unsure(now, vm, *flow, out),
            Message::LookupResults {
                flow,
                not_held_by,
                undetermined,
            } => self.on_answers(now, *flow, not_held_by, undetermined, out),
            Message::Digest(digest) => {
                let answers = self.exchange.on_digest(now, vm, digest, &mut self.view);
                out.extend(answers.into_iter().map(send));
            }
            Message::Routes(part) => {
                if let Some(change) = self.exchange.on_routes(vm, part) {
                    self.on_change(now, change, out);
                }
            }
            Message::Targets(part) => {
                let routes_version = self.view.routes().version;
                let learnt = self.exchange.on_targets(now, vm, part, routes_version);
                self.on_learnt(now, learnt, out);
            }
            // Other messages are for agents.
            Message::Forward(_)
            | Message::Hello(_)
            | Message::Lookup { .. }
            | Message::DelegateLookup { .. } => {}
        }
    }

    pub(super) fn on_learnt(
        &mut self,
        now: MonoTime,
        learnt: ViewUpdate,
        out: &mut Vec<EntryAction>,
    ) {
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
        self.carry_early(now, out);
        let digests = self.exchange.on_tick(now, &self.view);
        out.extend(digests.into_iter().map(send));
        self.try_due_openings(now, out);
        self.run_due_searches(now, out);
        for (vm, age_ms) in self.agents.newly_silent(now) {
            let note = FlowDecision::new(Outcome::AgentSilent)
                .vm(vm)
                .age_ms(age_ms);
            out.push(EntryAction::Record(note));
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

    pub(super) fn idle_timeout_ms(&self) -> u64 {
        match self.view.routes().idle_timeout_ms {
            0 => DEFAULT_IDLE_TIMEOUT_MS,
            idle_timeout_ms => idle_timeout_ms,
        }
    }

    /// A view that was confirmed lately knows every route that must be known by now.
    pub(super) fn is_view_sure(&self, now: MonoTime) -> bool {
        let age_ms = self.view.age_ms(now);
        self.view.has_routes() && age_ms.is_some_and(|age_ms| age_ms <= SURE_VIEW_AGE_MS)
    }

    pub(super) fn note(&self, now: MonoTime, outcome: Outcome, flow: FlowKey) -> FlowDecision {
        FlowDecision::new(outcome)
            .flow(flow)
            .age_ms(self.view.age_ms(now).unwrap_or(u64::MAX))
            .version(self.view.routes().version)
    }

    pub(super) fn on_report(
        &mut self,
        now: MonoTime,
        vm: Ipv4Addr,
        report: LoadReport,
        out: &mut Vec<EntryAction>,
    ) {
        let period_ms = self.report_period_ms();
        let is_back = self.agents.record_report(now, vm, report, period_ms);
        if is_back {
            let note = FlowDecision::new(Outcome::AgentHeard)
                .vm(vm)
                .version(report.started_at_ms);
            out.push(EntryAction::Record(note));
        }
    }

    pub(super) fn on_view_event(&mut self, event: &ViewEvent, out: &mut Vec<EntryAction>) {
        let ViewEvent::TargetChanged(record) = event else {
            return;
        };
        self.next_hello_at.remove(&record.vm);
        let note = FlowDecision::new(Outcome::TargetChanged)
            .vm(record.vm)
            .version(record.revision)
            .load(u64::from(record.slots));
        out.push(EntryAction::Record(note));
    }

    pub(super) fn send_hellos(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        let hello_period_ms = self.report_period_ms().max(MIN_HELLO_PERIOD_MS);
        let report_period_ms = u32::try_from(self.report_period_ms()).unwrap_or(u32::MAX);
        for record in self.view.newest_targets() {
            let next_at = self.next_hello_at.entry(record.vm).or_default();
            if now < *next_at {
                continue;
            }
            *next_at = now.plus_ms(hello_period_ms);
            let hello = Hello {
                incarnation: self.incarnation,
                report_period_ms,
                target: Some(TargetHint {
                    id: record.id.clone(),
                    service: record.service,
                    started_at_ms: record.started_at_ms,
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
