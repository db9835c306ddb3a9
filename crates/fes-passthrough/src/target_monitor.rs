//! Passive health check: detects from traffic whether the agent's own target responds.

use fes_protocol::MonoTime;

/// Number of unanswered opening packets from which the shorter timeout applies. A target accepts an
/// opening packet within a few milliseconds, and losing two in a row is rare.
const REPEATED_OPENINGS: u32 = 2;
const REPEATED_OPENING_TIMEOUT_MS: u64 = 120;
/// Timeout after a single opening packet, which may just have been lost.
const SINGLE_OPENING_TIMEOUT_MS: u64 = 400;
/// Time after the last opening packet at which a silent target is tried again.
const RETRY_AFTER_MS: u64 = 1_000;

/// Tracks whether the target responds to opening packets.
#[derive(Debug, Default)]
pub struct TargetMonitor {
    unanswered_openings: u32,
    first_unanswered_at: Option<MonoTime>,
    last_opening_at: Option<MonoTime>,
    is_reported_silent: bool,
}

impl TargetMonitor {
    /// Records that an opening packet was delivered.
    pub fn record_opening(&mut self, now: MonoTime) {
        self.unanswered_openings = self.unanswered_openings.saturating_add(1);
        self.first_unanswered_at.get_or_insert(now);
        self.last_opening_at = Some(now);
    }

    /// Records a packet from the target. Returns whether the target was reported as silent before.
    pub fn record_answer(&mut self) -> bool {
        self.unanswered_openings = 0;
        self.first_unanswered_at = None;
        std::mem::take(&mut self.is_reported_silent)
    }

    /// Resets the state, as after a pause of the process, during which answers may have been
    /// missed.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the target is silent and should get no new flows.
    #[must_use]
    pub fn is_silent(&self, now: MonoTime) -> bool {
        let (Some(first_at), Some(last_at)) = (self.first_unanswered_at, self.last_opening_at)
        else {
            return false;
        };
        let limit_ms = match self.unanswered_openings >= REPEATED_OPENINGS {
            true => REPEATED_OPENING_TIMEOUT_MS,
            false => SINGLE_OPENING_TIMEOUT_MS,
        };
        now.ms_since(first_at) >= limit_ms && now.ms_since(last_at) < RETRY_AFTER_MS
    }

    /// Returns whether the target became silent since the last call.
    pub fn became_silent(&mut self, now: MonoTime) -> bool {
        let is_newly_silent = !self.is_reported_silent && self.is_silent(now);
        self.is_reported_silent |= is_newly_silent;
        is_newly_silent
    }
}
