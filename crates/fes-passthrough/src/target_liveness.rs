//! Tells from the traffic whether the agent's own target gives signs of life.

use fes_protocol::MonoTime;

/// A target accepts an opening packet within a few milliseconds; a pair of packets is rarely lost.
const OPENINGS_WITHOUT_ANSWER: u32 = 2;
const ANSWER_TIMEOUT_MS: u64 = 120;
/// One opening packet may be lost on its own.
const SINGLE_ANSWER_TIMEOUT_MS: u64 = 400;
/// A silent target is tried again after this time.
const TRY_AGAIN_MS: u64 = 1_000;

/// What the agent owes its belief about the target's life to.
#[derive(Debug, Default)]
pub struct TargetLiveness {
    unanswered: u32,
    first_unanswered_at: Option<MonoTime>,
    last_opening_at: Option<MonoTime>,
    is_marked_silent: bool,
}

impl TargetLiveness {
    /// Records that an opening packet was delivered.
    pub fn record_opening(&mut self, now: MonoTime) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.first_unanswered_at.get_or_insert(now);
        self.last_opening_at = Some(now);
    }

    /// Records any packet from the target. Returns whether it was silent before.
    pub fn record_answer(&mut self) -> bool {
        self.unanswered = 0;
        self.first_unanswered_at = None;
        std::mem::take(&mut self.is_marked_silent)
    }

    /// Starts anew, as after a pause of the process, which may have missed answers.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the target should be passed over now.
    #[must_use]
    pub fn is_silent(&self, now: MonoTime) -> bool {
        let (Some(first_at), Some(last_at)) = (self.first_unanswered_at, self.last_opening_at)
        else {
            return false;
        };
        let limit_ms = match self.unanswered >= OPENINGS_WITHOUT_ANSWER {
            true => ANSWER_TIMEOUT_MS,
            false => SINGLE_ANSWER_TIMEOUT_MS,
        };
        now.ms_since(first_at) >= limit_ms && now.ms_since(last_at) < TRY_AGAIN_MS
    }

    /// Returns whether the target became silent since the last call.
    pub fn became_silent(&mut self, now: MonoTime) -> bool {
        let became = !self.is_marked_silent && self.is_silent(now);
        self.is_marked_silent |= became;
        became
    }
}
