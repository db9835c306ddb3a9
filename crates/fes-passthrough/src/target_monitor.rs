//! Passive health check: detects from traffic whether the agent's own target responds.

use fes_protocol::MonoTime;

/// Number of unanswered opening packets from which the shorter timeout applies. A target accepts an
/// opening packet within a few milliseconds, and losing two in a row is rare.
const REPEATED_OPENINGS: u32 = 2;
const REPEATED_OPENING_TIMEOUT_MS: u64 = 120;
/// Timeout after a single opening packet, which may just have been lost.
const SINGLE_OPENING_TIMEOUT_MS: u64 = 400;
/// Number of opening packets in a row that a target returns before it counts as silent.
const REPEATED_REJECTIONS: u32 = 2;
/// Time after the last opening packet at which a silent target is tried again.
const RETRY_AFTER_MS: u64 = 1_000;

/// Tracks whether the target responds to opening packets.
#[derive(Debug, Default)]
pub struct TargetMonitor {
    unanswered_openings: u32,
    first_unanswered_at: Option<MonoTime>,
    last_opening_at: Option<MonoTime>,
    /// Number of opening packets that the target returned since it last accepted one.
    rejected_openings: u32,
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
        !self.is_rejecting() && std::mem::take(&mut self.is_reported_silent)
    }

    /// Records that the target accepted a flow. Returns whether it was reported as silent before.
    pub fn record_acceptance(&mut self) -> bool {
        self.rejected_openings = 0;
        self.record_answer()
    }

    /// Records that the target returned an opening packet, as one that has crashed does.
    pub fn record_rejection(&mut self) {
        self.rejected_openings = self.rejected_openings.saturating_add(1);
    }

    const fn is_rejecting(&self) -> bool {
        self.rejected_openings >= REPEATED_REJECTIONS
    }

    /// Resets the state, as after a pause of the process, during which answers may have been
    /// missed.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the target is silent or accepts no flows, and should get none.
    #[must_use]
    pub fn is_silent(&self, now: MonoTime) -> bool {
        if self.is_rejecting() {
            let last_at = self.last_opening_at;
            return last_at.is_some_and(|at| now.ms_since(at) < RETRY_AFTER_MS);
        }
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

    /// Returns whether the target left several packets unanswered, including the latest. A target that
    /// runs answers or returns each packet within milliseconds.
    #[must_use]
    pub fn is_unresponsive(&self, now: MonoTime) -> bool {
        let is_overdue = |at: MonoTime| now.ms_since(at) >= REPEATED_OPENING_TIMEOUT_MS;
        self.unanswered_openings >= REPEATED_OPENINGS
            && self.first_unanswered_at.is_some_and(is_overdue)
    }

    /// Returns whether the target became silent since the last call.
    pub fn became_silent(&mut self, now: MonoTime) -> bool {
        let is_silent = self.is_silent(now);
        let is_newly_silent = is_silent && !self.is_reported_silent;
        // A rejecting target that is tried again is reported again if it still rejects.
        self.is_reported_silent = is_silent || (self.is_reported_silent && !self.is_rejecting());
        is_newly_silent
    }
}
