//! Waiting for a condition without a verdict that depends on time.

/// Turns of the scheduler after which a condition is given up.
const MAX_TURNS: usize = 2_000_000;

/// Lets other tasks of the arbiter run until `condition` holds.
///
/// # Panics
///
/// Panics with `what` if the condition doesn't hold after a great many turns.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..MAX_TURNS {
        if condition() {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("never happened: {what}");
}
