//! Run times of a target's requests, as measured by its agent.

/// Assumed run time of a request before the first measurement.
const INITIAL_RUN_US: u64 = 30_000;
/// Largest divisor for the weight of a new measurement. The first measurements have more weight, so
/// that a process that was just restarted learns the run time within a few requests.
const MAX_WEIGHT_DIVISOR: u64 = 16;
/// Run time to allow for a request, in percent of the mean. The margin covers the variation of run
/// times, because a response that is just too late is of less use.
const MARGIN_PERCENT: u64 = 150;
/// Multiple of the mean run time after which a request no longer counts as occupying a slot. The
/// longest requests run about ten times as long as a typical one.
const LONGEST_RUN_FACTOR: u64 = 10;
const MIN_LONGEST_RUN_US: u64 = 200_000;

/// Moving average of the run times of a target's requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTime {
    mean_us: u64,
    measurements: u64,
}

impl RunTime {
    /// Records the run time of a request, in microseconds.
    pub fn record(&mut self, run_us: u64) {
        self.measurements = self.measurements.saturating_add(1);
        let divisor = self.measurements.min(MAX_WEIGHT_DIVISOR);
        self.mean_us = (self.mean_us * (divisor - 1) + run_us) / divisor;
    }

    /// Returns the mean run time in microseconds, or an assumption before the first measurement.
    #[must_use]
    pub const fn mean_us(&self) -> u64 {
        match self.measurements {
            0 => INITIAL_RUN_US,
            _ => self.mean_us,
        }
    }

    /// Returns the time in microseconds within which a request that starts now has very likely
    /// ended.
    #[must_use]
    pub const fn expected_us(&self) -> u64 {
        self.mean_us() * MARGIN_PERCENT / 100
    }

    /// Returns the longest time in microseconds for which a request counts as occupying a slot. It
    /// follows the measured run times, so that a target that has become slow isn't overloaded.
    #[must_use]
    pub fn longest_us(&self) -> u64 {
        (self.mean_us() * LONGEST_RUN_FACTOR).max(MIN_LONGEST_RUN_US)
    }
}
