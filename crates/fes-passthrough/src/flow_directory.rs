//! An entry's record of flows: soft state, rebuilt from agents after a loss.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;
use fes_protocol::RandomStateMap;

use crate::FlowKey;
use crate::FlowRequirements;
use crate::Search;
use crate::ServiceTag;

/// Targets that one opening packet may be sent to.
pub const MAX_ATTEMPTS: usize = 3;
/// A flow whose opening got nowhere is forgotten after this time: clients give up after 1.4 s.
const OPENING_LIMIT_MS: u64 = 3_000;
/// A flow that both ends may have closed is kept for this long, for late packets.
const CLOSING_LIMIT_MS: u64 = 6_000;
/// Flows that an entry remembers. Beyond it, new flows are carried without a record and found by a
/// search when needed.
const MAX_FLOWS: usize = 400_000;

/// An opening packet sent to one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// VM of the target.
    pub vm: Ipv4Addr,
    /// Start time of the target, in milliseconds since the epoch.
    pub started_at_ms: u64,
    /// When it was sent last.
    pub sent_at: MonoTime,
    /// Sequence number with which the target accepted the flow.
    pub opening_sequence: Option<u32>,
    /// The target handed it back.
    pub is_returned: bool,
}

/// A flow that is being opened.
#[derive(Debug, Clone)]
pub struct Opening {
    /// When its first packet arrived.
    pub arrived_at: MonoTime,
    /// Targets tried, in order.
    pub attempts: Vec<Attempt>,
    /// The opening packet, for a further attempt.
    pub packet: Box<[u8]>,
    /// When one more target is tried, if none has accepted.
    pub try_next_at: MonoTime,
}

/// Known target of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// VM of the target.
    pub vm: Ipv4Addr,
    /// Start time of the target, in milliseconds since the epoch.
    pub started_at_ms: u64,
}

/// What is known of a flow's target.
#[derive(Debug, Clone)]
pub enum FlowState {
    /// Opening packets were sent.
    Opening(Opening),
    /// The target is known.
    Owned(Owner),
    /// The target is not known.
    Searching(Search),
}

/// Record of a flow.
#[derive(Debug, Clone)]
pub struct FlowRecord {
    /// Service that it was placed with.
    pub service: ServiceTag,
    /// What its requests need.
    pub requirements: FlowRequirements,
    /// What is known of its target.
    pub state: FlowState,
    /// When the record is dropped if no further packet arrives.
    pub forget_at: MonoTime,
    /// An end has closed its half.
    pub is_closing: bool,
    /// Newest number that the client acknowledged, which a reset must be near.
    pub acknowledged: u32,
}

/// All flows that the entry remembers.
#[derive(Debug, Default)]
pub struct FlowDirectory {
    flows: RandomStateMap<FlowKey, FlowRecord>,
}

impl FlowDirectory {
    /// Returns the record of a flow.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut FlowRecord> {
        self.flows.get_mut(flow)
    }

    /// Returns whether the flow has a record.
    #[must_use]
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.flows.contains_key(flow)
    }

    /// Adds or replaces the record of a flow, unless the directory is full.
    pub fn insert(&mut self, flow: FlowKey, record: FlowRecord) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(&flow) {
            self.flows.insert(flow, record);
        }
    }

    /// Drops the record of a flow.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.flows.remove(flow);
    }

    /// Drops records whose time has passed.
    pub fn expire(&mut self, now: MonoTime) {
        self.flows.retain(|_, record| now < record.forget_at);
        if self.flows.capacity() > 4 * self.flows.len() + 1_024 {
            self.flows.shrink_to_fit();
        }
    }

    /// Returns the number of flows remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }
}

impl FlowRecord {
    /// Records that a packet of the flow was seen.
    pub fn touch(&mut self, now: MonoTime, idle_timeout_ms: u64) {
        let keep_ms = match (&self.state, self.is_closing) {
            (FlowState::Opening(_), _) => OPENING_LIMIT_MS,
            (_, true) => CLOSING_LIMIT_MS,
            (_, false) => idle_timeout_ms,
        };
        self.forget_at = now.plus_ms(keep_ms);
    }
}
