//! Learnt capacity of an upstream.

use fes_protocol::MonoTime;

/// Largest change of the learnt speed per second, as a factor.
const MAX_FACTOR_PER_SECOND: f64 = 1.25;

/// Work after which old observations weigh 1/e, in microseconds of busy slot time per slot.
const TIME_CONSTANT_US: f64 = 5e6;

/// Plausible speeds relative to a reference VM. Wrong priors or a broken clock must not make an
/// agent attract or refuse all work.
const PLAUSIBLE_SPEEDS: (f64, f64) = (0.02, 50.0);

/// Learns an upstream's speed from completed work: reference cost over observed busy time.
#[derive(Debug, Clone)]
pub struct CapacityEstimator {
    time_constant_us: f64,
    reference_us: f64,
    busy_us: f64,
    speed: f64,
    updated_at: MonoTime,
}

impl CapacityEstimator {
    /// Makes an estimate for an upstream with this many slots; starts at the reference speed.
    #[must_use]
    pub fn new(now: MonoTime, slots: u32) -> Self {
        let time_constant_us = TIME_CONSTANT_US * f64::from(slots.max(1));
        Self {
            time_constant_us,
            // A little weight on the reference speed damps the first few observations.
            reference_us: time_constant_us * 0.01,
            busy_us: time_constant_us * 0.01,
            speed: 1.0,
            updated_at: now,
        }
    }

    /// Adds a completed request: its cost on a reference VM and its observed service time.
    pub fn observe(&mut self, reference_us: f64, busy_us: f64) {
        let decay = (-busy_us / self.time_constant_us).exp();
        self.reference_us = self.reference_us * decay + reference_us;
        self.busy_us = self.busy_us * decay + busy_us.max(1.0);
    }

    /// Returns the speed relative to a reference VM, moved towards the observed one by at most
    /// the permitted factor.
    pub fn speed(&mut self, now: MonoTime) -> f64 {
        let elapsed_s = now.us_since(self.updated_at) as f64 / 1e6;
        let max_factor = MAX_FACTOR_PER_SECOND.powf(elapsed_s);
        let observed =
            (self.reference_us / self.busy_us).clamp(PLAUSIBLE_SPEEDS.0, PLAUSIBLE_SPEEDS.1);
        self.speed = observed.clamp(self.speed / max_factor, self.speed * max_factor);
        self.updated_at = now.max(self.updated_at);
        self.speed
    }
}
