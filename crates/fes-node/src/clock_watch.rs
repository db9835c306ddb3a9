//! Detects pauses of the process and jumps of its clock.

use std::time::Duration;

use fes_kernel::ProcessClock;
use fes_membership::ClockEvent;
use fes_membership::ClockMonitor;

const PERIOD_MS: u64 = 500;

/// Compares both clocks periodically and reports pauses and jumps. Never returns.
pub async fn watch_clock(clock: ProcessClock, report: impl Fn(ClockEvent)) {
    let mut monitor = ClockMonitor::new();
    loop {
        let due = clock.now().plus_ms(PERIOD_MS);
        tokio::time::sleep(Duration::from_millis(PERIOD_MS)).await;
        if let Some(event) = monitor.observe(clock.now(), clock.wall(), Some(due)) {
            report(event);
        }
    }
}
