//! An entry's directory of flows. It is soft state: after a loss, it is rebuilt by asking agents.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;
use fes_protocol::RandomStateMap;

use crate::ClientSequence;
use crate::FlowKey;
use crate::FlowRequirements;
use crate::Search;
use crate::Segment;
use crate::ServiceTag;
use crate::segment::is_ahead;

/// Maximum number of targets to which an opening packet is sent.
pub const MAX_ATTEMPTS: usize = 3;
/// Time after which a flow that didn't open is dropped; clients give up after 1.4 s.
const OPENING_EXPIRY_MS: u64 = 3_000;
/// Time for which a closing flow is kept for late packets.
const CLOSING_EXPIRY_MS: u64 = 6_000;
/// Maximum number of flows in the directory. Beyond it, new flows are forwarded without a record
/// and their target is found by a search if needed.
const MAX_FLOWS: usize = 400_000;

/// An opening packet sent to one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// VM of the target.
    pub vm: Ipv4Addr,
    /// Start time of the target, in milliseconds since the epoch.
    pub started_at_ms: u64,
    /// When it was sent.
    pub sent_at: MonoTime,
    /// Initial sequence number of the target, once it has accepted the flow.
    pub initial_sequence: Option<u32>,
    /// Whether the target or its agent returned it.
    pub is_returned: bool,
}

/// A flow that is being opened.
#[derive(Debug, Clone)]
pub struct Opening {
    /// When the client first sent the opening packet.
    pub first_sent_at: MonoTime,
    /// Attempts, in order.
    pub attempts: Vec<Attempt>,
    /// The opening packet, kept for further attempts.
    pub packet: Box<[u8]>,
    /// When the next target is tried, if none has accepted.
    pub try_next_at: MonoTime,
    /// Whether a target may have got the opening packet of this or an earlier flow with the same
    /// addresses before, so that its answer may precede the attempt.
    pub is_ambiguous: bool,
}

impl Opening {
    /// Returns whether every target to which the opening packet was sent has returned it.
    #[must_use]
    pub fn is_returned_by_all(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.is_returned)
    }
}

/// Target that holds a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// VM of the target.
    pub vm: Ipv4Addr,
    /// Start time of the target, in milliseconds since the epoch.
    pub started_at_ms: u64,
}

/// State of a flow.
#[derive(Debug, Clone)]
pub enum FlowState {
    /// The opening packet was sent, and the client has not yet acknowledged a target.
    Opening(Opening),
    /// The target is known.
    Owned(Owner),
    /// The target is unknown and is searched for.
    Searching(Search),
}

/// Record of a flow.
#[derive(Debug, Clone)]
pub struct FlowRecord {
    /// Service of its target.
    pub service: ServiceTag,
    /// Sequence number that the client used first, as far as the entry saw it.
    pub client_sequence: ClientSequence,
    /// Requirements of its requests.
    pub requirements: FlowRequirements,
    /// State.
    pub state: FlowState,
    /// When the record expires if no further packet arrives.
    pub expires_at: MonoTime,
    /// Whether the client has closed its half or reset the flow.
    pub is_closing: bool,
    /// Latest acknowledgement number of the client. Clients ignore resets whose sequence number is
    /// far from it.
    pub acknowledged: u32,
    /// Sequence number after the latest data of the client, and when that data arrived first.
    pub latest_data: Option<(u32, MonoTime)>,
}

/// Directory of the flows of an entry.
#[derive(Debug, Default)]
pub struct FlowDirectory {
    flows: RandomStateMap<FlowKey, FlowRecord>,
}

impl FlowDirectory {
    /// Returns the record of a flow.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut FlowRecord> {
        self.flows.get_mut(flow)
    }

    /// Returns the search for the target of a flow, if one is in progress.
    #[must_use]
    pub fn search(&self, flow: &FlowKey) -> Option<&Search> {
        match &self.flows.get(flow)?.state {
            FlowState::Searching(search) => Some(search),
            FlowState::Opening(_) | FlowState::Owned(_) => None,
        }
    }

    /// Adds or replaces the record of a flow. A new flow is not recorded if the directory is full.
    pub fn insert(&mut self, flow: FlowKey, record: FlowRecord) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(&flow) {
            self.flows.insert(flow, record);
        }
    }

    /// Removes the record of a flow.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.flows.remove(flow);
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: MonoTime) {
        self.flows.retain(|_, record| now < record.expires_at);
        if self.flows.capacity() > 4 * self.flows.len() + 1_024 {
            self.flows.shrink_to_fit();
        }
    }

    /// Returns the number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the directory is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}

impl FlowRecord {
    /// Records when data of the client arrived first. Retransmissions don't count.
    pub fn record_data(&mut self, arrived_at: MonoTime, segment: &Segment) {
        let end = segment.end_of_data();
        let is_newer = |(latest, _): (u32, MonoTime)| is_ahead(end, latest);
        if segment.payload_bytes > 0 && self.latest_data.is_none_or(is_newer) {
            self.latest_data = Some((end, arrived_at));
        }
    }

    /// Extends the record's expiry after a packet of the flow.
    pub fn touch(&mut self, now: MonoTime, idle_timeout_ms: u64) {
        let expiry_ms = match (&self.state, self.is_closing) {
            (FlowState::Opening(_), _) => OPENING_EXPIRY_MS,
            (_, true) => CLOSING_EXPIRY_MS,
            (_, false) => idle_timeout_ms,
        };
        self.expires_at = now.plus_ms(expiry_ms);
    }
}
