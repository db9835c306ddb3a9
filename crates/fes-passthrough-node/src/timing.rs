//! Tick times, ages for metrics and log texts of clock events.

use fes_membership::ClockEvent;
use fes_protocol::MonoTime;

/// Converts the time since the last confirmation of the list to a metric value in milliseconds, or
/// -1 if there was no confirmation.
pub(crate) fn age_for_metrics(age_ms: Option<u64>) -> i64 {
    age_ms.map_or(-1, |age_ms| i64::try_from(age_ms).unwrap_or(i64::MAX))
}

/// Returns the time of the next tick. Missed ticks are skipped.
pub(crate) fn next_tick(now: MonoTime, last: MonoTime, period_ms: u64) -> MonoTime {
    last.plus_ms(period_ms).max(now)
}

/// Describes a clock event for the log.
pub(crate) fn clock_event_text(event: ClockEvent) -> String {
    match event {
        ClockEvent::Paused { late_ms } => {
            format!("a timer fired {late_ms} ms late because the process did not run")
        }
        ClockEvent::JumpedForward { by_ms } => {
            format!("the wall clock jumped forward by {by_ms} ms")
        }
        ClockEvent::JumpedBack { by_ms } => format!("the wall clock jumped back by {by_ms} ms"),
    }
}
