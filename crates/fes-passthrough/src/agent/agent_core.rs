//! Decisions of an agent, the authority on the flows of its own target.

use std::net::Ipv4Addr;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::UpstreamName;

use super::asking::Collection;
use crate::FlowDecision;
use crate::FlowKey;
use crate::FlowTable;
use crate::Forward;
use crate::Message;
use crate::Outcome;
use crate::RequestQueue;
use crate::Segment;
use crate::ServiceTag;
use crate::TargetLiveness;

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
    /// Send a message to an entry, or to another agent.
    Send {
        /// VM of the receiver.
        to: Ipv4Addr,
        /// Message.
        message: Message,
        /// Whether the packet at hand goes with it.
        with_packet: bool,
    },
    /// Log and count a decision.
    Record(FlowDecision),
}

/// Who sent a packet, and with what claim.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    pub(super) entry: Ipv4Addr,
    pub(super) forward: Forward,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct EntryLink {
    pub(super) incarnation: u64,
    pub(super) silent_at: MonoTime,
    pub(super) report_period_ms: u64,
    pub(super) report_at: MonoTime,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    /// VM that hears if the target doesn't hold the flow.
    pub(super) asked_by: Ipv4Addr,
    /// VM of the entry that hears if it does.
    pub(super) entry: Ipv4Addr,
    pub(super) forget_at: MonoTime,
}

/// Decisions of an agent.
#[derive(Debug)]
pub struct AgentCore {
    pub(super) incarnation: u64,
    pub(super) service: ServiceTag,
    /// From this time on, all flows of the target have been opened under this agent's eyes.
    pub(super) complete_at: MonoTime,
    pub(super) target_id: Option<UpstreamName>,
    pub(super) target_revision: u64,
    pub(super) started_at_ms: u64,
    /// Requests that the target runs at once; 0 if unknown.
    pub(super) slots: u32,
    pub(super) is_draining: bool,
    pub(super) is_stopping: bool,
    pub(super) flows: FlowTable,
    pub(super) queue: RequestQueue,
    pub(super) probes: FastMap<FlowKey, Probe>,
    pub(super) collections: FastMap<FlowKey, Collection>,
    pub(super) watch: TargetLiveness,
    pub(super) entries: FastMap<Ipv4Addr, EntryLink>,
}

/// Flows older than this may be discarded, so an agent that has run for as long knows all flows of
/// its target.
const FLOW_LIFETIME_MS: u64 = 60_000;

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
            started_at_ms: 0,
            slots: 0,
            is_draining: false,
            is_stopping: false,
            flows: FlowTable::default(),
            queue: RequestQueue::default(),
            probes: FastMap::default(),
            collections: FastMap::default(),
            watch: TargetLiveness::default(),
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
            (
                Message::Lookup {
                    flow,
                    entry: asks_for,
                },
                packet,
            ) => {
                let asks_for = asks_for.unwrap_or(entry);
                let segment = packet.map(|(segment, _)| segment);
                self.on_ask(now, entry, asks_for, *flow, segment, out);
            }
            (Message::DelegateLookup { flow, agents }, packet) => {
                self.on_ask_others(now, entry, *flow, agents, packet.is_some(), out);
            }
            (Message::NotHeld { flow }, _) => self.on_answer(entry, *flow, false, out),
            (Message::Undetermined { flow }, _) => self.on_answer(entry, *flow, true, out),
            (Message::Hello(hello), _) => self.on_hello(now, entry, hello, out),
            // Other messages are for entries.
            _ => {}
        }
    }

    /// Does what is due: reports, expiry.
    pub fn on_tick(&mut self, now: MonoTime, out: &mut Vec<AgentAction>) {
        if self.watch.became_silent(now) {
            out.push(AgentAction::Record(FlowDecision::new(
                Outcome::TargetSilent,
            )));
            self.report_to_all(now, out);
        }
        self.tell_collected(now, out);
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
        self.expire_questions(now);
    }

    pub(super) fn is_complete(&self, now: MonoTime) -> bool {
        now >= self.complete_at
    }

    pub(super) const fn is_leaving(&self) -> bool {
        self.is_draining || self.is_stopping
    }
}
