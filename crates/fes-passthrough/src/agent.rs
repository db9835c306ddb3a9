//! Decisions of an agent, the authority on the flows of its own target.

use std::net::Ipv4Addr;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;

use crate::AgentFlow;
use crate::Claim;
use crate::Demand;
use crate::FlowCounts;
use crate::FlowKey;
use crate::FlowTable;
use crate::FlowUse;
use crate::Forward;
use crate::Hello;
use crate::LoadReport;
use crate::Message;
use crate::Note;
use crate::Outcome;
use crate::RequestQueue;
use crate::ReturnReason;
use crate::Segment;
use crate::ServiceTag;
use crate::TargetHint;
use crate::TargetState;
use crate::TargetWatch;

/// Flows older than this may be discarded, so an agent that has run for as long knows all flows of
/// its target.
const FLOW_LIFETIME_MS: u64 = 60_000;
/// An entry that hasn't been heard for this long gets no more reports.
const ENTRY_SILENCE_MS: u64 = 3_000;
/// Requests handed to the target beyond its slots.
const REQUESTS_AHEAD: u32 = 1;
/// How long an agent waits for a target that it asked about a flow.
const PROBE_LIMIT_MS: u64 = 3_000;

/// What an agent does next. Actions without a packet of their own concern the packet at hand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentAction {
    /// Hand the packet at hand to the target.
    Deliver,
    /// Hand a packet that was held back to the target.
    DeliverStored {
        /// Packet.
        packet: Box<[u8]>,
    },
    /// Send the packet at hand to its client.
    SendToClient,
    /// Send a message to an entry.
    Send {
        /// VM of the entry.
        entry: Ipv4Addr,
        /// Message.
        message: Message,
        /// Whether the packet at hand goes with it.
        with_packet: bool,
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

/// Who sent a packet, and with what claim.
#[derive(Debug, Clone, Copy)]
struct Origin {
    entry: Ipv4Addr,
    forward: Forward,
}

#[derive(Debug, Clone, Copy)]
struct EntryLink {
    incarnation: u64,
    silent_at: MonoTime,
    report_period_ms: u64,
    report_at: MonoTime,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    entry: Ipv4Addr,
    forget_at: MonoTime,
}

/// Decisions of an agent.
#[derive(Debug)]
pub struct AgentCore {
    incarnation: u64,
    service: ServiceTag,
    /// From this time on, all flows of the target have been opened under this agent's eyes.
    complete_at: MonoTime,
    target_id: Option<UpstreamName>,
    target_revision: u64,
    born_ms: u64,
    /// Requests that the target runs at once; 0 if unknown.
    slots: u32,
    is_draining: bool,
    is_stopping: bool,
    flows: FlowTable,
    queue: RequestQueue,
    probes: FastMap<FlowKey, Probe>,
    watch: TargetWatch,
    entries: FastMap<Ipv4Addr, EntryLink>,
}

impl AgentCore {
    /// Makes an agent of a service. `is_first_start` says that its target can't hold flows of
    /// before.
    #[must_use]
    pub fn new(now: MonoTime, incarnation: u64, service: ServiceTag, is_first_start: bool) -> Self {
        let complete_at = match is_first_start {
            true => now,
            false => now.plus_ms(FLOW_LIFETIME_MS),
        };
        Self {
            incarnation,
            service,
            complete_at,
            target_id: None,
            target_revision: 0,
            born_ms: 0,
            slots: 0,
            is_draining: false,
            is_stopping: false,
            flows: FlowTable::default(),
            queue: RequestQueue::default(),
            probes: FastMap::default(),
            watch: TargetWatch::default(),
            entries: FastMap::default(),
        }
    }

    /// Returns the number of flows, of streams and of running requests.
    #[must_use]
    pub fn load(&self, now: MonoTime) -> (u32, u32, u32) {
        let counts = self.counts(now);
        (counts.open, counts.streams, counts.running)
    }

    /// Returns the number of entries heard.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Takes no new flows from now on and says so to all entries at once.
    pub fn begin_stop(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        self.is_stopping = true;
        self.report_to_all(now, out);
    }

    /// Forgets what only holds while the process runs on time, as after a pause.
    pub fn on_pause(&mut self) {
        self.watch.reset();
    }

    /// Takes a message of the entry on VM `entry`, with the packet that it carries.
    pub fn on_message(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        message: &Message,
        packet: Option<(&Segment, &[u8])>,
        out: &mut Vec<AgentAction>,
    ) {
        match (message, packet) {
            (Message::Forward(forward), Some((segment, packet))) => {
                let from = Origin {
                    entry,
                    forward: *forward,
                };
                self.on_forward(now, from, segment, packet, out);
            }
            (Message::Ask { flow }, _) => self.on_ask(now, entry, *flow, out),
            (Message::Hello(hello), _) => self.on_hello(now, entry, hello, out),
            // Other messages are for entries.
            _ => {}
        }
    }

    /// Takes a packet that the target wrote or handed back.
    pub fn on_target_packet(
        &mut self,
        now: MonoTime,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        if self.watch.record_answer() {
            out.push(AgentAction::Note(Note::new(Outcome::TargetAnswers)));
        }
        if segment.is_returned {
            self.on_handed_back(now, segment, out);
            return;
        }
        let flow = segment.flow;
        let new = AgentFlow::new(now, None, false);
        let record = self.flows.get_or_insert(flow, new);
        let run_us = record.record_answer(now, segment);
        out.push(AgentAction::SendToClient);
        if segment.is_open {
            record.opening_sequence = Some(segment.sequence);
            let entry = record.entry;
            self.tell_opened(entry, flow, segment.sequence, out);
            return;
        }
        record.is_chosen = true;
        if let Some(run_us) = run_us {
            self.queue.record_run(run_us);
            self.release(now, out);
        }
        if let Some(probe) = self.probes.remove(&flow) {
            self.tell_held(probe.entry, flow, out);
        }
    }

    /// Does what is due: reports, expiry.
    pub fn on_tick(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        if self.watch.became_silent(now) {
            out.push(AgentAction::Note(Note::new(Outcome::TargetSilent)));
            self.report_to_all(now, out);
        }
        self.expire_held(now, out);
        self.release(now, out);
        self.entries.retain(|_, link| now < link.silent_at);
        let due: Vec<Ipv4Addr> = self
            .entries
            .iter()
            .filter(|(_, link)| now >= link.report_at)
            .map(|(entry, _)| *entry)
            .collect();
        if !due.is_empty() {
            self.report(now, due, out);
        }
    }

    /// Drops old records; called about once a second.
    pub fn on_slow_tick(&mut self, now: MonoTime) {
        self.flows.expire(now);
        self.probes.retain(|_, probe| now < probe.forget_at);
    }

    /// Returns when the next report is due.
    #[must_use]
    pub fn next_report_at(&self) -> MonoTime {
        let due = self.entries.values().map(|link| link.report_at);
        due.min().unwrap_or(MonoTime::NEVER)
    }

    fn is_complete(&self, now: MonoTime) -> bool {
        now >= self.complete_at
    }

    const fn is_leaving(&self) -> bool {
        self.is_draining || self.is_stopping
    }

    fn on_hello(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        hello: &Hello,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(target) = &hello.target {
            self.learn_target(now, target, out);
        }
        let known = self.entries.get(&entry);
        let is_new = known.is_none_or(|link| link.incarnation != hello.incarnation);
        let report_at = match known {
            Some(link) if !is_new => link.report_at,
            _ => now,
        };
        let link = EntryLink {
            incarnation: hello.incarnation,
            silent_at: now.plus_ms(ENTRY_SILENCE_MS),
            report_period_ms: u64::from(hello.report_period_ms),
            report_at,
        };
        self.entries.insert(entry, link);
        if is_new {
            self.report(now, vec![entry], out);
        }
    }

    /// Takes over what an entry read about this agent's target, unless something newer is known.
    fn learn_target(&mut self, now: MonoTime, hint: &TargetHint, out: &mut Vec<AgentAction>) {
        if hint.service != self.service || hint.revision <= self.target_revision {
            return;
        }
        let is_older_life = hint.born_ms < self.born_ms;
        if is_older_life {
            return;
        }
        let is_new_life = hint.born_ms > self.born_ms && self.born_ms != 0;
        let is_draining = hint.state == TargetState::Draining;
        let is_change = is_new_life || is_draining != self.is_draining;
        self.target_revision = hint.revision;
        self.target_id = Some(hint.id.clone());
        self.born_ms = hint.born_ms;
        self.is_draining = is_draining;
        self.slots = hint.slots;
        if is_new_life {
            self.on_target_started(now);
        }
        if is_change {
            let note = Note::new(Outcome::TargetChanged)
                .version(hint.revision)
                .load(u64::from(is_draining));
            out.push(AgentAction::Note(note));
            self.report_to_all(now, out);
        }
    }

    /// The target started again: it holds no flow of before. Flows that it has written on lately
    /// may be its new ones and stay.
    fn on_target_started(&mut self, now: MonoTime) {
        self.complete_at = now;
        self.watch.reset();
    }

    fn on_forward(
        &mut self,
        now: MonoTime,
        from: Origin,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        if segment.is_open {
            self.on_opening(now, from.entry, from.forward, segment, out);
            return;
        }
        let Some(record) = self.flows.get_mut(&segment.flow) else {
            self.on_unknown(now, from.entry, from.forward, segment, out);
            return;
        };
        let opened = record.opening_sequence;
        let is_other = opened.is_some_and(|sequence| !segment.continues(sequence));
        if is_other && !record.is_chosen && segment.is_ack {
            // The client chose another target that answered a copy of the opening packet.
            self.deny(from.entry, from.forward, segment.flow, out);
            return;
        }
        let is_news = record.entry != Some(from.entry);
        record.entry = Some(from.entry);
        if is_news || from.forward.claim != Claim::Owner {
            self.tell_held(from.entry, segment.flow, out);
        }
        self.deliver_or_hold(now, from.forward.demand, segment, packet, out);
    }

    /// Hands a packet of a known flow to the target, or holds it back if a request begins with it
    /// while the target has no slot, or if its request already waits.
    fn deliver_or_hold(
        &mut self,
        now: MonoTime,
        demand: Demand,
        segment: &Segment,
        packet: &[u8],
        out: &mut Vec<AgentAction>,
    ) {
        let flow = segment.flow;
        let gives_up = segment.is_fin || segment.is_reset;
        if gives_up && self.queue.remove(&flow) {
            // The client closes before it has an answer, so nobody waits for the request.
            let note = Note::new(Outcome::GivenUpWaiting).flow(flow);
            out.push(AgentAction::Note(note));
            self.abandon(flow);
        } else if segment.payload_bytes > 0 && self.queue.append(segment, packet) {
            return;
        }
        let has_slot = self.has_slot(now);
        let Some(record) = self.flows.get_mut(&flow) else {
            return;
        };
        if record.is_abandoned() && !segment.is_reset {
            return;
        }
        if record.begins_request(segment) && !has_slot && !self.queue.is_full() {
            self.queue.push(now, demand, *segment, packet);
            let waiting = u64::try_from(self.queue.len()).unwrap_or(u64::MAX);
            let note = Note::new(Outcome::HeldBack).flow(flow).load(waiting);
            out.push(AgentAction::Note(note));
            return;
        }
        record.record_delivery(now, segment);
        out.push(AgentAction::Deliver);
    }

    /// Nothing more of the flow is handed to the target, so that the request never runs.
    fn abandon(&mut self, flow: FlowKey) {
        if let Some(record) = self.flows.get_mut(&flow) {
            record.abandon();
        }
    }

    fn counts(&self, now: MonoTime) -> FlowCounts {
        let running_since_us = now.as_us().saturating_sub(self.queue.longest_run_us());
        self.flows.counts(MonoTime::from_us(running_since_us))
    }

    /// Returns whether the target can run a further request soon. One more than it can run at once
    /// keeps a slot from standing idle between two requests.
    fn has_slot(&self, now: MonoTime) -> bool {
        self.slots == 0 || self.counts(now).running < self.slots + REQUESTS_AHEAD
    }

    /// Hands requests that wait to the target while it has slots.
    fn release(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        while !self.queue.is_empty() && self.has_slot(now) {
            let Some(held) = self.queue.pop(now) else {
                return;
            };
            let Some(record) = self.flows.get_mut(&held.flow) else {
                continue;
            };
            for (segment, packet) in held.packets {
                record.record_delivery(now, &segment);
                out.push(AgentAction::DeliverStored { packet });
            }
        }
    }

    fn expire_held(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        for held in self.queue.expire(now) {
            let note = Note::new(Outcome::TimedOutWaiting).flow(held.flow);
            out.push(AgentAction::Note(note));
            self.abandon(held.flow);
        }
    }

    fn on_ask(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        flow: FlowKey,
        out: &mut Vec<AgentAction>,
    ) {
        // A flow that is only half open may have been chosen elsewhere.
        let is_chosen = self.flows.get_mut(&flow).map(|record| record.is_chosen);
        let message = match is_chosen {
            Some(true) => Message::Held {
                flow,
                born_ms: self.born_ms,
            },
            Some(false) => Message::Unsure { flow },
            None if self.is_complete(now) || self.flows.is_not_held(&flow) => {
                Message::NotHeld { flow }
            }
            None => Message::Unsure { flow },
        };
        out.push(AgentAction::Send {
            entry,
            message,
            with_packet: false,
        });
    }

    fn on_opening(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        forward: Forward,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        let reason = match () {
            () if forward.service != self.service => Some(ReturnReason::WrongService),
            () if self.is_leaving() => Some(ReturnReason::Leaving),
            () => None,
        };
        if let Some(reason) = reason {
            self.hand_back(entry, segment.flow, reason, out);
            return;
        }
        let is_stream = forward.demand.flow_use == FlowUse::Stream;
        let new = AgentFlow::new(now, Some(entry), is_stream);
        let record = self.flows.get_or_insert(segment.flow, new);
        record.entry = Some(entry);
        record.is_stream |= is_stream;
        record.record_delivery(now, segment);
        self.watch.record_opening(now);
        out.push(AgentAction::Deliver);
    }

    /// Handles a packet of a flow that this agent has no record of.
    fn on_unknown(
        &mut self,
        now: MonoTime,
        entry: Ipv4Addr,
        forward: Forward,
        segment: &Segment,
        out: &mut Vec<AgentAction>,
    ) {
        let flow = segment.flow;
        let is_same_life = forward.born_ms == self.born_ms && self.born_ms != 0;
        let is_vouched = forward.claim == Claim::Owner && is_same_life;
        let may_probe = forward.claim == Claim::Probe;
        if self.is_complete(now) || self.flows.is_not_held(&flow) {
            self.deny(entry, forward, flow, out);
            return;
        }
        if is_vouched {
            let is_stream = forward.demand.flow_use == FlowUse::Stream;
            let new = AgentFlow::new(now, Some(entry), is_stream);
            let record = self.flows.get_or_insert(flow, new);
            record.record_delivery(now, segment);
            out.push(AgentAction::Deliver);
            return;
        }
        if self.probes.contains_key(&flow) || !may_probe {
            // Neither yes nor no: the target's answer is awaited, or may not be asked for.
            return;
        }
        let forget_at = now.plus_ms(PROBE_LIMIT_MS);
        self.probes.insert(flow, Probe { entry, forget_at });
        self.watch.record_opening(now);
        out.push(AgentAction::Deliver);
    }

    fn on_handed_back(&mut self, now: MonoTime, segment: &Segment, out: &mut Vec<AgentAction>) {
        let flow = segment.flow;
        if segment.is_open {
            let record = self.flows.remove(&flow);
            if let Some(entry) = record.and_then(|record| record.entry) {
                self.hand_back(entry, flow, ReturnReason::NotAccepted, out);
            }
            return;
        }
        let probe = self.probes.remove(&flow);
        let record = self.flows.remove(&flow);
        self.flows.record_not_held(now, flow);
        let asked_by = probe.map(|probe| probe.entry);
        if let Some(entry) = asked_by.or(record.and_then(|record| record.entry)) {
            out.push(AgentAction::Send {
                entry,
                message: Message::NotHeld { flow },
                with_packet: false,
            });
        }
    }

    fn hand_back(
        &self,
        entry: Ipv4Addr,
        flow: FlowKey,
        reason: ReturnReason,
        out: &mut Vec<AgentAction>,
    ) {
        out.push(AgentAction::Send {
            entry,
            message: Message::Returned { flow, reason },
            with_packet: true,
        });
        let note = Note::new(Outcome::HandedBack)
            .flow(flow)
            .version(self.target_revision);
        out.push(AgentAction::Note(note));
    }

    fn deny(&self, entry: Ipv4Addr, forward: Forward, flow: FlowKey, out: &mut Vec<AgentAction>) {
        // Where an entry asked several agents, only those that surely don't hold the flow say so.
        let message = match forward.claim {
            Claim::Owner => Message::Returned {
                flow,
                reason: ReturnReason::NotHeld,
            },
            Claim::Open | Claim::IfKnown | Claim::Probe => Message::NotHeld { flow },
        };
        out.push(AgentAction::Send {
            entry,
            message,
            with_packet: false,
        });
    }

    fn tell_opened(
        &self,
        entry: Option<Ipv4Addr>,
        flow: FlowKey,
        sequence: u32,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(entry) = entry {
            out.push(AgentAction::Send {
                entry,
                message: Message::Opened {
                    flow,
                    sequence,
                    born_ms: self.born_ms,
                },
                with_packet: false,
            });
        }
        let note = Note::new(Outcome::Accepted)
            .flow(flow)
            .version(self.born_ms);
        out.push(AgentAction::Note(note));
    }

    fn tell_held(&self, entry: Ipv4Addr, flow: FlowKey, out: &mut Vec<AgentAction>) {
        out.push(AgentAction::Send {
            entry,
            message: Message::Held {
                flow,
                born_ms: self.born_ms,
            },
            with_packet: false,
        });
    }

    fn report_to_all(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        let all = self.entries.keys().copied().collect();
        self.report(now, all, out);
    }

    fn report(&mut self, now: MonoTime, entries: Vec<Ipv4Addr>, out: &mut Vec<AgentAction>) {
        let counts = self.counts(now);
        let report = LoadReport {
            incarnation: self.incarnation,
            service: self.service,
            born_ms: self.born_ms,
            running: counts.running,
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            streams: counts.streams,
            flows: counts.open,
            is_complete: self.is_complete(now),
            is_silent: self.watch.is_silent(now),
            is_leaving: self.is_leaving(),
        };
        for entry in entries {
            if let Some(link) = self.entries.get_mut(&entry) {
                link.report_at = now.plus_ms(link.report_period_ms);
            }
            out.push(AgentAction::Send {
                entry,
                message: Message::Load(report),
                with_packet: false,
            });
        }
    }
}
