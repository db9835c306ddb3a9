//! Event loop of the simulation: runs entries and agents, and transports packets with delay and loss.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::Ipv4Addr;

use fes_passthrough::AgentCore;
use fes_passthrough::EntryCore;
use fes_passthrough::Evacuation;
use fes_passthrough::FlowKey;
use fes_passthrough::ListChange;
use fes_passthrough::Message;
use fes_passthrough::Outcome;
use fes_passthrough::RouteSet;
use fes_passthrough::Segment;
use fes_passthrough::TargetRecord;
use fes_passthrough::WarmUpSettings;
use fes_protocol::DataCentreName;
use fes_protocol::MonoTime;

use super::client::Client;
use super::fixtures::SERVICE;
use super::fixtures::entry_vm;
use super::fixtures::routes;
use super::fixtures::target;
use super::target::Target;

const NETWORK_DELAY_MS: u64 = 2;
const TICK_MS: u64 = 20;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Event {
    ClientTimer(usize),
    ToEntry(usize, Segment),
    EntryMessage(usize, Ipv4Addr, Message, Vec<u8>),
    AgentMessage(usize, Ipv4Addr, Message, Vec<u8>),
    ToTarget(usize, Segment),
    FromTarget(usize, Segment),
    RequestEnd(usize, u64, FlowKey),
    ToClient(Segment),
    Tick,
}

/// State of the simulation and its observations.
pub struct Simulation {
    pub now_ms: u64,
    pub entries: Vec<Option<EntryCore>>,
    pub agents: Vec<Option<AgentCore>>,
    pub targets: Vec<Target>,
    pub records: Vec<TargetRecord>,
    pub clients: Vec<Client>,
    pub loss_percent: u64,
    /// Configuration and settings that entries get when they start.
    pub routes: RouteSet,
    pub warm_up: WarmUpSettings,
    /// Opening packets that reached a target, with the time in milliseconds.
    pub openings: Vec<(usize, FlowKey, u64)>,
    /// Number of decisions by outcome.
    pub outcomes: HashMap<&'static str, usize>,
    /// Packets of established flows that reached another target, with the time in milliseconds.
    pub misrouted: Vec<(FlowKey, u64)>,
    /// Packets that reached the target that holds their flow, with the time in milliseconds.
    pub delivered: Vec<(FlowKey, u64)>,
    /// Evacuations that the platform lists.
    pub evacuations: Vec<Evacuation>,
    /// Number of messages that entries sent or received, apart from heartbeats and gossip.
    pub entry_messages: usize,
    /// Whether agents report run times, which those of older versions don't.
    pub has_run_times: bool,
    /// Whether entries measure round trips. Without, the constant cost applies.
    pub has_trip_times: bool,
    /// Data centre of each entry.
    pub entry_data_centres: Vec<DataCentreName>,
    /// Additional delay from one data centre to another, in milliseconds.
    pub link_delays_ms: HashMap<(DataCentreName, DataCentreName), u64>,
    /// Requests that each agent reported to the first entry as running or queued.
    pub reported_requests: Vec<Vec<u32>>,
    packets: Vec<Segment>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    by_flow: HashMap<FlowKey, usize>,
    random: u64,
    pub(super) revision: u64,
    incarnation: u64,
    /// Number of slots that is reported to agents, if it differs from the real one.
    pub(super) reported_slots: Option<u32>,
}

impl Simulation {
    pub fn new(entries: usize, targets: usize, slots: usize, work_ms: u64, seed: u64) -> Self {
        let mut simulation = Self {
            now_ms: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            targets: (0..targets).map(|_| Target::new(slots, work_ms)).collect(),
            records: Vec::new(),
            clients: Vec::new(),
            loss_percent: 0,
            routes: routes(1, SERVICE),
            warm_up: WarmUpSettings::default(),
            openings: Vec::new(),
            outcomes: HashMap::new(),
            misrouted: Vec::new(),
            delivered: Vec::new(),
            evacuations: Vec::new(),
            entry_messages: 0,
            has_run_times: true,
            has_trip_times: true,
            entry_data_centres: vec![DataCentreName::from("a"); entries],
            link_delays_ms: HashMap::new(),
            reported_requests: vec![Vec::new(); targets],
            packets: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            by_flow: HashMap::new(),
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            revision: 10,
            incarnation: 0,
            reported_slots: None,
        };
        simulation.records = (0..targets).map(|i| target(i, 10)).collect();
        for record in &mut simulation.records {
            record.slots = u32::try_from(slots).expect("few slots");
        }
        simulation.agents = (0..targets).map(|_| None).collect();
        simulation.entries = (0..entries).map(|_| None).collect();
        for index in 0..targets {
            simulation.start_agent(index, true);
        }
        for index in 0..entries {
            simulation.start_entry(index);
        }
        simulation.schedule(TICK_MS, Event::Tick);
        simulation
    }

    pub fn start_entry(&mut self, index: usize) {
        self.start_entry_without_list(index);
        self.send_listing(index);
    }

