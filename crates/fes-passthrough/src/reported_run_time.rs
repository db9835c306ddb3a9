//! Mean run time of a target's requests that its agent reports to the entries, by which placement
//! compares targets.
//!
//! It differs from [`RunTime`](crate::RunTime), which bounds how long a single request may take: a
//! few long requests must not make a target look slow, while a lasting change must show soon.
//!
//! Run times count from the delivery to the target. The agent delivers at most one request beyond
//! the target's slots, so they include at most the wait for the next free slot. This isn't
//! corrected: it makes a target that has no free slot look somewhat slower than it is, which has the
//! same direction as its load.

use fes_protocol::MonoTime;

/// Largest divisor for the weight of a new measurement.
const MAX_WEIGHT_DIVISOR: u64 = 16;
/// Multiple of the mean from which a run time is unusually long. Longer ones count with this value
/// until several in a row confirm that the target has become slow.
const LONG_FACTOR: u64 = 2;
/// Divisor of the mean for the limit below which a run time is unusually short. It exceeds
/// [`LONG_FACTOR`], because the routes of a service differ, and short requests may follow each other
/// by chance.
const SHORT_DIVISOR: u64 = 4;
/// Number of unusual run times in a row after which only they count. Single requests may be unusual
/// without any change of the target, while several in a row are unlikely to be.
const CONFIRMING_MEASUREMENTS: u64 = 3;
/// Time without a measurement after which none is reported. The target then counts as a typical
/// one, so that it gets requests again and is measured.
const EXPIRY_MS: u64 = 5_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Deviation {
    Short,
    Usual,
    Long,
}

/// Robust moving average of the run times of a target's requests.
#[derive(Debug, Clone, Copy)]
pub struct ReportedRunTime {
    mean_us: u64,
    measurements: u64,
    last_deviation: Deviation,
    /// Number of run times in a row with the last deviation, and their sum.
    deviating: u64,
    deviating_sum_us: u64,
    /// Mean before them, by which they are judged.
    reference_us: u64,
    expires_at: MonoTime,
}

impl Default for ReportedRunTime {
    fn default() -> Self {
        Self {
            mean_us: 0,
            measurements: 0,
            last_deviation: Deviation::Usual,
            deviating: 0,
            deviating_sum_us: 0,
            reference_us: 0,
            expires_at: MonoTime::ZERO,
        }
    }
}

impl ReportedRunTime {
    /// Records the run time of a request that ended now, in microseconds.
    pub fn record(&mut self, now: MonoTime, run_us: u64) {
        if now >= self.expires_at {
            *self = Self::default();
        }
        self.expires_at = now.plus_ms(EXPIRY_MS);
        // The report has 32 bits.
        let run_us = run_us.clamp(1, u64::from(u32::MAX));
        self.record_deviation(run_us);
        if self.deviating >= CONFIRMING_MEASUREMENTS {
            self.mean_us = self.deviating_sum_us / self.deviating;
            self.measurements = self.deviating;
            self.reset_deviation(Deviation::Usual);
            return;
        }
        self.measurements = self.measurements.saturating_add(1);
        let divisor = self.measurements.min(MAX_WEIGHT_DIVISOR);
        let clipped_us = match self.last_deviation {
            Deviation::Long => self.mean_us * LONG_FACTOR,
            Deviation::Short | Deviation::Usual => run_us,
        };
        self.mean_us = (self.mean_us * (divisor - 1) + clipped_us).div_ceil(divisor);
    }

    /// Returns the mean run time in microseconds; 0 if there is no recent measurement.
    #[must_use]
    pub fn mean_us(&self, now: MonoTime) -> u32 {
        match now < self.expires_at {
            true => u32::try_from(self.mean_us).unwrap_or(u32::MAX),
            false => 0,
        }
    }

    fn record_deviation(&mut self, run_us: u64) {
        if self.last_deviation == Deviation::Usual {
            self.reference_us = self.mean_us;
        }
        let deviation = self.deviation_of(run_us);
        if deviation != self.last_deviation {
            self.reset_deviation(deviation);
        }
        if deviation != Deviation::Usual {
            self.deviating += 1;
            self.deviating_sum_us += run_us;
        }
    }

    const fn reset_deviation(&mut self, deviation: Deviation) {
        self.last_deviation = deviation;
        self.deviating = 0;
        self.deviating_sum_us = 0;
    }

    const fn deviation_of(&self, run_us: u64) -> Deviation {
        if self.measurements == 0 {
            Deviation::Usual
        } else if run_us > self.reference_us * LONG_FACTOR {
            Deviation::Long
        } else if run_us < self.reference_us / SHORT_DIVISOR {
            Deviation::Short
        } else {
            Deviation::Usual
        }
    }
}
