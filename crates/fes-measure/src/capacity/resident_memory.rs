//! Measures the memory of a value by the growth of the process.

use std::fs;

const PAGE_BYTES: f64 = 4_096.0;

/// Growth before the measurement starts, in bytes. It uses up free memory in the allocator that
/// would otherwise hide the first copies.
const WARM_UP_GROWTH_BYTES: f64 = 4.0 * 1_048_576.0;

/// Growth over which the copies are measured, in bytes; well above the granularity of the
/// allocator.
const MEASURED_GROWTH_BYTES: f64 = 24.0 * 1_048_576.0;

const MAX_COPIES: usize = 65_536;

/// Returns the resident memory of this process in bytes, or 0 if `/proc` isn't available.
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

/// Returns the memory of one value in bytes: creates copies until the process has grown enough and
/// divides the growth by their number. Untouched memory isn't resident, so values must touch all
/// memory that they use.
pub(super) fn bytes_per_value<T>(mut make: impl FnMut() -> T) -> f64 {
    let mut copies = Vec::with_capacity(MAX_COPIES);
    grow(&mut copies, &mut make, WARM_UP_GROWTH_BYTES);
    let warm_up_count = copies.len();
    let growth_bytes = grow(&mut copies, &mut make, MEASURED_GROWTH_BYTES);
    growth_bytes / (copies.len() - warm_up_count).max(1) as f64
}

/// Creates copies until the process has grown by `wanted_bytes`; returns the growth in bytes.
fn grow<T>(copies: &mut Vec<T>, make: &mut impl FnMut() -> T, wanted_bytes: f64) -> f64 {
    let before_bytes = resident_bytes();
    let mut growth_bytes = 0.0;
    while growth_bytes < wanted_bytes && copies.len() < MAX_COPIES {
        copies.push(make());
        growth_bytes = resident_bytes() - before_bytes;
    }
    growth_bytes.max(0.0)
}
