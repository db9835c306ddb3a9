//! Processor time of an operation.

use std::hint::black_box;
use std::time::Instant;

/// Runs of each measurement; the fastest counts, because others only add disturbance.
const RUNS: usize = 5;

/// Returns the time of one call in nanoseconds, from the fastest of several runs.
pub(super) fn ns_per_call<T>(calls: usize, mut call: impl FnMut(usize) -> T) -> f64 {
    let mut best_ns = f64::INFINITY;
    for _ in 0..RUNS {
        let start = Instant::now();
        for index in 0..calls {
            black_box(call(black_box(index)));
        }
        let elapsed_ns = start.elapsed().as_nanos() as f64;
        best_ns = best_ns.min(elapsed_ns / calls.max(1) as f64);
    }
    best_ns
}
