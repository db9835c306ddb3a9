//! State and event handlers of an agent, which is authoritative for the flows of its target.

use std::net::Ipv4Addr;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;

use super::lookup::PendingLookup;
use super::stopping::StopPhase;
use crate::FailureRate;
use crate::FlowDecision;
use crate::FlowKey;
use crate::FlowTable;
use crate::Forward;
use crate::Message;
use crate::Outcome;
use crate::Priority;
use crate::ReportedRunTime;
use crate::RequestQueue;
use crate::Segment;
use crate::ServiceTag;
use crate::TargetMonitor;
use crate::WarmUpBudget;

/// Action for an agent to perform. "Current packet" means the packet of the event that caused the
/// action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentAction {
    /// Deliver the current packet to the target.
    Deliver,
    /// Deliver a queued packet to the target.
    DeliverStored {
        /// Packet.
        packet: Box<[u8]>,
    },
    /// Send the current packet to its client.
    SendToClient,
    /// Send a message with a queued packet to an entry.
    SendStored {
        /// VM of the receiver.
        to: Ipv4Addr,
        /// Message.
        message: Message,
        /// Packet.
        packet: Box<[u8]>,
    },
    /// Send a message to an entry, or to another agent.
    Send {
        /// VM of the receiver.
        to: Ipv4Addr,
        /// Message.
        message: Message,
        /// Whether the current packet is appended to the message.
        with_packet: bool,
    },
    /// Log and count a decision.
    Record(FlowDecision),
    /// Log and count a decision on a request that leaves the queue. Its waiting time is in
    /// `age_ms`.
    RecordStored {
        /// Decision.
        decision: FlowDecision,
        /// Priority of the request.
        priority: Priority,
        /// First packet of the request.
        packet: Box<[u8]>,
    },
}

/// Sender and header of a forwarded packet.
#[derive(Debug, Clone, Copy)]
pub(super) struct ForwardOrigin {
    pub(super) entry: Ipv4Addr,
    pub(super) forward: Forward,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct EntryState {
    pub(super) incarnation: u64,
    pub(super) silent_at: MonoTime,
    pub(super) report_period_ms: u64,
    pub(super) next_report_at: MonoTime,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    /// VM of the sender of the lookup, which is notified if the target doesn't hold the flow.
    pub(super) asked_by: Ipv4Addr,
    /// VM of the entry that is notified if the target holds the flow.
    pub(super) entry: Ipv4Addr,
    pub(super) expires_at: MonoTime,
}

/// Decision logic of an agent.
#[derive(Debug)]
pub struct AgentCore {
    pub(super) incarnation: u64,
    pub(super) service: ServiceTag,
    /// Time from which the agent has seen the opening of every flow of the target.
    pub(super) flows_complete_at: MonoTime,
    pub(super) target_id: Option<UpstreamName>,
    pub(super) target_revision: u64,
    pub(super) started_at_ms: u64,
    /// Number of requests that the target runs concurrently; 0 if there is no limit, or if no hello
    /// has told it yet.
    pub(super) slots: u32,
    /// Until then, `ASSUMED_SLOTS` applies if no hello has given the number of slots.
    pub(super) assumed_slots_until: MonoTime,
    pub(super) is_draining: bool,
    /// Whether the target's process is known to have ended.
    pub(super) target_has_ended: bool,
    pub(super) stop_phase: StopPhase,
    pub(super) flows: FlowTable,
    pub(super) queue: RequestQueue,
    pub(super) probes: FastMap<FlowKey, Probe>,
    pub(super) pending_lookups: FastMap<FlowKey, PendingLookup>,
    pub(super) target_monitor: TargetMonitor,
    pub(super) failure_rate: FailureRate,
    pub(super) warm_up: WarmUpBudget,
    pub(super) reported_run_time: ReportedRunTime,
    pub(super) entries: FastMap<Ipv4Addr, EntryState>,
}

/// Age beyond which flows may be dropped. An agent that has run for this long knows all flows of
/// its target.
const MAX_FLOW_LIFETIME_MS: u64 = 60_000;
/// Time within which an entry that forwards packets sends a hello. In a large fleet, an entry sends
/// one about every 0.6 s. An agent whose target is no longer listed gets none.
const FIRST_HELLO_TIMEOUT_MS: u64 = 1_000;

impl AgentCore {
    /// Creates an agent for a target of a service. With `is_first_start`, the target can't hold
    /// flows that were opened earlier.
    #[must_use]
    pub fn new(now: MonoTime, incarnation: u64, service: ServiceTag, is_first_start: bool) -> Self {
        let flows_complete_at = match is_first_start {
            true => now,
            false => now.plus_ms(MAX_FLOW_LIFETIME_MS),
        };
        Self {
            incarnation,
            service,
            flows_complete_at,
            target_id: None,
            target_revision: 0,
            started_at_ms: 0,
            slots: 0,
            assumed_slots_until: now.plus_ms(FIRST_HELLO_TIMEOUT_MS),
            is_draining: false,
            target_has_ended: false,
            stop_phase: StopPhase::Serving,
            flows: FlowTable::default(),
            queue: RequestQueue::default(),
            probes: FastMap::default(),
            pending_lookups: FastMap::default(),
            target_monitor: TargetMonitor::default(),
            failure_rate: FailureRate::default(),
            warm_up: WarmUpBudget::new(now, is_first_start),
            reported_run_time: ReportedRunTime::default(),
            entries: FastMap::default(),
        }
    }

