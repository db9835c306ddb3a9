//! Waiting for a condition without a verdict that depends on time.

use std::time::Duration;

use tokio::time::sleep;

/// Turns of the scheduler before the wait starts to pause, so that it leaves the processor to
/// others.
const BUSY_TURNS: usize = 10_000;
const PAUSE_MS: u64 = 1;
/// Pauses after which a condition is given up; only a test that fails waits so long.
const MAX_PAUSES: usize = 60_000;

/// Lets other tasks of the arbiter run until `condition` holds.
///
/// # Panics
///
/// Panics with `what` if the condition doesn't hold after a great many turns.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for turn in 0..BUSY_TURNS + MAX_PAUSES {
        if condition() {
            return;
        }
        if turn < BUSY_TURNS {
            tokio::task::yield_now().await;
        } else {
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }
    panic!("never happened: {what}");
}
