//! Slow start of a cold upstream.

use fes_protocol::MonoTime;

/// Share of its capacity that a cold upstream advertises initially.
const INITIAL_SHARE: f64 = 0.25;

/// Factor by which the advertised share grows per second.
const GROWTH_PER_SECOND: f64 = 1.25;

/// Increases the advertised capacity of a cold upstream gradually to its full value.
#[derive(Debug, Clone)]
pub struct SlowStart {
    started_at: Option<MonoTime>,
}

impl SlowStart {
    /// Creates a slow start for an upstream that is warm already.
    #[must_use]
    pub const fn warm() -> Self {
        Self { started_at: None }
    }

    /// Begins the slow start of a cold upstream.
    pub const fn begin(&mut self, now: MonoTime) {
        self.started_at = Some(now);
    }

    /// Returns the share of the capacity to advertise, from 0 to 1.
    #[must_use]
    pub fn share(&self, now: MonoTime) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let elapsed_s = now.us_since(started_at) as f64 / 1e6;
        (INITIAL_SHARE * GROWTH_PER_SECOND.powf(elapsed_s)).min(1.0)
    }
}
