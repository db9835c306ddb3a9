//! Queue of requests that an agent holds while all slots of its target are in use.
//!
//! When, for some seconds, more requests arrive than the target can run, a FIFO queue makes every
//! request late. This queue first releases requests that can still be answered within their latency
//! goal, then those that can be answered before their timeout. Others are released only when no
//! such request is queued. [`ReleaseOrder`] has the whole order.

use std::collections::BTreeMap;

use fes_protocol::MonoTime;

use crate::FlowKey;
use crate::FlowRequirements;
use crate::Mechanism;
use crate::Priority;
use crate::ReleaseCandidate;
use crate::ReleaseOrder;
use crate::RunTime;
use crate::Segment;

/// Maximum number of queued requests; further ones are delivered and queue at the target.
const MAX_QUEUED: usize = 512;
/// Maximum number of queued packets of one request; a client has at most 16 in flight.
const MAX_PACKETS: usize = 16;

/// A queued request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Flow.
    pub flow: FlowKey,
    /// Its packets in the order of their arrival, with their decoded headers.
    pub packets: Vec<(Segment, Box<[u8]>)>,
    queued_at: MonoTime,
    candidate: ReleaseCandidate,
}

/// Queue of requests for the slots of one target.
#[derive(Debug, Default)]
pub struct RequestQueue {
    queued: Vec<QueuedRequest>,
    order: ReleaseOrder,
    run_time: RunTime,
}

impl RequestQueue {
    /// Returns the number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of queued requests that can still meet their latency goal. A new request is
    /// released after them, but before the others.
    #[must_use]
    pub fn len_in_time(&self, now: MonoTime) -> usize {
        let expected_end_at = now.plus_us(self.run_time.expected_us());
        let queued = self.queued.iter();
        let in_time = queued.filter(|request| request.candidate.is_in_time(expected_end_at));
        in_time.count()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the longest time that a queued request has waited, in milliseconds; 0 if none is
    /// queued.
    #[must_use]
    pub fn longest_wait_ms(&self, now: MonoTime) -> u64 {
        let waits = self.queued.iter().map(|request| request.waited_ms(now));
        waits.max().unwrap_or(0)
    }

    /// Returns the number of queued requests of each priority that has any.
    #[must_use]
    pub fn len_by_priority(&self) -> BTreeMap<Priority, usize> {
        let mut counts = BTreeMap::new();
        for request in &self.queued {
            *counts.entry(request.priority()).or_default() += 1;
        }
        counts
    }

    /// Returns whether the queue accepts no further request.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.queued.len() >= MAX_QUEUED
    }

    /// Records the measured run time of a request, in microseconds.
    pub fn record_run(&mut self, run_us: u64) {
        self.run_time.record(run_us);
    }

    /// Returns the measured run times.
    #[must_use]
    pub const fn run_time(&self) -> &RunTime {
        &self.run_time
    }

    /// Adds the first packet of a request.
    pub fn push(
        &mut self,
        now: MonoTime,
        requirements: FlowRequirements,
        segment: Segment,
        packet: &[u8],
    ) {
        if self.queued.is_empty() {
            self.order = ReleaseOrder::default();
        }
        self.queued.push(QueuedRequest {
            flow: segment.flow,
            packets: vec![(segment, packet.into())],
            queued_at: now,
            candidate: ReleaseCandidate {
                priority: requirements.priority,
                flow_use: requirements.flow_use,
                latency_goal_at: now.plus_ms(u64::from(requirements.latency_goal_ms)),
                timeout_at: now.plus_ms(u64::from(requirements.timeout_ms)),
            },
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

    /// Removes and returns all queued requests, in the order of their arrival.
    pub fn take_all(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.queued)
    }

    /// Returns the queued request of a flow.
    #[must_use]
    pub fn get(&self, flow: &FlowKey) -> Option<&QueuedRequest> {
        self.queued.iter().find(|request| request.flow == *flow)
    }

    /// Removes and returns the queued request of a flow.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<QueuedRequest> {
        let index = self
            .queued
            .iter()
            .position(|request| request.flow == *flow)?;
        Some(self.queued.remove(index))
    }

    /// Removes and returns requests that reached their timeout. They have not run.
    pub fn expire(&mut self, now: MonoTime) -> Vec<QueuedRequest> {
        let (expired, queued) = std::mem::take(&mut self.queued)
            .into_iter()
            .partition(|request| now >= request.candidate.timeout_at);
        self.queued = queued;
        expired
    }

    /// Removes and returns the request that should run next.
    pub fn pop(&mut self, now: MonoTime) -> Option<QueuedRequest> {
        if !Mechanism::ReleaseOrder.is_enabled() && !self.queued.is_empty() {
            return Some(self.queued.remove(0));
        }
        let expected_end_at = now.plus_us(self.run_time.expected_us());
        let candidates = self.queued.iter().map(|request| request.candidate);
        let index = self.order.select(expected_end_at, candidates)?;
        Some(self.queued.remove(index))
    }
}

impl QueuedRequest {
    /// Returns the time since the request was queued, in milliseconds.
    #[must_use]
    pub const fn waited_ms(&self, now: MonoTime) -> u64 {
        now.ms_since(self.queued_at)
    }

    /// Returns the packet that arrived first.
    #[must_use]
    pub fn first_packet(&self) -> &[u8] {
        self.packets.first().map_or(&[], |(_, packet)| packet)
    }

    /// Returns the priority, which is that of the route when the request was queued.
    #[must_use]
    pub const fn priority(&self) -> Priority {
        self.candidate.priority
    }
}