    /// Starts an entry while the platform can't be read.
    pub fn start_entry_without_list(&mut self, index: usize) {
        self.incarnation += 1;
        let data_centre = self.entry_data_centres[index].clone();
        let seeds = [entry_vm(0), entry_vm(1)];
        let mut entry = EntryCore::new(self.incarnation, entry_vm(index), data_centre, &seeds);
        entry.set_warm_up_settings(self.warm_up);
        self.entries[index] = Some(entry);
    }

    /// Applies a full listing to an entry, as after a read of the platform.
    pub fn send_listing(&mut self, index: usize) {
        let mut changes: Vec<ListChange> = self
            .records
            .iter()
            .cloned()
            .map(ListChange::Target)
            .collect();
        changes.push(ListChange::Routes(self.routes.clone()));
        let evacuations = self.evacuations.iter().cloned();
        changes.extend(evacuations.map(ListChange::Evacuation));
        let (now, revision) = (self.now(), self.revision);
        let mut out = Vec::new();
        if let Some(entry) = &mut self.entries[index] {
            entry.on_listing(now, changes, revision, &mut out);
            entry.view_mut().confirm(now, revision);
        }
        self.perform_entry(index, out, None);
    }

    pub fn start_agent(&mut self, index: usize, is_first_start: bool) {
        self.incarnation += 1;
        let agent = AgentCore::new(self.now(), self.incarnation, SERVICE, is_first_start);
        self.agents[index] = Some(agent);
    }

