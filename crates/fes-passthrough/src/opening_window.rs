//! Number of openings in a sliding window of one second.

use std::collections::VecDeque;

use fes_protocol::MonoTime;

const WINDOW_MS: u64 = 1_000;
/// Packets that leave a process one second apart may arrive at a slightly shorter distance.
const JITTER_MS: u64 = 5;

/// Times of the openings of the last second.
#[derive(Debug, Clone, Default)]
pub struct OpeningWindow {
    openings: VecDeque<MonoTime>,
}

impl OpeningWindow {
    /// Records an opening.
    pub fn record(&mut self, now: MonoTime) {
        self.expire(now);
        self.openings.push_back(now);
    }

    /// Returns the number of openings in the last second.
    #[must_use]
    pub fn count(&self, now: MonoTime) -> u32 {
        let expired = self.openings.partition_point(|at| is_expired(now, *at));
        u32::try_from(self.openings.len() - expired).unwrap_or(u32::MAX)
    }

    /// Removes the openings that are no longer in the window.
    pub fn expire(&mut self, now: MonoTime) {
        let expired = self.openings.partition_point(|at| is_expired(now, *at));
        self.openings.drain(..expired);
    }

    /// Returns whether the window contains no opening.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.openings.is_empty()
    }
}

fn is_expired(now: MonoTime, at: MonoTime) -> bool {
    now > at.plus_ms(WINDOW_MS + JITTER_MS)
}
