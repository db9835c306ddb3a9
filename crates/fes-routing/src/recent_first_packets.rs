//! Bounded cache of the decisions about recent first packets.

use std::collections::VecDeque;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::TargetId;

/// Time for which retransmissions of a first packet follow the first decision, in milliseconds.
const OUTCOME_RETENTION_MS: u64 = 10_000;

/// Capacity of the cache. The oldest decisions are evicted first, so that a flood of first packets
/// can't exhaust memory.
const MAX_OUTCOMES: usize = 65_536;

/// Decision of an agent about a first packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstPacketOutcome {
    /// Opened the flow at this agent.
    Accepted,
    /// Forwarded the packet to the agent of this target.
    Forwarded(TargetId),
}

/// Caches decisions about first packets by the keyed hash of their connection ID.
#[derive(Debug, Default)]
pub(crate) struct RecentFirstPackets {
    outcomes: FastMap<u64, FirstPacketOutcome>,
    expiry: VecDeque<(MonoTime, u64)>,
}

impl RecentFirstPackets {
    pub(crate) fn get(&mut self, now: MonoTime, hash: u64) -> Option<FirstPacketOutcome> {
        self.evict_expired(now);
        self.outcomes.get(&hash).copied()
    }

    pub(crate) fn insert(&mut self, now: MonoTime, hash: u64, outcome: FirstPacketOutcome) {
        self.evict_expired(now);
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.evict_oldest();
        }
        if self.outcomes.insert(hash, outcome).is_none() {
            self.expiry
                .push_back((now.plus_ms(OUTCOME_RETENTION_MS), hash));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.outcomes.len()
    }

    fn evict_expired(&mut self, now: MonoTime) {
        while self
            .expiry
            .front()
            .is_some_and(|(deadline, _)| *deadline <= now)
        {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, hash)) = self.expiry.pop_front() {
            self.outcomes.remove(&hash);
        }
    }
}
