//! Distributions of the times of a phase.

/// Distribution of times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Distribution {
    /// Shortest time.
    pub min_ms: i64,
    /// Median by nearest rank.
    pub median_ms: i64,
    /// 95th percentile by nearest rank.
    pub p95_ms: i64,
    /// Longest time.
    pub max_ms: i64,
    /// Number of times.
    pub count: usize,
}

impl Distribution {
    /// Returns the distribution of the times, or `None` if there are none.
    #[must_use]
    pub fn of(mut times_ms: Vec<i64>) -> Option<Self> {
        times_ms.sort_unstable();
        let count = times_ms.len();
        Some(Self {
            min_ms: *times_ms.first()?,
            median_ms: *times_ms.get(nearest_rank(count, 50))?,
            p95_ms: *times_ms.get(nearest_rank(count, 95))?,
            max_ms: *times_ms.last()?,
            count,
        })
    }
}

/// Returns the index of a percentile in `count` sorted values.
pub(super) const fn nearest_rank(count: usize, percent: usize) -> usize {
    (count * percent).div_ceil(100).saturating_sub(1)
}
