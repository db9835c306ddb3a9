//! Requests that an agent holds back while its target's slots are taken, and the order in which
//! they go.
//!
//! The load that this answers: more requests than the target can run, for some seconds. A queue in
//! order of arrival then makes every request late. Here those that can still be answered within
//! their latency goal go first, and those that can't go when nothing else waits.

use fes_protocol::MonoTime;

use crate::FlowKey;
use crate::FlowRequirements;
use crate::FlowUse;
use crate::Segment;

/// Requests that may wait; a target's own queue takes what is beyond.
const MAX_WAITING: usize = 512;
/// Packets of one request that may wait; a client has at most 16 in flight.
const MAX_PACKETS: usize = 16;
/// Expected length of a request before any has been measured.
const FIRST_ESTIMATE_US: u64 = 30_000;
/// Share of a new measurement in the estimate, as a divisor.
const ESTIMATE_DIVISOR: u64 = 16;
/// A request counts as able to meet its goal if this many times the usual run fits before it, in
/// percent: runs differ, and one that ends just too late is of less use.
const ESTIMATE_MARGIN_PERCENT: u64 = 150;

/// Times the usual run after which a request is taken to occupy no slot any more: the longest runs
/// take about ten times the usual one.
const LONGEST_RUN_FACTOR: u64 = 10;
const SHORTEST_LIMIT_US: u64 = 200_000;

/// A request that waits.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Flow.
    pub flow: FlowKey,
    /// Its packets in the order of their arrival, with what was decoded of each.
    pub packets: Vec<(Segment, Box<[u8]>)>,
    flow_use: FlowUse,
    goal_at: MonoTime,
    timeout_at: MonoTime,
}

/// Requests that wait for a slot of one target.
#[derive(Debug)]
pub struct RequestQueue {
    waiting: Vec<QueuedRequest>,
    estimate_us: u64,
}

impl Default for RequestQueue {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            estimate_us: FIRST_ESTIMATE_US,
        }
    }
}

impl RequestQueue {
    /// Returns the number of requests that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether the queue takes no further request.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_WAITING
    }

    /// Records how long a request ran, in microseconds.
    pub const fn record_run(&mut self, run_us: u64) {
        let kept = self.estimate_us - self.estimate_us / ESTIMATE_DIVISOR;
        self.estimate_us = kept + run_us / ESTIMATE_DIVISOR;
    }

    /// Returns how long a request is taken to occupy a slot at most, in microseconds. Follows the
    /// measured runs, so that a target that has turned slow is not handed more than it can run.
    #[must_use]
    pub fn longest_run_us(&self) -> u64 {
        (self.estimate_us * LONGEST_RUN_FACTOR).max(SHORTEST_LIMIT_US)
    }

    /// Adds the first packet of a request.
    pub fn push(
        &mut self,
        now: MonoTime,
        requirements: FlowRequirements,
        segment: Segment,
        packet: &[u8],
    ) {
        self.waiting.push(QueuedRequest {
            flow: segment.flow,
            packets: vec![(segment, packet.into())],
            flow_use: requirements.flow_use,
            goal_at: now.plus_ms(u64::from(requirements.latency_goal_ms)),
            timeout_at: now.plus_ms(u64::from(requirements.timeout_ms)),
        });
    }

    /// Adds a further packet to a request that waits. Returns whether one of this flow does.
    pub fn append(&mut self, segment: &Segment, packet: &[u8]) -> bool {
        let Some(held) = self.waiting.iter_mut().find(|h| h.flow == segment.flow) else {
            return false;
        };
        let is_repeated = held
            .packets
            .iter()
            .any(|(known, _)| known.sequence == segment.sequence);
        if !is_repeated && held.packets.len() < MAX_PACKETS {
            held.packets.push((*segment, packet.into()));
        }
        true
    }

    /// Drops the request of a flow that its client gave up. Returns whether one waited.
    pub fn remove(&mut self, flow: &FlowKey) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|held| held.flow != *flow);
        self.waiting.len() < before
    }

    /// Drops and returns requests for which nobody waits any more. They have not run.
    pub fn expire(&mut self, now: MonoTime) -> Vec<QueuedRequest> {
        let (expired, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|held| now >= held.timeout_at);
        self.waiting = waiting;
        expired
    }

    /// Takes the request that should run next.
    pub fn pop(&mut self, now: MonoTime) -> Option<QueuedRequest> {
        let run_us = self.estimate_us * ESTIMATE_MARGIN_PERCENT / 100;
        let end_at = now.plus_us(run_us);
        // Requests that can meet their goal go before those that can't; among the former, those
        // that must not be repeated go first, since a refusal costs their callers most. Then the
        // nearest deadline decides.
        let rank = |held: &QueuedRequest| {
            let is_late = end_at > held.goal_at;
            let is_repeatable = held.flow_use != FlowUse::NonRepeatable;
            let due_at = if is_late {
                held.timeout_at
            } else {
                held.goal_at
            };
            (is_late, is_repeatable, due_at)
        };
        let ranked = self.waiting.iter().enumerate();
        let (index, _) = ranked.min_by_key(|(_, held)| rank(held))?;
        Some(self.waiting.remove(index))
    }
}
