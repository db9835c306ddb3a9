//! State and event handlers of an entry, which forwards each client packet to an agent.
//!
//! A packet of an open flow is forwarded only to the target that is known to hold the flow. If no
//! target is known, the entry searches for it.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use fes_protocol::DataCentreName;
use fes_protocol::FastMap;
use fes_protocol::MonoTime;

use super::early_packets::EarlyPackets;
use super::held_packets::HeldPackets;
use super::opening::first_sent_at;
use crate::AgentProcess;
use crate::AgentTable;
use crate::Evacuation;
use crate::FleetView;
use crate::FlowDecision;
use crate::FlowDirectory;
use crate::FlowKey;
use crate::Forward;
use crate::ListChange;
use crate::LoadReport;
use crate::Message;
use crate::Outcome;
use crate::ReportEffect;
use crate::Segment;
use crate::TripTimes;
use crate::ViewEvent;
use crate::ViewGossip;
use crate::ViewUpdate;
use crate::WarmUpShares;
use crate::number_of;
use crate::view::since_start;

/// Age up to which a view counts as current. A route missing from an older view may have been added
/// since.
const MAX_CURRENT_VIEW_AGE_MS: u64 = 2_000;
/// Time without a report after which an agent is removed from the table.
const AGENT_EXPIRY_MS: u64 = 30_000;
/// Idle timeout of flows if the routes state none, as before the first ones are received.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// Action for an entry to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryAction {
    /// Forward the packet of the current event to an agent.
    Forward {
        /// VM of the agent.
        vm: Ipv4Addr,
        /// Header that precedes the packet.
        forward: Forward,
    },
    /// Forward an earlier packet, which was stored on arrival, to an agent.
    ForwardStored {
        /// VM of the agent.
        vm: Ipv4Addr,
        /// Header that precedes the packet.
        forward: Forward,
        /// The stored packet.
        packet: Box<[u8]>,
    },
    /// Send a message with a stored packet to an agent.
    SendStored {
        /// VM of the agent.
        vm: Ipv4Addr,
        /// Message.
        message: Message,
        /// The stored packet.
        packet: Box<[u8]>,
    },
    /// Send a message to a process.
    Send {
        /// VM of the process.
        vm: Ipv4Addr,
        /// Message.
        message: Message,
    },
    /// Send a reset to the client.
    ResetClient {
        /// Flow.
        flow: FlowKey,
        /// Sequence number of the reset: the client's last known acknowledgement number, or 0 in
        /// answer to an opening packet.
        sequence: u32,
    },
    /// Log and count a decision.
    Record(FlowDecision),
    /// Log and count that an evacuation began or ended.
    RecordEvacuation(Evacuation),
}

/// Decision logic of an entry.
#[derive(Debug)]
pub struct EntryCore {
    pub(super) incarnation: u64,
    pub(super) data_centre: DataCentreName,
    pub(super) view: FleetView,
    pub(super) agents: AgentTable,
    pub(super) flows: FlowDirectory,
    pub(super) gossip: ViewGossip,
    pub(super) early: EarlyPackets,
    pub(super) held: HeldPackets,
    pub(super) warm_up: WarmUpShares,
    pub(super) trips: TripTimes,
    /// Flows for which another target is tried at the given time if none has accepted them, in the
    /// order of these times.
    pub(super) opening_queue: VecDeque<(MonoTime, FlowKey)>,
    /// Searches with the time of their next round, in the order in which they were scheduled. The
    /// delays differ, so that a search may have to wait for the one in front of it.
    pub(super) search_queue: VecDeque<(MonoTime, FlowKey)>,
    pub(super) next_hello_at: FastMap<Ipv4Addr, MonoTime>,
    /// Counter that distributes new flows over services and over targets of equal cost.
    pub(super) rotation: usize,
}

impl EntryCore {
    /// Creates the entry on VM `own_vm`. `seeds` are the VMs of some other entries, and
    /// `incarnation` distinguishes this process from earlier ones on the VM.
    #[must_use]
    pub fn new(
        incarnation: u64,
        own_vm: Ipv4Addr,
        data_centre: DataCentreName,
        seeds: &[Ipv4Addr],
    ) -> Self {
        Self {
            gossip: ViewGossip::new(own_vm, incarnation, seeds),
            incarnation,
            data_centre,
            view: FleetView::new(),
            agents: AgentTable::default(),
            flows: FlowDirectory::default(),
            early: EarlyPackets::default(),
            held: HeldPackets::default(),
            warm_up: WarmUpShares::default(),
            trips: TripTimes::default(),
            opening_queue: VecDeque::new(),
            search_queue: VecDeque::new(),
            next_hello_at: FastMap::default(),
            // Entries usually start at different positions.
            rotation: usize::try_from(incarnation % 1_024).unwrap_or(0),
        }
    }

