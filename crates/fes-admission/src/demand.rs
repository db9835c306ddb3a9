//! Estimate of the demand.

use fes_protocol::MonoTime;

/// Exponentially weighted rate of arriving work, in slots of a reference VM.
#[derive(Debug, Clone)]
pub struct DemandEstimator {
    time_constant_us: f64,
    started_at: Option<MonoTime>,
    updated_at: MonoTime,
    weighted_us: f64,
}

impl DemandEstimator {
    /// Creates an estimate that decays with this time constant.
    #[must_use]
    pub fn new(time_constant_ms: u64) -> Self {
        Self {
            time_constant_us: time_constant_ms.max(1) as f64 * 1e3,
            started_at: None,
            updated_at: MonoTime::ZERO,
            weighted_us: 0.0,
        }
    }

    /// Adds work that takes `cost_us` microseconds on a slot of a reference VM.
    pub fn add(&mut self, now: MonoTime, cost_us: f64) {
        self.started_at.get_or_insert(now);
        self.weighted_us = self.weighted_us * self.decay(now) + cost_us;
        self.updated_at = now.max(self.updated_at);
    }

    /// Returns the rate in slots: 1.0 keeps one reference slot busy.
    #[must_use]
    pub fn slots(&self, now: MonoTime) -> f64 {
        let Some(started_at) = self.started_at else {
            return 0.0;
        };
        // The sum covers only the time since the first arrival, so it is divided by that part of
        // the exponential window. The part is at least a tenth, which bounds the first estimates.
        let age = now.us_since(started_at) as f64 / self.time_constant_us;
        let covered = (1.0 - (-age).exp()).max(0.1);
        self.weighted_us * self.decay(now) / (self.time_constant_us * covered)
    }

    fn decay(&self, now: MonoTime) -> f64 {
        (-(now.us_since(self.updated_at) as f64) / self.time_constant_us).exp()
    }
}
