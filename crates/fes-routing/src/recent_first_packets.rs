//! Bounded memory of what was decided about recent first packets.

use std::collections::VecDeque;

use fes_protocol::FastMap;
use fes_protocol::MonoTime;
use fes_protocol::TargetId;

/// How long retransmissions of a first packet follow the first decision, in milliseconds.
const OUTCOME_RETENTION_MS: u64 = 10_000;

/// Decisions remembered at most. Older ones are dropped first, so that a flood of first packets
/// can't grow the memory.
const MAX_OUTCOMES: usize = 65_536;

/// What an agent did with a first packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstPacketOutcome {
    /// Opened the flow here.
    Accepted,
    /// Passed it on to another agent.
    Forwarded(TargetId),
}

/// Remembers the outcome of first packets by the keyed hash of their connection ID.
#[derive(Debug, Default)]
pub(crate) struct RecentFirstPackets {
    outcomes: FastMap<u64, FirstPacketOutcome>,
    expiry: VecDeque<(MonoTime, u64)>,
}

impl RecentFirstPackets {
    pub(crate) fn get(&mut self, now: MonoTime, hash: u64) -> Option<FirstPacketOutcome> {
        self.drop_expired(now);
        self.outcomes.get(&hash).copied()
    }

    pub(crate) fn remember(&mut self, now: MonoTime, hash: u64, outcome: FirstPacketOutcome) {
        self.drop_expired(now);
        if self.outcomes.len() >= MAX_OUTCOMES {
            self.drop_oldest();
        }
        if self.outcomes.insert(hash, outcome).is_none() {
            self.expiry
                .push_back((now.plus_ms(OUTCOME_RETENTION_MS), hash));
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.outcomes.len()
    }

    fn drop_expired(&mut self, now: MonoTime) {
        while self
            .expiry
            .front()
            .is_some_and(|(deadline, _)| *deadline <= now)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, hash)) = self.expiry.pop_front() {
            self.outcomes.remove(&hash);
        }
    }
}
