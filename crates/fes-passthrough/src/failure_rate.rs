//! Share of a target's recent requests that failed, as its agent observes them.

/// Divisor that gives the weight of a new result in the average. Three failures in a row raise it
/// from zero to about a third.
const WEIGHT_DIVISOR: u32 = 8;
const PER_MILLE: u32 = 1_000;

/// End of a request at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestEnd {
    /// Time from the delivery of the request to its end, in microseconds.
    pub run_us: u64,
    /// Whether the request is known to have started when it was delivered. Otherwise it may have
    /// been a retransmission, and `run_us` is too short.
    pub is_start_seen: bool,
    /// Whether the target reported a failure of its own, or closed the flow without a response.
    pub is_failed: bool,
}

/// Moving average of failed requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    per_mille: u32,
}

impl FailureRate {
    /// Records whether a request failed.
    pub const fn record(&mut self, is_failed: bool) {
        let result = if is_failed { PER_MILLE } else { 0 };
        let kept = self.per_mille * (WEIGHT_DIVISOR - 1);
        self.per_mille = (kept + result) / WEIGHT_DIVISOR;
    }

    /// Returns the average in thousandths.
    #[must_use]
    pub const fn per_mille(&self) -> u32 {
        self.per_mille
    }

    /// Forgets all results, as when the target is a new instance.
    pub const fn reset(&mut self) {
        self.per_mille = 0;
    }
}