    pub fn add_client(&mut self, client: Client, at_ms: u64) -> usize {
        let index = self.clients.len();
        self.by_flow.insert(client.flow, index);
        self.clients.push(client);
        self.schedule(at_ms, Event::ClientTimer(index));
        index
    }

    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((at_ms, _, index))) = self.queue.peek().copied() {
            if at_ms > until_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = at_ms;
            if let Some(event) = self.events[index].take() {
                self.handle(event);
            }
        }
        self.now_ms = until_ms;
    }

    pub fn count(&self, outcome: Outcome) -> usize {
        self.outcomes.get(outcome.name()).copied().unwrap_or(0)
    }

    pub fn answered(&self) -> usize {
        self.clients.iter().map(|client| client.answers.len()).sum()
    }

    pub fn resets_while_open(&self) -> usize {
        self.clients.iter().map(|c| c.resets_while_open).sum()
    }

    /// Returns the number of flows of which, within 2 s, three or more packets reached other
    /// targets and none reached the flow's own target.
    pub fn broken_flows(&self) -> usize {
        let is_broken = |flow: &FlowKey| {
            let misrouted_at: Vec<u64> = self
                .misrouted
                .iter()
                .filter(|(f, _)| f == flow)
                .map(|(_, t)| *t)
                .collect();
            misrouted_at.windows(3).any(|window| {
                let (from, until) = (window[0], window[0] + 2_000);
                let is_delivered = |(f, t): &(FlowKey, u64)| f == flow && *t >= from && *t <= until;
                window[2] <= until && !self.delivered.iter().any(is_delivered)
            })
        };
        self.by_flow.keys().filter(|flow| is_broken(flow)).count()
    }

    pub(super) fn now(&self) -> MonoTime {
        MonoTime::from_ms(self.now_ms)
    }

    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    pub(super) fn schedule(&mut self, at_ms: u64, event: Event) {
        let index = self.events.len();
        self.events.push(Some(event));
        let order = u64::try_from(index).expect("few events");
        self.queue.push(Reverse((at_ms, order, index)));
    }

    /// Sends over the network within a data centre, with delay and possible loss.
    pub(super) fn send(&mut self, event: Event) {
        self.send_after(NETWORK_DELAY_MS, event);
    }

    /// Sends over the network from the process on a VM, with delay and possible loss. Clients are in
    /// the data centre of the entry that gets their packets.
    pub(super) fn send_from(&mut self, from: Ipv4Addr, event: Event) {
        let from = self.data_centre_of(from);
        let to = match &event {
            Event::AgentMessage(agent, ..) => Some(self.records[*agent].data_centre.clone()),
            Event::EntryMessage(entry, ..) => Some(self.entry_data_centres[*entry].clone()),
            Event::ToClient(segment) => {
                let entry = self.route_to_entry(&segment.flow);
                entry.map(|entry| self.entry_data_centres[entry].clone())
            }
            _ => None,
        };
        let link = from.zip(to);
        let delay_ms = link.and_then(|link| self.link_delays_ms.get(&link));
        self.send_after(NETWORK_DELAY_MS + delay_ms.copied().unwrap_or(0), event);
    }

    fn send_after(&mut self, delay_ms: u64, event: Event) {
        if self.next_random() % 100 >= self.loss_percent {
            self.schedule(self.now_ms + delay_ms, event);
        }
    }

    fn data_centre_of(&self, process: Ipv4Addr) -> Option<DataCentreName> {
        let agent = self.records.iter().find(|record| record.vm == process);
        let entry = (0..self.entries.len()).find(|index| entry_vm(*index) == process);
        let agent = agent.map(|record| &record.data_centre);
        agent
            .or_else(|| self.entry_data_centres.get(entry?))
            .cloned()
    }

    fn route_to_entry(&self, flow: &FlowKey) -> Option<usize> {
        let live: Vec<usize> = (0..self.entries.len())
            .filter(|i| self.entries[*i].is_some())
            .collect();
        let hash = usize::from(flow.client.port()) * 31;
        live.get(hash % live.len().max(1)).copied()
    }

    fn packet_bytes(&mut self, segment: Segment) -> Vec<u8> {
        self.packets.push(segment);
        (self.packets.len() - 1).to_be_bytes().to_vec()
    }

    pub(super) fn segment_of(&self, packet: &[u8]) -> Option<Segment> {
        let index = usize::from_be_bytes(packet.try_into().ok()?);
        self.packets.get(index).copied()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientTimer(index) => {
                let sent = self.clients[index].on_timer(self.now_ms);
                self.send_from_client(index, sent);
            }
            Event::ToClient(segment) => {
                if let Some(index) = self.by_flow.get(&segment.flow).copied() {
                    let sent = self.clients[index].on_packet(self.now_ms, &segment);
                    self.send_from_client(index, sent);
                }
            }
            Event::ToEntry(index, segment) => {
                let bytes = self.packet_bytes(segment);
                let now = self.now();
                let mut out = Vec::new();
                if let Some(entry) = &mut self.entries[index] {
                    entry.on_client_packet(now, &segment, &bytes, &mut out);
                }
                self.perform_entry(index, out, Some(bytes));
            }
            Event::EntryMessage(index, from, message, packet) => {
                self.count_entry_message(&message);
                let now = self.now();
                let mut out = Vec::new();
                if let Some(entry) = &mut self.entries[index] {
                    entry.on_message(now, from, &message, &packet, &mut out);
                    if !self.has_trip_times {
                        entry.trips_mut().clear();
                    }
                }
                self.perform_entry(index, out, Some(packet));
            }
            Event::AgentMessage(index, from, message, packet) => {
                let segment = self.segment_of(&packet);
                let now = self.now();
                let mut out = Vec::new();
                if let Some(agent) = &mut self.agents[index] {
                    let carried = segment.as_ref().map(|s| (s, packet.as_slice()));
                    agent.on_message(now, from, &message, carried, &mut out);
                }
                self.perform_agent(index, out, Some(packet));
            }
            Event::ToTarget(index, segment) => self.on_packet_at_target(index, segment),
            Event::FromTarget(index, segment) => {
                let bytes = self.packet_bytes(segment);
                let now = self.now();
                let mut out = Vec::new();
                if let Some(agent) = &mut self.agents[index] {
                    agent.on_target_packet(now, &segment, &mut out);
                }
                self.perform_agent(index, out, Some(bytes));
            }
            Event::RequestEnd(index, started_at_ms, flow) => {
                if self.targets[index].started_at_ms == started_at_ms {
                    let actions = self.targets[index].on_request_end(flow);
                    self.perform_target(index, actions);
                }
            }
            Event::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let is_second = self.now_ms.is_multiple_of(1_000);
        for index in 0..self.entries.len() {
            let mut out = Vec::new();
            if let Some(entry) = &mut self.entries[index] {
                let revision = entry.view().revision();
                entry.view_mut().confirm(now, revision);
                entry.on_tick(now, &mut out);
                if is_second {
                    entry.on_slow_tick(now);
                }
            }
            self.perform_entry(index, out, None);
        }
        for index in 0..self.agents.len() {
            let mut out = Vec::new();
            if let Some(agent) = &mut self.agents[index] {
                agent.on_tick(now, &mut out);
                if is_second {
                    agent.on_slow_tick(now);
                }
            }
            self.perform_agent(index, out, None);
        }
        self.schedule(self.now_ms + TICK_MS, Event::Tick);
    }

    fn send_from_client(&mut self, index: usize, (segment, at_ms): (Option<Segment>, Option<u64>)) {
        if let Some(segment) = segment
            && let Some(entry) = self.route_to_entry(&segment.flow)
        {
            self.send(Event::ToEntry(entry, segment));
        }
        if let Some(at_ms) = at_ms {
            self.schedule(at_ms, Event::ClientTimer(index));
        }
    }

    fn on_packet_at_target(&mut self, index: usize, segment: Segment) {
        if !self.targets[index].is_running {
            return;
        }
        if segment.is_syn {
            self.openings.push((index, segment.flow, self.now_ms));
        } else {
            let holder = (0..self.targets.len()).find(|t| self.targets[*t].has_open(&segment.flow));
            match holder {
                Some(holder) if holder == index => self.delivered.push((segment.flow, self.now_ms)),
                Some(_) => self.misrouted.push((segment.flow, self.now_ms)),
                None => {}
            }
        }
        let random = self.next_random() as u32;
        let actions = self.targets[index].on_packet(&segment, random);
        self.perform_target(index, actions);
    }
}
