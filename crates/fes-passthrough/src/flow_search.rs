//! Search for the target of a flow that isn't in the entry's directory, as after the loss of an
//! entry.
//!
//! Agents are asked in rounds that follow the flow's preference order, so that the first round
//! nearly always finds the target. An agent that was restarted doesn't know all flows of its
//! target. Its target is then probed with a packet of the flow and returns the packet if it doesn't
//! hold the flow. Targets are probed only after the agents of all rounds have answered and none
//! knows the flow. The flow's own target is then among those probed; an agent that knows the flow
//! may withhold its packets, as while a request is queued. Packets that reach only other targets
//! would break the flow.

use std::net::Ipv4Addr;

use fes_protocol::MonoTime;

use crate::CANDIDATES_PER_DATA_CENTRE;

/// Time to wait for the answers of a round: agents answer within one trip between data centres.
const ROUND_TIMEOUT_MS: u64 = 40;
/// Maximum number of repeated lookups in a round, since messages may be lost and agents may be
/// busy.
const MAX_REPEATS_PER_ROUND: u32 = 3;
/// Time after which an inconclusive search is retried, since agents may be reachable again by then.
const RETRY_AFTER_MS: u64 = 60;
/// Time after which a search is no longer retried. The client's next retransmission, at most 1.6 s
/// after the previous one, starts it again.
const MAX_SEARCH_MS: u64 = 2_000;
/// Minimum time before a later packet of the client restarts a search that found nothing.
const MIN_RESTART_INTERVAL_MS: u64 = 150;
/// Maximum number of packets buffered during a search; a client has at most 16 in flight.
const MAX_BUFFERED_PACKETS: usize = 16;
/// Number of targets to ask in each data centre, by round. The last round asks all the others,
/// including those of other services.
const ROUND_SIZES_PER_DATA_CENTRE: [usize; 2] = [CANDIDATES_PER_DATA_CENTRE, usize::MAX];

/// Range of targets to ask in a round, in the flow's preference order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchRound {
    /// Number of targets to skip in each data centre, since earlier rounds asked them.
    pub skipped: usize,
    /// Number of targets to ask in each data centre.
    pub count: usize,
}

