//! Monotonic and wall clock of the process.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fes_protocol::MonoTime;
use fes_protocol::WallTime;

/// Reads the clocks of the process. Monotonic time counts from the creation of this value.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Creates a clock whose monotonic time starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the monotonic time since the start.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        let elapsed_us = self.start.elapsed().as_micros();
        MonoTime::from_us(u64::try_from(elapsed_us).unwrap_or(u64::MAX))
    }

    /// Returns the wall clock.
    #[must_use]
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let since_epoch_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
        WallTime::from_ms(u64::try_from(since_epoch_ms).unwrap_or(u64::MAX))
    }

    /// Converts `time` to the system's monotonic clock.
    #[must_use]
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.start + MonoTime::ZERO.until(time)
    }
}
