//! Queue of requests that an agent holds while all slots of its target are in use.
//!
//! When, for some seconds, more requests arrive than the target can run, a FIFO queue makes every
//! request late. This queue first releases requests that can still be answered within their latency
//! goal; the others are released when no such request is queued.

use fes_protocol::MonoTime;

use crate::FlowKey;
use crate::FlowRequirements;
use crate::FlowUse;
use crate::Segment;

/// Maximum number of queued requests; further ones are delivered and queue at the target.
const MAX_QUEUED: usize = 512;
/// Maximum number of queued packets of one request; a client has at most 16 in flight.
const MAX_PACKETS: usize = 16;
/// Estimated run time of a request before the first measurement.
const INITIAL_ESTIMATE_US: u64 = 30_000;
/// Divisor that gives the weight of a new measurement in the estimate.
const ESTIMATE_WEIGHT_DIVISOR: u64 = 16;
/// Run time that must remain before the latency goal for a request to count as able to meet it, in
/// percent of the estimate. The margin covers the variation of run times, because a response that
/// is just too late is of less use.
const ESTIMATE_MARGIN_PERCENT: u64 = 150;

/// Multiple of the estimated run time after which a request no longer counts as occupying a slot.
/// The longest requests run about ten times as long as a typical one.
const LONGEST_RUN_FACTOR: u64 = 10;
const MIN_LONGEST_RUN_US: u64 = 200_000;

/// A queued request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Flow.
    pub flow: FlowKey,
    /// Its packets in the order of their arrival, with their decoded headers.
    pub packets: Vec<(Segment, Box<[u8]>)>,
    flow_use: FlowUse,
    latency_goal_at: MonoTime,
    timeout_at: MonoTime,
}

/// Queue of requests for the slots of one target.
#[derive(Debug)]
pub struct RequestQueue {
    queued: Vec<QueuedRequest>,
    estimate_us: u64,
}

impl Default for RequestQueue {
    fn default() -> Self {
        Self {
            queued: Vec::new(),
            estimate_us: INITIAL_ESTIMATE_US,
        }
    }
}

impl RequestQueue {
    /// Returns the number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns whether the queue accepts no further request.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.queued.len() >= MAX_QUEUED
    }

    /// Records the measured run time of a request, in microseconds.
    pub const fn record_run(&mut self, run_us: u64) {
        let kept = self.estimate_us - self.estimate_us / ESTIMATE_WEIGHT_DIVISOR;
        self.estimate_us = kept + run_us / ESTIMATE_WEIGHT_DIVISOR;
    }

    /// Returns the longest time for which a request counts as occupying a slot, in microseconds. It
    /// follows the measured run times, so that a target that has become slow isn't overloaded.
    #[must_use]
    pub fn longest_run_us(&self) -> u64 {
        (self.estimate_us * LONGEST_RUN_FACTOR).max(MIN_LONGEST_RUN_US)
    }

    /// Adds the first packet of a request.
    pub fn push(
        &mut self,
        now: MonoTime,
        requirements: FlowRequirements,
        segment: Segment,
        packet: &[u8],
    ) {
        self.queued.push(QueuedRequest {
            flow: segment.flow,
            packets: vec![(segment, packet.into())],
            flow_use: requirements.flow_use,
            latency_goal_at: now.plus_ms(u64::from(requirements.latency_goal_ms)),
            timeout_at: now.plus_ms(u64::from(requirements.timeout_ms)),
        });
    }

    /// Adds a further packet to the queued request of its flow. Returns false if there is none.
    pub fn append(&mut self, segment: &Segment, packet: &[u8]) -> bool {
        let Some(request) = self
            .queued
            .iter_mut()
            .find(|request| request.flow == segment.flow)
        else {
            return false;
        };
        let is_duplicate = request
            .packets
            .iter()
            .any(|(queued, _)| queued.sequence == segment.sequence);
        if !is_duplicate && request.packets.len() < MAX_PACKETS {
            request.packets.push((*segment, packet.into()));
        }
        true
    }

    /// Removes the queued request of a flow. Returns whether there was one.
    pub fn remove(&mut self, flow: &FlowKey) -> bool {
        let before = self.queued.len();
        self.queued.retain(|request| request.flow != *flow);
        self.queued.len() < before
    }

    /// Removes and returns requests that reached their timeout. They have not run.
    pub fn expire(&mut self, now: MonoTime) -> Vec<QueuedRequest> {
        let (expired, queued) = std::mem::take(&mut self.queued)
            .into_iter()
            .partition(|request| now >= request.timeout_at);
        self.queued = queued;
        expired
    }

    /// Removes and returns the request that should run next.
    pub fn pop(&mut self, now: MonoTime) -> Option<QueuedRequest> {
        let run_us = self.estimate_us * ESTIMATE_MARGIN_PERCENT / 100;
        let estimated_end_at = now.plus_us(run_us);
        // Requests that can meet their latency goal come before those that can't. In each group,
        // requests that must not be repeated come first, because a failure costs their clients
        // most: they must not retry. The rest of the order is by deadline.
        let rank = |request: &QueuedRequest| {
            let misses_goal = estimated_end_at > request.latency_goal_at;
            let is_repeatable = request.flow_use != FlowUse::NonRepeatable;
            let deadline = if misses_goal {
                request.timeout_at
            } else {
                request.latency_goal_at
            };
            (misses_goal, is_repeatable, deadline)
        };
        let ranked = self.queued.iter().enumerate();
        let (index, _) = ranked.min_by_key(|(_, request)| rank(request))?;
        Some(self.queued.remove(index))
    }
}
