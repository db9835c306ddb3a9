//! Search for the target of a flow that an entry doesn't know, as after the loss of an entry.
//!
//! Agents are asked in rounds, in the flow's order of targets, so that the first round nearly
//! always finds it. An agent that was itself restarted can't know its target's flows; the packet is
//! then handed to the target, which hands it back if the flow isn't its own. That is done only once
//! every agent that was asked has answered, so that the flow's own target is among those that get
//! the packet: packets that reach other targets and never their own would break the flow.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use crate::CANDIDATES_PER_DATA_CENTRE;

/// Agents answer within one trip between data centres.
const ROUND_TIMEOUT_MS: u64 = 40;
/// Questions and answers may be lost, and agents may be busy.
const MAX_REPEATS: u32 = 3;
/// A search that couldn't be concluded goes on after this time: an agent may be heard again.
const RETRY_MS: u64 = 60;
/// After this time a search is left to the client, which sends again every 1.6 s at least.
const RETRY_LIMIT_MS: u64 = 2_000;
/// A search that found nothing starts again with a later packet of the client, not before this.
const RESTART_MS: u64 = 150;
/// Packets kept while a flow is looked for; a client has at most 16 in flight.
const MAX_PACKETS: usize = 16;
/// Targets in each data centre to ask per round; the last round asks all that are left.
const ROUND_SIZES: [usize; 2] = [CANDIDATES_PER_DATA_CENTRE, usize::MAX];

/// Targets to ask: how many to leave out in each data centre, and how many follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchRound {
    /// Targets asked before, in each data centre.
    pub skipped: usize,
    /// Targets to ask, in each data centre.
    pub count: usize,
}

/// How far a search has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchProgress {
    /// Answers are awaited.
    Waiting,
    /// All that were asked have answered, and these can't know.
    MayProbe(Vec<Ipv4Addr>),
    /// No target that was asked about holds the flow.
    NotHeldByAny,
}

/// A search in progress.
#[derive(Debug, Clone, Default)]
pub struct Search {
    /// When the first packet arrived.
    arrived_at: MonoTime,
    packets: Vec<Box<[u8]>>,
    next_round: usize,
    repeats: u32,
    asked: Vec<Ipv4Addr>,
    not_held_by: Vec<Ipv4Addr>,
    undetermined: Vec<Ipv4Addr>,
    probed: Vec<Ipv4Addr>,
    next_round_at: MonoTime,
    restart_at: MonoTime,
    retry_until: MonoTime,
}

impl Search {
    /// Starts a search for the flow of a packet that may have arrived earlier.
    #[must_use]
    pub fn new(now: MonoTime, arrived_at: MonoTime, packet: &[u8]) -> Self {
        Self {
            arrived_at,
            packets: vec![packet.into()],
            restart_at: now.plus_ms(RESTART_MS),
            retry_until: now.plus_ms(RETRY_LIMIT_MS),
            ..Self::default()
        }
    }

    /// Keeps a further packet for the flow's target. Returns whether there was room.
    pub fn keep(&mut self, packet: &[u8]) -> bool {
        let has_room = self.packets.len() < MAX_PACKETS;
        if has_room {
            self.packets.push(packet.into());
        }
        has_room
    }

    /// Returns the packet with which a target may be probed. There is none until the client sends
    /// again, if the search began with a target's denial.
    #[must_use]
    pub fn first_packet(&self) -> Option<&[u8]> {
        self.packets.first().map(|packet| &**packet)
    }

    /// Returns when the first packet arrived.
    #[must_use]
    pub const fn arrived_at(&self) -> MonoTime {
        self.arrived_at
    }

    /// Returns the packets that wait for the flow's target, in the order of their arrival.
    #[must_use]
    pub fn into_packets(self) -> Vec<Box<[u8]>> {
        self.packets
    }

    /// Returns whether a later packet may start the search, for the first time or again.
    #[must_use]
    pub fn may_restart(&self, now: MonoTime) -> bool {
        let is_over = self.next_round >= ROUND_SIZES.len() && now >= self.restart_at;
        self.next_round == 0 || is_over
    }

