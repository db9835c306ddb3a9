//! Concurrency limit of an upstream.

use fes_protocol::MonoTime;

/// Factor applied to the limit when the upstream sheds load.
const SHED_FACTOR: f64 = 0.7;

/// Time without shedding after which the limit grows by one slot, in milliseconds.
const INCREASE_AFTER_MS: u64 = 1_000;

/// Sheds within this time after a reduction belong to the same overload, in milliseconds.
const REDUCTION_INTERVAL_MS: u64 = 200;

/// Requests that the upstream may run at the same time: reduced multiplicatively when it sheds
/// load, grown back by one slot at a time, never above its slots.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: u32,
    increase_at: MonoTime,
    next_reduction_at: MonoTime,
}

impl ConcurrencyLimit {
    /// Makes a limit that starts at the upstream's slots.
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

    /// Returns the limit after growth that is due.
    pub fn current(&mut self, now: MonoTime) -> u32 {
        while self.limit < self.slots && now >= self.increase_at {
            self.limit += 1;
            self.increase_at = self.increase_at.plus_ms(INCREASE_AFTER_MS);
        }
        self.limit
    }

    /// Returns when the limit grows next, if it is reduced.
    #[must_use]
    pub fn next_increase_at(&self) -> Option<MonoTime> {
        (self.limit < self.slots).then_some(self.increase_at)
    }

    /// Reduces the limit because the upstream shed load while `running` requests ran.
    pub fn record_shed(&mut self, now: MonoTime, running: u32) {
        self.current(now);
        self.increase_at = now.plus_ms(INCREASE_AFTER_MS);
        if now < self.next_reduction_at {
            return;
        }
        let from = f64::from(self.limit.min(running.max(1)));
        self.limit = ((from * SHED_FACTOR).floor() as u32).max(1);
        self.next_reduction_at = now.plus_ms(REDUCTION_INTERVAL_MS);
    }
}
