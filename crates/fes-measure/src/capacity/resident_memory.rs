//! Memory of a value, measured by the growth of the process.

use std::fs;

const PAGE_BYTES: f64 = 4_096.0;

/// Growth after which memory that earlier work freed is used up, so that further copies count.
const REUSE_BYTES: f64 = 4.0 * 1_048_576.0;

/// Growth over which copies are counted; well above the granularity of the allocator.
const COUNTED_BYTES: f64 = 24.0 * 1_048_576.0;

const MAX_COPIES: usize = 65_536;

/// Returns the resident memory of this process in bytes, or 0 where the system doesn't tell.
fn resident_bytes() -> f64 {
    let Ok(statm) = fs::read_to_string("/proc/self/statm") else {
        return 0.0;
    };
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns the memory of one value in bytes: makes copies until the process has grown enough, and
/// divides. Values must touch all memory that they use.
pub(super) fn bytes_per_value<T>(mut make: impl FnMut() -> T) -> f64 {
    let mut held = Vec::with_capacity(MAX_COPIES);
    grow(&mut held, &mut make, REUSE_BYTES);
    let counted_from = held.len();
    let growth_bytes = grow(&mut held, &mut make, COUNTED_BYTES);
    growth_bytes / (held.len() - counted_from).max(1) as f64
}

/// Makes copies until the process has grown by `wanted_bytes`; returns the growth in bytes.
fn grow<T>(held: &mut Vec<T>, make: &mut impl FnMut() -> T, wanted_bytes: f64) -> f64 {
    let before_bytes = resident_bytes();
    let mut growth_bytes = 0.0;
    while growth_bytes < wanted_bytes && held.len() < MAX_COPIES {
        held.push(make());
        growth_bytes = resident_bytes() - before_bytes;
    }
    growth_bytes.max(0.0)
}