    /// Returns the view of routes and targets.
    #[must_use]
    pub const fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns mutable access to the view of routes and targets.
    pub const fn view_mut(&mut self) -> &mut FleetView {
        &mut self.view
    }

    /// Returns the round trips to the data centres.
    #[must_use]
    pub const fn trips(&self) -> &TripTimes {
        &self.trips
    }

    /// Returns mutable access to the round trips to the data centres.
    pub const fn trips_mut(&mut self) -> &mut TripTimes {
        &mut self.trips
    }

    /// Returns whether this entry should read the platform itself now.
    #[must_use]
    pub fn is_reader(&self, now: MonoTime) -> bool {
        self.gossip.is_reader(now, &self.view)
    }

    /// Returns whether this entry has just started and a peer may still send its view; see
    /// [`ViewGossip::awaits_peer_view`].
    #[must_use]
    pub fn awaits_peer_view(&self, now: MonoTime) -> bool {
        self.gossip.awaits_peer_view(now, &self.view)
    }

    /// Records that this entry read the platform, which confirmed the view up to `revision`.
    pub fn confirm_list(&mut self, now: MonoTime, revision: u64) {
        self.view.confirm(now, revision);
        self.gossip.record_read(now);
    }

    /// Returns the time between two attempts to read a platform that doesn't respond, in
    /// milliseconds.
    #[must_use]
    pub fn read_retry_delay_ms(&self) -> u64 {
        self.gossip.read_retry_delay_ms()
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.gossip.set_seeds(seeds);
    }

    /// Returns the number of flows in the directory.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of agents known.
    #[must_use]
    pub fn agent_count(&self) -> usize {
        self.agents.len()
    }

    /// Applies a change of the platform's list. An agent whose target changed gets a hello with the
    /// next tick.
    pub fn on_change(&mut self, now: MonoTime, change: ListChange, out: &mut Vec<EntryAction>) {
        if let Some(event) = self.view.apply(now, change) {
            self.on_view_event(&event, out);
        }
    }

    /// Applies a full listing of the platform.
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

    /// Handles a packet from a client.
    pub fn on_client_packet(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        if !self.view.has_routes() && self.buffer_early(now, segment, packet) {
            let decision = self.decision(now, Outcome::KeptEarly, segment.flow);
            out.push(EntryAction::Record(decision));
            return;
        }
        self.route_packet(now, now, segment, packet, out);
    }

