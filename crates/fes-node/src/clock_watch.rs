//! Notices pauses of the process and jumps of its clock.

use std::time::Duration;

use fes_kernel::ProcessClock;
use fes_membership::ClockEvent;
use fes_membership::ClockMonitor;

const PERIOD_MS: u64 = 500;

/// Reads both clocks regularly and reports what is out of line; never returns.
pub async fn watch_clock(clock: ProcessClock, report: impl Fn(ClockEvent)) {
    let mut guard = ClockMonitor::new();
    loop {
        let due = clock.now().plus_ms(PERIOD_MS);
        tokio::time::sleep(Duration::from_millis(PERIOD_MS)).await;
        if let Some(event) = guard.observe(clock.now(), clock.wall(), Some(due)) {
            report(event);
        }
    }
}