/// Progress of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchProgress {
    /// Some answers are outstanding.
    Waiting,
    /// The agents of the rounds so far have answered, and none knows the flow. The next round is
    /// due, or the search is over if there is none.
    RoundOver,
    /// The agents of all rounds have answered, and none knows the flow. The targets of these agents,
    /// in the order in which they were asked, may be probed, since they may hold it nevertheless.
    MayProbe(Vec<Ipv4Addr>),
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
            restart_at: now.plus_ms(MIN_RESTART_INTERVAL_MS),
            retry_until: now.plus_ms(MAX_SEARCH_MS),
            ..Self::default()
        }
    }

    /// Buffers a further packet for the flow's target. Returns whether there was room.
    pub fn buffer_packet(&mut self, packet: &[u8]) -> bool {
        let has_room = self.packets.len() < MAX_BUFFERED_PACKETS;
        if has_room {
            self.packets.push(packet.into());
        }
        has_room
    }

    /// Returns the packet with which targets may be probed. There is none if the search began
    /// because the recorded owner doesn't hold the flow, until the client sends again.
    #[must_use]
    pub fn first_packet(&self) -> Option<&[u8]> {
        self.packets.first().map(|packet| &**packet)
    }

    /// Returns when the first packet arrived.
    #[must_use]
    pub const fn arrived_at(&self) -> MonoTime {
        self.arrived_at
    }

    /// Returns the buffered packets in the order of their arrival.
    #[must_use]
    pub fn into_packets(self) -> Vec<Box<[u8]>> {
        self.packets
    }

    /// Returns whether a later packet may start or restart the search.
    #[must_use]
    pub fn may_restart(&self, now: MonoTime) -> bool {
        let is_over = self.is_last_round() && now >= self.restart_at;
        self.next_round == 0 || is_over
    }

    /// Starts the next round, if there is one.
    pub fn begin_round(&mut self, now: MonoTime) -> Option<SearchRound> {
        let count = *ROUND_SIZES_PER_DATA_CENTRE.get(self.next_round)?;
        let skipped = ROUND_SIZES_PER_DATA_CENTRE[..self.next_round].iter().sum();
        self.next_round += 1;
        self.repeats = 0;
        self.next_round_at = now.plus_ms(ROUND_TIMEOUT_MS);
        Some(SearchRound { skipped, count })
    }

    /// Returns how often the lookups of this round were repeated.
    #[must_use]
    pub const fn repeats(&self) -> u32 {
        self.repeats
    }

    /// Starts a repetition of this round and returns the agents that haven't answered yet. Returns
    /// none if the limit of repetitions is reached.
    pub fn repeat_round(&mut self, now: MonoTime) -> Vec<Ipv4Addr> {
        if self.repeats >= MAX_REPEATS_PER_ROUND {
            return Vec::new();
        }
        self.repeats += 1;
        self.next_round_at = now.plus_ms(ROUND_TIMEOUT_MS);
        let unanswered = self.asked.iter().filter(|vm| !self.has_answered(**vm));
        unanswered.copied().collect()
    }

    /// Returns whether the agent has answered since the search began or was last retried.
    #[must_use]
    pub fn has_answered(&self, vm: Ipv4Addr) -> bool {
        self.is_not_held_by(vm) || self.undetermined.contains(&vm)
    }

    const fn is_last_round(&self) -> bool {
        self.next_round >= ROUND_SIZES_PER_DATA_CENTRE.len()
    }

    /// Schedules a repetition of the last round, for agents that haven't answered that their target
    /// doesn't hold the flow. Returns false if the search has taken too long for that.
    pub fn retry_later(&mut self, now: MonoTime) -> bool {
        let may_retry = now < self.retry_until;
        if may_retry {
            self.asked.clear();
            self.undetermined.clear();
            self.probed.clear();
            self.next_round = ROUND_SIZES_PER_DATA_CENTRE.len() - 1;
            // Without further repeats, the next round starts when it is due.
            self.repeats = MAX_REPEATS_PER_ROUND;
            self.next_round_at = now.plus_ms(RETRY_AFTER_MS);
        }
        may_retry
    }

    /// Returns when the next round starts if agents don't answer.
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

    /// Stops waiting for answers from agents that can't give one any more.
    pub fn retain_asked(&mut self, can_answer: impl Fn(Ipv4Addr) -> bool) {
        self.asked.retain(|vm| can_answer(*vm));
    }

    /// Records that an agent's target doesn't hold the flow.
    pub fn record_not_held(&mut self, vm: Ipv4Addr) {
        if !self.not_held_by.contains(&vm) {
            self.not_held_by.push(vm);
        }
    }

    /// Records that an agent can't determine whether its target holds the flow.
    pub fn record_undetermined(&mut self, vm: Ipv4Addr) {
        if !self.undetermined.contains(&vm) {
            self.undetermined.push(vm);
        }
    }

    /// Returns the progress of the search.
    #[must_use]
    pub fn progress(&self) -> SearchProgress {
        if !self.asked.iter().all(|vm| self.has_answered(*vm)) {
            return SearchProgress::Waiting;
        }
        let is_undecided = |vm: &&Ipv4Addr| !self.is_not_held_by(**vm);
        let mut undecided = self.asked.iter().filter(is_undecided).peekable();
        if undecided.peek().is_none() || !self.is_last_round() {
            return SearchProgress::RoundOver;
        }
        let to_probe = undecided.filter(|vm| !self.probed.contains(vm));
        let to_probe: Vec<Ipv4Addr> = to_probe.copied().collect();
        match to_probe.is_empty() {
            true => SearchProgress::Waiting,
            false => SearchProgress::MayProbe(to_probe),
        }
    }

    /// Returns whether targets were probed since the search began or was last retried.
    #[must_use]
    pub const fn is_probed(&self) -> bool {
        !self.probed.is_empty()
    }

    /// Records that targets were probed with the packet, and allows them time to return it.
    pub fn record_probed(&mut self, now: MonoTime, vms: &[Ipv4Addr]) {
        self.probed.extend_from_slice(vms);
        self.next_round_at = now.plus_ms(ROUND_TIMEOUT_MS);
    }

    /// Returns whether an agent answered that its target doesn't hold the flow.
    #[must_use]
    pub fn is_not_held_by(&self, vm: Ipv4Addr) -> bool {
        self.not_held_by.contains(&vm)
    }
}
