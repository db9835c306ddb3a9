//! Estimate of an upstream's capacity.

use fes_protocol::MonoTime;

/// Maximum factor by which the estimated speed changes per second.
const MAX_FACTOR_PER_SECOND: f64 = 1.25;

/// Time constant of the estimate: busy time per slot after which the weight of an observation has
/// decayed to 1/e.
const TIME_CONSTANT_US: f64 = 5e6;

/// Minimum and maximum speed relative to a reference VM. Wrong priors or a broken clock must not
/// make an agent attract or refuse all work.
const PLAUSIBLE_SPEEDS: (f64, f64) = (0.02, 50.0);

/// Estimates an upstream's speed from completed requests: the ratio of their cost on a reference VM
/// to their observed service time.
#[derive(Debug, Clone)]
pub struct CapacityEstimator {
    time_constant_us: f64,
    /// Decayed sum of the costs of completed requests on a reference VM.
    reference_us: f64,
    /// Decayed sum of their observed service times.
    busy_us: f64,
    speed: f64,
    updated_at: MonoTime,
}

impl CapacityEstimator {
    /// Creates an estimate for an upstream with `slots` slots, starting at the reference speed.
    #[must_use]
    pub fn new(now: MonoTime, slots: u32) -> Self {
        let time_constant_us = TIME_CONSTANT_US * f64::from(slots.max(1));
        Self {
            time_constant_us,
            // A small initial weight on the reference speed damps the first observations.
            reference_us: time_constant_us * 0.01,
            busy_us: time_constant_us * 0.01,
            speed: 1.0,
            updated_at: now,
        }
    }

    /// Adds a completed request with its cost on a reference VM and its observed service time, both
    /// in microseconds.
    pub fn observe(&mut self, reference_us: f64, service_us: f64) {
        let decay = (-service_us / self.time_constant_us).exp();
        self.reference_us = self.reference_us * decay + reference_us;
        self.busy_us = self.busy_us * decay + service_us.max(1.0);
    }

    /// Returns the speed relative to a reference VM. It approaches the observed speed by at most a
    /// factor of 1.25 per second.
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