    /// Returns the numbers of open flows, of streams and of running requests.
    #[must_use]
    pub fn load(&self, now: MonoTime) -> (u32, u32, u32) {
        let counts = self.counts(now);
        (counts.open, counts.streams, counts.running)
    }

    /// Returns whether the target is listed as draining, or its data centre is being evacuated.
    #[must_use]
    pub const fn is_target_draining(&self) -> bool {
        self.is_draining
    }

    /// Records that the target's process has ended. A stopping agent then ends at once and tells
    /// the entries that the flows are lost.
    pub const fn record_target_ended(&mut self) {
        self.target_has_ended = true;
    }

    /// Returns the number of entries that send hellos.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Resets the health checks of the target after a pause of the process, during which answers may
    /// have been missed.
    pub fn on_pause(&mut self) {
        self.target_monitor.reset();
        self.failure_rate.reset();
    }

    /// Handles a message from the process on VM `from_vm`, with the packet that it carries.
    pub fn on_message(
        &mut self,
        now: MonoTime,
        from_vm: Ipv4Addr,
        message: &Message,
        packet: Option<(&Segment, &[u8])>,
        out: &mut Vec<AgentAction>,
    ) {
        if matches!(
            message,
            Message::Forward(_)
                | Message::ForwardWithPriority { .. }
                | Message::Lookup { entry: None, .. }
        ) {
            self.report_to_unknown_entry(now, from_vm, out);
        }
        match (message, packet) {
            (Message::Forward(forward), Some((segment, packet))) => {
                let from = self.origin(from_vm, *forward, None, segment);
                self.on_forward(now, from, segment, packet, out);
            }
            (Message::ForwardWithPriority { forward, priority }, Some((segment, packet))) => {
                let from = self.origin(from_vm, *forward, Some(*priority), segment);
                self.on_forward(now, from, segment, packet, out);
                self.record_priority(segment, *priority);
            }
            (
                Message::Lookup {
                    flow,
                    entry: result_entry,
                },
                packet,
            ) => {
                let result_entry = result_entry.unwrap_or(from_vm);
                let segment = packet.map(|(segment, _)| segment);
                self.on_lookup(now, from_vm, result_entry, *flow, segment, out);
            }
            (Message::DelegateLookup { flow, agents }, packet) => {
                self.on_delegate_lookup(now, from_vm, *flow, agents, packet.is_some(), out);
            }
            (Message::NotHeld { flow }, _) => self.on_lookup_result(from_vm, *flow, false, out),
            (Message::Undetermined { flow }, _) => self.on_lookup_result(from_vm, *flow, true, out),
            (Message::Hello(hello), _) => self.on_hello(now, from_vm, hello, out),
            // All other messages are addressed to entries.
            _ => {}
        }
    }

    /// Performs periodic work: reports, lookup results, releases and timeouts of queued requests.
    pub fn on_tick(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        if self.target_monitor.became_silent(now) {
            out.push(AgentAction::Record(FlowDecision::new(
                Outcome::TargetSilent,
            )));
            self.report_to_all(now, out);
        }
        self.send_partial_results(now, out);
        self.expire_queued(now, out);
        self.release(now, out);
        self.entries.retain(|_, state| now < state.silent_at);
        let due: Vec<Ipv4Addr> = self
            .entries
            .iter()
            .filter(|(_, state)| now >= state.next_report_at)
            .map(|(entry, _)| *entry)
            .collect();
        if !due.is_empty() && !self.has_ended() {
            self.report(now, due, out);
        }
    }

    /// Removes expired records. Called about once a second.
    pub fn on_slow_tick(&mut self, now: MonoTime) {
        self.flows.expire(now);
        self.expire_lookups(now);
    }

    pub(super) fn is_complete(&self, now: MonoTime) -> bool {
        now >= self.flows_complete_at
    }

    pub(super) const fn is_leaving(&self) -> bool {
        self.is_draining || !matches!(self.stop_phase, StopPhase::Serving)
    }
}
