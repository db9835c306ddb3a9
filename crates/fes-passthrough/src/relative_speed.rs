//! Speed of a service's targets relative to each other, by the mean run times that their agents
//! report.
//!
//! A request is answered after a time that is proportional to the target's mean run time. If only
//! requests per slot counted, a target at half the speed of the others would get as many requests
//! as they do, and would be overloaded at a load that they can serve. Targets of equal speed, and
//! those whose agents report no run times, are compared by requests per slot alone.

use crate::placement::STREAM_CURRENT_LOAD_PERCENT;

/// Difference from the typical run time, in thousandths, that is ignored. Mean run times of equal
/// targets differ by about as much, because the requests that they happen to get differ. Targets
/// that hardly differ are placed by their load alone, so that entries don't all prefer the same one.
const IGNORED_DIFFERENCE_PER_MILLE: u64 = 125;
/// Lower limit of the relative run time. A target that ends its requests much sooner than the others
/// likely doesn't do their work, and must not draw many times the requests of the others.
const MIN_PER_MILLE: u64 = 333;
/// Upper limit of the relative run time. It allows for targets that become several times slower, and
/// keeps the cost of implausible values in range.
const MAX_PER_MILLE: u64 = 8_000;
const TYPICAL_PER_MILLE: u64 = 1_000;
/// Weight of the new request's own run time, in thousandths of a slot. With its full run time, a slow
/// target would get almost no requests at low load, and the others would get too many.
const OWN_REQUEST_MILLISLOTS: u64 = 500;

/// Returns the median of the reported run times in microseconds, without those that are 0, which
/// means that none was measured. The median of a few values isn't moved by a single one that is far
/// from the others.
#[must_use]
pub fn typical_run_time_us(reported_us: impl Iterator<Item = u32>) -> Option<u64> {
    let mut measured: Vec<u64> = reported_us.filter(|us| *us > 0).map(u64::from).collect();
    measured.sort_unstable();
    let upper = *measured.get(measured.len() / 2)?;
    let lower = *measured.get((measured.len() - 1) / 2)?;
    Some(u64::midpoint(lower, upper).max(1))
}

/// Run time of a target's requests relative to that of typical targets of the same service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelativeRunTime {
    per_mille: u64,
}

impl RelativeRunTime {
    /// Run time of a typical target, and of one without a measurement.
    pub const TYPICAL: Self = Self {
        per_mille: TYPICAL_PER_MILLE,
    };

    /// Returns the relative run time of a target that reports `run_time_us`, which is 0 if there is
    /// no measurement. `freshness_per_mille` is the weight of the report: 1,000 if it is current, 0
    /// if it says nothing any more.
    #[must_use]
    pub fn new(run_time_us: u32, typical_us: Option<u64>, freshness_per_mille: u64) -> Self {
        let Some(typical_us) = typical_us.filter(|_| run_time_us > 0) else {
            return Self::TYPICAL;
        };
        let per_mille = u64::from(run_time_us) * TYPICAL_PER_MILLE / typical_us.max(1);
        if per_mille.abs_diff(TYPICAL_PER_MILLE) <= IGNORED_DIFFERENCE_PER_MILLE {
            return Self::TYPICAL;
        }
        let per_mille = per_mille.clamp(MIN_PER_MILLE, MAX_PER_MILLE);
        let freshness = freshness_per_mille.min(1_000);
        let weighted = per_mille * freshness + TYPICAL_PER_MILLE * (1_000 - freshness);
        Self {
            per_mille: weighted / 1_000,
        }
    }

    /// Returns the value in thousandths.
    #[must_use]
    pub const fn per_mille(self) -> u64 {
        self.per_mille
    }

    /// Returns whether the target is slower than a typical one.
    #[must_use]
    pub const fn is_slow(self) -> bool {
        self.per_mille > TYPICAL_PER_MILLE
    }

    /// Returns the additional cost of a single request, compared with a typical target that has the
    /// same `current_load`, in thousandths of the slots. It is negative if the target is faster.
    #[must_use]
    pub fn request_cost(self, current_load: u64) -> i64 {
        self.additional_cost(current_load.saturating_add(OWN_REQUEST_MILLISLOTS))
    }

    /// Returns the additional cost of a stream, like [`Self::request_cost`]. `stream_load` is the
    /// load of the target's streams including the new one. Its requests take longer by the relative
    /// run time too, and count with the same weight as the current load does for streams.
    #[must_use]
    pub fn stream_cost(self, current_load: u64, stream_load: u64) -> i64 {
        let request_load = current_load.saturating_add(OWN_REQUEST_MILLISLOTS);
        let weighted = request_load.saturating_mul(STREAM_CURRENT_LOAD_PERCENT) / 100;
        self.additional_cost(stream_load.saturating_add(weighted))
    }

    /// Returns what `load` costs on this target beyond its cost on a typical one.
    fn additional_cost(self, load: u64) -> i64 {
        let scaled = load.saturating_mul(self.per_mille.abs_diff(TYPICAL_PER_MILLE));
        let cost = i64::try_from(scaled / TYPICAL_PER_MILLE).unwrap_or(i64::MAX);
        match self.is_slow() {
            true => cost,
            false => -cost,
        }
    }
}
