//! Deadlines of ticks, and ages as metrics show them.

use fes_protocol::MonoTime;

/// Returns the age of the list's confirmation for metrics, in milliseconds; -1 if there is none.
pub(crate) fn age_for_metrics(age_ms: Option<u64>) -> i64 {
    age_ms.map_or(-1, |age_ms| i64::try_from(age_ms).unwrap_or(i64::MAX))
}

/// Returns the deadline of the next tick, skipping those that were missed.
pub(crate) fn next_tick(now: MonoTime, last: MonoTime, period_ms: u64) -> MonoTime {
    last.plus_ms(period_ms).max(now)
}
