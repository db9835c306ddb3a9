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
/// Time after the last opening packet at which a silent target is tried again. Silent targets are
/// reported to all entries at once, but not more often.
const RETRY_AFTER_MS: u64 = 1_000;
/// Time after a rejection at which a target that still answers requests is tried again. It is full,
/// and a place is free as soon as a request ends. The time doubles with each trial in a row that is
/// rejected, up to [`RETRY_AFTER_MS`], since long flows may take all places.
const BUSY_RETRY_AFTER_MS: u64 = 10;
/// Number of doublings after which the time between trials exceeds its limit.
const MAX_DOUBLINGS: u32 = 7;

/// Tracks whether the target responds to opening packets.
#[derive(Debug, Default)]
pub struct TargetMonitor {
    unanswered_openings: u32,
    first_unanswered_at: Option<MonoTime>,
    last_opening_at: Option<MonoTime>,
    /// Number of opening packets that the target returned since it last accepted one.
    rejected_openings: u32,
    /// Number of trials in a row that the target rejected.
    rejected_trials: u32,
    /// When a target that rejects flows but still answers requests is tried again.
    busy_retry_at: MonoTime,
    /// Whether the target answered a request since the trial that it rejected last.
    has_answered: bool,
    is_reported_silent: bool,
    /// When the target may be reported as silent again at once.
    next_report_at: MonoTime,
}

impl TargetMonitor {
    /// Records that an opening packet was delivered.
    pub fn record_opening(&mut self, now: MonoTime) {
        self.unanswered_openings = self.unanswered_openings.saturating_add(1);
        self.first_unanswered_at.get_or_insert(now);
        self.last_opening_at = Some(now);
    }

    /// Records a response of the target to a request. Returns whether the target was reported as
    /// silent before.
    pub fn record_response(&mut self) -> bool {
        self.has_answered = true;
        self.record_answer()
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
        self.rejected_trials = 0;
        self.record_answer()
    }

    /// Records that the target returned an opening packet, as one does that has crashed or is full.
    pub fn record_rejection(&mut self, now: MonoTime) {
        self.rejected_openings = self.rejected_openings.saturating_add(1);
        // Further rejections before the next trial are of openings that were under way.
        if self.is_rejecting() && (self.rejected_trials == 0 || now >= self.busy_retry_at) {
            let retry_ms = BUSY_RETRY_AFTER_MS << self.rejected_trials.min(MAX_DOUBLINGS);
            self.busy_retry_at = now.plus_ms(retry_ms.min(RETRY_AFTER_MS));
            self.rejected_trials = self.rejected_trials.saturating_add(1);
            self.has_answered = false;
        }
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
            if self.has_answered && now >= self.busy_retry_at {
                return false;
            }
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

    /// Returns whether the target became silent since the last call, and this is to be reported at
    /// once.
    pub fn became_silent(&mut self, now: MonoTime) -> bool {
        let is_silent = self.is_silent(now);
        let is_due = is_silent && !self.is_reported_silent && now >= self.next_report_at;
        if is_due {
            self.next_report_at = now.plus_ms(RETRY_AFTER_MS);
        }
        // A rejecting target that is tried again is reported again if it still rejects.
        let remains_reported = self.is_reported_silent && (is_silent || !self.is_rejecting());
        self.is_reported_silent = is_due || remains_reported;
        is_due
    }
}
