//! Concurrency limit of an upstream.

use fes_protocol::MonoTime;

/// Factor by which the limit is reduced when the upstream sheds load.
const SHED_FACTOR: f64 = 0.7;

/// Time without shedding after which the limit is increased by one slot.
const INCREASE_AFTER_MS: u64 = 1_000;

/// Minimum time between two reductions. Shedding within it belongs to the same overload.
const REDUCTION_INTERVAL_MS: u64 = 200;

/// Limit of concurrent requests at the upstream (AIMD): reduced multiplicatively when the upstream
/// sheds load, increased by one slot at a time, at most to the upstream's number of slots.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: u32,
    increase_at: MonoTime,
    next_reduction_at: MonoTime,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the upstream's number of slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            limit: slots,
            increase_at: MonoTime::NEVER,
            next_reduction_at: MonoTime::ZERO,
        }
    }

    /// Applies the increases that are due and returns the limit.
    pub fn current(&mut self, now: MonoTime) -> u32 {
        while self.limit < self.slots && now >= self.increase_at {
            self.limit += 1;
            self.increase_at = self.increase_at.plus_ms(INCREASE_AFTER_MS);
        }
        self.limit
    }

    /// Returns the time of the next increase, if the limit is reduced.
    #[must_use]
    pub fn next_increase_at(&self) -> Option<MonoTime> {
        (self.limit < self.slots).then_some(self.increase_at)
    }

    /// Reduces the limit, because the upstream shed a request while `running` other requests were
    /// running. Soon after a reduction, only the next increase is postponed.
    pub fn record_shed(&mut self, now: MonoTime, running: u32) {
        self.current(now);
        self.increase_at = now.plus_ms(INCREASE_AFTER_MS);
        if now < self.next_reduction_at {
            return;
        }
        // Fewer requests than the limit may have been running when the upstream shed load.
        let overloaded_at = f64::from(self.limit.min(running.max(1)));
        self.limit = ((overloaded_at * SHED_FACTOR).floor() as u32).max(1);
        self.next_reduction_at = now.plus_ms(REDUCTION_INTERVAL_MS);
    }
}
