//! Points in time. State machines store deadlines of these types, never remaining durations.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Point on a process's own monotonic clock, in microseconds since the process started.
///
/// Never compared between processes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime {
    since_start_us: u64,
}

impl MonoTime {
    /// The start of the process.
    pub const ZERO: Self = Self { since_start_us: 0 };

    /// A time that is never reached; stands for "no deadline".
    pub const NEVER: Self = Self {
        since_start_us: u64::MAX,
    };

    /// Creates a point in time from microseconds since the process started.
    #[must_use]
    pub const fn from_us(since_start_us: u64) -> Self {
        Self { since_start_us }
    }

    /// Creates a point in time from milliseconds since the process started.
    #[must_use]
    pub const fn from_ms(since_start_ms: u64) -> Self {
        Self {
            since_start_us: since_start_ms.saturating_mul(1_000),
        }
    }

    /// Returns microseconds since the process started.
    #[must_use]
    pub const fn as_us(self) -> u64 {
        self.since_start_us
    }

    /// Returns whole milliseconds since the process started.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.since_start_us / 1_000
    }

    /// Returns the point `us` microseconds later, saturating.
    #[must_use]
    pub const fn plus_us(self, us: u64) -> Self {
        Self {
            since_start_us: self.since_start_us.saturating_add(us),
        }
    }

    /// Returns the point `ms` milliseconds later, saturating.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        self.plus_us(ms.saturating_mul(1_000))
    }

    /// Returns microseconds from `earlier` to `self`, or 0 if `earlier` is later.
    #[must_use]
    pub const fn us_since(self, earlier: Self) -> u64 {
        self.since_start_us.saturating_sub(earlier.since_start_us)
    }

    /// Returns whole milliseconds from `earlier` to `self`, or 0 if `earlier` is later.
    #[must_use]
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.us_since(earlier) / 1_000
    }

    /// Returns the duration until `deadline`, zero if it has passed.
    #[must_use]
    pub const fn until(self, deadline: Self) -> Duration {
        Duration::from_micros(deadline.us_since(self))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03}ms",
            self.since_start_us / 1_000,
            self.since_start_us % 1_000
        )
    }
}

/// Point on the wall clock, in milliseconds since the Unix epoch. Used for display and as a hint;
/// no safety rule depends on it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime {
    since_epoch_ms: u64,
}

impl WallTime {
    /// Creates a point in time from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_ms(since_epoch_ms: u64) -> Self {
        Self { since_epoch_ms }
    }

    /// Returns milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.since_epoch_ms
    }
}