    /// Begins the next round, if there is one.
    pub fn begin_round(&mut self, now: MonoTime) -> Option<SearchRound> {
        let count = *ROUND_SIZES.get(self.next_round)?;
        let skipped = ROUND_SIZES[..self.next_round].iter().sum();
        self.next_round += 1;
        self.repeats = 0;
        self.next_round_at = now.plus_ms(ROUND_TIMEOUT_MS);
        Some(SearchRound { skipped, count })
    }

    /// Returns how often the agents of this round were asked again.
    #[must_use]
    pub const fn repeats(&self) -> u32 {
        self.repeats
    }

    /// Returns the agents that haven't answered, to be asked again, or none if that was done often
    /// enough in this round.
    pub fn repeat_round(&mut self, now: MonoTime) -> Vec<Ipv4Addr> {
        if self.repeats >= MAX_REPEATS {
            return Vec::new();
        }
        self.repeats += 1;
        self.next_round_at = now.plus_ms(ROUND_TIMEOUT_MS);
        let missing = self.asked.iter().filter(|vm| !self.has_answered(**vm));
        missing.copied().collect()
    }

    fn has_answered(&self, vm: Ipv4Addr) -> bool {
        self.is_denied_by(vm) || self.undetermined.contains(&vm)
    }

    /// Prepares to ask those agents again that haven't denied to hold the flow. Returns whether it
    /// isn't too late for that.
    pub fn retry_later(&mut self, now: MonoTime) -> bool {
        let may_retry = now < self.retry_until;
        if may_retry {
            self.asked.clear();
            self.undetermined.clear();
            self.probed.clear();
            self.next_round = ROUND_SIZES.len() - 1;
            self.repeats = MAX_REPEATS;
            self.next_round_at = now.plus_ms(RETRY_MS);
        }
        may_retry
    }

    /// Returns when the next round begins if agents don't answer.
    #[must_use]
    pub const fn next_round_at(&self) -> MonoTime {
        self.next_round_at
    }

    /// Records that an agent was asked.
    pub fn record_asked(&mut self, vm: Ipv4Addr) {
        if !self.asked.contains(&vm) {
            self.asked.push(vm);
        }
    }

    /// Records that agents won't answer, since they have ended.
    pub fn forget_asked(&mut self, agents: &[Ipv4Addr]) {
        self.asked.retain(|vm| !agents.contains(vm));
    }

    /// Records that an agent's target doesn't hold the flow.
    pub fn record_not_held(&mut self, vm: Ipv4Addr) {
        if !self.not_held_by.contains(&vm) {
            self.not_held_by.push(vm);
        }
    }

    /// Records that an agent can't know whether its target holds the flow.
    pub fn record_unsure(&mut self, vm: Ipv4Addr) {
        if !self.undetermined.contains(&vm) {
            self.undetermined.push(vm);
        }
    }

    /// Returns how far the search has come.
    #[must_use]
    pub fn progress(&self) -> SearchProgress {
        if !self.asked.iter().all(|vm| self.has_answered(*vm)) {
            return SearchProgress::Waiting;
        }
        let is_open = |vm: &&Ipv4Addr| !self.is_denied_by(**vm);
        let open: Vec<Ipv4Addr> = self.asked.iter().filter(is_open).copied().collect();
        if open.is_empty() {
            return SearchProgress::NotHeldByAny;
        }
        let to_probe = open.iter().filter(|vm| !self.probed.contains(vm));
        let to_probe: Vec<Ipv4Addr> = to_probe.copied().collect();
        match to_probe.is_empty() {
            true => SearchProgress::Waiting,
            false => SearchProgress::MayProbe(to_probe),
        }
    }

    /// Records that the packet was handed to targets whose agents can't know, and gives them time to
    /// hand it back.
    pub fn record_probed(&mut self, now: MonoTime, vms: &[Ipv4Addr]) {
        self.probed.extend_from_slice(vms);
        self.next_round_at = now.plus_ms(ROUND_TIMEOUT_MS);
    }

    /// Returns whether an agent said that its target doesn't hold the flow.
    #[must_use]
    pub fn is_denied_by(&self, vm: Ipv4Addr) -> bool {
        self.not_held_by.contains(&vm)
    }
}