    /// Handles a packet that may have been buffered since it arrived.
    pub(super) fn route_packet(
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
            let decision = self.decision(now, Outcome::DroppedStale, segment.flow);
            out.push(EntryAction::Record(decision.age_ms(waited_ms)));
            return;
        }
        if segment.is_syn {
            let route = route.clone();
            let sent_at = first_sent_at(arrived_at, segment);
            self.on_opening(now, sent_at, segment, &route, packet, out);
        } else {
            // A changed priority also applies to the next requests of open flows.
            let priority = route.requirements.priority;
            self.on_established_packet(now, arrived_at, segment, priority, packet, out);
        }
    }

    /// Returns the message that forwards a packet to the agent on `vm`: with the priority, unless
    /// the agent may be of an earlier version, which would drop it.
    #[must_use]
    pub fn forward_message(&self, now: MonoTime, vm: Ipv4Addr, forward: Forward) -> Message {
        let priority = forward.requirements.priority;
        match self.agents.get(vm) {
            Some(agent) if agent.is_reachable(now) && agent.report().supports_priority => {
                Message::ForwardWithPriority { forward, priority }
            }
            _ => Message::Forward(forward),
        }
    }

    /// Handles a message from the process on `vm`, with the packet that it carries.
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
            Message::Undetermined { flow } => self.on_undetermined(now, vm, *flow, out),
            Message::LookupResults {
                flow,
                not_held_by,
                undetermined,
            } => self.on_lookup_results(now, *flow, not_held_by, undetermined, out),
            Message::Digest(digest) => {
                let answers = self.gossip.on_digest(now, vm, digest, &mut self.view);
                out.extend(answers.into_iter().map(send));
            }
            Message::Routes(part) => {
                if let Some(change) = self.gossip.on_routes(vm, part) {
                    self.on_change(now, change, out);
                }
            }
            Message::Readers(readers) => self.gossip.on_readers(now, readers),
            Message::Targets(part) => {
                self.view.observe_peer_read(since_start(now, part.age_ms));
                let update = self.gossip.on_targets(now, vm, part, &self.view);
                self.on_view_update(now, update, out);
            }
            Message::AgentStopped { incarnation } => {
                self.on_agent_stopped(now, vm, *incarnation, AgentProcess::Restarting, out);
            }
            Message::TargetEnded { incarnation } => {
                self.on_agent_stopped(now, vm, *incarnation, AgentProcess::Ended, out);
            }
            // These messages are addressed to agents.
            Message::Forward(_)
            | Message::ForwardWithPriority { .. }
            | Message::Hello(_)
            | Message::Lookup { .. }
            | Message::DelegateLookup { .. } => {}
        }
    }

    pub(super) fn on_view_update(
        &mut self,
        now: MonoTime,
        update: ViewUpdate,
        out: &mut Vec<EntryAction>,
    ) {
        for change in update.changes {
            self.on_change(now, change, out);
        }
        if let Some((revision, confirmed_at)) = update.confirmed {
            self.view.confirm_by_peer(confirmed_at, revision);
        }
    }

    /// Performs periodic work: hellos, digests, buffered packets, further attempts, searches and
    /// detection of silent agents.
    pub fn on_tick(&mut self, now: MonoTime, out: &mut Vec<EntryAction>) {
        for event in self.view.expire(now) {
            self.on_view_event(&event, out);
        }
        self.send_hellos(now, out);
        self.route_early(now, out);
        let digests = self.gossip.on_tick(now, &self.view);
        out.extend(digests.into_iter().map(send));
        let other_entries = self.gossip.reachable(now).count();
        let other_entries = u64::try_from(other_entries).unwrap_or(u64::MAX);
        self.agents.set_other_entries(other_entries);
        self.warm_up.set_other_entries(other_entries);
        self.try_due_openings(now, out);
        self.run_due_searches(now, out);
        self.expire_held(now, out);
        for (vm, age_ms) in self.agents.newly_silent(now) {
            let decision = FlowDecision::new(Outcome::AgentSilent)
                .vm(vm)
                .age_ms(age_ms);
            out.push(EntryAction::Record(decision));
        }
    }

    /// Removes expired records. Called about once a second.
    pub fn on_slow_tick(&mut self, now: MonoTime) {
        self.flows.expire(now);
        self.warm_up.expire(now);
        self.trips.expire(now);
        let oldest_us = now.as_us().saturating_sub(AGENT_EXPIRY_MS * 1_000);
        self.agents
            .remove_silent_since(MonoTime::from_us(oldest_us));
        let view = &self.view;
        self.next_hello_at
            .retain(|vm, _| view.target_on(*vm).is_some());
    }

    pub(super) fn idle_timeout_ms(&self) -> u64 {
        match self.view.routes().idle_timeout_ms {
            0 => DEFAULT_IDLE_TIMEOUT_MS,
            idle_timeout_ms => idle_timeout_ms,
        }
    }

    /// Returns whether the view was confirmed recently enough to contain every route that must be
    /// in force by now.
    pub(super) fn is_view_current(&self, now: MonoTime) -> bool {
        let age_ms = self.view.age_ms(now);
        self.view.has_routes() && age_ms.is_some_and(|age_ms| age_ms <= MAX_CURRENT_VIEW_AGE_MS)
    }

    pub(super) fn decision(&self, now: MonoTime, outcome: Outcome, flow: FlowKey) -> FlowDecision {
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
        let effect = self.agents.record_report(now, vm, report, period_ms);
        match effect {
            // The new incarnation doesn't know its target's state yet.
            ReportEffect::Restarted => {
                self.next_hello_at.remove(&vm);
            }
            ReportEffect::Heard => {
                let next_hello_at = now.plus_ms(self.hello_period_ms());
                self.next_hello_at.insert(vm, next_hello_at);
            }
            ReportEffect::None => {}
        }
        self.release_held(now, vm, &report, out);
        if effect != ReportEffect::None {
            let decision = FlowDecision::new(Outcome::AgentHeard)
                .vm(vm)
                .version(report.started_at_ms);
            out.push(EntryAction::Record(decision));
        }
    }

    pub(super) fn on_view_event(&mut self, event: &ViewEvent, out: &mut Vec<EntryAction>) {
        if let ViewEvent::EvacuationChanged(evacuation) = event {
            self.on_evacuation_changed(evacuation, out);
        }
        let ViewEvent::TargetChanged(record) = event else {
            return;
        };
        self.next_hello_at.remove(&record.vm);
        let decision = FlowDecision::new(Outcome::TargetChanged)
            .vm(record.vm)
            .version(number_of(record.revision))
            .load(u64::from(record.slots));
        out.push(EntryAction::Record(decision));
    }
}

fn send((vm, message): (Ipv4Addr, Message)) -> EntryAction {
    EntryAction::Send { vm, message }
}
