//! Timing of operations.

use std::hint::black_box;
use std::time::Instant;

/// Runs of each measurement. The fastest one counts, because interference only adds time.
const RUNS: usize = 5;

/// Returns the mean time of one call in the fastest run, in nanoseconds. `call` gets the index of
/// the call.
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
