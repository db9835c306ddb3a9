//! Waits for a condition by polling it. The number of polls is limited, not the time, so that the
//! result of a test doesn't depend on the speed of the host.

use std::time::Duration;

use tokio::time::sleep;

/// Polls that only yield to the scheduler; later polls sleep, so that other processes get CPU time.
const YIELDING_POLLS: usize = 10_000;
const SLEEP_MS: u64 = 1;
/// Sleeping polls until the wait fails. Only a failing test waits this long.
const MAX_SLEEPING_POLLS: usize = 60_000;

/// Runs the other tasks of the arbiter until `condition` holds.
///
/// # Panics
///
/// Panics with `what` if the condition doesn't hold after about a minute of polling.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for poll in 0..YIELDING_POLLS + MAX_SLEEPING_POLLS {
        if condition() {
            return;
        }
        if poll < YIELDING_POLLS {
            tokio::task::yield_now().await;
        } else {
            sleep(Duration::from_millis(SLEEP_MS)).await;
        }
    }
    panic!("condition was never met: {what}");
}
