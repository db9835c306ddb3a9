//! Requests that waited although their target had a free slot.
//!
//! A request of an open flow can run only at the target that accepted the flow, so only that target
//! is considered. Opening packets don't wait for a slot and are not considered. Whether a packet
//! is at the agent can't be observed, so a request counts only if nothing else can have kept it
//! from the agent: each process on its way ran, and no fault affected it.

use std::collections::HashMap;
use std::collections::HashSet;

use tokio::time::Duration;
use tokio::time::Instant;

use crate::daemon::DaemonId;

/// Time for which a slot of the target must have been free.
const FREE_SLOT_MS: u64 = 1_000;
/// Time after the absence of a process within which requests may not have reached the agent. Clients
/// retransmit a request for the last time 1,400 ms after the first transmission, 600 ms before its
/// deadline.
const ABSENCE_GRACE_MS: u64 = 2_500;
/// Time since the opening from which the first request of a flow isn't considered: the agent counts
/// its deadline from the opening packet.
const MAX_OPENING_MS: u64 = 300;

/// A request whose deadline passed without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnansweredRequest {
    /// ID of the request.
    pub request: u64,
    /// Target that accepted the request's flow.
    pub target: usize,
    /// Time by which the deadline of the agent may precede that of the client.
    pub opening_ms: u64,
}

/// Observations of requests, slots and processes.
#[derive(Debug, Default)]
pub struct RequestRecord {
    delivered: HashSet<u64>,
    /// Times at which all slots of a target were last in use.
    full_at: HashMap<usize, Instant>,
    /// Times at which a daemon last wasn't running.
    entries_absent_at: Option<Instant>,
    agents_absent_at: HashMap<usize, Instant>,
    stalled_at: Option<Instant>,
}

impl RequestRecord {
    /// Records that a packet of a request reached a target.
    pub fn record_delivery(&mut self, request: u64) {
        self.delivered.insert(request);
    }

    /// Records that all slots of a target are in use.
    pub fn record_full(&mut self, now: Instant, target: usize) {
        self.full_at.insert(target, now);
    }

    /// Records that a daemon isn't running.
    pub fn record_absence(&mut self, now: Instant, daemon: DaemonId) {
        match daemon {
            DaemonId::Entry(_) => self.entries_absent_at = Some(now),
            DaemonId::Agent(target) => {
                self.agents_absent_at.insert(target, now);
            }
        }
    }

    /// Records that the soak itself wasn't scheduled in time, so that it may have delayed packets.
    pub fn record_stall(&mut self, now: Instant) {
        self.stalled_at = Some(now);
    }

    /// Returns whether a request that timed out at `now` reached no target, although nothing kept it
    /// from its agent and the target had a free slot for the whole second before.
    pub fn has_waited_despite_free_slot(
        &self,
        now: Instant,
        unanswered: UnansweredRequest,
    ) -> bool {
        let is_within = |at: Option<&Instant>, limit_ms| {
            at.is_some_and(|at| now - *at < Duration::from_millis(limit_ms))
        };
        let target = unanswered.target;
        let free_ms = FREE_SLOT_MS + unanswered.opening_ms;
        let may_be_delayed = unanswered.opening_ms > MAX_OPENING_MS
            || is_within(self.entries_absent_at.as_ref(), ABSENCE_GRACE_MS)
            || is_within(self.agents_absent_at.get(&target), ABSENCE_GRACE_MS)
            || is_within(self.stalled_at.as_ref(), ABSENCE_GRACE_MS);
        let was_full = is_within(self.full_at.get(&target), free_ms);
        !self.delivered.contains(&unanswered.request) && !may_be_delayed && !was_full
    }
}
